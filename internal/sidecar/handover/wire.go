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

// protocolVersion is the first word of the request. A peer of another version rejects the
// request.
const protocolVersion = "otterspring-handover/1"

// The lines of the protocol. A constant that ends with a space is a prefix, which is followed
// by an argument.
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
	maxPayloadBytes = 64 << 20 // maximum size of an endpoint list or of the state of the CoAP exchanges
	maxLineBytes    = 256
	maxQuotedBytes  = 60 // maximum length of a peer's line that is quoted in an error message
)

// messageTimeout is the time limit for connecting to a peer, for sending a message, and for
// receiving a message that the peer can send without preparation.
const messageTimeout = time.Second

// requestLine returns the first line of a handover, without the line end.
func requestLine(address string) string { return protocolVersion + " take " + address }

// newReader returns a reader whose buffer is large enough for readLine.
func newReader(conn net.Conn) *bufio.Reader { return bufio.NewReaderSize(conn, maxLineBytes*2) }

// readLine reads one line of the protocol and returns it without the line end.
func readLine(reader *bufio.Reader) (string, error) {
	line, err := reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) || len(line) > maxLineBytes {
		return "", fmt.Errorf("line exceeds %d bytes", maxLineBytes)
	}
	if err != nil {
		return "", err
	}
	return strings.TrimSuffix(string(line), "\n"), nil
}

// quoteTruncated quotes a peer's line for an error message, truncated to maxQuotedBytes.
func quoteTruncated(line string) string {
	if len(line) > maxQuotedBytes {
		line = line[:maxQuotedBytes-3] + "..."
	}
	return strconv.Quote(line)
}

// parseSize parses the payload size that a line announces. It returns false if the size is
// invalid or exceeds maxPayloadBytes.
func parseSize(argument string) (int, bool) {
	size, err := strconv.Atoi(argument)
	return size, err == nil && size >= 0 && size <= maxPayloadBytes
}

// readPayload reads the payload that a line announces and passes it to receive. It returns
// false if the line does not begin with prefix, its size is invalid, or the payload is
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

// sendPayload sends a payload after the line that announces it. A payload that cannot be
// sent within messageTimeout is dropped, because the peer does not depend on it.
func sendPayload(conn net.Conn, prefix string, payload []byte) {
	sendOrLog(conn, append(fmt.Appendf(nil, "%s%d\n", prefix, len(payload)), payload...))
}

// sendLine sends a line that the peer does not depend on.
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

// setTimeout sets the deadline of all reads and writes of a connection.
func setTimeout(conn net.Conn, timeout time.Duration) error {
	return conn.SetDeadline(time.Now().Add(timeout))
}

// closeIgnoringError closes a socket or file that is no longer used.
func closeIgnoringError(c io.Closer) {
	_ = c.Close() // no data can be lost, and the caller could not recover
}
