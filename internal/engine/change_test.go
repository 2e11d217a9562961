package engine

import (
	"testing"
	"time"

	"otterspring/balance"
)

// A change is seen by who asks for a class, is taken whole or not at all, and is
// safe beside those who ask.
func TestChangeIsSeenByTheFronts(t *testing.T) {
	classes := []balance.Class{{Name: "read", Aim: time.Second, Deadline: time.Second}, {Name: "act", Aim: time.Second, Deadline: time.Second}}
	e, err := New(Settings{Balance: balance.Settings{MaxAttempts: 1, ColdShare: 1, Classes: classes}}, func() {})
	if err != nil {
		t.Fatal(err)
	}
	old := e.Class("read")
	asked := make(chan struct{})
	go func() {
		defer close(asked)
		for e.Class("read").Aim != 2*time.Second {
			time.Sleep(time.Microsecond)
		}
	}()
	changed := []balance.Class{classes[0], classes[1]}
	changed[0].Aim = 2 * time.Second
	if err := e.Change(changed, nil); err != nil {
		t.Fatal(err)
	}
	select {
	case <-asked:
	case <-time.After(30 * time.Second):
		t.Fatal("class read: found no change, wanted an aim of 2s")
	}
	if old.Aim != time.Second {
		t.Errorf("class read as it was handed out before: found an aim of %v, wanted 1s", old.Aim)
	}
	changed[0].Aim, changed[1].Deadline = 3*time.Second, time.Hour
	if err := e.Change(changed, nil); err == nil {
		t.Error("a change of a deadline: taken, wanted an error")
	}
	if read, act := e.Class("read"), e.Class("act"); read.Aim != 2*time.Second || act.Deadline != time.Second {
		t.Errorf("after an error: found aim %v and deadline %v, wanted 2s and 1s", read.Aim, act.Deadline)
	}
}
