package coordination

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"testing"

	"otterspring/internal/fleet/configuration"
	"otterspring/internal/keytest"
)

// The keys of what members write to their disks and send to one another.
func TestKeysOfStoredTypes(t *testing.T) {
	keytest.Compare(t, "testdata/keys.txt", []keytest.Marshaled{
		{Role: "agreed state, in snapshots", Encoding: "json", Value: State{}},
		{Role: "agreed command, in log entries", Encoding: "json", Value: Command{}},
		{Role: "result of a command", Encoding: "json", Value: Result{}},
		{Role: "owner and epoch, as receivers keep it", Encoding: "json", Value: Holder{}},
		{Role: "change of the configuration, in a command", Encoding: "json", Value: configuration.Change{}},
	})
}

// kindsOfFixture are the kinds of the commands in testdata/commands.jsonl, line by line.
var kindsOfFixture = []CommandKind{
	AdvertiseVersion, AdvertiseVersion, AdvertiseVersion, AcquireLease, WriteCheckpoint, RequestOperation, CompleteOperation, RequestOperation, SetHostStatus, SetHostStatus, SetHostStatus, AcquireLease, ReleaseLease, AcquireLease, ExpireLease, AdvanceToken,
	ChangeConfiguration, SetTokenSpace, AcquireLease, WriteCheckpoint,
}

// Commands and the state that an older version stored are read, written and applied
// as that version did: testdata holds its bytes.
func TestStoredCommandsAndState(t *testing.T) {
	text, err := os.ReadFile("testdata/commands.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	if len(lines) != len(kindsOfFixture) {
		t.Fatalf("found %d commands, wanted %d", len(lines), len(kindsOfFixture))
	}
	state := NewState("test#0badcafe")
	for i, address := range []string{"127.0.0.1:7001", "127.0.0.1:7002", "127.0.0.1:7003"} {
		state.Members[uint64(i+1)] = address
	}
	for i, line := range lines {
		decoder := json.NewDecoder(strings.NewReader(line))
		decoder.DisallowUnknownFields()
		var c Command
		if err := decoder.Decode(&c); err != nil {
			t.Fatalf("line %d: %v", i+1, err)
		}
		if c.Kind != kindsOfFixture[i] {
			t.Errorf("line %d: found kind %q, wanted %q", i+1, c.Kind, kindsOfFixture[i])
		}
		written, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		if string(written) != line {
			t.Errorf("line %d: written back as %s, wanted %s", i+1, written, line)
		}
		if r := state.Apply(c); r.Rejection != "" {
			t.Errorf("line %d: %s", i+1, r.Rejection)
		}
	}
	want, err := os.ReadFile("testdata/state.sealed")
	if err != nil {
		t.Fatal(err)
	}
	if got, err := EncodeSnapshot(state); err != nil || !bytes.Equal(got, want) {
		t.Errorf("the commands lead to %s (%v), wanted %s", got, err, want)
	}
	stored, err := DecodeSnapshot(want)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := EncodeSnapshot(stored); err != nil || !bytes.Equal(got, want) {
		t.Errorf("written back as %s (%v), wanted %s", got, err, want)
	}
}
