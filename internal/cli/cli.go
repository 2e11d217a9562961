// Package cli is what otterspring's commands share: flags with one dash or two,
// usage errors in one line, and the exit codes that scripts rely on.
package cli

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"regexp"
	"strings"

	"github.com/spf13/cobra"

	"otterspring/internal/logging"
)

// ErrUsage is a call whose words are off; ErrSaid a fault that stands in the
// output already, so that no further line is wanted.
var (
	ErrUsage = errors.New("usage")
	ErrSaid  = errors.New("a check failed, and said why")
)

var oneDash = regexp.MustCompile(`^-[a-z][a-z0-9-]+(=.*)?$`)

// TwoDashes lets flags have one dash, as they had before cobra and as the pages
// write them; one letter is a short flag.
func TwoDashes(args []string) []string {
	out := make([]string, len(args))
	for i, a := range args {
		if oneDash.MatchString(a) {
			a = "-" + a
		}
		out[i] = a
	}
	return out
}

// Root makes a program's command: without a subcommand it shows its help, and
// what is no subcommand is a usage error that names all.
func Root(use, short, long string, subs ...*cobra.Command) *cobra.Command {
	var names []string
	for _, s := range subs {
		names = append(names, s.Name())
	}
	root := &cobra.Command{
		Use: use, Short: short, Long: long, SilenceErrors: true, SilenceUsage: true, DisableAutoGenTag: true,
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) > 0 {
				return fmt.Errorf("%w: found %q, wanted one of %s; %s help says more", ErrUsage, args[0], strings.Join(names, ", "), use)
			}
			return nil
		},
		RunE: func(c *cobra.Command, _ []string) error {
			c.Help()
			return fmt.Errorf("%w: wanted a command", ErrUsage)
		},
	}
	root.SetFlagErrorFunc(func(c *cobra.Command, err error) error {
		return fmt.Errorf("%w: %s: %s", ErrUsage, c.Name(), strings.ReplaceAll(err.Error(), "\n", " "))
	})
	root.AddCommand(subs...)
	root.SetHelpCommand(&cobra.Command{Use: "help [COMMAND]", Short: "help about a command", RunE: func(_ *cobra.Command, args []string) error {
		c, rest, err := root.Find(args)
		if err != nil || len(rest) > 0 {
			return fmt.Errorf("%w: help: found %q, wanted a command: one of %s", ErrUsage, args[len(args)-1], strings.Join(names, ", "))
		}
		return c.Help()
	}})
	return root
}

// LogFlags gives a program and all its commands -log-format and -log-level.
func LogFlags(root *cobra.Command) *logging.Options {
	o := &logging.Options{}
	f := flag.NewFlagSet("", flag.ContinueOnError)
	o.Flags(f)
	root.PersistentFlags().AddGoFlagSet(f)
	return o
}

// Fail says why a program ends: a plain line for a person, an object where the
// log is one of objects.
func Fail(errw io.Writer, program string, o *logging.Options, err error) {
	if o.JSON {
		logging.New(errw, *o).Error(program+" ends", "why", err)
		return
	}
	fmt.Fprintf(errw, "%s: %v\n", program, err)
}
