package invariant

import "time"

// Effect is the idempotency of a request. Its values are stored in histories.
type Effect int

// The kinds of effect.
const (
	Idempotent        Effect = iota // may be executed any number of times
	IdempotentWithKey               // a pod drops a request whose key is repeated within the pod's window
	NonIdempotent                   // must never be executed twice
)

// Outcome is the result of a request as its client saw it. Its values are stored in histories.
type Outcome int

// The outcomes.
const (
	Served   Outcome = iota // status 200 with a body
	Rejected                // status 429 or 503, which promises that the request was not executed
	Failed                  // any other answer
)

// request is the state of one request ID.
type request struct {
	instance       string
	effect         Effect
	deadline       time.Duration
	answered       bool
	outcome        Outcome
	answeredAt     time.Duration
	abandoned      bool // the client stopped waiting
	inFlightAtKill bool // the sidecar was killed while the request was in flight
	attempts       int
	effects        int
	firstPod       string
	firstEffectAt  time.Duration
}

// Attempt is one attempt of a request that arrived at a call server.
type Attempt struct {
	Server       string
	Incarnation  int
	RequestID    string
	FirstByteAt  time.Duration
	CompletedAt  time.Duration // arrival of the last byte
	Work         float64       // cost of the request, in seconds of work
	Capacity     float64       // capacity of the server at that moment, in seconds of work a second
	WarmCapacity float64       // capacity of the server once it is warm
}

// RequestSent records that a client wrote a request's last byte and waits for an answer until
// timeout has passed. An ID that is sent again after its connection was closed counts once.
func (c *Checker) RequestSent(id, name string, effect Effect, at, timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.emit(Event{Kind: KindRequestSent, RequestID: id, Instance: name, Effect: effect, At: at, Timeout: timeout})
	if c.requests[id] != nil {
		c.report.Resent++
		return
	}
	if len(c.requests) >= MaxRequests {
		c.report.Untracked++
		return
	}
	c.report.Requests++
	r := &request{instance: name, effect: effect, deadline: at + timeout}
	c.requests[id] = r
	c.instance(name).inFlight[id] = r
}

// Answered records a complete response. genuine tells whether the response has the body that a
// call server produced for this ID. genuine matters only if the outcome is Served.
func (c *Checker) Answered(id string, outcome Outcome, genuine bool, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.emit(Event{Kind: KindAnswered, RequestID: id, Outcome: outcome, Flag: genuine, At: at})
	r := c.requests[id]
	if r == nil {
		return
	}
	delete(c.instance(r.instance).inFlight, id)
	if r.answered {
		c.violate(&c.report.SentAfterAnswer, "%s: answered a second time", id)
		return
	}
	if r.inFlightAtKill {
		// Over CoAP the next process may answer a retransmission of the request.
		r.inFlightAtKill = false
		c.report.InFlightAtKill--
	}
	r.answered, r.outcome, r.answeredAt = true, outcome, at
	switch outcome {
	case Served:
		c.report.Served++
		if !genuine || r.attempts == 0 {
			c.violate(&c.report.Forged, "%s: served with a response that no call server produced for it", id)
		}
	case Rejected:
		c.report.Rejected++
		c.checkRejection(id, r)
	default:
		c.report.Failed++
	}
	if outcome != Served && r.effect != Idempotent && r.effects > 0 {
		c.report.Ambiguous++
	}
	c.checkLimit(&c.report.Late, r.deadline, at, "%s: answered %v after its deadline", id, at-r.deadline)
}

// checkRejection checks that a retry of a rejected request cannot execute an effect a second time
// that must be executed only once.
func (c *Checker) checkRejection(id string, r *request) {
	if r.effect != Idempotent && r.effects > 0 {
		c.violate(&c.report.RejectedAfterExecution, "%s: rejected though it was executed", id)
	}
}

