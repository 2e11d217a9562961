package balance

import (
	"slices"
	"time"
)

const (
	minSubset      = 6               // minimum number of servers from which samples are drawn
	subsetInterval = 2 * time.Second // the subset has as many servers as requests arrive in this interval
	sampleDraws    = 12              // random draws before a linear scan of the ready list

	keyAffinityBias = 2.0 // for a key, the second choice is used only if its expected delay is lower by this factor
)

// pick returns the better of two sampled servers, or nil if none is eligible.
func (b *Balancer) pick(r *request, now time.Duration) *server {
	first, bias := b.pickWarmingUp(r, now), 1.0
	if first == nil {
		first = b.sampleWarm(r, now, nil)
		if r.keyHash != 0 {
			bias = keyAffinityBias
		}
	}
	if first == nil {
		return nil
	}
	second := b.sampleWarm(r, now, first)
	if second == nil || b.expectedDelay(first, now) <= bias*b.expectedDelay(second, now) {
		return first
	}
	return second
}

// sampleWarm samples a warm, eligible server other than the given one, or returns nil. If key affinity is enabled,
// it first searches the servers of the request's key. It then draws from the subset of this balancer. If the subset
// has no such server, it searches the whole ready list.
func (b *Balancer) sampleWarm(r *request, now time.Duration, other *server) *server {
	ok := func(s *server) bool {
		return s != other && b.eligible(r, s, now) && b.assuredCapacity(s, now) >= 1
	}
	if b.settings.KeyAffinity && r.keyHash != 0 {
		if s := b.sampleForKey(r, now, ok); s != nil {
			return s
		}
	}
	n := b.subsetSize(now)
	if n == 0 {
		return nil
	}
	// Random draws may miss the eligible servers if these are few. After sampleDraws draws, the whole ready list is
	// therefore scanned once, after the last drawn position.
	for i, at := 0, 0; i < sampleDraws+len(b.ready); i++ {
		if at++; i < sampleDraws {
			at = b.rng.IntN(n)
			n = min(n+1, len(b.ready))
		}
		if s := b.ready[at%len(b.ready)]; ok(s) {
			return s
		}
	}
	return nil
}

// subsetSize returns the number of servers at the start of the ready list that are sampled. The number is limited
// by the request rate. Otherwise a balancer with little traffic and a large list would have too few latency samples
// of each server, and would hold a connection to every server.
func (b *Balancer) subsetSize(now time.Duration) int {
	rate := float64(b.budget.firstsInWindow(now)) / budgetWindow.Seconds()
	return min(len(b.ready), max(minSubset, int(rate*subsetInterval.Seconds())))
}

// expectedDelay returns (attempts in flight + 1) x smoothed latency ratio. The elapsed time of an attempt in flight
// counts as latency once this time exceeds the expected latency. An unresponsive server is thereby avoided before
// its first timeout.
func (b *Balancer) expectedDelay(s *server, now time.Duration) float64 {
	ratio := b.estimatedRatio(s, now)
	for _, a := range s.inFlight {
		ratio = max(ratio, float64(now-a.sentAt)/a.expectedLatency)
	}
	return float64(len(s.inFlight)+1) * ratio
}

// eligible reports whether an attempt of r may be sent to a server now.
func (b *Balancer) eligible(r *request, s *server, now time.Duration) bool {
	tried := func(a *attempt) bool { return a.server == s && a.status != AtCapacity && a.status != NeverSent }
	if s.State != Ready || s.ejectedUntil > now || s.ejections > 0 && s.trialInFlight || slices.ContainsFunc(r.attempts, tried) {
		return false
	}
	// Once a server may have executed the request, only servers within the same DedupScope as that server recognize
	// a retry.
	return r.maybeExecuted == nil || sameDedupScope(r.class.DedupScope, s, r.maybeExecuted.server)
}

// sameDedupScope reports whether two servers recognize duplicates of each other's requests.
func sameDedupScope(scope DedupScope, a, b *server) bool {
	return scope == ScopeAll || scope == ScopeZone && a.Zone == b.Zone || scope == ScopeCell && a.Cell == b.Cell
}
