package configuration

import (
	"encoding/json"
	"errors"
	"testing"
)

// FuzzPollAnswer: what a relay may answer is taken whole or not at all, and comes
// out of a second writing as it came out of the first.
func FuzzPollAnswer(f *testing.F) {
	for _, seed := range []string{
		`{}`, `{"region":"r","age_ms":7,"update":{"from":0,"version":4294967297,"resources":[{"service":"a","version":4294967297,"settings":{}}]}}`,
		`{"refusal":"busy","retry_ms":-9223372036854775808}`, `{"age_ms":-1,"update":{"from":5,"version":3}}`,
		`{"update":{"from":0,"version":1,"resources":[{"service":"a","version":9,"settings":null}]}}`, `{"update":{"version":1,"resources":[null]}}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var answer, again PollResponse
		if json.Unmarshal(text, &answer) != nil {
			return
		}
		if answer.Age() < 0 || answer.Age() > maxAge {
			t.Fatalf("found age %v", answer.Age())
		}
		first := mustMarshal(t, answer)
		if err := json.Unmarshal(first, &again); err != nil {
			t.Fatal(err)
		}
		if second := mustMarshal(t, again); string(first) != string(second) {
			t.Fatalf("found %s, wanted %s", second, first)
		}
		takeAnswer(t, &answer)
	})
}

// takeAnswer holds a cache's invariants against any update.
func takeAnswer(t *testing.T, answer *PollResponse) {
	cache := Cache{}
	held := Update{Version: NewVersion(1, 2), Resources: []Resource{{Service: "a", Version: NewVersion(1, 2)}}}
	if _, err := cache.Apply(held); err != nil {
		t.Fatal(err)
	}
	if answer.Update == nil {
		return
	}
	before := cache.Version()
	_, err := cache.Apply(*answer.Update)
	var older *StaleUpdateError
	if cache.Version() < before || errors.As(err, &older) && cache.Version() != before {
		t.Fatalf("found version %v after %v", cache.Version(), before)
	}
	for service, resource := range cache.resources {
		if resource.Version > cache.Version() || resource.Service != service || resource.Version == 0 {
			t.Fatalf("found %q with %+v at version %v", service, resource, cache.Version())
		}
	}
}

// FuzzPoll: a poll that passes its check stays within all bounds and comes out of a
// second writing as it came out of the first.
func FuzzPoll(f *testing.F) {
	for _, seed := range []string{
		`{}`, `{"region":"r","subscriber":"s","services":["a","b"],"version":4294967297,"wait_ms":1500}`,
		`{"subscriber":"s","services":[],"rejected":[{"service":"a","version":1,"reason":"x\ny"}],"wait_ms":9223372036854775807}`,
		`{"subscriber":"s","services":null,"version":18446744073709551615,"wait_ms":-1}`, "{\"subscriber\":\"\xaf\"}",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var poll, again Poll
		if json.Unmarshal(text, &poll) != nil {
			return
		}
		if wait := poll.Wait(); wait < 0 || wait > MaxWait {
			t.Fatalf("found wait %v", wait)
		}
		if err := poll.Validate(); err != nil {
			if !isLine(err.Error()) {
				t.Fatalf("found %q, wanted one line", err)
			}
			return
		}
		first := mustMarshal(t, poll)
		if err := json.Unmarshal(first, &again); err != nil {
			t.Fatal(err)
		}
		if second := mustMarshal(t, again); string(first) != string(second) || (poll.Services == nil) != (again.Services == nil) {
			t.Fatalf("found %s, wanted %s", second, first)
		}
	})
}
