package sidecar

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"otterspring/balance"
	"otterspring/internal/sidecar/dispatch"
)

// These tests force rare orders of events deterministically over real connections: a peer
// acts only after a condition holds. The tests read the condition from the kernel's socket
// tables or from the sidecar. docs/design/orders.md lists the state transition that each
// test forces.

// Linux TCP states that the tests wait for.
const (
	tcpFinWait1 = 4
	tcpClosed   = 7
)

// startWithChanges starts a sidecar. replacements contains pairs of an old and a new text,
// which are applied to the sidecar's configuration.
func startWithChanges(t *testing.T, replacements []string, upstreams ...string) *Sidecar {
	t.Helper()
	text := configText(startDiscovery(t, upstreams...), upstreams...)
	for i := 0; i < len(replacements); i += 2 {
		if !strings.Contains(text, replacements[i]) {
			t.Fatalf("the configuration has no %s", replacements[i])
		}
		text = strings.ReplaceAll(text, replacements[i], replacements[i+1])
	}
	cfg, err := parseConfig([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	s, err := Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	stopOnCleanup(t, s)
	return s
}

func newPutRequest(id string) string {
	return "POST /put HTTP/1.1\r\nHost: a\r\nX-Request-Id: " + id + "\r\nIdempotency-Key: k\r\nX-Deadline: 6\r\nContent-Length: 1\r\n\r\nx"
}

// A request with an idempotency key that may have been executed is retried, but the
// connection for the retry is established only after the deduplication window has passed.
// In that case the retry must not be sent.
func TestRetryWithKeyArrivesInItsWindowOrNever(t *testing.T) {
	t.Parallel()
	one := startUpstream(t, func(c net.Conn, _ *http.Request, _ int64) bool { return reset(c) })
	delayed := startDelayedUpstream(t, echoRequestID)
	const window = 2500 * time.Millisecond // long enough that a slow machine starts the retry within it
	s := startWithChanges(t, []string{`"window-us":4000000`, fmt.Sprintf(`"window-us":%d`, window.Microseconds()), `"dial-timeout-us":2000000`, `"dial-timeout-us":60000000`, "8000000", "80000000"}, one.addr())
	delayed.holdDials(s)
	s.dispatcher.UpdateEndpoints(balance.ListDelta, dispatch.EndpointList{Version: 10, Endpoints: []dispatch.Endpoint{
		{Server: balance.Server{ID: "late", Zone: "a", Cell: 1}, Address: delayed.addr()}}}, 0)
	// A random upstream gets the first attempt. The loop repeats until that is the upstream
	// that resets its connections: a first attempt at the delayed upstream proves nothing.
	for start := time.Now(); one.requestCount.Load() == 0; {
		if time.Since(start) > testTimeout {
			t.Fatal("no first attempt reached the upstream that resets")
		}
		id := newID()
		c := dialClient(t, s)
		send(t, c, newPutRequest(id))
		eventually(t, "a first attempt", func() bool {
			return one.requestCount.Load() > 0 || delayed.pendingDials.Load() > 0
		})
		if one.requestCount.Load() == 0 {
			c.Close()
			eventually(t, "the end of the attempt at the delayed upstream", func() bool { return delayed.pendingDials.Load() == 0 })
			continue
		}
		delayed.awaitDial(t)
		time.Sleep(window) // the connection is established after the window
		delayed.releaseDials()
		if r, _ := readResponse(t, c); r == nil || r.StatusCode != http.StatusBadGateway {
			t.Errorf("got %v, want 502, since the request may have been executed", r)
		}
	}
	if n := delayed.requestCount.Load(); n != 0 {
		t.Errorf("found %d retries after the window, want none", n)
	}
}

// Discovery reports an upstream as draining while a connection to it is being established.
// No attempt may be sent on that connection.
func TestNoAttemptReachesADrainingServerOnALateConnection(t *testing.T) {
	t.Parallel()
	delayed, other := startDelayedUpstream(t, echoRequestID), startUpstream(t, echoRequestID)
	s := startSidecar(t, delayed.addr())
	delayed.holdDials(s)
	id := newID()
	c := dialClient(t, s)
	send(t, c, newReadRequest(id))
	delayed.awaitDial(t)
	entry := func(addr string, state balance.ServerState) dispatch.Endpoint {
		return dispatch.Endpoint{Server: balance.Server{ID: "s-" + addr, Zone: "a", Cell: 1, State: state}, Address: addr}
	}
	s.dispatcher.UpdateEndpoints(balance.ListDelta, dispatch.EndpointList{Version: 10, Endpoints: []dispatch.Endpoint{
		entry(delayed.addr(), balance.Draining), entry(other.addr(), balance.Ready)}}, 0)
	delayed.releaseDials()
	if r, body := readResponse(t, c); r == nil || r.StatusCode != http.StatusOK || body != id {
		t.Fatalf("got %v %q, want 200 with the request ID", r, body)
	}
	if n := delayed.requestCount.Load(); n != 0 || other.requestCount.Load() != 1 {
		t.Errorf("requests: found %d at the draining upstream and %d at the other, want 0 and 1", n, other.requestCount.Load())
	}
}

// A client disconnects while its request waits for a connection to an upstream. The attempt
// must not start, even if the settings do not allow attempts to be canceled.
func TestNoAttemptStartsForADisconnectedClient(t *testing.T) {
	t.Parallel()
	for _, canCancel := range []string{"true", "false"} {
		t.Run("cancel "+canCancel, func(t *testing.T) {
			t.Parallel()
			delayed := startDelayedUpstream(t, echoRequestID)
			s := startWithChanges(t, []string{`"cancel":true`, `"cancel":` + canCancel}, delayed.addr())
			delayed.holdDials(s)
			c := dialClient(t, s)
			send(t, c, newReadRequest(newID()))
			delayed.awaitDial(t)
			c.Close()
			eventually(t, "the disconnect is noticed", func() bool { return s.httpServer.Drained() })
			delayed.releaseDials()
			eventually(t, "the connection is idle or its dial has ended", func() bool {
				open, idle := s.httpPool.Counts()
				return open == idle || delayed.requestCount.Load() > 0
			})
			if n := delayed.requestCount.Load(); n != 0 {
				t.Errorf("found %d requests for a disconnected client, want none", n)
			}
		})
	}
}

// A client sends more bytes after its request and disconnects. The unread bytes must not
// keep the sidecar from noticing the disconnect.
func TestDisconnectBehindUnreadBytesIsNoticed(t *testing.T) {
	t.Parallel()
	for how, disconnect := range map[string]func(c net.Conn){
		"close":      func(c net.Conn) { c.Close() },
		"reset":      func(c net.Conn) { reset(c); c.Close() },
		"half-close": func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() }, // the test checks that the upstream's read ends
	} {
		for what, trailing := range map[string]string{"nothing": "", "a byte": "G", "a request": newReadRequest("behind"), "60 KiB": strings.Repeat("x", 60<<10)} {
			t.Run(how+" after "+what, func(t *testing.T) {
				t.Parallel()
				ended := make(chan struct{}, 1)
				up := startUpstream(t, func(c net.Conn, _ *http.Request, nth int64) bool {
					if nth == 1 {
						_, _ = c.Read(make([]byte, 1)) // returns with any error when the sidecar ends the attempt
						ended <- struct{}{}
					}
					return false
				})
				// The long deadline ensures that nothing else ends the attempt during the test.
				s := startWithChanges(t, []string{"8000000", "80000000"}, up.addr())
				c := dialClient(t, s)
				send(t, c, strings.Replace(newReadRequest(newID()), "X-Deadline: 6", "X-Deadline: 80", 1))
				eventually(t, "the request reaches the upstream", func() bool { return up.requestCount.Load() == 1 })
				trySend(c, trailing)
				disconnect(c)
				select {
				case <-ended:
				case <-time.After(testTimeout):
					t.Fatal("the attempt continues for a disconnected client")
				}
			})
		}
	}
}

// A connection is closed after its answer while bytes from the client are unread. A plain
// close would reset the connection and drop the part of the answer that is not delivered
// yet.
func TestAnswerSurvivesACloseOverUnreadBytes(t *testing.T) {
	t.Parallel()
	body := strings.Repeat("b", 30<<10)
	answer := make(chan struct{})
	up := startUpstream(t, func(c net.Conn, r *http.Request, n int64) bool {
		<-answer
		trySend(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
		return true
	})
	s := startSidecar(t, up.addr())
	s.httpServer.LingerTimeout = testTimeout // so that a slow machine passes
	// The small receive buffer keeps most of the answer in the sidecar's send buffer.
	small := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) { failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 2048) })
		return errors.Join(err, failed)
	}}
	c, err := small.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	send(t, c, newReadRequest(newID()))
	eventually(t, "the request reaches the upstream", func() bool { return up.requestCount.Load() == 1 })
	send(t, c, strings.Repeat("x", 60<<10))
	s.httpServer.SetDraining(true) // from now on each answer closes its connection
	close(answer)
	port := c.LocalAddr().(*net.TCPAddr).Port
	eventually(t, "the sidecar closes the connection", func() bool { return tcpState(t, c) == tcpClosed || countSocketsTo(t, port, tcpFinWait1) > 0 })
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(r.Body); err != nil || string(got) != body {
		t.Fatalf("received %d of %d bytes of the answer: %v", len(got), len(body), err)
	}
	c.Close()
	eventually(t, "the connection is released", s.httpServer.Drained)
}

