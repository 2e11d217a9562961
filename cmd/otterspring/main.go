// Command otterspring is the operators' command. It checks configuration files, runs
// supervisors of sidecars, members of the coordination cluster and relays, and changes
// the configuration of services.
package main

import (
	"errors"
	"io"
	"log/slog"
	"os"

	"otterspring/internal/cli"
	"otterspring/internal/logging"
)

var (
	errUsage    = cli.ErrUsage
	errReported = cli.ErrReported
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// Exit codes, which scripts depend on.
const (
	exitDone = iota
	exitFailed
	exitUsage
	exitConflict // "config put": the service's current version differs from the value of -if-version
)

// run executes the command with the given arguments and returns its exit code.
func run(args []string, out, errw io.Writer) int {
	var log *logging.Options
	logger := func() *slog.Logger { return logging.New(out, *log) }
	root := cli.NewGroup("otterspring", "the operators' command",
		"otterspring checks files before they are used, runs fleets of sidecars, councils and\n"+
			"relays of configuration, and changes the settings of services. Exit codes:\n"+
			"0 done, 1 a check failed or it could not be done, 2 usage, 3 a version conflict (config put).\n"+
			"Flags may have one dash or two.",
		checkCommand(out), fleetCommand(out, logger), councilCommand(out, logger), relayCommand(out, logger), configCommand(out))
	log = cli.AddLogFlags(root)
	root.SetOut(out)
	root.SetErr(errw)
	root.SetArgs(cli.NormalizeFlags(args))
	err := root.Execute()
	switch {
	case err == nil:
		return exitDone
	case errors.Is(err, errReported):
		return exitFailed
	}
	cli.ReportError(errw, "otterspring", log, err)
	switch {
	case errors.Is(err, errUsage):
		return exitUsage
	case errors.Is(err, errConflict):
		return exitConflict
	}
	return exitFailed
}
