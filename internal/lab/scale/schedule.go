package scale

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is what fails.
type FaultKind string

// The faults of a run.
const (
	RelayKill   FaultKind = "relay-kill"   // killed, and started again
	RelayStop   FaultKind = "relay-stop"   // stopped, and woken
	RelayCut    FaultKind = "relay-cut"    // cut off from all members of the council
	RelayTerm   FaultKind = "relay-term"   // told to end, and started again
	LeaderKill  FaultKind = "leader-kill"  // the council's, and started again
	RackRestart FaultKind = "rack-restart" // its subscribers, within a second
	ZoneRestart FaultKind = "zone-restart"
	DayRestart  FaultKind = "day-restart" // one of the ordinary restarts of a day
)

// faultKinds are those that each run has once, beside the day's restarts.
var faultKinds = []FaultKind{RelayKill, RelayStop, RelayCut, RelayTerm, LeaderKill, RackRestart, ZoneRestart}

// Fault is one fault of a run.
type Fault struct {
	Kind        FaultKind
	At          time.Duration // from the start of the load
	For         time.Duration // until what failed is started, woken or whole again
	Relay       int           // of faults of a relay
	Zone        int           // of RackRestart and ZoneRestart
	Subscribers []int         // that are restarted, by number
}

// String is the fault in words, for the line that a run prints.
func (f *Fault) String() string {
	place := ""
	switch f.Kind {
	case RelayKill, RelayStop, RelayCut, RelayTerm:
		place = fmt.Sprintf(" %s for %.1fs", relayName(f.Relay), f.For.Seconds())
	case LeaderKill:
		place = fmt.Sprintf(" for %.1fs", f.For.Seconds())
	case RackRestart, ZoneRestart:
		place = fmt.Sprintf(" %s: %d", zoneName(f.Zone), len(f.Subscribers))
	}
	return fmt.Sprintf("%.1fs %s%s", f.At.Seconds(), f.Kind, place)
}

func zoneName(zone int) string   { return fmt.Sprintf("zone-%02d", zone+1) }
func relayName(relay int) string { return fmt.Sprintf("relay-%02d", relay+1) }

// Rates and sizes of the target, and how much faster a run has a day's restarts.
const (
	targetSidecars   = 13_000
	restartsADay     = 2_100
	restartsTimes    = 20
	rackSubscribers  = 40
	restartWithin    = time.Second
	stopFor          = 10 * time.Second
	firstFault       = 0.05 // share of the run
	lastFault        = 0.75
	latestEnd        = 0.95
	shortestFault    = 300 * time.Millisecond
	leastDown        = 0.05 // share of the run that what was killed or cut stays so
	mostDown         = 0.12
	longestDown      = 8 * time.Second
	stopShareOfRun   = 1.0 / 6
	secondsOfDay     = 24 * 60 * 60
	relayFaultsApart = 0.02 // share of the run between two faults of one relay
)

// DrawFaults draws a run's faults: each kind once, in drawn order and at drawn
// moments, spread over the run, and the day's ordinary restarts. All of them end
// before the load does.
func DrawFaults(o *Options, t *Topology) []Fault {
	rng := rand.New(rand.NewPCG(o.Seed, 0x6661756c74))
	relays := rng.Perm(o.Zones)
	busyUntil := make([]time.Duration, o.Zones)
	slot := (lastFault - firstFault) / float64(len(faultKinds))
	var all []Fault
	for i, k := range rng.Perm(len(faultKinds)) {
		f := Fault{Kind: faultKinds[k], At: o.share(firstFault + slot*(float64(i)+rng.Float64()))}
		f.For = o.drawFor(rng, f.Kind)
		switch f.Kind {
		case RelayKill, RelayStop, RelayCut, RelayTerm:
			f.Relay = relays[k%len(relays)]
			f.At = max(f.At, busyUntil[f.Relay])
			f.For = max(shortestFault, min(f.For, o.share(latestEnd)-f.At))
			busyUntil[f.Relay] = f.At + f.For + o.share(relayFaultsApart)
		case RackRestart, ZoneRestart:
			f.Zone = rng.IntN(o.Zones)
			f.Subscribers = t.InZone(f.Zone)
			if f.Kind == RackRestart {
				f.Subscribers = f.Subscribers[:min(rackSubscribers, len(f.Subscribers))]
			}
		}
		all = append(all, f)
	}
	all = append(all, o.drawDayRestarts(rng)...)
	slices.SortStableFunc(all, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return all
}

// share is a share of the run.
func (o *Options) share(of float64) time.Duration { return time.Duration(of * float64(o.For)) }

func (o *Options) drawFor(rng *rand.Rand, kind FaultKind) time.Duration {
	switch kind {
	case RelayStop:
		return min(stopFor, o.share(stopShareOfRun))
	case RelayKill, RelayCut, RelayTerm, LeaderKill:
		return min(longestDown, o.share(leastDown+(mostDown-leastDown)*rng.Float64()))
	}
	return 0
}

// drawDayRestarts draws ordinary restarts at the target's rate, times restartsTimes.
func (o *Options) drawDayRestarts(rng *rand.Rand) []Fault {
	perSecond := float64(restartsADay) * restartsTimes / secondsOfDay * float64(o.Sidecars) / targetSidecars
	var all []Fault
	for at := 0.0; ; {
		at += rng.ExpFloat64() / perSecond
		if at >= latestEnd*o.For.Seconds() {
			return all
		}
		f := Fault{Kind: DayRestart, At: time.Duration(at * float64(time.Second)), Subscribers: []int{rng.IntN(o.Sidecars)}}
		all = append(all, f)
	}
}
