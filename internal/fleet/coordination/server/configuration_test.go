package server

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"otterspring/internal/fleet/configuration"
	"otterspring/internal/fleet/coordination"
	"otterspring/internal/fleet/coordination/client"
)

// newUpgradedCluster starts a cluster of three that supports configuration changes.
func newUpgradedCluster(tb testing.TB) *testCluster {
	tb.Helper()
	w := newTestCluster(tb, tb.TempDir(), 3)
	for i := 1; i <= 3; i++ {
		w.start(i, Bootstrap)
	}
	w.awaitSupport()
	return w
}

// awaitSupport waits until all three members support configuration changes.
func (w *testCluster) awaitSupport() {
	w.t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		s := w.do(client.Request{Kind: client.ReadState}).State
		if s.AllSupport(coordination.StateVersion, []uint64{1, 2, 3}) {
			return
		}
		if time.Now().After(deadline) {
			w.t.Fatalf("members support %v, wanted version %d", s.SupportedVersions, coordination.StateVersion)
		}
	}
}

func changeOf(id, service string, ifVersion configuration.Version, settings string) *configuration.Change {
	return &configuration.Change{ID: id, Service: service, IfVersion: &ifVersion, Settings: json.RawMessage(settings)}
}

// configure sends a change.
func (w *testCluster) configure(change *configuration.Change) *client.Response {
	w.t.Helper()
	return w.do(client.Request{Kind: client.ChangeConfiguration, Change: change})
}

// A change is committed and read back, every member returns it to a watch, and a long
// poll returns at the next. The state for supervisors does not contain it.
func TestChangeAndWatch(t *testing.T) {
	t.Parallel()
	w := newUpgradedCluster(t)
	first := w.configure(changeOf("a", "mail", 0, `{"tenants":[{"name":"x","quota-per-s":5}]}`))
	if first.Rejection != "" || first.Resource == nil || first.Resource.Version != configuration.NewVersion(1, 1) {
		t.Fatalf("first change: %+v", first)
	}
	read := w.do(client.Request{Kind: client.ReadConfiguration, Service: "mail"})
	if read.Resource == nil || read.Resource.Version != first.Resource.Version || !strings.Contains(string(read.Resource.Settings), `"quota-per-s":5`) {
		t.Errorf("read back: %+v", read)
	}
	if a := w.do(client.Request{Kind: client.ReadConfiguration, Service: "post"}); a.Rejection == "" {
		t.Errorf("an unknown service: %+v, wanted a refusal", a)
	}
	if a := w.do(client.Request{Kind: client.ReadConfiguration}); len(a.Services) != 1 || a.Services["mail"] != first.Resource.Version {
		t.Errorf("all services: %+v", a.Services)
	}
	if s := w.do(client.Request{Kind: client.ReadState}).State; s.Configuration != nil {
		t.Error("the state for a supervisor contains the configuration")
	}
	if snapshot, err := FetchSnapshot(t.Context(), w.config); err != nil || !strings.Contains(string(snapshot), "quota-per-s") {
		t.Errorf("a snapshot lacks the configuration (%v)", err)
	}

	held := first.Resource.Version
	var polls sync.WaitGroup
	for i := 1; i <= 3; i++ {
		if u := w.poll(i, 0, 0, hasUpdate).Update; !u.IsSnapshot() || len(u.Resources) != 1 {
			t.Errorf("member %d: %+v, wanted a snapshot of one service", i, u)
		}
		if u := w.poll(i, held, 1, hasUpdate).Update; len(u.Resources) != 0 || u.Version != held {
			t.Errorf("member %d: %+v, wanted an empty update", i, u)
		}
		polls.Go(func() {
			newer := func(a *client.Response) bool { return a.Update != nil && a.Update.Version > held }
			if u := w.poll(i, held, 2000, newer).Update; u.IsSnapshot() || len(u.Resources) != 1 || u.Resources[0].Service != "post" {
				t.Errorf("member %d: %+v, wanted only what is new", i, u)
			}
		})
	}
	w.configure(changeOf("b", "post", 0, `{}`))
	polls.Wait()
}

// poll sends a watch to a member until it returns a response that is wanted.
func (w *testCluster) poll(i int, version configuration.Version, waitMS int, wanted func(*client.Response) bool) *client.Response {
	var a *client.Response
	var err error
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if a, err = w.call(i, client.Request{Kind: client.WatchConfiguration, Version: version, WaitMS: waitMS}); err == nil && wanted(a) {
			return a
		}
	}
	w.t.Errorf("member %d from version %v on: %+v, %v, wanted another response", i, version, a, err)
	return &client.Response{Update: &configuration.Update{}}
}

// hasUpdate reports whether the member knows a leader.
func hasUpdate(a *client.Response) bool { return a.Update != nil }

// withinTerm calls do between two reads of the same leader, and repeats it if the
// leader has changed.
func (w *testCluster) withinTerm(do func()) (before, after *client.Response) {
	w.t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); {
		before = w.do(client.Request{Kind: client.ReadState})
		do()
		after = w.do(client.Request{Kind: client.ReadState})
		if before.Term == after.Term {
			return before, after
		}
	}
	w.t.Fatal("no leader stays for as long as the measurement takes")
	return nil, nil
}

