package balance

import (
	"testing"
	"time"
)

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
