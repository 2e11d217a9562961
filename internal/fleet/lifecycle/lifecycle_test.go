package lifecycle

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func config() Config {
	return Config{
		StartInterval: 100 * time.Millisecond, ReadyTimeout: 5 * time.Second, ShutdownTimeout: 8 * time.Second, MaxConcurrent: 2, PauseAfterFailures: 2,
		InitialBackoff: 500 * time.Millisecond, MaxBackoff: 8 * time.Second, CrashLoopCount: 4, CrashLoopWindow: time.Minute,
	}
}

// fakeProc is a process of the world that a plan is played in.
type fakeProc struct {
	instance int
	isNew    bool
	readyAt  time.Duration // 0 for never
	endAt    time.Duration // 0 for not yet planned
	clean    bool
	told     bool
}

// world plays a plan in virtual time: processes that become ready, ignore
// signals, crash.
type world struct {
	t      interface{ Fatalf(string, ...any) }
	plan   *Controller
	cfg    Config
	now    time.Duration
	procs  map[int]*fakeProc
	starts []time.Duration
	said   []string
	kept   int
	record func(Action) // called with each action before it is done; nil for none
	// How processes behave; the arguments are the instance and whether the
	// process is of what is rolled out.
	ready func(i int, isNew bool) time.Duration // until ready; 0 for never
	end   func(i int) time.Duration             // from SIGTERM; 0 for never
	hup   func(i int, isNew bool) bool
	most  int // processes of one instance at a time, seen
	roll  int // instances under way in a roll at a time, seen
}

func newWorld(t interface{ Fatalf(string, ...any) }, cfg Config, n int) *world {
	p, err := New(cfg, n, 1)
	if err != nil {
		t.Fatalf("%v", err)
	}
	return &world{
		t: t, plan: p, cfg: cfg, procs: map[int]*fakeProc{},
		ready: func(int, bool) time.Duration { return 50 * time.Millisecond },
		end:   func(int) time.Duration { return 700 * time.Millisecond },
		hup:   func(int, bool) bool { return true },
	}
}

func (w *world) do(acts []Action) {
	for _, a := range acts {
		if w.record != nil {
			w.record(a)
		}
		switch a.Kind {
		case StartProcess:
			q := &fakeProc{instance: a.Instance, isNew: a.FromRelease}
			if d := w.ready(a.Instance, a.FromRelease); d > 0 {
				q.readyAt = w.now + d
			}
			w.procs[a.Process] = q
			w.starts = append(w.starts, w.now)
			n := 0
			for _, p := range w.procs {
				if p.instance == a.Instance {
					n++
				}
			}
			w.most = max(w.most, n)
		case TerminateProcess:
			if q := w.procs[a.Process]; q != nil && q.endAt == 0 {
				if d := w.end(a.Instance); d > 0 {
					q.endAt, q.clean = w.now+d, true
				}
			}
		case KillProcess:
			if q := w.procs[a.Process]; q != nil {
				q.endAt, q.clean = w.now, false
			}
		case ReloadProcess:
			if w.hup(a.Instance, a.FromRelease) {
				w.procs[a.Process].isNew = a.FromRelease
				w.do(w.plan.ProcessReady(w.now, a.Instance, a.Process))
			} else {
				w.do(w.plan.ReloadFailed(w.now, a.Instance, a.Process))
			}
		case Report:
			w.said = append(w.said, fmt.Sprintf("%v %d: %s", w.now, a.Instance, a.Text))
		case CommitRelease:
			w.kept++
		}
	}
}

// step moves time on to the next event, at most until end.
func (w *world) step(end time.Duration) {
	next := min(end, w.plan.NextTick(w.now))
	for _, q := range w.procs {
		if q.readyAt > w.now && !q.told {
			next = min(next, q.readyAt)
		}
		if q.endAt > w.now {
			next = min(next, q.endAt)
		}
	}
	w.now = max(w.now, next)
	ids := make([]int, 0, len(w.procs))
	for id := range w.procs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		q := w.procs[id]
		switch {
		case q.endAt > 0 && q.endAt <= w.now:
			delete(w.procs, id)
			w.do(w.plan.ProcessExited(w.now, q.instance, id, q.clean))
		case !q.told && q.readyAt > 0 && q.readyAt <= w.now:
			q.told = true
			if w.cfg.Handover {
				// The old one drains now, and ends.
				for _, o := range w.procs {
					if o.instance == q.instance && o != q && o.endAt == 0 {
						if d := w.end(q.instance); d > 0 {
							o.endAt, o.clean = w.now+d, true
						}
					}
				}
			}
			w.do(w.plan.ProcessReady(w.now, q.instance, id))
		}
	}
	w.do(w.plan.Tick(w.now))
	active := 0
	for i := range w.plan.list {
		if ph, _ := w.plan.Phase(i); ph == Handover || ph == Draining || ph == Terminating || ph == Reloading {
			active++
		}
	}
	w.roll = max(w.roll, active)
}

