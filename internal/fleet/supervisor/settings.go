package supervisor

import (
	"cmp"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"otterspring/internal/disk"
	"otterspring/internal/fleet/lifecycle"
	"otterspring/internal/strictconfig"
)

const (
	// MaxInstances is the maximum number of instances of one supervisor.
	MaxInstances = 1000

	maxControlPathBytes = 100 // below the limit of a Unix socket address
	maxListSourceBytes  = 64
	maxHostNameBytes    = 32
)

// File is a fleet file. LoadFile checks the bounds in the tags.
type File struct {
	// Path is the path that the file was read from.
	Path string
	// Program is the sidecar's executable, and Args are its arguments, which may contain
	// placeholders such as "{name}".
	Program string   `toml:"program" need:"true"`
	Args    []string `toml:"args" max:"50"`
	// Directory holds the configurations, logs, the state file and the lock. Control is the
	// path of the control socket, by default "fleet.sock" in the directory.
	Directory string `toml:"directory" need:"true"`
	Control   string `toml:"control"`
	// Config is the path of the configuration template. By default there is no template.
	Config string `toml:"config"`
	// Count is the number of numbered instances; their numbers begin with 1. Name and Listen
	// are the templates of their names and addresses. Name contains the placeholder "{i}" for
	// the number; the default is "n{i}". Listen contains "{i}" or "{port}". The placeholder
	// "{port}" stands for FirstPort in the first instance and for one more in each further
	// instance. FirstPort is 20000 by default.
	Count     int    `toml:"count" min:"1" max:"1000"`
	Name      string `toml:"name"`
	Listen    string `toml:"listen"`
	FirstPort int    `toml:"first_port" min:"1" max:"65535"`
	// Instances are the instances that the fleet file lists individually. They are run in
	// addition to the numbered instances.
	Instances    []Instance           `toml:"instance" max:"1000"`
	Start        StartSettings        `toml:"start"`
	Restart      RestartSettings      `toml:"restart"`
	Crash        CrashSettings        `toml:"crash"`
	HealthCheck  HealthCheckSettings  `toml:"alive"`
	Coordination CoordinationSettings `toml:"council"`
	EndpointList EndpointListSettings `toml:"list"`
}

// Instance is an instance listed individually, optionally with its own template.
type Instance struct {
	Name   string `toml:"name" need:"true"`
	Listen string `toml:"listen" need:"true"`
	Config string `toml:"config"`
}

// StartSettings limit the rate of starts to the capacity of discovery. Each start costs
// discovery one request and a complete list.
type StartSettings struct {
	// DiscoveryLinesPerSecond is the capacity of discovery that starts may use, in lines of
	// the list per second; by default 280.
	DiscoveryLinesPerSecond int `toml:"discovery_lines" min:"1" max:"100000"`
	// RequestLines is the fixed cost of a request in lines, by default 77. ListLines is the
	// number of servers in the list, by default 70.
	RequestLines int `toml:"call_lines" min:"0" max:"1000"`
	ListLines    int `toml:"list_lines" min:"1" max:"10000"`
	// ReadyTimeout is how long a process may take to become ready; by default 10 s.
	ReadyTimeout time.Duration `toml:"ready_within" min:"100ms" max:"10m"`
}

// RestartMode is how an instance is restarted.
type RestartMode string

// The modes of a restart.
const (
	RestartByTermination RestartMode = "term"     // SIGTERM, and a start after the process has ended
	RestartByHandover    RestartMode = "handover" // a new process receives the listener
)

// RestartSettings are the settings of rolling restarts.
type RestartSettings struct {
	Mode RestartMode `toml:"mode" oneof:"term|handover"` // by default "term"
	// MaxConcurrent is how many instances are restarted at a time; by default 1.
	MaxConcurrent int `toml:"at_once" min:"1" max:"100"`
	// StopTimeout is how long a process may take to end after SIGTERM before it is killed. It
	// is also how long the old process may take to end after a handover. The default is 30 s.
	StopTimeout time.Duration `toml:"end_within" min:"100ms" max:"10m"`
	// MaxConsecutiveFailures is the number of consecutive failures after which a rolling
	// restart is rolled back; by default 2.
	MaxConsecutiveFailures int `toml:"pause_after" min:"1" max:"100"`
}

