package exchange

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"otterspring/internal/coap/message"
)

// ClientLimits bound what a Client holds.
type ClientLimits struct {
	MaxInFlight     int // requests that have no answer yet, waiting ones among them
	MaxDedupEntries int // answers of their own that are remembered, to acknowledge repeats
}

// clientExchange is a request until its answer has come or it is given up.
type clientExchange struct {
	handle  uint64
	peer    Peer
	token   uint64
	id      uint16
	confirm bool
	once    bool // never transmitted again
	msg     message.Message
	tx      transmission
	state   clientState
	ends    time.Duration // Lost after this
	timer   *timer[*clientExchange]
}

type clientState int

const (
	queued clientState = iota // NStart others are outstanding with that server
	sent                      // no word yet
	acked                     // an empty acknowledgement came; the answer will come by itself
	settled
)

// server is what is known of one that is asked.
type server struct {
	out   int // outstanding interactions
	queue []*clientExchange
	ids   uint16
	used  map[uint16]bool // IDs of the exchanges that are not over
	// laps are when IDs of each chunk were last given: one may come again only when
	// no message with it can still be repeated (section 4.4).
	laps [1 << 16 / chunkIDs]time.Duration
	last time.Duration // of the latest ID
}

const (
	chunkIDs = 1 << 10
	// mostServers bounds what is known of servers that were asked lately.
	mostServers = 4096
)

// nextID gives an ID that no message of the last lifetime had; false where all
// have been given: 65,536 in a lifetime, 265 a second for good.
func (s *server) nextID(now, lifetime time.Duration) (uint16, bool) {
	for {
		next := s.ids + 1
		if at := s.laps[next/chunkIDs]; next%chunkIDs == 0 && at > 0 && now-at < lifetime {
			return 0, false
		}
		s.ids = next
		s.laps[next/chunkIDs], s.last = max(now, 1), now
		if !s.used[next] {
			return next, true
		}
	}
}

// freshID tells whether nextID would give one.
func (s *server) freshID(now, lifetime time.Duration) bool {
	next := s.ids + 1
	at := s.laps[next/chunkIDs]
	return next%chunkIDs != 0 || at == 0 || now-at >= lifetime
}

// tokenKey names a request for its answer.
type tokenKey struct {
	peer  Peer
	token uint64
}

// heard is an answer of its own that came: a repeat of it is acknowledged and
// not passed on.
type heard struct {
	key
	at time.Duration
}

// Client is the side that asks. It belongs to one caller at a time; the times
// given to it never go back.
type Client struct {
	p       Params
	lim     ClientLimits
	rng     *rand.Rand
	byTok   map[tokenKey]*clientExchange
	byID    map[key]*clientExchange
	byName  map[uint64]*clientExchange
	servers map[Peer]*server
	heard   map[key]bool
	heardAt []heard // oldest first
	timers  timers[*clientExchange]
	acts    []Action
	counts  Counts
}

// NewClient returns a Client that has asked nothing. All its chance comes from
// seed: tokens can't be guessed from outside by one that does not know it.
func NewClient(p Params, lim ClientLimits, seed uint64) (*Client, error) {
	if err := p.validate(); err != nil {
		return nil, err
	}
	if lim.MaxInFlight < 1 || lim.MaxDedupEntries < 1 {
		return nil, fmt.Errorf("exchange: limits %+v: wanted 1 or more", lim)
	}
	return &Client{p: p, lim: lim, rng: rand.New(rand.NewPCG(seed, 0x636f6170)), byTok: map[tokenKey]*clientExchange{},
		byID: map[key]*clientExchange{}, byName: map[uint64]*clientExchange{}, servers: map[Peer]*server{}, heard: map[key]bool{}}, nil
}

// Counts returns what it did so far.
func (c *Client) Counts() Counts { return c.counts }

// MaxPendingRequests returns how many requests have no answer yet.
func (c *Client) InFlight() int { return len(c.byName) }

func (c *Client) send(peer Peer, datagram []byte) {
	c.counts.Sent++
	c.acts = append(c.acts, Action{Kind: Send, Peer: peer, Datagram: datagram})
}

func (c *Client) done() []Action {
	acts := c.acts
	c.acts = nil
	return acts
}

