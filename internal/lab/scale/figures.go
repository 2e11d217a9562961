package scale

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Limits that the figures of a run must not exceed.
const (
	MaxConvergence           = 4 * time.Second // time from the acceptance of a change to its application
	MaxRecovery              = 4 * time.Second // from the end of a fault of all relays until a missed change is applied
	MaxSidecarBytesPerSecond = 14_000          // traffic of one subscriber
	MaxSidecarCores          = 0.017           // processor usage of one subscriber
)

// Figures are the results of a run.
type Figures struct {
	Seed                                           uint64
	Sidecars, RealSidecars, Processes              int
	MemoryBytes                                    int64 // peak of the total memory of all processes
	Changes                                        int
	ConvergenceP50, ConvergenceP99, ConvergenceMax time.Duration
	RestartP50, RestartP99                         time.Duration // time from a start until all services are applied
	Restarts                                       int
	// Unreachable is the number of subscribers that missed a change while all of their relays had a
	// fault. RecoveryMax is the longest time from the end of such a fault until the missed change
	// was applied.
	Unreachable                               int
	RecoveryMax                               time.Duration
	Stale, Regressions, RestartRegressions    int     // see Evaluation
	LostChanges                               int     // accepted changes that the cluster lacks at the end
	DuplicateVersions                         int     // assigned versions that belong to no accepted change
	UnsubscribedReports                       int     // reports that match no subscription
	OutdatedAccepted                          int     // accepted changes with an outdated IfVersion
	BytesPerSidecar                           float64 // mean traffic of a subscriber, per second
	PeakBytesPerSecond                        float64 // highest traffic of a subscriber within a second
	CoresPerSidecar                           float64
	MemoryPerSidecar                          float64
	RelayCoresPer1000, ClusterCores           float64
	PeakSnapshots                             int // highest number of snapshots in flight at any relay
	MaxSnapshots                              int
	AcceptMax                                 time.Duration // time from the first attempt of a change to its acceptance
	Conflicts                                 int           // rejected changes with an outdated IfVersion
	LostRequests, DuplicateRequests, Requests int
	MinIdle                                   float64       // lowest idle fraction of the cores within a second
	MaxPacerDelay                             time.Duration // longest delay of a change after its scheduled time
	Usage                                     map[Role]RoleUsage
	Failures                                  []error
	VoidReasons                               []string
}

// RoleUsage is the resource usage of all processes of a role during the load.
type RoleUsage struct {
	BytesPerSecond float64
	Cores          float64
	Memory         float64 // mean over the load, in bytes
}

// violations has one line for each broken rule.
type violations []string

func (v *violations) require(ok bool, format string, args ...any) {
	if !ok {
		*v = append(*v, fmt.Sprintf(format, args...))
	}
}

func (v *violations) requireZero(name string, found int) {
	v.require(found == 0, "%s: found %d, wanted 0", name, found)
}

// InvariantViolations returns one line for each broken rule that does not depend on timing.
// These rules apply to a void run, too.
func (f *Figures) InvariantViolations() []string {
	var broken violations
	broken.requireZero("back", f.Regressions)
	broken.requireZero("lost_changes", f.LostChanges)
	broken.requireZero("applied_twice", f.DuplicateVersions)
	broken.requireZero("older_accepted", f.OutdatedAccepted)
	broken.requireZero("twice", f.DuplicateRequests)
	broken.requireZero("unasked", f.UnsubscribedReports)
	broken.require(f.PeakSnapshots <= f.MaxSnapshots, "snapshots_at_once: found %d, wanted %d at most", f.PeakSnapshots, f.MaxSnapshots)
	return broken
}

// BrokenRules returns one line for each broken rule.
func (f *Figures) BrokenRules() []string {
	broken := violations(f.InvariantViolations())
	broken.require(f.ConvergenceMax <= MaxConvergence, "in_force_max_s: found %.3f, wanted %v at most", f.ConvergenceMax.Seconds(), MaxConvergence.Seconds())
	broken.require(f.RecoveryMax <= MaxRecovery, "back_max_s: found %.3f, wanted %v at most", f.RecoveryMax.Seconds(), MaxRecovery.Seconds())
	broken.requireZero("stale", f.Stale)
	broken.requireZero("lost", f.LostRequests)
	broken.require(f.BytesPerSidecar <= MaxSidecarBytesPerSecond, "bytes_per_sidecar_s: found %.0f, wanted %d at most", f.BytesPerSidecar, MaxSidecarBytesPerSecond)
	broken.require(f.CoresPerSidecar <= MaxSidecarCores, "cpu_share: found %.4f, wanted %v at most", f.CoresPerSidecar, MaxSidecarCores)
	broken.require(f.MemoryBytes <= MaxMemoryBytes, "memory_mb: found %d, wanted %d at most", f.MemoryBytes>>20, int64(MaxMemoryBytes)>>20)
	broken.require(f.Processes <= MaxProcesses, "processes: found %d, wanted %d at most", f.Processes, MaxProcesses)
	for _, err := range f.Failures {
		broken.require(false, "%s", strings.ReplaceAll(err.Error(), "\n", "; "))
	}
	return broken
}

