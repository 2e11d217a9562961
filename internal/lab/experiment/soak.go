package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Limits of a generated soak experiment.
const (
	soakMinDuration    = 15 * time.Second
	soakMaxDuration    = 30 * time.Second
	soakShortDuration  = 9 * time.Second
	soakEarliestFault  = 0.08 // share of the duration; no fault begins earlier, except a drain that accompanies a SIGHUP
	soakLatestFaultEnd = 0.72 // share of the duration; faults end earlier, to show which instances recover
	soakRunsPerBurst   = 4    // on average, one experiment in soakRunsPerBurst has a connection burst
	soakBurstSockets   = 160  // setting "sockets" of the sidecars in an experiment with a connection burst
	soakMaxShortFaults = 4
	soakMaxFaults      = 8
	soakMinFaults      = 3
	soakMaxInstances   = 12
	soakMaxServers     = 12
	// soakDrainDuration is the duration of a drain that accompanies a SIGHUP. The server exits after
	// 70% of it.
	soakDrainDuration = 5 * time.Second
)

// soakFault is a kind of fault in a soak experiment. The function in the field "keys" draws one
// fault. The first result of this function is the text of all keys except "kind", "at" and "for".
// The second result is the duration of the fault, or 0 if the kind has no duration.
type soakFault struct {
	kind string
	keys func(d *soakGenerator) (keys string, duration time.Duration)
}

// The faults of a soak experiment. soakSignals end, restart or signal sidecars. soakDisturbances
// disturb the environment of the sidecars at the same time. soakConnectionBurst opens many
// connections to a sidecar.
var (
	soakSignals = []soakFault{
		{"term-kill", oneInstance}, {"hup-series", oneInstance}, {"hup-term", oneInstance}, {"term-twice", oneInstance},
		{"term-in-start", oneInstance}, {"handover-term", oneInstance}, {"handover-kill", oneInstance},
		{"kill", oneInstance}, {"handover", oneInstance},
	}
	soakDisturbances = []soakFault{
		{"hang", someServers}, {"drain", someServers}, {"crash", someServers}, {"break", func(d *soakGenerator) (string, time.Duration) {
			return d.servers(), 0
		}},
		{"reset-answer", chanceOnServers}, {"reset-after", chanceOnServers}, {"refuse", chanceOnServers}, {"spoilt", chanceOnServers},
		{"list-silent", durationOnly}, {"list-down", durationOnly},
		{"rude", func(d *soakGenerator) (string, time.Duration) {
			return fmt.Sprintf("instances = %q\ncount = %d\n", d.instance(), 2+d.rng.IntN(10)), d.faultDuration()
		}},
	}
	soakConnectionBurst = soakFault{"crowd", func(d *soakGenerator) (string, time.Duration) {
		return fmt.Sprintf("instances = %q\ncount = %d\n", d.instance(), min(maxMisbehavingClients/d.instanceCount, soakBurstSockets+d.rng.IntN(soakBurstSockets))), d.faultDuration()
	}}
)

func oneInstance(d *soakGenerator) (string, time.Duration) {
	return fmt.Sprintf("instances = %q\n", d.instance()), 0
}

func someServers(d *soakGenerator) (string, time.Duration) { return d.servers(), d.faultDuration() }

func chanceOnServers(d *soakGenerator) (string, time.Duration) {
	return d.servers() + fmt.Sprintf("chance = %.2f\n", 0.02+0.08*d.rng.Float64()), d.faultDuration()
}

func durationOnly(d *soakGenerator) (string, time.Duration) { return "", d.faultDuration() }

// soakGenerator generates the text of one soak experiment.
type soakGenerator struct {
	rng                        *rand.Rand
	duration                   time.Duration
	instanceCount, serverCount int
	text                       strings.Builder
}

func (d *soakGenerator) instance() string { return fmt.Sprintf("n%d", 1+d.rng.IntN(d.instanceCount)) }

// servers returns the key "servers" with a random number of up to a third of the servers.
func (d *soakGenerator) servers() string {
	return fmt.Sprintf("servers = \"%d\"\n", 1+d.rng.IntN(max(1, d.serverCount/3)))
}

// faultDuration draws a duration from 5% to 20% of the experiment's duration.
func (d *soakGenerator) faultDuration() time.Duration {
	return time.Duration((0.05 + 0.15*d.rng.Float64()) * float64(d.duration)).Round(time.Millisecond)
}

// intBetween draws a number from least to most, both included.
func (d *soakGenerator) intBetween(least, most int) int { return least + d.rng.IntN(most-least+1) }

func (d *soakGenerator) write(format string, args ...any) { fmt.Fprintf(&d.text, format, args...) }

