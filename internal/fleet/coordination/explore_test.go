package coordination

import (
	"flag"
	"slices"
	"testing"
	"time"
)

var exploreStates = flag.Int("explore", 30_000, "states to visit of the model that is too large to visit all; from 1000000 on all of a deeper one are visited, too")

// A model of a small world with the real code of lease timers, leadership and fence, all
// of whose interleavings are explored: 2 leases, 2 hosts that acquire them, 3 receivers,
// one leader after another. The guarantees of raft are assumed: only the newest leader's
// proposals are committed and its reads confirmed; the proposals of an earlier leader
// may be committed by the next one or be lost. Messages are lost, delayed and
// duplicated, hosts are suspended, receivers restart, and a host's clock may miss a tick
// in each lease.
const (
	xLease  = 3 // ticks
	xMargin = 1
)

type xMsg struct {
	kind               byte // 0 for none, or acquire, renew, and their responses
	host, lease        byte
	token, age, missed byte
	ok                 bool
}

const (
	xAcquire byte = iota + 1
	xRenew
	xAcquired
	xRenewed
)

type xEffect struct{ on, host, lease, token, to byte }

type xLeaseTimer struct {
	known, revoked bool
	token, left    byte
}

type xFence struct {
	known       bool
	token, host byte
}

// xState is comparable: it is its own key.
type xState struct {
	issued, holder [2]byte // committed; hosts from 1
	leases         [2]xLeaseTimer
	expire         [2]byte // token whose expiry is proposed
	tokens, left   [2][2]byte
	missed         [2][2]bool // the host's clock has missed a tick in this leadership
	msgs           [2]xMsg
	effects        [2]xEffect
	fences         [3][2]xFence
	accepted       [3][2]byte // newest token, not reset by a restart
}

var xLeases = [2]string{"roll", "list"}
var xHosts = [3]string{"", "h1", "h2"}

func (x *xState) cluster() *State {
	s := NewState("x")
	for d, name := range xLeases {
		s.Leases[name] = &Lease{Name: name, Holder: xHosts[x.holder[d]], Token: x.token(x.issued[d])}
	}
	return s
}

// token returns the fencing token for one of the model.
func (x *xState) token(e byte) FencingToken {
	if e == 0 {
		return 0
	}
	return 1<<32 + FencingToken(e)
}

func (x *xState) leaseTimers() *leaseTimers {
	l := newLeaseTimers()
	for d, name := range xLeases {
		if v := x.leases[d]; v.known {
			l.timers[name] = leaseTimer{x.token(v.token), uint64(v.left), v.revoked}
		}
	}
	return l
}

func (x *xState) setLeaseTimers(l *leaseTimers, now uint64) {
	for d, name := range xLeases {
		v, ok := l.timers[name]
		if !ok {
			x.leases[d] = xLeaseTimer{}
			continue
		}
		left := byte(0)
		if v.expiresAt > now {
			left = byte(v.expiresAt - now)
		}
		x.leases[d] = xLeaseTimer{true, v.revoked, byte(uint32(v.token)), left}
	}
}

func (x *xState) apply(fail failFunc, c Command) Result {
	s := x.cluster()
	before := [2]byte{x.issued[0], x.issued[1]}
	r := s.Apply(c)
	for d, name := range xLeases {
		v := s.Leases[name]
		x.issued[d] = byte(uint32(v.Token))
		x.holder[d] = byte(slices.Index(xHosts[:], v.Holder))
		if x.issued[d] < before[d] {
			fail("a token was decreased: %+v after %+v", x, c)
		}
	}
	return r
}

func (x xState) tidy() xState {
	slices.SortFunc(x.msgs[:], func(a, b xMsg) int {
		return int(b.kind)<<16 + int(b.host)<<12 + int(b.lease)<<8 + int(b.token)<<4 + int(b.age) - int(a.kind)<<16 - int(a.host)<<12 - int(a.lease)<<8 - int(a.token)<<4 - int(a.age)
	})
	slices.SortFunc(x.effects[:], func(a, b xEffect) int {
		return int(b.on)<<16 + int(b.host)<<12 + int(b.lease)<<8 + int(b.token)<<4 + int(b.to) - int(a.on)<<16 - int(a.host)<<12 - int(a.lease)<<8 - int(a.token)<<4 - int(a.to)
	})
	return x
}

