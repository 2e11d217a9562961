package rig

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"otterspring/internal/lab/experiment"
	"otterspring/internal/lab/history"
	"otterspring/internal/lab/invariant"
	"otterspring/internal/lab/standin/callserver"
	"otterspring/internal/lab/standin/clients"
	"otterspring/internal/lab/standin/lossylink"
	"otterspring/internal/lab/standin/registry"
	"otterspring/internal/lab/standin/relay"
	"otterspring/internal/strictconfig"
)

// ExperimentOptions returns the options of a world that runs a plan on sockets.
func ExperimentOptions(plan *experiment.Plan, program []string, dir string) Options {
	spec := plan.Spec
	options := Options{
		Seed: plan.Seed, Instances: spec.World.Instances, Servers: spec.World.Servers, PodSize: spec.World.PodSize, DeduplicationWindow: spec.World.Server.DedupWindow,
		SidecarCommand: program, Dir: dir, MemoryMB: spec.World.Sidecar.MemoryMB, MaxSockets: spec.World.Sidecar.Sockets, Experiment: spec,
		Registry: registry.Config{LinesPerSecond: spec.World.Discovery.LinesPerSecond, CallCostLines: spec.World.Discovery.CallCostLines, Delay: spec.World.Discovery.Delay},
	}
	if coap := &spec.World.CoAP; coap.Enabled() {
		options.CoAP = &CoAPOptions{RequireEcho: coap.Echo, LinkFaults: lossylink.Faults{DropEvery: coap.DropEvery, Drop: coap.DropShare, Duplicate: coap.DuplicateShare, Delay: coap.Delay},
			UsesCoAP: func(i int) bool { // CoAP is spread over the pods and speeds; servers added later use HTTP
				return i < spec.World.Servers && int(float64(i+1)*coap.Servers) > int(float64(i)*coap.Servers)
			}}
	}
	for _, step := range plan.Steps {
		// With CoAP each instance has an operator file with the handover socket anyway.
		if (step.Op == experiment.HandOver || step.Op == experiment.SignalSeries) && options.CoAP == nil {
			options.OperatorFile = func(i int, dir string) string {
				return fmt.Sprintf("[handover]\nsocket = %q\n", filepath.Join(dir, fmt.Sprintf("n%d.sock", i+1)))
			}
		}
	}
	return options
}

// experimentServerConfig returns the configuration of call server i as the experiment defines it.
func (w *World) experimentServerConfig(i int) callserver.Config {
	serverSpec := &w.options.Experiment.World.Server
	config := callserver.Config{
		Name: fmt.Sprintf("s%d", i+1), Zone: fmt.Sprintf("z%d", w.options.Experiment.ServerZone(i)), Group: w.options.Experiment.ServerPod(i),
		Cores: serverSpec.Cores, Slots: serverSpec.Slots, Speed: serverSpec.Speeds[i%len(serverSpec.Speeds)], Queue: serverSpec.Queue, MaxConns: serverSpec.MaxConns, IdleTimeout: serverSpec.IdleTimeout, HandshakeWork: serverSpec.HandshakeWork,
		ColdCapacity: serverSpec.ColdCapacity, WarmUpWork: serverSpec.WarmUpWork, WarmUpTime: serverSpec.WarmUpTime, OverloadRatio: serverSpec.OverloadRatio, OverloadWindow: serverSpec.OverloadWindow, KeyCacheTTL: serverSpec.KeyCacheTTL, KeyCacheSavings: serverSpec.KeyCacheSavings, ContinueOnDisconnect: serverSpec.ContinueOnDisconnect, ErrorsAfter: serverSpec.ErrorsAfter,
	}
	for _, class := range w.options.Experiment.Load.Classes {
		config.Classes = append(config.Classes, callserver.Class{Name: class.Name, Effect: experiment.Effects[class.Effect], MeanWork: class.MeanWork})
	}
	return config
}

// networkImpaired reports whether the experiment's network has delay, jitter or loss that loopback does not have.
func networkImpaired(network *experiment.Network) bool {
	return network.Delay >= time.Millisecond || network.Jitter >= time.Millisecond || network.Loss > 0
}

