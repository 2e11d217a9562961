package balance

import "time"

const (
	hedgeLatencyMultiple = 3.0 // delay of a hedged request, as a multiple of the expected latency of the attempt
	hedgeMinShare        = 0.3 // minimum delay of a hedged request, as a share of the remaining time
	hedgeJitterFrom      = 0.9 // lower bound of the random factor by which the delay is multiplied
	hedgeJitterSpan      = 0.2 // width of the range of that factor
)

// scheduleHedge schedules the hedged request for an attempt that was just sent. The delay grows with the mean
// latency, so that only attempts that are slow compared with others of their class are hedged. In an overload all
// attempts are slow, and hedging all of them would add to the load.
func (b *Balancer) scheduleHedge(a *attempt, now time.Duration) {
	r := a.request
	left := float64(r.answerDeadline - now)
	if objective := float64(r.class.LatencyObjective); objective > 0 && objective < left {
		left = objective
	}
	if delay := max(hedgeMinShare*left, hedgeLatencyMultiple*a.expectedLatency); delay < left {
		b.schedule(now+time.Duration(delay*(hedgeJitterFrom+float64(hedgeJitterSpan*b.rng.Float64()))), timerHedge, r, a.number)
	}
}

// hedge sends a hedged request if the given attempt is the only one in flight and no resend is pending. The hedged
// request counts against the retry budget.
func (b *Balancer) hedge(r *request, now time.Duration, number int) {
	if !r.attempts[number].finished && r.inFlight == 1 && !r.resendPending {
		b.send(r, now)
	}
}
