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

// configurable starts a council of three and awaits that all can apply changes.
func configurable(t testing.TB) *world {
	t.Helper()
	w := build(t, t.TempDir(), 3)
	for i := 1; i <= 3; i++ {
		w.start(i, Bootstrap)
	}
	w.able()
	return w
}

// able awaits that all three members can apply changes of the configuration.
func (w *world) able() {
	w.t.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(10 * time.Millisecond) {
		s := w.asks(client.Request{Kind: client.ReadState}).State
		if s.AllSupport(coordination.StateVersion, []uint64{1, 2, 3}) {
			return
		}
		if time.Now().After(end) {
			w.t.Fatalf("members can apply %v, wanted version %d", s.SupportedVersions, coordination.StateVersion)
		}
	}
}

func changeOf(id, service string, ifVersion configuration.Version, settings string) *configuration.Change {
	return &configuration.Change{ID: id, Service: service, IfVersion: &ifVersion, Settings: json.RawMessage(settings)}
}

// configures has a change agreed on.
func (w *world) configures(change *configuration.Change) *client.Response {
	w.t.Helper()
	return w.asks(client.Request{Kind: client.ChangeConfiguration, Change: change})
}

// A change is agreed on and read back, every member hands it on, and a poll that
// waits is woken by the next. The state that supervisors ask for does not carry it.
func TestConfigureAndFollow(t *testing.T) {
	t.Parallel()
	w := configurable(t)
	first := w.configures(changeOf("a", "mail", 0, `{"tenants":[{"name":"x","quota-per-s":5}]}`))
	if first.Rejection != "" || first.Resource == nil || first.Resource.Version != configuration.NewVersion(1, 1) {
		t.Fatalf("first change: %+v", first)
	}
	read := w.asks(client.Request{Kind: client.ReadConfiguration, Service: "mail"})
	if read.Resource == nil || read.Resource.Version != first.Resource.Version || !strings.Contains(string(read.Resource.Settings), `"quota-per-s":5`) {
		t.Errorf("read back: %+v", read)
	}
	if a := w.asks(client.Request{Kind: client.ReadConfiguration, Service: "post"}); a.Rejection == "" {
		t.Errorf("an unknown service: %+v, wanted a refusal", a)
	}
	if a := w.asks(client.Request{Kind: client.ReadConfiguration}); len(a.Services) != 1 || a.Services["mail"] != first.Resource.Version {
		t.Errorf("all services: %+v", a.Services)
	}
	if s := w.asks(client.Request{Kind: client.ReadState}).State; s.Configuration != nil {
		t.Error("the state of a supervisor's question carries the configuration")
	}
	if snapshot, err := FetchSnapshot(w.file); err != nil || !strings.Contains(string(snapshot), "quota-per-s") {
		t.Errorf("a snapshot to be kept lacks the configuration (%v)", err)
	}

	held := first.Resource.Version
	var polls sync.WaitGroup
	for i := 1; i <= 3; i++ {
		if u := w.polls(i, 0, 0, updates).Update; !u.IsSnapshot() || len(u.Resources) != 1 {
			t.Errorf("member %d: %+v, wanted a snapshot of one service", i, u)
		}
		if u := w.polls(i, held, 1, updates).Update; len(u.Resources) != 0 || u.Version != held {
			t.Errorf("member %d: %+v, wanted an update without news", i, u)
		}
		polls.Go(func() {
			news := func(a *client.Response) bool { return a.Update != nil && a.Update.Version > held }
			if u := w.polls(i, held, 2000, news).Update; u.IsSnapshot() || len(u.Resources) != 1 || u.Resources[0].Service != "post" {
				t.Errorf("member %d: %+v, wanted what is new alone", i, u)
			}
		})
	}
	w.configures(changeOf("b", "post", 0, `{}`))
	polls.Wait()
}

