package relay

import (
	"math/rand/v2"
	"time"

	"otterspring/internal/fleet/configuration"
)

// admission is the bound on snapshots under way, with the names of those who were
// told to come again.
type admission struct {
	decide   *configuration.Admission
	deferred map[string]time.Duration // until when a subscriber counts as told
}

// deferredFor is for how long a subscriber that was told to come again is expected.
const deferredFor = 10 * time.Second

func newAdmission(places int) *admission {
	settings := configuration.DefaultAdmissionSettings
	settings.Slots = places
	return &admission{decide: configuration.NewAdmission(settings), deferred: map[string]time.Duration{}}
}

// admit tells whether a subscriber is sent a snapshot now, and if not, after what
// time it is to come again.
func (a *admission) admit(now time.Duration, subscriber string) (bool, time.Duration) {
	_, again := a.deferred[subscriber]
	admitted, retry := a.decide.Admit(now, subscriber, again, rand.Float64())
	if admitted {
		delete(a.deferred, subscriber)
		return true, 0
	}
	if len(a.deferred) >= configuration.MaxSubscribers {
		a.expire(now)
	}
	if len(a.deferred) < configuration.MaxSubscribers {
		a.deferred[subscriber] = now + deferredFor
	}
	return false, retry
}

// acknowledged takes that a subscriber holds a version of its own: it needs no
// snapshot any more, whoever sent it.
func (a *admission) acknowledged(subscriber string) {
	a.decide.Release(subscriber)
	delete(a.deferred, subscriber)
}

// expire forgets those who did not come again.
func (a *admission) expire(now time.Duration) {
	for subscriber, until := range a.deferred {
		if until <= now {
			delete(a.deferred, subscriber)
		}
	}
}
