package mutant

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Runner evaluates mutants in copies of a source tree.
type Runner struct {
	SourceDir      string        // root of the source tree
	WorkDir        string        // folder for the copies; the caller removes it
	GoCommand      string        // path or name of the go command
	StepTimeout    time.Duration // time limit of a step; tests or experiments that exceed it count as "hangs"
	ExperimentArgs []string      // arguments of `rig storm`; nil runs no experiments
	MultiProcess   bool          // also run the experiments that MultiProcessArgs of a mutant selects
}

// Result lists the tests and experiments that detected a mutant.
type Result struct {
	Mutant           Mutant
	Tests            []string // names of failed tests, or "hangs" or "crashes"
	Experiments      []string // names of experiments that ended as broken, failed or void, or "hangs" or "crashes"
	MultiProcessRuns []string // multi-process experiments that ended as broken or failed, or "hangs" or "crashes"
	Err              error    // reason why the mutant could not be evaluated
}

// Detected reports whether any test or experiment detected the mutant.
func (r *Result) Detected() bool { return len(r.Tests)+len(r.Experiments)+len(r.MultiProcessRuns) > 0 }

// testPackages returns the package of a source file and the dependent packages whose tests may
// detect a fault in it.
func testPackages(file string) []string {
	dir := filepath.ToSlash(filepath.Dir(file))
	dependents := map[string][]string{
		"balance":                          {"./internal/lab/mutant"},
		"internal/sidecar/httpupstream":    {"./internal/sidecar", "./internal/sidecar/entrypoint"},
		"internal/sidecar/httpserver":      {"./internal/sidecar", "./internal/sidecar/entrypoint"},
		"internal/sidecar/discovery":       {"./internal/sidecar", "./internal/sidecar/entrypoint"},
		"internal/fleet/endpointlist":      {"./internal/fleet/supervisor"},
		"internal/coap/exchange":           {"./internal/coap/server"},
		"internal/sidecar/coapserver":      {"./internal/sidecar"},
		"internal/sidecar/dispatch":        {"./internal/sidecar", "./internal/sidecar/entrypoint"},
		"internal/sidecar":                 {"./internal/sidecar/entrypoint"},
		"internal/sidecar/discovery/drain": {"./internal/sidecar"},
		"internal/sidecar/handover":        {"./internal/sidecar/entrypoint"},
		"internal/lab/invariant":           {"./internal/lab/standin/clients"},
		"internal/fleet/supervisor":        {"./internal/lab/rig"},
		"internal/fleet/lifecycle":         {"./internal/fleet/supervisor", "./internal/lab/rig"},
		// Package relay also tests package configuration, with several processes.
		"internal/fleet/configuration": {"./internal/fleet/relay"},
	}[dir]
	return append([]string{"./" + dir}, dependents...)
}

// Apply returns the contents of the mutated files, by path relative to the root of the tree. It
// reports an error if the old text of an edit does not occur exactly once in its file.
func (m *Mutant) Apply(tree string) (map[string]string, error) {
	changed := map[string]string{}
	for _, edit := range m.allEdits() {
		text, read := changed[edit.File]
		if !read {
			content, err := os.ReadFile(filepath.Join(tree, edit.File))
			if err != nil {
				return nil, err
			}
			text = string(content)
		}
		if n := strings.Count(text, edit.Old); n != 1 {
			return nil, fmt.Errorf("mutant %s: %s: found %q %d times, wanted once", m.Name, edit.File, firstLine(edit.Old), n)
		}
		changed[edit.File] = strings.Replace(text, edit.Old, edit.New, 1)
	}
	return changed, nil
}

func firstLine(s string) string {
	line, _, _ := strings.Cut(strings.TrimSpace(s), "\n")
	return line
}

