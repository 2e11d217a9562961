// Package lossylink simulates an unreliable network between UDP endpoints on loopback. It
// forwards datagrams. As drawn from a seed, it drops, duplicates and delays some of them, and
// the delays reorder them. As behind a NAT router, each client has its own socket towards the
// server, and Rebind moves clients to new sockets.
package lossylink

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Faults configures how the link impairs datagrams.
type Faults struct {
	DropEvery int           // drops every n-th datagram, counted over both directions; 0 for none
	Drop      float64       // probability that a datagram is dropped
	Duplicate float64       // probability that a datagram is sent twice
	Delay     time.Duration // maximum delay; the delay of each datagram is drawn, so that datagrams are reordered
}

// MaxClients is the maximum number of clients of a link. Each client has one socket towards
// the server.
const MaxClients = 2048

// MaxInFlight is the maximum number of datagrams that a link delays at a time. Further
// datagrams are dropped and counted as dropped.
const MaxInFlight = 1 << 16

// Link forwards datagrams between its clients and one server.
type Link struct {
	target netip.AddrPort
	conn   *net.UDPConn

	mu       sync.Mutex
	rng      *rand.Rand
	faults   Faults
	received int
	clients  map[netip.AddrPort]*client
	inFlight int
	closed   bool
	timers   map[*time.Timer]bool
	wg       sync.WaitGroup

	forwarded, dropped, duplicated atomic.Int64
}

// client is an endpoint that sends through the link. conn is its socket towards the server.
type client struct {
	addr netip.AddrPort
	conn *net.UDPConn
}

// Start opens a link to target, which must be a loopback address, on a free loopback port.
func Start(target netip.AddrPort, f Faults, seed uint64) (*Link, error) {
	if !target.Addr().IsLoopback() {
		return nil, fmt.Errorf("lossylink: found %s, wanted a loopback address", target)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		return nil, err
	}
	l := &Link{target: target, conn: conn, rng: rand.New(rand.NewPCG(seed, 0x6c696e6b)), faults: f,
		clients: map[netip.AddrPort]*client{}, timers: map[*time.Timer]bool{}}
	l.wg.Add(1)
	go l.readClients()
	return l, nil
}

// Addr returns the address that clients send to.
func (l *Link) Addr() netip.AddrPort { return l.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// SetFaults replaces the faults for the datagrams that arrive from now on.
func (l *Link) SetFaults(f Faults) {
	l.mu.Lock()
	l.faults = f
	l.mu.Unlock()
}

// Counts returns the numbers of datagrams forwarded, dropped and duplicated.
func (l *Link) Counts() (passed, dropped, doubled int) {
	return int(l.forwarded.Load()), int(l.dropped.Load()), int(l.duplicated.Load())
}

// Rebind gives every client a new socket towards the server, like a NAT router that
// has lost its address mappings. Datagrams that the server sends to the old sockets
// are lost.
func (l *Link) Rebind() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for a, c := range l.clients {
		c.conn.Close()
		delete(l.clients, a)
	}
}

// Close stops the link, discards delayed datagrams and waits for its goroutines.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	for t := range l.timers {
		if t.Stop() {
			l.wg.Done()
		}
	}
	clear(l.timers)
	l.mu.Unlock()
	l.conn.Close()
	l.Rebind()
	l.wg.Wait()
}

// readClients forwards datagrams from clients to the server.
func (l *Link) readClients() {
	defer l.wg.Done()
	buf := make([]byte, 64<<10)
	for {
		n, from, err := l.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // ICMP port unreachable for an earlier datagram
		}
		c := l.client(from)
		if c == nil {
			l.dropped.Add(1)
			continue
		}
		text := append([]byte(nil), buf[:n]...)
		l.forward(func() { c.conn.Write(text) })
	}
}

// client returns the client with the address from, and adds the client if it is new. It
// returns nil if the link is closed, has MaxClients clients or can open no socket.
func (l *Link) client(from netip.AddrPort) *client {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.clients[from]; c != nil {
		return c
	}
	if l.closed || len(l.clients) >= MaxClients {
		return nil
	}
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(l.target))
	if err != nil {
		return nil
	}
	c := &client{addr: from, conn: conn}
	l.clients[from] = c
	l.wg.Add(1)
	go l.readServer(c)
	return c
}

// readServer forwards datagrams from the server to one client.
func (l *Link) readServer(c *client) {
	defer l.wg.Done()
	buf := make([]byte, 64<<10)
	for {
		n, err := c.conn.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // ICMP port unreachable: the server is not listening
		}
		text := append([]byte(nil), buf[:n]...)
		l.forward(func() { l.conn.WriteToUDPAddrPort(text, c.addr) })
	}
}

// forward calls send for one datagram, subject to the configured faults.
func (l *Link) forward(send func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.received++
	f := l.faults
	if f.DropEvery > 0 && l.received%f.DropEvery == 0 || l.rng.Float64() < f.Drop || l.inFlight >= MaxInFlight {
		l.dropped.Add(1)
		return
	}
	copies := 1
	if l.rng.Float64() < f.Duplicate {
		copies = 2
		l.duplicated.Add(1)
	}
	for range copies {
		l.forwarded.Add(1)
		if f.Delay <= 0 {
			send()
			continue
		}
		l.sendAfter(time.Duration(l.rng.Int64N(int64(f.Delay))), send)
	}
}

// sendAfter calls send after d. The caller holds the mutex.
func (l *Link) sendAfter(d time.Duration, send func()) {
	l.inFlight++
	l.wg.Add(1)
	var t *time.Timer
	t = time.AfterFunc(d, func() {
		defer l.wg.Done()
		l.mu.Lock()
		delete(l.timers, t)
		l.inFlight--
		closed := l.closed
		l.mu.Unlock()
		if !closed {
			send()
		}
	})
	l.timers[t] = true
}
