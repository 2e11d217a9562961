package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"otterspring/internal/faultinjection"
	"otterspring/internal/fleet/configuration"
	"otterspring/internal/fleet/coordination"
	"otterspring/internal/fleet/coordination/client"
	"otterspring/internal/fleet/coordination/server"
)

// testTimeout detects a hang.
const testTimeout = 60 * time.Second

// programFolder is where faultyProgram builds; TestMain removes it.
var programFolder string

func TestMain(m *testing.M) {
	if os.Getenv(programVariable) != "" {
		os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
	}
	code := m.Run()
	if err := os.RemoveAll(programFolder); err != nil { // nothing where it is empty
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

// faultyProgram is otterspring with faults compiled in, under the race detector.
var faultyProgram = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "otterspring")
	if err != nil {
		return "", err
	}
	programFolder = folder
	command := exec.Command("go", "build", "-race", "-tags", "faults", "-o", folder+"/", "./cmd/otterspring")
	command.Dir = "../.."
	if text, err := command.CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, text)
	}
	return filepath.Join(folder, "otterspring"), nil
})

var testIPs atomic.Int32

// region is a cluster of three processes.
type region struct {
	t       *testing.T
	folder  string
	ip      string
	path    string // of the cluster's file
	file    *server.Config
	members map[int]*exec.Cmd
	taken   map[string]bool // addresses that freeAddress has returned
}

func newRegion(t *testing.T) *region {
	t.Helper()
	r := &region{t: t, folder: t.TempDir(), members: map[int]*exec.Cmd{}, taken: map[string]bool{}}
	r.ip = fmt.Sprintf("127.%d.%d.%d", 110+os.Getpid()%40, 1+os.Getpid()/40%250, 1+testIPs.Add(1))
	r.path = filepath.Join(r.folder, "council.toml")
	text := "name = \"west\"\ndirectory = \"state\"\ntick = \"20ms\"\nlease = \"1s\"\nmargin = \"100ms\"\n"
	for i := 1; i <= 3; i++ {
		text += fmt.Sprintf("[[member]]\nnumber = %d\naddress = %q\n", i, r.freeAddress())
	}
	r.write(r.path, text)
	var err error
	if r.file, err = server.LoadConfig(r.path); err != nil {
		t.Fatal(err)
	}
	for i := 1; i <= 3; i++ {
		r.members[i] = r.start(fmt.Sprintf("member-%d", i), "council", "run", "-member", fmt.Sprint(i), "-new", r.path)
	}
	r.awaitSupport()
	return r
}

// freeAddress returns an address without a listener, another one each time.
func (r *region) freeAddress() string {
	r.t.Helper()
	for {
		address := freePort(r.t, r.ip)
		if !r.taken[address] {
			r.taken[address] = true
			return address
		}
	}
}

func (r *region) write(path, text string) {
	r.t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		r.t.Fatal(err)
	}
}

// start runs otterspring as a process, whose injected faults are in a file of its role.
func (r *region) start(role string, args ...string) *exec.Cmd {
	r.t.Helper()
	program, err := faultyProgram()
	if err != nil {
		r.t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(r.folder, role+".log"))
	if err != nil {
		r.t.Fatal(err)
	}
	c := exec.Command(program, args...)
	c.Env = append(os.Environ(), faultinjection.DirectoryEnv+"="+r.folder, faultinjection.RoleEnv+"="+role)
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // ends with the test program
	if err := errors.Join(c.Start(), log.Close()); err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() {
		kill(r.t, c)
		if text, _ := os.ReadFile(log.Name()); r.t.Failed() {
			r.t.Logf("%s: %s", role, text)
		}
	})
	return c
}

// kill ends a process, which may have ended with a failure before.
func kill(tb testing.TB, c *exec.Cmd) {
	tb.Helper()
	if c.ProcessState != nil {
		return // waited for by the test
	}
	if err := c.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		tb.Error(err)
	}
	if err := c.Wait(); err == nil {
		tb.Errorf("%v ended without a failure before it was killed", c.Args)
	}
}

