package httpupstream

import (
	"net"
	"testing"
	"time"

	"otterspring/balance"
	"otterspring/internal/wire"
)

// A kept connection is out of use some time before its upstream closes it: a
// request that crosses the close may have run.
func TestPoolRestsLessThanUpstreamsAllow(t *testing.T) {
	for set, want := range map[time.Duration]time.Duration{5 * time.Second: 4600 * time.Millisecond, 500 * time.Millisecond: 250 * time.Millisecond} {
		if got := New(wire.Conns{Idle: set}, 8).idle; got != want {
			t.Errorf("upstreams close after %v: kept for %v, want %v", set, got, want)
		}
	}
}

// A connection to an upstream that moved or started anew is not kept, also one
// that comes back after that.
func TestRetiredHostsKeepNothing(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	p := New(wire.Conns{Idle: 5 * time.Second}, 8)
	h := &host{addr: ln.Addr().String()}
	open := func() *conn {
		nc, err := net.Dial("tcp", h.addr)
		if err != nil {
			t.Fatal(err)
		}
		c, err := newConn(nc, h)
		if err != nil {
			t.Fatal(err)
		}
		p.open++
		return c
	}
	before, after := open(), open()
	p.put(before)
	p.retire(h)
	p.put(after)
	for _, c := range []*conn{before, after} {
		if _, err := c.Write([]byte("x")); err == nil {
			t.Error("a connection to an upstream that moved is still open")
		}
	}
	if len(h.idle) != 0 || p.open != 0 {
		t.Errorf("%d are kept, %d counted", len(h.idle), p.open)
	}
}

// Want of the sidecar's own descriptors says nothing of the upstreams.
func TestOwnShareIsNotTheUpstreamsFault(t *testing.T) {
	p := New(wire.Conns{Idle: 5 * time.Second, Dial: time.Second}, 0)
	a := &attempt{host: p.Open("127.0.0.1:1", 0).(*host)}
	if c, status := a.connect(); c != nil || status != balance.NeverSent {
		t.Errorf("without descriptors: %v, status %d", c, status)
	}
	if open, idle := p.Counts(); open != 0 || idle != 0 {
		t.Errorf("%d open, %d idle", open, idle)
	}
}
