package scale

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"otterspring/internal/fleet/configuration"
)

// remoteRelayCount is the number of relays of other zones in the relay list of a sidecar, after
// the relay of its own zone.
const remoteRelayCount = 2

// Topology has the subscribers of a run, with their services and relays.
type Topology struct {
	Services    []string
	Subscribers []Subscriber // the simulated subscribers, then the real ones
	Simulated   int
	Zones       int
}

// Subscriber is one sidecar, simulated or real.
type Subscriber struct {
	Name     string
	Zone     int
	Services []int // sorted indexes into Topology.Services
	Relays   []int // numbers of the relays; the relay of its own zone is the first
}

// NewTopology generates the random subscriptions and relay lists of a run. The same seed gives the
// same topology.
func NewTopology(o *Options) *Topology {
	rng := rand.New(rand.NewPCG(o.Seed, 0x746f706f))
	t := &Topology{Simulated: o.Sidecars, Zones: o.Zones}
	for i := range o.Services {
		t.Services = append(t.Services, fmt.Sprintf("service-%03d", i+1))
	}
	for i := range o.Sidecars {
		t.Subscribers = append(t.Subscribers, o.newSubscriber(rng, fmt.Sprintf("hollow-%05d", i+1), i))
	}
	for i := range o.RealSidecars {
		t.Subscribers = append(t.Subscribers, o.newSubscriber(rng, fmt.Sprintf("n%d", i+1), i))
	}
	return t
}

func (o *Options) newSubscriber(rng *rand.Rand, name string, number int) Subscriber {
	zone := number % o.Zones
	s := Subscriber{Name: name, Zone: zone, Services: rng.Perm(o.Services)[:o.ServicesPerSidecar], Relays: []int{zone}}
	slices.Sort(s.Services)
	for _, relay := range rng.Perm(o.Zones) {
		if relay != zone && len(s.Relays) <= remoteRelayCount {
			s.Relays = append(s.Relays, relay)
		}
	}
	return s
}

// Subscription returns the services of a subscriber.
func (t *Topology) Subscription(s *Subscriber) configuration.Subscription {
	names := make(configuration.Subscription, len(s.Services))
	for i, service := range s.Services {
		names[i] = t.Services[service]
	}
	return names
}

// InZone returns the indexes of the simulated subscribers of a zone.
func (t *Topology) InZone(zone int) []int {
	var all []int
	for i := range t.Simulated {
		if t.Subscribers[i].Zone == zone {
			all = append(all, i)
		}
	}
	return all
}

// Sizes of the parts of a service's settings.
const (
	tenantBytes    = 44 // size of the JSON of a tenant whose name is not padded
	maxTenantName  = 60
	settingsDigits = 2
)

// settingsClasses are the request classes of the fake upstreams.
var settingsClasses = []string{"roster", "join", "start-rec"}

// SettingsText returns a service's settings of about size bytes. The settings have as many tenants
// with quotas as fit, and one class with its priority weight. Different values of sequence give
// different settings.
func SettingsText(service int, sequence uint64, size int) json.RawMessage {
	rng := rand.New(rand.NewPCG(uint64(service), sequence))
	class := settingsClasses[sequence%uint64(len(settingsClasses))]
	tail := fmt.Sprintf(`],"classes":[{"name":%q,"worth":%.*f}]}`, class, settingsDigits, 1+9*rng.Float64())
	head := `{"tenants":[`
	available := size - len(head) - len(tail)
	count := min(max(1, available/tenantBytes), configuration.MaxTenants)
	var text strings.Builder
	text.WriteString(head)
	for i := range count {
		if i > 0 {
			text.WriteByte(',')
		}
		left := size - len(tail) - text.Len()
		text.WriteString(tenantText(rng, service, i, left/(count-i)))
	}
	text.WriteString(tail)
	return json.RawMessage(text.String())
}

// tenantText returns the JSON of a tenant in about size bytes.
func tenantText(rng *rand.Rand, service, number, size int) string {
	name := fmt.Sprintf("t%03d-%03d", service, number)
	quota := fmt.Sprintf("%.*f", settingsDigits, 100*rng.Float64())
	fixed := len(`{"name":"","quota-per-s":},`) + len(quota)
	for len(name) < min(size-fixed, maxTenantName) {
		name += string("abcdefghijklmnopqrstuvwxyz"[rng.IntN(26)])
	}
	return fmt.Sprintf(`{"name":%q,"quota-per-s":%s}`, name, quota)
}
