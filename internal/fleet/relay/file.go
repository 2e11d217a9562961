package relay

import (
	"fmt"
	"net/netip"
	"time"

	"otterspring/internal/fleet/configuration"
	"otterspring/internal/strictfile"
)

// File is a relay's file.
type File struct {
	Path string
	// Region is the name of the council that is followed, Members are where its
	// members listen.
	Region  string   `toml:"region" need:"true"`
	Members []string `toml:"members" need:"true" max:"7"`
	// Zone is the one whose sidecars are served, Name this relay's own in it, and
	// Listen where the sidecars reach it.
	Zone   string `toml:"zone" need:"true"`
	Name   string `toml:"name" need:"true"`
	Listen string `toml:"listen" need:"true"`
	// Connections is how many are open at a time: a further one is reset.
	Connections int `toml:"connections" min:"1" max:"16384"`
	// SnapshotsAtOnce is how many snapshots may be sent and not acknowledged yet.
	SnapshotsAtOnce int `toml:"snapshots_at_once" min:"1" max:"1024"`
	// Drain is the time over which the subscribers are handed on at the end.
	Drain time.Duration `toml:"drain" min:"0s" max:"1m"`
	// WriteTimeout is for how long a subscriber may take to read an answer.
	WriteTimeout time.Duration `toml:"write_timeout" min:"100ms" max:"1m"`
}

// defaultConnections bears a zone of 684 subscribers and those of a second zone
// whose relay has failed, several times over.
const defaultConnections = 4096

// LoadFile reads a relay's file and checks it whole.
func LoadFile(path string) (*File, error) {
	f := &File{
		Path:            path,
		Connections:     defaultConnections,
		SnapshotsAtOnce: configuration.DefaultAdmissionSettings.Slots,
		Drain:           2 * time.Second,
		WriteTimeout:    5 * time.Second,
	}
	text, err := strictfile.Read(path)
	if err != nil {
		return nil, err
	}
	lines, faults := strictfile.DecodeAll(path, text, f)
	if len(faults) > 0 {
		return nil, faults[0]
	}
	if fault := f.check(); fault != nil {
		fault.File, fault.Line = path, lines[fault.Key]
		return nil, fault
	}
	return f, nil
}

// validate finds what the bounds of single keys don't show.
func (f *File) check() *strictfile.Error {
	names := []struct{ key, value string }{{"region", f.Region}, {"zone", f.Zone}, {"name", f.Name}}
	for _, name := range names {
		if configuration.ValidateName(name.key, name.value) != nil {
			wanted := fmt.Sprintf("1 to %d printable bytes without blanks", configuration.MaxNameBytes)
			return &strictfile.Error{Key: name.key, Found: fmt.Sprintf("%.80q", name.value), Wanted: wanted}
		}
	}
	if len(f.Members) == 0 {
		return &strictfile.Error{Key: "members", Found: "none", Wanted: "the address of each member of the council"}
	}
	seen := map[string]bool{}
	for _, address := range append([]string{f.Listen}, f.Members...) {
		key := "members"
		if len(seen) == 0 {
			key = "listen"
		}
		parsed, err := netip.ParseAddrPort(address)
		switch {
		case err != nil || parsed.Port() == 0:
			return &strictfile.Error{Key: key, Found: fmt.Sprintf("%.80q", address), Wanted: "an IP address and a port"}
		case seen[parsed.String()]:
			return &strictfile.Error{Key: key, Found: parsed.String() + " twice", Wanted: "an address of its own for this relay and each member"}
		}
		seen[parsed.String()] = true
	}
	return nil
}
