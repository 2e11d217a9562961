// Package caller is the side of CoAP that asks a call server (RFC 7252, 7959,
// 9175): it turns requests into datagrams, and what comes back, or does not, into
// how an attempt ended and whether it can have run. It does no I/O, has no clock
// and starts no goroutine. docs/design/coap.md has the endings as a table.
package caller

import (
	"errors"
	"net/netip"
	"strings"
	"time"

	"otterspring/internal/coap/block"
	"otterspring/internal/coap/exchange"
	"otterspring/internal/coap/gate"
	"otterspring/internal/coap/message"
)

// Ending is how an attempt ended.
type Ending int

// The endings. Of all but Served, Rejected and NotThere the request may have
// run.
const (
	Served     Ending = iota
	TurnedAway        // the server says that it has not run, or its body never came whole
	NotThere          // nothing took it, and that is proven
	Erred             // an answer that promises nothing, or a spoilt one
	Broken            // rejected, or refused by the network, after it may have run
	Silent            // nothing came in the time of the protocol
)

// IsRequest is what is asked of a server.
type Request struct {
	Unsafe        bool   // to run it twice may do harm
	Safe          bool   // a GET
	Target        string // path and query, escaped as in HTTP
	ID            string
	Idempotency   string
	Tenant, Key   string
	Again         bool
	Deadline      time.Duration
	Body          []byte
	ContentFormat int // -1 for none
}

// ActionKind says what an action is.
type Kind int

// The kinds of action.
const (
	Send   Kind = iota // Datagram to the server
	Commit             // what comes next in the list may make Handle run
	End                // Handle ended
)

// Action is one thing for the caller to do, in the order given.
type Action struct {
	Kind          Kind
	Handle        uint64
	Datagram      []byte
	Ending        Ending
	Body          []byte // with Served
	ContentFormat int    // with Served; -1 for none
}

// Settings are a caller's bounds.
type Settings struct {
	Params exchange.Params
	Limits exchange.ClientLimits
	Body   int // bytes of an answer's body
	Block  int // bytes of a block
	// EchoFor is how long a value that the server gave is used. A server does not
	// say how long it takes one; a request with one that is too old fails, since
	// it could have run in an earlier life, while one without costs a round trip.
	EchoFor time.Duration
	Seed    uint64
}

// manner is what is known of how a server takes unsafe requests without an Echo.
type manner int

const (
	unknown   manner = iota
	enforcing        // it never runs one; it answers 4.01 with a value
	plain            // it runs them
)

// attempt is a request under way.
type attempt struct {
	handle   uint64
	req      Request
	base     message.Message // the request without blocks and Echo
	up       *block.Upload   // nil for a body in one piece
	down     *block.Download
	echoed   bool   // the datagram that is out carries an Echo
	demanded bool   // the server has asked for one
	out      uint64 // handle of the exchange that is out
	whole    bool   // the last block has left
	first    message.Message
}

// Caller asks one server at one address since one start. It belongs to one user
// at a time; the times given to it never go back.
type Caller struct {
	set    Settings
	peer   netip.AddrPort
	ex     *exchange.Client
	byName map[uint64]*attempt
	byOut  map[uint64]*attempt
	last   uint64
	manner manner
	echo   []byte
	echoAt time.Duration
	acts   []Action
}

// New returns a Caller that has asked nothing.
func New(set Settings, peer netip.AddrPort) (*Caller, error) {
	ex, err := exchange.NewClient(set.Params, set.Limits, set.Seed)
	if err != nil {
		return nil, err
	}
	if set.Body < 1 || set.Block < 16 || set.Block > message.MaxBlockSize || set.EchoFor <= 0 {
		return nil, errors.New("caller: wanted Body and EchoFor above 0, Block of 16 to 1024")
	}
	return &Caller{set: set, peer: peer, ex: ex, byName: map[uint64]*attempt{}, byOut: map[uint64]*attempt{}}, nil
}

// Counts are what its message layer did.
func (c *Caller) Counts() exchange.Counts { return c.ex.Counts() }

// HasCapacity tells whether an attempt could begin now: whether there is an ID left.
func (c *Caller) HasRoom(now time.Duration) bool { return c.ex.HasCapacity(now, c.peer) }

// MaxPendingRequests is how many attempts are under way.
func (c *Caller) Open() int { return len(c.byName) }

func (c *Caller) done() []Action {
	acts := c.acts
	c.acts = nil
	return acts
}