// ConnectionBroke records that the connection of a request ended without a complete response.
// resend tells whether the client intends to send the request again under the same ID. A client
// may intend that only if it reused the connection. The result tells whether the client may send
// the request again.
//
// After a kill of the sidecar, the client must retry the requests in flight under a new ID. A
// client can't tell a kill from a close. If the client notices the break only when the next
// process listens, it would send that process a request that the killed process has already
// forwarded.
func (c *Checker) ConnectionBroke(id string, resend bool, at time.Duration) (mayResend bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.emit(Event{Kind: KindConnectionBroke, RequestID: id, Flag: resend, At: at})
	r := c.requests[id]
	if r == nil || r.answered || r.abandoned {
		return resend
	}
	if i := c.instance(r.instance); (i.killAnnounced || at < i.excusedUntil) && !r.inFlightAtKill {
		r.inFlightAtKill = true
		c.report.InFlightAtKill++
	}
	resend = resend && !r.inFlightAtKill
	if !resend {
		delete(c.instance(r.instance).inFlight, id)
	}
	switch {
	case r.inFlightAtKill:
	case resend && r.attempts == 0:
		// The idle connection was closed while the request was on its way. The request was not
		// accepted.
	case !resend && r.attempts == 0:
		// This is the first request of a connection that was closed before the request was
		// read.
		c.report.Failed++
	default:
		c.violateDropped(id, r)
		c.disconnects = append(c.disconnects, disconnect{r, at})
	}
	return resend
}

// Abandoned records that the client stopped waiting for an answer. The client may stop at any
// time up to its deadline.
func (c *Checker) Abandoned(id string, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.emit(Event{Kind: KindAbandoned, RequestID: id, At: at})
	r := c.requests[id]
	if r == nil || r.answered || r.abandoned {
		return
	}
	r.abandoned = true
	delete(c.instance(r.instance).inFlight, id)
	if r.inFlightAtKill {
		return
	}
	c.report.Unanswered++
	c.checkLimit(&c.report.Late, r.deadline, at, "%s: no answer %v after its deadline", id, at-r.deadline)
}

// AttemptArrived records an attempt at a call server.
func (c *Checker) AttemptArrived(attempt Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id, first, at := attempt.RequestID, attempt.FirstByteAt, attempt.CompletedAt
	c.emit(Event{
		Kind: KindAttemptArrived, Server: attempt.Server, Incarnation: attempt.Incarnation, RequestID: id, Start: first, At: at,
		Work: attempt.Work, Capacity: attempt.Capacity, WarmCapacity: attempt.WarmCapacity,
	})
	key := serverKey{attempt.Server, attempt.Incarnation}
	r := c.requests[id]
	c.totalWork += attempt.Work
	c.attemptCount++
	if attempt.Capacity < attempt.WarmCapacity {
		c.checkWarmup(key, at, attempt.Work, attempt.Capacity, r == nil || c.startKnown(r.instance, key))
	}
	if r == nil {
		return
	}
	r.attempts++
	if second := c.second(at); second != nil {
		if r.attempts == 1 {
			second.FirstAttempts++
		} else {
			second.Retries++
		}
	}
	if r.answered {
		c.checkLimit(&c.report.SentAfterAnswer, r.answeredAt, first, "%s: sent to %s %v after its final answer", id, attempt.Server, first-r.answeredAt)
	}
	if since, removed := c.removalKnownSince(r.instance, key); removed {
		c.checkLimit(&c.report.SentToDraining, since+c.rules.DrainGrace, first,
			"%s: sent by %s to %s %v after the notification that it drains or is removed", id, r.instance, attempt.Server, first-since)
	}
}

// EffectExecuted records that an effect began at a call server of a pod. A request that the
// pod dropped because of a repeated key has no effect.
func (c *Checker) EffectExecuted(server, pod, id string, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.emit(Event{Kind: KindEffectExecuted, Server: server, Pod: pod, RequestID: id, At: at})
	c.report.Effects++
	r := c.requests[id]
	if r == nil {
		return
	}
	r.effects++
	if r.effects == 1 {
		r.firstPod, r.firstEffectAt = pod, at
	} else if r.effect != Idempotent {
		c.violate(&c.report.ExecutedTwice, "%s: executed at pod %s and %v later at %s (pod %s)", id, r.firstPod, at-r.firstEffectAt, server, pod)
	}
	if r.answered && r.outcome == Rejected && r.effect != Idempotent {
		c.violate(&c.report.RejectedAfterExecution, "%s: executed at %s after it was rejected", id, server)
	}
}

// InFlight returns the number of requests that are neither answered nor ended.
func (c *Checker) InFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, i := range c.instances {
		n += len(i.inFlight)
	}
	return n
}
