package scale

import (
	"context"
	"fmt"
	"slices"
	"strings"
)

// MinSizes is the smallest number of sizes of a sweep. A prediction leaves out the largest size,
// and the remaining sizes must be enough for a line with an interval.
const MinSizes = minFitPoints + 1

// Quantity is a kind of resource usage. A sweep fits a line to each Quantity of each role.
type Quantity string

// The quantities to which a sweep fits lines, each with its unit.
const (
	QuantityBytes  Quantity = "bytes"  // bytes per second
	QuantityCores  Quantity = "cpu"    // cores
	QuantityMemory Quantity = "memory" // bytes
)

var quantities = []Quantity{QuantityBytes, QuantityCores, QuantityMemory}

func (u *RoleUsage) valueOf(q Quantity) float64 {
	switch q {
	case QuantityBytes:
		return u.BytesPerSecond
	case QuantityCores:
		return u.Cores
	default:
		return u.Memory
	}
}

// RoleFit is the line that is fitted to the usage of a role at several sizes, and its prediction.
type RoleFit struct {
	Role       Role // empty for all roles together
	Quantity   Quantity
	Line       Line
	Prediction Prediction
}

// String returns the fit as text for the output of a sweep.
func (f *RoleFit) String() string {
	role := f.Role
	if role == "" {
		role = "all"
	}
	bends := ""
	if f.Prediction.IsNonlinear() {
		bends = fmt.Sprintf(" BENDS: wanted %v to %v", minRatio, maxRatio)
	}
	return fmt.Sprintf("%-10s %-6s %.4g + %.4g a subscriber (95%% interval %.4g to %.4g, %d sizes); largest: predicted %.4g, measured %.4g, predicted_over_measured=%.3f%s",
		role, f.Quantity, f.Line.Intercept, f.Line.Slope, f.Line.SlopeLow, f.Line.SlopeHigh, f.Line.Points, f.Prediction.Predicted, f.Prediction.Measured, f.Prediction.Ratio(), bends)
}

// FitRuns fits lines to the resource usage over the sizes of the runs. It fits one line for each
// quantity and role, and one line for each quantity of all roles together. runs must be sorted by
// size.
func FitRuns(runs []*Figures) ([]RoleFit, error) {
	var fits []RoleFit
	for _, role := range append(slices.Clip(roles), "") {
		for _, quantity := range quantities {
			fit, err := fitRole(runs, role, quantity)
			if err != nil {
				return nil, err
			}
			fits = append(fits, fit)
		}
	}
	return fits, nil
}

func fitRole(runs []*Figures, role Role, quantity Quantity) (RoleFit, error) {
	fit := RoleFit{Role: role, Quantity: quantity}
	var sizes, values []float64
	for _, f := range runs {
		value := 0.0
		for usedBy, usage := range f.Usage {
			if usedBy == role || role == "" {
				value += usage.valueOf(quantity)
			}
		}
		sizes, values = append(sizes, float64(f.Sidecars)), append(values, value)
	}
	var err error
	if fit.Line, err = FitLine(sizes, values); err != nil {
		return fit, err
	}
	fit.Prediction, err = PredictLargest(sizes, values)
	return fit, err
}

// CheckSizes checks that a sweep has enough sizes and that the sizes are in rising order. Its error
// is one line and wraps ErrOptions.
func CheckSizes(sizes []int) error {
	if len(sizes) < MinSizes {
		return fmt.Errorf("%w: -sizes: found %d, wanted %d or more", ErrOptions, len(sizes), MinSizes)
	}
	for i := range sizes[1:] {
		if sizes[i] >= sizes[i+1] {
			return fmt.Errorf("%w: -sizes: found %d before %d, wanted them to rise", ErrOptions, sizes[i], sizes[i+1])
		}
	}
	return nil
}

// Sweep makes a run at each size and calls onRun with its figures. The sizes must be in rising
// order.
func Sweep(ctx context.Context, options Options, sizes []int, onRun func(*Figures)) ([]*Figures, error) {
	if err := checkSweep(options, sizes); err != nil {
		return nil, err
	}
	var runs []*Figures
	for _, size := range sizes {
		options.Sidecars = size
		f, err := Run(ctx, &options)
		if err != nil {
			return nil, fmt.Errorf("size %d: %w", size, err)
		}
		runs = append(runs, f)
		onRun(f)
	}
	return runs, nil
}

func checkSweep(options Options, sizes []int) error {
	if err := CheckSizes(sizes); err != nil {
		return err
	}
	limits, err := MachineLimits()
	if err != nil {
		return err
	}
	for _, size := range sizes {
		options.Sidecars = size
		if err := options.Validate(limits); err != nil {
			return err
		}
	}
	return nil
}

// SweepSummaryLine returns the last line of a sweep's output.
func SweepSummaryLine(runs []*Figures, fits []RoleFit) string {
	var sizes []string
	void := 0
	for _, f := range runs {
		sizes = append(sizes, fmt.Sprint(f.Sidecars))
		if len(f.VoidReasons) > 0 {
			void++
		}
	}
	line, bends := "sizes="+strings.Join(sizes, ","), 0
	for i := range fits {
		fit := &fits[i]
		if fit.Prediction.IsNonlinear() {
			bends++
		}
		if fit.Role == "" {
			line += fmt.Sprintf(" predicted_over_measured_%s=%.3f", fit.Quantity, fit.Prediction.Ratio())
		}
	}
	return fmt.Sprintf("%s outside=%d void=%d", line, bends, void)
}
