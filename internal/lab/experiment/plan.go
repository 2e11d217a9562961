package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"otterspring/internal/lab/standin/clients"
)

// Op is an operation that an engine applies to the simulated or real system.
type Op string

// Operations of the steps of a plan. An outage of a server begins with SilenceServer or CrashServer
// and ends with StartServer. Outages of a server may overlap.
const (
	ApplyServerFault   Op = "ill"
	ClearServerFault   Op = "well"
	SilenceServer      Op = "vanish"
	CrashServer        Op = "crash"
	StartServer        Op = "up"
	DrainServer        Op = "drain"
	RemoveServer       Op = "remove"
	AddServer          Op = "grow"
	CutLink            Op = "cut"
	HealLink           Op = "heal"
	ImpairDiscovery    Op = "list-bad"
	RestoreDiscovery   Op = "list-good"
	Kill               Op = "kill"
	Term               Op = "term"
	HandOver           Op = "handover"
	Reload             Op = "reload"
	ReloadInvalid      Op = "reload-bad"
	MisbehavingClients Op = "rude"
	ResetConnections   Op = "break"
	Suspend            Op = "freeze"
	Resume             Op = "thaw"
	MoveDiscovery      Op = "move"
	SignalSeries       Op = "signals" // the kind of the fault determines the signals
	ConnectionBurst    Op = "crowd"
	ApplyProcessFault  Op = "begin" // a process fault begins on Step.Process
	ClearProcessFault  Op = "end"   // a process fault ends on Step.Process
)

// Step is one operation and the time of the run at which it is applied. Server and Instance are
// indices from 0, or -1 for none.
type Step struct {
	At         time.Duration
	Op         Op
	Fault      int // index into Spec.Faults
	Server     int
	Instance   int
	NewAddress bool
	Process    string // for a process fault: name such as "n3", "f1" or "h2"; empty for all processes
}

// Plan is an experiment with all random choices made. All engines run the same plan.
type Plan struct {
	Spec       *Spec
	Seed       uint64
	Steps      []Step              // in order of time
	Arrivals   [][]clients.Arrival // arrivals of each instance
	LoadShares []float64           // share of the load of each instance; the sum is 1
}

// NewPlan returns the plan of an experiment. The same spec and seed give the same plan.
func NewPlan(s *Spec, seed uint64) (*Plan, error) {
	s = s.WithNemesisFaults(seed)
	rng := rand.New(rand.NewPCG(seed, 0x73746f726d))
	p := &Plan{Spec: s, Seed: seed}
	addedServers := s.World.Servers
	for i := range s.Faults {
		f := &s.Faults[i]
		faultRNG := rand.New(rand.NewPCG(seed, 0x6661756c74+uint64(i)))
		servers, instances := s.drawServers(f.Servers, faultRNG), s.drawInstances(f.Instances, faultRNG)
		if k := FaultKinds[f.Kind]; k.NeedsHosts {
			p.expandProcessFault(i, f, &k, s.drawProcesses(f.Processes, faultRNG))
			continue
		}
		p.expandFault(i, f, servers, instances, &addedServers)
	}
	// The sort is stable: steps at the same time keep the order of the faults in the file.
	slices.SortStableFunc(p.Steps, func(a, b Step) int { return int(a.At - b.At) })
	sum := 0.0
	for i := range s.World.Instances {
		w := math.Pow(float64(i+1), -s.Load.InstanceSkew)
		if i < s.Load.BusyInstances {
			w *= s.Load.BusyFactor
		}
		p.LoadShares = append(p.LoadShares, w)
		sum += w
	}
	classes := s.ClientClasses()
	tenants := s.ClientTenants()
	for i := range p.LoadShares {
		p.LoadShares[i] /= sum
		workload := clients.Workload{Rate: s.Rate() * p.LoadShares[i], Duration: s.Duration, Surges: s.clientSurges(i), Tenants: tenants, Keys: s.Load.Keys, Skew: s.Load.KeySkew}
		arrivals, err := clients.Draw(workload, classes, rng.Uint64())
		if err != nil {
			return nil, err
		}
		p.Arrivals = append(p.Arrivals, arrivals)
	}
	return p, nil
}

