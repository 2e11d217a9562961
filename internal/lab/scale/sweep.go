package scale

import (
	"context"
	"fmt"
	"strings"
)

// MinSizes is how few sizes a sweep has: without the largest there must be enough
// for a line with an interval.
const MinSizes = minFitPoints + 1

// Quantity is what a sweep fits of a role.
type Quantity string

// The quantities.
const (
	QuantityBytes  Quantity = "bytes"  // a second
	QuantityCores  Quantity = "cpu"    // cores
	QuantityMemory Quantity = "memory" // bytes
)

var quantities = []Quantity{QuantityBytes, QuantityCores, QuantityMemory}

func (u *RoleUsage) of(q Quantity) float64 {
	switch q {
	case QuantityBytes:
		return u.BytesPerSecond
	case QuantityCores:
		return u.Cores
	default:
		return u.Memory
	}
}

// RoleFit is a line over sizes of what a role takes, and how well it predicts.
type RoleFit struct {
	Role       Role // empty for all roles together
	Quantity   Quantity
	Line       Line
	Prediction Prediction
}

// String is a fit in words.
func (f *RoleFit) String() string {
	role := f.Role
	if role == "" {
		role = "all"
	}
	bends := ""
	if f.Prediction.Bends() {
		bends = fmt.Sprintf(" BENDS: wanted %v to %v", leastRatio, mostRatio)
	}
	return fmt.Sprintf("%-10s %-6s %.4g + %.4g a subscriber (95%% interval %.4g to %.4g, %d sizes); largest: predicted %.4g, measured %.4g, predicted_over_measured=%.3f%s",
		role, f.Quantity, f.Line.Intercept, f.Line.Slope, f.Line.Low, f.Line.High, f.Line.Points, f.Prediction.Predicted, f.Prediction.Measured, f.Prediction.Ratio(), bends)
}

// FitRuns fits a line over the sizes of runs for each role and quantity, and for all
// roles together. The sizes rise.
func FitRuns(runs []*Figures) ([]RoleFit, error) {
	var fits []RoleFit
	for _, role := range append(roles[:len(roles):len(roles)], "") {
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
		for of, used := range f.Used {
			if of == role || role == "" {
				value += used.of(quantity)
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

// CheckSizes tells in one line what is wrong with the sizes of a sweep.
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

// Sweep plays a run at each size, which rise, and hands on what each came to.
func Sweep(ctx context.Context, o Options, sizes []int, each func(*Figures)) ([]*Figures, error) {
	if err := checkSweep(o, sizes); err != nil {
		return nil, err
	}
	var runs []*Figures
	for _, size := range sizes {
		o.Sidecars = size
		f, err := Run(ctx, &o)
		if err != nil {
			return nil, fmt.Errorf("size %d: %w", size, err)
		}
		runs = append(runs, f)
		each(f)
	}
	return runs, nil
}

func checkSweep(o Options, sizes []int) error {
	if err := CheckSizes(sizes); err != nil {
		return err
	}
	limits, err := MachineLimits()
	if err != nil {
		return err
	}
	for _, size := range sizes {
		o.Sidecars = size
		if err := o.Check(limits); err != nil {
			return err
		}
	}
	return nil
}

// SweepLine is the last line of a sweep.
func SweepLine(runs []*Figures, fits []RoleFit) string {
	var sizes []string
	void := 0
	for _, f := range runs {
		sizes = append(sizes, fmt.Sprint(f.Sidecars))
		if len(f.Void) > 0 {
			void++
		}
	}
	line, bends := "sizes="+strings.Join(sizes, ","), 0
	for i := range fits {
		fit := &fits[i]
		if fit.Prediction.Bends() {
			bends++
		}
		if fit.Role == "" {
			line += fmt.Sprintf(" predicted_over_measured_%s=%.3f", fit.Quantity, fit.Prediction.Ratio())
		}
	}
	return fmt.Sprintf("%s outside=%d void=%d", line, bends, void)
}
