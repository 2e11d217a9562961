// Package experiment reads experiment files (storm files) and evaluates runs. An experiment
// file sets the simulated system, the load, the faults with their times and the expected
// results. The package is deterministic: the same file and seed give the same plan in every
// engine, and the same record of a run gives the same verdict.
package experiment

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"otterspring/internal/lab/invariant"
	"otterspring/internal/lab/standin/clients"
	"otterspring/internal/strictconfig"
)

// Spec is the content of an experiment file. Its tags give the keys and the limits of the values.
type Spec struct {
	Name     string        `toml:"name" need:"true"`
	About    string        `toml:"about"`
	Duration time.Duration `toml:"for" min:"1s" max:"60m"` // period in which requests arrive
	// ShortSettings are the settings of the short form of the experiment. Each setting has the form
	// "key=value".
	ShortSettings []string `toml:"short" max:"20"`
	World         World    `toml:"world"`
	Load          Load     `toml:"load"`
	Faults        []Fault  `toml:"fault" max:"200"`
	Phases        []Phase  `toml:"phase" max:"20"`
	// Assertions are limits of figures of the whole run, such as "service >= 0.9", or of a
	// phase, such as "storm: retry_ratio <= 0.22". The invariants are always checked.
	Assertions []Assertion `toml:"hold" max:"50"`
	Sweeps     []Sweep     `toml:"sweep" max:"4"`
	Nemesis    Nemesis     `toml:"nemesis"`

	File  string         `toml:"-"`
	Lines map[string]int `toml:"-"` // line of each key in the file
	Hash  string         `toml:"-"` // xxHash64 of the file's text
}

// World is the system at the start of a run.
type World struct {
	Instances int       `toml:"instances" min:"1" max:"4000"`
	Servers   int       `toml:"servers" min:"1" max:"500"`
	PodSize   int       `toml:"pod" min:"1" max:"100"` // servers per pod
	Zones     int       `toml:"zones" min:"1" max:"10"`
	Server    Server    `toml:"server"`
	Discovery Discovery `toml:"discovery"`
	Network   Network   `toml:"network"`
	Sidecar   Sidecar   `toml:"sidecar"`
	// Hosts is the number of hosts. It applies on sockets only. A host has a directory, a
	// supervisor and some of the instances, and fails as a unit. The instances are assigned to the
	// hosts in turn. If Hosts is 0, the rig starts the instances without a supervisor.
	Hosts        int          `toml:"hosts" min:"0" max:"50"`
	Supervisor   Supervisor   `toml:"supervisor"`
	Coordination Coordination `toml:"council"`
	CoAP         CoAP         `toml:"coap"`
}

// CoAP sets which clients and servers use CoAP, and the faults of the UDP links between them and
// the sidecars. It applies on sockets only: virtual time does not simulate protocols.
type CoAP struct {
	Clients float64 `toml:"clients" min:"0" max:"1"` // share of the requests that use CoAP
	// Servers is the share of the initial call servers that use CoAP.
	Servers float64 `toml:"servers" min:"0" max:"1"`
	// Echo makes the servers that use CoAP require the Echo option (RFC 9175).
	Echo           bool          `toml:"echo"`
	DropEvery      int           `toml:"drop_every" min:"0" max:"1000000"` // every n-th datagram is dropped; 0 for none
	DropShare      float64       `toml:"drop" min:"0" max:"0.5"`
	DuplicateShare float64       `toml:"double" min:"0" max:"0.5"`
	Delay          time.Duration `toml:"delay" min:"0s" max:"1s"`
}

// Enabled reports whether any client or server uses CoAP.
func (c *CoAP) Enabled() bool { return c.Clients > 0 || c.Servers > 0 }

// Coordination has the settings of the coordination cluster of the supervisors.
type Coordination struct {
	Members       int           `toml:"members" min:"0" max:"7"` // 0 for no cluster
	LeaseDuration time.Duration `toml:"lease" min:"100ms" max:"5m"`
	SafetyMargin  time.Duration `toml:"margin" min:"1ms" max:"1m"`
	Tick          time.Duration `toml:"tick" min:"10ms" max:"1s"`
	// EndpointList makes one supervisor per zone subscribe to discovery and relay the endpoint
	// list.
	EndpointList bool `toml:"list"`
}

