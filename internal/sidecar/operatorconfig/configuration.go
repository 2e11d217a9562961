package operatorconfig

import (
	"fmt"
	"net/netip"
	"strconv"

	"otterspring/internal/fleet/configuration"
)

// minRelays is how many relays are wanted: with one, the sidecar would get no changes
// once that has failed.
const minRelays = 2

// Configuration subscribes to the settings of services at the relays of this zone
// (docs/operate/configuration.md). It is read at the start; a reload does not change
// it. After a handover the new process begins with the settings of its platform
// configuration, whatever its predecessor had applied, and requests a snapshot.
type Configuration struct {
	// Region names the coordination cluster whose configuration is subscribed to.
	Region string `toml:"region"`
	// Relays are addresses, the nearest first. Empty: off.
	Relays []string `toml:"relays" max:"16"`
	// Services are the names of the resources that are subscribed to.
	Services []string `toml:"services"`
	// SubscriberName is unique in the region; empty takes the name in the platform's
	// configuration.
	SubscriberName string `toml:"name"`
}

// Enabled reports whether anything of the section was given.
func (c *Configuration) Enabled() bool {
	return c.Region != "" || c.SubscriberName != "" || len(c.Relays) > 0 || len(c.Services) > 0
}

// validate checks the section where it is enabled.
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
