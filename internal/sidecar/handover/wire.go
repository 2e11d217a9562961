package handover

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"time"
)

// protocolVersion begins the request; a peer of another version rejects it.
const protocolVersion = "otterspring-handover/1"

// The lines of the protocol. Those that end with a blank have an argument.
const (
	lineGive     = "give "
	lineRejected = "no "
	lineReady    = "ready"
	lineYours    = "yours"
	lineTaken    = "taken"
	lineAgreed   = "agreed"
	lineSettled  = "settled"
	lineList     = "list "
	lineCoAP     = "coap "
	lineDone     = "done"
)

const (
	maxPayloadBytes = 64 << 20 // of an endpoint list, or of the state of CoAP exchanges
	maxLineBytes    = 256
	maxShownBytes   = 60 // of a peer's line in a message
)

// messageTimeout is for a message that its sender or receiver has at hand.
const messageTimeout = time.Second

// request is the first line of a handover.
func request(address string) string { return protocolVersion + " take " + address }

// newReader returns a reader for readLine.
func newReader(conn net.Conn) *bufio.Reader { return bufio.NewReaderSize(conn, maxLineBytes*2) }

// readLine reads one line of the protocol.
func readLine(reader *bufio.Reader) (string, error) {
	line, err := reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) || len(line) > maxLineBytes {
		return "", fmt.Errorf("found a line over %d bytes", maxLineBytes)
	}
	if err != nil {
		return "", err
	}
	return strings.TrimSuffix(string(line), "\n"), nil
}

// shown is a peer's line as it may appear in a message.
func shown(line string) string {
	if len(line) > maxShownBytes {
		line = line[:maxShownBytes-3] + "..."
	}
	return strconv.Quote(line)
}

// parseSize reads the argument of a line that announces a payload.
func parseSize(argument string) (int, bool) {
	size, err := strconv.Atoi(argument)
	return size, err == nil && size >= 0 && size <= maxPayloadBytes
}

// readPayload reads the payload that a line announces and passes it to receive. It
// returns false if the line does not begin with the prefix, or the payload is
// truncated.
func readPayload(reader *bufio.Reader, line, prefix string, receive func([]byte)) bool {
	argument, found := strings.CutPrefix(line, prefix)
	size, valid := parseSize(argument)
	if !found || !valid {
		return false
	}
	payload := make([]byte, size)
	if _, err := io.ReadFull(reader, payload); err != nil {
		return false
	}
	receive(payload)
	return true
}

// sendPayload sends a payload behind the line that announces it. One that can't be
// sent within the messageTimeout is dropped: the peer does without it.
func sendPayload(conn net.Conn, prefix string, payload []byte) {
	sendOrLog(conn, append(fmt.Appendf(nil, "%s%d\n", prefix, len(payload)), payload...))
}

// sendLine sends a line that the peer can do without.
func sendLine(conn net.Conn, line string) { sendOrLog(conn, []byte(line+"\n")) }

func sendOrLog(conn net.Conn, message []byte) {
	err := conn.SetWriteDeadline(time.Now().Add(messageTimeout))
	if err == nil {
		_, err = conn.Write(message)
	}
	if err != nil {
		slog.Debug("handover message was not sent", "error", err)
	}
}

// setTimeout bounds what is read from and written to a connection from now on.
func setTimeout(conn net.Conn, timeout time.Duration) error {
	return conn.SetDeadline(time.Now().Add(timeout))
}

// discard closes what is not used any more.
func discard(c io.Closer) {
	_ = c.Close() // no data is lost by it, and nothing could be done about it
}
