package relay

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"otterspring/internal/fleet/configuration"
)

const (
	settingsA = `{"tenants":[{"name":"a","quota-per-s":10}]}`
	settingsB = `{"tenants":[{"name":"a","quota-per-s":20}]}`
)

func TestBadFiles(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "relay.toml")
	const good = "region = \"west\"\nzone = \"west-1\"\nname = \"r1\"\nlisten = \"127.0.0.1:7000\"\nmembers = [\"127.0.0.1:7001\", \"127.0.0.1:7002\"]\n"
	without := func(key string) string {
		var kept []string
		for _, line := range strings.Split(good, "\n") {
			if !strings.HasPrefix(line, key+" ") {
				kept = append(kept, line)
			}
		}
		return strings.Join(kept, "\n")
	}
	for _, c := range []struct{ text, want string }{
		{without("region"), "found no region, wanted it given"},
		{without("members"), "found no members, wanted it given"},
		{without("members") + "members = []", "members: found"},
		{without("zone") + "zone = \"a b\"", ":5: zone: found \"a b\", wanted 1 to 64 printable bytes"},
		{without("listen") + "listen = \"here\"", ":5: listen: found \"here\", wanted an IP address and a port"},
		{without("listen") + "listen = \"127.0.0.1:0\"", ":5: listen: found \"127.0.0.1:0\""},
		{without("listen") + "listen = \"127.0.0.1:7002\"", ":4: members: found 127.0.0.1:7002 twice"},
		{good + "connections = 0", ":6: connections: found 0, wanted 1 to 16384"},
		{good + "snapshots_at_once = 9999", ":6: snapshots_at_once: found 9999, wanted 1 to 1024"},
		{good + "drain = 2", ":6: drain: found 2, wanted a duration"},
		{good + "drain = \"2h\"", ":6: drain: found \"2h\", wanted 0s to 1m"},
		{good + "directory = \"d\"", ":6: directory: found a key that is not known"},
	} {
		os.WriteFile(path, []byte(c.text), 0o600)
		_, err := LoadFile(path)
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: found %v, wanted %s", c.text, err, c.want)
		}
	}
	os.WriteFile(path, []byte(good), 0o600)
	file, err := LoadFile(path)
	if err != nil || file.Connections != defaultConnections || file.Drain != 2*time.Second {
		t.Errorf("%+v: %v", file, err)
	}
}

// A subscriber holds nothing, takes the snapshot, and then what it subscribes to and
// no more.
func TestSnapshotThenDeltas(t *testing.T) {
	t.Parallel()
	council := newStandIn(t, "west#1")
	first := council.put(t, settingsA, "a", "b", "c")
	r := start(t, testFile(council.address()))
	r.holds(first)
	services := configuration.Subscription{"a", "b"}
	answer := poll(t, r.Address(), configuration.Poll{Services: services})
	if answer.Update == nil || !answer.Update.Snapshot() || len(answer.Update.Resources) != 2 || answer.Update.Version != first {
		t.Fatalf("the first answer: %+v", answer)
	}
	if answer = poll(t, r.Address(), configuration.Poll{Services: services, Version: first}); answer.Update == nil || answer.Update.From != first || len(answer.Update.Resources) != 0 {
		t.Errorf("the answer without news: %+v", answer)
	}
	second := council.put(t, settingsB, "c")
	r.holds(second)
	// What is not subscribed to is no news, and the version goes on with it.
	if answer = poll(t, r.Address(), configuration.Poll{Services: services, Version: first, WaitMS: 50}); answer.Update == nil || answer.Update.Version != second || len(answer.Update.Resources) != 0 {
		t.Errorf("the answer after a foreign change: %+v", answer)
	}
	answers := make(chan configuration.PollAnswer, 1)
	go func() {
		answers <- poll(t, r.Address(), configuration.Poll{Services: services, Version: second, WaitMS: 5000})
	}()
	await(t, "a poll that waits", func() bool { return r.counts.read().Polls == 4 })
	council.put(t, settingsB, "c")
	third := council.put(t, settingsB, "a")
	if answer = <-answers; answer.Update == nil || answer.Update.Version != third || len(answer.Update.Resources) != 1 || string(answer.Update.Resources[0].Settings) != settingsB {
		t.Errorf("the answer to the poll that waited: %+v", answer)
	}
	if counts := r.counts.read(); counts.Snapshots != 1 || counts.Deltas != 1 || counts.Empty != 2 {
		t.Errorf("counts %+v", counts)
	}
}

