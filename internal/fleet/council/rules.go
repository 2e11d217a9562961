package council

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
	newest  map[string]Tenant
	Refused int // how often it has refused
}

// Tenant is an owner under its epoch.
type Tenant struct {
	Owner string `json:"owner"`
	Epoch Epoch  `json:"epoch"`
}

// NewFence returns a receiver's fence that has heard of nothing: it refuses all
// until it is told the epochs that a majority of the council knows (Hear).
func NewFence() *Fence { return &Fence{newest: map[string]Tenant{}} }

// Hear takes what was heard of a duty, from the council or from a process that was
// the receiver before. It never goes back.
func (f *Fence) Hear(duty string, t Tenant) {
	if old, known := f.newest[duty]; !known || t.Epoch > old.Epoch {
		f.newest[duty] = t
	}
}

// Check tells whether an effect may take place, and learns of a newer epoch by it.
// Its error is the one line that is to be said.
func (f *Fence) Check(duty string, t Tenant) error {
	old, known := f.newest[duty]
	switch {
	case !known:
		f.Refused++
		return fmt.Errorf("%s: found epoch %v of %s, wanted the council's word first: this receiver has just started", duty, t.Epoch, t.Owner)
	case t.Epoch < old.Epoch:
		f.Refused++
		return fmt.Errorf("%s: found epoch %v of %s, wanted %v or newer: a late owner", duty, t.Epoch, t.Owner, old.Epoch)
	case t.Epoch == old.Epoch && old.Owner != "" && t.Owner != old.Owner:
		f.Refused++
		return fmt.Errorf("%s: found epoch %v of %s, wanted %s's: two councils", duty, t.Epoch, t.Owner, old.Owner)
	}
	f.newest[duty] = t
	return nil
}

// Newest is the newest that it has heard of a duty; none where it has not.
func (f *Fence) Newest(duty string) Tenant { return f.newest[duty] }

// All returns what it has heard, to hand on.
func (f *Fence) All() map[string]Tenant { return maps.Clone(f.newest) }

// Tenure is an owner's view of its time: from the moment at which it asked, by its
// own clock that goes on while the machine sleeps, it may begin effects for the
// lease less the margin.
type Tenure struct {
	Epoch Epoch
	until time.Duration
}

// Renewed takes an answer that names this owner: asked is when the question was
// sent.
func (t *Tenure) Renewed(asked time.Duration, e Epoch, lease, margin time.Duration) {
	t.Epoch, t.until = e, asked+lease-margin
}

// Held tells whether the owner may begin an effect.
func (t *Tenure) Held(now time.Duration) bool { return t.Epoch != 0 && now < t.until }

// Over is for how long the tenure has been over; 0 while it is held.
func (t *Tenure) Over(now time.Duration) time.Duration { return max(0, now-t.until) }

// Lost ends it.
func (t *Tenure) Lost() { *t = Tenure{} }

// Leases is a leader's: when it last heard of each owner, in its own ticks. They
// are not agreed on and not written: a new leader gives everybody a whole lease, for
// it can't know what the one before has promised.
type Leases struct {
	ticks map[string]lease
}

type lease struct {
	epoch  Epoch
	end    uint64
	ending bool // its end was proposed: from then on it is not renewed
}

// NewLeases begins a leadership.
func NewLeases() *Leases { return &Leases{ticks: map[string]lease{}} }

// Renew takes that an owner was heard of at a tick. It returns false for one whose
// end is proposed already: that may be agreed on at any moment, and the owner must
// not be told that it has another lease.
func (l *Leases) Renew(duty string, e Epoch, now, length uint64) bool {
	if have := l.ticks[duty]; have.ending && have.epoch == e {
		return false
	}
	l.ticks[duty] = lease{epoch: e, end: now + length}
	return true
}

// End lets a lease run out: it is renewed no more.
func (l *Leases) End(duty string, e Epoch, now, length uint64) {
	have, ok := l.ticks[duty]
	if !ok || have.epoch != e {
		have = lease{epoch: e, end: now + length}
	}
	have.ending = true
	l.ticks[duty] = have
}

// RunOut returns the duties whose owner was not heard of for a lease. What it sees
// for the first time has its time from now.
func (l *Leases) RunOut(s *State, now, length uint64) (out []Command) {
	for _, name := range slices.Sorted(maps.Keys(s.Duties)) {
		d := s.Duties[name]
		if d.Owner == "" {
			delete(l.ticks, name)
			continue
		}
		if have, ok := l.ticks[name]; !ok || have.epoch != d.Epoch {
			l.Renew(name, d.Epoch, now, length)
		} else if now >= have.end {
			out = append(out, Command{Version: 1, Kind: Expire, Duty: name, Epoch: d.Epoch})
			l.ticks[name] = lease{d.Epoch, now + length, true} // said again where it was dropped
		}
	}
	return out
}
