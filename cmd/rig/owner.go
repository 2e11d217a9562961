package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"
)

// ownerExperiment is the storm file of `rig owner`. It has hosts with a coordination cluster, and
// clients. Operators start operations on all hosts, two of them at the same time. A lease holder is
// suspended between the check of its lease and the effect of its command. Further faults are
// generated from the seed.
const ownerExperiment = `name = "owner"
about = "One owner at a time: orders for all hosts while processes of the council and of the hosts fail."
for = %q
hold = ["overlaps <= 0", "rolled_twice <= 0", "left_out <= 0", "orders_done >= 1", "fleet_up >= 1"]
[world]
instances = %d
hosts = %d
servers = 9
[world.supervisor]
mode = "term"
at_once = 1
end_within = "3s"
[world.council]
members = %d
lease = "2s"
list = true
[load]
rate = 150
[nemesis]
kinds = ["stop", "stop-at", "kill-at", "sigkill", "host-down", "cut-off", "clock", "starve"]
faults = %d
least = "1s"
most = "6s"
calm = "70%%"
[[fault]]
kind = "stop-at"
at = "1s"
for = "8s"
processes = "all supervisors"
point = "owner-acts"
until = "followed"
[[fault]]
kind = "order"
at = "2s"
processes = "f1 f2"
order = "everywhere"
[[fault]]
kind = "sigkill"
at = "22%%"
processes = "owner"
[[fault]]
kind = "sigkill"
at = "35%%"
processes = "owner"
[[fault]]
kind = "stop-at"
at = "12%%"
for = "7s"
processes = "lister"
point = "list-tells"
until = "followed"
[[fault]]
kind = "release"
at = "10%%"
for = "80%%"
servers = "half"
[[fault]]
kind = "order"
at = "55%%"
processes = "f3"
order = "everywhere"
`

// newOwnerRunner returns the runner of `rig owner`: it runs ownerExperiment like `rig nemesis`.
func newOwnerRunner(f *flag.FlagSet) runner {
	o := &nemesisFlags{}
	members, hosts, instances, faults := 5, 6, 60, 10
	f.IntVar(&members, "members", members, "members of the coordination cluster: 1, 3, 5 or 7")
	f.IntVar(&hosts, "hosts", hosts, "hosts, each with a supervisor, 3 to 50")
	f.IntVar(&instances, "instances", instances, "sidecars, from the number of hosts to 300")
	f.IntVar(&faults, "faults", faults, "faults generated from the seed, 0 to 60")
	duration := f.Duration("for", time.Minute, "duration of the load")
	seeds := f.String("seeds", "1", "a seed, or a range like 1..10")
	f.IntVar(&o.jobs, "jobs", 1, "concurrent runs, 1 to 16")
	f.BoolVar(&o.race, "race", false, "build the programs with the race detector")
	f.StringVar(&o.sourceDir, "tree", ".", "root folder of the sources that the programs are built from")
	f.StringVar(&o.keepDir, "keep", "", "folder for histories; empty for none")
	return func(ctx context.Context, args []string, out io.Writer) error {
		if len(args) > 0 {
			return fmt.Errorf("%w: found %q, wanted no argument after the flags", errUsage, args[0])
		}
		for _, err := range []error{checkRange("members", members, 1, 7), checkRange("hosts", hosts, 3, 50), checkRange("instances", instances, hosts, 300), checkRange("faults", faults, 0, 60), checkRange("jobs", o.jobs, 1, 16)} {
			if err != nil {
				return err
			}
		}
		var err error
		if o.seeds, err = parseSeeds(*seeds); err != nil {
			return err
		}
		dir, cleanup, err := makeRunDir()
		if err != nil {
			return err
		}
		defer cleanup()
		path := filepath.Join(dir, "owner.toml")
		if err := os.WriteFile(path, fmt.Appendf(nil, ownerExperiment, duration.String(), instances, hosts, members, faults), 0o600); err != nil {
			return err
		}
		o.files, o.extraSummary = []string{path}, (*nemesisTotals).ownerSummary
		return o.run(ctx, out)
	}
}

// ownerSummary returns the last line of `rig owner`.
func (t *nemesisTotals) ownerSummary() string {
	return fmt.Sprintf("runs=%d handovers=%d lists=%d owners_twice=%d overlaps=%d late_tried=%d late_taken=%d gap_p50_s=%.2f gap_p99_s=%.2f gaps=%d roll_most_at_once=%d orders_done=%d rolled_twice=%d left_out=%d list_back=%d drains_late=%d list_known_p50_s=%.3f list_last_p99_s=%.3f lost=%d twice=%d questions=%d linearizable=%s void=%d",
		t.runs, t.handovers, t.listHandovers, t.ownershipViolations, t.overlaps, t.staleRefused, t.staleExecuted, quantile(t.ownerGaps, 0.5), quantile(t.ownerGaps, 0.99), len(t.ownerGaps), t.maxRestarting, t.completedOperations, t.startedTwice, t.leftOut,
		t.regressions, t.violations["late_sends"], quantile(t.listDelays, 0.5), quantile(t.listLastDelays, 0.99),
		t.violations["lost"]+t.violations["late"]+t.violations["forged"]+t.violations["after"], t.violations["twice"]+t.violations["untrue"], t.checkedOperations, t.linearizable(), t.void)
}

// quantile returns the q-quantile of durations in seconds, or 0 if there are no durations.
func quantile(durations []time.Duration, q float64) float64 {
	if len(durations) == 0 {
		return 0
	}
	durations = slices.Sorted(slices.Values(durations))
	return durations[min(len(durations)-1, int(q*float64(len(durations))))].Seconds()
}
