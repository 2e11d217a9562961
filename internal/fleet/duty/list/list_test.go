package list

import (
	"encoding/json"
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// truth is discovery: what each version of its list was.
type truth struct {
	at      []map[string]string // status and start by server, of each version
	changed []string            // which server's change made it
}

func text(name, what string) json.RawMessage {
	status, since, _ := strings.Cut(what, " ")
	return json.RawMessage(fmt.Sprintf(`{"name":%q,"address":"10.0.0.1:80","status":%q,"since_ms":%s}`, name, status, since))
}

// tell is discovery's answer to since, at a version.
func (tr *truth) tell(since, index int64) []byte {
	var ends []string
	changed := map[string]bool{}
	for _, name := range tr.changed[since+1 : index+1] {
		changed[name] = true
	}
	for name, what := range tr.at[index] {
		if gone := strings.HasPrefix(what, "left"); since == 0 && !gone || since > 0 && changed[name] {
			ends = append(ends, string(text(name, what)))
		}
	}
	return fmt.Appendf(nil, `{"index":%d,"snapshot":%v,"endpoints":[%s]}`, index, since == 0, strings.Join(ends, ","))
}

// is tells what a holder believes of each server that is there.
func is(h *Held) map[string]string {
	all := map[string]string{}
	u := h.Since(0)
	for _, e := range u.Entries {
		var v struct {
			Status string
			Since  int64 `json:"since_ms"`
		}
		json.Unmarshal(e.Text, &v)
		all[e.Name] = fmt.Sprintf("%s %d", v.Status, v.Since)
	}
	return all
}

func there(all map[string]string) map[string]string {
	out := maps.Clone(all)
	maps.DeleteFunc(out, func(_, what string) bool { return strings.HasPrefix(what, "left") })
	return out
}

// Whatever comes, late, twice, whole or as changes, from discovery or from another
// holder: what is held is discovery's list of just that version, and the version
// never goes back.
func TestHeldIsDiscoverysListOfItsVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := &truth{at: []map[string]string{nil, {"s0": "active 1"}}, changed: []string{"", "s0"}}
		holders := []*Held{NewHeld("d"), NewHeld("d"), NewHeld("d")}
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				now := maps.Clone(tr.at[len(tr.at)-1])
				name := fmt.Sprintf("s%d", rapid.IntRange(0, 5).Draw(t, "server"))
				status := rapid.SampledFrom([]string{"active", "leaving", "left"}).Draw(t, "status")
				now[name] = fmt.Sprintf("%s %d", status, rapid.IntRange(1, 3).Draw(t, "since"))
				tr.at, tr.changed = append(tr.at, now), append(tr.changed, name)
			},
			"discovery": func(t *rapid.T) { // an answer of any age
				h := rapid.SampledFrom(holders).Draw(t, "holder")
				index := rapid.Int64Range(1, int64(len(tr.at)-1)).Draw(t, "index")
				since := rapid.Int64Range(0, index).Draw(t, "since")
				u, err := Decode(tr.tell(since, index), "d", since)
				if err != nil {
					t.Fatal(err)
				}
				take(t, h, u)
			},
			"handed on": func(t *rapid.T) {
				from, to := rapid.SampledFrom(holders).Draw(t, "from"), rapid.SampledFrom(holders).Draw(t, "to")
				if from.Index == 0 {
					return
				}
				since := rapid.Int64Range(0, from.Index+2).Draw(t, "since")
				u := from.Since(since)
				again, err := Decode(u.Text(), "d", u.From)
				if err != nil {
					t.Fatal(err)
				}
				take(t, to, again)
			},
			"of another discovery": func(t *rapid.T) {
				h := rapid.SampledFrom(holders).Draw(t, "holder")
				if _, err := h.Take(Update{Source: "e", Index: 1 << 30}); err == nil {
					t.Fatal("taken")
				}
			},
			"": func(t *rapid.T) {
				for i, h := range holders {
					if h.Index == 0 {
						continue
					}
					if got, want := is(h), there(tr.at[h.Index]); !maps.Equal(got, want) {
						t.Fatalf("holder %d at version %d has %v, wanted %v", i, h.Index, got, want)
					}
				}
			},
		})
	})
}

