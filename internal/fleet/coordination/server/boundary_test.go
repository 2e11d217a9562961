package server

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	bolt "go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"otterspring/internal/fleet/coordination"
	"otterspring/internal/fleet/coordination/client"
	"otterspring/internal/keytest"
)

// The keys of the council's file and of what members tell each other beside raft.
func TestKeysOfFileAndMessages(t *testing.T) {
	keytest.Compare(t, "testdata/keys.txt", []keytest.Marshaled{
		{Role: "the council's file", Encoding: "toml", Value: Config{}},
		{Role: "how far a member was known to be", Encoding: "json", Value: logPosition{}},
	})
}

// The council's file of an older version means the same.
func TestStoredFile(t *testing.T) {
	f, err := LoadConfig("testdata/council.toml")
	if err != nil {
		t.Fatal(err)
	}
	members := []MemberAddress{{1, "127.0.0.1:7001"}, {2, "127.0.0.1:7002"}, {3, "127.0.0.1:7003"}}
	if f.Name != "test" || f.Directory != "/var/lib/council" || f.Tick != 50*time.Millisecond || f.Lease != 3*time.Second || f.Margin != 250*time.Millisecond || !slices.Equal(f.Members, members) {
		t.Errorf("read %+v", f)
	}
	if got, want := f.bootstrapCluster(), "test#1f696c20"; got != want {
		t.Errorf("the council is called %s, wanted %s", got, want)
	}
	if got, want := f.memberDirectory(2), "/var/lib/council/member-2"; got != want {
		t.Errorf("member 2 has directory %s, wanted %s", got, want)
	}
}

