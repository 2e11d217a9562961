package coordination

import (
	"flag"
	"slices"
	"testing"
	"time"
)

var exploreStates = flag.Int("explore", 30_000, "states that are visited of the world that is too large for all; from 1000000 on a deeper one is visited whole, too")

// All interleavings of a small world over the very rules of leaders, owners and
// receivers: 2 duties, 2 hosts that want them, 3 receivers, leaders that follow one
// another. What the consensus promises is taken as given: only the newest leader's
// proposals are agreed on and its reads confirmed; the proposals of one before it
// may be agreed on by the next or be lost. Messages are lost, come late and twice,
// who is stopped does not act while time goes on, receivers begin anew, a host's
// clock may miss a tick in each lease.
const (
	xLease  = 3 // ticks
	xMargin = 1
)

type xMsg struct {
	kind               byte // 0 none, take, renew, and their answers
	host, duty         byte
	epoch, age, missed byte
	ok                 bool
}

const (
	xTake byte = iota + 1
	xRenew
	xTaken
	xRenewed
)

type xEffect struct{ on, host, duty, epoch, to byte }

type xLeaseOf struct {
	known, ending bool
	epoch, left   byte
}

type xFence struct {
	known       bool
	epoch, host byte
}

// xState is comparable: it is its own key.
type xState struct {
	epoch, owner [2]byte // agreed on; hosts from 1
	leases       [2]xLeaseOf
	expire       [2]byte // an end that is proposed
	held, left   [2][2]byte
	missed       [2][2]bool // the host's clock has missed a tick in this tenure
	msgs         [2]xMsg
	effects      [2]xEffect
	fences       [3][2]xFence
	taken        [3][2]byte // outside of the receiver: what took place
}

var xDuties = [2]string{"roll", "list"}
var xHosts = [3]string{"", "h1", "h2"}

func (x *xState) council() *State {
	s := NewState("x")
	for d, name := range xDuties {
		s.Leases[name] = &Lease{Name: name, Holder: xHosts[x.owner[d]], Token: x.at(x.epoch[d])}
	}
	return s
}

// at is an epoch of the model as the rules have it.
func (x *xState) at(e byte) FencingToken {
	if e == 0 {
		return 0
	}
	return 1<<32 + FencingToken(e)
}

func (x *xState) leasesOf() *leaseTimers {
	l := newLeaseTimers()
	for d, name := range xDuties {
		if v := x.leases[d]; v.known {
			l.timers[name] = leaseTimer{x.at(v.epoch), uint64(v.left), v.ending}
		}
	}
	return l
}

func (x *xState) keepLeases(l *leaseTimers, now uint64) {
	for d, name := range xDuties {
		v, ok := l.timers[name]
		if !ok {
			x.leases[d] = xLeaseOf{}
			continue
		}
		left := byte(0)
		if v.expiresAt > now {
			left = byte(v.expiresAt - now)
		}
		x.leases[d] = xLeaseOf{true, v.revoked, byte(uint32(v.token)), left}
	}
}

func (x *xState) apply(t testing.TB, c Command) Result {
	s := x.council()
	before := [2]byte{x.epoch[0], x.epoch[1]}
	r := s.Apply(c)
	for d, name := range xDuties {
		v := s.Leases[name]
		x.epoch[d] = byte(uint32(v.Token))
		x.owner[d] = byte(slices.Index(xHosts[:], v.Holder))
		if x.epoch[d] < before[d] {
			t.Fatalf("an epoch went back: %+v after %+v", x, c)
		}
	}
	return r
}

func (x xState) tidy() xState {
	slices.SortFunc(x.msgs[:], func(a, b xMsg) int {
		return int(b.kind)<<16 + int(b.host)<<12 + int(b.duty)<<8 + int(b.epoch)<<4 + int(b.age) - int(a.kind)<<16 - int(a.host)<<12 - int(a.duty)<<8 - int(a.epoch)<<4 - int(a.age)
	})
	slices.SortFunc(x.effects[:], func(a, b xEffect) int {
		return int(b.on)<<16 + int(b.host)<<12 + int(b.duty)<<8 + int(b.epoch)<<4 + int(b.to) - int(a.on)<<16 - int(a.host)<<12 - int(a.duty)<<8 - int(a.epoch)<<4 - int(a.to)
	})
	return x
}

