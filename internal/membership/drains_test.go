package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func one(name string, since int64, s State) []Entry { return []Entry{{name, since, s}} }

// step is a list, or a move, and the state that is to come of it.
type step struct {
	at    time.Duration
	move  bool
	index int64
	full  bool
	entry []Entry
	want  State
}

func TestDrains(t *testing.T) {
	list := func(index int64, since int64, s, want State) step {
		return step{index: index, full: true, entry: one("a", since, s), want: want}
	}
	change := func(index int64, since int64, s, want State) step {
		return step{index: index, entry: one("a", since, s), want: want}
	}
	for name, steps := range map[string][]step{
		"a move to an address that lags behind":    {list(40, 5, Active, Active), change(41, 5, Leaving, Leaving), {move: true}, list(3, 5, Active, Leaving), list(4, 5, Active, Leaving)},
		"even with a higher index":                 {change(41, 5, Leaving, Leaving), {move: true}, list(90, 5, Active, Leaving)},
		"until that one tells a change":            {change(41, 5, Leaving, Leaving), {move: true}, list(3, 5, Active, Leaving), change(4, 5, Active, Active)},
		"until it has told the drain, and its end": {change(41, 5, Leaving, Leaving), {move: true}, list(3, 5, Leaving, Leaving), list(4, 5, Active, Active)},
		"two moves":                            {change(41, 5, Leaving, Leaving), {move: true}, list(3, 5, Active, Leaving), {move: true}, list(50, 5, Active, Leaving)},
		"an older list of the same address":    {change(41, 5, Leaving, Leaving), list(40, 5, Active, Leaving)},
		"a drain called off":                   {change(41, 5, Leaving, Leaving), change(42, 5, Active, Active)},
		"a new process":                        {change(41, 5, Leaving, Leaving), {move: true}, list(1, 6, Active, Active)},
		"an earlier life":                      {change(41, 5, Leaving, Leaving), {move: true}, list(1, 4, Active, Leaving)},
		"a server that is gone":                {change(41, 5, Left, Left), {move: true}, list(1, 5, Active, Left)},
		"and is not leaving again":             {change(41, 5, Left, Left), list(41, 5, Leaving, Left)},
		"for a minute":                         {change(41, 5, Leaving, Leaving), {move: true}, {at: Keep + 1, index: 3, full: true, entry: one("a", 5, Active), want: Active}},
		"left out, and named by one that lags": {change(41, 5, Leaving, Leaving), {index: 42, full: true}, {move: true}, list(7, 5, Active, Leaving)},
	} {
		var d Drains
		for i, s := range steps {
			if s.move {
				d.Moved(s.at)
				continue
			}
			d.Take(s.at, s.index, s.full, s.entry)
			if len(s.entry) > 0 && s.entry[0].State != s.want {
				t.Errorf("%s: step %d: state %v, want %v", name, i+1, s.entry[0].State, s.want)
			}
		}
	}
}

// Whatever lists and moves come: right after a move, within Keep, no server
// that was told to drain is active again in the same life, unless the new
// address tells a change; and what is remembered stays bounded.
func TestDrainsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d Drains
		now := time.Duration(0)
		index := int64(10)
		told := map[string]int64{} // drains told, by the life
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			name := fmt.Sprintf("s%d", rapid.IntRange(1, 5).Draw(t, "server"))
			since := int64(rapid.IntRange(0, 2).Draw(t, "life"))
			state := State(rapid.IntRange(0, 2).Draw(t, "state"))
			index++
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				d.Moved(now)
				lag := []Entry{{name, since, Active}}
				d.Take(now, int64(rapid.IntRange(1, 100).Draw(t, "lag")), true, lag)
				if life, ok := told[name]; ok && life >= since && lag[0].State == Active {
					t.Fatalf("%s was told to drain (life %d) and is active (life %d) after a move", name, life, since)
				}
				index = max(index, 100)
				if lag[0].State == Active {
					delete(told, name)
				}
			default:
				e := []Entry{{name, since, state}}
				d.Take(now, index, false, e)
				if e[0].State == Active {
					delete(told, name)
				} else if state != Active && since >= told[name] {
					told[name] = since
				}
			}
		}
		if d.Held() > 5 {
			t.Fatalf("%d drains held of 5 servers", d.Held())
		}
	})
}
