package subscription

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
)

// hang is a bound that only detects a test which hangs.
const hang = 30 * time.Second

const region = "north"

// relay is a stand-in for a relay on a real loopback connection.
type relay struct {
	*httptest.Server
	mu          sync.Mutex
	polls       []configuration.Poll
	connections int
	ended       chan struct{}
	// answer is called for each poll with its number, from 0 on.
	answer func(w http.ResponseWriter, poll configuration.Poll, number int)
}

func newRelay(t *testing.T, answer func(w http.ResponseWriter, poll configuration.Poll, number int)) *relay {
	t.Helper()
	r := &relay{answer: answer, ended: make(chan struct{})}
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

func (r *relay) serve(w http.ResponseWriter, request *http.Request) {
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
	r.answer(w, poll, number)
}

func (r *relay) address() string { return r.Listener.Addr().String() }

func (r *relay) heard() []configuration.Poll {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.polls)
}

func (r *relay) count() int { return len(r.heard()) }

// update writes an update with a resource of version to a poll that lacks it, and
// one without news after the poll's wait to others.
func update(w http.ResponseWriter, poll configuration.Poll, version configuration.Version) {
	answer := configuration.PollResponse{Region: region, Update: &configuration.Update{From: poll.Version, Version: version}}
	if poll.Version < version {
		answer.Update.Resources = []configuration.Resource{{Service: "orders", Version: version, Settings: json.RawMessage(`{}`)}}
	} else {
		time.Sleep(time.Duration(poll.WaitMS) * time.Millisecond)
	}
	write(w, answer)
}

func refuse(w http.ResponseWriter, refusal configuration.ErrorCode) {
	write(w, configuration.PollResponse{Region: region, ErrorCode: refusal, RetryAfterMS: 1})
}

func write(w http.ResponseWriter, answer configuration.PollResponse) {
	json.NewEncoder(w).Encode(answer)
}

// holding answers with updates up to a version.
func holding(version configuration.Version) func(http.ResponseWriter, configuration.Poll, int) {
	return func(w http.ResponseWriter, poll configuration.Poll, _ int) { update(w, poll, version) }
}

// times are short where a test waits for them. Timeouts are long, but for those of
// tests that wait for one.
func times(relays int) configuration.SubscriberSettings {
	s := configuration.DefaultSubscriberSettings(relays)
	s.PollWait, s.ResponseTimeout, s.ProbeInterval = 50*time.Millisecond, hang, 100*time.Millisecond
	s.RetryMin, s.RetryMax = time.Millisecond, 10*time.Millisecond
	return s
}

// client is a running client with what it has applied.
type client struct {
	*Client
	mu      sync.Mutex
	applied []configuration.Version
	reject  func(configuration.Changes, configuration.Version) []configuration.Rejection
}

func run(t *testing.T, s configuration.SubscriberSettings, reject Apply, relays ...string) *client {
	t.Helper()
	c := &client{reject: reject}
	settings := Settings{Region: region, Subscriber: "n1", Relays: relays, Services: configuration.Subscription{"orders", "stock"}, Seed: 1}
	s.Relays = len(relays)
	c.Client = newClient(settings, s, c.take)
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
		case <-time.After(hang):
			t.Error("Run: found it running after its context's end, wanted it to return")
		}
	})
	return c
}

func (c *client) take(taken configuration.Changes, version configuration.Version) []configuration.Rejection {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applied = append(c.applied, version)
	if c.reject == nil {
		return nil
	}
	return c.reject(taken, version)
}

func (c *client) versions() []configuration.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.applied)
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(hang); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not so after %v", what, hang)
		}
	}
}

func (c *client) wantVersion(t *testing.T, version configuration.Version) {
	t.Helper()
	eventually(t, fmt.Sprintf("version %v in force", version), func() bool {
		versions := c.versions()
		return len(versions) > 0 && versions[len(versions)-1] == version
	})
}

