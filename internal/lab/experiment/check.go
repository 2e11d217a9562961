package experiment

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"otterspring/internal/faultinjection"
	"otterspring/internal/strictconfig"
)

// FaultKind describes a kind of fault and the keys that an experiment file sets for it.
type FaultKind struct {
	Description    string
	Target         string   // "servers", "instances", "both" or "processes"; empty for discovery and for new servers
	HasDuration    bool     // the kind requires the key "for", which sets the duration
	HasChance      bool     // the kind requires the key "chance", the probability that a request is affected
	HasFactor      bool     // the kind requires the key "factor"
	HasCount       bool     // the kind requires the key "count"
	SocketsOnly    bool     // the fault has no effect in virtual time, where it is recorded as skipped
	NeedsHosts     bool     // the kind requires a world with hosts
	ProcessLetters string   // first letters of the names of the processes that the kind can affect; empty for all
	RequiredKeys   []string // further keys that the kind requires
	OptionalKeys   []string // further keys that the kind allows
}

// FaultKinds maps the name of each kind of fault in an experiment file to its description.
var FaultKinds = map[string]FaultKind{
	"hang":          {Description: "the server accepts requests and does not answer them", Target: "servers", HasDuration: true},
	"slow":          {Description: "the server executes requests slower by factor", Target: "servers", HasDuration: true, HasFactor: true},
	"refuse":        {Description: "the server rejects requests without executing them", Target: "servers", HasDuration: true, HasChance: true},
	"error":         {Description: "the server executes the request and answers 500", Target: "servers", HasDuration: true, HasChance: true},
	"spoilt":        {Description: "the server executes the request and sends a malformed answer", Target: "servers", HasDuration: true, HasChance: true},
	"reset-before":  {Description: "the server resets the connection at the first bytes of a request", Target: "servers", HasDuration: true, HasChance: true},
	"reset-after":   {Description: "the server resets the connection while it executes a complete request", Target: "servers", HasDuration: true, HasChance: true},
	"reset-answer":  {Description: "the server resets the connection within the answer", Target: "servers", HasDuration: true, HasChance: true},
	"vanish":        {Description: "the server becomes unreachable without closing connections, and restarts cold", Target: "servers", HasDuration: true},
	"crash":         {Description: "the server process is killed and its connections are reset; it restarts cold", Target: "servers", HasDuration: true},
	"drain":         {Description: "the server drains, exits and restarts cold", Target: "servers", HasDuration: true},
	"remove":        {Description: "the server leaves the endpoint list and exits permanently", Target: "servers"},
	"release":       {Description: "rolling restart of the servers: each one drains, exits and restarts cold", Target: "servers", HasDuration: true},
	"grow":          {Description: "count new servers start cold", HasCount: true},
	"break":         {Description: "the server resets all its connections at once and continues to serve", Target: "servers"},
	"freeze":        {Description: "the sidecar is suspended; pending input arrives at once when it resumes", Target: "instances", HasDuration: true},
	"move":          {Description: "SIGHUP with a configuration that has another address of discovery, which is down for late", Target: "instances"},
	"roll-term":     {Description: "rolling restart of the instances: each one drains, exits and is started again", Target: "instances", HasDuration: true},
	"partition":     {Description: "no data passes between the instances and the servers", Target: "both", HasDuration: true},
	"list-down":     {Description: "discovery closes its calls and refuses new ones", HasDuration: true},
	"list-silent":   {Description: "discovery does not answer", HasDuration: true},
	"list-late":     {Description: "discovery publishes changes later", HasDuration: true},
	"kill":          {Description: "the sidecar is killed and started again", Target: "instances"},
	"term":          {Description: "the sidecar drains, exits and is started again", Target: "instances"},
	"handover":      {Description: "a new process takes over the sidecar's listener", Target: "instances"},
	"reload":        {Description: "the sidecar reloads its configuration", Target: "instances", SocketsOnly: true},
	"reload-bad":    {Description: "the sidecar reloads an invalid configuration", Target: "instances", SocketsOnly: true},
	"rude":          {Description: "count clients at each instance send malformed or incomplete requests", Target: "instances", HasDuration: true, HasCount: true, SocketsOnly: true},
	"term-kill":     {Description: "SIGTERM while clients send on every open connection, SIGKILL at the earliest time that the platform permits, then a start", Target: "instances", SocketsOnly: true},
	"hup-series":    {Description: "several SIGHUP in quick succession; the process is suspended between some of them", Target: "instances", SocketsOnly: true},
	"hup-term":      {Description: "SIGHUP, SIGTERM within one second, then a start", Target: "instances", SocketsOnly: true},
	"term-twice":    {Description: "SIGTERM twice, then a start", Target: "instances", SocketsOnly: true},
	"term-in-start": {Description: "SIGTERM, a start, SIGTERM to the starting process, then another start", Target: "instances", SocketsOnly: true},
	"handover-term": {Description: "SIGTERM to the old process during a handover", Target: "instances", SocketsOnly: true},
	"handover-kill": {Description: "SIGKILL to the new process during a handover", Target: "instances", SocketsOnly: true},
	"crowd":         {Description: "count clients at each instance hold connections open, a third of them with an incomplete request", Target: "instances", HasDuration: true, HasCount: true, SocketsOnly: true},
	"stop":          {Description: "SIGSTOP, then SIGCONT at the end of the fault: the process resumes with outdated state", Target: "processes", HasDuration: true, SocketsOnly: true, NeedsHosts: true},
	"sigkill":       {Description: "SIGKILL; the supervisor restarts a sidecar, the rig restarts a supervisor at once", Target: "processes", SocketsOnly: true, NeedsHosts: true},
	"host-down":     {Description: "all processes of a host are killed, and are started again at the end of the fault", Target: "processes", ProcessLetters: "h", HasDuration: true, SocketsOnly: true, NeedsHosts: true},
	"kill-at":       {Description: "the process kills itself when it next reaches a point in the code", Target: "processes", ProcessLetters: "nfm", SocketsOnly: true, NeedsHosts: true, HasDuration: true, RequiredKeys: []string{"point"}},
	"stop-at":       {Description: "the process stops itself at a point in the code and is resumed at the end of the fault", Target: "processes", ProcessLetters: "nfm", SocketsOnly: true, NeedsHosts: true, HasDuration: true, RequiredKeys: []string{"point"}, OptionalKeys: []string{"until"}},
	"never-ready":   {Description: "started processes of the sidecar do not become ready", Target: "processes", ProcessLetters: "n", HasDuration: true, SocketsOnly: true, NeedsHosts: true},
	"starve":        {Description: "the process gets only a share of its CPU time", Target: "processes", HasDuration: true, SocketsOnly: true, NeedsHosts: true, RequiredKeys: []string{"share"}},
	"descriptors":   {Description: "the process has no free file descriptors", Target: "processes", ProcessLetters: "nfm", HasDuration: true, SocketsOnly: true, NeedsHosts: true},
	"clock":         {Description: "the wall clock of the process is offset by shift, or drifts", Target: "processes", ProcessLetters: "nfm", HasDuration: true, SocketsOnly: true, NeedsHosts: true, OptionalKeys: []string{"shift", "drift"}},
	"disk":          {Description: "file operations of the process fail", Target: "processes", ProcessLetters: "nfm", HasDuration: true, SocketsOnly: true, NeedsHosts: true, RequiredKeys: []string{"disk"}},
	"way-cut":       {Description: "the link between a sidecar and its peer is cut in one or both directions", Target: "processes", ProcessLetters: "n", HasDuration: true, SocketsOnly: true, NeedsHosts: true, RequiredKeys: []string{"peer"}, OptionalKeys: []string{"held", "way"}},
	"way-slow":      {Description: "data between a sidecar and its peer is delayed", Target: "processes", ProcessLetters: "n", HasDuration: true, SocketsOnly: true, NeedsHosts: true, RequiredKeys: []string{"peer", "late"}},
	"way-reset":     {Description: "connections between a sidecar and its peer are reset at their first bytes", Target: "processes", ProcessLetters: "n", HasDuration: true, HasChance: true, SocketsOnly: true, NeedsHosts: true, RequiredKeys: []string{"peer"}},
	"way-half-open": {Description: "the remote side of all connections with the peer disappears without closing them", Target: "processes", ProcessLetters: "n", HasDuration: true, SocketsOnly: true, NeedsHosts: true, RequiredKeys: []string{"peer"}},
	"order":         {Description: "an operator requests an operation, such as a rolling restart, from a supervisor", Target: "processes", ProcessLetters: "f", SocketsOnly: true, NeedsHosts: true, RequiredKeys: []string{"order"}},
	"version":       {Description: "an operator has a supervisor roll to an earlier version of the program, or back; a member of the coordination cluster is killed and started with that version", Target: "processes", ProcessLetters: "fm", SocketsOnly: true, NeedsHosts: true, RequiredKeys: []string{"program"}},
	"list-lag":      {Description: "half of the sidecars use a second discovery, which lags by late and then catches up", HasDuration: true, SocketsOnly: true, NeedsHosts: true, RequiredKeys: []string{"late"}},
	"cut-off":       {Description: "data from the process to the processes in to is blocked; the other direction is open", Target: "processes", ProcessLetters: "fm", HasDuration: true, SocketsOnly: true, NeedsHosts: true, RequiredKeys: []string{"to"}},
	"roll-handover": {Description: "rolling handover of the instances, one at a time", Target: "instances", HasDuration: true},
}

