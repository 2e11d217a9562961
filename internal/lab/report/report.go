// Package report writes the results of experiments as a single page: verdicts,
// comparisons of two programs or engines, sweeps as curves with confidence
// intervals, and a timeline of each run with its faults. The page loads nothing
// from the network.
package report

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"html/template"
	"io"
	"math"
	"slices"
	"strings"

	"otterspring/internal/lab/experiment"
	"otterspring/internal/lab/stats"
)

const (
	// MaxResults is the maximum number of results on a page.
	MaxResults = 10_000
	// MaxTimelines is the maximum number of runs with plots. The table contains all runs.
	MaxTimelines = 24
	maxLineBytes = 8 << 20
)

// Read reads results, one JSON object per line. It skips a truncated last line, which an interrupted
// run leaves behind, and returns a notice about it in truncated.
func Read(r io.Reader, name string) (results []*experiment.Result, truncated string, err error) {
	br := bufio.NewReaderSize(r, 1<<20)
	for n := 1; ; n++ {
		line, err := br.ReadBytes('\n')
		if len(line) > maxLineBytes {
			return nil, "", fmt.Errorf("%s:%d: found a line of %d bytes, wanted at most %d", name, n, len(line), maxLineBytes)
		}
		complete := err == nil
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, "", fmt.Errorf("%s: %w", name, err)
		}
		if text := bytes.TrimSpace(line); len(text) > 0 {
			res := &experiment.Result{}
			if e := json.Unmarshal(text, res); e != nil || res.Experiment == "" {
				if !complete {
					return results, fmt.Sprintf("%s:%d: the last line is truncated and left out", name, n), nil
				}
				return nil, "", fmt.Errorf("%s:%d: found %.40q, wanted a result of rig storm", name, n, text)
			}
			if results = append(results, res); len(results) > MaxResults {
				return nil, "", fmt.Errorf("%s: found more than %d results", name, MaxResults)
			}
		}
		if !complete {
			return results, "", nil
		}
	}
}

// row is the row of a result in the verdict table, with formatted figures.
type row struct {
	Storm, Engine, Verdict, Set, Size, Why string
	Seed                                   uint64
	Service, Worst, Retries, Refused       string
	Failed, Recover, P50, P99, Cold        string
}

// curve is a figure of a sweep as a function of the varied setting.
type curve struct {
	Storm, Key, Figure string
	Points             []point
	SVG                template.HTML
}

// point is the figure at one value of the varied setting.
type point struct {
	X        float64
	Interval stats.Interval
}

// comparison compares a figure of an experiment between two programs or engines.
type comparison struct {
	Storm, Figure, A, B string
	Ratio               stats.Interval
	Verdict             stats.Verdict
}

// timeline holds the plots of a run.
type timeline struct {
	Title, Verdict string
	Notes          []string
	SVGs           []template.HTML
}

// page is the data of pageTemplate.
type page struct {
	Kept, Broken, Failed, Void int
	Rows                       []row
	Curves                     []curve
	Comparisons                []comparison
	Timelines                  []timeline
	OmittedTimelines           int
	Sources                    []string
	Truncated                  []string
}

// buildPage returns the content of a page. It omits the plots if draw is false.
func buildPage(results []*experiment.Result, truncated []string, draw bool) (*page, error) {
	p := &page{Truncated: truncated}
	seen := map[string]bool{}
	for _, r := range results {
		switch r.Verdict() {
		case "kept":
			p.Kept++
		case "broken":
			p.Broken++
		case "failed":
			p.Failed++
		default:
			p.Void++
		}
		p.Rows = append(p.Rows, newRow(r))
		if source := r.Version + ", " + r.Machine; !seen[source] {
			seen[source] = true
			p.Sources = append(p.Sources, source)
		}
	}
	p.Comparisons = comparisons(results)
	p.Curves = curves(results)
	if !draw {
		return p, nil
	}
	for i := range p.Curves {
		svg, err := drawCurve(&p.Curves[i])
		if err != nil {
			return nil, err
		}
		p.Curves[i].SVG = svg
	}
	order := worstFirst(results)
	for i, r := range order {
		if i == MaxTimelines {
			p.OmittedTimelines = len(order) - i
			break
		}
		t, err := drawRun(r)
		if err != nil {
			return nil, err
		}
		p.Timelines = append(p.Timelines, t)
	}
	return p, nil
}

