// Package coapfront takes the application's requests over CoAP: a socket and its
// clock round the decisions of package gate, joined to the dispatcher. It decides
// nothing.
package coapfront

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"otterspring/balance"
	"otterspring/internal/coap/format"
	"otterspring/internal/coap/gate"
	"otterspring/internal/coap/message"
	"otterspring/internal/sidecar/dispatch"
)

// Front is a CoAP server's socket. Its goroutines are one that reads, one that
// answers and the timer's; all end with Close.
type Front struct {
	life   *life // nil without a state file
	conn   *net.UDPConn
	eng    *dispatch.Dispatcher
	bodies *dispatch.Budget
	start  time.Time

	mu    sync.Mutex // gate, open and rng
	gate  *gate.Gate
	open  map[uint64]*request
	timer *time.Timer
	rng   *rand.Rand
	over  bool // nothing is taken: a note was left, or another process has the socket
	given bool // another process has the socket, and what is remembered

	answered chan *request // holds every open request at most once
	ended    chan struct{}
	reads    chan struct{} // lets Serve read
	once     sync.Once
	wg       sync.WaitGroup
	unsent   atomic.Int64
}

// request is one that the dispatcher has.
type request struct {
	front *Front
	call  dispatch.Request
	asked gate.Request
	came  atomic.Int64
}

// SetReadDeadline wakes the goroutine that answers: the dispatcher calls it once the
// answer stands. It never blocks, since the channel has room for every open
// request.
func (r *request) SetReadDeadline(time.Time) error {
	select {
	case r.front.answered <- r:
	default:
	}
	return nil
}

// SetDeadline is never called: nobody writes to a request.
func (r *request) SetDeadline(time.Time) error { return nil }

// Neutral is the request for upstreams of any protocol.
func (r *request) Neutral() dispatch.Message {
	q := &r.asked
	m := dispatch.Message{Target: q.Target, ID: r.call.ID, IdempotencyKey: q.Idempotency, Tenant: q.Tenant, AffinityKey: q.Key, IsRetry: q.Again, Safe: q.Safe}
	if q.ContentFormat >= 0 {
		m.ContentType, _ = format.Type(q.ContentFormat)
	}
	return m
}

// Settings are a front's bounds and what it is joined to.
type Settings struct {
	Listen string // an address of one machine: multicast is never answered
	Gate   gate.Settings
	Bodies *dispatch.Budget // of all request bodies, those of other fronts among them
	// State is the file in which a process leaves what the next one has to know;
	// empty for none: what Gate says of earlier processes holds then.
	State string
	// Conn is the socket of a process that hands over, nil to listen anew. Nothing is
	// read from it before Inherit or Distrust.
	Conn *net.UDPConn
}

// Listen opens the socket. Nothing is read before Serve.
func Listen(set Settings, eng *dispatch.Dispatcher) (*Front, error) {
	addr, err := netip.ParseAddrPort(set.Listen)
	if err != nil || addr.Addr().IsMulticast() || addr.Addr().IsUnspecified() {
		// On an unspecified address a multicast datagram could not be told from one
		// that is meant for this machine (RFC 7252, section 8.1).
		return nil, fmt.Errorf("coap: listen: found %q, wanted one machine's IP address and a port", set.Listen)
	}
	l, g, err := lifeOf(&set)
	if err != nil {
		return nil, err
	}
	conn := set.Conn
	if conn == nil {
		if conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr)); err != nil {
			return nil, fmt.Errorf("coap: listen: %w", err)
		}
	} else if at := conn.LocalAddr().String(); at != set.Listen {
		return nil, fmt.Errorf("coap: listen: found a socket on %s handed over, wanted one on %s", at, set.Listen)
	}
	f := &Front{
		life: l, conn: conn, eng: eng, bodies: set.Bodies, start: time.Now(), gate: g, open: map[uint64]*request{},
		// Not of the configuration's seed: a process that starts with the same one
		// again would make the same ids again.
		rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), answered: make(chan *request, set.Gate.Limits.MaxPendingRequests+set.Gate.Observers), ended: make(chan struct{}),
		reads: make(chan struct{}, 1),
	}
	if set.Conn == nil {
		f.reads <- struct{}{}
	} else {
		f.over = true // until it is known what the process before has run
	}
	f.timer = time.AfterFunc(time.Hour, f.tick)
	return f, nil
}

