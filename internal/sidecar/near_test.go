package sidecar

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"
)

// teller is a stand-in for a host's door or for discovery: a list that the test
// sets, whole or as changes, with a watch.
type teller struct {
	srv    *httptest.Server
	source string // of its answers; empty for none
	mu     sync.Mutex
	index  int
	up     string // the upstream that the list names
	status string // of it
	fails  bool
	back   bool // it tells whole lists, whatever was asked for and however old
	asked  int
	news   chan struct{}
}

func startTeller(t *testing.T, source string, index int, up string) *teller {
	d := &teller{source: source, index: index, up: up, status: "active", news: make(chan struct{})}
	d.srv = httptest.NewServer(d)
	t.Cleanup(d.srv.Close)
	t.Cleanup(d.srv.CloseClientConnections)
	return d
}

func (d *teller) addr() string { return d.srv.Listener.Addr().String() }

func (d *teller) set(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
	close(d.news)
	d.news = make(chan struct{})
}

func (d *teller) calls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.asked
}

func (d *teller) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.asked++
	for over := false; since > 0 && d.index <= since && !d.fails && !d.back && !over; {
		news := d.news
		d.mu.Unlock()
		select {
		case <-news:
		case <-end:
			over = true
		case <-r.Context().Done():
		}
		d.mu.Lock()
		if r.Context().Err() != nil {
			return
		}
	}
	if d.source != "" {
		w.Header().Set("X-List-Source", d.source)
	}
	switch {
	case d.fails:
		http.Error(w, "nothing of late", http.StatusServiceUnavailable)
	case since == 0 || d.back:
		fmt.Fprintf(w, `{"index":%d,"snapshot":true,"endpoints":[{"name":"s-%s","address":%q,"zone":"a","group":1,"status":%q,"since_ms":0}]}`, d.index, d.up, d.up, d.status)
	case d.index == since:
		fmt.Fprintf(w, `{"index":%d,"snapshot":false,"endpoints":[]}`, d.index)
	default:
		fmt.Fprintf(w, `{"index":%d,"snapshot":false,"endpoints":[{"name":"s-%s","address":%q,"zone":"a","group":1,"status":%q,"since_ms":0}]}`, d.index, d.up, d.up, d.status)
	}
}

// besideDoor starts a sidecar that has a door and a discovery of the test's.
func besideDoor(t *testing.T, source string) (s *Sidecar, door, far *teller) {
	up := startUpstream(t, good)
	door, far = startTeller(t, source, 9, up.addr()), startTeller(t, "", 9, up.addr())
	cfg, err := parseConfig([]byte(configText(far.addr(), up.addr())))
	if err != nil {
		t.Fatal(err)
	}
	if s, err = StartWith(cfg, Options{Near: door.addr(), Source: "delft"}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.front.Listener().Close(); s.stop() })
	return s, door, far
}

func (s *Sidecar) holds(index int64) func() bool {
	return func() bool { n, _ := s.eng.Version(); return n == index }
}

// A sidecar hears from its host's door; discovery is asked only while that is
// silent, and no longer than until it answers again with a list that is no older.
func TestListFromTheDoorOfTheHost(t *testing.T) {
	t.Parallel()
	s, door, far := besideDoor(t, "delft")
	eventually(t, "the door's list", s.holds(9))
	door.set(func() { door.index = 10 })
	eventually(t, "the door's change", s.holds(10))
	if n := far.calls(); n != 0 {
		t.Errorf("discovery was asked %d times beside a door that answers", n)
	}
	door.set(func() { door.fails = true })
	far.set(func() { far.index = 12 })
	eventually(t, "discovery's list", s.holds(12))
	// The door is back, and behind: a supervisor that has slept.
	door.set(func() { door.fails = false })
	asked := door.calls()
	eventually(t, "the door is looked at", func() bool { return door.calls() > asked+1 })
	far.set(func() { far.index = 13 })
	eventually(t, "discovery's change", s.holds(13))
	door.set(func() { door.index = 14 })
	eventually(t, "the door's list, which is newer", s.holds(14))
	wantServed(t, s)
}

// A door that tells an older list, whole as it may be, does not take a drain back.
func TestDoorThatGoesBackIsNotBelieved(t *testing.T) {
	t.Parallel()
	s, door, far := besideDoor(t, "delft")
	far.set(func() { far.index, far.status = 20, "leaving" })
	door.set(func() { door.index, door.status = 20, "leaving" })
	eventually(t, "the drain", s.holds(20))
	door.set(func() { door.index, door.status, door.back = 15, "active", true })
	eventually(t, "discovery is asked", func() bool { return far.calls() > 0 })
	if index, _ := s.eng.Version(); index != 20 {
		t.Errorf("version %d after 20", index)
	}
	id := newID()
	if r, _ := exchange(t, s, readRequest(id)); r.StatusCode == http.StatusOK {
		t.Error("served by a server that drains")
	}
}

// The list of another discovery is not taken, and once discovery has moved the door
// is left alone: what it hands on is of the one before.
func TestDoorOfAnotherDiscovery(t *testing.T) {
	t.Parallel()
	s, door, far := besideDoor(t, "elsewhere")
	door.set(func() { door.index = 50 })
	eventually(t, "discovery's list", s.holds(9))
	far.set(func() { far.index = 11 })
	eventually(t, "discovery's change", s.holds(11))

	s, door, far = besideDoor(t, "delft")
	eventually(t, "the door's list", s.holds(9))
	moved := startTeller(t, "", 4, far.up)
	cfg := s.cfg
	cfg.Discovery = moved.addr()
	s.Reload(cfg)
	eventually(t, "the new one's list", s.holds(4))
	asked := door.calls()
	door.set(func() { door.index = 60 })
	moved.set(func() { moved.index = 5 })
	eventually(t, "the new one's change", s.holds(5))
	if n := door.calls(); n != asked {
		t.Errorf("the door was asked %d times after the move", n-asked)
	}
}

// Sidecars turn to discovery at moments of their own.
func TestTurnsAreSpread(t *testing.T) {
	count := map[int]int{}
	for i := range 300 {
		d := TurnOf(fmt.Sprint("n", i), 3*time.Second)
		if d != TurnOf(fmt.Sprint("n", i), 3*time.Second) || d < 0 || d >= 3*time.Second {
			t.Fatalf("n%d: %v", i, d)
		}
		count[int(d/time.Second)]++
	}
	for at, n := range count {
		if n > 150 {
			t.Errorf("%d of 300 in the second from %d on", n, at)
		}
	}
	if TurnOf("n1", 0) != 0 {
		t.Error("a spread of nothing")
	}
}