// openRelays opens a relay for each link that the plan cuts, or for every link if the network is impaired. A link
// connects an instance to a server. If there are relays, discovery reports the address of the relay instead of the
// address of the server.
func (w *World) openRelays(plan *experiment.Plan) error {
	for _, step := range plan.Steps {
		if step.Op == experiment.CutLink {
			if err := w.openRelay(step.Instance, step.Server); err != nil {
				return err
			}
		}
	}
	if networkImpaired(&plan.Spec.World.Network) {
		for server := range w.Servers {
			if err := w.openRelaysTo(server); err != nil {
				return err
			}
		}
	}
	if len(w.relays) == 0 {
		return nil
	}
	for i, in := range w.Instances {
		address := func(entry registry.Entry) string { return w.relayedAddress(i, entry) }
		in.discovery.SetAddressFunc(address)
		in.knownEndpoints = w.Registry.SnapshotFor(address)
		if err := in.writeConfig(); err != nil {
			return err
		}
	}
	return nil
}

// openRelaysTo opens a relay between a server and each instance.
func (w *World) openRelaysTo(server int) error {
	for i := range w.Instances {
		if err := w.openRelay(i, server); err != nil {
			return err
		}
	}
	return nil
}

// openRelay opens a relay between an instance and a server unless there is one.
func (w *World) openRelay(instance, server int) error {
	pair := [2]int{instance, server}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.relays[pair] != nil {
		return nil
	}
	if len(w.relays) >= maxRelays {
		return fmt.Errorf("rig: experiment needs more than %d relays, which is the limit on sockets since each takes descriptors", maxRelays)
	}
	network := &w.options.Experiment.World.Network
	conditions := relay.Conditions{Seed: w.options.Seed ^ uint64(instance)<<32 ^ uint64(server)<<8}
	if networkImpaired(network) {
		conditions.Delay, conditions.Jitter, conditions.Loss = network.Delay, network.Jitter, network.Loss
	}
	link, err := relay.StartWithConditions(w.Servers[server].Addr, conditions)
	if err == nil {
		w.relays[pair] = link
	}
	return err
}

// relayedAddress returns the address at which an instance reaches a server. This is the address of the relay between
// the two, or the address of the server if there is no relay.
func (w *World) relayedAddress(instance int, entry registry.Entry) string {
	server, err := strconv.Atoi(strings.TrimPrefix(entry.Name, "s"))
	w.mu.Lock()
	defer w.mu.Unlock()
	if link := w.relays[[2]int{instance, server - 1}]; err == nil && link != nil {
		return link.Addr()
	}
	return entry.Addr
}

// maxRelays bounds the relays of a world, since each takes descriptors of the rig's process.
const maxRelays = 600

// experimentRun is the state of an experiment that runs on sockets.
type experimentRun struct {
	world   *World
	plan    *experiment.Plan
	tracker *experiment.Tracker
	rng     *rand.Rand

	hosts        *hosts       // nil without hosts
	restartLocks []sync.Mutex // one for each instance; serialize the restarts and reloads of the instance

	memorySamples []int // resident memory of all instances at regular intervals, in KiB

	mu                sync.Mutex
	errs              []error
	misuse            *clients.MisuseCounts
	signalCounts      *experiment.SignalCounts // nil if the experiment has no signal series and no connection burst
	initialFootprints map[string]footprint     // footprints before the load, by instance name
}

// memorySampleCount is the number of memory samples over a run.
const memorySampleCount = 40

// sampleMemory samples the total resident memory of all instances at regular intervals. The returned function stops
// the sampling and returns the samples.
func sampleMemory(w *World, duration time.Duration) func() []int {
	stop, stopped := make(chan struct{}), make(chan struct{})
	var samples []int
	go func() {
		defer close(stopped)
		ticker := time.NewTicker(duration / memorySampleCount)
		defer ticker.Stop()
		for range memorySampleCount {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			total := 0
			for _, in := range w.Instances {
				for _, pid := range in.PIDs() {
					total += residentKiB(pid)
				}
			}
			samples = append(samples, total)
		}
	}()
	return func() []int { close(stop); <-stopped; return samples }
}