// Request sends a request, named handle by the caller, to a server: its ID and token
// are filled in. once says that it is sent once and never again, though
// confirmable. It returns false where there is no room; nothing is sent then.
func (c *Client) Request(now time.Duration, handle uint64, peer Peer, m message.Message, once bool, acts []Action) ([]Action, bool) {
	c.acts = acts
	if len(c.byName) >= c.lim.MaxInFlight || c.byName[handle] != nil {
		c.counts.CapacityRejections++
		return c.done(), false
	}
	s := c.server(now, peer)
	if s == nil || !s.freshID(now, c.p.ExchangeLifetime()) {
		c.counts.CapacityRejections++
		return c.done(), false
	}
	x := &clientExchange{handle: handle, peer: peer, confirm: m.Type == message.Confirmable, once: once, msg: m}
	x.token = c.rng.Uint64()
	for c.byTok[tokenKey{peer, x.token}] != nil {
		x.token = c.rng.Uint64()
	}
	c.byTok[tokenKey{peer, x.token}], c.byName[handle] = x, x
	if s.out >= c.p.NStart {
		s.queue = append(s.queue, x)
		x.ends = now + c.p.MaxTransmitWait()
		c.plan(x)
		return c.done(), true
	}
	c.start(now, s, x)
	return c.done(), true
}

// server is what is known of one, and stays known as long as an ID that it was
// sent must not come again; nil where there are too many.
func (c *Client) server(now time.Duration, peer Peer) *server {
	if s := c.servers[peer]; s != nil {
		return s
	}
	if len(c.servers) >= mostServers {
		for p, s := range c.servers {
			if s.out == 0 && len(s.used) == 0 && len(s.queue) == 0 && now-s.last >= c.p.ExchangeLifetime() {
				delete(c.servers, p)
			}
		}
		if len(c.servers) >= mostServers {
			return nil
		}
	}
	s := &server{ids: uint16(c.rng.Uint32()), used: map[uint16]bool{}, last: now}
	// The chunk that it begins in is not given a second time either.
	s.laps[s.ids/chunkIDs] = max(now, 1)
	c.servers[peer] = s
	return s
}

// HasCapacity tells whether a request to a server could be asked now.
func (c *Client) HasCapacity(now time.Duration, peer Peer) bool {
	s := c.servers[peer]
	return len(c.byName) < c.lim.MaxInFlight && (s == nil || s.freshID(now, c.p.ExchangeLifetime()))
}

// start sends a request for the first time.
func (c *Client) start(now time.Duration, s *server, x *clientExchange) {
	id, ok := s.nextID(now, c.p.ExchangeLifetime())
	if !ok {
		// Nothing left: proven.
		c.fail(now, x, Unreachable, 0)
		return
	}
	x.id = id
	s.used[x.id] = true
	s.out++
	x.state = sent
	c.byID[key{x.peer, x.id}] = x
	x.msg.ID, x.msg.Token = x.id, binary.BigEndian.AppendUint64(nil, x.token)
	text, err := x.msg.Append(nil)
	if err != nil {
		// Nothing left: proven.
		c.fail(now, x, Unreachable, 0)
		return
	}
	x.tx = c.p.begin(c.rng, text, now)
	x.ends = now + c.p.MaxTransmitWait()
	if x.once || !x.confirm {
		x.tx.sent = c.p.MaxRetransmit + 1
		x.tx.due = x.ends
	}
	c.plan(x)
	c.send(x.peer, text)
}

// plan sets the time at which a request has something to do next.
func (c *Client) plan(x *clientExchange) {
	at := x.ends
	if x.state == sent {
		at = min(at, x.tx.due)
	}
	c.timers.plan(&x.timer, x, at)
}

// transmissions is how often a request was sent.
func (x *clientExchange) transmissions() int {
	if (x.once || !x.confirm) && x.tx.sent > 0 {
		return 1
	}
	return x.tx.sent
}

// fail ends a request without an answer.
func (c *Client) fail(now time.Duration, x *clientExchange, why FailureReason, sent int) {
	acked := x.state == acked
	c.over(now, x)
	c.acts = append(c.acts, Action{Kind: Failed, Peer: x.peer, Handle: x.handle, Reason: why, Transmissions: sent, Acknowledged: acked})
}

// over forgets a request, and lets the next one for its server go.
func (c *Client) over(now time.Duration, x *clientExchange) {
	s := c.servers[x.peer]
	switch x.state {
	case queued:
		s.queue = slices.DeleteFunc(s.queue, func(q *clientExchange) bool { return q == x })
	case sent:
		s.out--
	}
	if x.state != queued {
		delete(c.byID, key{x.peer, x.id})
		delete(s.used, x.id)
	}
	x.state = settled
	c.timers.cancel(&x.timer)
	delete(c.byTok, tokenKey{x.peer, x.token})
	delete(c.byName, x.handle)
	c.next(now, s)
}

// next sends what waits for a server, as far as NStart allows.
func (c *Client) next(now time.Duration, s *server) {
	for s.out < c.p.NStart && len(s.queue) > 0 {
		x := s.queue[0]
		s.queue = s.queue[1:]
		c.start(now, s, x)
	}
}

// Cancel gives a request up. It returns how often it was sent; an answer that
// still comes is rejected.
func (c *Client) Cancel(now time.Duration, handle uint64, acts []Action) ([]Action, int) {
	c.acts = acts
	x := c.byName[handle]
	if x == nil {
		return c.done(), 0
	}
	n := x.transmissions()
	c.over(now, x)
	return c.done(), n
}