// CheckApplies reports the mutants whose edits do not apply to a source tree.
func CheckApplies(tree string, table []Mutant) error {
	var errs []error
	for i := range table {
		_, err := table[i].Apply(tree)
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// Evaluate applies a mutant to a copy of the source tree and runs the tests and experiments that
// may detect it.
func (r *Runner) Evaluate(ctx context.Context, m Mutant) Result {
	f := Result{Mutant: m}
	dir := filepath.Join(r.WorkDir, m.Name)
	defer os.RemoveAll(dir)
	if f.Err = copyTree(r.SourceDir, dir); f.Err != nil {
		return f
	}
	changed, err := m.Apply(dir)
	if err != nil {
		f.Err = err
		return f
	}
	for file, text := range changed {
		if f.Err = os.WriteFile(filepath.Join(dir, file), []byte(text), 0o644); f.Err != nil {
			return f
		}
	}
	if out, err := r.runGo(ctx, dir, "build", "./..."); err != nil {
		f.Err = fmt.Errorf("mutant %s does not build: %s", m.Name, firstLine(strings.TrimPrefix(out, "#")))
		return f
	}
	if !m.MultiProcessOnly {
		f.Tests, f.Err = r.runTests(ctx, dir, testPackages(m.File), "")
	}
	if f.Err == nil && len(f.Tests) > 0 {
		// A single failure may be due to a slow machine. A failure counts only if it recurs.
		f.Tests, f.Err = r.runTests(ctx, dir, testPackages(m.File), testPattern(f.Tests))
	}
	if f.Err == nil && len(r.ExperimentArgs) > 0 && !m.MultiProcessOnly {
		f.Experiments, f.Err = r.runExperiments(ctx, dir, append([]string{"storm"}, r.ExperimentArgs...), experimentPattern)
	}
	if f.Err == nil && r.MultiProcess && m.MultiProcessArgs != "" {
		f.MultiProcessRuns, f.Err = r.runMultiProcess(ctx, dir, strings.Fields(m.MultiProcessArgs))
	}
	return f
}

var failedTestPattern = regexp.MustCompile(`(?m)^--- FAIL: (\S+)`)

// testPattern returns the -run pattern that selects the named tests. It returns an empty pattern if
// the package hung or crashed, because the output does not show which test is responsible.
func testPattern(names []string) string {
	if slices.Contains(names, "hangs") || slices.Contains(names, "crashes") {
		return ""
	}
	return "^(" + strings.Join(names, "|") + ")$"
}

// runTests runs the tests of pkgs that match pattern and returns the names of those that failed. An
// empty pattern selects all tests.
func (r *Runner) runTests(ctx context.Context, dir string, pkgs []string, pattern string) ([]string, error) {
	// TestTableApplies fails in a mutated copy, because the original text is no longer there.
	args := append([]string{
		"test", "-count=1", "-skip=^TestTableApplies$",
		fmt.Sprintf("-timeout=%v", r.StepTimeout), "-run=" + pattern,
	}, pkgs...)
	out, err := r.runGo(ctx, dir, args...)
	if err == nil {
		return nil, nil
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	var names []string
	for _, m := range failedTestPattern.FindAllStringSubmatch(out, -1) {
		if !slices.Contains(names, m[1]) {
			names = append(names, m[1])
		}
	}
	switch {
	case strings.Contains(out, "panic: test timed out"), errors.Is(err, errTimeout):
		names = append(names, "hangs")
	case strings.Contains(out, "\npanic: ") || strings.Contains(out, "fatal error: "):
		names = append(names, "crashes")
	}
	if len(names) == 0 {
		return nil, fmt.Errorf("go test failed without naming a test: %.300s", out)
	}
	return names, nil
}

// experimentPattern matches the result lines of experiments that count as a detection. A void run
// counts.
var experimentPattern = regexp.MustCompile(`(?m)^(\S+) +(?:virtual|sockets) +seed \d+ +(broken|failed|void) `)

// multiProcessPattern matches the result lines of multi-process experiments that count as a
// detection. A void run does not count.
var multiProcessPattern = regexp.MustCompile(`(?m)(\S+) +sockets +seed \d+ +(broken|failed) `)

// runExperiments runs the rig of the copy with args and returns the names of the experiments whose
// result lines match pattern.
func (r *Runner) runExperiments(
	ctx context.Context, dir string, args []string, pattern *regexp.Regexp,
) ([]string, error) {
	out, err := r.runGo(ctx, dir, append([]string{"run", "./cmd/rig"}, args...)...)
	if err == nil {
		return nil, nil
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	var names []string
	for _, m := range pattern.FindAllStringSubmatch(out, -1) {
		if name := m[1]; !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	switch {
	case errors.Is(err, errTimeout):
		names = append(names, "hangs")
	case strings.Contains(out, "panic: "):
		names = append(names, "crashes")
	}
	if len(names) == 0 && strings.Contains(out, "void=") && !strings.Contains(out, "void=0") {
		return nil, fmt.Errorf("%w: %.300s", errVoid, out[max(0, len(out)-300):])
	}
	if len(names) == 0 {
		return nil, fmt.Errorf("rig failed without naming an experiment: %.300s", out)
	}
	return names, nil
}

var (
	errTimeout = errors.New("step exceeded its time limit")
	errVoid    = errors.New("runs were void and none detected the mutant")
)

// multiProcessTries is the maximum number of runs of a multi-process experiment. A run is repeated
// while it is void, which happens on a machine that is busy with other work.
const multiProcessTries = 3

// runMultiProcess runs a multi-process experiment and repeats it while its runs are void.
func (r *Runner) runMultiProcess(ctx context.Context, dir string, args []string) (detected []string, err error) {
	for range multiProcessTries {
		detected, err = r.runExperiments(ctx, dir, args, multiProcessPattern)
		if !errors.Is(err, errVoid) {
			break
		}
	}
	return detected, err
}

// runGo runs the go command in dir with a time limit. It kills the whole process group of the
// command when the time limit expires or ctx is cancelled.
func (r *Runner) runGo(ctx context.Context, dir string, args ...string) (string, error) {
	stepCtx, cancel := context.WithTimeout(ctx, r.StepTimeout+30*time.Second)
	defer cancel()
	cmd := exec.CommandContext(stepCtx, r.GoCommand, args...)
	cmd.Dir = dir
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	cmd.Cancel = func() error { return syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) }
	cmd.WaitDelay = 5 * time.Second
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Run()
	if stepCtx.Err() != nil && ctx.Err() == nil {
		return out.String(), errTimeout
	}
	return out.String(), err
}

// copyTree copies a source tree without version history, built programs, journal and notes.
func copyTree(source, target string) error {
	return filepath.WalkDir(source, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(source, path)
		if err != nil {
			return err
		}
		if d.IsDir() {
			if name := d.Name(); rel != "." && (name == ".git" || name == "bin" || name == "journal" || name == "notes") {
				return filepath.SkipDir
			}
			return os.MkdirAll(filepath.Join(target, rel), 0o755)
		}
		if !d.Type().IsRegular() {
			return nil
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(target, rel), text, 0o644)
	})
}