// An invalid change is rejected in one line, without a log entry.
func TestRejectedChanges(t *testing.T) {
	t.Parallel()
	w := newUpgradedCluster(t)
	first := w.configure(changeOf("a", "mail", 0, `{}`)).Resource.Version
	w.configure(changeOf("b", "mail", first, `{}`))
	tests := map[string]struct {
		change   *configuration.Change
		want     string
		conflict bool
	}{
		"old version":      {changeOf("c", "mail", first, `{}`), "found version 1.2, wanted 1.1", true},
		"exists":           {changeOf("d", "mail", 0, `{}`), "wanted 0.0", true},
		"unknown service":  {&configuration.Change{ID: "e", Service: "post", Settings: json.RawMessage(`{}`)}, "found no such service", false},
		"unknown key":      {changeOf("f", "mail", first, `{"tennants":[]}`), "found an unknown key", false},
		"wants a roll":     {changeOf("g", "mail", first, `{"limits":{}}`), "roll", false},
		"share below zero": {changeOf("h", "mail", first, `{"tenants":[{"name":"x","quota-per-s":-1}]}`), `tenants[0].quota-per-s: found "-1", wanted`, false},
		"over the bound":   {changeOf("i", "mail", first, `{"tenants":[{"name":"`+strings.Repeat("x", 9000)+`"}]}`), "wanted 8192 at most", false},
		"no change":        {nil, "found none", false},
		"no id":            {changeOf("", "mail", first, `{}`), "id: found", false},
	}
	before, after := w.withinTerm(func() {
		for name, test := range tests {
			a := w.configure(test.change)
			if !strings.Contains(a.Rejection, test.want) || strings.Contains(a.Rejection, "\n") || a.Conflict != test.conflict || a.Resource != nil {
				t.Errorf("%s: %+v, wanted %q in one line and conflict %v", name, a, test.want, test.conflict)
			}
		}
	})
	if after.Index != before.Index {
		t.Errorf("%d entries after %d: something was committed", after.Index, before.Index)
	}
}

// Of two concurrent changes of one version one is applied, and the other one is a
// conflict. A change that is retried is applied once.
func TestTwoChangesOfOneVersion(t *testing.T) {
	t.Parallel()
	w := newUpgradedCluster(t)
	version := w.configure(changeOf("first", "mail", 0, `{}`)).Resource.Version
	for round := range 20 {
		var answers [2]*client.Response
		var operators sync.WaitGroup
		for i := range answers {
			operators.Go(func() {
				answers[i] = w.configure(changeOf(fmt.Sprintf("round-%d-%d", round, i), "mail", version, fmt.Sprintf(`{"tenants":[{"name":"by-%d"}]}`, i)))
			})
		}
		operators.Wait()
		winner := 0
		if answers[0].Rejection != "" {
			winner = 1
		}
		loser := answers[1-winner]
		if answers[winner].Rejection != "" || !loser.Conflict || loser.Rejection == "" {
			t.Fatalf("round %d: %+v and %+v, wanted one to win and a conflict", round, answers[0], answers[1])
		}
		read := w.do(client.Request{Kind: client.ReadConfiguration, Service: "mail"}).Resource
		if read.Version != answers[winner].Resource.Version || read.Version != version+1 || !strings.Contains(string(read.Settings), fmt.Sprint("by-", winner)) {
			t.Fatalf("round %d: %+v, wanted what %d wrote, at one version on from %v", round, read, winner, version)
		}
		again := w.configure(changeOf(fmt.Sprintf("round-%d-%d", round, winner), "mail", version, `{}`))
		if again.Rejection != "" || again.Resource.Version != read.Version {
			t.Fatalf("round %d: sent again: %+v, wanted version %v", round, again, read.Version)
		}
		version = read.Version
	}
}

// Without a leader a member is unavailable at once, also to a waiting long poll; a
// follower that was suspended does not return what is older than the request.
func TestWatchWithoutLeader(t *testing.T) {
	t.Parallel()
	w := newUpgradedCluster(t)
	version := w.configure(changeOf("a", "mail", 0, `{}`)).Resource.Version
	leader := w.leader(0)
	stopped, other := leader%3+1, (leader+1)%3+1
	if u := w.poll(stopped, 0, 0, hasUpdate).Update; u.Version != version {
		t.Fatalf("member %d: %+v, wanted version %v", stopped, u, version)
	}
	w.signal(stopped, syscall.SIGSTOP)
	newer := w.configure(changeOf("b", "mail", version, `{}`)).Resource.Version
	w.signal(stopped, syscall.SIGCONT)
	if u := w.poll(stopped, 0, 0, hasUpdate).Update; u.Version < newer {
		t.Fatalf("a member that was suspended: version %v after %v was committed", u.Version, newer)
	}

	// A waiting long poll returns long before its wait is over.
	responses := make(chan *client.Response, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), client.MaxWait-time.Second)
		defer cancel()
		q := client.Request{Kind: client.WatchConfiguration, Version: newer, WaitMS: int(client.MaxWait.Milliseconds())}
		a, err := client.Call(ctx, http.DefaultClient, w.config.memberAddresses()[uint64(other)], "test", q)
		if err != nil {
			a = &client.Response{Rejection: err.Error()}
		}
		responses <- a
	}()
	time.Sleep(100 * time.Millisecond) // likely enough that the poll waits
	w.kill(leader)
	w.kill(stopped)
	if a := <-responses; a.Unavailable == "" {
		t.Errorf("a long poll of a member alone: %+v, wanted it unavailable", a)
	}
	if a, err := w.call(other, client.Request{Kind: client.WatchConfiguration, WaitMS: 2000}); err != nil || a.Unavailable == "" {
		t.Errorf("a member alone: %+v, %v, wanted it unavailable", a, err)
	}
}