// worstFirst returns the results ordered by verdict: broken, failed, void, kept.
func worstFirst(results []*experiment.Result) []*experiment.Result {
	rank := map[string]int{"broken": 0, "failed": 1, "void": 2, "kept": 3}
	order := slices.Clone(results)
	slices.SortStableFunc(order, func(a, b *experiment.Result) int { return rank[a.Verdict()] - rank[b.Verdict()] })
	return order
}

func formatFigure(v float64, ok bool, form string) string {
	if !ok {
		return "-"
	}
	return fmt.Sprintf(form, v)
}

func newRow(r *experiment.Result) row {
	get := func(key, form string) string {
		v, ok := r.Figures[key]
		return formatFigure(v, ok, form)
	}
	why := strings.Join(r.VoidReasons, "; ")
	for _, k := range r.Assertions {
		if !k.Passed {
			why = joinNonEmpty(why, fmt.Sprintf("%s: found %.3f", k.Assertion, k.Found))
		}
	}
	var rules []string
	for name, n := range r.Violations {
		if n > 0 {
			rules = append(rules, fmt.Sprintf("%s=%d", name, n))
		}
	}
	slices.Sort(rules)
	why = joinNonEmpty(why, strings.Join(rules, " "))
	recoveryTime := get("recover_s", "%.0f")
	if recoveryTime == "999" {
		recoveryTime = "never"
	}
	return row{
		Storm: r.Experiment, Engine: r.Engine, Verdict: r.Verdict(), Set: strings.Join(r.Settings, " "), Size: r.Size, Why: why,
		Seed: r.Seed, Service: get("service", "%.3f"), Worst: get("worst10", "%.3f"),
		Retries: get("retry_ratio", "%.3f"), Refused: get("refused", "%.3f"), Failed: get("failed", "%.3f"),
		Recover: recoveryTime, P50: get("p50_ms", "%.0f"), P99: get("p99_ms", "%.0f"), Cold: get("cold_load", "%.2f"),
	}
}

func joinNonEmpty(a, b string) string {
	if a == "" || b == "" {
		return a + b
	}
	return a + "; " + b
}

// comparisons compares runs of the same experiment, size, settings and seed between two programs or
// engines. It returns nil if the results do not come from exactly two programs or engines.
func comparisons(results []*experiment.Result) []comparison {
	type runKey struct {
		storm, size, set string
		seed             uint64
	}
	byProgram := map[string]map[runKey]*experiment.Result{}
	var names []string
	for _, r := range results {
		name := r.Engine
		if r.Version != "" && r.Version != "unknown" {
			name += " " + r.Version
		}
		if byProgram[name] == nil {
			byProgram[name] = map[runKey]*experiment.Result{}
			names = append(names, name)
		}
		byProgram[name][runKey{r.Experiment, r.Size, strings.Join(r.Settings, " "), r.Seed}] = r
	}
	if len(names) != 2 {
		return nil
	}
	a, b := byProgram[names[0]], byProgram[names[1]]
	var out []comparison
	var storms []string
	for _, r := range results {
		if !slices.Contains(storms, r.Experiment) {
			storms = append(storms, r.Experiment)
		}
	}
	for _, storm := range storms {
		for _, figure := range []string{"service", "retry_ratio", "p99_ms"} {
			var av, bv []float64
			for _, r := range results {
				k := runKey{r.Experiment, r.Size, strings.Join(r.Settings, " "), r.Seed}
				if r.Experiment == storm && a[k] == r && b[k] != nil {
					av, bv = append(av, r.Figures[figure]), append(bv, b[k].Figures[figure])
				}
			}
			if len(av) > 0 {
				iv := stats.MedianRatio(av, bv, 1)
				out = append(out, comparison{storm, figure, names[0], names[1], iv, stats.Compare(iv, 0.03)})
			}
		}
	}
	return out
}

