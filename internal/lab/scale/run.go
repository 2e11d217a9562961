package scale

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"time"

	"otterspring/internal/lab/rig"
)

var roles = []Role{RoleSubscriber, RoleRelay, RoleCluster}

const (
	settleTime                = 4 * time.Second
	warmUpTime                = time.Second     // time between the initial sync of the last subscriber and the load
	subscriberStartsPerSecond = 2000            // rate at which subscribers start before the load
	initialSyncTimeout        = 2 * time.Minute // time limit of the initial sync of all subscribers, before the load
	sampleInterval            = time.Second
	initialSyncInterval       = 200 * time.Millisecond // time between two checks of the initial sync
)

// Run makes a run and returns its figures. All processes of the run have exited when Run returns.
// The error wraps ErrOptions if the options are not valid.
func Run(ctx context.Context, options *Options) (*Figures, error) {
	limits, err := MachineLimits()
	if err != nil {
		return nil, err
	}
	if err := options.Validate(limits); err != nil {
		return nil, err
	}
	reaper, err := rig.StartReaper(options.Programs.Self)
	if err != nil {
		return nil, err
	}
	defer reaper.Close()
	reaper.RemoveDirectory(options.Directory)
	directory, err := os.MkdirTemp(options.Directory, "run-")
	if err != nil {
		return nil, err
	}
	defer func() {
		if err := os.RemoveAll(directory); err != nil {
			slog.Warn("folder of the run not removed", "error", err)
		}
	}()
	r := &run{options: options, topology: NewTopology(options), reaper: reaper, directory: directory, watchdog: newWatchdog(), start: Now(), idle: 1}
	defer r.close()
	if err := r.prepare(ctx, options.subscribersPerProcess(limits)); err != nil {
		return nil, err
	}
	return r.runLoad(ctx)
}

// run is a run in progress.
type run struct {
	options    *Options
	topology   *Topology
	reaper     *rig.Reaper
	directory  string
	control    *control
	simulators *simulators
	sidecars   *sidecars
	load       *loadGenerator
	watchdog   *watchdog

	mu            sync.Mutex // guards the following fields
	phase         string
	start         time.Duration // start of the run; after the load has started, start of the load
	peakMemory    int64         // peak of the total memory of all processes
	peakProcesses int
	idle          float64
	samples       map[Role][]Usage
}

func (r *run) close() {
	if r.load != nil {
		r.load.close()
	}
	if r.simulators != nil {
		r.simulators.close()
	}
	if r.sidecars != nil {
		r.sidecars.close()
	}
	if r.control != nil {
		r.control.close()
	}
}

func (r *run) setPhase(phase string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.phase = phase
}

// prepare starts all processes and waits for the initial sync. The initial sync is complete when
// each subscriber has all of its services.
func (r *run) prepare(ctx context.Context, perProcess int) (err error) {
	r.samples = map[Role][]Usage{}
	r.setPhase("starts")
	if r.control, err = newControl(r.options, r.directory, r.reaper); err != nil {
		return err
	}
	if err := r.control.start(ctx); err != nil {
		return err
	}
	r.load = newLoadGenerator(r.options, r.topology, r.control.memberAddresses(), r.watchdog)
	if err := r.load.create(ctx); err != nil {
		return err
	}
	if r.sidecars, err = startSidecars(ctx, r.options, r.directory, r.topology, r.control.relayAddresses()); err != nil {
		return err
	}
	if r.simulators, err = startSimulators(r.options, r.topology, r.control.relayAddresses(), perProcess, r.reaper); err != nil {
		return err
	}
	spread := time.Duration(float64(r.options.Sidecars) / subscriberStartsPerSecond * float64(time.Second))
	if err := r.simulators.startAll(spread); err != nil {
		return err
	}
	return r.awaitAllVersions(ctx, initialSyncTimeout)
}

// awaitAllVersions waits until all subscribers have the newest versions of their services.
func (r *run) awaitAllVersions(ctx context.Context, timeout time.Duration) error {
	newest := r.load.newestVersions()
	for started := Now(); ; r.reportProgress() {
		behind := r.simulators.countBehind(newest)
		if behind == 0 {
			return nil
		}
		if err := firstError(r.crashes()...); err != nil {
			return err
		}
		if Now() > started+timeout {
			return fmt.Errorf("start: found %d of %d subscribers without all services after %v, wanted none", behind, r.options.Sidecars, timeout)
		}
		if !sleepUntil(ctx, Now()+initialSyncInterval) {
			return ctx.Err()
		}
	}
}

