package httpupstream

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

const readBufferSize = 8 << 10 // bytes; also the largest response head

// conn is a connection to an upstream. It belongs to the goroutine of the attempt that
// uses it, and to the pool while it is idle.
type conn struct {
	net.Conn
	raw      syscall.RawConn
	reader   *bufio.Reader
	upstream *upstream

	idleSince time.Time
	idleTime  time.Duration // before its present use; 0 for a new connection

	probe           [1]byte
	limitRead       func() bool // bounds the next read of the response; nil before the request is written
	responseStarted bool
}

// newConn wraps a connection that is established.
func newConn(connection net.Conn, owner *upstream) (*conn, error) {
	raw, err := connection.(*net.TCPConn).SyscallConn()
	if err != nil {
		connection.Close()
		return nil, err
	}
	c := &conn{Conn: connection, raw: raw, upstream: owner}
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	return c, nil
}

// Read reads a response. Once it has begun, each further read is bounded.
func (c *conn) Read(p []byte) (int, error) {
	if c.responseStarted && !c.limitRead() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.responseStarted = true
	}
	return n, err
}

// isQuiet reports whether nothing was received on an idle connection. A FIN means that
// the upstream has closed it, and data that it is out of step.
func (c *conn) isQuiet() bool {
	quiet := false
	err := c.raw.Read(func(fd uintptr) bool {
		_, err := syscall.Read(int(fd), c.probe[:])
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