func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.step(end)
	}
}

func (w *world) up() int {
	n := 0
	for i := range w.plan.list {
		if ph, _ := w.plan.Phase(i); ph == Ready {
			n++
		}
	}
	return n
}

func (w *world) heard(text string) bool {
	return slices.ContainsFunc(w.said, func(s string) bool { return strings.Contains(s, text) })
}

// 1,200 instances ask discovery for 70 lines and a call of 77 each: at 280 lines
// a second no second holds more than that, and all are up as soon as that
// allows.
func TestStartSpread(t *testing.T) {
	const lines, call, list, n = 280, 77, 70, 1200
	cfg := config()
	perStart := float64(call+list) / lines
	cfg.StartInterval = time.Duration(perStart * float64(time.Second))
	w := newWorld(t, cfg, n)
	total := time.Duration(n)*cfg.StartInterval + time.Second
	w.run(total)
	if w.up() != n {
		t.Fatalf("%d of %d up after %v", w.up(), n, total)
	}
	for i := range w.starts {
		asked := 0
		for k := i; k < n && w.starts[k] < w.starts[i]+time.Second; k++ {
			asked += call + list
		}
		if asked > lines+call+list {
			t.Fatalf("%d lines asked for in the second from %v on", asked, w.starts[i])
		}
	}
}

func TestRollingRestart(t *testing.T) {
	for _, handOver := range []bool{false, true} {
		cfg := config()
		cfg.Handover = handOver
		w := newWorld(t, cfg, 9)
		w.run(3 * time.Second)
		acts, err := w.plan.RollingRestart(w.now, nil, true)
		if err != nil {
			t.Fatal(err)
		}
		w.do(acts)
		if _, err := w.plan.RollingRestart(w.now, nil, true); err == nil {
			t.Error("a second roll within the first was taken")
		}
		w.run(30 * time.Second)
		for id, q := range w.procs {
			if !q.isNew {
				t.Errorf("handover %v: process %d is of the old one", handOver, id)
			}
		}
		if w.up() != 9 || w.plan.UpdateInProgress() || w.kept != 1 {
			t.Errorf("handover %v: %d up, rolling %v, kept %d: %v", handOver, w.up(), w.plan.UpdateInProgress(), w.kept, w.said)
		}
		if w.roll > cfg.MaxConcurrent {
			t.Errorf("handover %v: %d at once", handOver, w.roll)
		}
		if want := map[bool]int{false: 1, true: 2}[handOver]; w.most != want {
			t.Errorf("handover %v: %d processes of an instance at a time, want %d", handOver, w.most, want)
		}
	}
}

// While a drain is still going on no further instance is taken.
func TestRollWaitsForDrains(t *testing.T) {
	cfg := config()
	cfg.Handover, cfg.MaxConcurrent = true, 1
	w := newWorld(t, cfg, 3)
	w.end = func(int) time.Duration { return 6 * time.Second }
	w.run(2 * time.Second)
	began := len(w.starts)
	acts, _ := w.plan.RollingRestart(w.now, nil, false)
	w.do(acts)
	w.run(5 * time.Second)
	if n := len(w.starts) - began; n != 1 {
		t.Errorf("%d started while the first still drained", n)
	}
	w.run(20 * time.Second)
	if w.up() != 3 || w.plan.UpdateInProgress() {
		t.Errorf("%d up: %v", w.up(), w.said)
	}
}