// CrashSettings determine when an instance is started again after a crash.
type CrashSettings struct {
	// InitialBackoff is the delay after the first crash, by default 500 ms. The delay doubles
	// with each further crash, up to MaxBackoff, by default 30 s.
	InitialBackoff time.Duration `toml:"first" min:"10ms" max:"1m"`
	MaxBackoff     time.Duration `toml:"most" min:"10ms" max:"1h"`
	// LoopCrashes is the number of crashes within LoopWindow that are a crash loop; by default
	// 5 crashes within a minute. An instance in a crash loop is not started again until an
	// operator restarts it.
	LoopCrashes int           `toml:"loop" min:"2" max:"100"`
	LoopWindow  time.Duration `toml:"within" min:"1s" max:"24h"`
}

// HealthCheckSettings determine when an instance that is running but does not respond is
// killed and restarted.
type HealthCheckSettings struct {
	Timeout time.Duration `toml:"within" min:"0s" max:"10m"` // 0, the default, disables the check
}

// CoordinationSettings determine the coordination cluster that the host belongs to. If Name
// is empty, the host belongs to no cluster.
type CoordinationSettings struct {
	Name    string   `toml:"name"`
	Members []string `toml:"members" max:"7"` // addresses of the cluster's members
	Host    string   `toml:"host"`            // this host's name in the cluster
	Zone    string   `toml:"zone"`
	Listen  string   `toml:"listen"` // address at which leaders reach this supervisor
}

// EndpointListSettings are the settings for relaying discovery's endpoint list.
type EndpointListSettings struct {
	// Discovery is the address of discovery. Listen is the address of the local proxy for
	// this host's sidecars. By default both are empty and the list is not relayed.
	Discovery string `toml:"discovery"`
	Listen    string `toml:"listen"`
	// Source is the name of the discovery service that assigns the versions of the list. The
	// default is "discovery". All hosts and sidecars must have the same Source, since versions
	// assigned by different discovery services can't be compared.
	Source string `toml:"source"`
	// HeartbeatTimeout, by default 1.5 s, is the time after the lease holder's last heartbeat
	// at which this host begins to watch discovery itself. The host adds its share of Jitter
	// to this time; Jitter is 2 s by default. StalenessLimit, by default 4 s, is how long the
	// cache is served after discovery last confirmed the list. The confirmation was sent to
	// this host or to the lease holder.
	HeartbeatTimeout time.Duration `toml:"silent" min:"1s" max:"1m"`
	Jitter           time.Duration `toml:"spread" min:"0s" max:"5m"`
	StalenessLimit   time.Duration `toml:"stale" min:"2s" max:"5m"`
}

// defaults returns the settings of an empty fleet file. The line counts assume the lowest
// capacity of the site's discovery and its most expensive request.
func defaults() File {
	return File{
		Name:      "n{i}",
		FirstPort: 20000,
		Start:     StartSettings{DiscoveryLinesPerSecond: 280, RequestLines: 77, ListLines: 70, ReadyTimeout: 10 * time.Second},
		Restart: RestartSettings{
			Mode: RestartByTermination, MaxConcurrent: 1, StopTimeout: 30 * time.Second, MaxConsecutiveFailures: 2,
		},
		Crash: CrashSettings{
			InitialBackoff: 500 * time.Millisecond, MaxBackoff: 30 * time.Second, LoopCrashes: 5, LoopWindow: time.Minute,
		},
		EndpointList: EndpointListSettings{
			Source: "discovery", HeartbeatTimeout: 1500 * time.Millisecond, Jitter: 2 * time.Second, StalenessLimit: 4 * time.Second,
		},
	}
}

// Spec is an instance with all placeholders expanded.
type Spec struct {
	Name   string
	Listen string
	Args   []string
	Config string // text of the instance's configuration; empty if there is no template
}