func TestRefusals(t *testing.T) {
	t.Parallel()
	council := newStandIn(t, "west#1")
	council.set(func(s *standIn) { s.leaderless = true })
	r := start(t, testFile(council.address()))
	if answer := poll(t, r.Address(), configuration.Poll{WaitMS: 5000}); answer.Refusal != configuration.RefusalNotReady {
		t.Errorf("a relay that has heard nothing: %+v", answer)
	}
	await(t, "a line for a council without a leader", func() bool { return strings.Contains(r.log.String(), "found no member of council") })
	council.set(func(s *standIn) { s.leaderless = false })
	r.holds(0)
	// A council without any service: there is nothing to take, and nothing to wait for in a loop.
	if answer := poll(t, r.Address(), configuration.Poll{WaitMS: 20}); answer.Update == nil || answer.Update.Version != 0 {
		t.Errorf("an empty council: %+v", answer)
	}
	version := council.put(t, settingsA, "a")
	r.holds(version)
	if answer := poll(t, r.Address(), configuration.Poll{Version: version + 1}); answer.Refusal != configuration.RefusalBehind {
		t.Errorf("a subscriber that is ahead: %+v", answer)
	}
	if answer := poll(t, r.Address(), configuration.Poll{Region: "east"}); answer.Refusal != configuration.RefusalRegion || answer.Region != "west" || answer.Reason == "" {
		t.Errorf("another region's subscriber: %+v", answer)
	}
	for text, want := range map[string]string{
		"":                                "poll: EOF",
		"{}{}":                            "found something behind its end",
		`{"region":"west"}`:               "subscriber: found \"\"",
		`{"region":"west","version":"1"}`: "cannot unmarshal",
		`{"region":"west","subscriber":"s","wait_ms":-1}`:       "wait_ms: found -1",
		`{"region":"west","subscriber":"s","more":1}`:           `unknown field "more"`,
		`{"region":"` + strings.Repeat("w", 64<<10) + `"}`:      "wanted 65536 at most",
		`{"region":"west","subscriber":"s","services":["a b"]}`: "services[0]",
	} {
		status, answer := post(t, r.Address(), text)
		if status != 400 || answer.Refusal != configuration.RefusalInvalid || !strings.Contains(answer.Reason, want) {
			t.Errorf("%.60s: %d %+v, wanted %s", text, status, answer, want)
		}
	}
}

// A subscriber that is ahead for a moment only is not sent away.
func TestCatchesUp(t *testing.T) {
	t.Parallel()
	council := newStandIn(t, "west#1")
	r := start(t, testFile(council.address()))
	version := council.put(t, settingsA, "a")
	r.holds(version)
	answers := make(chan configuration.PollAnswer, 1)
	go func() { answers <- poll(t, r.Address(), configuration.Poll{Version: version + 1}) }()
	await(t, "the poll", func() bool { return r.counts.read().Polls == 1 })
	council.put(t, settingsB, "a")
	if answer := <-answers; answer.Update == nil || answer.Update.Version != version+1 {
		t.Errorf("found %+v, wanted an update without news", answer)
	}
}

