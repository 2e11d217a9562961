package balance

import (
	"math/rand/v2"
	"time"
)

const (
	backoffBase       = 6 * time.Millisecond // mean backoff delay before the first retry; doubles with each further retry
	backoffJitter     = 0.5                  // maximum deviation of a delay from the mean, as a share of the mean; delays are uniformly distributed
	backoffMaxDoubles = 6
)

// backoff returns the jittered delay before a retry. n is the number of earlier retries of the request. It is 0 for
// the first retry.
func backoff(rng *rand.Rand, n int) time.Duration {
	return time.Duration(float64(backoffBase<<min(n, backoffMaxDoubles)) * (1 - backoffJitter + float64(2*backoffJitter*rng.Float64())))
}

// retry schedules the next attempt after a failure, with a backoff delay. If the retry budget is exhausted, the
// request is abandoned.
func (b *Balancer) retry(r *request, now time.Duration) {
	wait := backoff(b.rng, r.retryCount)
	if !b.mayRetry(r, now+wait) || !b.budget.allowsRetry(now) {
		b.abandon(r, now)
		return
	}
	r.retryCount++
	r.resendPending = true
	b.schedule(now+wait, timerResend, r, 0)
}

// mayRetry reports whether the idempotency of the request and its limits permit another attempt.
func (b *Balancer) mayRetry(r *request, now time.Duration) bool {
	switch {
	case r.answered || len(r.attempts) >= b.settings.MaxAttempts || now >= r.answerDeadline:
		return false
	case r.inFlight > 0 && (!b.settings.CanHedge || r.inFlight > 1):
		return false
	case r.maybeExecuted == nil || r.class.Idempotency == Idempotent:
		return true
	}
	return r.class.Idempotency == IdempotentWithKey && now < r.maybeExecuted.sentAt+r.class.DedupWindow
}
