// Package engine joins the decision module with the transports and the fronts.
// It knows no protocol: a front hands in calls and is woken for their answers, a
// transport carries out attempts and says how each ended, discovery hands in
// lists. What is decided, the module decides.
package engine

import (
	"hash/maphash"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"otterspring/balance"
	"otterspring/internal/membership"
	"otterspring/internal/wallclock"
)

// clockOrigin is what the module's clock shows when the sidecar starts. The
// module reads a start time of 0 or less as "long ago", so an upstream that
// came up before the sidecar did must still have a positive one.
const clockOrigin = time.Hour

// Past is a deadline that ends a blocked read or write at once.
var Past = time.Unix(1, 0)

// Link is what an attempt or a front waits on, a net.Conn for one. The engine
// only sets deadlines on it, under its mutex: they must not block.
type Link interface {
	SetDeadline(time.Time) error
	SetReadDeadline(time.Time) error
}

// Response is an upstream's answer to a call.
type Response interface {
	Body() []byte
	ContentType() []byte // empty for none
	Release()            // nothing of it may be used afterwards
}

// Upstream is a server at one address since one start, over some protocol. One
// that moved or started anew is another.
type Upstream interface {
	// Run carries out an attempt and reports its end by End, unless the engine
	// has ended it before. It has a goroutine of its own.
	Run(a *Attempt)
	CloseIdle() // closes connections that nothing is out on
	Retire()    // and keeps no further ones
}

// Engine owns the Balancer. All its state is behind one mutex, under which no
// I/O is done: connections are only woken by deadlines there.
type Engine struct {
	mu      sync.Mutex
	bal     *balance.Balancer
	start   time.Time
	wall    time.Time // the wall clock's time at start: what discovery tells of starts is by that
	timer   *time.Timer
	token   uint64
	acts    []balance.Action
	lapsed  []*Attempt // cancelled, the module not yet told
	calls   map[string]*Call
	hosts   map[string]*host
	out     []*Attempt // every attempt that has not ended
	set     Settings
	watch   func()                                    // asks discovery
	classes atomic.Pointer[map[string]*balance.Class] // by name; read without the mutex
	used    usedIDs
	drains  membership.Drains
	moves   int              // of discovery, as far as lists have come from there
	index   int64            // of the list as it is held
	listed  map[string]Entry // and what it names
	onList  func(List)       // gets every new list, outside the mutex; may be nil
}

// host is an upstream as the list names it.
type host struct {
	addr    string
	since   int64
	started time.Duration // that start, on the module's clock
	up      Upstream
}

// List is what discovery tells.
type List struct {
	Index   int64
	Full    bool
	Entries []Entry
}

// Entry is one upstream of a list.
type Entry struct {
	balance.Server // Started is set by the engine
	Addr           string
	Since          int64 // Unix milliseconds, 0 for long ago
}

// Call is one request of a client, from its last byte until it is answered and
// all its attempts have ended. A front fills in the exported fields, and reads
// Answer once Done is closed.
type Call struct {
	ID   string
	Form Form
	Body *Body
	Conn Link // its reads are ended when the call is answered
	Done chan struct{}

	Answer Answer

	attempts []*Attempt
	open     int
	answered bool
}

// Form is a request as its front has it. An upstream that speaks the same protocol
// may know the type and send what is there; any other takes the neutral form.
type Form interface{ Neutral() Message }

// Message is a request in no protocol's words. Whether it is safe to repeat goes
// with the class, its time with each attempt.
type Message struct {
	Target      string // path and query, escaped as in HTTP; it begins with /
	ID          string
	Idempotency string // empty for none
	Tenant, Key string // likewise
	ContentType string // likewise
	Safe        bool   // a GET, without a body
	Again       bool   // a client's own retry
}

// Answer is what a client gets: an upstream's response, or a refusal, or a
// failure.
type Answer struct {
	Kind     balance.ActionKind // Send for an upstream's response
	Wait     time.Duration      // advice with a refusal
	Response Response
}

// Attempt is one sending of a call to an upstream.
type Attempt struct {
	Call   *Call
	eng    *Engine
	up     Upstream
	number int
	sent   time.Duration
	until  time.Duration
	latest time.Duration // the last byte leaves by then, or never
	at     int           // place in Engine.out

	// Behind the engine's mutex.
	link     Link
	stopDial func()
	written  bool // the last byte may be out
	ended    bool
	status   balance.Status
}

