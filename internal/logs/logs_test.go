package logs

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

func lines(b *bytes.Buffer) []string {
	return strings.Split(strings.TrimSpace(b.String()), "\n")
}

// A cause that is said without end is written so often and no more, and the
// next line that is written tells how many were left out. Another cause is not
// held back by it.
func TestOneCauseIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b bytes.Buffer
		log := New(&b, Options{Burst: 3, Every: 10 * time.Second}).With("instance", "n1")
		for i := range 1000 {
			log.Warn("discovery failed", "why", i)
			time.Sleep(time.Millisecond)
		}
		log.Info("another")
		if got := lines(&b); len(got) != 4 || !strings.Contains(got[3], "another") || !strings.Contains(got[0], "instance=n1") {
			t.Fatalf("%d lines: %s", len(got), &b)
		}
		time.Sleep(10 * time.Second)
		log.Warn("discovery failed", "why", "again")
		if got := lines(&b); len(got) != 5 || !strings.Contains(got[4], "left_out=997") {
			t.Fatalf("the next line: %s", got[len(got)-1])
		}
		log.Warn("discovery failed", "why", "again")
		if got := lines(&b); strings.Contains(got[len(got)-1], "left_out") {
			t.Fatalf("told twice: %s", got[len(got)-1])
		}
	})
}

// Messages that differ are one cause where it is named, and the name is not
// written.
func TestNamedCause(t *testing.T) {
	var b bytes.Buffer
	log := New(&b, Options{Burst: 2, Every: time.Hour})
	for i := range 10 {
		log.Info(fmt.Sprintf("line %d", i), Cause("lines"))
	}
	if got := lines(&b); len(got) != 2 || strings.Contains(b.String(), "cause") {
		t.Fatalf("%s", &b)
	}
}

// However many causes there are, the table stays within its bound, and what is
// beyond it is bounded, too.
func TestManyCauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b bytes.Buffer
		log := New(&b, Options{Burst: 1, Every: time.Minute})
		for i := range 10_000 {
			log.Info(fmt.Sprint("cause ", i))
		}
		tab := log.Handler().(*handler).table
		if n := len(tab.causes); n > mostCauses+1 {
			t.Errorf("%d causes are held", n)
		}
		if n := len(lines(&b)); n != mostCauses+1 {
			t.Errorf("%d lines, want %d", n, mostCauses+1)
		}
		// Those that are over make room.
		time.Sleep(time.Minute)
		log.Info("cause of tomorrow")
		if _, ok := tab.causes["cause of tomorrow"]; !ok {
			t.Error("old causes leave no room for a new one")
		}
	})
}

func TestJSONAndLevels(t *testing.T) {
	var b bytes.Buffer
	var o Options
	f := flag.NewFlagSet("x", flag.ContinueOnError)
	f.SetOutput(io.Discard)
	o.Flags(f)
	if err := f.Parse([]string{"-log-format", "json", "-log-level", "warn"}); err != nil {
		t.Fatal(err)
	}
	log := New(&b, o)
	log.Info("not written")
	log.Warn("written", "server", "s1")
	var got struct{ Level, Msg, Server string }
	if err := json.Unmarshal(b.Bytes(), &got); err != nil || got.Level != "WARN" || got.Server != "s1" {
		t.Errorf("%s: %v", &b, err)
	}
	for _, bad := range [][]string{{"-log-format", "xml"}, {"-log-level", "loud"}, {"-log-level", "INFO+3"}} {
		f := flag.NewFlagSet("x", flag.ContinueOnError)
		f.SetOutput(io.Discard)
		new(Options).Flags(f)
		if err := f.Parse(bad); err == nil || !strings.Contains(err.Error(), "wanted ") {
			t.Errorf("%v: %v", bad, err)
		}
	}
}

// Goroutines that log at once write whole lines, and as many as they may.
func TestAtOnce(t *testing.T) {
	var mu sync.Mutex
	var b bytes.Buffer
	log := New(writer(func(p []byte) (int, error) { mu.Lock(); defer mu.Unlock(); return b.Write(p) }), Options{Burst: 7, Every: time.Hour})
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 50 {
				log.Log(t.Context(), slog.LevelInfo, "at once")
			}
		})
	}
	wg.Wait()
	if n := len(lines(&b)); n != 7 {
		t.Errorf("%d lines, want 7", n)
	}
}

type writer func([]byte) (int, error)

func (w writer) Write(p []byte) (int, error) { return w(p) }
