package configuration

import "time"

// AdmissionSettings bound the snapshots that a relay sends at a time.
type AdmissionSettings struct {
	// Slots is how many snapshots may be under way: sent, and not yet acknowledged.
	Slots int
	// SlotTimeout is after what time without an acknowledgement a place is free again.
	SlotTimeout time.Duration
	// RetryMin and RetryMax bound the time after which a subscriber that was not
	// admitted is told to come again.
	RetryMin, RetryMax time.Duration
}

// DefaultAdmissionSettings suits a relay of a zone with some thousands of subscribers.
var DefaultAdmissionSettings = AdmissionSettings{Slots: 64, SlotTimeout: 2 * time.Second, RetryMin: 50 * time.Millisecond, RetryMax: 2 * time.Second}

// Admission decides who is sent a snapshot. The subscribers of a relay that has died,
// or a zone that starts at once, don't bring the next relay down: a bounded number is
// served at a time, the others are told when to come again, each at a moment of its
// own.
type Admission struct {
	settings AdmissionSettings
	// slots are the subscribers that were sent a snapshot, each until its lease ends.
	slots           map[string]time.Duration
	expectedRetries retryEstimate
	peak            int
}

// retryEstimate counts the subscribers that were told to come again and have not
// come yet. Those who never come, since they have moved or ended, leave it: a refusal
// counts in the window in which it was given and in the following one, and whoever
// comes does so before these have ended.
type retryEstimate struct {
	window            time.Duration // length
	windowEnd         time.Duration // of the present window
	current, previous int           // refusals of the windows whose subscribers have not come
}

// count is how many wait.
func (w *retryEstimate) count() int { return w.current + w.previous }

// advance begins the windows that time has brought.
func (w *retryEstimate) advance(now time.Duration) {
	if now < w.windowEnd {
		return
	}
	w.previous, w.current = w.current, 0
	if now >= w.windowEnd+w.window {
		w.previous = 0
	}
	w.windowEnd = now + w.window
}

// recordRetry takes that a subscriber has come which was told to.
func (w *retryEstimate) recordRetry() {
	if w.previous > 0 {
		w.previous--
	} else if w.current > 0 {
		w.current--
	}
}

// NewAdmission returns one with all places free.
func NewAdmission(settings AdmissionSettings) *Admission {
	// A retry is drawn up to one and a half of its mean.
	waiting := retryEstimate{window: settings.RetryMax * 3 / 2}
	return &Admission{settings: settings, slots: map[string]time.Duration{}, expectedRetries: waiting}
}

// Admit tells whether a subscriber is sent a snapshot now, and if not, after what
// time it is to come again. again says that it was told so before; draw is a random
// number from [0,1).
func (a *Admission) Admit(now time.Duration, subscriber string, again bool, draw float64) (bool, time.Duration) {
	a.expectedRetries.advance(now)
	if again {
		a.expectedRetries.recordRetry()
	}
	if _, has := a.slots[subscriber]; !has && len(a.slots) >= a.settings.Slots {
		a.expire(now)
	}
	if _, has := a.slots[subscriber]; !has && len(a.slots) >= a.settings.Slots {
		a.expectedRetries.current++
		return false, a.retryAfter(draw)
	}
	a.slots[subscriber] = now + a.settings.SlotTimeout
	a.peak = max(a.peak, len(a.slots))
	return true, 0
}

// retryAfter spreads those who wait over the time that the places need for them: the
// more wait, the longer. Half of it is drawn.
func (a *Admission) retryAfter(draw float64) time.Duration {
	rounds := float64(a.expectedRetries.count())/float64(a.settings.Slots) + 1
	mean := min(rounds*float64(a.settings.RetryMin), float64(a.settings.RetryMax))
	return time.Duration(mean * (0.5 + draw))
}

// Release frees the place of a subscriber that has acknowledged, or has gone.
func (a *Admission) Release(subscriber string) { delete(a.slots, subscriber) }

// Peak is the most snapshots that were under way at a time.
func (a *Admission) Peak() int { return a.peak }

// InFlight is how many snapshots are under way.
func (a *Admission) InFlight(now time.Duration) int {
	a.expire(now)
	return len(a.slots)
}

// expire frees the places whose lease has ended.
func (a *Admission) expire(now time.Duration) {
	for subscriber, until := range a.slots {
		if until <= now {
			delete(a.slots, subscriber)
		}
	}
}
