package discovery

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"otterspring/balance"
	"otterspring/internal/sidecar/dispatch"
)

// waitTimeout limits each wait for a condition.
const waitTimeout = 12 * time.Second

type noopUpstream struct{}

func (noopUpstream) Run(*dispatch.Attempt) {}
func (noopUpstream) CloseIdle()            {}
func (noopUpstream) Retire()               {}

// watch runs a watcher of a discovery server that passes each call to serve.
func watch(t *testing.T, serve func(c net.Conn, r *http.Request)) (*Watcher, *dispatch.Dispatcher) {
	t.Helper()
	return watchWith(t, false, serve)
}

func watchWith(t *testing.T, pushed bool, serve func(c net.Conn, r *http.Request), options ...func(*Watcher)) (*Watcher, *dispatch.Dispatcher) {
	t.Helper()
	watcher := New(serveCalls(t, serve), pushed, 0)
	for _, option := range options {
		option(watcher)
	}
	watcher.detachTimeout = waitTimeout // allows for slow machines
	dispatcher, err := dispatch.New(dispatch.Settings{
		Balance:      balance.Settings{Subscribe: !pushed && len(options) == 0, MaxAttempts: 1, InitialCapacity: 1, Classes: []balance.Class{{Name: "read", Deadline: time.Second}}},
		OpenUpstream: func(string, int64) dispatch.Upstream { return noopUpstream{} },
	}, watcher.RequestList)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	watcher.RequestList()
	go watcher.Run(ctx, dispatcher)
	return watcher, dispatcher
}

// serveCalls listens on a local port, passes each HTTP request on any connection to serve,
// and returns the address.
func serveCalls(t *testing.T, serve func(c net.Conn, r *http.Request)) string {
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

// oneServerList returns a list of the server s1 in discovery's format.
func oneServerList(index int, snapshot bool, status string) string {
	return fmt.Sprintf(`{"index":%d,"snapshot":%t,"endpoints":[{"name":"s1","address":"127.0.0.1:1","zone":"z","group":1,"status":%q,"since_ms":0}]}`, index, snapshot, status)
}

// writeResponse writes a response. Errors are ignored: the client may have closed the
// connection.
func writeResponse(c net.Conn, text string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not observed within %v", what, waitTimeout)
		}
	}
}

// firstServerState returns the state of the first server in the dispatcher's list, or -1 if
// the list is empty.
func firstServerState(dispatcher *dispatch.Dispatcher) balance.ServerState {
	for _, endpoint := range dispatcher.Endpoints().Endpoints {
		return endpoint.State
	}
	return -1
}

// Guards against losing a change that discovery reports while a reload (SIGHUP) changes the
// address of discovery: once the response is written, the change counts as reported.
func TestResponseDuringMoveIsApplied(t *testing.T) {
	t.Parallel()
	called, moved := make(chan struct{}), make(chan struct{})
	unresponsive := serveCalls(t, func(net.Conn, *http.Request) {})
	watcher, dispatcher := watch(t, func(c net.Conn, r *http.Request) {
		if !r.URL.Query().Has("since") {
			writeResponse(c, oneServerList(5, true, "active"))
			return
		}
		close(called)
		<-moved
		writeResponse(c, oneServerList(6, false, "leaving"))
	})
	<-called
	if got := firstServerState(dispatcher); got != balance.Ready {
		t.Fatalf("before the move: found s1 in state %v, wanted %v", got, balance.Ready)
	}
	watcher.SetAddress(unresponsive)
	close(moved)
	eventually(t, "the drain", func() bool { return firstServerState(dispatcher) == balance.Draining })
}

// If a response stalls in its body, the call is repeated long before a watch would time
// out.
func TestStalledResponseIsRequestedAgain(t *testing.T) {
	t.Parallel()
	calls := make(chan bool, 16)
	_, dispatcher := watch(t, func(c net.Conn, r *http.Request) {
		if !r.URL.Query().Has("since") {
			writeResponse(c, oneServerList(5, true, "active"))
			return
		}
		calls <- true
		if len(calls) == 1 {
			text := oneServerList(6, false, "leaving")
			if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text[:len(text)/2]); err != nil {
				t.Error(err)
			}
			return
		}
		writeResponse(c, oneServerList(7, false, "leaving"))
	})
	eventually(t, "the drain whose first response stalled", func() bool { return firstServerState(dispatcher) == balance.Draining })
}

// Guards against treating version 0 as if there were no list. The watcher would request
// snapshots in a busy loop then, and overload the sidecar or discovery.
func TestListOfVersionZeroIsWatched(t *testing.T) {
	t.Parallel()
	calls := make(chan string, 16) // exceeded only in a busy loop
	_, dispatcher := watch(t, func(c net.Conn, r *http.Request) {
		q := r.URL.Query()
		select {
		case calls <- q.Get("since"):
		default:
		}
		if !q.Has("since") {
			writeResponse(c, oneServerList(0, true, "active"))
		}
	})
	eventually(t, "the list", func() bool { return firstServerState(dispatcher) == balance.Ready })
	for i, want := range []string{"", "0"} {
		select {
		case got := <-calls:
			if got != want {
				t.Fatalf("call %d: found changes since %q requested, wanted %q", i, got, want)
			}
		case <-time.After(waitTimeout):
			t.Fatalf("call %d was not made within %v", i, waitTimeout)
		}
	}
}

