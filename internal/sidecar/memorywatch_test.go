package sidecar

import "testing"

func TestMemoryLevelIsReportedOnceForEachPassing(t *testing.T) {
	level := memoryLevel{limitBytes: 1000}
	for i, c := range []struct {
		resident int
		changed  bool
	}{{100, false}, {750, false}, {751, true}, {990, false}, {700, false}, {600, false}, {599, true}, {700, false}, {800, true}} {
		if changed := level.update(c.resident); changed != c.changed {
			t.Errorf("measurement %d, %d bytes: changed %t, want %t", i, c.resident, changed, c.changed)
		}
	}
}

func TestResidentMemoryIsRead(t *testing.T) {
	if resident := residentBytes(); resident < 1<<20 {
		t.Errorf("found %d bytes of resident memory, want at least 1 MiB", resident)
	}
}
