package balance

import (
	"testing"
	"time"
)

// The list comes unasked (a hand-over, a move of discovery) while the module's own call
// for it is still due, and the watch breaks before that: the call that is due must be
// made, for no other will be.
func TestWatchThatBreaksBeforeACallIsDueIsMadeGood(t *testing.T) {
	for _, failed := range []bool{false, true} {
		b, err := New(Settings{Classes: []Class{{Name: "c", Deadline: time.Second}}, MaxAttempts: 1, ColdShare: 1, Subscribe: true}, 3)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Hour
		acts := b.Members(now, ListSaved, nil, nil)
		if failed {
			now += acts[0].Wait
			b.Timer(now, acts[0].Token, nil)
			acts = b.Members(now, ListFailed, nil, nil)
		}
		due := now + acts[0].Wait
		b.Members(now+1, ListFull, []Server{{ID: "a"}}, nil)
		acts = append(acts[:1], b.Members(now+2, ListFailed, nil, nil)...)
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
func TestLatestOfARepeat(t *testing.T) {
	set := Settings{MaxAttempts: 3, ColdShare: 1, Classes: []Class{
		{Name: "keyed", Effect: Keyed, Group: GroupAll, Window: 200 * time.Millisecond, Deadline: 5 * time.Second, LateWorth: 1},
		{Name: "free", Effect: Repeat, Window: 200 * time.Millisecond, Deadline: 5 * time.Second, LateWorth: 1},
	}}
	for class, want := range map[string]time.Duration{"keyed": 200 * time.Millisecond, "free": 5 * time.Second} {
		for _, status := range []Status{Reset, ConnectFailed} {
			b, err := New(set, 1)
			if err != nil {
				t.Fatal(err)
			}
			now := time.Hour
			b.Members(now, ListFull, []Server{{ID: "a"}, {ID: "b"}, {ID: "c"}}, nil)
			acts := b.Request(now, Request{ID: "r", Class: class, Deadline: now + 5*time.Second}, nil)
			if acts[0].Kind != Send || acts[0].Latest != 5*time.Second {
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
			if acts[0].Kind != Send || now+acts[0].Latest != sent+until {
				t.Errorf("%s after status %d: %+v at %v, want its last byte by %v", class, status, acts[0], now-sent, until)
			}
		}
	}
}
