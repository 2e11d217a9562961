package sidecar

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// The limit falls to where resets begin to strike, is not moved by resets at
// any age, and comes back when they are over.
func TestStalenessFindsTheLimit(t *testing.T) {
	const most = 5 * time.Second
	now := time.Now()
	var s staleness
	for i := range 400 {
		s.learn(now, time.Duration(i)*2*time.Millisecond, i%20 == 0)
	}
	if l := s.limit(now, most); l != most {
		t.Errorf("resets at any age: limit %v", l)
	}
	for i := range 20 {
		s.learn(now, 200*time.Millisecond, i%2 == 0)
		s.learn(now, 200*time.Millisecond, true)
	}
	if l := s.limit(now, most); l > 200*time.Millisecond || l < 100*time.Millisecond {
		t.Errorf("resets from 200 ms on: limit %v", l)
	}
	if l := s.limit(now.Add(10*staleHalf), most); l != most {
		t.Errorf("long after: limit %v", l)
	}
}

// Upstreams that forget resting connections without a word cost a few requests,
// not all that come after a rest.
func TestForgottenConnectionsAreNotUsed(t *testing.T) {
	t.Parallel()
	const kept = 150 * time.Millisecond
	var dead atomic.Int64
	var mu sync.Mutex
	last := map[string]time.Time{} // of a connection's use
	up := startUpstream(t, func(c net.Conn, r *http.Request, _ int64) bool {
		mu.Lock()
		defer mu.Unlock()
		at, used := last[c.RemoteAddr().String()]
		if used && time.Since(at) > kept {
			dead.Add(1)
			c.(*net.TCPConn).SetLinger(0)
			return false
		}
		last[c.RemoteAddr().String()] = time.Now()
		return good(c, r, 0)
	})
	s := startSidecar(t, up.addr())
	ask := func() {
		exchange(t, s, "POST /act HTTP/1.1\r\nHost: a\r\nX-Request-Id: "+newID()+"\r\nX-Deadline: 6\r\nContent-Length: 0\r\n\r\n")
	}
	for range 12 { // short rests, all well
		ask()
		time.Sleep(2 * restFor)
	}
	const rounds = 16
	for range rounds {
		ask()
		time.Sleep(2 * restFor)
		ask() // a success between, or the upstream would be out for its resets
		time.Sleep(2 * kept)
	}
	if n := dead.Load(); n > rounds/2 {
		t.Errorf("%d of %d requests were written to forgotten connections", n, rounds)
	}
}
