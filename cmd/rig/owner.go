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

// ownerStorm is the world of `rig owner`: hosts with a council, clients, orders for
// all hosts, two of them at once, and an owner that stops between its look and its
// effect. The rest is drawn.
const ownerStorm = `name = "owner"
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

// setOwner is `rig owner`.
func setOwner(f *flag.FlagSet) runner {
	o := &nemesisFlags{}
	members, hosts, instances, faults := 5, 6, 60, 10
	f.IntVar(&members, "members", members, "of the council: 1, 3, 5 or 7")
	f.IntVar(&hosts, "hosts", hosts, "supervisors, 3 to 50")
	f.IntVar(&instances, "instances", instances, "sidecars, hosts to 300")
	f.IntVar(&faults, "faults", faults, "that are drawn, 0 to 60")
	length := f.Duration("for", time.Minute, "how long requests come")
	seeds := f.String("seeds", "1", "a seed, or a range like 1..10")
	f.IntVar(&o.jobs, "jobs", 1, "runs at a time, 1 to 16")
	f.BoolVar(&o.race, "race", false, "build the programs with the race detector")
	f.StringVar(&o.tree, "tree", ".", "the working tree that the programs are built from")
	f.StringVar(&o.keep, "keep", "", "a folder for histories; empty for none")
	return func(ctx context.Context, args []string, out io.Writer) error {
		if len(args) > 0 {
			return fmt.Errorf("%w: found %q, wanted nothing behind the flags", errUsage, args[0])
		}
		for _, err := range []error{within("members", members, 1, 7), within("hosts", hosts, 3, 50), within("instances", instances, hosts, 300), within("faults", faults, 0, 60), within("jobs", o.jobs, 1, 16)} {
			if err != nil {
				return err
			}
		}
		var err error
		if o.seeds, err = seedRange(*seeds); err != nil {
			return err
		}
		dir, clean, err := scratch()
		if err != nil {
			return err
		}
		defer clean()
		path := filepath.Join(dir, "owner.toml")
		if err := os.WriteFile(path, fmt.Appendf(nil, ownerStorm, length.String(), instances, hosts, members, faults), 0o600); err != nil {
			return err
		}
		o.files, o.last = []string{path}, (*nemesisTotals).ownerLine
		return o.run(ctx, out)
	}
}

// ownerLine is the last line of `rig owner`.
func (t *nemesisTotals) ownerLine() string {
	return fmt.Sprintf("runs=%d handovers=%d lists=%d owners_twice=%d overlaps=%d late_tried=%d late_taken=%d gap_p50_s=%.2f gap_p99_s=%.2f gaps=%d roll_most_at_once=%d orders_done=%d rolled_twice=%d left_out=%d list_back=%d drains_late=%d list_known_p50_s=%.3f list_last_p99_s=%.3f lost=%d twice=%d questions=%d linearizable=%s void=%d",
		t.runs, t.handovers, t.lists, t.owners, t.overlaps, t.lateTried, t.lateTaken, quantile(t.gaps, 0.5), quantile(t.gaps, 0.99), len(t.gaps), t.rollMost, t.done, t.rolledTwice, t.leftOut,
		t.wentBack, t.rules["late_sends"], quantile(t.listKnown, 0.5), quantile(t.listLast, 0.99),
		t.rules["lost"]+t.rules["late"]+t.rules["forged"]+t.rules["after"], t.rules["twice"]+t.rules["untrue"], t.questions, t.linear(), t.void)
}

// quantile is that of some times, in seconds; 0 of none.
func quantile(all []time.Duration, q float64) float64 {
	if len(all) == 0 {
		return 0
	}
	all = slices.Sorted(slices.Values(all))
	return all[min(len(all)-1, int(q*float64(len(all))))].Seconds()
}
