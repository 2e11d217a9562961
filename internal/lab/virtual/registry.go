package virtual

import (
	"time"

	"otterspring/balance"
	"otterspring/internal/lab/experiment"
	"otterspring/internal/sidecar/backoff"
)

const (
	watchTimeout      = 20 * time.Second                 // duration of a watch without events; the sidecar requests it
	listTimeout       = experiment.DiscoveryQueueTimeout // maximum time that a call may wait in the service's queue
	silentCallTimeout = 6 * time.Second                  // an unanswered call fails after this time
	rewatchDelay      = time.Millisecond                 // delay between an answer and the next watch
)

// entry is a server's record in discovery.
type entry struct {
	server       *server
	incarnation  int
	address      int
	startedAt    time.Duration
	state        balance.ServerState
	changedIndex int // value of registry.index at the latest change
}

// registry simulates discovery as a single service that processes calls in order.
type registry struct {
	sim         *simulation
	index       int      // version of the list, incremented by each change
	entries     []*entry // in order of registration
	byServer    map[*server]*entry
	watchers    []*watch
	busyUntil   time.Duration // time at which all accepted calls have been processed
	down        bool
	silent      bool // while down is true, calls time out instead of failing at once
	updateDelay time.Duration

	calls, failed                 int           // calls: all calls; failed: calls rejected due to overload
	longestWait                   time.Duration // longest time that a call waited in the service's queue
	callSecond, peakCallsInSecond int           // second of the latest call; maximum of callsInSecond
	callsInSecond                 int           // number of calls in callSecond
}

// watch is a call that waits for an endpoint change.
type watch struct {
	proc           *process
	since          int // version of the list that the process has
	discoveryMoves int // value of process.discoveryMoves at the time of the call; a later move ends the call
	done           bool
}

// register stores a server's state immediately.
func (r *registry) register(s *server, state balance.ServerState) {
	r.put(entry{server: s, incarnation: s.incarnation, address: s.address, startedAt: s.startedAt, state: state})
}

// publish stores a server's state after updateDelay.
func (r *registry) publish(s *server, state balance.ServerState) {
	update := entry{server: s, incarnation: s.incarnation, address: s.address, startedAt: s.startedAt, state: state}
	r.sim.loop.scheduleAfter(r.updateDelay, func() {
		if state != balance.Ready {
			// Discovery reports the change from this time on.
			r.sim.checker.EndpointChanged(s.name, update.incarnation, true, r.sim.loop.now)
		}
		r.put(update)
	})
}

// put stores an entry and answers the waiting watches.
func (r *registry) put(update entry) {
	e := r.byServer[update.server]
	if e == nil {
		e = &entry{}
		r.byServer[update.server] = e
		r.entries = append(r.entries, e)
	} else if update.incarnation < e.incarnation {
		return // a newer incarnation has already been stored
	}
	r.index++
	update.changedIndex = r.index
	*e = update
	if r.down {
		return
	}
	watchers := r.watchers
	r.watchers = nil
	// The order in which watches are served is random, as it is with sockets.
	r.sim.rng.Shuffle(len(watchers), func(i, j int) { watchers[i], watchers[j] = watchers[j], watchers[i] })
	for _, pending := range watchers {
		if !pending.done {
			pending.done = true
			r.serve(pending.proc, pending.since, pending.discoveryMoves)
		}
	}
}

// handleCall handles a process's call. If since is 0, it answers with the full list. Otherwise it
// answers with the changes after the version since. If there are none, it waits for a change.
func (r *registry) handleCall(p *process, since int) {
	if r.sim.loop.now < p.discoveryDownUntil {
		r.sim.loop.scheduleAfter(r.sim.drawDelay(), p.listCallFailed)
		return
	}
	discoveryMoves := p.discoveryMoves
	switch {
	case r.down && r.silent:
		r.sim.loop.scheduleAfter(silentCallTimeout, func() { p.listCallLost(discoveryMoves) })
	case r.down:
		r.sim.loop.scheduleAfter(r.sim.drawDelay(), func() { p.listCallLost(discoveryMoves) })
	case since > 0 && r.index <= since:
		pending := &watch{proc: p, since: since, discoveryMoves: discoveryMoves}
		r.watchers = append(r.watchers, pending)
		r.sim.loop.scheduleAfter(watchTimeout, func() {
			if !pending.done && !r.down {
				pending.done = true
				r.dropDoneWatches()
				r.serve(p, since, discoveryMoves)
			}
		})
	default:
		r.serve(p, since, discoveryMoves)
	}
}

// dropDoneWatches removes completed watches from the list of watchers.
func (r *registry) dropDoneWatches() {
	kept := r.watchers[:0]
	for _, pending := range r.watchers {
		if !pending.done {
			kept = append(kept, pending)
		}
	}
	r.watchers = kept
}

