package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"otterspring/internal/lab/experiment"
	"otterspring/internal/lab/nemesis"
	"otterspring/internal/lab/rig"
)

const (
	// maxShrinkRuns bounds the runs that shrink one failed experiment.
	maxShrinkRuns = 40
	// maxVoidShare is the share of void runs above which the whole soak is void.
	maxVoidShare = 0.1
)

// soakFlags are the flags of `rig soak`.
type soakFlags struct {
	seeds   []uint64
	jobs    int
	short   bool
	keepDir string
	program string
	repeats int // number of times that a failed experiment is repeated
	shrink  bool
}

// newSoakRunner returns the runner of `rig soak`: it runs one generated experiment for each seed.
func newSoakRunner(f *flag.FlagSet) runner {
	o := &soakFlags{}
	seeds := f.String("seeds", "1..50", "a seed, or a range like 1..50; each generates one experiment")
	f.IntVar(&o.jobs, "jobs", 1, "concurrent runs, 1 to 16; they share the machine, and an overloaded one makes runs void")
	f.BoolVar(&o.short, "short", false, "run the short form of each experiment")
	f.StringVar(&o.keepDir, "keep", "", "folder for the storm files and histories of failed runs; empty for none")
	f.StringVar(&o.program, "program", "", "path of the sidecar program; empty for the one in this program's folder")
	f.IntVar(&o.repeats, "again", 10, "repetitions of a failed run, to measure how often it fails, 0 to 20")
	f.BoolVar(&o.shrink, "shrink", true, "shrink the experiments of failed runs")
	return func(ctx context.Context, _ []string, out io.Writer) (err error) {
		if o.seeds, err = parseSeeds(*seeds); err != nil {
			return err
		}
		for _, err := range []error{checkRange("jobs", o.jobs, 1, 16), checkRange("again", o.repeats, 0, 20)} {
			if err != nil {
				return err
			}
		}
		argv, dir, cleanup, err := prepareRun(o.program)
		if err != nil {
			return err
		}
		defer cleanup()
		if o.keepDir != "" {
			if err := os.MkdirAll(o.keepDir, 0o755); err != nil {
				return err
			}
		}
		soak := &soakRunner{soakFlags: *o, argv: argv, dir: dir}
		return soak.runAll(ctx, out)
	}
}

// soakRunner runs the experiments of all seeds.
type soakRunner struct {
	soakFlags
	argv []string
	dir  string
}

// soakRun is one completed run.
type soakRun struct {
	result      *experiment.Result
	record      *experiment.Record
	source      string // text of the storm file
	historyPath string // empty if no history is kept
}

// soakTotals are sums over all runs.
type soakTotals struct {
	runs, void, requests, crashes int
	signals                       experiment.SignalCounts
	violations                    map[string]int
	failedSeeds                   []string
}

