// Package wallclock is how the program reads the wall clock, which may step, stop or
// drift. Durations are measured by time.Now and time.Since, whose monotonic reading does
// none of that.
// Builds with the tag "faults" can shift it (package faultinjection).
package wallclock

import (
	"time"

	"otterspring/internal/faultinjection"
)

// Now returns the wall clock's time. It has no monotonic reading, so the difference of
// two of them includes the steps between them.
func Now() time.Time { return faultinjection.WallClock() }
