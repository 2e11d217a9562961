// Package backoff decides how long one of many callers waits before it calls one service
// again. It has no clock and does no I/O: the caller counts the attempts, draws from its
// own generator, and waits.
//
// All sidecars of a fleet may be moved to another address of discovery at the same time.
// Calls that fail there, because discovery works through its queue and lets no call wait
// for long, must neither be repeated in step nor at a rate that grows with the fleet.
package backoff

import (
	"math/rand/v2"
	"time"
)

// The delays after a move. A change at the new address has to be applied within 4 s of
// the move, so the delays stay a part of that, and all attempts together take about as
// long.
const (
	InitialDelay = 300 * time.Millisecond // mean of the first delay
	MaxDoublings = 2                      // of the mean
	MaxAttempts  = 5                      // calls, the first included, until the caller's usual schedule applies
)

// Delay draws the delay before a retry, which is 1 for the first: from half to one and a
// half of a mean that doubles up to MaxDoublings times.
func Delay(rng *rand.Rand, retry int) time.Duration {
	mean := InitialDelay << min(max(retry-1, 0), MaxDoublings)
	return mean/2 + time.Duration(rng.Int64N(int64(mean)))
}
