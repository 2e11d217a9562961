package balance

import "time"

const (
	warmUpMargin      = 0.5                    // load offered to a warming-up server, as a share of the load at which it fails
	maxReadyPerWarm   = 4.0                    // upper bound of the ratio of ready to warm servers in pickWarmingUp
	warmCountInterval = 500 * time.Millisecond // interval at which the warm servers are counted
)

// assuredCapacity returns the minimum capacity of a server as a share of its full capacity. The share rises
// linearly from InitialCapacity at the start of the server to 1 after WarmUpTime.
func (b *Balancer) assuredCapacity(s *server, now time.Duration) float64 {
	if s.StartTime <= 0 || b.settings.WarmUpTime <= 0 || now-s.StartTime >= b.settings.WarmUpTime {
		return 1
	}
	age := max(0, float64(now-s.StartTime)/float64(b.settings.WarmUpTime))
	return b.settings.InitialCapacity + float64((1-b.settings.InitialCapacity)*age)
}

// pickWarmingUp returns a server that is warming up, or nil. It draws one server for each request, uniformly from
// the whole ready list, and draws none for further attempts of the request. If the drawn server is warming up, it
// is accepted with a probability proportional to three factors: its assured capacity, the throughput of its kind of
// machine and the recent load of a warm server.
//
// All balancers together thereby offer a warming-up server a safe multiple of its assured capacity. This holds even
// with a hot key, with many client retries in an overload, while most servers of an enlarged fleet are warming up,
// and if the server's kind of machine is slower than the others.
//
// While no server is warm, the last recorded load of a warm server is used instead. The load offered to one server
// is then limited to the even share that each warm server had when the load was recorded. While no server is warm,
// the result for a retry by the client is nil.
func (b *Balancer) pickWarmingUp(r *request, now time.Duration) *server {
	if len(r.attempts) > 0 || r.warmUpDrawn || len(b.ready) == 0 {
		return nil
	}
	r.warmUpDrawn = true
	warmLoad, n := 0.0, float64(len(b.ready))
	if warm := float64(b.countWarm(now)); warm > 0 {
		warmLoad = b.servedByWarm * min(maxReadyPerWarm, n/warm)
		b.previousWarmLoad, b.previousWarmCount = min(warmLoad, 1), warm
	} else if !r.IsRetry {
		warmLoad = b.previousWarmLoad * min(1, n/b.previousWarmCount)
	}
	s := b.ready[b.rng.IntN(len(b.ready))]
	c := b.assuredCapacity(s, now)
	if c >= 1 || !b.eligible(r, s, now) || b.rng.Float64() >= c*warmUpMargin*max(b.settings.WarmUpOverloadMultiple, 1)*warmLoad*b.kindThroughput(s) {
		return nil
	}
	return s
}

// countWarm returns the number of ready servers that are warm and not ejected. It counts these servers again once
// per warmCountInterval. At the same time it counts, for each kind of machine, the servers of this kind that are
// warm, not ejected and within the sampled subset.
func (b *Balancer) countWarm(now time.Duration) int {
	if now < b.nextWarmCount {
		return b.warmCount
	}
	b.warmCount, b.sampledWarmCount, b.nextWarmCount = 0, 0, now+warmCountInterval
	for _, kind := range b.machineKinds {
		kind.warm = 0
	}
	sampled := b.subsetSize(now)
	if b.settings.KeyAffinity {
		sampled = len(b.ready)
	}
	for i, s := range b.ready {
		if b.assuredCapacity(s, now) < 1 || s.ejectedUntil > now {
			continue
		}
		b.warmCount++
		if i < sampled {
			b.sampledWarmCount++
			b.machineKind(s.MachineKind).warm++
		}
	}
	return b.warmCount
}
