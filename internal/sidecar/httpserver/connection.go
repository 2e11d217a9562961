package httpserver

import (
	"bufio"
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
	// firstRequestTimeout is how long a connection may stay open without a first request.
	// Clients may keep a connection open for 2 s before they send their first request.
	firstRequestTimeout = 2400 * time.Millisecond
	idleTimeout         = 3 * time.Second // maximum time between two requests of a connection
	// requestTimeout is the time in which a client must send a whole request. It starts with
	// the first byte of the request. For the first request of a connection it starts when the
	// connection is accepted. Healthy clients take up to 2 s to send a head. Each received
	// byte of the body extends the timeout by 1/minBodyRate seconds. Slow clients are
	// therefore served, but clients that send almost nothing are not.
	requestTimeout = 2700 * time.Millisecond
	// requestTimeoutAtCapacity replaces requestTimeout while MaxServed connections are open.
	requestTimeoutAtCapacity = 400 * time.Millisecond
	minBodyRate              = 16 << 10 // bytes per second
	// stallTimeout is the longest pause of a client whose body takes longer than
	// requestTimeout. A client that has stopped early gets its error after requestTimeout.
	stallTimeout = 700 * time.Millisecond
	// minSilentAge is how long a new connection on which nothing has arrived is not evicted:
	// most usual clients have sent their request by then.
	minSilentAge = 50 * time.Millisecond
	// minIncompleteAge is how long an incomplete request is not evicted: a request that is
	// sent in two pieces is complete by then.
	minIncompleteAge = 5 * time.Millisecond
	writeTimeout     = 5 * time.Second
	// responseTransitTime is how long after the last write a response may still be in transit
	// to the client. A connection that the server closes within that time lingers: the server
	// discards received bytes until the client closes its side. Lingering ends at the latest
	// after lingerTimeout or maxLingerBytes.
	responseTransitTime = time.Second
	lingerTimeout       = 500 * time.Millisecond
	maxLingerBytes      = 256 << 10
)

// The phases of a client connection, in the order in which a request passes through them.
const (
	phaseIdle       = iota // between requests
	phaseReading           // reading a request's head or body
	phaseWaiting           // waiting for the dispatcher's result
	phaseResponding        // writing the response
	phaseClosing           // being closed: bytes that still arrive are not served
)

// clientConn is a connection from the application. The plain fields are used only by the
// goroutine that serves the connection. The atomic fields are also read by the sweep, by a
// drain and by evictIdle. Times are values returned by Server.now.
type clientConn struct {
	net.Conn
	raw            syscall.RawConn
	server         *Server
	rejected       bool        // the connection was accepted above MaxServed, so its request is rejected
	writesDisabled bool        // Write returns net.ErrClosed
	peerClosed     bool        // the client has closed its sending side
	readsCutOff    atomic.Bool // a drain has limited reads to bytes that the kernel has already received

	phase        atomic.Int32
	hadRequest   atomic.Bool  // a complete request was received
	readingSince atomic.Int64 // time of the first byte of the request; for the first request, time of the accept
	idleSince    atomic.Int64
	bodyReceived atomic.Int64  // number of bytes received of the current body
	writingSince atomic.Int64  // start of the write in progress; 0 if there is none
	lastReadAt   atomic.Int64  // time of the latest bytes of the request
	evicted      atomic.Bool   // its incomplete request is rejected to make room for another connection
	lastWriteEnd int64         // end of the last write; 0 before the first write
	reader       *bufio.Reader // read buffer; nil while nothing is read and no bytes are left in it
	received     int64         // number of bytes read
	arrivals     arrivalTimes
	removeOnce   sync.Once
}

func (c *clientConn) setPhase(phase int32) { c.phase.Store(phase) }

// markRequestComplete records that a complete request was received.
func (c *clientConn) markRequestComplete() {
	c.hadRequest.Store(true)
	c.setPhase(phaseWaiting)
}

// Setting a deadline fails only on a closed connection, where a deadline has no effect. The
// errors are therefore ignored below.

func (c *clientConn) interruptRead()     { _ = c.SetReadDeadline(dispatch.PastDeadline) }
func (c *clientConn) clearReadDeadline() { _ = c.SetReadDeadline(time.Time{}) }
func (c *clientConn) interruptWrite()    { _ = c.SetWriteDeadline(dispatch.PastDeadline) }
func (c *clientConn) interrupt()         { _ = c.SetDeadline(dispatch.PastDeadline) }

// awaitRequest waits until bytes of a request can be read. It returns false if the connection is
// to be closed. No buffer is held meanwhile.
func (c *clientConn) awaitRequest() bool {
	if c.buffered() > 0 {
		c.beginRequest()
		return true
	}
	c.releaseReader()
	if c.phase.Load() == phaseResponding {
		c.idleSince.Store(c.server.now())
		c.hadRequest.Store(true)
		c.setPhase(phaseIdle)
		c.server.closeExcessIdle()
	}
	for {
		err := c.raw.Read(func(fd uintptr) bool { return isReadable(int(fd)) })
		switch {
		case err == nil:
			return c.markReading()
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return false
		case c.hasUnread():
			return c.takeBack()
		case c.phase.Load() != phaseIdle || c.readsCutOff.Load():
			return false
		}
		c.clearReadDeadline() // set for an earlier request
	}
}

