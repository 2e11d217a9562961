package balance

import (
	"fmt"
	"testing"
	"time"
)

// shedShareAfterUnfinished sends n requests a gap apart that all are still in flight at
// their objective, then returns the share of 200 more that is shed at once.
func shedShareAfterUnfinished(class string, n int, gap time.Duration) float64 {
	b, _ := New(testSettings(), 5)
	b.Endpoints(time.Second, ListFull, testServers(9), nil)
	now, shed := time.Minute, 0
	send := func(id string) bool {
		now += gap
		acts := b.Request(now, Request{ID: id, Class: class, Deadline: now + 900*ms}, nil)
		b.Timer(now+time.Second, 0, nil)
		b.Outcome(now+time.Second, Outcome{Request: id, Status: Cancelled, Took: time.Second, Final: true}, nil)
		return acts[0].Kind == Reject
	}
	for i := range n {
		send(fmt.Sprint("warm", i))
	}
	for i := range 200 {
		if send(fmt.Sprint(i)) {
			shed++
		}
	}
	return float64(shed) / 200
}

// Attempts in flight at the objective feed an overload also where a late response
// has no value and the request ends there (iaba009).
func TestAttemptsInFlightAtTheirObjectiveRaiseTheShedShare(t *testing.T) {
	for _, class := range []string{"join", "record"} {
		if got := shedShareAfterUnfinished(class, 60, 2*time.Second); got < 0.5 {
			t.Errorf("%s: %.2f shed, want most", class, got)
		}
	}
}

// A quiet balancer must learn of an overload from few requests, a busy one by
// small steps (iaba009).
func TestQuietBalancersLearnOverloadFaster(t *testing.T) {
	set := testSettings()
	share := func(gap time.Duration) float64 {
		b, _ := New(set, 5)
		for i := range 100 {
			b.budget.recordFirst(time.Minute + time.Duration(i)*gap)
		}
		b.adjustShedShare(time.Minute+100*gap, shedStepLate)
		return b.shedShare
	}
	busy, quiet := share(10*ms), share(2*time.Second)
	if busy != shedStepLate || quiet < 3*shedStepLate || quiet > maxShedStepMultiple*shedStepLate {
		t.Errorf("one late answer: busy %.3f, quiet %.3f", busy, quiet)
	}
}

// A key has one home, whose cache it fills; its second server takes over when
// the home is much worse (bosch-hearings, big-2).
func TestKeyStaysAtItsHome(t *testing.T) {
	set := testSettings()
	set.KeyAffinity, set.CanHedge = true, false
	b, _ := New(set, 6)
	b.Endpoints(time.Second, ListFull, testServers(12), nil)
	now, n := time.Minute, 0
	homes := func(slow string) map[string]int {
		sent := map[string]int{}
		for range 60 {
			n++
			now += 300 * ms
			id := fmt.Sprint(n)
			key := "hearing"
			if n%4 > 0 {
				key = "other" + id
			}
			for _, a := range b.Request(now, Request{ID: id, Class: "read", Key: key, Deadline: now + 500*ms}, nil) {
				if a.Kind != Send {
					continue
				}
				took := 20 * ms
				if a.Server == slow {
					took = 180 * ms
				}
				if key == "hearing" {
					sent[a.Server]++
				}
				b.Outcome(now+took, Outcome{Request: id, Status: OK, Took: took, Final: true}, nil)
			}
		}
		return sent
	}
	first := homes("")
	if len(first) != 1 {
		t.Fatalf("an even fleet: key sent to %v, want one server", first)
	}
	var home string
	for home = range first {
	}
	if moved := homes(home); moved[home] > 5 {
		t.Errorf("a slow home still got %v", moved)
	}
}

// While most of a grown fleet warms up and serves well, nobody is scarce: a
// tenant above its share is not shed for it. And requests shed at once must
// not lower the ration of servers in warm-up (ifb7b22).
func TestServersInWarmUpAreNoScarcity(t *testing.T) {
	b, _ := New(testSettings(), 7)
	list := testServers(12)
	for i := range list {
		list[i].StartTime = time.Minute - time.Second // all in warm-up
	}
	list[0].StartTime = 0
	b.Endpoints(time.Minute, ListFull, list, nil)
	now := time.Minute
	for i := range 400 {
		now += 20 * ms
		id := fmt.Sprint(i)
		b.Request(now, Request{ID: id, Class: "read", Deadline: now + 500*ms}, nil)
		b.Outcome(now, Outcome{Request: id, Status: OK, Took: ms, Final: true}, nil)
	}
	if b.servedShare < 0.95 || b.servedByWarm > 0.9 {
		t.Errorf("served %.2f, by warm servers %.2f; want nearly all, fewer", b.servedShare, b.servedByWarm)
	}
	before := b.servedByWarm
	b.shedShare = maxShedShare
	for i := range 100 {
		id := fmt.Sprint("refused", i)
		q := &request{Request: Request{ID: id}, class: &b.settings.Classes[0]}
		b.requests[id] = q
		b.answer(q, now)
	}
	if b.servedByWarm != before {
		t.Errorf("requests shed at once moved the warm servers' share from %.2f to %.2f", before, b.servedByWarm)
	}
}
