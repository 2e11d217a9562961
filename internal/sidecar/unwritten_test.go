package sidecar

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// unsafeRequests are of the class that must not run twice, in every framing.
var unsafeRequests = map[string]string{
	"body":    "Content-Length: 5\r\n\r\nhello",
	"byte":    "Content-Length: 1\r\n\r\nx",
	"no body": "Content-Length: 0\r\n\r\n",
	"chunked": "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
}

func unsafeRequest(framing string) (id, text string) {
	id = newID()
	return id, "POST /act HTTP/1.1\r\nHost: a\r\nX-Request-Id: " + id + "\r\nX-Deadline: 6\r\n" + unsafeRequests[framing]
}

// startBreaking is an upstream that resets its next connection as soon as some
// of a request is there, if breaks asks for it, and is a good one otherwise.
func startBreaking(t *testing.T, breaks *atomic.Bool) *upstreamServer {
	t.Helper()
	u := &upstreamServer{ln: listen(t), serve: good}
	go func() {
		for {
			c, err := u.ln.Accept()
			if err != nil {
				return
			}
			if breaks.CompareAndSwap(true, false) {
				_, _ = c.Read(make([]byte, 1)) // the reset follows in any case
				reset(c)
				c.Close()
				continue
			}
			go u.run(c)
		}
	}()
	return u
}

// A connection that breaks with a request's first bytes has not received its last: even a
// non-idempotent request is retried.
func TestDisconnectBeforeTheLastByteIsRetried(t *testing.T) {
	t.Parallel()
	for framing := range unsafeRequests {
		t.Run(framing, func(t *testing.T) {
			t.Parallel()
			var breaks atomic.Bool
			breaks.Store(true)
			one, two := startBreaking(t, &breaks), startBreaking(t, &breaks)
			s := startSidecar(t, one.addr(), two.addr())
			s.httpPool.LastByteDelay = time.Second // for a slow machine
			id, text := unsafeRequest(framing)
			if r, body := exchange(t, s, text); r == nil || r.StatusCode != http.StatusOK || body != id {
				t.Errorf("answered %v %q", r, body)
			}
			if n := one.seen.Load() + two.seen.Load(); n != 1 {
				t.Errorf("it ran %d times", n)
			}
			eventually(t, "the broken connection is let go", func() bool { return poolOpen(s) == 1 })
		})
	}
}

// After the last byte it may have run, and is not sent again.
func TestDisconnectAfterTheLastByteIsNotRetried(t *testing.T) {
	t.Parallel()
	for framing := range unsafeRequests {
		t.Run(framing, func(t *testing.T) {
			t.Parallel()
			serve := func(c net.Conn, _ *http.Request, _ int64) bool { return reset(c) }
			one, two := startUpstream(t, serve), startUpstream(t, serve)
			s := startSidecar(t, one.addr(), two.addr())
			_, text := unsafeRequest(framing)
			if r, _ := exchange(t, s, text); r == nil || r.StatusCode != http.StatusBadGateway {
				t.Errorf("answered %v", r)
			}
			if n := one.seen.Load() + two.seen.Load(); n != 1 {
				t.Errorf("it ran %d times", n)
			}
		})
	}
}

// The last byte is held back in a sidecar as it starts: the tests above set
// their own time.
func TestLastByteIsDelayedByDefault(t *testing.T) {
	t.Parallel()
	s := startSidecar(t, startUpstream(t, good).addr())
	if hold := s.httpPool.LastByteDelay; hold < 500*time.Microsecond || hold > 5*time.Millisecond {
		t.Errorf("the last byte is delayed for %v, wanted about 1ms", hold)
	}
}