// Begin begins an attempt.
func (c *Caller) Begin(now time.Duration, handle uint64, r Request, acts []Action) []Action {
	c.acts = acts
	a := &attempt{handle: handle, req: r, down: block.NewDownload(c.set.Body)}
	a.base = render(&r)
	c.byName[handle] = a
	if len(r.Body) > c.set.Block {
		a.up = block.NewUpload(r.Body, c.set.Block)
	}
	c.ask(now, a)
	return c.done()
}

// render is a request as a message, without body, blocks and Echo.
func render(r *Request) message.Message {
	m := message.Message{Type: message.Confirmable, Code: message.POST}
	if r.Safe {
		m.Code = message.GET
	}
	path, query, _ := strings.Cut(r.Target, "?")
	for _, part := range strings.Split(strings.TrimPrefix(path, "/"), "/") {
		m.Add(message.URIPath, []byte(unescape(part, false)))
	}
	if query != "" {
		for _, part := range strings.Split(query, "&") {
			m.Add(message.URIQuery, []byte(unescape(part, true)))
		}
	}
	if r.ContentFormat >= 0 && !r.Safe {
		m.AddUint(message.ContentFormat, uint32(r.ContentFormat))
	}
	m.AddUint(gate.OptDeadline, uint32(max(1, r.Deadline.Milliseconds())))
	for _, o := range []struct {
		n    message.Number
		text string
	}{{gate.OptRequestID, r.ID}, {gate.OptTenant, r.Tenant}, {gate.OptIdempotency, r.Idempotency}, {gate.OptKey, r.Key}} {
		if o.text != "" {
			m.Add(o.n, []byte(o.text))
		}
	}
	if r.Again {
		m.Add(gate.OptRetry, nil)
	}
	return m
}

// ask sends what is next of an attempt: its request, or the next block of it, or
// the request for the next block of its answer.
func (c *Caller) ask(now time.Duration, a *attempt) {
	m := a.base
	m.Options = append(make([]message.Option, 0, len(a.base.Options)+2), a.base.Options...)
	last := true
	switch {
	case a.whole: // set by download
	case a.up != nil:
		part, b := a.up.Block()
		m.Payload, last = part, a.up.IsLast()
		m.AddBlock(message.Block1, b)
	default:
		m.Payload = a.req.Body
	}
	a.echoed = false
	if a.req.Unsafe && c.echo != nil && now-c.echoAt < c.set.EchoFor {
		m.Add(message.Echo, c.echo)
		a.echoed = true
	}
	if last && !a.whole {
		a.whole = true
		c.acts = append(c.acts, Action{Kind: Commit, Handle: a.handle})
	}
	c.send(now, a, m)
}

// send begins an exchange. A message that may run what must not run twice is sent
// again only if the server, should it have started anew meanwhile, surely does
// not run it.
func (c *Caller) send(now time.Duration, a *attempt, m message.Message) {
	c.last++
	a.out = c.last
	c.byOut[a.out] = a
	once := a.req.Unsafe && a.whole && !a.echoed && c.manner != enforcing
	acts, ok := c.ex.Request(now, a.out, c.peer, m, once, nil)
	if !ok {
		c.end(a, Action{Ending: NotThere})
		return
	}
	c.carry(now, acts)
}

// end ends an attempt.
func (c *Caller) end(a *attempt, x Action) {
	delete(c.byOut, a.out)
	delete(c.byName, a.handle)
	x.Kind, x.Handle = End, a.handle
	c.acts = append(c.acts, x)
}

// Cancel gives an attempt up; it does not end then.
func (c *Caller) Cancel(now time.Duration, handle uint64, acts []Action) []Action {
	c.acts = acts
	if a := c.byName[handle]; a != nil {
		delete(c.byOut, a.out)
		delete(c.byName, handle)
		acts, _ := c.ex.Cancel(now, a.out, nil)
		c.carry(now, acts)
	}
	return c.done()
}

// Receive takes a datagram from the server. It shares nothing with it afterwards.
func (c *Caller) Receive(now time.Duration, datagram []byte, acts []Action) []Action {
	c.acts = acts
	var m message.Message
	if err := message.Decode(datagram, &m); err != nil {
		return c.done() // a server has nothing to say that would need a Reset
	}
	c.carry(now, c.ex.Receive(now, c.peer, &m, nil))
	return c.done()
}

// PeerUnreachable takes the network's word that nobody is there.
func (c *Caller) Unreachable(now time.Duration, acts []Action) []Action {
	c.acts = acts
	c.carry(now, c.ex.PeerUnreachable(now, c.peer, nil))
	return c.done()
}

// NextBlock returns when Tick has something to do; false if there is nothing.
func (c *Caller) Next() (time.Duration, bool) { return c.ex.Next() }

