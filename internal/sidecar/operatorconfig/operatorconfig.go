// Package operator reads the operator's file, deploy/operator.toml: what is
// switched on beyond what the platform tells the sidecar. Without the file, and
// without a section, that subsystem is off.
//
// Each section is a struct of its own with the defaults that hold once the
// section is there; docs/operate has a page for each.
package operatorconfig

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strconv"
	"strings"
	"time"

	"otterspring/internal/strictfile"
)

// File is what an operator's file says.
type File struct {
	Drain    Drain    `toml:"drain"`
	Handover Handover `toml:"handover"`
	Notify   Notify   `toml:"notify"`
	CoAP     CoAP     `toml:"coap"`
	List     List     `toml:"list"`

	Configuration Configuration `toml:"configuration"`
}

// List has discovery's list watched at a local proxy of this host, which relays it
// (docs/operate/list.md). It is read at the start; a reload leaves it as it is.
type List struct {
	// Proxy is the proxy's address. Empty: off.
	Proxy string `toml:"near"`
	// Source names the discovery whose list the proxy relays.
	Source string `toml:"source"`
	// Jitter bounds how long after the proxy has failed a sidecar fails over to
	// discovery: each has a delay of its own by its name.
	Jitter time.Duration `toml:"spread" min:"0s" max:"5m"`
}

// parseAddress reads an IP address and a port; false if text is something else. An
// IPv4 address that is written as IPv6 is the same one.
func parseAddress(text string) (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(text)
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port()), err == nil && address.Port() != 0
}

// Drain bounds the end of an instance. Used from the next drain on, so a reload
// brings it in.
type Drain struct {
	// Timeout is how long after the signal requests may still be finished; what
	// is open then is handed back. 0 takes the longest deadline of the classes
	// and the time in which connections still come.
	Timeout time.Duration `toml:"finish" min:"1s" max:"10m"`
}

// Handover lets a new process take the listening socket over from this one.
// A reload leaves it as it is; it is read at the start.
type Handover struct {
	// Socket is the path of the Unix socket on which an instance offers its
	// listener and asks for that of the one before it. Empty: off.
	Socket string `toml:"socket"`
	// StepTimeout is how long the new process may take from its first word until it
	// is ready; after that the old one goes on alone.
	StepTimeout time.Duration `toml:"ready_within" min:"100ms" max:"5m"`
}

// Notify tells a supervisor of the states of the program, as systemd does it.
type Notify struct {
	// Systemd sends datagrams to $NOTIFY_SOCKET where that is set.
	Systemd bool `toml:"systemd"`
}

// CoAP takes requests over CoAP, too. It is read at the start; a reload leaves it
// as it is.
type CoAP struct {
	// Listen is an address of one machine and a port, over UDP. Empty: off.
	Listen string `toml:"listen"`
	// MaxPendingRequests bounds the requests without an answer, Kept those that are remembered
	// whole against repeats (for 247 s at most, some 360 bytes beside the answer),
	// MaxDedupBytes the answers remembered with them.
	MaxPendingRequests int             `toml:"open" min:"8" max:"4096"`
	MaxDedupEntries    int             `toml:"kept" min:"64" max:"262144"`
	MaxDedupBytes      strictfile.Size `toml:"kept_bytes" min:"0B" max:"64MiB"`
	// MaxCompletedUnsafe bounds the unsafe ones beyond them, some 40 bytes each: the most that
	// may come in 247 s.
	MaxCompletedUnsafe int `toml:"settled" min:"0" max:"4194304"`
	// MaxTransfers bounds the bodies that come and go in blocks, MaxTransferBytes all of
	// them together, in each direction.
	MaxTransfers     int             `toml:"transfers" min:"1" max:"1024"`
	MaxTransferBytes strictfile.Size `toml:"transfer_bytes" min:"64KiB" max:"64MiB"`
	// MaxObservers bounds the observations, 0 for none; what is observed is asked for
	// anew every ObserveInterval.
	MaxObservers    int           `toml:"observers" min:"0" max:"4096"`
	ObserveInterval time.Duration `toml:"observe_every" min:"100ms" max:"10m"`
	// TrustedNetworks are networks whose source addresses can't be forged. All others get
	// three times their bytes at most until they have proven theirs.
	TrustedNetworks []Network `toml:"trusted" max:"64"`
	// Upstreams uses call servers whose address in the list begins with coap://. They
	// are sent a confirmable message again AckTimeout to 1.5 times that after it,
	// up to four times (RFC 7252, section 4.8).
	Upstreams  bool          `toml:"servers"`
	AckTimeout time.Duration `toml:"ack_timeout" min:"20ms" max:"10s"`
	// StatePath is a file that lasts over processes, in which one leaves at its end what
	// the next has to know. Where it is not there, no process ran before.
	StatePath string `toml:"state"`
	// FirstRun says that no process ran here before this one: unsafe requests run from
	// the first moment. Otherwise those without an Echo fail for the first 247 s.
	FirstRun bool `toml:"first"`
}

// Network is an address prefix, "10.1.0.0/16".
type Network struct{ netip.Prefix }

