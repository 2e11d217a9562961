package supervisor

import (
	"context"
	"net/http"
	"sync"
	"time"

	"otterspring/internal/fleet/lifecycle"
)

// Detection of unresponsive processes. A process that is suspended or deadlocked keeps its
// listener: the kernel accepts connections, but no request is answered. Since neither an
// exit nor an error reports that, the supervisor polls all healthy processes.

const (
	maxConcurrentChecks = 16
	// pollsPerTimeout is how often a process is polled during the health check timeout. A
	// process that does not respond during the whole timeout is unresponsive. The number is
	// greater than 1 so that a single lost response has no effect.
	pollsPerTimeout = 4
)

var heartbeatClient = http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// healthyProcess is a process of an instance that is up. It is the only process of its
// instance.
type healthyProcess struct {
	instance, id int
	address      string
}

// heartbeatMonitor decides which processes are unresponsive. It does no I/O and reads no
// clock. It is not safe for concurrent use.
type heartbeatMonitor struct {
	timeout, interval time.Duration
	lastRoundEnd      time.Time
	lastSeen          map[healthyProcess]time.Time // time of the last response, plus the time excluded since then
}

// newHeartbeatMonitor returns a monitor whose first round begins after now.
func newHeartbeatMonitor(timeout time.Duration, now time.Time) *heartbeatMonitor {
	return &heartbeatMonitor{timeout: timeout, interval: timeout / pollsPerTimeout, lastRoundEnd: now, lastSeen: map[healthyProcess]time.Time{}}
}

// evaluateRound evaluates a round of polls that took place from started to ended. The value
// answered[k] states whether processes[k] responded. evaluateRound returns the processes
// that have not responded for the timeout, and by how much the round was late.
//
// A supervisor that is starved of CPU time starts and completes its polls late, and polls
// fail for that reason alone. The lateness therefore does not count towards the timeout. If
// the lateness exceeds half an interval, no time since the end of the previous round counts
// towards the timeout.
//
// The timeout of a new process starts with the first round that includes the process. The
// timeout of a process that evaluateRound returns starts again.
func (m *heartbeatMonitor) evaluateRound(processes []healthyProcess, answered []bool, started, ended time.Time) (unresponsive []healthyProcess, late time.Duration) {
	late = max(0, started.Sub(m.lastRoundEnd)-m.interval) + max(0, ended.Sub(started)-m.interval)
	excluded := late
	if late > m.interval/2 {
		excluded = ended.Sub(m.lastRoundEnd) // the round is not conclusive
	}
	m.lastRoundEnd = ended
	seen := make(map[healthyProcess]time.Time, len(processes)) // without the processes that have ended
	for k, p := range processes {
		at, known := m.lastSeen[p]
		at = at.Add(excluded)
		switch {
		case answered[k] || !known:
			at = ended
		case ended.Sub(at) >= m.timeout:
			unresponsive = append(unresponsive, p)
			at = ended
		}
		seen[p] = at
	}
	m.lastSeen = seen
	return unresponsive, late
}

// monitorHeartbeats polls all healthy processes until ctx ends. It reports to the event loop
// the processes that have not responded for the health check timeout.
func (s *Supervisor) monitorHeartbeats(ctx context.Context) {
	timeout := s.file.HealthCheck.Timeout
	monitor := newHeartbeatMonitor(timeout, time.Now())
	ticker := time.NewTicker(monitor.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		started := time.Now()
		processes := s.healthyProcesses(ctx)
		answered := pollAll(ctx, processes, monitor.interval)
		unresponsive, late := monitor.evaluateRound(processes, answered, started, time.Now())
		if late > suspensionThreshold {
			s.log.Info("health checks were late; timeouts extended", "duration", late.Round(time.Millisecond))
		}
		for _, p := range unresponsive {
			s.enqueue(ctx, func(now time.Duration) []lifecycle.Action {
				return s.lifecycle.ProcessUnresponsive(now, p.instance, p.id, timeout)
			})
		}
	}
}

// healthyProcesses gets the healthy processes from the event loop. It returns nil if ctx
// ends first.
func (s *Supervisor) healthyProcesses(ctx context.Context) []healthyProcess {
	result := make(chan []healthyProcess, 1)
	s.enqueue(ctx, func(time.Duration) []lifecycle.Action {
		var list []healthyProcess
		for i, spec := range s.specs {
			if !s.isUp(i) {
				continue
			}
			for id := range s.processes[i] {
				list = append(list, healthyProcess{i, id, spec.Listen})
			}
		}
		result <- list
		return nil
	})
	select {
	case list := <-result:
		return list
	case <-ctx.Done():
		return nil
	}
}

// isUp reports whether an instance is up with exactly one process.
func (s *Supervisor) isUp(i int) bool {
	phase, count := s.lifecycle.Phase(i)
	return phase == lifecycle.Ready && count == 1
}

// pollAll reports which processes respond within a timeout. A response with any status
// counts.
func pollAll(ctx context.Context, processes []healthyProcess, timeout time.Duration) []bool {
	answered := make([]bool, len(processes))
	slots := make(chan struct{}, maxConcurrentChecks)
	var polls sync.WaitGroup
	for k, p := range processes {
		slots <- struct{}{}
		polls.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			if response, err := getHealth(ctx, &heartbeatClient, p.address); err == nil {
				response.Body.Close()
				answered[k] = true
			}
		})
	}
	polls.Wait()
	return answered
}
