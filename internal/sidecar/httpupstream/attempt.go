package httpupstream

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"otterspring/balance"
	"otterspring/internal/sidecar/dispatch"
)

const (
	// stallTimeout is the longest pause of an upstream within a response. It protects
	// against heads and bodies that never end and against a Content-Length that is too
	// large: without the timeout the request would wait until its deadline, and the
	// upstream would count as unresponsive. A response also fails if its body begins later
	// than stallTimeout after its head.
	stallTimeout = 300 * time.Millisecond
	// lastByteDelay is how long the last byte of a request is held back to detect a broken
	// connection. Half of the failures that the first bytes cause are visible within 0.1
	// ms, and 95% within 0.3 ms. The delay is a cost for upstreams that hold a scarce
	// resource while they wait for a complete request. If the network's latency is higher
	// than the delay, a failure becomes visible only after the last byte has been written.
	lastByteDelay = time.Millisecond
)

// attempt is an attempt over HTTP/1.1. It is not safe for concurrent use.
type attempt struct {
	*dispatch.Attempt
	upstream *upstream
}

// Run executes an attempt and reports its end to the dispatcher.
func (u *upstream) Run(started *dispatch.Attempt) {
	a := &attempt{started, u}
	connection, status := a.connect()
	if connection == nil {
		a.Finish(status, nil)
		return
	}
	remaining, ok := a.Attach(connection)
	if !ok {
		// Nothing was written on the connection. If the connection was idle before, putIdle
		// would restart its idle time, although the upstream's idle timeout has not
		// restarted.
		if connection.idleTime > 0 {
			u.pool.discard(connection)
		} else {
			u.pool.putIdle(connection)
		}
		return
	}
	connection.setReadTimeout = func() bool { return a.SetReadTimeout(stallTimeout) }
	a.receive(connection, a.write(connection, remaining))
}

// connect returns an idle connection or opens one. If it can do neither, it returns the
// status of the attempt: NeverSent if this process lacks resources, which is no failure of
// the upstream, or ConnectFailed if the upstream does not accept connections.
func (a *attempt) connect() (*conn, balance.Status) {
	pool := a.upstream.pool
	if connection := pool.takeIdle(a.upstream); connection != nil {
		return connection, 0
	}
	if !pool.reserve() {
		return nil, balance.NeverSent
	}
	connection, err := a.dial()
	if err == nil {
		return connection, 0
	}
	pool.release()
	if dispatch.IsLocalFault(err) {
		return nil, balance.NeverSent
	}
	return nil, balance.ConnectFailed
}

// dial opens a connection within the dial timeout.
func (a *attempt) dial() (*conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), a.upstream.pool.dialTimeout)
	defer cancel()
	if !a.SetDialCancel(cancel) {
		return nil, context.Canceled
	}
	connection, err := a.upstream.pool.Dial(ctx, "tcp", a.upstream.address)
	if err != nil {
		return nil, err
	}
	return newConn(connection, a.upstream)
}

// write writes the request. It waits for LastByteDelay before it writes the last byte. The
// last byte is written only if nothing was received and no error occurred until the end of
// this delay. write returns false if the last byte was certainly not written. The request was
// not executed in that case.
//
// Failures right after the first bytes are common: the upstream has closed or dropped the
// connection or rejects the connection, or a middlebox has lost its state. Data received before
// the request is complete does not belong to the request, so a connection with such data can't
// be used either.
func (a *attempt) write(connection *conn, remaining time.Duration) bool {
	front, lastByte := a.encode(remaining)
	if _, err := front.WriteTo(connection.Conn); err != nil {
		return false
	}
	if !a.SetReadTimeout(a.upstream.pool.LastByteDelay) {
		return false
	}
	if _, err := connection.reader.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	if !a.Commit() {
		return false
	}
	// A write of one byte either writes the byte or returns an error.
	n, _ := connection.Write(lastByte)
	return n > 0
}

// receive reads the response and reports the end of the attempt. written is false if the
// last byte of the request was not written. After any failure to read the response the
// request may have been executed, and the connection is not reused.
func (a *attempt) receive(connection *conn, written bool) {
	pool := a.upstream.pool
	if !written {
		if a.Finish(balance.PartialWrite, nil) {
			pool.recordUse(connection.idleTime, true)
		}
		pool.abort(connection)
		return
	}
	received := fasthttp.AcquireResponse()
	err := readResponse(received, connection.reader)
	clean := err == nil && !received.ConnectionClose() && !connection.hasSurplus()
	status := statusOf(received, err)
	if status != balance.OK {
		fasthttp.ReleaseResponse(received)
		received = nil
	}
	var response dispatch.Response
	if received != nil {
		response = (*Response)(received)
	}
	accepted := a.Finish(status, response)
	if accepted {
		pool.recordUse(connection.idleTime, err != nil && !connection.responseStarted)
	}
	// A server at its connection limit rejects every request on a further connection, so a
	// connection whose first request was rejected is not kept.
	rejected := status == balance.AtCapacity && connection.idleTime == 0
	switch {
	case clean && accepted && !rejected:
		_ = connection.SetReadDeadline(time.Time{}) // fails only on a closed connection, which idleState detects
		pool.putIdle(connection)
	case err != nil:
		pool.abort(connection)
	default:
		pool.discard(connection)
	}
}
