// Package gate is the side of CoAP that clients ask (RFC 7252, 7641, 7959, 9175):
// it turns datagrams into requests for the decision module, and answers into
// datagrams. It does no I/O, has no clock and starts no goroutine: datagrams,
// answers and times come in, datagrams and requests go out.
//
// What it decides: which requests are well formed, which may run, which are a
// repeat of one that ran or may have run before this process began, and what is
// turned away for want of room. docs/design/coap.md says why.
package gate

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"otterspring/internal/coap/block"
	"otterspring/internal/coap/echo"
	"otterspring/internal/coap/exchange"
	"otterspring/internal/coap/message"
)

// Options of this application, from the range for experiments (RFC 7252, section
// 12.2). Odd numbers are critical.
const (
	OptDeadline    message.Number = 65000 // elective, uint, milliseconds
	OptRequestID   message.Number = 65001 // critical, 1 to 256 bytes
	OptTenant      message.Number = 65004 // elective, text
	OptIdempotency message.Number = 65005 // critical, 1 to 128 bytes
	OptKey         message.Number = 65008 // elective, text
	OptNotRun      message.Number = 65009 // of answers: surely not run
	OptRetry       message.Number = 65012 // elective, empty
)

const (
	mostRequestID   = 256
	mostIdempotency = 128
	mostText        = 256
	// spread is how many times its bytes a source gets that has not proven that
	// it receives where it says it is (RFC 9175, section 2.4, item 3).
	spread = 3
	// emptyBytes is an empty acknowledgement, which may have gone ahead.
	emptyBytes = 4
)

// Effect is what a repeat of a class's requests can do.
type Effect int

// The effects.
const (
	Repeat Effect = iota // safe to repeat: GET
	Keyed                // POST with an idempotency key
	Once                 // POST that must not run twice
)

// Class is what the gate has to know of a class.
type Class struct {
	Effect   Effect
	Deadline time.Duration
}

// Settings are a gate's bounds.
type Settings struct {
	Params  exchange.Params
	Limits  exchange.ServerLimits
	Blocks  block.Limits
	Classes map[string]Class
	// DeadlineTimes bounds a request's own deadline, as a multiple of its class's.
	DeadlineTimes float64
	// Observers bounds the observations of safe classes (RFC 7641), 0 for none;
	// each is asked for anew every ObserveEvery.
	Observers    int
	ObserveEvery time.Duration
	// Trusted are networks whose sources can't be forged: they get answers of any
	// size without an Echo.
	Trusted []netip.Prefix
	// Clean says that no earlier process can have seen a request that may still
	// come again: a first start, one after a stop in order, or a hand-over that
	// brought the table.
	Clean bool
	// Demand answers every unsafe request without a fresh Echo with 4.01 and one, in
	// every life: what a call server does that wants its clients to repeat safely
	// over its restarts. Clean and the age of this life mean nothing then.
	Demand bool
	// EchoKey is the secret of the Echo values, of 16 bytes or more; with Clean
	// after a hand-over it is that of the process before.
	EchoKey []byte
	EchoAge time.Duration
	Seed    uint64
}

func (s *Settings) validate() error {
	switch {
	case len(s.Classes) == 0:
		return errors.New("gate: no class")
	case s.DeadlineTimes < 1:
		return errors.New("gate: DeadlineTimes: under 1")
	case s.Observers < 0 || s.Observers > 0 && s.ObserveEvery <= 0:
		return errors.New("gate: Observers: wanted none, or some with ObserveEvery above 0")
	}
	return nil
}

// IsRequest is what a client asks, ready for the decision module.
type Request struct {
	Handle        uint64
	Class         string
	Target        string // path and query, as HTTP writes them
	ID            string // empty where the client gave none: the caller makes one
	Idempotency   string
	Tenant        string
	Key           string
	Again         bool
	Safe          bool          // a GET
	Deadline      time.Duration // from now
	Body          []byte
	ContentFormat int // -1 for none
}

// Outcome is how a request ended.
type Outcome int

// The outcomes.
const (
	Served      Outcome = iota
	Refused             // trying again is harmless
	Limited             // refused for this client's own rate (RFC 8516)
	Failed              // it may have run
	Conflicting         // its id is in use, or was used before
	NotRun              // a call server's: turned away, and surely not run
)

// Respond is what the decision module answers.
type Answer struct {
	Outcome       Outcome
	Wait          time.Duration // with a refusal: when to come again; 0 for no advice
	Body          []byte
	ContentFormat int // -1 for none
}