func take(t *rapid.T, h *Held, u Update) {
	before := h.Index
	newer, err := h.Take(u)
	if h.Index < before || newer != (h.Index > before) || err != nil && newer {
		t.Fatalf("took version %d at %d: holds %d, newer %v, %v", u.Index, before, h.Index, newer, err)
	}
	if err == ErrGap && u.From <= before && before > 0 {
		t.Fatalf("a gap from %d at %d", u.From, before)
	}
}

// A server comes and goes between two versions, and the holder of a version from
// between is told by one that got the later one as a whole list: it must not keep it.
func TestWholeListIsNoChangeSinceTheVersionBefore(t *testing.T) {
	whole := func(index int64, names ...string) Update {
		u := Update{Source: "d", Index: index}
		for _, n := range names {
			u.Entries = append(u.Entries, Entry{Name: n, Status: "active", Text: text(n, "active 1")})
		}
		return u
	}
	owner, host := NewHeld("d"), NewHeld("d")
	for _, x := range []struct {
		h *Held
		u Update
	}{{owner, whole(1, "s0")}, {owner, whole(3, "s0")}, {host, whole(2, "s0", "s3")}} {
		if _, err := x.h.Take(x.u); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := host.Take(owner.Since(1)); err != nil {
		t.Fatal(err)
	}
	if got := is(host); host.Index != 3 || len(got) != 1 {
		t.Errorf("at version %d it holds %v, wanted s0 alone", host.Index, got)
	}
}

// Servers that are gone are not remembered without bound; who asks for changes from
// before gets the whole list.
func TestGoneServersAreForgotten(t *testing.T) {
	h := NewHeld("d")
	if _, err := h.Take(Update{Source: "d", Index: 1, Entries: []Entry{{Name: "s", Status: "active", Text: text("s", "active 1")}}}); err != nil {
		t.Fatal(err)
	}
	for i := range MostLeft + 100 {
		name := fmt.Sprint("x", i)
		if _, err := h.Take(Update{Source: "d", From: h.Index, Index: h.Index + 1, Entries: []Entry{{Name: name, Status: "left", Text: text(name, "left 1")}}}); err != nil {
			t.Fatal(err)
		}
	}
	if len(h.entries) != MostLeft+1 || len(h.order) != len(h.entries) {
		t.Errorf("%d servers are remembered", len(h.entries))
	}
	if u := h.Since(50); u.From != 0 || len(u.Entries) != 1 {
		t.Errorf("changes since 50 of %d: from %d, %d servers", h.Index, u.From, len(u.Entries))
	}
	if u := h.Since(200); u.From != 200 || len(u.Entries) != int(h.Index)-200 {
		t.Errorf("changes since 200 of %d: from %d, %d servers", h.Index, u.From, len(u.Entries))
	}
}

func TestBadLists(t *testing.T) {
	for in, want := range map[string]string{
		`{`:                          "list:",
		`{"index":1,"endpoints":[]}`: "wanted index, snapshot",
		`{"index":-1,"snapshot":true,"endpoints":[]}`:                                     "wanted index, snapshot",
		`{"index":1,"snapshot":true,"endpoints":[{"name":"s","status":"gone"}]}`:          "endpoint 0",
		`{"index":1,"snapshot":true,"endpoints":[{"status":"active"}]}`:                   "endpoint 0",
		`{"index":1,"snapshot":false,"endpoints":[{"name":"s","status":"active"}]}`:       "wanted the whole list",
		`{"index":"1","snapshot":true,"endpoints":[{"name":"s","status":"active"}]}`:      "list:",
		`{"index":1,"snapshot":true,"endpoints":{"name":"s","status":"active"},"x":null}`: "list:",
	} {
		if _, err := Decode([]byte(in), "d", 0); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got %v, wanted %q", in, err, want)
		}
	}
}

