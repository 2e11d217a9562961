package endpointlist

import (
	"encoding/json"
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// reference is discovery: each version of its list.
type reference struct {
	versions []map[string]string // status and start by server, of each version
	changed  []string            // the server whose change made it
}

func text(name, state string) json.RawMessage {
	status, since, _ := strings.Cut(state, " ")
	return json.RawMessage(fmt.Sprintf(`{"name":%q,"address":"10.0.0.1:80","status":%q,"since_ms":%s}`, name, status, since))
}

// answer is discovery's answer to a call with since, at a version.
func (r *reference) answer(since, version int64) []byte {
	var endpoints []string
	changed := map[string]bool{}
	for _, name := range r.changed[since+1 : version+1] {
		changed[name] = true
	}
	for name, state := range r.versions[version] {
		if left := strings.HasPrefix(state, "left"); since == 0 && !left || since > 0 && changed[name] {
			endpoints = append(endpoints, string(text(name, state)))
		}
	}
	return fmt.Appendf(nil, `{"index":%d,"snapshot":%v,"endpoints":[%s]}`, version, since == 0, strings.Join(endpoints, ","))
}

// snapshot is the state that a cache has of each server.
func snapshot(c *Cache) map[string]string {
	all := map[string]string{}
	u := c.Since(0)
	for _, e := range u.Entries {
		var v struct {
			Status string
			Since  int64 `json:"since_ms"`
		}
		json.Unmarshal(e.JSON, &v)
		all[e.Name] = fmt.Sprintf("%s %d", v.Status, v.Since)
	}
	return all
}

func withoutLeft(all map[string]string) map[string]string {
	out := maps.Clone(all)
	maps.DeleteFunc(out, func(_, state string) bool { return strings.HasPrefix(state, "left") })
	return out
}

// Updates arrive late, twice, as snapshots and as deltas, from discovery and from
// other caches: each cache equals discovery's list of its version, and its version
// never goes back.
func TestCacheEqualsDiscoverysListOfItsVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &reference{versions: []map[string]string{nil, {"s0": "active 1"}}, changed: []string{"", "s0"}}
		caches := []*Cache{NewCache("d"), NewCache("d"), NewCache("d")}
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				now := maps.Clone(r.versions[len(r.versions)-1])
				name := fmt.Sprintf("s%d", rapid.IntRange(0, 5).Draw(t, "server"))
				status := rapid.SampledFrom([]string{"active", "leaving", "left"}).Draw(t, "status")
				now[name] = fmt.Sprintf("%s %d", status, rapid.IntRange(1, 3).Draw(t, "since"))
				r.versions, r.changed = append(r.versions, now), append(r.changed, name)
			},
			"discovery": func(t *rapid.T) { // an answer of any age
				c := rapid.SampledFrom(caches).Draw(t, "cache")
				version := rapid.Int64Range(1, int64(len(r.versions)-1)).Draw(t, "version")
				since := rapid.Int64Range(0, version).Draw(t, "since")
				u, err := Decode(r.answer(since, version), "d", since)
				if err != nil {
					t.Fatal(err)
				}
				apply(t, c, u)
			},
			"relayed": func(t *rapid.T) {
				from, to := rapid.SampledFrom(caches).Draw(t, "from"), rapid.SampledFrom(caches).Draw(t, "to")
				if from.Version == 0 {
					return
				}
				since := rapid.Int64Range(0, from.Version+2).Draw(t, "since")
				u := from.Since(since)
				decoded, err := Decode(u.Encode(), "d", u.From)
				if err != nil {
					t.Fatal(err)
				}
				apply(t, to, decoded)
			},
			"of another discovery": func(t *rapid.T) {
				c := rapid.SampledFrom(caches).Draw(t, "cache")
				if _, err := c.Apply(Update{Source: "e", Version: 1 << 30}); err == nil {
					t.Fatal("applied")
				}
			},
			"": func(t *rapid.T) {
				for i, c := range caches {
					if c.Version == 0 {
						continue
					}
					if got, want := snapshot(c), withoutLeft(r.versions[c.Version]); !maps.Equal(got, want) {
						t.Fatalf("cache %d at version %d has %v, wanted %v", i, c.Version, got, want)
					}
				}
			},
		})
	})
}