// ActionKind says what an action is.
type Kind int

// The kinds of action.
const (
	Send Kind = iota // Datagram to Peer
	Ask              // Request is to be run; its answer goes to Answer
	Drop             // the client of Request.Handle does not care any more
)

// Action is one thing for the caller to do, in the order given.
type Action struct {
	Kind     Kind
	Peer     netip.AddrPort
	Datagram []byte
	Request  Request
}

// Counts are what a gate did, for operators.
type Counts struct {
	exchange.Counts
	Asked       int // requests that were handed on
	BadRequests int // 4.xx
	NotProven   int // unsafe ones of which an earlier process may have run the like
	Spread      int // answers cut short for sources that have proven nothing
	Full        int // observations or transfers turned away for want of room
	Observers   int // now
	Notified    int // notifications sent
	Transfers   int // block transfers under way
}

// open is a request that is being run.
type open struct {
	handle uint64 // of the exchange
	peer   netip.AddrPort
	bytes  int // of the datagram that asked
	req    message.Message
	key    string // of its transfer
	obs    *observer
	class  Class
	echoed bool
	accept int // Content-Format asked for, -1 for any
}

// Gate is the side that clients ask. It belongs to one caller at a time; the
// times given to it never go back.
type Gate struct {
	set      Settings
	ex       *exchange.Server
	in       *block.Receiver
	out      *block.Sender
	echo     *echo.Issuer
	cleanAt  time.Duration // no request of an earlier life can come from then on
	begun    bool
	draining bool
	open     map[uint64]*open // by exchange
	asked    map[uint64]*open // by the handle that the caller knows
	last     uint64
	watch    observers
	acts     []Action
	counts   Counts
}

// New returns a Gate that has seen nothing.
func New(set Settings) (*Gate, error) {
	if err := set.validate(); err != nil {
		return nil, err
	}
	g := &Gate{set: set, open: map[uint64]*open{}, asked: map[uint64]*open{}, watch: newObservers()}
	var err error
	if g.ex, err = exchange.NewServer(set.Params, set.Limits, set.Seed); err != nil {
		return nil, err
	}
	if g.in, err = block.NewReceiver(set.Blocks); err != nil {
		return nil, err
	}
	if g.out, err = block.NewSender(set.Blocks); err != nil {
		return nil, err
	}
	if g.echo, err = echo.New(set.EchoKey, set.EchoAge); err != nil {
		return nil, err
	}
	return g, nil
}

// Counts returns what it did so far and holds now.
func (g *Gate) Counts() Counts {
	c := g.counts
	c.Counts = g.ex.Counts()
	c.Observers = len(g.watch.by)
	in, _ := g.in.InFlight()
	out, _ := g.out.InFlight()
	c.Transfers = in + out
	return c
}

// MaxPendingRequests is how many requests have no answer yet.
func (g *Gate) Open() int { return len(g.asked) }

// UnacknowledgedResponses is how many answers wait for their acknowledgement, and go again without.
func (g *Gate) Unacked() int { return g.ex.UnacknowledgedResponses() }

// Drain turns away what is new from now on; what is open is answered.
func (g *Gate) Drain() { g.draining = true }

// ExportTable writes what a later process has to know, and for how long that one has to
// wait for what this one had to wait for.
func (g *Gate) Carry(now time.Duration) (text []byte, cleanIn time.Duration) {
	g.began(now)
	return g.ex.ExportTable(now), max(0, g.cleanAt-now)
}

// HandleResponse takes what an earlier process wrote, age ago, before anything was
// received: from then on nothing is unknown but what was so there, for cleanIn more.
// draining says that it still answers what it has open, until Alone.
func (g *Gate) Continue(now, age time.Duration, text []byte, cleanIn time.Duration, draining bool) error {
	if err := g.ex.ImportTable(now, age, text, draining); err != nil {
		return err
	}
	g.begun, g.cleanAt = true, now+max(0, cleanIn-age)
	return nil
}

// PredecessorEnded says that the process before has ended.
func (g *Gate) Alone() { g.ex.PredecessorEnded() }

// Distrust says that another process has taken requests that this one knows
// nothing of, until now.
func (g *Gate) Distrust(now time.Duration) {
	g.begun, g.cleanAt = true, now+g.set.Params.ExchangeLifetime()
}

