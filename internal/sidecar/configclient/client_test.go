package configclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"otterspring/internal/fleet/configuration"
	"otterspring/internal/testkit"
)

// hangTimeout is how long a test waits for a condition before it fails.
const hangTimeout = 30 * time.Second

const region = "north"

// fakeRelay responds to polls over loopback connections.
type fakeRelay struct {
	*httptest.Server
	mu          sync.Mutex
	polls       []configuration.Poll
	connections int
	ended       chan struct{}
	// respond is called for each poll with its number, from 0 on.
	respond func(w http.ResponseWriter, poll configuration.Poll, number int)
}

func newFakeRelay(t *testing.T, respond func(w http.ResponseWriter, poll configuration.Poll, number int)) *fakeRelay {
	t.Helper()
	r := &fakeRelay{respond: respond, ended: make(chan struct{})}
	r.Server = httptest.NewUnstartedServer(http.HandlerFunc(r.serve))
	r.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			r.mu.Lock()
			r.connections++
			r.mu.Unlock()
		}
	}
	r.Start()
	t.Cleanup(func() {
		close(r.ended)
		r.CloseClientConnections()
		r.Close()
	})
	return r
}

func (r *fakeRelay) serve(w http.ResponseWriter, request *http.Request) {
	var poll configuration.Poll
	decoder := json.NewDecoder(request.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&poll); err != nil || request.URL.Path != configuration.PollPath || request.Method != http.MethodPost {
		http.Error(w, fmt.Sprint("bad request: ", err), http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	number := len(r.polls)
	r.polls = append(r.polls, poll)
	r.mu.Unlock()
	r.respond(w, poll, number)
}

func (r *fakeRelay) address() string { return r.Listener.Addr().String() }

func (r *fakeRelay) received() []configuration.Poll {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.polls)
}

func (r *fakeRelay) count() int { return len(r.received()) }

// update responds with a resource of a version if the poll has an older one, and else with
// an empty update after the poll's wait.
func update(w http.ResponseWriter, poll configuration.Poll, version configuration.Version) {
	response := configuration.PollResponse{Region: region, Update: &configuration.Update{From: poll.Version, Version: version}}
	if poll.Version < version {
		response.Update.Resources = []configuration.Resource{{Service: "orders", Version: version, Settings: json.RawMessage(`{}`)}}
	} else {
		time.Sleep(time.Duration(poll.WaitMS) * time.Millisecond)
	}
	write(w, response)
}

func reject(w http.ResponseWriter, code configuration.ErrorCode) {
	write(w, configuration.PollResponse{Region: region, ErrorCode: code, RetryAfterMS: 1})
}

func write(w http.ResponseWriter, response configuration.PollResponse) {
	text, err := json.Marshal(response)
	if err != nil {
		panic(err) // all its fields marshal
	}
	writeText(w, text)
}

// writeText writes a response. That the client has disconnected is no failure of a test.
func writeText(w http.ResponseWriter, text []byte) {
	if _, err := w.Write(text); err != nil {
		slog.Debug("fake relay: response not written", "error", err)
	}
}

// updatesUpTo responds with updates up to a version.
func updatesUpTo(version configuration.Version) func(http.ResponseWriter, configuration.Poll, int) {
	return func(w http.ResponseWriter, poll configuration.Poll, _ int) { update(w, poll, version) }
}

// times returns short waits and long timeouts; a test that waits for a timeout sets its
// own.
func times(relays int) configuration.SubscriberSettings {
	s := configuration.DefaultSubscriberSettings(relays)
	s.PollWait, s.ResponseTimeout, s.ProbeInterval = 50*time.Millisecond, hangTimeout, 100*time.Millisecond
	s.RetryMin, s.RetryMax = time.Millisecond, 10*time.Millisecond
	return s
}

// runningClient is a running client with the versions that it has applied.
type runningClient struct {
	*Client
	reject  ApplyFunc // nil for no rejections
	mu      sync.Mutex
	applied []configuration.Version
}

func run(t *testing.T, s configuration.SubscriberSettings, reject ApplyFunc, relays ...string) *runningClient {
	t.Helper()
	c := &runningClient{reject: reject}
	settings := Settings{Region: region, Subscriber: "n1", Relays: relays, Services: configuration.Subscription{"orders", "stock"}, Seed: 1}
	s.Relays = len(relays)
	c.Client = newClient(settings, s, c.applyChanges)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		select {
		case <-ended:
		case <-time.After(hangTimeout):
			t.Error("Run: running after its context's end, wanted it to return")
		}
	})
	return c
}