// Settings are what an engine is made of.
type Settings struct {
	Balance balance.Settings
	Seed    uint64
	Dial    time.Duration                           // an upstream that is not there within this does not count as hanging
	Open    func(addr string, since int64) Upstream // must not block
}

// New returns an engine that knows no upstream. Watch is called from then on
// where the module wants the list; it must not block.
func New(set Settings, watch func()) (*Engine, error) {
	bal, err := balance.New(set.Balance, set.Seed)
	if err != nil {
		return nil, err
	}
	e := &Engine{
		bal:    bal,
		start:  time.Now(),
		wall:   wallclock.Now(),
		calls:  map[string]*Call{},
		hosts:  map[string]*host{},
		set:    set,
		watch:  watch,
		used:   newUsedIDs(),
		listed: map[string]Entry{},
	}
	e.setClasses(set.Balance.Classes)
	e.timer = time.AfterFunc(time.Hour, e.tick)
	return e, nil
}

// now reads the clock. It is called under the mutex only, so that the times
// the module is given never go back.
func (e *Engine) now() time.Duration { return clockOrigin + time.Since(e.start) }

// Class returns the class of that name, nil if there is none. Of a class only what
// Change takes differs later.
func (e *Engine) Class(name string) *balance.Class { return (*e.classes.Load())[name] }

// setClasses keeps copies of the classes by their names.
func (e *Engine) setClasses(classes []balance.Class) {
	byName := make(map[string]*balance.Class, len(classes))
	for _, class := range classes {
		byName[class.Name] = &class
	}
	e.classes.Store(&byName)
}

// Change has the module decide by other settings for the requests that begin from now
// on: the tenants, and of each class Aim, Worth and LateWorth. The classes have to be
// those of the start otherwise; after an error what was in force stays.
func (e *Engine) Change(classes []balance.Class, tenants []balance.Tenant) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.bal.Change(classes, tenants); err != nil {
		return err
	}
	e.setClasses(classes)
	return nil
}

// Request hands a call to the module; false means that its id is still open or
// was used lately. The module would pass over the one without an answer, and
// run the other again.
func (e *Engine) Request(c *Call, q balance.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.calls[c.ID] != nil || !e.used.add(c.ID) {
		return false
	}
	e.calls[c.ID] = c
	now := e.now()
	q.Deadline += now
	e.carry(e.bal.Request(now, q, e.acts[:0]))
	return true
}

// Left takes the news that the client has gone.
func (e *Engine) Left(c *Call) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !c.answered {
		c.answered = true
		e.carry(e.bal.Left(e.now(), c.ID, e.acts[:0]))
		e.stopUnwritten(c)
		e.carry(e.acts[:0])
		e.forget(c)
	}
}

// tick is called when the module's timer is due.
func (e *Engine) tick() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	e.expire(now)
	e.carry(e.bal.Timer(now, e.token, e.acts[:0]))
}

// expire ends the attempts whose time is up. An attempt's time is up together
// with its request's, and the module must learn of the time-out first: were it
// to cancel the attempt, a hung upstream would never show as one.
func (e *Engine) expire(now time.Duration) {
	for i := 0; i < len(e.out); {
		a := e.out[i]
		if a.until > now {
			i++
			continue
		}
		e.close(a, a.lateStatus(now))
		e.tell(a, now, now-a.sent)
		i = 0
	}
}

// lateStatus is how an attempt ends whose time is up. One that had too little
// of it to connect says nothing of the upstream.
func (a *Attempt) lateStatus(now time.Duration) balance.Status {
	switch {
	case a.written:
		return balance.Timeout
	case now-a.sent >= a.eng.set.Dial:
		return balance.ConnectFailed
	}
	return balance.NeverSent
}

