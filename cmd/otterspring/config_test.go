package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"otterspring/internal/fleet/configuration"
	"otterspring/internal/fleet/coordination"
	"otterspring/internal/fleet/coordination/client"
)

// hangTimeout is how long a test waits for a condition before it fails.
const hangTimeout = 60 * time.Second

// programFolder is where faultyProgram builds; TestMain removes it.
var programFolder string

func TestMain(m *testing.M) {
	if os.Getenv(programVariable) != "" {
		os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
	}
	code := m.Run()
	if programFolder != "" {
		if err := os.RemoveAll(programFolder); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
	os.Exit(code)
}

// faultyProgram returns the path of otterspring built with injected faults and the race
// detector.
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

// A service is created, read as a file, changed by that file, listed and completed. Each
// rejection is one line with its exit code, and adds no entry to the log.
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
	if retried := r.put("-if-version", "0", "-id", "by-hand", r.settingsFile("post.toml", "post", "acme")); retried != "1.3" {
		t.Errorf("the same ID again: version %s, wanted 1.3", retried)
	}
	invalid := filepath.Join(r.folder, "bad.toml")
	r.write(invalid, "service = \"mail\"\n[[tenant]]\nname = \"acme\"\nquota_per_s = -1\n")
	restart := filepath.Join(r.folder, "roll.toml")
	r.write(restart, "service = \"mail\"\n[[class]]\nname = \"bulk\"\ndeadline = \"1s\"\n")
	unknown := filepath.Join(r.folder, "unknown.toml")
	r.write(unknown, "service = \"mail\"\nshares = 1\n")
	large := filepath.Join(r.folder, "large.toml")
	r.write(large, "service = \"mail\"\n"+largeTenants())

	before := r.request(client.Request{Kind: client.ReadState})
	for _, test := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"put", "-if-version", "1.1", mail}, exitConflict, "service mail: found version 1.2, wanted 1.1"},
		{[]string{"put", "-if-version", "0", mail}, exitConflict, "service mail: found version 1.2, wanted 0.0"},
		{[]string{"put", r.settingsFile("none.toml", "none", "x")}, exitFailed, "service none: found no such service"},
		{[]string{"put", invalid}, exitFailed, "bad.toml:4: tenant[1].quota_per_s: found -1, wanted 0 to 1e9"},
		{[]string{"put", restart}, exitFailed, "roll.toml:4: class[1].deadline: found a key that is not taken here, wanted it in the sidecars' files, with a rolling restart"},
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
	if after := r.request(client.Request{Kind: client.ReadState}); after.Term == before.Term && after.Index != before.Index {
		t.Errorf("%d entries after %d: the rejected changes added entries", after.Index, before.Index)
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
		t.Errorf("without -council: %d: %s", code, errw.String())
	}
}

// largeTenants returns tenants within the limits of their number and names, which exceed
// the limit of their bytes.
func largeTenants() string {
	var b strings.Builder
	for i := range configuration.MaxTenants {
		fmt.Fprintf(&b, "[[tenant]]\nname = \"%03d%s\"\n", i, strings.Repeat("x", configuration.MaxNameBytes-3))
	}
	return b.String()
}

// The leader is killed after it has stored a change, or before it sends the response: put
// retries, and the change is applied once.
func TestConfigPutSurvivesLeaderFailure(t *testing.T) {
	for _, point := range []string{"council-stored", "council-answers"} {
		t.Run(point, func(t *testing.T) {
			t.Parallel()
			r := newRegion(t)
			first := r.put("-if-version", "0", r.settingsFile("mail.toml", "mail", "acme"))
			leader := r.request(client.Request{Kind: client.ReadState}).Member
			role := filepath.Join(r.folder, fmt.Sprintf("member-%d", leader))
			r.write(role, "at "+point+" kill once\n")

			changed := r.settingsFile("changed.toml", "mail", "other")
			second := r.put("-if-version", first, "-id", "retried", "-timeout", hangTimeout.String(), changed)
			if second != "1.2" {
				t.Errorf("version %s after %s, wanted 1.2", second, first)
			}
			awaitExit(t, r.members[int(leader)])
			if _, err := os.Stat(role + ".once"); err != nil {
				t.Errorf("the leader was not killed at %s: %v", point, err)
			}
			if retried := r.put("-if-version", first, "-id", "retried", changed); retried != second {
				t.Errorf("the same change by hand: version %s, wanted %s", retried, second)
			}
			if resource := r.request(client.Request{Kind: client.ReadConfiguration, Service: "mail"}).Resource; resource.Version.String() != second || !strings.Contains(string(resource.Settings), "other") {
				t.Errorf("%+v, wanted version %s", resource, second)
			}
			if update := r.request(client.Request{Kind: client.WatchConfiguration}).Update; update.Version.String() != second {
				t.Errorf("newest version %v, wanted %s: it was applied twice", update.Version, second)
			}
		})
	}
}