// polls asks a member for the configuration until it has an answer that is wanted.
func (w *world) polls(i int, version configuration.Version, waitMS int, wanted func(*client.Response) bool) *client.Response {
	var a *client.Response
	var err error
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if a, err = w.one(i, client.Request{Kind: client.WatchConfiguration, Version: version, WaitMS: waitMS}); err == nil && wanted(a) {
			return a
		}
	}
	w.t.Errorf("member %d from version %v on: %+v, %v, wanted another answer", i, version, a, err)
	return &client.Response{Update: &configuration.Update{}}
}

// updates is the answer of a member that knows a leader.
func updates(a *client.Response) bool { return a.Update != nil }

// withinTerm measures between two looks at the leader, anew where another leader has
// come between them.
func (w *world) withinTerm(do func()) (before, after *client.Response) {
	w.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); {
		before = w.asks(client.Request{Kind: client.ReadState})
		do()
		after = w.asks(client.Request{Kind: client.ReadState})
		if before.Term == after.Term {
			return before, after
		}
	}
	w.t.Fatal("no leader stays for as long as the measurement takes")
	return nil, nil
}

// What can't be agreed on is refused in one line, and no entry comes of it.
func TestConfigureRefusals(t *testing.T) {
	t.Parallel()
	w := configurable(t)
	first := w.configures(changeOf("a", "mail", 0, `{}`)).Resource.Version
	w.configures(changeOf("b", "mail", first, `{}`))
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
			a := w.configures(test.change)
			if !strings.Contains(a.Rejection, test.want) || strings.Contains(a.Rejection, "\n") || a.Conflict != test.conflict || a.Resource != nil {
				t.Errorf("%s: %+v, wanted %q in one line and conflict %v", name, a, test.want, test.conflict)
			}
		}
	})
	if after.Index != before.Index {
		t.Errorf("%d entries after %d: something was agreed on", after.Index, before.Index)
	}
}

