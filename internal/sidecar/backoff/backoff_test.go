package backoff

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against synchronized retries if the calls of many callers all fail. Checks that
// the retries are spread over time and that their rate falls. Also checks that the latest
// of all retries comes 2 to 6 s after the first calls, since a change has to be applied
// soon after a move.
func TestManyCallersAreJitteredAndSlowDown(t *testing.T) {
	const callers = 300
	calls := map[time.Duration]int{} // number of calls in each tenth of a second
	latest := time.Duration(0)
	for i := range callers {
		rng := rand.New(rand.NewPCG(uint64(i), 1))
		at := time.Duration(0)
		for n := 1; n < MaxAttempts; n++ {
			at += Delay(rng, n)
			calls[at/(100*time.Millisecond)]++
		}
		latest = max(latest, at)
	}
	most := 0
	for at, n := range calls {
		if at > 0 && n > most {
			most = n
		}
	}
	if most > callers/2 {
		t.Errorf("found %d retries in one tenth of a second, wanted at most %d for %d callers", most, callers/2, callers)
	}
	if latest < 2*time.Second || latest > 6*time.Second {
		t.Errorf("found the last retry after %v, wanted 2 to 6 s", latest)
	}
	late := 0
	for at, n := range calls {
		if at >= 20 && at < 30 {
			late += n
		}
	}
	if late > 2*callers {
		t.Errorf("found %d retries in the third second, wanted at most %d for %d callers", late, 2*callers, callers)
	}
}

// The delay is within its bounds for any retry number, including invalid ones.
func TestDelaysAreBounded(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for n := -3; n < 100; n++ {
		if d := Delay(rng, n); d < InitialDelay/2 || d > InitialDelay<<MaxDoublings*3/2 {
			t.Errorf("retry %d: found a delay of %v, wanted %v to %v", n, d, InitialDelay/2, InitialDelay<<MaxDoublings*3/2)
		}
	}
}

// The delays before calls to an agent grow, are jittered, and stay below the grace of a drain.
func TestAgentDelay(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for retry, mean := range map[int]time.Duration{0: 20, 1: 20, 2: 40, 3: 80, 4: 160, 5: 200, 100: 200} {
		mean *= time.Millisecond
		least, most := time.Hour, time.Duration(0)
		for range 1000 {
			delay := AgentDelay(rng, retry)
			least, most = min(least, delay), max(most, delay)
		}
		if least < mean/2 || most > mean*3/2 || most-least < mean/2 {
			t.Errorf("retry %d: delays from %v to %v, want them spread over %v to %v", retry, least, most, mean/2, mean*3/2)
		}
	}
}