// Members hands a list to the module. moves tells how often discovery had moved
// when it was asked for.
func (e *Engine) Members(kind balance.ListKind, l List, moves int) {
	e.mu.Lock()
	var drop []Upstream
	entries := l.Entries
	if kind != balance.ListFailed {
		e.keepDrains(l, moves)
		e.note(l)
	}
	servers := make([]balance.Server, len(entries))
	named := map[string]bool{}
	for i := range entries {
		n := &entries[i]
		servers[i] = n.Server
		named[n.ID] = true
		h := e.hosts[n.ID]
		// A machine that vanished leaves connections that are silent for good:
		// none is kept to an upstream that moved or started anew.
		if h != nil && (h.addr != n.Addr || h.since != n.Since) || n.State != balance.Ready {
			if h != nil {
				drop = append(drop, h.up)
				delete(e.hosts, n.ID)
			}
			h = nil
		}
		if h == nil && n.State != balance.Gone {
			e.hosts[n.ID] = &host{addr: n.Addr, since: n.Since, started: e.started(n.Since), up: e.set.Open(n.Addr, n.Since)}
		}
		servers[i].Started = e.startOf(n)
	}
	if kind == balance.ListFull || kind == balance.ListSaved {
		for name, h := range e.hosts {
			if !named[name] {
				drop = append(drop, h.up)
				delete(e.hosts, name)
			}
		}
	}
	e.carry(e.bal.Members(e.now(), kind, servers, e.acts[:0]))
	e.stopUnattached(drop)
	onList := e.onList
	e.mu.Unlock()
	for _, up := range drop {
		up.Retire()
	}
	if onList != nil && kind != balance.ListFailed {
		onList(e.List())
	}
}

// stopUnattached ends the attempts that still wait for a connection to upstreams
// that are dropped: it may come up long after the time in which something new may
// still go there. The module knows the list by then and sends elsewhere.
func (e *Engine) stopUnattached(drop []Upstream) {
	now := e.now()
	var waiting []*Attempt
	for _, a := range e.out {
		if a.link == nil && slices.Contains(drop, a.up) {
			waiting = append(waiting, a)
		}
	}
	for _, a := range waiting {
		if !a.ended {
			e.close(a, balance.NeverSent)
			e.tell(a, now, now-a.sent)
		}
	}
}

// keepDrains sets right the entries of a list that lag behind a drain which was
// told before.
func (e *Engine) keepDrains(l List, moves int) {
	now := e.now()
	for ; e.moves < moves; e.moves++ {
		e.drains.Moved(now)
	}
	said := make([]membership.Entry, len(l.Entries))
	for i, n := range l.Entries {
		said[i] = membership.Entry{Name: n.ID, Since: n.Since, State: memberStates[n.State]}
	}
	e.drains.Take(now, l.Index, l.Full, said)
	for i, m := range said {
		if m.State != memberStates[l.Entries[i].State] {
			l.Entries[i].State = listStates[m.State]
		}
	}
}

var (
	memberStates = map[balance.ServerState]membership.State{balance.Ready: membership.Active, balance.Draining: membership.Leaving, balance.Gone: membership.Left}
	listStates   = map[membership.State]balance.ServerState{membership.Active: balance.Ready, membership.Leaving: balance.Draining, membership.Left: balance.Gone}
)

// note keeps the list as it is held, for a process that takes over.
func (e *Engine) note(l List) {
	e.index = l.Index
	if l.Full {
		clear(e.listed)
	}
	for _, n := range l.Entries {
		if n.State == balance.Gone {
			delete(e.listed, n.ID)
		} else {
			e.listed[n.ID] = n
		}
	}
}

// OnList sets what gets every new list from now on; nil for nothing.
func (e *Engine) OnList(f func(List)) {
	e.mu.Lock()
	e.onList = f
	e.mu.Unlock()
}

// Version is that of the list as it is held, and how often discovery had moved
// by then.
func (e *Engine) Version() (index int64, moves int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.index, e.moves
}

// List returns the list as it is held.
func (e *Engine) List() List {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := List{Index: e.index, Full: true}
	for _, n := range e.listed {
		l.Entries = append(l.Entries, n)
	}
	return l
}

// Counts are how many calls, attempts and upstreams it holds.
func (e *Engine) Counts() (calls, out, hosts int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.calls), len(e.out), len(e.hosts)
}

// Alive returns once the mutex was to be had: decisions are being made.
func (e *Engine) Alive() {
	e.mu.Lock()
	defer e.mu.Unlock()
}

