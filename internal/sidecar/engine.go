package sidecar

import (
	"hash/maphash"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"otterspring/balance"
	"otterspring/internal/membership"
)

// clockOrigin is what the module's clock shows when the sidecar starts. The
// module reads a start time of 0 or less as "long ago", so an upstream that
// came up before the sidecar did must still have a positive one.
const clockOrigin = time.Hour

// past is a deadline that ends a blocked read or write at once.
var past = time.Unix(1, 0)

// engine owns the Balancer. All its state is behind one mutex, under which no
// I/O is done: connections are only woken by deadlines there.
type engine struct {
	mu      sync.Mutex
	bal     *balance.Balancer
	start   time.Time
	timer   *time.Timer
	token   uint64
	acts    []balance.Action
	lapsed  []*attempt // cancelled, the module not yet told
	calls   map[string]*call
	hosts   map[string]*host
	out     []*attempt // every attempt that has not ended
	pool    *pool
	watch   func() // asks discovery
	classes map[string]*balance.Class
	used    usedIDs
	drains  membership.Drains
	moves   int              // of discovery, as far as lists have come from there
	index   int64            // of the list as it is held
	listed  map[string]entry // and what it names
	onList  func([]byte)     // gets every new list, outside the mutex; may be nil
}

// call is one request of a client, from its last byte until it is answered and
// all its attempts have ended.
type call struct {
	id       string
	head     []byte // request head, but for X-Deadline and the empty line
	body     *body
	conn     *clientConn
	attempts []*attempt
	open     int
	answered bool
	answer   answer
	done     chan struct{}
}

// answer is what a client gets: an upstream's response, or a refusal, or a
// failure.
type answer struct {
	kind balance.ActionKind // Send for an upstream's response
	wait time.Duration      // advice with a refusal
	resp *fasthttp.Response
}

// attempt is one sending of a call to an upstream.
type attempt struct {
	eng    *engine
	call   *call
	host   *host
	addr   string
	number int
	sent   time.Duration
	until  time.Duration
	at     int // place in engine.out

	// Behind the engine's mutex.
	conn     *conn
	stopDial func()
	written  bool // the last byte may be out
	ended    bool
	status   balance.Status
}

func newEngine(cfg *Config) (*engine, error) {
	bal, err := balance.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	e := &engine{
		bal:     bal,
		start:   time.Now(),
		calls:   map[string]*call{},
		hosts:   map[string]*host{},
		pool:    newPool(cfg.Conns, upstreamShare(cfg.Sockets)),
		watch:   func() {},
		classes: map[string]*balance.Class{},
		used:    newUsedIDs(),
		listed:  map[string]entry{},
	}
	for i := range cfg.Settings.Classes {
		c := &cfg.Settings.Classes[i]
		e.classes[c.Name] = c
	}
	e.timer = time.AfterFunc(time.Hour, e.tick)
	return e, nil
}

// now reads the clock. It is called under the mutex only, so that the times
// the module is given never go back.
func (e *engine) now() time.Duration { return clockOrigin + time.Since(e.start) }

// class returns the class of that name, nil if there is none. Classes do not
// change after the start.
func (e *engine) class(name string) *balance.Class { return e.classes[name] }

// request hands a call to the module; false means that its id is still open or
// was used lately. The module would pass over the one without an answer, and
// run the other again.
func (e *engine) request(c *call, q balance.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.calls[c.id] != nil || !e.used.add(c.id) {
		return false
	}
	e.calls[c.id] = c
	now := e.now()
	q.Deadline += now
	e.carry(e.bal.Request(now, q, e.acts[:0]))
	return true
}

// left takes the news that the client has gone.
func (e *engine) left(c *call) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !c.answered {
		c.answered = true
		e.carry(e.bal.Left(e.now(), c.id, e.acts[:0]))
		e.forget(c)
	}
}

// tick is called when the module's timer is due.
func (e *engine) tick() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	e.expire(now)
	e.carry(e.bal.Timer(now, e.token, e.acts[:0]))
}