// FaultKindNames returns the names of all kinds of fault in alphabetical order.
func FaultKindNames() []string {
	var names []string
	for k := range FaultKinds {
		names = append(names, k)
	}
	slices.Sort(names)
	return names
}

// checker compares the values of an experiment file with each other and collects the errors.
type checker struct {
	s     *Spec
	name  string
	lines strictconfig.Lines
	errs  []*strictconfig.Error
}

// addError adds an error about key. If the file sets key, the error has the line of key. Otherwise
// the error has the line of the innermost table that contains key.
func (c *checker) addError(key, found, wanted string) {
	line := c.lines[key]
	for at := key; line == 0 && strings.Contains(at, "."); {
		at = at[:strings.LastIndexByte(at, '.')]
		line = c.lines[at]
	}
	c.errs = append(c.errs, &strictconfig.Error{File: c.name, Line: line, Key: key, Found: found, Wanted: wanted})
}

func (s *Spec) check(name string, lines strictconfig.Lines) []*strictconfig.Error {
	c := &checker{s: s, name: name, lines: lines}
	c.load()
	for i := range s.Faults {
		c.fault(fmt.Sprintf("fault[%d]", i+1), &s.Faults[i])
	}
	c.hosts()
	c.coap()
	c.phases()
	c.sweeps()
	return c.errs
}

