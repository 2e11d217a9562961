package balance

import (
	"fmt"
	"testing"
	"time"
)

// TestBudgetBoundsEveryRetry drives a whole Balancer through a failing service
// and holds each repeat that leaves, by whatever way, against the window as it
// is counted from outside. It fails where the budget lets all pass, where a
// repeat is not counted, and where the floor or the percentage is another.
func TestBudgetBoundsEveryRetry(t *testing.T) {
	for _, tc := range []struct {
		name     string
		perSec   int
		hang     bool // attempts hang, so that second copies draw on the budget
		wantMore int  // repeats at the least: the budget must have been reached
	}{
		{"busy, errors", 100, false, 150},
		{"busy, hangs", 100, true, 30},
		{"quiet, errors", 1, false, 2},
	} {
		t.Run(tc.name, func(t *testing.T) { checkBudget(t, tc.perSec, tc.hang, tc.wantMore) })
	}
}

func checkBudget(t *testing.T, perSec int, hang bool, wantMore int) {
	t.Helper()
	b, err := New(Settings{
		Classes:     []Class{{Name: "roster", LatencyObjective: 400 * time.Millisecond, Deadline: 400 * time.Millisecond, PriorityWeight: 1, Idempotency: Idempotent}},
		MaxAttempts: 3, CanCancel: true, CanHedge: true, InitialCapacity: 1,
	}, 7)
	if err != nil {
		t.Fatal(err)
	}
	var servers []Server
	for i := range 12 {
		servers = append(servers, Server{ID: fmt.Sprintf("s%d", i)})
	}
	now := time.Hour
	b.Endpoints(now, ListFull, servers, nil)
	type due struct {
		at  time.Duration
		out Outcome
	}
	var ends []due
	var firsts, retries []time.Duration
	token, armed := uint64(0), time.Duration(0)
	ended := map[string]time.Duration{} // when a request's latest attempt failed
	take := func(acts []Action) {
		for _, a := range acts {
			switch a.Kind {
			case Timer:
				token, armed = a.Token, now+a.Wait
			case Cancel:
				ends = append(ends, due{now, Outcome{Request: a.Request, Number: a.Number, Status: Cancelled}})
			case Send:
				if !hang {
					ends = append(ends, due{now + 2*time.Millisecond, Outcome{Request: a.Request, Number: a.Number, Status: Error, Took: 2 * time.Millisecond}})
				}
				if at, failed := ended[a.Request]; failed && now-at < 3*time.Millisecond {
					t.Fatalf("a retry left %v after the failure, wanted a pause of 3ms at least", now-at)
				}
				if a.Number == 0 {
					firsts = append(firsts, now)
					break
				}
				n, m := 0, 0
				for _, at := range retries {
					if at > now-budgetWindow {
						n++
					}
				}
				for _, at := range firsts {
					if at > now-budgetWindow {
						m++
					}
				}
				if limit := max(0.2*float64(m), 2); float64(n) >= limit {
					t.Fatalf("at %v a repeat left as number %d of the window, with %d first attempts: wanted fewer than %.1f before it", now, n+1, m, limit)
				}
				retries = append(retries, now)
			}
		}
	}
	every := time.Second / time.Duration(perSec)
	next, end := now, now+20*time.Second
	for id := 0; now < end; now += time.Millisecond {
		for i := 0; i < len(ends); i++ {
			if ends[i].at <= now {
				o := ends[i].out
				ends = append(ends[:i], ends[i+1:]...)
				if o.Status == Error {
					ended[o.Request] = now
				}
				take(b.Outcome(now, o, nil))
				i = -1
			}
		}
		if armed > 0 && now >= armed {
			armed = 0
			take(b.Timer(now, token, nil))
		}
		for ; next <= now; next += every {
			id++
			take(b.Request(now, Request{ID: fmt.Sprint(id), Class: "roster", Deadline: now + 400*time.Millisecond}, nil))
		}
	}
	if len(retries) < wantMore {
		t.Errorf("%d repeats left, wanted %d: the budget was never reached and nothing shown", len(retries), wantMore)
	}
}
