package lifecycle

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

func config() Config {
	return Config{
		StartInterval: 100 * time.Millisecond, ReadyTimeout: 5 * time.Second, ShutdownTimeout: 8 * time.Second, MaxConcurrent: 2, PauseAfterFailures: 2,
		InitialBackoff: 500 * time.Millisecond, MaxBackoff: 8 * time.Second, CrashLoopCount: 4, CrashLoopWindow: time.Minute,
	}
}

// fakeProcess is a process of the simulation.
type fakeProcess struct {
	instance      int
	fromRelease   bool
	readyAt       time.Duration // 0 for never
	exitAt        time.Duration // 0 for not yet known
	clean         bool
	reportedReady bool
}

// simulation runs a controller in virtual time, with processes that become ready,
// ignore signals and crash.
type simulation struct {
	t          interface{ Fatalf(string, ...any) }
	controller *Controller
	config     Config
	now        time.Duration
	processes  map[int]*fakeProcess
	starts     []time.Duration
	events     []string
	commits    int
	record     func(Action) // called with each action before it is done; nil for none

	// How processes behave. The arguments are the instance, and whether the process is
	// of the release that is being rolled out.
	readyAfter func(i int, fromRelease bool) time.Duration // 0 for never
	exitAfter  func(i int) time.Duration                   // SIGTERM; 0 for never
	reloads    func(i int, fromRelease bool) bool

	maxProcesses int // of one instance at a time
	maxActive    int // instances of a rolling update at a time
}

func newSimulation(t interface{ Fatalf(string, ...any) }, cfg Config, n int) *simulation {
	controller, err := New(cfg, n, 1)
	if err != nil {
		t.Fatalf("%v", err)
	}
	return &simulation{
		t: t, controller: controller, config: cfg, processes: map[int]*fakeProcess{},
		readyAfter: func(int, bool) time.Duration { return 50 * time.Millisecond },
		exitAfter:  func(int) time.Duration { return 700 * time.Millisecond },
		reloads:    func(int, bool) bool { return true },
	}
}

func (s *simulation) do(actions []Action) {
	for _, a := range actions {
		if s.record != nil {
			s.record(a)
		}
		switch a.Kind {
		case StartProcess:
			q := &fakeProcess{instance: a.Instance, fromRelease: a.FromRelease}
			if d := s.readyAfter(a.Instance, a.FromRelease); d > 0 {
				q.readyAt = s.now + d
			}
			s.processes[a.Process] = q
			s.starts = append(s.starts, s.now)
			n := 0
			for _, p := range s.processes {
				if p.instance == a.Instance {
					n++
				}
			}
			s.maxProcesses = max(s.maxProcesses, n)
		case TerminateProcess:
			if q := s.processes[a.Process]; q != nil && q.exitAt == 0 {
				if d := s.exitAfter(a.Instance); d > 0 {
					q.exitAt, q.clean = s.now+d, true
				}
			}
		case KillProcess:
			if q := s.processes[a.Process]; q != nil {
				q.exitAt, q.clean = s.now, false
			}
		case ReloadProcess:
			if s.reloads(a.Instance, a.FromRelease) {
				s.processes[a.Process].fromRelease = a.FromRelease
				s.do(s.controller.ProcessReady(s.now, a.Instance, a.Process))
			} else {
				s.do(s.controller.ReloadFailed(s.now, a.Instance, a.Process))
			}
		case EmitEvent:
			s.events = append(s.events, fmt.Sprintf("%v %d: %s", s.now, a.Instance, a.Event.Text()))
		case CommitRelease:
			s.commits++
		}
	}
}

// step advances time to the next event, at most until end.
func (s *simulation) step(end time.Duration) {
	next := min(end, s.controller.NextTick(s.now))
	for _, q := range s.processes {
		if q.readyAt > s.now && !q.reportedReady {
			next = min(next, q.readyAt)
		}
		if q.exitAt > s.now {
			next = min(next, q.exitAt)
		}
	}
	s.now = max(s.now, next)
	ids := make([]int, 0, len(s.processes))
	for id := range s.processes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		q := s.processes[id]
		switch {
		case q.exitAt > 0 && q.exitAt <= s.now:
			delete(s.processes, id)
			s.do(s.controller.ProcessExited(s.now, q.instance, id, q.clean))
		case !q.reportedReady && q.readyAt > 0 && q.readyAt <= s.now:
			q.reportedReady = true
			if s.config.Handover {
				// The old one drains now, and exits.
				for _, o := range s.processes {
					if o.instance == q.instance && o != q && o.exitAt == 0 {
						if d := s.exitAfter(q.instance); d > 0 {
							o.exitAt, o.clean = s.now+d, true
						}
					}
				}
			}
			s.do(s.controller.ProcessReady(s.now, q.instance, id))
		}
	}
	s.do(s.controller.Tick(s.now))
	active := 0
	for i := range s.controller.instances {
		if ph, _ := s.controller.Phase(i); ph == Handover || ph == Draining || ph == Terminating || ph == Reloading {
			active++
		}
	}
	s.maxActive = max(s.maxActive, active)
}

func (s *simulation) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.step(end)
	}
}

func (s *simulation) up() int {
	n := 0
	for i := range s.controller.instances {
		if ph, _ := s.controller.Phase(i); ph == Ready {
			n++
		}
	}
	return n
}

func (s *simulation) emitted(text string) bool {
	return slices.ContainsFunc(s.events, func(event string) bool { return strings.Contains(event, text) })
}
