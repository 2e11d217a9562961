package client

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"otterspring/internal/keytest"
)

// The keys of questions and answers.
func TestKeysOfMessages(t *testing.T) {
	keytest.Compare(t, "testdata/keys.txt", []keytest.Marshaled{
		{Role: "what a member is asked", Encoding: "json", Value: Request{}},
		{Role: "what a member answers", Encoding: "json", Value: Response{}},
	})
}

// kindsOfFixture are the kinds of the lines of testdata/questions.jsonl.
var kindsOfFixture = []RequestKind{
	AcquireLease, ReleaseLease, WriteCheckpoint, AdvanceToken, RequestOperation, CompleteOperation, SetHostStatus, AdvertiseVersion,
	RenewLease, ReadState, WatchLeases, ReportHost, AddMember, RemoveMember, StepDown, ChangeConfiguration, WatchConfiguration, ReadConfiguration,
}

// Questions and answers of an older version are read and written as that version did:
// testdata holds its bytes.
func TestStoredMessages(t *testing.T) {
	for i, line := range fixture(t, "testdata/questions.jsonl") {
		if q := roundTrip[Request](t, line); q.Kind != kindsOfFixture[i] {
			t.Errorf("line %d: found kind %q, wanted %q", i+1, q.Kind, kindsOfFixture[i])
		}
	}
	for _, line := range fixture(t, "testdata/answers.jsonl") {
		roundTrip[Response](t, line)
	}
}

func fixture(t *testing.T, path string) []string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return strings.Split(strings.TrimSpace(string(text)), "\n")
}

func roundTrip[T any](t *testing.T, line string) T {
	t.Helper()
	decoder := json.NewDecoder(strings.NewReader(line))
	decoder.DisallowUnknownFields()
	var message T
	if err := decoder.Decode(&message); err != nil {
		t.Fatalf("%s: %v", line, err)
	}
	if written, err := json.Marshal(message); err != nil || string(written) != line {
		t.Errorf("written back as %s (%v), wanted %s", written, err, line)
	}
	return message
}

// A call goes to the path, with the header and the body, that members of older
// versions expect.
func TestCallOnTheWire(t *testing.T) {
	questions, answers := fixture(t, "testdata/questions.jsonl"), fixture(t, "testdata/answers.jsonl")
	var method, path, name, body string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		method, path, name, body = r.Method, r.URL.String(), r.Header.Get("X-Council"), string(text)
		if _, err := io.WriteString(w, answers[0]); err != nil {
			t.Error(err)
		}
	}))
	defer server.Close()
	a, err := Call(t.Context(), server.Client(), server.Listener.Addr().String(), "test#0badcafe", roundTrip[Request](t, questions[0]))
	if err != nil {
		t.Fatal(err)
	}
	if method != "POST" || path != "/v1/ask" || name != "test#0badcafe" || body != questions[0] {
		t.Errorf("found %s %s of council %q with %s, wanted POST /v1/ask of test#0badcafe with %s", method, path, name, body, questions[0])
	}
	if written, err := json.Marshal(a); err != nil || string(written) != answers[0] {
		t.Errorf("read the answer as %s (%v), wanted %s", written, err, answers[0])
	}
}
