package balance

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// ServerState is what the server list says of a server.
type ServerState int

// The states of a server.
const (
	Ready ServerState = iota
	Draining
	Removed
)

// Server is one entry of the server list.
type Server struct {
	ID        string
	Zone      string
	Cell      int
	StartTime time.Duration // latest start; 0 for long ago
	State     ServerState
}

// ListKind says how a list is to be read.
type ListKind int

// The kinds of list.
const (
	ListFull   ListKind = iota // the complete list
	ListCached                 // the complete list as last held, maybe old
	ListDelta                  // changed entries only
	ListFailed                 // a call for the list failed; the old list stays
)

// server is what this balancer knows of one server.
type server struct {
	Server
	hash    uint64
	mark    uint64 // list that last named it
	out     []*attempt
	ratio   float64 // mean of latency over expected latency
	count   float64 // samples behind ratio, fading
	counted time.Duration
	health
	order uint64          // place in the ready list
	idle  []time.Duration // since when each connection to it that is held is idle, latest last
}

// health is what keeps a server out. A success ends it, and a new start.
type health struct {
	run   [statuses]int // failures since the last success
	outs  int           // ejections since then
	until time.Duration // ejected until then
	trial bool          // the single trial request after an ejection is out
}

// certain returns the share of its full capacity that a server has at least:
// it rises evenly from InitialCapacity at its start to 1 after WarmUpTime.
func (b *Balancer) certain(s *server, now time.Duration) float64 {
	if s.StartTime <= 0 || b.set.WarmUpTime <= 0 || now-s.StartTime >= b.set.WarmUpTime {
		return 1
	}
	age := max(0, float64(now-s.StartTime)/float64(b.set.WarmUpTime))
	return b.set.InitialCapacity + (1-b.set.InitialCapacity)*age
}

// Endpoints takes a server list or changes to it.
func (b *Balancer) Endpoints(now time.Duration, kind ListKind, entries []Server, acts []Action) []Action {
	b.acts = acts
	if kind == ListFailed {
		b.subscribeLater(now, true)
		return b.done(now)
	}
	b.listMark++
	var added []ringPoint
	for i := range entries {
		added = b.apply(now, &entries[i], added)
	}
	if kind != ListDelta {
		for _, s := range b.all {
			if s.mark != b.listMark {
				s.State = Removed
				b.place(s)
			}
		}
	}
	b.forgetGone()
	b.ring.add(added)
	b.warmAt = now
	if kind == ListCached {
		b.subscribeLater(now, false)
	} else {
		b.subscribed = true
	}
	return b.done(now)
}

// apply takes one entry. A new start time means a new process: cold, and all
// that was known of the old one is void.
func (b *Balancer) apply(now time.Duration, e *Server, added []ringPoint) []ringPoint {
	s := b.byID[e.ID]
	if s == nil {
		if e.State == Removed {
			return added
		}
		s = &server{hash: hashString(e.ID)}
		s.order = mix(s.hash ^ b.salt)
		b.byID[e.ID] = s
		b.all = append(b.all, s)
		for i := uint64(0); b.set.KeyAffinity && i < ringPoints; i++ {
			added = append(added, ringPoint{mix(s.hash + i*0x9e3779b97f4a7c15), s})
		}
	} else if e.StartTime > s.StartTime {
		s.ratio, s.count, s.health, s.idle = 0, 0, health{}, nil
	}
	s.Server, s.mark = *e, b.listMark
	b.place(s)
	return added
}

// place keeps the ready list in step with a server's state. It is kept in this
// balancer's own random order, so that its first few are the subset it samples.
func (b *Balancer) place(s *server) {
	at, listed := slices.BinarySearchFunc(b.ready, s.order, func(e *server, o uint64) int { return cmp.Compare(e.order, o) })
	switch {
	case s.State == Ready && !listed:
		b.ready = slices.Insert(b.ready, at, s)
	case s.State != Ready && listed:
		b.ready = slices.Delete(b.ready, at, at+1)
	}
}

// forgetGone drops the servers that left the list.
func (b *Balancer) forgetGone() {
	gone := func(s *server) bool { return s.State == Removed }
	maps.DeleteFunc(b.byID, func(_ string, s *server) bool { return gone(s) })
	b.all = slices.DeleteFunc(b.all, gone)
	b.ejections = slices.DeleteFunc(b.ejections, gone)
	b.ring.points = slices.DeleteFunc(b.ring.points, func(p ringPoint) bool { return gone(p.server) })
}

