package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"otterspring/internal/cli"
	"otterspring/internal/lab/experiment"
	"otterspring/internal/lab/rig"
	"otterspring/internal/lab/virtual"
)

var (
	// errVoid is the error of a void run.
	errVoid = errors.New("void run: no conclusion is possible")
	// errReported is the error of a run whose errors are already in the output.
	errReported = cli.ErrReported
)

// repeatedFlag collects the values of a flag that may be repeated.
type repeatedFlag []string

func (r *repeatedFlag) String() string     { return strings.Join(*r, " ") }
func (r *repeatedFlag) Type() string       { return "key=value" }
func (r *repeatedFlag) Set(s string) error { *r = append(*r, s); return nil }

// stormFlags are the flags and files of `rig storm`.
type stormFlags struct {
	files     []string
	all       bool
	short     bool
	dir       string
	engine    string
	overrides repeatedFlag // settings that replace those of the files
	seeds     []uint64
	jobs      int
	output    string
	atRisk    bool // print the table of rules and limits at risk
	program   string
}

// stormPoint is one run to make.
type stormPoint struct {
	spec      *experiment.Spec
	overrides []string
	seed      uint64
	engine    string
}

// newStormRunner returns the runner of `rig storm`: it runs experiments from storm files in
// virtual time or with real processes.
func newStormRunner(f *flag.FlagSet) runner {
	o := &stormFlags{}
	f.BoolVar(&o.all, "all", false, "all files of -dir")
	f.BoolVar(&o.short, "short", false, "run the short form that each file defines")
	f.StringVar(&o.dir, "dir", "experiments", "folder of the storm files")
	f.StringVar(&o.engine, "engine", "virtual", "virtual (simulated time), sockets (real processes) or both")
	f.Var(&o.overrides, "set", "a setting that replaces the file's, key=value; may be repeated")
	seeds := f.String("seeds", "1", "a seed, or a range like 1..20")
	f.IntVar(&o.jobs, "jobs", 0, "concurrent runs in virtual time; 0 for one a core")
	f.StringVar(&o.output, "o", "", "append the results to this file, one line of JSON each")
	f.BoolVar(&o.atRisk, "stakes", false, "print a table of how close each run came to violating each rule and limit")
	f.StringVar(&o.program, "program", "", "path of the sidecar program for runs on sockets; empty for the one in this program's folder")
	return func(ctx context.Context, files []string, out io.Writer) error {
		o.files = files
		if err := o.validate(*seeds); err != nil {
			return err
		}
		return o.run(ctx, out)
	}
}

// run makes all runs and prints a line for each and the sums as the last line.
func (o *stormFlags) run(ctx context.Context, out io.Writer) error {
	points, err := o.points()
	if err != nil {
		return err
	}
	results, err := openResultWriter(o.output)
	if err != nil {
		return err
	}
	defer results.Close()
	t := stormTotals{}
	var atRisk []*experiment.Result
	bar := newProgressBar(os.Stderr, len(points))
	err = o.runAll(ctx, points, bar, func(r *experiment.Result) error {
		bar.clear()
		fmt.Fprintln(out, r.Summary())
		for _, problem := range r.Problems {
			fmt.Fprintln(out, "  "+problem)
		}
		t.add(r)
		if o.atRisk {
			atRisk = append(atRisk, &experiment.Result{Experiment: r.Experiment, Engine: r.Engine, Seed: r.Seed, AtRisk: r.AtRisk})
		}
		return results.write(r)
	})
	bar.clear()
	if err != nil {
		return err
	}
	if o.atRisk {
		printAtRisk(out, atRisk)
	}
	fmt.Fprintln(out, t.summary())
	switch {
	case t.broken+t.failed > 0:
		return errViolated
	case t.void > 0:
		return errVoid
	}
	return nil
}

// atRiskNames are the names of the measures for rules and limits at risk, in the order of the
// printed columns.
var atRiskNames = []string{"ambiguous", "cold_load", "told_away", "budget_refused", "own_ends", "held"}