// takeBack marks a connection as reading whose wait for a request was interrupted when bytes had
// arrived. It takes back a close of the connection as idle. It reports whether the bytes are to be
// read, which is not so if the connection is being closed for another reason.
func (c *clientConn) takeBack() bool {
	if c.phase.CompareAndSwap(phaseClosing, phaseReading) {
		c.restartTimes()
		if !c.readsCutOff.Load() {
			c.clearReadDeadline() // the rest of the request may come
		}
		return true
	}
	return c.markReading()
}

// beginRequest marks the connection as reading a request of which bytes are in the read buffer.
func (c *clientConn) beginRequest() {
	c.hadRequest.Store(true)
	c.restartTimes()
	c.setPhase(phaseReading)
}

// retryInterrupted calls a system call again while it is interrupted by a signal. A wait for the
// next event of the socket could otherwise follow the event that is already there.
func retryInterrupted(call func() (int, error)) (int, error) {
	for {
		n, err := call()
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}

// peek returns the number of bytes that can be read from a socket, at most 1, without reading them.
func peek(fd int) (int, error) {
	var b [1]byte
	return retryInterrupted(func() (int, error) {
		n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return n, err
	})
}

// isReadable reports whether a read of the socket would return at once, with bytes, with the end
// of the stream or with an error.
func isReadable(fd int) bool {
	_, err := peek(fd)
	return !errors.Is(err, syscall.EAGAIN)
}

// Read implements io.Reader for the read buffer. After a read was interrupted, for a timeout, an
// eviction or a drain, it still returns what the kernel has received: the client may have sent
// its request in time, and this process may be late.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.peerClosed = c.peerClosed || errors.Is(err, io.EOF)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		if received := c.readReceived(p); received > 0 {
			n, err = received, nil
		} else if c.readsCutOff.Load() {
			c.writesDisabled, err = true, net.ErrClosed
		}
	}
	if n > 0 {
		now := c.server.now()
		c.lastReadAt.Store(now)
		c.received += int64(n)
		c.arrivals.record(c.received, now)
	}
	return n, err
}

// takeArrival returns the time at which the last byte of the request that was just read arrived.
func (c *clientConn) takeArrival() int64 {
	return c.arrivals.take(c.received-int64(c.buffered()), c.server.now())
}

// readReceived reads bytes that the kernel has already received, and returns 0 if there are none.
// It is used after a read of the connection was interrupted, because a request whose last byte has
// arrived counts as accepted. If no bytes are left, the request is incomplete. After a drain the
// connection is then closed without a response, and the client may retry.
func (c *clientConn) readReceived(p []byte) (received int) {
	// Control fails only on a closed connection, which has no bytes left.
	_ = c.raw.Control(func(fd uintptr) {
		n, err := retryInterrupted(func() (int, error) { return syscall.Read(int(fd), p) })
		if n > 0 && err == nil {
			received = n
		}
	})
	return received
}

// markReading records that bytes of a request were received. It returns false if the
// connection has just been closed as idle. The caller must then drop the bytes.
func (c *clientConn) markReading() bool {
	if !c.phase.CompareAndSwap(phaseIdle, phaseReading) {
		return c.phase.Load() != phaseClosing
	}
	c.restartTimes()
	return true
}

// restartTimes begins the timeouts of a request of which bytes have arrived.
func (c *clientConn) restartTimes() {
	now := c.server.now()
	c.evicted.Store(false) // an eviction may have come when the request before was complete
	c.bodyReceived.Store(0)
	c.lastReadAt.Store(now)
	if c.hadRequest.Load() {
		c.readingSince.Store(now)
	}
}

// isNew reports whether the connection was accepted less than minSilentAge ago and has not had a
// request.
func (c *clientConn) isNew(now int64) bool {
	return !c.hadRequest.Load() && now-c.readingSince.Load() < minSilentAge.Milliseconds()
}

// Write records when a write is in progress, so that the sweep can enforce writeTimeout.
func (c *clientConn) Write(p []byte) (int, error) {
	if c.writesDisabled {
		return 0, net.ErrClosed
	}
	c.writingSince.Store(c.server.now())
	n, err := c.Conn.Write(p)
	c.writingSince.Store(0)
	c.lastWriteEnd = c.server.now()
	return n, err
}

