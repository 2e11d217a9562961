package lifecycle

import (
	"fmt"
	"testing"
	"time"
)

func TestRollingRestart(t *testing.T) {
	for _, handOver := range []bool{false, true} {
		cfg := config()
		cfg.Handover = handOver
		s := newSimulation(t, cfg, 9)
		s.run(3 * time.Second)
		actions, err := s.controller.RollingRestart(s.now, nil, true)
		if err != nil {
			t.Fatal(err)
		}
		s.do(actions)
		if _, err := s.controller.RollingRestart(s.now, nil, true); err == nil {
			t.Error("a second rolling restart within the first was accepted")
		}
		s.run(30 * time.Second)
		for id, q := range s.processes {
			if !q.fromRelease {
				t.Errorf("handover %v: process %d is of the old release", handOver, id)
			}
		}
		if s.up() != 9 || s.controller.UpdateInProgress() || s.commits != 1 {
			t.Errorf("handover %v: %d up, rolling %v, %d commits: %v", handOver, s.up(), s.controller.UpdateInProgress(), s.commits, s.events)
		}
		if s.maxActive > cfg.MaxConcurrent {
			t.Errorf("handover %v: %d at once", handOver, s.maxActive)
		}
		if want := map[bool]int{false: 1, true: 2}[handOver]; s.maxProcesses != want {
			t.Errorf("handover %v: %d processes of an instance at a time, want %d", handOver, s.maxProcesses, want)
		}
	}
}

// No further instance is restarted while a drain is in progress.
func TestRollingRestartWaitsForDrains(t *testing.T) {
	cfg := config()
	cfg.Handover, cfg.MaxConcurrent = true, 1
	s := newSimulation(t, cfg, 3)
	s.exitAfter = func(int) time.Duration { return 6 * time.Second }
	s.run(2 * time.Second)
	before := len(s.starts)
	actions, _ := s.controller.RollingRestart(s.now, nil, false)
	s.do(actions)
	s.run(5 * time.Second)
	if n := len(s.starts) - before; n != 1 {
		t.Errorf("%d started while the first still drained", n)
	}
	s.run(20 * time.Second)
	if s.up() != 3 || s.controller.UpdateInProgress() {
		t.Errorf("%d up: %v", s.up(), s.events)
	}
}

// A release that does not become ready is rolled back; a restart without a release
// pauses and can be resumed.
func TestRollingRestartOfABadRelease(t *testing.T) {
	for _, handOver := range []bool{false, true} {
		for _, replace := range []bool{false, true} {
			cfg := config()
			cfg.Handover, cfg.MaxConcurrent = handOver, 1
			s := newSimulation(t, cfg, 6)
			good := 0
			s.run(2 * time.Second)
			s.readyAfter = func(i int, fromRelease bool) time.Duration {
				if good++; good <= 2 { // the first two go well
					return 50 * time.Millisecond
				}
				if replace && !fromRelease {
					return 50 * time.Millisecond
				}
				return 0
			}
			actions, err := s.controller.RollingRestart(s.now, nil, replace)
			if err != nil {
				t.Fatal(err)
			}
			s.do(actions)
			s.run(3 * time.Minute)
			name := fmt.Sprintf("handover %v, replace %v", handOver, replace)
			if replace {
				for id, q := range s.processes {
					if q.fromRelease {
						t.Errorf("%s: process %d is still of the new release", name, id)
					}
				}
				if s.up() != 6 || !s.emitted("rolled back") || s.commits != 0 {
					t.Errorf("%s: %d up, %d commits: %v", name, s.up(), s.commits, s.events)
				}
				continue
			}
			if !s.emitted("rolling update paused") || s.controller.UpdateInProgress() {
				t.Errorf("%s: not paused: %v", name, s.events)
			}
			if handOver && s.up() != 6 {
				t.Errorf("%s: %d up, though the old processes continue", name, s.up())
			}
			s.readyAfter = func(int, bool) time.Duration { return 50 * time.Millisecond }
			actions, err = s.controller.Resume(s.now)
			if err != nil {
				t.Errorf("%s: %v", name, err)
			}
			s.do(actions)
			s.run(time.Minute)
			if s.controller.UpdateInProgress() || s.controller.UpdateStatus() != "" {
				t.Errorf("%s: after resume: %s", name, s.controller.UpdateStatus())
			}
		}
	}
}

func TestRollingReload(t *testing.T) {
	s := newSimulation(t, config(), 4)
	s.run(2 * time.Second)
	actions, _ := s.controller.RollingReload(s.now, nil, true)
	s.do(actions)
	s.run(time.Second)
	if s.commits != 1 || s.controller.UpdateInProgress() {
		t.Fatalf("%d commits: %v", s.commits, s.events)
	}
	// A configuration that two reject is rolled back.
	n := 0
	s.reloads = func(i int, fromRelease bool) bool { n++; return !fromRelease || n == 1 }
	actions, _ = s.controller.RollingReload(s.now, nil, true)
	s.do(actions)
	s.run(time.Second)
	if !s.emitted("rolled back") || s.commits != 1 || s.up() != 4 {
		t.Errorf("%d commits, %d up: %v", s.commits, s.up(), s.events)
	}
}
