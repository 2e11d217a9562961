// Package supervisor supervises many instances on one host as child processes: it
// starts, watches, restarts and reloads them. What it does next is decided by
// package lifecycle; this package has the processes, sockets and files.
package supervisor

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"otterspring/internal/disk"
	"otterspring/internal/fleet/lifecycle"
	"otterspring/internal/strictconfig"
)

// MostInstances is how many instances one supervisor takes.
const MostInstances = 1000

// File is a fleet file.
type File struct {
	Path      string
	Program   string     `toml:"program" need:"true"`   // the sidecar
	Args      []string   `toml:"args" max:"50"`         // its arguments; may hold {name} and the like
	Directory string     `toml:"directory" need:"true"` // for sockets, configurations, logs and the state
	Control   string     `toml:"control"`               // path of the control socket; directory/fleet.sock if empty
	Config    string     `toml:"config"`                // template of the configuration
	Count     int        `toml:"count" min:"1" max:"1000"`
	Name      string     `toml:"name"`   // of counted instances, with {i}
	Listen    string     `toml:"listen"` // with {i} or {port}
	FirstPort int        `toml:"first_port" min:"1" max:"65535"`
	Instances []Instance `toml:"instance" max:"1000"`
	Start     Start      `toml:"start"`
	Restart   Restart    `toml:"restart"`
	Crash     Crash      `toml:"crash"`
	Alive     Alive      `toml:"alive"`
	Council   Council    `toml:"council"`
	List      ListFile   `toml:"list"`
}

// Council says which council this host belongs to; none without a name.
type Council struct {
	Name    string   `toml:"name"`
	Members []string `toml:"members" max:"7"` // where its members listen
	Host    string   `toml:"host"`            // what this host is called there
	Zone    string   `toml:"zone"`
	Listen  string   `toml:"listen"` // where owners reach this supervisor
}

// Alive says when an instance that runs and answers nobody is killed and started
// anew.
type Alive struct {
	Within time.Duration `toml:"within" min:"0s" max:"10m"` // 0 for never
}

// InstanceStatus is one instance that is named by itself.
type Instance struct {
	Name   string `toml:"name" need:"true"`
	Listen string `toml:"listen" need:"true"`
	Config string `toml:"config"` // its own template
}

// StartProcess spreads the starts so that discovery can follow: a start costs it one
// call and the whole list.
type Start struct {
	Lines     int           `toml:"discovery_lines" min:"1" max:"100000"` // a second, that may be used
	CallLines int           `toml:"call_lines" min:"0" max:"1000"`        // fixed cost of a call
	ListLines int           `toml:"list_lines" min:"1" max:"10000"`       // servers in the list
	Ready     time.Duration `toml:"ready_within" min:"100ms" max:"10m"`
}

// Restart says how instances are rolled.
type Restart struct {
	Mode       string        `toml:"mode" oneof:"term|handover"`
	AtOnce     int           `toml:"at_once" min:"1" max:"100"`
	EndWithin  time.Duration `toml:"end_within" min:"100ms" max:"10m"`
	PauseAfter int           `toml:"pause_after" min:"1" max:"100"`
}

// Crash says how instances that ended by themselves are started again.
type Crash struct {
	First  time.Duration `toml:"first" min:"10ms" max:"1m"`
	Most   time.Duration `toml:"most" min:"10ms" max:"1h"`
	Loop   int           `toml:"loop" min:"2" max:"100"`
	Within time.Duration `toml:"within" min:"1s" max:"24h"`
}

// defaults are what a file need not say. The lines are the least that the
// site's discovery can send, at its dearest call.
func defaults() File {
	return File{
		Name: "n{i}", FirstPort: 20000,
		Start:   Start{Lines: 280, CallLines: 77, ListLines: 70, Ready: 10 * time.Second},
		Restart: Restart{Mode: "term", AtOnce: 1, EndWithin: 30 * time.Second, PauseAfter: 2},
		List:    ListFile{Source: "discovery", HeartbeatTimeout: 1500 * time.Millisecond, Jitter: 2 * time.Second, StalenessLimit: 4 * time.Second},
		Crash:   Crash{First: 500 * time.Millisecond, Most: 30 * time.Second, Loop: 5, Within: time.Minute},
	}
}

