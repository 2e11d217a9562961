package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"otterspring/internal/fleet/configuration"
	"otterspring/internal/lab/scale"
)

// scaleFlags are the flags of `rig scale`.
type scaleFlags struct {
	options   scale.Options
	seed      uint64
	seeds     string
	faults    string
	sweep     bool
	sizes     string
	program   string
	operator  string
	sourceDir string
}

// Defaults of flags, and the rate of the progress line.
const (
	defaultSweepSizes    = "400,800,1600,3200,6400"
	defaultSweepDuration = 15 * time.Second // duration of the run of each size
	defaultScaleDuration = 60 * time.Second
	defaultRealSidecars  = 20
	// progressInterval is the minimum time between two updates of the progress line.
	progressInterval = 900 * time.Millisecond
)

// newScaleRunner returns the runner of `rig scale`: it distributes configuration changes from a
// coordination cluster through relays to simulated subscribers.
func newScaleRunner(f *flag.FlagSet) runner {
	o := &scaleFlags{}
	f.IntVar(&o.options.Sidecars, "sidecars", 1000, "simulated subscribers")
	f.IntVar(&o.options.RealSidecars, "real", -1, "sidecar processes under load; -1 for 20, or none with -sweep")
	f.DurationVar(&o.options.Duration, "for", 0, "duration of a run; 0 for 60s, or 15s with -sweep")
	f.Uint64Var(&o.seed, "seed", 1, "seed of the random number generators")
	f.StringVar(&o.seeds, "seeds", "", "a range of seeds like 1..3, instead of -seed")
	f.Float64Var(&o.options.ChangesPerSecond, "changes-per-s", 4, "configuration changes a second")
	f.IntVar(&o.options.Services, "services", 360, "number of services")
	f.IntVar(&o.options.Zones, "zones", 19, "zones, each with a relay")
	f.IntVar(&o.options.ServicesPerSidecar, "calls-services", 20, "services that each sidecar subscribes to")
	f.IntVar(&o.options.SettingsBytes, "settings-bytes", 2048, "size of the settings of a service in bytes")
	f.IntVar(&o.options.MaxSnapshots, "snapshots-at-once", configuration.DefaultAdmissionSettings.Slots, "snapshots that each relay may send concurrently")
	f.StringVar(&o.faults, "faults", "none", "none, or all: faults of all kinds, generated from the seed")
	f.BoolVar(&o.sweep, "sweep", false, "run several sizes and fit lines to the figures")
	f.StringVar(&o.sizes, "sizes", defaultSweepSizes, "numbers of subscribers in a sweep, ascending, separated by commas")
	f.StringVar(&o.program, "program", "", "path of the sidecar program; empty for the one in this program's folder")
	f.StringVar(&o.operator, "operator-program", "", "path of the otterspring program; empty for the one in this program's folder, or to build it")
	f.StringVar(&o.sourceDir, "tree", ".", "root folder of the sources that the otterspring program is built from")
	return func(ctx context.Context, _ []string, out io.Writer) error {
		return o.run(ctx, out)
	}
}

// run checks the flags, provides the programs, and runs the seeds or the sweep.
func (o *scaleFlags) run(ctx context.Context, out io.Writer) error {
	seeds, sizes, err := o.parse()
	if err != nil {
		return err
	}
	if err := o.validate(sizes); err != nil {
		return asUsageError(err)
	}
	if err := o.findPrograms(); err != nil {
		return err
	}
	dir, cleanup, err := makeRunDir()
	if err != nil {
		return err
	}
	defer cleanup()
	if err := o.buildOperator(ctx, dir); err != nil {
		return err
	}
	bar := newProgressBar(os.Stderr, 1)
	o.options.Progress, o.options.Directory = bar.showScale, dir
	if o.sweep {
		return asUsageError(o.runSweep(ctx, out, bar, sizes))
	}
	return asUsageError(o.runSeeds(ctx, out, bar, seeds))
}

