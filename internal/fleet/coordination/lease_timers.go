package coordination

import (
	"maps"
	"slices"
)

// leaseTimers are a leader's expiry times of all leases, in its own ticks. They are not
// replicated: a new leader grants each holder a whole lease, since it doesn't know what
// the leader before it has confirmed.
type leaseTimers struct {
	timers map[string]leaseTimer // by lease
}

type leaseTimer struct {
	token     FencingToken
	expiresAt uint64
	revoked   bool // its expiry is proposed: it can't be renewed any more
}

func newLeaseTimers() *leaseTimers { return &leaseTimers{timers: map[string]leaseTimer{}} }

// renew extends a lease by a duration in ticks. It returns false if its expiry is
// proposed: that may be committed at any moment, and the holder must not get another
// confirmation.
func (l *leaseTimers) renew(lease string, token FencingToken, now, duration uint64) bool {
	if timer := l.timers[lease]; timer.revoked && timer.token == token {
		return false
	}
	l.timers[lease] = leaseTimer{token: token, expiresAt: now + duration}
	return true
}

// revoke lets a lease expire at its time, without further renewals.
func (l *leaseTimers) revoke(lease string, token FencingToken, now, duration uint64) {
	timer, known := l.timers[lease]
	if !known || timer.token != token {
		timer = leaseTimer{token: token, expiresAt: now + duration}
	}
	timer.revoked = true
	l.timers[lease] = timer
}

// expired returns the commands that end the leases whose time has passed. A leadership
// that it sees for the first time has a whole lease from now.
func (l *leaseTimers) expired(state *State, now, duration uint64) (commands []Command) {
	for _, name := range slices.Sorted(maps.Keys(state.Leases)) {
		lease := state.Leases[name]
		if lease.Holder == "" {
			delete(l.timers, name)
			continue
		}
		if timer, known := l.timers[name]; !known || timer.token != lease.Token {
			l.renew(name, lease.Token, now, duration)
		} else if now >= timer.expiresAt {
			commands = append(commands, Command{Version: 1, Kind: ExpireLease, Lease: name, Token: lease.Token})
			// Proposed again after another duration, in case that this one is dropped.
			l.timers[name] = leaseTimer{token: lease.Token, expiresAt: now + duration, revoked: true}
		}
	}
	return commands
}
