package balance

import (
	"cmp"
	"slices"
	"time"
)

// mix spreads the bits of a hash.
func mix(h uint64) uint64 {
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}

// hashString is 64-bit FNV-1a, mixed. It is the same in every balancer, so
// that all of them send a key to the same servers.
func hashString(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(s); i++ {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return mix(h)
}

// ringPoint is one point of a server on the key ring.
type ringPoint struct {
	hash   uint64
	server *server
}

// ring orders the servers for each key, alike in all balancers.
type ring struct{ points []ringPoint }

// add merges new points into the ring.
func (r *ring) add(more []ringPoint) {
	if len(more) == 0 {
		return
	}
	r.points = append(r.points, more...)
	slices.SortFunc(r.points, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
}

// find returns the first of the distinct servers after a key's place that ok
// accepts, looking at a bounded stretch of the ring.
func (r *ring) find(key uint64, ok func(*server) bool) *server {
	if len(r.points) == 0 {
		return nil
	}
	at, _ := slices.BinarySearchFunc(r.points, key, func(p ringPoint, k uint64) int { return cmp.Compare(p.hash, k) })
	var seen [64]*server
	found := 0
	for i := 0; i < min(len(r.points), 128) && found < len(seen); i++ {
		s := r.points[(at+i)%len(r.points)].server
		if slices.Contains(seen[:found], s) {
			continue
		}
		if ok(s) {
			return s
		}
		seen[found] = s
		found++
	}
	return nil
}

// usable tells whether a server can take an attempt of r now.
func (b *Balancer) usable(r *request, s *server, now time.Duration) bool {
	tried := func(a *attempt) bool { return a.server == s && a.status != AtCapacity && a.status != NeverSent }
	if s.State != Ready || s.until > now || s.outs > 0 && s.trial || slices.ContainsFunc(r.attempts, tried) {
		return false
	}
	// Rule 2: once a keyed request may have run, only its group drops a repeat.
	return r.anchor == nil || sameGroup(r.class.DedupScope, s, r.anchor.server)
}

// sameGroup tells whether two servers drop each other's repeats.
func sameGroup(g DedupScope, a, b *server) bool {
	return g == ScopeAll || g == ScopeZone && a.Zone == b.Zone || g == ScopeCell && a.Cell == b.Cell
}

// pick takes the better of two sampled servers; nil when there is none.
func (b *Balancer) pick(r *request, now time.Duration) *server {
	first, bias := b.drawCold(r, now), 1.0
	if first == nil {
		first = b.draw(r, now, nil)
		if r.key != 0 {
			bias = homeBias
		}
	}
	if first == nil {
		return nil
	}
	second := b.draw(r, now, first)
	if second == nil || b.cost(first, now) <= bias*b.cost(second, now) {
		return first
	}
	return second
}

// drawCold gives cold servers their chance (rule 4): one even draw over the
// whole list for each request, never for its retries. Its measure is what a
// warm server serves of late, so that all balancers together offer a cold one
// a safe multiple of what it can do for certain: however hot a key is, however
// often they repeat in an overload, and while a grown fleet is mostly cold. With
// all cold the last measure holds, a server's even share at most, not for repeats.
func (b *Balancer) drawCold(r *request, now time.Duration) *server {
	if len(r.attempts) > 0 || r.coldDrawn || len(b.ready) == 0 {
		return nil
	}
	r.coldDrawn = true
	perWarm, n := 0.0, float64(len(b.ready))
	if warm := float64(b.countWarm(now)); warm > 0 {
		perWarm = b.success * min(coldSpread, n/warm)
		b.perWarm, b.warmLast = min(perWarm, 1), warm
	} else if !r.IsRetry {
		perWarm = b.perWarm * min(1, n/b.warmLast)
	}
	s := b.ready[b.rng.IntN(len(b.ready))]
	c := b.certain(s, now)
	if c >= 1 || !b.usable(r, s, now) || b.rng.Float64() >= c*coldMargin*max(b.set.WarmUpOverloadMultiple, 1)*perWarm {
		return nil
	}
	return s
}

// countWarm counts the ready servers that are warm, now and then.
func (b *Balancer) countWarm(now time.Duration) int {
	if now >= b.warmAt {
		b.warm, b.warmAt = 0, now+warmEvery
		for _, s := range b.ready {
			if b.certain(s, now) >= 1 && s.until <= now {
				b.warm++
			}
		}
	}
	return b.warm
}

// draw samples one warm server: from those of the request's key where keys are
// warm, else from the own subset, and from the whole list where that has none.
func (b *Balancer) draw(r *request, now time.Duration, other *server) *server {
	ok := func(s *server) bool {
		return s != other && b.usable(r, s, now) && b.certain(s, now) >= 1
	}
	if b.set.KeyAffinity && r.key != 0 {
		if s := b.drawKey(r, now, ok); s != nil {
			return s
		}
	}
	n := b.subset(now)
	if n == 0 {
		return nil
	}
	// Few may be usable: after these draws, look at each once from there on.
	const draws = 12
	for i, at := 0, 0; i < draws+len(b.ready); i++ {
		if at++; i < draws {
			at = b.rng.IntN(n)
			n = min(n+1, len(b.ready))
		}
		if s := b.ready[at%len(b.ready)]; ok(s) {
			return s
		}
	}
	return nil
}

// drawKey takes, of the first few servers of a request's key, the first to which
// an idle connection is held, else the first of all: a quiet balancer would need a
// new one for nearly every request. One that just answered is known to be there.
func (b *Balancer) drawKey(r *request, now time.Duration, ok func(*server) bool) *server {
	look := max(2, int(keyNear*float64(len(b.ready))))
	var home *server
	linked := b.ring.find(r.key, func(s *server) bool {
		if look == 0 || !ok(s) {
			return false
		}
		look--
		home = cmp.Or(home, s)
		return b.linked(s, now)
	})
	return cmp.Or(linked, home)
}

// linked tells whether an idle connection to a server is held.
func (b *Balancer) linked(s *server, now time.Duration) bool {
	return len(s.idle) > 0 && now-s.idle[len(s.idle)-1] < b.set.IdleTimeout
}

// subset is the number of servers, the first of the ready list, that samples
// come from: as many as this balancer's traffic gives fresh evidence on. A
// quiet balancer on a large list would know next to nothing of each, and would
// hold a connection to every one.
func (b *Balancer) subset(now time.Duration) int {
	rate := float64(b.budget.recent(now)) / budgetWindow.Seconds()
	return min(len(b.ready), max(subsetLeast, int(rate*subsetSpan.Seconds())))
}

// estimate is the smoothed latency ratio of a server, drawn towards the own
// fleet-wide mean (1) the less is known of it.
func (b *Balancer) estimate(s *server, now time.Duration) float64 {
	n := s.fade(now)
	return (s.ratio*n + evidencePrior) / (n + evidencePrior)
}

// cost is a server's expected delay: (own in-flight + 1) x smoothed latency.
// An attempt that is out longer than expected counts as latency at once, so
// that a hung server shows before its time-outs do.
func (b *Balancer) cost(s *server, now time.Duration) float64 {
	ratio := b.estimate(s, now)
	for _, a := range s.out {
		ratio = max(ratio, float64(now-a.sent)/a.expected)
	}
	return float64(len(s.out)+1) * ratio
}

// learnClass takes a latency into the fleet-wide mean of its class.
func (b *Balancer) learnClass(r *request, took time.Duration) {
	c := &b.classStat[r.classAt]
	c.latency = cmp.Or(c.latency, float64(took))
	c.latency += latencyWeight / 2 * (float64(took)/b.workFactor(r) - c.latency)
}

// workFactor is a request's expected latency over its class's mean, by its
// hint. Half of the latency is taken to be waiting, which no hint tells of.
func (b *Balancer) workFactor(r *request) float64 {
	c := &b.classStat[r.classAt]
	if r.work <= 0 || c.work <= 0 {
		return 1
	}
	return 0.5 + 0.5*min(float64(r.work)/c.work, 20)
}

// expect is the latency that an attempt of r is held to have on a mean server.
func (b *Balancer) expect(r *request) float64 {
	if l := b.classStat[r.classAt].latency; l > 0 {
		return max(l*b.workFactor(r), float64(time.Millisecond))
	}
	return max(float64(r.class.LatencyObjective)/4, float64(time.Millisecond))
}