// Supervisor has the settings of the supervisor of each host.
type Supervisor struct {
	Mode        string `toml:"mode" oneof:"term|handover"`
	MaxParallel int    `toml:"at_once" min:"1" max:"100"`
	// MaxParallelPerZone applies to operations on all hosts. It limits the number of instances of
	// one zone that are in progress at one time; 0 for no limit per zone.
	MaxParallelPerZone int           `toml:"zone_at_once" min:"0" max:"100"`
	StopTimeout        time.Duration `toml:"end_within" min:"100ms" max:"10m"`
	ReadyTimeout       time.Duration `toml:"ready_within" min:"100ms" max:"10m"`
	LivenessTimeout    time.Duration `toml:"alive_within" min:"0s" max:"10m"` // 0 for no liveness check
}

// Nemesis sets which faults are drawn from the seed in addition to the faults of the file.
type Nemesis struct {
	Kinds       []string      `toml:"kinds" max:"40"`
	Faults      int           `toml:"faults" min:"0" max:"60"`
	MinDuration time.Duration `toml:"least" min:"10ms" max:"10m"` // minimum duration of a fault
	MaxDuration time.Duration `toml:"most" min:"10ms" max:"10m"`
	LatestStart RelativeTime  `toml:"calm"` // no fault begins later, so that the system can recover in the rest of the run
}

// Server has the settings of all call servers.
type Server struct {
	// Speeds has the speeds of the servers' cores. All cores of a server have the same speed. The
	// servers use the elements in turn and start again after the last element.
	Speeds      []float64     `toml:"speeds" min:"1" max:"20"`
	Cores       int           `toml:"cores" min:"1" max:"64"`
	Slots       int           `toml:"slots" min:"1" max:"64"`     // concurrent requests per core
	Queue       int           `toml:"queue" min:"0" max:"100000"` // maximum number of queued requests
	MaxConns    int           `toml:"cap" min:"1" max:"100000"`   // maximum number of open connections
	IdleTimeout time.Duration `toml:"idle" min:"100ms" max:"10m"`
	// HandshakeWork is added to the work of the first request of a connection.
	HandshakeWork time.Duration `toml:"handshake" min:"0s" max:"1s"`
	ColdCapacity  float64       `toml:"cold_from" min:"0.01" max:"1"` // share of the full capacity right after a start
	WarmUpWork    time.Duration `toml:"cold_work" min:"0s" max:"10m"` // work after which the server is warm
	// WarmUpTime is the time after which the server is warm regardless of the work done; 0 for
	// no limit.
	WarmUpTime time.Duration `toml:"cold_time" min:"0s" max:"10m"`
	// OverloadRatio is a multiple of the current capacity of a cold server. The server fails if its
	// load exceeds this multiple.
	OverloadRatio  float64       `toml:"tip_at" min:"1" max:"100"`
	OverloadWindow time.Duration `toml:"tip_for" min:"100ms" max:"1m"` // period over which the load is measured
	// KeyCacheTTL is the time after which a server forgets an affinity key. A request with a cached
	// key costs less.
	KeyCacheTTL     time.Duration `toml:"key_memory" min:"0s" max:"1m"`
	KeyCacheSavings float64       `toml:"key_saves" min:"0" max:"0.95"` // share of the work saved by a cached key
	// ContinueOnDisconnect makes execution continue after the connection has closed.
	ContinueOnDisconnect bool `toml:"works_on"`
	// ErrorsAfter is the time limit of the server, or of a backend that the server depends on. A
	// request that takes longer is executed and answered with status 500. 0 stands for no limit.
	ErrorsAfter time.Duration `toml:"errors_after" min:"0s" max:"1m"`
	// DedupWindow is the period in which a pod executes only one request for each idempotency key.
	DedupWindow time.Duration `toml:"window" min:"100ms" max:"1m"`
}

