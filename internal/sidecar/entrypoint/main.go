// Package entrypoint implements the main program of the sidecar: flags, signals, the operator's
// file, the handover between two processes, and notifications to the service manager. Test rigs
// run the same program as child processes.
//
// It is separate from package sidecar because starting a sidecar limits the Go runtime of its
// process. The tests of this package start sidecars as child processes of a rig. The Go runtime
// of the rig's own process must not be limited.
package entrypoint

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"otterspring/internal/logging"
)

const usage = `usage: sandhinge [-operator FILE] [-log-format text|json] [-log-level LEVEL]

Runs the sidecar. The environment variable RELAY_CONFIG is the path of the
configuration file; -operator is that of the operator's file (docs/operate),
which enables optional features. The log is written to standard error as lines
of key=value or JSON, at the given level and above: debug, info (the default),
warn or error. SIGTERM and SIGINT drain and exit; SIGHUP reloads both files.
`

// Exit codes of Main.
const (
	exitOK     = 0 // graceful shutdown, or -help
	exitFailed = 1 // the sidecar failed to start
	exitUsage  = 2 // invalid flags or arguments
)

// Main runs the program with the given arguments and returns its exit code. It must be called at
// most once per process, since it installs signal handlers and sets the default logger.
func Main(args []string, stderr io.Writer) int {
	flags := flag.NewFlagSet("sandhinge", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	operatorPath := flags.String("operator", "", "")
	var logOptions logging.Options
	logOptions.AddFlags(flags)
	if err := flags.Parse(args); err != nil || flags.NArg() > 0 {
		if errors.Is(err, flag.ErrHelp) {
			printTo(stderr, usage)
			return exitOK
		}
		if err == nil {
			err = fmt.Errorf("found %q, wanted no arguments", flags.Arg(0))
		}
		printTo(stderr, fmt.Sprintf("sandhinge: %v; run with -help for usage\n", err))
		return exitUsage
	}
	// Signals are registered before anything else, because SIGHUP terminates the process by
	// default.
	p := &process{operatorPath: *operatorPath, reload: make(chan os.Signal, 1), stop: make(chan os.Signal, 1)}
	signal.Notify(p.reload, syscall.SIGHUP)
	signal.Notify(p.stop, syscall.SIGTERM, syscall.SIGINT)
	slog.SetDefault(logging.New(stderr, logOptions))
	if err := p.run(); err != nil {
		slog.Error("sidecar failed", "error", err)
		return exitFailed
	}
	return exitOK
}

// printTo writes text to standard error and ignores an error, which could not be reported.
func printTo(stderr io.Writer, text string) { _, _ = io.WriteString(stderr, text) }
