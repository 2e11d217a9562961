package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"otterspring/internal/fleet"
)

const fleetHelp = `usage: otterspring fleet run FILE
       otterspring fleet check FILE
       otterspring fleet status|resume|cancel|stop FILE
       otterspring fleet restart FILE [-wait] [-program PATH] [NAME...]
       otterspring fleet reload FILE [-wait] [NAME...]

run supervises the instances that FILE describes (docs/operate/fleet.md) until
SIGTERM or SIGINT, and then stops them. The other verbs ask the supervisor that
runs, over its control socket. restart and reload roll through all instances, or
those named, at most restart.at_once at a time; -wait returns when that is over.
If the supervisor is killed the instances live on; the next one adopts them.
Exit codes: 0 done, 1 it could not be done, 2 usage.
`

// fleetCommand runs a fleet or asks the supervisor of one.
func fleetCommand(args []string, out io.Writer) error {
	if len(args) > 0 && (args[0] == "-h" || args[0] == "-help" || args[0] == "--help" || args[0] == "help") {
		return errHelp
	}
	if len(args) < 2 {
		return fmt.Errorf("%w: wanted a verb and a file", errUsage)
	}
	verb, path, rest := args[0], args[1], args[2:]
	switch verb {
	case "run", "check", "status", "restart", "reload", "resume", "cancel", "stop":
	default:
		return fmt.Errorf("%w: found %q, wanted run, check, status, restart, reload, resume, cancel or stop", errUsage, verb)
	}
	if len(rest) > 0 && verb != "restart" && verb != "reload" {
		return fmt.Errorf("%w: found %q, wanted nothing behind the file", errUsage, rest[0])
	}
	f, err := fleet.LoadFile(path)
	if err != nil {
		return err
	}
	switch verb {
	case "run":
		return fleetRun(f, out)
	case "check":
		specs, err := f.Specs()
		if err == nil {
			fmt.Fprintf(out, "%s: good; %s\n", path, plural(len(specs), "instance", "instances"))
		}
		return err
	}
	wait := len(rest) > 0 && rest[0] == "-wait"
	if wait {
		rest = rest[1:]
	}
	answer, err := fleet.Ask(f.Control, append([]string{verb}, rest...)...)
	if err != nil {
		return err
	}
	io.WriteString(out, answer)
	if wait {
		return fleetWait(f, out)
	}
	return nil
}

// fleetRun supervises until a signal.
func fleetRun(f *fleet.File, out io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	s, err := fleet.New(f, out)
	if err != nil {
		return err
	}
	return s.Run(ctx)
}

// fleetWait shows the progress of a roll until it is over.
func fleetWait(f *fleet.File, out io.Writer) error {
	last := ""
	for {
		text, err := fleet.Ask(f.Control, "status")
		if err != nil {
			return err
		}
		roll := ""
		for _, line := range strings.Split(text, "\n") {
			if rest, ok := strings.CutPrefix(line, "roll: "); ok {
				roll = rest
			}
		}
		if roll != last && roll != "" {
			fmt.Fprintln(out, roll)
			last = roll
		}
		switch {
		case strings.Contains(roll, "paused"):
			return errors.New("the roll has paused")
		case roll == "":
			lines := strings.Split(strings.TrimSpace(text), "\n")
			end := lines[len(lines)-1]
			fmt.Fprintln(out, end)
			if strings.Contains(end, "rolled back") || !strings.Contains(end, ", 0 did not") {
				return errors.New("not all went well")
			}
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// plural words a count.
func plural(n int, one, many string) string {
	if n == 1 {
		return "1 " + one
	}
	return fmt.Sprintf("%d %s", n, many)
}
