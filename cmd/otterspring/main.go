// Command otterspring is the operators' command: it checks files before they
// are used and runs fleets of sidecars.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
)

// command is a subcommand. run returns errUsage for a usage that is none and
// any other error where a check failed.
type command struct {
	name, args, does, help string
	run                    func(args []string, out io.Writer) error
}

var (
	errUsage = errors.New("usage")
	errHelp  = errors.New("help")
	errSaid  = errors.New("a check failed, and said why")
)

// commands is filled at the start: help names all of them.
var commands []command

func init() {
	commands = []command{
		{"check", "FILE...", "check operators' files without starting anything", checkHelp, check},
		{"fleet", "VERB ...", "run many sidecars on a host, restart and reload them", fleetHelp, fleetCommand},
	}
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run returns the exit code: 0, 1 where a check failed, 2 for a usage that is
// none.
func run(args []string, out, errw io.Writer) int {
	if len(args) == 0 {
		usage(errw)
		return 2
	}
	switch args[0] {
	case "help", "-h", "-help", "--help":
		return help(args[1:], out, errw)
	}
	c := find(args[0])
	if c == nil {
		fmt.Fprintf(errw, "otterspring: found %q, wanted a command; otterspring help names them\n", args[0])
		return 2
	}
	err := c.run(args[1:], out)
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errHelp), errors.Is(err, flag.ErrHelp):
		fmt.Fprint(out, c.help)
		return 0
	case errors.Is(err, errUsage):
		fmt.Fprintf(errw, "otterspring %s: %v; otterspring help %s says more\n", c.name, err, c.name)
		return 2
	}
	if !errors.Is(err, errSaid) {
		fmt.Fprintf(errw, "otterspring %s: %v\n", c.name, err)
	}
	return 1
}

func find(name string) *command {
	for i := range commands {
		if commands[i].name == name {
			return &commands[i]
		}
	}
	return nil
}

// help prints the help of a subcommand, or names all.
func help(args []string, out, errw io.Writer) int {
	if len(args) == 0 {
		usage(out)
		return 0
	}
	c := find(args[0])
	if c == nil {
		fmt.Fprintf(errw, "otterspring help: found %q, wanted a command\n", args[0])
		return 2
	}
	fmt.Fprint(out, c.help)
	return 0
}

func usage(w io.Writer) {
	fmt.Fprint(w, "usage: otterspring COMMAND [ARGUMENTS]\n\n")
	for _, c := range commands {
		fmt.Fprintf(w, "  %-7s %-9s %s\n", c.name, c.args, c.does)
	}
	fmt.Fprint(w, "\notterspring help COMMAND says more. Exit codes: 0 done, 1 a check failed or it\ncould not be done, 2 usage.\n")
}
