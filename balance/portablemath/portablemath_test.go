package portablemath_test

import (
	"fmt"
	"math"
	"math/big"
	"math/rand/v2"
	"testing"

	"otterspring/balance/portablemath"
)

const (
	referenceBits = 300 // precision of the reference values
	randomSamples = 20_000
)

// newReference returns a big number with the precision of the reference values.
func newReference(x float64) *big.Float { return new(big.Float).SetPrec(referenceBits).SetFloat64(x) }

// referenceExp returns e**x by the Taylor series after halving the argument.
func referenceExp(x *big.Float) *big.Float {
	const halvings = 30
	reduced := new(big.Float).SetPrec(referenceBits).SetMantExp(x, -halvings)
	sum, term := newReference(1), newReference(1)
	for n := 1; n < 30; n++ {
		term.Mul(term, reduced)
		term.Quo(term, newReference(float64(n)))
		sum.Add(sum, term)
	}
	for range halvings {
		sum.Mul(sum, sum)
	}
	return sum
}

// referenceLog returns ln(x) by Newton's iteration on referenceExp.
func referenceLog(x float64) *big.Float {
	result := newReference(math.Log(x))
	for range 4 {
		negated := new(big.Float).Neg(result)
		correction := referenceExp(negated)
		correction.Mul(correction, newReference(x))
		correction.Sub(correction, newReference(1))
		result.Add(result, correction)
	}
	return result
}

// errorInUnits returns the difference between got and want in units in the last place of want.
func errorInUnits(got float64, want *big.Float) float64 {
	rounded, _ := want.Float64()
	unit := math.Nextafter(math.Abs(rounded), math.Inf(1)) - math.Abs(rounded)
	difference := new(big.Float).Sub(newReference(got), want)
	difference.Quo(difference, newReference(unit))
	units, _ := difference.Float64()
	return math.Abs(units)
}

func checkError(t *testing.T, call string, got float64, want *big.Float, maxUnits float64) {
	t.Helper()
	if units := errorInUnits(got, want); !(units <= maxUnits) {
		t.Errorf("%s = %v, off by %.3f units in the last place, want at most %v", call, got, units, maxUnits)
	}
}

func TestErrorsAgainstBigNumbers(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	ln2 := referenceLog(2)
	for range randomSamples / 10 {
		x := (rng.Float64() - 0.5) * 2 * 1020
		product := new(big.Float).Mul(newReference(x), ln2)
		checkError(t, fmt.Sprintf("Exp2(%v)", x), portablemath.Exp2(x), referenceExp(product), 1)
		x = (rng.Float64() - 0.5) * 2 * 700
		checkError(t, fmt.Sprintf("Exp(%v)", x), portablemath.Exp(x), referenceExp(newReference(x)), 1)
		x = math.Ldexp(0.5+rng.Float64()/2, rng.IntN(2000)-1000)
		checkError(t, fmt.Sprintf("Log(%v)", x), portablemath.Log(x), referenceLog(x), 1)
	}
}

// Bases and exponents as the balancer uses them: probabilities, and weights up to 8.
func TestPowErrorsAgainstBigNumbers(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for range randomSamples / 10 {
		x, y := rng.Float64(), (rng.Float64()-0.5)*16
		exponent := new(big.Float).Mul(newReference(y), referenceLog(x))
		checkError(t, fmt.Sprintf("Pow(%v, %v)", x, y), portablemath.Pow(x, y), referenceExp(exponent), 8)
	}
}

func TestExactPowers(t *testing.T) {
	for n := -1074; n <= 1023; n++ {
		want := math.Ldexp(1, n)
		if got := portablemath.Exp2(float64(n)); got != want {
			t.Errorf("Exp2(%d) = %v, want %v", n, got, want)
		}
		if got := portablemath.Pow(2, float64(n)); n >= -1022 && got != want {
			t.Errorf("Pow(2, %d) = %v, want %v", n, got, want)
		}
	}
	for n, want := range []float64{1, 3, 9, 27, 81, 243} {
		if got := portablemath.Pow(3, float64(n)); got != want {
			t.Errorf("Pow(3, %d) = %v, want %v", n, got, want)
		}
	}
}

func TestMonotone(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	functions := map[string]func(float64) float64{"Exp2": portablemath.Exp2, "Exp": portablemath.Exp, "Log": portablemath.Log}
	for name, function := range functions {
		for i := range randomSamples {
			x := (rng.Float64() - 0.5) * 40
			if i%4 == 0 {
				x = float64(i%64-32) + 0.5 // where the reduction of the argument changes
			}
			if name == "Log" {
				x = math.Abs(x)
			}
			next := x + math.Abs(x)*0x1p-50 // a few units in the last place
			if low, high := function(x), function(next); low > high {
				t.Errorf("%s(%v) = %v is above %s(%v) = %v", name, x, low, name, next, high)
			}
		}
	}
}

