package httpupstream

import (
	"net"
	"testing"
	"time"

	"otterspring/balance"
	"otterspring/internal/simprotocol"
)

// The pool has to stop using an idle connection before the upstream closes the connection: a
// request that is sent during the close may have been executed.
func TestMaxIdleIsBelowUpstreamTimeout(t *testing.T) {
	for setting, want := range map[time.Duration]time.Duration{5 * time.Second: 4600 * time.Millisecond, 500 * time.Millisecond: 250 * time.Millisecond} {
		if got := New(simprotocol.ConnectionSettings{IdleTimeout: setting}, 8).maxIdle; got != want {
			t.Errorf("upstream idle timeout %v: found a limit of %v, wanted %v", setting, got, want)
		}
	}
}

// Guards against reusing a connection to an upstream that moved or restarted, regardless of
// whether the connection was idle at that time or is returned to the pool later.
func TestRetiredUpstreamKeepsNoConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	pool := New(simprotocol.ConnectionSettings{IdleTimeout: 5 * time.Second}, 8)
	u := &upstream{address: listener.Addr().String()}
	open := func() *conn {
		connection, err := net.Dial("tcp", u.address)
		if err != nil {
			t.Fatal(err)
		}
		c, err := newConn(connection, u)
		if err != nil {
			t.Fatal(err)
		}
		pool.open++
		return c
	}
	before, after := open(), open()
	pool.putIdle(before)
	pool.retire(u)
	pool.putIdle(after)
	for _, c := range []*conn{before, after} {
		if _, err := c.Write([]byte("x")); err == nil {
			t.Error("a connection to a retired upstream is still open")
		}
	}
	if len(u.idle) != 0 || pool.open != 0 {
		t.Errorf("found %d idle and %d open connections, wanted none", len(u.idle), pool.open)
	}
}

// Guards against attributing the sidecar's own lack of connections to an upstream, which
// would eject servers that work.
func TestExhaustedPoolIsNotAnUpstreamFailure(t *testing.T) {
	pool := New(simprotocol.ConnectionSettings{IdleTimeout: 5 * time.Second, DialTimeout: time.Second}, 0)
	a := &attempt{upstream: pool.Open("127.0.0.1:1", 0).(*upstream)}
	if c, status := a.connect(); c != nil || status != balance.NeverSent {
		t.Errorf("pool without slots: found connection %v and status %d, wanted none and NeverSent", c, status)
	}
	if open, idle := pool.Counts(); open != 0 || idle != 0 {
		t.Errorf("found %d open and %d idle connections, wanted none", open, idle)
	}
}
