package balance

import (
	"slices"
	"time"
)

// attempt is one transmission of a request to a server.
type attempt struct {
	request         *request
	server          *server
	number          int
	sentAt          time.Duration
	expectedLatency float64 // nanoseconds, estimated at send time
	newConnection   bool
	finished        bool
	status          Status // valid once finished is set
}

// send starts an attempt. If a further attempt of the request is not permitted, send abandons the request. If no
// server is eligible and no attempt is in flight, send parks the request.
func (b *Balancer) send(r *request, now time.Duration) {
	if len(r.attempts) > 0 && (!b.mayRetry(r, now) || !b.budget.allowsRetry(now)) {
		b.abandon(r, now)
	} else if s := b.pick(r, now); s != nil {
		b.startAttempt(r, s, now)
	} else if r.inFlight == 0 {
		b.park(r, now)
	}
}

// startAttempt sends an attempt to target and schedules its hedged request.
func (b *Balancer) startAttempt(r *request, target *server, now time.Duration) {
	started := &attempt{request: r, server: target, number: len(r.attempts), sentAt: now, expectedLatency: b.expectedLatency(r)}
	sendBy := r.answerDeadline
	if r.maybeExecuted != nil && r.class.Idempotency == IdempotentWithKey {
		sendBy = min(sendBy, r.maybeExecuted.sentAt+r.class.DedupWindow)
	}
	if started.number == 0 {
		b.budget.recordFirst(now)
	} else {
		b.budget.recordRetry(now)
	}
	r.attempts = append(r.attempts, started)
	r.inFlight++
	target.inFlight = append(target.inFlight, started)
	started.newConnection = b.useConnection(target, now)
	target.trialInFlight = target.ejections > 0
	if r.maybeExecuted == nil {
		r.maybeExecuted = started
	}
	b.emit(Action{Kind: Send, Request: r.ID, Server: target.ID, Number: started.number, Wait: max(r.answerDeadline-now, 1), SendDeadline: max(sendBy-now, 1)})
	if b.settings.CanHedge && r.class.Idempotency != NonIdempotent && len(r.attempts) < b.settings.MaxAttempts {
		b.scheduleHedge(started, now)
	}
}

// Outcome reports the end of an attempt. Unknown attempts are ignored.
func (b *Balancer) Outcome(now time.Duration, outcome Outcome, acts []Action) []Action {
	b.actions = acts
	r := b.requests[outcome.Request]
	if r == nil || outcome.Number < 0 || outcome.Number >= len(r.attempts) || r.attempts[outcome.Number].finished {
		return b.finishEvent(now)
	}
	current := r.attempts[outcome.Number]
	current.finished, current.status = true, outcome.Status
	r.inFlight--
	current.server.inFlight = slices.DeleteFunc(current.server.inFlight, func(x *attempt) bool { return x == current })
	r.maybeExecuted = nil
	if i := slices.IndexFunc(r.attempts, func(x *attempt) bool { return !x.finished || !x.status.provablyNotExecuted() }); i >= 0 {
		r.maybeExecuted = r.attempts[i]
	}
	b.recordOutcome(now, current, outcome.Status, outcome.Took)
	served := outcome.Status == OK && !r.answered
	switch {
	case r.answered:
		b.discard(r)
	case outcome.Final || served:
		b.complete(r)
	case r.inFlight == 0 && !r.resendPending:
		b.retry(r, now)
	}
	if served {
		b.recordServed(now, current)
	}
	return b.finishEvent(now)
}