func apply(t *rapid.T, c *Cache, u Update) {
	before := c.Version
	newer, err := c.Apply(u)
	if c.Version < before || newer != (c.Version > before) || err != nil && newer {
		t.Fatalf("applied version %d at %d: now %d, newer %v, %v", u.Version, before, c.Version, newer, err)
	}
	if err == ErrGap && u.From <= before && before > 0 {
		t.Fatalf("a gap from %d at %d", u.From, before)
	}
}

// A server joins and leaves between two versions, and a host at a version in between
// is updated by an owner that got the later one as a snapshot: it must not keep the
// server.
func TestSnapshotIsNoDeltaFromTheVersionBefore(t *testing.T) {
	whole := func(version int64, names ...string) Update {
		u := Update{Source: "d", Version: version}
		for _, n := range names {
			u.Entries = append(u.Entries, Entry{Name: n, Status: "active", JSON: text(n, "active 1")})
		}
		return u
	}
	owner, host := NewCache("d"), NewCache("d")
	for _, x := range []struct {
		c *Cache
		u Update
	}{{owner, whole(1, "s0")}, {owner, whole(3, "s0")}, {host, whole(2, "s0", "s3")}} {
		if _, err := x.c.Apply(x.u); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := host.Apply(owner.Since(1)); err != nil {
		t.Fatal(err)
	}
	if got := snapshot(host); host.Version != 3 || len(got) != 1 {
		t.Errorf("at version %d it has %v, wanted s0 alone", host.Version, got)
	}
}

// A server that has left returns and leaves again within one delta, which names it
// with the very text of before. A host at the version in between is sent that it left.
func TestDeltaThatRestoresAnEntryReachesTheVersionInBetween(t *testing.T) {
	update := func(from, version int64, status string) Update {
		return Update{Source: "d", From: from, Version: version, Entries: []Entry{{Name: "s", Status: status, JSON: text("s", status+" 1")}}}
	}
	sender, host := NewCache("d"), NewCache("d")
	for _, step := range []struct {
		cache  *Cache
		update Update
	}{
		{sender, update(0, 1, "active")},
		{sender, update(1, 2, "left")},
		{host, update(0, 3, "active")},
		{sender, update(2, 4, "left")},
	} {
		if _, err := step.cache.Apply(step.update); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := host.Apply(sender.Since(host.Version)); err != nil {
		t.Fatal(err)
	}
	if got := snapshot(host); host.Version != 4 || len(got) != 0 {
		t.Errorf("at version %d the host has %v, wanted version 4 and no server", host.Version, got)
	}
}

// Servers that have left are not remembered without bound; who asks for changes from
// before then gets a snapshot.
func TestDepartedServersAreForgotten(t *testing.T) {
	c := NewCache("d")
	if _, err := c.Apply(Update{Source: "d", Version: 1, Entries: []Entry{{Name: "s", Status: "active", JSON: text("s", "active 1")}}}); err != nil {
		t.Fatal(err)
	}
	for i := range MaxDeparted + 100 {
		name := fmt.Sprint("x", i)
		if _, err := c.Apply(Update{Source: "d", From: c.Version, Version: c.Version + 1, Entries: []Entry{{Name: name, Status: "left", JSON: text(name, "left 1")}}}); err != nil {
			t.Fatal(err)
		}
	}
	if len(c.entries) != MaxDeparted+1 || len(c.order) != len(c.entries) {
		t.Errorf("%d servers are remembered", len(c.entries))
	}
	if u := c.Since(50); u.From != 0 || len(u.Entries) != 1 {
		t.Errorf("changes since 50 of %d: from %d, %d servers", c.Version, u.From, len(u.Entries))
	}
	if u := c.Since(200); u.From != 200 || len(u.Entries) != int(c.Version)-200 {
		t.Errorf("changes since 200 of %d: from %d, %d servers", c.Version, u.From, len(u.Entries))
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

// A host watches discovery itself once the owner's heartbeats have timed out, which
// differs from host to host, and no more once one arrives; no cache is served for
// longer than the staleness limit.
func TestWatcher(t *testing.T) {
	settings := Settings{HeartbeatTimeout: 2 * time.Second, Jitter: 4 * time.Second, StalenessLimit: 5 * time.Second}
	started := map[time.Duration]int{}
	for i := range 300 {
		w := NewWatcher(settings, fmt.Sprint("host", i), 0)
		if w.Fresh(0) {
			t.Fatal("fresh before it received anything")
		}
		if !w.ShouldWatch(0) || w.Fallback() || w.Initialized() {
			t.Fatal("one that has just started does not watch")
		}
		w.Heartbeat(time.Second)
		at := time.Second
		for !w.ShouldWatch(at) {
			at += 10 * time.Millisecond
		}
		if at <= 3*time.Second || at > 7*time.Second+10*time.Millisecond {
			t.Fatalf("watches after %v", at)
		}
		started[at.Truncate(time.Second)]++
		if w.Fresh(6*time.Second + 1) {
			t.Fatal("fresh 5 s after the last heartbeat")
		}
		w.Answered(7 * time.Second)
		if !w.Fresh(7*time.Second) || !w.Fallback() {
			t.Fatal("answered by discovery, and not fresh or not in fallback")
		}
		w.Heartbeat(8 * time.Second)
		if w.ShouldWatch(8*time.Second) || w.ShouldWatch(10*time.Second) {
			t.Fatal("watches though it receives heartbeats")
		}
		// An owner relies on discovery's answers alone: its own heartbeats are no news.
		w.SetLeader(true, 10*time.Second)
		if !w.ShouldWatch(10*time.Second) || !w.Fresh(12*time.Second) || w.Fresh(13*time.Second+1) {
			t.Fatal("an owner relies on the one before for the staleness limit, and no longer")
		}
		w.Heartbeat(13 * time.Second) // its own, to itself
		if w.Fresh(13*time.Second + 1) {
			t.Fatal("an owner without an answer is fresh by its own heartbeat")
		}
		w.SetLeader(false, 20*time.Second)
		if w.ShouldWatch(21 * time.Second) {
			t.Fatal("watches a second after it gave the duty up")
		}
	}
	for at, n := range started {
		if n > 300/4*3/2 {
			t.Errorf("%d of 300 start in the second from %v on", n, at)
		}
	}
}

// The owner sends each host what it lacks, a few at a time, and a heartbeat to each in
// every interval; one that does not answer delays nobody else.
func TestPublisher(t *testing.T) {
	p := NewPublisher(time.Second, 4)
	p.SetHosts([]string{"a", "b", "c", "d", "e", "f"})
	first := p.Due(0, 7)
	if len(first) != 4 || len(p.Due(0, 7)) != 0 {
		t.Fatalf("sent to %v at once", first)
	}
	for name, since := range first {
		if since != 0 {
			t.Errorf("%s: changes since %d, though its version is not known", name, since)
		}
		p.Acknowledged(name, 7, 10*time.Millisecond)
	}
	second := p.Due(10*time.Millisecond, 7)
	if len(second) != 2 {
		t.Fatalf("then %v", second)
	}
	unresponsive := ""
	for name := range second {
		if unresponsive == "" {
			unresponsive = name
			continue
		}
		p.Acknowledged(name, 5, 20*time.Millisecond) // it has an older version all the same
	}
	third := p.Due(30*time.Millisecond, 7)
	if _, due := third[unresponsive]; len(third) != 1 || due {
		t.Fatalf("then %v, and %s has not answered", third, unresponsive)
	}
	for name, since := range third {
		if since != 5 {
			t.Errorf("%s has 5 and is sent the changes since %d", name, since)
		}
		p.Acknowledged(name, 7, 30*time.Millisecond)
	}
	if n := len(p.Due(900*time.Millisecond, 7)); n != 0 {
		t.Errorf("%d are sent something before the interval is over", n)
	}
	if n := len(p.Due(1100*time.Millisecond, 7)); n != 3 {
		t.Errorf("%d are sent a heartbeat after a second while one is in flight, wanted 3 of 4 slots", n)
	}
	p.SetHosts([]string{"a"})
	p.Acknowledged(unresponsive, -1, 2*time.Second)
	if len(p.subscribers) > 5 {
		t.Errorf("%d hosts are remembered", len(p.subscribers))
	}
}