// xWorld is how much of it there is.
type xWorld struct {
	duties, receivers, effects, msgs int
	epochs                           byte
	states                           int // to visit at most; 0 for all that there are
}

// next are the states that one step leads to.
func (x xState) next(t testing.TB, w xWorld, add func(xState)) {
	free := slices.IndexFunc(x.msgs[:w.msgs], func(m xMsg) bool { return m.kind == 0 })
	for h := byte(1); h <= 2; h++ {
		for d := range w.duties {
			if free >= 0 && x.epoch[d] < w.epochs {
				y := x
				if e := x.held[h-1][d]; e != 0 {
					y.msgs[free] = xMsg{kind: xRenew, host: h, duty: byte(d), epoch: e}
				} else {
					y.msgs[free] = xMsg{kind: xTake, host: h, duty: byte(d)}
				}
				add(y)
			}
			if e := x.held[h-1][d]; e != 0 && x.left[h-1][d] > 0 {
				if at := slices.IndexFunc(x.effects[:w.effects], func(f xEffect) bool { return f.on == 0 }); at >= 0 {
					for to := range w.receivers {
						y := x
						y.effects[at] = xEffect{1, h, byte(d), e, byte(to)}
						add(y)
					}
				}
			}
		}
	}
	for i, m := range x.msgs {
		if m.kind == 0 {
			continue
		}
		lost := x
		lost.msgs[i] = xMsg{}
		add(lost)
		if free >= 0 { // it comes twice
			y := x
			y.msgs[free] = m
			add(y)
		}
		y := x
		y.arrive(t, i)
		add(y)
	}
	for i, e := range x.effects {
		if e.on != 0 {
			y := x
			y.effect(t, i, e)
			add(y)
			y = x
			y.effects[i] = xEffect{}
			add(y)
		}
	}
	for d := range w.duties {
		if e := x.expire[d]; e != 0 { // it is agreed on
			y := x
			y.expire[d] = 0
			y.apply(t, Command{Version: 1, Kind: ExpireLease, Lease: xDuties[d], Token: x.at(e)})
			add(y)
		}
	}
	// Another leads: it knows of no lease; what was proposed is lost or agreed on.
	y := x
	y.leases = [2]xLeaseOf{}
	y.expire = [2]byte{}
	add(y)
	// A receiver begins anew, and one that has asks a majority.
	for r := range w.receivers {
		y := x
		for d := range xDuties {
			y.fences[r][d] = xFence{}
		}
		add(y)
		y = x
		for d := range xDuties {
			f := x.fence(r)
			f.Observe(xDuties[d], Holder{xHosts[x.owner[d]], x.at(x.epoch[d])})
			y.keepFence(r, f)
			add(y)
		}
	}
	for miss := range 3 { // time goes on; a host's clock may miss it once in a tenure
		if y, ok := x.tick(miss); ok {
			add(y)
		}
	}
}

func (x *xState) fence(r int) *Fence {
	f := NewFence()
	for d, name := range xDuties {
		if v := x.fences[r][d]; v.known {
			f.newest[name] = Holder{xHosts[v.host], x.at(v.epoch)}
		}
	}
	return f
}

func (x *xState) keepFence(r int, f *Fence) {
	for d, name := range xDuties {
		if v, ok := f.newest[name]; ok {
			x.fences[r][d] = xFence{true, byte(uint32(v.Token)), byte(slices.Index(xHosts[:], v.Name))}
		}
	}
}

