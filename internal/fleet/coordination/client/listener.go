package client

import (
	"net"
	"sync"
)

// LimitListener returns a listener that accepts at most maxConnections simultaneous
// connections. Further connections wait in the backlog of the operating system until an
// accepted connection is closed.
func LimitListener(listener net.Listener, maxConnections int) net.Listener {
	return &limitedListener{Listener: listener, slots: make(chan struct{}, maxConnections)}
}

// limitedListener takes a slot for each connection before accepting it. Closing the
// connection frees the slot.
type limitedListener struct {
	net.Listener
	slots chan struct{}
}

// Accept waits for a slot and for a connection.
func (l *limitedListener) Accept() (net.Conn, error) {
	l.slots <- struct{}{}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, freeSlot: sync.OnceFunc(func() { <-l.slots })}, nil
}

type limitedConn struct {
	net.Conn
	freeSlot func()
}

// Close closes the connection and frees its slot. Only the first call frees a slot.
func (c *limitedConn) Close() error {
	c.freeSlot()
	return c.Conn.Close()
}
