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

// listServer stands in for a local proxy or for discovery: a list that the test sets,
// as a snapshot or as changes, with a watch.
type listServer struct {
	srv            *httptest.Server
	source         string // of its answers; empty for none
	mu             sync.Mutex
	index          int
	up             string // the upstream that the list names
	status         string // of it
	fails          bool
	snapshotAlways bool // it answers with snapshots, whatever was asked for and however old
	requests       int
	changed        chan struct{}
}

func startListServer(t *testing.T, source string, index int, up string) *listServer {
	t.Helper()
	d := &listServer{source: source, index: index, up: up, status: "active", changed: make(chan struct{})}
	d.srv = httptest.NewServer(d)
	t.Cleanup(d.srv.Close)
	t.Cleanup(d.srv.CloseClientConnections)
	return d
}

func (d *listServer) addr() string { return d.srv.Listener.Addr().String() }

func (d *listServer) set(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *listServer) calls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.requests
}

func (d *listServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requests++
	for ended := false; since > 0 && d.index <= since && !d.fails && !d.snapshotAlways && !ended; {
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			ended = true
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
		http.Error(w, "nothing recent", http.StatusServiceUnavailable)
	case since == 0 || d.snapshotAlways:
		trySend(w, fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[{"name":"s-%s","address":%q,"zone":"a","group":1,"status":%q,"since_ms":0}]}`, d.index, d.up, d.up, d.status))
	case d.index == since:
		trySend(w, fmt.Sprintf(`{"index":%d,"snapshot":false,"endpoints":[]}`, d.index))
	default:
		trySend(w, fmt.Sprintf(`{"index":%d,"snapshot":false,"endpoints":[{"name":"s-%s","address":%q,"zone":"a","group":1,"status":%q,"since_ms":0}]}`, d.index, d.up, d.up, d.status))
	}
}

// startWithProxy starts a sidecar with a local proxy and a discovery of the test's.
func startWithProxy(t *testing.T, source string) (s *Sidecar, proxy, discovery *listServer) {
	t.Helper()
	up := startUpstream(t, good)
	proxy, discovery = startListServer(t, source, 9, up.addr()), startListServer(t, "", 9, up.addr())
	cfg, err := parseConfig([]byte(configText(discovery.addr(), up.addr())))
	if err != nil {
		t.Fatal(err)
	}
	if s, err = StartWith(cfg, Options{ListProxy: proxy.addr(), ListSource: "delft"}); err != nil {
		t.Fatal(err)
	}
	stopAtEnd(t, s)
	return s, proxy, discovery
}

func (s *Sidecar) hasVersion(index int64) func() bool {
	return func() bool { n, _ := s.dispatcher.EndpointVersion(); return n == index }
}

// A sidecar watches its host's proxy; discovery is watched only while that fails, and
// no longer than until it answers again with a list that is no older.
func TestListFromTheLocalProxy(t *testing.T) {
	t.Parallel()
	s, proxy, discovery := startWithProxy(t, "delft")
	eventually(t, "the proxy's list", s.hasVersion(9))
	proxy.set(func() { proxy.index = 10 })
	eventually(t, "the proxy's change", s.hasVersion(10))
	if n := discovery.calls(); n != 0 {
		t.Errorf("discovery was asked %d times beside a proxy that answers", n)
	}
	proxy.set(func() { proxy.fails = true })
	discovery.set(func() { discovery.index = 12 })
	eventually(t, "discovery's list", s.hasVersion(12))
	// The proxy is back, and behind: a supervisor that was suspended.
	proxy.set(func() { proxy.fails = false })
	before := proxy.calls()
	eventually(t, "the proxy is probed", func() bool { return proxy.calls() > before+1 })
	discovery.set(func() { discovery.index = 13 })
	eventually(t, "discovery's change", s.hasVersion(13))
	proxy.set(func() { proxy.index = 14 })
	eventually(t, "the proxy's list, which is newer", s.hasVersion(14))
	wantServed(t, s)
}

// A proxy that answers with an older list, snapshot or not, does not undo a drain.
func TestProxyWithAnOlderListIsIgnored(t *testing.T) {
	t.Parallel()
	s, proxy, discovery := startWithProxy(t, "delft")
	discovery.set(func() { discovery.index, discovery.status = 20, "leaving" })
	proxy.set(func() { proxy.index, proxy.status = 20, "leaving" })
	eventually(t, "the drain", s.hasVersion(20))
	proxy.set(func() { proxy.index, proxy.status, proxy.snapshotAlways = 15, "active", true })
	eventually(t, "discovery is asked", func() bool { return discovery.calls() > 0 })
	if index, _ := s.dispatcher.EndpointVersion(); index != 20 {
		t.Errorf("version %d after 20", index)
	}
	id := newID()
	if r, _ := exchange(t, s, readRequest(id)); r.StatusCode == http.StatusOK {
		t.Error("served by a server that drains")
	}
}

// The list of another discovery is not applied, and once discovery has moved the proxy
// is not used any more: what it relays is of the one before.
func TestProxyOfAnotherDiscovery(t *testing.T) {
	t.Parallel()
	s, proxy, discovery := startWithProxy(t, "elsewhere")
	proxy.set(func() { proxy.index = 50 })
	eventually(t, "discovery's list", s.hasVersion(9))
	discovery.set(func() { discovery.index = 11 })
	eventually(t, "discovery's change", s.hasVersion(11))

	s, proxy, discovery = startWithProxy(t, "delft")
	eventually(t, "the proxy's list", s.hasVersion(9))
	moved := startListServer(t, "", 4, discovery.up)
	cfg := s.config
	cfg.Discovery = moved.addr()
	s.Reload(cfg)
	eventually(t, "the new one's list", s.hasVersion(4))
	before := proxy.calls()
	proxy.set(func() { proxy.index = 60 })
	moved.set(func() { moved.index = 5 })
	eventually(t, "the new one's change", s.hasVersion(5))
	if n := proxy.calls(); n != before {
		t.Errorf("the proxy was asked %d times after the move", n-before)
	}
}

// Sidecars fail over to discovery after delays of their own.
func TestFailoverDelaysDiffer(t *testing.T) {
	count := map[int]int{}
	for i := range 300 {
		d := FailoverDelay(fmt.Sprint("n", i), 3*time.Second)
		if d != FailoverDelay(fmt.Sprint("n", i), 3*time.Second) || d < 0 || d >= 3*time.Second {
			t.Fatalf("n%d: %v", i, d)
		}
		count[int(d/time.Second)]++
	}
	for at, n := range count {
		if n > 150 {
			t.Errorf("%d of 300 in the second from %d on", n, at)
		}
	}
	if FailoverDelay("n1", 0) != 0 {
		t.Error("a delay without jitter")
	}
}
