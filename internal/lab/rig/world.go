// Package rig runs small complete deployments, called worlds, on loopback. A world has fakes of discovery, call
// servers and clients, and has sidecars as separate processes. A world with hosts also has supervisors, which start
// the sidecars, and may have a coordination cluster. A checker observes clients and call servers and verifies the
// invariants. The program rig and the failure tests use the package.
package rig

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"otterspring/internal/lab/experiment"
	"otterspring/internal/lab/invariant"
	"otterspring/internal/lab/standin/callserver"
	"otterspring/internal/lab/standin/clients"
	"otterspring/internal/lab/standin/lossylink"
	"otterspring/internal/lab/standin/registry"
	"otterspring/internal/lab/standin/relay"
)

// Options describes a world. Zero values select the defaults.
type Options struct {
	Seed                uint64
	Instances           int
	Servers             int
	PodSize             int           // servers in a pod
	ExternalServers     []string      // addresses of running call servers, used instead of fakes
	DeduplicationWindow time.Duration // time during which a pod drops a repeated idempotency key
	TimeScale           float64       // factor on latency objectives, deadlines and grace periods, for slow machines
	DrainGrace          time.Duration // grace period of drains; 0 for the site's period multiplied by TimeScale
	WarmUpWork          time.Duration // work after which a started server is warm
	Registry            registry.Config
	SidecarCommand      []string // the sidecar: path and arguments
	// OperatorCommand is the operators' command, for worlds with hosts. SelfCommand is this program, which calls
	// Reap if ReaperArgument is appended.
	OperatorCommand, SelfCommand []string
	EarlierSidecar               string   // path of an earlier version of the sidecar; empty for none
	EarlierOperatorCommand       string   // path of an earlier version of the operators' command
	SidecarEnv                   []string // environment variables added to those of the platform
	Dir                          string   // directory of configurations and logs; must exist
	MemoryMB                     int
	MaxSockets                   int
	DescriptorLimit              int // descriptor limit of each sidecar process; 0 for the limit of the system
	// OperatorFile returns the text of an instance's operator file; nil for none.
	OperatorFile func(instance int, dir string) string
	CoAP         *CoAPOptions     // nil for none
	Experiment   *experiment.Spec // experiment that the world runs; nil for none; overrides the fields above
}

func (o *Options) setDefaults() {
	setDefault := func(field *int, value int) {
		if *field <= 0 {
			*field = value
		}
	}
	setDefault(&o.Instances, 1)
	setDefault(&o.Servers, 6)
	setDefault(&o.PodSize, 4)
	setDefault(&o.MemoryMB, 64)
	setDefault(&o.MaxSockets, 512)
	if o.TimeScale <= 0 {
		o.TimeScale = 1
	}
	if o.DeduplicationWindow == 0 {
		o.DeduplicationWindow = 4 * time.Second
	}
	if o.WarmUpWork == 0 {
		o.WarmUpWork = 15 * time.Second
	}
	if o.Registry.CallCostLines == 0 {
		o.Registry.CallCostLines = 23
	}
}

// World is a running deployment on loopback with its checker.
type World struct {
	options   Options
	Checker   *invariant.Checker
	Registry  *registry.Registry
	Servers   []*callserver.Server
	Instances []*Instance
	Classes   []clients.Class
	pods      []*callserver.Pod

	mu              sync.Mutex
	registries      []*registry.Registry // including those that instances no longer use
	relays          map[[2]int]*relay.Relay
	links           []*lossylink.Link
	laggingRegistry *registry.Registry // serves every second instance or supervisor and may lag; nil for none
	reaper          *Reaper            // nil for none
	coapAddresses   map[string]string  // address that discovery reports for each CoAP server, by server name
}

// DefaultClasses returns the classes of the site with all times multiplied by stretch.
func DefaultClasses(stretch float64) []clients.Class {
	milliseconds := func(count float64) time.Duration { return time.Duration(count * stretch * float64(time.Millisecond)) }
	return []clients.Class{
		{Name: "roster", Effect: invariant.Idempotent, Share: 41, LatencyObjective: milliseconds(200), Deadline: milliseconds(500), PriorityWeight: 3},
		{Name: "join", Effect: invariant.IdempotentWithKey, Share: 31, LatencyObjective: milliseconds(500), Deadline: milliseconds(2000), PriorityWeight: 8},
		{Name: "start-rec", Effect: invariant.NonIdempotent, Share: 28, LatencyObjective: milliseconds(500), Deadline: milliseconds(1200), PriorityWeight: 5},
	}
}

