package dispatch

import (
	"fmt"
	"testing"
	"time"

	"otterspring/balance"
)

// The status of an attempt whose deadline has passed: what was written may execute, and
// its server is slow or unresponsive; what had no time to connect says nothing.
func TestTimeoutStatus(t *testing.T) {
	dispatcher := &Dispatcher{settings: Settings{DialTimeout: 100 * time.Millisecond}}
	for _, c := range []struct {
		committed bool
		after     time.Duration
		want      balance.Status
	}{{true, time.Millisecond, balance.Timeout}, {true, time.Second, balance.Timeout}, {false, 200 * time.Millisecond, balance.ConnectFailed}, {false, 50 * time.Millisecond, balance.NeverSent}} {
		a := &Attempt{dispatcher: dispatcher, committed: c.committed, startedAt: time.Minute}
		if got := a.timeoutStatus(time.Minute + c.after); got != c.want {
			t.Errorf("committed %v, after %v: found %v, wanted %v", c.committed, c.after, got, c.want)
		}
	}
}

// The set of recent IDs is bounded, and the latest are in it.
func TestRecentIDsAreBounded(t *testing.T) {
	set := newIDSet()
	for i := range 3 * maxRecentIDs {
		if !set.add(fmt.Sprint("id ", i)) {
			t.Fatal("a new ID was found in the set")
		}
	}
	latest := "the latest"
	set.add(latest)
	if set.add(latest) {
		t.Error("the latest ID is not in the set")
	}
	if len(set.hashes) > maxRecentIDs || len(set.ring) > maxRecentIDs {
		t.Errorf("found %d hashes and %d places, wanted %d at most", len(set.hashes), len(set.ring), maxRecentIDs)
	}
}

type idleUpstream struct{}

func (idleUpstream) Run(*Attempt) {}
func (idleUpstream) CloseIdle()   {}
func (idleUpstream) Retire()      {}

// On a machine whose wall clock is behind, start times lie ahead of it: they count as
// just now, once, and do not stay ahead with every list.
func TestStartTimesAheadOfTheWallClock(t *testing.T) {
	dispatcher, err := New(Settings{
		Balance:      balance.Settings{MaxAttempts: 1, InitialCapacity: 0.1, WarmUpTime: 20 * time.Second, WarmUpOverloadMultiple: 3, Classes: []balance.Class{{Name: "read", Deadline: time.Second}}},
		OpenUpstream: func(string, int64) Upstream { return idleUpstream{} },
	}, func() {})
	if err != nil {
		t.Fatal(err)
	}
	dispatcher.startWallClock = dispatcher.startWallClock.Add(-24 * time.Hour)
	update := func(startedMillis int64) time.Duration {
		list := EndpointList{Version: 1, Snapshot: true, Endpoints: []Endpoint{{Server: balance.Server{ID: "s1"}, Address: "127.0.0.1:1", StartedMillis: startedMillis}}}
		dispatcher.UpdateEndpoints(balance.ListFull, list, 0)
		return dispatcher.startTime(&list.Endpoints[0])
	}
	now := time.Now().UnixMilli()
	first := update(now)
	if first <= 0 || first > dispatcher.now() {
		t.Errorf("a start a day ahead is at %v, and it is %v", first, dispatcher.now())
	}
	time.Sleep(5 * time.Millisecond)
	if second := update(now); second != first {
		t.Errorf("with the second list it is at %v, was at %v", second, first)
	}
	if later := update(now + 1); later <= first {
		t.Errorf("a later start is at %v, the one before at %v", later, first)
	}
	if longAgo := update(0); longAgo != 0 {
		t.Errorf("long ago is at %v", longAgo)
	}
}
