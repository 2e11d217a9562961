package handover

import (
	"bufio"
	"net"

	"otterspring/internal/faultinjection"
)

// Successor represents the new process in the old process after the line "agreed". A goroutine
// reads from the new process until the connection ends. The methods are safe for concurrent
// use.
type Successor struct {
	conn         net.Conn
	disconnected chan struct{}
}

// receive calls onEndpointList for each endpoint list that the new process sends, until the
// connection ends.
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

// SendEndpointList sends an endpoint list to the new process. If the list is lost, the new
// process learns of the change from its own discovery.
func (s *Successor) SendEndpointList(list []byte) { sendPayload(s.conn, lineList, list) }

// SendCoAPState sends the state of the CoAP exchanges. The caller must have stopped reading
// the CoAP socket. If the state is lost, the new process proceeds without the state, as it
// does if the old process has crashed.
func (s *Successor) SendCoAPState(state []byte) { sendPayload(s.conn, lineCoAP, state) }

// Disconnected returns a channel that is closed if the new process exits before it has sent
// "settled".
func (s *Successor) Disconnected() <-chan struct{} { return s.disconnected }

// AnnounceDrained tells the new process that the old process has responded to all its
// requests, and closes the connection.
func (s *Successor) AnnounceDrained() {
	faultinjection.At("handover-drained")
	sendLine(s.conn, lineDone)
	s.conn.Close()
}

// Close closes the connection to a new process that has exited.
func (s *Successor) Close() { s.conn.Close() }
