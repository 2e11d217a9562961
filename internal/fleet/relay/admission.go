package relay

import (
	"math/rand/v2"
	"time"

	"otterspring/internal/fleet/configuration"
)

// snapshotAdmission limits the snapshots in flight, and records the subscribers that got
// a retry delay. Relay.mu guards it.
type snapshotAdmission struct {
	limiter  *configuration.Admission
	deferred map[string]time.Duration // until when a subscriber's poll counts as a retry
}

// deferredTTL is how long a retry is expected.
const deferredTTL = 10 * time.Second

func newSnapshotAdmission(slots int) *snapshotAdmission {
	settings := configuration.DefaultAdmissionSettings
	settings.Slots = slots
	return &snapshotAdmission{limiter: configuration.NewAdmission(settings), deferred: map[string]time.Duration{}}
}

// admit reports whether a subscriber is sent a snapshot now; if not, it returns the
// delay after which it is to retry.
func (a *snapshotAdmission) admit(now time.Duration, subscriber string) (bool, time.Duration) {
	_, isRetry := a.deferred[subscriber]
	admitted, delay := a.limiter.Admit(now, subscriber, isRetry, rand.Float64())
	if admitted {
		delete(a.deferred, subscriber)
		return true, 0
	}
	if len(a.deferred) >= configuration.MaxSubscribers {
		a.expire(now)
	}
	if len(a.deferred) < configuration.MaxSubscribers {
		a.deferred[subscriber] = now + deferredTTL
	}
	return false, delay
}

// acknowledged releases the slot of a subscriber that has a version: it needs no
// snapshot any more, whichever relay sent it.
func (a *snapshotAdmission) acknowledged(subscriber string) {
	a.limiter.Release(subscriber)
	delete(a.deferred, subscriber)
}

// expire removes the subscribers that did not retry.
func (a *snapshotAdmission) expire(now time.Duration) {
	for subscriber, expiry := range a.deferred {
		if expiry <= now {
			delete(a.deferred, subscriber)
		}
	}
}
