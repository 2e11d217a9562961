package coordination

import (
	"maps"
	"slices"
)

// leaseTimers holds the expiry times of all leases in ticks of the leader. The expiry times
// are not replicated. A new leader grants each holder a full lease duration, since the new
// leader does not know which renewals its predecessor has confirmed.
type leaseTimers struct {
	timers map[string]leaseTimer // by lease
}

type leaseTimer struct {
	token     FencingToken
	expiresAt uint64
	// revoked is set if an operator has revoked the lease or if the lease's expiry has been
	// proposed. The lease must not be renewed then.
	revoked bool
}

func newLeaseTimers() *leaseTimers { return &leaseTimers{timers: map[string]leaseTimer{}} }

// renew sets the expiry of a lease to now plus a duration in ticks. It returns false if the
// lease is revoked. The expiry of a revoked lease may be committed at any moment, so the
// renewal of such a lease must not be confirmed.
func (l *leaseTimers) renew(lease string, token FencingToken, now, duration uint64) bool {
	if timer := l.timers[lease]; timer.revoked && timer.token == token {
		return false
	}
	l.timers[lease] = leaseTimer{token: token, expiresAt: now + duration}
	return true
}

// revoke prevents further renewals. The lease then ends at its current expiry time.
func (l *leaseTimers) revoke(lease string, token FencingToken, now, duration uint64) {
	timer, known := l.timers[lease]
	if !known || timer.token != token {
		timer = leaseTimer{token: token, expiresAt: now + duration}
	}
	timer.revoked = true
	l.timers[lease] = timer
}

// expired returns, for each lease that has expired, the command that frees the lease. If there
// is no timer for the token of a lease yet, the lease gets a full lease duration from now.
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
			// The proposal may be dropped, so it is repeated after another lease duration.
			l.timers[name] = leaseTimer{token: lease.Token, expiresAt: now + duration, revoked: true}
		}
	}
	return commands
}
