package lab

import (
	"net"
	"runtime"
	"time"
)

// DelayProxy relays TCP connections to an address and delays each direction.
type DelayProxy struct {
	listener net.Listener
	target   string
	delay    time.Duration
}

// NewDelayProxy starts a proxy.
func NewDelayProxy(target string, delay time.Duration) (*DelayProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &DelayProxy{listener, target, delay}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

// Address returns the address of the proxy.
func (p *DelayProxy) Address() string { return p.listener.Addr().String() }

func (p *DelayProxy) serve(near net.Conn) {
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		near.Close()
		return
	}
	go p.relay(near, far)
	p.relay(far, near)
}

// relay copies from one connection to the other, each piece delayed.
func (p *DelayProxy) relay(from, to net.Conn) {
	type piece struct {
		at   time.Time
		data []byte
	}
	pieces := make(chan piece, 1024)
	go func() {
		defer close(pieces)
		for {
			buffer := make([]byte, 32<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				pieces <- piece{time.Now().Add(p.delay), buffer[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	for next := range pieces {
		waitUntil(next.at)
		if _, err := to.Write(next.data); err != nil {
			break
		}
	}
	time.Sleep(p.delay)
	to.Close()
	from.Close()
	for range pieces {
	}
}

// waitUntil waits more exactly than a sleep, which may take a millisecond longer.
func waitUntil(at time.Time) {
	const spin = 150 * time.Microsecond
	if left := time.Until(at); left > spin {
		time.Sleep(left - spin)
	}
	for time.Now().Before(at) {
		runtime.Gosched()
	}
}