func (c *runningClient) applyChanges(changes configuration.Changes, version configuration.Version) []configuration.Rejection {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applied = append(c.applied, version)
	if c.reject == nil {
		return nil
	}
	return c.reject(changes, version)
}

func (c *runningClient) versions() []configuration.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.applied)
}

func eventually(t *testing.T, name string, isMet func() bool) {
	t.Helper()
	for deadline := time.Now().Add(hangTimeout); !isMet(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %v", name, hangTimeout)
		}
	}
}

func (c *runningClient) wantVersion(t *testing.T, version configuration.Version) {
	t.Helper()
	eventually(t, fmt.Sprintf("version %v applied", version), func() bool {
		versions := c.versions()
		return len(versions) > 0 && versions[len(versions)-1] == version
	})
}

func TestClientAppliesAndAcknowledgesInOrder(t *testing.T) {
	var newest sync.Map
	newest.Store("version", configuration.NewVersion(1, 1))
	r := newFakeRelay(t, func(w http.ResponseWriter, poll configuration.Poll, _ int) {
		version, _ := newest.Load("version")
		update(w, poll, version.(configuration.Version))
	})
	c := run(t, times(1), nil, r.address())
	for number := uint32(1); number <= 5; number++ {
		version := configuration.NewVersion(1, number)
		newest.Store("version", version)
		c.wantVersion(t, version)
		eventually(t, "acknowledged", func() bool {
			polls := r.received()
			return polls[len(polls)-1].Version == version
		})
	}
	if versions := c.versions(); !slices.IsSorted(versions) || len(versions) != 5 {
		t.Errorf("applied: found %v, wanted five in order", versions)
	}
	polls := r.received()
	first := polls[0]
	if first.Region != region || first.Subscriber != "n1" || !slices.Equal(first.Services, []string{"orders", "stock"}) || first.Version != 0 || first.WaitMS != 0 {
		t.Errorf("first poll: found %+v, wanted that of n1 for both services, without a version and a wait", first)
	}
	for i := 1; i < len(polls); i++ {
		if polls[i].WaitMS < 37 || polls[i].WaitMS > 50 {
			t.Errorf("poll %d: found a wait of %d ms, wanted 37 to 50", i, polls[i].WaitMS)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.connections != 1 {
		t.Errorf("connections: found %d, wanted 1", r.connections)
	}
	status := c.Status()
	if !status.Known || status.Version != configuration.NewVersion(1, 5) || status.Relay != r.address() || status.Age < 0 {
		t.Errorf("status: found %+v", status)
	}
}

func TestClientLeavesFailingRelay(t *testing.T) {
	version := configuration.NewVersion(1, 7)
	short := times(2)
	short.ResponseTimeout = 200 * time.Millisecond
	older := configuration.PollResponse{Region: region, Update: &configuration.Update{From: 0, Version: configuration.NewVersion(1, 3)}}
	for _, test := range []struct {
		name  string
		times configuration.SubscriberSettings
		first func(w http.ResponseWriter, ended chan struct{})
		want  string // part of the log
	}{
		{"unresponsive", short, func(_ http.ResponseWriter, ended chan struct{}) { <-ended }, "waiting for the response: "},
		{"half a response", short, func(w http.ResponseWriter, ended chan struct{}) {
			w.Header().Set("Content-Length", "1000")
			writeText(w, []byte(`{"region":`))
			w.(http.Flusher).Flush()
			<-ended
		}, "reading the response: "},
		{"closed", times(2), func(http.ResponseWriter, chan struct{}) { panic(http.ErrAbortHandler) }, "the connection was closed without a response"},
		{"closed after half", times(2), func(w http.ResponseWriter, _ chan struct{}) {
			w.Header().Set("Content-Length", "1000")
			writeText(w, []byte(`{"region":`))
		}, "reading the response: unexpected EOF"},
		{"no JSON", times(2), func(w http.ResponseWriter, _ chan struct{}) { http.Error(w, "no", http.StatusNotFound) }, "response of status 404"},
		{"too long", times(2), func(w http.ResponseWriter, _ chan struct{}) {
			text, err := json.Marshal(older)
			if err != nil {
				t.Error(err)
			}
			writeText(w, append(text, bytes.Repeat([]byte(" "), configuration.MaxResponseBytes)...))
		}, "body size exceeds the given limit"},
		{"other region", times(2), func(w http.ResponseWriter, _ chan struct{}) {
			write(w, configuration.PollResponse{Region: "south", Update: older.Update})
		}, "found a response of"},
		{"neither update nor error code", times(2), func(w http.ResponseWriter, _ chan struct{}) {
			write(w, configuration.PollResponse{Region: region})
		}, `found error code \"\" (), wanted an update`},
		{"age below zero", times(2), func(w http.ResponseWriter, _ chan struct{}) {
			write(w, configuration.PollResponse{Region: region, AgeMS: -1, Update: older.Update})
		}, ""},
		{"draining", times(2), func(w http.ResponseWriter, _ chan struct{}) { reject(w, configuration.CodeDraining) }, `found error code \"draining\"`},
		{"not ready", times(2), func(w http.ResponseWriter, _ chan struct{}) { reject(w, configuration.CodeNotReady) }, `found error code \"not_ready\"`},
	} {
		t.Run(test.name, func(t *testing.T) {
			log := captureLog(t)
			var near *fakeRelay
			near = newFakeRelay(t, func(w http.ResponseWriter, _ configuration.Poll, _ int) { test.first(w, near.ended) })
			far := newFakeRelay(t, updatesUpTo(version))
			c := run(t, test.times, nil, near.address(), far.address())
			c.wantVersion(t, version)
			if versions := c.versions(); len(versions) != 1 {
				t.Errorf("applied: found %v, wanted %v alone", versions, version)
			}
			if text := log.String(); !strings.Contains(text, test.want) {
				t.Errorf("log: found %q, wanted %q", text, test.want)
			}
			if near.count() == 0 {
				t.Error("nearest relay: found no poll, wanted the first one there")
			}
		})
	}
}

func TestClientLeavesRelayThatIsDown(t *testing.T) {
	version := configuration.NewVersion(1, 7)
	far := newFakeRelay(t, updatesUpTo(version))
	c := run(t, times(2), nil, testkit.FreePort(t, "127.0.0.1"), far.address())
	c.wantVersion(t, version)
}

func TestClientRejectsOlderVersions(t *testing.T) {
	newer, older := configuration.NewVersion(1, 7), configuration.NewVersion(1, 3)
	near := newFakeRelay(t, func(w http.ResponseWriter, poll configuration.Poll, _ int) {
		write(w, configuration.PollResponse{Region: region, Update: &configuration.Update{From: 0, Version: older, Resources: []configuration.Resource{
			{Service: "orders", Version: older, Settings: json.RawMessage(`{}`)},
		}}})
	})
	far := newFakeRelay(t, updatesUpTo(newer))
	down := testkit.FreePort(t, "127.0.0.1")
	c := run(t, times(3), nil, down, far.address(), near.address())
	c.wantVersion(t, newer)
	far.Close() // only the older one is left
	eventually(t, "three polls at the older relay", func() bool { return near.count() >= 3 })
	if versions := c.versions(); len(versions) != 1 || c.Status().Version != newer {
		t.Errorf("applied: found %v and status %+v, wanted %v alone", versions, c.Status(), newer)
	}
}

func TestClientRetriesBusyRelay(t *testing.T) {
	version := configuration.NewVersion(1, 7)
	near := newFakeRelay(t, func(w http.ResponseWriter, poll configuration.Poll, number int) {
		if number < 3 {
			reject(w, configuration.CodeBusy)
			return
		}
		update(w, poll, version)
	})
	far := newFakeRelay(t, updatesUpTo(version))
	c := run(t, times(2), nil, near.address(), far.address())
	c.wantVersion(t, version)
	if near.count() < 4 || far.count() > 0 {
		t.Errorf("polls: found %d at the busy relay and %d at the other, wanted 4 and none", near.count(), far.count())
	}
}

// The subscriber limits the poll rate; the client has to respect the time of the next poll.
func TestClientLimitsItsPollRate(t *testing.T) {
	version := configuration.NewVersion(1, 7)
	r := newFakeRelay(t, func(w http.ResponseWriter, poll configuration.Poll, _ int) {
		poll.WaitMS = 0
		update(w, poll, version)
	})
	c := run(t, times(1), nil, r.address())
	c.wantVersion(t, version)
	before, start := r.count(), time.Now()
	time.Sleep(time.Second)
	found := r.count() - before
	if limit := int(time.Since(start)/(250*time.Millisecond)) + 10; found > limit {
		t.Errorf("polls: found %d within %v, wanted %d at most", found, time.Since(start), limit)
	}
}

func TestClientReturnsToNearestRelay(t *testing.T) {
	version := configuration.NewVersion(1, 7)
	near := newFakeRelay(t, func(w http.ResponseWriter, poll configuration.Poll, number int) {
		if number < 2 {
			reject(w, configuration.CodeDraining)
			return
		}
		update(w, poll, version)
	})
	far := newFakeRelay(t, updatesUpTo(version))
	c := run(t, times(2), nil, near.address(), far.address())
	c.wantVersion(t, version)
	eventually(t, "polls at the nearest relay after the return", func() bool { return near.count() >= 5 })
	if far.count() == 0 || c.Status().Relay != near.address() {
		t.Errorf("found %d polls at the far relay and %s as the current one, wanted some and %s", far.count(), c.Status().Relay, near.address())
	}
	settled := far.count()
	before := near.count()
	eventually(t, "further polls at the nearest relay", func() bool { return near.count() >= before+5 })
	if far.count() != settled {
		t.Errorf("polls at the far relay: found %d after the return, wanted none", far.count()-settled)
	}
}

// A relay that closes an idle connection has not failed.
func TestClientRetriesAfterIdleConnectionWasClosed(t *testing.T) {
	version := configuration.NewVersion(1, 7)
	near := newFakeRelay(t, func(w http.ResponseWriter, poll configuration.Poll, number int) {
		if number%2 == 1 {
			conn, _, err := w.(http.Hijacker).Hijack() // as if closed before the poll arrived
			if err != nil {
				t.Error(err)
				return
			}
			conn.Close()
			return
		}
		update(w, poll, version)
	})
	far := newFakeRelay(t, updatesUpTo(version))
	c := run(t, times(2), nil, near.address(), far.address())
	c.wantVersion(t, version)
	eventually(t, "ten polls", func() bool { return near.count() >= 10 })
	if far.count() > 0 {
		t.Errorf("polls at the other relay: found %d, wanted none", far.count())
	}
	for i, poll := range near.received() {
		if retry := i > 0 && i%2 == 0; retry && poll.WaitMS != 0 {
			t.Errorf("poll %d: found a wait of %d ms, wanted none on a new connection", i, poll.WaitMS)
		}
	}
}

func TestClientRepeatsRejections(t *testing.T) {
	var newest sync.Map
	rejectedVersion, validVersion := configuration.NewVersion(1, 1), configuration.NewVersion(1, 2)
	newest.Store("version", rejectedVersion)
	r := newFakeRelay(t, func(w http.ResponseWriter, poll configuration.Poll, _ int) {
		version, _ := newest.Load("version")
		update(w, poll, version.(configuration.Version))
	})
	reason := "two\nlines" + strings.Repeat("é", configuration.MaxReasonBytes)
	c := run(t, times(1), func(_ configuration.Changes, version configuration.Version) []configuration.Rejection {
		if version == rejectedVersion {
			return []configuration.Rejection{{Service: "orders", Version: rejectedVersion, Reason: reason}}
		}
		return nil
	}, r.address())
	c.wantVersion(t, rejectedVersion)
	eventually(t, "three polls with the rejection", func() bool { return r.count() >= 4 })
	for i, poll := range r.received()[1:4] {
		want := configuration.TruncateRejections([]configuration.Rejection{{Service: "orders", Version: rejectedVersion, Reason: reason}})
		if !slices.Equal(poll.Rejected, want) {
			t.Errorf("poll %d: found rejections %.80v, wanted %.80v", i+1, poll.Rejected, want)
		}
	}
	newest.Store("version", validVersion)
	c.wantVersion(t, validVersion)
	eventually(t, "a poll without rejections", func() bool {
		polls := r.received()
		return polls[len(polls)-1].Version == validVersion && polls[len(polls)-1].Rejected == nil
	})
}

func TestClientLogsFailingRelayOnce(t *testing.T) {
	log := captureLog(t)
	near := newFakeRelay(t, func(w http.ResponseWriter, _ configuration.Poll, number int) {
		write(w, configuration.PollResponse{Region: "south", ErrorCode: configuration.CodeWrongRegion})
	})
	run(t, times(1), nil, near.address())
	eventually(t, "five polls", func() bool { return near.count() >= 5 })
	if text := log.String(); strings.Count(text, "configuration relay failed") != 1 || !strings.Contains(text, `found a response of \"south\", wanted \"north\"`) {
		t.Errorf("log: found %q, wanted one line with the regions", text)
	}
}

// The end of Run does not wait for a response.
func TestClientEndsDuringPoll(t *testing.T) {
	received := make(chan struct{}, 1)
	var near *fakeRelay
	near = newFakeRelay(t, func(http.ResponseWriter, configuration.Poll, int) {
		received <- struct{}{}
		<-near.ended
	})
	long := times(1)
	long.ResponseTimeout = 10 * hangTimeout
	run(t, long, nil, near.address()) // it has to end within hangTimeout
	<-received
}

// captureLog collects the log until the test's end.
func captureLog(t *testing.T) *testkit.LogBuffer {
	t.Helper()
	log := &testkit.LogBuffer{}
	before := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(log, nil)))
	t.Cleanup(func() { slog.SetDefault(before) })
	return log
}

// The services are sent once to each relay. From then on their digest replaces them, until
// the relay does not know it any more.
func TestServicesAreSentOnce(t *testing.T) {
	t.Parallel()
	services := configuration.Subscription{"orders", "payments"}
	forgetful := newFakeRelay(t, func(w http.ResponseWriter, poll configuration.Poll, number int) {
		if number == 2 { // as after a restart
			reject(w, configuration.CodeUnknownServices)
			return
		}
		update(w, poll, 1)
	})
	c := newClient(Settings{Region: region, Subscriber: "n1", Relays: []string{forgetful.address()}, Services: services}, times(1),
		func(configuration.Changes, configuration.Version) []configuration.Rejection { return nil })
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { c.Run(ctx); close(ended) }()
	for forgetful.count() < 5 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-ended
	for number, poll := range forgetful.received()[:5] {
		sent := number == 0 || number == 3
		if sent != slices.Equal(poll.Services, services) || sent == (poll.ServicesDigest == services.Digest()) {
			t.Errorf("poll %d: found services %q and digest %d, wanted the services: %v", number, poll.Services, poll.ServicesDigest, sent)
		}
	}
}