// SummaryLine returns the last line of a run's output.
func (f *Figures) SummaryLine() string {
	void := 0
	if len(f.VoidReasons) > 0 {
		void = 1
	}
	return fmt.Sprintf("sidecars=%d real=%d processes=%d memory_mb=%d changes=%d in_force_p50_s=%.3f in_force_p99_s=%.3f in_force_max_s=%.3f unreachable=%d back_max_s=%.3f "+
		"stale=%d back=%d lost_changes=%d applied_twice=%d bytes_per_sidecar_s=%.0f worst_bytes_s=%.0f cpu_share=%.5f kb_per_sidecar=%.0f relay_cores_per_1000=%.4f "+
		"snapshots_at_once=%d lost=%d twice=%d council_cores=%.3f accept_max_s=%.3f void=%d",
		f.Sidecars, f.RealSidecars, f.Processes, f.MemoryBytes>>20, f.Changes, f.ConvergenceP50.Seconds(), f.ConvergenceP99.Seconds(), f.ConvergenceMax.Seconds(), f.Unreachable, f.RecoveryMax.Seconds(),
		f.Stale, f.Regressions, f.LostChanges, f.DuplicateVersions, f.BytesPerSidecar, f.PeakBytesPerSecond, f.CoresPerSidecar, f.MemoryPerSidecar/1024, f.RelayCoresPer1000,
		f.PeakSnapshots, f.LostRequests, f.DuplicateRequests, f.ClusterCores, f.AcceptMax.Seconds(), void)
}

// DetailLines returns the other lines of a run's output.
func (f *Figures) DetailLines() []string {
	all := []string{
		fmt.Sprintf("restarted=%d whole_p50_s=%.3f whole_p99_s=%.3f back_over_restart=%d conflicts=%d requests=%d idle_least=%.2f pacer_late_ms=%.0f",
			f.Restarts, f.RestartP50.Seconds(), f.RestartP99.Seconds(), f.RestartRegressions, f.Conflicts, f.Requests, f.MinIdle, float64(f.MaxPacerDelay)/float64(time.Millisecond)),
	}
	for _, role := range roles {
		usage := f.Usage[role]
		all = append(all, fmt.Sprintf("%s: %.0f bytes/s, %.3f cores, %.0f MB", role, usage.BytesPerSecond, usage.Cores, usage.Memory/(1<<20)))
	}
	for _, reason := range f.VoidReasons {
		all = append(all, "void: "+reason)
	}
	for _, rule := range f.BrokenRules() {
		all = append(all, "broken: "+rule)
	}
	return all
}

// WorstFigures merges the figures of several runs. It takes the worst value of each measurement and
// the sum of each count.
func WorstFigures(runs []*Figures) *Figures {
	worst := *runs[0]
	for _, f := range runs[1:] {
		worst.Processes, worst.MemoryBytes = max(worst.Processes, f.Processes), max(worst.MemoryBytes, f.MemoryBytes)
		worst.Changes += f.Changes
		worst.ConvergenceP50, worst.ConvergenceP99 = max(worst.ConvergenceP50, f.ConvergenceP50), max(worst.ConvergenceP99, f.ConvergenceP99)
		worst.ConvergenceMax, worst.RecoveryMax = max(worst.ConvergenceMax, f.ConvergenceMax), max(worst.RecoveryMax, f.RecoveryMax)
		worst.Unreachable += f.Unreachable
		worst.Stale, worst.Regressions, worst.LostChanges, worst.DuplicateVersions = worst.Stale+f.Stale, worst.Regressions+f.Regressions, worst.LostChanges+f.LostChanges, worst.DuplicateVersions+f.DuplicateVersions
		worst.BytesPerSidecar, worst.PeakBytesPerSecond = max(worst.BytesPerSidecar, f.BytesPerSidecar), max(worst.PeakBytesPerSecond, f.PeakBytesPerSecond)
		worst.CoresPerSidecar = max(worst.CoresPerSidecar, f.CoresPerSidecar)
		worst.MemoryPerSidecar = max(worst.MemoryPerSidecar, f.MemoryPerSidecar)
		worst.RelayCoresPer1000, worst.ClusterCores = max(worst.RelayCoresPer1000, f.RelayCoresPer1000), max(worst.ClusterCores, f.ClusterCores)
		worst.PeakSnapshots = max(worst.PeakSnapshots, f.PeakSnapshots)
		worst.LostRequests, worst.DuplicateRequests = worst.LostRequests+f.LostRequests, worst.DuplicateRequests+f.DuplicateRequests
		worst.AcceptMax = max(worst.AcceptMax, f.AcceptMax)
		worst.VoidReasons = append(slices.Clip(worst.VoidReasons), f.VoidReasons...)
	}
	return &worst
}