// residentKiB returns a process's resident memory in KiB, or 0 if the process has ended.
func residentKiB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 10
}

// fleetFigures returns the figures of the whole fleet. The parameter samples is the number of requests.
func (r *experimentRun) fleetFigures(samples int) map[string]float64 {
	calls, failed, _ := r.world.Registry.Load()
	longest, peak := r.world.Registry.QueueStats()
	figures := map[string]float64{
		"list_wait_s": longest.Seconds(), "list_failed": float64(failed) / float64(max(1, calls)), "list_calls_s": float64(peak) / float64(len(r.world.Instances)),
		"growth": experiment.Growth(r.memorySamples),
	}
	_, _, lines := r.world.Registry.Load()
	work := float64(lines) + float64(calls)*r.plan.Spec.World.Discovery.CallCostLines
	if laggingRegistry := r.world.laggingRegistry; laggingRegistry != nil {
		lagCalls, _, lagLines := laggingRegistry.Load()
		work += float64(lagLines) + float64(lagCalls)*r.plan.Spec.World.Discovery.CallCostLines
	}
	figures["list_lines_s"] = work / r.world.Checker.Now().Seconds()
	conns := 0
	for _, server := range r.world.Servers {
		counts := server.Counts()
		conns += counts.Conns
		figures["conns_second"] = max(figures["conns_second"], float64(counts.PeakConnRate))
		figures["cap_share"] = max(figures["cap_share"], float64(counts.PeakConns)/float64(r.plan.Spec.World.Server.MaxConns))
	}
	figures["conns_asked"] = float64(conns) / float64(max(1, samples))
	return figures
}

// CheckDescriptorLimit returns an error if an experiment on sockets would need more descriptors in the rig's process
// than the limit of the process allows. The estimate counts the connections of each instance to discovery, clients
// and servers.
func CheckDescriptorLimit(spec *experiment.Spec) error {
	const perInstance, perUpstream = 10, 40
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return nil // unknown limit: the run itself fails if it is too low
	}
	required := func(instances int) int {
		return 200 + instances*perInstance + min(instances*perUpstream, spec.World.Servers*spec.World.Server.MaxConns)
	}
	if uint64(required(spec.World.Instances)) <= limit.Cur {
		return nil
	}
	maxInstances := 0
	for uint64(required(maxInstances+1)) <= limit.Cur {
		maxInstances++
	}
	return &strictconfig.Error{File: spec.File, Line: spec.Lines["world.instances"], Key: "world.instances", Found: strconv.Itoa(spec.World.Instances),
		Wanted: fmt.Sprintf("at most %d on sockets: a process has %d descriptors on this machine", maxInstances, limit.Cur)}
}

// HostedOptions holds the programs that an experiment with hosts needs besides the sidecar, and the path of its
// history.
type HostedOptions struct {
	OperatorCommand        []string // path and arguments
	SelfCommand            []string // this program, which calls Reap if ReaperArgument is appended
	HistoryFile            string   // empty for no history
	EarlierSidecar         string   // path of an earlier version of the sidecar; empty for none
	EarlierOperatorCommand string   // path of an earlier version of the operators' command
}

// openHistory creates the history file and records the checker's events in it. It returns nil if HistoryFile is
// empty.
func (h *HostedOptions) openHistory(w *World, plan *experiment.Plan) (*history.Writer, error) {
	if h.HistoryFile == "" {
		return nil, nil
	}
	misbehaving := slices.ContainsFunc(plan.Spec.Faults, func(fault experiment.Fault) bool { return fault.Kind == "rude" })
	writer, err := history.Create(h.HistoryFile, history.Header{Clock: fmt.Sprintf("%d-%d", os.Getpid(), time.Now().UnixNano()), Experiment: plan.Spec.Name, Seed: plan.Seed, Rules: w.Checker.Rules(), UnrecordedClients: misbehaving})
	if err == nil {
		w.Checker.Observe(writer.AddEvent)
	}
	return writer, err
}