// failFunc ends the test. It stands for testing.TB, whose Helper would take most of the time
// of the exploration.
type failFunc func(format string, args ...any)

// xWorld is the size of the model.
type xWorld struct {
	leases, receivers, effects, msgs int
	tokens                           byte
	states                           int // to visit at most; 0 for all that there are
}

// next adds the states that one step leads to.
func (x xState) next(fail failFunc, w xWorld, add func(xState)) {
	free := slices.IndexFunc(x.msgs[:w.msgs], func(m xMsg) bool { return m.kind == 0 })
	for h := byte(1); h <= 2; h++ {
		for d := range w.leases {
			if free >= 0 && x.issued[d] < w.tokens {
				y := x
				if e := x.tokens[h-1][d]; e != 0 {
					y.msgs[free] = xMsg{kind: xRenew, host: h, lease: byte(d), token: e}
				} else {
					y.msgs[free] = xMsg{kind: xAcquire, host: h, lease: byte(d)}
				}
				add(y)
			}
			if e := x.tokens[h-1][d]; e != 0 && x.left[h-1][d] > 0 {
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
		if free >= 0 { // it is duplicated
			y := x
			y.msgs[free] = m
			add(y)
		}
		y := x
		y.arrive(fail, i)
		add(y)
	}
	for i, e := range x.effects {
		if e.on != 0 {
			y := x
			y.effect(fail, i, e)
			add(y)
			y = x
			y.effects[i] = xEffect{}
			add(y)
		}
	}
	for d := range w.leases {
		if e := x.expire[d]; e != 0 { // it is committed
			y := x
			y.expire[d] = 0
			y.apply(fail, Command{Version: 1, Kind: ExpireLease, Lease: xLeases[d], Token: x.token(e)})
			add(y)
		}
	}
	// Another leader, without lease timers; proposals are lost or committed.
	y := x
	y.leases = [2]xLeaseTimer{}
	y.expire = [2]byte{}
	add(y)
	// A receiver restarts, and observes the holder.
	for r := range w.receivers {
		y := x
		for d := range xLeases {
			y.fences[r][d] = xFence{}
		}
		add(y)
		y = x
		for d := range xLeases {
			f := x.fence(r)
			f.Observe(xLeases[d], Holder{xHosts[x.holder[d]], x.token(x.issued[d])})
			y.setFence(r, f)
			add(y)
		}
	}
	for miss := range 3 { // a tick; a host's clock may miss one in a leadership
		if y, ok := x.tick(miss); ok {
			add(y)
		}
	}
}

func (x *xState) fence(r int) *Fence {
	f := NewFence()
	for d, name := range xLeases {
		if v := x.fences[r][d]; v.known {
			f.newest[name] = Holder{xHosts[v.host], x.token(v.token)}
		}
	}
	return f
}

func (x *xState) setFence(r int, f *Fence) {
	for d, name := range xLeases {
		if v, ok := f.newest[name]; ok {
			x.fences[r][d] = xFence{true, byte(uint32(v.Token)), byte(slices.Index(xHosts[:], v.Name))}
		}
	}
}

func (x *xState) arrive(fail failFunc, i int) {
	m := x.msgs[i]
	h, d := m.host-1, m.lease
	switch m.kind {
	case xAcquire:
		r := x.apply(fail, Command{Version: 1, Kind: AcquireLease, Subject: xHosts[m.host], Lease: xLeases[d]})
		m.kind, m.ok = xAcquired, r.Lease != nil && r.Lease.Holder == xHosts[m.host]
		if m.ok {
			m.token = byte(uint32(r.Lease.Token))
			if r.Rejection != "" {
				m.age = xLease // acquired by an earlier request: valid from the next renewal
			}
		}
		x.msgs[i] = m
	case xRenew:
		l := x.leaseTimers()
		m.kind, m.ok = xRenewed, x.issued[d] == m.token && x.holder[d] == m.host && l.renew(xLeases[d], x.token(m.token), 0, xLease)
		x.setLeaseTimers(l, 0)
		x.msgs[i] = m
	case xAcquired, xRenewed:
		x.msgs[i] = xMsg{}
		var tenure Leadership
		switch {
		case m.ok && (m.kind == xAcquired && x.tokens[h][d] == 0 || x.tokens[h][d] == m.token):
			tenure.Renew(-time.Duration(m.age), x.token(m.token), xLease, xMargin)
			if left := byte(max(0, tenure.validUntil)); m.kind == xAcquired || left > x.left[h][d] {
				x.left[h][d] = left
				x.missed[h][d] = m.missed > 0
			}
			x.tokens[h][d] = m.token
		case !m.ok && m.kind == xRenewed && x.tokens[h][d] == m.token:
			x.tokens[h][d], x.left[h][d] = 0, 0
		}
	}
}

func (x *xState) effect(fail failFunc, i int, e xEffect) {
	x.effects[i] = xEffect{}
	f := x.fence(int(e.to))
	if f.Check(xLeases[e.lease], Holder{xHosts[e.host], x.token(e.token)}) != nil {
		return
	}
	x.setFence(int(e.to), f)
	if e.token < x.accepted[e.to][e.lease] {
		fail("receiver %d accepted token %d of %s after %d: %+v", e.to, e.token, xHosts[e.host], x.accepted[e.to][e.lease], *x)
	}
	x.accepted[e.to][e.lease] = e.token
}

func (x xState) tick(miss int) (xState, bool) {
	missed := false
	for h := range 2 {
		for d := range xLeases {
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
	l := x.leaseTimers()
	for _, c := range l.expired(x.cluster(), 1, xLease) {
		x.expire[slices.Index(xLeases[:], c.Lease)] = byte(uint32(c.Token))
	}
	x.setLeaseTimers(l, 1)
	return x, true
}

func (x *xState) check(fail failFunc) {
	for d := range xLeases {
		if x.left[0][d] > 0 && x.left[1][d] > 0 && x.tokens[0][d] != 0 && x.tokens[1][d] != 0 {
			fail("two holders of %s: %+v", xLeases[d], *x)
		}
	}
}

// explore visits the states of a model breadth first, and reports whether it has
// visited all.
func explore(t *testing.T, w xWorld) bool {
	t.Helper()
	seen := map[xState]bool{{}: true}
	level := []xState{{}}
	depth, steps := 0, 0
	for ; len(level) > 0 && (w.states == 0 || len(seen) < w.states); depth++ {
		var after []xState
		for _, x := range level {
			x.next(t.Fatalf, w, func(y xState) {
				steps++
				if y = y.tidy(); !seen[y] {
					y.check(t.Fatalf)
					seen[y] = true
					after = append(after, y)
				}
			})
		}
		level = after
	}
	t.Logf("leases=%d receivers=%d tokens=%d: states=%d steps=%d depth=%d all=%v", w.leases, w.receivers, w.tokens, len(seen), steps, depth, len(level) == 0)
	return len(level) == 0
}

func TestAllInterleavings(t *testing.T) {
	// Two effects in flight: one can be of a former holder.
	if !explore(t, xWorld{leases: 1, receivers: 1, effects: 2, msgs: 1, tokens: 2}) {
		t.Error("not all states were visited")
	}
	if *exploreStates >= 1_000_000 && !explore(t, xWorld{leases: 1, receivers: 1, effects: 1, msgs: 1, tokens: 3}) {
		t.Error("not all states were visited")
	}
	explore(t, xWorld{leases: 2, receivers: 3, effects: 2, msgs: 2, tokens: 4, states: *exploreStates})
}