// EndObservations tells every observer that it will hear no more from here: it
// registers anew, with whoever has the address then.
func (g *Gate) EndObservations(now time.Duration, acts []Action) []Action {
	g.acts = acts
	for o := g.watch.first; o != nil; o = g.watch.first {
		if sent, _, err := g.ex.Notify(now, o.id.peer, []byte(o.id.token), refusal(message.ServiceUnavailable, 0), nil); err == nil {
			g.carry(now, sent, 0)
		}
		g.watch.remove(o)
	}
	return g.done()
}

// Resume takes new requests again.
func (g *Gate) Resume() { g.draining = false }

func (g *Gate) done() []Action {
	acts := g.acts
	g.acts = nil
	return acts
}

// began notes the time of the first call: a life begins with it.
func (g *Gate) began(now time.Duration) {
	if g.begun {
		return
	}
	g.begun, g.cleanAt = true, now
	if !g.set.Clean {
		g.cleanAt = now + g.set.Params.ExchangeLifetime()
	}
}

// Receive takes a datagram. It shares nothing with it afterwards.
func (g *Gate) Receive(now time.Duration, peer netip.AddrPort, datagram []byte, acts []Action) []Action {
	g.began(now)
	g.acts = acts
	var m message.Message
	if err := message.Decode(datagram, &m); err != nil {
		g.carry(now, g.ex.ReceiveMalformed(peer, &m, err, nil), len(datagram))
		return g.done()
	}
	sent := g.ex.Receive(now, peer, &m, nil)
	if !g.trusted(peer) && !g.proven(now, &open{peer: peer, req: m}) {
		sent = g.within(sent, spread*len(datagram))
	}
	g.carry(now, sent, len(datagram))
	return g.done()
}

// within leaves out what is more than most bytes. A repeat of a message need not
// be as long as the first: the answer to that is for its sender's bytes.
func (g *Gate) within(acts []exchange.Action, most int) []exchange.Action {
	return slices.DeleteFunc(acts, func(a exchange.Action) bool {
		if a.Kind != exchange.Send || len(a.Datagram) <= most {
			return false
		}
		g.counts.Spread++
		return true
	})
}

// NextBlock returns when Tick has something to do; false if there is nothing.
func (g *Gate) Next() (time.Duration, bool) {
	at, ok := g.ex.Next()
	if w, due := g.watch.next(); due && (!ok || w < at) {
		return w, true
	}
	return at, ok
}

// Tick does what is due by now.
func (g *Gate) Tick(now time.Duration, acts []Action) []Action {
	g.began(now)
	g.acts = acts
	g.carry(now, g.ex.Tick(now, nil), 0)
	g.poll(now)
	return g.done()
}

// carry passes on what the message layer wants done.
func (g *Gate) carry(now time.Duration, acts []exchange.Action, bytes int) {
	for i := range acts {
		switch a := &acts[i]; a.Kind {
		case exchange.Send:
			g.acts = append(g.acts, Action{Kind: Send, Peer: a.Peer, Datagram: a.Datagram})
		case exchange.Deliver:
			g.deliver(now, &open{handle: a.Handle, peer: a.Peer, bytes: bytes, req: a.Message, accept: -1})
		case exchange.Canceled:
			g.canceled(a.Handle)
		}
	}
}

// canceled takes the news that a client has rejected an answer of its own: it
// does not observe any more (RFC 7641, section 3.6).
func (g *Gate) canceled(handle uint64) {
	if o := g.watch.byNote[handle]; o != nil {
		g.watch.remove(o)
	}
}

// fault is why a request is turned away unread.
type fault struct {
	code message.Code
	why  string
}

// deliver takes a request that is not a repeat of one in this life.
func (g *Gate) deliver(now time.Duration, x *open) {
	x.echoed = g.proven(now, x)
	if x.req.Code == message.GET && x.req.Path() == "/.well-known/core" {
		g.reply(now, x, g.directory())
		return
	}
	r, bad := g.read(x)
	if bad != nil {
		g.counts.BadRequests++
		g.reply(now, x, message.Message{Code: bad.code, Payload: []byte(bad.why)})
		return
	}
	x.key = block.Key(x.peer.String(), &x.req)
	if b, there, good := x.req.Block(message.Block2); there && good && b.Num > 0 {
		if next, ok := g.out.NextBlock(now, x.key, &x.req); ok {
			g.reply(now, x, next)
			return
		}
		if x.class.Effect != Repeat {
			// The rest of an answer that is no longer kept: to run it again for
			// that is out of the question.
			g.reply(now, x, message.Message{Code: message.RequestEntityIncomplete})
			return
		}
	}
	if _, there := x.req.Get(message.Block1); there && !g.gather(now, x, &r) {
		return
	}
	g.admit(now, x, r)
}