// openLaggingDiscovery assigns a second discovery service to every second instance if the plan has a fault that
// makes one service lag.
func (w *World) openLaggingDiscovery(plan *experiment.Plan) error {
	if !slices.ContainsFunc(plan.Spec.Faults, func(fault experiment.Fault) bool { return fault.Kind == "list-lag" }) {
		return nil
	}
	w.laggingRegistry = w.Registry.Fork(w.Registry.Index())
	w.registries = append(w.registries, w.laggingRegistry)
	for i, in := range w.Instances {
		// If supervisors relay the endpoint list, the lagging service notifies half of the supervisors instead.
		if i%2 == 0 || plan.Spec.World.Coordination.EndpointList {
			continue
		}
		listener, err := w.laggingRegistry.Listen(in.Name)
		if err != nil {
			return err
		}
		in.discovery.Close()
		in.discovery = listener
		if err := in.writeConfig(); err != nil {
			return err
		}
	}
	return nil
}

// RunExperiment runs a plan on sockets and processes, including the start of the instances. The function progress is
// called a few times a second; it may be nil.
func RunExperiment(ctx context.Context, plan *experiment.Plan, program []string, dir string, progress func(at time.Duration)) (*experiment.Record, error) {
	return RunHostedExperiment(ctx, plan, program, dir, HostedOptions{}, progress)
}

