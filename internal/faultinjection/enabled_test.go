//go:build faults

package faultinjection

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// The wall clock steps and drifts by the file; the monotonic clock is not affected.
func TestWallClockStepsAndMonotonicClockDoesNot(t *testing.T) {
	dir := t.TempDir()
	t.Setenv(DirectoryEnv, dir)
	t.Setenv("RELAY_NAME", "n1")
	set := func(text string) {
		t.Helper()
		tmp := filepath.Join(dir, "tmp")
		if err := os.WriteFile(tmp, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(tmp, filepath.Join(dir, "n1")); err != nil {
			t.Fatal(err)
		}
	}
	for text, want := range map[string]time.Duration{"wall -1h\n": -time.Hour, "wall 24h\n": 24 * time.Hour, "drift 0.5\n": 0} {
		set(text)
		before := time.Now()
		off := WallClock().Sub(time.Now().Round(0))
		if d := time.Since(before); d < 0 || d > time.Minute {
			t.Errorf("%q: %v of monotonic time have passed", text, d)
		}
		if off < want-time.Minute || off > want+time.Minute {
			t.Errorf("%q: the wall clock is %v off, wanted %v", text, off, want)
		}
	}
	set("disk rename eio x.json\ndisk write enospc\n")
	if err := DiskError("rename", "/a/x.json"); !errors.Is(err, syscall.EIO) {
		t.Errorf("rename of x.json: %v, wanted EIO", err)
	}
	if err := DiskError("rename", "/a/y"); err != nil {
		t.Errorf("rename of another: %v", err)
	}
	if err := DiskError("write", "/a/y"); !errors.Is(err, syscall.ENOSPC) {
		t.Errorf("write: %v, wanted ENOSPC", err)
	}
	set("\n")
	if err := DiskError("write", "/a/y"); err != nil {
		t.Errorf("a fault that has ended: %v", err)
	}
}
