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

// Usage is the resource usage of a process.
type Usage struct {
	CPUTime time.Duration
	Memory  int64 // resident memory, in bytes
	Bytes   int64 // bytes read and written through sockets and files
}

func (u Usage) add(o Usage) Usage {
	return Usage{u.CPUTime + o.CPUTime, u.Memory + o.Memory, u.Bytes + o.Bytes}
}

// processorTick is the unit of the processor times in /proc/PID/stat.
const processorTick = 10 * time.Millisecond

// readUsage reads the usage of a process from /proc.
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
	u.CPUTime = time.Duration(user+system) * processorTick
	u.Memory = pages * int64(os.Getpagesize())
	text, err = os.ReadFile(folder + "io")
	if err != nil {
		return u, err
	}
	u.Bytes = numberAfterKey(text, "rchar:") + numberAfterKey(text, "wchar:")
	return u, nil
}

// numberAfterKey returns the number in the line that starts with a key; 0 if there is no such line.
func numberAfterKey(text []byte, key string) int64 {
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		if value, found := strings.CutPrefix(lines.Text(), key); found {
			number, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return number
		}
	}
	return 0
}

// availableMemory returns the memory that is available to new processes, in bytes.
func availableMemory() (int64, error) {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, fmt.Errorf("available memory: %w", err)
	}
	return numberAfterKey(text, "MemAvailable:") << 10, nil
}

// cpuTicks is the processor time of all cores since the machine booted, in ticks.
type cpuTicks struct{ idle, all int64 }

func readCPUTicks() cpuTicks {
	text, err := os.ReadFile("/proc/stat")
	if err != nil {
		return cpuTicks{}
	}
	line, _, _ := strings.Cut(string(text), "\n")
	var c cpuTicks
	const idleField, ioWaitField, guestField = 3, 4, 8 // user time includes guest time
	for i, field := range strings.Fields(line)[1:] {
		ticks, _ := strconv.ParseInt(field, 10, 64)
		if i >= guestField {
			break
		}
		c.all += ticks
		if i == idleField || i == ioWaitField {
			c.idle += ticks
		}
	}
	return c
}

// idleSince returns the idle fraction of the cores since an earlier reading.
func (c cpuTicks) idleSince(before cpuTicks) float64 {
	if c.all <= before.all {
		return 1
	}
	return float64(c.idle-before.idle) / float64(c.all-before.all)
}

// Limits beyond which a run is void.
const (
	maxPacerDelay     = 200 * time.Millisecond // if a change is sent later, the load is not the requested one
	maxSuspension     = 2 * time.Second        // longest suspension of the rig or its machine
	minIdleFraction   = 0.02                   // the cores are saturated if the idle fraction is lower for saturationSeconds
	saturationSeconds = 3
	watchInterval     = 50 * time.Millisecond
)

// watchdog detects runs that are void because the machine did not sustain the load. It is safe
// for concurrent use.
type watchdog struct {
	mu               sync.Mutex
	maxDelay         time.Duration
	minIdle          float64
	saturatedSeconds int // consecutive seconds in which less than minIdleFraction was idle
	void             []string
}

func newWatchdog() *watchdog { return &watchdog{minIdle: 1} }

// recordDelay records how late a change was sent.
func (w *watchdog) recordDelay(delay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if delay > maxPacerDelay && w.maxDelay <= maxPacerDelay {
		w.void = append(w.void, fmt.Sprintf("the load was %v late, wanted %v at most", delay.Round(time.Millisecond), maxPacerDelay))
	}
	w.maxDelay = max(w.maxDelay, delay)
}

// recordIdle records the fraction of the cores that was idle within a second.
func (w *watchdog) recordIdle(fraction float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.minIdle = min(w.minIdle, fraction)
	if fraction >= minIdleFraction {
		w.saturatedSeconds = 0
		return
	}
	w.saturatedSeconds++
	if w.saturatedSeconds == saturationSeconds {
		w.void = append(w.void, fmt.Sprintf("the cores were saturated: found less than %.0f%% idle for %d s", 100*minIdleFraction, saturationSeconds))
	}
}

// recordSuspension records how long the rig was not scheduled.
func (w *watchdog) recordSuspension(duration time.Duration) {
	if duration < maxSuspension {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.void = append(w.void, fmt.Sprintf("the rig was suspended for %v", duration.Round(time.Millisecond)))
}

// detectSuspensions records suspensions of the rig until stop is closed.
func (w *watchdog) detectSuspensions(stop <-chan struct{}) {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		before := Now()
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		w.recordSuspension(Now() - before - watchInterval)
	}
}

func (w *watchdog) reasons() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.void...)
}
