package configuration

import "time"

// AdmissionSettings limit how many snapshots a relay sends concurrently.
type AdmissionSettings struct {
	// Slots is the maximum number of snapshots in flight, that is, sent but not yet
	// acknowledged.
	Slots int
	// SlotTimeout is the time after which a slot is freed even if the snapshot has not been
	// acknowledged.
	SlotTimeout time.Duration
	// RetryMin and RetryMax are the limits of the mean retry delay for a subscriber that
	// was not admitted.
	RetryMin, RetryMax time.Duration
}

// DefaultAdmissionSettings are for a relay in a zone with a few thousand subscribers.
var DefaultAdmissionSettings = AdmissionSettings{Slots: 64, SlotTimeout: 2 * time.Second, RetryMin: 50 * time.Millisecond, RetryMax: 2 * time.Second}

// Admission decides which subscribers are sent a snapshot. It protects a relay from
// overload when the subscribers of a failed relay move to it, or when all subscribers of
// a zone start at the same time. It admits a limited number of subscribers concurrently
// and gives the others a retry delay with jitter.
//
// It is not safe for concurrent use.
type Admission struct {
	settings AdmissionSettings
	// slots maps each subscriber with a snapshot in flight to the time at which its slot
	// expires.
	slots           map[string]time.Duration
	expectedRetries retryEstimate
	peak            int
}

// retryEstimate estimates how many subscribers with a retry delay have not retried yet.
// A subscriber is counted in the window in which it was deferred and in the next window.
// A window is as long as the longest delay, so every retry occurs within these two
// windows. After the second window, subscribers that never retried, because they moved to
// another relay or exited, are no longer counted.
type retryEstimate struct {
	window    time.Duration // length of a window
	windowEnd time.Duration // end of the current window
	// current and previous are the numbers of subscribers that were deferred in the current
	// and in the previous window and that have not retried yet.
	current, previous int
}

// count returns the number of subscribers that are expected to retry.
func (e *retryEstimate) count() int { return e.current + e.previous }

// advance starts a new window if the current one has ended.
func (e *retryEstimate) advance(now time.Duration) {
	if now < e.windowEnd {
		return
	}
	e.previous, e.current = e.current, 0
	if now >= e.windowEnd+e.window {
		e.previous = 0
	}
	e.windowEnd = now + e.window
}

// recordRetry removes one subscriber, which has retried, from the estimate.
func (e *retryEstimate) recordRetry() {
	if e.previous > 0 {
		e.previous--
	} else if e.current > 0 {
		e.current--
	}
}

// NewAdmission returns an Admission with all slots free.
func NewAdmission(settings AdmissionSettings) *Admission {
	// With jitter, a retry delay is at most 1.5 times its mean.
	estimate := retryEstimate{window: settings.RetryMax * 3 / 2}
	return &Admission{settings: settings, slots: map[string]time.Duration{}, expectedRetries: estimate}
}

// Admit reports whether a subscriber may be sent a snapshot now. If not, it returns the
// delay after which the subscriber should retry. isRetry states whether the subscriber was
// deferred before. random is a random number in [0,1) that determines the jitter.
func (a *Admission) Admit(now time.Duration, subscriber string, isRetry bool, random float64) (bool, time.Duration) {
	a.expectedRetries.advance(now)
	if isRetry {
		a.expectedRetries.recordRetry()
	}
	if _, has := a.slots[subscriber]; !has && len(a.slots) >= a.settings.Slots {
		a.expireSlots(now)
	}
	if _, has := a.slots[subscriber]; !has && len(a.slots) >= a.settings.Slots {
		a.expectedRetries.current++
		return false, a.retryDelay(random)
	}
	a.slots[subscriber] = now + a.settings.SlotTimeout
	a.peak = max(a.peak, len(a.slots))
	return true, 0
}

// retryDelay returns a delay that spreads the expected retries over the time that the
// slots need to serve them. The mean delay grows with the number of expected retries. The
// jitter is up to half of the mean in both directions.
func (a *Admission) retryDelay(random float64) time.Duration {
	rounds := float64(a.expectedRetries.count())/float64(a.settings.Slots) + 1
	mean := min(rounds*float64(a.settings.RetryMin), float64(a.settings.RetryMax))
	return time.Duration(mean * (0.5 + random))
}

// Release frees the slot of a subscriber that has acknowledged its snapshot or
// disconnected.
func (a *Admission) Release(subscriber string) { delete(a.slots, subscriber) }

// PeakInFlight returns the highest number of snapshots that were ever in flight
// concurrently.
func (a *Admission) PeakInFlight() int { return a.peak }

// InFlight returns the number of snapshots in flight.
func (a *Admission) InFlight(now time.Duration) int {
	a.expireSlots(now)
	return len(a.slots)
}

// expireSlots frees the slots whose timeout has passed.
func (a *Admission) expireSlots(now time.Duration) {
	for subscriber, timeout := range a.slots {
		if timeout <= now {
			delete(a.slots, subscriber)
		}
	}
}
