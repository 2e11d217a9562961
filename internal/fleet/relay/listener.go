package relay

import (
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
)

// writeBufferBytes limits how much the kernel buffers for a subscriber that does not read
// its responses.
const writeBufferBytes = 64 << 10

// limitedListener limits the number of open connections. It resets further connections
// immediately, so that their clients try another relay without delay. Its counters are safe
// for concurrent use.
type limitedListener struct {
	net.Listener
	limit    int64
	log      *slog.Logger
	open     atomic.Int64
	rejected atomic.Int64
}

// Accept returns the next connection that is within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			l.setOption(conn, func(tcp *net.TCPConn) error { return tcp.SetWriteBuffer(writeBufferBytes) })
			return &limitedConn{Conn: conn, onClose: sync.OnceFunc(func() { l.open.Add(-1) })}, nil
		}
		l.open.Add(-1)
		l.rejected.Add(1)
		l.setOption(conn, func(tcp *net.TCPConn) error { return tcp.SetLinger(0) }) // close with a reset, which leaves no TIME_WAIT
		conn.Close()
	}
}

// setOption sets a socket option of a TCP connection. A failure is only logged. For
// example, the call fails if the client has already reset the connection.
func (l *limitedListener) setOption(conn net.Conn, set func(*net.TCPConn) error) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	if err := set(tcp); err != nil {
		l.log.Debug("setting a socket option failed", "address", conn.RemoteAddr(), "error", err)
	}
}

// limitedConn is a connection that counts towards the limit until it is closed.
type limitedConn struct {
	net.Conn
	onClose func()
}

// Close closes the connection and removes it from the count.
func (c *limitedConn) Close() error {
	c.onClose()
	return c.Conn.Close()
}
