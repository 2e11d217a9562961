package dispatch

import (
	"time"

	"otterspring/balance"
)

// PastDeadline is a deadline in the past: setting it interrupts a blocked read or write
// immediately.
var PastDeadline = time.Unix(1, 0)

// DeadlineSetter is the connection on which an attempt or a proxy blocks, for example a
// net.Conn. Its methods are called under the dispatcher's lock and must not block.
type DeadlineSetter interface {
	SetDeadline(time.Time) error
	SetReadDeadline(time.Time) error
}

// interrupt unblocks a pending read or write. The error is ignored: setting a deadline
// fails only on a closed connection, on which nothing is blocked.
func interrupt(conn DeadlineSetter) { _ = conn.SetDeadline(PastDeadline) }

// interruptRead unblocks a pending read. The error is ignored: setting a deadline fails only
// on a closed connection, on which nothing is blocked.
func interruptRead(conn DeadlineSetter) { _ = conn.SetReadDeadline(PastDeadline) }

// Response is an upstream's response to a request.
type Response interface {
	Body() []byte
	ContentType() []byte // empty for none
	Release()            // the response must not be used after this call
}

// Upstream sends attempts over one protocol to one incarnation of a server, that is, one
// address and one process start. A server that moves or restarts gets a new Upstream.
type Upstream interface {
	// Run executes an attempt and reports its outcome with Finish. It is called in a
	// separate goroutine and must return soon after the dispatcher has ended the attempt,
	// which interrupts the connection.
	Run(attempt *Attempt)
	// CloseIdle closes the connections that no attempt is using.
	CloseIdle()
	// Retire closes idle connections like CloseIdle and disables connection caching from
	// then on.
	Retire()
}

// Attempt is one attempt to execute a request at an upstream. Its Upstream calls Attach
// once it has a connection, Commit before it writes the last byte and Finish at the end,
// in this order.
type Attempt struct {
	Request    *Request
	dispatcher *Dispatcher
	upstream   Upstream
	number     int

	// Times on the balancer's clock.
	startedAt    time.Duration
	deadline     time.Duration
	sendDeadline time.Duration // the last byte must not be written at or after this time

	// Guarded by the dispatcher's lock.
	index      int            // position in Dispatcher.attempts
	conn       DeadlineSetter // nil while no connection is attached
	cancelDial func()         // nil while no dial is in progress
	committed  bool           // the last byte may have been written
	ended      bool
	running    bool           // the goroutine of Upstream.Run has been started and has not returned
	status     balance.Status // valid once ended is set
}

// startAttempt adds an attempt to a request and starts it. The caller holds the lock.
func (d *Dispatcher) startAttempt(request *Request, action *balance.Action) {
	now := d.now()
	attempt := &Attempt{
		dispatcher: d, Request: request, number: len(request.attempts), index: len(d.attempts),
		startedAt: now, deadline: now + action.Wait, sendDeadline: now + action.SendDeadline,
	}
	request.attempts = append(request.attempts, attempt)
	request.inFlight++
	d.attempts = append(d.attempts, attempt)
	server := d.servers[action.Server]
	if server == nil { // unreachable: the balancer only picks listed servers
		d.endAttempt(attempt, balance.NeverSent)
		d.unreported = append(d.unreported, attempt)
		return
	}
	attempt.upstream = server.upstream
	request.Body.Retain()
	attempt.running = true
	go attempt.run()
}

func (a *Attempt) run() {
	defer a.Request.Body.Release()
	defer a.returned()
	a.upstream.Run(a)
}

// returned records that the goroutine of the attempt is about to end.
func (a *Attempt) returned() {
	a.dispatcher.mu.Lock()
	defer a.dispatcher.mu.Unlock()
	a.running = false
	if !a.ended {
		return // unreachable: Run ends with Finish, or after the dispatcher has ended the attempt
	}
	request := a.Request
	request.ending--
	if request.ending == 0 && request.endingsOver != nil {
		close(request.endingsOver)
		request.endingsOver = nil
	}
}

// expireAttempts ends the attempts whose deadline has passed. An attempt and its request
// expire at the same time. The balancer must be notified of the attempt's timeout first. If
// the balancer expired the request first, it would cancel the attempt and never detect an
// unresponsive server. The caller holds the lock.
func (d *Dispatcher) expireAttempts(now time.Duration) {
	for i := 0; i < len(d.attempts); {
		attempt := d.attempts[i]
		if attempt.deadline > now {
			i++
			continue
		}
		d.endAttempt(attempt, attempt.timeoutStatus(now))
		d.reportOutcome(attempt, now, now-attempt.startedAt)
		i = 0 // reporting the outcome may have started and ended other attempts
	}
}

// timeoutStatus returns the status of an attempt whose deadline has passed. An attempt
// that had less than the dial timeout to connect is no evidence against its server.
func (a *Attempt) timeoutStatus(now time.Duration) balance.Status {
	switch {
	case a.committed:
		return balance.Timeout
	case now-a.startedAt >= a.dispatcher.settings.DialTimeout:
		return balance.ConnectFailed
	}
	return balance.NeverSent
}

