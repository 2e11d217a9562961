// Package scale measures the distribution of a region's configuration at the planned size of
// the region. A run has a coordination cluster and relays as real processes, real sidecars
// under load, and thousands of simulated subscribers. A simulated subscriber is the sidecar's
// configuration client without the request path. The measurements are made outside of the code
// under test.
//
// The parts:
//
//	topology   the services and relays of each subscriber          pure
//	schedule   the faults of a run, generated from a seed          pure
//	judge      convergence times from the records of a run         pure
//	fit        lines fitted over sizes, and their predictions      pure
//	report     the messages between the rig and simulators         pure
//	simulator  the program of a process of simulated subscribers
//	simulators the control of these processes by the rig
//	process    processes and their resource usage
//	machine    the resource usage and the limits of the machine
//	control    the processes of the cluster and of the relays
//	load       configuration changes at a constant rate
//	run        one run with all of these parts
//	sweep      runs at several sizes
package scale

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"otterspring/internal/fleet/configuration"
)

// Region is the name of the coordination cluster that a run starts.
const Region = "scale"

// Limits of a run on one machine.
const (
	MaxProcesses   = 300
	MaxMemoryBytes = 12 << 30

	MaxSidecars         = 20_000
	MaxRealSidecars     = 100
	MaxZones            = 64
	MaxChangesPerSecond = 500
	MaxDuration         = time.Hour

	minSettingsBytes = 128
	minZones         = 2 // the relay list of a sidecar has two relays or more

	maxSnapshotsLimit = 1024 // limit in the settings file of a relay
)

// Upper bounds of the resources of a run's processes. A run that would exceed the resources of
// the machine is rejected before it starts.
const (
	simulatorBytes       = 24 << 20 // memory of a simulator without subscribers
	subscriberBytes      = 64 << 10 // memory of a simulated subscriber without its settings
	settingsMemoryFactor = 2        // memory of a subscriber's settings, including garbage, as a multiple of their size
	relayBytes           = 40 << 20 // memory of a relay without subscribers
	relaySubscriberBytes = 48 << 10
	memberBytes          = 192 << 20
	sidecarBytes         = 48 << 20
	rigBytes             = 512 << 20

	memberCount           = 3
	subscribersPerProcess = 1200
	reservedDescriptors   = 256 // descriptors of each process in addition to the connections of its subscribers
	relayFailoverFactor   = 3   // subscribers of a relay after failovers, as a multiple of the subscribers of its zone
)

// ErrOptions is returned for options that are not valid or that exceed the resources of the
// machine.
var ErrOptions = errors.New("options")

// Options are the options of a run.
type Options struct {
	Sidecars           int // simulated subscribers
	RealSidecars       int // real sidecars, each a separate process under load
	Duration           time.Duration
	Seed               uint64
	ChangesPerSecond   float64
	Services           int
	Zones              int
	ServicesPerSidecar int // services that each sidecar subscribes to
	SettingsBytes      int
	MaxSnapshots       int // maximum number of snapshots in flight at each relay
	Faults             bool
	Programs           Programs
	// Directory must exist. Each run keeps its files in a subdirectory of Directory. The reaper
	// removes Directory when the rig is killed, if Directory is in the system's temporary directory
	// and its name starts with "rig".
	Directory string
	// Progress is called about once per second during the run, if it is not nil.
	Progress func(Progress)
}

// Programs are the programs that a run starts: paths with arguments.
type Programs struct {
	Sidecar  []string
	Operator []string // the command-line program of the operators
	Self     []string // this program, which also runs as the reaper and as the simulators
}

// Progress is the state of a run.
type Progress struct {
	Phase   string
	Elapsed time.Duration // time since the start of the load; before the load, time since the start of the run
	Changes int           // changes accepted so far
	Idle    float64       // idle fraction of the cores of the machine
}

// Limits are the resource limits of the machine.
type Limits struct {
	Descriptors int   // maximum number of descriptors of one process
	Memory      int64 // available memory, in bytes
}

