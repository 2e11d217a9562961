package everywhere

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"otterspring/internal/keytest"
)

var updateFixtures = flag.Bool("update-fixtures", false, "write the fixtures anew instead of comparing them")

func TestKeys(t *testing.T) {
	keytest.Compare(t, "testdata/keys.txt", []keytest.Marshaled{
		{Role: "request for a rolling restart of the fleet", Encoding: "json", Value: Order{}},
		{Role: "checkpoint of a rolling restart", Encoding: "json", Value: Note{}},
		{Role: "status of a host", Encoding: "json", Value: Host{}},
	})
}

// The fixtures were encoded by the version before the renaming: each is read without
// an unknown key, and written back byte for byte.
func TestFixturesAreWrittenBack(t *testing.T) {
	for file, value := range map[string]any{
		"request.json":          &Order{Program: "/opt/new", AtOnce: 3, ZoneOnce: 1, Reload: true, Operators: "ann"},
		"request-least.json":    &Order{},
		"checkpoint.json":       &Note{Order: "r0badcafe", Done: 7, Of: 20, Wait: "host h2 is not reached", Back: true, Before: map[string]string{"h1": "/opt/old", "h2": "/opt/older"}},
		"checkpoint-least.json": &Note{},
		"host.json": &Host{Name: "h1", Zone: "z1", Program: "/opt/old", Rolling: "restart: 1 done", Instances: []Instance{
			{Name: "n1", Up: true, Order: "r0badcafe", Failed: "r00000001"}, {Name: "n2"}}, Reached: true},
		"host-least.json": &Host{},
	} {
		path := filepath.Join("testdata", file)
		if *updateFixtures {
			text, err := json.Marshal(value)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, text, 0o644); err != nil {
				t.Fatal(err)
			}
		}
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := json.Marshal(value); err != nil || !bytes.Equal(got, text) {
			t.Errorf("%s: the value is written as %s (%v), wanted %s", file, got, err, text)
		}
		read := value
		switch value.(type) {
		case *Order:
			read = &Order{}
		case *Note:
			read = &Note{}
		case *Host:
			read = &Host{}
		}
		decoder := json.NewDecoder(bytes.NewReader(text))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(read); err != nil {
			t.Fatalf("%s: %v", file, err)
		}
		if got, err := json.Marshal(read); err != nil || !bytes.Equal(got, text) {
			t.Errorf("%s: written back as %s (%v), wanted %s", file, got, err, text)
		}
	}
}
