package scale

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is the kind of a fault.
type FaultKind string

// The kinds of faults of a run.
const (
	RelayKill       FaultKind = "relay-kill"   // SIGKILL, then a restart
	RelaySuspend    FaultKind = "relay-stop"   // SIGSTOP, then SIGCONT
	RelayDisconnect FaultKind = "relay-cut"    // no connection to any member of the cluster
	RelayTerminate  FaultKind = "relay-term"   // SIGTERM, then a restart
	LeaderKill      FaultKind = "leader-kill"  // SIGKILL of the cluster's leader, then a restart
	RackRestart     FaultKind = "rack-restart" // restart of the subscribers of a rack, within restartSpread
	ZoneRestart     FaultKind = "zone-restart" // restart of the subscribers of a zone, within restartSpread
	RoutineRestart  FaultKind = "day-restart"  // restart of one subscriber, as on an ordinary day
)

// faultKinds are the kinds of fault that each run has exactly once, in addition to routine
// restarts.
var faultKinds = []FaultKind{RelayKill, RelaySuspend, RelayDisconnect, RelayTerminate, LeaderKill, RackRestart, ZoneRestart}

// Fault is one fault of a run.
type Fault struct {
	Kind        FaultKind
	At          time.Duration // from the start of the load
	Duration    time.Duration // from the injection to the start of the recovery
	Relay       int           // number of the relay; only for faults of a relay
	Zone        int           // number of the zone; only for RackRestart and ZoneRestart
	Subscribers []int         // numbers of the subscribers that restart
}

// String returns the fault as text for the output of a run.
func (f *Fault) String() string {
	target := ""
	switch f.Kind {
	case RelayKill, RelaySuspend, RelayDisconnect, RelayTerminate:
		target = fmt.Sprintf(" %s for %.1fs", relayName(f.Relay), f.Duration.Seconds())
	case LeaderKill:
		target = fmt.Sprintf(" for %.1fs", f.Duration.Seconds())
	case RackRestart, ZoneRestart:
		target = fmt.Sprintf(" %s: %d", zoneName(f.Zone), len(f.Subscribers))
	}
	return fmt.Sprintf("%.1fs %s%s", f.At.Seconds(), f.Kind, target)
}

func zoneName(zone int) string   { return fmt.Sprintf("zone-%02d", zone+1) }
func relayName(relay int) string { return fmt.Sprintf("relay-%02d", relay+1) }

// Rates and sizes of the target fleet, and times of faults. Shares are fractions of the duration
// of a run.
const (
	targetSidecars      = 13_000
	restartsPerDay      = 2_100
	restartFactor       = 20
	rackSubscribers     = 40
	restartSpread       = time.Second
	suspensionTime      = 10 * time.Second
	earliestFaultShare  = 0.05
	latestFaultShare    = 0.75
	latestRecoveryShare = 0.95
	minFaultTime        = 300 * time.Millisecond
	minDowntimeShare    = 0.05
	maxDowntimeShare    = 0.12
	maxDowntime         = 8 * time.Second
	maxSuspensionShare  = 1.0 / 6
	secondsPerDay       = 24 * 60 * 60
	relayFaultGap       = 0.02 // share of the run between two faults of one relay
)

// GenerateFaults generates the random faults of a run: routine restarts, and one fault of each kind
// in faultKinds. The faults of faultKinds have a random order and random times that are spread over
// the run. All faults end before the load ends. The same seed gives the same faults.
func GenerateFaults(o *Options, t *Topology) []Fault {
	rng := rand.New(rand.NewPCG(o.Seed, 0x6661756c74))
	relays := rng.Perm(o.Zones)
	busyUntil := make([]time.Duration, o.Zones)
	slot := (latestFaultShare - earliestFaultShare) / float64(len(faultKinds))
	var all []Fault
	for i, k := range rng.Perm(len(faultKinds)) {
		f := Fault{Kind: faultKinds[k], At: o.fractionOfDuration(earliestFaultShare + slot*(float64(i)+rng.Float64()))}
		f.Duration = o.faultDuration(rng, f.Kind)
		switch f.Kind {
		case RelayKill, RelaySuspend, RelayDisconnect, RelayTerminate:
			f.Relay = relays[k%len(relays)]
			f.At = max(f.At, busyUntil[f.Relay])
			f.Duration = max(minFaultTime, min(f.Duration, o.fractionOfDuration(latestRecoveryShare)-f.At))
			busyUntil[f.Relay] = f.At + f.Duration + o.fractionOfDuration(relayFaultGap)
		case RackRestart, ZoneRestart:
			f.Zone = rng.IntN(o.Zones)
			f.Subscribers = t.InZone(f.Zone)
			if f.Kind == RackRestart {
				f.Subscribers = f.Subscribers[:min(rackSubscribers, len(f.Subscribers))]
			}
		}
		all = append(all, f)
	}
	all = append(all, o.generateRoutineRestarts(rng)...)
	slices.SortStableFunc(all, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return all
}

// fractionOfDuration returns a fraction of the duration of the run.
func (o *Options) fractionOfDuration(of float64) time.Duration {
	return time.Duration(of * float64(o.Duration))
}

func (o *Options) faultDuration(rng *rand.Rand, kind FaultKind) time.Duration {
	switch kind {
	case RelaySuspend:
		return min(suspensionTime, o.fractionOfDuration(maxSuspensionShare))
	case RelayKill, RelayDisconnect, RelayTerminate, LeaderKill:
		return min(maxDowntime, o.fractionOfDuration(minDowntimeShare+(maxDowntimeShare-minDowntimeShare)*rng.Float64()))
	}
	return 0
}

// generateRoutineRestarts generates routine restarts at restartFactor times the rate of the target
// fleet.
func (o *Options) generateRoutineRestarts(rng *rand.Rand) []Fault {
	perSecond := float64(restartsPerDay) * restartFactor / secondsPerDay * float64(o.Sidecars) / targetSidecars
	var all []Fault
	for at := 0.0; ; {
		at += rng.ExpFloat64() / perSecond
		if at >= latestRecoveryShare*o.Duration.Seconds() {
			return all
		}
		f := Fault{Kind: RoutineRestart, At: time.Duration(at * float64(time.Second)), Subscribers: []int{rng.IntN(o.Sidecars)}}
		all = append(all, f)
	}
}
