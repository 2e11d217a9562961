package httpserver

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"otterspring/internal/sidecar/dispatch"
)

const (
	// A connection without a request is closed after this. Clients may keep it for 2 s.
	firstRequestTimeout = 2400 * time.Millisecond
	idleTimeout         = 3 * time.Second // between requests
	// A request must be complete within requestTimeout of its first byte, the first one
	// of a connection of the connect. Healthy clients take up to 2 s for a head. A body
	// extends that by the bytes received, so that a slow connection is served and one that
	// transfers next to nothing is not.
	requestTimeout = 2700 * time.Millisecond
	// crowdedRequestTimeout is the same while all places are taken.
	crowdedRequestTimeout = 400 * time.Millisecond
	minBodyRate           = 16 << 10 // bytes that extend the timeout by a second
	writeTimeout          = 5 * time.Second
	// A response may be in transit to the client for deliveryTime. A connection that is
	// closed meanwhile lingers until the client ends its side, for so long and over so
	// many bytes at most.
	deliveryTime   = time.Second
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 256 << 10
)

// The phases of a client's connection.
const (
	phaseIdle      = iota // between requests
	phaseReading          // within a request's head or body
	phaseWaiting          // waiting for the result
	phaseAnswering        // the response is being written
	phaseClosing          // closed while idle: what still arrives is not read
)

// clientConn is a connection of the application. Its plain fields belong to the goroutine
// that serves it; the atomic ones are read by the sweep, by a drain and where another
// connection needs a place. Times are those of Server.now.
type clientConn struct {
	net.Conn
	raw        syscall.RawConn
	server     *Server
	rejected   bool        // above the limit: its request is rejected
	muted      bool        // nothing is written any more
	peerClosed bool        // the client has ended its sending
	cutOff     atomic.Bool // by a drain: only what the kernel has received is read

	phase          atomic.Int32
	hadRequest     atomic.Bool  // a complete request was received on it
	readingSince   atomic.Int64 // a request's first byte, the connect for the first request
	idleSince      atomic.Int64
	bodyReceived   atomic.Int64 // bytes of the present body
	writingSince   atomic.Int64 // 0 while nothing is being written
	lastWriteEnded int64        // 0 for none
	removeOnce     sync.Once
}

func (c *clientConn) setPhase(phase int32) { c.phase.Store(phase) }

// requestComplete notes that a request is complete.
func (c *clientConn) requestComplete() {
	c.hadRequest.Store(true)
	c.setPhase(phaseWaiting)
}

// The deadlines below fail to be set only on a closed connection, which needs none.

func (c *clientConn) interruptRead()     { _ = c.SetReadDeadline(dispatch.PastDeadline) }
func (c *clientConn) clearReadDeadline() { _ = c.SetReadDeadline(time.Time{}) }
func (c *clientConn) interruptWrite()    { _ = c.SetWriteDeadline(dispatch.PastDeadline) }
func (c *clientConn) interrupt()         { _ = c.SetDeadline(dispatch.PastDeadline) }

// Read reads for the HTTP server. A timeout of an idle connection is an EOF, since the
// server would answer a timeout.
func (c *clientConn) Read(p []byte) (int, error) {
	if c.phase.Load() == phaseAnswering {
		c.idleSince.Store(c.server.now())
		c.hadRequest.Store(true)
		c.setPhase(phaseIdle)
		c.server.closeSurplusIdle()
	}
	n, err := c.Conn.Read(p)
	c.peerClosed = c.peerClosed || errors.Is(err, io.EOF)
	if n == 0 && c.cutOff.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.readReceived(p)
	}
	switch {
	case n > 0 && !c.markReading():
		return 0, io.EOF
	case n > 0:
	case errors.Is(err, os.ErrDeadlineExceeded) && c.phase.Load() != phaseReading:
		err = io.EOF
	}
	return n, err
}

// readReceived reads what the kernel has received on a connection that a drain cuts off: a
// request whose last byte has arrived was accepted. If it is not complete the connection
// is closed without a response, and the client may retry.
func (c *clientConn) readReceived(p []byte) (n int, err error) {
	err = net.ErrClosed
	// An error of Control means that the connection is closed, which err says already.
	_ = c.raw.Control(func(fd uintptr) {
		if read, readErr := syscall.Read(int(fd), p); read > 0 && readErr == nil {
			n, err = read, nil
		}
	})
	c.muted = n == 0
	return n, err
}

// markReading notes that bytes were received. It returns false if the connection was
// closed as idle just before: then they count as never read.
func (c *clientConn) markReading() bool {
	if !c.phase.CompareAndSwap(phaseIdle, phaseReading) {
		return c.phase.Load() != phaseClosing
	}
	c.bodyReceived.Store(0)
	if c.hadRequest.Load() {
		c.readingSince.Store(c.server.now())
	}
	return true
}