// Lingering connections are bounded in number, time and bytes, so that clients that never
// close their side do not exhaust the connections.
func TestLingeringIsBounded(t *testing.T) {
	t.Parallel()
	s := startSidecar(t, startUpstream(t, echoRequestID).addr())
	s.httpServer.SetDraining(true)
	served, rejected := clientSockets(s.config.Sockets)
	for range 2 * (served + rejected) {
		c := dialClient(t, s)
		send(t, c, newReadRequest(newID()))
		if r, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || r.StatusCode != http.StatusOK {
			t.Fatal(r, err)
		}
		// The client never closes its side.
	}
	eventually(t, "all connections are released", s.httpServer.Drained)
}

// Checks drains that start between any two steps of a request. An accepted request is
// answered. The connection of an incomplete request is closed, and nothing that arrives
// after the close is forwarded.
func TestDrainBetweenAnyTwoSteps(t *testing.T) {
	t.Parallel()
	put := newPutRequest("")
	for name, cut := range map[string]int{"accepted": 0, "within the header": 20, "between header and body": len(put) - 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			up := startUpstream(t, echoRequestID)
			s := startSidecar(t, up.addr())
			c := dialClient(t, s)
			text := newPutRequest(newID())
			cut := cut
			if cut > 20 {
				cut = len(text) - 1
			}
			send(t, c, text[:cut])
			drained := make(chan struct{})
			go func() { s.Drain(); close(drained) }()
			rest, _ := io.ReadAll(c) // reads until the connection is closed; the error may be a reset
			if len(rest) > 0 && !strings.HasPrefix(string(rest), "HTTP/1.1 4") {
				t.Errorf("answer: found %q, wanted none or 4xx", rest)
			}
			trySend(c, text[cut:])
			awaitClosed(t, drained)
			if n := up.requestCount.Load(); n != 0 {
				t.Errorf("found %d requests at the upstream after the close, wanted none", n)
			}
		})
	}
	t.Run("between answer and next request", func(t *testing.T) {
		t.Parallel()
		s := startSidecar(t, startUpstream(t, echoRequestID).addr())
		c := dialClient(t, s)
		br := bufio.NewReader(c)
		for i := range 2 {
			id := newID()
			send(t, c, newReadRequest(id))
			r, err := http.ReadResponse(br, nil)
			if err != nil {
				t.Fatal(err)
			}
			if body, err := io.ReadAll(r.Body); err != nil || string(body) != id || r.Close != (i == 1) {
				t.Fatalf("answer %d: got %q, %v, close %v", i, body, err, r.Close)
			}
			if i == 0 {
				drained := make(chan struct{})
				go func() { s.Drain(); close(drained) }()
				defer awaitClosed(t, drained)
				eventually(t, "the drain has started", s.httpServer.Draining)
			}
		}
	})
	t.Run("while an attempt dials", func(t *testing.T) {
		t.Parallel()
		delayed := startDelayedUpstream(t, echoRequestID)
		// The long dial timeout allows for a slow machine.
		s := startWithChanges(t, []string{`"dial-timeout-us":2000000`, `"dial-timeout-us":60000000`, "8000000", "80000000"}, delayed.addr())
		delayed.holdDials(s)
		checkAnsweredDuringDrain(t, s, func() { delayed.awaitDial(t) }, delayed.releaseDials)
	})
	t.Run("while the endpoint list is empty", func(t *testing.T) {
		t.Parallel()
		up := startUpstream(t, echoRequestID)
		s := startSidecar(t)
		checkAnsweredDuringDrain(t, s, func() {
			eventually(t, "the request is pending", func() bool { requests, _, _ := s.dispatcher.Counts(); return requests == 1 })
		}, func() {
			s.dispatcher.UpdateEndpoints(balance.ListDelta, dispatch.EndpointList{Version: 10, Endpoints: []dispatch.Endpoint{{Server: balance.Server{ID: "s", Zone: "a", Cell: 1}, Address: up.addr()}}}, 0)
		})
	})
}

