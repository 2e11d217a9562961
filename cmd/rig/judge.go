package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"otterspring/internal/lab/history"
	"otterspring/internal/lab/report"
)

// newJudgeRunner returns the runner of `rig judge`: it checks recorded histories.
func newJudgeRunner(f *flag.FlagSet) runner {
	visualizationDir := f.String("pictures", "", "folder for visualizations of operations that are not linearizable; empty for none")
	timelinePath := f.String("page", "", "write the timeline of one history, by process, to this HTML page; empty for none")
	return func(ctx context.Context, files []string, out io.Writer) error {
		if len(files) == 0 {
			return fmt.Errorf("%w: wanted a history file", errUsage)
		}
		if *timelinePath != "" && len(files) > 1 {
			return fmt.Errorf("%w: -page: found %d histories, wanted one", errUsage, len(files))
		}
		broken, void := false, false
		for _, file := range files {
			h, err := history.Load(file)
			if err != nil {
				return err
			}
			verdict := history.Check(h)
			fmt.Fprintf(out, "%s: storm %s, seed %d, %d entries\n", file, h.Experiment, h.Seed, len(h.Entries))
			printVerdict(out, verdict)
			if err := writeVisualizations(*visualizationDir, file, verdict); err != nil {
				return err
			}
			if *timelinePath != "" {
				if err := writeTimeline(*timelinePath, h, verdict); err != nil {
					return err
				}
			}
			fmt.Fprintln(out, verdictSummary(verdict))
			broken, void = broken || verdict.Violated(), void || len(verdict.VoidReasons) > 0
		}
		switch {
		case broken:
			return errViolated
		case void:
			return errVoid
		}
		return nil
	}
}

// printVerdict prints each violation with the history entries that show it.
func printVerdict(out io.Writer, verdict *history.Verdict) {
	if verdict.Truncated {
		fmt.Fprintln(out, "  the history is truncated: only its complete entries were checked")
	}
	for _, reason := range verdict.VoidReasons {
		fmt.Fprintln(out, "  void:", reason)
	}
	for _, violation := range verdict.Violations {
		fmt.Fprintf(out, "  %s: %s\n", violation.Rule, violation.Description)
		for _, e := range violation.Evidence {
			fmt.Fprintf(out, "    %s\n", e.Describe())
		}
	}
}

// verdictSummary returns the last line of output: figures as key=value.
func verdictSummary(verdict *history.Verdict) string {
	linearizable := "yes"
	if verdict.NonLinearizable > 0 {
		linearizable = "no"
	}
	kinds := make([]string, 0, len(verdict.FaultCounts))
	for k := range verdict.FaultCounts {
		kinds = append(kinds, k)
	}
	slices.Sort(kinds)
	return fmt.Sprintf("ops=%d unknown=%d %s unasked=%d owners_twice=%d late_tried=%d linearizable=%s went_back=%d overgiven=%d most_at_once=%d void=%d kinds=%d (%s)",
		verdict.TotalOperations, verdict.Unknown, verdict.Invariants.Summary(), verdict.Unrequested, verdict.OwnershipViolations, verdict.StaleRefused, linearizable, verdict.Regressions, verdict.Overallocations, verdict.MaxConcurrentEffects, len(verdict.VoidReasons), len(kinds), strings.Join(kinds, " "))
}

// writeVisualizations writes the visualizations of a verdict into a folder. It does nothing if
// dir is empty.
func writeVisualizations(dir, historyPath string, verdict *history.Verdict) error {
	if dir == "" || len(verdict.Visualizations) == 0 {
		return nil
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for key, html := range verdict.Visualizations {
		name := strings.TrimSuffix(filepath.Base(historyPath), filepath.Ext(historyPath)) + "-" + strings.ReplaceAll(key, "/", "_") + ".html"
		if err := os.WriteFile(filepath.Join(dir, name), html, 0o644); err != nil {
			return err
		}
	}
	return nil
}

// writeTimeline writes a history as an HTML page.
func writeTimeline(path string, h *history.History, verdict *history.Verdict) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(report.WriteTimeline(f, h, verdict), f.Close())
}