// curves returns the curves of sweeps. A sweep is an experiment whose runs differ in a numeric
// setting.
func curves(results []*experiment.Result) []curve {
	type curveKey struct{ storm, key string }
	values := map[curveKey]map[float64][]*experiment.Result{}
	var order []curveKey
	for _, r := range results {
		for _, kv := range r.Settings {
			k, v, _ := strings.Cut(kv, "=")
			x, ok := parseAxisValue(v)
			if !ok {
				continue
			}
			a := curveKey{r.Experiment + " (" + r.Engine + ")", k}
			if values[a] == nil {
				values[a] = map[float64][]*experiment.Result{}
				order = append(order, a)
			}
			values[a][x] = append(values[a][x], r)
		}
	}
	var out []curve
	for _, a := range order {
		if len(values[a]) < 2 {
			continue
		}
		for _, figure := range []string{"service", "retry_ratio"} {
			c := curve{Storm: a.storm, Key: a.key, Figure: figure}
			for x, rs := range values[a] {
				var v []float64
				for _, r := range rs {
					v = append(v, r.Figures[figure])
				}
				c.Points = append(c.Points, point{x, stats.BootstrapMedian(v, 1)})
			}
			slices.SortFunc(c.Points, func(a, b point) int {
				if a.X < b.X {
					return -1
				}
				return 1
			})
			out = append(out, c)
		}
	}
	return out
}

// parseAxisValue parses the value of a setting as an axis value: a plain number, a percentage, or a
// duration, which it converts to seconds.
func parseAxisValue(text string) (float64, bool) {
	for _, u := range []struct {
		unit string
		by   float64
	}{{"%", 1}, {"us", 1e-6}, {"ms", 1e-3}, {"s", 1}, {"m", 60}, {"", 1}} {
		digits, ok := strings.CutSuffix(text, u.unit)
		if !ok {
			continue
		}
		var v float64
		var rest string
		if n, _ := fmt.Sscanf(digits+" .", "%g %s", &v, &rest); n == 2 && rest == "." && !math.IsNaN(v) {
			return v * u.by, true
		}
	}
	return 0, false
}

// WriteHTML writes results as an HTML page. truncated holds the notices of Read.
func WriteHTML(w io.Writer, results []*experiment.Result, truncated []string) error {
	p, err := buildPage(results, truncated, true)
	if err != nil {
		return err
	}
	return pageTemplate.Execute(w, p)
}

// WriteMarkdown writes results as Markdown tables, without plots.
func WriteMarkdown(w io.Writer, results []*experiment.Result, truncated []string) error {
	p, err := buildPage(results, truncated, false)
	if err != nil {
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%d runs: %d kept, %d broken, %d failed, %d void. %s\n\n",
		len(results), p.Kept, p.Broken, p.Failed, p.Void, strings.Join(p.Sources, "; "))
	fmt.Fprintln(&b, "| storm | engine | seed | size | set | verdict | service | worst 10 s | retries | refused | failed | recovers, s | p50, p99 ms | cold load | why |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, r := range p.Rows {
		fmt.Fprintf(&b, "| %s | %s | %d | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s, %s | %s | %s |\n",
			r.Storm, r.Engine, r.Seed, r.Size, r.Set, r.Verdict, r.Service, r.Worst, r.Retries, r.Refused,
			r.Failed, r.Recover, r.P50, r.P99, r.Cold, r.Why)
	}
	if len(p.Comparisons) > 0 {
		fmt.Fprintf(&b, "\n| storm | figure | %s over %s | verdict at 3 %% |\n| --- | --- | --- | --- |\n",
			p.Comparisons[0].B, p.Comparisons[0].A)
		for _, x := range p.Comparisons {
			fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", x.Storm, x.Figure, x.Ratio, x.Verdict)
		}
	}
	for _, c := range p.Curves {
		fmt.Fprintf(&b, "\n| %s: %s | %s |\n| --- | --- |\n", c.Storm, c.Key, c.Figure)
		for _, x := range c.Points {
			fmt.Fprintf(&b, "| %g | %.3f (%.3f to %.3f, %d runs) |\n",
				x.X, x.Interval.Median, x.Interval.Low, x.Interval.High, x.Interval.Pairs)
		}
	}
	for _, notice := range truncated {
		fmt.Fprintln(&b, "\n"+notice)
	}
	_, err = io.WriteString(w, b.String())
	return err
}