// PeerUnreachable takes the network's word that nobody is at that address: every
// request to it that is not acknowledged has ended.
func (c *Client) PeerUnreachable(now time.Duration, peer Peer, acts []Action) []Action {
	c.acts = acts
	var gone []*clientExchange
	for _, x := range c.byName {
		if x.peer == peer && x.state == sent {
			gone = append(gone, x)
		}
	}
	slices.SortFunc(gone, func(a, b *clientExchange) int { return int(a.id) - int(b.id) })
	for _, x := range gone {
		c.fail(now, x, Unreachable, x.transmissions())
	}
	return c.done()
}

// Receive takes a message that was decoded without an error. It shares nothing
// with it afterwards.
func (c *Client) Receive(now time.Duration, peer Peer, m *message.Message, acts []Action) []Action {
	c.acts = acts
	c.counts.Received++
	x := c.byID[key{peer, m.ID}]
	switch {
	case m.Type == message.Reset:
		c.counts.Resets++
		if x != nil {
			c.fail(now, x, Rejected, x.transmissions())
		} else {
			c.counts.Dropped++
		}
	case m.Type == message.Acknowledgement && m.Code == message.Empty:
		if x != nil && x.state == sent {
			x.state = acked
			c.plan(x)
			s := c.servers[peer]
			s.out--
			c.next(now, s)
		}
	case m.Code.IsResponse():
		c.response(now, peer, m, x)
	case m.Type == message.Confirmable:
		// A ping, or a request: this side answers none.
		c.send(peer, plain(message.Reset, m.ID))
	default:
		c.counts.Dropped++
	}
	return c.done()
}

// response takes an answer, with an acknowledgement or by itself.
func (c *Client) response(now time.Duration, peer Peer, m *message.Message, byID *clientExchange) {
	var x *clientExchange
	if len(m.Token) == 8 {
		x = c.byTok[tokenKey{peer, binary.BigEndian.Uint64(m.Token)}]
	}
	if x != nil && x.state == queued {
		x = nil // it has not been asked yet: guessed, or of an earlier life
	}
	k := key{peer, m.ID}
	if m.Type == message.Acknowledgement {
		if x == nil || x != byID {
			c.counts.Dropped++ // section 5.3.2: ID and token must both match
			return
		}
	} else {
		c.age(now)
		if c.heard[k] {
			c.counts.Duplicates++
			if m.Type == message.Confirmable {
				c.send(peer, plain(message.Acknowledgement, m.ID))
			}
			return
		}
		if x == nil {
			if m.Type == message.Confirmable {
				c.send(peer, plain(message.Reset, m.ID))
			} else {
				c.counts.Dropped++
			}
			return
		}
		c.remember(now, k)
		if m.Type == message.Confirmable {
			c.send(peer, plain(message.Acknowledgement, m.ID))
		}
	}
	n, was := x.transmissions(), x.state == acked
	answer := clone(m)
	c.over(now, x)
	c.acts = append(c.acts, Action{Kind: Response, Peer: peer, Handle: x.handle, Message: answer, Transmissions: n, Acknowledged: was})
}

// remember notes an answer that came by itself. When there are too many the
// oldest is forgotten: a repeat of it is rejected then, which the server takes
// for a client that does not care any more.
func (c *Client) remember(now time.Duration, k key) {
	if len(c.heardAt) >= c.lim.MaxDedupEntries {
		delete(c.heard, c.heardAt[0].key)
		c.heardAt = c.heardAt[1:]
	}
	c.heard[k] = true
	c.heardAt = append(c.heardAt, heard{k, now})
}

// age forgets the answers that can't be repeated any more.
func (c *Client) age(now time.Duration) {
	for len(c.heardAt) > 0 && now-c.heardAt[0].at >= c.p.ExchangeLifetime() {
		delete(c.heard, c.heardAt[0].key)
		c.heardAt = c.heardAt[1:]
	}
}

// Next returns when Tick has something to do; false if there is nothing.
func (c *Client) Next() (time.Duration, bool) { return c.timers.next() }

// Tick does what is due by now: retransmissions, and the end of what has waited
// too long.
func (c *Client) Tick(now time.Duration, acts []Action) []Action {
	c.acts = acts
	for len(c.timers) > 0 && c.timers[0].at <= now {
		x := c.timers[0].x
		switch {
		case x.ends <= now:
			c.fail(now, x, TimedOut, x.transmissions())
			continue
		case x.tx.again(&c.p):
			c.counts.Retransmissions++
			c.send(x.peer, x.tx.datagram)
		default:
			x.tx.due = x.ends // sent as often as it may: the last wait
		}
		c.plan(x)
	}
	return c.done()
}