// serve answers a call after the service has processed all earlier calls. A call fails if it would
// wait longer than listTimeout.
func (r *registry) serve(p *process, since, discoveryMoves int) {
	r.countCall()
	var updates []entry
	for _, e := range r.entries {
		if since == 0 || e.changedIndex > since {
			updates = append(updates, *e)
		}
	}
	index, now := r.index, r.sim.loop.now
	workTime := time.Duration(0)
	if d := r.sim.spec.World.Discovery; d.LinesPerSecond > 0 {
		r.busyUntil = max(r.busyUntil, now)
		if r.busyUntil-now > listTimeout {
			r.failed++
			r.sim.loop.scheduleAfter(r.sim.drawDelay(), func() { p.listCallLost(discoveryMoves) })
			return
		}
		r.longestWait = max(r.longestWait, r.busyUntil-now)
		r.busyUntil += time.Duration((d.CallCostLines + float64(len(updates))) / d.LinesPerSecond * float64(time.Second))
		workTime = r.busyUntil - now
	}
	r.sim.loop.scheduleAfter(workTime+r.sim.drawDelay(), func() {
		if p.ended || p.discoveryMoves != discoveryMoves {
			return
		}
		if r.down {
			p.listFailed()
			return
		}
		p.callAttemptsLeft = 0
		for i := range updates {
			e := &updates[i]
			r.sim.checker.Notified(p.inst.name, p.incarnation, e.server.name, e.incarnation, e.state != balance.Ready, r.sim.loop.now)
		}
		kind := balance.ListDelta
		if since == 0 {
			kind = balance.ListFull
		}
		p.updateList(kind, updates, index)
		r.sim.loop.scheduleAfter(rewatchDelay, func() {
			if !p.ended && p.discoveryMoves == discoveryMoves {
				r.handleCall(p, p.listIndex)
			}
		})
	})
}

// applyFault applies a fault of discovery. The kind "list-late" delays updates. All other kinds
// make discovery unavailable: with "list-silent" calls time out, and with any other kind calls fail
// after one message delay.
func (r *registry) applyFault(kind string, updateDelay time.Duration) {
	switch kind {
	case "list-late":
		r.updateDelay = updateDelay
		return
	case "list-silent":
		r.silent = true
	default:
		r.silent = false
	}
	r.down = true
	r.sim.checker.DiscoveryUnavailable(true, r.sim.loop.now)
	watchers := r.watchers
	r.watchers = nil
	for _, pending := range watchers {
		if pending.done {
			continue
		}
		pending.done = true
		// The process does not notice that the watch was lost until the watch times out.
		wait := r.sim.drawDelay()
		if r.silent {
			wait = watchTimeout + silentCallTimeout
		}
		r.sim.loop.scheduleAfter(wait, func() { pending.proc.listCallLost(pending.discoveryMoves) })
	}
}

// clearFault reverts applyFault.
func (r *registry) clearFault() {
	r.sim.checker.DiscoveryUnavailable(false, r.sim.loop.now)
	r.down, r.updateDelay = false, r.sim.spec.World.Discovery.Delay
}

// countCall counts a call and updates the largest number of calls in one second.
func (r *registry) countCall() {
	r.calls++
	if second := int(r.sim.loop.now / time.Second); second != r.callSecond {
		r.callSecond, r.callsInSecond = second, 0
	}
	r.callsInSecond++
	r.peakCallsInSecond = max(r.peakCallsInSecond, r.callsInSecond)
}

// moveDiscovery switches the process to another address of discovery, which stays unavailable for
// downtime. The process abandons its call to the old address, and its next call requests the full
// list. This mirrors internal/sidecar/discovery.
func (p *process) moveDiscovery(downtime time.Duration) {
	sim := p.inst.sim
	p.discoveryMoves++
	p.listIndex, p.callAttemptsLeft, p.discoveryDownUntil = 0, backoff.MaxAttempts, sim.loop.now+downtime
	sim.registry.handleCall(p, 0)
}

// listCallFailed handles a failed call to discovery. After a move to another address, it retries
// with backoff while attempts are left. Otherwise the module decides when to retry.
func (p *process) listCallFailed() {
	if p.ended {
		return
	}
	if p.callAttemptsLeft > 1 {
		p.callAttemptsLeft--
		discoveryMoves := p.discoveryMoves
		p.inst.sim.loop.scheduleAfter(backoff.Delay(p.inst.rng, backoff.MaxAttempts-p.callAttemptsLeft), func() {
			if !p.ended && p.discoveryMoves == discoveryMoves {
				p.inst.sim.registry.handleCall(p, p.listIndex)
			}
		})
		return
	}
	p.callAttemptsLeft = 0
	p.listFailed()
}

// listCallLost handles a failed call to discovery. discoveryMoves is the value of p.discoveryMoves
// at the time of the call. If the process has moved to another address since the call, listCallLost
// ignores the failure.
func (p *process) listCallLost(discoveryMoves int) {
	if p.discoveryMoves == discoveryMoves {
		p.listCallFailed()
	}
}
