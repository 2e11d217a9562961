package rig

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"otterspring/internal/lab/experiment"
	"otterspring/internal/lab/standin/clients"
)

// Limits of signal series and their clients, modeled on a platform's planned restart.
const (
	// A process that has received SIGTERM is killed after the longest deadline of a request plus
	// killMargin. A deadline longer than maxDeadline counts as maxDeadline.
	killMargin  = 700 * time.Millisecond
	maxDeadline = 3 * time.Second
	// newConnectionPeriod is how long after SIGTERM clients still open new connections.
	newConnectionPeriod = 400 * time.Millisecond
	// maxReadyTime is the longest time that a start may take.
	maxReadyTime = 10 * time.Second
	// minReloadAge is the minimum age of a process at its first SIGHUP.
	minReloadAge = time.Second
	// maxSuspension is the longest time for which the platform suspends a process.
	maxSuspension = 150 * time.Millisecond
	// persistentConnections is the number of connections on which clients send during a restart.
	persistentConnections = 6
	// persistentClientsLead is how long the clients on persistent connections run before the
	// signal.
	persistentClientsLead = 300 * time.Millisecond
	// minDiscoveryLag and maxDiscoveryLag bound the delay of the second discovery service relative
	// to the first.
	minDiscoveryLag, maxDiscoveryLag = 500 * time.Millisecond, 2 * time.Second
	// minRequestsToJudge is the minimum number of requests to an instance before the instance can
	// count as idle.
	minRequestsToJudge = 15
)

// runSignalSeries sends a series of signals to an instance's processes.
func (r *experimentRun) runSignalSeries(ctx context.Context, step experiment.Step, seed uint64) error {
	r.restartLocks[step.Instance].Lock()
	defer r.restartLocks[step.Instance].Unlock()
	s := &signalSeries{run: r, in: r.world.Instances[step.Instance], rng: rand.New(rand.NewPCG(seed, 0x7369676e))}
	switch kind := r.plan.Spec.Faults[step.Fault].Kind; kind {
	case "term-kill":
		return s.restart(ctx, func(p *Process) { s.send(p, syscall.SIGTERM) })
	case "hup-series":
		return s.reloadRepeatedly(ctx)
	case "hup-term":
		return s.restart(ctx, func(p *Process) {
			s.reload(p)
			s.pause(ctx, time.Second)
			s.send(p, syscall.SIGTERM)
		})
	case "term-twice":
		return s.restart(ctx, func(p *Process) {
			s.send(p, syscall.SIGTERM)
			s.suspend(ctx, p)
			s.pause(ctx, 500*time.Millisecond)
			s.send(p, syscall.SIGTERM)
		})
	case "term-in-start":
		return s.terminateDuringStart(ctx)
	case "handover-term":
		return s.handover(ctx, func(old, _ *Process) { s.send(old, syscall.SIGTERM) })
	case "handover-kill":
		return s.handover(ctx, func(_, successor *Process) { s.kill(successor) })
	default:
		return fmt.Errorf("rig: unknown kind of signal series %q", kind)
	}
}

// signalSeries is one series of signals on one instance.
type signalSeries struct {
	run *experimentRun
	in  *Instance
	rng *rand.Rand
}

