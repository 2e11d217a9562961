package dispatch

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"otterspring/balance"
	"otterspring/internal/keytest"
)

// recordingUpstream records its name when it is retired.
type recordingUpstream struct {
	noopUpstream
	name    string
	retired *[]string
}

func (u recordingUpstream) Retire() { *u.retired = append(*u.retired, u.name) }

// Checks which upstreams a sequence of random lists opens and retires, and which merged lists
// result. No two servers share an address: see TestLaterServerAtAnAddressSupersedesTheEarlier. For each seed they must equal those recorded in testdata/lists.txt.
func TestEndpointListsMatchGolden(t *testing.T) {
	var trace strings.Builder
	for seed := range uint64(10) {
		traceLists(t, &trace, rand.New(rand.NewPCG(seed, 0)))
	}
	keytest.CompareGolden(t, filepath.Join("testdata", "lists.txt"), trace.String())
}

func traceLists(t *testing.T, trace *strings.Builder, rng *rand.Rand) {
	t.Helper()
	var opened, retired []string
	dispatcher, err := New(Settings{
		Balance: balance.Settings{MaxAttempts: 1, InitialCapacity: 1, Classes: []balance.Class{{Name: "read", Deadline: time.Second}}},
		OpenUpstream: func(addr string, since int64) Upstream {
			name := fmt.Sprintf("%s/%d", addr, since)
			opened = append(opened, name)
			return recordingUpstream{name: name, retired: &retired}
		},
	}, func() {})
	if err != nil {
		t.Fatal(err)
	}
	version, generation := int64(0), 0
	for range 40 {
		if rng.IntN(12) == 0 {
			generation++
			version = int64(rng.IntN(4))
		}
		version += int64(rng.IntN(3))
		list := EndpointList{Version: version, Snapshot: rng.IntN(3) == 0}
		kind := balance.ListDelta
		if list.Snapshot {
			kind = balance.ListFull
		}
		if rng.IntN(10) == 0 {
			kind, list = balance.ListFailed, EndpointList{}
		}
		for i := range rng.IntN(5) {
			index := (i*2 + rng.IntN(2)) % 7
			list.Endpoints = append(list.Endpoints, Endpoint{
				Server:  balance.Server{ID: fmt.Sprint("s", index), State: []balance.ServerState{balance.Ready, balance.Ready, balance.Draining, balance.Removed}[rng.IntN(4)]},
				Address: fmt.Sprintf("127.0.0.%d:%d", 1+index, 1+rng.IntN(2)), StartedMillis: int64(rng.IntN(3)),
			})
		}
		opened, retired = nil, nil
		dispatcher.UpdateEndpoints(kind, list, generation)
		merged := dispatcher.Endpoints()
		slices.SortFunc(merged.Endpoints, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
		slices.Sort(retired)
		fmt.Fprintf(trace, "%d moves %d: opened %v retired %v; version %d:", kind, generation, opened, retired, merged.Version)
		for _, endpoint := range merged.Endpoints {
			fmt.Fprintf(trace, " %s %s %d state %d", endpoint.ID, endpoint.Address, endpoint.StartedMillis, endpoint.State)
		}
		trace.WriteString("\n")
	}
}
