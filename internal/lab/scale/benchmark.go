package scale

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// BenchmarkSeries is one metric of a Go benchmark at several sizes. The sizes come from the
// names of the sub-benchmarks, which have the form "Benchmark<Name>/<parameter>=<size>".
type BenchmarkSeries struct {
	Name      string // includes the sub-benchmark names before the size
	Parameter string // name of what the size counts, such as "servers"
	Unit      string
	Sizes     []float64 // sorted
	Medians   []float64 // median of the runs at each size
}

// seriesKey identifies a BenchmarkSeries.
type seriesKey struct{ name, parameter, unit string }

var (
	benchmarkLine = regexp.MustCompile(`^Benchmark(\S+?)(?:-\d+)?\s+\d+\s+(.*)$`)
	benchmarkSize = regexp.MustCompile(`^(?:(.+)/)?([A-Za-z]+)=(\d+)$`)
)

// ReadBenchmarks parses the output of "go test -bench". It skips benchmarks without a size. If a
// benchmark reports its processor time ("cpu-ns/op"), ReadBenchmarks drops its wall time ("ns/op").
func ReadBenchmarks(r io.Reader) ([]BenchmarkSeries, error) {
	values := map[seriesKey]map[float64][]float64{}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		match := benchmarkLine.FindStringSubmatch(lines.Text())
		if match == nil {
			continue
		}
		sizeMatch := benchmarkSize.FindStringSubmatch(match[1])
		if sizeMatch == nil {
			continue
		}
		size, err := strconv.ParseFloat(sizeMatch[3], 64)
		if err != nil {
			return nil, fmt.Errorf("benchmark %s: %w", match[1], err)
		}
		metrics, err := parseMetrics(match[2])
		if err != nil {
			return nil, fmt.Errorf("benchmark %s: %w", match[1], err)
		}
		for unit, value := range metrics {
			key := seriesKey{sizeMatch[1], sizeMatch[2], unit}
			if values[key] == nil {
				values[key] = map[float64][]float64{}
			}
			values[key][size] = append(values[key][size], value)
		}
	}
	return collectSeries(values), lines.Err()
}

// parseMetrics parses the metrics of a benchmark line. Each metric is a number followed by its
// unit.
func parseMetrics(text string) (map[string]float64, error) {
	fields := strings.Fields(text)
	if len(fields)%2 != 0 {
		return nil, fmt.Errorf("found %q, wanted numbers with a unit each", text)
	}
	metrics := map[string]float64{}
	for i := 0; i < len(fields); i += 2 {
		value, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return nil, err
		}
		metrics[fields[i+1]] = value
	}
	if _, found := metrics["cpu-ns/op"]; found {
		delete(metrics, "ns/op")
	}
	return metrics, nil
}

func collectSeries(values map[seriesKey]map[float64][]float64) []BenchmarkSeries {
	var all []BenchmarkSeries
	for key, bySize := range values {
		series := BenchmarkSeries{Name: key.name, Parameter: key.parameter, Unit: key.unit}
		for _, size := range slices.Sorted(maps.Keys(bySize)) {
			series.Sizes = append(series.Sizes, size)
			series.Medians = append(series.Medians, median(bySize[size]))
		}
		all = append(all, series)
	}
	slices.SortFunc(all, func(a, b BenchmarkSeries) int {
		return strings.Compare(a.Name+" "+a.Parameter+" "+a.Unit, b.Name+" "+b.Parameter+" "+b.Unit)
	})
	return all
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 0 {
		return (sorted[middle-1] + sorted[middle]) / 2
	}
	return sorted[middle]
}

// FitSummary returns a text with the fitted line of the series and the prediction for the largest
// size. It returns an error if there are too few sizes.
func (s *BenchmarkSeries) FitSummary() (string, error) {
	line, err := FitLine(s.Sizes, s.Medians)
	if err != nil {
		return "", fmt.Errorf("%s %s: %w", s.Name, s.Unit, err)
	}
	prediction, err := PredictLargest(s.Sizes, s.Medians)
	if err != nil {
		return "", fmt.Errorf("%s %s: %w", s.Name, s.Unit, err)
	}
	nonlinear := ""
	if prediction.IsNonlinear() {
		nonlinear = " BENDS"
	}
	largest := len(s.Sizes) - 1
	return fmt.Sprintf("%s %s: %.4g + %.4g a %s (95%% interval %.4g to %.4g, %d sizes of %v to %v); %.4g to %.4g; largest: predicted_over_measured=%.2f%s",
		s.Name, s.Unit, line.Intercept, line.Slope, s.Parameter, line.SlopeLow, line.SlopeHigh, line.Points, s.Sizes[0], s.Sizes[largest],
		s.Medians[0], s.Medians[largest], prediction.Ratio(), nonlinear), nil
}