// updateCounts updates the run's signal counts under its mutex.
func (r *experimentRun) updateCounts(update func(*experiment.SignalCounts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.signalCounts == nil {
		r.signalCounts = &experiment.SignalCounts{}
	}
	update(r.signalCounts)
}

// recordProblem increments a count and adds a description of the problem.
func (r *experimentRun) recordProblem(counter func(*experiment.SignalCounts) *int, format string, args ...any) {
	r.updateCounts(func(counts *experiment.SignalCounts) {
		*counter(counts)++
		counts.Problems = append(counts.Problems, fmt.Sprintf(format, args...))
	})
}

// send sends a signal to a process, which may have ended.
func (s *signalSeries) send(process *Process, signal syscall.Signal) {
	if signal == syscall.SIGTERM {
		process.exitExpected.Store(true)
	}
	_ = process.cmd.Process.Signal(signal) // fails only on a process that has ended
	s.run.updateCounts(func(counts *experiment.SignalCounts) { counts.Sent++ })
}

// pause waits for a random time up to limit, and for at least a millisecond.
func (s *signalSeries) pause(ctx context.Context, limit time.Duration) {
	waitFor(ctx, time.Millisecond+time.Duration(s.rng.Int64N(int64(limit))))
}

// suspend suspends a process for a random time up to maxSuspension.
func (s *signalSeries) suspend(ctx context.Context, process *Process) {
	s.send(process, syscall.SIGSTOP)
	s.pause(ctx, maxSuspension)
	s.send(process, syscall.SIGCONT)
}

// kill kills a process. Clients retry the requests in flight under new IDs. The kill is therefore
// reported to the checker before a connection breaks.
func (s *signalSeries) kill(process *Process) {
	killedAt := s.in.world.Checker.Now()
	s.in.world.Checker.ExcuseKill(s.in.Name, killedAt)
	process.Kill()
	s.run.updateCounts(func(counts *experiment.SignalCounts) { counts.Sent++ })
	<-process.done
	s.in.world.Checker.ExcuseKill(s.in.Name, killedAt)
}

// newestProcess waits until the instance's newest process is old enough for SIGHUP, and returns it.
func (s *signalSeries) newestProcess(ctx context.Context) (*Process, error) {
	processes := s.in.runningProcesses()
	if len(processes) == 0 {
		return nil, fmt.Errorf("instance %s: no process", s.in.Name)
	}
	process := processes[len(processes)-1]
	waitFor(ctx, time.Until(process.started.Add(minReloadAge)))
	return process, ctx.Err()
}

// reload makes a process reload a new configuration. In two of three cases the configuration has
// another discovery address. This is an address of the same service in one case, and of the lagging
// service in the other.
func (s *signalSeries) reload(process *Process) {
	var err error
	switch s.rng.IntN(3) {
	case 0:
		err = s.in.MoveDiscovery(0)
	case 1:
		err = s.in.moveDiscoveryTo(s.in.world.laggingRegistry, 0)
	}
	if err == nil {
		err = s.in.writeConfig()
	}
	s.run.recordError(err)
	s.send(process, syscall.SIGHUP)
}

// reloadRepeatedly sends SIGHUP several times.
func (s *signalSeries) reloadRepeatedly(ctx context.Context) error {
	process, err := s.newestProcess(ctx)
	if err != nil {
		return err
	}
	for range 2 + s.rng.IntN(4) {
		s.reload(process)
		if s.rng.IntN(3) == 0 {
			s.suspend(ctx, process)
		}
		s.pause(ctx, 30*time.Millisecond)
	}
	return nil
}

// restart ends a process by signals that include SIGTERM, and starts another process. Until the
// process has ended, clients send requests on every connection that stays open. A process that
// exceeds shutdownLimit is killed. This is the earliest time at which the platform would kill the
// process.
func (s *signalSeries) restart(ctx context.Context, signals func(*Process)) error {
	process, err := s.newestProcess(ctx)
	if err != nil {
		return err
	}
	clientsCtx, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	if s.run.plan.Spec.World.CoAP.Clients < 1 {
		persistentClients := s.run.world.NewClients(s.in, s.rng.Uint64())
		wg.Go(func() {
			persistentClients.RequestUntilClosed(clientsCtx, persistentConnections, persistentClientsLead+newConnectionPeriod)
		})
		waitFor(ctx, persistentClientsLead)
	}
	signals(process)
	if err := s.awaitExit(ctx, process); err != nil {
		return err
	}
	return s.start(ctx)
}

// shutdownLimit returns how long a process may run after SIGTERM.
func (r *experimentRun) shutdownLimit() time.Duration {
	longest := time.Duration(0)
	for _, class := range r.world.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, maxDeadline) + killMargin
}

// awaitExit waits until a process that received SIGTERM has ended, and kills it if it exceeds
// shutdownLimit. The requests that a killed process has not answered are lost.
func (s *signalSeries) awaitExit(ctx context.Context, process *Process) error {
	select {
	case <-process.done:
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(s.run.shutdownLimit()):
		s.run.recordProblem(func(counts *experiment.SignalCounts) *int { return &counts.TermTimeouts },
			"%s: still running %v after SIGTERM: %s", s.in.Name, s.run.shutdownLimit(), lastLine(process.tail.String()))
		process.cmd.Process.Kill()
		<-process.done
		return nil
	}
	if process.err != nil && !endedBySIGTERM(process) {
		return fmt.Errorf("instance %s: ended on SIGTERM with %v: %s: %w", s.in.Name, process.err, strings.TrimSpace(process.tail.String()), ErrCrashed)
	}
	return nil
}

// endedBySIGTERM reports whether the default action of SIGTERM ended a process. This happens if the
// process has not installed its signal handler yet.
func endedBySIGTERM(process *Process) bool {
	status, ok := process.cmd.ProcessState.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGTERM
}