// Close closes the connection and removes it from the server. Closing a socket resets the
// connection if received bytes are unread or if more bytes arrive shortly afterwards. After
// a reset the client loses a response that it has not read yet. While a response may be in
// transit, Close therefore closes only the sending side and lets the connection linger.
func (c *clientConn) Close() error {
	responseInTransit := c.lastWriteEnd > 0 && c.server.now()-c.lastWriteEnd < responseTransitTime.Milliseconds()
	if responseInTransit && !c.peerClosed && c.phase.Swap(phaseClosing) != phaseClosing && c.server.lingerSlots.acquire() {
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

// linger discards received bytes until the client closes its side, then closes the
// connection. Time and bytes are limited: the connection of a client that keeps sending is
// reset. linger runs in a goroutine of its own; lingerSlots limits the number of these
// goroutines.
func (c *clientConn) linger() {
	defer c.server.lingerSlots.release()
	defer func() { _ = c.closeNow() }() // all data was written before
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

// slots is a counting semaphore that limits how many connections linger at a time.
type slots struct{ available atomic.Int32 }

func (s *slots) acquire() bool {
	if s.available.Add(-1) < 0 {
		s.release()
		return false
	}
	return true
}

func (s *slots) release() { s.available.Add(1) }

// hasUnread reports whether the kernel has received bytes that were not read yet.
func (c *clientConn) hasUnread() bool {
	unread := false
	// Control fails only on a closed connection, which has no unread bytes.
	_ = c.raw.Control(func(fd uintptr) {
		n, err := peek(int(fd))
		unread = n > 0 && err == nil
	})
	return unread
}

// timedOut reports whether the connection has exceeded the timeout of its phase; limit is
// the timeout of an incomplete request.
func (c *clientConn) timedOut(now int64, limit time.Duration) bool {
	switch c.phase.Load() {
	case phaseIdle:
		if c.hadRequest.Load() {
			return now-c.idleSince.Load() > idleTimeout.Milliseconds()
		}
		return now-c.readingSince.Load() > firstRequestTimeout.Milliseconds()
	case phaseReading:
		extension := c.bodyReceived.Load() * 1000 / minBodyRate
		if now-c.lastReadAt.Load() > stallTimeout.Milliseconds() {
			extension = 0
		}
		return now-c.readingSince.Load() > limit.Milliseconds()+extension
	}
	return false
}

// awaitResult waits until done is closed or the client disconnects. It returns true if the
// client has disconnected. It blocks in a read of the connection. The dispatcher interrupts
// the read with a read deadline after it has closed done. A drain or a sweep that saw an
// earlier phase of the connection may also set a read deadline. Such a deadline is cleared,
// and the wait continues.
func (c *clientConn) awaitResult(done <-chan struct{}) bool {
	for {
		err := c.raw.Read(func(fd uintptr) bool {
			var unread int
			c.peerClosed, unread = connectionState(int(fd))
			if unread > 0 {
				c.arrivals.record(c.received+int64(unread), c.server.now())
			}
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

// state reports whether the client has disconnected, and otherwise how many bytes are unread.
func (c *clientConn) state() (disconnected bool, unread int) {
	if err := c.raw.Control(func(fd uintptr) { disconnected, unread = connectionState(int(fd)) }); err != nil {
		return true, 0 // closed
	}
	c.peerClosed = c.peerClosed || disconnected
	if unread > 0 {
		c.arrivals.record(c.received+int64(unread), c.server.now())
	}
	return disconnected, unread
}

// connectionState reports whether the peer has closed, reset or half-closed a connection, and
// otherwise how many bytes are unread. It consumes no bytes, because unread ones belong to the
// next request. While there are unread bytes, peeking returns them and does not show that the
// stream has ended, so connectionState also polls for a hang-up. A half-close counts as a
// disconnection: the server could tell a half-close from a close only by a write, and the first
// bytes that it could write are those of the response.
func connectionState(fd int) (disconnected bool, unread int) {
	n, err := peek(fd)
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return false, 0
	case n <= 0 || err != nil:
		return true, 0
	}
	polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err = retryInterrupted(func() (int, error) { return unix.Poll(polled, 0) })
	if hungUp := err == nil && n > 0 && polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0; hungUp {
		return true, 0
	}
	unread, err = unix.IoctlGetInt(fd, unix.TIOCINQ)
	if err != nil {
		return false, 1 // at least the byte that was peeked at
	}
	return false, unread
}

// evictsBefore reports whether c is evicted before other when an idle connection must be
// closed.
func (c *clientConn) evictsBefore(other *clientConn) bool {
	if c.hadRequest.Load() != other.hadRequest.Load() {
		return other.hadRequest.Load()
	}
	if c.hadRequest.Load() {
		return c.idleSince.Load() < other.idleSince.Load()
	}
	return c.readingSince.Load() < other.readingSince.Load()
}

// closeIfIdle closes the connection if it is idle. It returns false if a request has begun
// to arrive.
func (c *clientConn) closeIfIdle() bool {
	if !c.phase.CompareAndSwap(phaseIdle, phaseClosing) {
		return false
	}
	c.interruptRead()
	return true
}