// refusedAddress is where nobody listens.
func refusedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func TestClientTakesChangesInOrderAndAcknowledgesThemAtOnce(t *testing.T) {
	var newest sync.Map
	newest.Store("version", configuration.NewVersion(1, 1))
	r := newRelay(t, func(w http.ResponseWriter, poll configuration.Poll, _ int) {
		version, _ := newest.Load("version")
		update(w, poll, version.(configuration.Version))
	})
	c := run(t, times(1), nil, r.address())
	for number := uint32(1); number <= 5; number++ {
		version := configuration.NewVersion(1, number)
		newest.Store("version", version)
		c.wantVersion(t, version)
		eventually(t, "acknowledged", func() bool {
			polls := r.heard()
			return polls[len(polls)-1].Version == version
		})
	}
	if versions := c.versions(); !slices.IsSorted(versions) || len(versions) != 5 {
		t.Errorf("applied: found %v, wanted five in order", versions)
	}
	polls := r.heard()
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

func TestClientGoesByARelayThatGivesNoAnswer(t *testing.T) {
	version := configuration.NewVersion(1, 7)
	short := times(2)
	short.ResponseTimeout = 200 * time.Millisecond
	older := configuration.PollResponse{Region: region, Update: &configuration.Update{From: 0, Version: configuration.NewVersion(1, 3)}}
	for _, test := range []struct {
		name  string
		times configuration.SubscriberSettings
		first func(w http.ResponseWriter, ended chan struct{})
		said  string // a part of the line in the log
	}{
		{"hanging", short, func(_ http.ResponseWriter, ended chan struct{}) { <-ended }, "waiting for the answer: "},
		{"half an answer", short, func(w http.ResponseWriter, ended chan struct{}) {
			w.Header().Set("Content-Length", "1000")
			fmt.Fprint(w, `{"region":`)
			w.(http.Flusher).Flush()
			<-ended
		}, "reading the answer: "},
		{"shut", times(2), func(http.ResponseWriter, chan struct{}) { panic(http.ErrAbortHandler) }, "the connection was shut without an answer"},
		{"shut after half", times(2), func(w http.ResponseWriter, _ chan struct{}) {
			w.Header().Set("Content-Length", "1000")
			fmt.Fprint(w, `{"region":`)
		}, "reading the answer: unexpected EOF"},
		{"no JSON", times(2), func(w http.ResponseWriter, _ chan struct{}) { http.Error(w, "no", http.StatusNotFound) }, "answer of status 404"},
		{"too long", times(2), func(w http.ResponseWriter, _ chan struct{}) {
			text, _ := json.Marshal(older)
			w.Write(append(text, bytes.Repeat([]byte(" "), configuration.MaxResponseBytes)...))
		}, "body size exceeds the given limit"},
		{"other region", times(2), func(w http.ResponseWriter, _ chan struct{}) {
			write(w, configuration.PollResponse{Region: "south", Update: older.Update})
		}, "found an answer of"},
		{"neither update nor refusal", times(2), func(w http.ResponseWriter, _ chan struct{}) {
			write(w, configuration.PollResponse{Region: region})
		}, `found refusal \"\" (), wanted an update`},
		{"age below zero", times(2), func(w http.ResponseWriter, _ chan struct{}) {
			write(w, configuration.PollResponse{Region: region, AgeMS: -1, Update: older.Update})
		}, ""},
		{"draining", times(2), func(w http.ResponseWriter, _ chan struct{}) { refuse(w, configuration.CodeDraining) }, `found refusal \"draining\"`},
		{"not ready", times(2), func(w http.ResponseWriter, _ chan struct{}) { refuse(w, configuration.CodeNotReady) }, `found refusal \"not_ready\"`},
	} {
		t.Run(test.name, func(t *testing.T) {
			log := captureLog(t)
			var near *relay
			near = newRelay(t, func(w http.ResponseWriter, _ configuration.Poll, _ int) { test.first(w, near.ended) })
			far := newRelay(t, holding(version))
			c := run(t, test.times, nil, near.address(), far.address())
			c.wantVersion(t, version)
			if versions := c.versions(); len(versions) != 1 {
				t.Errorf("applied: found %v, wanted %v alone", versions, version)
			}
			if text := log.String(); !strings.Contains(text, test.said) {
				t.Errorf("log: found %q, wanted %q", text, test.said)
			}
			if near.count() == 0 {
				t.Error("nearest relay: found no poll, wanted the first one there")
			}
		})
	}
}

func TestClientGoesByARelayThatRefusesConnections(t *testing.T) {
	version := configuration.NewVersion(1, 7)
	far := newRelay(t, holding(version))
	c := run(t, times(2), nil, refusedAddress(t), far.address())
	c.wantVersion(t, version)
}

func TestClientStaysWithWhatItHasWhereARelayIsOlder(t *testing.T) {
	newer, older := configuration.NewVersion(1, 7), configuration.NewVersion(1, 3)
	near := newRelay(t, func(w http.ResponseWriter, poll configuration.Poll, _ int) {
		write(w, configuration.PollResponse{Region: region, Update: &configuration.Update{From: 0, Version: older, Resources: []configuration.Resource{
			{Service: "orders", Version: older, Settings: json.RawMessage(`{}`)},
		}}})
	})
	far := newRelay(t, holding(newer))
	gone := refusedAddress(t)
	c := run(t, times(3), nil, gone, far.address(), near.address())
	c.wantVersion(t, newer)
	far.Close() // the older one is all that is left
	eventually(t, "three polls at the older relay", func() bool { return near.count() >= 3 })
	if versions := c.versions(); len(versions) != 1 || c.Status().Version != newer {
		t.Errorf("applied: found %v and status %+v, wanted %v alone", versions, c.Status(), newer)
	}
}

func TestClientComesAgainToABusyRelay(t *testing.T) {
	version := configuration.NewVersion(1, 7)
	near := newRelay(t, func(w http.ResponseWriter, poll configuration.Poll, number int) {
		if number < 3 {
			refuse(w, configuration.CodeBusy)
			return
		}
		update(w, poll, version)
	})
	far := newRelay(t, holding(version))
	c := run(t, times(2), nil, near.address(), far.address())
	c.wantVersion(t, version)
	if near.count() < 4 || far.count() > 0 {
		t.Errorf("polls: found %d at the busy relay and %d at the other, wanted 4 and none", near.count(), far.count())
	}
}

// What bounds it is the subscriber; the client has to heed the time of the next poll.
func TestClientIsNotPacedByARelayThatDoesNotWait(t *testing.T) {
	version := configuration.NewVersion(1, 7)
	r := newRelay(t, func(w http.ResponseWriter, poll configuration.Poll, _ int) {
		poll.WaitMS = 0
		update(w, poll, version)
	})
	c := run(t, times(1), nil, r.address())
	c.wantVersion(t, version)
	before, start := r.count(), time.Now()
	time.Sleep(time.Second)
	found := r.count() - before
	if most := int(time.Since(start)/(250*time.Millisecond)) + 10; found > most {
		t.Errorf("polls: found %d within %v, wanted %d at most", found, time.Since(start), most)
	}
}

func TestClientReturnsToTheNearestRelay(t *testing.T) {
	version := configuration.NewVersion(1, 7)
	near := newRelay(t, func(w http.ResponseWriter, poll configuration.Poll, number int) {
		if number < 2 {
			refuse(w, configuration.CodeDraining)
			return
		}
		update(w, poll, version)
	})
	far := newRelay(t, holding(version))
	c := run(t, times(2), nil, near.address(), far.address())
	c.wantVersion(t, version)
	eventually(t, "polls at the nearest relay again", func() bool { return near.count() >= 5 })
	if far.count() == 0 || c.Status().Relay != near.address() {
		t.Errorf("found %d polls at the far relay and %s asked now, wanted some and %s", far.count(), c.Status().Relay, near.address())
	}
	settled := far.count()
	more := near.count()
	eventually(t, "further polls at the nearest relay", func() bool { return near.count() >= more+5 })
	if far.count() != settled {
		t.Errorf("polls at the far relay: found %d after the return, wanted none", far.count()-settled)
	}
}

// An idle connection that a relay shuts is no failure of the relay.
func TestClientRetriesOnceWhereAnIdleConnectionWasShut(t *testing.T) {
	version := configuration.NewVersion(1, 7)
	near := newRelay(t, func(w http.ResponseWriter, poll configuration.Poll, number int) {
		if number%2 == 1 {
			conn, _, err := w.(http.Hijacker).Hijack() // as if shut before the poll came
			if err != nil {
				t.Error(err)
				return
			}
			conn.Close()
			return
		}
		update(w, poll, version)
	})
	far := newRelay(t, holding(version))
	c := run(t, times(2), nil, near.address(), far.address())
	c.wantVersion(t, version)
	eventually(t, "ten polls", func() bool { return near.count() >= 10 })
	if far.count() > 0 {
		t.Errorf("polls at the other relay: found %d, wanted none", far.count())
	}
	for i, poll := range near.heard() {
		if retry := i > 0 && i%2 == 0; retry && poll.WaitMS != 0 {
			t.Errorf("poll %d: found a wait of %d ms, wanted none on a new connection", i, poll.WaitMS)
		}
	}
}

func TestClientReportsRejectionsAsLongAsTheyHold(t *testing.T) {
	var newest sync.Map
	bad, good := configuration.NewVersion(1, 1), configuration.NewVersion(1, 2)
	newest.Store("version", bad)
	r := newRelay(t, func(w http.ResponseWriter, poll configuration.Poll, _ int) {
		version, _ := newest.Load("version")
		update(w, poll, version.(configuration.Version))
	})
	reason := "two\nlines" + strings.Repeat("é", configuration.MaxReasonBytes)
	c := run(t, times(1), func(taken configuration.Changes, version configuration.Version) []configuration.Rejection {
		if version == bad {
			return []configuration.Rejection{{Service: "orders", Version: bad, Reason: reason}}
		}
		return nil
	}, r.address())
	c.wantVersion(t, bad)
	eventually(t, "three polls with the rejection", func() bool { return r.count() >= 4 })
	for i, poll := range r.heard()[1:4] {
		want := configuration.TruncateRejections([]configuration.Rejection{{Service: "orders", Version: bad, Reason: reason}})
		if !slices.Equal(poll.Rejected, want) {
			t.Errorf("poll %d: found rejections %.80v, wanted %.80v", i+1, poll.Rejected, want)
		}
	}
	newest.Store("version", good)
	c.wantVersion(t, good)
	eventually(t, "a poll without rejections", func() bool {
		polls := r.heard()
		last := polls[len(polls)-1]
		return last.Version == good && last.Rejected == nil
	})
}

func TestClientLogsAFailingRelayOnce(t *testing.T) {
	log := captureLog(t)
	near := newRelay(t, func(w http.ResponseWriter, _ configuration.Poll, number int) {
		write(w, configuration.PollResponse{Region: "south", ErrorCode: configuration.CodeWrongRegion})
	})
	run(t, times(1), nil, near.address())
	eventually(t, "five polls", func() bool { return near.count() >= 5 })
	if text := log.String(); strings.Count(text, "a relay fails") != 1 || !strings.Contains(text, `found an answer of \"south\", wanted \"north\"`) {
		t.Errorf("log: found %q, wanted one line with the regions", text)
	}
}

// The end does not wait for an answer that is to come.
func TestClientEndsInTheMiddleOfAPoll(t *testing.T) {
	came := make(chan struct{}, 1)
	var near *relay
	near = newRelay(t, func(http.ResponseWriter, configuration.Poll, int) {
		came <- struct{}{}
		<-near.ended
	})
	long := times(1)
	long.ResponseTimeout = 10 * hang
	run(t, long, nil, near.address()) // its end is bounded by hang
	<-came
}

// captureLog has the log written to lines until the test's end.
func captureLog(t *testing.T) *lines {
	log := &lines{}
	before := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(log, nil)))
	t.Cleanup(func() { slog.SetDefault(before) })
	return log
}

// lines is a log that several goroutines write.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// The services are named once to each relay. From then on their digest stands for them,
// until the relay does not know it any more.
func TestServicesAreNamedOnce(t *testing.T) {
	t.Parallel()
	services := configuration.Subscription{"orders", "payments"}
	forgetful := newRelay(t, func(w http.ResponseWriter, poll configuration.Poll, number int) {
		if number == 2 { // it was restarted, say
			refuse(w, configuration.CodeUnknownServices)
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
	for number, poll := range forgetful.heard()[:5] {
		named := number == 0 || number == 3
		if named != slices.Equal(poll.Services, services) || named == (poll.ServicesDigest == services.Digest()) {
			t.Errorf("poll %d: found services %q and digest %d, wanted the services: %v", number, poll.Services, poll.ServicesDigest, named)
		}
	}
}