// meanWork is the mean work of a request by class.
var meanWork = map[string]time.Duration{"roster": 20 * time.Millisecond, "join": 54 * time.Millisecond, "start-rec": 55 * time.Millisecond}

// coreSpeeds are the relative core speeds of the three kinds of machine at the site. Call servers get these speeds
// in turn.
var coreSpeeds = []float64{1.6, 0.95, 0.6}

// Capacity returns approximately how many requests a second the given number of servers can serve in total.
func Capacity(servers int) float64 {
	mean := 0.41*meanWork["roster"].Seconds() + 0.31*meanWork["join"].Seconds() + 0.28*meanWork["start-rec"].Seconds()
	sum := 0.0
	for i := range servers {
		sum += 2 * coreSpeeds[i%len(coreSpeeds)]
	}
	return sum / mean
}

// New starts discovery and the call servers, and prepares the instances without starting them.
func New(options Options) (*World, error) {
	options.setDefaults()
	rules := invariant.DelftRules()
	rules.DrainGrace = time.Duration(float64(rules.DrainGrace) * options.TimeScale)
	rules.Tolerance = time.Duration(float64(rules.Tolerance) * options.TimeScale)
	if options.DrainGrace > 0 {
		rules.DrainGrace = options.DrainGrace
	}
	w := &World{options: options, Checker: invariant.New(rules), Classes: DefaultClasses(options.TimeScale), relays: map[[2]int]*relay.Relay{}, coapAddresses: map[string]string{}}
	if spec := options.Experiment; spec != nil {
		rules.OverloadMultiple, rules.OverloadWindow = spec.World.Server.OverloadRatio, spec.World.Server.OverloadWindow
		w.Checker, w.Classes = invariant.New(rules), spec.ClientClasses()
	}
	w.Registry = registry.New(options.Registry, w.Checker, 1)
	w.registries = []*registry.Registry{w.Registry}
	rng := rand.New(rand.NewPCG(options.Seed, 0x776f726c64))
	for i, addr := range options.ExternalServers {
		if parsed, err := netip.ParseAddrPort(addr); err != nil || !parsed.Addr().IsLoopback() {
			w.Close()
			return nil, fmt.Errorf("rig: found call server %q, wanted a loopback address and a port", addr)
		}
		w.Registry.SetNow(registry.Entry{Name: fmt.Sprintf("s%d", i+1), Addr: addr, Zone: "delft-dc", Group: 1, Status: "active", Incarnation: 1})
	}
	if len(options.ExternalServers) > 0 {
		options.Servers = 0
	}
	for i := range options.Servers {
		server, err := w.addServer(i, rng.Uint64())
		if err != nil {
			w.Close()
			return nil, err
		}
		w.Registry.SetNow(w.registryEntry(server, "active"))
	}
	network := 1 + (rng.IntN(200)+os.Getpid())%250 // differs for another process that runs the same seed
	for i := range options.Instances {
		in, err := w.newInstance(i, network, rng.Uint64())
		if err != nil {
			w.Close()
			return nil, err
		}
		w.Instances = append(w.Instances, in)
	}
	return w, nil
}

// maxSidecarDelay is the longest expected delay from the moment at which a sidecar reads its clock until it writes.
// The deduplication windows of the pods are longer by this delay, as they are in the operators' pods.
const maxSidecarDelay = 150 * time.Millisecond

// addServer starts a warm call server, and creates its pod if the server is the first in it.
func (w *World) addServer(i int, seed uint64) (*callserver.Server, error) {
	if i%w.options.PodSize == 0 {
		w.pods = append(w.pods, callserver.NewPod(fmt.Sprintf("pod%d", len(w.pods)+1), w.options.DeduplicationWindow+maxSidecarDelay))
	}
	config := w.serverConfig(i)
	if w.options.Experiment != nil {
		config = w.experimentServerConfig(i)
	}
	if coap := w.options.CoAP; coap != nil && coap.UsesCoAP != nil {
		config.CoAP, config.Echo = coap.UsesCoAP(i), coap.RequireEcho
	}
	server, err := callserver.Start(config, w.pods[len(w.pods)-1], w.Checker, seed)
	if err != nil {
		return nil, err
	}
	w.Servers = append(w.Servers, server)
	if config.CoAP {
		link, err := w.openLossyLink(server.Addr())
		if err != nil {
			return nil, err
		}
		w.coapAddresses[server.Name()] = "coap://" + link.Addr().String()
	}
	return server, nil
}

