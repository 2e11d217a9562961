// Package entrypoint is the sidecar's main program: flags, signals, the operator's file, the
// handover between two processes, and notifications to the service manager. Rigs and
// tests run the same program as their own child processes.
//
// It is apart from package sidecar because a sidecar that starts in a test's own process
// limits the Go runtime of that process, while the tests here drive sidecars as processes
// from a rig that must not be limited.
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

The sidecar. It reads the configuration that RELAY_CONFIG names and, with
-operator, the operator's file (docs/operate). Without one everything in it is
off. The log goes to standard error, lines of key=value or JSON, from the level
on: debug, info (the default), warn or error. Signals: SIGTERM and SIGINT drain and end, SIGHUP reads both files again.
`

// Exit codes of Main.
const (
	exitOK     = 0 // after an orderly end
	exitFailed = 1 // the sidecar could not start
	exitUsage  = 2
)

// Main runs the program with its arguments and returns its exit code. It may be called
// once in a process: it handles the process's signals and sets the default logger.
func Main(args []string, stderr io.Writer) int {
	flags := flag.NewFlagSet("sandhinge", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	operatorPath := flags.String("operator", "", "")
	var logOptions logging.Options
	logOptions.Flags(flags)
	if err := flags.Parse(args); err != nil || flags.NArg() > 0 {
		if errors.Is(err, flag.ErrHelp) {
			printTo(stderr, usage)
			return exitOK
		}
		if err == nil {
			err = fmt.Errorf("found %q, wanted no arguments", flags.Arg(0))
		}
		printTo(stderr, fmt.Sprintf("sandhinge: %v; -help says more\n", err))
		return exitUsage
	}
	// Registered first of all: by default SIGHUP would end the process.
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

// printTo writes to standard error. An error of that can't be reported anywhere.
func printTo(stderr io.Writer, text string) { _, _ = io.WriteString(stderr, text) }
