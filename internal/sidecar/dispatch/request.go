package dispatch

import (
	"time"

	"otterspring/balance"
)

// Request is one request of a client, from its last byte until it is answered and all
// its attempts have ended. A proxy fills in the exported fields but Result, and reads
// Result once Done is closed. The other fields are guarded by the dispatcher's lock.
type Request struct {
	ID     string
	Native NativeRequest
	Body   *Body          // nil for none
	Conn   DeadlineSetter // its reads are interrupted when the request is answered
	Done   chan struct{}  // closed by the dispatcher when Result is set

	Result Result

	attempts []*Attempt // by number
	inFlight int        // how many of them have not ended
	answered bool       // also when the client has disconnected
	timing   timing     // complete once Done is closed
}

// NativeRequest is a request as its proxy received it. An Upstream with the same
// protocol may know the type and forward what it holds; any other uses Neutral.
type NativeRequest interface{ Neutral() Message }

// Message is a request in the terms of no protocol. Whether it is idempotent follows
// from its class, and each attempt has its own deadline.
type Message struct {
	Target         string // path and query, escaped as in HTTP; it begins with /
	ID             string
	IdempotencyKey string // empty for none
	Tenant         string // empty for none
	AffinityKey    string // empty for none
	ContentType    string // empty for none
	Safe           bool   // a GET, without a body
	IsRetry        bool   // the client's own retry
}

// Result is what a client gets: an upstream's response, a rejection or a failure.
type Result struct {
	Kind       balance.ActionKind // Send for an upstream's response, Refuse or Fail
	RetryAfter time.Duration      // advice with a rejection, 0 for none
	Response   Response           // only with Send
}

// Submit passes a request to the balancer. attributes.Deadline is relative to now. It
// returns false, and does nothing, if the request's ID is in use or was used recently:
// the balancer would ignore the former without an answer and run the latter twice.
func (d *Dispatcher) Submit(request *Request, attributes balance.Request) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.requests[request.ID] != nil || !d.recentIDs.add(request.ID) {
		return false
	}
	d.requests[request.ID] = request
	now := d.now()
	attributes.Deadline += now
	request.timing = timing{submittedAt: now, deadline: attributes.Deadline}
	d.perform(d.balancer.Request(now, attributes, d.actions[:0]))
	return true
}

// ClientDisconnected ends a request whose client does not wait for the answer any
// more. It does nothing once the request is answered.
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

// AnswerPending gives every unanswered request its final answer at once and returns
// how many there were. Whether a retry is provably harmless is the balancer's decision.
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

// answer sets a request's result and wakes its proxy's goroutine. The caller holds the lock.
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

// abandonUnwritten ends the attempts of an answered request whose last byte is not
// written: nobody waits for them, and none may begin any more. The balancer cancels
// attempts only where its settings allow that, which is about work that has begun. The
// caller calls perform afterwards, which reports them. The caller holds the lock.
func (d *Dispatcher) abandonUnwritten(request *Request) {
	for _, attempt := range request.attempts {
		if !attempt.ended && !attempt.committed {
			d.endAttempt(attempt, balance.NeverSent)
			d.unreported = append(d.unreported, attempt)
		}
	}
}

// removeIfFinished removes a request that is answered and has no attempt in flight.
// Its ID is reserved until then. The caller holds the lock.
func (d *Dispatcher) removeIfFinished(request *Request) {
	if request.answered && request.inFlight == 0 {
		delete(d.requests, request.ID)
	}
}
