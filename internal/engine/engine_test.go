package engine

import (
	"fmt"
	"testing"
	"time"

	"otterspring/balance"
)

// How an attempt ends whose time is up: what was written may run, and its
// upstream is slow or hangs; what had no time to connect says nothing.
func TestLateStatus(t *testing.T) {
	eng := &Engine{set: Settings{Dial: 100 * time.Millisecond}}
	for _, c := range []struct {
		written bool
		after   time.Duration
		want    balance.Status
	}{{true, time.Millisecond, balance.Timeout}, {true, time.Second, balance.Timeout}, {false, 200 * time.Millisecond, balance.ConnectFailed}, {false, 50 * time.Millisecond, balance.NeverSent}} {
		a := &Attempt{eng: eng, written: c.written, sent: time.Minute}
		if got := a.lateStatus(time.Minute + c.after); got != c.want {
			t.Errorf("written %v, after %v: %v, want %v", c.written, c.after, got, c.want)
		}
	}
}

// The memory of ids is bounded, and the latest are in it.
func TestUsedIDsAreBounded(t *testing.T) {
	u := newUsedIDs()
	for i := range 3 * mostUsed {
		if !u.add(fmt.Sprint("id ", i)) {
			t.Fatal("a new id was taken for a used one")
		}
	}
	last := "the last"
	u.add(last)
	if u.add(last) {
		t.Error("the latest id is not known")
	}
	if len(u.has) > mostUsed || len(u.ring) > mostUsed {
		t.Errorf("%d and %d ids are kept", len(u.has), len(u.ring))
	}
}
