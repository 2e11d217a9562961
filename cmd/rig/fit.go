package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"otterspring/internal/lab/scale"
)

// newFitRunner returns the runner of `rig fit`: it fits a line to the results of each benchmark
// over its input sizes.
func newFitRunner(*flag.FlagSet) runner {
	return func(_ context.Context, files []string, out io.Writer) error {
		if len(files) == 0 {
			return fmt.Errorf("%w: wanted files that go test -bench has written", errUsage)
		}
		fitted := 0
		for _, name := range files {
			n, err := fitFile(name, out)
			if err != nil {
				return fmt.Errorf("%w: %s: %w", errUsage, name, err)
			}
			fitted += n
		}
		if fitted == 0 {
			return fmt.Errorf("%w: found no benchmark with %d sizes or more", errUsage, scale.MinSizes)
		}
		fmt.Fprintf(out, "fitted=%d\n", fitted)
		return nil
	}
}

// fitFile prints the fitted lines of the benchmarks in a file and returns their number. It
// ignores benchmarks with fewer than scale.MinSizes sizes.
func fitFile(name string, out io.Writer) (fitted int, err error) {
	file, err := os.Open(name)
	if err != nil {
		return 0, err
	}
	defer file.Close()
	benchmarks, err := scale.ReadBenchmarks(file)
	if err != nil {
		return 0, err
	}
	for i := range benchmarks {
		if len(benchmarks[i].Sizes) < scale.MinSizes {
			continue
		}
		description, err := benchmarks[i].FitSummary()
		if err != nil {
			return fitted, err
		}
		fmt.Fprintln(out, description)
		fitted++
	}
	return fitted, nil
}
