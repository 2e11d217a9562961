package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"otterspring/internal/lab/experiment"
	"otterspring/internal/lab/history"
	"otterspring/internal/lab/nemesis"
	"otterspring/internal/lab/rig"
)

// nemesisFlags are the flags and files of `rig nemesis`, and the programs that it built.
type nemesisFlags struct {
	files        []string
	short        bool
	seeds        []uint64
	overrides    repeatedFlag // settings that replace those of the files
	shrink       bool
	shrinkRuns   int // maximum number of runs for shrinking one schedule
	repeats      int // number of times that a failed schedule is repeated
	jobs         int
	race         bool
	sourceDir    string
	keepDir      string
	oldCommit    string
	oldSidecar   string // sidecar program built from oldCommit
	oldOperator  string // otterspring program built from oldCommit
	sidecar      string
	operator     string
	rigCommand   []string
	extraSummary func(*nemesisTotals) string // returns a further last line; nil for none
}

// newNemesisRunner returns the runner of `rig nemesis`: it runs experiments with several real
// processes and faults generated from a seed, and checks their histories.
func newNemesisRunner(f *flag.FlagSet) runner {
	o := &nemesisFlags{}
	f.BoolVar(&o.short, "short", false, "run the short form that each file defines")
	f.Var(&o.overrides, "set", "a setting that replaces the file's, key=value; may be repeated")
	seeds := f.String("seeds", "1", "a seed, or a range like 1..50")
	duration := f.Duration("for", 0, "duration of the load; 0 for the file's")
	f.BoolVar(&o.shrink, "shrink", false, "shrink a failing schedule as far as it still fails")
	f.IntVar(&o.shrinkRuns, "tries", 60, "maximum runs for shrinking one schedule, 1 to 1000")
	f.IntVar(&o.repeats, "again", 0, "repetitions of a failed schedule, to measure how often it fails, 0 to 20")
	f.IntVar(&o.jobs, "jobs", 1, "concurrent runs, 1 to 16; they share the machine, and an overloaded one makes runs void")
	f.BoolVar(&o.race, "race", false, "build the programs with the race detector")
	f.StringVar(&o.sourceDir, "tree", ".", "root folder of the sources that the programs are built from")
	f.StringVar(&o.keepDir, "keep", "", "folder for histories and failed schedules; empty for none")
	f.StringVar(&o.oldCommit, "old", "", "commit that the programs of the earlier version are built from; empty for none")
	f.StringVar(&o.sidecar, "program", "", "path of a sidecar program built with the tag faults; empty to build one")
	f.StringVar(&o.operator, "operator-program", "", "path of an otterspring program built with the tag faults; empty to build one")
	return func(ctx context.Context, files []string, out io.Writer) error {
		if len(files) == 0 {
			return fmt.Errorf("%w: wanted files", errUsage)
		}
		var err error
		if o.seeds, err = parseSeeds(*seeds); err != nil {
			return err
		}
		if *duration > 0 {
			o.overrides = append(o.overrides, "for="+duration.String())
		}
		for _, err := range []error{checkRange("tries", o.shrinkRuns, 1, 1000), checkRange("again", o.repeats, 0, 20), checkRange("jobs", o.jobs, 1, 16)} {
			if err != nil {
				return err
			}
		}
		o.files = files
		return o.run(ctx, out)
	}
}

