package balance

import (
	"cmp"
	"slices"
	"time"
)

// timerKind says what a timer is for.
type timerKind int

const (
	timerAnswer    timerKind = iota // the request's final answer is due
	timerResend                     // a backoff delay or a wait for a server is over
	timerHedge                      // an attempt has been in flight for long
	timerSubscribe                  // the next subscription is due
)

// timer is one timed call to come.
type timer struct {
	due     time.Duration // clock time
	kind    timerKind
	request *request // nil for timerSubscribe
	number  int      // of the attempt, for timerHedge
}

// schedule plans a timed call, behind those of the same time.
func (b *Balancer) schedule(t time.Duration, kind timerKind, r *request, number int) {
	i, _ := slices.BinarySearchFunc(b.timers, t+1, func(w timer, t time.Duration) int { return cmp.Compare(w.due, t) })
	b.timers = slices.Insert(b.timers, i, timer{t, kind, r, number})
}

// finishEvent arms the caller's timer for the next timed call and returns the actions.
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

// Shutdown is the token that ends the service: every request in flight gets its final
// answer at once.
const Shutdown = ^uint64(0)

// Timer takes a timer that came due, or Shutdown. A stale token is ignored.
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
