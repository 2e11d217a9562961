package rig

import (
	"context"
	"os"
	"testing"
	"time"

	"otterspring/internal/standin/lossylink"
)

// coapWorld plays clients and call servers over HTTP and CoAP beside each other,
// half of each. Times are stretched, so that the verdict does not hang on the
// machine's speed.
func coapWorld(t *testing.T, o CoAPOptions, r CoAPRun) *CoAPResult {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	r.Seed = 7
	t.Logf("seed %d", r.Seed)
	o.Servers = func(i int) bool { return i%2 == 1 }
	w, err := New(Options{
		Seed: r.Seed, Instances: 2, Servers: 6, Stretch: 5, Dir: t.TempDir(), MemoryMB: 128, Sockets: 256, CoAP: &o,
		Program: []string{os.Args[0]}, Env: []string{"TEST_RUNS_PROGRAM=sidecar", "GORACE=halt_on_error=1"},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	if err := w.StartAll(ctx, 2); err != nil {
		t.Fatal(err)
	}
	res, err := r.Run(ctx, w)
	if err != nil {
		t.Fatal(err)
	}
	rep := w.Log.Report()
	t.Logf("%s; %d sent again, %d repeats met, %d lost by links", rep.Line(), res.Retransmits, res.DedupHits, res.Dropped)
	for _, err := range res.Errors {
		t.Error(err)
	}
	if rep.Broken() {
		t.Errorf("%v", rep.Problems)
	}
	if got := rep.Served + rep.Refused + rep.Failed + rep.NoAnswer + rep.Held; got != rep.Asked {
		t.Errorf("%d ends for %d requests", got, rep.Asked)
	}
	return res
}

// Every third datagram is lost, others come twice and out of order, in all four
// mixes of who asks whom; call servers over CoAP are killed and forget.
func TestCoAPAndHTTPBesideEachOther(t *testing.T) {
	t.Parallel()
	r := coapWorld(t, CoAPOptions{Echo: true, Faults: lossylink.Faults{Every: 3, Double: 0.1, Delay: 5 * time.Millisecond}},
		CoAPRun{HTTP: 15, CoAP: 15, For: 4 * time.Second, Crash: true})
	if r.DedupHits == 0 || r.Retransmits == 0 || r.Dropped == 0 {
		t.Errorf("%+v", r)
	}
}

// Sidecars are killed, ended and handed over while devices repeat what is lost: what
// an earlier life has run does not run again in the next.
func TestCoAPRestarts(t *testing.T) {
	for _, how := range []Mode{Kill, Term, HandOver} {
		t.Run(string(how), func(t *testing.T) {
			t.Parallel()
			coapWorld(t, CoAPOptions{Echo: true, Faults: lossylink.Faults{Every: 3, Delay: 5 * time.Millisecond}},
				CoAPRun{CoAP: 40, For: 4 * time.Second, Restart: how})
		})
	}
}
