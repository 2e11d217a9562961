package scale

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"otterspring/internal/fleet/configuration"
)

// furtherRelays are how many relays a sidecar's list has behind that of its zone.
const furtherRelays = 2

// Topology is who subscribes to what, and where.
type Topology struct {
	Services    []string
	Subscribers []Subscriber // the hollow ones, then the real ones
	Hollow      int
	Zones       int
}

// Subscriber is one sidecar, hollow or real.
type Subscriber struct {
	Name     string
	Zone     int
	Services []int // of the topology's, rising
	Relays   []int // the nearest first
}

// NewTopology draws the subscriptions and relay lists of a run. The same seed gives
// the same topology.
func NewTopology(o *Options) *Topology {
	rng := rand.New(rand.NewPCG(o.Seed, 0x746f706f))
	t := &Topology{Hollow: o.Sidecars, Zones: o.Zones}
	for i := range o.Services {
		t.Services = append(t.Services, fmt.Sprintf("service-%03d", i+1))
	}
	for i := range o.Sidecars {
		t.Subscribers = append(t.Subscribers, o.drawSubscriber(rng, fmt.Sprintf("hollow-%05d", i+1), i))
	}
	for i := range o.Real {
		t.Subscribers = append(t.Subscribers, o.drawSubscriber(rng, fmt.Sprintf("n%d", i+1), i))
	}
	return t
}

func (o *Options) drawSubscriber(rng *rand.Rand, name string, number int) Subscriber {
	zone := number % o.Zones
	s := Subscriber{Name: name, Zone: zone, Services: rng.Perm(o.Services)[:o.CallsServices], Relays: []int{zone}}
	slices.Sort(s.Services)
	for _, relay := range rng.Perm(o.Zones) {
		if relay != zone && len(s.Relays) <= furtherRelays {
			s.Relays = append(s.Relays, relay)
		}
	}
	return s
}

// Subscription names the services of a subscriber.
func (t *Topology) Subscription(s *Subscriber) configuration.Subscription {
	names := make(configuration.Subscription, len(s.Services))
	for i, service := range s.Services {
		names[i] = t.Services[service]
	}
	return names
}

// InZone are the hollow subscribers of a zone, by number.
func (t *Topology) InZone(zone int) []int {
	var all []int
	for i := range t.Hollow {
		if t.Subscribers[i].Zone == zone {
			all = append(all, i)
		}
	}
	return all
}

// Sizes of what stands in a service's settings.
const (
	tenantBytes    = 44 // of an entry whose name is not padded
	maxTenantName  = 60
	settingsDigits = 2
)

// settingsClasses are the classes of the stand-in call servers.
var settingsClasses = []string{"roster", "join", "start-rec"}

// SettingsText is a service's settings of about that many bytes: the shares of its
// tenants, as many as fit, and what answers of a class are worth. edition makes each
// change's text another.
func SettingsText(service int, edition uint64, size int) json.RawMessage {
	rng := rand.New(rand.NewPCG(uint64(service), edition))
	class := settingsClasses[edition%uint64(len(settingsClasses))]
	tail := fmt.Sprintf(`],"classes":[{"name":%q,"worth":%.*f}]}`, class, settingsDigits, 1+9*rng.Float64())
	head := `{"tenants":[`
	room := size - len(head) - len(tail)
	count := min(max(1, room/tenantBytes), configuration.MaxTenants)
	var b strings.Builder
	b.WriteString(head)
	for i := range count {
		if i > 0 {
			b.WriteByte(',')
		}
		left := size - len(tail) - b.Len()
		b.WriteString(tenantText(rng, service, i, left/(count-i)))
	}
	b.WriteString(tail)
	return json.RawMessage(b.String())
}

// tenantText is an entry of about that many bytes.
func tenantText(rng *rand.Rand, service, number, size int) string {
	name := fmt.Sprintf("t%03d-%03d", service, number)
	quota := fmt.Sprintf("%.*f", settingsDigits, 100*rng.Float64())
	rest := len(`{"name":"","quota-per-s":},`) + len(quota)
	for len(name) < min(size-rest, maxTenantName) {
		name += string("abcdefghijklmnopqrstuvwxyz"[rng.IntN(26)])
	}
	return fmt.Sprintf(`{"name":%q,"quota-per-s":%s}`, name, quota)
}
