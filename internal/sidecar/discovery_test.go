package sidecar

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// withDiscovery starts a sidecar whose discovery is a handler of the test's; it
// knows one upstream.
func withDiscovery(t *testing.T, h http.HandlerFunc) (*Sidecar, *upstreamServer) {
	t.Helper()
	up := startUpstream(t, good)
	d := httptest.NewServer(h)
	t.Cleanup(d.CloseClientConnections)
	cfg, err := parseConfig([]byte(configText(d.Listener.Addr().String(), up.addr())))
	if err != nil {
		t.Fatal(err)
	}
	s, err := Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Drain)
	return s, up
}

// A change of an older version than the list's is not taken, and the whole list
// is asked for next.
func TestOlderDeltaIsNotApplied(t *testing.T) {
	t.Parallel()
	var calls atomic.Int64
	again := make(chan string, 64)
	var up *upstreamServer
	ready := make(chan struct{})
	s, u := withDiscovery(t, func(w http.ResponseWriter, r *http.Request) {
		<-ready
		switch calls.Add(1) {
		case 1:
			trySend(w, listText(9, up.addr()))
		case 2:
			trySend(w, fmt.Sprintf(`{"index":5,"snapshot":false,"endpoints":[{"name":"s-%s","address":%q,"zone":"a","group":1,"status":"left","since_ms":0}]}`, up.addr(), up.addr()))
		default:
			again <- r.URL.RawQuery
			<-r.Context().Done()
		}
	})
	up = u
	close(ready)
	select {
	case query := <-again:
		if query != "" {
			t.Errorf("the next call asked for %q, want the whole list", query)
		}
	case <-time.After(patience):
		t.Fatal("no further call")
	}
	wantServed(t, s)
}

// Discovery that takes a call and says nothing is called again in the end.
func TestUnresponsiveDiscoveryIsCalledAgain(t *testing.T) {
	t.Parallel()
	var calls atomic.Int64
	again := make(chan struct{}, 64)
	withDiscovery(t, func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) > 1 {
			again <- struct{}{}
		}
		<-r.Context().Done()
	})
	// Up to 2 s until it is asked at all, 6 for the call, then the module's pause.
	for range 4 {
		select {
		case <-again:
			return
		case <-time.After(patience):
		}
	}
	t.Error("no second call")
}

// A client that goes away ends the work that was begun for it, long before the
// request's own end.
func TestWorkEndsWithItsClient(t *testing.T) {
	t.Parallel()
	begun, ended := make(chan struct{}, 1), make(chan struct{}, 1)
	up := startUpstream(t, func(c net.Conn, r *http.Request, _ int64) bool {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			t.Error(err)
		}
		begun <- struct{}{}
		_, _ = c.Read(make([]byte, 1)) // ends when the sidecar closes or resets the connection
		ended <- struct{}{}
		return false
	})
	s := startSidecar(t, up.addr())
	c := dialClient(t, s)
	_, text := unsafeRequest("byte")
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	<-begun
	c.Close()
	select {
	case <-ended:
	case <-time.After(5 * time.Second): // its own end is at 6 s
		t.Error("the work continued without its client")
	}
}
