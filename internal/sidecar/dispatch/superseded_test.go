package dispatch

import (
	"testing"
	"time"

	"otterspring/balance"
)

// Guards against a new process that comes up at the address of one that has gone and is taken for
// it: attempts for the earlier server would reach the later one.
func TestLaterServerAtAnAddressSupersedesTheEarlier(t *testing.T) {
	entry := func(id, address string, startedMillis int64) Endpoint {
		return Endpoint{Server: balance.Server{ID: id, State: balance.Ready}, Address: address, StartedMillis: startedMillis}
	}
	snapshot := func(version int64, endpoints ...Endpoint) EndpointList {
		return EndpointList{Version: version, Snapshot: true, Endpoints: endpoints}
	}
	delta := func(version int64, endpoints ...Endpoint) EndpointList {
		return EndpointList{Version: version, Endpoints: endpoints}
	}
	start := time.Now().Add(-time.Minute).UnixMilli()
	for name, c := range map[string]struct {
		lists         []EndpointList
		want, removed []string
	}{
		"in a delta":               {[]EndpointList{snapshot(1, entry("old", "a:1", 0), entry("other", "a:2", 0)), delta(2, entry("new", "a:1", start))}, []string{"new", "other"}, []string{"old"}},
		"in a snapshot":            {[]EndpointList{snapshot(1, entry("new", "a:1", start), entry("old", "a:1", 0))}, []string{"new"}, []string{"old"}},
		"its clock was set back":   {[]EndpointList{snapshot(1, entry("old", "a:1", start)), delta(2, entry("new", "a:1", start-3600_000))}, []string{"new"}, []string{"old"}},
		"twice":                    {[]EndpointList{snapshot(1, entry("first", "a:1", 0)), delta(2, entry("second", "a:1", start)), delta(3, entry("third", "a:1", start+1000))}, []string{"third"}, []string{"first", "second"}},
		"the same start":           {[]EndpointList{snapshot(1, entry("one", "a:1", 0), entry("two", "a:1", 0))}, []string{"one", "two"}, nil},
		"it has moved":             {[]EndpointList{snapshot(1, entry("old", "a:1", 0)), delta(2, entry("old", "a:2", 0), entry("new", "a:1", start))}, []string{"old", "new"}, nil},
		"a snapshot begins afresh": {[]EndpointList{snapshot(1, entry("new", "a:1", start)), snapshot(2, entry("old", "a:1", 0))}, []string{"old"}, []string{"new"}},
	} {
		dispatcher, err := New(Settings{
			Balance:      balance.Settings{MaxAttempts: 1, InitialCapacity: 1, Classes: []balance.Class{{Name: "read", Deadline: time.Minute}}},
			OpenUpstream: func(string, int64) Upstream { return noopUpstream{} },
		}, func() {})
		if err != nil {
			t.Fatal(err)
		}
		for _, list := range c.lists {
			kind := balance.ListDelta
			if list.Snapshot {
				kind = balance.ListFull
			}
			dispatcher.UpdateEndpoints(kind, list, 0)
		}
		for _, id := range c.want {
			if _, listed := dispatcher.endpoints[id]; dispatcher.servers[id] == nil || !listed {
				t.Errorf("%s: found no server %s, want it", name, id)
			}
		}
		for _, id := range c.removed {
			if _, listed := dispatcher.endpoints[id]; dispatcher.servers[id] != nil || listed {
				t.Errorf("%s: found server %s, want it removed", name, id)
			}
		}
	}
}
