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

// Config is the configuration file of a cluster. All members use the same file. The
// operators' documentation calls the cluster a council.
type Config struct {
	Path      string          // path of the file; not a setting
	Name      string          `toml:"name" need:"true"`
	Directory string          `toml:"directory" need:"true"`      // absolute after LoadConfig; each member has a subdirectory
	Tick      time.Duration   `toml:"tick" min:"10ms" max:"1s"`   // interval of a member's clock; 100ms by default
	Lease     time.Duration   `toml:"lease" min:"100ms" max:"5m"` // duration of a lease; 5s by default
	Margin    time.Duration   `toml:"margin" min:"1ms" max:"1m"`  // a holder stops this long before its lease expires; 500ms by default
	Members   []MemberAddress `toml:"member" max:"7"`
}

// MemberAddress is a member's number with the address that it listens on.
type MemberAddress struct {
	Number  int    `toml:"number" min:"1" max:"1000000"`
	Address string `toml:"address" need:"true"` // IP address and port
}

// maxClusterNameBytes bounds the length of a cluster's name. The cluster's ID consists of the
// name and a suffix, and is then within coordination.MaxNameBytes.
const maxClusterNameBytes = coordination.MaxNameBytes / 2

// LoadConfig reads and validates a cluster's configuration file. The error for an invalid
// file is a strictconfig.Error with the position, the value found and the expected value.
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
		return nil, config.invalid("name", fmt.Sprintf("%q", config.Name), fmt.Sprintf("1 to %d bytes without spaces, line breaks and #", maxClusterNameBytes))
	}
	if err := config.checkMembers(); err != nil {
		return nil, err
	}
	if err := config.checkDurations(); err != nil {
		return nil, err
	}
	return config, nil
}

func (c *Config) checkMembers() error {
	if n := len(c.Members); n%2 == 0 {
		return c.invalid("member", fmt.Sprintf("%d members", n), "an odd number: an even number tolerates no more failures than one member fewer")
	}
	numbers, addresses := map[int]bool{}, map[netip.AddrPort]int{}
	for _, m := range c.Members {
		address, err := netip.ParseAddrPort(m.Address)
		switch {
		case err != nil || address.Port() == 0:
			return c.invalid("member.address", fmt.Sprintf("%q", m.Address), "an IP address and a port")
		case m.Number == 0 || numbers[m.Number]:
			return c.invalid("member.number", fmt.Sprintf("%d for %s", m.Number, m.Address), "a different number for each member, from 1")
		case addresses[address] != 0:
			return c.invalid("member.address", fmt.Sprintf("%s for members %d and %d", address, addresses[address], m.Number), "a different address for each member")
		}
		numbers[m.Number], addresses[address] = true, m.Number
	}
	return nil
}

func (c *Config) checkDurations() error {
	if c.Margin >= c.Lease {
		return c.invalid("lease", c.Lease.String(), fmt.Sprintf("more than the margin (%v): a lease holder could never act", c.Margin))
	}
	if minLease := 2 * coordination.ElectionTicks * c.Tick; c.Lease < minLease {
		return c.invalid("lease", c.Lease.String(), fmt.Sprintf("at least %v (two election timeouts): otherwise holders could not renew their leases during a change of leader", minLease))
	}
	return nil
}

func (c *Config) invalid(key, found, wanted string) error {
	return &strictconfig.Error{File: c.Path, Key: key, Found: found, Wanted: wanted}
}

// Addresses returns the addresses of all members, in the order of the file.
func (c *Config) Addresses() (addresses []string) {
	for _, m := range c.Members {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

// memberAddresses returns the addresses of all members by number.
func (c *Config) memberAddresses() map[uint64]string {
	addresses := map[uint64]string{}
	for _, m := range c.Members {
		addresses[uint64(m.Number)] = m.Address
	}
	return addresses
}

func (c *Config) unknownMemberError(number uint64) error {
	return c.invalid("member", fmt.Sprintf("no member %d", number), "the number of a member in the file")
}

// bootstrapClusterID returns the ID of a new cluster. The ID consists of the cluster's name
// and a hash of its initial members. Two clusters that were given the same name by mistake
// therefore have different IDs and reject each other's messages.
func (c *Config) bootstrapClusterID() string {
	var members strings.Builder
	for _, m := range c.Members {
		fmt.Fprintf(&members, "%d %s\n", m.Number, m.Address)
	}
	return clusterID(c.Name, uint32(xxhash.Sum64String(members.String())))
}

// clusterID returns the ID of a cluster, such as west#01234567.
func clusterID(name string, suffix uint32) string { return fmt.Sprintf("%s#%08x", name, suffix) }

// clusterName returns the name in a cluster's ID. If id has no suffix, the whole id is the
// name.
func clusterName(id string) string {
	name, _, _ := strings.Cut(id, "#")
	return name
}

// leaseTicks returns the duration of a lease in ticks, rounded up.
func (c *Config) leaseTicks() uint64 { return uint64((c.Lease + c.Tick - 1) / c.Tick) }

// memberDirectory returns the path of the directory that contains a member's file.
func (c *Config) memberDirectory(number uint64) string {
	return filepath.Join(c.Directory, fmt.Sprintf("member-%d", number))
}
