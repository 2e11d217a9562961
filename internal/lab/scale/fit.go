package scale

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Line is a straight line fitted over sizes, with the 95 % interval of its slope.
type Line struct {
	Intercept, Slope float64
	Low, High        float64 // of the slope
	Points           int
}

// minFitPoints is how few points give no interval: a line through two always fits.
const minFitPoints = 3

// FitLine fits a line by least squares. The interval supposes errors that are
// normal, independent and of one size.
func FitLine(sizes, values []float64) (Line, error) {
	if len(sizes) != len(values) || len(sizes) < minFitPoints {
		return Line{}, fmt.Errorf("fit: found %d sizes and %d values, wanted %d or more of both", len(sizes), len(values), minFitPoints)
	}
	mean, spread := stat.MeanVariance(sizes, nil)
	if spread == 0 {
		return Line{}, fmt.Errorf("fit: found the size %v only, wanted several", mean)
	}
	intercept, slope := stat.LinearRegression(sizes, values, nil, false)
	line := Line{Intercept: intercept, Slope: slope, Points: len(sizes)}
	freedom := float64(len(sizes) - 2)
	squares := 0.0
	for i, size := range sizes {
		squares += math.Pow(values[i]-line.At(size), 2)
	}
	deviation := math.Sqrt(squares / freedom / (spread * float64(len(sizes)-1)))
	half := deviation * distuv.StudentsT{Mu: 0, Sigma: 1, Nu: freedom}.Quantile(0.975)
	line.Low, line.High = slope-half, slope+half
	return line, nil
}

// At is the line's value at a size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// Prediction is what a line over all sizes but the largest says of that one.
type Prediction struct {
	Predicted, Measured float64
}

// Ratio is predicted over measured.
func (p Prediction) Ratio() float64 { return p.Predicted / p.Measured }

// Bounds within which a prediction counts as good.
const (
	leastRatio = 0.8
	mostRatio  = 1.25
)

// Bends tells whether the line does not carry to the largest size.
func (p Prediction) Bends() bool { return !(p.Ratio() >= leastRatio && p.Ratio() <= mostRatio) }

// PredictLargest fits a line without the last size, which is the largest, and holds
// what it says of that one against what was measured.
func PredictLargest(sizes, values []float64) (Prediction, error) {
	last := len(sizes) - 1
	if last < 0 || len(values) != len(sizes) {
		return Prediction{}, fmt.Errorf("fit: found %d sizes and %d values, wanted as many of both", len(sizes), len(values))
	}
	line, err := FitLine(sizes[:last], values[:last])
	return Prediction{Predicted: line.At(sizes[last]), Measured: values[last]}, err
}