// A new version that does not become ready: with the old one there, the roll
// goes back; without, it pauses and can be resumed.
func TestRollOfABadVersion(t *testing.T) {
	for _, handOver := range []bool{false, true} {
		for _, replace := range []bool{false, true} {
			cfg := config()
			cfg.Handover, cfg.MaxConcurrent = handOver, 1
			w := newWorld(t, cfg, 6)
			good := 0
			w.run(2 * time.Second)
			w.ready = func(i int, isNew bool) time.Duration {
				if good++; good <= 2 { // the first two go well
					return 50 * time.Millisecond
				}
				if replace && !isNew {
					return 50 * time.Millisecond
				}
				return 0
			}
			acts, err := w.plan.RollingRestart(w.now, nil, replace)
			if err != nil {
				t.Fatal(err)
			}
			w.do(acts)
			w.run(3 * time.Minute)
			name := fmt.Sprintf("handover %v, replace %v", handOver, replace)
			if replace {
				for id, q := range w.procs {
					if q.isNew {
						t.Errorf("%s: process %d is still of the new one", name, id)
					}
				}
				if w.up() != 6 || !w.heard("rolled back") || w.kept != 0 {
					t.Errorf("%s: %d up, kept %d: %v", name, w.up(), w.kept, w.said)
				}
				continue
			}
			if !w.heard("paused") || w.plan.UpdateInProgress() {
				t.Errorf("%s: not paused: %v", name, w.said)
			}
			if handOver && w.up() != 6 {
				t.Errorf("%s: %d up, though the old ones go on", name, w.up())
			}
			w.ready = func(int, bool) time.Duration { return 50 * time.Millisecond }
			acts, err = w.plan.Resume(w.now)
			if err != nil {
				t.Errorf("%s: %v", name, err)
			}
			w.do(acts)
			w.run(time.Minute)
			if w.plan.UpdateInProgress() || w.plan.UpdateStatus() != "" {
				t.Errorf("%s: after resume: %s", name, w.plan.UpdateStatus())
			}
		}
	}
}

func TestReload(t *testing.T) {
	w := newWorld(t, config(), 4)
	w.run(2 * time.Second)
	acts, _ := w.plan.RollingReload(w.now, nil, true)
	w.do(acts)
	w.run(time.Second)
	if w.kept != 1 || w.plan.UpdateInProgress() {
		t.Fatalf("kept %d: %v", w.kept, w.said)
	}
	// A configuration that two do not take goes back.
	n := 0
	w.hup = func(i int, isNew bool) bool { n++; return !isNew || n == 1 }
	acts, _ = w.plan.RollingReload(w.now, nil, true)
	w.do(acts)
	w.run(time.Second)
	if !w.heard("rolled back") || w.kept != 1 || w.up() != 4 {
		t.Errorf("kept %d, %d up: %v", w.kept, w.up(), w.said)
	}
}

// A crash is followed by a start after a pause that doubles, up to its bound,
// and a crash loop by none until an operator asks.
func TestCrashes(t *testing.T) {
	cfg := config()
	cfg.CrashLoopCount = 6
	w := newWorld(t, cfg, 1)
	w.ready = func(int, bool) time.Duration { return 0 }
	w.end = func(int) time.Duration { return 0 }
	crash := func() {
		for _, q := range w.procs {
			q.endAt = w.now + time.Millisecond
		}
		w.run(2 * time.Millisecond)
	}
	w.run(10 * time.Millisecond)
	var gaps []time.Duration
	for range 5 {
		at := w.now
		crash()
		for len(w.procs) == 0 && w.now < at+20*time.Second {
			w.step(at + 20*time.Second)
		}
		gaps = append(gaps, (w.now - at).Round(100*time.Millisecond))
	}
	want := []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second}
	if !slices.Equal(gaps, want) {
		t.Errorf("pauses %v, want %v", gaps, want)
	}
	crash()
	if ph, _ := w.plan.Phase(0); ph != CrashLooping || !w.heard("crash loop") {
		t.Errorf("phase %v: %v", ph, w.said)
	}
	w.run(time.Minute)
	if len(w.procs) != 0 {
		t.Error("it was started again")
	}
	w.ready = func(int, bool) time.Duration { return 50 * time.Millisecond }
	acts, _ := w.plan.RollingRestart(w.now, []int{0}, false)
	w.do(acts)
	w.run(time.Second)
	if w.up() != 1 {
		t.Errorf("not up after a restart by hand: %v", w.said)
	}
}

// A child that ignores SIGTERM is killed at its bound, and the roll goes on.
func TestIgnoresTerm(t *testing.T) {
	w := newWorld(t, config(), 3)
	w.end = func(i int) time.Duration {
		if i == 1 {
			return 0
		}
		return 700 * time.Millisecond
	}
	w.run(time.Second)
	acts, _ := w.plan.RollingRestart(w.now, nil, false)
	w.do(acts)
	w.run(30 * time.Second)
	if w.up() != 3 || !w.heard("did not end within 8s of SIGTERM: killed") || w.plan.UpdateInProgress() {
		t.Errorf("%d up: %v", w.up(), w.said)
	}
	w.do(w.plan.StopAll(w.now))
	w.run(30 * time.Second)
	if !w.plan.AllStopped() {
		t.Error("not stopped")
	}
}

