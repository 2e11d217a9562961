package relay

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"otterspring/internal/bootclock"
	"otterspring/internal/fleet/configuration"
	"otterspring/internal/logs"
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
	if answer.Update == nil || !answer.Update.IsSnapshot() || len(answer.Update.Resources) != 2 || answer.Update.Version != first {
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
	answers := make(chan configuration.PollResponse, 1)
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
	if answer := poll(t, r.Address(), configuration.Poll{WaitMS: 5000}); answer.ErrorCode != configuration.CodeNotReady {
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
	if answer := poll(t, r.Address(), configuration.Poll{Version: version + 1}); answer.ErrorCode != configuration.CodeBehind {
		t.Errorf("a subscriber that is ahead: %+v", answer)
	}
	if answer := poll(t, r.Address(), configuration.Poll{Region: "east"}); answer.ErrorCode != configuration.CodeWrongRegion || answer.Region != "west" || answer.Reason == "" {
		t.Errorf("another region's subscriber: %+v", answer)
	}
	for text, want := range map[string]string{
		"":                                "poll: EOF",
		"{}{}":                            "found something behind its end",
		`{"region":"west"}`:               "subscriber: found \"\"",
		`{"region":"west","version":"1"}`: "cannot unmarshal",
		`{"region":"west","subscriber":"s","wait_ms":-1}`:                      "wait_ms: found -1",
		`{"region":"west","subscriber":"s","services":[],"services_digest":1}`: "services_digest: found it together with services",
		`{"region":"` + strings.Repeat("w", 64<<10) + `"}`:                     "wanted 65536 at most",
		`{"region":"west","subscriber":"s","services":["a b"]}`:                "services[0]",
	} {
		status, answer := post(t, r.Address(), text)
		if status != 400 || answer.ErrorCode != configuration.CodeInvalid || !strings.Contains(answer.Reason, want) {
			t.Errorf("%.60s: %d %+v, wanted %s", text, status, answer, want)
		}
	}
}

// A newer sidecar's poll, which says something that this relay does not know, is
// answered all the same: relays and sidecars are rolled one after the other.
func TestPollOfNewerSidecar(t *testing.T) {
	t.Parallel()
	council := newStandIn(t, "west#1")
	r := start(t, testFile(council.address()))
	r.holds(council.put(t, settingsA, "a"))
	status, answer := post(t, r.Address(), `{"region":"west","subscriber":"s","more":1}`)
	if status != http.StatusOK || answer.Update == nil || len(answer.Update.Resources) != 1 {
		t.Errorf("found %d %+v, wanted the one resource", status, answer)
	}
}

// A digest stands for the services that the subscriber has named to this relay, and
// for nothing else.
func TestDigestStandsForServices(t *testing.T) {
	t.Parallel()
	council := newStandIn(t, "west#1")
	r := start(t, testFile(council.address()))
	r.holds(council.put(t, settingsA, "a", "b"))
	services := configuration.Subscription{"b"}
	byDigest := configuration.Poll{Subscriber: "s", ServicesDigest: services.Digest()}
	if answer := poll(t, r.Address(), byDigest); answer.ErrorCode != configuration.CodeUnknownServices {
		t.Errorf("before the services were named: %+v", answer)
	}
	poll(t, r.Address(), configuration.Poll{Subscriber: "s", Services: services})
	answer := poll(t, r.Address(), byDigest)
	if answer.Update == nil || len(answer.Update.Resources) != 1 || answer.Update.Resources[0].Service != "b" {
		t.Errorf("after the services were named: %+v", answer)
	}
	poll(t, r.Address(), configuration.Poll{Subscriber: "s", Services: configuration.Subscription{"a"}})
	if answer := poll(t, r.Address(), byDigest); answer.ErrorCode != configuration.CodeUnknownServices {
		t.Errorf("after other services were named: %+v", answer)
	}
}

// A subscriber that is ahead for a moment only is not sent away.
func TestCatchesUp(t *testing.T) {
	t.Parallel()
	council := newStandIn(t, "west#1")
	r := start(t, testFile(council.address()))
	version := council.put(t, settingsA, "a")
	r.holds(version)
	answers := make(chan configuration.PollResponse, 1)
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
	await(t, "an age that grows", func() bool { _, heard := r.feed.state(); return heard.age(bootclock.Now()) > 2*time.Second })
	if held, _ := r.feed.state(); held != newest {
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
	await(t, "a line", func() bool { return warns(r, `found council \"east\", wanted \"west\"`) })
	// Another one of the same name, which has given out versions of its own.
	council.set(func(s *standIn) { s.name = "west#2" })
	council.put(t, settingsB, "a")
	await(t, "a line", func() bool { return warns(r, `found council \"west#2\", wanted \"west#1\"`) })
	if answer := poll(t, r.Address(), configuration.Poll{}); answer.Update == nil || answer.Update.Version != version {
		t.Errorf("found %+v, wanted the version of before", answer)
	}
	// The council of before, restored: its space is newer.
	council.set(func(s *standIn) { s.store.StartTokenSpace(2); s.name = "west#00000002" })
	r.holds(configuration.NewVersion(2, 2))
}

// warns tells whether a relay has said something in a warning of its own, not among
// what it says of all members.
func warns(r *running, text string) bool {
	for _, line := range strings.Split(r.log.String(), "\n") {
		if strings.Contains(line, "level=WARN") && strings.Contains(line, text) && !strings.Contains(line, "found no member") {
			return true
		}
	}
	return false
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
	r := start(t, testFile(council.address()))
	r.holds(version)
	const polls = 20
	answers := make(chan configuration.PollResponse, polls)
	for i := range polls {
		go func() {
			answers <- poll(t, r.Address(), configuration.Poll{Subscriber: fmt.Sprint("s", i), Version: version, WaitMS: 5000})
		}()
	}
	await(t, "polls that wait", func() bool { return r.counts.read().Polls == polls })
	r.stop()
	await(t, "the drain", r.isDraining)
	if answer := poll(t, r.Address(), configuration.Poll{Subscriber: "late", Version: version, WaitMS: 5000}); answer.ErrorCode != configuration.CodeDraining {
		t.Errorf("a poll in the drain: %+v", answer)
	}
	for range polls {
		if answer := <-answers; answer.ErrorCode != configuration.CodeDraining {
			t.Errorf("a poll that waited: %+v", answer)
		}
	}
	if err := r.ended(); err != nil {
		t.Error(err)
	}
}

// A drain is spread: polls that wait are not all answered as it begins. It ends as
// soon as nobody is connected any more.
func TestDrainIsSpread(t *testing.T) {
	t.Parallel()
	council := newStandIn(t, "west#1")
	version := council.put(t, settingsA, "a")
	file := testFile(council.address())
	file.Drain = time.Minute
	r := start(t, file)
	r.holds(version)
	var open []net.Conn
	for i := range 20 {
		text := fmt.Sprintf(`{"region":"west","subscriber":"s%d","version":%d,"wait_ms":5000}`, i, version)
		conn := dialSmall(t, r.Address())
		fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: relay\r\nContent-Length: %d\r\n\r\n%s", configuration.PollPath, len(text), text)
		open = append(open, conn)
	}
	await(t, "polls that wait", func() bool { return r.counts.read().Polls == int64(len(open)) })
	r.stop()
	await(t, "the drain", r.isDraining)
	if answer := poll(t, r.Address(), configuration.Poll{Subscriber: "late", Version: version}); answer.ErrorCode != configuration.CodeDraining {
		t.Errorf("a poll in the drain: %+v", answer)
	}
	if drained := r.counts.read().Drained; drained > int64(len(open)) {
		t.Errorf("all polls were answered at once, wanted a spread over %v", file.Drain)
	}
	for _, conn := range open {
		conn.Close()
	}
	if err := r.ended(); err != nil {
		t.Error(err)
	}
}

// What is held is as old as the call that was answered, not as its answer.
func TestAgeSinceTheCallWasSent(t *testing.T) {
	t.Parallel()
	council := newStandIn(t, "west#1")
	hold := make(chan struct{})
	council.set(func(s *standIn) { s.hold = hold })
	r := start(t, testFile(council.address()))
	await(t, "the call", func() bool { return council.callsUnderWay(council.address()) == 1 })
	time.Sleep(100 * time.Millisecond)
	council.set(func(s *standIn) { s.hold = nil })
	close(hold)
	await(t, "the answer", func() bool { _, heard := r.feed.state(); return heard.known })
	_, heard := r.feed.state()
	council.set(func(s *standIn) {
		if heard.at > s.received {
			t.Errorf("counts from %v after the call had come, wanted from its sending", heard.at-s.received)
		}
	})
}

// Polls that wait are woken by each change. One that was only answered at the end of
// its wait would make this last longer than the test may.
func TestNewsWakesPolls(t *testing.T) {
	t.Parallel()
	council := newStandIn(t, "west#1")
	version := council.put(t, settingsA, "a")
	r := start(t, testFile(council.address()))
	r.holds(version)
	const changes = 20 // with waits of 5 s: 100 s
	begun := time.Now()
	for i := range changes {
		p := configuration.Poll{Version: version, WaitMS: 5000}
		if i%2 == 0 {
			p.Services = configuration.Subscription{"other", "a"}
		}
		answers := make(chan configuration.PollResponse, 1)
		go func() { answers <- poll(t, r.Address(), p) }()
		await(t, "the poll", func() bool { return r.counts.read().Polls == int64(i+1) })
		if i%4 == 3 { // the council is restored: all have to come for a snapshot
			council.set(func(s *standIn) { s.store.StartTokenSpace(version.TokenSpace() + 1); version = s.store.Version })
			council.wake()
		} else {
			version = council.put(t, settingsB, "a")
		}
		if answer := <-answers; answer.Update == nil || answer.Update.Version != version {
			t.Fatalf("change %d: found %+v, wanted version %v", i, answer, version)
		}
		if time.Since(begun) > patience {
			t.Fatalf("%d changes took longer than %v: polls are not woken", i+1, patience)
		}
	}
	await(t, "no poll that waits", func() bool {
		r.feed.waitersMu.Lock()
		defer r.feed.waitersMu.Unlock()
		return len(r.feed.waiters) == 0
	})
}

// Those who don't read are cut each after the time that they have. One that was only
// cut by the bound on its connection would make this last longer than the test may.
func TestCutInTime(t *testing.T) {
	t.Parallel()
	council := newStandIn(t, "west#1")
	const bigServices = 40
	var services []string
	for i := range bigServices {
		services = append(services, fmt.Sprint("big", i))
	}
	version := council.put(t, bigSettings(t), services...)
	file := testFile(council.address())
	file.WriteTimeout = 100 * time.Millisecond
	r := start(t, file)
	r.holds(version)
	begun := time.Now()
	for i := range int64(7) { // with the bound on a connection: 70 s
		conn := dialSmall(t, r.Address())
		text := `{"region":"west","subscriber":"deaf","version":0,"wait_ms":0}`
		fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: relay\r\nContent-Length: %d\r\n\r\n%s", configuration.PollPath, len(text), text)
		await(t, "the cut", func() bool { return r.counts.read().Cut == i+1 })
		if time.Since(begun) > patience {
			t.Fatalf("%d cuts took longer than %v", i+1, patience)
		}
	}
}

// An answer that was made up before a newer version came is as old as what it tells.
func TestAgeIsOfTheVersionThatIsTold(t *testing.T) {
	t.Parallel()
	council := newStandIn(t, "west#1")
	r, err := Open(testFile(council.address()), logs.New(io.Discard, logs.Options{}))
	if err != nil {
		t.Fatal(err)
	}
	defer r.listener.Close()
	heard := bootclock.Now() - time.Minute
	if err := r.feed.take(heard, configuration.Update{Version: 1}); err != nil {
		t.Fatal(err)
	}
	wait := &waiting{waiter: waiter{poll: &configuration.Poll{Subscriber: "s1", Version: 1}, news: make(chan struct{}, 1)}}
	answer, _ := r.decide(wait, bootclock.Now())
	if err := r.feed.take(bootclock.Now(), configuration.Update{From: 1, Version: 2}); err != nil {
		t.Fatal(err)
	}
	recorder := httptest.NewRecorder()
	r.writeReply(recorder, http.StatusOK, answer)
	var told configuration.PollResponse
	if err := json.Unmarshal(recorder.Body.Bytes(), &told); err != nil {
		t.Fatal(err)
	}
	if told.Update == nil || told.Update.Version != 1 || told.Age() < time.Minute {
		t.Errorf("found version 1 told to be %v old, wanted a minute at least: %+v", told.Age(), told.Update)
	}
}

// A connection beyond the bound is ended at once, and one that ends makes room.
func TestConnectionsAreBounded(t *testing.T) {
	t.Parallel()
	council := newStandIn(t, "west#1")
	file := testFile(council.address())
	file.Connections = 2
	r := start(t, file)
	var open []net.Conn
	for range file.Connections {
		open = append(open, dialSmall(t, r.Address()))
	}
	await(t, "connections", func() bool { return r.listener.open.Load() == 2 })
	// The reset may come while the connection is still being made.
	if excess, err := net.Dial("tcp", r.Address()); err == nil {
		defer excess.Close()
		excess.SetReadDeadline(time.Now().Add(patience))
		if _, err := excess.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("a connection beyond the bound: %v, wanted its end", err)
		}
	}
	if refused := r.listener.refused.Load(); refused != 1 {
		t.Errorf("found %d refused, wanted 1", refused)
	}
	open[0].Close()
	await(t, "room", func() bool { return r.listener.open.Load() == 1 })
	if answer := poll(t, r.Address(), configuration.Poll{}); answer.Region != "west" {
		t.Errorf("found %+v", answer)
	}
}

// How subscribers stand to a service, and how the relay is.
func TestStatus(t *testing.T) {
	t.Parallel()
	council := newStandIn(t, "west#1")
	version := council.put(t, settingsA, "a", "b")
	r := start(t, testFile(council.address()))
	r.holds(version)
	rejected := []configuration.Rejection{{Service: "a", Version: version - 1, Reason: "no tenant a"}}
	poll(t, r.Address(), configuration.Poll{Subscriber: "s1", Version: version, Rejected: rejected})
	poll(t, r.Address(), configuration.Poll{Subscriber: "s2", Version: version, Services: configuration.Subscription{"b"}})
	var status configuration.StatusResponse
	get(t, r.Address()+configuration.StatusPath+"?service=a", &status)
	if len(status.Subscribers) != 1 || status.Version != version || status.Region != "west" || status.Subscribers[0].Reason != "no tenant a" || status.Subscribers[0].RejectedVersion != version-1 {
		t.Errorf("status %+v", status)
	}
	var info Info
	get(t, r.Address()+InfoPath, &info)
	if info.Subscribers != 2 || !info.Ready || info.Version != version || info.Zone != "west-1" || info.Counts.Empty != 2 || info.Connections == 0 {
		t.Errorf("info %+v", info)
	}
	response, err := http.Get("http://" + r.Address() + configuration.StatusPath)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusBadRequest || !strings.Contains(string(text), `service: found ""`) {
		t.Errorf("a status without a service: %d %s", response.StatusCode, text)
	}
}

func get(t testing.TB, address string, into any) {
	t.Helper()
	response, err := http.Get("http://" + address)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		t.Fatal(err)
	}
}