// Guards against a busy loop if an agent ignores the timeout of a watch and returns the
// current list at once: the calls must be minWatchInterval apart.
func TestAgentThatDoesNotWaitIsCalledAtIntervals(t *testing.T) {
	t.Parallel()
	const calls = 8
	var started time.Time
	done := make(chan time.Duration, 1)
	n := 0
	watch(t, func(c net.Conn, r *http.Request) {
		if n == 0 {
			started = time.Now()
		}
		if n++; n == calls {
			done <- time.Since(started)
		}
		writeResponse(c, oneServerList(5, true, "active"))
	})
	select {
	case took := <-done:
		// The first response is a change. Each further response is followed by
		// minWatchInterval.
		if least := (calls - 3) * minWatchInterval; took < least {
			t.Errorf("found %d calls within %v, wanted at least %v", calls, took, least)
		}
	case <-time.After(waitTimeout):
		t.Fatalf("found fewer than %d calls within %v", calls, waitTimeout)
	}
}

// If lists are pushed, a change that an unresponsive watch misses is received by the next
// watch, within the 6 s after which it counts as reported.
func TestUnresponsiveWatchOfPushedListsIsShort(t *testing.T) {
	t.Parallel()
	var watches atomic.Int64
	_, dispatcher := watchWith(t, true, func(c net.Conn, r *http.Request) {
		if !r.URL.Query().Has("since") {
			writeResponse(c, oneServerList(5, true, "active"))
			return
		}
		if watches.Add(1) > 1 {
			writeResponse(c, oneServerList(6, false, "leaving"))
		}
	})
	eventually(t, "the drain", func() bool { return firstServerState(dispatcher) == balance.Draining })
}

// If lists are not pushed, the call after an unresponsive watch must not wait for a request
// by the balancer, which never comes in this test.
func TestUnresponsiveWatchIsRepeatedAtOnce(t *testing.T) {
	t.Parallel()
	var watches atomic.Int64
	_, dispatcher := watchWith(t, false, func(c net.Conn, r *http.Request) {
		if !r.URL.Query().Has("since") {
			writeResponse(c, oneServerList(0, true, "active"))
			return
		}
		if watches.Add(1) > 1 {
			writeResponse(c, oneServerList(6, false, "leaving"))
		}
	}, func(watcher *Watcher) { watcher.fixedTimeout = 100 * time.Millisecond })
	eventually(t, "the drain", func() bool { return firstServerState(dispatcher) == balance.Draining })
}

// Guards against a long first watch. A first watch of 20 s that does not respond would hide
// for that long that servers have departed. The first watch must be short, so that the next
// watch receives the change within 6 s.
func TestUnresponsiveFirstWatchIsShort(t *testing.T) {
	t.Parallel()
	var watches atomic.Int64
	started := time.Now()
	_, dispatcher := watchWith(t, false, func(c net.Conn, r *http.Request) {
		if !r.URL.Query().Has("since") {
			writeResponse(c, oneServerList(0, true, "active"))
			return
		}
		if wait := r.URL.Query().Get("timeout_ms"); watches.Add(1) == 1 && wait != "4000" {
			t.Errorf("found a first watch of %s ms, wanted 4000", wait)
		}
		if watches.Load() > 1 {
			writeResponse(c, oneServerList(6, false, "leaving"))
		}
	})
	eventually(t, "the drain", func() bool { return firstServerState(dispatcher) == balance.Draining })
	t.Logf("drain applied after %v", time.Since(started).Round(100*time.Millisecond))
}

// Guards against requests to a draining server after a watch has ended instead of reporting the
// drain, and after discovery's return: what the agent has counts as reported, and a drain has a
// grace of 0.55 s. Each call ends without a response for two seconds, then the drain is reported.
func TestPushedListIsRequestedSoonAfterEachEndOfAWatch(t *testing.T) {
	t.Parallel()
	const longestGap, period = 450 * time.Millisecond, 2 * time.Second
	const mostCalls = 40 // no busy loop
	var mu sync.Mutex
	var calls []time.Time
	_, dispatcher := watchWith(t, true, func(c net.Conn, r *http.Request) {
		mu.Lock()
		calls = append(calls, time.Now())
		since := time.Since(calls[0])
		first := len(calls) == 1
		mu.Unlock()
		switch {
		case first:
			writeResponse(c, oneServerList(5, true, "active"))
		case since < period:
			c.Close()
		default:
			writeResponse(c, oneServerList(6, true, "leaving"))
		}
	})
	eventually(t, "the drain", func() bool { return firstServerState(dispatcher) == balance.Draining })
	mu.Lock()
	defer mu.Unlock()
	inPeriod := 0
	for i := 1; i < len(calls); i++ {
		if gap := calls[i].Sub(calls[i-1]); gap > longestGap && calls[i-1].Sub(calls[0]) < period {
			t.Errorf("call %d came %v after the one before, want at most %v", i+1, gap, longestGap)
		}
		if calls[i].Sub(calls[0]) < period {
			inPeriod++
		}
	}
	if inPeriod > mostCalls {
		t.Errorf("%d calls in %v, want at most %d", inPeriod, period, mostCalls)
	}
}
