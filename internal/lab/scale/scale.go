// Package scale plays a region's distribution of configuration at the size that is
// coming: a council and relays as real processes, real sidecars under load, and
// thousands of hollow subscribers, which are the sidecar's own control client with
// the request path left out. What is measured is taken down outside of the code
// under test.
//
// The parts:
//
//	topology   who subscribes to what, and at which relays         pure
//	schedule   the faults of a run, drawn by seed                  pure
//	judge      from what was recorded to what is in force when     pure
//	fit        lines over sizes, and how well they predict         pure
//	report     the records that hollow processes write             pure
//	hollow     the program of a process of hollow subscribers
//	process    processes and what they use; machine: its cores
//	control    the council's and the relays' processes
//	load       changes of configuration at a pace
//	run        one run with all of these; sweep: several sizes
package scale

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"otterspring/internal/fleet/configuration"
)

// Region is the name of the council that a run starts.
const Region = "scale"

// Bounds of a run on one machine.
const (
	MaxProcesses   = 300
	MaxMemoryBytes = 12 << 30

	MaxSidecars = 20_000
	MaxReal     = 100
	MaxZones    = 64
	MaxChanges  = 500 // a second
	MaxLength   = time.Hour

	minSettingsBytes = 128
	minZones         = 2 // a sidecar's list names two relays or more

	maxSnapshotsAtOnce = 1024 // as in a relay's file
)

// What a run's processes are expected to take at the most, measured over the sizes
// that the machine bears; a run that would not fit is refused before it starts.
const (
	hollowBytes          = 24 << 20 // a process of hollow subscribers without any
	subscriberBytes      = 64 << 10 // a subscriber without its settings
	settingsTimes        = 2        // of what a subscriber holds, for what is not collected yet
	relayBytes           = 40 << 20 // a relay without subscribers
	relaySubscriberBytes = 48 << 10
	memberBytes          = 192 << 20
	sidecarBytes         = 48 << 20
	rigBytes             = 512 << 20

	members               = 3
	subscribersPerProcess = 1200
	spareDescriptors      = 256 // of a process beside its subscribers' connections
	relayMoves            = 3   // as many times its own subscribers may come to a relay
)

// ErrOptions is a run that can't be played as it was asked for.
var ErrOptions = errors.New("options")

// Options describe a run.
type Options struct {
	Sidecars         int // hollow subscribers
	Real             int // sidecars as processes of their own, under load
	For              time.Duration
	Seed             uint64
	ChangesPerSecond float64
	Services         int
	Zones            int
	CallsServices    int // to how many services each sidecar subscribes
	SettingsBytes    int
	SnapshotsAtOnce  int // that each relay may have under way
	Faults           bool
	Programs         Programs
	// Directory holds the files of runs, each in a folder of its own. It must exist.
	// Where it is one among the system's temporary folders whose name begins with
	// "rig", it is removed should the rig be killed.
	Directory string
	// Progress is told about once a second how the run goes; nil for nobody.
	Progress func(Progress)
}

// Programs are what a run starts: paths with arguments.
type Programs struct {
	Sidecar  []string
	Operator []string // the operators' command
	Self     []string // this program: it is a reaper and a process of hollow subscribers, too
}

// Progress is how a run goes.
type Progress struct {
	Phase   string
	Elapsed time.Duration // of the load
	Changes int           // accepted so far
	Idle    float64       // share of the machine's cores
}

// Limits are what the machine gives.
type Limits struct {
	Descriptors int   // of one process
	Memory      int64 // that is available now
}

// MachineLimits reads those of this machine.
func MachineLimits() (Limits, error) {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return Limits{}, fmt.Errorf("limit of descriptors: %w", err)
	}
	memory, err := availableMemory()
	return Limits{Descriptors: int(min(files.Cur, 1<<30)), Memory: memory}, err
}

// Check returns one line on why a run is not possible on a machine.
func (o *Options) Check(machine Limits) error {
	if err := o.checkBounds(); err != nil {
		return fmt.Errorf("%w: %w", ErrOptions, err)
	}
	if err := o.checkMachine(machine); err != nil {
		return fmt.Errorf("%w: %w", ErrOptions, err)
	}
	return nil
}

func (o *Options) checkBounds() error {
	for _, err := range []error{
		checkRange("sidecars", o.Sidecars, 1, MaxSidecars),
		checkRange("real", o.Real, 0, MaxReal),
		checkRange("for", o.For, time.Second, MaxLength),
		checkRange("changes-per-s", o.ChangesPerSecond, 0, MaxChanges),
		checkRange("services", o.Services, 1, configuration.MaxServices),
		checkRange("zones", o.Zones, minZones, MaxZones),
		checkRange("calls-services", o.CallsServices, 1, o.Services),
		checkRange("snapshots-at-once", o.SnapshotsAtOnce, 1, maxSnapshotsAtOnce),
		checkRange("settings-bytes", o.SettingsBytes, minSettingsBytes, configuration.MaxSettingsBytes),
	} {
		if err != nil {
			return err
		}
	}
	if total := o.Services * o.SettingsBytes; total > configuration.MaxTotalSettingsBytes {
		return fmt.Errorf("-settings-bytes: found %d of each of %d services, %d in all, wanted %d at most", o.SettingsBytes, o.Services, total, configuration.MaxTotalSettingsBytes)
	}
	return nil
}

func (o *Options) checkMachine(machine Limits) error {
	if machine.Descriptors <= spareDescriptors {
		return fmt.Errorf("-sidecars: found %d descriptors of a process (ulimit -n), wanted more than %d", machine.Descriptors, spareDescriptors)
	}
	if need := relayMoves*(o.Sidecars+o.Real)/o.Zones + spareDescriptors; need > machine.Descriptors {
		return fmt.Errorf("-sidecars: found %d, which wants %d descriptors of a relay, wanted %d at most (ulimit -n)", o.Sidecars, need, machine.Descriptors)
	}
	if n := o.processes(machine); n > MaxProcesses {
		return fmt.Errorf("-sidecars: found %d, which wants %d processes, wanted %d at most", o.Sidecars, n, MaxProcesses)
	}
	if need, most := o.memory(machine), min(MaxMemoryBytes, machine.Memory); need > most {
		return fmt.Errorf("-sidecars: found %d, which wants %d MB, wanted %d MB at most", o.Sidecars, need>>20, most>>20)
	}
	return nil
}

// perProcess is how many hollow subscribers share a process.
func (o *Options) perProcess(machine Limits) int {
	return min(subscribersPerProcess, machine.Descriptors-spareDescriptors)
}

func (o *Options) hollowProcesses(machine Limits) int {
	per := o.perProcess(machine)
	return (o.Sidecars + per - 1) / per
}

// processes counts all of a run: with them the rig and its reaper.
func (o *Options) processes(machine Limits) int {
	return members + o.Zones + o.Real + o.hollowProcesses(machine) + 2
}

// memory is what a run is expected to take at the most.
func (o *Options) memory(machine Limits) int64 {
	settings := int64(o.SettingsBytes) * int64(o.CallsServices)
	all := int64(rigBytes) + members*memberBytes + int64(o.Real)*sidecarBytes
	all += int64(o.hollowProcesses(machine))*hollowBytes + int64(o.Sidecars)*(subscriberBytes+settingsTimes*settings)
	return all + int64(o.Zones)*relayBytes + int64(o.Sidecars)*relaySubscriberBytes
}

func checkRange[T int | float64 | time.Duration](flag string, value, least, most T) error {
	if !(value >= least && value <= most) {
		return fmt.Errorf("-%s: found %v, wanted %v to %v", flag, value, least, most)
	}
	return nil
}
