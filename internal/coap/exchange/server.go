package exchange

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"otterspring/internal/coap/message"
)

// ServerLimits bound what a Server holds.
type ServerLimits struct {
	MaxPendingRequests int // exchanges that are not answered yet
	MaxDedupEntries    int // exchanges remembered against repeats, the open ones among them
	MaxDedupBytes      int // of answers remembered with them
	// MaxCompletedUnsafe bounds those of which nothing but a hash is remembered, once Kept has
	// no room: a repeat of one is told that it may have run. 0 for none.
	MaxCompletedUnsafe int
}

// serverExchange is a request from its first datagram until no repeat of it can
// come any more.
type serverExchange struct {
	key
	handle   uint64
	token    []byte
	confirm  bool
	unsafe   bool // to run it again may do harm
	born     time.Duration
	answered bool
	acked    bool // an empty acknowledgement was sent
	code     message.Code
	datagram []byte // the answer, while there is room for it
	separate bool   // it went as a message of its own
	own      uint16 // and with this ID
	tx       transmission
	sending  bool // tx waits for its acknowledgement
	timer    *timer[*serverExchange]
	rejected bool
	note     bool            // a notification: a message of its own that no request of this exchange asked for
	oldest   *serverExchange // neighbours among the kept ones of its kind
	newest   *serverExchange
}

// line is a list of exchanges, oldest first.
type line struct{ first, last *serverExchange }

func (l *line) push(x *serverExchange) {
	x.oldest, x.newest = l.last, nil
	if l.last != nil {
		l.last.newest = x
	} else {
		l.first = x
	}
	l.last = x
}

func (l *line) remove(x *serverExchange) {
	if x.oldest != nil {
		x.oldest.newest = x.newest
	} else {
		l.first = x.newest
	}
	if x.newest != nil {
		x.newest.oldest = x.oldest
	} else {
		l.last = x.oldest
	}
	x.oldest, x.newest = nil, nil
}

// Server is the side that is asked. It belongs to one caller at a time; the
// times given to it never go back.
type Server struct {
	p      Params
	lim    ServerLimits
	rng    *rand.Rand
	byKey  map[key]*serverExchange
	byOwn  map[key]*serverExchange // by the IDs of answers that go as messages of their own
	handle map[uint64]*serverExchange
	old    *settledSet
	// elsewhere are hashes of exchanges that another process still answers.
	elsewhere map[uint64]bool
	kept      [2]line // answered ones: safe to run again, and not
	open      int
	notes     int // notifications that wait for their acknowledgement
	unacked   int // answers that do
	bytes     int
	last      uint64
	ids       uint16
	timers    timers[*serverExchange]
	acts      []Action
	counts    Counts
}

// NewServer returns a Server that remembers nothing. All its chance comes from
// seed.
func NewServer(p Params, lim ServerLimits, seed uint64) (*Server, error) {
	if err := p.validate(); err != nil {
		return nil, err
	}
	if lim.MaxPendingRequests < 1 || lim.MaxDedupEntries < lim.MaxPendingRequests || lim.MaxDedupBytes < 0 || lim.MaxCompletedUnsafe < 0 {
		return nil, fmt.Errorf("exchange: limits %+v: wanted Open of 1 or more, and Kept no less", lim)
	}
	rng := rand.New(rand.NewPCG(seed, 0x636f6170))
	return &Server{p: p, lim: lim, rng: rng, old: newSettledSet(hashKey(rng), p.ExchangeLifetime(), lim.MaxCompletedUnsafe), byKey: map[key]*serverExchange{}, byOwn: map[key]*serverExchange{},
		handle: map[uint64]*serverExchange{}, ids: uint16(rng.Uint32())}, nil
}

// Counts returns what it did so far.
func (s *Server) Counts() Counts { return s.counts }

// Occupancy returns how many exchanges are open and how many are remembered in all.
func (s *Server) Occupancy() (open, kept int) { return s.open, len(s.byKey) }

func (s *Server) send(peer Peer, datagram []byte) {
	s.counts.Sent++
	s.acts = append(s.acts, Action{Kind: Send, Peer: peer, Datagram: datagram})
}

func (s *Server) done() []Action {
	acts := s.acts
	s.acts = nil
	return acts
}