func (x *xState) arrive(t testing.TB, i int) {
	m := x.msgs[i]
	h, d := m.host-1, m.duty
	switch m.kind {
	case xTake:
		r := x.apply(t, Command{Version: 1, Kind: AcquireLease, Subject: xHosts[m.host], Lease: xDuties[d]})
		m.kind, m.ok = xTaken, r.Lease != nil && r.Lease.Holder == xHosts[m.host]
		if m.ok {
			m.epoch = byte(uint32(r.Lease.Token))
			if r.Rejection != "" {
				m.age = xLease // known from a question before: it counts from its next
			}
		}
		x.msgs[i] = m
	case xRenew:
		l := x.leasesOf()
		m.kind, m.ok = xRenewed, x.epoch[d] == m.epoch && x.owner[d] == m.host && l.renew(xDuties[d], x.at(m.epoch), 0, xLease)
		x.keepLeases(l, 0)
		x.msgs[i] = m
	case xTaken, xRenewed:
		x.msgs[i] = xMsg{}
		var tenure Leadership
		switch {
		case m.ok && (m.kind == xTaken && x.held[h][d] == 0 || x.held[h][d] == m.epoch):
			tenure.Renew(-time.Duration(m.age), x.at(m.epoch), xLease, xMargin)
			if left := byte(max(0, tenure.validUntil)); m.kind == xTaken || left > x.left[h][d] {
				x.left[h][d] = left
				x.missed[h][d] = m.missed > 0
			}
			x.held[h][d] = m.epoch
		case !m.ok && m.kind == xRenewed && x.held[h][d] == m.epoch:
			x.held[h][d], x.left[h][d] = 0, 0
		}
	}
}

func (x *xState) effect(t testing.TB, i int, e xEffect) {
	x.effects[i] = xEffect{}
	f := x.fence(int(e.to))
	if f.Check(xDuties[e.duty], Holder{xHosts[e.host], x.at(e.epoch)}) != nil {
		return
	}
	x.keepFence(int(e.to), f)
	if e.epoch < x.taken[e.to][e.duty] {
		t.Fatalf("receiver %d took epoch %d of %s after %d: %+v", e.to, e.epoch, xHosts[e.host], x.taken[e.to][e.duty], *x)
	}
	x.taken[e.to][e.duty] = e.epoch
}

func (x xState) tick(miss int) (xState, bool) {
	missed := false
	for h := range 2 {
		for d := range xDuties {
			if x.left[h][d] > 0 {
				if miss == h+1 && !x.missed[h][d] {
					x.missed[h][d], missed = true, true
				} else {
					x.left[h][d]--
				}
			}
		}
	}
	if miss > 0 && !missed {
		return x, false
	}
	for i := range x.msgs {
		if x.msgs[i].kind != 0 && x.msgs[i].age < xLease {
			x.msgs[i].age++
		}
	}
	l := x.leasesOf()
	for _, c := range l.expired(x.council(), 1, xLease) {
		x.expire[slices.Index(xDuties[:], c.Lease)] = byte(uint32(c.Token))
	}
	x.keepLeases(l, 1)
	return x, true
}

func (x *xState) check(t testing.TB) {
	for d := range xDuties {
		if x.left[0][d] > 0 && x.left[1][d] > 0 && x.held[0][d] != 0 && x.held[1][d] != 0 {
			t.Fatalf("two owners of %s: %+v", xDuties[d], *x)
		}
	}
}

// explore visits the states of a world in the order of their distance, and tells
// whether it has seen all.
func explore(t *testing.T, w xWorld) bool {
	seen := map[xState]bool{{}: true}
	level := []xState{{}}
	depth, steps := 0, 0
	for ; len(level) > 0 && (w.states == 0 || len(seen) < w.states); depth++ {
		var after []xState
		for _, x := range level {
			x.next(t, w, func(y xState) {
				steps++
				if y = y.tidy(); !seen[y] {
					y.check(t)
					seen[y] = true
					after = append(after, y)
				}
			})
		}
		level = after
	}
	t.Logf("duties=%d receivers=%d epochs=%d: states=%d steps=%d depth=%d all=%v", w.duties, w.receivers, w.epochs, len(seen), steps, depth, len(level) == 0)
	return len(level) == 0
}

func TestAllInterleavings(t *testing.T) {
	// Two effects on their way: one of an owner that is one no more.
	if !explore(t, xWorld{duties: 1, receivers: 1, effects: 2, msgs: 1, epochs: 2}) {
		t.Error("not all was seen")
	}
	if *exploreStates >= 1_000_000 && !explore(t, xWorld{duties: 1, receivers: 1, effects: 1, msgs: 1, epochs: 3}) {
		t.Error("not all was seen")
	}
	explore(t, xWorld{duties: 2, receivers: 3, effects: 2, msgs: 2, epochs: 4, states: *exploreStates})
}