// printAtRisk prints how close each run came to violating each rule and limit. A dash stands for a
// measure of zero.
func printAtRisk(out io.Writer, results []*experiment.Result) {
	fmt.Fprintf(out, "| storm | engine, seed | %s |\n| --- | --- |%s\n", strings.Join(atRiskNames, " | "), strings.Repeat(" --- |", len(atRiskNames)))
	for _, r := range results {
		fmt.Fprintf(out, "| %s | %s, %d |", r.Experiment, r.Engine, r.Seed)
		for _, name := range atRiskNames {
			switch v := r.AtRisk[name]; {
			case v == 0:
				fmt.Fprint(out, " - |")
			case name == "cold_load":
				fmt.Fprintf(out, " %.2f |", v)
			default:
				fmt.Fprintf(out, " %.0f |", v)
			}
		}
		fmt.Fprintln(out)
	}
}

// validate checks the flags and sets the defaults that depend on them.
func (o *stormFlags) validate(seeds string) (err error) {
	switch {
	case o.all == (len(o.files) > 0):
		return fmt.Errorf("%w: wanted files, or -all", errUsage)
	case !slices.Contains([]string{"virtual", "sockets", "both"}, o.engine):
		return fmt.Errorf("%w: -engine: found %q, wanted virtual, sockets or both", errUsage, o.engine)
	case o.jobs < 0 || o.jobs > 64:
		return fmt.Errorf("%w: -jobs: found %d, wanted 0 to 64", errUsage, o.jobs)
	case o.jobs == 0:
		o.jobs = runtime.GOMAXPROCS(0)
	}
	if o.all {
		o.files, _ = filepath.Glob(filepath.Join(o.dir, "*.toml"))
		if len(o.files) == 0 {
			return fmt.Errorf("%w: -dir: found no storm in %q", errUsage, o.dir)
		}
	}
	o.seeds, err = parseSeeds(seeds)
	return err
}

// parseSeeds parses a seed like "3" or a range of seeds like "1..20".
func parseSeeds(text string) ([]uint64, error) {
	from, to, ranged := strings.Cut(text, "..")
	a, err := strconv.ParseUint(from, 10, 63)
	b := a
	if ranged && err == nil {
		b, err = strconv.ParseUint(to, 10, 63)
	}
	if err != nil || b < a || b-a >= experiment.MaxPoints {
		return nil, fmt.Errorf("%w: -seeds: found %q, wanted a seed or a range like 1..20, of %d at most", errUsage, text, experiment.MaxPoints)
	}
	var all []uint64
	for s := a; s <= b; s++ {
		all = append(all, s)
	}
	return all, nil
}

// points returns all runs to make. An invalid file is a usage error, and each error in the file is
// printed on a separate line.
func (o *stormFlags) points() ([]stormPoint, error) {
	engines := []string{o.engine}
	if o.engine == "both" {
		engines = []string{"virtual", "sockets"}
	}
	var all []stormPoint
	invalid := 0
	for _, file := range o.files {
		spec, errs := experiment.LoadFile(file, o.short, o.overrides)
		for _, err := range errs {
			fmt.Fprintln(os.Stderr, err)
			invalid++
		}
		if invalid > 0 {
			continue
		}
		for _, overrides := range spec.Points() {
			pointSpec, err := spec.WithSettings(overrides)
			if err != nil {
				return nil, fmt.Errorf("%w: %v", errUsage, err)
			}
			for _, seed := range o.seeds {
				for _, engine := range engines {
					all = append(all, stormPoint{pointSpec, append(slices.Clone([]string(o.overrides)), overrides...), seed, engine})
				}
			}
		}
	}
	if invalid > 0 {
		return nil, fmt.Errorf("%w: %w", errUsage, errReported)
	}
	if len(all) > experiment.MaxPoints {
		return nil, fmt.Errorf("%w: found %d runs, wanted %d at most", errUsage, len(all), experiment.MaxPoints)
	}
	return all, nil
}