// do sends a request to the cluster until it answers.
func (r *region) do(q client.Request) *client.Response {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	a, err := requestConfiguration(ctx, r.file, q)
	if err != nil {
		r.t.Fatalf("%+v: %v", q, err)
	}
	return a
}

// awaitSupport waits until all members support configuration changes.
func (r *region) awaitSupport() {
	r.t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if r.do(client.Request{Kind: client.ReadState}).State.AllSupport(coordination.StateVersion, []uint64{1, 2, 3}) {
			return
		}
	}
	r.t.Fatal("members do not support configuration changes")
}

// config runs a verb of `otterspring config` and returns its exit code and output.
func (r *region) config(args ...string) (code int, out, errw string) {
	var stdout, stderr bytes.Buffer
	code = run(append([]string{"config", "-council", r.path}, args...), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// put changes a service and returns the new version.
func (r *region) put(args ...string) string {
	r.t.Helper()
	code, out, errw := r.config(append([]string{"put", "-json"}, args...)...)
	var result putResult
	if err := json.Unmarshal([]byte(out), &result); code != exitDone || err != nil {
		r.t.Fatalf("put %v: exit code %d: %s%s", args, code, out, errw)
	}
	return result.Version
}

// settingsFile writes the settings of a service with one tenant.
func (r *region) settingsFile(name, service, tenant string) string {
	path := filepath.Join(r.folder, name)
	r.write(path, fmt.Sprintf("service = %q\n[[tenant]]\nname = %q\nquota_per_s = 5\n", service, tenant))
	return path
}

// A service is created, read as a file, changed with it, listed and completed; each
// rejection is one line with its exit code, and without a log entry.
func TestConfigVerbs(t *testing.T) {
	t.Parallel()
	r := newRegion(t)
	mail := r.settingsFile("mail.toml", "mail", "acme")
	first := r.put("-if-version", "0", mail)
	if first != "1.1" {
		t.Errorf("first version %s, wanted 1.1", first)
	}
	code, text, _ := r.config("get", "mail")
	if code != exitDone || !strings.Contains(text, "# version 1.1\n") || !strings.Contains(text, `name = "acme"`) {
		t.Errorf("get: %d: %s", code, text)
	}
	edited := filepath.Join(r.folder, "edited.toml")
	r.write(edited, strings.Replace(text, "quota_per_s = 5", "quota_per_s = 7", 1))
	if second := r.put("-if-version", first, edited); second != "1.2" {
		t.Errorf("second version %s, wanted 1.2", second)
	}
	r.put("-if-version", "0", "-id", "by-hand", r.settingsFile("post.toml", "post", "acme"))
	if again := r.put("-if-version", "0", "-id", "by-hand", r.settingsFile("post.toml", "post", "acme")); again != "1.3" {
		t.Errorf("the same id again: version %s, wanted 1.3", again)
	}
	bad := filepath.Join(r.folder, "bad.toml")
	r.write(bad, "service = \"mail\"\n[[tenant]]\nname = \"acme\"\nquota_per_s = -1\n")
	roll := filepath.Join(r.folder, "roll.toml")
	r.write(roll, "service = \"mail\"\n[[class]]\nname = \"bulk\"\ndeadline = \"1s\"\n")
	unknown := filepath.Join(r.folder, "unknown.toml")
	r.write(unknown, "service = \"mail\"\nshares = 1\n")
	large := filepath.Join(r.folder, "large.toml")
	r.write(large, "service = \"mail\"\n"+largeTenants())

	before := r.do(client.Request{Kind: client.ReadState})
	for _, test := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"put", "-if-version", "1.1", mail}, exitConflict, "service mail: found version 1.2, wanted 1.1"},
		{[]string{"put", "-if-version", "0", mail}, exitConflict, "service mail: found version 1.2, wanted 0.0"},
		{[]string{"put", r.settingsFile("none.toml", "none", "x")}, exitFailed, "service none: found no such service"},
		{[]string{"put", bad}, exitFailed, "bad.toml:4: tenant[1].quota_per_s: found -1, wanted 0 to 1e9"},
		{[]string{"put", roll}, exitFailed, "roll.toml:4: class[1].deadline: found a key that is not taken here, wanted it in the sidecars' files, with a rolling restart"},
		{[]string{"put", unknown}, exitFailed, "unknown.toml:2: shares: found a key that is not known"},
		{[]string{"put", large}, exitFailed, "wanted 8192 at most"},
		{[]string{"put", filepath.Join(r.folder, "absent.toml")}, exitFailed, "no such file"},
		{[]string{"put", "-if-version", "one", mail}, exitUsage, `-if-version: version: found "one", wanted SPACE.NUMBER`},
		{[]string{"put", "-id", "a b", mail}, exitUsage, `-id: id: found "a b"`},
		{[]string{"put"}, exitUsage, "found 0 words"},
		{[]string{"get", "none"}, exitFailed, "service none: found no such service"},
		{[]string{"list", "x"}, exitUsage, "found 1 word"},
		{[]string{"list", "-timeout", "0s"}, exitUsage, "wanted more than 0"},
		{[]string{"status", "mail"}, exitUsage, "-relays: found"},
		{[]string{"status", "-relays", "here", "mail"}, exitUsage, `-relays: found "here", wanted an IP address`},
		{[]string{"status", "-relays", "127.0.0.1:1,127.0.0.1:1", "mail"}, exitUsage, "twice"},
		{[]string{"dance"}, exitUsage, "wanted one of put, get, list, status"},
	} {
		code, out, errw := r.config(test.args...)
		if code != test.code || !strings.Contains(errw, test.want) || strings.Count(errw, "\n") != 1 || out != "" && code != exitUsage {
			t.Errorf("%v: exit code %d, wanted %d with %q in one line: %s%s", test.args, code, test.code, test.want, out, errw)
		}
	}
	if after := r.do(client.Request{Kind: client.ReadState}); after.Term == before.Term && after.Index != before.Index {
		t.Errorf("%d entries after %d: something was committed", after.Index, before.Index)
	}

	if code, out, _ := r.config("list"); code != exitDone || !strings.Contains(out, "mail") || !strings.Contains(out, "1.2") || !strings.Contains(out, "2 services") {
		t.Errorf("list: %d: %s", code, out)
	}
	var list listResult
	if _, out, _ := r.config("list", "-json"); json.Unmarshal([]byte(out), &list) != nil || len(list.Services) != 2 || list.Services[0] != (listedService{"mail", "1.2"}) {
		t.Errorf("list -json: %s", out)
	}
	var got getResult
	if _, out, _ := r.config("get", "-json", "mail"); json.Unmarshal([]byte(out), &got) != nil || got.Version != "1.2" || !strings.Contains(string(got.Settings), "7") {
		t.Errorf("get -json: %s", out)
	}
	for _, verb := range []string{"get", "status"} {
		var out, errw bytes.Buffer
		run([]string{"__complete", "config", "-council", r.path, verb, ""}, &out, &errw)
		if !strings.Contains(out.String(), "mail\npost\n") {
			t.Errorf("completion of %s: %s%s", verb, out.String(), errw.String())
		}
	}
	var out, errw bytes.Buffer
	if code := run([]string{"config", "list"}, &out, &errw); code != exitUsage || !strings.Contains(errw.String(), "found no -council") {
		t.Errorf("without a council: %d: %s", code, errw.String())
	}
}

