// Package relay is a TCP proxy on loopback that simulates the network between a sidecar
// and a call server. It forwards bytes and can delay them, reset connections and block
// either direction or both. A blocked relay behaves like a network partition: open
// connections stay open and silent, and new ones are not established.
package relay

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"otterspring/internal/lab/standin/deaf"
)

const (
	// MaxConns is the maximum number of client connections of a relay at a time.
	MaxConns  = 1024
	chunkSize = 16 << 10
)

// Conditions are the properties of the network while it is not blocked.
type Conditions struct {
	Delay  time.Duration // minimum delay in each direction
	Jitter time.Duration // maximum additional delay, which is drawn; bytes are not reordered
	Loss   float64       // probability that the first bytes of a request reset the connection
	Seed   uint64
}

// maxDelayedChunks is the maximum number of delayed chunks in each direction of a connection.
// Once it is reached, the relay stops reading from the sender.
const maxDelayedChunks = 64

// Relay forwards connections from one listener to one target.
type Relay struct {
	ln         *net.TCPListener
	target     func() string
	conditions Conditions

	extraDelay      atomic.Int64 // nanoseconds, added to the delay of conditions
	resetPerMillion atomic.Int64 // probability of a reset at the first bytes of a request, in millionths

	rngMu sync.Mutex
	rng   *rand.Rand // guarded by rngMu

	mu           sync.Mutex
	changed      *sync.Cond        // signals a change of blockedTo, blockedFrom, acceptPaused or closed
	blockedTo    bool              // data towards the server is held back
	blockedFrom  bool              // data from the server is held back
	queueFill    []net.Conn        // connections that fill the accept queue while the relay is blocked
	conns        map[net.Conn]bool // open connections on both sides
	upstream     map[net.Conn]bool // the subset of conns that leads to the server
	acceptPaused bool              // accept waits until the relay is unblocked
	halfOpen     bool              // when the server side of a connection closes, the client side is kept open
	closed       bool
	wg           sync.WaitGroup
}

// Start opens a relay without delay or loss. target is called for each new connection and
// returns the address to connect to.
func Start(target func() string) (*Relay, error) { return StartWithConditions(target, Conditions{}) }

// StartWithConditions opens a relay whose network has the given conditions.
func StartWithConditions(target func() string, conditions Conditions) (*Relay, error) {
	if a, err := netip.ParseAddrPort(target()); err != nil || !a.Addr().IsLoopback() {
		return nil, fmt.Errorf("relay: found %q, wanted a loopback address and a port", target())
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{ln: ln.(*net.TCPListener), target: target, conditions: conditions, rng: rand.New(rand.NewPCG(conditions.Seed, 0x776179)), conns: map[net.Conn]bool{}, upstream: map[net.Conn]bool{}}
	r.changed = sync.NewCond(&r.mu)
	r.wg.Add(1)
	go r.accept()
	return r, nil
}

// Addr returns the address that the relay listens on.
func (r *Relay) Addr() string { return r.ln.Addr().String() }

// SetBlocked blocks or unblocks the data to and from the server. When a direction is
// unblocked, the data held back in it is delivered first. New connections are established
// only while neither direction is blocked.
func (r *Relay) SetBlocked(toServer, fromServer bool) error {
	r.mu.Lock()
	wasBlocked := r.blockedTo || r.blockedFrom
	r.blockedTo, r.blockedFrom = toServer, fromServer
	block := toServer || fromServer
	if block {
		r.ln.SetDeadline(time.Unix(1, 0)) // interrupts the pending Accept
		r.changed.Broadcast()
		for !r.acceptPaused && !r.closed {
			r.changed.Wait()
		}
	} else {
		for _, c := range r.queueFill {
			c.Close()
		}
		r.queueFill = nil
	}
	r.changed.Broadcast()
	r.mu.Unlock()
	switch {
	case block && !wasBlocked:
		return r.blockNewConns()
	case !block && wasBlocked:
		return deaf.SetBacklog(r.ln, 128)
	}
	return nil
}

// blockNewConns fills the accept queue, so that connection attempts get no answer.
func (r *Relay) blockNewConns() error {
	fill, err := deaf.FillBacklog(r.ln)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queueFill = append(r.queueFill, fill...)
	return err
}

// Close closes the listener and all connections and waits for the goroutines.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.blockedTo, r.blockedFrom = false, false
	for c := range r.conns {
		c.Close()
	}
	for _, c := range r.queueFill {
		c.Close()
	}
	r.queueFill = nil
	r.changed.Broadcast()
	r.mu.Unlock()
	r.ln.Close()
	r.wg.Wait()
}

