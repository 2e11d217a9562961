// Package node runs a council's member: its file, disk, clock, listener and the
// ways to the others. What the council agrees on is decided by package council.
package server

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"otterspring/internal/fleet/coordination"
	"otterspring/internal/strictfile"
)

// Config is a council's file, the same for all members.
type Config struct {
	Path      string
	Name      string        `toml:"name" need:"true"`
	Directory string        `toml:"directory" need:"true"` // a member adds its number
	Tick      time.Duration `toml:"tick" min:"10ms" max:"1s"`
	Lease     time.Duration `toml:"lease" min:"100ms" max:"5m"`
	Margin    time.Duration `toml:"margin" min:"1ms" max:"1m"`
	Members   []Address     `toml:"member" max:"7"`
}

// Address is where a member listens.
type Address struct {
	Number  int    `toml:"number" min:"1" max:"1000000"`
	Address string `toml:"address" need:"true"`
}

// LoadConfig reads a council's file and checks it whole.
func LoadConfig(path string) (*Config, error) {
	f := &Config{Tick: 100 * time.Millisecond, Lease: 5 * time.Second, Margin: 500 * time.Millisecond}
	if err := strictfile.Load(path, f); err != nil {
		return nil, err
	}
	f.Path = path
	if !filepath.IsAbs(f.Directory) {
		abs, err := filepath.Abs(filepath.Join(filepath.Dir(path), f.Directory))
		if err != nil {
			return nil, err
		}
		f.Directory = abs
	}
	if strings.ContainsAny(f.Name, "# \n") || len(f.Name) > coordination.MaxNameBytes/2 {
		return nil, f.bad("name", fmt.Sprintf("%q", f.Name), fmt.Sprintf("1 to %d bytes without blanks and #", coordination.MaxNameBytes/2))
	}
	if n := len(f.Members); n%2 == 0 {
		return nil, f.bad("member", fmt.Sprintf("%d members", n), "an odd number: one more than an odd number bears no more failures")
	}
	numbers, addresses := map[int]bool{}, map[string]int{}
	for _, m := range f.Members {
		addr, err := netip.ParseAddrPort(m.Address)
		switch {
		case err != nil || addr.Port() == 0:
			return nil, f.bad("member.address", fmt.Sprintf("%q", m.Address), "an IP address and a port")
		case m.Number == 0 || numbers[m.Number]:
			return nil, f.bad("member.number", fmt.Sprintf("%d for %s", m.Number, m.Address), "each member's own, from 1")
		case addresses[addr.String()] != 0:
			return nil, f.bad("member.address", fmt.Sprintf("%s for members %d and %d", addr, addresses[addr.String()], m.Number), "each member its own")
		}
		numbers[m.Number], addresses[addr.String()] = true, m.Number
	}
	if f.Margin >= f.Lease {
		return nil, f.bad("lease", f.Lease.String(), fmt.Sprintf("more than the margin (%v): an owner could never act", f.Margin))
	}
	if least := 2 * coordination.ElectionTicks * f.Tick; f.Lease < least {
		return nil, f.bad("lease", f.Lease.String(), fmt.Sprintf("%v (two elections) at least: else each change of leader ends each tenure", least))
	}
	return f, nil
}

func (f *Config) bad(key, found, wanted string) error {
	return &strictfile.Error{File: f.Path, Key: key, Found: found, Wanted: wanted}
}

// members are the addresses by number.
func (f *Config) members() map[uint64]string {
	all := map[uint64]string{}
	for _, m := range f.Members {
		all[uint64(m.Number)] = m.Address
	}
	return all
}

// Addresses are those of all members.
func (f *Config) Addresses() (all []string) {
	for _, m := range f.Members {
		all = append(all, m.Address)
	}
	return all
}

// first is the council's name with the number of the members that it began with:
// two councils that were given one name by mistake don't take each other's words.
func (f *Config) first() string {
	var b strings.Builder
	for _, m := range f.Members {
		fmt.Fprintf(&b, "%d %s\n", m.Number, m.Address)
	}
	return fmt.Sprintf("%s#%08x", f.Name, uint32(xxhash.Sum64String(b.String())))
}

// timers is the lease in ticks of a member.
func (f *Config) ticks() uint64 { return uint64((f.Lease + f.Tick - 1) / f.Tick) }

// directory is a member's own.
func (f *Config) directory(member uint64) string {
	return filepath.Join(f.Directory, fmt.Sprintf("member-%d", member))
}