// UnmarshalText reads a prefix.
func (n *Network) UnmarshalText(text []byte) error {
	p, err := netip.ParsePrefix(string(text))
	if err != nil || p != p.Masked() {
		return errors.New(`a network like "10.1.0.0/16"`)
	}
	n.Prefix = p
	return nil
}

// Defaults returns what holds without a file: everything is off.
func Defaults() File {
	return File{Handover: Handover{StepTimeout: 10 * time.Second}, List: List{Source: "discovery", Jitter: 2 * time.Second}, CoAP: CoAP{
		MaxPendingRequests: 256, MaxDedupEntries: 4096, MaxDedupBytes: 1 << 20, MaxCompletedUnsafe: 65536, MaxTransfers: 16, MaxTransferBytes: 1 << 20, MaxObservers: 64, ObserveInterval: 2 * time.Second, AckTimeout: 2 * time.Second,
		TrustedNetworks: []Network{{netip.MustParsePrefix("127.0.0.0/8")}, {netip.MustParsePrefix("::1/128")}},
	}}
}

// Load reads the file at path; an empty path means no file. The first of what
// is wrong is the error.
func Load(path string) (File, error) {
	f, errs := LoadAll(path)
	if len(errs) > 0 {
		return f, errs[0]
	}
	return f, nil
}

// LoadAll reads the file at path and returns all that is wrong with it, an
// error a fault; the file holds the defaults then.
func LoadAll(path string) (File, []error) {
	f := Defaults()
	if path == "" {
		return f, nil
	}
	text, err := strictfile.Read(path)
	if err != nil {
		return f, []error{err}
	}
	lines, bad := strictfile.DecodeAll(path, text, &f)
	if len(bad) == 0 {
		bad = f.validate(path, lines)
	}
	if len(bad) == 0 {
		return f, nil
	}
	var errs []error
	for _, e := range bad {
		errs = append(errs, e)
	}
	return Defaults(), errs
}

// validate holds against each other what no single value shows.
func (f *File) validate(path string, lines strictfile.Lines) (errs []*strictfile.Error) {
	say := func(key, found, wanted string) {
		errs = append(errs, &strictfile.Error{File: path, Line: lines[key], Key: key, Found: found, Wanted: wanted})
	}
	bad := func(found, wanted string) { say("handover.socket", found, wanted) }
	// A Unix socket's address holds 108 bytes with the zero at its end.
	if n := len(f.Handover.Socket); n > 100 {
		bad(fmt.Sprintf("a path of %d bytes", n), "100 at most")
	}
	if s := f.Handover.Socket; s != "" && !strings.HasPrefix(s, "/") {
		bad(fmt.Sprintf("%q", s), "an absolute path")
	}
	if proxy := f.List.Proxy; proxy != "" {
		if _, ok := parseAddress(proxy); !ok {
			say("list.near", strconv.Quote(proxy), "an IP address and a port")
		}
	}
	f.Configuration.validate(say)
	c := &f.CoAP
	if c.Listen == "" {
		return errs
	}
	if a, err := netip.ParseAddrPort(c.Listen); err != nil || a.Addr().IsMulticast() || a.Addr().IsUnspecified() {
		say("coap.listen", fmt.Sprintf("%q", c.Listen), "one machine's IP address and a port")
	}
	if c.MaxDedupEntries < c.MaxPendingRequests {
		say("coap.kept", strconv.Itoa(c.MaxDedupEntries), fmt.Sprintf("%d (coap.open) or more", c.MaxPendingRequests))
	}
	if c.StatePath != "" && !strings.HasPrefix(c.StatePath, "/") {
		say("coap.state", strconv.Quote(c.StatePath), "an absolute path")
	}
	if c.StatePath != "" && c.FirstRun {
		say("coap.first", "it beside coap.state", "one of them")
	}
	return errs
}

// EnabledSections names the sections that are switched on.
func (f *File) EnabledSections() []string {
	var on []string
	if f.Drain.Timeout > 0 {
		on = append(on, "drain")
	}
	if f.Handover.Socket != "" {
		on = append(on, "handover")
	}
	if f.Notify.Systemd {
		on = append(on, "notify")
	}
	if f.CoAP.Listen != "" || f.CoAP.Upstreams {
		on = append(on, "coap")
	}
	if f.List.Proxy != "" {
		on = append(on, "list")
	}
	if f.Configuration.Enabled() {
		on = append(on, "configuration")
	}
	return on
}

// RestartRequired names the sections that differ and that a running program does
// not take from a reload.
func (f *File) RestartRequired(n *File) []string {
	var names []string
	if !reflect.DeepEqual(f.Handover, n.Handover) {
		names = append(names, "handover")
	}
	if f.Notify != n.Notify {
		names = append(names, "notify")
	}
	if !reflect.DeepEqual(f.CoAP, n.CoAP) {
		names = append(names, "coap")
	}
	if f.List != n.List {
		names = append(names, "list")
	}
	if !reflect.DeepEqual(f.Configuration, n.Configuration) {
		names = append(names, "configuration")
	}
	return names
}
