package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"otterspring/internal/sidecar/operatorconfig"
)

// checkCommand is `otterspring check`.
func checkCommand(out io.Writer) *cobra.Command {
	return &cobra.Command{
		Use: "check FILE...", Short: "check operators' files without starting anything",
		Long: "check reads operators' files (deploy/operator.toml) as sandhinge does and says all that\n" +
			"is wrong with each, a line a fault: file, line, key, what was found and what is wanted.\n" +
			"Nothing is started. Exit codes: 0 all are good, 1 one is not, 2 usage.",
		DisableFlagsInUseLine: true,
		RunE:                  func(_ *cobra.Command, files []string) error { return check(files, out) },
	}
}

// validate reads operators' files and says what is wrong with them.
func check(files []string, out io.Writer) error {
	if len(files) == 0 {
		return fmt.Errorf("%w: check: wanted a file", errUsage)
	}
	bad := false
	for _, path := range files {
		f, errs := operatorconfig.LoadAll(path)
		if len(errs) > 0 {
			for _, err := range errs {
				fmt.Fprintln(out, err)
			}
			bad = true
			continue
		}
		on := "everything is off"
		if names := f.EnabledSections(); len(names) > 0 {
			on = "on: " + strings.Join(names, ", ")
		}
		fmt.Fprintf(out, "%s: good; %s\n", path, on)
	}
	if bad {
		return errSaid
	}
	return nil
}