// Discovery has the settings of discovery.
type Discovery struct {
	// LinesPerSecond is the number of lines per second that discovery sends to all callers
	// together; 0 for no limit.
	LinesPerSecond float64       `toml:"lines" min:"0" max:"1000000"`
	CallCostLines  float64       `toml:"call_lines" min:"0" max:"1000"` // fixed cost of a call, as a number of lines
	Delay          time.Duration `toml:"late" min:"0s" max:"1m"`        // time until a change is published
	// Push makes the configuration of the sidecars say that discovery pushes lists.
	Push bool `toml:"pushed"`
}

// Network has the properties of the network between sidecars and call servers. On sockets, a
// network without loss whose delay and jitter are below 1 ms is not simulated. In this case the
// loopback interface is used without added delays.
type Network struct {
	Delay  time.Duration `toml:"delay" min:"0s" max:"1s"` // in one direction
	Jitter time.Duration `toml:"jitter" min:"0s" max:"1s"`
	// Loss is the probability that the first bytes of a request reset the connection.
	Loss float64 `toml:"loss" min:"0" max:"0.5"`
}

// Sidecar has the settings of all instances.
type Sidecar struct {
	MemoryMB      int           `toml:"memory_mb" min:"32" max:"1024"`
	Sockets       int           `toml:"sockets" min:"64" max:"4096"`
	DialTimeout   time.Duration `toml:"dial" min:"10ms" max:"10s"`
	MaxAttempts   int           `toml:"attempts" min:"1" max:"5"`
	MaxRetryAfter time.Duration `toml:"advice" min:"0s" max:"10s"` // 0 for no Retry-After header
	// OverQuotaWeight is the factor by which the priority weight of a request beyond its tenant's
	// quota is multiplied.
	OverQuotaWeight float64 `toml:"over_share" min:"0" max:"1"`
}

// Load sets the requests of the clients. The load is an open loop: slow answers do not reduce the
// rate.
type Load struct {
	// Rate is the number of requests per second over all instances. If Rate is 0, CapacityFactor
	// sets the rate as a multiple of the approximate capacity of the initial servers.
	Rate           float64 `toml:"rate" min:"0" max:"50000"`
	CapacityFactor float64 `toml:"times" min:"0" max:"20"`
	InstanceSkew   float64 `toml:"skew" min:"0" max:"3"` // exponent of the Zipf distribution of requests over instances
	// BusyInstances is the number of busy instances. They are the instances with the lowest numbers.
	// Their number of requests is multiplied by BusyFactor, to test a few busy instances among many
	// quiet ones.
	BusyInstances int     `toml:"busy" min:"0" max:"4000"`
	BusyFactor    float64 `toml:"busy_times" min:"1" max:"1000"`
	// ImpatientShare is the share of attempts that clients abandon early and retry at once. An
	// abandoned attempt ends after 10% to 50% of its time-out.
	ImpatientShare float64 `toml:"impatient" min:"0" max:"1"`
	Keys           int     `toml:"keys" min:"0" max:"100000"` // number of distinct affinity keys
	KeySkew        float64 `toml:"key_skew" min:"0" max:"3"`  // exponent of the Zipf distribution of keys
	MaxRetries     int     `toml:"retries" min:"0" max:"10"`  // maximum number of retries by a client
	// AttemptTimeoutShare is the time-out of an attempt as a share of the deadline.
	AttemptTimeoutShare float64 `toml:"try_share" min:"0.05" max:"1"`
	// OmitRetryHeader makes clients send retries without the X-Retry header.
	OmitRetryHeader   bool          `toml:"unmarked"`
	BodyBytes         int           `toml:"body" min:"0" max:"65536"`
	Classes           []Class       `toml:"class" max:"10"`
	Tenants           []Tenant      `toml:"tenant" max:"20"`
	Surges            []Surge       `toml:"surge" max:"20"`
	ClientIdleTimeout time.Duration `toml:"kept" min:"100ms" max:"1m"` // clients close idle connections after this time
	// DeadlineGrace is how long HTTP clients wait for an answer after the deadline. An answer in
	// this period earns nothing. A request that has no answer at the end of this period counts as
	// dropped.
	DeadlineGrace time.Duration `toml:"overtime" min:"0s" max:"5s"`
}

