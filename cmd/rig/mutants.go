package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"otterspring/internal/lab/mutant"
)

// newMutantsRunner returns the runner of `rig mutants`: it applies one mutant at a time to a copy
// of the sources and reports which tests and experiments notice it.
func newMutantsRunner(f *flag.FlagSet) runner {
	sourceDir := f.String("tree", ".", "root folder of the sources")
	only := f.String("only", "", "names of mutants, separated by commas; empty for all")
	jobs := f.Int("jobs", 0, "mutants tested concurrently, 1 to 64; 0 for half the cores")
	timeLimit := f.Duration("within", 90*time.Second, "time limit for the tests of one mutant, 5s to 10m; longer ones count as hanging")
	seeds := f.String("seeds", "1..2", "seeds of the experiments that each mutant is tested with")
	processMode := f.String("played", "yes", "run the experiments with several processes that mutants name: yes, no, or only (no tests and no other experiments)")
	output := f.String("o", "", "write the table to this Markdown file")
	return func(ctx context.Context, _ []string, out io.Writer) error {
		if err := checkMutantFlags(*timeLimit, *jobs); err != nil {
			return err
		}
		if _, err := parseSeeds(*seeds); err != nil {
			return err
		}
		table, err := selectMutants(*only)
		if err != nil {
			return err
		}
		if !slices.Contains([]string{"yes", "no", "only"}, *processMode) {
			return fmt.Errorf("%w: -played: found %q, wanted yes, no or only", errUsage, *processMode)
		}
		if *processMode == "only" {
			table = slices.DeleteFunc(slices.Clone(table), func(m mutant.Mutant) bool { return m.MultiProcessArgs == "" })
			for i := range table {
				table[i].MultiProcessOnly = true
			}
		}
		if err := mutant.CheckApplies(*sourceDir, table); err != nil {
			return fmt.Errorf("%w: %s", errUsage, strings.ReplaceAll(err.Error(), "\n", "; "))
		}
		workDir, cleanup, err := makeRunDir()
		if err != nil {
			return err
		}
		defer cleanup()
		if *jobs == 0 {
			*jobs = max(1, runtime.GOMAXPROCS(0)/2)
		}
		mutantRunner := &mutant.Runner{SourceDir: *sourceDir, WorkDir: workDir, GoCommand: "go", StepTimeout: *timeLimit, ExperimentArgs: []string{"-all", "-short", "-seeds", *seeds, "-jobs", "2"}, MultiProcess: *processMode != "no"}
		// A test or experiment that fails on unchanged sources can't show whether it notices a
		// mutant.
		for _, f := range tryMutants(ctx, mutantRunner, controlMutants(table, *processMode), *jobs, out) {
			if f.Err != nil {
				return f.Err
			}
			if f.Detected() {
				return fmt.Errorf("%w: %s fails with unchanged sources (%s)", errVoid, f.Mutant.Name, describeFinding(&f))
			}
		}
		findings := tryMutants(ctx, mutantRunner, table, *jobs, out)
		if err := ctx.Err(); err != nil {
			return err
		}
		return reportMutants(out, *output, findings)
	}
}

// controlMutants returns mutants that change nothing: mutant.Controls, and one mutant for each
// multi-process experiment named in the table.
func controlMutants(table []mutant.Mutant, processMode string) []mutant.Mutant {
	var controls []mutant.Mutant
	if processMode != "only" {
		controls = slices.Clone(mutant.Controls)
	}
	seen := map[string]bool{}
	for _, m := range table {
		if processMode == "no" || m.MultiProcessArgs == "" || seen[m.MultiProcessArgs] {
			continue
		}
		seen[m.MultiProcessArgs] = true
		control := mutant.Controls[0]
		control.Name, control.MultiProcessArgs, control.MultiProcessOnly = fmt.Sprintf("unchanged-played-%d", len(seen)), m.MultiProcessArgs, true
		controls = append(controls, control)
	}
	return controls
}

// checkMutantFlags returns a usage error if -within or -jobs is out of range.
func checkMutantFlags(timeLimit time.Duration, jobs int) error {
	if err := checkRange("within", timeLimit, 5*time.Second, 10*time.Minute); err != nil {
		return err
	}
	return checkRange("jobs", jobs, 0, 64)
}

