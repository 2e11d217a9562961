package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"otterspring/internal/cli"
	"otterspring/internal/fleet/rollout"
	"otterspring/internal/fleet/supervisor"
)

// progressInterval is the pause between two status requests while -wait prints the progress.
const progressInterval = 200 * time.Millisecond

var (
	errUpdatePaused = errors.New("rolling update paused: resume or cancel it")
	errUpdateFailed = errors.New("rolling update failed for some instances or was rolled back")
)

// fleetCommand returns `otterspring fleet` with its verbs.
func fleetCommand(out io.Writer, log func() *slog.Logger) *cobra.Command {
	return cli.NewGroup("fleet", "run many sidecars on a host, restart and reload them",
		"fleet supervises the instances that a file describes (docs/operate/fleet.md). run does so\n"+
			"until SIGTERM or SIGINT, and then stops them; check reads the file only; the other verbs send\n"+
			"a request to the running supervisor, over its control socket. If the supervisor is killed,\n"+
			"the instances continue, and the next supervisor adopts them. Exit codes: 0 success,\n"+
			"1 failure, 2 usage.",
		fleetVerb("run", "supervise until SIGTERM or SIGINT, then stop all instances", func(file *supervisor.File, _ string) error {
			return fleetRun(file, log())
		}),
		fleetVerb("check", "check a file without starting anything", func(file *supervisor.File, path string) error {
			return fleetCheck(file, path, out)
		}),
		controlVerb("status", "show the status of all instances", out), controlVerb("resume", "resume a paused rolling update", out),
		controlVerb("cancel", "cancel a rolling update", out), controlVerb("stop", "stop all instances and the supervisor", out),
		updateVerb("restart", "restart all instances, or those named, at most restart.at_once at a time", out),
		updateVerb("reload", "reload all instances, or those named", out))
}

// fleetVerb returns a verb whose only argument is a fleet file.
func fleetVerb(name, short string, run func(file *supervisor.File, path string) error) *cobra.Command {
	return &cobra.Command{Use: name + " FILE", Short: short, DisableFlagsInUseLine: true, RunE: func(_ *cobra.Command, args []string) error {
		switch len(args) {
		case 0:
			return fmt.Errorf("%w: fleet %s: wanted a file", errUsage, name)
		case 1:
		default:
			return fmt.Errorf("%w: fleet %s: found %q, wanted nothing behind the file", errUsage, name, args[1])
		}
		file, err := supervisor.LoadFile(args[0])
		if err != nil {
			return err
		}
		return run(file, args[0])
	}}
}

// controlVerb returns a verb that sends the verb's name as a request to the supervisor.
func controlVerb(name, short string, out io.Writer) *cobra.Command {
	return fleetVerb(name, short, func(file *supervisor.File, _ string) error {
		return sendToSupervisor(file, out, name)
	})
}

// updateFlags holds the flags of a rolling restart or reload. The field request is used only
// with -everywhere.
type updateFlags struct {
	wait, everywhere bool
	program          string
	request          rollout.Request
}

// updateVerb returns a verb that requests a rolling restart or reload. The request is for this
// host or, with -everywhere, for all hosts.
func updateVerb(name, short string, out io.Writer) *cobra.Command {
	var flags updateFlags
	command := &cobra.Command{Use: name + " [flags] FILE [NAME...]", Short: short, DisableFlagsInUseLine: true, RunE: func(c *cobra.Command, args []string) error {
		if len(args) == 0 {
			return fmt.Errorf("%w: fleet %s: wanted a file", errUsage, name)
		}
		file, err := supervisor.LoadFile(args[0])
		if err != nil {
			return err
		}
		if flags.everywhere {
			flags.request.Program, flags.request.Reload = flags.program, name == "reload"
			return runRollout(c.Context(), file, flags, args[1:], out)
		}
		return updateHost(file, name, flags, args[1:], out)
	}}
	command.Flags().BoolVar(&flags.wait, "wait", false, "wait until the rolling update has ended, and print its progress")
	if name == "restart" {
		command.Flags().StringVar(&flags.program, "program", "", "the program to roll out; empty for the running one")
	}
	command.Flags().BoolVar(&flags.everywhere, "everywhere", false, name+" on all hosts of the file's council, executed by the holder of the lease")
	command.Flags().IntVar(&flags.request.MaxConcurrent, "at-once", 1, "with -everywhere: maximum number of instances in the fleet that are not ready at a time")
	command.Flags().IntVar(&flags.request.MaxConcurrentPerZone, "zone-at-once", 0, "with -everywhere: maximum number of instances in a zone that are not ready at a time; 0 for no limit per zone")
	return command
}

// updateHost requests a rolling update of the instances on this host.
func updateHost(file *supervisor.File, name string, flags updateFlags, instances []string, out io.Writer) error {
	request := []string{name}
	if flags.program != "" {
		request = append(request, "-program", flags.program)
	}
	if err := sendToSupervisor(file, out, append(request, instances...)...); err != nil || !flags.wait {
		return err
	}
	return waitForUpdate(file, out)
}

// sendToSupervisor sends a request to the supervisor and prints its response.
func sendToSupervisor(file *supervisor.File, out io.Writer, request ...string) error {
	response, err := supervisor.SendCommand(file.Control, request...)
	if err == nil {
		_, err = io.WriteString(out, response)
	}
	return err
}

func fleetCheck(file *supervisor.File, path string, out io.Writer) error {
	specs, err := file.Specs()
	if err != nil {
		return err
	}
	return printf(out, "%s: good; %s\n", path, plural(len(specs), "instance", "instances"))
}

// fleetRun runs a supervisor until SIGTERM or SIGINT.
func fleetRun(file *supervisor.File, log *slog.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	s, err := supervisor.New(file, log)
	if err != nil {
		return err
	}
	return s.Run(ctx)
}

// waitForUpdate prints the progress of a rolling update until the update has ended. It parses
// the text of the supervisor's status. The parts of the text that it uses are the same in all
// versions of the supervisor.
func waitForUpdate(file *supervisor.File, out io.Writer) error {
	printed := ""
	for {
		status, err := supervisor.SendCommand(file.Control, "status")
		if err != nil {
			return err
		}
		progress := updateProgress(status)
		if progress != printed && progress != "" {
			if err := printf(out, "%s\n", progress); err != nil {
				return err
			}
			printed = progress
		}
		switch {
		case strings.Contains(progress, "paused"):
			return errUpdatePaused
		case progress == "":
			return printUpdateOutcome(status, out)
		}
		time.Sleep(progressInterval)
	}
}

// updateProgress returns the progress of the rolling update in a status, or an empty
// string if none is in progress.
func updateProgress(status string) (progress string) {
	for line := range strings.SplitSeq(status, "\n") {
		if text, found := strings.CutPrefix(line, "roll: "); found {
			progress = text
		}
	}
	return progress
}

// printUpdateOutcome prints the last line of a status, which is the outcome of the last
// rolling update. It returns errUpdateFailed if an instance failed or the update was rolled
// back.
func printUpdateOutcome(status string, out io.Writer) error {
	lines := strings.Split(strings.TrimSpace(status), "\n")
	outcome := lines[len(lines)-1]
	if err := printf(out, "%s\n", outcome); err != nil {
		return err
	}
	if strings.Contains(outcome, "rolled back") || !strings.Contains(outcome, ", 0 did not") {
		return errUpdateFailed
	}
	return nil
}
