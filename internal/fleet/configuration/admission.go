package configuration

import "time"

// AdmissionSettings bound the snapshots that a relay sends at a time.
type AdmissionSettings struct {
	// Places is how many snapshots may be under way: sent, and not yet acknowledged.
	Places int
	// Lease is after what time without an acknowledgement a place is free again.
	Lease time.Duration
	// RetryLeast and RetryMost bound the time after which a subscriber that was not
	// admitted is told to come again.
	RetryLeast, RetryMost time.Duration
}

// DefaultAdmission suits a relay of a zone with some thousands of subscribers.
var DefaultAdmission = AdmissionSettings{Places: 64, Lease: 2 * time.Second, RetryLeast: 50 * time.Millisecond, RetryMost: 2 * time.Second}

// Admission decides who is sent a snapshot. The subscribers of a relay that has died,
// or a zone that starts at once, don't bring the next relay down: a bounded number is
// served at a time, the others are told when to come again, each at a moment of its
// own.
type Admission struct {
	settings AdmissionSettings
	// places are the subscribers that were sent a snapshot, each until its lease ends.
	places  map[string]time.Duration
	waiting waitingEstimate
	peak    int
}

// waitingEstimate counts the subscribers that were told to come again and have not
// come yet. Those who never come, since they have moved or ended, leave it: a refusal
// counts in the window in which it was given and in the following one, and whoever
// comes does so before these have ended.
type waitingEstimate struct {
	window            time.Duration // length
	ends              time.Duration // of the present window
	present, previous int           // refusals of the windows whose subscribers have not come
}

// count is how many wait.
func (w *waitingEstimate) count() int { return w.present + w.previous }

// advance begins the windows that time has brought.
func (w *waitingEstimate) advance(now time.Duration) {
	if now < w.ends {
		return
	}
	w.previous, w.present = w.present, 0
	if now >= w.ends+w.window {
		w.previous = 0
	}
	w.ends = now + w.window
}

// came takes that a subscriber has come which was told to.
func (w *waitingEstimate) came() {
	if w.previous > 0 {
		w.previous--
	} else if w.present > 0 {
		w.present--
	}
}

// NewAdmission returns one with all places free.
func NewAdmission(settings AdmissionSettings) *Admission {
	// A retry is drawn up to one and a half of its mean.
	waiting := waitingEstimate{window: settings.RetryMost * 3 / 2}
	return &Admission{settings: settings, places: map[string]time.Duration{}, waiting: waiting}
}

// Admit tells whether a subscriber is sent a snapshot now, and if not, after what
// time it is to come again. again says that it was told so before; draw is a random
// number from [0,1).
func (a *Admission) Admit(now time.Duration, subscriber string, again bool, draw float64) (bool, time.Duration) {
	a.waiting.advance(now)
	if again {
		a.waiting.came()
	}
	if _, has := a.places[subscriber]; !has && len(a.places) >= a.settings.Places {
		a.expire(now)
	}
	if _, has := a.places[subscriber]; !has && len(a.places) >= a.settings.Places {
		a.waiting.present++
		return false, a.retryAfter(draw)
	}
	a.places[subscriber] = now + a.settings.Lease
	a.peak = max(a.peak, len(a.places))
	return true, 0
}

// retryAfter spreads those who wait over the time that the places need for them: the
// more wait, the longer. Half of it is drawn.
func (a *Admission) retryAfter(draw float64) time.Duration {
	rounds := float64(a.waiting.count())/float64(a.settings.Places) + 1
	mean := min(rounds*float64(a.settings.RetryLeast), float64(a.settings.RetryMost))
	return time.Duration(mean * (0.5 + draw))
}

// Done frees the place of a subscriber that has acknowledged, or has gone.
func (a *Admission) Done(subscriber string) { delete(a.places, subscriber) }

// Peak is the most snapshots that were under way at a time.
func (a *Admission) Peak() int { return a.peak }

// UnderWay is how many snapshots are under way.
func (a *Admission) UnderWay(now time.Duration) int {
	a.expire(now)
	return len(a.places)
}

// expire frees the places whose lease has ended.
func (a *Admission) expire(now time.Duration) {
	for subscriber, until := range a.places {
		if until <= now {
			delete(a.places, subscriber)
		}
	}
}
