// Package portablemath provides powers and logarithms whose results are the same on every
// machine, to the last bit.
//
// Package math may not be used for decisions: some of its functions have assembly forms that
// round differently (math.Exp2 on arm64, math.Exp on amd64 and arm64, math.Log on amd64). The
// functions here consist of additions, multiplications and divisions, whose results IEEE 754
// defines, and of exact scaling by powers of two. The language permits a compiler to fuse a
// product and a sum into one operation with a single rounding; an explicit conversion to
// float64 around the product prevents that.
//
// The approximations are those of FreeBSD's msun library (e_exp.c and e_log.c, by Sun
// Microsystems): a reduction of the argument and a polynomial.
package portablemath

import "math"

const (
	// ln2High and ln2Low add up to ln(2). ln2High has 32 significant bits, so that its
	// product with a small integer is exact.
	ln2High = 6.93147180369123816490e-01
	ln2Low  = 1.90821492927058770002e-10

	exp2Overflow  = 1024  // Exp2 returns +Inf from this argument on
	exp2Underflow = -1075 // Exp2 returns 0 up to this argument: 2**-1075 is half of the least subnormal number

	expOverflow  = 7.09782712893383973096e+02 // Exp returns +Inf above this argument
	expUnderflow = -7.45133219101941108420e+02

	// maxExponent bounds the exponents that Pow adds up. Beyond it the result is 0 or +Inf.
	maxExponent = 1 << 12
)

// Exp2 returns 2**x. The error is less than one unit in the last place; the result is exact if
// x is an integer. Exp2(NaN) is NaN, Exp2(+Inf) is +Inf, Exp2(-Inf) is 0.
func Exp2(x float64) float64 {
	switch {
	case math.IsNaN(x):
		return x
	case x >= exp2Overflow:
		return math.Inf(1)
	case x <= exp2Underflow:
		return 0
	}
	exponent := roundToInt(x)
	fraction := x - float64(exponent) // exact
	return expReduced(float64(fraction*ln2High), float64(-fraction*ln2Low), exponent)
}

// Exp returns e**x. The error is less than one unit in the last place. Exp(NaN) is NaN,
// Exp(+Inf) is +Inf, Exp(-Inf) is 0.
func Exp(x float64) float64 {
	switch {
	case math.IsNaN(x):
		return x
	case x > expOverflow:
		return math.Inf(1)
	case x < expUnderflow:
		return 0
	}
	exponent := roundToInt(float64(x * math.Log2E))
	high := x - float64(float64(exponent)*ln2High)
	return expReduced(high, float64(float64(exponent)*ln2Low), exponent)
}

// roundToInt returns the integer that is nearest to x, half away from zero. x is small.
func roundToInt(x float64) int {
	if x < 0 {
		return int(x - 0.5)
	}
	return int(x + 0.5)
}

// expReduced returns e**(high-low) * 2**exponent, where high-low is at most ln(2)/2 in
// magnitude.
func expReduced(high, low float64, exponent int) float64 {
	const (
		p1 = 1.66666666666666657415e-01
		p2 = -2.77777777770155933842e-03
		p3 = 6.61375632143793436117e-05
		p4 = -1.65339022054652515390e-06
		p5 = 4.13813679705723846039e-08
	)
	reduced := high - low
	square := float64(reduced * reduced)
	polynomial := p4 + float64(square*p5)
	polynomial = p3 + float64(square*polynomial)
	polynomial = p2 + float64(square*polynomial)
	polynomial = p1 + float64(square*polynomial)
	correction := reduced - float64(square*polynomial)
	quotient := float64(reduced*correction) / (2 - correction)
	mantissa := 1 - ((low - quotient) - high)
	return math.Ldexp(mantissa, exponent)
}

