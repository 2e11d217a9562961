package server

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"otterspring/internal/fleet/coordination"
	"otterspring/internal/strictconfig"
)

// Config is the file of a cluster, the same for all members. The operators' pages call
// the cluster a council.
type Config struct {
	Path      string          // of the file; not a setting
	Name      string          `toml:"name" need:"true"`
	Directory string          `toml:"directory" need:"true"`      // absolute; each member has a directory in it
	Tick      time.Duration   `toml:"tick" min:"10ms" max:"1s"`   // 100ms by default
	Lease     time.Duration   `toml:"lease" min:"100ms" max:"5m"` // duration of a lease; 5s by default
	Margin    time.Duration   `toml:"margin" min:"1ms" max:"1m"`  // by which a holder stops early; 500ms by default
	Members   []MemberAddress `toml:"member" max:"7"`
}

// MemberAddress is where a member listens.
type MemberAddress struct {
	Number  int    `toml:"number" min:"1" max:"1000000"`
	Address string `toml:"address" need:"true"` // IP address and port
}

// maxClusterNameBytes leaves room in a name for the number behind it.
const maxClusterNameBytes = coordination.MaxNameBytes / 2

// LoadConfig reads and checks a cluster's file. Its error is a strictconfig.Error with
// the place, what was found and what was expected.
func LoadConfig(path string) (*Config, error) {
	config := &Config{Tick: 100 * time.Millisecond, Lease: 5 * time.Second, Margin: 500 * time.Millisecond}
	if err := strictconfig.Load(path, config); err != nil {
		return nil, err
	}
	config.Path = path
	if !filepath.IsAbs(config.Directory) {
		directory, err := filepath.Abs(filepath.Join(filepath.Dir(path), config.Directory))
		if err != nil {
			return nil, err
		}
		config.Directory = directory
	}
	if strings.ContainsAny(config.Name, "# \n") || len(config.Name) > maxClusterNameBytes {
		return nil, config.invalid("name", fmt.Sprintf("%q", config.Name), fmt.Sprintf("1 to %d bytes without blanks and #", maxClusterNameBytes))
	}
	if err := config.checkMembers(); err != nil {
		return nil, err
	}
	if err := config.checkTimes(); err != nil {
		return nil, err
	}
	return config, nil
}

func (c *Config) checkMembers() error {
	if n := len(c.Members); n%2 == 0 {
		return c.invalid("member", fmt.Sprintf("%d members", n), "an odd number: one more than an odd number tolerates no more failures")
	}
	numbers, addresses := map[int]bool{}, map[netip.AddrPort]int{}
	for _, m := range c.Members {
		address, err := netip.ParseAddrPort(m.Address)
		switch {
		case err != nil || address.Port() == 0:
			return c.invalid("member.address", fmt.Sprintf("%q", m.Address), "an IP address and a port")
		case m.Number == 0 || numbers[m.Number]:
			return c.invalid("member.number", fmt.Sprintf("%d for %s", m.Number, m.Address), "each member's own, from 1")
		case addresses[address] != 0:
			return c.invalid("member.address", fmt.Sprintf("%s for members %d and %d", address, addresses[address], m.Number), "each member its own")
		}
		numbers[m.Number], addresses[address] = true, m.Number
	}
	return nil
}

func (c *Config) checkTimes() error {
	if c.Margin >= c.Lease {
		return c.invalid("lease", c.Lease.String(), fmt.Sprintf("more than the margin (%v): a lease holder could never act", c.Margin))
	}
	if least := 2 * coordination.ElectionTicks * c.Tick; c.Lease < least {
		return c.invalid("lease", c.Lease.String(), fmt.Sprintf("%v (two elections) at least: else each change of leader ends each leadership", least))
	}
	return nil
}

func (c *Config) invalid(key, found, wanted string) error {
	return &strictconfig.Error{File: c.Path, Key: key, Found: found, Wanted: wanted}
}

// Addresses returns those of all members, in the order of the file.
func (c *Config) Addresses() (all []string) {
	for _, m := range c.Members {
		all = append(all, m.Address)
	}
	return all
}

// memberAddresses returns the addresses by member number.
func (c *Config) memberAddresses() map[uint64]string {
	all := map[uint64]string{}
	for _, m := range c.Members {
		all[uint64(m.Number)] = m.Address
	}
	return all
}

func (c *Config) errUnknownMember(number uint64) error {
	return c.invalid("member", fmt.Sprintf("no member %d", number), "the number of one in the file")
}

// bootstrapCluster returns the identity of a new cluster: its name with a number made
// from its first members. Two clusters with one name by mistake reject each other's
// messages.
func (c *Config) bootstrapCluster() string {
	var members strings.Builder
	for _, m := range c.Members {
		fmt.Fprintf(&members, "%d %s\n", m.Number, m.Address)
	}
	return clusterID(c.Name, uint32(xxhash.Sum64String(members.String())))
}

// clusterID returns a cluster's identity, as in west#01234567.
func clusterID(name string, number uint32) string { return fmt.Sprintf("%s#%08x", name, number) }

// clusterName returns the name in a cluster's identity, or in a name alone.
func clusterName(id string) string {
	name, _, _ := strings.Cut(id, "#")
	return name
}

// leaseTicks returns the duration of a lease in ticks of a member, rounded up.
func (c *Config) leaseTicks() uint64 { return uint64((c.Lease + c.Tick - 1) / c.Tick) }

// memberDirectory returns a member's own directory.
func (c *Config) memberDirectory(number uint64) string {
	return filepath.Join(c.Directory, fmt.Sprintf("member-%d", number))
}