// build builds the sidecar and the otterspring program with the tag faults, unless the flags name
// both programs. It returns a function that removes the folder of the programs.
func (o *nemesisFlags) build(ctx context.Context) (func(), error) {
	exe, err := os.Executable()
	if err != nil {
		return nil, err
	}
	o.rigCommand = []string{exe}
	dir, err := os.MkdirTemp("", "rig-faults")
	if err != nil {
		return nil, err
	}
	if o.oldCommit != "" {
		if err := o.buildOld(ctx, dir); err != nil {
			os.RemoveAll(dir)
			return nil, err
		}
	}
	if o.sidecar != "" && o.operator != "" {
		return func() { os.RemoveAll(dir) }, nil
	}
	args := []string{"build", "-tags", "faults", "-o", dir + "/"}
	if o.race {
		args = append(args, "-race")
	}
	cmd := exec.CommandContext(ctx, "go", append(args, "./cmd/sandhinge", "./cmd/otterspring")...)
	cmd.Dir = o.sourceDir
	if text, err := cmd.CombinedOutput(); err != nil {
		os.RemoveAll(dir)
		return nil, fmt.Errorf("go build -tags faults in %s: %v: %s", o.sourceDir, err, text)
	}
	o.sidecar, o.operator = filepath.Join(dir, "sandhinge"), filepath.Join(dir, "otterspring")
	return func() { os.RemoveAll(dir) }, nil
}

// buildOld builds the sidecar and the otterspring program of oldCommit, which it takes from the
// repository of the sources.
func (o *nemesisFlags) buildOld(ctx context.Context, dir string) error {
	src := filepath.Join(dir, "old-src")
	if err := os.Mkdir(src, 0o755); err != nil {
		return err
	}
	tar := filepath.Join(dir, "old.tar")
	o.oldSidecar = filepath.Join(dir, "sandhinge-old")
	o.oldOperator = filepath.Join(dir, "otterspring-old")
	for _, step := range []struct {
		in   string
		argv []string
	}{
		{o.sourceDir, []string{"git", "archive", "--format=tar", "-o", tar, o.oldCommit}},
		{src, []string{"tar", "-xf", tar}},
		{src, []string{"go", "build", "-o", o.oldSidecar, "./cmd/sandhinge"}},
		{src, []string{"go", "build", "-o", o.oldOperator, "./cmd/otterspring"}},
	} {
		cmd := exec.CommandContext(ctx, step.argv[0], step.argv[1:]...)
		cmd.Dir = step.in
		if text, err := cmd.CombinedOutput(); err != nil {
			return fmt.Errorf("-old %s: %s: %v: %s", o.oldCommit, strings.Join(step.argv, " "), err, text)
		}
	}
	return nil
}

// nemesisTotals are sums over all runs.
type nemesisTotals struct {
	runs, processes, faults, ops, unknown, leftBehind, maxInProgress, staleRefused      int
	broken, void, failed                                                                int
	kinds                                                                               map[string]int
	violations                                                                          map[string]int
	ownershipViolations, staleExecuted, checkedOperations, nonLinearizable, regressions int
	listHandovers                                                                       int
	listDelays, listLastDelays                                                          []time.Duration
	handovers, overlaps, completedOperations, startedTwice, leftOut, maxRestarting      int
	ownerGaps                                                                           []time.Duration
}