// gather puts a body together; false where the request is not whole, and has its
// answer.
func (g *Gate) gather(now time.Duration, x *open, r *Request) bool {
	part := g.in.Receive(now, x.key, &x.req)
	if part.Complete {
		r.Body = part.Body
		return true
	}
	m := message.Message{Code: part.Code}
	if part.Code != message.BadRequest {
		m.AddBlock(message.Block1, part.Block)
	}
	if part.MaxBodySize > 0 {
		m.AddUint(message.Size1, uint32(part.MaxBodySize))
	}
	if part.Code.Class() == 4 {
		g.counts.BadRequests++
	}
	g.reply(now, x, m)
	return false
}

// admit hands a whole request on, unless it must not run.
func (g *Gate) admit(now time.Duration, x *open, r Request) {
	if x.class.Effect != Repeat && g.set.Demand && !x.echoed {
		m := message.Message{Code: message.Unauthorized}
		m.Add(message.Echo, g.echo.Value(now, x.peer))
		g.reply(now, x, m)
		return
	}
	if x.class.Effect != Repeat && !g.newToAll(now, x) {
		g.counts.NotProven++
		m := message.Message{Code: message.BadGateway, Payload: []byte("this process began lately: an earlier one may have run it")}
		m.Add(message.Echo, g.echo.Value(now, x.peer))
		g.reply(now, x, m)
		return
	}
	if g.draining {
		g.reply(now, x, refusal(message.ServiceUnavailable, time.Second))
		return
	}
	if v, there := x.req.Uint(message.Observe); there && x.class.Effect == Repeat {
		g.observe(now, x, v, r)
	}
	g.ask(x, r)
}

// ask hands a request to the caller.
func (g *Gate) ask(x *open, r Request) {
	g.last++
	r.Handle = g.last
	g.asked[r.Handle] = x
	if x.handle != 0 {
		g.open[x.handle] = x
	}
	g.counts.Asked++
	g.acts = append(g.acts, Action{Kind: Ask, Peer: x.peer, Request: r})
}

// newToAll tells whether no process before this one can have run the request.
// Within this life repeats are told by their message IDs. One of an earlier life
// can only be told by an Echo value of this one, or once no message that was
// under way when this life began can still come (RFC 7252, section 4.8.2).
func (g *Gate) newToAll(now time.Duration, x *open) bool {
	return g.set.Demand || x.echoed || now >= g.cleanAt
}

// proven tells whether the request carries a fresh Echo value of this life: it
// was written after this process began, and its source receives where it says.
func (g *Gate) proven(now time.Duration, x *open) bool {
	v, there := x.req.Get(message.Echo)
	return there && g.echo.Check(now, x.peer, v) == echo.Fresh
}

// trusted tells whether a source can't be forged.
func (g *Gate) trusted(peer netip.AddrPort) bool {
	addr := peer.Addr().Unmap()
	return slices.ContainsFunc(g.set.Trusted, func(p netip.Prefix) bool { return p.Contains(addr) })
}

// Respond takes the answer to a request.
func (g *Gate) Answer(now time.Duration, handle uint64, a Answer, acts []Action) []Action {
	g.began(now)
	g.acts = acts
	x := g.asked[handle]
	if x == nil {
		return g.done()
	}
	delete(g.asked, handle)
	delete(g.open, x.handle)
	if x.handle == 0 {
		g.polled(now, x, a)
		return g.done()
	}
	m := g.worded(x, a)
	if x.obs != nil {
		g.observed(now, x, a, &m)
	}
	if m.Code.Class() == 2 {
		m = g.out.FirstBlock(now, x.key, &x.req, m)
	}
	g.reply(now, x, m)
	return g.done()
}

