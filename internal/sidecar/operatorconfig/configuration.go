package operatorconfig

import (
	"fmt"
	"net/netip"
	"strconv"

	"otterspring/internal/fleet/configuration"
)

// minRelays is the minimum number of relays. If there were only one relay, a failure of that
// relay would leave the sidecar without configuration changes.
const minRelays = 2

// Configuration is the section on service configuration: the sidecar subscribes to the
// settings of services at the relays of its zone (docs/operate/configuration.md). Changes of
// the section require a restart. After a handover the new process starts with the settings of
// the platform's configuration, regardless of what its predecessor had applied, and requests a
// snapshot.
type Configuration struct {
	// Region is the name of the coordination cluster whose configuration is subscribed to.
	Region string `toml:"region"`
	// Relays are the addresses of the relays, the nearest first.
	Relays []string `toml:"relays" max:"16"`
	// Services are the names of the services whose settings are subscribed to.
	Services []string `toml:"services"`
	// SubscriberName is the name of this subscriber, which must be unique in the region. If
	// empty, the name in the platform's configuration is used.
	SubscriberName string `toml:"name"`
}

// Enabled reports whether any key of the section is set.
func (c *Configuration) Enabled() bool {
	return c.Region != "" || c.SubscriberName != "" || len(c.Relays) > 0 || len(c.Services) > 0
}

// validate checks the section if it is enabled.
func (c *Configuration) validate(report reportFunc) {
	if !c.Enabled() {
		return
	}
	validateName(report, "configuration.region", c.Region)
	if c.SubscriberName != "" {
		validateName(report, "configuration.name", c.SubscriberName)
	}
	c.validateRelays(report)
	c.validateServices(report)
}

func validateName(report reportFunc, key, name string) {
	if configuration.ValidateName(key, name) != nil {
		report(key, fmt.Sprintf("%.80q", name), fmt.Sprintf("1 to %d printable bytes without blanks", configuration.MaxNameBytes))
	}
}

func (c *Configuration) validateRelays(report reportFunc) {
	const key = "configuration.relays"
	if len(c.Relays) < minRelays {
		report(key, fmt.Sprintf("%d addresses", len(c.Relays)), fmt.Sprintf("%d or more", minRelays))
	}
	seen := map[netip.AddrPort]bool{}
	for i, text := range c.Relays {
		entryKey := fmt.Sprintf("%s[%d]", key, i+1)
		address, ok := parseAddress(text)
		if !ok {
			report(entryKey, strconv.Quote(text), "an IP address and a port")
		} else if seen[address] {
			report(entryKey, strconv.Quote(text)+" twice", "each address once")
		}
		seen[address] = true
	}
}

func (c *Configuration) validateServices(report reportFunc) {
	const key = "configuration.services"
	if n := len(c.Services); n == 0 || n > configuration.MaxServices {
		report(key, fmt.Sprintf("%d names", n), fmt.Sprintf("1 to %d", configuration.MaxServices))
	}
	seen := map[string]bool{}
	for i, service := range c.Services {
		entryKey := fmt.Sprintf("%s[%d]", key, i+1)
		validateName(report, entryKey, service)
		if seen[service] {
			report(entryKey, strconv.Quote(service)+" twice", "each name once")
		}
		seen[service] = true
	}
}
