package balance

import (
	"slices"
	"time"
)

// attempt is one sending of a request.
type attempt struct {
	request         *request
	server          *server
	number          int
	sentAt          time.Duration
	expectedLatency float64 // nanoseconds, as estimated when it was sent
	newConnection   bool
	ended           bool
	status          Status // once it has ended
}

// send starts an attempt. If no server is eligible, a request with none in flight is
// parked.
func (b *Balancer) send(r *request, now time.Duration) {
	if len(r.attempts) > 0 && (!b.mayRetry(r, now) || !b.budget.allowsRetry(now)) {
		b.abandon(r, now)
	} else if s := b.pick(r, now); s != nil {
		b.startAttempt(r, s, now)
	} else if r.inFlight == 0 {
		b.park(r, now)
	}
}

// startAttempt sends an attempt and plans its hedged request.
func (b *Balancer) startAttempt(r *request, s *server, now time.Duration) {
	a := &attempt{request: r, server: s, number: len(r.attempts), sentAt: now, expectedLatency: b.expectedLatency(r)}
	sendBy := r.valueDeadline
	if r.maybeExecuted != nil && r.class.Idempotency == IdempotentWithKey {
		sendBy = min(sendBy, r.maybeExecuted.sentAt+r.class.DedupWindow)
	}
	if a.number == 0 {
		b.budget.recordFirst(now)
	} else {
		b.budget.recordRetry(now)
	}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	s.inFlight = append(s.inFlight, a)
	a.newConnection = b.takeConnection(s, now)
	s.trialInFlight = s.ejections > 0
	if r.maybeExecuted == nil {
		r.maybeExecuted = a
	}
	b.emit(Action{Kind: Send, Request: r.ID, Server: s.ID, Number: a.number, Wait: max(r.valueDeadline-now, 1), SendDeadline: max(sendBy-now, 1)})
	if b.settings.CanHedge && r.class.Idempotency != NonIdempotent && len(r.attempts) < b.settings.MaxAttempts {
		b.scheduleHedge(a, now)
	}
}

// Outcome takes the end of an attempt. One that is not known is ignored.
func (b *Balancer) Outcome(now time.Duration, o Outcome, acts []Action) []Action {
	b.actions = acts
	r := b.requests[o.Request]
	if r == nil || o.Number < 0 || o.Number >= len(r.attempts) || r.attempts[o.Number].ended {
		return b.finishEvent(now)
	}
	a := r.attempts[o.Number]
	a.ended, a.status = true, o.Status
	r.inFlight--
	a.server.inFlight = slices.DeleteFunc(a.server.inFlight, func(x *attempt) bool { return x == a })
	r.maybeExecuted = nil
	if i := slices.IndexFunc(r.attempts, func(x *attempt) bool { return !x.ended || !x.status.provablyNotExecuted() }); i >= 0 {
		r.maybeExecuted = r.attempts[i]
	}
	b.recordOutcome(now, a, o.Status, o.Took)
	served := o.Status == OK && !r.answered
	switch {
	case r.answered:
		b.discard(r)
	case o.Final || served:
		b.complete(r)
	case r.inFlight == 0 && !r.resendPending:
		b.retry(r, now)
	}
	if served {
		b.recordServed(now, a)
	}
	return b.finishEvent(now)
}