// LoadFile reads and validates a fleet file and its templates. Invalid settings and
// templates are reported as a strictconfig.Error.
func LoadFile(path string) (*File, error) {
	f := defaults()
	if err := strictconfig.Load(path, &f); err != nil {
		return nil, err
	}
	f.Path = path
	f.Directory = f.absolutePath(f.Directory)
	f.Program = f.absolutePath(f.Program)
	if f.Control == "" {
		f.Control = filepath.Join(f.Directory, "fleet.sock")
	}
	f.Control = f.absolutePath(f.Control)
	if len(f.Control) > maxControlPathBytes {
		return nil, f.invalid("control", fmt.Sprintf("a path of %d bytes", len(f.Control)), fmt.Sprintf("%d at most", maxControlPathBytes))
	}
	if _, err := f.Specs(); err != nil {
		return nil, err
	}
	if !isExecutable(f.Program) {
		return nil, f.invalid("program", fmt.Sprintf("no program at %q", f.Program), "an executable file")
	}
	if err := f.validateCoordination(); err != nil {
		return nil, err
	}
	if f.Crash.MaxBackoff < f.Crash.InitialBackoff {
		return nil, f.invalid("crash.most", f.Crash.MaxBackoff.String(), fmt.Sprintf("%v (crash.first) or more", f.Crash.InitialBackoff))
	}
	return &f, nil
}

// validateCoordination validates the tables "council" and "list" of the fleet file.
func (f *File) validateCoordination() error {
	coordination := f.Coordination
	relaysEndpointList := f.EndpointList.Discovery != "" || f.EndpointList.Listen != ""
	if coordination.Name == "" {
		if coordination.anySet() {
			return f.invalid("council.name", "none", "the council's name, since other settings of the table are given")
		}
		if relaysEndpointList {
			return f.invalid("list", "the table without council.name", "both or neither")
		}
		return nil
	}
	if len(coordination.Members) == 0 {
		return f.invalid("council.members", "none", "the addresses of the council's members")
	}
	for _, address := range append([]string{coordination.Listen}, coordination.Members...) {
		if !isAddress(address) {
			return f.invalid("council", strconv.Quote(address), "listen and members: an IP address and a port each")
		}
	}
	if relaysEndpointList {
		if err := f.validateEndpointList(); err != nil {
			return err
		}
	}
	if coordination.Host == "" || len(coordination.Host) > maxHostNameBytes || strings.ContainsAny(coordination.Host, "/. \n") {
		return f.invalid("council.host", strconv.Quote(coordination.Host), fmt.Sprintf("a name of 1 to %d bytes without blanks, dots and slashes", maxHostNameBytes))
	}
	return nil
}

// anySet reports whether any setting other than Name is set.
func (c *CoordinationSettings) anySet() bool {
	return c.Host != "" || c.Listen != "" || c.Zone != "" || len(c.Members) > 0
}

// validateEndpointList validates the table "list" of the fleet file.
func (f *File) validateEndpointList() error {
	settings := f.EndpointList
	for _, setting := range []struct{ key, address string }{{"list.discovery", settings.Discovery}, {"list.listen", settings.Listen}} {
		if !isAddress(setting.address) {
			return f.invalid(setting.key, strconv.Quote(setting.address), "an IP address and a port")
		}
	}
	if settings.Source == "" || len(settings.Source) > maxListSourceBytes || strings.ContainsAny(settings.Source, " \r\n") {
		return f.invalid("list.source", strconv.Quote(settings.Source), fmt.Sprintf("a name of 1 to %d bytes without blanks", maxListSourceBytes))
	}
	if settings.StalenessLimit <= settings.HeartbeatTimeout {
		return f.invalid("list.stale", settings.StalenessLimit.String(), fmt.Sprintf("more than %v (list.silent)", settings.HeartbeatTimeout))
	}
	return nil
}

// isAddress reports whether text is an IP address with a port other than 0.
func isAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0
}

// absolutePath resolves a path relative to the directory of the fleet file.
func (f *File) absolutePath(path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	absolute, err := filepath.Abs(filepath.Join(filepath.Dir(f.Path), path))
	if err != nil {
		return path
	}
	return absolute
}

func (f *File) invalid(key, found, wanted string) error {
	return &strictconfig.Error{File: f.Path, Key: key, Found: found, Wanted: wanted}
}