// Concurrent changes share synced writes of the leader's file.
func TestConcurrentChangesShareWrites(t *testing.T) {
	t.Parallel()
	w := newUpgradedCluster(t)
	const single, together = 50, 200
	change := func(id string, i int, ifVersion *configuration.Version) {
		a := w.configure(&configuration.Change{ID: id, Service: fmt.Sprint("service-", i), IfVersion: ifVersion, Settings: json.RawMessage(`{}`)})
		if a.Rejection != "" {
			t.Errorf("%s: %s", id, a.Rejection)
		}
	}
	atOnce := func(round string, ifVersion *configuration.Version) {
		var all sync.WaitGroup
		for i := range together {
			all.Go(func() { change(fmt.Sprint(round, i), i, ifVersion) })
		}
		all.Wait()
	}
	atOnce("create", new(configuration.Version))
	rounds := 0 // in the change IDs of a measurement
	before, after := w.withinTerm(func() {
		rounds++
		for i := range single {
			change(fmt.Sprintf("single-%d-%d", rounds, i), i, nil)
		}
	})
	singly := after.Syncs - before.Syncs
	if singly < single {
		t.Errorf("%d changes one after another: %d writes, wanted one each", single, singly)
	}
	before, after = w.withinTerm(func() {
		rounds++
		atOnce(fmt.Sprintf("together-%d-", rounds), nil)
	})
	shared := after.Syncs - before.Syncs
	t.Logf("writes: %d for %d changes one after another, %d for %d at once", singly, single, shared, together)
	if shared > together/2 {
		t.Errorf("%d changes at once: %d writes, wanted half of them at most", together, shared)
	}
}

// BenchmarkWatch is the processor time of a cluster's three members together: in a
// second without long polls, in one with 19 idle ones, and for sending one change to all
// of them.
func BenchmarkWatch(b *testing.B) {
	const relays, waitMS = 19, 350
	w := newUpgradedCluster(b)
	changes := 0
	perSecond := func(b *testing.B, used time.Duration) {
		b.Helper()
		b.ReportMetric(used.Seconds()/b.Elapsed().Seconds(), "cores")
	}
	b.Run("alone", func(b *testing.B) {
		start := w.processorTime()
		for range b.N {
			time.Sleep(waitMS * time.Millisecond)
		}
		perSecond(b, w.processorTime()-start)
	})
	version := w.configure(changeOf("a", "mail", 0, `{}`)).Resource.Version
	b.Run("idle", func(b *testing.B) {
		var polls sync.WaitGroup
		start := w.processorTime()
		for i := range relays {
			polls.Go(func() {
				for range b.N {
					w.poll(1+i%3, version, waitMS, hasUpdate)
				}
			})
		}
		polls.Wait()
		perSecond(b, w.processorTime()-start)
	})
	b.Run("change", func(b *testing.B) {
		start := w.processorTime()
		for range b.N {
			var polls sync.WaitGroup
			for k := range relays {
				polls.Go(func() {
					w.poll(1+k%3, version, 2000, func(a *client.Response) bool { return a.Update != nil && a.Update.Version > version })
				})
			}
			changes++
			change := &configuration.Change{ID: fmt.Sprint("change-", changes), Service: "mail", Settings: json.RawMessage(`{}`)}
			next := w.configure(change).Resource.Version
			polls.Wait()
			version = next
		}
		b.ReportMetric(float64(w.processorTime()-start)/float64(b.N), "cpu-ns/change")
	})
}

// processorTime returns the time that the members' processes have used.
func (w *testCluster) processorTime() (total time.Duration) {
	w.t.Helper()
	for _, process := range w.processes {
		threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", process.Process.Pid))
		if err != nil {
			w.t.Fatal(err)
		}
		for _, thread := range threads {
			text, err := os.ReadFile(thread)
			if err != nil {
				continue // the thread has ended
			}
			var ran int64
			if _, err := fmt.Sscan(string(text), &ran); err != nil {
				w.t.Fatal(err)
			}
			total += time.Duration(ran)
		}
	}
	return total
}
