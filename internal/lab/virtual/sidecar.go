package virtual

import (
	"math/rand/v2"
	"slices"
	"time"

	"otterspring/balance"
	"otterspring/internal/lab/invariant"
)

const (
	// clockOrigin is the module's time at the start of the run. It is not 0, because the module
	// and the sidecar treat a server with start time 0 as one that started long ago.
	clockOrigin = time.Hour
	// idleMargin, sweepInterval, minIdleTime and lastByteDelay have the same values as the constants
	// of these names in internal/sidecar/httpupstream.
	idleMargin           = 400 * time.Millisecond
	sweepInterval        = 500 * time.Millisecond
	minIdleTime          = 5 * time.Millisecond
	lastByteDelay        = time.Millisecond
	malformedAnswerDelay = 300 * time.Millisecond
	processStartTime     = 150 * time.Millisecond // from the start of a process until it accepts connections
)

// Module is the interface through which the simulated sidecar drives the decision module.
// *balance.Balancer implements Module. Wrappers that break a rule on purpose implement it as well.
type Module interface {
	Request(now time.Duration, q balance.Request, acts []balance.Action) []balance.Action
	Outcome(now time.Duration, o balance.Outcome, acts []balance.Action) []balance.Action
	Timer(now time.Duration, token uint64, acts []balance.Action) []balance.Action
	Endpoints(now time.Duration, kind balance.ListKind, entries []balance.Server, acts []balance.Action) []balance.Action
	Disconnected(now time.Duration, id string, acts []balance.Action) []balance.Action
}

// instance is one sidecar. Its name stays the same when its process is replaced.
type instance struct {
	sim             *simulation
	index           int
	name            string
	rng             *rand.Rand
	processes       []*process  // oldest first
	partitions      map[int]int // partition flags by server index
	configuredList  []entry     // endpoint list in the configuration; configuredIndex is its version
	configuredIndex int
	arrivals        int
}

// listeningProcess returns the process that accepts connections, or nil if there is none.
func (in *instance) listeningProcess() *process {
	for _, p := range slices.Backward(in.processes) {
		if p.listening {
			return p
		}
	}
	return nil
}

// process is one process of a sidecar: the module and the I/O around it.
type process struct {
	inst               *instance
	incarnation        int
	module             Module
	listening          bool
	ended              bool
	actions            []balance.Action
	requests           map[string]*request
	upstreams          map[string]*upstream
	openAttempts       []*attempt
	unreported         []*attempt // attempts that have ended and are not yet reported to the module
	inModule           bool       // true during a call to the module
	pendingModuleCalls []func()
	listIndex          int
	sweeping           bool
	discoveryMoves     int           // number of moves to another discovery address
	callAttemptsLeft   int           // calls to discovery left after a move; at 0 the module decides when to retry
	discoveryDownUntil time.Duration // time until which the current address of discovery is unavailable
	suspended          bool
	deferred           []func()        // callbacks that arrived while the process was suspended
	firstSends         []time.Duration // send times of first attempts within the window of the retry budget
	retrySends         []time.Duration
}

// request is one attempt of a client, as the sidecar receives it.
type request struct {
	id           string
	client       *clientRequest
	proc         *process
	attempts     []*attempt
	openAttempts int
	answered     bool
	clientDone   bool          // the client has received an answer or has disconnected
	expiresAt    time.Duration // deadline of the latest attempt or, before it, of the request; on the module's clock
}

// upstream is one incarnation of a server at one address.
type upstream struct {
	server      *server
	incarnation int
	address     int
	idle        []*conn // oldest first
	retired     bool
}

// conn is a connection to an upstream.
type conn struct {
	upstream    *upstream
	incarnation int  // incarnation of the server that accepted the connection
	unused      bool // no complete request has arrived on the connection
	idleSince   time.Duration
	overCap     bool // the connection exceeds the server's maximum number of connections
	closed      bool
}

// attempt is one attempt to send a request to an upstream.
type attempt struct {
	proc           *process
	request        *request
	upstream       *upstream
	number         int
	sentAt         time.Duration
	deadline       time.Duration
	sendDeadline   time.Duration // the last byte must not be sent later
	conn           *conn
	job            *job
	jobIncarnation int // incarnation of the server that has the job
	written        bool
	ended          bool
	status         balance.Status
}

// moduleNow returns the current time on the module's clock.
func (p *process) moduleNow() time.Duration { return clockOrigin + p.inst.sim.loop.now }

