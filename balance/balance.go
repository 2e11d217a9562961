package balance

import (
	"cmp"
	"errors"
	"math/rand/v2"
	"slices"
	"time"
)

// Status says how an attempt ended.
type Status int

// The outcomes of an attempt. Full, ConnectFailed, NeverSent and Unwritten prove
// that it never ran.
const (
	OK Status = iota
	Error
	AtCapacity
	Timeout
	ConnectFailed
	Reset
	Cancelled
	NeverSent
	PartialWrite // the connection was up and broke before the request's last byte
	statuses     // how many there are
)

// harmless tells whether a status proves that the attempt never ran.
func (s Status) harmless() bool {
	return s == AtCapacity || s == ConnectFailed || s == NeverSent || s == PartialWrite
}

// ActionKind says what the caller is to do.
type ActionKind int

// The actions. Each request gets a Send that ends well, a Refuse or a Fail.
const (
	Send      ActionKind = iota // start an attempt of Request at Server, for Wait at most
	Reject                      // final answer: not done, harmless to try again, after Wait if set
	Fail                        // final answer: nothing is promised
	Cancel                      // stop waiting for attempt Number of Request
	Timer                       // call Timer with Token after Wait
	Subscribe                   // ask for the server list and its changes
	CloseIdle                   // close the idle connections to Server
)

// Action is one thing for the caller to do, in the order given.
type Action struct {
	Kind         ActionKind
	Request      string
	Server       string
	Number       int
	Wait         time.Duration
	SendDeadline time.Duration // a Send's last byte leaves within this, or never
	Token        uint64
}

// Request is a client's request as it arrives.
type Request struct {
	ID       string
	Class    string
	Tenant   string
	Key      string
	Deadline time.Duration // clock time at which the client gives up this try
	Work     time.Duration // expected work, 0 where not told
	IsRetry  bool          // a client's repeat of an earlier try
}

// Outcome is the end of one attempt.
type Outcome struct {
	Request string
	Number  int
	Status  Status
	Took    time.Duration
	Final   bool // the request is finished
}

// attempt is one sending of a request.
type attempt struct {
	request  *request
	server   *server
	number   int
	sent     time.Duration
	expected float64 // latency held likely when it was sent
	fresh    bool    // on a new connection
	ended    bool
	status   Status
}

// request is a request from its arrival until its last attempt has ended.
type request struct {
	Request
	class     *Class
	classAt   int
	key       uint64
	arrived   time.Duration
	useful    time.Duration // clock time after which an answer earns nothing more
	work      float64
	attempts  []*attempt
	open      int      // attempts out
	retries   int      // pauses taken
	anchor    *attempt // the first attempt that may have run or is out
	answered  bool     // the final answer was given
	waiting   bool     // a pause or hold is running
	coldDrawn bool     // the draw that a cold server may win was made
}

// wakeKind says what a timed call is for.
type wakeKind int

const (
	wakeEnd wakeKind = iota
	wakeResend
	wakeCopy
	wakeSubscribe
)

// wake is one timed call to come.
type wake struct {
	at     time.Duration
	kind   wakeKind
	r      *request
	number int
}

// classStat is what was learnt of a class.
type classStat struct {
	latency float64 // mean latency of the requests served
	work    float64 // mean of the hints
}

// Balancer decides for one client process. It is driven by one caller at a
// time; the times given to it never go back.
type Balancer struct {
	set       Settings
	rng       *rand.Rand
	acts      []Action
	budget    budget
	classes   map[string]int
	classStat []classStat
	requests  map[string]*request

	byID       map[string]*server
	all, ready []*server
	ejections  []*server
	usual      [statuses]float64 // failures for each success of servers that are well, of late
	ring       ring
	tenantAt   map[string]int
	tenantRate []float64 // shares of the tenants in the own requests, of late
	quotaSum   float64
	worthSum   float64 // worth of all classes
	overload   float64 // share of requests to refuse, by how many were late of late
	success    float64 // share of the requests sent that warm servers served, of late
	perWarm    float64 // the same for each warm server, against an even share, when there last was one
	warmLast   float64 // and how many there were
	served     float64 // share of requests served at all, of late
	warm       int     // warm servers when last counted
	warmAt     time.Duration
	salt       uint64 // makes the order of the ready list this balancer's own
	listMark   uint64
	wakes      []wake        // earliest first
	armed      time.Duration // time of the caller's earliest timer, 0 for none

	subscribed  bool
	subscribeAt time.Duration
}

