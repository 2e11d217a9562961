package handover

import (
	"bufio"
	"net"

	"otterspring/internal/faultinjection"
)

// Successor is the new process as the old one sees it, from the agreement on. Its
// goroutine receives until the connection ends. The methods are safe for concurrent
// use.
type Successor struct {
	conn         net.Conn
	disconnected chan struct{}
}

// receive applies the endpoint lists that the new process sends, until the connection
// ends.
func (s *Successor) receive(reader *bufio.Reader, onEndpointList func([]byte)) {
	settled := false
	for {
		line, err := readLine(reader)
		if err == nil && line == lineSettled {
			settled = true
			continue
		}
		if err == nil && readPayload(reader, line, lineList, onEndpointList) {
			continue
		}
		if !settled {
			close(s.disconnected)
		}
		return
	}
}

// SendEndpointList sends a list to the new process, which has discovery of its own if
// the list does not arrive.
func (s *Successor) SendEndpointList(list []byte) { sendPayload(s.conn, lineList, list) }

// SendCoAPState sends the state of the CoAP exchanges. This process must not read the
// CoAP socket any more. If the state does not arrive the new process goes by none, as
// after a crash.
func (s *Successor) SendCoAPState(state []byte) { sendPayload(s.conn, lineCoAP, state) }

// Disconnected is closed if the new process exits before it has settled.
func (s *Successor) Disconnected() <-chan struct{} { return s.disconnected }

// AnnounceDrained tells the new process that this one has answered all of its
// requests, and ends the handover.
func (s *Successor) AnnounceDrained() {
	faultinjection.At("handover-drained")
	sendLine(s.conn, lineDone)
	s.conn.Close()
}

// Close ends the connection to a new process that has exited.
func (s *Successor) Close() { s.conn.Close() }