// Of members that fall silent, have no leader or are away the next one is asked.
func TestAnyMemberAnswers(t *testing.T) {
	t.Parallel()
	silent, leaderless, good := newStandIn(t, "west#1"), newStandIn(t, "west#1"), newStandIn(t, "west#1")
	silent.set(func(s *standIn) { s.silent = true })
	leaderless.set(func(s *standIn) { s.leaderless = true })
	version := good.put(t, settingsA, "a")
	r := start(t, testFile(silent.address(), leaderless.address(), freeAddress(t), good.address()))
	r.holds(version)
	// The one that is followed falls silent, and another has what is newer.
	good.set(func(s *standIn) { s.silent = true })
	leaderless.put(t, settingsA, "a")
	newest := leaderless.put(t, settingsB, "a")
	leaderless.set(func(s *standIn) { s.leaderless = false })
	r.holds(newest)
	// A member that is behind is not gone by, and does not make the age less.
	leaderless.set(func(s *standIn) { s.silent = true })
	good.set(func(s *standIn) { s.silent = false })
	await(t, "an age that grows", func() bool { return r.feed.age(bootTime()) > 2*time.Second })
	if held, _ := r.feed.version(); held != newest {
		t.Errorf("found version %v, wanted %v", held, newest)
	}
}

// Another council's members: an end with one line at the start, and later a line.
func TestForeignCouncil(t *testing.T) {
	t.Parallel()
	foreign := newStandIn(t, "east#1")
	r := start(t, testFile(foreign.address()))
	err := r.ended()
	var wrong *ForeignError
	if !errors.As(err, &wrong) || strings.Contains(err.Error(), "\n") || !strings.Contains(err.Error(), `relay.toml: members: `+foreign.address()+`: found council "east", wanted "west"`) {
		t.Errorf("found %v", err)
	}
	council := newStandIn(t, "west#1")
	version := council.put(t, settingsA, "a")
	r = start(t, testFile(council.address()))
	r.holds(version)
	council.set(func(s *standIn) { s.name = "east#1" })
	await(t, "a line", func() bool { return strings.Contains(r.log.String(), `found council \"east\", wanted \"west\"`) })
	// Another one of the same name, which has given out versions of its own.
	council.set(func(s *standIn) { s.name = "west#2" })
	council.put(t, settingsB, "a")
	await(t, "a line", func() bool { return strings.Contains(r.log.String(), `found council \"west#2\"`) })
	if answer := poll(t, r.Address(), configuration.Poll{}); answer.Update == nil || answer.Update.Version != version {
		t.Errorf("found %+v, wanted the version of before", answer)
	}
	// The council of before, restored: its space is newer.
	council.set(func(s *standIn) { s.store.BeginSpace(2); s.name = "west#00000002" })
	r.holds(configuration.NewVersion(2, 2))
}

func TestTwoRelaysWithOneAddress(t *testing.T) {
	t.Parallel()
	council := newStandIn(t, "west#1")
	r := start(t, testFile(council.address()))
	file := testFile(council.address())
	file.Listen = r.Address()
	if _, err := Open(file, r.Relay.log); err == nil || strings.Contains(err.Error(), "\n") || !strings.Contains(err.Error(), "address already in use") {
		t.Errorf("found %v", err)
	}
}

// The drain answers polls that wait within its spread, and later ones at once.
func TestDrain(t *testing.T) {
	t.Parallel()
	council := newStandIn(t, "west#1")
	version := council.put(t, settingsA, "a")
	file := testFile(council.address())
	file.Drain = 300 * time.Millisecond
	r := start(t, file)
	r.holds(version)
	const polls = 20
	answers := make(chan configuration.PollAnswer, polls)
	for i := range polls {
		go func() {
			answers <- poll(t, r.Address(), configuration.Poll{Subscriber: fmt.Sprint("s", i), Version: version, WaitMS: 5000})
		}()
	}
	await(t, "polls that wait", func() bool { return r.counts.read().Polls == polls })
	r.stop()
	await(t, "the drain", r.isDraining)
	if answer := poll(t, r.Address(), configuration.Poll{Subscriber: "late", Version: version, WaitMS: 5000}); answer.Refusal != configuration.RefusalDraining {
		t.Errorf("a poll in the drain: %+v", answer)
	}
	if counts := r.counts.read(); counts.Drained == polls+1 {
		t.Error("all polls were answered at once, wanted a spread")
	}
	for range polls {
		if answer := <-answers; answer.Refusal != configuration.RefusalDraining {
			t.Errorf("a poll that waited: %+v", answer)
		}
	}
	if err := r.ended(); err != nil {
		t.Error(err)
	}
}
