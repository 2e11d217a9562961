package main

import (
	"fmt"
	"io"
	"strings"

	"otterspring/internal/operator"
)

const checkHelp = `usage: otterspring check FILE...

Reads operators' files (deploy/operator.toml) as sandhinge does and says all that
is wrong with each, a line a fault: file, line, key, what was found and what is
wanted. Nothing is started. Exit codes: 0 all are good, 1 one is not, 2 usage.
`

// check reads operators' files and says what is wrong with them.
func check(args []string, out io.Writer) error {
	if len(args) == 0 {
		return fmt.Errorf("%w: wanted a file", errUsage)
	}
	bad := false
	for _, path := range args {
		if strings.HasPrefix(path, "-") {
			if path == "-h" || path == "-help" || path == "--help" {
				return errHelp
			}
			return fmt.Errorf("%w: found %q, wanted files", errUsage, path)
		}
		f, errs := operator.LoadAll(path)
		if len(errs) > 0 {
			for _, err := range errs {
				fmt.Fprintln(out, err)
			}
			bad = true
			continue
		}
		on := "everything is off"
		if names := f.On(); len(names) > 0 {
			on = "on: " + strings.Join(names, ", ")
		}
		fmt.Fprintf(out, "%s: good; %s\n", path, on)
	}
	if bad {
		return errSaid
	}
	return nil
}
