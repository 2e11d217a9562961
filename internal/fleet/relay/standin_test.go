package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"otterspring/internal/bootclock"
	"otterspring/internal/fleet/configuration"
	"otterspring/internal/fleet/council/ask"
	"otterspring/internal/logs"
)

// patience bounds what a test waits for: only a hang lasts longer.
const patience = 60 * time.Second

// standIn is a council of one member that answers as a real one does.
type standIn struct {
	server *httptest.Server
	second *httptest.Server // another address of the same

	mu         sync.Mutex
	name       string
	store      configuration.Store
	changed    chan struct{}
	leaderless bool
	silent     bool           // calls are taken and not answered
	underWay   map[string]int // calls by the address that was asked
	received   time.Duration  // when the newest call came that was answered
	lastID     int
	// hold is closed when answers that were made up may be sent; nil for at once.
	hold chan struct{}
}

func newStandIn(t testing.TB, name string) *standIn {
	s := &standIn{name: name, changed: make(chan struct{}), underWay: map[string]int{}}
	s.server, s.second = httptest.NewServer(http.HandlerFunc(s.serve)), httptest.NewServer(http.HandlerFunc(s.serve))
	t.Cleanup(s.server.Close)
	t.Cleanup(s.second.Close)
	return s
}

func (s *standIn) address() string { return s.server.Listener.Addr().String() }

func (s *standIn) members() []string { return []string{s.address()} }

func (s *standIn) secondAddress() string { return s.second.Listener.Addr().String() }

func (s *standIn) serve(w http.ResponseWriter, req *http.Request) {
	received := bootclock.Now()
	var question ask.Question
	if err := json.NewDecoder(req.Body).Decode(&question); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.underWay[req.Host]++
	name, leaderless, silent, hold := s.name, s.leaderless, s.silent, s.hold
	s.mu.Unlock()
	defer s.set(func(s *standIn) { s.underWay[req.Host]-- })
	answer := &ask.Answer{Council: name, Member: 1}
	region, _, _ := strings.Cut(name, "#")
	switch {
	case silent:
		<-req.Context().Done()
		return
	case req.Header.Get(ask.Header) != region:
		answer.No = fmt.Sprintf("found council %q, wanted %q", req.Header.Get(ask.Header), name)
		w.WriteHeader(http.StatusConflict)
	case leaderless:
		answer.No = "found no leader, wanted one"
	default:
		answer.Update = s.wait(req.Context(), question)
	}
	if hold != nil {
		<-hold
	}
	if answer.Update != nil {
		s.set(func(s *standIn) { s.received = max(s.received, received) })
	}
	json.NewEncoder(w).Encode(answer)
}

func (s *standIn) wait(ctx context.Context, question ask.Question) *configuration.Update {
	end := time.After(time.Duration(question.WaitMS) * time.Millisecond)
	for over := question.WaitMS == 0; ; {
		s.mu.Lock()
		update, changed := s.store.UpdateSince(question.Version), s.changed
		s.mu.Unlock()
		if over || update.Version != question.Version {
			return &update
		}
		select {
		case <-changed:
		case <-end:
			over = true
		case <-ctx.Done():
			over = true
		}
	}
}

// put changes the settings of services, all in one step.
func (s *standIn) put(t testing.TB, settings string, services ...string) configuration.Version {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, service := range services {
		s.lastID++
		change := configuration.Change{ID: fmt.Sprint("change-", s.lastID), Service: service, Settings: json.RawMessage(settings)}
		if s.store.Resources[service] == nil {
			change.IfVersion = new(configuration.Version)
		}
		if _, err := s.store.Apply(max(1, s.store.Version.TokenSpace()), change); err != nil {
			t.Fatal(err)
		}
	}
	s.wakeLocked()
	return s.store.Version
}

// wake ends the calls that wait for a newer version.
func (s *standIn) wake() { s.set((*standIn).wakeLocked) }

func (s *standIn) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// callsUnderWay is how many calls to an address are under way.
func (s *standIn) callsUnderWay(address string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.underWay[address]
}

// set changes how the member behaves.
func (s *standIn) set(change func(s *standIn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// testFile is a relay's file for tests; it listens at a port that the system gives.
func testFile(members ...string) *File {
	return &File{
		Path: "relay.toml", Region: "west", Zone: "west-1", Name: "r1", Listen: "127.0.0.1:0", Members: members,
		Connections: 64, SnapshotsAtOnce: 8, Drain: 200 * time.Millisecond, WriteTimeout: time.Second,
	}
}

// running is a relay that runs in a test's own process.
type running struct {
	*Relay
	t    testing.TB
	stop context.CancelFunc
	done chan struct{}
	err  error
	log  lockedBuffer
}

func start(t testing.TB, file *File) *running {
	t.Helper()
	r := &running{t: t, done: make(chan struct{})}
	relay, err := Open(file, logs.New(&r.log, logs.Options{Level: slog.LevelDebug}))
	if err != nil {
		t.Fatal(err)
	}
	r.Relay = relay
	var ctx context.Context
	ctx, r.stop = context.WithCancel(context.Background())
	go func() { defer close(r.done); r.err = relay.Run(ctx) }()
	t.Cleanup(func() { r.stop(); r.ended() })
	return r
}

// ended awaits the end of a relay and returns what it ended for.
func (r *running) ended() error {
	r.t.Helper()
	select {
	case <-r.done:
	case <-time.After(patience):
		r.t.Fatal("the relay does not end")
	}
	return r.err
}

// holds awaits that the relay holds a version.
func (r *running) holds(version configuration.Version) {
	r.t.Helper()
	await(r.t, fmt.Sprintf("version %v", version), func() bool {
		held, heard := r.feed.state()
		return heard.known && held == version
	})
}

// await waits until something is true.
func await(t testing.TB, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !is(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, patience)
		}
	}
}

// post sends a text as a poll and returns the answer.
func post(t testing.TB, address, text string) (int, configuration.PollResponse) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+configuration.PollPath, strings.NewReader(text))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var answer configuration.PollResponse
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, answer
}

// poll sends a poll and returns the answer.
func poll(t testing.TB, address string, p configuration.Poll) configuration.PollResponse {
	t.Helper()
	if p.Region == "" {
		p.Region = "west"
	}
	if p.Subscriber == "" {
		p.Subscriber = "s1"
	}
	text, _ := json.Marshal(p)
	_, answer := post(t, address, string(text))
	return answer
}

// freeAddress is one at which nobody listens.
func freeAddress(t testing.TB) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}
