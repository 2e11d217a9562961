// Package sidecar carries out on real sockets what package balance decides:
// it takes requests from the application, sends attempts to upstreams and
// follows discovery. It decides nothing itself.
package sidecar

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strconv"

	"github.com/valyala/fastjson"

	"otterspring/balance"
	"otterspring/internal/coapupstream"
	"otterspring/internal/discovery"
	"otterspring/internal/disk"
	"otterspring/internal/sidecar/dispatch"
	"otterspring/internal/wire"
)

// Config is what a sidecar is told at its start.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Seed      uint64
	Cores     float64
	Memory    int // bytes
	Sockets   int
	Known     dispatch.EndpointList
	Settings  balance.Settings
	Conns     wire.Conns
}

// The least that a sidecar can work with.
const (
	leastMemory  = 32 << 20
	leastSockets = 64
)

// Load reads the configuration file at path.
func Load(path string) (Config, error) {
	if path == "" {
		return Config{}, errors.New("RELAY_CONFIG is not set: expected the path of the configuration file")
	}
	text, err := disk.Read(path)
	if err != nil {
		return Config{}, fmt.Errorf("RELAY_CONFIG: %w", err)
	}
	cfg, err := parseConfig(text)
	if err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, err)
	}
	return cfg, nil
}

// parseConfig reads and checks the text of a configuration.
func parseConfig(text []byte) (Config, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return Config{}, fmt.Errorf("not JSON: %w", err)
	}
	if v.Type() != fastjson.TypeObject {
		return Config{}, fmt.Errorf("expected a JSON object, found %s", v.Type())
	}
	cfg := Config{
		Name:      string(v.GetStringBytes("name")),
		Listen:    string(v.GetStringBytes("listen")),
		Discovery: string(v.GetStringBytes("discovery")),
		Cores:     v.GetFloat64("limits", "cores"),
		Memory:    v.GetInt("limits", "memory_mb") << 20,
		Sockets:   v.GetInt("limits", "sockets"),
	}
	for _, a := range []struct{ key, addr string }{{"listen", cfg.Listen}, {"discovery", cfg.Discovery}} {
		if _, err := netip.ParseAddrPort(a.addr); err != nil {
			return Config{}, fmt.Errorf("%s: expected an IP address and port, found %q", a.key, a.addr)
		}
	}
	seed := string(v.GetStringBytes("seed"))
	if cfg.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
		return Config{}, fmt.Errorf("seed: expected up to 16 hex digits, found %q", seed)
	}
	switch {
	case !(cfg.Cores > 0):
		return Config{}, fmt.Errorf("limits.cores: found %v, wanted a number above 0", cfg.Cores)
	case cfg.Memory < leastMemory:
		return Config{}, fmt.Errorf("limits.memory_mb: found %d, wanted %d or more", cfg.Memory>>20, leastMemory>>20)
	case cfg.Sockets < leastSockets:
		return Config{}, fmt.Errorf("limits.sockets: found %d, wanted %d or more", cfg.Sockets, leastSockets)
	}
	if known := v.Get("known"); known != nil && known.Type() != fastjson.TypeNull {
		if cfg.Known, err = discovery.Parse(known, coapupstream.Scheme); err != nil {
			return Config{}, fmt.Errorf("known: %w", err)
		}
	}
	settings := v.Get("settings")
	if settings == nil || settings.Type() != fastjson.TypeObject {
		return Config{}, errors.New("settings: expected an object")
	}
	if err := wire.Check(settings); err != nil {
		return Config{}, fmt.Errorf("settings: %w", err)
	}
	cfg.Settings, cfg.Conns = wire.Settings(settings), wire.ConnSettings(settings)
	if _, err := balance.New(cfg.Settings, cfg.Seed); err != nil {
		return Config{}, fmt.Errorf("settings: %w", err)
	}
	if cfg.Conns.Idle <= 0 || cfg.Conns.Dial <= 0 {
		return Config{}, errors.New("settings: limits.conn-idle-us and limits.dial-timeout-us: expected numbers above 0")
	}
	return cfg, nil
}

// differs names what a reload can't bring into use. Seed and list are new with
// every file and mean nothing to a running sidecar.
func (c *Config) differs(n *Config) []string {
	var names []string
	for _, f := range []struct {
		name string
		same bool
	}{
		{"name", c.Name == n.Name},
		{"listen", c.Listen == n.Listen},
		{"limits", c.Cores == n.Cores && c.Memory == n.Memory && c.Sockets == n.Sockets},
		{"settings", reflect.DeepEqual(c.Settings, n.Settings) && c.Conns == n.Conns},
	} {
		if !f.same {
			names = append(names, f.name)
		}
	}
	return names
}