// largeTenants are within the bounds of their number and names, and beyond that of
// their total size.
func largeTenants() string {
	var b strings.Builder
	for i := range configuration.MaxTenants {
		fmt.Fprintf(&b, "[[tenant]]\nname = \"%03d%s\"\n", i, strings.Repeat("x", configuration.MaxNameBytes-3))
	}
	return b.String()
}

// The leader is killed when it has stored a change, or before it responds: put retries,
// and the change is applied once.
func TestConfigPutSurvivesTheLeader(t *testing.T) {
	for _, point := range []string{"council-stored", "council-answers"} {
		t.Run(point, func(t *testing.T) {
			t.Parallel()
			r := newRegion(t)
			first := r.put("-if-version", "0", r.settingsFile("mail.toml", "mail", "acme"))
			leader := r.do(client.Request{Kind: client.ReadState}).Member
			role := filepath.Join(r.folder, fmt.Sprintf("member-%d", leader))
			r.write(role, "at "+point+" kill once\n")

			changed := r.settingsFile("changed.toml", "mail", "other")
			second := r.put("-if-version", first, "-id", "again", "-timeout", testTimeout.String(), changed)
			if second != "1.2" {
				t.Errorf("version %s after %s, wanted 1.2", second, first)
			}
			if err := r.members[int(leader)].Wait(); err == nil {
				t.Errorf("the leader ended without a failure at %s", point)
			}
			if _, err := os.Stat(role + ".once"); err != nil {
				t.Errorf("the leader was not killed at %s: %v", point, err)
			}
			if again := r.put("-if-version", first, "-id", "again", changed); again != second {
				t.Errorf("the same change by hand: version %s, wanted %s", again, second)
			}
			if a := r.do(client.Request{Kind: client.ReadConfiguration, Service: "mail"}); a.Resource.Version.String() != second || !strings.Contains(string(a.Resource.Settings), "other") {
				t.Errorf("%+v, wanted version %s", a.Resource, second)
			}
			if a := r.do(client.Request{Kind: client.WatchConfiguration}); a.Update.Version.String() != second {
				t.Errorf("newest version %v, wanted %s: it was applied twice", a.Update.Version, second)
			}
		})
	}
}

