package sidecar

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Upstreams that drop idle connections without closing them cost a few requests, not every
// one after an idle interval.
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
			reset(c)
			return false
		}
		last[c.RemoteAddr().String()] = time.Now()
		return good(c, r, 0)
	})
	s := startSidecar(t, up.addr())
	request := func() {
		exchange(t, s, "POST /act HTTP/1.1\r\nHost: a\r\nX-Request-Id: "+newID()+"\r\nX-Deadline: 6\r\nContent-Length: 0\r\n\r\n")
	}
	for range 12 { // short intervals, no failure
		request()
		time.Sleep(10 * time.Millisecond)
	}
	const rounds = 16
	for range rounds {
		request()
		time.Sleep(10 * time.Millisecond)
		request() // a success between, or the upstream would be out for its resets
		time.Sleep(2 * kept)
	}
	if n := dead.Load(); n > rounds/2 {
		t.Errorf("%d of %d requests were written to forgotten connections", n, rounds)
	}
}
