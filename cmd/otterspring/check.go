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
		Long: "check reads operators' files (deploy/operator.toml) as sandhinge does and prints all errors\n" +
			"of each, one a line: file, line, key, what was found and what is wanted.\n" +
			"Nothing is started. Exit codes: 0 all are good, 1 one is not, 2 usage.",
		DisableFlagsInUseLine: true,
		RunE:                  func(_ *cobra.Command, paths []string) error { return checkFiles(paths, out) },
	}
}

// checkFiles prints the errors of operators' files, or which features they enable. It
// returns errReported if a file has an error.
func checkFiles(paths []string, out io.Writer) error {
	if len(paths) == 0 {
		return fmt.Errorf("%w: check: wanted a file", errUsage)
	}
	output := &printer{out: out}
	failed := false
	for _, path := range paths {
		file, errs := operatorconfig.LoadAll(path)
		for _, err := range errs {
			output.println(err)
			failed = true
		}
		if len(errs) > 0 {
			continue
		}
		enabled := "everything is off"
		if names := file.EnabledSections(); len(names) > 0 {
			enabled = "on: " + strings.Join(names, ", ")
		}
		output.printf("%s: good; %s\n", path, enabled)
	}
	if output.err == nil && failed {
		return errReported
	}
	return output.err
}