// A change with an unknown outcome is retried with the same id.
func TestConfigPutRetriesUnknownOutcome(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	var ids []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		var q client.Request
		if err := json.NewDecoder(request.Body).Decode(&q); err != nil || q.Change == nil {
			t.Errorf("%+v, %v, wanted a change", q, err)
			return
		}
		mu.Lock()
		defer mu.Unlock()
		ids = append(ids, q.Change.ID)
		answer := client.Response{Cluster: "west#1", Unavailable: coordination.ErrUnknownOutcome.Error(), OutcomeUnknown: true}
		if len(ids) == 3 {
			answer = client.Response{Cluster: "west#1", Resource: &configuration.Resource{Service: "mail", Version: configuration.NewVersion(1, 5)}}
		}
		if err := json.NewEncoder(w).Encode(answer); err != nil {
			t.Error(err)
		}
	}))
	defer server.Close()
	folder := t.TempDir()
	r := &region{t: t, folder: folder, path: filepath.Join(folder, "council.toml")}
	r.write(r.path, fmt.Sprintf("name = \"west\"\ndirectory = \"state\"\n[[member]]\nnumber = 1\naddress = %q\n", server.Listener.Addr()))
	if version := r.put("-timeout", testTimeout.String(), r.settingsFile("mail.toml", "mail", "acme")); version != "1.5" {
		t.Errorf("version %s, wanted 1.5", version)
	}
	if len(ids) != 3 || ids[0] == "" || ids[1] != ids[0] || ids[2] != ids[0] {
		t.Errorf("ids %q, wanted three times the same", ids)
	}
}

