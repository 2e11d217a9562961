// Command rig plays otterspring's own rigs: sidecars as processes of their own,
// with stand-ins for everything round them, on loopback. It needs no root and
// nothing configured.
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
	"syscall"
	"time"

	"otterspring/internal/daemon"
)

// command is one rig.
type command struct {
	name, does string
	run        func(ctx context.Context, args []string, out io.Writer) error
}

var commands = []command{
	{"try", "one sidecar, 6 call servers, clients; a hang and a drain within 10 s", runTry},
	{"fleet", "many sidecars, restarted one by one while requests come", runFleet},
	{"storm", "storms from files: faults at their times, what must hold, verdicts", runStorm},
	{"check", "what is wrong with storms' files, a line a fault", runCheck},
	{"report", "one page of storms' results, with plots", runReport},
	{"mutants", "breaks the program one line at a time and tells which test and storm notice", runMutants},
	{"speed", "one sidecar beside net/http/httputil's ReverseProxy, as ratios", runSpeed},
}

var (
	errRules = errors.New("a rule broke or a promise failed")
	errUsage = errors.New("usage")
)

func main() { os.Exit(run(os.Args[1:])) }

// run returns the exit code: 0, 1 where a rule broke or the rig could not be
// played, 2 for a usage that is none, 3 for a run that shows nothing.
func run(args []string) int {
	if len(args) > 0 && args[0] == sidecarWord {
		// The rig is its own sidecar where no other program is at hand.
		return daemon.Main(args[1:], os.Stderr)
	}
	if len(args) > 0 && args[0] == proxyWord {
		return runProxy(args[1:])
	}
	if len(args) == 0 || args[0] == "help" || args[0] == "-help" || args[0] == "--help" || args[0] == "-h" {
		help(os.Stdout)
		if len(args) == 0 {
			return 2
		}
		return 0
	}
	for _, c := range commands {
		if c.name != args[0] {
			continue
		}
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer stop()
		err := c.run(ctx, args[1:], os.Stdout)
		switch {
		case err == nil, errors.Is(err, flag.ErrHelp):
			return 0
		case errors.Is(err, errSaid):
			if errors.Is(err, errUsage) {
				return 2
			}
			return 1
		case errors.Is(err, errVoid):
			fmt.Fprintf(os.Stderr, "rig %s: %v\n", c.name, err)
			return 3
		case errors.Is(err, errUsage):
			fmt.Fprintf(os.Stderr, "rig %s: %v\n", c.name, err)
			return 2
		}
		fmt.Fprintf(os.Stderr, "rig %s: %v\n", c.name, err)
		return 1
	}
	fmt.Fprintf(os.Stderr, "rig: found %q, wanted one of try, fleet, storm, check, report, mutants, speed; rig help says more\n", args[0])
	return 2
}

func help(w io.Writer) {
	fmt.Fprint(w, "usage: rig COMMAND [FLAGS]\n\nAll on loopback, no root needed. Commands:\n")
	for _, c := range commands {
		fmt.Fprintf(w, "  %-8s %s\n", c.name, c.does)
	}
	fmt.Fprint(w, "\nrig COMMAND -help lists its flags. The last line is key=value figures; the exit\ncode is 1 if a rule broke or a promise failed.\n")
}

// sidecarWord makes the rig run as a sidecar, proxyWord as the reverse proxy
// that `rig speed` compares with.
const (
	sidecarWord = "run-sidecar"
	proxyWord   = "run-proxy"
)

// parse reads flags; what is wrong is a usage error in one line.
func parse(f *flag.FlagSet, args []string, out io.Writer) error {
	f.SetOutput(io.Discard)
	err := f.Parse(args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		fmt.Fprintf(out, "usage: rig %s [FLAGS]\n", f.Name())
		f.SetOutput(out)
		f.PrintDefaults()
		return err
	case err != nil:
		return fmt.Errorf("%w: %v", errUsage, err)
	case f.NArg() > 0:
		return fmt.Errorf("%w: found %q, wanted flags only", errUsage, f.Arg(0))
	}
	return nil
}

// within holds a flag's value against its bounds.
func within[T int | float64 | time.Duration](name string, v, least, most T) error {
	if v < least || v > most {
		return fmt.Errorf("%w: -%s: found %v, wanted %v to %v", errUsage, name, v, least, most)
	}
	return nil
}

// program returns the sidecar to run: the one named, else sandhinge beside this
// program, else this program itself.
func program(named string) ([]string, error) {
	if named != "" {
		info, err := os.Stat(named)
		if err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
			return nil, fmt.Errorf("%w: -program: found no program at %q", errUsage, named)
		}
		abs, err := filepath.Abs(named)
		return []string{abs}, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	beside := filepath.Join(filepath.Dir(self), "sandhinge")
	if _, err := os.Stat(beside); err == nil {
		return []string{beside}, nil
	}
	return []string{self, sidecarWord}, nil
}

// scratch makes the folder of a run; the function returned removes it.
func scratch() (string, func(), error) {
	dir, err := os.MkdirTemp("", "rig")
	return dir, func() { os.RemoveAll(dir) }, err
}
