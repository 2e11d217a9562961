package dispatch

import (
	"time"

	"otterspring/balance"
)

// PastDeadline is a deadline that interrupts a blocked read or write at once.
var PastDeadline = time.Unix(1, 0)

// DeadlineSetter is what an attempt or a proxy waits on, for example a net.Conn. The
// methods are called under the dispatcher's lock and must not block.
type DeadlineSetter interface {
	SetDeadline(time.Time) error
	SetReadDeadline(time.Time) error
}

// interrupt ends a blocked read or write. Setting a deadline fails only on a closed
// connection, on which nothing is blocked.
func interrupt(conn DeadlineSetter) { _ = conn.SetDeadline(PastDeadline) }

// interruptRead ends a blocked read. See interrupt for the error.
func interruptRead(conn DeadlineSetter) { _ = conn.SetReadDeadline(PastDeadline) }

// Response is an upstream's response to a request.
type Response interface {
	Body() []byte
	ContentType() []byte // empty for none
	Release()            // the response must not be used afterwards
}

// Upstream sends attempts to one server at one address since one start, over some
// protocol. A server that moved or restarted gets another Upstream.
type Upstream interface {
	// Run carries out an attempt and reports its end with Finish. It is called in a
	// separate goroutine and returns soon after the dispatcher has ended the attempt,
	// which interrupts its connection.
	Run(attempt *Attempt)
	// CloseIdle closes the connections without an attempt.
	CloseIdle()
	// Retire does the same, and no connection is cached from then on.
	Retire()
}

// Attempt is one attempt to have a request answered by an upstream. Its Upstream calls
// Attach when it has a connection, Commit before the last byte and Finish at the end,
// in this order.
type Attempt struct {
	Request    *Request
	dispatcher *Dispatcher
	upstream   Upstream
	number     int

	// On the balancer's clock.
	startedAt    time.Duration
	deadline     time.Duration
	sendDeadline time.Duration // the last byte is written before, or never

	// Guarded by the dispatcher's lock.
	index      int            // in Dispatcher.attempts
	conn       DeadlineSetter // nil while there is no connection
	cancelDial func()         // nil while no dial is in progress
	committed  bool           // the last byte may be written
	ended      bool
	status     balance.Status // once ended
}

// startAttempt adds an attempt to a request and runs it. The caller holds the lock.
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
	if server == nil { // can't happen: the balancer picks from the list
		d.endAttempt(attempt, balance.NeverSent)
		d.unreported = append(d.unreported, attempt)
		return
	}
	attempt.upstream = server.upstream
	request.Body.Retain()
	go attempt.run()
}

func (a *Attempt) run() {
	defer a.Request.Body.Release()
	a.upstream.Run(a)
}

// expireAttempts ends the attempts whose deadline has passed. An attempt's deadline
// passes together with its request's, and the balancer must be notified of the timeout
// first: if it cancelled the attempt, an unresponsive server would never be noticed. The
// caller holds the lock.
func (d *Dispatcher) expireAttempts(now time.Duration) {
	for i := 0; i < len(d.attempts); {
		attempt := d.attempts[i]
		if attempt.deadline > now {
			i++
			continue
		}
		d.endAttempt(attempt, attempt.timeoutStatus(now))
		d.reportOutcome(attempt, now, now-attempt.startedAt)
		i = 0 // the report may have added and ended others
	}
}

// timeoutStatus is the status of an attempt whose deadline has passed. One that had
// too little time to connect says nothing about its server.
func (a *Attempt) timeoutStatus(now time.Duration) balance.Status {
	switch {
	case a.committed:
		return balance.Timeout
	case now-a.startedAt >= a.dispatcher.settings.DialTimeout:
		return balance.ConnectFailed
	}
	return balance.NeverSent
}

// endAttempt marks an attempt as ended and wakes its goroutine, which closes its
// connection. The caller holds the lock.
func (d *Dispatcher) endAttempt(attempt *Attempt, status balance.Status) {
	attempt.ended, attempt.status = true, status
	attempt.Request.inFlight--
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

// outcome is what the balancer is notified of when an attempt has ended.
func (a *Attempt) outcome(took time.Duration) balance.Outcome {
	return balance.Outcome{Request: a.Request.ID, Number: a.number, Status: a.status, Took: took, Final: a.Request.answered || a.status == balance.OK}
}

// reportOutcome notifies the balancer of an attempt's end and carries out what it
// decides. The caller holds the lock.
func (d *Dispatcher) reportOutcome(attempt *Attempt, now, took time.Duration) {
	d.perform(d.balancer.Outcome(now, attempt.outcome(took), d.actions[:0]))
	d.removeIfFinished(attempt.Request)
}

// Finish reports the end of an attempt. It returns false if the dispatcher had ended
// the attempt before: its connection must not be used again then, and the response is
// still the caller's to release.
func (a *Attempt) Finish(status balance.Status, response Response) bool {
	dispatcher := a.dispatcher
	dispatcher.mu.Lock()
	defer dispatcher.mu.Unlock()
	if a.ended {
		return false
	}
	a.conn = nil
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

// SetDialCancel registers how to cancel the attempt's dial. It returns false if the
// attempt has ended. cancel is called under the dispatcher's lock and must not block.
func (a *Attempt) SetDialCancel(cancel func()) bool {
	a.dispatcher.mu.Lock()
	defer a.dispatcher.mu.Unlock()
	a.cancelDial = cancel
	return !a.ended
}

// Attach registers the connection that the attempt is about to use. It returns the
// time until the attempt's deadline, and false if the attempt has ended: nothing may
// be written then. The last byte may only be written after Commit.
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

// Commit is called before the attempt's last byte is written: from then on the server
// may execute the request. It removes the limit of SetReadTimeout. It returns false if
// the attempt has ended or is ended here, because connecting and writing have used up
// the time for which the attempt was decided. A retry with an idempotency key that
// arrives later would be executed a second time.
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
	_ = a.conn.SetReadDeadline(time.Time{}) // fails only on a closed connection, whose next read reports that
	return true
}

// SetReadTimeout limits the next read on the attached connection. It returns false if
// the attempt has ended; the deadline that interrupts it stays then.
func (a *Attempt) SetReadTimeout(timeout time.Duration) bool {
	a.dispatcher.mu.Lock()
	defer a.dispatcher.mu.Unlock()
	if a.ended {
		return false
	}
	_ = a.conn.SetReadDeadline(time.Now().Add(timeout)) // fails only on a closed connection, whose next read reports that
	return true
}
