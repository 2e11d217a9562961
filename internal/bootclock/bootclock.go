// Package bootclock reads the machine's clock that continues while a process is stopped
// and while the machine is suspended. Leases and ages are measured by it: they have
// expired for a process that was suspended for longer.
package bootclock

import (
	"math"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since an arbitrary moment of this boot. If the clock can't be
// read it is the largest duration: every age is exceeded, and the end of a lease that is
// added to it overflows to a negative one, which is in the past.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return math.MaxInt64
	}
	return time.Duration(now.Nano())
}