// waitUnblocked waits until blocked returns false or the relay is closed. It returns false if
// the relay is closed.
func (r *Relay) waitUnblocked(blocked func() bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for blocked() && !r.closed {
		r.changed.Wait()
	}
	return !r.closed
}

func (r *Relay) accept() {
	defer r.wg.Done()
	for {
		// Clear the deadline under the mutex, so that this can't overwrite the deadline that a
		// later call of SetBlocked sets.
		r.mu.Lock()
		for (r.blockedTo || r.blockedFrom) && !r.closed {
			r.acceptPaused = true
			r.changed.Broadcast()
			r.changed.Wait()
		}
		r.acceptPaused = false
		closed := r.closed
		if !closed {
			r.ln.SetDeadline(time.Time{})
		}
		r.mu.Unlock()
		if closed {
			return
		}
		c, err := r.ln.Accept()
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		if !r.track(c) {
			c.Close()
			continue
		}
		r.wg.Add(1)
		go r.forward(c.(*net.TCPConn))
	}
}

// track registers a connection. It returns false when the relay is closed or at its limit.
func (r *Relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || len(r.conns) >= 2*MaxConns {
		return false
	}
	r.conns[c] = true
	return true
}

func (r *Relay) untrack(c net.Conn) {
	c.Close()
	r.mu.Lock()
	delete(r.conns, c)
	delete(r.upstream, c)
	r.mu.Unlock()
}

// forward connects c to the server and forwards data until either side closes.
func (r *Relay) forward(c *net.TCPConn) {
	defer r.wg.Done()
	defer r.untrack(c)
	if !r.waitUnblocked(func() bool { return r.blockedTo || r.blockedFrom }) {
		return
	}
	if wasClosed(c) {
		return
	}
	server, err := net.DialTimeout("tcp", r.target(), time.Second)
	if err != nil || !r.track(server) {
		c.SetLinger(0)
		return
	}
	defer r.untrack(server)
	r.mu.Lock()
	r.upstream[server] = true
	r.mu.Unlock()
	// firstBytes is set while the next bytes to the server are the first of a request.
	var firstBytes atomic.Bool
	firstBytes.Store(true)
	toServer := &direction{r: r, from: c, to: server.(*net.TCPConn), blocked: func() bool { return r.blockedTo }, shouldReset: func() bool {
		return firstBytes.Swap(false) && r.random() < max(r.conditions.Loss, float64(r.resetPerMillion.Load())/1e6)
	}}
	toClient := &direction{r: r, from: toServer.to, to: c, blocked: func() bool { return r.blockedFrom }, shouldReset: func() bool { firstBytes.Store(true); return false }}
	done := make(chan bool, 2)
	r.wg.Add(2)
	go toServer.run(done)
	go toClient.run(done)
	<-done
	if r.isHalfOpen() {
		// Keep the client side open and silent: read what it sends, and answer nothing.
		server.Close()
		io.Copy(io.Discard, c)
	}
}

func (r *Relay) isHalfOpen() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.halfOpen && !r.closed
}

// SetDelay sets an additional delay for data delivered from now on; 0 for none.
func (r *Relay) SetDelay(d time.Duration) { r.extraDelay.Store(int64(d)) }

// SetResetProbability sets the probability that the first bytes of a request reset its
// connection.
func (r *Relay) SetResetProbability(chance float64) { r.resetPerMillion.Store(int64(chance * 1e6)) }

// SetHalfOpen starts or ends the half-open fault. Its start closes the server side of all
// connections but keeps their client side open and silent. Until its end, a connection whose
// server side closes is treated the same way.
func (r *Relay) SetHalfOpen(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.halfOpen = on
	if on {
		for c := range r.upstream {
			c.Close()
		}
	}
}