// callModule calls the module and executes the actions that it returns. An answer
// may cause a client to send its next request at once. The module accepts one
// call at a time, so such nested calls are queued.
func (p *process) callModule(f func(acts []balance.Action) []balance.Action) {
	p.pendingModuleCalls = append(p.pendingModuleCalls, func() { p.execute(f(p.actions[:0])) })
	if p.inModule {
		return
	}
	p.inModule = true
	for len(p.pendingModuleCalls) > 0 {
		next := p.pendingModuleCalls[0]
		p.pendingModuleCalls = p.pendingModuleCalls[1:]
		next()
	}
	p.inModule = false
}

// execute performs the module's actions. If these actions end attempts, it reports the outcomes of
// these attempts to the module.
func (p *process) execute(acts []balance.Action) {
	for {
		for i := range acts {
			p.perform(&acts[i])
		}
		if len(p.unreported) == 0 {
			p.actions = acts[:0]
			return
		}
		a := p.unreported[0]
		p.unreported = p.unreported[1:]
		acts = p.module.Outcome(p.moduleNow(), a.outcome(p.inst.sim.loop.now-a.sentAt), acts[:0])
		p.releaseIfDone(a.request)
	}
}

// whenRunning calls f when the process is resumed, if the process is suspended. Otherwise it calls
// f at once.
func (p *process) whenRunning(f func()) {
	if p.suspended {
		p.deferred = append(p.deferred, f)
		return
	}
	f()
}

// setSuspended suspends or resumes the process. Callbacks that arrived during the
// suspension, including timers, run on resumption and see the time of resumption.
func (p *process) setSuspended(suspended bool) {
	p.suspended = suspended
	for !p.suspended && len(p.deferred) > 0 {
		next := p.deferred[0]
		p.deferred = p.deferred[1:]
		next()
	}
}

// entryCount returns the number of entries in memory, including the module's.
func (p *process) entryCount() int {
	n := len(p.requests) + len(p.upstreams) + len(p.openAttempts) + len(p.unreported) + len(p.pendingModuleCalls)
	for _, up := range p.upstreams {
		n += len(up.idle)
	}
	if counter, ok := p.module.(interface{ Held() int }); ok {
		n += counter.Held()
	}
	return n
}

// handleRequest passes a client's request to the module.
func (p *process) handleRequest(req *request, q balance.Request) {
	if p.ended {
		return
	}
	q.Deadline += clockOrigin
	p.requests[req.id] = req
	req.expiresAt = q.Deadline
	p.callModule(func(acts []balance.Action) []balance.Action { return p.module.Request(p.moduleNow(), q, acts) })
}

// clientDisconnected tells the module that the client has abandoned the request.
func (p *process) clientDisconnected(req *request) {
	if p.ended || req.answered {
		return
	}
	req.answered = true
	p.callModule(func(acts []balance.Action) []balance.Action {
		return p.module.Disconnected(p.moduleNow(), req.id, acts)
	})
	p.releaseIfDone(req)
}

// perform performs one action of the module.
func (p *process) perform(action *balance.Action) {
	req := p.requests[action.Request]
	switch action.Kind {
	case balance.Send:
		p.send(req, action)
	case balance.Reject, balance.Fail:
		p.reply(req, action)
	case balance.Cancel:
		if req != nil && action.Number < len(req.attempts) {
			if a := req.attempts[action.Number]; !a.ended {
				p.closeAttempt(a, balance.Cancelled)
				p.unreported = append(p.unreported, a)
			}
		}
	case balance.Timer:
		token := action.Token
		p.inst.sim.loop.scheduleAfter(action.Wait, func() {
			p.whenRunning(func() {
				if p.ended {
					return
				}
				p.expireAttempts()
				p.callModule(func(acts []balance.Action) []balance.Action { return p.module.Timer(p.moduleNow(), token, acts) })
			})
		})
	case balance.Subscribe:
		p.inst.sim.registry.handleCall(p, p.listIndex)
	case balance.CloseIdle:
		if up := p.upstreams[action.Server]; up != nil {
			for len(up.idle) > 0 {
				p.closeIdleConn(up, 0)
			}
		}
	}
}

// reply sends a final answer that the sidecar generates itself.
func (p *process) reply(req *request, action *balance.Action) {
	if req == nil || req.answered {
		return
	}
	req.answered = true
	sim := p.inst.sim
	switch n := len(req.attempts); {
	case req.openAttempts > 0, n > 0 && sim.loop.now >= req.attempts[n-1].deadline:
		// The request's deadline has passed. An attempt is still in flight, or the last one has just timed out.
		sim.counts.EndedInFlight++
	case n > 0 && n < sim.spec.World.Sidecar.MaxAttempts && req.mayRetry() && sim.loop.now+10*time.Millisecond < req.expiresAt-clockOrigin:
		sim.counts.BudgetRefused++
	}
	p.releaseIfDone(req)
	req.client.handleAnswer(req, action.Kind, action.Wait)
}