// expandProcessFault adds the steps of fault i, which is a process fault, for the processes procs.
// Empty procs stand for all processes.
func (p *Plan) expandProcessFault(i int, f *Fault, k *FaultKind, procs []string) {
	at := f.At.In(p.Spec.Duration)
	if len(procs) == 0 {
		procs = []string{""}
	}
	for _, name := range procs {
		p.Steps = append(p.Steps, Step{At: at, Op: ApplyProcessFault, Fault: i, Server: -1, Instance: -1, Process: name})
		if k.HasDuration {
			p.Steps = append(p.Steps, Step{At: min(at+f.Duration.In(p.Spec.Duration), p.Spec.Duration), Op: ClearProcessFault, Fault: i, Server: -1, Instance: -1, Process: name})
		}
	}
}

// expandFault adds the steps of fault i on servers and instances. addedServers counts the initial
// servers and the servers that faults add. expandFault updates it.
func (p *Plan) expandFault(i int, f *Fault, servers, instances []int, addedServers *int) {
	run := p.Spec.Duration
	at := f.At.In(run)
	end := min(at+f.Duration.In(run), run)
	add := func(t time.Duration, do Op, server, instance int) {
		p.Steps = append(p.Steps, Step{At: t, Op: do, Fault: i, Server: server, Instance: instance, NewAddress: f.NewAddress})
	}
	switch f.Kind {
	case "vanish", "crash", "drain", "remove":
		for _, n := range servers {
			add(at, map[string]Op{"vanish": SilenceServer, "crash": CrashServer, "drain": DrainServer, "remove": RemoveServer}[f.Kind], n, -1)
			if f.Kind == "drain" {
				add(at+(end-at)*7/10, CrashServer, n, -1)
			}
			if f.Kind != "remove" {
				add(end, StartServer, n, -1)
			}
		}
	case "release":
		step := (end - at) / time.Duration(max(1, len(servers)))
		for j, n := range servers {
			t := at + time.Duration(j)*step
			add(t, DrainServer, n, -1)
			add(t+step*6/10, CrashServer, n, -1)
			add(t+step*9/10, StartServer, n, -1)
		}
	case "grow":
		for range f.Count {
			add(at, AddServer, *addedServers, -1)
			*addedServers++
		}
	case "partition":
		for _, n := range servers {
			for _, in := range instances {
				add(at, CutLink, n, in)
				add(end, HealLink, n, in)
			}
		}
	case "list-down", "list-silent", "list-late":
		add(at, ImpairDiscovery, -1, -1)
		add(end, RestoreDiscovery, -1, -1)
	case "kill", "term", "handover":
		for _, in := range instances {
			add(at, map[string]Op{"kill": Kill, "term": Term, "handover": HandOver}[f.Kind], -1, in)
		}
	case "reload", "reload-bad", "rude":
		for _, in := range instances {
			add(at, map[string]Op{"reload": Reload, "reload-bad": ReloadInvalid, "rude": MisbehavingClients}[f.Kind], -1, in)
		}
	case "term-kill", "hup-series", "hup-term", "term-twice", "term-in-start", "handover-term", "handover-kill":
		for _, in := range instances {
			add(at, SignalSeries, -1, in)
		}
	case "crowd":
		for _, in := range instances {
			add(at, ConnectionBurst, -1, in)
		}
	case "break":
		for _, n := range servers {
			add(at, ResetConnections, n, -1)
		}
	case "freeze":
		for _, in := range instances {
			add(at, Suspend, -1, in)
			add(end, Resume, -1, in)
		}
	case "move":
		for _, in := range instances {
			add(at, MoveDiscovery, -1, in)
		}
	case "roll-handover", "roll-term":
		do := map[string]Op{"roll-handover": HandOver, "roll-term": Term}[f.Kind]
		for j, in := range instances {
			add(at+(end-at)*time.Duration(j)/time.Duration(len(instances)), do, -1, in)
		}
	default:
		for _, n := range servers {
			add(at, ApplyServerFault, n, -1)
			add(end, ClearServerFault, n, -1)
		}
	}
}

// DisturbanceEnd returns when the last fault or surge ends, or 0 if there is none.
func (s *Spec) DisturbanceEnd() time.Duration {
	end := time.Duration(0)
	for _, f := range s.Faults {
		end = max(end, min(f.At.In(s.Duration)+f.Duration.In(s.Duration), s.Duration))
	}
	for _, g := range s.Load.Surges {
		end = max(end, min(g.At.In(s.Duration)+g.Duration.In(s.Duration), s.Duration))
	}
	return end
}

