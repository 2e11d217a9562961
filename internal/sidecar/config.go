package sidecar

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strconv"

	"github.com/valyala/fastjson"

	"otterspring/balance"
	"otterspring/internal/disk"
	"otterspring/internal/sidecar/coapupstream"
	"otterspring/internal/sidecar/discovery"
	"otterspring/internal/sidecar/dispatch"
	"otterspring/internal/simprotocol"
)

// This file reads the configuration file, whose path is in RELAY_CONFIG.

// Config is the validated content of the configuration file.
type Config struct {
	Name           string
	Listen         string // IP address and port on which clients are served
	Discovery      string // IP address and port of the discovery service
	Seed           uint64
	Cores          float64
	MemoryBytes    int
	Sockets        int                   // limit on open file descriptors
	KnownEndpoints dispatch.EndpointList // last known endpoint list, possibly outdated
	Settings       balance.Settings
	Connections    simprotocol.ConnectionSettings
}

// The minimum resources with which a sidecar can run.
const (
	minMemoryBytes = 32 << 20
	minSockets     = 64
)

// Load reads and validates the configuration file. An error is a single line that names
// the file, the key, the value found and the value expected.
func Load(path string) (Config, error) {
	if path == "" {
		return Config{}, errors.New("RELAY_CONFIG is not set: expected the path of the configuration file")
	}
	text, err := disk.Read(path)
	if err != nil {
		return Config{}, fmt.Errorf("RELAY_CONFIG: %w", err)
	}
	config, err := parseConfig(text)
	if err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, err)
	}
	return config, nil
}

// parseConfig parses and validates the text of a configuration file.
func parseConfig(text []byte) (Config, error) {
	value, err := fastjson.ParseBytes(text)
	if err != nil {
		return Config{}, fmt.Errorf("not JSON: %w", err)
	}
	if value.Type() != fastjson.TypeObject {
		return Config{}, fmt.Errorf("expected a JSON object, found %s", value.Type())
	}
	config := Config{
		Name:        string(value.GetStringBytes("name")),
		Listen:      string(value.GetStringBytes("listen")),
		Discovery:   string(value.GetStringBytes("discovery")),
		Cores:       value.GetFloat64("limits", "cores"),
		MemoryBytes: value.GetInt("limits", "memory_mb") << 20,
		Sockets:     value.GetInt("limits", "sockets"),
	}
	for _, field := range []struct{ key, address string }{{"listen", config.Listen}, {"discovery", config.Discovery}} {
		if _, err := netip.ParseAddrPort(field.address); err != nil {
			return Config{}, fmt.Errorf("%s: expected an IP address and port, found %q", field.key, field.address)
		}
	}
	seed := string(value.GetStringBytes("seed"))
	if config.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
		return Config{}, fmt.Errorf("seed: expected up to 16 hex digits, found %q", seed)
	}
	if err := config.checkLimits(); err != nil {
		return Config{}, err
	}
	if known := value.Get("known"); known != nil && known.Type() != fastjson.TypeNull {
		if config.KnownEndpoints, err = discovery.ParseValue(known, coapupstream.Scheme); err != nil {
			return Config{}, fmt.Errorf("known: %w", err)
		}
	}
	if err := config.parseSettings(value.Get("settings")); err != nil {
		return Config{}, fmt.Errorf("settings: %w", err)
	}
	return config, nil
}

// checkLimits validates the resource limits.
func (c *Config) checkLimits() error {
	switch {
	case !(c.Cores > 0): // also true for NaN
		return fmt.Errorf("limits.cores: found %v, wanted a number above 0", c.Cores)
	case c.MemoryBytes < minMemoryBytes:
		return fmt.Errorf("limits.memory_mb: found %d, wanted %d or more", c.MemoryBytes>>20, minMemoryBytes>>20)
	case c.Sockets < minSockets:
		return fmt.Errorf("limits.sockets: found %d, wanted %d or more", c.Sockets, minSockets)
	}
	return nil
}

// parseSettings parses and validates the balancer's settings. c.Seed must have been set
// before.
func (c *Config) parseSettings(settings *fastjson.Value) error {
	if settings == nil || settings.Type() != fastjson.TypeObject {
		return errors.New("expected an object")
	}
	if err := simprotocol.Validate(settings); err != nil {
		return err
	}
	c.Settings, c.Connections = simprotocol.ParseSettings(settings), simprotocol.ParseConnectionSettings(settings)
	if _, err := balance.New(c.Settings, c.Seed); err != nil {
		return err
	}
	if c.Connections.IdleTimeout <= 0 || c.Connections.DialTimeout <= 0 {
		return errors.New("limits.conn-idle-us and limits.dial-timeout-us: expected numbers above 0")
	}
	return nil
}

// changedKeys returns the keys whose values differ between c and other and take effect only
// at the next start. The seed and the endpoint list are ignored: they differ in every file
// and do not matter to a running sidecar.
func (c *Config) changedKeys(other *Config) []string {
	var keys []string
	for _, field := range []struct {
		key  string
		same bool
	}{
		{"name", c.Name == other.Name},
		{"listen", c.Listen == other.Listen},
		{"limits", c.Cores == other.Cores && c.MemoryBytes == other.MemoryBytes && c.Sockets == other.Sockets},
		{"settings", reflect.DeepEqual(c.Settings, other.Settings) && c.Connections == other.Connections},
	} {
		if !field.same {
			keys = append(keys, field.key)
		}
	}
	return keys
}