// Specs returns the instances with all placeholders expanded. It rereads the templates. It
// returns an error if two instances have the same name or address.
func (f *File) Specs() ([]Spec, error) {
	instances := f.allInstances()
	if len(instances) == 0 {
		return nil, f.invalid("", "no instance", "count or [[instance]]")
	}
	if len(instances) > MaxInstances {
		return nil, f.invalid("count", fmt.Sprintf("%d instances", len(instances)), fmt.Sprintf("%d at most", MaxInstances))
	}
	names, addresses := map[string]bool{}, map[string]string{}
	var specs []Spec
	for i, instance := range instances {
		if err := f.validateInstance(instance, names, addresses); err != nil {
			return nil, err
		}
		spec := Spec{Name: instance.Name, Listen: instance.Listen}
		for _, arg := range f.Args {
			spec.Args = append(spec.Args, f.expand(arg, instance.Name, instance.Listen, i+1))
		}
		var err error
		if spec.Config, err = f.renderConfig(instance, i+1); err != nil {
			return nil, err
		}
		specs = append(specs, spec)
	}
	return specs, nil
}

// allInstances returns the instances listed in the file and the numbered instances.
func (f *File) allInstances() []Instance {
	instances := slices.Clone(f.Instances)
	for i := 1; i <= f.Count; i++ {
		listen := f.expand(f.Listen, "", "", i)
		instances = append(instances, Instance{Name: f.expand(f.Name, "", listen, i), Listen: listen})
	}
	return instances
}

// validateInstance validates an instance and adds it to names and addresses, which hold the
// preceding instances by name and by address.
func (f *File) validateInstance(instance Instance, names map[string]bool, addresses map[string]string) error {
	address, err := netip.ParseAddrPort(instance.Listen)
	switch {
	case err != nil || address.Port() == 0:
		return f.invalid("listen", fmt.Sprintf("%q for %s", instance.Listen, instance.Name), "an IP address and a port")
	case instance.Name == "" || strings.ContainsAny(instance.Name, "/ \n"):
		return f.invalid("name", strconv.Quote(instance.Name), "a name without blanks and slashes")
	case names[instance.Name]:
		return f.invalid("name", fmt.Sprintf("%q twice", instance.Name), "each name once")
	case addresses[address.String()] != "":
		return f.invalid("listen", fmt.Sprintf("%s for both %s and %s", address, addresses[address.String()], instance.Name), "each address once")
	}
	names[instance.Name], addresses[address.String()] = true, instance.Name
	return nil
}

// renderConfig expands the configuration template of an instance. An instance without its
// own template uses the template of the fleet file.
func (f *File) renderConfig(instance Instance, i int) (string, error) {
	path := cmp.Or(instance.Config, f.Config)
	if path == "" {
		return "", nil
	}
	path = f.absolutePath(path)
	text, err := disk.Read(path)
	if err != nil {
		return "", f.invalid("config", err.Error(), "a readable template")
	}
	config := f.expand(string(text), instance.Name, instance.Listen, i)
	if !json.Valid([]byte(config)) {
		return "", f.invalid("config", fmt.Sprintf("%s expanded for %s is not valid JSON", path, instance.Name), "JSON")
	}
	return config, nil
}

// expand replaces the placeholders in text. The placeholder "{seed}" stands for a new random
// value in each call.
func (f *File) expand(text, name, listen string, i int) string {
	var seed [8]byte
	rand.Read(seed[:])
	return strings.NewReplacer("{name}", name, "{listen}", listen, "{i}", strconv.Itoa(i), "{dir}", f.Directory,
		"{port}", strconv.Itoa(f.FirstPort+i-1), "{seed}", hex.EncodeToString(seed[:])).Replace(text)
}

// lifecycleConfig returns the settings that the lifecycle needs.
func (f *File) lifecycleConfig() lifecycle.Config {
	perStart := float64(f.Start.RequestLines+f.Start.ListLines) / float64(f.Start.DiscoveryLinesPerSecond)
	return lifecycle.Config{
		StartInterval:      time.Duration(perStart * float64(time.Second)),
		ReadyTimeout:       f.Start.ReadyTimeout,
		ShutdownTimeout:    f.Restart.StopTimeout,
		MaxConcurrent:      f.Restart.MaxConcurrent,
		Handover:           f.Restart.Mode == RestartByHandover,
		PauseAfterFailures: f.Restart.MaxConsecutiveFailures,
		InitialBackoff:     f.Crash.InitialBackoff,
		MaxBackoff:         f.Crash.MaxBackoff,
		CrashLoopCount:     f.Crash.LoopCrashes,
		CrashLoopWindow:    f.Crash.LoopWindow,
	}
}