// HandBack gives every open request its final answer at once: whether trying
// again is harmless is the module's to say.
func (e *Engine) HandBack() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, c := range e.calls {
		if !c.answered {
			n++
		}
	}
	e.carry(e.bal.Timer(e.now(), balance.Over, e.acts[:0]))
	return n
}

// startOf is when a server that is listed started, on the module's clock; 0 for
// long ago, and for one that is gone.
func (e *Engine) startOf(n *Entry) time.Duration {
	if h := e.hosts[n.ID]; h != nil {
		return h.started
	}
	return 0
}

// started turns Unix milliseconds into the module's clock; 0 stays "long ago".
// What was told has happened: where the wall clock of this machine is behind,
// a start that would lie ahead was just now. Left ahead, each server that was
// replaced counted as wholly cold until the clock had caught up: for an hour, or a
// day. It is worked out once for each start, so that it does not move with each
// list. A clock that is ahead makes a server warm too early; that can't be told
// from here.
func (e *Engine) started(ms int64) time.Duration {
	if ms <= 0 {
		return 0
	}
	return min(max(0, clockOrigin+time.UnixMilli(ms).Sub(e.wall)), e.now())
}

// carry does what the module decided, and tells it of the attempts that ended
// by its own cancels.
func (e *Engine) carry(acts []balance.Action) {
	for {
		for i := range acts {
			e.act(&acts[i])
		}
		if len(e.lapsed) == 0 {
			e.acts = acts[:0]
			return
		}
		a := e.lapsed[0]
		e.lapsed = slices.Delete(e.lapsed, 0, 1)
		now := e.now()
		acts = e.bal.Outcome(now, a.outcome(now-a.sent), acts[:0])
		e.forget(a.Call)
	}
}

// act does one thing.
func (e *Engine) act(x *balance.Action) {
	c := e.calls[x.Request]
	switch x.Kind {
	case balance.Send:
		e.send(c, x)
	case balance.Refuse, balance.Fail:
		e.reply(c, Answer{Kind: x.Kind, Wait: x.Wait})
	case balance.Cancel:
		if c != nil && x.Number < len(c.attempts) {
			if a := c.attempts[x.Number]; !a.ended {
				e.close(a, balance.Cancelled)
				e.lapsed = append(e.lapsed, a)
			}
		}
	case balance.Timer:
		e.token = x.Token
		e.timer.Reset(x.Wait)
	case balance.Subscribe:
		e.watch()
	case balance.Close:
		if h := e.hosts[x.Server]; h != nil {
			go h.up.CloseIdle()
		}
	}
}

// send starts an attempt.
func (e *Engine) send(c *Call, x *balance.Action) {
	now := e.now()
	a := &Attempt{eng: e, Call: c, number: len(c.attempts), sent: now, until: now + x.Wait, latest: now + x.Latest, at: len(e.out)}
	c.attempts = append(c.attempts, a)
	c.open++
	e.out = append(e.out, a)
	h := e.hosts[x.Server]
	if h == nil { // never so: the module picks from the list
		e.close(a, balance.NeverSent)
		e.lapsed = append(e.lapsed, a)
		return
	}
	a.up = h.up
	c.Body.Hold()
	go a.run()
}

func (a *Attempt) run() {
	defer a.Call.Body.Release()
	a.up.Run(a)
}

// reply gives a call its answer and wakes its client's goroutine.
func (e *Engine) reply(c *Call, ans Answer) {
	if c == nil || c.answered {
		return
	}
	c.answered, c.Answer = true, ans
	close(c.Done)
	c.Conn.SetReadDeadline(Past)
	e.stopUnwritten(c)
	e.forget(c)
}

// stopUnwritten ends the attempts of a call that is over and whose last byte has
// not left: nobody waits for them, and none may begin any more. The module cancels
// what is out only where the settings let it; that is about work that has begun. The
// caller carries on, which tells the module.
func (e *Engine) stopUnwritten(c *Call) {
	for _, a := range c.attempts {
		if !a.ended && !a.written {
			e.close(a, balance.NeverSent)
			e.lapsed = append(e.lapsed, a)
		}
	}
}

// forget drops a call that is over. Its id may come again only then.
func (e *Engine) forget(c *Call) {
	if c.answered && c.open == 0 {
		delete(e.calls, c.ID)
	}
}