// runAll makes all runs and passes the results to done in the order of the points. At most jobs
// runs in virtual time are concurrent. Runs on sockets are made one after another, so that the real
// processes of two runs don't compete for the machine.
func (o *stormFlags) runAll(ctx context.Context, points []stormPoint, bar *progressBar, done func(*experiment.Result) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type outcome struct {
		r   *experiment.Result
		err error
	}
	results := make([]chan outcome, len(points))
	slots := make(chan bool, o.jobs)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for i := range points {
		results[i] = make(chan outcome, 1)
	}
	wg.Add(1)
	go func() {
		defer wg.Done()
		for i, p := range points {
			if p.engine != "virtual" {
				continue
			}
			select {
			case slots <- true:
			case <-ctx.Done():
				return
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				r, err := runVirtual(ctx, p, bar)
				results[i] <- outcome{r, err}
				<-slots
			}()
		}
	}()
	for i, p := range points {
		var current outcome
		if p.engine == "virtual" {
			select {
			case current = <-results[i]:
			case <-ctx.Done():
				return ctx.Err()
			}
		} else {
			current.r, current.err = o.runSockets(ctx, p, bar)
		}
		if current.err != nil {
			return current.err
		}
		current.r.Version, current.r.Machine = version(), machine()
		if err := done(current.r); err != nil {
			return err
		}
		bar.runFinished()
	}
	return nil
}

// runVirtual makes one run in virtual time.
func runVirtual(ctx context.Context, p stormPoint, bar *progressBar) (*experiment.Result, error) {
	plan, err := experiment.NewPlan(p.spec, p.seed)
	if err != nil {
		return nil, err
	}
	record, err := virtual.Run(ctx, plan, virtual.Options{Progress: func(at time.Duration) { bar.showExperiment(p.spec.Name, at, p.spec.Duration) }})
	if err != nil {
		return nil, err
	}
	return experiment.Evaluate(plan, record, p.overrides), nil
}

// runSockets makes one run with real processes on loopback.
func (o *stormFlags) runSockets(ctx context.Context, p stormPoint, bar *progressBar) (*experiment.Result, error) {
	if p.spec.World.Hosts > 0 {
		return nil, fmt.Errorf("%w: %s: found hosts, wanted a world without hosts: rig nemesis runs those with hosts", errUsage, p.spec.File)
	}
	plan, err := experiment.NewPlan(p.spec, p.seed)
	if err != nil {
		return nil, err
	}
	argv, dir, cleanup, err := prepareRun(o.program)
	if err != nil {
		return nil, err
	}
	defer cleanup()
	record, err := rig.RunExperiment(ctx, plan, argv, dir, func(at time.Duration) { bar.showExperiment(p.spec.Name, at, p.spec.Duration) })
	if err != nil {
		return nil, err
	}
	return experiment.Evaluate(plan, record, p.overrides), nil
}

// version returns the first 12 digits of the commit that the program was built from, or "unknown".
func version() string {
	if b, ok := debug.ReadBuildInfo(); ok {
		for _, s := range b.Settings {
			if s.Key == "vcs.revision" && len(s.Value) >= 12 {
				return s.Value[:12]
			}
		}
	}
	return "unknown"
}

// machine describes the platform that the program runs on.
func machine() string {
	return fmt.Sprintf("%s/%s, %d cores, %s", runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), runtime.Version())
}

// resultWriter appends results to a file as lines of JSON. It writes each line with a single write,
// so that the file contains only complete lines even if the command is interrupted. It writes
// nothing without a file.
type resultWriter struct{ f *os.File }

// openResultWriter opens the file for appending; path may be empty.
func openResultWriter(path string) (*resultWriter, error) {
	if path == "" {
		return &resultWriter{}, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, fmt.Errorf("%w: -o: %v", errUsage, err)
	}
	return &resultWriter{f}, nil
}

func (w *resultWriter) write(r *experiment.Result) error {
	if w.f == nil {
		return nil
	}
	text, err := json.Marshal(r)
	if err != nil {
		return err
	}
	_, err = w.f.Write(append(text, '\n'))
	return err
}

func (w *resultWriter) Close() {
	if w.f != nil {
		w.f.Close()
	}
}