// Log returns the natural logarithm of x. The error is less than one unit in the last place.
// Log(0) is -Inf, Log(+Inf) is +Inf, and Log of a negative number or of NaN is NaN.
func Log(x float64) float64 {
	switch {
	case math.IsNaN(x) || math.IsInf(x, 1):
		return x
	case x < 0:
		return math.NaN()
	case x == 0:
		return math.Inf(-1)
	}
	mantissa, exponent := math.Frexp(x)
	if mantissa < math.Sqrt2/2 {
		mantissa *= 2
		exponent--
	}
	return logReduced(mantissa-1, float64(exponent))
}

// logReduced returns log(1+fraction) + exponent*ln(2), where 1+fraction is between sqrt(2)/2
// and sqrt(2).
func logReduced(fraction, exponent float64) float64 {
	const (
		l1 = 6.666666666666735130e-01
		l2 = 3.999999999940941908e-01
		l3 = 2.857142874366239149e-01
		l4 = 2.222219843214978396e-01
		l5 = 1.818357216161805012e-01
		l6 = 1.531383769920937332e-01
		l7 = 1.479819860511658591e-01
	)
	s := fraction / (2 + fraction)
	s2 := float64(s * s)
	s4 := float64(s2 * s2)
	odd := l5 + float64(s4*l7)
	odd = l3 + float64(s4*odd)
	odd = l1 + float64(s4*odd)
	even := l4 + float64(s4*l6)
	even = l2 + float64(s4*even)
	remainder := float64(s2*odd) + float64(s4*even)
	halfSquare := float64(float64(0.5*fraction) * fraction)
	tail := float64(s*(halfSquare+remainder)) + float64(exponent*ln2Low)
	return float64(exponent*ln2High) - ((halfSquare - tail) - fraction)
}

// Pow returns x**y for x >= 0 and finite y. The error is a few units in the last place and
// grows with the logarithm of y. Pow(x, 0) is 1, Pow(0, y) is 0 for y > 0 and +Inf for y < 0.
// The result is NaN if x is negative or an argument is NaN, and if y is infinite.
func Pow(x, y float64) float64 {
	if result, special := specialPower(x, y); special {
		return result
	}
	whole, fraction := math.Modf(math.Abs(y))
	if fraction > 0.5 {
		fraction--
		whole++
	}
	mantissa, exponent := 1.0, 0
	if fraction != 0 {
		mantissa = Exp(float64(fraction * Log(x)))
	}
	mantissa, exponent = multiplyPower(mantissa, x, int64(whole))
	if y < 0 {
		mantissa, exponent = 1/mantissa, -exponent
	}
	return math.Ldexp(mantissa, exponent)
}

// specialPower returns the results of Pow that are not computed: for arguments that are not
// numbers, zeros, infinities, and exponents beyond any finite result.
func specialPower(x, y float64) (result float64, special bool) {
	switch {
	case math.IsNaN(x) || math.IsNaN(y) || x < 0 || math.IsInf(y, 0):
		return math.NaN(), true
	case y == 0 || x == 1:
		return 1, true
	case x == 0 || math.IsInf(x, 1) || math.Abs(y) >= 1<<62:
		if (x > 1) == (y > 0) {
			return math.Inf(1), true
		}
		return 0, true
	}
	return 0, false
}

// multiplyPower returns factor * base**n as a mantissa and a power of two. It squares the
// mantissa of base repeatedly; the exponents are added separately, so that nothing overflows.
func multiplyPower(factor, base float64, n int64) (mantissa float64, exponent int) {
	square, squareExponent := math.Frexp(base)
	mantissa = factor
	for ; n != 0; n >>= 1 {
		if squareExponent < -maxExponent || squareExponent > maxExponent {
			return mantissa, exponent + squareExponent
		}
		if n&1 == 1 {
			mantissa = float64(mantissa * square)
			exponent += squareExponent
		}
		square = float64(square * square)
		squareExponent <<= 1
		if square < 0.5 {
			square *= 2
			squareExponent--
		}
	}
	return mantissa, exponent
}