// Receive takes a message that was decoded without an error. It shares nothing
// with it afterwards.
func (s *Server) Receive(now time.Duration, peer Peer, m *message.Message, acts []Action) []Action {
	s.acts = acts
	s.counts.Received++
	switch {
	case m.Code == message.Empty && m.Type == message.Confirmable:
		s.send(peer, plain(message.Reset, m.ID)) // a ping (section 4.3)
	case m.Type == message.Acknowledgement || m.Type == message.Reset:
		s.acknowledged(now, peer, m)
	case m.Code.IsRequest():
		s.request(now, peer, m)
	case m.Type == message.Confirmable:
		s.send(peer, plain(message.Reset, m.ID)) // an answer that nobody asked for
	default:
		s.counts.Dropped++
	}
	return s.done()
}

// ReceiveMalformed takes a datagram that is no well-formed message: a confirmable one
// is rejected (section 4.2), anything else ignored.
func (s *Server) ReceiveMalformed(peer Peer, m *message.Message, err error, acts []Action) []Action {
	s.acts = acts
	s.counts.Received++
	if !errors.Is(err, message.ErrNotCoAP) && m.Type == message.Confirmable {
		s.send(peer, plain(message.Reset, m.ID))
	} else {
		s.counts.Dropped++
	}
	return s.done()
}

// acknowledged takes the end of an answer's transmission.
func (s *Server) acknowledged(now time.Duration, peer Peer, m *message.Message) {
	x := s.byOwn[key{peer, m.ID}]
	if x == nil {
		s.counts.Dropped++
		return
	}
	if m.Type == message.Reset && !x.rejected {
		s.counts.Resets++
		x.rejected = true
		s.acts = append(s.acts, Action{Kind: Canceled, Handle: x.handle, Peer: peer})
	}
	if x.note {
		s.dropNote(x)
		return
	}
	if x.sending {
		s.settled(x)
		s.plan(x, x.born+s.lifetime(x))
	}
}

// settled notes that an answer waits for its acknowledgement no more.
func (s *Server) settled(x *serverExchange) {
	x.sending = false
	s.unacked--
}

// UnacknowledgedResponses is how many answers are still sent again until they are acknowledged, or
// nobody is believed to be there.
func (s *Server) UnacknowledgedResponses() int { return s.unacked }

// ErrTooManyNotifications is a notification for which there is no room.
var ErrTooManyNotifications = errors.New("exchange: too many notifications are out")

// Notify sends a confirmable message of its own to a client, under the token of
// an observation (RFC 7641, section 4.2). It returns the name under which a
// Reset, or that nobody takes it, is told as Canceled.
func (s *Server) Notify(now time.Duration, peer Peer, token []byte, m message.Message, acts []Action) ([]Action, uint64, error) {
	s.acts = acts
	if s.notes >= s.lim.MaxPendingRequests {
		s.counts.CapacityRejections++
		return s.done(), 0, ErrTooManyNotifications
	}
	m.Type, m.ID, m.Token = message.Confirmable, s.nextID(peer), token
	text, err := m.Append(nil)
	if err != nil {
		return s.done(), 0, err
	}
	s.last++
	s.notes++
	x := &serverExchange{key: key{peer: peer}, handle: s.last, note: true, own: m.ID, tx: s.p.begin(s.rng, text, now), sending: true}
	s.byOwn[key{peer, m.ID}], s.handle[x.handle] = x, x
	s.plan(x, x.tx.due)
	s.send(peer, text)
	return s.done(), x.handle, nil
}

// NotificationPending tells whether a notification waits for its acknowledgement.
func (s *Server) NotificationPending(handle uint64) bool {
	x := s.handle[handle]
	return x != nil && x.sending
}

// dropNote forgets a notification.
func (s *Server) dropNote(x *serverExchange) {
	s.timers.cancel(&x.timer)
	s.notes--
	delete(s.byOwn, key{x.peer, x.own})
	delete(s.handle, x.handle)
}

// lifetime is how long a repeat of an exchange's request may come.
func (s *Server) lifetime(x *serverExchange) time.Duration {
	if x.confirm {
		return s.p.ExchangeLifetime()
	}
	return s.p.NonLifetime()
}