// selectMutants returns the mutants with the given names, which are separated by commas. It returns
// all mutants if there are no names.
func selectMutants(names string) ([]mutant.Mutant, error) {
	if names == "" {
		return mutant.Table, nil
	}
	var selected []mutant.Mutant
	for _, name := range strings.Split(names, ",") {
		before := len(selected)
		for _, m := range mutant.Table {
			if m.Name == name {
				selected = append(selected, m)
			}
		}
		if len(selected) == before {
			return nil, fmt.Errorf("%w: -only: found %q, wanted the name of a mutant", errUsage, name)
		}
	}
	return selected, nil
}

// tryMutants tests mutants, at most jobs of them concurrently, and prints each finding when it
// is complete.
func tryMutants(ctx context.Context, mutantRunner *mutant.Runner, table []mutant.Mutant, jobs int, out io.Writer) []mutant.Result {
	findings := make([]mutant.Result, len(table))
	slots := make(chan bool, jobs)
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i, m := range table {
		slots <- true
		if ctx.Err() != nil {
			break
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			f := mutantRunner.Evaluate(ctx, m)
			findings[i] = f
			mu.Lock()
			fmt.Fprintf(out, "%-20s %s\n", m.Name, describeFinding(&f))
			mu.Unlock()
			<-slots
		}()
	}
	wg.Wait()
	return findings
}

// describeFinding returns a description of what noticed a mutant.
func describeFinding(f *mutant.Result) string {
	switch {
	case f.Err != nil:
		return "not tested: " + f.Err.Error()
	case !f.Detected() && f.Mutant.Defect == "nothing":
		return "not noticed, as expected"
	case !f.Detected() && f.Mutant.UndetectedReason != "":
		return "not noticed, as expected: " + f.Mutant.UndetectedReason
	case !f.Detected():
		return "NOT NOTICED"
	}
	return fmt.Sprintf("tests: %s; experiments: %s; process experiments: %s", joinNames(f.Tests), joinNames(f.Experiments), describeProcessRuns(f))
}

// describeProcessRuns names the experiments with several processes that noticed a mutant. It
// returns a dash if the mutant names no such experiment.
func describeProcessRuns(f *mutant.Result) string {
	if f.Mutant.MultiProcessArgs == "" {
		return "-"
	}
	return joinNames(f.MultiProcessRuns)
}

// joinNames lists at most four names and the number of the others.
func joinNames(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	if len(names) > 4 {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:4], ", "), len(names)-4)
	}
	return strings.Join(names, ", ")
}

// reportMutants writes the table of findings to path, unless path is empty, and prints the counts.
// It returns errViolated if a mutant was missed or could not be tested.
func reportMutants(out io.Writer, path string, findings []mutant.Result) error {
	var b strings.Builder
	fmt.Fprintf(&b, "| mutant | file | what it breaks | tests that notice | experiments that notice | process experiments that notice |\n| --- | --- | --- | --- | --- | --- |\n")
	byTest, byStorm, byProcesses, withProcesses, noticed, unseen, missed, failed := 0, 0, 0, 0, 0, 0, 0, 0
	for i := range findings {
		f := &findings[i]
		tests, storms := joinNames(f.Tests), joinNames(f.Experiments)
		switch {
		case f.Err != nil:
			failed++
			tests = "not tested"
		case f.Detected():
			noticed++
		case f.Mutant.UndetectedReason != "":
			unseen++
			tests = "none: " + f.Mutant.UndetectedReason
		default:
			missed++
			tests = "**none**"
		}
		if len(f.Tests) > 0 {
			byTest++
		}
		if len(f.Experiments) > 0 {
			byStorm++
		}
		if f.Mutant.MultiProcessArgs != "" {
			withProcesses++
			if len(f.MultiProcessRuns) > 0 {
				byProcesses++
			}
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s |\n", f.Mutant.Name, filepath.ToSlash(f.Mutant.File), f.Mutant.Defect, tests, storms, describeProcessRuns(f))
	}
	if path != "" {
		if err := os.WriteFile(path, []byte(b.String()), 0o644); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "mutants=%d noticed=%d by_tests=%d by_storms=%d by_processes=%d/%d unseen=%d missed=%d failed=%d\n", len(findings), noticed, byTest, byStorm, byProcesses, withProcesses, unseen, missed, failed)
	if missed+failed > 0 {
		return errViolated
	}
	return nil
}