func (w *World) serverConfig(i int) callserver.Config {
	config := callserver.Config{
		Name: fmt.Sprintf("s%d", i+1), Zone: "delft-dc", Group: len(w.pods), Speed: coreSpeeds[i%len(coreSpeeds)],
		MaxConns: 450, IdleTimeout: 5 * time.Second, HandshakeWork: time.Millisecond, ColdCapacity: 0.2, WarmUpWork: w.options.WarmUpWork, WarmUpTime: 23 * time.Second,
		OverloadRatio: 3, OverloadWindow: 3 * time.Second, KeyCacheTTL: 5 * time.Second, KeyCacheSavings: 0.4,
	}
	for _, class := range w.Classes {
		config.Classes = append(config.Classes, callserver.Class{Name: class.Name, Effect: class.Effect, MeanWork: meanWork[class.Name]})
	}
	return config
}

// registryEntry returns the entry that discovery reports for a server.
func (w *World) registryEntry(server *callserver.Server, status string) registry.Entry {
	incarnation, since := server.Incarnation()
	addr := server.Addr()
	if linked, ok := w.coapAddresses[server.Name()]; ok {
		addr = linked
	}
	return registry.Entry{Name: server.Name(), Addr: addr, Zone: server.Zone(), Group: server.Group(), Status: status, SinceMS: since, Incarnation: incarnation}
}

// DrainServer makes discovery report a server as draining. The server continues to serve new requests, so that
// the checker observes requests that are sent too late.
func (w *World) DrainServer(server *callserver.Server) {
	w.updateDiscovery(w.registryEntry(server, "leaving"))
}

// RemoveServer crashes a server and makes discovery report that it has left.
func (w *World) RemoveServer(server *callserver.Server) {
	entry := w.registryEntry(server, "left")
	server.Crash()
	w.updateDiscovery(entry)
}

// RestartServer restarts a server without its warm-up state and makes discovery report the new incarnation.
func (w *World) RestartServer(server *callserver.Server) error {
	if err := server.Restart(""); err != nil {
		return err
	}
	w.updateDiscovery(w.registryEntry(server, "active"))
	return nil
}

// Close kills the instances, closes all fakes and waits for their goroutines.
func (w *World) Close() {
	for _, in := range w.Instances {
		in.Kill()
	}
	w.mu.Lock()
	registries := w.registries
	w.mu.Unlock()
	for _, registry := range registries {
		registry.Close()
	}
	for _, server := range w.Servers {
		server.Close()
	}
	for _, link := range w.relays {
		link.Close()
	}
	for _, link := range w.links {
		link.Close()
	}
	w.reaper.Close()
}

// updateDiscovery updates a server's entry in both discovery services.
func (w *World) updateDiscovery(entry registry.Entry) {
	w.Registry.Set(entry)
	if w.laggingRegistry != nil {
		w.laggingRegistry.Set(entry)
	}
}

// setDiscoveryLag sets the additional delay of the second discovery service relative to the first.
func (w *World) setDiscoveryLag(lag time.Duration) {
	if w.laggingRegistry != nil {
		w.laggingRegistry.SetDelay(w.options.Registry.Delay + lag)
	}
}

