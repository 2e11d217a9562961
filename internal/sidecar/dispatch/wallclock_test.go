package dispatch

import (
	"testing"
	"time"

	"otterspring/balance"
)

// Guards against a cold server that is taken for a warm one, and against a warm one that counts
// as cold for an hour: the wall clock is stepped after the start of this process, and a server
// starts after the step.
func TestServerThatStartsAfterAClockStepIsCold(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, -3 * time.Second, 0, 3 * time.Second, time.Hour} {
		dispatcher, err := New(Settings{
			Balance:      balance.Settings{MaxAttempts: 1, InitialCapacity: 0.1, WarmUpTime: 20 * time.Second, WarmUpOverloadMultiple: 3, Classes: []balance.Class{{Name: "read", Deadline: time.Second}}},
			OpenUpstream: func(string, int64) Upstream { return noopUpstream{} },
		}, func() {})
		if err != nil {
			t.Fatal(err)
		}
		dispatcher.startWallClock = dispatcher.startWallClock.Add(-step) // the clock is step ahead of then
		list := EndpointList{Version: 1, Snapshot: true, Endpoints: []Endpoint{{Server: balance.Server{ID: "s1"}, Address: "127.0.0.1:1", StartedMillis: time.Now().UnixMilli()}}}
		dispatcher.UpdateEndpoints(balance.ListFull, list, 0)
		const tolerance = 100 * time.Millisecond
		age := dispatcher.now() - dispatcher.startTime(&list.Endpoints[0])
		if age < 0 || age > tolerance {
			t.Errorf("step of %v: a server that has just started has an age of %v, want at most %v", step, age, tolerance)
		}
	}
}