// DisturbanceStart returns when the first fault or surge begins, or the duration of the run if
// there is none.
func (s *Spec) DisturbanceStart() time.Duration {
	at := s.Duration
	for _, f := range s.Faults {
		at = min(at, f.At.In(s.Duration))
	}
	for _, g := range s.Load.Surges {
		at = min(at, g.At.In(s.Duration))
	}
	return at
}

// ServerPod returns the number of the pod of a server. Pods are numbered from 1, and servers that
// faults add continue the numbering.
func (s *Spec) ServerPod(server int) int { return server/s.World.PodSize + 1 }

// ServerZone returns the number of the zone of a server. Zones are numbered from 1, and pods are
// assigned to the zones in turn.
func (s *Spec) ServerZone(server int) int { return (s.ServerPod(server)-1)%s.World.Zones + 1 }

// InstanceZone returns the number of the zone of an instance. Zones are numbered from 1.
func (s *Spec) InstanceZone(instance int) int { return instance%s.World.Zones + 1 }

// drawInstances returns the indices of the instances that a selector selects.
func (s *Spec) drawInstances(selector Selector, rng *rand.Rand) []int {
	words := strings.Fields(selector.Text)
	if len(words) == 0 || words[0] != "zone" {
		return drawSelector(selector, 'n', s.World.Instances, rng)
	}
	want := 1 + rng.IntN(s.World.Zones)
	if len(words) == 2 {
		want = atoi(words[1])
	}
	var all []int
	for i := range s.World.Instances {
		if s.InstanceZone(i) == want {
			all = append(all, i)
		}
	}
	return all
}

// drawServers returns the indices of the servers that a selector selects. A random choice is made
// among the initial servers only.
func (s *Spec) drawServers(selector Selector, rng *rand.Rand) []int {
	words := strings.Fields(selector.Text)
	if len(words) == 0 || words[0] != "pod" && words[0] != "zone" {
		return drawSelector(selector, 's', s.World.Servers, rng)
	}
	group, count := s.ServerPod, s.pods()
	if words[0] == "zone" {
		group, count = s.ServerZone, s.World.Zones
	}
	want := 1 + rng.IntN(count)
	if len(words) == 2 {
		want = atoi(words[1])
	}
	var all []int
	for i := range s.World.Servers {
		if group(i) == want {
			all = append(all, i)
		}
	}
	return all
}

// drawSelector returns the indices of the servers or instances that a selector selects. n is the
// number of servers or instances, and letter is the first letter of their names. Indices that are
// drawn at random are sorted.
func drawSelector(selector Selector, letter byte, n int, rng *rand.Rand) []int {
	if selector.Text == "" {
		return nil
	}
	words := strings.Fields(selector.Text)
	if words[0][0] == letter {
		var named []int
		for _, w := range words {
			named = append(named, atoi(w[1:])-1)
		}
		return named
	}
	count := n
	switch pct, share := strings.CutSuffix(words[0], "%"); {
	case words[0] == "half":
		count = (n + 1) / 2
	case share:
		count = max(1, (n*atoi(pct)+50)/100)
	case words[0] != "all":
		count = min(n, atoi(words[0]))
	}
	chosen := rng.Perm(n)[:count]
	slices.Sort(chosen)
	return chosen
}

// RequestFault affects each request of a server with probability Chance.
type RequestFault struct {
	Kind   string
	Chance float64
}

// ServerState is the combined effect of all faults on a server. The factors of slow faults are
// multiplied. A hang takes precedence over slow faults. The first element of RequestFaults that
// affects a request determines the result of the request.
type ServerState struct {
	Hang          bool
	SlowFactor    float64 // 1 without a slow fault
	RequestFaults []RequestFault
}

// Tracker follows the servers and links through the steps of a plan, so that overlapping and
// contradictory faults have the same effect in every engine. A server with overlapping outages
// starts again when the last outage ends.
type Tracker struct {
	spec     *Spec
	servers  []trackedServer
	linkCuts map[[2]int]map[int]string // direction that a fault cuts, by instance and server and then by fault
	Skipped  []string                  // descriptions of the steps that could not be applied
}

type trackedServer struct {
	present, removed, drained bool
	outages                   map[int]bool
	faults                    []int
	newAddress                bool
}

// NewTracker returns a Tracker with the initial servers present.
func NewTracker(s *Spec) *Tracker {
	t := &Tracker{spec: s, servers: make([]trackedServer, s.TotalServers())}
	for i := range s.World.Servers {
		t.servers[i].present = true
	}
	return t
}

