package client

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a request that runs twice, or that runs although it ended as not executed:
// a server crashes while it executes requests and its host refuses datagrams until the server
// is back. Refusals are lost, delayed and reordered, and quote any part of a datagram or
// nothing. Datagrams are lost, or can't be sent.
func TestCrashesAndRefusals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, rapid.Uint64().Draw(t, "seed"), rapid.Bool().Draw(t, "require Echo"))
		sim.drop = rapid.Float64Range(0, 0.5).Draw(t, "drop")
		sim.sendFailure = rapid.Float64Range(0, 0.3).Draw(t, "send failure")
		sim.maxDelay = time.Duration(rapid.IntRange(0, 100).Draw(t, "maximum delay in ms")) * time.Millisecond
		sim.executionTime = time.Duration(rapid.IntRange(0, 300).Draw(t, "execution time in ms")) * time.Millisecond
		sim.body = make([]byte, rapid.SampledFrom([]int{0, 10, 3000}).Draw(t, "response size"))
		maxQuote := rapid.SampledFrom([]int{0, 4, 11, 12, 520}).Draw(t, "maximum quote in bytes")
		sim.quoteSize = func() int { return sim.rng.IntN(maxQuote + 1) }
		n := uint64(rapid.IntRange(1, 25).Draw(t, "requests"))
		for h := uint64(1); h <= n; h++ {
			sim.startDrawn(t, h)
			sim.advance(time.Duration(rapid.IntRange(0, 100).Draw(t, "pause in ms")) * time.Millisecond)
			if rapid.IntRange(0, 3).Draw(t, "crash or start") == 0 {
				sim.isDown = !sim.isDown
				sim.restart()
			}
		}
		sim.isDown = false
		sim.advance(10 * time.Minute)
		sim.checkGuarantees(n)
	})
}

// Checks that all requests in flight at a crashed server end soon after a refusal, and that a
// request of which nothing was refused ends as possibly executed.
func TestCrashEndsRequestsInFlight(t *testing.T) {
	sim := newSimulation(t, 1, false)
	sim.executionTime = time.Second
	sim.start(1, true, nil)
	sim.start(2, true, nil)
	sim.advance(10 * time.Millisecond)
	sim.restart()
	sim.isDown = true
	sim.start(3, true, nil)
	sim.start(4, true, nil)
	sim.advance(3 * time.Millisecond)
	for h, want := range map[uint64]Outcome{3: Unreachable, 4: Unreachable} {
		if e := sim.finished[h]; len(e) != 1 || e[0].Outcome != want {
			t.Errorf("request %d right after its refusal: %+v, want outcome %d", h, e, want)
		}
	}
	sim.advance(25 * time.Millisecond)
	for h, want := range map[uint64]Outcome{1: ServerLost, 2: ServerLost} {
		if e := sim.finished[h]; len(e) != 1 || e[0].Outcome != want {
			t.Errorf("request %d after the refusal of a later one: %+v, want outcome %d", h, e, want)
		}
	}
	sim.checkGuarantees(4)
}
