package virtual

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"otterspring/balance"
	"otterspring/internal/lab/experiment"
	"otterspring/internal/lab/invariant"
	"otterspring/internal/lab/standin/clients"
	"otterspring/internal/lab/standin/dedup"
)

func itoa(n int) string { return strconv.Itoa(n) }

// Options configure a run.
type Options struct {
	// Wrap replaces the module of each process, for example to break a rule on
	// purpose. Settings changes the module's settings. Both may be nil.
	Wrap     func(Module) Module
	Settings func(*balance.Settings)
	// Progress is called periodically with the virtual time; it may be nil.
	Progress func(at time.Duration)
	// MaxEvents limits the number of events of a run; 0 selects 200 million.
	MaxEvents int
}

// simulation is the state of a run.
type simulation struct {
	spec          *experiment.Spec
	plan          *experiment.Plan
	opt           Options
	loop          loop
	checker       *invariant.Checker
	rng           *rand.Rand
	registry      *registry
	servers       []*server
	pods          []*pod
	instances     []*instance
	serverClasses []class
	clientClasses []clients.Class
	tracker       *experiment.Tracker
	idleTimeout   time.Duration // time after which a sidecar closes an idle connection
	openArrivals  int           // client requests without an outcome
	samples       []clients.Sample
	entryCounts   []int // total of process.entryCount, sampled at regular intervals
	counts        experiment.Counts
	voidReasons   []string
}

// settleTime is the time from the start until the first requests. It is longer than 2 s, because
// each module makes its first call to discovery at a random time within the first 2 s.
const settleTime = 3 * time.Second

