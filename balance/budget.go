package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// budget is the retry budget: over a sliding window, retries stay under the
// larger of a percentage of the first attempts and a floor. Second copies draw
// on it too.
type budget struct {
	firsts, retries []time.Duration // times of the events within the window, oldest first
}

// slide forgets what left the window; an event exactly a window old has left.
func slide(times []time.Duration, now time.Duration) []time.Duration {
	n, _ := slices.BinarySearch(times, now-budgetWindow+1)
	return slices.Delete(times, 0, n)
}

// first counts a request's first attempt.
func (b *budget) first(now time.Duration) { b.firsts = append(slide(b.firsts, now), now) }

// recent returns the first attempts of the window.
func (b *budget) recent(now time.Duration) int {
	b.firsts = slide(b.firsts, now)
	return len(b.firsts)
}

// allows tells whether one more retry may leave now.
func (b *budget) allows(now time.Duration) bool {
	b.retries = slide(b.retries, now)
	return float64(len(b.retries)) < max(budgetPercent/100*float64(b.recent(now)), budgetFloor)
}

// spend counts a retry that leaves.
func (b *budget) spend(now time.Duration) { b.retries = append(b.retries, now) }

// pause draws the jittered wait before retry n (from 0), longer each time.
func pause(rng *rand.Rand, n int) time.Duration {
	return time.Duration(float64(pauseBase<<min(n, 6)) * (1 - pauseJitter + 2*pauseJitter*rng.Float64()))
}

// learnOverload moves the share of requests to refuse by how one that was sent
// ended: up when late, down when in time. It rests where the steps balance;
// with less trouble than that nothing is refused. A balancer that sends little
// takes longer steps: hundreds of quiet ones that learn slowly overload the
// servers together.
func (b *Balancer) learnOverload(now time.Duration, step float64) {
	fast := min(shedFast, max(1, shedSent/float64(b.budget.recent(now)+1)))
	b.overload = min(shedMost, max(0, b.overload+step*fast))
}

// shed tells whether to refuse a request before it is sent. In an overload
// servers work on what nobody waits for any more; refusing the excess at once
// leaves the rest in time. The dearer by work a class is, the later it goes.
func (b *Balancer) shed(r *request) bool {
	if over := b.overShare(r); over > 1 && b.served < scarce && b.rng.Float64() < 1-1/over {
		return true
	}
	return b.overload > 0 && b.rng.Float64() < math.Pow(b.overload, b.density(r))
}

// density is the worth of a class over the mean of all.
func (b *Balancer) density(r *request) float64 {
	if b.worthSum == 0 {
		return 1
	}
	return min(2, max(0.5, r.class.PriorityWeight*float64(len(b.classes))/b.worthSum))
}

// overShare counts a request for its tenant and returns how many times its
// fair part of this balancer's traffic the tenant sends, against the others and
// their agreed rates. While servers are scarce, what is above the share is
// worth little and crowds out the rest. Repeats are not counted.
func (b *Balancer) overShare(r *request) float64 {
	at, known := b.tenantAt[r.Tenant]
	if !known || b.set.OverQuotaWeight >= 1 {
		return 1
	}
	if !r.IsRetry {
		for i := range b.tenantRate {
			b.tenantRate[i] *= 1 - tenantWeight
		}
		b.tenantRate[at] += tenantWeight
	}
	quota := b.set.Tenants[at].Quota / b.quotaSum
	mine := b.tenantRate[at] + tenantPrior*quota
	rest := 1 + tenantPrior - mine
	return mine / quota * (1 - quota) / rest / overSlack
}

// setTenants prepares the tenants with an agreed rate, each at its fair part.
func (b *Balancer) setTenants(tenants []Tenant) {
	b.set.Tenants, b.quotaSum = slices.Clone(tenants), 0
	clear(b.tenantAt)
	for i, t := range b.set.Tenants {
		if t.Quota > 0 {
			b.tenantAt[t.Name] = i
			b.quotaSum += t.Quota
		}
	}
	if len(b.tenantAt) < 2 {
		clear(b.tenantAt)
	}
	b.tenantRate = make([]float64, len(b.set.Tenants))
	for _, i := range b.tenantAt {
		b.tenantRate[i] = b.set.Tenants[i].Quota / b.quotaSum
	}
}
