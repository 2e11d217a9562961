// Package wallclock reads the wall clock, which may step, stop or drift. Durations are
// measured with time.Now and time.Since instead, whose monotonic reading is not affected. In
// builds with the tag "faults", package faultinjection can shift the wall clock.
package wallclock

import (
	"time"

	"otterspring/internal/faultinjection"
)

// Now returns the wall-clock time without a monotonic reading, so that the difference of two
// times includes clock steps between them.
func Now() time.Time { return faultinjection.WallClock() }
