package discovery

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"otterspring/internal/sidecar/dispatch"
)

const (
	// snapshotTimeout is how long a call that does not wait may take to begin its
	// answer. Discovery processes its calls in turn and rejects those that have waited
	// for some seconds: a call that is abandoned sooner would be repeated at the end of
	// the queue.
	snapshotTimeout = 3200 * time.Millisecond
	// bodyTimeout is how long an answer may take after its first byte. One that stalls
	// would delay updates until the watch's own timeout, which is long. A list that
	// takes longer to transfer fails, and the call is repeated.
	bodyTimeout = 2 * time.Second
	// crossingTimeout is how long an answer is still accepted after discovery has moved:
	// what was written to the sidecar counts as reported to it.
	crossingTimeout = 100 * time.Millisecond
	dialTimeout     = time.Second
	maxListSize     = 8 << 20 // bytes
	readBufferSize  = 8 << 10 // bytes
)

// statusError is an answer with another status than 200.
type statusError struct{ Code int }

func (e *statusError) Error() string { return fmt.Sprintf("found HTTP status %d, wanted 200", e.Code) }

// boundedConn is a connection on which each call has a deadline. startCall and limitBody
// belong to the goroutine that calls; expireBy may be called by any.
type boundedConn struct {
	net.Conn
	mu       sync.Mutex
	deadline time.Time // of the present call
	expiring bool      // the deadline is not extended any more
}

// startCall sets the deadline of a new call.
func (c *boundedConn) startCall(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline, c.expiring = deadline, false
	c.applyDeadline()
}

// limitBody sets the deadline of an answer whose first byte was received.
func (c *boundedConn) limitBody(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.expiring {
		c.deadline = deadline
	}
	c.applyDeadline()
}

// expireBy ends the call at the deadline at the latest.
func (c *boundedConn) expireBy(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expiring = true
	if deadline.Before(c.deadline) {
		c.deadline = deadline
	}
	c.applyDeadline()
}

// applyDeadline passes the deadline on. That fails only on a closed connection, whose
// next read or write returns the error.
func (c *boundedConn) applyDeadline() { _ = c.SetDeadline(c.deadline) }

// hangUp closes the connection, if there is one.
func (w *Watcher) hangUp() {
	if w.conn != nil {
		w.conn.Close()
		w.conn = nil
	}
}

// connect opens a connection unless the last call has left one that can be reused.
func (w *Watcher) connect(ctx context.Context, address string) error {
	if w.conn != nil && w.reader.Buffered() > 0 {
		w.hangUp()
	}
	if w.conn != nil {
		return nil
	}
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	w.conn = &boundedConn{Conn: conn}
	w.reader = bufio.NewReaderSize(w.conn, readBufferSize)
	return nil
}

// fetch makes one call: for the snapshot while the watcher has no version, else for a
// delta, for which the server waits up to watch. Every step is limited in time, since
// discovery may stop answering without closing the connection: the answer has to begin
// within timeout beyond watch. source is the discovery that assigned the list's
// versions, empty where the answer does not name it. When ctx ends, an answer is still
// accepted for crossingTimeout.
func (w *Watcher) fetch(ctx context.Context, address string, watch, timeout time.Duration) (list dispatch.EndpointList, source string, err error) {
	path, wait := hostsPath, snapshotTimeout
	if w.version > noVersion {
		wait = watch + timeout
		path += fmt.Sprintf(watchQuery, w.version, watch.Milliseconds())
	}
	if err := w.connect(ctx, address); err != nil {
		return list, "", err
	}
	conn := w.conn
	conn.startCall(time.Now().Add(wait))
	stop := context.AfterFunc(ctx, func() { conn.expireBy(time.Now().Add(w.crossingTimeout)) })
	defer stop()
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, address); err != nil {
		return list, "", err
	}
	if _, err := w.reader.Peek(1); err != nil {
		return list, "", fmt.Errorf("waiting for the answer: %w", err)
	}
	conn.limitBody(time.Now().Add(bodyTimeout))
	return w.readList()
}

// readList reads an answer.
func (w *Watcher) readList() (list dispatch.EndpointList, source string, err error) {
	var response fasthttp.Response
	if err := response.ReadLimitBody(w.reader, maxListSize); err != nil {
		return list, "", fmt.Errorf("reading the answer: %w", err)
	}
	if response.ConnectionClose() || response.Header.ContentLength() == -2 { // -2: the body ends with the connection
		w.hangUp()
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return list, "", &statusError{Code: response.StatusCode()}
	}
	value, err := w.parser.ParseBytes(response.Body())
	if err != nil {
		return list, "", fmt.Errorf("not JSON: %w", err)
	}
	list, err = ParseValue(value, w.schemes...)
	return list, string(response.Header.Peek(sourceHeader)), err
}
