package configuration

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestAdmissionBoundsSnapshotsUnderWay(t *testing.T) {
	settings := AdmissionSettings{Slots: 2, SlotTimeout: time.Second, RetryMin: 100 * time.Millisecond, RetryMax: 400 * time.Millisecond}
	a := NewAdmission(settings)
	steps := []struct {
		at         time.Duration
		subscriber string
		admitted   bool
		underWay   int
	}{
		{0, "a", true, 1},
		{500 * time.Millisecond, "b", true, 2},
		{600 * time.Millisecond, "c", false, 2},
		{700 * time.Millisecond, "b", true, 2},   // one that has a place is sent its snapshot again
		{1000 * time.Millisecond, "c", true, 2},  // the lease of a has ended
		{1600 * time.Millisecond, "d", false, 2}, // b's lease began anew
		{1700 * time.Millisecond, "d", true, 2},
		{1750 * time.Millisecond, "e", false, 2},
	}
	for _, step := range steps {
		admitted, retry := a.Admit(step.at, step.subscriber, false, 0.5)
		if admitted != step.admitted || admitted != (retry == 0) || a.InFlight(step.at) != step.underWay {
			t.Errorf("%s at %v: found %v, %v, %d under way; wanted %v, %d", step.subscriber, step.at, admitted, retry, a.InFlight(step.at), step.admitted, step.underWay)
		}
	}
	a.Release("d")
	a.Release("nobody")
	if admitted, _ := a.Admit(1750*time.Millisecond, "e", true, 0.5); !admitted || a.Peak() != 2 {
		t.Errorf("found %v with a peak of %d, wanted a place freed by Done, and 2", admitted, a.Peak())
	}
	if under := a.InFlight(time.Hour); under != 0 {
		t.Errorf("found %d under way after an hour, wanted 0", under)
	}
}

func TestAdmissionPlacesHoldInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := AdmissionSettings{Slots: rapid.IntRange(1, 4).Draw(t, "places"), SlotTimeout: time.Second, RetryMin: 50 * time.Millisecond, RetryMax: 2 * time.Second}
		a, now := NewAdmission(settings), time.Duration(0)
		underWay := map[string]time.Duration{} // until when, by a count of the test's own
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			subscriber := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "subscriber"))
			if rapid.Bool().Draw(t, "done") {
				a.Release(subscriber)
				delete(underWay, subscriber)
				continue
			}
			admitted, retry := a.Admit(now, subscriber, rapid.Bool().Draw(t, "again"), rapid.Float64Range(0, 0.999).Draw(t, "draw"))
			if admitted {
				underWay[subscriber] = now + settings.SlotTimeout
			} else if retry < settings.RetryMin/2 || retry > settings.RetryMax*3/2 {
				t.Fatalf("found a retry after %v, wanted %v to %v", retry, settings.RetryMin/2, settings.RetryMax*3/2)
			}
			count := 0
			for _, until := range underWay {
				if until > now {
					count++
				}
			}
			if count > settings.Slots || a.InFlight(now) != count || a.Peak() > settings.Slots {
				t.Fatalf("found %d under way and a peak of %d, wanted %d, and %d places at most", a.InFlight(now), a.Peak(), count, settings.Slots)
			}
			if !admitted && count < settings.Slots {
				t.Fatalf("found a refusal with %d of %d places taken", count, settings.Slots)
			}
		}
	})
}

// refuse has a relay with all places taken refuse a number of subscribers.
func refuse(a *Admission, now time.Duration, count int) time.Duration {
	last := time.Duration(0)
	for i := range count {
		_, last = a.Admit(now, fmt.Sprintf("%v-%d", now, i), false, 0.5)
	}
	return last
}

// Subscribers that were refused and never come again, since they have moved to
// another relay, are not waited for: one place that is always taken must not keep
// the estimate up.
func TestWaitingEstimateForgetsWhoNeverComes(t *testing.T) {
	settings := AdmissionSettings{Slots: 1, SlotTimeout: time.Second, RetryMin: 50 * time.Millisecond, RetryMax: 2 * time.Second}
	a, now := NewAdmission(settings), time.Duration(0)
	a.Admit(now, "holder", false, 0)
	if long := refuse(a, now, 1000); long != settings.RetryMax {
		t.Fatalf("found a retry after %v behind 1000, wanted %v", long, settings.RetryMax)
	}
	for now < 10*time.Second {
		now += 500 * time.Millisecond
		a.Admit(now, "holder", false, 0) // its lease goes on
	}
	if short := refuse(a, now, 1); short > 2*settings.RetryMin {
		t.Errorf("found a retry after %v with one that waits, wanted %v at most", short, 2*settings.RetryMin)
	}
}

