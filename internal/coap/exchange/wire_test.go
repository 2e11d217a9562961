package exchange

import (
	"encoding/hex"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"otterspring/internal/coap/message"
)

// TestDatagramsOfASeed plays one seed over a lossy link, with acknowledgements that
// carry the response and separate responses, and compares each datagram and its time
// with testdata/datagrams.txt.
func TestDatagramsOfASeed(t *testing.T) {
	var list strings.Builder
	for _, work := range []time.Duration{50 * time.Millisecond, 3 * time.Second} {
		w := newWorld(t, 42)
		w.work = work
		w.drop = func(nth int) bool {
			fmt.Fprintf(&list, "%v datagram %d", w.now, nth)
			return nth%3 == 0
		}
		w.datagram = func(text []byte) { fmt.Fprintf(&list, " %x\n", text) }
		for h := uint64(1); h <= 12; h++ {
			w.ask(h, message.Type(h%2))
			w.run(100 * time.Millisecond)
		}
		w.run(10 * time.Minute)
		for h := uint64(1); h <= 12; h++ {
			for _, end := range w.ends[h] {
				fmt.Fprintf(&list, "request %d kind=%d why=%d sent=%d acked=%v\n", h, end.Kind, end.Reason, end.Transmissions, end.Acknowledged)
			}
		}
	}
	compareWithFile(t, "testdata/datagrams.txt", list.String())
}

// TestTableOfAnEarlierVersion reads the table of exchanges in testdata/table.hex, as a
// process of an earlier version left it, and writes it: both have the same bytes but
// for the order of the entries.
func TestTableOfAnEarlierVersion(t *testing.T) {
	first, err := NewServer(DefaultParams(), ServerLimits{MaxPendingRequests: 4, MaxDedupEntries: 4, MaxCompletedUnsafe: 100}, 1)
	if err != nil {
		t.Fatal(err)
	}
	fill := func(s *Server, now time.Duration, id uint16, answered bool) {
		for _, a := range s.Receive(now, clientAddr, &message.Message{Type: message.Confirmable, Code: message.POST, ID: id}, nil) {
			if a.Kind != Deliver || !answered {
				continue
			}
			if _, err := s.Respond(now, a.Handle, message.Message{Code: message.Changed}, nil); err != nil {
				t.Fatal(err)
			}
		}
	}
	fill(first, 0, 99, false)
	for id := range uint16(6) {
		fill(first, time.Duration(id)*time.Second, id, true)
	}
	written := first.ExportTable(10 * time.Second)
	compareWithFile(t, "testdata/table.txt", tableLines(t, written))

	text, err := os.ReadFile("testdata/table.hex")
	if err != nil {
		t.Fatal(err)
	}
	stored, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := tableLines(t, written), tableLines(t, stored); got != want {
		t.Errorf("written\n%sstored\n%s", got, want)
	}
	next, err := NewServer(DefaultParams(), ServerLimits{MaxPendingRequests: 4, MaxDedupEntries: 4, MaxCompletedUnsafe: 100}, 2)
	if err != nil {
		t.Fatal(err)
	}
	if err := next.ImportTable(0, time.Second, stored, false); err != nil {
		t.Fatal(err)
	}
	compareWithFile(t, "testdata/table-next.txt", tableLines(t, next.ExportTable(0)))
}

// tableLines formats a table with its entries sorted.
func tableLines(t *testing.T, table []byte) string {
	t.Helper()
	const magic, head, checksum, entry = 29, 29 + 16, 32, 13
	if len(table) < head+checksum || (len(table)-head-checksum)%entry != 0 {
		t.Fatalf("a table of %d bytes", len(table))
	}
	var lines []string
	for rest := table[head : len(table)-checksum]; len(rest) > 0; rest = rest[entry:] {
		lines = append(lines, fmt.Sprintf("%x %x %x\n", rest[:8], rest[8:12], rest[12]))
	}
	slices.Sort(lines)
	return fmt.Sprintf("%q key %x\n", table[:magic], table[magic:head]) + strings.Join(lines, "")
}

func compareWithFile(t *testing.T, path, got string) {
	t.Helper()
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s: found\n%swant\n%s", path, got, want)
	}
}