// ApplyLink applies a step that cuts or heals a link and reports which directions are cut
// afterwards. The end of one fault does not heal a direction that another fault cuts.
func (t *Tracker) ApplyLink(s Step) (to, from bool) {
	pair := [2]int{s.Instance, s.Server}
	if t.linkCuts == nil {
		t.linkCuts = map[[2]int]map[int]string{}
	}
	if t.linkCuts[pair] == nil {
		t.linkCuts[pair] = map[int]string{}
	}
	if s.Op == CutLink {
		t.linkCuts[pair][s.Fault] = t.spec.Faults[s.Fault].Direction
	} else {
		delete(t.linkCuts[pair], s.Fault)
	}
	for _, direction := range t.linkCuts[pair] {
		to, from = to || direction != "from", from || direction != "to"
	}
	return to, from
}

// SkipUnsupported records that the engine does not support the fault of a step. A fault may have
// several steps, but it is recorded only once, since the records of its steps would be identical.
func (t *Tracker) SkipUnsupported(s Step) {
	why := fmt.Sprintf("fault[%d] (%s): skipped: supported on sockets only", s.Fault+1, t.spec.Faults[s.Fault].Kind)
	if !slices.Contains(t.Skipped, why) {
		t.Skipped = append(t.Skipped, why)
	}
}

// Action is what an engine has to do for a step.
type Action struct {
	Op         Op // empty if there is nothing to do
	State      ServerState
	NewAddress bool // for StartServer: the server starts at a new address
}

// Apply applies a step to a server and returns what the engine has to do.
func (t *Tracker) Apply(s Step) Action {
	v := &t.servers[s.Server]
	skip := func(why string) Action {
		if len(t.Skipped) < 100 {
			t.Skipped = append(t.Skipped, fmt.Sprintf("%v: fault[%d] (%s) on s%d: %s", s.At, s.Fault+1, t.spec.Faults[s.Fault].Kind, s.Server+1, why))
		}
		return Action{}
	}
	switch s.Op {
	case AddServer:
		v.present = true
		return Action{Op: AddServer}
	case ApplyServerFault:
		v.faults = append(v.faults, s.Fault)
		if v.down() {
			return skip("the server is not running")
		}
		return Action{Op: ApplyServerFault, State: t.mergeFaults(v)}
	case ClearServerFault:
		v.faults = slices.DeleteFunc(v.faults, func(f int) bool { return f == s.Fault })
		if v.down() {
			return Action{}
		}
		return Action{Op: ApplyServerFault, State: t.mergeFaults(v)}
	}
	if v.removed || !v.present {
		return skip("the server has been removed or not been added yet")
	}
	switch s.Op {
	case RemoveServer:
		v.removed = true
		return Action{Op: RemoveServer}
	case DrainServer:
		if len(v.outages) > 0 {
			return skip("the server is already down")
		}
		v.drained = true
		return Action{Op: DrainServer}
	case ResetConnections:
		if v.down() {
			return skip("the server is not running")
		}
		return Action{Op: ResetConnections}
	case SilenceServer, CrashServer:
		out := len(v.outages) > 0
		if v.outages == nil {
			v.outages = map[int]bool{}
		}
		v.outages[s.Fault] = true
		if out {
			return skip("the server is already down")
		}
		return Action{Op: s.Op}
	case StartServer:
		if !v.outages[s.Fault] {
			return Action{}
		}
		delete(v.outages, s.Fault)
		v.newAddress = v.newAddress || s.NewAddress
		if len(v.outages) > 0 {
			return Action{}
		}
		move := v.newAddress
		v.newAddress, v.drained = false, false
		return Action{Op: StartServer, State: t.mergeFaults(v), NewAddress: move}
	}
	return Action{}
}

func (v *trackedServer) down() bool { return !v.present || v.removed || len(v.outages) > 0 }

// mergeFaults returns the combined effect of the faults on a server.
func (t *Tracker) mergeFaults(v *trackedServer) ServerState {
	st := ServerState{SlowFactor: 1}
	for _, i := range v.faults {
		switch f := &t.spec.Faults[i]; f.Kind {
		case "hang":
			st.Hang = true
		case "slow":
			st.SlowFactor *= f.Factor
		default:
			st.RequestFaults = append(st.RequestFaults, RequestFault{f.Kind, f.Chance})
		}
	}
	return st
}