func (c *checker) load() {
	s := c.s
	for i, v := range s.World.Server.Speeds {
		if !(v >= 0.01 && v <= 100) {
			c.addError("world.server.speeds", fmt.Sprintf("%g at position %d", v, i+1), "0.01 to 100")
		}
	}
	c.discovery()
	if n := s.Load.BusyInstances; n > s.World.Instances {
		c.addError("load.busy", strconv.Itoa(n), fmt.Sprintf("0 to %d, the number of instances", s.World.Instances))
	}
	c.tenants()
	names, shares := map[string]bool{}, 0.0
	for i, k := range s.Load.Classes {
		key := fmt.Sprintf("load.class[%d]", i+1)
		if names[k.Name] {
			c.addError(key+".name", strconv.Quote(k.Name), "a name that no other class has")
		}
		if k.LatencyObjective > k.Deadline {
			c.addError(key+".aim", k.LatencyObjective.String(), "at most the deadline, "+k.Deadline.String())
		}
		names[k.Name] = true
		shares += k.Share
	}
	if shares <= 0 {
		c.addError("load.class", "shares that are all 0", "a share above 0")
	}
	if s.Load.Rate == 0 && s.Load.CapacityFactor == 0 {
		c.addError("load", "neither rate nor times above 0", "one of them")
	}
	if s.Load.Rate > 0 && s.Load.CapacityFactor > 0 && c.lines["load.times"] > 0 {
		c.addError("load.times", "both times and rate", "one of them")
	}
	peakFactor := 1.0
	for i, g := range s.Load.Surges {
		peakFactor = max(peakFactor, g.Factor)
		key := fmt.Sprintf("load.surge[%d]", i+1)
		if g.Class != "" && !names[g.Class] {
			c.addError(key+".class", strconv.Quote(g.Class), "a class that the file defines")
		}
		if g.Tenant != "" && !slices.ContainsFunc(s.Load.Tenants, func(t Tenant) bool { return t.Name == g.Tenant }) {
			c.addError(key+".tenant", strconv.Quote(g.Tenant), "a tenant that the file defines")
		}
		if g.Zone > s.World.Zones {
			c.addError(key+".zone", strconv.Itoa(g.Zone), fmt.Sprintf("0 to %d, the number of zones", s.World.Zones))
		}
		if g.Class != "" && g.Tenant != "" {
			c.addError(key, "both class and tenant", "one of them")
		}
	}
	if n := s.Rate() * s.Duration.Seconds() * peakFactor; n > 4_000_000 {
		c.addError("load", fmt.Sprintf("up to %.0f requests", n), "at most 4000000")
	}
}