// run runs all points, at most jobs of them concurrently, and prints the results in the order of
// the points. It repeats and shrinks the runs that failed.
func (o *nemesisFlags) run(ctx context.Context, out io.Writer) error {
	cleanup, err := o.build(ctx)
	if err != nil {
		return err
	}
	defer cleanup()
	if o.keepDir != "" {
		if err := os.MkdirAll(o.keepDir, 0o755); err != nil {
			return err
		}
	}
	points, err := o.points()
	if err != nil {
		return err
	}
	totals := nemesisTotals{kinds: map[string]int{}, violations: map[string]int{}}
	bar := newProgressBar(os.Stderr, len(points))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	slots := make(chan bool, o.jobs)
	for i := range points {
		points[i].done = make(chan error, 1)
	}
	wg.Go(func() {
		for i := range points {
			select {
			case slots <- true:
			case <-ctx.Done():
				return
			}
			wg.Go(func() {
				defer func() { <-slots }()
				var err error
				points[i].run, err = o.runPoint(ctx, &points[i], bar)
				points[i].done <- err
			})
		}
	})
	for i := range points {
		point := &points[i]
		select {
		case err := <-point.done:
			if err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
		bar.clear()
		bar.runFinished()
		totals.add(point.run)
		point.run.print(out, point.overrides)
		if point.run.broken() {
			if err := o.reproduce(ctx, out, point, bar); err != nil {
				return err
			}
		}
	}
	fmt.Fprintln(out, totals.summary())
	if o.extraSummary != nil {
		fmt.Fprintln(out, o.extraSummary(&totals))
	}
	switch {
	case totals.broken+totals.failed > 0 || totals.leftBehind > 0:
		return errViolated
	case totals.void > 0:
		return errVoid
	case o.extraSummary != nil && totals.staleRefused == 0:
		fmt.Fprintln(out, "void: no former lease holder attempted an effect, so fencing was not exercised")
		return errVoid
	}
	return nil
}

// nemesisPoint is one run to make and its result.
type nemesisPoint struct {
	file        string
	spec        *experiment.Spec
	overrides   []string // settings of the point in the file's sweeps
	seed        uint64
	historyName string     // file name of the history, without its extension
	done        chan error // receives the error of the run
	run         *nemesisRun
}

// points returns all runs to make. It prints each error in a file on a separate line.
func (o *nemesisFlags) points() ([]nemesisPoint, error) {
	var all []nemesisPoint
	for _, file := range o.files {
		spec, errs := experiment.LoadFile(file, o.short, o.overrides)
		for _, err := range errs {
			fmt.Fprintln(os.Stderr, err)
		}
		if len(errs) > 0 {
			return nil, fmt.Errorf("%w: %w", errUsage, errReported)
		}
		if spec.World.Hosts == 0 {
			return nil, fmt.Errorf("%w: %s: found a world without hosts, wanted one with hosts: rig storm runs those without", errUsage, file)
		}
		for n, overrides := range spec.Points() {
			pointSpec, err := spec.WithSettings(overrides)
			if err != nil {
				return nil, fmt.Errorf("%w: %v", errUsage, err)
			}
			for _, seed := range o.seeds {
				name := fmt.Sprintf("%s-%d", spec.Name, seed)
				if len(overrides) > 0 {
					name = fmt.Sprintf("%s-%d-%d", spec.Name, n+1, seed)
				}
				all = append(all, nemesisPoint{file: file, spec: pointSpec, overrides: overrides, seed: seed, historyName: name})
			}
		}
	}
	return all, nil
}

// nemesisRun is one run with two evaluations: result is from the invariant checker that observed
// the run, verdict from the check of the recorded history.
type nemesisRun struct {
	result  *experiment.Result
	verdict *history.Verdict
	elapsed time.Duration
}

func (r *nemesisRun) broken() bool { return r.result.Broken() || r.verdict.Violated() }

// runPoint runs an experiment once.
func (o *nemesisFlags) runPoint(ctx context.Context, point *nemesisPoint, bar *progressBar) (*nemesisRun, error) {
	spec := point.spec
	plan, err := experiment.NewPlan(spec, point.seed)
	if err != nil {
		return nil, err
	}
	dir, cleanup, err := makeRunDir()
	if err != nil {
		return nil, err
	}
	defer cleanup()
	path := filepath.Join(dir, "history.jsonl")
	if o.keepDir != "" {
		path = filepath.Join(o.keepDir, point.historyName+".jsonl")
	}
	startedAt := time.Now()
	options := rig.HostedOptions{OperatorCommand: []string{o.operator}, SelfCommand: o.rigCommand, HistoryFile: path, EarlierSidecar: o.oldSidecar, EarlierOperatorCommand: o.oldOperator}
	record, err := rig.RunHostedExperiment(ctx, plan, []string{o.sidecar}, dir, options, func(at time.Duration) { bar.showExperiment(spec.Name, at, spec.Duration) })
	if err != nil {
		return nil, err
	}
	hist, err := history.Load(path)
	if err != nil {
		return nil, err
	}
	run := &nemesisRun{result: experiment.Evaluate(plan, record, nil), verdict: history.Check(hist), elapsed: time.Since(startedAt)}
	if o.keepDir != "" && run.result.Verdict() != "kept" {
		if err := writeTimeline(strings.TrimSuffix(path, ".jsonl")+".html", hist, run.verdict); err != nil {
			return nil, err
		}
	}
	if n := len(run.verdict.Violations); n > 0 && !run.result.Broken() {
		run.result.Violations["history"] = n // makes the printed result broken, too, if only the history shows a violation
	}
	if live, recorded := record.Report.Summary(), run.verdict.Invariants.Summary(); len(record.VoidReasons) == 0 && !run.result.Broken() && live != recorded {
		run.result.VoidReasons = append(run.result.VoidReasons, fmt.Sprintf("the invariant checker and the history differ: %s; %s", live, recorded))
	}
	return run, nil
}

// print prints the results of a run. overrides are the settings of its point.
func (r *nemesisRun) print(out io.Writer, overrides []string) {
	processes := r.result.ProcessReport
	for _, kv := range overrides {
		fmt.Fprint(out, kv, "  ")
	}
	fmt.Fprintf(out, "%s; %d processes, %d kinds of fault, at most %d instances without a ready process at once, %.0f s\n", r.result.Summary(), processes.Started, len(processes.Kinds), processes.MaxInProgress, r.elapsed.Seconds())
	if coordination := processes.Coordination; coordination != nil && coordination.EndpointList != nil {
		fmt.Fprintf(out, "  list: discovery processed %.0f lines a second; a change reached a sidecar after %.3f s (median), the last sidecar after %.3f s (median), %.3f s (maximum); sidecars called discovery directly %d times\n",
			r.result.Figures["list_lines_s"], quantile(coordination.EndpointList.Delays, 0.5), quantile(coordination.EndpointList.LastDelays, 0.5), quantile(coordination.EndpointList.LastDelays, 1), coordination.EndpointList.DirectCalls)
	} else if coordination != nil {
		fmt.Fprintf(out, "  list: each sidecar calls discovery; discovery processed %.0f lines a second\n", r.result.Figures["list_lines_s"])
	}
	for _, note := range r.result.Problems {
		fmt.Fprintln(out, "  "+note)
	}
	if r.verdict.Violated() {
		printVerdict(out, r.verdict)
	}
	for _, note := range r.result.Skipped {
		fmt.Fprintln(out, "  not run: "+note)
	}
}

// reproduce repeats a failed run and shrinks its schedule, as the flags say.
func (o *nemesisFlags) reproduce(ctx context.Context, out io.Writer, point *nemesisPoint, bar *progressBar) error {
	spec, seed, file := point.spec, point.seed, point.file
	if o.repeats > 0 {
		broken := 0
		for range o.repeats {
			run, err := o.runPoint(ctx, point, bar)
			if err != nil {
				return err
			}
			if run.broken() {
				broken++
			}
		}
		bar.clear()
		fmt.Fprintf(out, "  repeated: failed in %d of %d runs\n", broken, o.repeats)
	}
	if !o.shrink {
		return nil
	}
	source, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	generated := spec.WithNemesisFaults(seed)
	var runErr error
	smallest, runs := nemesis.Shrink(nemesis.ScheduleOf(generated), spec.World.Hosts, o.shrinkRuns, func(candidate nemesis.Schedule) bool {
		if runErr != nil || ctx.Err() != nil {
			return false
		}
		candidateSpec, errs := experiment.Parse(file, []byte(nemesis.Render(string(source), candidate, "")), false, nil)
		if len(errs) > 0 {
			return false // for example, the candidate names a process that no longer exists
		}
		run, err := o.runPoint(ctx, &nemesisPoint{spec: candidateSpec, seed: seed, historyName: point.historyName + "-small"}, bar)
		if err != nil {
			runErr = err
			return false
		}
		return run.broken() && len(run.result.VoidReasons) == 0
	})
	if runErr != nil {
		return runErr
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	bar.clear()
	about := fmt.Sprintf("Shrunk from %s, seed %d, in %d runs.", spec.Name, seed, runs)
	rendered := nemesis.Render(string(source), smallest, about)
	fmt.Fprintf(out, "  shrunk to %d of %d faults in %d runs:\n", len(smallest.Faults), len(generated.Faults), runs)
	for _, line := range strings.Split(strings.TrimSpace(rendered), "\n") {
		fmt.Fprintln(out, "    "+line)
	}
	if o.keepDir == "" {
		return nil
	}
	return os.WriteFile(filepath.Join(o.keepDir, point.historyName+"-small.toml"), []byte(rendered), 0o644)
}

func (t *nemesisTotals) add(run *nemesisRun) {
	t.runs++
	switch {
	case run.broken():
		t.broken++
	case run.result.Verdict() == "void":
		t.void++
	case run.result.Verdict() == "failed":
		t.failed++
	}
	processes := run.result.ProcessReport
	t.processes += processes.Started
	t.leftBehind += processes.LeftBehind
	t.maxInProgress = max(t.maxInProgress, processes.MaxInProgress)
	for k, n := range processes.Kinds {
		t.kinds[k] += n
		t.faults += n
	}
	for name, n := range run.result.Violations {
		t.violations[name] += n
	}
	if coordination := processes.Coordination; coordination != nil {
		t.handovers += coordination.Handovers
		t.overlaps += coordination.Overlaps
		t.completedOperations += coordination.Completed
		t.startedTwice += coordination.StartedTwice
		t.leftOut += coordination.LeftOut
		t.maxRestarting = max(t.maxRestarting, coordination.MaxInProgress)
		t.ownerGaps = append(t.ownerGaps, coordination.Gaps...)
		if list := coordination.EndpointList; list != nil {
			t.listHandovers += list.Handovers
			t.listDelays, t.listLastDelays = append(t.listDelays, list.Delays...), append(t.listLastDelays, list.LastDelays...)
		}
	}
	t.ops += run.verdict.TotalOperations
	t.unknown += run.verdict.Unknown
	t.ownershipViolations += run.verdict.OwnershipViolations
	t.staleExecuted += run.verdict.StaleExecuted
	t.checkedOperations += run.verdict.CheckedOperations
	t.nonLinearizable += run.verdict.NonLinearizable
	t.regressions += run.verdict.Regressions
	t.staleRefused += run.verdict.StaleRefused
}

// linearizable returns "yes" or "no" for the operations of all runs together. It returns a dash if
// no operation was checked.
func (t *nemesisTotals) linearizable() string {
	switch {
	case t.checkedOperations == 0:
		return "-"
	case t.nonLinearizable > 0:
		return "no"
	}
	return "yes"
}

// summary returns the last line of `rig nemesis`.
func (t *nemesisTotals) summary() string {
	return fmt.Sprintf("runs=%d processes=%d faults=%d kinds=%d ops=%d broken=%d failed=%d void=%d unknown=%d twice=%d lost=%d late_sends=%d tipped=%d owners_twice=%d late_tried=%d most_at_once=%d questions=%d linearizable=%s went_back=%d left_behind=%d kinds_seen=%s",
		t.runs, t.processes, t.faults, len(t.kinds), t.ops, t.broken, t.failed, t.void, t.unknown, t.violations["twice"]+t.violations["untrue"],
		t.violations["lost"]+t.violations["late"]+t.violations["forged"]+t.violations["after"], t.violations["late_sends"], t.violations["tipped"], t.ownershipViolations, t.staleRefused, t.maxInProgress, t.checkedOperations, t.linearizable(), t.regressions, t.leftBehind,
		strings.Join(slices.Sorted(maps.Keys(t.kinds)), ","))
}