// A host asks by itself once its owner was silent for its own time, which differs
// from host to host, and no more once it hears of one; nobody goes by what is old.
func TestWhoAsks(t *testing.T) {
	set := Settings{Silent: 2 * time.Second, Spread: 4 * time.Second, Stale: 5 * time.Second}
	began := map[time.Duration]int{}
	for i := range 300 {
		f := NewFollow(set, fmt.Sprint("host", i), 0)
		if f.Fresh(0) {
			t.Fatal("fresh before it heard anything")
		}
		if !f.Asks(0) || f.Alone() || f.Knows() {
			t.Fatal("one that has just started does not ask")
		}
		f.Heard(time.Second)
		at := time.Second
		for !f.Asks(at) {
			at += 10 * time.Millisecond
		}
		if at <= 3*time.Second || at > 7*time.Second+10*time.Millisecond {
			t.Fatalf("asks after %v", at)
		}
		began[at.Truncate(time.Second)]++
		if f.Fresh(6*time.Second + 1) {
			t.Fatal("fresh 5 s after the last word")
		}
		f.Told(7 * time.Second)
		if !f.Fresh(7*time.Second) || !f.Alone() {
			t.Fatal("told by discovery, and not fresh or not alone")
		}
		f.Heard(8 * time.Second)
		if f.Asks(8*time.Second) || f.Asks(10*time.Second) {
			t.Fatal("asks though it hears of an owner")
		}
		// An owner goes by discovery's word alone: its own silence is no news.
		f.Own(true, 10*time.Second)
		if !f.Asks(10*time.Second) || !f.Fresh(12*time.Second) || f.Fresh(13*time.Second+1) {
			t.Fatal("an owner goes by the one before for its time, and no longer")
		}
		f.Heard(13 * time.Second) // its own word to itself
		if f.Fresh(13*time.Second + 1) {
			t.Fatal("an owner that was told nothing is fresh by its own word")
		}
		f.Own(false, 20*time.Second)
		if f.Asks(21 * time.Second) {
			t.Fatal("asks a second after it gave the duty back")
		}
	}
	for at, n := range began {
		if n > 300/4*3/2 {
			t.Errorf("%d of 300 begin in the second from %v on", n, at)
		}
	}
}

// The owner tells each host what it lacks, a few at a time, and all of them once in
// a while; one that does not answer holds nobody else up.
func TestTelling(t *testing.T) {
	tell := NewTelling(time.Second, 4)
	names := []string{"a", "b", "c", "d", "e", "f"}
	tell.Hosts(names)
	first := tell.Next(0, 7)
	if len(first) != 4 || len(tell.Next(0, 7)) != 0 {
		t.Fatalf("told %v at once", first)
	}
	for name, since := range first {
		if since != 0 {
			t.Errorf("%s: changes since %d, of which nobody knows", name, since)
		}
		tell.Done(name, 7, 10*time.Millisecond)
	}
	second := tell.Next(10*time.Millisecond, 7)
	if len(second) != 2 {
		t.Fatalf("then %v", second)
	}
	silent := ""
	for name := range second {
		if silent == "" {
			silent = name
			continue
		}
		tell.Done(name, 5, 20*time.Millisecond) // it has an older one all the same
	}
	third := tell.Next(30*time.Millisecond, 7)
	if _, is := third[silent]; len(third) != 1 || is {
		t.Fatalf("then %v, and %s has not answered", third, silent)
	}
	for name, since := range third {
		if since != 5 {
			t.Errorf("%s has 5 and is told since %d", name, since)
		}
		tell.Done(name, 7, 30*time.Millisecond)
	}
	if n := len(tell.Next(900*time.Millisecond, 7)); n != 0 {
		t.Errorf("%d are told before their time", n)
	}
	if n := len(tell.Next(1100*time.Millisecond, 7)); n != 3 {
		t.Errorf("%d are told after a second while one is out, wanted 3 of 4 slots", n)
	}
	tell.Hosts([]string{"a"})
	tell.Done(silent, -1, 2*time.Second)
	if len(tell.by) > 5 {
		t.Errorf("%d hosts are remembered", len(tell.by))
	}
}
