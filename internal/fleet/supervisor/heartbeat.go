package supervisor

import (
	"context"
	"net/http"
	"sync"
	"time"

	"otterspring/internal/fleet/lifecycle"
)

// An instance that is suspended or deadlocked keeps its listener: connections are
// accepted and never answered. No exit and no error shows that, so the supervisor
// polls for heartbeats.

const (
	maxConcurrentChecks = 16
	// heartbeatsPerTimeout is how often an instance is polled in the time after which it
	// counts as unresponsive, so that one lost response is not enough.
	heartbeatsPerTimeout = 4
)

var heartbeatClient = http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// healthyProcess is a process that is up and in no change, as far as the lifecycle
// knows.
type healthyProcess struct {
	instance, id int
	address      string
}

// monitorHeartbeats polls all healthy processes until ctx ends, and reports those
// that have not answered for the health check's timeout. It owns the times.
func (s *Supervisor) monitorHeartbeats(ctx context.Context) {
	timeout := s.file.HealthCheck.Timeout
	interval := timeout / heartbeatsPerTimeout
	lastSeen := map[healthyProcess]time.Time{}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		if now.Sub(last) > timeout {
			clear(lastSeen) // the supervisor itself was suspended
		}
		last = now
		lastSeen = s.checkHeartbeats(ctx, lastSeen, timeout, interval)
	}
}

// checkHeartbeats polls all healthy processes once and returns when each was last
// seen, a new one now.
func (s *Supervisor) checkHeartbeats(ctx context.Context, lastSeen map[healthyProcess]time.Time, timeout, interval time.Duration) map[healthyProcess]time.Time {
	processes := s.healthyProcesses(ctx)
	answered := pollAll(ctx, processes, interval)
	now := time.Now()
	seen := map[healthyProcess]time.Time{} // as many as there are instances at most
	for k, p := range processes {
		at, known := lastSeen[p]
		switch {
		case answered[k] || !known:
			at = now
		case now.Sub(at) >= timeout:
			s.enqueue(ctx, func(now time.Duration) []lifecycle.Action {
				return s.lifecycle.Unresponsive(now, p.instance, p.id, timeout)
			})
			at = now // killed or not, its timeout starts again
		}
		seen[p] = at
	}
	return seen
}

// healthyProcesses asks the event loop for them; none when ctx ends.
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

// pollAll reports which processes answer within a timeout. Any answer counts.
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