// DiscoveryQueueTimeout is the maximum time that a call waits in the queue of discovery. A
// call that would wait longer fails.
const DiscoveryQueueTimeout = 2 * time.Second

// discovery rejects a line rate that is too low. The transfer of one full list must not take longer
// than DiscoveryQueueTimeout. A world with more than maxServers servers is reported by another check.
func (c *checker) discovery() {
	s := c.s
	d := &s.World.Discovery
	listLines := d.CallCostLines + float64(s.World.Servers)
	if minRate := listLines / DiscoveryQueueTimeout.Seconds(); d.LinesPerSecond > 0 && d.LinesPerSecond < minRate && s.World.Servers <= maxServers {
		c.addError("world.discovery.lines", fmt.Sprintf("%g", d.LinesPerSecond), fmt.Sprintf("0 for no limit, or at least %g: one full list has %g lines and must be sent within %v", math.Ceil(minRate), listLines, DiscoveryQueueTimeout))
	}
}

// coap rejects settings that are not compatible with CoAP. A CoAP link has one fixed address for
// each process and server. CoAP links do not support hosts.
func (c *checker) coap() {
	w := &c.s.World
	if !w.CoAP.Enabled() {
		return
	}
	if w.Hosts > 0 {
		c.addError("world.coap", fmt.Sprintf("CoAP with %d hosts", w.Hosts), "world.hosts of 0")
	}
	for i := range c.s.Faults {
		f := &c.s.Faults[i]
		if f.NewAddress || f.Kind == "partition" {
			c.addError(fmt.Sprintf("fault[%d]", i+1), f.Kind+" in a world with coap", "a fault that does not change addresses or cut links")
		}
	}
}

func (c *checker) tenants() {
	names, shares, quotas := map[string]bool{}, 0.0, 0.0
	for i, t := range c.s.Load.Tenants {
		if names[t.Name] || t.Name == "" {
			c.addError(fmt.Sprintf("load.tenant[%d].name", i+1), strconv.Quote(t.Name), "a name that no other tenant has")
		}
		names[t.Name] = true
		shares, quotas = shares+t.Share, quotas+t.Quota
	}
	if len(names) > 0 && (shares <= 0 || quotas <= 0) {
		c.addError("load.tenant", "shares or quotas that are all 0", "at least one of each above 0")
	}
}

func (c *checker) fault(key string, f *Fault) {
	s := c.s
	k, ok := FaultKinds[f.Kind]
	if !ok {
		c.addError(key+".kind", strconv.Quote(f.Kind), "one of "+strings.Join(FaultKindNames(), ", "))
		return
	}
	if f.At.In(s.Duration) >= s.Duration {
		c.addError(key+".at", f.At.In(s.Duration).String(), "a time before the end, "+s.Duration.String())
	}
	require := func(have, want bool, field, what string) {
		switch {
		case have && !want:
			c.addError(key+"."+field, "the key with kind "+f.Kind, "it left out")
		case !have && want:
			c.addError(key, "no "+field+" with kind "+f.Kind, what)
		}
	}
	onServers, onInstances := k.Target == "servers" || k.Target == "both", k.Target == "instances" || k.Target == "both"
	require(f.Duration.set, k.HasDuration, "for", "the duration")
	require(f.Chance > 0, k.HasChance, "chance", "the probability for each request, above 0")
	require(f.Factor > 0, k.HasFactor, "factor", "a factor")
	require(f.Count > 0, k.HasCount, "count", "the number")
	require(f.Servers.Text != "", onServers, "servers", "which servers")
	require(f.Instances.Text != "", onInstances, "instances", "which instances")
	if f.Kind != "move" {
		require(f.Delay > 0, f.Kind == "list-late" || slices.Contains(k.RequiredKeys, "late"), "late", "the delay")
	}
	if f.Direction != "" {
		require(true, f.Kind == "partition" || slices.Contains(k.OptionalKeys, "way"), "way", "")
	}
	c.processFault(key, f, &k, require)
	if f.NewAddress {
		require(true, f.Kind == "vanish" || f.Kind == "crash", "move", "")
	}
	if n := f.Count * s.World.Instances; (f.Kind == "rude" || f.Kind == "crowd") && n > maxMisbehavingClients {
		c.addError(key+".count", fmt.Sprintf("up to %d %s clients", n, f.Kind), fmt.Sprintf("at most %d over all instances", maxMisbehavingClients))
	}
	c.selector(key+".servers", f.Servers, 's', s.TotalServers())
	c.selector(key+".instances", f.Instances, 'n', s.World.Instances)
}