// subscribeLater arranges the next call for the list where it must be asked for.
// Calls spread out, since one list service serves them all. After one that failed the
// next is due soon, for what is new counts as told: the pause holds the time it took.
func (b *Balancer) subscribeLater(now time.Duration, failed bool) {
	wait := time.Duration(b.rng.Float64() * float64(subscribeSpread))
	if failed {
		wait += subscribeSpread / 2
		if !b.subscribed {
			wait = max(wait-(now-b.subscribeAt), wait/5)
		}
		b.subscribed = false // also where a call is due already: it would be passed over
	}
	if !b.set.Subscribe || b.subscribeAt > now {
		return
	}
	b.subscribeAt = now + wait
	b.at(b.subscribeAt, wakeSubscribe, nil, 0)
}

// patience is how many failures in a row, the last of this status, eject a
// server. One that turns all away answers fast, and would draw on.
var patience = map[Status]int{AtCapacity: 4, Error: 3, Timeout: 2, Reset: 2, PartialWrite: 2, ConnectFailed: 1}

// observe takes the result of an attempt into what is known of its server.
func (b *Balancer) observe(now time.Duration, a *attempt, status Status, took time.Duration) {
	s, ratio := a.server, float64(took)/a.expected
	s.trial = false
	switch status {
	case OK:
		s.idle = append(s.idle, now)
		b.learnClass(a.request, took)
		b.learnUsual(s)
		s.health = health{}
	case Cancelled:
		// A copy that lost: it took at least this long.
		if ratio <= b.estimate(s, now) {
			return
		}
	case NeverSent:
		return
	default:
		ratio = max(failurePenalty, ratio)
	}
	if status == ConnectFailed || status == AtCapacity && a.fresh {
		b.release(now)
	}
	b.sample(s, now, ratio)
	if p := patience[status]; p > 0 {
		s.run[status]++
		b.suspect(s, now, p)
	}
}

// connect notes that an idle connection to a server is used, or a fresh one.
func (b *Balancer) connect(s *server, now time.Duration) (fresh bool) {
	if fresh = !b.linked(s, now); fresh {
		s.idle = nil // they have ended of old age
	} else {
		s.idle = s.idle[:len(s.idle)-1]
	}
	return fresh
}

// release closes the idle connections to the server that was used longest ago.
// Servers cap their connections, and those that balancers hold idle keep others
// out: each connection refused here is answered by some let go.
func (b *Balancer) release(now time.Duration) {
	var oldest *server
	for _, s := range b.all {
		if n := len(s.idle); b.linked(s, now) && (oldest == nil || s.idle[n-1] < oldest.idle[len(oldest.idle)-1]) {
			oldest = s
		}
	}
	if oldest != nil {
		oldest.idle = nil
		b.act(Action{Kind: CloseIdle, Server: oldest.ID})
	}
}

// fade ages the evidence on a server, so that it returns to the fleet's mean.
func (s *server) fade(now time.Duration) float64 {
	if s.count == 0 {
		return 0
	}
	return s.count * math.Exp2(-float64(now-s.counted)/float64(evidenceHalf))
}

// sample adds one latency ratio to the evidence on a server.
func (b *Balancer) sample(s *server, now time.Duration, ratio float64) {
	n := min(s.fade(now), evidenceMost-1)
	s.ratio = (s.ratio*n + ratio) / (n + 1)
	s.count, s.counted = n+1, now
}

// learnUsual takes in the failures that a success ends: the server was well, so
// they were chance. Of a longer outage only the first ones count.
func (b *Balancer) learnUsual(s *server) {
	for status, n := range s.run {
		b.usual[status] += usualWeight * (min(float64(n), 2) - b.usual[status])
	}
}

// suspect ejects a server after enough failures in a row, within the cap on
// the ejected share. After the time a single trial request may go there. Where
// attempts fail at all servers alike, runs of failures come by chance, and the
// healthy servers put out by them leave the rest too slow: the run must also be
// unlikely at a server that is well. It covers any cause that strikes alike, as
// a bad network or an overload; it might harm where one server dies meanwhile,
// which then takes some failures more to show.
func (b *Balancer) suspect(s *server, now time.Duration, patience int) {
	fails, chance := 0, 1.0
	for status, n := range s.run {
		fails += n
		chance *= math.Pow(min(max(b.usual[status], unlikely), usualMost), float64(n))
	}
	if fails < patience || chance > unlikely || s.until > now {
		return
	}
	b.ejections = slices.DeleteFunc(b.ejections, func(e *server) bool { return e.until <= now || e.State != Ready })
	if float64(len(b.ejections)+1) > ejectShare*float64(len(b.ready)) {
		return
	}
	hold := min(ejectFirst<<min(s.outs, 6), ejectMost)
	s.until = now + time.Duration(float64(hold)*(0.75+0.5*b.rng.Float64()))
	s.outs++
	b.ejections = append(b.ejections, s)
}
