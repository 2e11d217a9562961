package httpupstream

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

const readBufferBytes = 8 << 10 // also the maximum size of a response head

// conn is a connection to an upstream. It is owned by the goroutine of the attempt that
// uses it, and by the pool while it is idle.
type conn struct {
	net.Conn
	raw      syscall.RawConn
	reader   *bufio.Reader
	upstream *upstream

	idleSince time.Time
	idleTime  time.Duration // idle time before the current use; 0 for a new connection

	probe           [1]byte
	setReadTimeout  func() bool // limits the next read of the response; nil while the connection is idle
	responseStarted bool
}

// newConn wraps an established TCP connection. It closes the connection on failure.
func newConn(connection net.Conn, owner *upstream) (*conn, error) {
	raw, err := connection.(*net.TCPConn).SyscallConn()
	if err != nil {
		connection.Close()
		return nil, err
	}
	c := &conn{Conn: connection, raw: raw, upstream: owner}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c, nil
}

// Read reads from the response. After the first byte each read has a timeout, set by
// setReadTimeout; if the timeout can't be set, Read returns net.ErrClosed.
func (c *conn) Read(p []byte) (int, error) {
	if c.responseStarted && !c.setReadTimeout() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.responseStarted = true
	}
	return n, err
}

// hasSurplus reports whether bytes follow the response that was just read, and records them. The
// framing defines where a response ends: bytes after it are not passed to the client, and later
// data on the connection can't be attributed to a request.
func (c *conn) hasSurplus() bool {
	if c.reader.Buffered() == 0 {
		return false
	}
	c.upstream.pool.recordSurplus()
	return true
}

// idleState is what an idle connection has received.
type idleState int

const (
	idleQuiet       idleState = iota // nothing: the connection can be used again
	idleEnded                        // the upstream has closed or reset the connection
	idleWithSurplus                  // bytes that belong to no request, so that later responses could not be matched to their requests
)

// idleState looks at what an idle connection has received.
func (c *conn) idleState() idleState {
	state := idleEnded
	// Read fails only on a closed connection.
	_ = c.raw.Read(func(fd uintptr) bool {
		n, err := syscall.Read(int(fd), c.probe[:])
		for err == syscall.EINTR {
			n, err = syscall.Read(int(fd), c.probe[:])
		}
		switch {
		case err == syscall.EAGAIN:
			state = idleQuiet
		case n > 0:
			state = idleWithSurplus
		}
		return true
	})
	return state
}