// processFault checks the keys of a fault that apply to processes. These keys must match the kind
// of the fault and the world.
func (c *checker) processFault(key string, f *Fault, k *FaultKind, require func(have, want bool, field, what string)) {
	s := c.s
	for field, have := range map[string]bool{
		"point": f.Point != "", "shift": f.ClockShift != 0, "drift": f.ClockDrift != 0, "disk": f.DiskFault != "", "share": f.CPUShare > 0,
		"peer": f.Peer != "", "program": f.Program != "", "held": f.HeldData != "", "order": f.Operation != "", "to": f.BlockedPeers.Text != "", "until": f.ResumeAfter != "",
	} {
		if !have || !slices.Contains(k.OptionalKeys, field) {
			require(have, slices.Contains(k.RequiredKeys, field), field, "the key")
		}
	}
	require(f.Processes.Text != "", k.Target == "processes", "processes", "which processes")
	if k.NeedsHosts && s.World.Hosts == 0 {
		c.addError(key+".kind", strconv.Quote(f.Kind)+" in a world without hosts", "world.hosts of 1 or more")
	}
	if f.Point != "" && faultinjection.Points[f.Point] == "" {
		c.addError(key+".point", strconv.Quote(f.Point), "one of "+strings.Join(slices.Sorted(maps.Keys(faultinjection.Points)), ", "))
	}
	if strings.HasPrefix(f.Point, "list-") && !s.World.Coordination.EndpointList {
		c.addError(key+".point", strconv.Quote(f.Point)+" in a world without a shared endpoint list", "world.council.list")
	}
	if f.ResumeAfter != "" && s.World.Coordination.Members == 0 {
		c.addError(key+".until", strconv.Quote(f.ResumeAfter)+" in a world without a coordination cluster", "world.council.members of 1 or more")
	}
	if f.Kind == "clock" && (f.ClockShift != 0) == (f.ClockDrift != 0) {
		c.addError(key, "clock with both of shift and drift, or neither", "one of them")
	}
	if k.Target != "processes" || f.Processes.Text == "" {
		return
	}
	words := strings.Fields(f.Processes.Text)
	counts := map[byte]int{'n': s.World.Instances, 'f': s.World.Hosts, 'h': s.World.Hosts, 'm': s.World.Coordination.Members}
	requireLetter := func(letter byte) {
		if k.ProcessLetters != "" && !strings.ContainsRune(k.ProcessLetters, rune(letter)) {
			c.addError(key+".processes", strconv.Quote(f.Processes.Text), f.Kind+" on "+strings.Join(strings.Split(k.ProcessLetters, ""), " or ")+" (n sidecars, f supervisors, h hosts, m members of the coordination cluster)")
		}
	}
	switch first := words[0]; {
	case first == "owner" || first == "leader" || first == "lister":
		if s.World.Coordination.Members == 0 {
			c.addError(key+".processes", strconv.Quote(first)+" in a world without a coordination cluster", "world.council.members of 1 or more")
		}
		requireLetter(map[string]byte{"owner": 'f', "lister": 'f', "leader": 'm'}[first])
		if first == "lister" && !s.World.Coordination.EndpointList {
			c.addError(key+".processes", strconv.Quote(first)+" in a world without a shared endpoint list", "world.council.list")
		}
	case first == "zone":
		if atoi(words[1]) > s.World.Zones {
			c.addError(key+".processes", strconv.Quote(f.Processes.Text), fmt.Sprintf("zone 1 to %d", s.World.Zones))
		}
	case len(words) == 2 && processLetters[words[1]] != 0:
		letter := processLetters[words[1]]
		requireLetter(letter)
		if n := atoi(first); n > counts[letter] {
			c.addError(key+".processes", first, fmt.Sprintf("at most %d", counts[letter]))
		}
	default:
		for _, w := range words {
			requireLetter(w[0])
			if n := atoi(w[1:]); n > counts[w[0]] {
				c.addError(key+".processes", strconv.Quote(w), fmt.Sprintf("a process that exists: %c1 to %c%d", w[0], w[0], counts[w[0]]))
			}
		}
	}
}

