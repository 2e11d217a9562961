package balance

import (
	"fmt"
	"testing"
	"time"
)

// Where one attempt in ten is reset at all servers alike, hardly a healthy one
// is put out; one that dies in the middle of it soon is.
func TestBaselineFailuresDoNotEject(t *testing.T) {
	set := testSettings()
	set.CanHedge = false
	b, _ := New(set, 3)
	b.Endpoints(time.Second, ListFull, testServers(6), nil)
	now, dead, after, out := time.Minute, "", 0, 0
	for i := range 8000 {
		now += 3 * ms
		id := fmt.Sprint(i)
		to := sentTo(b.Request(now, Request{ID: id, Class: "record", Deadline: now + 900*ms}, nil))
		status := OK
		switch {
		case to != "" && to == dead:
			status = ConnectFailed
			after++
		case mixBits(uint64(i))%10 == 0:
			status = Reset
		}
		b.Outcome(now+ms, Outcome{Request: id, Status: status, Took: ms, Final: status == OK}, nil)
		b.Disconnected(now+ms, id, nil)
		for _, s := range b.servers {
			if i > 1000 && s.ejectedUntil > now && s.ID != dead {
				out++
			}
		}
		if i == 6000 {
			dead = "s0"
		}
	}
	if mean := float64(out) / 7000; mean > 0.3 {
		t.Errorf("%.2f of 6 servers out on average", mean)
	}
	if after == 0 || after > 12 {
		t.Errorf("%d requests went to the dead server in 6 s", after)
	}
}