// MachineLimits returns the limits of this machine.
func MachineLimits() (Limits, error) {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return Limits{}, fmt.Errorf("limit of descriptors: %w", err)
	}
	memory, err := availableMemory()
	return Limits{Descriptors: int(min(files.Cur, 1<<30)), Memory: memory}, err
}

// Validate checks the options against the limits of this package and the limits of the machine. Its
// error is one line and wraps ErrOptions.
func (o *Options) Validate(machine Limits) error {
	if err := o.validateRanges(); err != nil {
		return fmt.Errorf("%w: %w", ErrOptions, err)
	}
	if err := o.validateResources(machine); err != nil {
		return fmt.Errorf("%w: %w", ErrOptions, err)
	}
	return nil
}

func (o *Options) validateRanges() error {
	for _, err := range []error{
		checkRange("sidecars", o.Sidecars, 1, MaxSidecars),
		checkRange("real", o.RealSidecars, 0, MaxRealSidecars),
		checkRange("for", o.Duration, time.Second, MaxDuration),
		checkRange("changes-per-s", o.ChangesPerSecond, 0, MaxChangesPerSecond),
		checkRange("services", o.Services, 1, configuration.MaxServices),
		checkRange("zones", o.Zones, minZones, MaxZones),
		checkRange("calls-services", o.ServicesPerSidecar, 1, o.Services),
		checkRange("snapshots-at-once", o.MaxSnapshots, 1, maxSnapshotsLimit),
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

func (o *Options) validateResources(machine Limits) error {
	if machine.Descriptors <= reservedDescriptors {
		return fmt.Errorf("-sidecars: found %d descriptors of a process (ulimit -n), wanted more than %d", machine.Descriptors, reservedDescriptors)
	}
	if need := relayFailoverFactor*(o.Sidecars+o.RealSidecars)/o.Zones + reservedDescriptors; need > machine.Descriptors {
		return fmt.Errorf("-sidecars: found %d, which needs %d descriptors of a relay, wanted %d at most (ulimit -n)", o.Sidecars, need, machine.Descriptors)
	}
	if n := o.processes(machine); n > MaxProcesses {
		return fmt.Errorf("-sidecars: found %d, which needs %d processes, wanted %d at most", o.Sidecars, n, MaxProcesses)
	}
	if need, limit := o.memory(machine), min(MaxMemoryBytes, machine.Memory); need > limit {
		return fmt.Errorf("-sidecars: found %d, which needs %d MB, wanted %d MB at most", o.Sidecars, need>>20, limit>>20)
	}
	return nil
}

// subscribersPerProcess returns how many simulated subscribers share a process.
func (o *Options) subscribersPerProcess(machine Limits) int {
	return min(subscribersPerProcess, machine.Descriptors-reservedDescriptors)
}

func (o *Options) simulatorProcesses(machine Limits) int {
	perProcess := o.subscribersPerProcess(machine)
	return (o.Sidecars + perProcess - 1) / perProcess
}

// processes returns the number of a run's processes, including the rig and its reaper.
func (o *Options) processes(machine Limits) int {
	return memberCount + o.Zones + o.RealSidecars + o.simulatorProcesses(machine) + 2
}

// memory returns the upper bound of a run's memory, in bytes.
func (o *Options) memory(machine Limits) int64 {
	settings := int64(o.SettingsBytes) * int64(o.ServicesPerSidecar)
	all := int64(rigBytes) + memberCount*memberBytes + int64(o.RealSidecars)*sidecarBytes
	all += int64(o.simulatorProcesses(machine))*simulatorBytes + int64(o.Sidecars)*(subscriberBytes+settingsMemoryFactor*settings)
	return all + int64(o.Zones)*relayBytes + int64(o.Sidecars)*relaySubscriberBytes
}

func checkRange[T int | float64 | time.Duration](flag string, value, low, high T) error {
	if value >= low && value <= high {
		return nil
	}
	return fmt.Errorf("-%s: found %v, wanted %v to %v", flag, value, low, high)
}