// worded is an answer as a message.
func (g *Gate) worded(x *open, a Answer) message.Message {
	switch a.Outcome {
	case Refused:
		return refusal(message.ServiceUnavailable, a.Wait)
	case Limited:
		return refusal(message.TooManyRequests, a.Wait)
	case Failed:
		return message.Message{Code: message.BadGateway, Payload: []byte("failed")}
	case NotRun:
		m := refusal(message.ServiceUnavailable, a.Wait)
		m.Add(OptNotRun, nil)
		return m
	case Conflicting:
		return message.Message{Code: message.Conflict, Payload: []byte("option 65001: in use or used before")}
	}
	m := message.Message{Code: message.Changed, Payload: a.Body}
	if x.class.Effect == Repeat {
		m.Code = message.Content
		m.AddUint(message.MaxAge, 0) // a roster is not for keeping
		m.Add(message.ETag, tag(a.Body))
		if tags, there := x.req.Get(message.ETag); there && string(tags) == string(tag(a.Body)) {
			m.Code, m.Payload = message.Valid, nil
			return m
		}
	}
	if x.accept >= 0 && a.ContentFormat >= 0 && x.accept != a.ContentFormat {
		return message.Message{Code: message.NotAcceptable}
	}
	if a.ContentFormat >= 0 && len(a.Body) > 0 {
		m.AddUint(message.ContentFormat, uint32(a.ContentFormat))
	}
	return m
}

// refusal says that nothing ran, and when to come again in whole seconds.
func refusal(code message.Code, wait time.Duration) message.Message {
	m := message.Message{Code: code}
	if wait > 0 {
		m.AddUint(message.MaxAge, uint32((wait+time.Second-1)/time.Second))
	} else {
		m.AddUint(message.MaxAge, 0) // the default would be a minute
	}
	return m
}

// reply sends the answer to an exchange. A source that has proven nothing gets
// no more than it may: the body in smaller blocks, or a demand for a proof.
func (g *Gate) reply(now time.Duration, x *open, m message.Message) {
	if now < g.cleanAt && !x.echoed {
		if _, there := m.Get(message.Echo); !there {
			m.Add(message.Echo, g.echo.Value(now, x.peer))
		}
	}
	most := 0
	if !x.echoed && !g.trusted(x.peer) {
		most = spread*x.bytes - emptyBytes
		m = g.bounded(now, x, m, most)
	}
	acts, err := g.ex.RespondWithin(now, x.handle, m, most, nil)
	if err != nil {
		acts, _ = g.ex.Respond(now, x.handle, message.Message{Code: message.InternalServerError}, nil)
	}
	g.carry(now, acts, 0)
}

// bounded makes an answer of most bytes, for a source that may be forged.
func (g *Gate) bounded(now time.Duration, x *open, m message.Message, most int) message.Message {
	if length(&m, len(x.req.Token)) <= most {
		return m
	}
	g.counts.Spread++
	if m.Code.Class() != 2 {
		m.Payload = nil // the words; the code says enough
		return m
	}
	if _, there := x.req.Get(message.Block2); !there && x.class.Effect == Repeat {
		for size := message.MaxBlockSize; size >= 16; size /= 2 {
			small := x.req
			small.Options = slices.Clone(x.req.Options)
			small.AddBlock(message.Block2, message.Block{Size: size})
			if s := g.out.FirstBlock(now, x.key, &small, m); length(&s, len(x.req.Token)) <= most {
				return s
			}
		}
	}
	if x.class.Effect != Repeat {
		// It has run: the code tells, and the body is given up.
		return message.Message{Code: m.Code}
	}
	r := message.Message{Code: message.Unauthorized}
	r.Add(message.Echo, g.echo.Value(now, x.peer))
	return r
}

// length is how many bytes a message takes.
func length(m *message.Message, token int) int {
	c := *m
	c.Token = make([]byte, token)
	text, err := c.Append(nil)
	if err != nil {
		return 1 << 20
	}
	return len(text)
}

// tag is an answer's ETag: it tells versions apart and guards nothing.
func tag(body []byte) []byte { return binary.BigEndian.AppendUint64(nil, xxhash.Sum64(body)) }

// directory lists the classes in link format (RFC 6690).
func (g *Gate) directory() message.Message {
	var names []string
	for name, c := range g.set.Classes {
		link := "</" + name + ">"
		if c.Effect == Repeat && g.set.Observers > 0 {
			link += ";obs"
		}
		names = append(names, link)
	}
	slices.Sort(names)
	m := message.Message{Code: message.Content, Payload: []byte(strings.Join(names, ","))}
	m.AddUint(message.ContentFormat, 40)
	return m
}

// String names an outcome.
func (o Outcome) String() string {
	if o < Served || o > NotRun {
		return fmt.Sprintf("Outcome(%d)", int(o))
	}
	return [...]string{"served", "refused", "limited", "failed", "conflicting", "not run"}[o]
}
