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
	"otterspring/internal/wire"
)

// This file holds the names of the configuration file that RELAY_CONFIG names.

// Config is the content of the configuration file. Load has checked it.
type Config struct {
	Name           string
	Listen         string // IP address and port for clients
	Discovery      string // IP address and port
	Seed           uint64
	Cores          float64
	MemoryBytes    int
	Sockets        int                   // limit of file descriptors
	KnownEndpoints dispatch.EndpointList // the list as last known, possibly old
	Settings       balance.Settings
	Connections    wire.Conns
}

// The least resources that a sidecar can work with.
const (
	minMemory  = 32 << 20 // bytes
	minSockets = 64
)

// Load reads and checks the configuration file. An error is one line that names the
// file, the key, what was found and what was expected.
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

// parseConfig reads and checks the text of a configuration.
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

// checkLimits checks the resources.
func (c *Config) checkLimits() error {
	switch {
	case !(c.Cores > 0): // also for a value that is no number
		return fmt.Errorf("limits.cores: found %v, wanted a number above 0", c.Cores)
	case c.MemoryBytes < minMemory:
		return fmt.Errorf("limits.memory_mb: found %d, wanted %d or more", c.MemoryBytes>>20, minMemory>>20)
	case c.Sockets < minSockets:
		return fmt.Errorf("limits.sockets: found %d, wanted %d or more", c.Sockets, minSockets)
	}
	return nil
}

// parseSettings reads and checks the balancer's settings. Seed has been read before.
func (c *Config) parseSettings(settings *fastjson.Value) error {
	if settings == nil || settings.Type() != fastjson.TypeObject {
		return errors.New("expected an object")
	}
	if err := wire.Check(settings); err != nil {
		return err
	}
	c.Settings, c.Connections = wire.Settings(settings), wire.ConnSettings(settings)
	if _, err := balance.New(c.Settings, c.Seed); err != nil {
		return err
	}
	if c.Connections.Idle <= 0 || c.Connections.Dial <= 0 {
		return errors.New("limits.conn-idle-us and limits.dial-timeout-us: expected numbers above 0")
	}
	return nil
}

// changedKeys names what differs in another configuration and can't take effect in a
// reload. Seed and endpoint list differ in every file and don't matter to a sidecar that
// runs.
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
