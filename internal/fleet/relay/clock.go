package relay

import (
	"math"
	"time"

	"golang.org/x/sys/unix"
)

// bootTime is a clock that goes on while this process is stopped and while the
// machine sleeps, from an arbitrary start.
func bootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return math.MaxInt64 // all that was heard is old
	}
	return time.Duration(now.Nano())
}
