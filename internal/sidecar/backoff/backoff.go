// Package pace decides how long one of many callers waits before it calls one
// service again. It has no clock and does no I/O: who calls counts the tries,
// draws from its own source, and waits.
//
// All sidecars of a fleet may be sent to another address of discovery by one
// SIGHUP. Calls that fail there, because it works through its calls in turn and
// lets none wait for long, must neither come again in step nor at a pace that
// the fleet's size multiplies: at 300 sidecars a fixed 200 ms was 1,830 calls in
// a second.
package backoff

import (
	"math/rand/v2"
	"time"
)

// The pauses after a move. What the new address has to tell counts as told 4 s
// after the signal, so that the pauses grow to a part of that only, and all
// tries together take about as long.
const (
	InitialDelay = 300 * time.Millisecond // mean of the first pause
	MaxDoublings = 2                      // how often it doubles
	MaxAttempts  = 5                      // calls, the first among them, until the usual way of asking takes over
)

// Delay draws the pause before try n, which is 1 for the first call that is made
// again: from half to one and a half of a mean that doubles.
func Delay(rng *rand.Rand, n int) time.Duration {
	mean := InitialDelay << min(max(n-1, 0), MaxDoublings)
	return mean/2 + time.Duration(rng.Int64N(int64(mean)))
}
