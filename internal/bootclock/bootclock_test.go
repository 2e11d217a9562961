package bootclock

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// The clock is the one that the kernel reports as uptime: it includes the time for which
// the machine was suspended, and is the same for all processes.
func TestNowIsTheUptime(t *testing.T) {
	before := Now()
	text, err := os.ReadFile("/proc/uptime")
	if err != nil {
		t.Fatal(err)
	}
	after := Now()
	seconds, err := strconv.ParseFloat(strings.Fields(string(text))[0], 64)
	if err != nil {
		t.Fatal(err)
	}
	const step = 10 * time.Millisecond // of /proc/uptime, truncated
	found := time.Duration(seconds * float64(time.Second))
	if found+step < before || found > after {
		t.Errorf("found an uptime of %v, wanted it between %v and %v", found, before, after)
	}
}
