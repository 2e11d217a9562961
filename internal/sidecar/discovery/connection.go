package discovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"

	"otterspring/internal/sidecar/dispatch"
)

const (
	// snapshotTimeout limits the time to the first byte of the response to a snapshot
	// request. Discovery serves calls from a queue and rejects those that have waited for
	// some seconds; with a shorter timeout, the call would be repeated and wait at the end
	// of the queue again.
	snapshotTimeout = 3200 * time.Millisecond
	// bodyTimeout limits the time from the first to the last byte of a response. Without
	// bodyTimeout, a stalled response would delay updates until the much longer timeout of
	// the watch. If the transfer of a list takes longer than bodyTimeout, the call fails
	// and is repeated.
	bodyTimeout     = 2 * time.Second
	dialTimeout     = time.Second
	maxListBytes    = 8 << 20
	readBufferBytes = 8 << 10
)

// statusError is returned for a response with a status other than 200.
type statusError struct{ Code int }

func (e *statusError) Error() string { return fmt.Sprintf("found HTTP status %d, wanted 200", e.Code) }

// boundedConn is a connection on which each call has a deadline. setCallDeadline and
// setBodyDeadline may only be called by the goroutine that makes the call. capDeadline may
// be called by any goroutine.
type boundedConn struct {
	net.Conn
	mu       sync.Mutex
	deadline time.Time // deadline of the current call
	capped   bool      // whether the deadline must no longer be extended
}

// setCallDeadline sets the deadline of a new call and removes the cap on the deadline.
func (c *boundedConn) setCallDeadline(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline, c.capped = deadline, false
	c.applyDeadline()
}

// setBodyDeadline replaces the deadline of the call once the first byte of the response
// has been received, unless the deadline is capped.
func (c *boundedConn) setBodyDeadline(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.capped {
		c.deadline = deadline
	}
	c.applyDeadline()
}

// capDeadline shortens the deadline of the current call to at most the given deadline, and
// keeps it from being extended later.
func (c *boundedConn) capDeadline(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.capped = true
	if deadline.Before(c.deadline) {
		c.deadline = deadline
	}
	c.applyDeadline()
}

// applyDeadline sets the deadline on the connection. The error is ignored: it occurs only
// on a closed connection, whose next read or write returns the error, too.
func (c *boundedConn) applyDeadline() { _ = c.SetDeadline(c.deadline) }

// listConn is a connection to discovery with the buffer and parser for its responses.
type listConn struct {
	*boundedConn
	reader *bufio.Reader
	parser *fastjson.Parser
}

// closeConnection closes the current connection, if any.
func (w *Watcher) closeConnection() {
	if w.conn != nil {
		w.conn.Close()
		w.conn = nil
	}
}

// connect opens a connection unless the connection of the last call can be reused. A
// connection with unread bytes can't be reused: the bytes would be taken for the next
// response.
func (w *Watcher) connect(ctx context.Context, address string) error {
	if w.conn != nil && w.conn.reader.Buffered() > 0 {
		w.closeConnection()
	}
	if w.conn != nil {
		return nil
	}
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	if w.parser == nil {
		w.parser = &fastjson.Parser{}
	}
	bounded := &boundedConn{Conn: conn}
	w.conn = &listConn{boundedConn: bounded, reader: bufio.NewReaderSize(bounded, readBufferBytes), parser: w.parser}
	return nil
}

// callResult is the result of a call. source names the discovery service that assigned
// the list's versions; it is empty if the response does not name one.
type callResult struct {
	list    dispatch.EndpointList
	source  string
	closing bool // whether the server closes the connection after this response
	err     error
}

// call is a call in flight. Its own goroutine reads the response and owns the connection
// until the result is sent.
type call struct {
	conn    *listConn
	result  chan callResult // receives one result; buffered, so that the sender never blocks
	version int64           // version since which the call requests changes; noVersion for a snapshot request
}

// fetch makes one call. It requests a snapshot if the watcher has no version. Otherwise it
// watches: it requests a delta, and the server waits for a change. The parameter watch is the
// maximum duration of this wait. The response to a watch has to begin within watch+timeout.
// Every step has a time limit, since discovery may stop responding without closing the
// connection. When ctx is done, fetch detaches the call (see detachCall) and returns ctx.Err().
func (w *Watcher) fetch(ctx context.Context, address string, watch, timeout time.Duration) (list dispatch.EndpointList, source string, err error) {
	call, err := w.startCall(ctx, address, watch, timeout)
	if err != nil {
		return list, "", err
	}
	select {
	case result := <-call.result:
		if result.closing {
			w.closeConnection()
		}
		return result.list, result.source, result.err
	case <-ctx.Done():
		w.detachCall(call)
		return list, "", ctx.Err()
	}
}

// startCall connects and starts a goroutine that makes the call.
func (w *Watcher) startCall(ctx context.Context, address string, watch, timeout time.Duration) (*call, error) {
	path, wait := hostsPath, snapshotTimeout
	if w.version > noVersion {
		wait = watch + timeout
		path += fmt.Sprintf(watchQuery, w.version, watch.Milliseconds())
	}
	if err := w.connect(ctx, address); err != nil {
		return nil, err
	}
	c := &call{conn: w.conn, result: make(chan callResult, 1), version: w.version}
	c.conn.setCallDeadline(time.Now().Add(wait))
	request := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, address)
	go func() { c.result <- c.conn.roundTrip(request, w.schemes) }()
	return c, nil
}

// roundTrip writes a request and reads the response.
func (c *listConn) roundTrip(request string, schemes []string) callResult {
	if _, err := io.WriteString(c, request); err != nil {
		return callResult{err: err}
	}
	if _, err := c.reader.Peek(1); err != nil {
		return callResult{err: fmt.Errorf("waiting for the response: %w", err)}
	}
	c.setBodyDeadline(time.Now().Add(bodyTimeout))
	return c.readResponse(schemes)
}

// readResponse reads and parses a response whose first byte has been received.
func (c *listConn) readResponse(schemes []string) callResult {
	var response fasthttp.Response
	if err := response.ReadLimitBody(c.reader, maxListBytes); err != nil {
		return callResult{err: fmt.Errorf("reading the response: %w", err)}
	}
	result := callResult{
		source:  string(response.Header.Peek(sourceHeader)),
		closing: response.ConnectionClose() || response.Header.ContentLength() == -2, // -2: the body extends to the end of the connection
	}
	if response.StatusCode() != fasthttp.StatusOK {
		result.err = &statusError{Code: response.StatusCode()}
		return result
	}
	value, err := c.parser.ParseBytes(response.Body())
	if err != nil {
		result.err = fmt.Errorf("not JSON: %w", err)
		return result
	}
	result.list, result.err = ParseValue(value, schemes...)
	return result
}