func lastLine(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return lines[len(lines)-1]
}

// start starts a new process of an instance that has none.
func (s *signalSeries) start(ctx context.Context) error {
	s.in.world.Checker.Restarted(s.in.Name, s.in.world.Checker.Now())
	started := time.Now()
	if err := s.in.Start(ctx); err != nil {
		return err
	}
	s.run.updateCounts(func(counts *experiment.SignalCounts) { counts.Restarts++ })
	if readyTime := time.Since(started); readyTime > maxReadyTime {
		s.run.recordProblem(func(counts *experiment.SignalCounts) *int { return &counts.SlowStarts }, "%s: ready after %v", s.in.Name, readyTime)
	}
	return nil
}

// terminateDuringStart ends the instance's process, starts another and ends it during its start.
func (s *signalSeries) terminateDuringStart(ctx context.Context) error {
	process, err := s.newestProcess(ctx)
	if err != nil {
		return err
	}
	s.send(process, syscall.SIGTERM)
	if err := s.awaitExit(ctx, process); err != nil {
		return err
	}
	s.in.world.Checker.Restarted(s.in.Name, s.in.world.Checker.Now())
	if err := s.in.writeConfig(); err != nil {
		return err
	}
	next, err := s.in.spawnDefault()
	if err != nil {
		return err
	}
	s.pause(ctx, 300*time.Millisecond)
	s.send(next, syscall.SIGTERM)
	if err := s.awaitExit(ctx, next); err != nil {
		return err
	}
	return s.start(ctx)
}

// handover begins a handover and disturbs it with a signal to either process. If a process is left,
// it must become ready. If no process is left, another one is started.
func (s *signalSeries) handover(ctx context.Context, disturb func(old, successor *Process)) error {
	old, err := s.newestProcess(ctx)
	if err != nil {
		return err
	}
	if err := s.in.writeConfig(); err != nil {
		return err
	}
	old.exitExpected.Store(true)
	successor, err := s.in.spawnDefault()
	if err != nil {
		return err
	}
	successor.exitExpected.Store(true) // the old process may end before it hands over the listener
	s.pause(ctx, 300*time.Millisecond)
	disturb(old, successor)
	return s.awaitSingleProcess(ctx, old, successor)
}