// Class is a class of requests.
type Class struct {
	Name             string        `toml:"name" need:"true"`
	Effect           string        `toml:"effect" need:"true" oneof:"repeat|keyed|once"`
	Share            float64       `toml:"share" need:"true" min:"0" max:"1000"`
	LatencyObjective time.Duration `toml:"aim" need:"true" min:"1ms" max:"1m"`
	Deadline         time.Duration `toml:"deadline" need:"true" min:"1ms" max:"1m"`
	MeanWork         time.Duration `toml:"work" need:"true" min:"10us" max:"10s"` // on a core of speed 1
	PriorityWeight   float64       `toml:"worth" need:"true" min:"0" max:"1000"`
	// MaxAttempts and AttemptTimeoutShare override the keys "load.retries" and "load.try_share" for
	// this class; 0 keeps the setting of the load. MaxAttempts includes the first attempt.
	MaxAttempts         int     `toml:"tries" min:"0" max:"11"`
	AttemptTimeoutShare float64 `toml:"try_share" min:"0" max:"1"`
}

// Tenant is a customer of the application with an agreed request rate.
type Tenant struct {
	Name  string  `toml:"name" need:"true"`
	Share float64 `toml:"share" need:"true" min:"0" max:"1000"` // share of the requests
	// Quota is in requests per second over all instances. Only the ratio of quotas matters.
	Quota float64 `toml:"quota" need:"true" min:"0" max:"1000000"`
}

// Surge multiplies the rate of all requests, or of one class or tenant, for a period.
type Surge struct {
	At       RelativeTime `toml:"at" need:"true"`
	Duration RelativeTime `toml:"for" need:"true"`
	Factor   float64      `toml:"times" need:"true" min:"0" max:"100"`
	Class    string       `toml:"class"`
	Tenant   string       `toml:"tenant"`
	Zone     int          `toml:"zone" min:"0" max:"10"` // limits the surge to the instances of a zone; 0 for all zones
}

// Fault is one fault of an experiment. Its kind determines which keys it requires; see
// FaultKinds.
type Fault struct {
	Kind         string          `toml:"kind" need:"true"`
	At           RelativeTime    `toml:"at" need:"true"`
	Duration     RelativeTime    `toml:"for"`
	Servers      Selector        `toml:"servers"`
	Instances    Selector        `toml:"instances"`
	Chance       float64         `toml:"chance" min:"0" max:"1"`
	Factor       float64         `toml:"factor" min:"1" max:"100"`
	Count        int             `toml:"count" min:"0" max:"500"`
	Delay        time.Duration   `toml:"late" min:"0s" max:"1m"`
	NewAddress   bool            `toml:"move"` // the server restarts at a new address
	Direction    string          `toml:"way" oneof:"to|from|both"`
	Processes    ProcessSelector `toml:"processes"`
	Point        string          `toml:"point"` // a key of faultinjection.Points
	ClockShift   time.Duration   `toml:"shift" min:"-48h" max:"48h"`
	ClockDrift   float64         `toml:"drift" min:"-0.5" max:"0.5"`
	DiskFault    string          `toml:"disk" oneof:"enospc|eio-write|eio-sync|eio-rename|torn|gone|read-only"`
	CPUShare     float64         `toml:"share" min:"0" max:"0.9"` // share of a core that the process still gets
	Peer         string          `toml:"peer" oneof:"clients|discovery"`
	HeldData     string          `toml:"held" oneof:"deliver|drop"`
	Operation    string          `toml:"order" oneof:"restart|reload|resume|cancel|everywhere|everywhere-reload|step-down|give-up"`
	Program      string          `toml:"program" oneof:"old|new"` // version of the program
	BlockedPeers ProcessSelector `toml:"to"`                      // processes to which data is blocked
	// ResumeAfter delays the resumption of the process until all other supervisors have observed a
	// newer lease holder.
	ResumeAfter string `toml:"until" oneof:"followed"`
}