// close marks an attempt as ended and wakes its goroutine, which closes its
// connection.
func (e *Engine) close(a *Attempt, status balance.Status) {
	a.ended, a.status = true, status
	a.Call.open--
	last := e.out[len(e.out)-1]
	e.out[a.at], last.at = last, a.at
	e.out[len(e.out)-1] = nil
	e.out = e.out[:len(e.out)-1]
	if a.link != nil {
		a.link.SetDeadline(Past)
	}
	if a.stopDial != nil {
		a.stopDial()
	}
}

// outcome is what the module is told of an attempt that ended.
func (a *Attempt) outcome(took time.Duration) balance.Outcome {
	return balance.Outcome{Request: a.Call.ID, Number: a.number, Status: a.status, Took: took, Final: a.Call.answered || a.status == balance.OK}
}

// tell tells the module how an attempt ended.
func (e *Engine) tell(a *Attempt, now, took time.Duration) {
	e.carry(e.bal.Outcome(now, a.outcome(took), e.acts[:0]))
	e.forget(a.Call)
}

// End takes an attempt's end from its transport. It returns false where the
// attempt was given up before: its connection must not be used again then.
func (a *Attempt) End(status balance.Status, resp Response) bool {
	e := a.eng
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.ended {
		return false
	}
	a.link = nil
	e.close(a, status)
	now := e.now()
	answered := a.Call.answered
	e.tell(a, now, now-a.sent)
	if status == balance.OK && !answered {
		e.reply(a.Call, Answer{Kind: balance.Send, Response: resp})
		e.carry(e.acts[:0])
	}
	return true
}

// Dialing notes how to stop the attempt's dial; false if it was given up.
func (a *Attempt) Dialing(stop func()) bool {
	a.eng.mu.Lock()
	defer a.eng.mu.Unlock()
	a.stopDial = stop
	return !a.ended
}

// Attach notes what the attempt is written to and waits on next, but for its
// last byte. It returns the time left, and false if the attempt was given up:
// nothing may be written then.
func (a *Attempt) Attach(l Link) (time.Duration, bool) {
	e := a.eng
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.ended {
		return 0, false
	}
	a.stopDial, a.link = nil, l
	return a.until - e.now(), true
}

// Commit is called before the attempt's last byte is written. From then on it
// may run. It lifts the bound of Arm; false if the attempt was given up, or is
// given up here: what was decided for a time that the connection and the write
// have used up must not reach the upstream any more. A repeat of a keyed request
// would run there as a new one.
func (a *Attempt) Commit() bool {
	e := a.eng
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.ended {
		return false
	}
	if now := e.now(); now >= a.latest {
		e.close(a, balance.NeverSent)
		e.tell(a, now, now-a.sent)
		return false
	}
	a.written = true
	a.link.SetReadDeadline(time.Time{})
	return true
}

// Arm bounds the next read on what the attempt is attached to; false if the
// attempt was given up, whose connection must not get more time.
func (a *Attempt) Arm(within time.Duration) bool {
	a.eng.mu.Lock()
	defer a.eng.mu.Unlock()
	if a.ended {
		return false
	}
	a.link.SetReadDeadline(time.Now().Add(within))
	return true
}

// usedIDs remembers the ids of the latest requests, by their hashes. An id
// comes with one request only; one that comes again, after the first was
// answered and forgotten, would run twice what may run once. It guards against
// clients that send the same bytes again and those that take others' ids. It
// might harm where an id is used again on purpose: the protocol has none.
type usedIDs struct {
	seed maphash.Seed
	has  map[uint64]bool
	ring []uint64
	next int
}

const mostUsed = 8192 // ids remembered

func newUsedIDs() usedIDs { return usedIDs{seed: maphash.MakeSeed(), has: map[uint64]bool{}} }

// add takes an id in; false if it is there already.
func (u *usedIDs) add(id string) bool {
	h := maphash.String(u.seed, id)
	if u.has[h] {
		return false
	}
	u.has[h] = true
	if len(u.ring) < mostUsed {
		u.ring = append(u.ring, h)
		return true
	}
	delete(u.has, u.ring[u.next])
	u.ring[u.next] = h
	u.next = (u.next + 1) % mostUsed
	return true
}