func (r *run) crashes() []error {
	all := append(r.control.clusterProcesses.crashes(), r.control.relayProcesses.crashes()...)
	return append(all, r.simulators.processes.crashes()...)
}

// runLoad runs the load and the faults, waits for the settling time, and evaluates the run.
func (r *run) runLoad(ctx context.Context) (*Figures, error) {
	if !sleepUntil(ctx, Now()+warmUpTime) {
		return nil, ctx.Err()
	}
	var monitors sync.WaitGroup
	stop := make(chan struct{})
	stopMonitors := sync.OnceFunc(func() { close(stop); monitors.Wait() })
	defer stopMonitors()
	monitors.Go(func() { r.watchdog.detectSuspensions(stop) })
	start := Now()
	r.mu.Lock()
	r.phase, r.start = "load", start
	r.mu.Unlock()
	before := r.measureRoles()
	monitors.Go(func() { r.sample(ctx, stop) })

	inject := &injector{control: r.control, simulators: r.simulators}
	var loads sync.WaitGroup
	loads.Go(func() { r.load.run(ctx, start, r.options.Duration, r.options.ChangesPerSecond) })
	loads.Go(func() { r.sidecars.run(ctx, r.options.Duration) })
	if r.options.Faults {
		loads.Go(func() { inject.run(ctx, start, GenerateFaults(r.options, r.topology)) })
	}
	sleepUntil(ctx, start+r.options.Duration)
	window := Span{start, Now()}
	after := r.measureRoles()
	loads.Wait()
	r.setPhase("settles")
	if !sleepUntil(ctx, Now()+settleTime) {
		return nil, ctx.Err()
	}
	figures := r.figures(window, before, after)
	figures.Failures = append(figures.Failures, inject.failures()...)
	stopMonitors()
	if err := r.finish(ctx, figures, start); err != nil {
		return nil, err
	}
	return figures, ctx.Err()
}

// measureRoles returns the resource usage of the processes of each role up to now.
func (r *run) measureRoles() map[Role]Usage {
	all := map[Role]Usage{}
	all[RoleCluster], _ = r.control.clusterProcesses.measure()
	all[RoleRelay], _ = r.control.relayProcesses.measure()
	all[RoleSubscriber], _ = r.simulators.processes.measure()
	return all
}

// sample samples the machine and all processes once per second.
func (r *run) sample(ctx context.Context, stop <-chan struct{}) {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	before := readCPUTicks()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		now := readCPUTicks()
		idle := now.idleSince(before)
		before = now
		r.watchdog.recordIdle(idle)
		r.recordSample(idle)
		r.control.pollRelays(ctx)
		r.reportProgress()
	}
}

// recordSample records the memory of all processes, including the rig and its reaper.
func (r *run) recordSample(idle float64) {
	cluster, members := r.control.clusterProcesses.measure()
	relays, relaysRunning := r.control.relayProcesses.measure()
	subscribers, simulatorsRunning := r.simulators.processes.measure()
	sidecars, sidecarsRunning := r.sidecars.measure()
	own, _ := readUsage(os.Getpid())
	reaper, _ := readUsage(r.reaper.PID())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.idle = idle
	r.peakMemory = max(r.peakMemory, cluster.Memory+relays.Memory+subscribers.Memory+sidecars.Memory+own.Memory+reaper.Memory)
	r.peakProcesses = max(r.peakProcesses, members+relaysRunning+simulatorsRunning+sidecarsRunning+2)
	r.samples[RoleCluster] = append(r.samples[RoleCluster], cluster)
	r.samples[RoleRelay] = append(r.samples[RoleRelay], relays)
	r.samples[RoleSubscriber] = append(r.samples[RoleSubscriber], subscribers)
}

// reportProgress calls Options.Progress, if it is set.
func (r *run) reportProgress() {
	if r.options.Progress == nil {
		return
	}
	r.mu.Lock()
	progress := Progress{Phase: r.phase, Idle: r.idle, Elapsed: Now() - r.start}
	r.mu.Unlock()
	progress.Changes = r.load.acceptedCount()
	r.options.Progress(progress)
}

