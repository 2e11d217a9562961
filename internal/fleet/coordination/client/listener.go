package client

import (
	"net"
	"sync"
)

// LimitListener returns a listener with at most a number of open connections: further
// ones wait in the system's queue until one is closed.
func LimitListener(listener net.Listener, maxConnections int) net.Listener {
	return &limitedListener{Listener: listener, slots: make(chan struct{}, maxConnections)}
}

// limitedListener has a slot for each connection, taken before Accept and freed once by
// Close.
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

// Close closes the connection and frees its slot.
func (c *limitedConn) Close() error {
	c.freeSlot()
	return c.Conn.Close()
}
