package main

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"otterspring/internal/operator"
)

const checkHelp = `usage: otterspring check FILE...

Reads operators' files (deploy/operator.toml) as sandhinge does and says what is
wrong with each in one line: file, line, key, what was found and what is wanted.
Nothing is started. Exit codes: 0 all are good, 1 one is not, 2 usage.
`

// check reads operators' files and says what is wrong with them.
func check(args []string, out io.Writer) error {
	if len(args) == 0 {
		return fmt.Errorf("%w: wanted a file", errUsage)
	}
	var bad []error
	for _, path := range args {
		if strings.HasPrefix(path, "-") {
			if path == "-h" || path == "-help" || path == "--help" {
				return errHelp
			}
			return fmt.Errorf("%w: found %q, wanted files", errUsage, path)
		}
		f, err := operator.Load(path)
		if err != nil {
			fmt.Fprintln(out, err)
			bad = append(bad, err)
			continue
		}
		on := "everything is off"
		if names := f.On(); len(names) > 0 {
			on = "on: " + strings.Join(names, ", ")
		}
		fmt.Fprintf(out, "%s: good; %s\n", path, on)
	}
	if n := len(bad); n > 0 {
		return errors.New(plural(n, "file is", "files are") + " not good")
	}
	return nil
}

// plural words a count.
func plural(n int, one, many string) string {
	if n == 1 {
		return "1 " + one
	}
	return fmt.Sprintf("%d %s", n, many)
}
