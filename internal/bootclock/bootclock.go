// Package bootclock reads the machine's clock that goes on while a process is stopped
// and while the machine sleeps. Leases and ages are measured by it: whoever wakes
// late must find them old.
package bootclock

import (
	"math"
	"time"

	"golang.org/x/sys/unix"
)

// Now is the time since an arbitrary moment of this boot. Where the clock can't be
// read it is the end of time: everything is old, and a lease on top wraps below zero.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return math.MaxInt64
	}
	return time.Duration(now.Nano())
}
