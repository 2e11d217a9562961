package discovery

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"otterspring/balance"
	"otterspring/internal/sidecar/dispatch"
)

// patience bounds every wait; the tests wait on conditions.
const patience = 12 * time.Second

type noUpstream struct{}

func (noUpstream) Run(*dispatch.Attempt) {}
func (noUpstream) CloseIdle()            {}
func (noUpstream) Retire()               {}

// follow runs a follower of a scripted discovery: serve gets each call that comes.
func follow(t *testing.T, serve func(c net.Conn, r *http.Request)) (*Follower, *dispatch.Dispatcher) {
	t.Helper()
	return followOne(t, false, serve)
}

func followOne(t *testing.T, pushed bool, serve func(c net.Conn, r *http.Request), set ...func(*Follower)) (*Follower, *dispatch.Dispatcher) {
	t.Helper()
	f := New(listenFor(t, serve), pushed, 0)
	for _, s := range set {
		s(f)
	}
	f.crossing = patience // for a slow machine
	eng, err := dispatch.New(dispatch.Settings{
		Balance:      balance.Settings{Subscribe: !pushed && len(set) == 0, MaxAttempts: 1, ColdShare: 1, Classes: []balance.Class{{Name: "read", Deadline: time.Second}}},
		OpenUpstream: func(string, int64) dispatch.Upstream { return noUpstream{} },
	}, f.Ask)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	f.Ask()
	go f.Run(ctx, eng)
	return f, eng
}

func listenFor(t *testing.T, serve func(c net.Conn, r *http.Request)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go func() {
				br := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					serve(c, r)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

func listOf(index int, full bool, status string) string {
	return fmt.Sprintf(`{"index":%d,"snapshot":%t,"endpoints":[{"name":"s1","address":"127.0.0.1:1","zone":"z","group":1,"status":%q,"since_ms":0}]}`, index, full, status)
}

func answer(c net.Conn, text string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never came: %s", what)
		}
	}
}

// state is what the dispatcher holds of s1; -1 for nothing.
func state(eng *dispatch.Dispatcher) balance.ServerState {
	for _, e := range eng.Endpoints().Endpoints {
		return e.State
	}
	return -1
}

// SIGHUP moves discovery in the very moment in which the old one tells of a drain:
// what is written to the sidecar is told, and must hold.
func TestAnswerThatCrossesAMoveIsTaken(t *testing.T) {
	t.Parallel()
	asked, moved := make(chan struct{}), make(chan struct{})
	silent := listenFor(t, func(net.Conn, *http.Request) {})
	f, eng := follow(t, func(c net.Conn, r *http.Request) {
		if !r.URL.Query().Has("since") {
			answer(c, listOf(5, true, "active"))
			return
		}
		close(asked)
		<-moved
		answer(c, listOf(6, false, "leaving"))
	})
	<-asked
	if got := state(eng); got != balance.Ready {
		t.Fatalf("before the move s1 is %v", got)
	}
	f.Move(silent)
	close(moved)
	eventually(t, "the drain", func() bool { return state(eng) == balance.Draining })
}

// An answer stops half way and nothing more comes: the call is made again long before a
// watch would be over.
func TestAnswerThatStopsHalfWayIsAskedForAgain(t *testing.T) {
	t.Parallel()
	calls := make(chan bool, 16)
	_, eng := follow(t, func(c net.Conn, r *http.Request) {
		if !r.URL.Query().Has("since") {
			answer(c, listOf(5, true, "active"))
			return
		}
		calls <- true
		if len(calls) == 1 {
			text := listOf(6, false, "leaving")
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text[:len(text)/2])
			return
		}
		answer(c, listOf(7, false, "leaving"))
	})
	eventually(t, "the drain that was told by half", func() bool { return state(eng) == balance.Draining })
}

// Version 0 is one like others: a list of that version is watched on, not asked for whole
// again and again, which would use up the sidecar's processor, or discovery.
func TestListOfVersionZeroIsWatched(t *testing.T) {
	t.Parallel()
	calls := make(chan string, 16) // more than that only where it is called without end
	_, eng := follow(t, func(c net.Conn, r *http.Request) {
		q := r.URL.Query()
		select {
		case calls <- q.Get("since"):
		default:
		}
		if !q.Has("since") {
			answer(c, listOf(0, true, "active"))
		}
	})
	eventually(t, "the list", func() bool { return state(eng) == balance.Ready })
	for i, want := range []string{"", "0"} {
		select {
		case got := <-calls:
			if got != want {
				t.Fatalf("call %d asks for what is new since %q, want %q", i, got, want)
			}
		case <-time.After(patience):
			t.Fatalf("call %d does not come", i)
		}
	}
}

// An agent that waits for nothing answers each call at once with the list that is held:
// it is called again after a rest.
func TestAnswerWithoutNewsIsRestedOn(t *testing.T) {
	t.Parallel()
	const some = 8
	var began time.Time
	done := make(chan time.Duration, 1)
	n := 0
	follow(t, func(c net.Conn, r *http.Request) {
		if n == 0 {
			began = time.Now()
		}
		if n++; n == some {
			done <- time.Since(began)
		}
		answer(c, listOf(5, true, "active"))
	})
	select {
	case took := <-done:
		// The first answer is news; each after it rests.
		if least := (some - 3) * rest; took < least {
			t.Errorf("%d calls came within %v, want %v at least", some, took, least)
		}
	case <-time.After(patience):
		t.Fatal("the calls do not go on")
	}
}

// Where lists are pushed a watch falls silent: what it misses is heard of by the next,
// within the 6 s after which it counts as told, not at the end of a long wait.
func TestSilentWatchOfPushedListsIsShort(t *testing.T) {
	t.Parallel()
	var watches atomic.Int64
	_, eng := followOne(t, true, func(c net.Conn, r *http.Request) {
		if !r.URL.Query().Has("since") {
			answer(c, listOf(5, true, "active"))
			return
		}
		if watches.Add(1) > 1 {
			answer(c, listOf(6, false, "leaving"))
		}
	})
	eventually(t, "the drain", func() bool { return state(eng) == balance.Draining })
}

// A watch that falls silent where the list is asked for: the call that makes good for it
// does not wait until the module asks, which here it never does.
func TestSilentWatchIsMadeGoodAtOnce(t *testing.T) {
	t.Parallel()
	var watches atomic.Int64
	_, eng := followOne(t, false, func(c net.Conn, r *http.Request) {
		if !r.URL.Query().Has("since") {
			answer(c, listOf(0, true, "active"))
			return
		}
		if watches.Add(1) > 1 {
			answer(c, listOf(6, false, "leaving"))
		}
	}, func(f *Follower) { f.watchFor = 100 * time.Millisecond })
	eventually(t, "the drain", func() bool { return state(eng) == balance.Draining })
}
