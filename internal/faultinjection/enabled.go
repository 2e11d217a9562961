//go:build faults

package faultinjection

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Enabled reports whether this binary supports fault injection.
const Enabled = true

const (
	// signalDeliveryDelay exceeds the time in which SIGSTOP stops all threads.
	signalDeliveryDelay = 100 * time.Millisecond
	// sendRetryInterval is the interval at which BeforeSend checks whether a partition has
	// ended.
	sendRetryInterval = 50 * time.Millisecond
)

// Actions of an "at" line.
const (
	actionKill = "kill"
	actionStop = "stop"
	actionHang = "hang"
)

// failureTorn is the failure of a "disk" line that writes only half of the data.
const failureTorn = "torn"

// anyOperation is the operation in a "disk" line that stands for all operations.
const anyOperation = "all"

// diskErrors maps each failure of a "disk" line, except failureTorn, to the error that the
// operation returns.
var diskErrors = map[string]error{"enospc": syscall.ENOSPC, "eio": syscall.EIO, "erofs": syscall.EROFS, "enoent": syscall.ENOENT}

// embeddedMarker references BinaryMarker so that the linker keeps it in the binary.
var embeddedMarker = BinaryMarker

// pointFault is a parsed "at" line.
type pointFault struct{ point, action, id string }

// diskFault is a parsed "disk" line.
type diskFault struct{ operation, failure, pathPart string }

// faults is the parsed content of a fault file.
type faults struct {
	points      []pointFault
	disk        []diskFault
	partitioned map[string]bool // addresses to which sends are blocked
	shift       time.Duration   // offset of the wall clock
	drift       float64         // change of the offset per unit of elapsed time
}

// injector holds the faults of the process. mu guards all fields except started.
type injector struct {
	started   time.Time
	mu        sync.Mutex
	file      os.FileInfo // fault file that was parsed last; nil if none
	faults    faults
	stopTimes map[string]time.Time // times at which this process stopped itself, by fault ID
}

var process = &injector{started: time.Now(), stopTimes: map[string]time.Time{}}

// faultFile returns the path of the process's fault file, or "" if none is configured.
func faultFile() string {
	directory := os.Getenv(DirectoryEnv)
	name := os.Getenv("RELAY_NAME")
	if name == "" {
		name = os.Getenv(RoleEnv)
	}
	if directory == "" || name == "" || embeddedMarker == "" {
		return ""
	}
	return filepath.Join(directory, name)
}

// current returns the current faults. It reads the fault file again if the file has changed.
func (j *injector) current() faults {
	j.mu.Lock()
	defer j.mu.Unlock()
	file := faultFile()
	if file == "" {
		return j.faults
	}
	info, err := os.Stat(file)
	if err != nil {
		j.file, j.faults = nil, faults{}
		return j.faults
	}
	if j.file != nil && os.SameFile(j.file, info) && j.file.ModTime().Equal(info.ModTime()) && j.file.Size() == info.Size() {
		return j.faults
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return j.faults
	}
	j.file, j.faults = info, parse(string(text))
	return j.faults
}

// parse parses a fault file. It ignores malformed lines, since only the rig writes the file.
func parse(text string) faults {
	parsed := faults{partitioned: map[string]bool{}}
	for line := range strings.SplitSeq(text, "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		arguments := fields[1:]
		switch {
		case fields[0] == "at" && len(arguments) == 3:
			parsed.points = append(parsed.points, pointFault{arguments[0], arguments[1], arguments[2]})
		case fields[0] == "cut" && len(arguments) == 1:
			parsed.partitioned[arguments[0]] = true
		case fields[0] == "wall" && len(arguments) == 1:
			parsed.shift, _ = time.ParseDuration(arguments[0])
		case fields[0] == "drift" && len(arguments) == 1:
			parsed.drift, _ = strconv.ParseFloat(arguments[0], 64)
		case fields[0] == "disk" && len(arguments) >= 2:
			fault := diskFault{operation: arguments[0], failure: arguments[1]}
			if len(arguments) > 2 {
				fault.pathPart = arguments[2]
			}
			parsed.disk = append(parsed.disk, fault)
		}
	}
	return parsed
}

// At injects the faults configured for a point in the code. Points lists all points.
func At(point string) {
	for _, fault := range process.current().points {
		if fault.point == point {
			process.inject(fault)
		}
	}
}

// inject injects a fault at a point once. It creates the file that records the fault with
// O_EXCL, so a fault that was injected before is not injected again.
func (j *injector) inject(fault pointFault) {
	j.mu.Lock()
	injected, err := os.OpenFile(faultFile()+"."+fault.id, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err == nil && fault.action == actionStop {
		j.stopTimes[fault.id] = time.Now()
	}
	j.mu.Unlock()
	if err != nil {
		j.awaitStop(fault.id)
		return
	}
	_, err = fmt.Fprintf(injected, "%d %s\n", os.Getpid(), fault.point)
	if err := errors.Join(err, injected.Close()); err != nil {
		slog.Warn("injected fault was not recorded", "point", fault.point, "error", err)
	}
	switch fault.action {
	case actionKill:
		signalSelf(syscall.SIGKILL)
		select {}
	case actionStop:
		signalSelf(syscall.SIGSTOP)
		// The signal is sent to the process, and this thread may continue to run until all
		// threads have stopped. The code after the point must not run before that.
		time.Sleep(signalDeliveryDelay)
	case actionHang:
		select {}
	}
}

// awaitStop waits while a SIGSTOP that this process has sent itself may not yet have stopped
// all threads, so that no other goroutine passes the point in the meantime.
func (j *injector) awaitStop(id string) {
	j.mu.Lock()
	stoppedAt, stopped := j.stopTimes[id]
	j.mu.Unlock()
	if stopped && time.Since(stoppedAt) < signalDeliveryDelay {
		time.Sleep(signalDeliveryDelay)
	}
}

func signalSelf(signal syscall.Signal) {
	if err := syscall.Kill(os.Getpid(), signal); err != nil {
		slog.Error("injected signal was not sent", "error", err)
	}
}

// BeforeSend is called before a process sends to an address. While the address is
// partitioned it blocks, like a transport that retransmits. It returns the error of ctx if
// ctx ends first.
func BeforeSend(ctx context.Context, address string) error {
	for process.current().partitioned[address] {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: %w", address, ctx.Err())
		case <-time.After(sendRetryInterval):
		}
	}
	return nil
}

// WallClock returns the wall-clock time with the injected offset and drift, without a
// monotonic reading.
func WallClock() time.Time {
	current := process.current()
	now := time.Now()
	offset := current.shift + time.Duration(current.drift*float64(now.Sub(process.started)))
	return now.Round(0).Add(offset)
}

// DiskError is called before an operation on a file. It returns the injected error, or nil.
func DiskError(operation, path string) error {
	for _, fault := range process.current().disk {
		if (fault.operation == operation || fault.operation == anyOperation) && fault.failure != failureTorn && strings.Contains(path, fault.pathPart) {
			return &os.PathError{Op: operation, Path: path, Err: diskErrors[fault.failure]}
		}
	}
	return nil
}

// TornWrite reports whether a write to path must stop after half of the data.
func TornWrite(path string) bool {
	for _, fault := range process.current().disk {
		if fault.failure == failureTorn && strings.Contains(path, fault.pathPart) {
			return true
		}
	}
	return false
}
