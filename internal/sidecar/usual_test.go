package sidecar

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// reset ends a connection so that its other side sees a reset.
func reset(c net.Conn) bool {
	_ = c.(*net.TCPConn).SetLinger(0) // fails only on a closed connection
	return false
}

func actRequest(id string) string {
	return "POST /act HTTP/1.1\r\nHost: a\r\nX-Request-Id: " + id + "\r\nX-Deadline: 6\r\nContent-Length: 1\r\n\r\nx"
}

// One reset does not limit a working upstream to a request at a time.
func TestOneResetLeavesAnUpstreamInUse(t *testing.T) {
	t.Parallel()
	const together = 4
	came, all := make(chan bool, together), make(chan bool)
	up := startUpstream(t, func(c net.Conn, r *http.Request, nth int64) bool {
		if nth == 1 {
			return reset(c)
		}
		came <- true
		<-all
		return good(c, r, 0)
	})
	s := startSidecar(t, up.addr())
	exchange(t, s, actRequest(newID()))
	for range together {
		c := dialClient(t, s)
		send(t, c, actRequest(newID()))
	}
	eventually(t, "all are at the upstream together", func() bool { return len(came) == together })
	close(all)
}

// Upstreams with frequent resets stay in use, also those with two in a row.
func TestFrequentResetsEjectNoUpstream(t *testing.T) {
	t.Parallel()
	var hold atomic.Bool
	end := make(chan bool)
	t.Cleanup(func() { close(end) })
	var held [2]atomic.Int64
	serve := func(i int) func(net.Conn, *http.Request, int64) bool {
		return func(c net.Conn, r *http.Request, nth int64) bool {
			if hold.Load() {
				held[i].Add(1)
				<-end
				return false
			}
			time.Sleep(time.Millisecond) // so that both are in use
			if nth < 80 && nth%4 == 0 || nth >= 80 && nth%5 < 2 {
				return reset(c)
			}
			return good(c, r, 0)
		}
	}
	one, two := startUpstream(t, serve(0)), startUpstream(t, serve(1))
	s := startSidecar(t, one.addr(), two.addr())
	var all sync.WaitGroup
	for range 4 {
		all.Go(func() {
			for range 100 {
				exchange(t, s, actRequest(newID()))
			}
		})
	}
	all.Wait()
	hold.Store(true)
	for n := int64(1); n <= 12; n++ {
		c := dialClient(t, s)
		send(t, c, actRequest(newID()))
		eventually(t, "the request is at an upstream", func() bool { return held[0].Load()+held[1].Load() == n })
	}
	if a, b := held[0].Load(), held[1].Load(); a == 0 || b == 0 {
		t.Errorf("found %d and %d requests at the upstreams, wanted some at each", a, b)
	}
}