func TestEdges(t *testing.T) {
	infinity, nan := math.Inf(1), math.NaN()
	const least = math.SmallestNonzeroFloat64
	for call, values := range map[string][2]float64{
		"Exp2(0)":          {portablemath.Exp2(0), 1},
		"Exp2(-0)":         {portablemath.Exp2(math.Copysign(0, -1)), 1},
		"Exp2(least)":      {portablemath.Exp2(least), 1},
		"Exp2(1024)":       {portablemath.Exp2(1024), infinity},
		"Exp2(1e300)":      {portablemath.Exp2(1e300), infinity},
		"Exp2(+Inf)":       {portablemath.Exp2(infinity), infinity},
		"Exp2(-1074)":      {portablemath.Exp2(-1074), least},
		"Exp2(-1075)":      {portablemath.Exp2(-1075), 0},
		"Exp2(-1e300)":     {portablemath.Exp2(-1e300), 0},
		"Exp2(-Inf)":       {portablemath.Exp2(-infinity), 0},
		"Exp2(NaN)":        {portablemath.Exp2(nan), nan},
		"Exp(0)":           {portablemath.Exp(0), 1},
		"Exp(least)":       {portablemath.Exp(least), 1},
		"Exp(710)":         {portablemath.Exp(710), infinity},
		"Exp(-746)":        {portablemath.Exp(-746), 0},
		"Exp(NaN)":         {portablemath.Exp(nan), nan},
		"Log(1)":           {portablemath.Log(1), 0},
		"Log(0)":           {portablemath.Log(0), -infinity},
		"Log(-1)":          {portablemath.Log(-1), nan},
		"Log(+Inf)":        {portablemath.Log(infinity), infinity},
		"Log(NaN)":         {portablemath.Log(nan), nan},
		"Log(least)":       {portablemath.Log(least), -744.4400719213812},
		"Pow(0, 0)":        {portablemath.Pow(0, 0), 1},
		"Pow(0, 2)":        {portablemath.Pow(0, 2), 0},
		"Pow(0, -2)":       {portablemath.Pow(0, -2), infinity},
		"Pow(0.5, 1e300)":  {portablemath.Pow(0.5, 1e300), 0},
		"Pow(0.5, -1e300)": {portablemath.Pow(0.5, -1e300), infinity},
		"Pow(2, 1e300)":    {portablemath.Pow(2, 1e300), infinity},
		"Pow(0.5, 1e15)":   {portablemath.Pow(0.5, 1e15), 0},
		"Pow(1.5, 1e15)":   {portablemath.Pow(1.5, 1e15), infinity},
		"Pow(least, 2)":    {portablemath.Pow(least, 2), 0},
		"Pow(least, 1)":    {portablemath.Pow(least, 1), least},
		"Pow(+Inf, -1)":    {portablemath.Pow(infinity, -1), 0},
		"Pow(+Inf, 2)":     {portablemath.Pow(infinity, 2), infinity},
		"Pow(-2, 2)":       {portablemath.Pow(-2, 2), nan},
		"Pow(2, +Inf)":     {portablemath.Pow(2, infinity), nan},
		"Pow(NaN, 0)":      {portablemath.Pow(nan, 0), nan},
		"Pow(1, 1e300)":    {portablemath.Pow(1, 1e300), 1},
		"Pow(0.25, 0.5)":   {portablemath.Pow(0.25, 0.5), 0.5},
		"Pow(largest, 1)":  {portablemath.Pow(math.MaxFloat64, 1), math.MaxFloat64},
	} {
		got, want := values[0], values[1]
		if got != want && !(math.IsNaN(got) && math.IsNaN(want)) {
			t.Errorf("%s = %v, want %v", call, got, want)
		}
	}
}

// The bits of some results, so that a machine on which they differ fails here and not only in
// a recording of decisions.
func TestBitsAreTheSameOnEveryMachine(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 8))
	var sum uint64
	for range randomSamples {
		x := (rng.Float64() - 0.5) * 100
		for _, value := range []float64{portablemath.Exp2(x), portablemath.Exp(x), portablemath.Log(math.Abs(x)), portablemath.Pow(rng.Float64(), x/10)} {
			sum = sum*1_099_511_628_211 + math.Float64bits(value)
		}
	}
	const want = uint64(0xaa05af0695bc48ab)
	if sum != want {
		t.Errorf("checksum of the results is %#x, want %#x", sum, want)
	}
}