// processLetters maps the word for a type of process in an experiment file to the first letter of
// the names of such processes.
var processLetters = map[string]byte{"sidecars": 'n', "supervisors": 'f', "hosts": 'h', "members": 'm'}

// hosts checks the hosts, the coordination cluster and the nemesis against the rest of the file.
func (c *checker) hosts() {
	s := c.s
	if s.World.Hosts > s.World.Instances {
		c.addError("world.hosts", strconv.Itoa(s.World.Hosts), fmt.Sprintf("at most %d (world.instances)", s.World.Instances))
	}
	if s.World.Hosts > 0 && s.World.Hosts%s.World.Zones != 0 {
		c.addError("world.hosts", strconv.Itoa(s.World.Hosts), fmt.Sprintf("a multiple of the number of zones, %d: each host is in one zone", s.World.Zones))
	}
	if m := s.World.Coordination.Members; m > 0 && (m%2 == 0 || s.World.Hosts == 0) {
		c.addError("world.council.members", strconv.Itoa(m), "an odd number, in a world with hosts")
	}
	if s.World.Coordination.EndpointList && s.World.Coordination.Members == 0 {
		c.addError("world.council.list", "a shared endpoint list without members", "world.council.members of 1 or more")
	}
	for i, f := range s.Faults {
		key := fmt.Sprintf("fault[%d]", i+1)
		if (strings.HasPrefix(f.Operation, "everywhere") || f.Operation == "step-down" || f.Operation == "give-up") && s.World.Coordination.Members == 0 {
			c.addError(key+".order", strconv.Quote(f.Operation)+" in a world without a coordination cluster", "world.council.members of 1 or more")
		}
		for _, w := range strings.Fields(f.BlockedPeers.Text) {
			if w == "d1" && s.World.Coordination.EndpointList {
				continue // the name "d1" stands for discovery
			}
			if n := atoi(w[1:]); w[0] == 'f' && n > s.World.Hosts || w[0] == 'm' && n > s.World.Coordination.Members || w[0] != 'f' && w[0] != 'm' {
				c.addError(key+".to", strconv.Quote(w), "an existing supervisor or member, such as f1 or m2, or d1 for discovery with world.council.list")
			}
		}
	}
	n := &s.Nemesis
	for i, kind := range n.Kinds {
		if k, ok := FaultKinds[kind]; !ok || NemesisGenerators[kind] == nil {
			c.addError("nemesis.kinds", fmt.Sprintf("%q at position %d", kind, i+1), "a kind that the nemesis can draw: "+strings.Join(slices.Sorted(maps.Keys(NemesisGenerators)), ", "))
		} else if k.NeedsHosts && s.World.Hosts == 0 {
			c.addError("nemesis.kinds", strconv.Quote(kind)+" in a world without hosts", "world.hosts of 1 or more")
		}
	}
	if n.Faults > 0 && len(n.Kinds) == 0 {
		c.addError("nemesis.faults", strconv.Itoa(n.Faults), "at least one kind in nemesis.kinds")
	}
	if n.MinDuration > n.MaxDuration {
		c.addError("nemesis.least", n.MinDuration.String(), "at most nemesis.most, "+n.MaxDuration.String())
	}
}

// maxServers is the maximum of World.Servers. It repeats the number in the tag of that field.
const maxServers = 500

// maxMisbehavingClients is the maximum number of clients that a fault of kind "rude" or "crowd"
// starts at all instances together.
const maxMisbehavingClients = 2000