// lifeOf makes the gate, with what an earlier process left.
func lifeOf(set *Settings) (*life, *gate.Gate, error) {
	if set.State == "" {
		g, err := gate.New(set.Gate)
		return nil, g, err
	}
	l, left, clean, why, err := begin(set.State)
	if err != nil {
		return nil, nil, err
	}
	set.Gate.Clean = clean
	g, err := gate.New(set.Gate)
	if err != nil {
		return nil, nil, err
	}
	if left != nil {
		if err := g.Continue(0, left.age(), left.Table, time.Duration(left.CleanMS)*time.Millisecond, false); err != nil {
			why = err.Error()
			set.Gate.Clean = false
			if g, err = gate.New(set.Gate); err != nil {
				return nil, nil, err
			}
		}
	}
	if why != "" && set.Conn == nil {
		slog.Warn("coap: unsafe requests need an Echo for a while", "why", why, "state", set.State, "for", set.Gate.Params.ExchangeLifetime())
	}
	return l, g, nil
}

// Addr is where it listens.
func (f *Front) Addr() string { return f.conn.LocalAddr().String() }

// Counts are what the gate did, and how many datagrams the kernel did not take.
func (f *Front) Counts() (c gate.Counts, unsent int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gate.Counts(), f.unsent.Load()
}

// MaxPendingRequests is how many requests have no answer yet, and how many answers may have to go
// again, for nobody has acknowledged them: the process after this one would not send
// them. Where another process has the socket it reads the acknowledgements, and
// there are none to wait for.
func (f *Front) Open() (asked, unacked int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.given {
		unacked = f.gate.Unacked()
	}
	return f.gate.Open(), unacked
}

func (f *Front) now() time.Duration { return time.Since(f.start) }

// Serve answers until Close.
func (f *Front) Serve() {
	f.wg.Add(1)
	go f.answer()
	defer f.wg.Wait()
	for {
		select {
		case <-f.reads:
			f.read()
		case <-f.ended:
			return
		}
	}
}

// read reads until the socket is closed, or another process reads it.
func (f *Front) read() {
	buf := make([]byte, message.MaxDatagramSize+1)
	for {
		n, peer, err := f.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil {
			continue // what an earlier datagram met: an ICMP refusal, say
		}
		// Without the zone of the address: it is the same client with and without.
		peer = netip.AddrPortFrom(peer.Addr().Unmap().WithZone(""), peer.Port())
		f.mu.Lock()
		if f.over {
			f.mu.Unlock() // the note stands: nothing more may run
			continue
		}
		f.carry(f.gate.Receive(f.now(), peer, buf[:n], nil))
	}
}

// Socket is the socket, for a process that takes over.
func (f *Front) Socket() *net.UDPConn { return f.conn }

// Give stops taking requests for a process that has the socket, too, and returns
// what that one has to know, for Inherit. What is open is answered from here.
// Observers are told to register anew.
func (f *Front) Give() []byte {
	f.mu.Lock()
	f.over, f.given = true, true
	f.conn.SetReadDeadline(dispatch.PastDeadline)
	table, cleanIn := f.gate.Carry(f.now())
	f.carry(f.gate.EndObservations(f.now(), nil))
	return append(binary.BigEndian.AppendUint64(nil, uint64(cleanIn)), table...)
}

// TakeBack takes requests again after Give, where the other process has ended: it
// may have run what this one knows nothing of.
func (f *Front) TakeBack() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.given {
		f.given = false
		f.gate.Distrust(f.now())
		f.resume()
	}
}

// Inherit takes what the process before has given, and begins to read; without a
// table, or with one that can't be read, as after a kill.
func (f *Front) Inherit(text []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.over || f.given {
		return // it reads already
	}
	err := errors.New("found no table, wanted that of the process before")
	if len(text) >= 8 {
		cleanIn := time.Duration(binary.BigEndian.Uint64(text))
		err = f.gate.Continue(f.now(), 0, text[8:], min(max(0, cleanIn), time.Hour), true)
	}
	if err != nil {
		f.gate.Distrust(f.now())
		slog.Warn("coap: unsafe requests need an Echo for a while", "why", err)
	}
	f.resume()
}

// PredecessorEnded says that the process before has ended: what it had open and has not
// answered is nobody's.
func (f *Front) Alone() {
	f.Inherit(nil)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gate.Alone()
}

// resume lets Serve read. The mutex is held.
func (f *Front) resume() {
	f.over = false
	f.conn.SetReadDeadline(time.Time{})
	select {
	case f.reads <- struct{}{}:
	default:
	}
}

