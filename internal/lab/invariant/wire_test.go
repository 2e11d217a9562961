package invariant_test

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"
	"time"

	"otterspring/internal/keytest"
	"otterspring/internal/lab/invariant"
)

// Histories are read by later versions of the rig: their keys stay.
func TestKeysOfHistoriesStay(t *testing.T) {
	t.Parallel()
	keytest.Compare(t, "testdata/keys.txt", []keytest.Marshaled{
		{Role: "event of a history", Encoding: "json", Value: invariant.Event{}},
		{Role: "rules at the head of a history", Encoding: "json", Value: invariant.Rules{}},
	})
}

// The fixture has an event of each kind, each as a line of a history; the first line is the rules.
func TestEventsOfAnOlderVersionAreReadAndWrittenBack(t *testing.T) {
	t.Parallel()
	text, err := os.ReadFile("testdata/events.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	lines := bytes.Split(bytes.TrimSpace(text), []byte("\n"))
	if len(lines) != 16 {
		t.Fatalf("%d lines, want the rules and 15 events", len(lines))
	}
	var rules invariant.Rules
	if got := readBack(t, lines[0], &rules); !bytes.Equal(got, lines[0]) {
		t.Errorf("rules: wrote back %s, read %s", got, lines[0])
	}
	var tapped [][]byte
	log := invariant.NewWithClock(rules, func() time.Duration { return time.Second })
	log.Observe(func(event invariant.Event) {
		line, err := json.Marshal(event)
		if err != nil {
			t.Error(err)
		}
		tapped = append(tapped, line)
	})
	for _, line := range lines[1:] {
		var event invariant.Event
		if got := readBack(t, line, &event); !bytes.Equal(got, line) {
			t.Errorf("event: wrote back %s, read %s", got, line)
		}
		if err := log.Apply(event); err != nil {
			t.Errorf("%s: %v", line, err)
		}
	}
	if got, want := bytes.Join(tapped, []byte("\n")), bytes.Join(lines[1:], []byte("\n")); !bytes.Equal(got, want) {
		t.Errorf("tapped %s, want %s", got, want)
	}
}

// readBack decodes a line strictly into value and returns what value is written as.
func readBack(t *testing.T, line []byte, value any) []byte {
	t.Helper()
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		t.Fatalf("%s: %v", line, err)
	}
	got, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return got
}
