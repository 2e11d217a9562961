// Package coapupstream carries out attempts over CoAP: a connected socket and its
// clock for each call server, round the decisions of package caller.
package coapupstream

import (
	"bytes"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"otterspring/balance"
	"otterspring/internal/coap/caller"
	"otterspring/internal/coap/format"
	"otterspring/internal/coap/message"
	"otterspring/internal/sidecar/dispatch"
)

// Scheme stands before the address of a call server that speaks CoAP, in a list.
const Scheme = "coap://"

// Pool makes the call servers' sides and bounds their sockets.
type Pool struct {
	set   caller.Settings
	most  int
	open  atomic.Int64
	seeds atomic.Uint64
}

// New returns a pool of at most so many sockets.
func New(set caller.Settings, most int) *Pool {
	// What the dispatcher sends goes out at once: the decision module bounds a
	// server's load, and a request that waited here would not be seen by it.
	set.Params.NStart = set.Limits.MaxInFlight
	return &Pool{set: set, most: most}
}

// MaxPendingRequests is the dispatcher's way to a call server. Nothing is opened yet.
func (p *Pool) Open(addr string, _ int64) dispatch.Upstream {
	return &host{pool: p, addr: addr}
}

// Sockets is how many are open.
func (p *Pool) Sockets() int { return int(p.open.Load()) }

// mostLanes bounds the sockets to one call server. Each gives 65,536 message IDs in
// 247 s (RFC 7252, section 4.4), 265 a second for good.
const mostLanes = 16

// host is a call server at one address since one start.
type host struct {
	pool *Pool
	addr string

	mu      sync.Mutex
	lanes   []*lane
	retired bool
}

// lane is one socket to a call server.
type lane struct {
	host *host

	mu      sync.Mutex
	conn    *net.UDPConn // nil until it is needed, and once it is closed
	caller  *caller.Caller
	start   time.Time
	timer   *time.Timer
	waiting map[uint64]chan caller.Action
	owners  map[uint64]*dispatch.Attempt
	last    uint64
	retired bool
}

// CloseIdle does nothing: a socket is no connection, and costs a server nothing.
func (h *host) CloseIdle() {}

// Retire closes the sockets once nothing is out on them.
func (h *host) Retire() {
	h.mu.Lock()
	h.retired = true
	lanes := h.lanes
	h.mu.Unlock()
	for _, l := range lanes {
		l.retire()
	}
}

// lane returns the first lane with an ID left, or one more; nil where there are
// too many.
func (h *host) lane() *lane {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range h.lanes {
		if l.hasRoom() {
			return l
		}
	}
	if len(h.lanes) == mostLanes {
		return nil
	}
	l := &lane{host: h, retired: h.retired}
	h.lanes = append(h.lanes, l)
	return l
}

func (h *lane) hasRoom() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.conn == nil || h.caller.HasRoom(h.now())
}

func (h *lane) retire() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.retired = true
	h.rest()
}

// rest closes a retired lane's socket if nothing is out. The mutex is held.
func (h *lane) rest() {
	if h.retired && len(h.waiting) == 0 && h.conn != nil {
		h.conn.Close()
		h.timer.Stop()
		h.conn = nil
		h.host.pool.open.Add(-1)
	}
}

// up opens the socket. The mutex is held.
func (h *lane) up() error {
	if h.conn != nil {
		return nil
	}
	peer, err := netip.ParseAddrPort(h.host.addr)
	if err != nil {
		return err
	}
	if h.host.pool.open.Add(1) > int64(h.host.pool.most) {
		h.host.pool.open.Add(-1)
		return errors.New("no socket left")
	}
	set := h.host.pool.set
	set.Seed ^= h.host.pool.seeds.Add(0x9e3779b97f4a7c15)
	c, err := caller.New(set, peer)
	var conn *net.UDPConn
	if err == nil {
		conn, err = net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(peer))
	}
	if err != nil {
		h.host.pool.open.Add(-1)
		return err
	}
	h.conn, h.caller, h.start = conn, c, time.Now()
	h.waiting, h.owners = map[uint64]chan caller.Action{}, map[uint64]*dispatch.Attempt{}
	h.timer = time.AfterFunc(time.Hour, func() { h.tick(conn) })
	go h.read(conn)
	return nil
}

func (h *lane) now() time.Duration { return time.Since(h.start) }

// read takes what comes until the socket is closed.
func (h *lane) read(conn *net.UDPConn) {
	buf := make([]byte, message.MaxDatagramSize+1)
	for {
		n, err := conn.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		h.mu.Lock()
		if h.conn == conn {
			if errors.Is(err, syscall.ECONNREFUSED) {
				h.carry(h.caller.Unreachable(h.now(), nil))
			} else if err == nil {
				h.carry(h.caller.Receive(h.now(), buf[:n], nil))
			}
		}
		h.mu.Unlock()
	}
}