// After a long quiet time nobody is waited for.
func TestWaitingEstimateEndsInQuiet(t *testing.T) {
	settings := AdmissionSettings{Slots: 1, SlotTimeout: 2 * time.Hour, RetryMin: 50 * time.Millisecond, RetryMax: 2 * time.Second}
	a := NewAdmission(settings)
	a.Admit(0, "holder", false, 0)
	refuse(a, 0, 1000)
	if short := refuse(a, time.Hour, 1); short > 2*settings.RetryMin {
		t.Errorf("found a retry after %v with one that waits, wanted %v at most", short, 2*settings.RetryMin)
	}
}

// One that comes again and again is one that waits.
func TestWaitingEstimateCountsOneOnce(t *testing.T) {
	settings := AdmissionSettings{Slots: 1, SlotTimeout: time.Hour, RetryMin: 50 * time.Millisecond, RetryMax: 2 * time.Second}
	a := NewAdmission(settings)
	a.Admit(0, "holder", false, 0)
	for i := range 200 {
		now := time.Duration(i) * 100 * time.Millisecond
		if _, retry := a.Admit(now, "patient", i > 0, 0.5); retry > 2*settings.RetryMin {
			t.Fatalf("visit %d: found a retry after %v, wanted %v at most", i, retry, 2*settings.RetryMin)
		}
	}
}

// Half of a retry's mean is drawn, to both sides.
func TestRetriesAreSpread(t *testing.T) {
	settings := AdmissionSettings{Slots: 1, SlotTimeout: time.Hour, RetryMin: 100 * time.Millisecond, RetryMax: 100 * time.Millisecond}
	a := NewAdmission(settings)
	a.Admit(0, "holder", false, 0)
	_, early := a.Admit(0, "a", false, 0)
	_, late := a.Admit(0, "b", false, 0.99)
	if early != 50*time.Millisecond || late != 149*time.Millisecond {
		t.Errorf("found %v and %v, wanted 50ms and 149ms", early, late)
	}
}

// The same while a few are refused all the time.
func TestWaitingEstimateDoesNotDrift(t *testing.T) {
	settings := AdmissionSettings{Slots: 1, SlotTimeout: time.Second, RetryMin: 10 * time.Millisecond, RetryMax: 2 * time.Second}
	a, last := NewAdmission(settings), time.Duration(0)
	for now := time.Duration(0); now < 10*time.Minute; now += 500 * time.Millisecond {
		a.Admit(now, "holder", false, 0)
		last = refuse(a, now, 1) // comes never again
	}
	if most := 14 * settings.RetryMin; last > most {
		t.Errorf("found a retry after %v with 12 refused in 6 s, wanted %v at most", last, most)
	}
}

// A zone of subscribers that begin at once is served in seconds by a bounded number
// of snapshots at a time, and comes spread.
func TestZoneThatBeginsAtOnce(t *testing.T) {
	const zone, apply = 684, 50 * time.Millisecond
	rng := rand.New(rand.NewPCG(1, 0))
	a := NewAdmission(DefaultAdmissionSettings)
	type visit struct {
		at    time.Duration
		who   int
		again bool
	}
	queue := []visit{}
	for who := range zone {
		queue = append(queue, visit{0, who, false})
	}
	served, last, visits := 0, time.Duration(0), 0
	for len(queue) > 0 {
		slices.SortStableFunc(queue, func(x, y visit) int { return int(x.at - y.at) })
		next := queue[0]
		queue = queue[1:]
		name := fmt.Sprint(next.who)
		if next.who < 0 { // an acknowledgement
			a.Release(fmt.Sprint(-next.who - 1))
			continue
		}
		visits++
		admitted, retry := a.Admit(next.at, name, next.again, rng.Float64())
		if !admitted {
			queue = append(queue, visit{next.at + retry, next.who, true})
			continue
		}
		served, last = served+1, next.at
		queue = append(queue, visit{next.at + apply, -next.who - 1, false})
	}
	if served != zone || last > 3*time.Second || a.Peak() > DefaultAdmissionSettings.Slots || visits > 4*zone {
		t.Errorf("found %d served within %v by %d visits and a peak of %d; wanted %d within 3 s, %d visits and %d at most", served, last, visits, a.Peak(), zone, 4*zone, DefaultAdmissionSettings.Slots)
	}
	t.Logf("%d served within %v by %d visits", served, last, visits)
}
