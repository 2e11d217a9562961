package relay

import (
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
)

// writeBuffer limits the bytes of responses that the kernel buffers for a subscriber that
// does not read.
const writeBuffer = 64 << 10

// limitedListener resets connections beyond a limit immediately, so that their clients
// try another relay without delay. Its counters may be read by any goroutine.
type limitedListener struct {
	net.Listener
	limit    int64
	log      *slog.Logger
	open     atomic.Int64
	rejected atomic.Int64
}

// Accept returns the next connection within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			l.setOption(conn, func(tcp *net.TCPConn) error { return tcp.SetWriteBuffer(writeBuffer) })
			return &limitedConn{Conn: conn, onClose: sync.OnceFunc(func() { l.open.Add(-1) })}, nil
		}
		l.open.Add(-1)
		l.rejected.Add(1)
		l.setOption(conn, func(tcp *net.TCPConn) error { return tcp.SetLinger(0) }) // a reset, without TIME_WAIT
		conn.Close()
	}
}

// setOption sets an option of a TCP connection. The connection is used without it if
// that fails, as it does after the client's reset.
func (l *limitedListener) setOption(conn net.Conn, set func(*net.TCPConn) error) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	if err := set(tcp); err != nil {
		l.log.Debug("option of a connection was not set", "address", conn.RemoteAddr(), "error", err)
	}
}

// limitedConn counts against the limit until it is closed.
type limitedConn struct {
	net.Conn
	onClose func()
}

// Close closes the connection and removes it from the count.
func (c *limitedConn) Close() error {
	c.onClose()
	return c.Conn.Close()
}
