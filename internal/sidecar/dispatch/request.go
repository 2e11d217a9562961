package dispatch

import (
	"time"

	"otterspring/balance"
)

// Request is one request of a client. It exists from the arrival of its last byte until it
// is answered and all its attempts have ended. A proxy sets the exported fields except
// Result, and reads Result once Done is closed. The other fields are guarded by the
// dispatcher's lock.
type Request struct {
	ID     string
	Native NativeRequest
	Body   *Body          // nil for a request without a body
	Conn   DeadlineSetter // connection on which the proxy waits; its reads are interrupted when the request is answered
	Done   chan struct{}  // closed by the dispatcher once Result is set

	Result Result

	attempts []*Attempt // all attempts, in the order of their numbers
	inFlight int        // number of attempts that have not ended
	answered bool       // also set when the client has disconnected
	timing   timing     // complete once Done is closed

	ending      int           // number of attempts that have ended and whose goroutine still runs
	endingsOver chan struct{} // closed when ending becomes 0; nil while nobody waits
}

// NativeRequest is a request in the representation of its proxy's protocol. An Upstream of
// the same protocol may use the concrete type and forward its contents. An Upstream of another
// protocol uses the protocol-neutral form.
type NativeRequest interface{ Neutral() Message }

// Message is the protocol-neutral form of a request. It contains no idempotency, because
// idempotency depends on the class. It contains no deadline, because each attempt has its own
// deadline.
type Message struct {
	Target         string // path and query, escaped as in HTTP, with a leading /
	ID             string
	IdempotencyKey string // empty for none
	Tenant         string // empty for none
	AffinityKey    string // empty for none
	ContentType    string // empty for none
	Safe           bool   // a GET, without a body
	IsRetry        bool   // whether the client sent the request as a retry of a failed request
}

// Result is the final answer for a client: an upstream's response, a rejection or a
// failure.
type Result struct {
	Kind       balance.ActionKind // one of Send (the response of an upstream), Reject and Fail
	RetryAfter time.Duration      // Retry-After of a rejection, 0 for none
	Response   Response           // set for Send only
}

// Submit passes a request to the balancer. attributes.Deadline is relative to the current
// time. Submit returns false and does nothing if the request's ID is in use or if an attempt with
// it was sent recently. The balancer would ignore a request whose ID is in use and never answer
// it. A request that was sent before would be executed a second time.
func (d *Dispatcher) Submit(request *Request, attributes balance.Request) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.requests[request.ID] != nil || d.recentIDs.contains(request.ID) {
		return false
	}
	d.requests[request.ID] = request
	now := d.now()
	attributes.Deadline += now
	request.timing = timing{submittedAt: now, deadline: attributes.Deadline}
	d.perform(d.balancer.Request(now, attributes, d.actions[:0]))
	return true
}

// ClientDisconnected ends a request whose client no longer waits for the answer. It does
// nothing if the request is already answered.
func (d *Dispatcher) ClientDisconnected(request *Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !request.answered {
		request.answered = true
		d.perform(d.balancer.Disconnected(d.now(), request.ID, d.actions[:0]))
		d.abandonUnwritten(request)
		d.perform(d.actions[:0])
		d.removeIfFinished(request)
	}
}

// AwaitEndings waits until the goroutines of the request's ended attempts have returned. A proxy
// that calls it before it reads the next request of a connection bounds the number of these
// goroutines by that of its connections. An ended attempt is interrupted, so that the wait is
// short. Attempts that have not ended are not waited for.
func (d *Dispatcher) AwaitEndings(request *Request) {
	d.mu.Lock()
	if request.ending == 0 {
		d.mu.Unlock()
		return
	}
	over := make(chan struct{})
	request.endingsOver = over
	d.mu.Unlock()
	<-over
}

// AnswerPending gives every unanswered request its final answer immediately and returns
// their number. The balancer decides whether a request is rejected as safe to retry.
func (d *Dispatcher) AnswerPending() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	pending := 0
	for _, request := range d.requests {
		if !request.answered {
			pending++
		}
	}
	d.perform(d.balancer.Timer(d.now(), balance.Shutdown, d.actions[:0]))
	return pending
}

// answer sets a request's result and wakes the proxy's goroutine. The caller holds the
// lock.
func (d *Dispatcher) answer(request *Request, result Result) {
	if request == nil || request.answered {
		return
	}
	request.answered, request.Result = true, result
	request.timing.decidedAt = d.now()
	close(request.Done)
	interruptRead(request.Conn)
	d.abandonUnwritten(request)
	d.removeIfFinished(request)
}

// abandonUnwritten ends the uncommitted attempts of an answered request, so that no server
// starts work whose result nobody waits for. The balancer's Cancel actions are not sufficient
// for this, because they are sent only if the setting CanCancel is set, and CanCancel is about
// work that has begun. The caller holds the lock and calls perform afterwards, which reports
// the attempts to the balancer.
func (d *Dispatcher) abandonUnwritten(request *Request) {
	for _, attempt := range request.attempts {
		if !attempt.ended && !attempt.committed {
			d.endAttempt(attempt, balance.NeverSent)
			d.unreported = append(d.unreported, attempt)
		}
	}
}

// removeIfFinished removes a request that is answered and has no attempt in flight. The ID of
// the request is in use until then. The caller holds the lock.
func (d *Dispatcher) removeIfFinished(request *Request) {
	if request.answered && request.inFlight == 0 {
		delete(d.requests, request.ID)
	}
}