// request takes a request or a repeat of one.
func (s *Server) request(now time.Duration, peer Peer, m *message.Message) {
	k := key{peer, m.ID}
	if x := s.byKey[k]; x != nil {
		s.repeat(x)
		return
	}
	if len(s.elsewhere) > 0 && s.elsewhere[s.old.hash(k)] {
		s.counts.Duplicates++
		return
	}
	if s.old.has(now, k) {
		s.counts.Duplicates++
		if m.Type == message.Confirmable {
			s.overdue(peer, m.ID, m.Token)
		}
		return
	}
	unsafe := m.Code != message.GET && m.Code != message.FETCH
	if s.open >= s.lim.MaxPendingRequests || len(s.byKey) >= s.lim.MaxDedupEntries && !s.forget(now) {
		s.full(peer, m, unsafe)
		return
	}
	s.last++
	x := &serverExchange{key: k, handle: s.last, token: append([]byte(nil), m.Token...), confirm: m.Type == message.Confirmable, unsafe: unsafe, born: now}
	s.byKey[k], s.handle[x.handle] = x, x
	s.open++
	if x.confirm {
		s.plan(x, now+s.p.AckDelay)
	}
	s.acts = append(s.acts, Action{Kind: Deliver, Peer: peer, Handle: x.handle, Message: clone(m)})
}

// full turns a request away for want of room. One that is safe to repeat gets
// its answer, which is not remembered. An unsafe one gets none: a repeat of it,
// which the network may hold already, may be taken later, and the answer would
// have been untrue.
func (s *Server) full(peer Peer, m *message.Message, unsafe bool) {
	s.counts.CapacityRejections++
	if unsafe {
		return
	}
	r := message.Message{Type: message.Acknowledgement, ID: m.ID, Token: m.Token, Code: message.ServiceUnavailable}
	if m.Type != message.Confirmable {
		r.Type, r.ID = message.NonConfirmable, s.nextID(peer)
	}
	r.AddUint(message.MaxAge, 1)
	if text, err := r.Append(nil); err == nil {
		s.send(peer, text)
	}
}

// forget makes room: it gives up the oldest finished exchange that is safe to run
// again, or keeps no more than a hash of the oldest other one.
func (s *Server) forget(now time.Duration) bool {
	if x := s.kept[0].first; x != nil {
		s.counts.Evicted++
		s.drop(x)
		return true
	}
	x := s.kept[1].first
	// One whose answer waits for its acknowledgement is not over.
	for range 8 {
		if x == nil || !x.sending {
			break
		}
		x = x.newest
	}
	if x == nil || x.sending || !s.old.add(now, x.key, x.born+s.lifetime(x)) {
		return false
	}
	s.counts.Compacted++
	s.drop(x)
	return true
}

// repeat answers a repeat of a request from memory.
func (s *Server) repeat(x *serverExchange) {
	s.counts.Duplicates++
	switch {
	case !x.confirm:
		// The answer to a non-confirmable request is not sent again.
	case !x.answered && !x.acked:
		// The acknowledgement goes when it is due, or with the answer.
	case !x.answered || x.separate:
		s.send(x.peer, plain(message.Acknowledgement, x.id))
	case x.datagram != nil:
		s.send(x.peer, x.datagram)
	default:
		s.overdue(x.peer, x.id, x.token)
	}
}

// overdue answers a repeat of a request whose answer there was no room to keep:
// it is not run again, and may have run.
func (s *Server) overdue(peer Peer, id uint16, token []byte) {
	r := message.Message{Type: message.Acknowledgement, ID: id, Token: token, Code: message.BadGateway}
	if text, err := r.Append(nil); err == nil {
		s.send(peer, text)
	}
}

// nextID returns an ID for a message of its own to a peer, which no such
// message still bears.
func (s *Server) nextID(peer Peer) uint16 {
	for range 1 << 16 {
		s.ids++
		if s.byOwn[key{peer, s.ids}] == nil {
			break
		}
	}
	return s.ids
}

// Respond gives the answer to a request: its type, ID and token are filled in. An
// error means that it can't be written as a message; the exchange stays open
// then.
func (s *Server) Respond(now time.Duration, handle uint64, r message.Message, acts []Action) ([]Action, error) {
	return s.RespondWithin(now, handle, r, 0, acts)
}