// Run runs a plan and returns its record. The same plan and options give the
// same record.
func Run(ctx context.Context, plan *experiment.Plan, opt Options) (*experiment.Record, error) {
	if opt.MaxEvents == 0 {
		opt.MaxEvents = 200_000_000
	}
	sim := newSimulation(plan, opt)
	for _, in := range sim.instances {
		p, err := sim.startProcess(in, in.configuredList, in.configuredIndex)
		if err != nil {
			return nil, err
		}
		p.listening = true
	}
	for _, step := range plan.Steps {
		sim.loop.scheduleAt(settleTime+step.At, func() { sim.applyStep(step) })
	}
	for i, in := range sim.instances {
		sim.scheduleArrival(in, plan.Arrivals[i], 0)
	}
	sim.scheduleEntryCounts()
	stop := func() bool {
		if opt.Progress != nil {
			opt.Progress(sim.loop.now - settleTime)
		}
		return ctx.Err() != nil
	}
	longestDeadline := time.Duration(0)
	for _, c := range sim.clientClasses {
		longestDeadline = max(longestDeadline, c.Deadline)
	}
	end := settleTime + sim.spec.Duration + longestDeadline + time.Second
	if !sim.loop.run(end, opt.MaxEvents, stop) {
		sim.voidReasons = append(sim.voidReasons, fmt.Sprintf("event limit reached after %d events at %v", sim.loop.processed, sim.loop.now-settleTime))
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return sim.record(), nil
}

// newSimulation creates the servers and instances of a plan.
func newSimulation(plan *experiment.Plan, opt Options) *simulation {
	s := plan.Spec
	sim := &simulation{
		spec: s, plan: plan, opt: opt, rng: rand.New(rand.NewPCG(plan.Seed, 0x6e6574)),
		clientClasses: s.ClientClasses(), tracker: experiment.NewTracker(s),
		idleTimeout: max(s.World.Server.IdleTimeout-idleMargin, s.World.Server.IdleTimeout/2),
	}
	rules := invariant.DelftRules()
	rules.OverloadMultiple, rules.OverloadWindow = s.World.Server.OverloadRatio, s.World.Server.OverloadWindow
	sim.checker = invariant.NewWithClock(rules, func() time.Duration { return sim.loop.now })
	for _, c := range s.Load.Classes {
		sim.serverClasses = append(sim.serverClasses, class{c.Name, experiment.Effects[c.Effect], c.MeanWork})
	}
	sim.registry = &registry{sim: sim, byServer: map[*server]*entry{}, updateDelay: s.World.Discovery.Delay}
	seeds := rand.New(rand.NewPCG(plan.Seed, 0x776f726c64))
	for i := range s.TotalServers() {
		srv := newServer(sim, i, seeds.Uint64())
		for len(sim.pods) < s.ServerPod(i) {
			sim.pods = append(sim.pods, &pod{name: "pod" + itoa(len(sim.pods)+1), memory: dedup.New(s.World.Server.DedupWindow)})
		}
		srv.pod = sim.pods[s.ServerPod(i)-1]
		sim.servers = append(sim.servers, srv)
		if i < s.World.Servers {
			srv.start(false)
			sim.registry.register(srv, balance.Ready)
		}
	}
	for i := range s.World.Instances {
		in := &instance{sim: sim, index: i, name: "n" + itoa(i+1), rng: rand.New(rand.NewPCG(seeds.Uint64(), 7)), partitions: map[int]int{}}
		in.configuredList, in.configuredIndex = sim.endpointList(), sim.registry.index
		sim.instances = append(sim.instances, in)
	}
	return sim
}

// endpointList returns a copy of all entries of discovery.
func (sim *simulation) endpointList() []entry {
	var all []entry
	for _, e := range sim.registry.entries {
		all = append(all, *e)
	}
	return all
}

// drawDelay draws the network delay of one message.
func (sim *simulation) drawDelay() time.Duration {
	n := &sim.spec.World.Network
	if n.Jitter <= 0 {
		return n.Delay
	}
	return n.Delay + time.Duration(sim.rng.Int64N(int64(n.Jitter)))
}

// settings returns the module's settings.
func (sim *simulation) settings() balance.Settings {
	sidecar, server := &sim.spec.World.Sidecar, &sim.spec.World.Server
	settings := balance.Settings{
		KeyAffinity: true, Subscribe: true, MaxAttempts: sidecar.MaxAttempts, CanCancel: true, CanHedge: true, RetryAfter: sidecar.MaxRetryAfter, CallInterval: 2 * time.Millisecond, IdleTimeout: server.IdleTimeout * 9 / 10,
		InitialCapacity: 0.12, WarmUpTime: 23 * time.Second, WarmUpOverloadMultiple: server.OverloadRatio,
	}
	effects := map[invariant.Effect]balance.Idempotency{invariant.Idempotent: balance.Idempotent, invariant.IdempotentWithKey: balance.IdempotentWithKey, invariant.NonIdempotent: balance.NonIdempotent}
	for _, c := range sim.clientClasses {
		class := balance.Class{Name: c.Name, LatencyObjective: c.LatencyObjective, Deadline: c.Deadline, PriorityWeight: c.PriorityWeight, Idempotency: effects[c.Effect]}
		if c.Effect == invariant.IdempotentWithKey {
			class.DedupScope, class.DedupWindow = balance.ScopeCell, server.DedupWindow
		}
		settings.Classes = append(settings.Classes, class)
	}
	for _, t := range sim.spec.Load.Tenants {
		settings.Tenants = append(settings.Tenants, balance.Tenant{Name: t.Name, Quota: t.Quota})
	}
	settings.QuotaExcessWeight = sidecar.OverQuotaWeight
	if sim.opt.Settings != nil {
		sim.opt.Settings(&settings)
	}
	return settings
}

// startProcess starts a process of an instance with a cached endpoint list.
func (sim *simulation) startProcess(in *instance, list []entry, index int) (*process, error) {
	balancer, err := balance.New(sim.settings(), in.rng.Uint64())
	if err != nil {
		return nil, err
	}
	p := &process{inst: in, incarnation: sim.checker.Restarts(in.name), module: balancer, requests: map[string]*request{}, upstreams: map[string]*upstream{}}
	if sim.opt.Wrap != nil {
		p.module = sim.opt.Wrap(balancer)
	}
	in.processes = append(in.processes, p)
	p.updateList(balance.ListCached, list, index)
	return p, nil
}

// scheduleArrival schedules arrival i of an instance's plan. When the arrival occurs, it schedules
// the next arrival.
func (sim *simulation) scheduleArrival(in *instance, plan []clients.Arrival, i int) {
	if i >= len(plan) {
		return
	}
	sim.loop.scheduleAt(settleTime+plan[i].At, func() {
		in.arrivals++
		sim.openArrivals++
		a := plan[i]
		cr := &clientRequest{inst: in, arrival: a, class: &sim.clientClasses[a.Class], operationID: in.name + "-" + itoa(in.arrivals), arrivedAt: sim.loop.now}
		cr.deadline = cr.arrivedAt + cr.class.Deadline
		cr.send()
		sim.scheduleArrival(in, plan, i+1)
	})
}

// applyStep applies one step of the plan.
func (sim *simulation) applyStep(step experiment.Step) {
	fault := &sim.spec.Faults[step.Fault]
	switch step.Op {
	case experiment.ImpairDiscovery:
		sim.registry.applyFault(fault.Kind, fault.Delay)
		return
	case experiment.RestoreDiscovery:
		sim.registry.clearFault()
		return
	case experiment.Suspend, experiment.Resume:
		for _, p := range sim.instances[step.Instance].processes {
			p.setSuspended(step.Op == experiment.Suspend)
		}
		return
	case experiment.MoveDiscovery:
		if p := sim.instances[step.Instance].listeningProcess(); p != nil {
			p.whenRunning(func() { p.moveDiscovery(fault.Delay) })
		}
		return
	case experiment.Reload, experiment.ReloadInvalid, experiment.MisbehavingClients, experiment.SignalSeries, experiment.ConnectionBurst, experiment.ApplyProcessFault, experiment.ClearProcessFault:
		sim.tracker.SkipUnsupported(step)
		return
	case experiment.Kill, experiment.Term, experiment.HandOver:
		sim.restartInstance(sim.instances[step.Instance], step.Op)
		return
	case experiment.CutLink, experiment.HealLink:
		toServer, fromServer := sim.tracker.ApplyLink(step)
		in := sim.instances[step.Instance]
		in.partitions[step.Server] = 0
		if toServer {
			in.partitions[step.Server] |= partitionToServer
		}
		if fromServer {
			in.partitions[step.Server] |= partitionFromServer
		}
		return
	}
	srv := sim.servers[step.Server]
	switch change := sim.tracker.Apply(step); change.Op {
	case experiment.AddServer:
		srv.start(true)
		sim.registry.publish(srv, balance.Ready)
	case experiment.ApplyServerFault:
		srv.setFaultState(change.State)
	case experiment.DrainServer:
		sim.registry.publish(srv, balance.Draining)
	case experiment.ResetConnections:
		sim.resetConnections(srv)
	case experiment.SilenceServer:
		srv.unreachable, srv.silentIncarnation = true, srv.incarnation
	case experiment.CrashServer, experiment.RemoveServer:
		sim.registry.publish(srv, balance.Removed)
		sim.crashServer(srv)
	case experiment.StartServer:
		if srv.running {
			sim.crashServer(srv) // the server was unreachable until now, and its open connections are reset
		}
		if change.NewAddress {
			srv.address++
		}
		srv.start(true)
		srv.faultState = change.State
		sim.registry.publish(srv, balance.Ready)
	}
}

// crashServer ends a server's process and resets its open connections.
func (sim *simulation) crashServer(s *server) {
	incarnation, unreachable := s.incarnation, s.unreachable
	s.stop()
	if unreachable {
		return // clients of an unreachable host see the reset only when they write
	}
	for _, in := range sim.instances {
		for _, p := range in.processes {
			for _, a := range append([]*attempt(nil), p.openAttempts...) {
				if a.conn != nil && a.upstream.server == s && a.conn.incarnation == incarnation {
					a.sendReset(a.conn)
				}
			}
		}
	}
}

// resetConnections resets every connection of a server, whose process keeps running. The server
// cancels the requests on these connections. Idle connections are removed from the pools at once,
// because their close is visible.
func (sim *simulation) resetConnections(s *server) {
	for _, in := range sim.instances {
		for _, p := range in.processes {
			for _, a := range slices.Clone(p.openAttempts) {
				if c := a.conn; c != nil && a.upstream.server == s && !c.closed && c.incarnation == s.incarnation {
					if a.job != nil {
						s.cancel(a.job, a.jobIncarnation)
					}
					s.openConns--
					a.sendReset(c)
				}
			}
			if up := p.upstreams[s.name]; up != nil {
				s.openConns -= len(up.idle)
				up.idle = nil
			}
		}
	}
}

// restartInstance ends an instance's process and starts a successor.
func (sim *simulation) restartInstance(in *instance, op experiment.Op) {
	old := in.listeningProcess()
	if old == nil {
		return
	}
	var list []entry
	index := 0
	if op == experiment.HandOver {
		list, index = sim.endpointList(), sim.registry.index
	} else {
		list, index = in.configuredList, in.configuredIndex
	}
	startSuccessor := func() {
		if op != experiment.HandOver {
			sim.checker.Restarted(in.name, sim.loop.now)
		}
		p, err := sim.startProcess(in, list, index)
		if err != nil {
			panic(err) // the same settings were valid at the start of the run
		}
		p.listening = true
		old.listening = false
	}
	switch op {
	case experiment.Kill:
		old.listening = false
		sim.checker.KillAnnounced(in.name)
		old.kill()
		sim.checker.Killed(in.name, sim.loop.now)
		sim.loop.scheduleAfter(processStartTime, startSuccessor)
	case experiment.Term:
		// The old process finishes its open requests. No process listens until
		// its successor has started.
		old.listening = false
		sim.endWhenIdle(old, startSuccessor)
	case experiment.HandOver:
		startSuccessor()
		sim.endWhenIdle(old, func() {})
	}
}

// endWhenIdle ends a process as soon as it has no open request. It calls then after another
// processStartTime.
func (sim *simulation) endWhenIdle(p *process, then func()) {
	sim.loop.scheduleAfter(10*time.Millisecond, func() {
		if len(p.requests) > 0 {
			sim.endWhenIdle(p, then)
			return
		}
		p.shutDown()
		sim.loop.scheduleAfter(processStartTime, then)
	})
}

// kill ends a process immediately and resets all its connections.
func (p *process) kill() {
	p.ended = true
	var openRequests []*request
	for _, a := range append([]*attempt(nil), p.openAttempts...) {
		if c := a.conn; c != nil {
			p.closeConn(c, a)
		}
	}
	for _, id := range sortedIDs(p.requests) {
		openRequests = append(openRequests, p.requests[id])
	}
	p.shutDown()
	for _, req := range openRequests {
		if !req.answered {
			req.answered = true
			req.client.handleDisconnect(req)
		}
	}
}

// shutDown marks a process as ended and removes it from its instance.
func (p *process) shutDown() {
	p.ended, p.listening = true, false
	for _, s := range p.inst.sim.servers {
		if up := p.upstreams[s.name]; up != nil {
			p.retireUpstream(up)
		}
	}
	in := p.inst
	for i, x := range in.processes {
		if x == p {
			in.processes = append(in.processes[:i:i], in.processes[i+1:]...)
			break
		}
	}
}

// entryCountSamples is the number of entry count samples in a run.
const entryCountSamples = 40

// scheduleEntryCounts samples the total entry count at regular intervals.
func (sim *simulation) scheduleEntryCounts() {
	for i := range entryCountSamples {
		sim.loop.scheduleAt(settleTime+sim.spec.Duration*time.Duration(i)/entryCountSamples, func() {
			n := 0
			for _, in := range sim.instances {
				for _, p := range in.processes {
					n += p.entryCount()
				}
			}
			sim.entryCounts = append(sim.entryCounts, n)
		})
	}
}

// fleetFigures returns the figures across all instances.
func (sim *simulation) fleetFigures() map[string]float64 {
	out := map[string]float64{
		"conns_asked":  float64(sim.counts.ConnectionsOpened) / float64(max(1, len(sim.samples))),
		"list_wait_s":  sim.registry.longestWait.Seconds(),
		"list_failed":  float64(sim.registry.failed) / float64(max(1, sim.registry.calls)),
		"list_calls_s": float64(sim.registry.peakCallsInSecond) / float64(len(sim.instances)),
		"growth":       experiment.Growth(sim.entryCounts),
	}
	for _, s := range sim.servers {
		out["conns_second"] = max(out["conns_second"], float64(s.peakConnsInSecond))
		out["cap_share"] = max(out["cap_share"], float64(s.maxConns)/float64(s.cfg.MaxConns))
	}
	return out
}

// record returns the record of the run.
func (sim *simulation) record() *experiment.Record {
	rec := &experiment.Record{Engine: "virtual", Seconds: sim.checker.Seconds(settleTime), Report: sim.checker.Report(), Counts: sim.counts, Skipped: sim.tracker.Skipped, VoidReasons: sim.voidReasons}
	if sim.spec.World.CoAP.Enabled() {
		rec.Skipped = append(rec.Skipped, "world.coap: virtual time does not model the protocol")
	}
	for _, s := range sim.samples {
		s.At -= settleTime
		rec.Samples = append(rec.Samples, s)
	}
	rec.Counts.Steps = sim.loop.processed
	rec.EngineFigures = sim.fleetFigures()
	if sim.openArrivals > 0 && len(sim.voidReasons) == 0 {
		rec.VoidReasons = append(rec.VoidReasons, fmt.Sprintf("%d requests were still open at the end", sim.openArrivals))
	}
	return rec
}
