package scale

import (
	"fmt"
	"strings"
	"time"
)

// Bounds that a run must keep.
const (
	MaxInForce        = 4 * time.Second
	MaxBack           = 4 * time.Second
	MaxBytesPerSecond = 14_000
	MaxProcessorShare = 0.017
)

// Figures are what a run came to.
type Figures struct {
	Seed                                     uint64
	Sidecars, Real, Processes                int
	MemoryBytes                              int64 // of all processes at a time, the most
	Changes                                  int
	InForceP50, InForceP99, InForceMax       time.Duration
	RestartP50, RestartP99                   time.Duration // until a restarted subscriber had all
	Restarts                                 int
	Unreachable                              int
	BackMax                                  time.Duration
	Stale, Back, BackOver, Lost, Twice       int
	Unasked                                  int // applications of services that were not subscribed to
	OlderAccepted                            int // changes for an older version that were accepted
	BytesPerSidecar, WorstBytes              float64
	ProcessorShare                           float64
	BytesOfMemoryPerSidecar                  float64
	RelayCoresPer1000, CouncilCores          float64
	SnapshotsAtOnce                          int // under way at a relay, the most
	SnapshotsAllowed                         int
	AcceptMax                                time.Duration
	Conflicts                                int
	RequestsLost, RequestsTwice, RequestsAll int
	IdleLeast                                float64
	PacerLate                                time.Duration
	Used                                     map[Role]RoleUsage
	Failures                                 []error
	Void                                     []string
}

// RoleUsage is what all processes of a role took during the load.
type RoleUsage struct {
	BytesPerSecond float64
	Cores          float64
	Memory         float64 // mean over the load, in bytes
}

// rules collects those that were broken, a line each.
type rules []string

func (r *rules) check(kept bool, format string, args ...any) {
	if !kept {
		*r = append(*r, fmt.Sprintf(format, args...))
	}
}

func (r *rules) zero(name string, found int) {
	r.check(found == 0, "%s: found %d, wanted 0", name, found)
}

// Violations are the broken rules that hold at any pace, a line each: also a run that
// is void breaks them.
func (f *Figures) Violations() []string {
	var broken rules
	broken.zero("back", f.Back)
	broken.zero("lost_changes", f.Lost)
	broken.zero("applied_twice", f.Twice)
	broken.zero("older_accepted", f.OlderAccepted)
	broken.zero("twice", f.RequestsTwice)
	broken.zero("unasked", f.Unasked)
	broken.check(f.SnapshotsAtOnce <= f.SnapshotsAllowed, "snapshots_at_once: found %d, wanted %d at most", f.SnapshotsAtOnce, f.SnapshotsAllowed)
	return broken
}

// Broken are all rules that a run broke, a line each.
func (f *Figures) Broken() []string {
	broken := rules(f.Violations())
	broken.check(f.InForceMax <= MaxInForce, "in_force_max_s: found %.3f, wanted %v at most", f.InForceMax.Seconds(), MaxInForce.Seconds())
	broken.check(f.BackMax <= MaxBack, "back_max_s: found %.3f, wanted %v at most", f.BackMax.Seconds(), MaxBack.Seconds())
	broken.zero("stale", f.Stale)
	broken.zero("lost", f.RequestsLost)
	broken.check(f.BytesPerSidecar <= MaxBytesPerSecond, "bytes_per_sidecar_s: found %.0f, wanted %d at most", f.BytesPerSidecar, MaxBytesPerSecond)
	broken.check(f.ProcessorShare <= MaxProcessorShare, "cpu_share: found %.4f, wanted %v at most", f.ProcessorShare, MaxProcessorShare)
	broken.check(f.MemoryBytes <= MaxMemoryBytes, "memory_mb: found %d, wanted %d at most", f.MemoryBytes>>20, int64(MaxMemoryBytes)>>20)
	broken.check(f.Processes <= MaxProcesses, "processes: found %d, wanted %d at most", f.Processes, MaxProcesses)
	for _, err := range f.Failures {
		broken.check(false, "%s", strings.ReplaceAll(err.Error(), "\n", "; "))
	}
	return broken
}

