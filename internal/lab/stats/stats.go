// Package stats compares paired measurements in the presence of noise: it randomizes the
// order within the pairs, computes the median of their ratios with a bootstrap confidence
// interval, and gives a verdict. It has no side effects; the caller measures.
package stats

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Interval is a median with the bounds of its 95 % confidence interval.
type Interval struct {
	Median, Low, High float64
	Pairs             int
}

// Width returns the width of the interval as a fraction of its median.
func (i Interval) Width() float64 {
	if i.Median == 0 || i.Pairs < 2 {
		return math.Inf(1)
	}
	return (i.High - i.Low) / math.Abs(i.Median)
}

// String returns a text like "1.012 (0.998 to 1.031, 12 pairs)".
func (i Interval) String() string {
	return fmt.Sprintf("%.3f (%.3f to %.3f, %d pairs)", i.Median, i.Low, i.High, i.Pairs)
}

// resamples is the number of bootstrap resamples.
const resamples = 2000

// MedianRatio returns the median of b/a over the pairs, with the 95 % confidence interval
// of a percentile bootstrap. Pairs in which a is 0 are left out. The same seed gives the
// same interval.
func MedianRatio(a, b []float64, seed uint64) Interval {
	var ratios []float64
	for i := range min(len(a), len(b)) {
		if a[i] != 0 {
			ratios = append(ratios, b[i]/a[i])
		}
	}
	return BootstrapMedian(ratios, seed)
}

// BootstrapMedian returns the median of values with its 95 % confidence interval, by a
// percentile bootstrap. The same seed gives the same interval.
func BootstrapMedian(values []float64, seed uint64) Interval {
	n := len(values)
	if n == 0 {
		return Interval{Median: math.NaN(), Low: math.NaN(), High: math.NaN()}
	}
	interval := Interval{Median: median(slices.Clone(values)), Pairs: n}
	rng := rand.New(rand.NewPCG(seed, 0x626f6f74))
	medians, resample := make([]float64, resamples), make([]float64, n)
	for i := range medians {
		for j := range resample {
			resample[j] = values[rng.IntN(n)]
		}
		medians[i] = median(resample)
	}
	slices.Sort(medians)
	interval.Low = stat.Quantile(0.025, stat.Empirical, medians, nil)
	interval.High = stat.Quantile(0.975, stat.Empirical, medians, nil)
	return interval
}

// median returns the median of values, which it sorts in place.
func median(values []float64) float64 {
	slices.Sort(values)
	n := len(values)
	if n%2 == 1 {
		return values[n/2]
	}
	return (values[n/2-1] + values[n/2]) / 2
}

// Verdict is the result of a comparison of b with a.
type Verdict string

// The verdicts. Equivalent means that the whole interval is within the bound around 1. Greater
// and Less mean that the interval is not wholly within the bound and lies entirely above or
// below 1. Inconclusive means any other case, including too few pairs.
const (
	Greater      Verdict = "more"
	Less         Verdict = "less"
	Equivalent   Verdict = "the same"
	Inconclusive Verdict = "can't tell"
)

// Compare gives the verdict on an interval of ratios b/a. Ratios that differ from 1 by less
// than bound count as equivalent; a bound of 0.02 stands for 2 %.
func Compare(i Interval, bound float64) Verdict {
	switch {
	case i.Pairs < MinPairs:
		return Inconclusive
	case i.Low > 1-bound && i.High < 1+bound:
		return Equivalent
	case i.Low > 1:
		return Greater
	case i.High < 1:
		return Less
	}
	return Inconclusive
}

// MinPairs is the smallest number of pairs for a verdict other than Inconclusive. Even without a
// difference between a and b, all ratios of five pairs are on the same side of 1 by chance in
// one of 16 comparisons.
const MinPairs = 6

// PreciseEnough reports whether the measurement may stop: there are at least MinPairs
// pairs, and the interval is not wider than width, a fraction of the median.
func PreciseEnough(i Interval, width float64) bool { return i.Pairs >= MinPairs && i.Width() <= width }

// BlockRandomizedOrder draws for each pair whether b is measured first. In each block of four
// pairs, b is first in two pairs, so that slow changes of the machine affect a and b alike.
func BlockRandomizedOrder(pairs int, seed uint64) []bool {
	rng := rand.New(rand.NewPCG(seed, 0x6f72646572))
	var order []bool
	for len(order) < pairs {
		block := []bool{true, true, false, false}
		rng.Shuffle(len(block), func(i, j int) { block[i], block[j] = block[j], block[i] })
		order = append(order, block...)
	}
	return order[:pairs]
}
