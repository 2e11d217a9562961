// Package wallclock is the one place at which the program reads the wall clock.
// What it tells may step, stand or run at another pace than true time; spans are
// measured by time.Now and time.Since, whose monotonic reading does none of that.
// Builds with the tag "faults" can shift it (package faultinjection).
package wallclock

import (
	"time"

	"otterspring/internal/faultinjection"
)

// Now is the wall clock's time. It has no monotonic reading, so that a span
// between two of them shows what the wall clock did.
func Now() time.Time { return faultinjection.WallClock() }
