package list

import (
	"fmt"
	"testing"
	"time"

	"otterspring/internal/lab/cost"
)

// capacitySizes are sizes of lists up to the most that a host holds.
var capacitySizes = []int{200, 500, 1000, 2000, MostEntries}

// capacityEntry is a server's entry as discovery writes it, of the length of the
// protocol's own example.
func capacityEntry(i int, status string, since int64) Entry {
	name := fmt.Sprintf("s-%08x", i)
	text := fmt.Sprintf(`{"name":%q,"address":"10.1.%d.%d:8443","zone":"a","type":"m2","group":%d,"status":%q,"weight":1.0,"since_ms":%d}`,
		name, i>>8, i&0xff, i/3, status, since)
	return Entry{Name: name, Status: status, Text: []byte(text)}
}

func capacityUpdate(servers int) Update {
	update := Update{Source: "d", Index: 1}
	for i := range servers {
		update.Entries = append(update.Entries, capacityEntry(i, "active", 1764633600000))
	}
	return update
}

func capacityHeld(b *testing.B, servers int) *Held {
	b.Helper()
	held := NewHeld("d")
	if _, err := held.Take(capacityUpdate(servers)); err != nil {
		b.Fatal(err)
	}
	return held
}

// BenchmarkOneChange is what a host pays for one server's change: it is read, taken,
// and written for one that is to hear of it.
func BenchmarkOneChange(b *testing.B) {
	for _, servers := range capacitySizes {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			held := capacityHeld(b, servers)
			status := []string{"leaving", "active"}
			cost.Loop(b, func(i int) {
				index := held.Index
				change := Update{Source: "d", From: index, Index: index + 1, Entries: []Entry{capacityEntry(0, status[i%2], 1764633600000)}}
				read, err := Decode(change.Text(), "d", index)
				if err != nil {
					b.Fatal(err)
				}
				if newer, err := held.Take(read); err != nil || !newer {
					b.Fatal(newer, err)
				}
				if told := held.Since(index); len(told.Entries) != 1 {
					b.Fatalf("%d entries are told, wanted 1", len(told.Entries))
				}
			})
		})
	}
}

// BenchmarkWholeList is what a whole list costs: it is written by one host, read and
// taken by another.
func BenchmarkWholeList(b *testing.B) {
	for _, servers := range capacitySizes {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			held := capacityHeld(b, servers)
			bytes := 0
			cost.Loop(b, func(int) {
				whole := held.Since(0)
				text := whole.Text()
				bytes = len(text)
				read, err := Decode(text, "d", 0)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := NewHeld("d").Take(read); err != nil {
					b.Fatal(err)
				}
			})
			b.ReportMetric(float64(bytes), "wire-B")
		})
	}
}

// BenchmarkHeldMemory reports the heap that each server of a list holds at a host.
func BenchmarkHeldMemory(b *testing.B) {
	for _, servers := range capacitySizes {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			cost.Held(b, servers, "B/server", func() any { return capacityHeld(b, servers) })
		})
	}
}

// BenchmarkTell is what an owner decides with for each host that has answered: it
// does so once for each answer, and 50 times a second besides.
func BenchmarkTell(b *testing.B) {
	for _, hosts := range []int{12, 50, 100, 200, 512, 684, 1625} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			telling := NewTelling(500*time.Millisecond, 32)
			names := make([]string, hosts)
			for i := range names {
				names[i] = fmt.Sprintf("h%d", i)
			}
			telling.Hosts(names)
			now := time.Duration(0)
			var out []string
			told := 0
			cost.Loop(b, func(int) {
				now += 500 * time.Millisecond / time.Duration(hosts)
				for host := range telling.Next(now, 1) {
					out = append(out, host)
				}
				if len(out) > 0 {
					telling.Done(out[0], 1, now)
					out = out[1:]
					told++
				}
			})
			if told == 0 {
				b.Fatal("nobody was told")
			}
		})
	}
}