// A member's disk that an older version wrote is read, and written back with the
// same buckets, keys and values: testdata/member.db has each kind of command.
func TestStoredDisk(t *testing.T) {
	data, err := os.ReadFile("testdata/member.db")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "council.db"), data, 0o600); err != nil {
		t.Fatal(err)
	}
	opened, d, err := openStorage(dir, "test", 2)
	if err != nil {
		t.Fatal(err)
	}
	if err := opened.db.Close(); err != nil {
		t.Fatal(err)
	}
	if opened.cluster != "test#0badcafe" || d.HardState.GetTerm() != 4 || d.HardState.GetVote() != 1 || d.HardState.GetCommit() != 30 {
		t.Errorf("found cluster %q with %v", opened.cluster, d.HardState)
	}
	sealed, err := os.ReadFile("../testdata/state.sealed")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(d.Snapshot.GetData(), sealed) {
		t.Error("the snapshot differs from the sealed state")
	}
	text, err := os.ReadFile("../testdata/commands.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	commands := strings.Split(strings.TrimSpace(string(text)), "\n")
	if len(d.Entries) != len(commands)+2 { // the first of a leader, and a change of members
		t.Fatalf("found %d entries, wanted %d", len(d.Entries), len(commands)+2)
	}
	for i, line := range commands {
		if got := string(d.Entries[i+1].GetData()); got != line {
			t.Errorf("entry %d: found %s, wanted %s", d.Entries[i+1].GetIndex(), got, line)
		}
	}

	again := t.TempDir()
	if err := createStorage(again, opened.cluster, 2, d); err != nil {
		t.Fatal(err)
	}
	written, _, err := openStorage(again, "test", 2)
	if err != nil {
		t.Fatal(err)
	}
	if err := written.save(coordination.Ready{Entries: d.Entries, MustSync: true}); err != nil {
		t.Fatal(err)
	}
	if err := written.db.Close(); err != nil {
		t.Fatal(err)
	}
	got, want := contents(t, filepath.Join(again, "council.db")), contents(t, filepath.Join(dir, "council.db"))
	if !slices.Equal(got, want) {
		t.Errorf("written back as\n%s\nwanted\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	// Last, since the library completes the snapshot that it is given.
	if _, err := coordination.NewMember(2, d, 30); err != nil {
		t.Errorf("no member starts from it: %v", err)
	}
}

// contents lists the buckets, keys and values of a file.
func contents(t *testing.T, path string) (lines []string) {
	t.Helper()
	db, err := bolt.Open(path, 0o600, &bolt.Options{ReadOnly: true, Timeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	err = db.View(func(tx *bolt.Tx) error {
		return tx.ForEach(func(bucket []byte, b *bolt.Bucket) error {
			return b.ForEach(func(k, v []byte) error {
				lines = append(lines, fmt.Sprintf("%s %x %x", bucket, k, v))
				return nil
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := db.Close(); err != nil {
		t.Fatal(err)
	}
	return lines
}

// startEventLoop returns a server without file, clock and member, for its handlers and
// calls.
func startEventLoop(t *testing.T) *Server {
	t.Helper()
	s := &Server{
		config: &Config{Name: "test"}, number: 2, cluster: "test#0badcafe", log: slog.New(slog.DiscardHandler),
		events: make(chan func()), stopped: make(chan struct{}), acknowledged: map[uint64]logPosition{1: {Term: 4, Index: 30}},
	}
	t.Cleanup(func() { close(s.stopped) })
	go func() {
		for {
			select {
			case event := <-s.events:
				event()
			case <-s.stopped:
				return
			}
		}
	}()
	return s
}

// Messages between members, as an older version sends them, are understood, and are
// sent as that version does.
func TestMessagesOnTheWire(t *testing.T) {
	batch, err := os.ReadFile("testdata/raft.bin")
	if err != nil {
		t.Fatal(err)
	}
	s := startEventLoop(t)
	server := httptest.NewServer(s.handler())
	defer server.Close()
	call := func(method, path, name, body string) (int, string) {
		t.Helper()
		req, err := http.NewRequestWithContext(t.Context(), method, server.URL+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("X-Council", name)
		r, err := server.Client().Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer r.Body.Close()
		text, err := io.ReadAll(r.Body)
		if err != nil {
			t.Fatal(err)
		}
		return r.StatusCode, strings.TrimSpace(string(text))
	}
	for _, test := range []struct {
		method, path, name, body string
		status                   int
	}{
		{"POST", "/raft", "test#0badcafe", string(batch), http.StatusServiceUnavailable}, // understood; it does not take part yet
		{"POST", "/raft", "test#0badcafe", string(batch[:len(batch)-1]), http.StatusBadRequest},
		{"POST", "/raft", "test", string(batch), http.StatusConflict},
		{"GET", "/known?member=1", "test#0badcafe", "", http.StatusOK},
		{"GET", "/known?member=1", "test", "", http.StatusConflict},
		{"POST", "/v1/ask", "test", `{"kind":"hear"}`, http.StatusOK},
		{"POST", "/v1/ask", "test#0badbeef", `{"kind":"hear"}`, http.StatusConflict},
		{"GET", "/v1/snapshot", "test", "", http.StatusServiceUnavailable},
		{"GET", "/v1/snapshot", "other", "", http.StatusConflict},
	} {
		status, text := call(test.method, test.path, test.name, test.body)
		if status != test.status {
			t.Errorf("%s %s of %q: status %d, wanted %d: %s", test.method, test.path, test.name, status, test.status, text)
		}
		if status == http.StatusConflict {
			var a client.Response
			if err := json.Unmarshal([]byte(text), &a); err != nil || a.Cluster != "test#0badcafe" || a.Member != 2 || a.Unavailable == "" {
				t.Errorf("%s %s of another council: %s (%v)", test.method, test.path, text, err)
			}
		}
		if strings.HasPrefix(test.path, "/known") && status == http.StatusOK && text != `{"term":4,"index":30}` {
			t.Errorf("how far member 1 is known to be: %s", text)
		}
	}

	var framed []byte
	for rest := batch; len(rest) > 0; {
		size, k := binary.Uvarint(rest)
		m := &raftpb.Message{}
		if err := proto.Unmarshal(rest[k:k+int(size)], m); err != nil {
			t.Fatal(err)
		}
		framed = appendMessage(framed, m)
		rest = rest[k+int(size):]
	}
	if !bytes.Equal(framed, batch) {
		t.Error("the messages are framed in another way")
	}
}

// What a member sends to others goes to the paths, with the header, that members of
// older versions expect.
func TestCallsOnTheWire(t *testing.T) {
	var calls []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		calls = append(calls, fmt.Sprintf("%s %s %s %s", r.Method, r.URL, r.Header.Get("X-Council"), text))
		answer := map[string]string{"/known": `{"term":4,"index":30}`, "/v1/snapshot": "kept", "/v1/ask": `{"council":"test#0badcafe","member":1}`}[r.URL.Path]
		if answer == "" {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		if _, err := io.WriteString(w, answer); err != nil {
			t.Error(err)
		}
	}))
	defer server.Close()
	address := server.Listener.Addr().String()
	s := startEventLoop(t)
	if err := s.postMessages(t.Context(), address, logPosition{}, []byte("messages")); err != nil {
		t.Error(err)
	}
	if m, err := s.fetchAcknowledged(t.Context(), address); err != nil || m != (logPosition{Term: 4, Index: 30}) {
		t.Errorf("known: %+v, %v", m, err)
	}
	f := &Config{Name: "test", Members: []MemberAddress{{1, address}}}
	if data, err := FetchSnapshot(t.Context(), f); err != nil || string(data) != "kept" {
		t.Errorf("snapshot: %q, %v", data, err)
	}
	if name, err := findCluster(t.Context(), f, 2); err != nil || name != "test#0badcafe" {
		t.Errorf("name: %q, %v", name, err)
	}
	want := []string{
		"POST /raft test#0badcafe messages",
		"GET /known?member=2 test#0badcafe ",
		"GET /v1/snapshot test ",
		`POST /v1/ask test {"kind":"hear"}`,
	}
	if !slices.Equal(calls, want) {
		t.Errorf("found calls %q, wanted %q", calls, want)
	}
}
