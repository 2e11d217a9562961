// Package httpupstream sends attempts over HTTP/1.1. It keeps a pool of connections to the
// upstreams, with one request at a time on each connection, and derives from the end of
// each attempt whether the request may have been executed.
package httpupstream

import (
	"context"
	"net"
	"sync"
	"time"

	"otterspring/internal/sidecar/dispatch"
	"otterspring/internal/simprotocol"
)

const (
	// idleMargin is the margin before the upstream's idle timeout. The pool does not use a
	// connection within this margin. The margin is at most half of the timeout. A request
	// that is sent while the upstream closes the connection may have been executed.
	idleMargin    = 400 * time.Millisecond
	sweepInterval = 500 * time.Millisecond
	// resetDelay is the time between the FIN and the reset of an aborted connection.
	resetDelay = 50 * time.Millisecond
)

// Pool holds the idle connections to the upstreams and counts all connections. It is safe
// for concurrent use. No I/O except closing is done under its lock.
type Pool struct {
	// LastByteDelay is how long the last byte of a request is held back. It may be set
	// only before the first attempt.
	LastByteDelay time.Duration
	// Dial opens a connection. It may be set only before the first attempt.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	maxConnections int
	maxIdle        time.Duration // maximum idle time according to the settings
	dialTimeout    time.Duration

	mu        sync.Mutex
	upstreams map[*upstream]bool // upstreams with idle connections
	open      int
	staleness staleness // reduces maxIdle according to observed resets
	surplus   surplus   // sets the minimum idle time according to observed surplus bytes
}

// New returns a pool of at most maxOpen connections.
func New(settings simprotocol.ConnectionSettings, maxOpen int) *Pool {
	dialer := net.Dialer{KeepAlive: -1}
	return &Pool{
		Dial:      dialer.DialContext,
		upstreams: map[*upstream]bool{}, maxConnections: maxOpen, dialTimeout: settings.DialTimeout, LastByteDelay: lastByteDelay,
		maxIdle: max(settings.IdleTimeout-idleMargin, settings.IdleTimeout/2),
	}
}

// upstream is one incarnation of a server at one address. A server that moves or restarts
// gets a new upstream. The fields after address are guarded by the pool's lock.
type upstream struct {
	pool    *Pool
	address string
	idle    []*conn // idle connections; the one that has been idle longest comes first
	retired bool    // whether connections are closed after use instead of being kept idle
}

// Open returns an Upstream for an address. It does not connect.
func (p *Pool) Open(address string, _ int64) dispatch.Upstream {
	return &upstream{pool: p, address: address}
}

// CloseIdle closes the idle connections to the upstream.
func (u *upstream) CloseIdle() { u.pool.closeIdle(u) }

// Retire closes the idle connections. From then on connections are closed after use.
func (u *upstream) Retire() { u.pool.retire(u) }

// Counts returns the number of open connections, and how many of them are idle.
func (p *Pool) Counts() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for u := range p.upstreams {
		idle += len(u.idle)
	}
	return p.open, idle
}

// takeIdle returns the most recently used idle connection to an upstream that has been quiet for
// long enough, or nil if there is none.
func (p *Pool) takeIdle(u *upstream) *conn {
	for {
		p.mu.Lock()
		now := time.Now()
		quietTime := p.surplus.quietTime(now)
		i := len(u.idle) - 1
		for i >= 0 && now.Sub(u.idle[i].idleSince) < quietTime {
			i--
		}
		if i < 0 || now.Sub(u.idle[i].idleSince) >= p.staleness.limit(now, p.maxIdle) {
			p.mu.Unlock()
			return nil
		}
		c := u.idle[i]
		c.idleTime = now.Sub(c.idleSince)
		p.remove(u, i)
		p.mu.Unlock()
		switch c.idleState() {
		case idleQuiet:
			return c
		case idleWithSurplus:
			p.recordSurplus()
		}
		p.discard(c)
	}
}

// recordSurplus records that bytes which belong to no request have arrived on a connection.
func (p *Pool) recordSurplus() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.surplus.record(time.Now())
}

// remove removes the i-th idle connection. The caller holds the lock.
func (p *Pool) remove(u *upstream, i int) {
	copy(u.idle[i:], u.idle[i+1:])
	u.idle[len(u.idle)-1] = nil
	u.idle = u.idle[:len(u.idle)-1]
	if len(u.idle) == 0 {
		delete(p.upstreams, u)
	}
}