// mayRetry tells whether another attempt is safe. Rule 2 of the invariants forbids a retry of a
// non-idempotent request that may already have been executed, and a retry with an idempotency key
// after the deduplication window. All earlier attempts must have ended when mayRetry is called.
func (req *request) mayRetry() bool {
	switch req.client.class.Effect {
	case invariant.Idempotent:
		return true
	case invariant.IdempotentWithKey:
		return req.proc.inst.sim.loop.now < req.attempts[0].sentAt+req.proc.inst.sim.spec.World.Server.DedupWindow
	}
	return !slices.ContainsFunc(req.attempts, func(a *attempt) bool { return !provablyNotExecuted(a.status) })
}

// provablyNotExecuted tells whether the status proves that the server did not run the request.
func provablyNotExecuted(s balance.Status) bool {
	return s == balance.AtCapacity || s == balance.ConnectFailed || s == balance.NeverSent || s == balance.PartialWrite
}

// expireAttempts ends the attempts whose deadline has passed. It runs before each timer of the
// module, so that the module sees these attempts as ended.
func (p *process) expireAttempts() {
	now := p.inst.sim.loop.now
	for i := 0; i < len(p.openAttempts); {
		a := p.openAttempts[i]
		if a.deadline > now {
			i++
			continue
		}
		status := balance.NeverSent
		switch {
		case a.written:
			status = balance.Timeout
		case now-a.sentAt >= p.inst.sim.spec.World.Sidecar.DialTimeout:
			status = balance.ConnectFailed
		}
		p.finishAttempt(a, status)
		i = 0
	}
}

// finishAttempt ends an attempt and reports its outcome to the module.
func (p *process) finishAttempt(a *attempt, status balance.Status) {
	p.closeAttempt(a, status)
	now := p.inst.sim.loop.now
	p.callModule(func(acts []balance.Action) []balance.Action {
		return p.module.Outcome(p.moduleNow(), a.outcome(now-a.sentAt), acts)
	})
	p.releaseIfDone(a.request)
}

// handleAttemptEnd handles the end of an attempt that the network reports. It returns false if the
// attempt has already ended.
func (p *process) handleAttemptEnd(a *attempt, status balance.Status) bool {
	if a.ended || p.ended {
		return false
	}
	conn := a.conn
	a.conn, a.job = nil, nil
	answered := a.request.answered
	p.finishAttempt(a, status)
	if status == balance.OK && !answered {
		req := a.request
		req.answered = true
		p.releaseIfDone(req)
		req.client.handleAnswer(req, balance.Send, 0)
	}
	a.conn = conn
	return true
}

func (a *attempt) outcome(took time.Duration) balance.Outcome {
	return balance.Outcome{Request: a.request.id, Number: a.number, Status: a.status, Took: took, Final: a.request.answered || a.status == balance.OK}
}

// releaseIfDone forgets a request that is answered and has no open attempt.
func (p *process) releaseIfDone(req *request) {
	if req.answered && req.openAttempts == 0 {
		delete(p.requests, req.id)
	}
}

// closeAttempt marks an attempt as ended and closes its connection, if it has one. The server stops
// the work of the attempt when the close arrives.
func (p *process) closeAttempt(a *attempt, status balance.Status) {
	a.ended, a.status = true, status
	a.request.openAttempts--
	if i := slices.Index(p.openAttempts, a); i >= 0 {
		p.openAttempts = slices.Delete(p.openAttempts, i, i+1)
	}
	if c := a.conn; c != nil {
		a.conn = nil
		p.closeConn(c, a)
	}
}

// closeConn closes a connection. a is the attempt that uses the connection, or nil. When the close
// arrives, the server cancels the work of a.
func (p *process) closeConn(c *conn, a *attempt) {
	if c.closed {
		return
	}
	c.closed = true
	s := c.upstream.server
	if p.inst.partitioned(s, true) {
		return // the close does not reach the server
	}
	p.inst.sim.loop.scheduleAfter(p.inst.sim.drawDelay(), func() {
		if s.incarnation == c.incarnation && !s.unreachable {
			s.openConns--
		}
		if a != nil && a.job != nil {
			s.cancel(a.job, a.jobIncarnation)
		}
	})
}

// closeIdleConn closes the idle connection at index i.
func (p *process) closeIdleConn(up *upstream, i int) {
	c := up.idle[i]
	up.idle = slices.Delete(up.idle, i, i+1)
	p.closeConn(c, nil)
}

// updateList records the list's version and passes the list to the module.
func (p *process) updateList(kind balance.ListKind, entries []entry, index int) {
	p.listIndex = index
	p.whenRunning(func() { p.applyList(kind, entries) })
}

