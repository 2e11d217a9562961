package sidecar

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"otterspring/internal/fleet/configuration"
	"otterspring/internal/sidecar/operatorconfig"
)

const relayRegion = "north"

// fakeRelay is a relay that holds what a test puts into it.
type fakeRelay struct {
	server *httptest.Server
	mu     sync.Mutex
	cache  configuration.Cache
	number uint32
	polls  []configuration.Poll
	news   chan struct{} // closed with each change
}

func startRelay(t *testing.T) *fakeRelay {
	t.Helper()
	r := &fakeRelay{news: make(chan struct{})}
	r.server = httptest.NewServer(r)
	t.Cleanup(r.end)
	r.put(t)
	return r
}

func (r *fakeRelay) end() {
	r.server.CloseClientConnections()
	r.server.Close()
}

func (r *fakeRelay) address() string { return r.server.Listener.Addr().String() }

// put makes one change of some services, pairs of a name and its settings, and
// returns its version.
func (r *fakeRelay) put(t *testing.T, services ...string) configuration.Version {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.number++
	version := configuration.NewVersion(1, r.number)
	update := configuration.Update{From: r.cache.Version(), Version: version}
	for i := 0; i < len(services); i += 2 {
		update.Resources = append(update.Resources, configuration.Resource{Service: services[i], Version: version, Settings: json.RawMessage(services[i+1])})
	}
	r.take(t, update)
	return version
}

// drop makes a change after which no service is there. The next answers are snapshots.
func (r *fakeRelay) drop(t *testing.T) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.take(t, configuration.Update{Version: configuration.NewVersion(2, 1)})
}

func (r *fakeRelay) take(t *testing.T, update configuration.Update) {
	t.Helper()
	if _, err := r.cache.Apply(update); err != nil {
		t.Fatal(err)
	}
	close(r.news)
	r.news = make(chan struct{})
}

func (r *fakeRelay) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	var poll configuration.Poll
	if err := json.NewDecoder(request.Body).Decode(&poll); err != nil || poll.Validate() != nil {
		http.Error(w, "bad poll", http.StatusBadRequest)
		return
	}
	end := time.After(time.Duration(poll.WaitMS) * time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.polls = append(r.polls, poll)
	for over := false; r.cache.Version() <= poll.Version && !over; {
		news := r.news
		r.mu.Unlock()
		select {
		case <-news:
		case <-end:
			over = true
		case <-request.Context().Done():
		}
		r.mu.Lock()
		if request.Context().Err() != nil {
			return
		}
	}
	update := r.cache.UpdateSince(poll.Version, poll.Services)
	_ = json.NewEncoder(w).Encode(configuration.PollResponse{Region: relayRegion, Update: &update}) // fails where the subscriber has disconnected
}

func (r *fakeRelay) last() configuration.Poll {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.polls) == 0 {
		return configuration.Poll{}
	}
	return r.polls[len(r.polls)-1]
}