// Spec is one instance with all placeholders filled in.
type Spec struct {
	Name   string
	Listen string
	Args   []string
	Config string // the text of its configuration; empty where there is no template
}

// LoadFile reads a fleet file and checks it whole.
func LoadFile(path string) (*File, error) {
	f := defaults()
	if err := strictconfig.Load(path, &f); err != nil {
		return nil, err
	}
	f.Path = path
	f.Directory = f.beside(f.Directory)
	f.Program = f.beside(f.Program)
	if f.Control == "" {
		f.Control = filepath.Join(f.Directory, "fleet.sock")
	}
	f.Control = f.beside(f.Control)
	if len(f.Control) > 100 {
		return nil, f.bad("control", fmt.Sprintf("a path of %d bytes", len(f.Control)), "100 at most")
	}
	if _, err := f.Specs(); err != nil {
		return nil, err
	}
	if info, err := os.Stat(f.Program); err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
		return nil, f.bad("program", fmt.Sprintf("no program at %q", f.Program), "an executable file")
	}
	if err := f.council(); err != nil {
		return nil, err
	}
	if f.Crash.Most < f.Crash.First {
		return nil, f.bad("crash.most", f.Crash.Most.String(), fmt.Sprintf("%v (crash.first) or more", f.Crash.First))
	}
	return &f, nil
}

// council checks the part of the council.
func (f *File) council() error {
	c := f.Council
	if c.Name == "" {
		if c.Host != "" || c.Listen != "" || c.Zone != "" || len(c.Members) > 0 {
			return f.bad("council.name", "none", "the council's name, where the rest is set")
		}
		if f.List.Discovery != "" || f.List.Listen != "" {
			return f.bad("list", "it without a council", "council.name, or no list")
		}
		return nil
	}
	if len(c.Members) == 0 {
		return f.bad("council.members", "none", "the addresses of the council's members")
	}
	for _, a := range append([]string{c.Listen}, c.Members...) {
		if addr, err := netip.ParseAddrPort(a); err != nil || addr.Port() == 0 {
			return f.bad("council", strconv.Quote(a), "listen and members: an IP address and a port each")
		}
	}
	if l := f.List; l.Discovery != "" || l.Listen != "" {
		for key, a := range map[string]string{"list.discovery": l.Discovery, "list.listen": l.Listen} {
			if addr, err := netip.ParseAddrPort(a); err != nil || addr.Port() == 0 {
				return f.bad(key, strconv.Quote(a), "an IP address and a port")
			}
		}
		if l.Source == "" || len(l.Source) > 64 || strings.ContainsAny(l.Source, " \r\n") {
			return f.bad("list.source", strconv.Quote(l.Source), "a name of 1 to 64 bytes without blanks")
		}
		if l.StalenessLimit <= l.HeartbeatTimeout {
			return f.bad("list.stale", l.StalenessLimit.String(), fmt.Sprintf("more than %v (list.silent)", l.HeartbeatTimeout))
		}
	}
	if c.Host == "" || len(c.Host) > 32 || strings.ContainsAny(c.Host, "/. \n") {
		return f.bad("council.host", strconv.Quote(c.Host), "a name of 1 to 32 bytes without blanks, dots and slashes")
	}
	return nil
}

// beside makes a path absolute, from the fleet file's folder.
func (f *File) beside(path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	abs, err := filepath.Abs(filepath.Join(filepath.Dir(f.Path), path))
	if err != nil {
		return path
	}
	return abs
}