// parse returns the seeds and the sizes that the flags give, and sets the options that depend on
// several flags.
func (o *scaleFlags) parse() (seeds []uint64, sizes []int, err error) {
	switch o.faults {
	case "none":
	case "all":
		o.options.Faults = true
	default:
		return nil, nil, fmt.Errorf("%w: -faults: found %q, wanted none or all", errUsage, o.faults)
	}
	if o.sweep && (o.options.Faults || o.seeds != "") {
		return nil, nil, fmt.Errorf("%w: -sweep: found it with -faults all or -seeds, wanted it without", errUsage)
	}
	if seeds = []uint64{o.seed}; o.seeds != "" {
		if seeds, err = parseSeeds(o.seeds); err != nil {
			return nil, nil, err
		}
	}
	for _, text := range strings.Split(o.sizes, ",") {
		size, err := strconv.Atoi(strings.TrimSpace(text))
		if err != nil {
			return nil, nil, fmt.Errorf("%w: -sizes: found %q, wanted numbers separated by commas", errUsage, o.sizes)
		}
		sizes = append(sizes, size)
	}
	o.setDefaults()
	return seeds, sizes, nil
}

// setDefaults sets the options whose defaults for a single run and for a sweep differ.
func (o *scaleFlags) setDefaults() {
	real, duration := defaultRealSidecars, defaultScaleDuration
	if o.sweep {
		real, duration = 0, defaultSweepDuration
	}
	if o.options.RealSidecars == -1 {
		o.options.RealSidecars = real
	}
	if o.options.Duration == 0 {
		o.options.Duration = duration
	}
}

// validate checks the options against their bounds and the limits of the machine before
// anything starts.
func (o *scaleFlags) validate(sizes []int) error {
	limits, err := scale.MachineLimits()
	if err != nil {
		return err
	}
	if !o.sweep {
		return o.options.Validate(limits)
	}
	if err := scale.CheckSizes(sizes); err != nil {
		return err
	}
	largest := o.options
	largest.Sidecars = slices.Max(sizes)
	return largest.Validate(limits)
}

// asUsageError makes an error about invalid options a usage error.
func asUsageError(err error) error {
	if errors.Is(err, scale.ErrOptions) {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	return err
}

// findPrograms finds the programs that flags name or that are in this program's folder. It leaves
// Programs.Operator empty if there is no otterspring program.
func (o *scaleFlags) findPrograms() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	programs := &o.options.Programs
	programs.Self = []string{self}
	if programs.Sidecar, err = sidecarProgram(o.program); err != nil {
		return err
	}
	if o.operator != "" {
		path, err := programPath("operator-program", o.operator)
		programs.Operator = []string{path}
		return err
	}
	sibling := filepath.Join(filepath.Dir(self), "otterspring")
	if _, err := os.Stat(sibling); err == nil {
		programs.Operator = []string{sibling}
	}
	return nil
}

// buildOperator builds the otterspring program into a folder if findPrograms found none.
func (o *scaleFlags) buildOperator(ctx context.Context, dir string) error {
	if len(o.options.Programs.Operator) > 0 {
		return nil
	}
	path := filepath.Join(dir, "otterspring")
	build := exec.CommandContext(ctx, "go", "build", "-o", path, "./cmd/otterspring")
	build.Dir = o.sourceDir
	if text, err := build.CombinedOutput(); err != nil {
		return fmt.Errorf("go build ./cmd/otterspring in %s: %v: %s", o.sourceDir, err, text)
	}
	o.options.Programs.Operator = []string{path}
	return nil
}