// StartAll starts the instances, at most concurrency of them at a time, and waits until all are ready. It returns
// the first error.
func (w *World) StartAll(ctx context.Context, concurrency int) error {
	slots := make(chan bool, max(1, concurrency))
	errs := make(chan error, len(w.Instances))
	for _, in := range w.Instances {
		go func() {
			slots <- true
			defer func() { <-slots }()
			errs <- in.Start(ctx)
		}()
	}
	var first error
	for range w.Instances {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// NewClients returns the HTTP clients of an instance.
func (w *World) NewClients(in *Instance, seed uint64) *clients.Clients {
	return clients.New(w.clientsConfig(in, seed), w.Checker)
}

func (w *World) clientsConfig(in *Instance, seed uint64) clients.Config {
	config := clients.Config{
		Instance: in.Name, Addr: cmp.Or(in.clientAddr, in.Addr), Classes: w.Classes, Retries: 2, AttemptTimeoutShare: 0.7, BodySize: 200,
		MaxConns: w.options.MaxSockets / 3, Seed: seed, ConfirmKills: in.excuseKilled,
	}
	if spec := w.options.Experiment; spec != nil {
		config.EarlyAbandonShare, config.OmitRetryMark = spec.Load.ImpatientShare, spec.Load.OmitRetryHeader
		config.Retries, config.AttemptTimeoutShare, config.BodySize, config.IdleTimeout = spec.Load.MaxRetries, spec.Load.AttemptTimeoutShare, spec.Load.BodyBytes, spec.Load.ClientIdleTimeout
		config.Tenants = spec.ClientTenants()
		config.ReadPastDeadline = spec.Load.DeadlineGrace
	}
	return config
}

// configText returns the text of an instance's configuration.
func (w *World) configText(in *Instance, seed uint64, discovery, knownEndpoints string) string {
	var classes []string
	for _, class := range w.Classes {
		effect := map[invariant.Effect]string{
			invariant.Idempotent:        `"effect":"free"`,
			invariant.IdempotentWithKey: fmt.Sprintf(`"effect":"guarded","group":"cell","window-us":%d`, w.options.DeduplicationWindow.Microseconds()),
			invariant.NonIdempotent:     `"effect":"single_shot"`,
		}[class.Effect]
		classes = append(classes, fmt.Sprintf(`{"name":%q,"aim-us":%d,"deadline-us":%d,"worth":%g,%s}`,
			class.Name, class.LatencyObjective.Microseconds(), class.Deadline.Microseconds(), class.PriorityWeight, effect))
	}
	retryAdvice, attempts, dialTimeout, tenants, discoveryKind := time.Second, 3, 100*time.Millisecond, "", "subscribe"
	if spec := w.options.Experiment; spec != nil {
		retryAdvice, attempts, dialTimeout = spec.World.Sidecar.MaxRetryAfter, spec.World.Sidecar.MaxAttempts, spec.World.Sidecar.DialTimeout
		tenants = tenantConfig(spec)
		if spec.World.Discovery.Push {
			discoveryKind = "automatic"
		}
	}
	return fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":"%x",
"limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},
"known":%s,
"settings":{"discovery":%q,"extra":{"warm-keys":true},"round-us":2000,
 "limits":{"try-limit":%d,"cancel":true,"second-copies":true,"retry-after":%v,"max-retry-after-us":%d,"conn-idle-us":%d,"dial-timeout-us":%d},
 "rules":{"cold-from":0.12,"cold-us":23000000,"tip-multiple":%g},%s
 "classes":[%s]}}
`, in.Name, in.Addr, discovery, seed, w.options.MemoryMB, w.options.MaxSockets, knownEndpoints, discoveryKind,
		attempts, retryAdvice > 0, retryAdvice.Microseconds(), w.serverIdleTimeout().Microseconds(), dialTimeout.Microseconds(), w.overloadRatio(), tenants, strings.Join(classes, ","))
}

// tenantConfig returns the tenant settings of a configuration, or an empty string without tenants.
func tenantConfig(spec *experiment.Spec) string {
	var tenants []string
	for _, tenant := range spec.Load.Tenants {
		tenants = append(tenants, fmt.Sprintf(`{"name":%q,"quota-per-s":%g}`, tenant.Name, tenant.Quota))
	}
	if len(tenants) == 0 {
		return ""
	}
	return fmt.Sprintf("\n \"over-share-worth\":%g,\"tenants\":[%s],", spec.World.Sidecar.OverQuotaWeight, strings.Join(tenants, ","))
}

// serverIdleTimeout returns the time after which call servers close an idle connection.
func (w *World) serverIdleTimeout() time.Duration {
	if w.options.Experiment != nil {
		return w.options.Experiment.World.Server.IdleTimeout
	}
	return 5 * time.Second
}

// overloadRatio returns the multiple of its capacity at which a call server is overloaded during warm-up.
func (w *World) overloadRatio() float64 {
	if w.options.Experiment != nil {
		return w.options.Experiment.World.Server.OverloadRatio
	}
	return 3
}

// replaceFile replaces a file atomically.
func replaceFile(path, text string) error {
	temporary := path + ".new"
	if err := os.WriteFile(temporary, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}

// Dir returns the directory of configurations and logs.
func (w *World) Dir() string { return w.options.Dir }

func (w *World) filePath(name string) string { return filepath.Join(w.options.Dir, name) }
