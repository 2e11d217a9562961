//go:build faults

package faultinjection

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Compiled tells whether faults can be brought into this binary.
const Compiled = true

var mark = Mark // keeps the text in the binary

// order is a line "at".
type order struct{ point, do, id string }

// fail is a line "disk".
type fail struct{ op, how, part string }

var state struct {
	mu     sync.Mutex
	seen   os.FileInfo
	at     []order
	disk   []fail
	cut    map[string]bool
	shift  time.Duration
	drift  float64
	origin time.Time
	stops  map[string]time.Time // when this process has stopped itself, by the order's id
}

func init() { state.origin, state.stops = time.Now(), map[string]time.Time{} }

// path is the process's own file; empty where none is kept.
func path() string {
	dir := os.Getenv(DirectoryEnv)
	name := os.Getenv("RELAY_NAME")
	if name == "" {
		name = os.Getenv(RoleEnv)
	}
	if dir == "" || name == "" || mark == "" {
		return ""
	}
	return filepath.Join(dir, name)
}

// load reads the file where it has changed. The caller holds the mutex.
func load() {
	p := path()
	if p == "" {
		return
	}
	info, err := os.Stat(p)
	if err != nil {
		state.seen, state.at, state.disk, state.cut, state.shift, state.drift = nil, nil, nil, nil, 0, 0
		return
	}
	if state.seen != nil && os.SameFile(state.seen, info) && state.seen.ModTime().Equal(info.ModTime()) && state.seen.Size() == info.Size() {
		return
	}
	text, err := os.ReadFile(p)
	if err != nil {
		return
	}
	state.seen, state.at, state.disk, state.cut, state.shift, state.drift = info, nil, nil, map[string]bool{}, 0, 0
	for _, line := range strings.Split(string(text), "\n") {
		f := strings.Fields(line)
		switch {
		case len(f) == 4 && f[0] == "at":
			state.at = append(state.at, order{f[1], f[2], f[3]})
		case len(f) == 2 && f[0] == "cut":
			state.cut[f[1]] = true
		case len(f) == 2 && f[0] == "wall":
			state.shift, _ = time.ParseDuration(f[1])
		case len(f) == 2 && f[0] == "drift":
			state.drift, _ = strconv.ParseFloat(f[1], 64)
		case len(f) >= 3 && f[0] == "disk":
			part := ""
			if len(f) > 3 {
				part = f[3]
			}
			state.disk = append(state.disk, fail{f[1], f[2], part})
		}
	}
}

// At does at a point of the code what is ordered for it.
func At(point string) {
	state.mu.Lock()
	load()
	var todo []order
	for _, o := range state.at {
		if o.point == point {
			todo = append(todo, o)
		}
	}
	state.mu.Unlock()
	for _, o := range todo {
		state.mu.Lock()
		hit, err := os.OpenFile(path()+"."+o.id, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
		if err == nil && o.do == "stop" {
			state.stops[o.id] = time.Now()
		}
		state.mu.Unlock()
		if err != nil {
			// It has struck. Whoever comes here in the moment before the stop has reached all
			// threads stands still with it.
			state.mu.Lock()
			at, mine := state.stops[o.id]
			state.mu.Unlock()
			if mine && time.Since(at) < stopTakes {
				time.Sleep(stopTakes)
			}
			continue
		}
		fmt.Fprintf(hit, "%d %s\n", os.Getpid(), point)
		hit.Close()
		switch o.do {
		case "kill":
			syscall.Kill(os.Getpid(), syscall.SIGKILL)
			select {}
		case "stop":
			syscall.Kill(os.Getpid(), syscall.SIGSTOP)
			// The signal is the process's: this thread may run on while another takes it. What
			// stands behind the point must not begin before the stop.
			time.Sleep(stopTakes)
		case "hang":
			select {}
		}
	}
}

// BeforeSend is asked before a process sends something to an address. On one that is cut
// it stands, as what is sent again and again does, until the way is whole or ctx
// ends.
func BeforeSend(ctx context.Context, to string) error {
	for {
		state.mu.Lock()
		load()
		cut := state.cut[to]
		state.mu.Unlock()
		if !cut {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: %w", to, ctx.Err())
		case <-time.After(wayAgain):
		}
	}
}

// stopTakes is longer than a stop takes to reach all threads.
const stopTakes = 100 * time.Millisecond

// wayAgain is how often a way that is cut is tried.
const wayAgain = 50 * time.Millisecond

// WallClock is the wall clock, with no monotonic reading in it.
func WallClock() time.Time {
	state.mu.Lock()
	defer state.mu.Unlock()
	load()
	now := time.Now()
	off := state.shift + time.Duration(state.drift*float64(now.Sub(state.origin)))
	return now.Round(0).Add(off)
}

var failures = map[string]error{"enospc": syscall.ENOSPC, "eio": syscall.EIO, "erofs": syscall.EROFS, "enoent": syscall.ENOENT}

// DiskError is asked before an operation on a file.
func DiskError(op, path string) error {
	state.mu.Lock()
	defer state.mu.Unlock()
	load()
	for _, f := range state.disk {
		if (f.op == op || f.op == "all") && f.how != "torn" && strings.Contains(path, f.part) {
			return &os.PathError{Op: op, Path: path, Err: failures[f.how]}
		}
	}
	return nil
}

// TornWrite tells whether a write to path is to end in its middle.
func TornWrite(path string) bool {
	state.mu.Lock()
	defer state.mu.Unlock()
	load()
	for _, f := range state.disk {
		if f.how == "torn" && strings.Contains(path, f.part) {
			return true
		}
	}
	return false
}