// runAll runs the experiments of all seeds, at most jobs of them concurrently, and prints the
// results in order.
func (s *soakRunner) runAll(ctx context.Context, out io.Writer) error {
	type outcome struct {
		run *soakRun
		err error
	}
	outcomes := make([]chan outcome, len(s.seeds))
	for i := range outcomes {
		outcomes[i] = make(chan outcome, 1)
	}
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	slots := make(chan bool, s.jobs)
	wg.Go(func() {
		for i, seed := range s.seeds {
			select {
			case slots <- true:
			case <-ctx.Done():
				return
			}
			wg.Go(func() {
				defer func() { <-slots }()
				run, err := s.runOne(ctx, seed, experiment.GenerateSoak(seed, s.short), fmt.Sprint(seed))
				outcomes[i] <- outcome{run, err}
			})
		}
	})
	totals := soakTotals{violations: map[string]int{}}
	var failed []*soakRun
	for i := range s.seeds {
		select {
		case finished := <-outcomes[i]:
			if finished.err != nil {
				return finished.err
			}
			totals.add(finished.run)
			s.print(out, finished.run)
			if finished.run.result.Broken() {
				failed = append(failed, finished.run)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	wg.Wait() // failed runs are repeated while no other run is in progress
	for _, run := range failed {
		if err := s.reproduce(ctx, out, run); err != nil {
			return err
		}
	}
	fmt.Fprintln(out, totals.summary())
	switch {
	case len(totals.failedSeeds) > 0:
		return errViolated
	case float64(totals.void) > maxVoidShare*float64(totals.runs):
		return errVoid
	}
	return nil
}

// runOne runs the experiment in source once. It keeps the history only if the run violated a rule.
func (s *soakRunner) runOne(ctx context.Context, seed uint64, source, name string) (*soakRun, error) {
	spec, errs := experiment.Parse("soak-"+name+".toml", []byte(source), false, nil)
	if len(errs) > 0 {
		return nil, errs[0]
	}
	plan, err := experiment.NewPlan(spec, seed)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp(s.dir, "day")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	run := &soakRun{source: source}
	if s.keepDir != "" {
		run.historyPath = filepath.Join(s.keepDir, "soak-"+name+".jsonl")
	}
	run.record, err = rig.RunHostedExperiment(ctx, plan, s.argv, dir, rig.HostedOptions{HistoryFile: run.historyPath}, nil)
	if err != nil {
		return nil, fmt.Errorf("seed %d: %w", seed, err)
	}
	run.result = experiment.Evaluate(plan, run.record, nil)
	if run.historyPath != "" && !run.result.Broken() {
		return run, os.Remove(run.historyPath)
	}
	return run, nil
}

// print prints the results of a run and, if it failed, the command that repeats it.
func (s *soakRunner) print(out io.Writer, run *soakRun) {
	fmt.Fprintf(out, "%s; %s\n", run.result.Summary(), run.result.Size)
	for _, note := range run.result.Problems {
		fmt.Fprintln(out, "  "+note)
	}
	if !run.result.Broken() {
		return
	}
	shortFlag := ""
	if s.short {
		shortFlag = " -short"
	}
	fmt.Fprintf(out, "seed %d failed: rig soak -seeds %d%s\n", run.result.Seed, run.result.Seed, shortFlag)
}

// reproduce repeats a failed run and shrinks its schedule, as the flags say.
func (s *soakRunner) reproduce(ctx context.Context, out io.Writer, run *soakRun) error {
	seed := run.result.Seed
	if s.keepDir != "" {
		if err := os.WriteFile(strings.TrimSuffix(run.historyPath, ".jsonl")+".toml", []byte(run.source), 0o644); err != nil {
			return err
		}
	}
	broken := 0
	for range s.repeats {
		repeated, err := s.runOne(ctx, seed, run.source, fmt.Sprintf("%d-again", seed))
		if err != nil {
			return err
		}
		if repeated.result.Broken() {
			broken++
		}
	}
	fmt.Fprintf(out, "  seed %d repeated: failed in %d of %d runs\n", seed, broken, s.repeats)
	if !s.shrink || broken == 0 {
		return nil
	}
	return s.shrinkSchedule(ctx, out, seed, run.source)
}

// shrinkSchedule removes and shortens the faults of an experiment as long as the experiment still
// fails.
func (s *soakRunner) shrinkSchedule(ctx context.Context, out io.Writer, seed uint64, source string) error {
	spec, errs := experiment.Parse("soak.toml", []byte(source), false, nil)
	if len(errs) > 0 {
		return errs[0]
	}
	var runErr error
	smallest, runs := nemesis.Shrink(nemesis.ScheduleOf(spec), 1, maxShrinkRuns, func(candidate nemesis.Schedule) bool {
		if runErr != nil || ctx.Err() != nil {
			return false
		}
		rendered := nemesis.Render(source, candidate, "")
		if _, errs := experiment.Parse("soak.toml", []byte(rendered), false, nil); len(errs) > 0 {
			return false // for example, the schedule names an instance that no longer exists
		}
		run, err := s.runOne(ctx, seed, rendered, fmt.Sprintf("%d-small", seed))
		if err != nil {
			runErr = err
			return false
		}
		return run.result.Broken()
	})
	if runErr != nil {
		return runErr
	}
	smallestSource := nemesis.Render(source, smallest, fmt.Sprintf("Shrunk from soak seed %d in %d runs.", seed, runs))
	fmt.Fprintf(out, "  shrunk to %d of %d faults in %d runs\n", len(smallest.Faults), len(spec.Faults), runs)
	if s.keepDir == "" {
		return ctx.Err()
	}
	return os.WriteFile(filepath.Join(s.keepDir, fmt.Sprintf("soak-%d-small.toml", seed)), []byte(smallestSource), 0o644)
}

func (t *soakTotals) add(run *soakRun) {
	t.runs++
	t.requests += run.record.Report.Requests
	for name, n := range run.result.Violations {
		t.violations[name] += n
	}
	if c := run.record.Signals; c != nil {
		t.signals.Restarts += c.Restarts
		t.signals.Sent += c.Sent
		t.signals.Bursts += c.Bursts
		t.signals.SlowStarts += c.SlowStarts
		t.signals.LeakingInstances += c.LeakingInstances
	}
	for _, violation := range run.record.Report.Violations {
		if strings.HasSuffix(violation, rig.ErrCrashed.Error()) {
			t.crashes++
		}
	}
	switch run.result.Verdict() {
	case "broken":
		t.failedSeeds = append(t.failedSeeds, fmt.Sprint(run.result.Seed))
	case "void":
		t.void++
	}
}

// summary returns the last line of output. The line has sums of violations under the keys that are
// printed.
func (t *soakTotals) summary() string {
	failedSeeds := strings.Join(t.failedSeeds, ",")
	if failedSeeds == "" {
		failedSeeds = "-"
	}
	violations := t.violations
	return fmt.Sprintf("runs=%d void=%d requests=%d restarts=%d signals=%d crowds=%d lost=%d twice=%d late_sends=%d cold_falls=%d late=%d crashes=%d overruns=%d idle=%d unready=%d leaked=%d failed_seeds=%s",
		t.runs, t.void, t.requests, t.signals.Restarts, t.signals.Sent, t.signals.Bursts, violations["lost"]+violations["forged"]+violations["after"], violations["twice"]+violations["untrue"], violations["late_sends"], violations["tipped"],
		violations["late"], t.crashes, violations["overruns"], violations["idle"], t.signals.SlowStarts, t.signals.LeakingInstances, failedSeeds)
}
