package dispatch

import (
	"fmt"
	"testing"

	"otterspring/internal/lab/cost"
)

// fullIDSet is a set that has begun to drop the oldest IDs.
func fullIDSet() any {
	set := newIDSet()
	for i := range 2 * maxRecentIDs {
		set.add(fmt.Sprint("id ", i))
	}
	return &set
}

// BenchmarkRecentIDs measures what the set costs a request once it is full.
func BenchmarkRecentIDs(b *testing.B) {
	set := fullIDSet().(*idSet)
	cost.Loop(b, func(i int) {
		if !set.add(fmt.Sprint("next ", i)) {
			b.Fatal("a new ID was found in the set")
		}
	})
}

// BenchmarkRecentIDsMemory reports the heap that each ID in the set takes.
func BenchmarkRecentIDsMemory(b *testing.B) { cost.Held(b, maxRecentIDs, "B/id", fullIDSet) }
