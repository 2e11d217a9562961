package intrusive

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

type entry struct {
	number int
	links  Links[entry]
}

// Checks a list against a slice: drawn entries are pushed, removed and pushed again.
func TestListIsInTheOrderOfPushes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := New(func(e *entry) *Links[entry] { return &e.links })
		entries := make([]entry, 6)
		for i := range entries {
			entries[i].number = i
		}
		var want []int
		for _, i := range rapid.SliceOf(rapid.IntRange(0, len(entries)-1)).Draw(t, "entries") {
			if position := slices.Index(want, i); position >= 0 {
				list.Remove(&entries[i])
				want = slices.Delete(want, position, position+1)
			} else {
				list.Push(&entries[i])
				want = append(want, i)
			}
			var got []int
			for e := list.Oldest(); e != nil; e = list.Newer(e) {
				got = append(got, e.number)
			}
			if !slices.Equal(got, want) {
				t.Fatalf("the list is %v, want %v", got, want)
			}
		}
		for i := range entries {
			if !slices.Contains(want, i) && entries[i].links != (Links[entry]{}) {
				t.Fatalf("entry %d was removed and still has links", i)
			}
		}
	})
}
