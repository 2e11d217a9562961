// Package cli has the command-line handling that otterspring and rig share: flags with one
// or two dashes, usage errors of one line, and the errors that the exit codes distinguish.
package cli

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"regexp"
	"strings"

	"github.com/spf13/cobra"

	"otterspring/internal/logging"
)

var (
	// ErrUsage is wrapped by errors for invalid arguments.
	ErrUsage = errors.New("usage")
	// ErrReported is returned for a failure that the output already describes, so that no
	// error line is added.
	ErrReported = errors.New("a check failed, and its output says why")
)

// singleDash matches a flag of two or more characters with one dash.
var singleDash = regexp.MustCompile(`^-[a-z][a-z0-9-]+(=.*)?$`)

// NormalizeFlags adds a second dash to long flags that have one dash. The documentation writes
// long flags with one dash, but cobra requires two. Flags of one letter remain short flags.
func NormalizeFlags(args []string) []string {
	normalized := make([]string, len(args))
	for i, arg := range args {
		if singleDash.MatchString(arg) {
			arg = "-" + arg
		}
		normalized[i] = arg
	}
	return normalized
}

// NewGroup returns a command with subcommands. Without a subcommand, the command prints its
// help and fails with ErrUsage. For an unknown subcommand, it fails with an ErrUsage that lists
// the known subcommands.
func NewGroup(use, short, long string, subcommands ...*cobra.Command) *cobra.Command {
	names := make([]string, 0, len(subcommands))
	for _, subcommand := range subcommands {
		names = append(names, subcommand.Name())
	}
	nameList := strings.Join(names, ", ")
	group := &cobra.Command{
		Use: use, Short: short, Long: long, SilenceErrors: true, SilenceUsage: true, DisableAutoGenTag: true,
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) > 0 {
				return fmt.Errorf("%w: found %q, wanted one of %s; %s help says more", ErrUsage, args[0], nameList, use)
			}
			return nil
		},
		RunE: func(command *cobra.Command, _ []string) error {
			return errors.Join(fmt.Errorf("%w: wanted a command", ErrUsage), command.Help())
		},
	}
	group.SetFlagErrorFunc(func(command *cobra.Command, err error) error {
		return fmt.Errorf("%w: %s: %s", ErrUsage, command.Name(), strings.ReplaceAll(err.Error(), "\n", " "))
	})
	group.AddCommand(subcommands...)
	group.SetHelpCommand(&cobra.Command{Use: "help [COMMAND]", Short: "help about a command", RunE: func(_ *cobra.Command, args []string) error {
		command, unknown, err := group.Find(args)
		if err != nil || len(unknown) > 0 {
			return fmt.Errorf("%w: help: found %q, wanted a command: one of %s", ErrUsage, args[len(args)-1], nameList)
		}
		return command.Help()
	}})
	return group
}

// AddLogFlags defines -log-format and -log-level for a command and all its subcommands. The
// returned options are set when the flags are parsed.
func AddLogFlags(command *cobra.Command) *logging.Options {
	options := &logging.Options{}
	flags := flag.NewFlagSet("", flag.ContinueOnError)
	options.AddFlags(flags)
	command.PersistentFlags().AddGoFlagSet(flags)
	return options
}

// ReportError writes the error with which a program exits, as plain text or, if the log format
// is JSON, as a log line.
func ReportError(w io.Writer, program string, options *logging.Options, err error) {
	if options.JSON {
		logging.New(w, *options).Error("program failed", "program", program, "error", err)
		return
	}
	if _, writeErr := fmt.Fprintf(w, "%s: %v\n", program, err); writeErr != nil {
		slog.Debug("error was not written", "error", writeErr)
	}
}