// Write writes for the HTTP server.
func (c *clientConn) Write(p []byte) (int, error) {
	if c.muted {
		return 0, net.ErrClosed
	}
	c.writingSince.Store(c.server.now())
	n, err := c.Conn.Write(p)
	c.writingSince.Store(0)
	c.lastWriteEnded = c.server.now()
	return n, err
}

// Close closes the connection and frees its place. Closing while bytes are unread, or
// arrive a moment later, resets the connection and drops a response that the client has
// not read: where one may be in transit only the sending side is closed here, and the
// connection lingers.
func (c *clientConn) Close() error {
	answering := c.lastWriteEnded > 0 && c.server.now()-c.lastWriteEnded < deliveryTime.Milliseconds()
	if answering && !c.peerClosed && c.phase.Swap(phaseClosing) != phaseClosing && c.server.lingerSlots.acquire() {
		if c.Conn.(*net.TCPConn).CloseWrite() == nil {
			go c.linger()
			return nil
		}
		c.server.lingerSlots.release()
	}
	return c.closeNow()
}

func (c *clientConn) closeNow() error {
	err := c.Conn.Close()
	c.removeOnce.Do(func() { c.server.remove(c) })
	return err
}

// linger discards what is received until the client has ended its side, too, and closes
// the connection then. Time and bytes are limited: a client that keeps sending is reset.
// It has a separate goroutine, of which lingerSlots limits the number.
func (c *clientConn) linger() {
	defer c.server.lingerSlots.release()
	defer func() { _ = c.closeNow() }() // everything was written before
	_ = c.SetReadDeadline(time.Now().Add(c.server.LingerTimeout))
	var discarded [512]byte
	for total := 0; total < maxLingerBytes; {
		n, err := c.Conn.Read(discarded[:])
		if err != nil {
			return
		}
		total += n
	}
}

// slots limits how many connections linger.
type slots struct{ available atomic.Int32 }

func (s *slots) acquire() bool {
	if s.available.Add(-1) < 0 {
		s.release()
		return false
	}
	return true
}

func (s *slots) release() { s.available.Add(1) }

// hasUnread reports whether the kernel has received bytes that were not read.
func (c *clientConn) hasUnread() bool {
	unread := false
	// An error of Control means that the connection is closed: nothing is unread.
	_ = c.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = n > 0 && err == nil
	})
	return unread
}

// timedOut reports whether the client has used up its time, which is limit for a request.
func (c *clientConn) timedOut(now int64, limit time.Duration) bool {
	switch c.phase.Load() {
	case phaseIdle:
		if c.hadRequest.Load() {
			return now-c.idleSince.Load() > idleTimeout.Milliseconds()
		}
		return now-c.readingSince.Load() > firstRequestTimeout.Milliseconds()
	case phaseReading:
		extension := c.bodyReceived.Load() * 1000 / minBodyRate
		return now-c.readingSince.Load() > limit.Milliseconds()+extension
	}
	return false
}

// awaitResult waits until done is closed, which is followed by a read deadline, and
// watches the connection meanwhile. It returns true if the client has disconnected. A
// deadline that was set for an earlier phase, by a drain or a sweep that has read the
// phase a moment ago, ends nothing.
func (c *clientConn) awaitResult(done <-chan struct{}) bool {
	for {
		err := c.raw.Read(func(fd uintptr) bool {
			c.peerClosed = hasDisconnected(int(fd))
			return c.peerClosed
		})
		if c.peerClosed || errors.Is(err, net.ErrClosed) {
			return true
		}
		c.clearReadDeadline()
		select {
		case <-done:
			return false
		default:
		}
	}
}

// hasDisconnected reports whether the peer has closed, reset or half-closed a connection.
// It reads nothing: what arrived before that stays for the next request, and hides the end
// from a read. A half-close counts, for it looks like a close until something is written,
// which would be the response.
func hasDisconnected(fd int) bool {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR):
		return false
	case n <= 0 || err != nil:
		return true
	}
	polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err = unix.Poll(polled, 0)
	return err == nil && n > 0 && polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// evictsBefore reports whether c is closed before other where a place is needed.
func (c *clientConn) evictsBefore(other *clientConn) bool {
	if c.hadRequest.Load() != other.hadRequest.Load() {
		return other.hadRequest.Load()
	}
	if c.hadRequest.Load() {
		return c.idleSince.Load() < other.idleSince.Load()
	}
	return c.readingSince.Load() < other.readingSince.Load()
}

// closeIfIdle ends an idle connection. It returns false if a request has begun on it.
func (c *clientConn) closeIfIdle() bool {
	if !c.phase.CompareAndSwap(phaseIdle, phaseClosing) {
		return false
	}
	c.interruptRead()
	return true
}