// stormTotals are sums over all runs.
type stormTotals struct {
	runs, broken, void, failed int
	requests, retries          int
	violations                 map[string]int
	budgetRefused              int
	atRisk                     map[string]bool
}

func (t *stormTotals) add(r *experiment.Result) {
	if t.violations == nil {
		t.violations, t.atRisk = map[string]int{}, map[string]bool{}
	}
	t.runs++
	switch r.Verdict() {
	case "broken":
		t.broken++
	case "void":
		t.void++
	case "failed":
		t.failed++
	}
	for name, n := range r.Violations {
		t.violations[name] += n
	}
	t.requests += int(r.Figures["asked"])
	for _, s := range r.Series {
		t.retries += s.Retries
	}
	t.budgetRefused += int(r.AtRisk["budget_refused"])
	for name, v := range r.AtRisk {
		// A server in warm-up counts as at risk above half of its overload limit.
		if threshold := map[string]float64{"cold_load": 0.5}[name]; v > threshold {
			t.atRisk[name] = true
		}
	}
}

// summary returns the last line of `rig storm`.
func (t *stormTotals) summary() string {
	return fmt.Sprintf("storms=%d broken=%d failed=%d void=%d asked=%d lost=%d twice=%d late_sends=%d tipped=%d retries=%d budget_refused=%d at_stake=%d",
		t.runs, t.broken, t.failed, t.void, t.requests, t.violations["lost"]+t.violations["late"]+t.violations["forged"]+t.violations["after"],
		t.violations["twice"]+t.violations["untrue"], t.violations["late_sends"], t.violations["tipped"], t.retries, t.budgetRefused, len(t.atRisk))
}

// progressBar is a progress line on a terminal. It shows nothing on other outputs.
type progressBar struct {
	mu        sync.Mutex
	out       *os.File
	startedAt time.Time
	lastShown time.Time
	finished  int
	total     int
	terminal  bool
	visible   bool // the line is on the terminal
}

// newProgressBar returns a progress line for a number of runs.
func newProgressBar(w *os.File, total int) *progressBar {
	_, err := unix.IoctlGetTermios(int(w.Fd()), unix.TCGETS)
	return &progressBar{out: w, total: total, startedAt: time.Now(), terminal: err == nil}
}

// showExperiment updates the progress line of an experiment. The line appears one second after the
// start and is updated at most five times a second.
func (b *progressBar) showExperiment(name string, elapsed, duration time.Duration) {
	if !b.terminal {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if now.Sub(b.startedAt) < time.Second || now.Sub(b.lastShown) < 200*time.Millisecond {
		return
	}
	b.lastShown, b.visible = now, true
	fmt.Fprintf(b.out, "\r\x1b[K%d of %d runs; %s at %.0f of %.0f s", b.finished, b.total, name, max(0, elapsed.Seconds()), duration.Seconds())
}

// runFinished counts a finished run.
func (b *progressBar) runFinished() {
	b.mu.Lock()
	b.finished++
	b.mu.Unlock()
}

// clear removes the progress line.
func (b *progressBar) clear() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.visible {
		fmt.Fprint(b.out, "\r\x1b[K")
		b.visible = false
	}
}

// newCheckRunner returns the runner of `rig check`: it prints the errors in storm files, or the
// size of each valid experiment.
func newCheckRunner(f *flag.FlagSet) runner {
	return func(ctx context.Context, files []string, out io.Writer) error {
		if len(files) == 0 {
			return fmt.Errorf("%w: wanted a file", errUsage)
		}
		invalid := false
		for _, file := range files {
			spec, errs := experiment.LoadFile(file, false, nil)
			for _, err := range errs {
				fmt.Fprintln(out, err)
				invalid = true
			}
			if len(errs) == 0 {
				fmt.Fprintf(out, "%s: valid; %d faults, %d assertions, %d points\n", file, len(spec.Faults), len(spec.Assertions), len(spec.Points()))
			}
		}
		if invalid {
			return errReported
		}
		return nil
	}
}