// selector checks a selector of servers or instances. n is the number of servers or instances, and
// letter is the first letter of their names.
func (c *checker) selector(key string, set Selector, letter byte, n int) {
	if set.Text == "" {
		return
	}
	wanted := fmt.Sprintf("at most %d", n)
	words := strings.Fields(set.Text)
	switch first := words[0]; {
	case first == "pod" && letter == 'n':
		c.addError(key, strconv.Quote(set.Text), "a selector of instances")
	case len(words) == 2 && first == "pod" && atoi(words[1]) > c.s.pods(),
		len(words) == 2 && first == "zone" && atoi(words[1]) > c.s.World.Zones:
		c.addError(key, strconv.Quote(set.Text), fmt.Sprintf("an existing one: pod 1 to %d, zone 1 to %d", c.s.pods(), c.s.World.Zones))
	case first[0] == 's' || first[0] == 'n':
		for _, w := range words {
			if w[0] != letter || atoi(w[1:]) > n {
				c.addError(key, strconv.Quote(w), fmt.Sprintf("%c1 to %c%d", letter, letter, n))
			}
		}
	case atoi(first) > n:
		c.addError(key, first, wanted)
	}
}

func atoi(s string) int {
	n, _ := strconv.Atoi(s)
	return n
}

// pods returns the number of pods of the initial servers.
func (s *Spec) pods() int { return (s.World.Servers + s.World.PodSize - 1) / s.World.PodSize }

// TotalServers returns the number of servers, including the servers that faults of kind "grow" add.
func (s *Spec) TotalServers() int {
	n := s.World.Servers
	for _, f := range s.Faults {
		if f.Kind == "grow" {
			n += f.Count
		}
	}
	return n
}

func (c *checker) phases() {
	s := c.s
	names := map[string]bool{}
	for i, p := range s.Phases {
		key := fmt.Sprintf("phase[%d]", i+1)
		if names[p.Name] {
			c.addError(key+".name", strconv.Quote(p.Name), "a name that no other phase has")
		}
		names[p.Name] = true
		if from, to := p.From.In(s.Duration), p.To.In(s.Duration); from >= to || to > s.Duration {
			c.addError(key+".to", fmt.Sprintf("from %v to %v", from, to), "an end after the start and within "+s.Duration.String())
		}
	}
	for i, h := range s.Assertions {
		key := fmt.Sprintf("hold[%d]", i+1)
		if h.Phase != "" && !names[h.Phase] {
			c.addError(key, strconv.Quote(h.String()), "a phase that the file defines")
		}
		if h.Phase != "" && Figures[h.Figure].WholeRunOnly {
			c.addError(key, strconv.Quote(h.String()), h.Figure+" without a phase: it is computed over the whole run")
		}
	}
}

func (c *checker) sweeps() {
	points := 1
	for i, w := range c.s.Sweeps {
		key := fmt.Sprintf("sweep[%d]", i+1)
		for _, v := range w.Values {
			try := c.s.clone()
			try.Sweeps = nil
			if err := try.ApplySetting(w.Key + "=" + v); err != nil {
				c.addError(key, strconv.Quote(w.Key+"="+v), err.Error())
				break
			}
		}
		if points *= max(1, len(w.Values)); points > MaxPoints {
			c.addError(key, fmt.Sprintf("%d points", points), fmt.Sprintf("at most %d", MaxPoints))
			return
		}
	}
}

// Points returns the settings of each combination of the sweeps' values, in order. Without
// sweeps it returns one element with no settings.
func (s *Spec) Points() [][]string {
	points := [][]string{nil}
	for _, w := range s.Sweeps {
		var next [][]string
		for _, p := range points {
			for _, v := range w.Values {
				next = append(next, append(slices.Clone(p), w.Key+"="+v))
			}
		}
		points = next
	}
	return points
}

// WithSettings returns a copy of the spec with the settings of set applied. It returns an error if
// a setting or the resulting spec is invalid.
func (s *Spec) WithSettings(set []string) (*Spec, error) {
	c := s.clone()
	for _, kv := range set {
		if err := c.ApplySetting(kv); err != nil {
			return nil, &strictconfig.Error{File: s.File, Key: kv, Found: "no such setting or value", Wanted: err.Error()}
		}
	}
	if bad := c.check(s.File, nil); len(bad) > 0 {
		return nil, bad[0]
	}
	return &c, nil
}