// applyList updates the upstreams from a list and passes it to the module.
func (p *process) applyList(kind balance.ListKind, entries []entry) {
	var servers []balance.Server
	listed := map[string]bool{}
	for i := range entries {
		e := &entries[i]
		name := e.server.name
		if kind != balance.ListDelta && e.state == balance.Removed {
			continue
		}
		started := time.Duration(0)
		if e.startedAt > 0 {
			started = clockOrigin + e.startedAt
		}
		servers = append(servers, balance.Server{ID: name, Zone: e.server.zone, Cell: p.inst.sim.spec.ServerPod(e.server.index), StartTime: started, State: e.state})
		listed[name] = true
		up := p.upstreams[name]
		if up != nil && (up.incarnation != e.incarnation || up.address != e.address || e.state != balance.Ready) {
			p.retireUpstream(up)
			delete(p.upstreams, name)
			up = nil
		}
		if up == nil && e.state != balance.Removed {
			p.upstreams[name] = &upstream{server: e.server, incarnation: e.incarnation, address: e.address}
		}
	}
	if kind != balance.ListDelta {
		for _, s := range p.inst.sim.servers {
			if up := p.upstreams[s.name]; up != nil && !listed[s.name] {
				p.retireUpstream(up)
				delete(p.upstreams, s.name)
			}
		}
	}
	p.callModule(func(acts []balance.Action) []balance.Action {
		return p.module.Endpoints(p.moduleNow(), kind, servers, acts)
	})
}

// listFailed tells the module that a call to discovery failed.
func (p *process) listFailed() {
	if p.ended {
		return
	}
	p.whenRunning(func() {
		p.callModule(func(acts []balance.Action) []balance.Action {
			return p.module.Endpoints(p.moduleNow(), balance.ListFailed, nil, acts)
		})
	})
}

// retireUpstream closes an upstream's idle connections. Connections of the upstream that become
// idle later are closed at once.
func (p *process) retireUpstream(up *upstream) {
	up.retired = true
	for len(up.idle) > 0 {
		p.closeIdleConn(up, 0)
	}
}

// sweepIdle closes connections that have been idle for idleTimeout.
func (p *process) sweepIdle() {
	sim := p.inst.sim
	remaining := false
	for _, s := range sim.servers {
		up := p.upstreams[s.name]
		if up == nil {
			continue
		}
		for len(up.idle) > 0 && sim.loop.now-up.idle[0].idleSince >= sim.idleTimeout {
			p.closeIdleConn(up, 0)
		}
		remaining = remaining || len(up.idle) > 0
	}
	p.sweeping = remaining && !p.ended
	if p.sweeping {
		sim.loop.scheduleAfter(sweepInterval, p.sweepIdle)
	}
}

// putIdle keeps a reusable connection for later requests.
func (p *process) putIdle(c *conn) {
	if c.upstream.retired || p.ended {
		p.closeConn(c, nil)
		return
	}
	c.idleSince = p.inst.sim.loop.now
	c.upstream.idle = append(c.upstream.idle, c)
	if !p.sweeping {
		p.sweeping = true
		p.inst.sim.loop.scheduleAfter(sweepInterval, p.sweepIdle)
	}
}

// takeIdle takes the most recently used connection that has been idle for at least minIdleTime. It
// returns nil if there is none. It discards connections that the server has closed. It does not see
// such a close if the server's host was unreachable.
func (p *process) takeIdle(up *upstream) *conn {
	now := p.inst.sim.loop.now
	for i := len(up.idle) - 1; i >= 0; i-- {
		c := up.idle[i]
		if now-c.idleSince < minIdleTime {
			continue
		}
		if now-c.idleSince >= p.inst.sim.idleTimeout {
			return nil
		}
		up.idle = slices.Delete(up.idle, i, i+1)
		if c.incarnation != up.server.incarnation && !up.server.unreachable && c.incarnation != up.server.silentIncarnation {
			c.closed = true
			continue
		}
		return c
	}
	return nil
}

// partitioned tells whether messages to the server (toServer) or from it are dropped.
func (in *instance) partitioned(s *server, toServer bool) bool {
	flags := in.partitions[s.index]
	if toServer {
		return flags&partitionToServer != 0
	}
	return flags&partitionFromServer != 0
}

// Flags of instance.partitions.
const (
	partitionToServer   = 1
	partitionFromServer = 2
)

// sortedIDs returns the request IDs in sorted order, because map order is random.
func sortedIDs(requests map[string]*request) []string {
	ids := make([]string, 0, len(requests))
	for id := range requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