// ResetConns resets all connections and discards the data held back in them.
func (r *Relay) ResetConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
	}
}

// random returns a random number in [0, 1).
func (r *Relay) random() float64 {
	r.rngMu.Lock()
	defer r.rngMu.Unlock()
	return r.rng.Float64()
}

// peek reports how many bytes, at most one, are ready to be read. It does not consume them.
func peek(c *net.TCPConn) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	ctl := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n, errors.Join(err, ctl)
}

// wasReset reports whether the peer has reset the connection. It also detects a reset after
// the peer's FIN, which a read does not report. After such a reset the kernel's state of the
// connection is TCP_CLOSE, although this side has not closed the connection.
func wasReset(c *net.TCPConn) bool {
	const tcpClose = 7 // TCP_CLOSE of linux/tcp_states.h
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	reset := false
	raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err == nil && info.State == tcpClose
	})
	return reset
}

// wasClosed reports whether the peer has closed the connection without sending data. The
// connections that fill the accept queue of a blocked relay are closed in this way.
func wasClosed(c *net.TCPConn) bool {
	n, err := peek(c)
	return n == 0 && err == nil
}

// direction forwards the data of one direction of a connection.
type direction struct {
	r           *Relay
	from, to    *net.TCPConn
	blocked     func() bool // called with the relay's mutex held
	shouldReset func() bool // called after each read; true resets the connection
}

// chunk is the result of one read. It is to be delivered at the time due.
type chunk struct {
	data []byte
	err  error
	due  time.Time
}

func (d *direction) run(done chan<- bool) {
	defer d.r.wg.Done()
	defer func() { done <- true }()
	if d.r.conditions.Delay > 0 || d.r.conditions.Jitter > 0 {
		d.runDelayed()
		return
	}
	buf := make([]byte, chunkSize)
	for {
		n, err := d.from.Read(buf)
		if !d.deliver(buf[:n], err) {
			return
		}
	}
}

// runDelayed delivers the chunks that a concurrent reader has read, each at its time due.
func (d *direction) runDelayed() {
	queue, end := make(chan chunk, maxDelayedChunks), make(chan struct{})
	defer close(end)
	d.r.wg.Add(1)
	go d.read(queue, end)
	for p := range queue {
		time.Sleep(time.Until(p.due))
		if !d.deliver(p.data, p.err) {
			return
		}
	}
}

// read sends what it reads to queue. It ends when the connection is closed, which forward does
// as soon as either direction ends.
func (d *direction) read(queue chan<- chunk, end <-chan struct{}) {
	defer d.r.wg.Done()
	defer close(queue)
	last := time.Time{}
	for {
		buf := make([]byte, chunkSize)
		n, err := d.from.Read(buf)
		p := chunk{buf[:n:n], err, time.Now().Add(d.r.conditions.Delay + time.Duration(d.r.random()*float64(d.r.conditions.Jitter)))}
		if p.due.Before(last) {
			p.due = last
		}
		last = p.due
		select {
		case queue <- p:
		case <-end:
			return
		}
		if err != nil {
			return
		}
	}
}

// deliver forwards the bytes and the error of a read. It forwards a reset as a reset. It
// returns false when the direction has ended.
func (d *direction) deliver(data []byte, err error) bool {
	if late := time.Duration(d.r.extraDelay.Load()); late > 0 {
		time.Sleep(late)
	}
	// While the direction is blocked, data and the end of the stream wait: over a real network
	// the sender's kernel would retransmit them until the path is restored. After a reset the
	// kernel would not retransmit them, so data is discarded if the sender reset the
	// connection in the meantime.
	if !d.r.waitUnblocked(d.blocked) {
		return false
	}
	if len(data) > 0 && wasReset(d.from) {
		d.to.SetLinger(0)
		return false
	}
	if len(data) > 0 && d.shouldReset() {
		d.from.SetLinger(0)
		d.to.SetLinger(0)
		return false
	}
	if len(data) > 0 {
		if _, err := d.to.Write(data); err != nil {
			d.from.SetLinger(0)
			return false
		}
	}
	if err != nil && !errors.Is(err, io.EOF) {
		d.to.SetLinger(0)
	}
	return err == nil
}
