package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"otterspring/internal/lab/experiment"
	"otterspring/internal/lab/report"
)

// newReportRunner returns the runner of `rig report`: it makes one page from the results that `rig
// storm -o` has written.
func newReportRunner(f *flag.FlagSet) runner {
	output := f.String("o", "", "write the page to this file; empty for standard output")
	format := f.String("format", "html", "format of the page: html or markdown")
	return func(ctx context.Context, files []string, out io.Writer) error {
		if len(files) == 0 {
			return fmt.Errorf("%w: wanted files that rig storm -o has written", errUsage)
		}
		render := map[string]func(io.Writer, []*experiment.Result, []string) error{"html": report.WriteHTML, "markdown": report.WriteMarkdown}[*format]
		if render == nil {
			return fmt.Errorf("%w: -format: found %q, wanted html or markdown", errUsage, *format)
		}
		var results []*experiment.Result
		var truncated []string
		for _, name := range files {
			file, err := os.Open(name)
			if err != nil {
				return fmt.Errorf("%w: %v", errUsage, err)
			}
			fileResults, truncatedLine, err := report.Read(file, name)
			file.Close()
			if err != nil {
				return fmt.Errorf("%w: %v", errUsage, err)
			}
			results = append(results, fileResults...)
			if truncatedLine != "" {
				truncated = append(truncated, truncatedLine)
			}
		}
		if len(results) == 0 {
			return fmt.Errorf("%w: found no result in the files", errUsage)
		}
		var page bytes.Buffer
		if err := render(&page, results, truncated); err != nil {
			return err
		}
		if *output == "" {
			_, err := out.Write(page.Bytes())
			return err
		}
		if err := os.WriteFile(*output, page.Bytes(), 0o644); err != nil {
			return err
		}
		fmt.Fprintf(out, "results=%d bytes=%d\n", len(results), page.Len())
		return nil
	}
}
