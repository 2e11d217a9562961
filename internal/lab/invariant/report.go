package invariant

import (
	"fmt"
	"slices"
	"time"
)

// Report is the result of the checks: counts, and descriptions of the first violations.
type Report struct {
	Requests, Served, Rejected, Failed int

	Unanswered             int // requests whose client stopped waiting, at its deadline or before
	InFlightAtKill         int // requests in flight at a sidecar that was killed; the client retries them
	Resent                 int // requests sent again because the connection was closed while the request was on its way
	Dropped                int // rule 1: accepted requests whose connection ended without a complete response
	Late                   int // rule 1: requests answered or abandoned after the deadline
	Forged                 int // rule 1: requests served with a response that no call server produced for them
	SentAfterAnswer        int // rule 1: attempts sent, or answers received, after the final answer to their request
	ExecutedTwice          int // rule 2: repeated executions of an effect that may be executed only once
	RejectedAfterExecution int // rule 2: requests that were rejected although their effect was executed
	SentToDraining         int // rule 3: attempts sent to a server after the notification that the server drains
	Overloaded             int // rule 4: incarnations of servers that were overloaded while they warmed up
	Inconclusive           int // time limits that passed while the reporting process was suspended
	Effects                int // executed effects
	Untracked              int // requests beyond MaxRequests
	// OverloadedUnnotified counts attempts beyond the overload limit of a server that was
	// warming up, if less than two thirds of the work came from instances notified of the
	// server's start.
	OverloadedUnnotified int
	// Ambiguous counts requests that were executed but not served and are not idempotent. A
	// retry by the client would execute them twice.
	Ambiguous        int
	RemovalsNotified int // notifications that a server must not be used any more

	// WarmupPeakLoad is the largest amount of work that a server received within
	// OverloadWindow while the server warmed up, as a fraction of the server's overload limit.
	WarmupPeakLoad float64
	// WarmupPeakCalls is the largest number of calls that a server received within
	// OverloadWindow while the server warmed up, as a fraction of N + 2 sqrt N + 2. N is the
	// number of calls of mean work that reach the server's overload limit. The other terms allow
	// for random variation. A window counts only if at least two thirds of its calls came from
	// instances notified of the server's start.
	WarmupPeakCalls float64

	// Violations describes the first violations. A text that concerns one request begins with
	// the ID of the request and a colon.
	Violations          []string
	InconclusiveDetails []string // describes the first violations that Inconclusive counts
}

// violation is the description of one violation.
type violation struct {
	text    string
	dropped *request // the dropped request; nil for a violation of another kind
}

// Violated tells whether a rule was violated.
func (r *Report) Violated() bool {
	return r.Dropped+r.Late+r.Forged+r.SentAfterAnswer+r.ExecutedTwice+r.RejectedAfterExecution+r.SentToDraining+r.Overloaded > 0
}

// Summary returns the counts in the form key=value. Scripts read the keys.
func (r *Report) Summary() string {
	return fmt.Sprintf("asked=%d served=%d refused=%d failed=%d noanswer=%d held=%d lost=%d late=%d forged=%d after=%d twice=%d untrue=%d late_sends=%d tipped=%d",
		r.Requests, r.Served, r.Rejected, r.Failed, r.Unanswered, r.InFlightAtKill, r.Dropped, r.Late, r.Forged, r.SentAfterAnswer, r.ExecutedTwice, r.RejectedAfterExecution, r.SentToDraining, r.Overloaded)
}

// Report returns the result so far. A request that is still in flight after its deadline
// counts as dropped.
func (c *Checker) Report() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	report := c.report
	for _, v := range c.violations {
		report.Violations = append(report.Violations, v.text)
	}
	now := c.Now()
	for _, i := range c.instances {
		for id, r := range i.inFlight {
			if now <= r.deadline+c.rules.Tolerance {
				continue
			}
			report.Dropped++
			if len(report.Violations) < maxDetails {
				report.Violations = append(report.Violations, id+": neither answered nor ended")
			}
		}
	}
	return report
}

// violate counts a violation and records its description.
func (c *Checker) violate(count *int, format string, args ...any) {
	*count++
	if len(c.violations) < maxDetails {
		c.violations = append(c.violations, violation{text: fmt.Sprintf(format, args...)})
	}
}

// violateDropped counts a dropped request and records its description.
func (c *Checker) violateDropped(id string, r *request) {
	c.report.Dropped++
	if len(c.violations) < maxDetails {
		text := fmt.Sprintf("%s: forwarded by %s, and its connection ended without a complete response", id, r.instance)
		c.violations = append(c.violations, violation{text: text, dropped: r})
	}
}

// retractDropped withdraws the violation for a dropped request that was in flight at a kill.
func (c *Checker) retractDropped(r *request) {
	c.report.Dropped--
	c.report.InFlightAtKill++
	c.violations = slices.DeleteFunc(c.violations, func(v violation) bool { return v.dropped == r })
}

// checkLimit counts a violation if the time "at" is after the limit by more than the tolerance.
// The excess is the part beyond the tolerance. A suspension of the reporting process in the second
// before "at" may have delayed the report of the event. If the suspension was at least as long as
// the excess, the violation is inconclusive.
func (c *Checker) checkLimit(count *int, limit, at time.Duration, format string, args ...any) {
	excess := at - limit - c.rules.Tolerance
	switch {
	case excess <= 0:
	case excess <= c.longestSuspension(at-time.Second, at):
		c.report.Inconclusive++
		if len(c.report.InconclusiveDetails) < maxDetails {
			c.report.InconclusiveDetails = append(c.report.InconclusiveDetails, fmt.Sprintf(format, args...))
		}
	default:
		c.violate(count, format, args...)
	}
}
