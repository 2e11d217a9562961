package operatorconfig

import (
	"fmt"
	"net/netip"
	"strconv"

	"otterspring/internal/fleet/configuration"
)

// minRelays is how many relays are wanted: with one, its end would cut the sidecar off
// from changes.
const minRelays = 2

// Configuration follows the settings of services at the relays of this zone
// (docs/operate/configuration.md). It is read at the start; a reload leaves it as it
// is. A process that takes over from another begins with the settings of its own file,
// whatever the other had in force, and asks for a snapshot.
type Configuration struct {
	// Region is the name of the council whose configuration is followed.
	Region string `toml:"region"`
	// Relays are addresses, the nearest first. Empty: off.
	Relays []string `toml:"relays" max:"16"`
	// Services are the names of the resources that are followed.
	Services []string `toml:"services"`
	// SubscriberName is that of the subscriber, its own within the region; empty takes the name
	// in the platform's configuration.
	SubscriberName string `toml:"name"`
}

// EnabledSections tells whether anything of the section was given.
func (c *Configuration) Enabled() bool {
	return c.Region != "" || c.SubscriberName != "" || len(c.Relays) > 0 || len(c.Services) > 0
}

// validate says what is wrong with the section where it is on.
func (c *Configuration) validate(say func(key, found, wanted string)) {
	if !c.Enabled() {
		return
	}
	c.checkName(say, "configuration.region", c.Region)
	if c.SubscriberName != "" {
		c.checkName(say, "configuration.name", c.SubscriberName)
	}
	c.checkRelays(say)
	c.checkServices(say)
}

func (c *Configuration) checkName(say func(key, found, wanted string), key, name string) {
	if configuration.ValidateName(key, name) != nil {
		say(key, fmt.Sprintf("%.80q", name), fmt.Sprintf("1 to %d printable bytes without blanks", configuration.MaxNameBytes))
	}
}

func (c *Configuration) checkRelays(say func(key, found, wanted string)) {
	const key = "configuration.relays"
	if len(c.Relays) < minRelays {
		say(key, fmt.Sprintf("%d addresses", len(c.Relays)), fmt.Sprintf("%d or more", minRelays))
	}
	seen := map[netip.AddrPort]bool{}
	for i, text := range c.Relays {
		at := fmt.Sprintf("%s[%d]", key, i+1)
		address, ok := parseAddress(text)
		if !ok {
			say(at, strconv.Quote(text), "an IP address and a port")
		} else if seen[address] {
			say(at, strconv.Quote(text)+" twice", "each address once")
		}
		seen[address] = true
	}
}

func (c *Configuration) checkServices(say func(key, found, wanted string)) {
	const key = "configuration.services"
	if n := len(c.Services); n == 0 || n > configuration.MaxServices {
		say(key, fmt.Sprintf("%d names", n), fmt.Sprintf("1 to %d", configuration.MaxServices))
	}
	seen := map[string]bool{}
	for i, service := range c.Services {
		at := fmt.Sprintf("%s[%d]", key, i+1)
		c.checkName(say, at, service)
		if seen[service] {
			say(at, strconv.Quote(service)+" twice", "each name once")
		}
		seen[service] = true
	}
}