// New returns a Balancer that knows no server yet. All its chance comes from
// seed.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := set.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		set:       set,
		rng:       rand.New(rand.NewPCG(seed, mix(seed))),
		classes:   map[string]int{},
		classStat: make([]classStat, len(set.Classes)+1),
		requests:  map[string]*request{},
		byID:      map[string]*server{},
		tenantAt:  map[string]int{},
		success:   1, perWarm: 1, warmLast: 1,
		served: 1,
		salt:   mix(seed + 1),
	}
	b.setClasses(set.Classes)
	b.setTenants(set.Tenants)
	return b, nil
}

// setClasses takes classes in a slice of their own: requests that have begun point
// into the one before. The last is for requests of a class not announced: the most
// careful kind.
func (b *Balancer) setClasses(classes []Class) {
	b.set.Classes = append(slices.Clone(classes), Class{Idempotency: NonIdempotent, LatePriorityWeight: 1})
	b.worthSum = 0
	for i, c := range classes {
		b.classes[c.Name] = i
		b.worthSum += c.PriorityWeight
	}
}

// Reconfigure takes other tenants, and the same classes with another Aim, Worth or
// LatePriorityWeight. Requests that have begun go on by the class they began with.
func (b *Balancer) Reconfigure(classes []Class, tenants []Tenant) error {
	same := slices.EqualFunc(b.set.Classes[:len(b.set.Classes)-1], classes, func(old, c Class) bool {
		old.LatencyObjective, old.PriorityWeight, old.LatePriorityWeight = c.LatencyObjective, c.PriorityWeight, c.LatePriorityWeight
		return old == c && c.LatencyObjective >= 0
	})
	if !same {
		return errors.New("balance: Classes: found other classes, expected the same but for LatencyObjective (0 or more), PriorityWeight and LatePriorityWeight")
	}
	b.setClasses(classes)
	if !slices.Equal(tenants, b.set.Tenants) {
		b.setTenants(tenants)
	}
	return nil
}

// at arranges a timed call.
func (b *Balancer) at(t time.Duration, kind wakeKind, r *request, number int) {
	i, _ := slices.BinarySearchFunc(b.wakes, t+1, func(w wake, t time.Duration) int { return cmp.Compare(w.at, t) })
	b.wakes = slices.Insert(b.wakes, i, wake{t, kind, r, number})
}

// act appends an action.
func (b *Balancer) act(a Action) { b.acts = append(b.acts, a) }

// done arms the caller's timer for the next timed call and returns the actions.
func (b *Balancer) done(now time.Duration) []Action {
	for len(b.wakes) > 0 && b.wakes[0].r != nil && b.wakes[0].r.answered {
		b.wakes = b.wakes[1:]
	}
	if len(b.wakes) > 0 && (b.armed == 0 || b.wakes[0].at < b.armed) {
		b.armed = b.wakes[0].at
		b.act(Action{Kind: Timer, Wait: max(b.armed-now, 1), Token: uint64(b.armed)})
	}
	acts := b.acts
	b.acts = nil
	return acts
}

// Shutdown is the token that ends the service: every open request gets its final
// answer at once.
const Shutdown = ^uint64(0)

// Timer takes a timer that came due, or Over. Other timers are harmless.
func (b *Balancer) Timer(now time.Duration, token uint64, acts []Action) []Action {
	b.acts = acts
	if uint64(b.armed) == token || b.armed <= now {
		b.armed = 0
	}
	for len(b.wakes) > 0 && (b.wakes[0].at <= now || token == Shutdown) {
		w := b.wakes[0]
		b.wakes = b.wakes[1:]
		switch {
		case w.kind == wakeSubscribe:
			if !b.subscribed {
				b.act(Action{Kind: Subscribe})
			}
		case w.r.answered:
		case w.kind == wakeEnd || token == Shutdown:
			b.end(w.r, now)
		case w.kind == wakeResend:
			w.r.waiting = false
			b.send(w.r, now)
		case w.kind == wakeCopy:
			b.copyOf(w.r, now, w.number)
		}
	}
	return b.done(now)
}

// Request takes a request; from now on the Balancer owes its final answer.
func (b *Balancer) Request(now time.Duration, q Request, acts []Action) []Action {
	b.acts = acts
	if b.requests[q.ID] != nil {
		return b.done(now)
	}
	at, known := b.classes[q.Class]
	if !known {
		at = len(b.set.Classes) - 1
	}
	r := &request{Request: q, class: &b.set.Classes[at], classAt: at, work: float64(q.Work), arrived: now}
	if q.Key != "" && b.set.KeyAffinity {
		r.key = hashString(q.Key)
	}
	if q.Work > 0 {
		c := &b.classStat[at]
		c.work = cmp.Or(c.work, r.work)
		c.work += latencyWeight / 4 * (r.work - c.work)
	}
	r.useful = b.usefulUntil(r, now)
	b.requests[q.ID] = r
	if b.shed(r) {
		b.end(r, now)
	} else {
		b.at(r.useful, wakeEnd, r, 0)
		b.send(r, now)
	}
	return b.done(now)
}

