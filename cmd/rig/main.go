// Command rig runs the test rigs of otterspring on loopback: sidecars as separate processes,
// with fakes of all outside systems. It needs neither root nor configuration.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"otterspring/internal/cli"
	"otterspring/internal/lab/rig"
	"otterspring/internal/lab/scale"
	"otterspring/internal/logging"
	"otterspring/internal/sidecar/entrypoint"
)

// runner runs a command whose flags have been parsed; files are the arguments after the flags.
type runner func(ctx context.Context, files []string, out io.Writer) error

// command is a subcommand of rig. newRunner declares its flags and returns its runner.
type command struct {
	name, arguments, summary string
	newRunner                func(f *flag.FlagSet) runner
}

var commands = []command{
	{"try", "", "one sidecar, 6 call servers and clients; one server hangs and one drains within 10 s", newTryRunner},
	{"fleet", "", "many sidecars under load, restarted at random times that may overlap", newFleetRunner},
	{"storm", "FILE...", "run experiments from storm files: scheduled faults, assertions and verdicts", newStormRunner},
	{"check", "FILE...", "check storm files and print each error on a line", newCheckRunner},
	{"coap", "", "clients and call servers that use CoAP and HTTP at the same time, on links that lose datagrams", newCoAPRunner},
	{"nemesis", "FILE...", "run real processes with faults generated from a seed, check the histories and shrink failing schedules", newNemesisRunner},
	{"soak", "", "run generated experiments with restarts, series of signals and connection bursts; repeat and shrink those that fail", newSoakRunner},
	{"owner", "", "rolling restarts of many hosts while processes fail: one lease holder at a time, no instance restarted twice or left out", newOwnerRunner},
	{"council", "", "measure a coordination cluster: commits, fsyncs and watch events", newCouncilRunner},
	{"scale", "", "distribute configuration to thousands of subscribers through relays, with faults generated from a seed; or run several sizes and fit lines", newScaleRunner},
	{"fit", "FILE...", "fit lines with confidence intervals to benchmarks of several sizes, from the output of go test -bench", newFitRunner},
	{"judge", "FILE...", "check recorded histories against all invariants", newJudgeRunner},
	{"report", "FILE...", "make a page with plots from results of experiments", newReportRunner},
	{"mutants", "", "change one line of the program at a time and report which tests and experiments notice", newMutantsRunner},
	{"speed", "", "compare a sidecar with net/http/httputil's ReverseProxy", newSpeedRunner},
}

var (
	// errViolated is the error of a run that violated a rule or failed an assertion.
	errViolated = errors.New("a rule was violated or an assertion failed")
	errUsage    = cli.ErrUsage
)

func main() { os.Exit(run(os.Args[1:])) }

// run runs the command line and returns the exit code: 0 on success, 1 if a rule was violated,
// an assertion failed or the command could not run, 2 for a usage error, 3 for a void run.
func run(args []string) int {
	if len(args) > 0 && args[0] == sidecarCommand {
		// The rig runs itself as the sidecar if sidecarProgram finds no other program.
		return entrypoint.Main(args[1:], os.Stderr)
	}
	if len(args) > 0 && args[0] == rig.ReaperArgument {
		return rig.Reap(os.Stdin)
	}
	if len(args) > 0 && args[0] == scale.SimulatorCommand {
		return scale.RunSimulator(os.Stdin, os.Stdout, os.Stderr)
	}
	if len(args) > 0 && args[0] == proxyCommand {
		return runProxy(args[1:])
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var log logging.Options
	err := execute(ctx, args, os.Stdout, os.Stderr, &log)
	code := 1
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errUsage):
		code = 2
	case errors.Is(err, errVoid):
		code = 3
	}
	if !errors.Is(err, errReported) {
		cli.ReportError(os.Stderr, "rig", &log, err)
	}
	return code
}

// execute runs the command that args name and stores its logging options in log.
func execute(ctx context.Context, args []string, out, errw io.Writer, log *logging.Options) error {
	var subs []*cobra.Command
	for i := range commands {
		subs = append(subs, commands[i].cobraCommand(out))
	}
	root := cli.NewGroup("rig", "run the test rigs of otterspring on loopback",
		"rig runs the test rigs of otterspring on loopback. It needs no root. The last line of\n"+
			"output has key=value figures. Exit codes: 0 success, 1 a rule was violated or an\n"+
			"assertion failed, 2 usage error, 3 void run. Flags may have one dash or two.", subs...)
	flags := cli.AddLogFlags(root)
	defer func() { *log = *flags }()
	root.SetOut(out)
	root.SetErr(errw)
	root.SetArgs(cli.NormalizeFlags(args))
	return root.ExecuteContext(ctx)
}

// cobraCommand returns the cobra command that parses the flags of c and runs it.
func (c *command) cobraCommand(out io.Writer) *cobra.Command {
	flags := flag.NewFlagSet(c.name, flag.ContinueOnError)
	runCommand := c.newRunner(flags)
	cmd := &cobra.Command{
		Use: strings.TrimSpace(c.name + " [flags] " + c.arguments), Short: c.summary, DisableFlagsInUseLine: true,
		Args: func(_ *cobra.Command, args []string) error {
			if c.arguments == "" && len(args) > 0 {
				return fmt.Errorf("%w: %s: found %q, wanted flags only", errUsage, c.name, args[0])
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := runCommand(cmd.Context(), args, out); err != nil {
				return fmt.Errorf("%s: %w", c.name, err)
			}
			return nil
		},
	}
	cmd.Flags().AddGoFlagSet(flags)
	return cmd
}

// Internal commands. sidecarCommand runs the rig as a sidecar. proxyCommand runs the rig as the
// reverse proxy with which `rig speed` compares a sidecar.
const (
	sidecarCommand = "run-sidecar"
	proxyCommand   = "run-proxy"
)

// checkRange returns a usage error if the value of a flag is out of range.
func checkRange[T int | float64 | time.Duration](name string, value, minimum, maximum T) error {
	if value < minimum || value > maximum {
		return fmt.Errorf("%w: -%s: found %v, wanted %v to %v", errUsage, name, value, minimum, maximum)
	}
	return nil
}

// sidecarProgram returns the command line of the sidecar. The sidecar is the configured program, if
// any. Otherwise it is sandhinge in this program's folder, or this program itself if there is no
// sandhinge.
func sidecarProgram(configured string) ([]string, error) {
	if configured != "" {
		path, err := programPath("program", configured)
		return []string{path}, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	sibling := filepath.Join(filepath.Dir(self), "sandhinge")
	if _, err := os.Stat(sibling); err == nil {
		return []string{sibling}, nil
	}
	return []string{self, sidecarCommand}, nil
}

// programPath returns the absolute path of the program that a flag names. It returns a usage error
// if the path is not that of an executable file.
func programPath(flagName, path string) (string, error) {
	info, err := os.Stat(path)
	if err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
		return "", fmt.Errorf("%w: -%s: found no program at %q", errUsage, flagName, path)
	}
	return filepath.Abs(path)
}

// prepareRun returns the command line of the sidecar that sidecarProgram finds. It also creates the
// folder of a run and returns the path of the folder and a function that removes it.
func prepareRun(configured string) (argv []string, dir string, cleanup func(), err error) {
	if argv, err = sidecarProgram(configured); err != nil {
		return nil, "", nil, err
	}
	dir, cleanup, err = makeRunDir()
	return argv, dir, cleanup, err
}

// makeRunDir creates the folder of a run. The returned function removes it.
func makeRunDir() (string, func(), error) {
	dir, err := os.MkdirTemp("", "rig")
	return dir, func() { os.RemoveAll(dir) }, err
}
