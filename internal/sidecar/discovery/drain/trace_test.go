package drain

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

var updateGuards = flag.Bool("update-guards", false, "write the recorded decisions anew instead of comparing them")

// The decisions on seeded random lists, of several discoveries and incarnations, are
// the recorded ones.
func TestDecisionsAreTheRecordedOnes(t *testing.T) {
	var trace strings.Builder
	for seed := range uint64(15) {
		rng := rand.New(rand.NewPCG(seed, 0))
		var tracker Tracker
		now, version := time.Duration(0), int64(0)
		for range 60 {
			now += time.Duration(rng.IntN(20)) * time.Second
			if rng.IntN(12) == 0 {
				tracker.DiscoveryMoved(now)
				version = int64(rng.IntN(5))
				trace.WriteString("moved\n")
			}
			version = max(0, version+int64(rng.IntN(4))-1)
			snapshot := rng.IntN(3) == 0
			servers := make([]Server, rng.IntN(5))
			for i := range servers {
				servers[i] = Server{Name: fmt.Sprint("s", rng.IntN(6)), StartedMillis: int64(rng.IntN(3)), State: State(rng.IntN(3))}
			}
			fmt.Fprintf(&trace, "%v %d %t %v", now, version, snapshot, servers)
			tracker.Apply(now, version, snapshot, servers)
			fmt.Fprintf(&trace, " -> %v %d\n", servers, tracker.Len())
		}
	}
	path := filepath.Join("testdata", "decisions.txt")
	if *updateGuards {
		if err := os.WriteFile(path, []byte(trace.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	got, wanted := strings.Split(trace.String(), "\n"), strings.Split(string(want), "\n")
	if len(got) != len(wanted) {
		t.Fatalf("found %d decisions, wanted %d", len(got), len(wanted))
	}
	for i := range got {
		if got[i] != wanted[i] {
			t.Fatalf("decision %d: found %s, wanted %s", i, got[i], wanted[i])
		}
	}
}