// Phase is a part of the run that assertions can refer to.
type Phase struct {
	Name string       `toml:"name" need:"true"`
	From RelativeTime `toml:"from" need:"true"`
	To   RelativeTime `toml:"to" need:"true"`
}

// Sweep is a setting and its values. An experiment runs once for each combination of the values
// of its sweeps.
type Sweep struct {
	Key    string   `toml:"key" need:"true"`
	Values []string `toml:"values" need:"true" min:"1" max:"10000"`
}

// MaxPoints is the maximum number of combinations of the sweeps' values, and the maximum number of
// runs with all seeds.
const MaxPoints = 10_000

// RelativeTime is a time of the run or a duration. It is either absolute, such as "6s", or a share
// of the run, such as "30%".
type RelativeTime struct {
	Share float64
	Time  time.Duration
	set   bool
}

// UnmarshalText parses a non-negative duration such as "6s", or a percentage of the run such as "30%".
func (m *RelativeTime) UnmarshalText(text []byte) error {
	errInvalid := errors.New(`a time like "6s", or a share of the run like "30%"`)
	s := string(text)
	if pct, ok := strings.CutSuffix(s, "%"); ok {
		f, err := strconv.ParseFloat(pct, 64)
		if err != nil || !(f >= 0 && f <= 100) {
			return errInvalid
		}
		*m = RelativeTime{Share: f / 100, set: true}
		return nil
	}
	d, err := time.ParseDuration(s)
	if err != nil || d < 0 {
		return errInvalid
	}
	*m = RelativeTime{Time: d, set: true}
	return nil
}

// In returns the time in a run of the given duration.
func (m RelativeTime) In(run time.Duration) time.Duration {
	return m.Time + time.Duration(m.Share*float64(run))
}

// Selector selects servers or instances. "s3 s5" selects by name. "all" selects all of them, and
// "half", "2" and "25%" select that many at random. "pod 2" and "zone 1" select a group, and "pod"
// and "zone" select a random group.
type Selector struct{ Text string }

var selectorPattern = regexp.MustCompile(`^(all|half|(pod|zone)( [1-9][0-9]{0,3})?|[1-9][0-9]{0,3}|[1-9][0-9]?%|100%|[sn][1-9][0-9]{0,3}( [sn][1-9][0-9]{0,3})*)$`)

// UnmarshalText checks that the text is a valid selector of servers or instances and stores it.
func (s *Selector) UnmarshalText(text []byte) error {
	if !selectorPattern.Match(text) {
		return errors.New(`all, half, a number, a share like "25%", names like "s1 s3", pod, "pod 2", zone or "zone 1"`)
	}
	s.Text = string(text)
	return nil
}

// ProcessSelector selects processes. "n3 f1" selects by name: n is a sidecar, f is the supervisor
// of a host, h is a whole host, and m is a member of the coordination cluster. "zone 1" selects the
// hosts of a zone. "2 sidecars" selects two random sidecars, and "all supervisors" selects all
// supervisors. "owner", "lister" and "leader" are roles that are resolved when the fault begins.
// The owner is the lease holder of the rollout, the lister is the lease holder of the endpoint
// list, and the leader is the leader of the coordination cluster.
type ProcessSelector struct{ Text string }

var processSelectorPattern = regexp.MustCompile(`^((all|[1-9][0-9]{0,3}) (sidecars|supervisors|hosts|members)|zone [1-9][0-9]?|owner|lister|leader|[nfhm][1-9][0-9]{0,3}( [nfhmd][1-9][0-9]{0,3})*|d1)$`)

// UnmarshalText checks that the text is a valid selector of processes and stores it.
func (p *ProcessSelector) UnmarshalText(text []byte) error {
	if !processSelectorPattern.Match(text) {
		return errors.New(`names like "n3 f1 h2", "zone 1", or "2 sidecars", "all supervisors", "1 hosts", "owner" of the rollout, "lister" of the endpoint list, "leader" of the coordination cluster`)
	}
	p.Text = string(text)
	return nil
}

// Assertion is a limit of a figure, for the whole run or one phase.
type Assertion struct {
	Phase   string // empty for the whole run
	Figure  string
	AtLeast bool // true if Bound is a minimum, false if it is a maximum
	Bound   float64
}