// Two change the same version at the same time: one wins, the other hears of the
// conflict and changes nothing. And a change that is sent again is applied once.
func TestTwoChangesOfOneVersion(t *testing.T) {
	t.Parallel()
	w := configurable(t)
	version := w.configures(changeOf("first", "mail", 0, `{}`)).Resource.Version
	for round := range 20 {
		var answers [2]*client.Response
		var operators sync.WaitGroup
		for i := range answers {
			operators.Go(func() {
				answers[i] = w.configures(changeOf(fmt.Sprintf("round-%d-%d", round, i), "mail", version, fmt.Sprintf(`{"tenants":[{"name":"by-%d"}]}`, i)))
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
		read := w.asks(client.Request{Kind: client.ReadConfiguration, Service: "mail"}).Resource
		if read.Version != answers[winner].Resource.Version || read.Version != version+1 || !strings.Contains(string(read.Settings), fmt.Sprint("by-", winner)) {
			t.Fatalf("round %d: %+v, wanted what %d wrote, at one version on from %v", round, read, winner, version)
		}
		again := w.configures(changeOf(fmt.Sprintf("round-%d-%d", round, winner), "mail", version, `{}`))
		if again.Rejection != "" || again.Resource.Version != read.Version {
			t.Fatalf("round %d: sent again: %+v, wanted version %v", round, again, read.Version)
		}
		version = read.Version
	}
}

// Without a leader a member says no at once, also to a poll that waits; a follower
// that was stopped does not hand on what is older than the question.
func TestFollowWithoutLeader(t *testing.T) {
	t.Parallel()
	w := configurable(t)
	version := w.configures(changeOf("a", "mail", 0, `{}`)).Resource.Version
	leader := w.leader(0)
	stopped, other := leader%3+1, (leader+1)%3+1
	if u := w.polls(stopped, 0, 0, updates).Update; u.Version != version {
		t.Fatalf("member %d: %+v, wanted version %v", stopped, u, version)
	}
	w.procs[stopped].Process.Signal(syscall.SIGSTOP)
	newer := w.configures(changeOf("b", "mail", version, `{}`)).Resource.Version
	w.procs[stopped].Process.Signal(syscall.SIGCONT)
	if u := w.polls(stopped, 0, 0, updates).Update; u.Version < newer {
		t.Fatalf("a member that was stopped: version %v after %v was agreed on", u.Version, newer)
	}

	// A poll that waits hears of the loss long before its wait is over.
	noes := make(chan *client.Response, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), client.MaxWait-time.Second)
		defer cancel()
		q := client.Request{Kind: client.WatchConfiguration, Version: newer, WaitMS: int(client.MaxWait.Milliseconds())}
		a, err := client.Call(ctx, http.DefaultClient, w.file.members()[uint64(other)], "test", q)
		if err != nil {
			a = &client.Response{Rejection: err.Error()}
		}
		noes <- a
	}()
	time.Sleep(100 * time.Millisecond) // likely enough that the poll waits
	w.kill(leader)
	w.kill(stopped)
	if a := <-noes; a.Unavailable == "" {
		t.Errorf("a poll that waits for a member alone: %+v, wanted a no", a)
	}
	if a, err := w.one(other, client.Request{Kind: client.WatchConfiguration, WaitMS: 2000}); err != nil || a.Unavailable == "" {
		t.Errorf("a member alone: %+v, %v, wanted a no", a, err)
	}
}

// Changes that come at once share a write: their number on the leader's disk is far
// below theirs.
func TestConcurrentChangesShareWrites(t *testing.T) {
	t.Parallel()
	w := configurable(t)
	const single, together = 50, 200
	change := func(id string, i int, ifVersion *configuration.Version) {
		a := w.configures(&configuration.Change{ID: id, Service: fmt.Sprint("service-", i), IfVersion: ifVersion, Settings: json.RawMessage(`{}`)})
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
	rounds := 0 // each measurement has ids of its own
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

// BenchmarkFollow is the processor time that a council's three members spend together:
// in a second without polls, in one in which 19 relays wait for news in vain, and on
// bringing one change to all of them.
func BenchmarkFollow(b *testing.B) {
	const relays, waitMS = 19, 350
	w := configurable(b)
	changes := 0
	perSecond := func(b *testing.B, used time.Duration) {
		b.ReportMetric(used.Seconds()/b.Elapsed().Seconds(), "cores")
	}
	b.Run("alone", func(b *testing.B) {
		start := w.processorTime()
		for range b.N {
			time.Sleep(waitMS * time.Millisecond)
		}
		perSecond(b, w.processorTime()-start)
	})
	version := w.configures(changeOf("a", "mail", 0, `{}`)).Resource.Version
	b.Run("idle", func(b *testing.B) {
		var polls sync.WaitGroup
		start := w.processorTime()
		for i := range relays {
			polls.Go(func() {
				for range b.N {
					w.polls(1+i%3, version, waitMS, updates)
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
					w.polls(1+k%3, version, 2000, func(a *client.Response) bool { return a.Update != nil && a.Update.Version > version })
				})
			}
			changes++
			change := &configuration.Change{ID: fmt.Sprint("change-", changes), Service: "mail", Settings: json.RawMessage(`{}`)}
			next := w.configures(change).Resource.Version
			polls.Wait()
			version = next
		}
		b.ReportMetric(float64(w.processorTime()-start)/float64(b.N), "cpu-ns/change")
	})
}

// processorTime is what the members' processes have used so far.
func (w *world) processorTime() (total time.Duration) {
	w.t.Helper()
	for _, process := range w.procs {
		threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", process.Process.Pid))
		if err != nil {
			w.t.Fatal(err)
		}
		for _, thread := range threads {
			text, err := os.ReadFile(thread)
			if err != nil {
				continue // it has ended
			}
			var ran int64
			fmt.Sscan(string(text), &ran)
			total += time.Duration(ran)
		}
	}
	return total
}
