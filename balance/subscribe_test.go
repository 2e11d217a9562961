package balance

import (
	"testing"
	"time"
)

// After a call for the list that failed, what is new counts as told 6 s after the
// service has it and can be reached. The next call is due so soon, however many have
// failed, that a call and its answer fit in as well; and calls stay spread out.
func TestSubscribesAgainSoon(t *testing.T) {
	const (
		most  = 3 * time.Second // to the begin of the next call
		least = 100 * time.Millisecond
	)
	for name, took := range map[string]time.Duration{"refused": 0, "turned away": 2 * time.Second, "silent": 3200 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			var first, last time.Duration
			for seed := range uint64(20) {
				b, err := New(Settings{Classes: []Class{{Name: "c", Deadline: time.Second}}, MaxAttempts: 1, InitialCapacity: 1, Subscribe: true}, seed)
				if err != nil {
					t.Fatal(err)
				}
				now := time.Hour
				acts := b.Endpoints(now, ListCached, nil, nil)
				for range 12 {
					asked := false
					for !asked {
						due := time.Duration(-1)
						for _, a := range acts {
							if a.Kind == Timer {
								due = now + a.Wait
							}
							asked = asked || a.Kind == Subscribe
						}
						if asked {
							break
						}
						if due < 0 {
							t.Fatal("the list is not asked for again")
						}
						now = due
						acts = b.Timer(now, uint64(due), nil)
					}
					now += took
					failed := now
					acts = b.Endpoints(now, ListFailed, nil, nil)
					for _, a := range acts {
						if a.Kind == Timer {
							wait := now + a.Wait - failed
							if wait > most-min(took, most-800*time.Millisecond) || wait < least {
								t.Errorf("seed %d: a call that took %v is made again after %v", seed, took, wait)
							}
							if first == 0 {
								first = wait
							}
							last = wait
						}
					}
				}
			}
			if first == last {
				t.Error("the pauses are all alike")
			}
		})
	}
}

// The list comes unasked (a hand-over, a move of discovery) while the module's own call
// for it is still due, and the watch breaks before that: the call that is due must be
// made, for no other will be.
func TestSubscribesAgainAfterAWatchBreaksEarly(t *testing.T) {
	for _, failed := range []bool{false, true} {
		b, err := New(Settings{Classes: []Class{{Name: "c", Deadline: time.Second}}, MaxAttempts: 1, InitialCapacity: 1, Subscribe: true}, 3)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Hour
		acts := b.Endpoints(now, ListCached, nil, nil)
		if failed {
			now += acts[0].Wait
			b.Timer(now, acts[0].Token, nil)
			acts = b.Endpoints(now, ListFailed, nil, nil)
		}
		due := now + acts[0].Wait
		b.Endpoints(now+1, ListFull, []Server{{ID: "a"}}, nil)
		acts = append(acts[:1], b.Endpoints(now+2, ListFailed, nil, nil)...)
		acts = append(acts, b.Timer(due, acts[0].Token, nil)...)
		asked := false
		for range 20 {
			for _, a := range acts {
				asked = asked || a.Kind == Subscribe
			}
			if asked {
				break
			}
			due += time.Second
			acts = b.Timer(due, uint64(due), nil)
		}
		if !asked {
			t.Errorf("after a failed call %v: the list is never asked for again", failed)
		}
	}
}

// A repeat of a keyed request may leave only while the group still drops it; what
// is no such repeat has the request's own time.
func TestSendDeadlineOfARetry(t *testing.T) {
	set := Settings{MaxAttempts: 3, InitialCapacity: 1, Classes: []Class{
		{Name: "keyed", Idempotency: IdempotentWithKey, DedupScope: ScopeAll, DedupWindow: 200 * time.Millisecond, Deadline: 5 * time.Second, LatePriorityWeight: 1},
		{Name: "free", Idempotency: Idempotent, DedupWindow: 200 * time.Millisecond, Deadline: 5 * time.Second, LatePriorityWeight: 1},
	}}
	for class, want := range map[string]time.Duration{"keyed": 200 * time.Millisecond, "free": 5 * time.Second} {
		for _, status := range []Status{Reset, ConnectFailed} {
			b, err := New(set, 1)
			if err != nil {
				t.Fatal(err)
			}
			now := time.Hour
			b.Endpoints(now, ListFull, []Server{{ID: "a"}, {ID: "b"}, {ID: "c"}}, nil)
			acts := b.Request(now, Request{ID: "r", Class: class, Deadline: now + 5*time.Second}, nil)
			if acts[0].Kind != Send || acts[0].SendDeadline != 5*time.Second {
				t.Fatalf("%s: first %+v", class, acts[0])
			}
			sent := now
			now += 50 * time.Millisecond
			acts = b.Outcome(now, Outcome{Request: "r", Status: status, Took: 50 * time.Millisecond}, nil)
			for acts[0].Kind == Timer {
				now += acts[0].Wait
				acts = b.Timer(now, acts[0].Token, nil)
			}
			until := want
			if status == ConnectFailed {
				until = 5 * time.Second // it has not run: this is no repeat
			}
			if acts[0].Kind != Send || now+acts[0].SendDeadline != sent+until {
				t.Errorf("%s after status %d: %+v at %v, want its last byte by %v", class, status, acts[0], now-sent, until)
			}
		}
	}
}
