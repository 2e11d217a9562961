// Package coapupstream carries out attempts over CoAP. It owns the connected UDP sockets
// to each upstream and the timers of the protocol's state machine (package caller).
package coapupstream

import (
	"sync"
	"sync/atomic"
	"time"

	"otterspring/balance"
	"otterspring/internal/coap/client"
	"otterspring/internal/sidecar/dispatch"
)

// Scheme precedes the address of an upstream that speaks CoAP in an endpoint list.
const Scheme = "coap://"

// maxSocketsPerUpstream bounds the sockets to one upstream. Each has 65,536 message IDs
// for EXCHANGE_LIFETIME, 247 s (RFC 7252, section 4.4): 265 requests a second sustained.
const maxSocketsPerUpstream = 16

// Pool opens upstreams and bounds their sockets. It is safe for concurrent use.
type Pool struct {
	settings   client.Settings
	maxSockets int
	sockets    atomic.Int64
	seeds      atomic.Uint64
}

// New returns a pool of at most maxSockets sockets.
func New(settings client.Settings, maxSockets int) *Pool {
	// Requests are sent at once: the balancer bounds an upstream's load, and would not
	// see a request that NSTART holds back here (RFC 7252, section 4.7).
	settings.Params.NStart = settings.Limits.MaxInFlight
	return &Pool{settings: settings, maxSockets: maxSockets}
}

// Open returns the upstream at an address, an IP address and a port. It opens no socket.
func (p *Pool) Open(address string, _ int64) dispatch.Upstream {
	return &upstream{pool: p, address: address}
}

// Sockets returns how many sockets are open.
func (p *Pool) Sockets() int { return int(p.sockets.Load()) }

// upstream is one incarnation of an upstream at an address. mu guards its sockets; a
// socket's own mu may be locked under it, never the other way round.
type upstream struct {
	pool    *Pool
	address string

	mu      sync.Mutex
	sockets []*socket
	retired bool
}

// CloseIdle does nothing: a UDP socket costs the upstream nothing.
func (u *upstream) CloseIdle() {}

// Retire closes each socket once it has no attempt in flight.
func (u *upstream) Retire() {
	u.mu.Lock()
	u.retired = true
	sockets := u.sockets
	u.mu.Unlock()
	for _, s := range sockets {
		s.retire()
	}
}

// availableSocket returns the first socket with a free message ID, or a new one; nil at
// maxSocketsPerUpstream.
func (u *upstream) availableSocket() *socket {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, s := range u.sockets {
		if s.available() {
			return s
		}
	}
	if len(u.sockets) == maxSocketsPerUpstream {
		return nil
	}
	s := &socket{upstream: u, retired: u.retired}
	u.sockets = append(u.sockets, s)
	return s
}

// Run carries out an attempt and returns when it has finished or was canceled.
func (u *upstream) Run(attempt *dispatch.Attempt) {
	c := &cancellation{canceled: make(chan struct{})}
	timeout, ok := attempt.Attach(c)
	if !ok {
		return
	}
	s := u.availableSocket()
	if s == nil {
		attempt.Finish(balance.NeverSent, nil)
		return
	}
	handle, results, err := s.send(attempt, timeout)
	if err != nil {
		attempt.Finish(balance.NeverSent, nil)
		return
	}
	select {
	case result, ok := <-results:
		if ok {
			status, response := statusOf(&result)
			attempt.Finish(status, response)
		}
	case <-c.canceled:
		s.cancel(handle)
	}
	s.closeIfUnused()
}

// cancellation is the dispatcher's Conn of an attempt: it cancels it.
type cancellation struct {
	once     sync.Once
	canceled chan struct{}
}

// SetDeadline cancels the attempt: the dispatcher only sets deadlines in the past.
func (c *cancellation) SetDeadline(time.Time) error {
	c.once.Do(func() { close(c.canceled) })
	return nil
}

// SetReadDeadline does nothing: the message layer has its own timeouts.
func (c *cancellation) SetReadDeadline(time.Time) error { return nil }

// statusOf returns the status of an attempt that has ended, and the response of one that
// succeeded.
func statusOf(result *client.Action) (balance.Status, dispatch.Response) {
	switch result.Outcome {
	case client.Succeeded:
		return balance.OK, newResponse(result)
	case client.NotExecuted:
		return balance.AtCapacity, nil
	case client.Unreachable:
		return balance.ConnectFailed, nil
	case client.ErrorResponse:
		return balance.Error, nil
	case client.TimedOut:
		return balance.Timeout, nil
	}
	return balance.Reset, nil
}