// expire ends the attempts whose time is up. An attempt's time is up together
// with its request's, and the module must learn of the time-out first: were it
// to cancel the attempt, a hung upstream would never show as one.
func (e *engine) expire(now time.Duration) {
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
func (a *attempt) lateStatus(now time.Duration) balance.Status {
	switch {
	case a.written:
		return balance.Timeout
	case now-a.sent >= a.eng.pool.dial:
		return balance.ConnectFailed
	}
	return balance.NeverSent
}

// members hands a list to the module. moves tells how often discovery had moved
// when it was asked for.
func (e *engine) members(kind balance.ListKind, l list, moves int) {
	e.mu.Lock()
	var drop []*host
	entries := l.entries
	if kind != balance.ListFailed {
		e.keepDrains(l, moves)
		e.note(l)
	}
	servers := make([]balance.Server, len(entries))
	named := map[string]bool{}
	for i := range entries {
		n := &entries[i]
		servers[i] = n.Server
		servers[i].Started = e.started(n.since)
		named[n.ID] = true
		h := e.hosts[n.ID]
		// A machine that vanished leaves connections that are silent for good:
		// none is kept to an upstream that moved or started anew.
		if h != nil && (h.addr != n.addr || h.since != n.since) || n.State != balance.Ready {
			if h != nil {
				drop = append(drop, h)
				delete(e.hosts, n.ID)
			}
			h = nil
		}
		if h == nil && n.State != balance.Gone {
			e.hosts[n.ID] = &host{addr: n.addr, since: n.since}
		}
	}
	if kind == balance.ListFull || kind == balance.ListSaved {
		for name, h := range e.hosts {
			if !named[name] {
				drop = append(drop, h)
				delete(e.hosts, name)
			}
		}
	}
	e.carry(e.bal.Members(e.now(), kind, servers, e.acts[:0]))
	onList := e.onList
	e.mu.Unlock()
	for _, h := range drop {
		e.pool.retire(h)
	}
	if onList != nil && kind != balance.ListFailed {
		onList(e.list().text())
	}
}

// keepDrains sets right the entries of a list that lag behind a drain which was
// told before.
func (e *engine) keepDrains(l list, moves int) {
	now := e.now()
	for ; e.moves < moves; e.moves++ {
		e.drains.Moved(now)
	}
	said := make([]membership.Entry, len(l.entries))
	for i, n := range l.entries {
		said[i] = membership.Entry{Name: n.ID, Since: n.since, State: memberStates[n.State]}
	}
	e.drains.Take(now, l.index, l.full, said)
	for i, m := range said {
		if m.State != memberStates[l.entries[i].State] {
			l.entries[i].State = listStates[m.State]
		}
	}
}

var (
	memberStates = map[balance.ServerState]membership.State{balance.Ready: membership.Active, balance.Draining: membership.Leaving, balance.Gone: membership.Left}
	listStates   = map[membership.State]balance.ServerState{membership.Active: balance.Ready, membership.Leaving: balance.Draining, membership.Left: balance.Gone}
)

// note keeps the list as it is held, for a process that takes over.
func (e *engine) note(l list) {
	e.index = l.index
	if l.full {
		clear(e.listed)
	}
	for _, n := range l.entries {
		if n.State == balance.Gone {
			delete(e.listed, n.ID)
		} else {
			e.listed[n.ID] = n
		}
	}
}

// list returns the list as it is held.
func (e *engine) list() list {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := list{index: e.index, full: true}
	for _, n := range e.listed {
		l.entries = append(l.entries, n)
	}
	return l
}

// handBack gives every open request its final answer at once: whether trying
// again is harmless is the module's to say.
func (e *engine) handBack() int {
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

// started turns Unix milliseconds into the module's clock; 0 stays "long ago".
func (e *engine) started(ms int64) time.Duration {
	if ms <= 0 {
		return 0
	}
	return max(0, clockOrigin+time.UnixMilli(ms).Sub(e.start))
}

// carry does what the module decided, and tells it of the attempts that ended
// by its own cancels.
func (e *engine) carry(acts []balance.Action) {
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
		e.forget(a.call)
	}
}

// act does one thing.
func (e *engine) act(x *balance.Action) {
	c := e.calls[x.Request]
	switch x.Kind {
	case balance.Send:
		e.send(c, x)
	case balance.Refuse, balance.Fail:
		e.reply(c, answer{kind: x.Kind, wait: x.Wait})
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
			go e.pool.closeIdle(h)
		}
	}
}

