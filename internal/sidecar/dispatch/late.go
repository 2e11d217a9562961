package dispatch

import (
	"log/slog"
	"time"

	"otterspring/internal/logging"
)

// lateTolerance allows for the delay of sockets: an answer counts as late only if its writing
// begins more than lateTolerance after the deadline.
const lateTolerance = 50 * time.Millisecond

// lateCause names the step that made an answer late. It is logged under the key "reason".
type lateCause string

const (
	notLate       lateCause = ""
	decidedLate   lateCause = "decided late"                  // no result was set in time, because the process was not scheduled
	deliveredLate lateCause = "decided in time, written late" // the proxy's goroutine was not scheduled or waited for a lock
	submittedLate lateCause = "submitted after its deadline"
)

// timing holds three times of a request on the balancer's clock: when the request is
// submitted, when its deadline passes and when its result is set.
type timing struct {
	submittedAt, deadline, decidedAt time.Duration
}

// cause returns the reason why an answer whose writing begins now is late, or notLate.
func (t *timing) cause(now time.Duration) lateCause {
	latest := t.deadline + lateTolerance
	switch {
	case now <= latest:
		return notLate
	case t.submittedAt > latest:
		return submittedLate
	case t.decidedAt > latest:
		return decidedLate
	}
	return deliveredLate
}

// RecordAnswerStart records that a proxy of the given protocol begins to write a request's
// answer. If the deadline of the request has passed by more than lateTolerance,
// RecordAnswerStart logs a warning with the step that was late. It must be called after Done
// is closed, at most once for each request.
func (d *Dispatcher) RecordAnswerStart(request *Request, protocol string) {
	now := d.now()
	cause := request.timing.cause(now)
	if cause == notLate {
		return
	}
	t := request.timing
	slog.Warn("answer begins after its deadline", "protocol", protocol, "duration", now-t.deadline, "reason", string(cause),
		"decided_after", t.decidedAt-t.submittedAt, "time_limit", t.deadline-t.submittedAt, logging.RateLimitAttrKey, "late answer "+string(cause))
}
