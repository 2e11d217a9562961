package balance

import (
	"fmt"
	"testing"
	"time"
)

// A server that turns all away answers fast and never has anything in flight:
// it must not draw the traffic from one that is at work.
func TestServerThatRejectsEverythingIsEjected(t *testing.T) {
	set := testSettings()
	set.CanHedge = false
	b, _ := New(set, 5)
	list := testServers(2)
	b.Endpoints(time.Second, ListFull, list, nil)
	now := time.Minute
	busy, bad := list[0].ID, 0
	for i := range 80 {
		now += ms
		id := fmt.Sprint(i)
		to := sentTo(b.Request(now, Request{ID: id, Class: "read", Deadline: now + 500*ms}, nil))
		if to == "" || to == busy {
			continue // it takes its time
		}
		bad++
		b.Outcome(now, Outcome{Request: id, Status: AtCapacity, Took: ms}, nil)
		b.Disconnected(now, id, nil)
	}
	if bad == 0 || bad > 6 {
		t.Errorf("%d of 80 requests went to the server that turns all away", bad)
	}
}
