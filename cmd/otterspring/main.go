// Command otterspring is the operators' command: it checks files before they
// are used and runs fleets of sidecars.
package main

import (
	"errors"
	"io"
	"log/slog"
	"os"

	"otterspring/internal/cli"
	"otterspring/internal/logs"
)

var (
	errUsage = cli.ErrUsage
	errSaid  = cli.ErrSaid
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run returns the exit code: 0, 1 where a check failed, 2 for a usage that is
// none.
func run(args []string, out, errw io.Writer) int {
	var log *logs.Options
	logger := func() *slog.Logger { return logs.New(out, *log) }
	root := cli.Root("otterspring", "the operators' command",
		"otterspring checks files before they are used, runs fleets of sidecars, councils and\n"+
			"relays of configuration. Exit codes:\n"+
			"0 done, 1 a check failed or it could not be done, 2 usage. Flags may have one dash or two.",
		checkCommand(out), fleetCommand(out, logger), councilCommand(out, logger), relayCommand(out, logger))
	log = cli.LogFlags(root)
	root.SetOut(out)
	root.SetErr(errw)
	root.SetArgs(cli.TwoDashes(args))
	err := root.Execute()
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errSaid):
		return 1
	}
	cli.Fail(errw, "otterspring", log, err)
	if errors.Is(err, errUsage) {
		return 2
	}
	return 1
}
