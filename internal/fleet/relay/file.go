package relay

import (
	"fmt"
	"net/netip"
	"time"

	"otterspring/internal/fleet/configuration"
	"otterspring/internal/strictconfig"
)

// Config is the content of a relay's configuration file, which is a TOML file. LoadConfig
// sets the defaults and validates the content.
type Config struct {
	Path string // path of the configuration file
	// Region is the name of the coordination cluster to watch, and Members are the addresses
	// of its members.
	Region  string   `toml:"region" need:"true"`
	Members []string `toml:"members" need:"true" max:"7"`
	// Zone is the zone whose sidecars are served, Name is the name of the relay within the
	// zone, and Listen is the address that sidecars connect to.
	Zone   string `toml:"zone" need:"true"`
	Name   string `toml:"name" need:"true"`
	Listen string `toml:"listen" need:"true"`
	// MaxConnections limits the number of open connections. The relay resets further
	// connections. The default is defaultMaxConnections.
	MaxConnections int `toml:"connections" min:"1" max:"16384"`
	// MaxSnapshotsInFlight limits the number of snapshots that are sent but not yet
	// acknowledged. The default is configuration.DefaultAdmissionSettings.Slots.
	MaxSnapshotsInFlight int `toml:"snapshots_at_once" min:"1" max:"1024"`
	// DrainTime is the period over which a shutdown moves the subscribers to other relays.
	// The default is 2 s.
	DrainTime time.Duration `toml:"drain" min:"0s" max:"1m"`
	// WriteTimeout limits how long a subscriber may take to read a response. The default is
	// 5 s.
	WriteTimeout time.Duration `toml:"write_timeout" min:"100ms" max:"1m"`
}

// defaultMaxConnections is several times the number of subscribers of two zones with 684
// subscribers each: the relay's own zone, and a second zone whose relay has failed.
const defaultMaxConnections = 4096

// LoadConfig reads, parses and validates a relay's configuration file. If the content is
// invalid, the error is a *strictconfig.Error. Otherwise it is the error from reading the
// file.
func LoadConfig(path string) (*Config, error) {
	config := &Config{
		Path:                 path,
		MaxConnections:       defaultMaxConnections,
		MaxSnapshotsInFlight: configuration.DefaultAdmissionSettings.Slots,
		DrainTime:            2 * time.Second,
		WriteTimeout:         5 * time.Second,
	}
	text, err := strictconfig.Read(path)
	if err != nil {
		return nil, err
	}
	lines, errs := strictconfig.DecodeAll(path, text, config)
	if len(errs) > 0 {
		return nil, errs[0]
	}
	if configErr := config.validate(); configErr != nil {
		configErr.File, configErr.Line = path, lines[configErr.Key]
		return nil, configErr
	}
	return config, nil
}

// validate checks the rules that the struct tags cannot express.
func (c *Config) validate() *strictconfig.Error {
	names := []struct{ key, value string }{{"region", c.Region}, {"zone", c.Zone}, {"name", c.Name}}
	for _, name := range names {
		if configuration.ValidateName(name.key, name.value) != nil {
			wanted := fmt.Sprintf("1 to %d printable bytes without blanks", configuration.MaxNameBytes)
			return &strictconfig.Error{Key: name.key, Found: fmt.Sprintf("%.80q", name.value), Wanted: wanted}
		}
	}
	if len(c.Members) == 0 {
		return &strictconfig.Error{Key: "members", Found: "none", Wanted: "the address of each member of the cluster"}
	}
	seen := map[string]bool{}
	for _, address := range append([]string{c.Listen}, c.Members...) {
		key := "members"
		if len(seen) == 0 {
			key = "listen"
		}
		parsed, err := netip.ParseAddrPort(address)
		switch {
		case err != nil || parsed.Port() == 0:
			return &strictconfig.Error{Key: key, Found: fmt.Sprintf("%.80q", address), Wanted: "an IP address and a port"}
		case seen[parsed.String()]:
			return &strictconfig.Error{Key: key, Found: parsed.String() + " twice", Wanted: "different addresses for this relay and each member"}
		}
		seen[parsed.String()] = true
	}
	return nil
}
