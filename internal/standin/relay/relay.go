// Package relay is a stand-in for the way between a sidecar and a call server:
// it passes bytes on until the way is cut, in one direction or both. A way that
// is cut says nothing: open connections stay open and silent, new ones never
// come up. Loopback only.
package relay

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// MostConns bounds the connections that pass through one relay at a time.
	MostConns = 1024
	chunk     = 16 << 10
)

// Relay is one way.
type Relay struct {
	ln     *net.TCPListener
	target func() string

	mu     sync.Mutex
	open   *sync.Cond // a cut has ended, or the relay
	to     bool       // what the sidecar sends is held
	from   bool       // what the server sends is held
	fill   []net.Conn
	conns  map[net.Conn]bool
	closed bool
	wg     sync.WaitGroup
}

// Start opens a relay to the address that target names when a connection comes.
func Start(target func() string) (*Relay, error) {
	if a, err := netip.ParseAddrPort(target()); err != nil || !a.Addr().IsLoopback() {
		return nil, fmt.Errorf("relay: found %q, wanted a loopback address and a port", target())
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{ln: ln.(*net.TCPListener), target: target, conns: map[net.Conn]bool{}}
	r.open = sync.NewCond(&r.mu)
	r.wg.Add(1)
	go r.accept()
	return r, nil
}

// Addr is where it listens.
func (r *Relay) Addr() string { return r.ln.Addr().String() }

// Cut holds what goes to the server, or comes from it, from now on; both false
// lets all pass again, what was held first. A connection needs both ways to
// come up.
func (r *Relay) Cut(to, from bool) error {
	r.mu.Lock()
	was := r.to || r.from
	r.to, r.from = to, from
	cut := to || from
	if cut {
		r.ln.SetDeadline(time.Unix(1, 0)) // ends the pending Accept
	} else {
		for _, c := range r.fill {
			c.Close()
		}
		r.fill = nil
	}
	r.open.Broadcast()
	r.mu.Unlock()
	switch {
	case cut && !was:
		return r.deafen()
	case !cut && was:
		return r.backlog(128)
	}
	return nil
}

// deafen fills the kernel's queue of connections, which then drops what knocks.
func (r *Relay) deafen() error {
	if err := r.backlog(0); err != nil {
		return err
	}
	// One failure may be a slow machine's; two in a row mean that it is full.
	for n, failed := 0, 0; n < 12 && failed < 2; n++ {
		c, err := net.DialTimeout("tcp", r.Addr(), 50*time.Millisecond)
		if err != nil {
			failed++
			continue
		}
		failed = 0
		r.mu.Lock()
		r.fill = append(r.fill, c)
		r.mu.Unlock()
	}
	return nil
}

func (r *Relay) backlog(n int) error {
	raw, err := r.ln.SyscallConn()
	if err != nil {
		return err
	}
	var listen error
	if err := raw.Control(func(fd uintptr) { listen = syscall.Listen(int(fd), n) }); err != nil {
		return err
	}
	return listen
}

// Close ends the relay and all that passes through it.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.to, r.from = false, false
	for c := range r.conns {
		c.Close()
	}
	for _, c := range r.fill {
		c.Close()
	}
	r.fill = nil
	r.open.Broadcast()
	r.mu.Unlock()
	r.ln.Close()
	r.wg.Wait()
}

// whole waits while the way is cut; false when the relay has closed.
func (r *Relay) whole(held func() bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for held() && !r.closed {
		r.open.Wait()
	}
	return !r.closed
}

func (r *Relay) accept() {
	defer r.wg.Done()
	for {
		// The deadline is lifted under the mutex: a cut that comes later puts its
		// own on again.
		r.mu.Lock()
		for (r.to || r.from) && !r.closed {
			r.open.Wait()
		}
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
		if !r.note(c) {
			c.Close()
			continue
		}
		r.wg.Add(1)
		go r.pass(c.(*net.TCPConn))
	}
}

// note takes a connection in; false where there is no room.
func (r *Relay) note(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || len(r.conns) >= 2*MostConns {
		return false
	}
	r.conns[c] = true
	return true
}

func (r *Relay) forget(c net.Conn) {
	c.Close()
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

// pass joins a connection with one to the server until either ends.
func (r *Relay) pass(c *net.TCPConn) {
	defer r.wg.Done()
	defer r.forget(c)
	if !r.whole(func() bool { return r.to || r.from }) {
		return
	}
	if wasClosed(c) {
		return
	}
	up, err := net.DialTimeout("tcp", r.target(), time.Second)
	if err != nil || !r.note(up) {
		c.SetLinger(0)
		return
	}
	defer r.forget(up)
	done := make(chan bool, 2)
	r.wg.Add(2)
	go r.copy(up.(*net.TCPConn), c, func() bool { return r.to }, done)
	go r.copy(c, up.(*net.TCPConn), func() bool { return r.from }, done)
	<-done
}

// peek looks at what a connection has next, without taking it.
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

// wasReset tells whether the other side of a connection has reset it, also
// behind its end of sending, where no read would tell: the kernel holds it to be
// closed though this side has not closed it.
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

// wasClosed tells whether the other side has closed it with nothing sent: what
// filled the queue of a way that was cut.
func wasClosed(c *net.TCPConn) bool {
	n, err := peek(c)
	return n == 0 && err == nil
}

// copy passes one direction on; a reset comes through as one.
func (r *Relay) copy(to, from *net.TCPConn, held func() bool, done chan<- bool) {
	defer r.wg.Done()
	defer func() { done <- true }()
	buf := make([]byte, chunk)
	for {
		n, err := from.Read(buf)
		// What is read while the way is cut waits, news of an end as well: the
		// sender's kernel would repeat it until the way is whole. Not so where
		// the sender has reset the connection meanwhile: it repeats nothing then.
		if !r.whole(held) {
			return
		}
		if n > 0 && wasReset(from) {
			to.SetLinger(0)
			return
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				from.SetLinger(0)
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				to.SetLinger(0)
			}
			return
		}
	}
}
