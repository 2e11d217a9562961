package scale

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Usage is what a process has used.
type Usage struct {
	Processor time.Duration
	Memory    int64 // resident now, in bytes
	Bytes     int64 // read and written, sockets and files
}

func (u Usage) plus(o Usage) Usage {
	return Usage{u.Processor + o.Processor, u.Memory + o.Memory, u.Bytes + o.Bytes}
}

// processorTick is the unit of /proc/PID/stat.
const processorTick = 10 * time.Millisecond

// readUsage reads what a process has used from /proc.
func readUsage(pid int) (Usage, error) {
	var u Usage
	folder := fmt.Sprintf("/proc/%d/", pid)
	text, err := os.ReadFile(folder + "stat")
	if err != nil {
		return u, err
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	if len(fields) < 22 {
		return u, fmt.Errorf("%sstat: found %d fields, wanted 22 or more", folder, len(fields))
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	u.Processor = time.Duration(user+system) * processorTick
	u.Memory = pages * int64(os.Getpagesize())
	text, err = os.ReadFile(folder + "io")
	if err != nil {
		return u, err
	}
	u.Bytes = keyedNumber(text, "rchar:") + keyedNumber(text, "wchar:")
	return u, nil
}

// keyedNumber finds the line that begins with a key and returns its number.
func keyedNumber(text []byte, key string) int64 {
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		if rest, found := strings.CutPrefix(lines.Text(), key); found {
			number, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return number
		}
	}
	return 0
}

// availableMemory is what the machine can give to new processes.
func availableMemory() (int64, error) {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, fmt.Errorf("available memory: %w", err)
	}
	return keyedNumber(text, "MemAvailable:") << 10, nil
}

// cores are the machine's processor times since its start, in ticks.
type cores struct{ idle, all int64 }

func readCores() cores {
	text, err := os.ReadFile("/proc/stat")
	if err != nil {
		return cores{}
	}
	line, _, _ := strings.Cut(string(text), "\n")
	var c cores
	const idle, waiting, guest = 3, 4, 8 // guest time is in user time already
	for i, field := range strings.Fields(line)[1:] {
		ticks, _ := strconv.ParseInt(field, 10, 64)
		if i >= guest {
			break
		}
		c.all += ticks
		if i == idle || i == waiting {
			c.idle += ticks
		}
	}
	return c
}

// idleSince is the share of the machine's cores that was idle since before.
func (c cores) idleSince(before cores) float64 {
	if c.all <= before.all {
		return 1
	}
	return float64(c.idle-before.idle) / float64(c.all-before.all)
}

// What makes a run void.
const (
	pacerLate   = 200 * time.Millisecond // behind by more: the load was not the one that was asked for
	standstill  = 2 * time.Second        // the rig or its machine stood still
	leastIdle   = 0.02                   // with less, for busySeconds, the cores are used up
	busySeconds = 3
	watchEvery  = 50 * time.Millisecond
)

// watchdog tells whether a run can be believed. Its methods may be called by
// several goroutines.
type watchdog struct {
	mu        sync.Mutex
	lateMost  time.Duration
	idleLeast float64
	busy      int // seconds in a row with idle cores below leastIdle
	void      []string
}

func newWatchdog() *watchdog { return &watchdog{idleLeast: 1} }

// late notes by how much the pacer was behind.
func (w *watchdog) late(by time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if by > pacerLate && w.lateMost <= pacerLate {
		w.void = append(w.void, fmt.Sprintf("the pacer was %v behind, wanted %v at most", by.Round(time.Millisecond), pacerLate))
	}
	w.lateMost = max(w.lateMost, by)
}

// idle notes the share of idle cores of a second.
func (w *watchdog) idle(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.idleLeast = min(w.idleLeast, share)
	if share >= leastIdle {
		w.busy = 0
		return
	}
	w.busy++
	if w.busy == busySeconds {
		w.void = append(w.void, fmt.Sprintf("the cores were used up: found less than %.0f%% idle for %d s", 100*leastIdle, busySeconds))
	}
}

// stood notes for how long the rig stood still.
func (w *watchdog) stood(still time.Duration) {
	if still < standstill {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.void = append(w.void, fmt.Sprintf("the rig stood still for %v", still.Round(time.Millisecond)))
}

// watch notes standstills until end is closed.
func (w *watchdog) watch(end <-chan struct{}) {
	tick := time.NewTicker(watchEvery)
	defer tick.Stop()
	for {
		before := Now()
		select {
		case <-end:
			return
		case <-tick.C:
		}
		w.stood(Now() - before - watchEvery)
	}
}

func (w *watchdog) reasons() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.void...)
}
