package balance

import (
	"slices"
	"time"
)

const (
	budgetWindow  = 10 * time.Second // sliding window of the retry budget
	budgetPercent = 20.0             // allowed retries in percent of the first attempts in the window
	budgetFloor   = 2.0              // retries allowed in a window regardless of the number of first attempts
)

// retryBudget limits the retries within a sliding window to a percentage of the first attempts in the window. At
// least budgetFloor retries are always allowed in a window. Hedged requests count as retries.
type retryBudget struct {
	firsts, retries []time.Duration // times of the attempts within the window, oldest first
}

// dropExpired removes the times outside the window. A time exactly budgetWindow ago is outside.
func dropExpired(times []time.Duration, now time.Duration) []time.Duration {
	n, _ := slices.BinarySearch(times, now-budgetWindow+1)
	return slices.Delete(times, 0, n)
}

// recordFirst counts the first attempt of a request.
func (b *retryBudget) recordFirst(now time.Duration) {
	b.firsts = append(dropExpired(b.firsts, now), now)
}

// firstsInWindow returns the number of first attempts in the window.
func (b *retryBudget) firstsInWindow(now time.Duration) int {
	b.firsts = dropExpired(b.firsts, now)
	return len(b.firsts)
}

// allowsRetry reports whether another retry may be sent now.
func (b *retryBudget) allowsRetry(now time.Duration) bool {
	b.retries = dropExpired(b.retries, now)
	return float64(len(b.retries)) < max(budgetPercent/100*float64(b.firstsInWindow(now)), budgetFloor)
}

// recordRetry counts a retry that is being sent.
func (b *retryBudget) recordRetry(now time.Duration) { b.retries = append(b.retries, now) }