// Without a majority the outcome of put is unknown, and the error says how to find out.
func TestConfigPutWithoutMajority(t *testing.T) {
	t.Parallel()
	r := newRegion(t)
	mail := r.settingsFile("mail.toml", "mail", "acme")
	for i := 1; i <= 2; i++ {
		kill(t, r.members[i])
	}
	code, out, errw := r.config("put", "-if-version", "0", "-id", "mine", "-timeout", "1s", mail)
	if code != exitFailed || out != "" || strings.Count(errw, "\n") != 1 || !strings.Contains(errw, "not known whether it was changed") || !strings.Contains(errw, "-id mine") {
		t.Errorf("%d: %s%s", code, out, errw)
	}
}

// Of two concurrent changes of one version one is applied, and the other one has the
// exit code of a conflict.
func TestConfigPutOfTwoOperators(t *testing.T) {
	t.Parallel()
	r := newRegion(t)
	version := r.put("-if-version", "0", r.settingsFile("mail.toml", "mail", "nobody"))
	for round := range 5 {
		var codes [2]int
		var messages [2]string
		var operators sync.WaitGroup
		for i := range codes {
			path := r.settingsFile(fmt.Sprintf("operator-%d.toml", i), "mail", fmt.Sprintf("operator-%d", i))
			operators.Go(func() {
				var errw string
				codes[i], _, errw = r.config("put", "-if-version", version, path)
				messages[i] = errw
			})
		}
		operators.Wait()
		winner := 0
		if codes[1] == exitDone {
			winner = 1
		}
		if codes[winner] != exitDone || codes[1-winner] != exitConflict {
			t.Fatalf("round %d: exit codes %v, wanted %d and %d: %q", round, codes, exitDone, exitConflict, messages)
		}
		_, text, _ := r.config("get", "mail")
		if !strings.Contains(text, fmt.Sprintf("operator-%d", winner)) {
			t.Fatalf("round %d: %s, wanted what operator %d wrote", round, text, winner)
		}
		current := r.do(client.Request{Kind: client.ReadConfiguration, Service: "mail"}).Resource.Version
		if want, _ := configuration.ParseVersion(version); current != want+1 {
			t.Fatalf("round %d: version %v, wanted one on from %s", round, current, version)
		}
		version = current.String()
	}
}

// The status of a service merges the responses of relays, and names one that fails.
func TestConfigStatus(t *testing.T) {
	t.Parallel()
	r := newRegion(t)
	mail := r.settingsFile("mail.toml", "mail", "acme")
	old, err := configuration.ParseVersion(r.put("-if-version", "0", mail))
	if err != nil {
		t.Fatal(err)
	}
	newest, err := configuration.ParseVersion(r.put(mail))
	if err != nil {
		t.Fatal(err)
	}
	relays := []string{r.startRelay("near"), r.startRelay("far")}
	r.poll(relays[0], &configuration.Poll{Subscriber: "current", Version: newest})
	r.poll(relays[0], &configuration.Poll{Subscriber: "refuses", Version: newest, Rejected: []configuration.Rejection{{Service: "mail", Version: newest, Reason: "no class of that name"}}})
	r.poll(relays[1], &configuration.Poll{Subscriber: "late", Version: old})
	r.poll(relays[1], &configuration.Poll{Subscriber: "other", Version: old, Services: configuration.Subscription{"post"}})

	code, text, errw := r.config("status", "-relays", strings.Join(relays, ","), "mail")
	if code != exitDone {
		t.Errorf("exit code %d: %s%s", code, text, errw)
	}
	for _, want := range []string{
		"relay " + relays[0] + ": version 1.2", "relay " + relays[1] + ": version 1.2",
		"rejected by refuses: no class of that name\n", "behind: late at version 1.1\n",
		"mail: version 1.2 in force at 1 of 3, rejected by 1, behind 1, silent 0\n",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("wanted %q in:\n%s", want, text)
		}
	}
	nobody := r.freeAddress()
	code, text, _ = r.config("status", "-json", "-relays", relays[0]+","+nobody, "mail")
	var result statusResult
	if err := json.Unmarshal([]byte(text), &result); err != nil || code != exitFailed {
		t.Fatalf("exit code %d, wanted %d, as one relay does not answer: %v: %s", code, exitFailed, err, text)
	}
	if len(result.Relays) != 2 || result.Relays[0].Error != "" || result.Relays[1].Address != nobody || result.Relays[1].Error == "" || result.InForce != 1 || result.Rejected != 1 {
		t.Errorf("%+v", result)
	}
}

