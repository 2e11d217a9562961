// Package bootclock reads CLOCK_BOOTTIME, which also advances while the process is stopped or
// the machine is suspended. Leases and ages are measured with it, so that they expire for a
// suspended process too.
package bootclock

import (
	"math"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since a fixed, unspecified point of the current boot. If the clock can't
// be read, it returns the largest duration. This value fails safe: it exceeds every age limit,
// and a lease expiry computed from it overflows to a negative time, which is in the past.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return math.MaxInt64
	}
	return time.Duration(now.Nano())
}
