package backoff

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Many callers whose calls all fail are never in step, call less and less often, and
// return to their usual schedule within the time in which a change has to be applied.
func TestManyCallersAreJitteredAndSlowDown(t *testing.T) {
	const callers = 300
	calls := map[time.Duration]int{} // by tenth of a second
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
		t.Errorf("%d of %d callers retried in one tenth of a second", most, callers)
	}
	if latest < 2*time.Second || latest > 6*time.Second {
		t.Errorf("the last retry came after %v", latest)
	}
	late := 0
	for at, n := range calls {
		if at >= 20 && at < 30 {
			late += n
		}
	}
	if late > 2*callers {
		t.Errorf("%d retries in the third second of %d callers", late, callers)
	}
}

// Any number of attempts gives a delay within its bounds.
func TestDelaysAreBounded(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for n := -3; n < 100; n++ {
		if d := Delay(rng, n); d < InitialDelay/2 || d > InitialDelay<<MaxDoublings*3/2 {
			t.Errorf("retry %d: %v", n, d)
		}
	}
}
