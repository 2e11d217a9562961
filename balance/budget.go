package balance

import (
	"slices"
	"time"
)

const (
	budgetWindow  = 10 * time.Second // sliding window of the retry budget
	budgetPercent = 20.0             // retries allowed, in percent of the window's first attempts
	budgetFloor   = 2.0              // retries allowed in a window, however few the first attempts
)

// retryBudget limits retries: over a sliding window they stay under the larger of a
// percentage of the first attempts and a floor. Hedged requests draw on it, too.
type retryBudget struct {
	firsts, retries []time.Duration // times of the events within the window, oldest first
}

// dropExpired removes what left the window; an event exactly a window old has left.
func dropExpired(times []time.Duration, now time.Duration) []time.Duration {
	n, _ := slices.BinarySearch(times, now-budgetWindow+1)
	return slices.Delete(times, 0, n)
}

// recordFirst counts a request's first attempt.
func (b *retryBudget) recordFirst(now time.Duration) {
	b.firsts = append(dropExpired(b.firsts, now), now)
}

// firstsInWindow returns the number of first attempts in the window.
func (b *retryBudget) firstsInWindow(now time.Duration) int {
	b.firsts = dropExpired(b.firsts, now)
	return len(b.firsts)
}

// allowsRetry tells whether one more retry may leave now.
func (b *retryBudget) allowsRetry(now time.Duration) bool {
	b.retries = dropExpired(b.retries, now)
	return float64(len(b.retries)) < max(budgetPercent/100*float64(b.firstsInWindow(now)), budgetFloor)
}

// recordRetry counts a retry that leaves.
func (b *retryBudget) recordRetry(now time.Duration) { b.retries = append(b.retries, now) }