// checkAnsweredDuringDrain starts a drain when awaitPending returns, calls unblock, and
// checks that the pending request is answered.
func checkAnsweredDuringDrain(t *testing.T, s *Sidecar, awaitPending, unblock func()) {
	t.Helper()
	c := dialClient(t, s)
	id := newID()
	send(t, c, strings.Replace(newReadRequest(id), "X-Deadline: 6", "X-Deadline: 30", 1))
	awaitPending()
	drained := make(chan struct{})
	go func() { s.Drain(); close(drained) }()
	eventually(t, "the drain has started", s.httpServer.Draining)
	unblock()
	if r, body := readResponse(t, c); r == nil || r.StatusCode != http.StatusOK || body != id || !r.Close {
		t.Errorf("got %v %q, want 200 with the request ID and Connection: close", r, body)
	}
	awaitClosed(t, drained)
}

func awaitClosed(t *testing.T, ended <-chan struct{}) {
	t.Helper()
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Error("channel not closed within the timeout")
	}
}

// A process that starts at the address of an earlier one is ready at once, even if the kernel
// still holds connections of that address in TIME_WAIT and discovery is unreachable.
func TestStartsWhileTheOldAddressIsInTimeWait(t *testing.T) {
	t.Parallel()
	const timeWait = 6
	up := startUpstream(t, echoRequestID)
	first := startSidecar(t, up.addr())
	first.httpServer.SetDraining(true) // makes the sidecar close its connections first, which leaves them in TIME_WAIT
	requireServed(t, first)
	port := first.httpServer.Listener().Addr().(*net.TCPAddr).Port
	eventually(t, "TIME_WAIT", func() bool { return countSocketsFrom(t, port, timeWait) > 0 })
	addr := first.Address()
	first.Drain()
	closed := listen(t)
	closed.Close()
	text := strings.Replace(configText(closed.Addr().String(), up.addr()), "127.0.0.1:0", addr, 1)
	cfg, err := parseConfig([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	second, err := Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	stopOnCleanup(t, second)
	if r, _ := exchange(t, second, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n"); r == nil || r.StatusCode != http.StatusOK {
		t.Errorf("/up: got %v, want 200", r)
	}
	requireServed(t, second)
}

// A response is not passed on to the client if the end of its connection truncates the
// response. The end may be a FIN or a reset. A response without a length is delimited by the
// close: it is complete after a FIN and truncated after a reset.
func TestTruncatedResponsesAreNoResponses(t *testing.T) {
	t.Parallel()
	delimitedByClose := map[string]bool{"no length": true, "no length, Connection: close": true, "HTTP/1.0": true}
	for what, text := range map[string]string{
		"nothing":                      "",
		"half a status line":           "HTTP/1.1 20",
		"half a header":                "HTTP/1.1 200 OK\r\nContent-Len",
		"a header":                     "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n",
		"all but the last byte":        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbod",
		"no length":                    "HTTP/1.1 200 OK\r\n\r\nbody",
		"no length, Connection: close": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody",
		"HTTP/1.0":                     "HTTP/1.0 200 OK\r\n\r\nbody",
		"chunks without the last one":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
		// A response is complete once the line of its last chunk has arrived (RFC 9112, section 8).
		"all but the last chunk's line": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0",
	} {
		for how, end := range map[string]func(net.Conn) bool{"FIN": func(net.Conn) bool { return false }, "reset": reset} {
			t.Run(how+" after "+what, func(t *testing.T) {
				t.Parallel()
				cut := func(c net.Conn, r *http.Request, n int64) bool {
					if r.URL.Path != "/act" {
						return echoRequestID(c, r, n)
					}
					trySend(c, text)
					return end(c)
				}
				one, two := startUpstream(t, cut), startUpstream(t, cut)
				s := startSidecar(t, one.addr(), two.addr())
				_, act := framedActRequest("body")
				if how == "FIN" && delimitedByClose[what] {
					if r, body := exchange(t, s, act); r == nil || r.StatusCode != http.StatusOK || body != "body" {
						t.Errorf("answer: found %v %q, wanted 200 body", r, body)
					}
				} else if r, body := exchange(t, s, act); r == nil || r.StatusCode != http.StatusBadGateway || body != "failed\n" {
					t.Errorf("answer: found %v %q, wanted 502 failed", r, body)
				}
				if n := one.requestCount.Load() + two.requestCount.Load(); n != 1 {
					t.Errorf("found %d attempts, wanted 1", n)
				}
				requireServed(t, s)
			})
		}
	}
}