// runSeeds makes one run with each seed and prints the worst figures as the last line.
func (o *scaleFlags) runSeeds(ctx context.Context, out io.Writer, bar *progressBar, seeds []uint64) error {
	var runs []*scale.Figures
	for _, seed := range seeds {
		o.options.Seed = seed
		if o.options.Faults {
			topology := scale.NewTopology(&o.options)
			fmt.Fprintf(out, "seed %d: %s\n", seed, describeFaults(scale.GenerateFaults(&o.options, topology)))
		}
		figures, err := scale.Run(ctx, &o.options)
		bar.clear()
		if err != nil {
			return err
		}
		printScale(out, figures)
		fmt.Fprintf(out, "scale sockets seed %d %s rules_broken=%d\n", seed, runVerdict(figures), len(figures.BrokenRules()))
		if len(seeds) > 1 {
			fmt.Fprintf(out, "seed=%d %s\n", seed, figures.SummaryLine())
		}
		runs = append(runs, figures)
	}
	fmt.Fprintln(out, scale.WorstFigures(runs).SummaryLine())
	return scaleRunsError(runs)
}

// runSweep makes one run of each size and fits lines to the figures.
func (o *scaleFlags) runSweep(ctx context.Context, out io.Writer, bar *progressBar, sizes []int) error {
	o.options.Seed = o.seed
	runs, err := scale.Sweep(ctx, o.options, sizes, func(f *scale.Figures) {
		bar.clear()
		printScale(out, f)
		fmt.Fprintln(out, f.SummaryLine())
	})
	bar.clear()
	if err != nil {
		return err
	}
	fits, err := scale.FitRuns(runs)
	if err != nil {
		return err
	}
	for i := range fits {
		fmt.Fprintln(out, fits[i].String())
	}
	fmt.Fprintln(out, scale.SweepSummaryLine(runs, fits))
	return scaleRunsError(runs)
}

// printScale prints the details of a run.
func printScale(out io.Writer, f *scale.Figures) {
	fmt.Fprintf(out, "seed %d, %d subscribers:\n", f.Seed, f.Sidecars)
	for _, line := range f.DetailLines() {
		fmt.Fprintln(out, "  "+line)
	}
}

// describeFaults lists the generated faults. It only counts the routine restarts.
func describeFaults(faults []scale.Fault) string {
	var descriptions []string
	routineRestarts := 0
	for i := range faults {
		if faults[i].Kind == scale.RoutineRestart {
			routineRestarts++
			continue
		}
		descriptions = append(descriptions, faults[i].String())
	}
	return fmt.Sprintf("%s; %d routine restarts", strings.Join(descriptions, "; "), routineRestarts)
}

// Verdicts on a run, with the words that `rig storm` uses.
const (
	verdictKept   = "kept"
	verdictBroken = "broken"
	verdictVoid   = "void"
)

// runVerdict returns the verdict on a run. In a void run, a violation of a rule that depends on
// timing does not count. A violation of any other rule makes the run broken even if it is void.
func runVerdict(f *scale.Figures) string {
	switch {
	case len(f.InvariantViolations()) > 0, len(f.VoidReasons) == 0 && len(f.BrokenRules()) > 0:
		return verdictBroken
	case len(f.VoidReasons) > 0:
		return verdictVoid
	}
	return verdictKept
}

// scaleRunsError returns errViolated if any run is broken. Otherwise it returns errVoid if any run
// is void.
func scaleRunsError(runs []*scale.Figures) error {
	var verdicts []string
	for _, f := range runs {
		verdicts = append(verdicts, runVerdict(f))
	}
	switch {
	case slices.Contains(verdicts, verdictBroken):
		return errViolated
	case slices.Contains(verdicts, verdictVoid):
		return errVoid
	}
	return nil
}

// showScale updates the progress line of `rig scale`.
func (b *progressBar) showScale(p scale.Progress) {
	if !b.terminal {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if now.Sub(b.lastShown) < progressInterval {
		return
	}
	b.lastShown, b.visible = now, true
	fmt.Fprintf(b.out, "\r\x1b[K%s: %.0f s, %d changes, %.0f%% of the cores idle", p.Phase, p.Elapsed.Seconds(), p.Changes, 100*p.Idle)
}
