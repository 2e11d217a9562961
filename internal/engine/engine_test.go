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

type idleUpstream struct{}

func (idleUpstream) Run(*Attempt) {}
func (idleUpstream) CloseIdle()   {}
func (idleUpstream) Retire()      {}

// A machine whose wall clock is behind is told of starts that lie ahead of it:
// they were just now, once, and do not stay ahead of every list.
func TestStartsThatLieAhead(t *testing.T) {
	e, err := New(Settings{
		Balance: balance.Settings{MaxAttempts: 1, ColdShare: 0.1, ColdTime: 20 * time.Second, TipMultiple: 3, Classes: []balance.Class{{Name: "read", Deadline: time.Second}}},
		Open:    func(string, int64) Upstream { return idleUpstream{} },
	}, func() {})
	if err != nil {
		t.Fatal(err)
	}
	e.wall = e.wall.Add(-24 * time.Hour)
	tell := func(since int64) time.Duration {
		l := List{Index: 1, Full: true, Entries: []Entry{{Server: balance.Server{ID: "s1"}, Addr: "127.0.0.1:1", Since: since}}}
		e.Members(balance.ListFull, l, 0)
		return e.startOf(&l.Entries[0])
	}
	now := time.Now().UnixMilli()
	first := tell(now)
	if first <= 0 || first > e.now() {
		t.Errorf("a start that lies a day ahead is at %v, and it is %v", first, e.now())
	}
	time.Sleep(5 * time.Millisecond)
	if again := tell(now); again != first {
		t.Errorf("told again it is at %v, was at %v", again, first)
	}
	if anew := tell(now + 1); anew <= first {
		t.Errorf("a later start is at %v, the one before at %v", anew, first)
	}
	if old := tell(0); old != 0 {
		t.Errorf("long ago is at %v", old)
	}
}