// A change whose outcome is unknown is retried with the same ID.
func TestConfigPutRetriesUnknownOutcome(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	var ids []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		var decoded client.Request
		if err := json.NewDecoder(request.Body).Decode(&decoded); err != nil || decoded.Change == nil {
			t.Errorf("%+v, %v, wanted a change", decoded, err)
			return
		}
		mu.Lock()
		defer mu.Unlock()
		ids = append(ids, decoded.Change.ID)
		response := client.Response{Cluster: "west#1", Unavailable: coordination.ErrUnknownOutcome.Error(), OutcomeUnknown: true}
		if len(ids) == 3 {
			response = client.Response{Cluster: "west#1", Resource: &configuration.Resource{Service: "mail", Version: configuration.NewVersion(1, 5)}}
		}
		if err := json.NewEncoder(w).Encode(response); err != nil {
			t.Error(err)
		}
	}))
	defer server.Close()
	folder := t.TempDir()
	r := &testRegion{t: t, folder: folder, path: filepath.Join(folder, "council.toml")}
	r.write(r.path, fmt.Sprintf("name = \"west\"\ndirectory = \"state\"\n[[member]]\nnumber = 1\naddress = %q\n", server.Listener.Addr()))
	if version := r.put("-timeout", hangTimeout.String(), r.settingsFile("mail.toml", "mail", "acme")); version != "1.5" {
		t.Errorf("version %s, wanted 1.5", version)
	}
	if len(ids) != 3 || ids[0] == "" || ids[1] != ids[0] || ids[2] != ids[0] {
		t.Errorf("ids %q, wanted three times the same", ids)
	}
}

// Without a majority put reports that the outcome is unknown, and how to find out.
func TestConfigPutWithoutMajority(t *testing.T) {
	t.Parallel()
	r := newRegion(t)
	mail := r.settingsFile("mail.toml", "mail", "acme")
	for i := 1; i <= 2; i++ {
		killProcess(t, r.members[i])
	}
	code, out, errw := r.config("put", "-if-version", "0", "-id", "mine", "-timeout", "1s", mail)
	if code != exitFailed || out != "" || strings.Count(errw, "\n") != 1 || !strings.Contains(errw, "not known whether it was changed") || !strings.Contains(errw, "-id mine") {
		t.Errorf("%d: %s%s", code, out, errw)
	}
}

// Two operators change the same version: one succeeds, the other gets the exit code of a
// conflict, and the settings are those of the first.
func TestConfigPutConflict(t *testing.T) {
	t.Parallel()
	r := newRegion(t)
	version := r.put("-if-version", "0", r.settingsFile("mail.toml", "mail", "nobody"))
	for round := range 5 {
		var codes [2]int
		var errorTexts [2]string
		var operators sync.WaitGroup
		for i := range codes {
			path := r.settingsFile(fmt.Sprintf("operator-%d.toml", i), "mail", fmt.Sprintf("operator-%d", i))
			operators.Go(func() {
				var errw string
				codes[i], _, errw = r.config("put", "-if-version", version, path)
				errorTexts[i] = errw
			})
		}
		operators.Wait()
		winner := 0
		if codes[1] == exitDone {
			winner = 1
		}
		if codes[winner] != exitDone || codes[1-winner] != exitConflict {
			t.Fatalf("round %d: exit codes %v, wanted %d and %d: %q", round, codes, exitDone, exitConflict, errorTexts)
		}
		_, text, _ := r.config("get", "mail")
		if !strings.Contains(text, fmt.Sprintf("operator-%d", winner)) {
			t.Fatalf("round %d: %s, wanted the settings of operator %d", round, text, winner)
		}
		current := r.request(client.Request{Kind: client.ReadConfiguration, Service: "mail"}).Resource.Version
		if want, _ := configuration.ParseVersion(version); current != want+1 {
			t.Fatalf("round %d: version %v, wanted the one after %s", round, current, version)
		}
		version = current.String()
	}
}
