package scale

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Line is a straight line fitted to values at several sizes, with the 95 % confidence interval
// of its slope.
type Line struct {
	Intercept, Slope    float64
	SlopeLow, SlopeHigh float64 // bounds of the interval
	Points              int
}

// minFitPoints is the smallest number of points for which there is an interval. A line fits two
// points exactly, so two points leave no error to estimate.
const minFitPoints = 3

// FitLine fits a line by least squares. The interval assumes normally distributed, independent
// errors of equal variance.
func FitLine(sizes, values []float64) (Line, error) {
	if len(sizes) != len(values) || len(sizes) < minFitPoints {
		return Line{}, fmt.Errorf("fit: found %d sizes and %d values, wanted %d or more of both", len(sizes), len(values), minFitPoints)
	}
	mean, variance := stat.MeanVariance(sizes, nil)
	if variance == 0 {
		return Line{}, fmt.Errorf("fit: found the size %v only, wanted several", mean)
	}
	intercept, slope := stat.LinearRegression(sizes, values, nil, false)
	line := Line{Intercept: intercept, Slope: slope, Points: len(sizes)}
	degreesOfFreedom := float64(len(sizes) - 2)
	squares := 0.0
	for i, size := range sizes {
		squares += math.Pow(values[i]-line.At(size), 2)
	}
	standardError := math.Sqrt(squares / degreesOfFreedom / (variance * float64(len(sizes)-1)))
	halfWidth := standardError * distuv.StudentsT{Mu: 0, Sigma: 1, Nu: degreesOfFreedom}.Quantile(0.975)
	line.SlopeLow, line.SlopeHigh = slope-halfWidth, slope+halfWidth
	return line, nil
}

// At returns the value of the line at a size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// Prediction has two values at the largest size: the value that a line through the other sizes
// predicts, and the measured value.
type Prediction struct {
	Predicted, Measured float64
}

// Ratio returns the predicted value divided by the measured one.
func (p Prediction) Ratio() float64 { return p.Predicted / p.Measured }

// Bounds of Prediction.Ratio, the predicted value divided by the measured value. Values with a
// ratio within these bounds count as linear.
const (
	minRatio = 0.8
	maxRatio = 1.25
)

// IsNonlinear reports whether the ratio is below minRatio, above maxRatio, or NaN.
func (p Prediction) IsNonlinear() bool { return !(p.Ratio() >= minRatio && p.Ratio() <= maxRatio) }

// PredictLargest fits a line through all sizes but the last, which must be the largest. It returns
// the value that the line predicts for the last size, and the measured value.
func PredictLargest(sizes, values []float64) (Prediction, error) {
	largest := len(sizes) - 1
	if largest < 0 || len(values) != len(sizes) {
		return Prediction{}, fmt.Errorf("fit: found %d sizes and %d values, wanted the same number of both", len(sizes), len(values))
	}
	line, err := FitLine(sizes[:largest], values[:largest])
	return Prediction{Predicted: line.At(sizes[largest]), Measured: values[largest]}, err
}