// usefulUntil is the clock time after which an answer earns nothing, a little
// early so that the final answer is out by then. Rule 1 hangs on it: the
// request ends then, whatever its attempts do.
func (b *Balancer) usefulUntil(r *request, now time.Duration) time.Duration {
	if r.class.LatePriorityWeight > 0 {
		return r.Deadline
	}
	aim := now + r.class.LatencyObjective + time.Duration(r.class.ObjectivePerWork*r.work) - b.set.CallInterval
	return min(r.Deadline, max(aim, now))
}

// send starts an attempt. While no server can take it a request of which nothing is
// out is held.
func (b *Balancer) send(r *request, now time.Duration) {
	if len(r.attempts) > 0 && !(b.mayResend(r, now) && b.budget.allows(now)) {
		b.giveUp(r, now)
	} else if s := b.pick(r, now); s != nil {
		b.start(r, s, now)
	} else if r.open == 0 {
		b.hold(r, now)
	}
}

// start sends an attempt and plans its second copy.
func (b *Balancer) start(r *request, s *server, now time.Duration) {
	a := &attempt{request: r, server: s, number: len(r.attempts), sent: now, expected: b.expect(r)}
	latest := r.useful
	if r.anchor != nil && r.class.Idempotency == IdempotentWithKey {
		latest = min(latest, r.anchor.sent+r.class.DedupWindow)
	}
	if a.number == 0 {
		b.budget.first(now)
	} else {
		b.budget.spend(now)
	}
	r.attempts = append(r.attempts, a)
	r.open++
	s.out = append(s.out, a)
	a.fresh = b.connect(s, now)
	s.trial = s.outs > 0
	if r.anchor == nil {
		r.anchor = a
	}
	b.act(Action{Kind: Send, Request: r.ID, Server: s.ID, Number: a.number, Wait: max(r.useful-now, 1), SendDeadline: max(latest-now, 1)})
	if b.set.CanHedge && r.class.Idempotency != NonIdempotent && len(r.attempts) < b.set.MaxAttempts {
		left := float64(r.useful - now)
		if aim := float64(r.class.LatencyObjective); aim > 0 && aim < left {
			left = aim
		}
		// In an overload everything is late, and copies would feed it: the
		// wait grows with the own mean latency, so that only the attempts
		// which are late among their like are copied.
		if wait := max(hedgeFrom*left, hedgeAfter*a.expected); wait < left {
			b.at(now+time.Duration(wait*(0.9+0.2*b.rng.Float64())), wakeCopy, r, a.number)
		}
	}
}

// copyOf sends a second copy of a request whose attempt is out for long. It
// draws on the retry budget like any retry.
func (b *Balancer) copyOf(r *request, now time.Duration, number int) {
	if !r.attempts[number].ended && r.open == 1 && !r.waiting {
		b.send(r, now)
	}
}

// mayResend tells whether rule 2 and the limits let a request be sent again.
func (b *Balancer) mayResend(r *request, now time.Duration) bool {
	switch {
	case r.answered || len(r.attempts) >= b.set.MaxAttempts || now >= r.useful:
		return false
	case r.open > 0 && (!b.set.CanHedge || r.open > 1):
		return false
	case r.anchor == nil || r.class.Idempotency == Idempotent:
		return true
	}
	return r.class.Idempotency == IdempotentWithKey && now < r.anchor.sent+r.class.DedupWindow
}

// hold waits a little for a server to become usable, then sends again.
func (b *Balancer) hold(r *request, now time.Duration) {
	r.waiting = true
	wait := time.Duration(float64(holdPause) * (0.5 + b.rng.Float64()))
	if now+wait >= r.useful {
		b.giveUp(r, now)
		return
	}
	b.at(now+wait, wakeResend, r, 0)
}

// giveUp answers a request that gets no further attempt, unless one is out.
func (b *Balancer) giveUp(r *request, now time.Duration) {
	if r.open == 0 {
		b.end(r, now)
	}
}

