package relay

import (
	"math/rand/v2"
	"time"

	"otterspring/internal/fleet/configuration"
)

// snapshotAdmission limits the snapshots in flight and remembers which subscribers were
// told to retry later. Relay.mu guards it.
type snapshotAdmission struct {
	limiter  *configuration.Admission
	deferred map[string]time.Duration // for each deferred subscriber: time after which expire may remove it
}

// deferredTTL is the minimum time for which a deferred subscriber stays in the map of deferred
// subscribers. A subscriber that is admitted or acknowledges a version is removed earlier. A
// poll counts as a retry while its subscriber is in the map. Entries older than deferredTTL are
// removed only when the map is full.
const deferredTTL = 10 * time.Second

func newSnapshotAdmission(slots int) *snapshotAdmission {
	settings := configuration.DefaultAdmissionSettings
	settings.Slots = slots
	return &snapshotAdmission{limiter: configuration.NewAdmission(settings), deferred: map[string]time.Duration{}}
}

// admit reports whether a snapshot may be sent to a subscriber now. If not, it returns the
// delay after which the subscriber should retry.
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

// release frees the slot of a subscriber that has acknowledged a version. This subscriber no
// longer needs a snapshot, even if another relay sent the version.
func (a *snapshotAdmission) release(subscriber string) {
	a.limiter.Release(subscriber)
	delete(a.deferred, subscriber)
}

// expire removes the deferred subscribers that did not retry within deferredTTL.
func (a *snapshotAdmission) expire(now time.Duration) {
	for subscriber, expiry := range a.deferred {
		if expiry <= now {
			delete(a.deferred, subscriber)
		}
	}
}
