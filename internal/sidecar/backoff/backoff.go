// Package backoff computes retry delays and long-poll timeouts for many clients of one
// service. It has no clock and does no I/O: the caller counts the attempts, provides the
// random number generator, and waits.
//
// A reload may change the address of the discovery service for all sidecars of a fleet at
// the same time. This is called a move. Discovery serves calls from a queue and rejects
// those that wait too long, so some of the first calls fail. The retries of these calls
// must neither be synchronized nor come at a rate that grows with the fleet.
package backoff

import (
	"math/rand/v2"
	"time"
)

// The retry delays after a move. A change at the new address has to be applied within 4 s
// of the move. Each delay is therefore a fraction of 4 s, and all attempts together take
// about 4 s.
const (
	InitialDelay = 300 * time.Millisecond // mean of the first delay
	MaxDoublings = 2                      // maximum number of doublings of the mean delay
	MaxAttempts  = 5                      // number of calls, including the first; later calls follow the caller's usual schedule
)

// Delay returns a random delay before the given retry. The number of the first retry is 1.
// The delay is uniformly distributed between 0.5 and 1.5 times a mean that doubles with
// each retry, up to MaxDoublings times.
func Delay(rng *rand.Rand, retry int) time.Duration {
	return jittered(rng, InitialDelay<<min(max(retry-1, 0), MaxDoublings))
}

// jittered returns a delay that is uniformly distributed between 0.5 and 1.5 times a mean.
func jittered(rng *rand.Rand, mean time.Duration) time.Duration {
	return mean/2 + time.Duration(rng.Int64N(int64(mean)))
}

// The retry delays of calls to an agent on the same machine, where a call costs next to nothing.
// What the agent has counts as reported, so that the longest delay has to stay well below the
// 0.5 s after which requests to a draining server are a fault.
const (
	initialAgentDelay = 20 * time.Millisecond  // mean of the first delay
	maxAgentDelay     = 200 * time.Millisecond // largest mean
)

// AgentDelay returns a random delay before the given retry of a call to an agent on the same
// machine. The number of the first retry is 1. The delay is uniformly distributed between 0.5 and
// 1.5 times a mean that doubles with each retry up to maxAgentDelay.
func AgentDelay(rng *rand.Rand, retry int) time.Duration {
	mean := initialAgentDelay
	for i := 1; i < retry && mean < maxAgentDelay; i++ {
		mean = min(2*mean, maxAgentDelay)
	}
	return jittered(rng, mean)
}