// awaitSingleProcess waits after a disturbed handover until only one process is left and this
// process is ready. If no process is left, it starts one.
func (s *signalSeries) awaitSingleProcess(ctx context.Context, old, successor *Process) error {
	deadline := time.After(2*s.run.shutdownLimit() + maxReadyTime)
	for {
		processes := s.in.runningProcesses()
		switch {
		case len(processes) == 0:
			return s.start(ctx)
		case len(processes) == 1 && s.in.isReady(ctx):
			processes[0].exitExpected.Store(false)
			s.run.updateCounts(func(counts *experiment.SignalCounts) { counts.Restarts++ })
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-deadline:
			return fmt.Errorf("instance %s: %d processes are left after a disturbed handover, wanted one that is ready: %s; %s: %w",
				s.in.Name, len(processes), lastLine(old.tail.String()), lastLine(successor.tail.String()), ErrCrashed)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// runConnectionBurst holds many idle connections to an instance for as long as the fault lasts.
func (r *experimentRun) runConnectionBurst(ctx context.Context, step experiment.Step) {
	spec := r.plan.Spec
	fault := &spec.Faults[step.Fault]
	ctx, cancel := context.WithTimeout(ctx, min(fault.Duration.In(spec.Duration), spec.Duration-step.At))
	defer cancel()
	r.updateCounts(func(counts *experiment.SignalCounts) { counts.Bursts++ })
	idleClients := clients.IdleClients{Addr: r.world.Instances[step.Instance].Addr, Count: fault.Count}
	idleClients.Run(ctx)
}

// footprint is the number of descriptors and goroutines of an idle process.
type footprint struct{ descriptors, goroutines int }

// The footprint of a process after the load may exceed its footprint before the load by an
// allowance. footprintSlack is the fixed part of the allowance, which includes the rig's own
// request. footprintPerServer is the part for the connections to each upstream.
const (
	footprintSlack     = 12
	footprintPerServer = 4
)

// After its last request a sidecar keeps idle connections for some seconds. It keeps the goroutines
// that served these connections for up to twice the idle timeout of the HTTP server. leakTimeout
// allows for both.
const (
	leakPollInterval = 500 * time.Millisecond
	leakTimeout      = 26 * time.Second
)

// checksFootprints reports whether the experiment has steps that may cause leaks: signal series or
// connection bursts.
func (r *experimentRun) checksFootprints() bool {
	for _, step := range r.plan.Steps {
		if step.Op == experiment.SignalSeries || step.Op == experiment.ConnectionBurst {
			return true
		}
	}
	return false
}

// prepareSignalChecks prepares an experiment that has signal series or connection bursts. It opens
// a second, lagging discovery service and records the footprint of each instance before the load.
func (r *experimentRun) prepareSignalChecks(ctx context.Context) {
	if !r.checksFootprints() {
		return
	}
	if r.world.laggingRegistry == nil {
		r.world.laggingRegistry = r.world.Registry.Fork(r.world.Registry.Index())
		r.world.registries = append(r.world.registries, r.world.laggingRegistry)
		r.world.setDiscoveryLag(minDiscoveryLag + time.Duration(r.rng.Int64N(int64(maxDiscoveryLag-minDiscoveryLag))))
	}
	r.updateCounts(func(*experiment.SignalCounts) {})
	r.initialFootprints = map[string]footprint{}
	for _, in := range r.world.Instances {
		if initial, err := in.footprint(ctx); err == nil {
			r.initialFootprints[in.Name] = initial
		}
	}
}

// findLeaks waits until the footprint of each instance is back at about its value before the load.
// It records the instances that still exceed this value after leakTimeout.
func (r *experimentRun) findLeaks(ctx context.Context) {
	if r.initialFootprints == nil {
		return
	}
	deadline := time.Now().Add(leakTimeout)
	leaks := r.leaks(ctx)
	for len(leaks) > 0 && time.Now().Before(deadline) && waitFor(ctx, leakPollInterval) {
		leaks = r.leaks(ctx)
	}
	for _, leak := range leaks {
		r.recordProblem(func(counts *experiment.SignalCounts) *int { return &counts.LeakingInstances }, "%s", leak)
	}
}

// leaks describes each instance whose footprint exceeds its footprint before the load by more than
// the allowance.
func (r *experimentRun) leaks(ctx context.Context) (leaks []string) {
	allowance := footprintSlack + footprintPerServer*len(r.world.Servers)
	for _, in := range r.world.Instances {
		before, known := r.initialFootprints[in.Name]
		after, err := in.footprint(ctx)
		if !known || err != nil {
			continue // other checks report an instance that is not up
		}
		if after.descriptors > before.descriptors+allowance || after.goroutines > before.goroutines+allowance {
			leaks = append(leaks, fmt.Sprintf("%s: holds %d descriptors and %d goroutines, %d and %d at the start, wanted at most %d more",
				in.Name, after.descriptors, after.goroutines, before.descriptors, before.goroutines, allowance))
		}
	}
	return leaks
}

// footprint returns the footprint of the instance's newest process.
func (in *Instance) footprint(ctx context.Context) (footprint, error) {
	processes := in.runningProcesses()
	if len(processes) == 0 {
		return footprint{}, fmt.Errorf("instance %s: no process", in.Name)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+in.Addr+"/up", nil)
	if err != nil {
		return footprint{}, err
	}
	response, err := upClient.Do(request)
	if err != nil {
		return footprint{}, err
	}
	response.Body.Close()
	goroutines, err := strconv.Atoi(response.Header.Get("X-Goroutines"))
	if err != nil {
		return footprint{}, err
	}
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", processes[len(processes)-1].PID()))
	return footprint{descriptors: len(descriptors), goroutines: goroutines}, err
}

// findIdleInstances records the instances that received requests in the last quarter of the run and
// served none of these requests.
func (r *experimentRun) findIdleInstances(start time.Duration, allClients []*clients.Clients) {
	if r.signalCounts == nil {
		return
	}
	requests, served := map[string]int{}, map[string]int{}
	for _, client := range allClients {
		for _, sample := range client.Samples() {
			if sample.At-start < r.plan.Spec.Duration*3/4 {
				continue
			}
			requests[client.Instance()]++
			if sample.OK {
				served[client.Instance()]++
			}
		}
	}
	for name, requestCount := range requests {
		if requestCount >= minRequestsToJudge && served[name] == 0 {
			r.recordProblem(func(counts *experiment.SignalCounts) *int { return &counts.IdleInstances }, "%s: served none of %d requests in the last quarter", name, requestCount)
		}
	}
}
