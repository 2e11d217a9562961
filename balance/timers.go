package balance

import (
	"cmp"
	"slices"
	"time"
)

// timerKind is the purpose of a timer.
type timerKind int

const (
	timerAnswer    timerKind = iota // the request's final answer is due
	timerResend                     // a backoff delay or a wait for an eligible server is over
	timerHedge                      // a hedged request is due
	timerSubscribe                  // the next subscription is due
)

// timer is a scheduled operation.
type timer struct {
	due     time.Duration // clock time
	kind    timerKind
	request *request // nil for timerSubscribe
	number  int      // attempt number, for timerHedge
}

// schedule adds a timer and places it after the timers with the same due time.
func (b *Balancer) schedule(t time.Duration, kind timerKind, r *request, number int) {
	i, _ := slices.BinarySearchFunc(b.timers, t+1, func(w timer, t time.Duration) int { return cmp.Compare(w.due, t) })
	b.timers = slices.Insert(b.timers, i, timer{t, kind, r, number})
}

// finishEvent arms the caller's timer for the earliest scheduled operation and returns the actions.
func (b *Balancer) finishEvent(now time.Duration) []Action {
	for len(b.timers) > 0 && b.timers[0].request != nil && b.timers[0].request.answered {
		b.timers = b.timers[1:]
	}
	if len(b.timers) > 0 && (b.armedFor == 0 || b.timers[0].due < b.armedFor) {
		b.armedFor = b.timers[0].due
		b.emit(Action{Kind: Timer, Wait: max(b.armedFor-now, 1), Token: uint64(b.armedFor)})
	}
	acts := b.actions
	b.actions = nil
	return acts
}

// Shutdown is the token that the caller passes to Balancer.Timer on shutdown. Every request in flight then gets its
// final answer immediately.
const Shutdown = ^uint64(0)

// Timer reports that the caller's timer with the given token has expired, or a shutdown if the token is Shutdown.
// It executes the operations that are due, even if the token is stale.
func (b *Balancer) Timer(now time.Duration, token uint64, acts []Action) []Action {
	b.actions = acts
	if uint64(b.armedFor) == token || b.armedFor <= now {
		b.armedFor = 0
	}
	for len(b.timers) > 0 && (b.timers[0].due <= now || token == Shutdown) {
		next := b.timers[0]
		b.timers = b.timers[1:]
		switch {
		case next.kind == timerSubscribe:
			if !b.subscribed {
				b.emit(Action{Kind: Subscribe})
			}
		case next.request.answered:
		case next.kind == timerAnswer || token == Shutdown:
			b.answer(next.request, now)
		case next.kind == timerResend:
			next.request.resendPending = false
			b.send(next.request, now)
		case next.kind == timerHedge:
			b.hedge(next.request, now, next.number)
		}
	}
	return b.finishEvent(now)
}
