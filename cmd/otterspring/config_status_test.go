package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"otterspring/internal/fleet/configuration"
	"otterspring/internal/fleet/coordination/client"
)

// The status of a service merges the reports of relays, and names the one that does not
// respond.
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
	r.poll(relays[0], &configuration.Poll{Subscriber: "rejecting", Version: newest, Rejected: []configuration.Rejection{{Service: "mail", Version: newest, Reason: "no class of that name"}}})
	r.poll(relays[1], &configuration.Poll{Subscriber: "late", Version: old})
	r.poll(relays[1], &configuration.Poll{Subscriber: "other", Version: old, Services: configuration.Subscription{"post"}})

	code, text, errw := r.config("status", "-relays", strings.Join(relays, ","), "mail")
	if code != exitDone {
		t.Errorf("exit code %d: %s%s", code, text, errw)
	}
	for _, want := range []string{
		"relay " + relays[0] + ": version 1.2", "relay " + relays[1] + ": version 1.2",
		"rejected by rejecting: no class of that name\n", "behind: late at version 1.1\n",
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
		t.Fatalf("exit code %d, wanted %d, as one relay does not respond: %v: %s", code, exitFailed, err, text)
	}
	if len(result.Relays) != 2 || result.Relays[0].Error != "" || result.Relays[1].Address != nobody || result.Relays[1].Error == "" || result.Applied != 1 || result.Rejected != 1 {
		t.Errorf("%+v", result)
	}
}

// startRelay runs a relay of the region and waits until it has the newest version.
func (r *testRegion) startRelay(name string) (address string) {
	r.t.Helper()
	address = r.freeAddress()
	path := filepath.Join(r.folder, name+".toml")
	r.write(path, fmt.Sprintf("region = \"west\"\nzone = \"a\"\nname = %q\nlisten = %q\nmembers = [%q, %q, %q]\n",
		name, address, r.file.Members[0].Address, r.file.Members[1].Address, r.file.Members[2].Address))
	r.start(name, "relay", "run", path)
	newest := r.request(client.Request{Kind: client.WatchConfiguration}).Update.Version
	for deadline := time.Now().Add(hangTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
		status := fetchRelayStatus(ctx, "west", address, "mail")
		cancel()
		if status.Error == "" && status.response.Version >= newest {
			return address
		}
	}
	r.t.Fatalf("relay %s does not get version %v", name, newest)
	return ""
}

// poll sends a subscriber's poll to a relay.
func (r *testRegion) poll(relay string, poll *configuration.Poll) {
	r.t.Helper()
	poll.Region = "west"
	text, err := json.Marshal(poll)
	if err != nil {
		r.t.Fatal(err)
	}
	response, err := http.Post("http://"+relay+configuration.PollPath, "application/json", bytes.NewReader(text))
	if err != nil {
		r.t.Fatal(err)
	}
	defer response.Body.Close()
	var decoded configuration.PollResponse
	if err := json.NewDecoder(response.Body).Decode(&decoded); err != nil || decoded.ErrorCode != "" {
		r.t.Fatalf("%s: %+v, %v", poll.Subscriber, decoded, err)
	}
}

// Of a subscriber that two relays report the latest poll counts; one without a recent poll
// is named with the time; the number of names is limited.
func TestNewStatusResult(t *testing.T) {
	version := configuration.NewVersion(1, 7)
	subscriber := func(name string, version configuration.Version, sinceLastPoll time.Duration) configuration.SubscriberStatus {
		return configuration.SubscriberStatus{Subscriber: name, Version: version, SinceLastPollMS: sinceLastPoll.Milliseconds()}
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
	for i := range maxPrintedPerState + 4 {
		far.Subscribers = append(far.Subscribers, subscriber(fmt.Sprintf("z%02d", i), version-1, 0))
	}
	resource := &configuration.Resource{Service: "mail", Version: version}
	result := newStatusResult(resource, []relayResult{{Address: "near", response: near}, {Address: "far", response: far}, {Address: "dead", Error: "refused"}})
	var text strings.Builder
	if err := printStatus(&text, result); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"relay dead: no answer: refused\n", "rejected by rejects: two lines\n", "behind: gone at version 1.6\n", "silent: gone for 2m0s\n",
		"... and 5 more (-json has all)\n", "mail: version 1.7 in force at 2 of 28, rejected by 1, behind 25, silent 1\n",
	} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("wanted %q in:\n%s", want, text.String())
		}
	}
}