func (f *File) bad(key, found, wanted string) error {
	return &strictconfig.Error{File: f.Path, Key: key, Found: found, Wanted: wanted}
}

// Specs returns the instances. Names and addresses are unique.
func (f *File) Specs() ([]Spec, error) {
	all := append([]Instance(nil), f.Instances...)
	for i := 1; i <= f.Count; i++ {
		listen := f.fill(f.Listen, "", "", i)
		all = append(all, Instance{Name: f.fill(f.Name, "", listen, i), Listen: listen})
	}
	if len(all) == 0 {
		return nil, f.bad("", "no instance", "count or [[instance]]")
	}
	if len(all) > MostInstances {
		return nil, f.bad("count", fmt.Sprintf("%d instances", len(all)), fmt.Sprintf("%d at most", MostInstances))
	}
	names, addrs := map[string]bool{}, map[string]string{}
	var specs []Spec
	for i, in := range all {
		addr, err := netip.ParseAddrPort(in.Listen)
		switch {
		case err != nil || addr.Port() == 0:
			return nil, f.bad("listen", fmt.Sprintf("%q for %s", in.Listen, in.Name), "an IP address and a port")
		case in.Name == "" || strings.ContainsAny(in.Name, "/ \n"):
			return nil, f.bad("name", strconv.Quote(in.Name), "a name without blanks and slashes")
		case names[in.Name]:
			return nil, f.bad("name", fmt.Sprintf("%q twice", in.Name), "each once")
		case addrs[addr.String()] != "":
			return nil, f.bad("listen", fmt.Sprintf("%s for both %s and %s", addr, addrs[addr.String()], in.Name), "each address once")
		}
		names[in.Name], addrs[addr.String()] = true, in.Name
		s := Spec{Name: in.Name, Listen: in.Listen}
		for _, a := range f.Args {
			s.Args = append(s.Args, f.fill(a, in.Name, in.Listen, i+1))
		}
		if s.Config, err = f.configOf(in, i+1); err != nil {
			return nil, err
		}
		specs = append(specs, s)
	}
	return specs, nil
}

// configOf fills an instance's template.
func (f *File) configOf(in Instance, i int) (string, error) {
	path := in.Config
	if path == "" {
		path = f.Config
	}
	if path == "" {
		return "", nil
	}
	path = f.beside(path)
	text, err := disk.Read(path)
	if err != nil {
		return "", f.bad("config", err.Error(), "a readable template")
	}
	filled := f.fill(string(text), in.Name, in.Listen, i)
	if !json.Valid([]byte(filled)) {
		return "", f.bad("config", fmt.Sprintf("%s filled in for %s is no JSON", path, in.Name), "JSON")
	}
	return filled, nil
}

// fill puts an instance's own words into a template. {seed} is new each time.
func (f *File) fill(text, name, listen string, i int) string {
	var seed [8]byte
	rand.Read(seed[:])
	return strings.NewReplacer("{name}", name, "{listen}", listen, "{i}", strconv.Itoa(i), "{dir}", f.Directory,
		"{port}", strconv.Itoa(f.FirstPort+i-1), "{seed}", hex.EncodeToString(seed[:])).Replace(text)
}

// plan is the file as the decisions see it.
func (f *File) plan() lifecycle.Config {
	perStart := float64(f.Start.CallLines+f.Start.ListLines) / float64(f.Start.Lines)
	return lifecycle.Config{
		StartInterval: time.Duration(perStart * float64(time.Second)),
		ReadyTimeout:  f.Start.Ready, ShutdownTimeout: f.Restart.EndWithin,
		MaxConcurrent: f.Restart.AtOnce, Handover: f.Restart.Mode == "handover", PauseAfterFailures: f.Restart.PauseAfter,
		InitialBackoff: f.Crash.First, MaxBackoff: f.Crash.Most, CrashLoopCount: f.Crash.Loop, CrashLoopWindow: f.Crash.Within,
	}
}
