package backoff

import "time"

// The timeouts of a watch of the endpoint list if lists are not pushed. The platform holds a
// sidecar to a change from the time at which it counts the change as reported, whether or not
// the change arrived. A change that an unresponsive watch misses counts as reported at the
// latest 6 s after the watch became unresponsive or, for a long poll, 2 s after the timeout of
// the watch, if that is later.
const (
	// MinWatchTimeout is the timeout of the first watch. MinWatchTimeout is short enough to
	// detect an unresponsive watch and to receive the response to the next call within 6 s.
	MinWatchTimeout = 4 * time.Second
	// MaxWatchTimeout is the longest timeout of a watch. It is longer than the 6 s after which a
	// change can count as reported. With a long timeout, the watches of many sidecars cost
	// discovery little while nothing changes.
	MaxWatchTimeout = 20 * time.Second
)

// WatchTimeout computes the timeout of the next watch. Right after a start, a failure or a
// change the timeout is short, because more changes are likely then, and an unresponsive
// watch hides changes until it times out. Each response without a change doubles the next
// timeout, up to MaxWatchTimeout. The zero value is ready for use.
type WatchTimeout struct{ unchangedResponses int }

// Next returns the timeout of the next watch.
func (w *WatchTimeout) Next() time.Duration {
	wait := MinWatchTimeout
	for range w.unchangedResponses {
		wait = min(2*wait, MaxWatchTimeout)
	}
	return wait
}

// RecordResponse records a successful call, and whether it returned a change.
func (w *WatchTimeout) RecordResponse(changed bool) {
	if changed {
		w.unchangedResponses = 0
		return
	}
	w.unchangedResponses = min(w.unchangedResponses+1, maxUnchangedResponses)
}

// RecordFailure records a call that failed or was cancelled.
func (w *WatchTimeout) RecordFailure() { w.unchangedResponses = 0 }

// maxUnchangedResponses is the number of doublings after which the timeout has reached
// MaxWatchTimeout.
const maxUnchangedResponses = 3