// RunHostedExperiment is RunExperiment for experiments that may have hosts.
func RunHostedExperiment(ctx context.Context, plan *experiment.Plan, program []string, dir string, hosted HostedOptions, progress func(at time.Duration)) (*experiment.Record, error) {
	if plan.Spec.World.Hosts > 0 && (len(hosted.OperatorCommand) == 0 || len(hosted.SelfCommand) == 0) {
		return nil, errors.New("rig: an experiment with hosts needs the operators' command and the reaper's command")
	}
	if err := CheckDescriptorLimit(plan.Spec); err != nil {
		return nil, err
	}
	options := ExperimentOptions(plan, program, dir)
	options.OperatorCommand, options.SelfCommand, options.EarlierSidecar, options.EarlierOperatorCommand = hosted.OperatorCommand, hosted.SelfCommand, hosted.EarlierSidecar, hosted.EarlierOperatorCommand
	for i := range plan.Spec.Faults {
		if plan.Spec.Faults[i].Program == "old" && hosted.EarlierSidecar == "" {
			return nil, &strictconfig.Error{File: plan.Spec.File, Line: plan.Spec.Lines[fmt.Sprintf("fault[%d].program", i+1)], Key: fmt.Sprintf("fault[%d].program", i+1), Found: "old, but no earlier version is given", Wanted: "an earlier version, given by -old"}
		}
	}
	w, err := New(options)
	if err != nil {
		return nil, err
	}
	defer w.Close()
	if err := w.openLaggingDiscovery(plan); err != nil {
		return nil, err
	}
	if err := w.openRelays(plan); err != nil {
		return nil, err
	}
	writer, err := hosted.openHistory(w, plan)
	if err != nil {
		return nil, err
	}
	var hosts *hosts
	if plan.Spec.World.Hosts == 0 {
		if err := w.StartAll(ctx, 8); err != nil {
			return nil, err
		}
	} else {
		if w.reaper, err = StartReaper(options.SelfCommand); err != nil {
			return nil, err
		}
		if hosts, err = newHosts(w, plan, writer); err != nil {
			return nil, err
		}
		defer func() {
			if hosts != nil {
				hosts.stop()
			}
		}()
		if err := hosts.start(ctx); err != nil {
			return nil, err
		}
	}
	run := &experimentRun{world: w, plan: plan, hosts: hosts, tracker: experiment.NewTracker(plan.Spec), rng: rand.New(rand.NewPCG(plan.Seed, 0x72756e)), restartLocks: make([]sync.Mutex, len(w.Instances))}
	// Each sidecar requests its first endpoint list within 2 s of its start.
	if !waitFor(ctx, 3*time.Second) {
		return nil, ctx.Err()
	}
	run.prepareSignalChecks(ctx)
	start := w.Checker.Now()
	var allClients []*clients.Clients
	var wg sync.WaitGroup
	for i, in := range w.Instances {
		instanceClients, arrivals, err := run.newClients(in, plan.Arrivals[i])
		if err != nil {
			return nil, err
		}
		allClients = append(allClients, instanceClients...)
		for index, client := range instanceClients {
			wg.Go(func() { client.Run(ctx, arrivals[index]) })
		}
	}
	stopReport := reportProgress(w, start, progress)
	stopSampling := sampleMemory(w, plan.Spec.Duration)
	stopMonitor := monitorSuspensions(w.Checker)
	run.runSteps(ctx, start, &wg)
	wg.Wait()
	stopReport()
	run.memorySamples = stopSampling()
	if suspension := stopMonitor(); suspension > voidSuspension {
		run.recordError(fmt.Errorf("the rig itself stood still for %.1f s", suspension.Seconds()))
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	run.findLeaks(ctx)
	for _, err := range w.Crashes() {
		run.recordError(err)
	}
	record := run.newRecord(start, allClients)
	if hosts != nil {
		record.ProcessReport = hosts.result()
		record.ProcessReport.LeftBehind = hosts.stop()
		for _, err := range append(hosts.errs, hosts.processErrors()...) {
			run.recordFailure(record, err)
		}
		hosts = nil
	}
	if writer != nil {
		for _, reason := range record.VoidReasons {
			writer.Add(history.Entry{Event: invariant.Event{Kind: history.KindVoid, At: w.Checker.Now()}, Value: reason})
		}
		w.Checker.Observe(nil)
		if err := writer.Close(); err != nil {
			return nil, err
		}
	}
	return record, nil
}

// newClients returns the HTTP clients of an instance. It adds the CoAP clients of the instance if the experiment has
// CoAP clients. The second result has the arrivals for each element of the first result.
func (r *experimentRun) newClients(in *Instance, plan []clients.Arrival) ([]*clients.Clients, [][]clients.Arrival, error) {
	allClients, arrivals := []*clients.Clients{r.world.NewClients(in, r.rng.Uint64())}, [][]clients.Arrival{plan}
	share := r.plan.Spec.World.CoAP.Clients
	if share == 0 {
		return allClients, arrivals, nil
	}
	devices, err := r.world.newDevices(in, r.rng.Uint64(), false)
	if err != nil {
		return nil, nil, err
	}
	arrivals = make([][]clients.Arrival, 2)
	for _, arrival := range plan {
		protocol := 0
		if r.rng.Float64() < share {
			protocol = 1
		}
		arrivals[protocol] = append(arrivals[protocol], arrival)
	}
	return append(allClients, devices), arrivals, nil
}

// recordFailure records an unexpected exit of a process as a violation. It records any other error as a reason why
// the run is void.
func (r *experimentRun) recordFailure(record *experiment.Record, err error) {
	if !errors.Is(err, ErrCrashed) {
		record.VoidReasons = append(record.VoidReasons, err.Error())
		return
	}
	record.Report.Dropped++
	record.Report.Violations = append(record.Report.Violations, err.Error())
}

// reportProgress calls progress periodically until the function that it returns is called.
func reportProgress(w *World, start time.Duration, progress func(time.Duration)) func() {
	if progress == nil {
		return func() {}
	}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		ticker := time.NewTicker(300 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				progress(w.Checker.Now() - start)
			}
		}
	}()
	return func() { close(stop); <-stopped }
}