// end gives the final answer: a refusal where rule 2 lets the client try
// again, otherwise a failure. What is still out is cancelled.
func (b *Balancer) end(r *request, now time.Duration) {
	if r.answered {
		return
	}
	kind := Fail
	if r.anchor == nil || r.class.Idempotency == Idempotent || r.class.Idempotency == IdempotentWithKey && r.class.DedupScope == ScopeAll {
		kind = Reject
	}
	advice := time.Duration(0)
	if kind == Reject && b.overload > 0 {
		advice = b.set.RetryAfter
	}
	b.act(Action{Kind: kind, Request: r.ID, Wait: advice})
	// Work that is still out at its end feeds an overload: the server may go
	// on with it for nobody. What a server turned away sheds by itself. The
	// attempt's time-out may come in just before the request's own end.
	if n := len(r.attempts); r.open > 0 || n > 0 && r.attempts[n-1].status == Timeout {
		b.learnOverload(now, shedOut)
	}
	b.close(r)
}

// close marks a request as answered and stops what is still out for it.
func (b *Balancer) close(r *request) {
	r.answered = true
	// Requests refused at once drew no server: counted here, they would starve
	// cold servers just when the warm ones drown.
	if r.coldDrawn {
		b.success *= 1 - successWeight
	}
	b.served *= 1 - successWeight
	b.cancelBut(r, -1)
	b.forget(r)
}

// cancelBut cancels what is out for a request, but for attempt keep.
func (b *Balancer) cancelBut(r *request, keep int) {
	for _, a := range r.attempts {
		if a.number != keep && !a.ended && b.set.CanCancel {
			b.act(Action{Kind: Cancel, Request: r.ID, Number: a.number})
		}
	}
}

// forget drops an answered request once nothing is out for it.
func (b *Balancer) forget(r *request) {
	if r.open == 0 {
		delete(b.requests, r.ID)
	}
}

// Outcome takes the end of an attempt.
func (b *Balancer) Outcome(now time.Duration, o Outcome, acts []Action) []Action {
	b.acts = acts
	r := b.requests[o.Request]
	if r == nil || o.Number < 0 || o.Number >= len(r.attempts) || r.attempts[o.Number].ended {
		return b.done(now)
	}
	a := r.attempts[o.Number]
	a.ended, a.status = true, o.Status
	r.open--
	a.server.out = slices.DeleteFunc(a.server.out, func(x *attempt) bool { return x == a })
	r.anchor = nil
	if i := slices.IndexFunc(r.attempts, func(x *attempt) bool { return !x.ended || !x.status.harmless() }); i >= 0 {
		r.anchor = r.attempts[i]
	}
	b.observe(now, a, o.Status, o.Took)
	served := o.Status == OK && !r.answered
	switch {
	case r.answered:
		b.forget(r)
	case o.Final || served:
		b.close(r)
	case r.open == 0 && !r.waiting:
		b.retry(r, now)
	}
	if served {
		step := shedUp
		if now <= r.arrived+r.class.LatencyObjective {
			step = -shedDown
		}
		b.learnOverload(now, step)
		b.served += successWeight
		if b.certain(a.server, now) >= 1 {
			b.success += successWeight
		}
	}
	return b.done(now)
}

// retry arranges the next attempt after a failed one: a jittered pause first,
// longer each time. A spent budget returns the failure.
func (b *Balancer) retry(r *request, now time.Duration) {
	wait := pause(b.rng, r.retries)
	if !b.mayResend(r, now+wait) || !b.budget.allows(now) {
		b.giveUp(r, now)
		return
	}
	r.retries++
	r.waiting = true
	b.at(now+wait, wakeResend, r, 0)
}

// Retained counts what is kept, for who watches that it does not grow.
func (b *Balancer) Retained() int {
	return len(b.requests) + len(b.wakes) + len(b.all) + len(b.ring.points) + len(b.budget.firsts) + len(b.budget.retries)
}

// StartTime takes the start of a streamed answer: the attempt is the client's
// now, and nothing more may be sent.
func (b *Balancer) Started(now time.Duration, id string, number int, acts []Action) []Action {
	b.acts = acts
	if r := b.requests[id]; r != nil && number >= 0 && number < len(r.attempts) && !r.answered {
		r.answered = true
		b.cancelBut(r, number)
	}
	return b.done(now)
}

// Disconnected takes the news that a client is gone; no answer is owed any more.
func (b *Balancer) Disconnected(now time.Duration, id string, acts []Action) []Action {
	b.acts = acts
	if r := b.requests[id]; r != nil && !r.answered {
		b.close(r)
	}
	return b.done(now)
}