// send starts an attempt.
func (e *engine) send(c *call, x *balance.Action) {
	now := e.now()
	a := &attempt{eng: e, call: c, host: e.hosts[x.Server], number: len(c.attempts), sent: now, until: now + x.Wait, at: len(e.out)}
	c.attempts = append(c.attempts, a)
	c.open++
	c.body.hold()
	e.out = append(e.out, a)
	if a.host == nil { // never so: the module picks from the list
		e.close(a, balance.NeverSent)
		e.lapsed = append(e.lapsed, a)
		c.body.release()
		return
	}
	go a.run()
}

// reply gives a call its answer and wakes its client's goroutine.
func (e *engine) reply(c *call, ans answer) {
	if c == nil || c.answered {
		return
	}
	c.answered, c.answer = true, ans
	close(c.done)
	c.conn.SetReadDeadline(past)
	e.forget(c)
}

// forget drops a call that is over. Its id may come again only then.
func (e *engine) forget(c *call) {
	if c.answered && c.open == 0 {
		delete(e.calls, c.id)
	}
}

// close marks an attempt as ended and wakes its goroutine, which closes its
// connection.
func (e *engine) close(a *attempt, status balance.Status) {
	a.ended, a.status = true, status
	a.call.open--
	last := e.out[len(e.out)-1]
	e.out[a.at], last.at = last, a.at
	e.out[len(e.out)-1] = nil
	e.out = e.out[:len(e.out)-1]
	if a.conn != nil {
		a.conn.SetDeadline(past)
	}
	if a.stopDial != nil {
		a.stopDial()
	}
}

// outcome is what the module is told of an attempt that ended.
func (a *attempt) outcome(took time.Duration) balance.Outcome {
	return balance.Outcome{Request: a.call.id, Number: a.number, Status: a.status, Took: took, Final: a.call.answered || a.status == balance.OK}
}

// tell tells the module how an attempt ended.
func (e *engine) tell(a *attempt, now, took time.Duration) {
	e.carry(e.bal.Outcome(now, a.outcome(took), e.acts[:0]))
	e.forget(a.call)
}

// end takes an attempt's end from its goroutine. It returns false where the attempt was given up before: its connection must not
// be used again then.
func (e *engine) end(a *attempt, status balance.Status, resp *fasthttp.Response) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.ended {
		return false
	}
	a.conn = nil
	e.close(a, status)
	now := e.now()
	answered := a.call.answered
	e.tell(a, now, now-a.sent)
	if status == balance.OK && !answered {
		e.reply(a.call, answer{kind: balance.Send, resp: resp})
	}
	return true
}

// dialing notes how to stop the attempt's dial; false if it was given up.
func (e *engine) dialing(a *attempt, stop func()) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	a.stopDial = stop
	return !a.ended
}

// attach notes the attempt's connection, on which it is written next, but for
// its last byte. It returns the time left, and false if the attempt was given
// up: nothing may be written then.
func (e *engine) attach(a *attempt, c *conn) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.ended {
		return 0, false
	}
	a.stopDial, a.conn = nil, c
	return a.until - e.now(), true
}

// commit is called before the attempt's last byte is written. From then on it
// may run. It lifts the bound of arm; false if the attempt was given up.
func (e *engine) commit(a *attempt, c *conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.ended {
		return false
	}
	a.written = true
	c.SetReadDeadline(time.Time{})
	return true
}

// arm bounds the next read on an attempt's connection; false if the attempt was
// given up, whose connection must not get more time.
func (e *engine) arm(a *attempt, c *conn, within time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.ended {
		return false
	}
	c.SetReadDeadline(time.Now().Add(within))
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