// runSteps applies the plan's steps at their times. Steps that take time, such as a restart of an instance, run
// concurrently with later steps.
func (r *experimentRun) runSteps(ctx context.Context, start time.Duration, wg *sync.WaitGroup) {
	for _, step := range r.plan.Steps {
		if !waitFor(ctx, start+step.At-r.world.Checker.Now()) {
			return
		}
		switch step.Op {
		case experiment.Kill, experiment.Term, experiment.HandOver, experiment.Reload, experiment.ReloadInvalid:
			wg.Go(func() { r.recordError(r.restartInstance(ctx, step.Instance, step.Op)) })
		case experiment.Suspend, experiment.Resume, experiment.MoveDiscovery:
			wg.Go(func() { r.recordError(r.applyInstanceStep(ctx, step)) })
		case experiment.SignalSeries:
			seed := r.rng.Uint64()
			wg.Go(func() { r.recordError(r.runSignalSeries(ctx, step, seed)) })
		case experiment.ConnectionBurst:
			wg.Go(func() { r.runConnectionBurst(ctx, step) })
		case experiment.MisbehavingClients:
			seed := r.rng.Uint64()
			wg.Go(func() { r.runMisbehavingClients(ctx, step, seed) })
		default:
			r.recordError(r.applyStep(step))
		}
	}
}

// applyInstanceStep suspends or resumes an instance's newest process, or moves its discovery address.
func (r *experimentRun) applyInstanceStep(ctx context.Context, step experiment.Step) error {
	in := r.world.Instances[step.Instance]
	switch step.Op {
	case experiment.Suspend:
		return in.Signal(syscall.SIGSTOP)
	case experiment.Resume:
		return in.Signal(syscall.SIGCONT)
	}
	r.restartLocks[step.Instance].Lock()
	defer r.restartLocks[step.Instance].Unlock()
	if err := in.MoveDiscovery(r.plan.Spec.Faults[step.Fault].Delay); err != nil {
		return err
	}
	return in.Reload(ctx, false)
}

func (r *experimentRun) recordError(err error) {
	if err != nil {
		r.mu.Lock()
		r.errs = append(r.errs, err)
		r.mu.Unlock()
	}
}

func (r *experimentRun) restartInstance(ctx context.Context, index int, operation experiment.Op) error {
	r.restartLocks[index].Lock()
	defer r.restartLocks[index].Unlock()
	in := r.world.Instances[index]
	switch operation {
	case experiment.HandOver:
		return in.HandOver(ctx)
	case experiment.Reload, experiment.ReloadInvalid:
		return in.Reload(ctx, operation == experiment.ReloadInvalid)
	}
	return in.Restart(ctx, operation == experiment.Kill)
}