// GenerateSoak returns the text of an experiment file with restarts, series of signals and
// connection bursts. The same seed gives the same text. short selects the short form.
func GenerateSoak(seed uint64, short bool) string {
	d := &soakGenerator{rng: rand.New(rand.NewPCG(seed, 0x736f616b))}
	d.duration = soakMinDuration + time.Duration(d.rng.Int64N(int64(soakMaxDuration-soakMinDuration))).Round(100*time.Millisecond)
	faults := d.intBetween(soakMinFaults, soakMaxFaults)
	if short {
		d.duration, faults = soakShortDuration, min(faults, soakMaxShortFaults)
	}
	d.instanceCount, d.serverCount = d.intBetween(2, soakMaxInstances), d.intBetween(3, soakMaxServers)
	burst := d.rng.IntN(soakRunsPerBurst) == 0
	d.write("name = \"soak-%d\"\nfor = %q\n", seed, d.duration)
	d.world(burst)
	d.load()
	d.faults(faults, burst)
	return d.text.String()
}

// world writes the numbers of instances and servers, and draws the settings of servers and
// discovery and the protocols.
func (d *soakGenerator) world(burst bool) {
	d.write("[world]\ninstances = %d\nservers = %d\npod = %d\n", d.instanceCount, d.serverCount, d.intBetween(2, 5))
	d.write("[world.server]\nidle = \"%dms\"\nwindow = \"%dms\"\n", d.intBetween(2000, 5000), d.intBetween(400, 4000))
	d.write("[world.discovery]\npushed = %t\nlate = \"%dms\"\n", d.rng.IntN(2) == 0, d.intBetween(50, 1000))
	if burst {
		d.write("[world.sidecar]\nsockets = %d\n", soakBurstSockets)
	}
	switch d.rng.IntN(4) {
	case 0: // both protocols on both sides
		d.write("[world.coap]\nclients = 0.5\nservers = 0.5\necho = true\ndrop = 0.02\n")
	case 1: // CoAP alone
		d.write("[world.coap]\nclients = 1.0\nservers = 1.0\necho = true\n")
	default: // HTTP
	}
}

// load draws the rate of requests, and draws an effect and a deadline for each class.
func (d *soakGenerator) load() {
	d.write("[load]\ntimes = %.2f\novertime = \"500ms\"\nkept = \"%dms\"\nimpatient = %.2f\n",
		0.3+0.6*d.rng.Float64(), d.intBetween(500, 4000), 0.1*float64(d.rng.IntN(3)))
	effects := []string{"repeat", "keyed", "once"}
	for i, class := range DefaultClasses() {
		deadline := d.intBetween(300, 3000)
		if i > 0 {
			d.rng.Shuffle(len(effects), func(i, j int) { effects[i], effects[j] = effects[j], effects[i] })
		}
		d.write("[[load.class]]\nname = %q\neffect = %q\nshare = %g\naim = \"%dms\"\ndeadline = \"%dms\"\nwork = %q\nworth = %g\n",
			class.Name, effects[0], class.Share, min(deadline, 400), deadline, class.MeanWork, class.PriorityWeight)
	}
}

// faults draws n faults and writes them in order of time. At least about half of the faults are
// from soakSignals. A drain that accompanies a SIGHUP replaces another disturbance.
func (d *soakGenerator) faults(n int, burst bool) {
	type drawn struct {
		at   time.Duration
		text string
	}
	var all []drawn
	drains := 0 // number of drains that accompany a SIGHUP; each replaces another disturbance
	for i := 0; i+drains < n; i++ {
		from := soakDisturbances
		if i < (n+1)/2 {
			from = soakSignals
		}
		fault := from[d.rng.IntN(len(from))]
		if burst && i+drains == n-1 {
			fault = soakConnectionBurst
		}
		keys, duration := fault.keys(d)
		first, last := soakEarliestFault*float64(d.duration), soakLatestFaultEnd*float64(d.duration)-float64(duration)
		at := time.Duration(first + d.rng.Float64()*(last-first)).Round(time.Millisecond)
		text := fmt.Sprintf("[[fault]]\nkind = %q\nat = %q\n%s", fault.kind, at, keys)
		if duration > 0 {
			text += fmt.Sprintf("for = %q\n", duration)
		}
		all = append(all, drawn{at, text})
		if strings.HasPrefix(fault.kind, "hup-") && d.rng.IntN(2) == 0 {
			// The list of the current discovery service contains the drained server. The list of
			// the discovery service in the new configuration may lack this server.
			before := max(0, at-time.Duration(d.intBetween(300, 1600))*time.Millisecond)
			end := min(before+soakDrainDuration, time.Duration(soakLatestFaultEnd*float64(d.duration)))
			drain := fmt.Sprintf("[[fault]]\nkind = \"drain\"\nat = %q\nservers = \"1\"\nfor = %q\n", before, end-before)
			all = append(all, drawn{before, drain})
			drains++
		}
	}
	slices.SortStableFunc(all, func(a, b drawn) int { return int(a.at - b.at) })
	for _, f := range all {
		d.write("%s", f.text)
	}
}
