package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"otterspring/internal/cli"
	"otterspring/internal/fleet/rollout"
	"otterspring/internal/fleet/supervisor"
)

// fleetCommand is `otterspring fleet` with its verbs.
func fleetCommand(out io.Writer, log func() *slog.Logger) *cobra.Command {
	return cli.Root("fleet", "run many sidecars on a host, restart and reload them",
		"fleet supervises the instances that a file describes (docs/operate/fleet.md). run does so\n"+
			"until SIGTERM or SIGINT, and then stops them; the other verbs send a command to the running\n"+
			"supervisor over its control socket. If the supervisor is killed the instances continue, and\n"+
			"the next one adopts them. Exit codes: 0 done, 1 failed, 2 usage.",
		fileVerb("run", "supervise until a signal, then stop all", func(ctx context.Context, f *supervisor.File) error {
			return runFleet(ctx, f, log())
		}),
		fileVerb("check", "report what is wrong with a file, start nothing", func(_ context.Context, f *supervisor.File) error {
			return checkFleet(f, out)
		}),
		controlVerb("status", "what each instance does", out),
		controlVerb("resume", "resume a rolling restart or reload that has paused", out),
		controlVerb("cancel", "cancel a rolling restart or reload", out),
		controlVerb("stop", "stop all instances and the supervisor", out),
		rollingVerb("restart", "restart all instances, or those named, at most restart.at_once at a time", out),
		rollingVerb("reload", "reload all instances, or those named", out))
}

// fileVerb is a verb that takes a fleet file and no other argument.
func fileVerb(name, short string, do func(ctx context.Context, f *supervisor.File) error) *cobra.Command {
	return &cobra.Command{Use: name + " FILE", Short: short, DisableFlagsInUseLine: true, RunE: func(c *cobra.Command, args []string) error {
		if len(args) > 1 {
			return fmt.Errorf("%w: fleet %s: found %q, wanted nothing behind the file", errUsage, name, args[1])
		}
		f, err := loadFleetFile(name, args)
		if err != nil {
			return err
		}
		return do(c.Context(), f)
	}}
}

// loadFleetFile loads the file that is the first argument of a verb.
func loadFleetFile(verb string, args []string) (*supervisor.File, error) {
	if len(args) == 0 {
		return nil, fmt.Errorf("%w: fleet %s: wanted a file", errUsage, verb)
	}
	return supervisor.LoadFile(args[0])
}

// controlVerb is a verb that the supervisor carries out.
func controlVerb(name, short string, out io.Writer) *cobra.Command {
	return fileVerb(name, short, func(_ context.Context, f *supervisor.File) error { return sendCommand(f, out, name) })
}

// rollingOptions are the flags of a rolling restart or reload.
type rollingOptions struct {
	wait       bool
	everywhere bool   // on all hosts of the cluster
	program    string // of a restart; empty for the one that runs
	rollout    rollout.Request
}

// rollingVerb is a verb that restarts or reloads instances one after another.
func rollingVerb(name, short string, out io.Writer) *cobra.Command {
	var options rollingOptions
	command := &cobra.Command{Use: name + " [flags] FILE [NAME...]", Short: short, DisableFlagsInUseLine: true}
	command.RunE = func(c *cobra.Command, args []string) error {
		f, err := loadFleetFile(name, args)
		if err != nil {
			return err
		}
		return options.run(c.Context(), name, f, args[1:], out)
	}
	flags := command.Flags()
	flags.BoolVar(&options.wait, "wait", false, "return when all instances are done")
	if name == "restart" {
		flags.StringVar(&options.program, "program", "", "the program to roll out; empty for the one that runs")
	}
	flags.BoolVar(&options.everywhere, "everywhere", false, name+" on all hosts of the file's council, by its lease holder")
	flags.IntVar(&options.rollout.MaxConcurrent, "at-once", 1, "with -everywhere: instances in progress at a time in the fleet")
	flags.IntVar(&options.rollout.MaxConcurrentPerZone, "zone-at-once", 0, "with -everywhere: in a zone; 0 for no separate bound")
	return command
}

// run requests a rolling restart or reload of the named instances, or of all.
func (o *rollingOptions) run(ctx context.Context, verb string, f *supervisor.File, names []string, out io.Writer) error {
	if o.everywhere {
		request := o.rollout
		request.Program, request.Reload = o.program, verb == "reload"
		return rollOutEverywhere(ctx, f, request, names, o.wait, out)
	}
	command := []string{verb}
	if o.program != "" {
		command = append(command, "-program", o.program)
	}
	if err := sendCommand(f, out, append(command, names...)...); err != nil || !o.wait {
		return err
	}
	return waitForUpdate(ctx, f, out)
}

// sendCommand sends a command to the supervisor and prints its response.
func sendCommand(f *supervisor.File, out io.Writer, command ...string) error {
	response, err := supervisor.SendCommand(f.Control, command...)
	if err != nil {
		return err
	}
	_, err = io.WriteString(out, response)
	return err
}

// checkFleet prints how many instances a file has.
func checkFleet(f *supervisor.File, out io.Writer) error {
	specs, err := f.Specs()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s: good; %s\n", f.Path, plural(len(specs), "instance", "instances"))
	return err
}

// runFleet supervises until SIGTERM or SIGINT.
func runFleet(ctx context.Context, f *supervisor.File, log *slog.Logger) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	s, err := supervisor.New(f, log) //nolint:contextcheck // it opens its sockets and waits for nothing
	if err != nil {
		return err
	}
	return s.Run(ctx)
}

// plural is a number with its noun.
func plural(n int, one, many string) string {
	if n == 1 {
		return "1 " + one
	}
	return fmt.Sprintf("%d %s", n, many)
}
