package balance

import (
	"cmp"
	"time"
)

// parkDelay is the mean delay between two tries to send a request that has no eligible server.
const parkDelay = 20 * time.Millisecond

// request is the state of a request from its arrival until its last attempt has ended.
type request struct {
	Request
	class          *Class
	classIndex     int
	keyHash        uint64 // hash of the key; 0 if the request has no key or key affinity is disabled
	arrivedAt      time.Duration
	answerDeadline time.Duration // clock time at which the final answer is due
	work           float64       // nanoseconds, 0 if unknown
	attempts       []*attempt
	inFlight       int      // number of unfinished attempts
	retryCount     int      // number of backoff delays started
	maybeExecuted  *attempt // first attempt that is in flight or may have been executed; nil if there is none
	answered       bool     // the request is complete, or its streamed response has started
	resendPending  bool     // a backoff delay or a wait for an eligible server is pending
	warmUpDrawn    bool     // pickWarmingUp has already drawn a server for this request
}

// Request reports the arrival of a client request. The request is sent, parked until a server is eligible, or shed.
// A request whose ID is already in use is ignored.
func (b *Balancer) Request(now time.Duration, arriving Request, acts []Action) []Action {
	b.actions = acts
	if b.requests[arriving.ID] != nil {
		return b.finishEvent(now)
	}
	at, known := b.classIndex[arriving.Class]
	if !known {
		at = len(b.settings.Classes) - 1
	}
	r := &request{Request: arriving, class: &b.settings.Classes[at], classIndex: at, work: float64(arriving.Work), arrivedAt: now}
	if arriving.Key != "" && b.settings.KeyAffinity {
		r.keyHash = hashString(arriving.Key)
	}
	if arriving.Work > 0 {
		c := &b.classEstimates[at]
		c.meanWork = cmp.Or(c.meanWork, r.work)
		c.meanWork += float64(workSampleWeight * (r.work - c.meanWork))
	}
	r.answerDeadline = b.answerDeadline(r, now)
	b.requests[arriving.ID] = r
	if b.shed(r) {
		b.answer(r, now)
	} else {
		b.schedule(r.answerDeadline, timerAnswer, r, 0)
		b.send(r, now)
	}
	return b.finishEvent(now)
}

// answerDeadline returns the clock time at which the request ends, whatever the state of its attempts. Usually this
// is the deadline of the client. If late responses have no value, the request ends at its latency objective or at
// the deadline, whichever is earlier. CallInterval is subtracted from the objective, so that the final answer is
// sent in time.
func (b *Balancer) answerDeadline(r *request, now time.Duration) time.Duration {
	if r.class.LatePriorityWeight > 0 {
		return r.Deadline
	}
	objective := now + r.class.LatencyObjective + time.Duration(r.class.ObjectivePerWork*r.work) - b.settings.CallInterval
	return min(r.Deadline, max(objective, now))
}

// park schedules another send after a jittered delay, for a request without an eligible server.
func (b *Balancer) park(r *request, now time.Duration) {
	r.resendPending = true
	wait := time.Duration(float64(parkDelay) * (0.5 + float64(b.rng.Float64())))
	if now+wait >= r.answerDeadline {
		b.abandon(r, now)
		return
	}
	b.schedule(now+wait, timerResend, r, 0)
}

// abandon answers a request that may not be retried, unless an attempt is in flight.
func (b *Balancer) abandon(r *request, now time.Duration) {
	if r.inFlight == 0 {
		b.answer(r, now)
	}
}

// answer gives the final answer: a rejection if the client may safely retry, otherwise a failure. Attempts in
// flight are cancelled.
func (b *Balancer) answer(r *request, now time.Duration) {
	if r.answered {
		return
	}
	kind := Fail
	if r.maybeExecuted == nil || r.class.Idempotency == Idempotent || r.class.Idempotency == IdempotentWithKey && r.class.DedupScope == ScopeAll {
		kind = Reject
	}
	retryAfter := time.Duration(0)
	if kind == Reject && b.shedShare > 0 {
		retryAfter = b.settings.RetryAfter
	}
	b.emit(Action{Kind: kind, Request: r.ID, Wait: retryAfter})
	// An attempt that is still in flight at the deadline is a sign of overload. The server may go on working on the
	// attempt although nobody waits for the response. An attempt that has timed out counts too, since its timeout
	// may be reported just before the deadline of the request. Rejections by servers do not count, since those
	// servers already shed load.
	if n := len(r.attempts); r.inFlight > 0 || n > 0 && r.attempts[n-1].status == Timeout {
		b.adjustShedShare(now, shedStepUnfinished)
	}
	b.complete(r)
}

// complete marks a request as answered and cancels its attempts in flight.
func (b *Balancer) complete(r *request) {
	r.answered = true
	// Requests that were shed are not counted in servedByWarm. They would reduce the load offered to warming-up
	// servers just when the warm servers are overloaded.
	if r.warmUpDrawn {
		b.servedByWarm *= 1 - servedSampleWeight
	}
	b.servedShare *= 1 - servedSampleWeight
	b.cancelAllBut(r, -1)
	b.discard(r)
}

// cancelAllBut cancels all attempts of a request that are in flight, except the attempt with the number except. It
// does nothing if Settings.CanCancel is not set.
func (b *Balancer) cancelAllBut(r *request, except int) {
	for _, a := range r.attempts {
		if a.number != except && !a.finished && b.settings.CanCancel {
			b.emit(Action{Kind: Cancel, Request: r.ID, Number: a.number})
		}
	}
}

// discard removes an answered request once none of its attempts is in flight.
func (b *Balancer) discard(r *request) {
	if r.inFlight == 0 {
		delete(b.requests, r.ID)
	}
}

// Started reports the start of a streamed response. The client receives the response of the given attempt. All
// other attempts are cancelled, and no further attempt is sent.
func (b *Balancer) Started(now time.Duration, id string, number int, acts []Action) []Action {
	b.actions = acts
	if r := b.requests[id]; r != nil && number >= 0 && number < len(r.attempts) && !r.answered {
		r.answered = true
		b.cancelAllBut(r, number)
	}
	return b.finishEvent(now)
}

// Disconnected reports that the client of a request has disconnected. The request needs no final answer.
func (b *Balancer) Disconnected(now time.Duration, id string, acts []Action) []Action {
	b.actions = acts
	if r := b.requests[id]; r != nil && !r.answered {
		b.complete(r)
	}
	return b.finishEvent(now)
}