// putIdle returns a connection to the pool after an attempt that left it reusable.
func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	u := c.upstream
	if u.retired {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	c.idleSince, c.setReadTimeout, c.responseStarted = time.Now(), nil, false
	u.idle = append(u.idle, c)
	p.upstreams[u] = true
	p.mu.Unlock()
}

// recordUse records whether a connection turned out to be dead when it was used after
// idleTime. New connections, whose idleTime is 0, are ignored.
func (p *Pool) recordUse(idleTime time.Duration, dead bool) {
	if idleTime == 0 {
		return
	}
	p.mu.Lock()
	p.staleness.record(time.Now(), idleTime, dead)
	p.mu.Unlock()
}

// discard closes a connection and releases its slot.
func (p *Pool) discard(c *conn) {
	c.Close()
	p.release()
}

// release frees the slot of a connection that was closed or could not be opened.
func (p *Pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// abort closes a connection whose attempt may not be complete at the upstream. It sends a
// FIN at once, which makes the upstream stop its work, and resets the connection after
// resetDelay, which discards the data that the kernel has not delivered. After a plain
// close the kernel would retransmit that data for minutes over a partitioned network, and
// the request would be executed when the network recovers. By then the request may have
// been abandoned or even executed elsewhere. The reset also protects against upstreams that
// stop reading for a while. If the network's latency is higher than resetDelay, the
// upstream sees only the reset.
func (p *Pool) abort(c *conn) {
	tcp := c.Conn.(*net.TCPConn)
	if tcp.CloseWrite() != nil {
		p.discard(c) // already closed
		return
	}
	time.AfterFunc(resetDelay, func() {
		_ = tcp.SetLinger(0) // fails only on a closed connection
		p.discard(c)
	})
}

// reserve takes a slot for a new connection, if necessary by closing the connection that
// has been idle longest. It returns false if all connections are in use.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open < p.maxConnections {
		p.open++
		return true
	}
	var oldest *upstream
	for u := range p.upstreams {
		if oldest == nil || u.idle[0].idleSince.Before(oldest.idle[0].idleSince) {
			oldest = u
		}
	}
	if oldest == nil {
		return false
	}
	c := oldest.idle[0]
	p.remove(oldest, 0)
	c.Close()
	return true
}

// closeIf calls matches for each idle connection to an upstream, and closes the connection if
// the result is true.
func (p *Pool) closeIf(u *upstream, matches func(*conn) bool) {
	var closing []*conn
	p.mu.Lock()
	for i := 0; i < len(u.idle); {
		if c := u.idle[i]; matches(c) {
			p.remove(u, i)
			closing = append(closing, c)
		} else {
			i++
		}
	}
	p.mu.Unlock()
	for _, c := range closing {
		p.discard(c)
	}
}

func matchAll(*conn) bool { return true }

// hasEnded reports whether an idle connection can't be used again, and records surplus bytes. The
// caller holds the lock.
func (p *Pool) hasEnded(c *conn) bool {
	state := c.idleState()
	if state == idleWithSurplus {
		p.surplus.record(time.Now())
	}
	return state != idleQuiet
}

// closeIdle closes the idle connections to an upstream.
func (p *Pool) closeIdle(u *upstream) { p.closeIf(u, matchAll) }

// retire closes the idle connections to an upstream and marks it as retired.
func (p *Pool) retire(u *upstream) {
	p.mu.Lock()
	u.retired = true
	p.mu.Unlock()
	p.closeIf(u, matchAll)
}

// Sweep periodically closes connections that have been idle for too long, until stop is
// closed.
func (p *Pool) Sweep(stop <-chan struct{}) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-ticker.C:
			p.mu.Lock()
			limit := p.staleness.limit(now, p.maxIdle)
			upstreams := make([]*upstream, 0, len(p.upstreams))
			for u := range p.upstreams {
				upstreams = append(upstreams, u)
			}
			p.mu.Unlock()
			for _, u := range upstreams {
				p.closeIf(u, func(c *conn) bool { return now.Sub(c.idleSince) >= limit || p.hasEnded(c) })
			}
		}
	}
}
