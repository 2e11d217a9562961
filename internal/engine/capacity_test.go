package engine

import (
	"fmt"
	"testing"

	"otterspring/internal/lab/cost"
)

// fullUsedIDs is a memory of ids that has begun to forget.
func fullUsedIDs() any {
	used := newUsedIDs()
	for i := range 2 * mostUsed {
		used.add(fmt.Sprint("id ", i))
	}
	return &used
}

// BenchmarkUsedIDs is what the memory of ids costs a request once it is full.
func BenchmarkUsedIDs(b *testing.B) {
	used := fullUsedIDs().(*usedIDs)
	cost.Loop(b, func(i int) {
		if !used.add(fmt.Sprint("next ", i)) {
			b.Fatal("a new id was taken for a used one")
		}
	})
}

// BenchmarkUsedIDsMemory reports the heap that each remembered id holds.
func BenchmarkUsedIDsMemory(b *testing.B) { cost.Held(b, mostUsed, "B/id", fullUsedIDs) }