// endAttempt marks an attempt as ended and interrupts its goroutine, which closes the
// connection. The caller holds the lock.
func (d *Dispatcher) endAttempt(attempt *Attempt, status balance.Status) {
	attempt.ended, attempt.status = true, status
	attempt.Request.inFlight--
	if attempt.running {
		attempt.Request.ending++
	}
	moved := d.attempts[len(d.attempts)-1]
	d.attempts[attempt.index], moved.index = moved, attempt.index
	d.attempts[len(d.attempts)-1] = nil
	d.attempts = d.attempts[:len(d.attempts)-1]
	if attempt.conn != nil {
		interrupt(attempt.conn)
	}
	if attempt.cancelDial != nil {
		attempt.cancelDial()
	}
}

// outcome returns the balancer's event for an attempt that has ended.
func (a *Attempt) outcome(took time.Duration) balance.Outcome {
	return balance.Outcome{Request: a.Request.ID, Number: a.number, Status: a.status, Took: took, Final: a.Request.answered || a.status == balance.OK}
}

// reportOutcome notifies the balancer of an attempt's outcome and performs the resulting
// actions. The caller holds the lock.
func (d *Dispatcher) reportOutcome(attempt *Attempt, now, took time.Duration) {
	d.perform(d.balancer.Outcome(now, attempt.outcome(took), d.actions[:0]))
	d.removeIfFinished(attempt.Request)
}

// Finish reports the outcome of an attempt. It returns false if the dispatcher has already
// ended the attempt. In that case the connection must not be reused, and the caller must
// release the response.
func (a *Attempt) Finish(status balance.Status, response Response) bool {
	dispatcher := a.dispatcher
	dispatcher.mu.Lock()
	defer dispatcher.mu.Unlock()
	if a.ended {
		return false
	}
	a.conn = nil
	if status == balance.OK {
		dispatcher.recentIDs.add(a.Request.ID) // also from an upstream that does not call Commit
	}
	dispatcher.endAttempt(a, status)
	now := dispatcher.now()
	answered := a.Request.answered
	dispatcher.reportOutcome(a, now, now-a.startedAt)
	if status == balance.OK && !answered {
		dispatcher.answer(a.Request, Result{Kind: balance.Send, Response: response})
		dispatcher.perform(dispatcher.actions[:0])
	}
	return true
}

// SetDialCancel registers a function that cancels the attempt's dial. It returns false if
// the attempt has ended. cancel is called under the dispatcher's lock and must not block.
func (a *Attempt) SetDialCancel(cancel func()) bool {
	a.dispatcher.mu.Lock()
	defer a.dispatcher.mu.Unlock()
	a.cancelDial = cancel
	return !a.ended
}

// Attach registers the connection that the attempt is about to use and returns the time
// until the attempt's deadline. It returns false if the attempt has ended. In that case
// nothing may be written. The last byte may only be written after Commit.
func (a *Attempt) Attach(conn DeadlineSetter) (time.Duration, bool) {
	dispatcher := a.dispatcher
	dispatcher.mu.Lock()
	defer dispatcher.mu.Unlock()
	if a.ended {
		return 0, false
	}
	a.cancelDial, a.conn = nil, conn
	return a.deadline - dispatcher.now(), true
}

// Commit must be called before the attempt's last byte is written, because the server may
// execute the request from then on. It clears the timeout set by SetReadTimeout. It
// returns false if the attempt has ended.
//
// If the send deadline has passed while connecting and writing, Commit ends the attempt and
// returns false. Otherwise a retry with an idempotency key could reach the server after the
// deduplication window and be executed a second time.
func (a *Attempt) Commit() bool {
	dispatcher := a.dispatcher
	dispatcher.mu.Lock()
	defer dispatcher.mu.Unlock()
	if a.ended {
		return false
	}
	if now := dispatcher.now(); now >= a.sendDeadline {
		dispatcher.endAttempt(a, balance.NeverSent)
		dispatcher.reportOutcome(a, now, now-a.startedAt)
		return false
	}
	a.committed = true
	dispatcher.recentIDs.add(a.Request.ID)
	_ = a.conn.SetReadDeadline(time.Time{}) // fails only on a closed connection, whose next read returns the error
	return true
}

// SetReadTimeout limits the next read on the attached connection. If the attempt has ended,
// it returns false and does not change the deadline that interrupts the connection.
func (a *Attempt) SetReadTimeout(timeout time.Duration) bool {
	a.dispatcher.mu.Lock()
	defer a.dispatcher.mu.Unlock()
	if a.ended {
		return false
	}
	_ = a.conn.SetReadDeadline(time.Now().Add(timeout)) // fails only on a closed connection, whose next read returns the error
	return true
}
