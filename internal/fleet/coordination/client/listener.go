package client

import (
	"net"
	"sync"
)

// LimitListener returns a listener with at most so many connections at a time: the next
// waits in the system's queue until one has ended.
func LimitListener(ln net.Listener, most int) net.Listener {
	return &bounded{ln, make(chan bool, most)}
}

type bounded struct {
	net.Listener
	slots chan bool
}

func (b *bounded) Accept() (net.Conn, error) {
	b.slots <- true
	c, err := b.Listener.Accept()
	if err != nil {
		<-b.slots
		return nil, err
	}
	return &slotted{Conn: c, free: sync.OnceFunc(func() { <-b.slots })}, nil
}

type slotted struct {
	net.Conn
	free func()
}

func (s *slotted) Close() error { s.free(); return s.Conn.Close() }
