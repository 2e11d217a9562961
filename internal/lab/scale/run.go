package scale

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"otterspring/internal/lab/rig"
)

var roles = []Role{RoleSubscriber, RoleRelay, RoleCouncil}

const (
	settleFor       = 4 * time.Second
	warmUp          = time.Second     // between the last subscriber's first snapshot and the load
	startsPerSecond = 2000            // of subscribers, before the clock begins
	holdWithin      = 2 * time.Minute // all subscribers hold all, before the clock begins
	sampleEvery     = time.Second
	lookEvery       = 200 * time.Millisecond // at who holds all, before the clock begins
)

// Run plays a run and returns what it came to. Its processes have ended when it
// returns.
func Run(ctx context.Context, o *Options) (*Figures, error) {
	limits, err := MachineLimits()
	if err != nil {
		return nil, err
	}
	if err := o.Check(limits); err != nil {
		return nil, err
	}
	reaper, err := rig.StartReaper(o.Programs.Self)
	if err != nil {
		return nil, err
	}
	defer reaper.Close()
	reaper.Remove(o.Directory)
	directory, err := os.MkdirTemp(o.Directory, "run-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(directory)
	r := &run{o: o, topology: NewTopology(o), reaper: reaper, directory: directory, watch: newWatchdog(), begin: Now(), idle: 1}
	defer r.close()
	if err := r.prepare(ctx, o.perProcess(limits)); err != nil {
		return nil, err
	}
	return r.play(ctx)
}

// run is one run under way.
type run struct {
	o         *Options
	topology  *Topology
	reaper    *rig.Reaper
	directory string
	control   *control
	hollows   *hollows
	sidecars  *sidecars
	load      *load
	watch     *watchdog

	mu        sync.Mutex // guards the following
	phase     string
	begin     time.Duration // of the run, then of the load
	memory    int64         // of all processes, the most
	processes int
	idle      float64
	samples   map[Role][]Usage
}

func (r *run) close() {
	if r.load != nil {
		r.load.close()
	}
	if r.hollows != nil {
		r.hollows.close()
	}
	if r.sidecars != nil {
		r.sidecars.close()
	}
	if r.control != nil {
		r.control.close()
	}
}

func (r *run) enter(phase string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.phase = phase
}

// prepare starts all processes and waits until every subscriber holds every service.
func (r *run) prepare(ctx context.Context, perProcess int) (err error) {
	r.samples = map[Role][]Usage{}
	r.enter("starts")
	if r.control, err = newControl(r.o, r.directory, r.reaper); err != nil {
		return err
	}
	if err := r.control.start(ctx); err != nil {
		return err
	}
	r.load = newLoad(r.o, r.topology, r.control.memberAddresses(), r.watch)
	if err := r.load.create(ctx); err != nil {
		return err
	}
	if r.sidecars, err = startSidecars(ctx, r.o, r.directory, r.topology, r.control.relayAddresses()); err != nil {
		return err
	}
	if r.hollows, err = startHollows(r.o, r.topology, r.control.relayAddresses(), perProcess, r.reaper); err != nil {
		return err
	}
	within := time.Duration(float64(r.o.Sidecars) / startsPerSecond * float64(time.Second))
	if err := r.hollows.startAll(within); err != nil {
		return err
	}
	return r.awaitHeld(ctx, holdWithin)
}

// awaitHeld waits until all subscribers hold the newest of all their services.
func (r *run) awaitHeld(ctx context.Context, within time.Duration) error {
	newest := r.load.newestVersions()
	for began := Now(); ; r.report() {
		lacking := r.hollows.lacking(newest)
		if lacking == 0 {
			return nil
		}
		if err := firstError(r.crashes()...); err != nil {
			return err
		}
		if Now() > began+within {
			return fmt.Errorf("start: found %d of %d subscribers without all services after %v, wanted none", lacking, r.o.Sidecars, within)
		}
		if !sleepUntil(ctx, Now()+lookEvery) {
			return ctx.Err()
		}
	}
}

func (r *run) crashes() []error {
	all := append(r.control.council.crashes(), r.control.relays.crashes()...)
	return append(all, r.hollows.processes.crashes()...)
}

// play plays the load and the faults, waits for what settles, and judges.
func (r *run) play(ctx context.Context) (*Figures, error) {
	if !sleepUntil(ctx, Now()+warmUp) {
		return nil, ctx.Err()
	}
	var watching sync.WaitGroup
	end := make(chan struct{})
	stopWatching := sync.OnceFunc(func() { close(end); watching.Wait() })
	defer stopWatching()
	watching.Go(func() { r.watch.watch(end) })
	begin := Now()
	r.mu.Lock()
	r.phase, r.begin = "load", begin
	r.mu.Unlock()
	before := r.measureRoles()
	watching.Go(func() { r.sample(ctx, end) })

	inject := &injector{control: r.control, hollows: r.hollows}
	var playing sync.WaitGroup
	playing.Go(func() { r.load.run(ctx, begin, r.o.For, r.o.ChangesPerSecond) })
	playing.Go(func() { r.sidecars.run(ctx, r.o.For) })
	if r.o.Faults {
		playing.Go(func() { inject.run(ctx, begin, DrawFaults(r.o, r.topology)) })
	}
	sleepUntil(ctx, begin+r.o.For)
	window := Span{begin, Now()}
	after := r.measureRoles()
	playing.Wait()
	r.enter("settles")
	if !sleepUntil(ctx, Now()+settleFor) {
		return nil, ctx.Err()
	}
	f := r.figures(window, before, after)
	f.Failures = append(f.Failures, inject.failures()...)
	stopWatching()
	if err := r.finish(ctx, f, begin); err != nil {
		return nil, err
	}
	return f, ctx.Err()
}

// measureRoles is what the processes of each role have used so far.
func (r *run) measureRoles() map[Role]Usage {
	all := map[Role]Usage{}
	all[RoleCouncil], _ = r.control.council.measure()
	all[RoleRelay], _ = r.control.relays.measure()
	all[RoleSubscriber], _ = r.hollows.processes.measure()
	return all
}

// sample looks at the machine and at all processes once a second.
func (r *run) sample(ctx context.Context, end <-chan struct{}) {
	tick := time.NewTicker(sampleEvery)
	defer tick.Stop()
	before := readCores()
	for {
		select {
		case <-end:
			return
		case <-tick.C:
		}
		now := readCores()
		idle := now.idleSince(before)
		before = now
		r.watch.idle(idle)
		r.takeSample(idle)
		r.control.look(ctx)
		r.report()
	}
}

// takeSample adds up the memory of all processes, the rig's own and the reaper's too.
func (r *run) takeSample(idle float64) {
	council, members := r.control.council.measure()
	relays, relaysRunning := r.control.relays.measure()
	subscribers, hollowRunning := r.hollows.processes.measure()
	sidecars, sidecarsRunning := r.sidecars.measure()
	own, _ := readUsage(os.Getpid())
	reaper, _ := readUsage(r.reaper.Pid())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.idle = idle
	r.memory = max(r.memory, council.Memory+relays.Memory+subscribers.Memory+sidecars.Memory+own.Memory+reaper.Memory)
	r.processes = max(r.processes, members+relaysRunning+hollowRunning+sidecarsRunning+2)
	r.samples[RoleCouncil] = append(r.samples[RoleCouncil], council)
	r.samples[RoleRelay] = append(r.samples[RoleRelay], relays)
	r.samples[RoleSubscriber] = append(r.samples[RoleSubscriber], subscribers)
}

// report tells how the run goes.
func (r *run) report() {
	if r.o.Progress == nil {
		return
	}
	r.mu.Lock()
	p := Progress{Phase: r.phase, Idle: r.idle, Elapsed: Now() - r.begin}
	r.mu.Unlock()
	p.Changes = r.load.acceptedSoFar()
	r.o.Progress(p)
}

// figures are those that are known before the processes have ended.
func (r *run) figures(window Span, before, after map[Role]Usage) *Figures {
	length := (window.To - window.From).Seconds()
	subscribers := float64(r.o.Sidecars)
	f := &Figures{Seed: r.o.Seed, Sidecars: r.o.Sidecars, Real: r.o.Real, SnapshotsAllowed: r.o.SnapshotsAtOnce, Used: map[Role]RoleUsage{}}
	r.mu.Lock()
	f.Processes, f.MemoryBytes = r.processes, r.memory
	for _, role := range roles {
		f.Used[role] = RoleUsage{
			BytesPerSecond: float64(after[role].Bytes-before[role].Bytes) / length,
			Cores:          (after[role].Processor - before[role].Processor).Seconds() / length,
			Memory:         meanMemory(r.samples[role]),
		}
	}
	r.mu.Unlock()
	sum, worst := r.hollows.bytes(window)
	used := f.Used[RoleSubscriber]
	used.BytesPerSecond = float64(sum) / length
	f.Used[RoleSubscriber] = used
	f.BytesPerSidecar, f.WorstBytes = used.BytesPerSecond/subscribers, float64(worst)
	f.ProcessorShare = used.Cores / subscribers
	f.BytesOfMemoryPerSidecar = (used.Memory - float64(r.hollows.base)) / subscribers
	f.RelayCoresPer1000 = f.Used[RoleRelay].Cores / ((subscribers + float64(r.o.Real)) / 1000)
	f.CouncilCores = f.Used[RoleCouncil].Cores
	f.SnapshotsAtOnce = r.control.snapshotsPeak()
	return f
}

func meanMemory(samples []Usage) float64 {
	sum := 0.0
	for _, s := range samples {
		sum += float64(s.Memory)
	}
	return sum / float64(max(1, len(samples)))
}

// finish ends the subscribers, reads what the council holds and judges all.
func (r *run) finish(ctx context.Context, f *Figures, begin time.Duration) error {
	settled := Now()
	f.Failures = append(f.Failures, r.crashes()...)
	f.Failures = append(f.Failures, r.load.failed()...)
	held, err := r.load.held(ctx)
	if err != nil {
		return err
	}
	f.Lost, f.Twice = r.load.compare(held)
	r.sidecars.finish(f, r.load.newestVersions())
	if err := r.hollows.end(); err != nil {
		return err
	}
	changes := r.load.changes()
	record := &Record{Changes: changes, Outages: r.control.allOutages(), Begin: begin, End: settled}
	record.Subscribers, f.Unasked = r.hollows.allHistories()
	for _, change := range changes {
		if change.Accepted >= begin {
			f.Changes++
		}
	}
	f.judged(Judge(record))
	r.load.mu.Lock()
	f.AcceptMax, f.Conflicts, f.OlderAccepted = r.load.acceptMax, r.load.conflicts, r.load.olderAccepted
	r.load.mu.Unlock()
	f.Void = r.watch.reasons()
	r.watch.mu.Lock()
	f.IdleLeast, f.PacerLate = r.watch.idleLeast, r.watch.lateMost
	r.watch.mu.Unlock()
	return nil
}

// judged takes what the records show.
func (f *Figures) judged(j *Judgement) {
	f.InForceP50, f.InForceP99, f.InForceMax = Quantile(j.InForce, 0.5), Quantile(j.InForce, 0.99), j.InForceMax
	f.RestartP50, f.RestartP99, f.Restarts = Quantile(j.Restarts, 0.5), Quantile(j.Restarts, 0.99), len(j.Restarts)
	f.Unreachable, f.BackMax = j.Unreachable, j.BackMax
	f.Stale, f.Back, f.BackOver = f.Stale+j.Stale, j.Back, j.BackOver
}
