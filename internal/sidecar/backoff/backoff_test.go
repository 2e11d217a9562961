package backoff

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Many callers whose calls all fail are never in step, call less and less, and
// hand over to the usual way within the time in which discovery's news count.
func TestManyCallersSpreadAndSlowDown(t *testing.T) {
	const callers = 300
	by := map[time.Duration]int{} // calls by tenth of a second
	last := time.Duration(0)
	for i := range callers {
		rng := rand.New(rand.NewPCG(uint64(i), 1))
		at := time.Duration(0)
		for n := 1; n < MaxAttempts; n++ {
			at += Delay(rng, n)
			by[at/(100*time.Millisecond)]++
		}
		last = max(last, at)
	}
	most := 0
	for at, n := range by {
		if at > 0 && n > most {
			most = n
		}
	}
	if most > callers/2 {
		t.Errorf("%d of %d callers called again in one tenth of a second", most, callers)
	}
	if last < 2*time.Second || last > 6*time.Second {
		t.Errorf("the last call again came after %v", last)
	}
	late := 0
	for at, n := range by {
		if at >= 20 && at < 30 {
			late += n
		}
	}
	if late > 2*callers {
		t.Errorf("%d calls in the third second of %d callers", late, callers)
	}
}

// Any count of tries gives a pause within its bounds.
func TestPausesAreBounded(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for n := -3; n < 100; n++ {
		if d := Delay(rng, n); d < InitialDelay/2 || d > InitialDelay<<MaxDoublings*3/2 {
			t.Errorf("try %d: %v", n, d)
		}
	}
}