// runMisbehavingClients runs misbehaving clients against an instance for the duration of their fault.
func (r *experimentRun) runMisbehavingClients(ctx context.Context, step experiment.Step, seed uint64) {
	spec := r.plan.Spec
	fault := &spec.Faults[step.Fault]
	ctx, cancel := context.WithTimeout(ctx, min(fault.Duration.In(spec.Duration), spec.Duration-step.At))
	defer cancel()
	misbehaving := clients.MisbehavingClients{Addr: r.world.Instances[step.Instance].Addr, Count: fault.Count, Seed: seed}
	counts := misbehaving.Run(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.misuse == nil {
		r.misuse = &clients.MisuseCounts{}
	}
	r.misuse.Add(counts)
}

// applyStep applies a step to discovery, a link, a server, or a process of a host.
func (r *experimentRun) applyStep(step experiment.Step) error {
	w, fault := r.world, &r.plan.Spec.Faults[step.Fault]
	switch step.Op {
	case experiment.ImpairDiscovery:
		if fault.Kind == "list-late" {
			w.Registry.SetDelay(fault.Delay)
		} else {
			w.Registry.SetDown(true, fault.Kind == "list-silent")
		}
		return nil
	case experiment.RestoreDiscovery:
		w.Registry.SetDelay(r.plan.Spec.World.Discovery.Delay)
		w.Registry.SetDown(false, false)
		return nil
	case experiment.CutLink, experiment.HealLink:
		return w.relays[[2]int{step.Instance, step.Server}].SetBlocked(r.tracker.ApplyLink(step))
	case experiment.ApplyProcessFault, experiment.ClearProcessFault:
		return r.hosts.applyFaultStep(step)
	}
	action := r.tracker.Apply(step)
	if action.Op == experiment.AddServer {
		server, err := w.addServer(step.Server, r.rng.Uint64())
		if err == nil && networkImpaired(&r.plan.Spec.World.Network) {
			err = w.openRelaysTo(step.Server)
		}
		if err == nil {
			err = w.RestartServer(server)
		}
		return err
	}
	if action.Op == "" {
		return nil
	}
	return r.applyServerStep(w.Servers[step.Server], action)
}

func (r *experimentRun) applyServerStep(server *callserver.Server, action experiment.Action) error {
	w := r.world
	switch action.Op {
	case experiment.ApplyServerFault:
		server.SetFault(r.serverFault(action.State))
	case experiment.DrainServer:
		w.DrainServer(server)
	case experiment.ResetConnections:
		server.ResetConns()
	case experiment.SilenceServer:
		return server.Isolate()
	case experiment.CrashServer, experiment.RemoveServer:
		w.RemoveServer(server)
	case experiment.StartServer:
		addr := ""
		if action.NewAddress {
			addr = "127.0.0.1:0"
		}
		if err := server.Restart(addr); err != nil {
			return err
		}
		server.SetFault(r.serverFault(action.State))
		w.updateDiscovery(w.registryEntry(server, "active"))
	}
	return nil
}

// corruptions are the malformed responses that a sidecar can detect.
var corruptions = []callserver.Corruption{callserver.Garbage, callserver.UnterminatedHeader, callserver.TruncatedBody, callserver.NegativeLength, callserver.EndlessBody}

// serverFault converts a server state of the experiment to a fault of the fake call server.
func (r *experimentRun) serverFault(state experiment.ServerState) callserver.Fault {
	first := callserver.Fault{Hang: state.Hang, Slowdown: state.SlowFactor}
	for i, requestFault := range state.RequestFaults {
		alternative := callserver.Fault{Slowdown: state.SlowFactor, Probability: requestFault.Chance}
		switch requestFault.Kind {
		case "refuse":
			alternative.Reject = true
		case "error":
			alternative.Error = true
		case "spoilt":
			alternative.Corruption = corruptions[r.rng.IntN(len(corruptions))]
		case "reset-before":
			alternative.ResetRequestAt = 1
		case "reset-after":
			alternative.ResetRunning = true
		case "reset-answer":
			alternative.ResetResponseAt = 20
		}
		if i == 0 {
			alternative.Hang = state.Hang
			first = alternative
			continue
		}
		first.Alternatives = append(first.Alternatives, alternative)
	}
	return first
}

// newRecord returns the record of the run for its evaluation.
func (r *experimentRun) newRecord(start time.Duration, allClients []*clients.Clients) *experiment.Record {
	record := &experiment.Record{
		Engine: "sockets", Seconds: r.world.Checker.Seconds(start), Report: r.world.Checker.Report(), Skipped: r.tracker.Skipped,
		Counts: experiment.Counts{BudgetOver: -1, BudgetRefused: -1, EndedInFlight: -1},
	}
	if r.misuse != nil {
		record.Counts.Misbehaving = r.misuse
		record.Report.Forged += r.misuse.Served
		record.Report.Violations = append(record.Report.Violations, r.misuse.Problems...)
	}
	r.findIdleInstances(start, allClients)
	record.Signals = r.signalCounts
	overflow, lateStarts, closedUnread := 0, 0, 0
	for _, client := range allClients {
		for _, sample := range client.Samples() {
			sample.At -= start
			record.Samples = append(record.Samples, sample)
		}
		overflow += client.Overflow()
		lateStarts += client.LateStarts()
		closedUnread += client.ClosedNewConns()
	}
	sampleCount := len(record.Samples)
	if limit := sampleCount / 100; overflow > limit || lateStarts > limit {
		record.VoidReasons = append(record.VoidReasons, fmt.Sprintf("the clients were slower than their load: of %d arrivals %d began late and %d found no connection", sampleCount, lateStarts, overflow))
	}
	for _, err := range r.errs {
		r.recordFailure(record, err)
	}
	record.EngineFigures = r.fleetFigures(sampleCount)
	record.EngineFigures["closed_unread"] = float64(closedUnread) / float64(max(1, sampleCount))
	return record
}