var assertionPattern = regexp.MustCompile(`^(?:([a-z0-9-]+): *)?([a-z0-9_]+) *(<=|>=) *(-?[0-9.]+)$`)

// UnmarshalText parses an assertion such as "service >= 0.9" or "storm: retry_ratio <= 0.22".
func (p *Assertion) UnmarshalText(text []byte) error {
	errInvalid := errors.New(`a limit of a figure, like "service >= 0.9" or "storm: retry_ratio <= 0.22"`)
	m := assertionPattern.FindStringSubmatch(string(text))
	if m == nil {
		return errInvalid
	}
	bound, err := strconv.ParseFloat(m[4], 64)
	if err != nil {
		return errInvalid
	}
	if _, ok := Figures[m[2]]; !ok {
		return errors.New("a figure, one of " + strings.Join(FigureNames(), ", "))
	}
	*p = Assertion{Phase: m[1], Figure: m[2], AtLeast: m[3] == ">=", Bound: bound}
	return nil
}

// String returns the assertion in the format of an experiment file.
func (p Assertion) String() string {
	op, phase := "<=", ""
	if p.AtLeast {
		op = ">="
	}
	if p.Phase != "" {
		phase = p.Phase + ": "
	}
	return fmt.Sprintf("%s%s %s %g", phase, p.Figure, op, p.Bound)
}

// Defaults returns the values of the keys that a file does not set. They describe a small version
// of the site delft-calls.
func Defaults() Spec {
	return Spec{
		Duration: 30 * time.Second,
		World: World{
			Instances: 20, Servers: 13, PodSize: 5, Zones: 1,
			Server: Server{
				Speeds: []float64{1.6, 0.95, 0.6}, Cores: 2, Slots: 1, Queue: 400, MaxConns: 450, IdleTimeout: 5 * time.Second, HandshakeWork: time.Millisecond,
				ColdCapacity: 0.2, WarmUpWork: 15 * time.Second, WarmUpTime: 23 * time.Second, OverloadRatio: 3, OverloadWindow: 3 * time.Second, KeyCacheTTL: 5 * time.Second, KeyCacheSavings: 0.4, DedupWindow: 4 * time.Second,
			},
			Discovery:    Discovery{LinesPerSecond: 400, CallCostLines: 23, Delay: 500 * time.Millisecond},
			Network:      Network{Delay: 50 * time.Microsecond, Jitter: 50 * time.Microsecond},
			Supervisor:   Supervisor{Mode: "handover", MaxParallel: 1, StopTimeout: 5 * time.Second, ReadyTimeout: 5 * time.Second},
			Coordination: Coordination{LeaseDuration: 2 * time.Second, SafetyMargin: 200 * time.Millisecond, Tick: 50 * time.Millisecond},
			Sidecar:      Sidecar{MemoryMB: 64, Sockets: 512, DialTimeout: 100 * time.Millisecond, MaxAttempts: 3, MaxRetryAfter: time.Second, OverQuotaWeight: 0.3},
		},
		Nemesis: Nemesis{MinDuration: 500 * time.Millisecond, MaxDuration: 5 * time.Second, LatestStart: RelativeTime{Share: 0.7, set: true}},
		Load:    Load{CapacityFactor: 0.5, InstanceSkew: 0.7, BusyFactor: 1, Keys: 3000, KeySkew: 0.7, MaxRetries: 2, AttemptTimeoutShare: 0.7, BodyBytes: 200, ClientIdleTimeout: 2 * time.Second},
	}
}

// DefaultClasses returns the classes of the site delft-calls, for files that define none.
func DefaultClasses() []Class {
	const ms = time.Millisecond
	return []Class{
		{Name: "roster", Effect: "repeat", Share: 41, LatencyObjective: 200 * ms, Deadline: 500 * ms, MeanWork: 20 * ms, PriorityWeight: 3},
		{Name: "join", Effect: "keyed", Share: 31, LatencyObjective: 500 * ms, Deadline: 2000 * ms, MeanWork: 54 * ms, PriorityWeight: 8},
		{Name: "start-rec", Effect: "once", Share: 28, LatencyObjective: 500 * ms, Deadline: 1200 * ms, MeanWork: 55 * ms, PriorityWeight: 5},
	}
}