// startRelay runs a relay of the region and waits until it has the newest version.
func (r *region) startRelay(name string) (address string) {
	r.t.Helper()
	address = r.freeAddress()
	path := filepath.Join(r.folder, name+".toml")
	r.write(path, fmt.Sprintf("region = \"west\"\nzone = \"a\"\nname = %q\nlisten = %q\nmembers = [%q, %q, %q]\n",
		name, address, r.file.Members[0].Address, r.file.Members[1].Address, r.file.Members[2].Address))
	r.start(name, "relay", "run", path)
	newest := r.do(client.Request{Kind: client.WatchConfiguration}).Update.Version
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		status := fetchRelayResult(ctx, "west", address, "mail")
		cancel()
		if status.Error == "" && status.response.Version >= newest {
			return address
		}
	}
	r.t.Fatalf("relay %s does not get version %v", name, newest)
	return ""
}

// poll sends a poll of a subscriber.
func (r *region) poll(relay string, p *configuration.Poll) {
	r.t.Helper()
	p.Region = "west"
	text, err := json.Marshal(p)
	if err != nil {
		r.t.Fatal(err)
	}
	response, err := http.Post("http://"+relay+configuration.PollPath, "application/json", bytes.NewReader(text))
	if err != nil {
		r.t.Fatal(err)
	}
	defer response.Body.Close()
	var answer configuration.PollResponse
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil || answer.ErrorCode != "" {
		r.t.Fatalf("%s: %+v, %v", p.Subscriber, answer, err)
	}
}

// Of a subscriber that two relays know the latest status counts; one without a recent
// poll is listed with the time; the lists are bounded.
func TestStatusResult(t *testing.T) {
	version := configuration.NewVersion(1, 7)
	subscriber := func(name string, version configuration.Version, silent time.Duration) configuration.SubscriberStatus {
		return configuration.SubscriberStatus{Subscriber: name, Version: version, SinceLastPollMS: silent.Milliseconds()}
	}
	near := &configuration.StatusResponse{Subscribers: []configuration.SubscriberStatus{
		subscriber("moved", version, time.Second), subscriber("gone", version-1, 2*time.Minute),
	}}
	rejects := subscriber("rejects", version+1, 0)
	rejects.RejectedVersion, rejects.Reason = version, "two\nlines"
	rejectedBefore := subscriber("rejected-before", version, 0)
	rejectedBefore.RejectedVersion = version - 1
	far := &configuration.StatusResponse{Subscribers: []configuration.SubscriberStatus{
		subscriber("moved", version-1, 3*time.Second), rejects, rejectedBefore,
	}}
	for i := range maxListedSubscribers + 4 {
		far.Subscribers = append(far.Subscribers, subscriber(fmt.Sprintf("z%02d", i), version-1, 0))
	}
	resource := &configuration.Resource{Service: "mail", Version: version}
	result := newStatusResult(resource, []relayResult{{Address: "near", response: near}, {Address: "far", response: far}, {Address: "dead", Error: "refused"}})
	var b strings.Builder
	if err := printStatus(&b, result); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"relay dead: no answer: refused\n", "rejected by rejects: two lines\n", "behind: gone at version 1.6\n", "silent: gone for 2m0s\n",
		"... and 5 more (-json has all)\n", "mail: version 1.7 in force at 2 of 28, rejected by 1, behind 25, silent 1\n",
	} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("wanted %q in:\n%s", want, b.String())
		}
	}
}