// closedAddress is where nobody listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// startFollowing starts a sidecar that follows two services. changes are of the text
// of its configuration: pairs of what is replaced and by what.
func startFollowing(t *testing.T, relays []string, changes []string, upstreams ...string) *Sidecar {
	t.Helper()
	text := configText(startDiscovery(t, upstreams...), upstreams...)
	for i := 0; i < len(changes); i += 2 {
		if !strings.Contains(text, changes[i]) {
			t.Fatalf("the configuration has no %s", changes[i])
		}
		text = strings.ReplaceAll(text, changes[i], changes[i+1])
	}
	cfg, err := parseConfig([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	s, err := StartWith(cfg, Options{Configuration: &operatorconfig.Configuration{Region: relayRegion, Relays: relays, Services: []string{"orders", "stock"}}})
	if err != nil {
		t.Fatal(err)
	}
	stopAtEnd(t, s)
	return s
}

// wantObjective waits until a class has an aim.
func wantObjective(t *testing.T, s *Sidecar, class string, aim time.Duration) {
	t.Helper()
	eventually(t, fmt.Sprintf("a latency objective of %v for %s", aim, class), func() bool { return s.dispatcher.Class(class).LatencyObjective == aim })
}

func upHeader(t *testing.T, s *Sidecar) http.Header {
	t.Helper()
	r, _ := exchange(t, s, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
	if r == nil || r.StatusCode != http.StatusOK {
		t.Fatalf("/up: found %v, wanted 200", r)
	}
	return r.Header
}

// A change takes force for the requests that begin after it; one in flight goes on by
// the settings it began with. A service that is no longer there leaves the file's.
func TestLatencyObjectiveChangesInARunningSidecar(t *testing.T) {
	t.Parallel()
	const aim = 200 * time.Millisecond
	came, release := make(chan struct{}, 2), make(chan struct{})
	up := startUpstream(t, func(c net.Conn, r *http.Request, _ int64) bool {
		came <- struct{}{}
		<-release
		return good(c, r, 0)
	})
	relay := startRelay(t)
	s := startFollowing(t, []string{relay.address(), closedAddress(t)}, nil, up.addr())

	first, firstID := dialClient(t, s), newID()
	send(t, first, readRequest(firstID))
	<-came
	relay.put(t, "orders", `{"classes":[{"name":"read","aim-us":200000,"late-worth":0}]}`)
	wantObjective(t, s, "read", aim)
	if r, _ := exchange(t, s, readRequest(newID())); r == nil || r.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("a request after the change: found %v, wanted 503 after its latency objective", r)
	}
	time.Sleep(2 * aim) // far over the aim that it did not begin with
	close(release)
	if r, body := clientAnswer(t, first); r == nil || r.StatusCode != http.StatusOK || body != firstID {
		t.Errorf("the request in flight: found %v %q, wanted its answer", r, body)
	}
	relay.drop(t)
	wantObjective(t, s, "read", 8*time.Second)
}

// Changes in quick order lose no request and run none twice.
func TestChangesUnderLoad(t *testing.T) {
	t.Parallel()
	up, other := startUpstream(t, good), startUpstream(t, good)
	relay := startRelay(t)
	s := startFollowing(t, []string{relay.address(), closedAddress(t)}, []string{`"classes"`, `"over-share-worth":0.1,"classes"`}, up.addr(), other.addr())
	var stop atomic.Bool
	var asked atomic.Int64
	var load sync.WaitGroup
	for i := range 6 {
		load.Go(func() {
			for !stop.Load() {
				id := newID()
				text := strings.Replace(actRequest(id), "X-Deadline", fmt.Sprintf("X-Tenant: t%d\r\nX-Deadline", i%3), 1)
				asked.Add(1)
				if r, body := exchange(t, s, text); r == nil || r.StatusCode != http.StatusOK || body != id {
					t.Errorf("a request beside changes: found %v %q, wanted its answer", r, body)
					return
				}
			}
		})
	}
	var version configuration.Version
	for n := range 40 {
		aim := time.Duration(4000+n) * time.Millisecond
		relay.put(t, "orders", fmt.Sprintf(`{"classes":[{"name":"act","aim-us":%d,"worth":%d,"late-worth":0.%d}]}`, aim.Microseconds(), n, n%10))
		version = relay.put(t, "stock", fmt.Sprintf(`{"tenants":[{"name":"t0","quota-per-s":%d},{"name":"t%d","quota-per-s":50}]}`, n+1, 1+n%2))
		wantObjective(t, s, "act", aim)
	}
	eventually(t, "all is acknowledged", func() bool { return relay.last().Version == version })
	stop.Store(true)
	load.Wait()
	if served := up.seen.Load() + other.seen.Load(); served != asked.Load() {
		t.Errorf("requests: found %d at the upstreams, wanted the %d that were asked", served, asked.Load())
	}
	if rejected := relay.last().Rejected; rejected != nil {
		t.Errorf("rejected: found %v, wanted none", rejected)
	}
}

// Where servers are scarce the tenant over its share goes first, by the tenants as
// they were changed.
func TestTenantsChangeInARunningSidecar(t *testing.T) {
	t.Parallel()
	up := startUpstream(t, func(c net.Conn, _ *http.Request, _ int64) bool {
		_, err := io.WriteString(c, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	})
	relay := startRelay(t)
	s := startFollowing(t, []string{relay.address(), closedAddress(t)}, []string{`"classes"`, `"over-share-worth":0.05,"classes"`}, up.addr())
	// share is how many of small's requests reach the upstream, of those asked while
	// nine in ten are its.
	share := func() float64 {
		const asked = 200
		before := up.seen.Load()
		for n := range asked {
			tenant := "small"
			if n%10 == 0 {
				tenant = "big"
			}
			text := strings.Replace(actRequest(newID()), "X-Deadline", "X-Tenant: "+tenant+"\r\nX-Deadline", 1)
			if r, _ := exchange(t, s, text); r == nil {
				t.Fatal("a request: found no answer, wanted one")
			}
		}
		return float64(up.seen.Load()-before) / asked
	}
	if reached := share(); reached != 1 {
		t.Errorf("without tenants: found %v of the requests at the upstream, wanted all", reached)
	}
	version := relay.put(t, "orders", `{"tenants":[{"name":"big","quota-per-s":600},{"name":"small","quota-per-s":400}]}`)
	eventually(t, "the tenants are acknowledged", func() bool { return relay.last().Version == version })
	share() // the observed shares settle
	if reached := share(); reached > 0.8 {
		t.Errorf("with tenants: found %v of the requests at the upstream, wanted 0.8 at most", reached)
	}
}

// What can't be used leaves the last good, and the next poll says why.
func TestRejectedSettingsLeaveTheLastGood(t *testing.T) {
	t.Parallel()
	up := startUpstream(t, good)
	relay := startRelay(t)
	s := startFollowing(t, []string{relay.address(), closedAddress(t)}, nil, up.addr())
	relay.put(t, "orders", `{"classes":[{"name":"read","aim-us":5000000}]}`)
	wantObjective(t, s, "read", 5*time.Second)
	bad := relay.put(t, "orders", `{"classes":[{"name":"read","aim-us":1000000},{"name":"write"}]}`, "stock", `{"classes":[{"name":"act","aim-us":6000000}]}`)
	eventually(t, "the rejection is reported", func() bool { return len(relay.last().Rejected) == 1 })
	wanted := configuration.Rejection{Service: "orders", Version: bad, Reason: `classes[1].name: found "write", wanted a class that this sidecar has`}
	if poll := relay.last(); poll.Rejected[0] != wanted || poll.Version != bad {
		t.Errorf("poll: found version %v and %+v, wanted %v and %+v", poll.Version, poll.Rejected[0], bad, wanted)
	}
	if read, act := s.dispatcher.Class("read").LatencyObjective, s.dispatcher.Class("act").LatencyObjective; read != 5*time.Second || act != 6*time.Second {
		t.Errorf("in force: found aims of %v and %v, wanted the last good 5s, and 6s of the other service", read, act)
	}
	wantServed(t, s)
	relay.put(t, "orders", `{"classes":[{"name":"read","aim-us":3000000}]}`)
	wantObjective(t, s, "read", 3*time.Second)
	eventually(t, "the rejection has ended", func() bool { return relay.last().Rejected == nil })
}

// Without a relay the sidecar serves by its file, and after the last relay's end by
// what it had.
func TestSidecarServesWithoutRelays(t *testing.T) {
	t.Parallel()
	up := startUpstream(t, good)
	alone := startFollowing(t, []string{closedAddress(t), closedAddress(t)}, nil, up.addr())
	wantServed(t, alone)
	if h := upHeader(t, alone); h.Get("X-Configuration") != "0.0" || h.Get("X-Configuration-Age") != "" {
		t.Errorf("/up without a relay: found version %q and age %q, wanted 0.0 and none", h.Get("X-Configuration"), h.Get("X-Configuration-Age"))
	}

	relay := startRelay(t)
	s := startFollowing(t, []string{closedAddress(t), relay.address()}, nil, up.addr())
	version := relay.put(t, "orders", `{"classes":[{"name":"read","aim-us":5000000}]}`)
	wantObjective(t, s, "read", 5*time.Second)
	relay.end()
	wantServed(t, s)
	eventually(t, "the age grows", func() bool {
		h := upHeader(t, s)
		age, err := time.ParseDuration(h.Get("X-Configuration-Age") + "s")
		return err == nil && age > 300*time.Millisecond && h.Get("X-Configuration") == version.String()
	})
	if aim := s.dispatcher.Class("read").LatencyObjective; aim != 5*time.Second {
		t.Errorf("after the relay's end: found a latency objective of %v, wanted the last one received, 5s", aim)
	}
	wantServed(t, s)
}

// runsClient tells whether a goroutine of a control client is there.
func runsClient() bool {
	stacks := make([]byte, 1<<20)
	return strings.Contains(string(stacks[:runtime.Stack(stacks, true)]), "configclient.(*Client).Run")
}

// Off, nothing of it runs and /up is as it was; an end of the sidecar ends it. Not
// parallel: clients of other tests would be seen.
func TestConfigurationOffCostsNothing(t *testing.T) {
	up := startUpstream(t, good)
	off := startSidecar(t, up.addr())
	wantServed(t, off)
	if runsClient() || off.configClient != nil {
		t.Error("off: found a control client, wanted none")
	}
	var names []string
	for name := range upHeader(t, off) {
		if strings.Contains(strings.ToLower(name), "configuration") {
			names = append(names, name)
		}
	}
	if len(names) > 0 {
		t.Errorf("off: found %q at /up, wanted nothing of the configuration", slices.Sorted(slices.Values(names)))
	}
	on := startFollowing(t, []string{closedAddress(t), closedAddress(t)}, nil, up.addr())
	eventually(t, "on, a client runs", runsClient)
	on.cancel()
	eventually(t, "it ends with the sidecar", func() bool { return !runsClient() })
}