// Effects maps the word for an effect in an experiment file to the effect.
var Effects = map[string]invariant.Effect{"repeat": invariant.Idempotent, "keyed": invariant.IdempotentWithKey, "once": invariant.NonIdempotent}

// ClientClasses returns the classes in the format of package clients.
func (s *Spec) ClientClasses() []clients.Class {
	var all []clients.Class
	for _, c := range s.Load.Classes {
		all = append(all, clients.Class{Name: c.Name, Effect: Effects[c.Effect], Share: c.Share, LatencyObjective: c.LatencyObjective, Deadline: c.Deadline, PriorityWeight: c.PriorityWeight, MaxAttempts: c.MaxAttempts, AttemptTimeoutShare: c.AttemptTimeoutShare})
	}
	return all
}

// ClientTenants returns the tenants in the format of package clients.
func (s *Spec) ClientTenants() []clients.Tenant {
	var all []clients.Tenant
	for _, t := range s.Load.Tenants {
		all = append(all, clients.Tenant{Name: t.Name, Share: t.Share, Quota: t.Quota})
	}
	return all
}

// clientSurges returns the surges that affect an instance. They have the format of package clients.
func (s *Spec) clientSurges(instance int) []clients.Surge {
	var all []clients.Surge
	for _, g := range s.Load.Surges {
		if g.Zone > 0 && g.Zone != s.InstanceZone(instance) {
			continue
		}
		all = append(all, clients.Surge{
			At: g.At.In(s.Duration), Duration: g.Duration.In(s.Duration), Factor: g.Factor,
			Class:  1 + slices.IndexFunc(s.Load.Classes, func(c Class) bool { return c.Name == g.Class }),
			Tenant: 1 + slices.IndexFunc(s.Load.Tenants, func(t Tenant) bool { return t.Name == g.Tenant }),
		})
	}
	return all
}

// Capacity returns the approximate number of requests per second that the initial servers can
// serve without cached keys.
func (s *Spec) Capacity() float64 {
	work, share := 0.0, 0.0
	for _, c := range s.Load.Classes {
		work += c.Share * c.MeanWork.Seconds()
		share += c.Share
	}
	if work == 0 {
		return 0
	}
	sum := 0.0
	for i := range s.World.Servers {
		sum += float64(s.World.Server.Cores) * s.World.Server.Speeds[i%len(s.World.Server.Speeds)]
	}
	return sum * share / work
}

// Rate returns the number of requests per second over all instances outside surges.
func (s *Spec) Rate() float64 {
	if s.Load.Rate > 0 {
		return s.Load.Rate
	}
	return s.Load.CapacityFactor * s.Capacity()
}

// LoadFile reads an experiment file and applies settings of the form "key=value". If short is true,
// it applies the settings of the short form first. Then it applies the settings of set. It returns
// one error per invalid value.
func LoadFile(path string, short bool, set []string) (*Spec, []error) {
	text, err := strictconfig.Read(path)
	if err != nil {
		return nil, []error{err}
	}
	return Parse(path, text, short, set)
}

// Parse reads the text of an experiment file. Errors refer to the file as name. See LoadFile for
// the other parameters.
func Parse(name string, text []byte, short bool, set []string) (*Spec, []error) {
	s := Defaults()
	lines, bad := strictconfig.DecodePartial(name, text, &s)
	if len(bad) > 0 {
		return nil, asErrors(s.checkRemaining(name, lines, bad))
	}
	s.File, s.Hash, s.Lines = name, hashText(text), lines
	if len(s.Load.Classes) == 0 {
		s.Load.Classes = DefaultClasses()
	}
	// An invalid short form is an error of the file even if the short form is not selected.
	shortForm := s.clone()
	for _, kv := range s.ShortSettings {
		if err := shortForm.ApplySetting(kv); err != nil {
			return nil, []error{&strictconfig.Error{File: name, Line: lines["short"], Key: "short", Found: strconv.Quote(kv), Wanted: err.Error()}}
		}
	}
	if short {
		s = shortForm
	}
	for _, kv := range set {
		if err := s.ApplySetting(kv); err != nil {
			return nil, []error{&strictconfig.Error{File: "-set", Key: kv, Found: "no such setting or value", Wanted: err.Error()}}
		}
	}
	if bad := s.check(name, lines); len(bad) > 0 {
		return nil, asErrors(bad)
	}
	return &s, nil
}

