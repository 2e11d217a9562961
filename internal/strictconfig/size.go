package strictconfig

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Size is a size in bytes, written with a unit: "512B", "64KiB", "8MiB", "1GiB".
type Size int64

// sizeUnits lists the units from the largest to the smallest.
var sizeUnits = []struct {
	name  string
	bytes Size
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// String formats a size in the largest unit that divides it.
func (s Size) String() string {
	for _, unit := range sizeUnits {
		if s >= unit.bytes && s%unit.bytes == 0 {
			return fmt.Sprintf("%d%s", s/unit.bytes, unit.name)
		}
	}
	return fmt.Sprintf("%dB", int64(s))
}

// ParseSize parses a whole number followed by B, KiB, MiB or GiB. The text of its error
// describes the expected form.
func ParseSize(text string) (Size, error) {
	for _, unit := range sizeUnits {
		digits, ok := strings.CutSuffix(text, unit.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64/int64(unit.bytes) {
			break
		}
		return Size(n) * unit.bytes, nil
	}
	return 0, errors.New(`a size with its unit, like "8MiB"`)
}