// Tick does what is due by now.
func (c *Caller) Tick(now time.Duration, acts []Action) []Action {
	c.acts = acts
	c.carry(now, c.ex.Tick(now, nil))
	return c.done()
}

func (c *Caller) carry(now time.Duration, acts []exchange.Action) {
	for i := range acts {
		x := &acts[i]
		if x.Kind == exchange.Send {
			c.acts = append(c.acts, Action{Kind: Send, Datagram: x.Datagram})
			continue
		}
		a := c.byOut[x.Handle]
		if a == nil {
			continue
		}
		delete(c.byOut, x.Handle)
		if x.Kind == exchange.Failed {
			c.failed(a, x)
		} else {
			c.answered(now, a, x)
		}
	}
}

// failed takes the end of an exchange without an answer.
func (c *Caller) failed(a *attempt, x *exchange.Action) {
	proof := x.Transmissions <= 1 && !x.Acknowledged // one datagram, and it was not taken
	switch {
	case !a.whole:
		c.end(a, Action{Ending: TurnedAway}) // it runs with its last block
	case a.first.Code != 0:
		c.end(a, Action{Ending: Erred}) // it ran, and its answer is not whole
	case x.Reason == exchange.TimedOut:
		c.end(a, Action{Ending: Silent})
	case proof:
		c.end(a, Action{Ending: NotThere})
	default:
		c.end(a, Action{Ending: Broken})
	}
}

// answered takes an answer.
func (c *Caller) answered(now time.Duration, a *attempt, x *exchange.Action) {
	m := &x.Message
	if v, there := m.Get(message.Echo); there {
		c.echo, c.echoAt = v, now
	}
	if m.Code == message.Unauthorized {
		c.unproven(now, a, m)
		return
	}
	if a.first.Code == 0 && a.up != nil {
		more, err := a.up.HandleResponse(m)
		switch {
		case err != nil && a.whole:
			c.end(a, Action{Ending: Erred})
			return
		case err != nil:
			c.end(a, Action{Ending: TurnedAway})
			return
		case more:
			a.whole = false // a smaller size may be asked for with the first and only block
			c.ask(now, a)
			return
		}
	}
	switch {
	case m.Code.Class() == 2 && m.Code != message.Continue && a.whole:
		if a.req.Unsafe && !a.echoed && c.manner == unknown {
			c.manner = plain
		}
		c.download(now, a, m)
	case !a.whole, notRun(m):
		c.end(a, Action{Ending: TurnedAway})
	default:
		c.end(a, Action{Ending: Erred})
	}
}

// notRun tells whether an answer says that the request has not run.
func notRun(m *message.Message) bool {
	_, there := m.Get(gate.OptNotRun)
	return there && (m.Code == message.ServiceUnavailable || m.Code == message.TooManyRequests)
}

// unproven takes a demand for an Echo. To a request without one it is proof that
// nothing ran: a server that enforces it never runs one. To a request with one it
// may come from a later life of a server whose earlier one has run it.
func (c *Caller) unproven(now time.Duration, a *attempt, m *message.Message) {
	_, there := m.Get(message.Echo)
	switch {
	case !there, a.first.Code != 0:
		c.end(a, Action{Ending: Erred})
	case a.echoed && a.whole:
		c.end(a, Action{Ending: Erred})
	case a.demanded:
		c.end(a, Action{Ending: TurnedAway}) // it asks without end
	default:
		a.demanded = true
		c.manner = enforcing
		a.whole = false
		if a.up != nil {
			a.up = block.NewUpload(a.req.Body, c.set.Block)
		}
		c.ask(now, a)
	}
}

// download takes an answer, or a block of it.
func (c *Caller) download(now time.Duration, a *attempt, m *message.Message) {
	next, more, err := a.down.HandleResponse(m)
	if err != nil {
		c.end(a, Action{Ending: Erred})
		return
	}
	if a.first.Code == 0 {
		a.first = *m
	}
	if more {
		q := a.base
		q.Options = append(make([]message.Option, 0, len(a.base.Options)+2), a.base.Options...)
		q.AddBlock(message.Block2, next)
		a.echoed = false
		if a.req.Unsafe && c.echo != nil && now-c.echoAt < c.set.EchoFor {
			q.Add(message.Echo, c.echo)
			a.echoed = true
		}
		c.send(now, a, q)
		return
	}
	end := Action{Ending: Served, Body: a.down.Body(), ContentFormat: -1}
	if n, there := a.first.Uint(message.ContentFormat); there {
		end.ContentFormat = int(n)
	}
	c.end(a, end)
}
