package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"otterspring/internal/sidecar/operatorconfig"
)

// checkCommand returns `otterspring check`.
func checkCommand(out io.Writer) *cobra.Command {
	return &cobra.Command{
		Use: "check FILE...", Short: "check operators' files without starting anything",
		Long: "check reads operators' files (deploy/operator.toml) as sandhinge does and prints all errors\n" +
			"of each, one per line: file, line, key, the value found and the values allowed.\n" +
			"Nothing is started. Exit codes: 0 all files are valid, 1 a file has an error, 2 usage.",
		DisableFlagsInUseLine: true,
		RunE:                  func(_ *cobra.Command, paths []string) error { return checkFiles(paths, out) },
	}
}

// checkFiles prints, for each operators' file, its errors or, if there are none, the sections
// that it enables.
// It returns errReported if a file has an error.
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
