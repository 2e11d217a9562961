package coordination

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Fence is a receiver's: per duty the newest epoch that it has heard of, and whose.
// What is older is refused, and so is another owner's of the same epoch, which two
// councils could have given out. It belongs to one goroutine.
type Fence struct {
	newest   map[string]Holder
	Rejected int // how often it has refused
}

// Holder is an owner under its epoch.
type Holder struct {
	Name  string       `json:"owner"`
	Token FencingToken `json:"epoch"`
}

// NewFence returns a receiver's fence that has heard of nothing: it refuses all
// until it is told the epochs that a majority of the council knows (Hear).
func NewFence() *Fence { return &Fence{newest: map[string]Holder{}} }

// WatchLeases takes what was heard of a duty, from the council or from a process that was
// the receiver before. It never goes back.
func (f *Fence) Observe(duty string, t Holder) {
	if old, known := f.newest[duty]; !known || t.Token > old.Token {
		f.newest[duty] = t
	}
}

// Check tells whether an effect may take place, and learns of a newer epoch by it.
// Its error is the one line that is to be said.
func (f *Fence) Check(duty string, t Holder) error {
	old, known := f.newest[duty]
	switch {
	case !known:
		f.Rejected++
		return fmt.Errorf("%s: found epoch %v of %s, wanted the council's word first: this receiver has just started", duty, t.Token, t.Name)
	case t.Token < old.Token:
		f.Rejected++
		return fmt.Errorf("%s: found epoch %v of %s, wanted %v or newer: a late owner", duty, t.Token, t.Name, old.Token)
	case t.Token == old.Token && old.Name != "" && t.Name != old.Name:
		f.Rejected++
		return fmt.Errorf("%s: found epoch %v of %s, wanted %s's: two councils", duty, t.Token, t.Name, old.Name)
	}
	f.newest[duty] = t
	return nil
}

// Newest is the newest that it has heard of a duty; none where it has not.
func (f *Fence) Newest(duty string) Holder { return f.newest[duty] }

// Holders returns what it has heard, to hand on.
func (f *Fence) Holders() map[string]Holder { return maps.Clone(f.newest) }

// Leadership is an owner's view of its time: from the moment at which it asked, by its
// own clock that goes on while the machine sleeps, it may begin effects for the
// lease less the margin.
type Leadership struct {
	Token      FencingToken
	validUntil time.Duration
}

// Renew takes an answer that names this owner: asked is when the question was
// sent.
func (t *Leadership) Renew(asked time.Duration, e FencingToken, lease, margin time.Duration) {
	t.Token, t.validUntil = e, asked+lease-margin
}

// Valid tells whether the owner may begin an effect.
func (t *Leadership) Valid(now time.Duration) bool { return t.Token != 0 && now < t.validUntil }

// ExpiredFor is for how long the tenure has been over; 0 while it is held.
func (t *Leadership) ExpiredFor(now time.Duration) time.Duration { return max(0, now-t.validUntil) }

// Reset ends it.
func (t *Leadership) Reset() { *t = Leadership{} }

// leaseTimers is a leader's: when it last heard of each owner, in its own ticks. They
// are not agreed on and not written: a new leader gives everybody a whole lease, for
// it can't know what the one before has promised.
type leaseTimers struct {
	timers map[string]leaseTimer
}

type leaseTimer struct {
	token     FencingToken
	expiresAt uint64
	revoked   bool // its end was proposed: from then on it is not renewed
}

// newLeaseTimers begins a leadership.
func newLeaseTimers() *leaseTimers { return &leaseTimers{timers: map[string]leaseTimer{}} }

// RenewLease takes that an owner was heard of at a tick. It returns false for one whose
// end is proposed already: that may be agreed on at any moment, and the owner must
// not be told that it has another lease.
func (l *leaseTimers) renew(duty string, e FencingToken, now, length uint64) bool {
	if have := l.timers[duty]; have.revoked && have.token == e {
		return false
	}
	l.timers[duty] = leaseTimer{token: e, expiresAt: now + length}
	return true
}

// CompleteOperation lets a lease run out: it is renewed no more.
func (l *leaseTimers) revoke(duty string, e FencingToken, now, length uint64) {
	have, ok := l.timers[duty]
	if !ok || have.token != e {
		have = leaseTimer{token: e, expiresAt: now + length}
	}
	have.revoked = true
	l.timers[duty] = have
}

// expired returns the duties whose owner was not heard of for a lease. What it sees
// for the first time has its time from now.
func (l *leaseTimers) expired(s *State, now, length uint64) (out []Command) {
	for _, name := range slices.Sorted(maps.Keys(s.Leases)) {
		d := s.Leases[name]
		if d.Holder == "" {
			delete(l.timers, name)
			continue
		}
		if have, ok := l.timers[name]; !ok || have.token != d.Token {
			l.renew(name, d.Token, now, length)
		} else if now >= have.expiresAt {
			out = append(out, Command{Version: 1, Kind: ExpireLease, Lease: name, Token: d.Token})
			l.timers[name] = leaseTimer{d.Token, now + length, true} // said again where it was dropped
		}
	}
	return out
}