// figures returns the figures that are known before the processes have exited.
func (r *run) figures(window Span, before, after map[Role]Usage) *Figures {
	length := (window.To - window.From).Seconds()
	subscribers := float64(r.options.Sidecars)
	figures := &Figures{Seed: r.options.Seed, Sidecars: r.options.Sidecars, RealSidecars: r.options.RealSidecars, MaxSnapshots: r.options.MaxSnapshots, Usage: map[Role]RoleUsage{}}
	r.mu.Lock()
	figures.Processes, figures.MemoryBytes = r.peakProcesses, r.peakMemory
	for _, role := range roles {
		figures.Usage[role] = RoleUsage{
			BytesPerSecond: float64(after[role].Bytes-before[role].Bytes) / length,
			Cores:          (after[role].CPUTime - before[role].CPUTime).Seconds() / length,
			Memory:         meanMemory(r.samples[role]),
		}
	}
	r.mu.Unlock()
	sum, worst := r.simulators.traffic(window)
	usage := figures.Usage[RoleSubscriber]
	usage.BytesPerSecond = float64(sum) / length
	figures.Usage[RoleSubscriber] = usage
	figures.BytesPerSidecar, figures.PeakBytesPerSecond = usage.BytesPerSecond/subscribers, float64(worst)
	figures.CoresPerSidecar = usage.Cores / subscribers
	figures.MemoryPerSidecar = (usage.Memory - float64(r.simulators.baseMemory)) / subscribers
	figures.RelayCoresPer1000 = figures.Usage[RoleRelay].Cores / ((subscribers + float64(r.options.RealSidecars)) / 1000)
	figures.ClusterCores = figures.Usage[RoleCluster].Cores
	figures.PeakSnapshots = r.control.snapshotsPeak()
	return figures
}

func meanMemory(samples []Usage) float64 {
	sum := 0.0
	for _, s := range samples {
		sum += float64(s.Memory)
	}
	return sum / float64(max(1, len(samples)))
}

// finish stops the subscribers, reads the cluster's resources and adds the remaining figures.
func (r *run) finish(ctx context.Context, figures *Figures, start time.Duration) error {
	settled := Now()
	figures.Failures = append(figures.Failures, r.crashes()...)
	figures.Failures = append(figures.Failures, r.load.allFailures()...)
	resources, err := r.load.readResources(ctx)
	if err != nil {
		return err
	}
	figures.LostChanges, figures.DuplicateVersions = r.load.compare(resources)
	r.sidecars.finish(figures, r.load.newestVersions())
	if err := r.simulators.stop(); err != nil {
		return err
	}
	changes := r.load.changes()
	record := &Record{Changes: changes, Outages: r.control.allOutages(), Start: start, End: settled}
	record.Subscribers, figures.UnsubscribedReports = r.simulators.allHistories()
	for _, change := range changes {
		if change.Accepted >= start {
			figures.Changes++
		}
	}
	figures.addEvaluation(Evaluate(record))
	r.load.mu.Lock()
	figures.AcceptMax, figures.Conflicts, figures.OutdatedAccepted = r.load.acceptMax, r.load.conflicts, r.load.outdatedAccepted
	r.load.mu.Unlock()
	figures.VoidReasons = r.watchdog.reasons()
	r.watchdog.mu.Lock()
	figures.MinIdle, figures.MaxPacerDelay = r.watchdog.minIdle, r.watchdog.maxDelay
	r.watchdog.mu.Unlock()
	return nil
}

// addEvaluation adds the results of Evaluate.
func (f *Figures) addEvaluation(evaluation *Evaluation) {
	f.ConvergenceP50, f.ConvergenceP99, f.ConvergenceMax = Quantile(evaluation.Convergence, 0.5), Quantile(evaluation.Convergence, 0.99), evaluation.ConvergenceMax
	f.RestartP50, f.RestartP99, f.Restarts = Quantile(evaluation.Restarts, 0.5), Quantile(evaluation.Restarts, 0.99), len(evaluation.Restarts)
	f.Unreachable, f.RecoveryMax = evaluation.Unreachable, evaluation.RecoveryMax
	f.Stale, f.Regressions, f.RestartRegressions = f.Stale+evaluation.Stale, evaluation.Regressions, evaluation.RestartRegressions
}