// tick is called when the gate has something to do.
func (f *Front) tick() {
	f.mu.Lock()
	f.carry(f.gate.Tick(f.now(), nil))
}

// carry does what the gate decided. It is called with the mutex, which it gives
// back before it sends or asks.
func (f *Front) carry(acts []gate.Action) {
	if at, ok := f.gate.Next(); ok {
		f.timer.Reset(max(0, at-f.now()))
	}
	var asks []*request
	for i := range acts {
		if acts[i].Kind == gate.Ask {
			r := &request{front: f, asked: acts[i].Request}
			f.open[r.asked.Handle] = r
			r.call.ID = r.asked.ID
			if r.call.ID == "" {
				r.call.ID = fmt.Sprintf("coap-%016x", f.rng.Uint64())
			}
			asks = append(asks, r)
		}
	}
	f.mu.Unlock()
	for i := range acts {
		if acts[i].Kind == gate.Send {
			if _, err := f.conn.WriteToUDPAddrPort(acts[i].Datagram, acts[i].Peer); err != nil {
				f.unsent.Add(1) // as good as lost on its way
			}
		}
	}
	for _, r := range asks {
		f.ask(r)
	}
}

// ask hands a request to the dispatcher.
func (f *Front) ask(r *request) {
	q := &r.asked
	r.call.Native, r.call.Conn, r.call.Done = r, r, make(chan struct{})
	if len(q.Body) > 0 {
		r.call.Body = dispatch.NewBody(f.bodies, &r.came)
		if err := r.call.Body.Fill(bytes.NewReader(q.Body), len(q.Body)); err != nil {
			r.call.Body.Release()
			f.finish(r, gate.Answer{Outcome: gate.Refused, Wait: time.Second})
			return
		}
	}
	held := r.call.Body // until the answer stands, the front holds it, too
	if !f.eng.Submit(&r.call, balance.Request{
		ID: r.call.ID, Class: q.Class, Tenant: q.Tenant, Key: q.Key, IsRetry: q.Again, Deadline: q.Deadline,
	}) {
		held.Release()
		f.finish(r, gate.Answer{Outcome: gate.Conflicting})
	}
}

// answer hands on the answers as they stand.
func (f *Front) answer() {
	defer f.wg.Done()
	for {
		select {
		case r := <-f.answered:
			r.call.Body.Release()
			f.finish(r, answerOf(&r.call.Result))
		case <-f.ended:
			return
		}
	}
}

// finish gives a request its answer.
func (f *Front) finish(r *request, a gate.Answer) {
	f.mu.Lock()
	delete(f.open, r.asked.Handle)
	f.carry(f.gate.Answer(f.now(), r.asked.Handle, a, nil))
}

// answerOf is a dispatcher's answer in the gate's words. It releases the response.
func answerOf(a *dispatch.Result) gate.Answer {
	switch a.Kind {
	case balance.Reject:
		return gate.Answer{Outcome: gate.Refused, Wait: a.RetryAfter}
	case balance.Fail:
		return gate.Answer{Outcome: gate.Failed}
	}
	out := gate.Answer{Outcome: gate.Served, Body: bytes.Clone(a.Response.Body()), ContentFormat: -1}
	if t := a.Response.ContentType(); len(t) > 0 {
		out.ContentFormat = format.Number(strings.Clone(string(t)))
	}
	a.Response.Release()
	return out
}

// Reject turns away what is new; what is open gets its answer.
func (f *Front) Refuse() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gate.Drain()
}

// Resume takes new requests again.
func (f *Front) Resume() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gate.Resume()
}

// CloseIdle ends it. Requests that have no answer yet get none.
func (f *Front) Close() {
	f.once.Do(func() {
		close(f.ended)
		f.timer.Stop()
		f.conn.Close()
		f.leave()
	})
	f.wg.Wait()
}

// leave leaves a note for the next process. Nothing runs from then on that is not
// in it: a datagram that was read and waits for the mutex is dropped.
func (f *Front) leave() {
	if f.life == nil {
		return
	}
	f.mu.Lock()
	if f.given {
		f.mu.Unlock()
		return // the other process knows
	}
	f.over = true
	table, cleanIn := f.gate.Carry(f.now())
	f.mu.Unlock()
	if err := f.life.end(table, cleanIn); err != nil {
		slog.Warn("coap: no note for the next process", "why", err)
	}
}