// checkRemaining compares the values of the file with each other and adds the errors to bad, which
// has the errors of single values. It omits an error if bad already has one for the same key.
func (s *Spec) checkRemaining(name string, lines strictconfig.Lines, bad []*strictconfig.Error) []*strictconfig.Error {
	if len(lines) == 0 {
		return bad // the text is not TOML
	}
	if len(s.Load.Classes) == 0 {
		s.Load.Classes = DefaultClasses()
	}
	reported := slices.Clone(bad)
	for _, e := range s.check(name, lines) {
		duplicate := slices.ContainsFunc(reported, func(b *strictconfig.Error) bool {
			return b.Key == e.Key || strings.HasPrefix(b.Key, e.Key+".") || strings.HasPrefix(e.Key, b.Key+".")
		})
		if !duplicate {
			bad = append(bad, e)
		}
	}
	return bad
}

func hashText(text []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(text))
}

func asErrors(bad []*strictconfig.Error) (errs []error) {
	for _, e := range bad {
		errs = append(errs, e)
	}
	return errs
}

// clone returns a copy whose settings can be changed without changing s.
func (s *Spec) clone() Spec {
	c := *s
	c.Load.Classes, c.Load.Surges, c.Load.Tenants = slices.Clone(s.Load.Classes), slices.Clone(s.Load.Surges), slices.Clone(s.Load.Tenants)
	c.Faults, c.Phases, c.Assertions, c.Sweeps = slices.Clone(s.Faults), slices.Clone(s.Phases), slices.Clone(s.Assertions), slices.Clone(s.Sweeps)
	return c
}

var indexedKey = regexp.MustCompile(`^(fault|phase|load\.class|load\.surge|load\.tenant)\[([1-9][0-9]*)\]\.(.+)$`)

// ApplySetting applies one setting of the form "key=value", which is the syntax of the flag -set
// and of sweeps. The key includes the names of its tables. An index selects an element of a list,
// as in "fault[2].chance".
func (s *Spec) ApplySetting(kv string) error {
	key, value, ok := strings.Cut(kv, "=")
	if !ok || key == "" {
		return errors.New("key=value")
	}
	var into any = s
	if m := indexedKey.FindStringSubmatch(key); m != nil {
		n, _ := strconv.Atoi(m[2])
		lens := map[string]int{"fault": len(s.Faults), "phase": len(s.Phases), "load.class": len(s.Load.Classes), "load.surge": len(s.Load.Surges), "load.tenant": len(s.Load.Tenants)}
		if n > lens[m[1]] {
			return fmt.Errorf("%s of 1 to %d", m[1], lens[m[1]])
		}
		switch key = m[3]; m[1] {
		case "fault":
			into = &s.Faults[n-1]
		case "phase":
			into = &s.Phases[n-1]
		case "load.class":
			into = &s.Load.Classes[n-1]
		case "load.surge":
			into = &s.Load.Surges[n-1]
		case "load.tenant":
			into = &s.Load.Tenants[n-1]
		}
	}
	err := decodeSetting(key, value, into)
	if err != nil {
		err = decodeSetting(key, strconv.Quote(value), into)
	}
	return err
}

// decodeSetting decodes the line of TOML that sets key to value, and stores the result in into. The
// line need not set the mandatory keys of a table.
func decodeSetting(key, value string, into any) error {
	err := strictconfig.Overlay("-set", []byte(key+" = "+value+"\n"), into)
	var e *strictconfig.Error
	if errors.As(err, &e) {
		return errors.New(e.Wanted)
	}
	return err
}