func (h *lane) tick(conn *net.UDPConn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.conn == conn {
		h.carry(h.caller.Tick(h.now(), nil))
	}
}

// carry does what the caller decided. The mutex is held; a datagram that the
// kernel does not take at once is as good as lost on its way.
func (h *lane) carry(acts []caller.Action) {
	for i := 0; i < len(acts); i++ {
		switch x := &acts[i]; x.Kind {
		case caller.Commit:
			// The dispatcher hears of it before the datagram that may run leaves; where it
			// has given the attempt up, that one does not leave.
			if a := h.owners[x.Handle]; a != nil && !a.Commit() {
				if i+1 < len(acts) && acts[i+1].Kind == caller.Send {
					i++
				}
				h.drop(x.Handle)
			}
		case caller.Send:
			if _, err := h.conn.Write(x.Datagram); errors.Is(err, syscall.ECONNREFUSED) {
				acts = h.caller.Unreachable(h.now(), acts)
			}
		case caller.End:
			if w := h.waiting[x.Handle]; w != nil {
				delete(h.waiting, x.Handle)
				delete(h.owners, x.Handle)
				w <- *x
			}
		}
	}
	if at, ok := h.caller.Next(); ok {
		h.timer.Reset(max(0, at-h.now()))
	}
}

// drop gives an attempt up.
func (h *lane) drop(handle uint64) {
	w := h.waiting[handle]
	if w == nil {
		return
	}
	delete(h.waiting, handle)
	delete(h.owners, handle)
	close(w)
	h.carry(h.caller.Cancel(h.now(), handle, nil))
}

// link is what the dispatcher ends an attempt's wait by.
type link struct {
	once  sync.Once
	ended chan struct{}
}

// SetDeadline ends the wait: the dispatcher only sets one that is past.
func (l *link) SetDeadline(time.Time) error {
	l.once.Do(func() { close(l.ended) })
	return nil
}

// SetReadDeadline does nothing: the message layer has times of its own.
func (l *link) SetReadDeadline(time.Time) error { return nil }

// Run carries out an attempt.
func (h *host) Run(a *dispatch.Attempt) {
	l := &link{ended: make(chan struct{})}
	left, ok := a.Attach(l)
	if !ok {
		return
	}
	way := h.lane()
	if way == nil {
		a.Finish(balance.NeverSent, nil)
		return
	}
	handle, got, err := way.begin(a, left)
	if err != nil {
		a.Finish(balance.NeverSent, nil)
		return
	}
	select {
	case x, there := <-got:
		if there {
			status, resp := outcome(&x)
			a.Finish(status, resp)
		}
	case <-l.ended:
		way.mu.Lock()
		way.drop(handle)
		way.mu.Unlock()
	}
	way.mu.Lock()
	way.rest()
	way.mu.Unlock()
}

// begin sends a request.
func (h *lane) begin(a *dispatch.Attempt, left time.Duration) (uint64, chan caller.Action, error) {
	m := a.Request.Native.Neutral()
	r := caller.Request{
		Unsafe: !m.Safe, Safe: m.Safe, Target: m.Target, ID: m.ID, Idempotency: m.IdempotencyKey, Tenant: m.Tenant, Key: m.AffinityKey, Again: m.IsRetry,
		Deadline: left, Body: bytes.Join(a.Request.Body.Chunks(), nil), ContentFormat: -1,
	}
	if m.ContentType != "" {
		r.ContentFormat = format.Number(m.ContentType)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.up(); err != nil {
		return 0, nil, err
	}
	h.last++
	got := make(chan caller.Action, 1)
	h.waiting[h.last], h.owners[h.last] = got, a
	h.carry(h.caller.Begin(h.now(), h.last, r, nil))
	return h.last, got, nil
}

// outcome is an ending in the module's words.
func outcome(x *caller.Action) (balance.Status, dispatch.Response) {
	switch x.Ending {
	case caller.Served:
		r := &response{body: x.Body}
		if t, ok := format.Type(x.ContentFormat); ok {
			r.kind = []byte(t)
		}
		return balance.OK, r
	case caller.TurnedAway:
		return balance.AtCapacity, nil
	case caller.NotThere:
		return balance.ConnectFailed, nil
	case caller.Erred:
		return balance.Error, nil
	case caller.Silent:
		return balance.Timeout, nil
	}
	return balance.Reset, nil
}

// response is an answer that came over CoAP.
type response struct{ body, kind []byte }

func (r *response) Body() []byte        { return r.body }
func (r *response) ContentType() []byte { return r.kind }
func (r *response) Release()            {}