// The new process of a hand-over is killed midway: the old one is the instance.
func TestHandOverBreaks(t *testing.T) {
	cfg := config()
	cfg.Handover, cfg.MaxConcurrent = true, 1
	w := newWorld(t, cfg, 1)
	w.run(time.Second)
	w.ready = func(int, bool) time.Duration { return time.Second }
	acts, _ := w.plan.RollingRestart(w.now, nil, false)
	w.do(acts)
	w.run(500 * time.Millisecond)
	for _, q := range w.procs {
		if !q.told {
			q.endAt = w.now
		}
	}
	w.run(time.Second)
	if ph, n := w.plan.Phase(0); ph != Ready || n != 1 || !w.heard("the old one goes on") {
		t.Errorf("phase %v, %d processes: %v", ph, n, w.said)
	}
}

func TestAdoption(t *testing.T) {
	w := newWorld(t, config(), 2)
	id := w.plan.Adopt(0)
	w.procs[id] = &fakeProc{instance: 0, told: true}
	hung := w.plan.AdoptTerminating(0, 1)
	w.procs[hung] = &fakeProc{instance: 1, told: true}
	w.run(20 * time.Second)
	if len(w.starts) != 1 || w.up() != 2 || !w.heard("found running, not ready") {
		t.Errorf("%d started, %d up: %v", len(w.starts), w.up(), w.said)
	}
}

// Whatever processes do and operators ask: never two processes of an instance
// but for a hand-over, starts no closer than Gap, never more than MaxConcurrent under
// way, and after a stop all ends.
func TestPlanHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := config()
		cfg.Handover = rapid.Bool().Draw(t, "handover")
		cfg.MaxConcurrent = rapid.IntRange(1, 3).Draw(t, "atOnce")
		n := rapid.IntRange(1, 6).Draw(t, "instances")
		w := newWorld(t, cfg, n)
		w.ready = func(int, bool) time.Duration {
			return []time.Duration{0, 50 * time.Millisecond, time.Second}[rapid.IntRange(0, 2).Draw(t, "ready")]
		}
		w.end = func(int) time.Duration {
			return []time.Duration{0, 700 * time.Millisecond, 7 * time.Second}[rapid.IntRange(0, 2).Draw(t, "end")]
		}
		w.hup = func(int, bool) bool { return rapid.Bool().Draw(t, "hup") }
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			w.run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				if acts, err := w.plan.RollingRestart(w.now, nil, rapid.Bool().Draw(t, "replace")); err == nil {
					w.do(acts)
				}
			case 1:
				if acts, err := w.plan.RollingReload(w.now, nil, rapid.Bool().Draw(t, "replace")); err == nil {
					w.do(acts)
				}
			case 2:
				if acts, err := w.plan.Resume(w.now); err == nil {
					w.do(acts)
				}
			case 3:
				if acts, err := w.plan.Cancel(); err == nil {
					w.do(acts)
				}
			default: // a crash
				ids := make([]int, 0, len(w.procs))
				for id := range w.procs {
					ids = append(ids, id)
				}
				slices.Sort(ids)
				if len(ids) > 0 {
					w.procs[ids[rapid.IntRange(0, len(ids)-1).Draw(t, "which")]].endAt = w.now
				}
			}
		}
		most := 1
		if cfg.Handover {
			most = 2
		}
		if w.most > most {
			t.Fatalf("%d processes of an instance", w.most)
		}
		for i := 1; i < len(w.starts); i++ {
			if w.starts[i]-w.starts[i-1] < cfg.StartInterval {
				t.Fatalf("starts %v and %v", w.starts[i-1], w.starts[i])
			}
		}
		w.do(w.plan.StopAll(w.now))
		w.run(time.Minute)
		if !w.plan.AllStopped() || len(w.procs) != 0 {
			t.Fatalf("%d processes after the stop", len(w.procs))
		}
	})
}

// A supervisor that stood still while a process became ready must not kill it for
// being late: it did not look.
func TestStoodStill(t *testing.T) {
	cfg := Config{ReadyTimeout: 5 * time.Second, ShutdownTimeout: 5 * time.Second, MaxConcurrent: 1, PauseAfterFailures: 1, InitialBackoff: time.Second, MaxBackoff: time.Second, CrashLoopCount: 5, CrashLoopWindow: time.Minute}
	for _, stood := range []bool{true, false} {
		p, err := New(cfg, 1, 1)
		if err != nil {
			t.Fatal(err)
		}
		p.Tick(0)
		const slept = 9 * time.Second
		if stood {
			p.Suspended(slept)
		}
		killed := false
		for _, a := range p.Tick(slept) {
			killed = killed || a.Kind == KillProcess
		}
		if killed == stood {
			t.Errorf("stood still: %v; killed: %v", stood, killed)
		}
		killed = false
		for _, a := range p.Tick(slept + 6*time.Second) {
			killed = killed || a.Kind == KillProcess
		}
		if killed != stood {
			t.Errorf("6 s after a standstill: killed %v, wanted the limit to hold from then on", killed)
		}
	}
}