// RespondWithin is Answer with a bound on the bytes of all transmissions of the
// answer together, for a client whose address may be forged (RFC 9175, section
// 2.4); 0 for none. It is sent at least once.
func (s *Server) RespondWithin(now time.Duration, handle uint64, r message.Message, bytes int, acts []Action) ([]Action, error) {
	s.acts = acts
	x := s.handle[handle]
	if x == nil || x.answered || x.note {
		return s.done(), nil
	}
	r.Token = x.token
	switch {
	case x.confirm && !x.acked:
		r.Type, r.ID = message.Acknowledgement, x.id
	case x.confirm:
		r.Type, r.ID, x.separate = message.Confirmable, s.nextID(x.peer), true
	default:
		r.Type, r.ID, x.separate = message.NonConfirmable, s.nextID(x.peer), true
	}
	text, err := r.Append(nil)
	if err != nil {
		x.separate = false
		return s.done(), err
	}
	x.answered, x.code = true, r.Code
	s.open--
	s.keep(x, text)
	kind := 0
	if x.unsafe {
		kind = 1
	}
	s.kept[kind].push(x)
	if x.separate {
		x.own = r.ID
		s.byOwn[key{x.peer, x.own}] = x
	}
	if r.Type == message.Confirmable {
		x.tx, x.sending = s.p.begin(s.rng, text, now), true
		s.unacked++
		if bytes > 0 {
			x.tx.sent = max(1, s.p.MaxRetransmit+2-max(1, bytes/len(text)))
		}
		s.plan(x, x.tx.due)
	} else {
		s.plan(x, x.born+s.lifetime(x))
	}
	s.send(x.peer, text)
	return s.done(), nil
}

// keep remembers an answer for repeats, if there is room for it.
func (s *Server) keep(x *serverExchange, text []byte) {
	if x.separate || s.bytes+len(text) > s.lim.MaxDedupBytes {
		return
	}
	x.datagram = text
	s.bytes += len(text)
}

// plan sets the time at which an exchange has something to do next.
func (s *Server) plan(x *serverExchange, at time.Duration) { s.timers.plan(&x.timer, x, at) }

// drop forgets an exchange.
func (s *Server) drop(x *serverExchange) {
	s.timers.cancel(&x.timer)
	if x.sending {
		s.settled(x)
	}
	if x.answered {
		kind := 0
		if x.unsafe {
			kind = 1
		}
		s.kept[kind].remove(x)
	} else {
		s.open--
	}
	s.bytes -= len(x.datagram)
	delete(s.byKey, x.key)
	delete(s.handle, x.handle)
	if x.separate {
		delete(s.byOwn, key{x.peer, x.own})
	}
}

// Next returns when Tick has something to do; false if there is nothing.
func (s *Server) Next() (time.Duration, bool) { return s.timers.next() }

// Tick does what is due by now: acknowledgements, retransmissions, forgetting.
func (s *Server) Tick(now time.Duration, acts []Action) []Action {
	s.acts = acts
	for len(s.timers) > 0 && s.timers[0].at <= now {
		x := s.timers[0].x
		switch {
		case x.note && !x.tx.again(&s.p):
			// Nobody takes it: the observer has gone (RFC 7641, section 4.5).
			s.acts = append(s.acts, Action{Kind: Canceled, Handle: x.handle, Peer: x.peer})
			s.dropNote(x)
		case x.note:
			s.counts.Retransmissions++
			s.send(x.peer, x.tx.datagram)
			s.plan(x, x.tx.due)
		case !x.answered && !x.acked:
			x.acked = true
			s.send(x.peer, plain(message.Acknowledgement, x.id))
			// An open exchange is the caller's to answer; it is not forgotten.
			s.timers.cancel(&x.timer)
		case x.sending && x.tx.again(&s.p):
			s.counts.Retransmissions++
			s.send(x.peer, x.tx.datagram)
			s.plan(x, x.tx.due)
		case x.sending:
			// Nobody takes the answer. The memory against repeats stays.
			s.settled(x)
			s.plan(x, max(now, x.born+s.lifetime(x)))
			if x.timer.at <= now {
				s.drop(x)
			}
		default:
			s.drop(x)
		}
	}
	return s.done()
}
