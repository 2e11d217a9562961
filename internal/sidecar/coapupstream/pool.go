// Package coapupstream carries out attempts over CoAP. It owns the connected UDP sockets to
// upstreams and the timers that drive the state machines of package coap/client.
package coapupstream

import (
	"sync"
	"sync/atomic"
	"time"

	"otterspring/balance"
	"otterspring/internal/coap/client"
	"otterspring/internal/sidecar/dispatch"
)

// Scheme is the prefix of the addresses of CoAP upstreams in an endpoint list.
const Scheme = "coap://"

// maxSocketsPerUpstream bounds the sockets to one upstream. A socket has 65,536 message IDs.
// A message ID can be reused after EXCHANGE_LIFETIME, which is 247 s (RFC 7252, section 4.4).
// One socket therefore sustains 265 requests per second.
const maxSocketsPerUpstream = 16

// Pool opens upstreams and bounds the total number of their sockets. It is safe for
// concurrent use.
type Pool struct {
	settings   client.Settings
	maxSockets int
	sockets    atomic.Int64
	seeds      atomic.Uint64
	counters   counters
}

// New returns a pool of at most maxSockets sockets.
func New(settings client.Settings, maxSockets int) *Pool {
	// NSTART (RFC 7252, section 4.7) is raised to the maximum, so that requests are sent at
	// once. The balancer limits the load of upstreams, and it can't account for requests
	// that are queued here.
	settings.Params.NStart = settings.Limits.MaxInFlight
	return &Pool{settings: settings, maxSockets: maxSockets}
}

// Open returns the upstream at address, which is an IP address and a port. It opens no
// socket; attempts open sockets when they need them.
func (p *Pool) Open(address string, _ int64) dispatch.Upstream {
	return &upstream{pool: p, address: address}
}

// Sockets returns the number of open sockets.
func (p *Pool) Sockets() int { return int(p.sockets.Load()) }

// Counts returns the totals so far.
func (p *Pool) Counts() Counts { return p.counters.load() }

// upstream is one incarnation of the server at an address. mu guards sockets and retired. The
// mu of a socket may be locked while holding the mu of the upstream, but not vice versa.
type upstream struct {
	pool    *Pool
	address string

	mu      sync.Mutex
	sockets []*socket
	retired bool
}

// CloseIdle does nothing, since an idle UDP socket takes no resources of the upstream.
func (u *upstream) CloseIdle() {}

// Retire closes each socket as soon as it has no attempt in flight.
func (u *upstream) Retire() {
	u.mu.Lock()
	u.retired = true
	sockets := u.sockets
	u.mu.Unlock()
	for _, s := range sockets {
		s.retire()
	}
}

// availableSocket returns the first socket with a free message ID. If there is no such
// socket, it returns a new socket, or nil if maxSocketsPerUpstream is reached.
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

// Run carries out an attempt and returns when it has ended or is canceled.
func (u *upstream) Run(attempt *dispatch.Attempt) {
	canceler := &cancellation{canceled: make(chan struct{})}
	timeout, ok := attempt.Attach(canceler)
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
	case <-canceler.canceled:
		s.cancel(handle)
	}
	s.closeIfUnused()
}

// cancellation is attached to an attempt in place of a connection. The dispatcher cancels the
// attempt by setting a deadline on it.
type cancellation struct {
	once     sync.Once
	canceled chan struct{}
}

// SetDeadline cancels the attempt, since the dispatcher sets only deadlines in the past.
func (c *cancellation) SetDeadline(time.Time) error {
	c.once.Do(func() { close(c.canceled) })
	return nil
}

// SetReadDeadline does nothing, since the message layer has its own timeouts.
func (c *cancellation) SetReadDeadline(time.Time) error { return nil }

// statusOf converts the outcome of an attempt to the balancer's status. It returns the
// response if the attempt succeeded.
func statusOf(result *client.Action) (balance.Status, dispatch.Response) {
	switch result.Outcome {
	case client.Succeeded:
		return balance.OK, newResponse(result)
	case client.NotExecuted:
		return balance.AtCapacity, nil
	case client.Unreachable:
		return balance.ConnectFailed, nil
	case client.NotSent:
		return balance.NeverSent, nil
	case client.ErrorResponse:
		return balance.Error, nil
	case client.TimedOut:
		return balance.Timeout, nil
	}
	return balance.Reset, nil
}