// Line is the last line of a run.
func (f *Figures) Line() string {
	void := 0
	if len(f.Void) > 0 {
		void = 1
	}
	return fmt.Sprintf("sidecars=%d real=%d processes=%d memory_mb=%d changes=%d in_force_p50_s=%.3f in_force_p99_s=%.3f in_force_max_s=%.3f unreachable=%d back_max_s=%.3f "+
		"stale=%d back=%d lost_changes=%d applied_twice=%d bytes_per_sidecar_s=%.0f worst_bytes_s=%.0f cpu_share=%.5f kb_per_sidecar=%.0f relay_cores_per_1000=%.4f "+
		"snapshots_at_once=%d lost=%d twice=%d council_cores=%.3f accept_max_s=%.3f void=%d",
		f.Sidecars, f.Real, f.Processes, f.MemoryBytes>>20, f.Changes, f.InForceP50.Seconds(), f.InForceP99.Seconds(), f.InForceMax.Seconds(), f.Unreachable, f.BackMax.Seconds(),
		f.Stale, f.Back, f.Lost, f.Twice, f.BytesPerSidecar, f.WorstBytes, f.ProcessorShare, f.BytesOfMemoryPerSidecar/1024, f.RelayCoresPer1000,
		f.SnapshotsAtOnce, f.RequestsLost, f.RequestsTwice, f.CouncilCores, f.AcceptMax.Seconds(), void)
}

// Detail is what else a run came to, a line each.
func (f *Figures) Detail() []string {
	all := []string{
		fmt.Sprintf("restarted=%d whole_p50_s=%.3f whole_p99_s=%.3f back_over_restart=%d conflicts=%d requests=%d idle_least=%.2f pacer_late_ms=%.0f",
			f.Restarts, f.RestartP50.Seconds(), f.RestartP99.Seconds(), f.BackOver, f.Conflicts, f.RequestsAll, f.IdleLeast, float64(f.PacerLate)/float64(time.Millisecond)),
	}
	for _, role := range roles {
		used := f.Used[role]
		all = append(all, fmt.Sprintf("%s: %.0f bytes/s, %.3f cores, %.0f MB", role, used.BytesPerSecond, used.Cores, used.Memory/(1<<20)))
	}
	for _, why := range f.Void {
		all = append(all, "void: "+why)
	}
	for _, rule := range f.Broken() {
		all = append(all, "broken: "+rule)
	}
	return all
}

// Worst joins the figures of several runs: the worst of each, and the sum of counts.
func Worst(runs []*Figures) *Figures {
	worst := *runs[0]
	for _, f := range runs[1:] {
		worst.Processes, worst.MemoryBytes = max(worst.Processes, f.Processes), max(worst.MemoryBytes, f.MemoryBytes)
		worst.Changes += f.Changes
		worst.InForceP50, worst.InForceP99 = max(worst.InForceP50, f.InForceP50), max(worst.InForceP99, f.InForceP99)
		worst.InForceMax, worst.BackMax = max(worst.InForceMax, f.InForceMax), max(worst.BackMax, f.BackMax)
		worst.Unreachable += f.Unreachable
		worst.Stale, worst.Back, worst.Lost, worst.Twice = worst.Stale+f.Stale, worst.Back+f.Back, worst.Lost+f.Lost, worst.Twice+f.Twice
		worst.BytesPerSidecar, worst.WorstBytes = max(worst.BytesPerSidecar, f.BytesPerSidecar), max(worst.WorstBytes, f.WorstBytes)
		worst.ProcessorShare = max(worst.ProcessorShare, f.ProcessorShare)
		worst.BytesOfMemoryPerSidecar = max(worst.BytesOfMemoryPerSidecar, f.BytesOfMemoryPerSidecar)
		worst.RelayCoresPer1000, worst.CouncilCores = max(worst.RelayCoresPer1000, f.RelayCoresPer1000), max(worst.CouncilCores, f.CouncilCores)
		worst.SnapshotsAtOnce = max(worst.SnapshotsAtOnce, f.SnapshotsAtOnce)
		worst.RequestsLost, worst.RequestsTwice = worst.RequestsLost+f.RequestsLost, worst.RequestsTwice+f.RequestsTwice
		worst.AcceptMax = max(worst.AcceptMax, f.AcceptMax)
		worst.Void = append(worst.Void[:len(worst.Void):len(worst.Void)], f.Void...)
	}
	return &worst
}
