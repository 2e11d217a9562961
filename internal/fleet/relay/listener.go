package relay

import (
	"net"
	"sync"
	"sync/atomic"
)

// writeBuffer bounds what the system holds of answers that a subscriber does not
// read.
const writeBuffer = 64 << 10

// limitedListener refuses connections beyond a number at once, so that their senders
// turn to another relay without delay.
type limitedListener struct {
	net.Listener
	limit   int64
	open    atomic.Int64
	refused atomic.Int64
}

// Accept returns the next connection for which there is room.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, isTCP := conn.(*net.TCPConn)
		if l.open.Add(1) <= l.limit {
			if isTCP {
				tcp.SetWriteBuffer(writeBuffer)
			}
			return &limitedConn{Conn: conn, ended: sync.OnceFunc(func() { l.open.Add(-1) })}, nil
		}
		l.open.Add(-1)
		l.refused.Add(1)
		if isTCP {
			tcp.SetLinger(0) // a reset, and nothing that stays behind
		}
		conn.Close()
	}
}

// limitedConn counts until it is closed.
type limitedConn struct {
	net.Conn
	ended func()
}

// Close closes the connection and makes room for another.
func (c *limitedConn) Close() error {
	c.ended()
	return c.Conn.Close()
}
