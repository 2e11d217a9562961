package lifecycle

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"
)

var updateRecording = flag.Bool("update-recording", false, "write the recorded runs anew instead of comparing them")

// recordingSeeds are the runs that are recorded.
const recordingSeeds = 200

// Each seed's run is a fleet under crashes and commands, of which every action with
// its time is recorded: the decisions stay the same, one by one, when the code that
// makes them is rewritten. The texts for operators are not recorded, but that there is
// one is.
func TestRecordedRuns(t *testing.T) {
	const path = "testdata/recording.txt"
	var recording strings.Builder
	for seed := range uint64(recordingSeeds) {
		w, actions := recordedRun(t, seed)
		fmt.Fprintf(&recording, "%d %d %d %x\n", seed, len(w.starts), strings.Count(actions, "\n"), sha256.Sum256([]byte(actions)))
	}
	if *updateRecording {
		if err := os.WriteFile(path, []byte(recording.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	got, want := strings.Split(recording.String(), "\n"), strings.Split(string(text), "\n")
	if len(got) != len(want) {
		t.Fatalf("%d lines, wanted %d", len(got), len(want))
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("found %s, wanted %s", got[i], want[i])
		}
	}
}

func recordedRun(t *testing.T, seed uint64) (*world, string) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 7))
	cfg := config()
	cfg.Handover = rng.IntN(2) == 0
	cfg.MaxConcurrent = 1 + rng.IntN(3)
	n := 1 + rng.IntN(6)
	w := newWorld(t, cfg, n)
	var actions strings.Builder
	w.record = func(a Action) {
		fmt.Fprintf(&actions, "%d %d %d %d %t %t\n", w.now, a.Kind, a.Instance, a.Process, a.FromRelease, a.Text != "")
	}
	w.ready = func(int, bool) time.Duration {
		return []time.Duration{0, 50 * time.Millisecond, time.Second}[rng.IntN(3)]
	}
	w.end = func(int) time.Duration {
		return []time.Duration{0, 700 * time.Millisecond, 7 * time.Second}[rng.IntN(3)]
	}
	w.hup = func(int, bool) bool { return rng.IntN(2) == 0 }
	if rng.IntN(3) == 0 {
		id := w.plan.Adopt(0)
		w.procs[id] = &fakeProc{instance: 0, told: true}
		if n > 1 {
			id := w.plan.AdoptTerminating(0, 1)
			w.procs[id] = &fakeProc{instance: 1, told: true}
		}
	}
	for range 25 {
		w.run(time.Duration(rng.IntN(3000)) * time.Millisecond)
		recordedCommand(w, rng)
		for i := range n {
			phase, processes := w.plan.Phase(i)
			fmt.Fprintf(&actions, "%d %d %d\n", i, phase, processes)
		}
		fmt.Fprintf(&actions, "%t %t %d\n", w.plan.UpdateInProgress(), w.plan.UpdateStatus() == "", w.plan.NextTick(w.now))
	}
	w.do(w.plan.StopAll(w.now))
	w.run(time.Minute)
	fmt.Fprintf(&actions, "%t\n", w.plan.AllStopped())
	return w, actions.String()
}

// recordedCommand draws a command of an operator, a crash, or a process that answers
// nobody.
func recordedCommand(w *world, rng *rand.Rand) {
	var acts []Action
	var err error
	replace := rng.IntN(2) == 0
	var which []int
	if rng.IntN(2) == 0 {
		which = []int{rng.IntN(len(w.plan.list))}
	}
	running := 0
	for id := range w.procs {
		if running == 0 || id < running {
			running = id
		}
	}
	switch rng.IntN(9) {
	case 0, 1:
		acts, err = w.plan.RollingRestart(w.now, which, replace)
	case 2, 3:
		acts, err = w.plan.RollingReload(w.now, which, replace)
	case 4:
		acts, err = w.plan.Resume(w.now)
	case 5:
		acts, err = w.plan.Cancel()
	case 6:
		w.plan.Suspended(time.Duration(rng.IntN(5000)) * time.Millisecond)
	case 7:
		if running > 0 {
			acts = w.plan.Unresponsive(w.now, w.procs[running].instance, running, time.Second)
		}
	default:
		if running > 0 {
			w.procs[running].endAt = w.now
		}
	}
	if err == nil {
		w.do(acts)
	}
}
