package discovery

import (
	"strings"
	"testing"
)

// A list with one entry that can't be read is refused whole: with that entry
// left out its server would be dropped.
func TestListsAreTakenWhole(t *testing.T) {
	const good = `{"name":"a","address":"127.0.0.1:1","zone":"z","group":1,"status":"active","since_ms":0}`
	if l, err := ParseText([]byte(`{"index":3,"snapshot":true,"endpoints":[` + good + `]}`)); err != nil || len(l.Endpoints) != 1 {
		t.Fatal(l, err)
	}
	for _, bad := range []string{
		`{"name":"b","address":"127.0.0.1:2","status":"sleeping"}`, `{"address":"127.0.0.1:2","status":"active"}`,
		`{"name":"b","address":"nowhere","status":"active"}`, `{"name":"b","address":"127.0.0.1:2","status":"active","since_ms":-1}`, `7`,
	} {
		if l, err := ParseText([]byte(`{"index":3,"snapshot":true,"endpoints":[` + good + "," + bad + `]}`)); err == nil || !strings.Contains(err.Error(), "endpoint 1") {
			t.Errorf("%s: %d entries, %v", bad, len(l.Endpoints), err)
		}
	}
}
