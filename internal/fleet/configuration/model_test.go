package configuration

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// inForceWithin is in what time a change must be in force at a subscriber that could
// reach a good relay all along, counted from the accept.
const inForceWithin = 4 * time.Second

// model plays random operations on a world.
type model struct {
	*world
	pending []*pendingChange
	held    int // changes whose time was held against inForceWithin
}

// pendingChange is a change that has to be in force at a subscriber, or all that the
// council held when the subscriber was restarted.
type pendingChange struct {
	accepted    time.Duration
	service     string // empty for all
	version     Version
	subscriber  *worldSubscriber
	incarnation int
	space       uint32
}

var modelServices = []string{"a", "b", "c", "d", "e"}

// modelSubscriptions are those of the subscribers: to some, all, none, and to one that
// is created late or never.
var modelSubscriptions = []Subscription{{"a"}, {"a", "b"}, {"c", "d", "e"}, nil, {}, {"b", "none"}}

func newModel(seed uint64, relays int) *model {
	m := &model{world: newWorld(seed, relays, modelSubscriptions)}
	m.admission = AdmissionSettings{Slots: 2, SlotTimeout: 2 * time.Second, RetryMin: 50 * time.Millisecond, RetryMax: 500 * time.Millisecond}
	for _, relay := range m.relays {
		relay.admission = NewAdmission(m.admission)
	}
	m.loss, m.duplicate = 0, 0.1
	return m
}

// play runs for a time in small steps, and holds each pending change against its time.
func (m *model) play(d time.Duration) {
	const step = 20 * time.Millisecond
	for end := m.now + d; m.now < end; {
		m.run(step)
		m.pending = slices.DeleteFunc(m.pending, m.settled)
	}
}

// settled tells whether a change needs no more attention: it is in force, or the
// promise does not hold for it, or it has been noted as broken.
func (m *model) settled(p *pendingChange) bool {
	switch {
	case m.now < p.accepted:
		return false // it has not begun again
	case p.subscriber.incarnation != p.incarnation, p.space != m.council.space:
		return true
	case p.isInForce():
		m.held++
		return true
	case !m.goodSince(p.accepted):
		return true
	case m.now > p.accepted+inForceWithin:
		m.fail("%s: %s at %v is not in force %v after the accept", p.subscriber.name, p.service, p.version, m.now-p.accepted)
		return true
	}
	return false
}

func (p *pendingChange) isInForce() bool {
	if p.service == "" {
		return p.subscriber.version >= p.version
	}
	return p.subscriber.versions[p.service] >= p.version
}

// goodSince tells whether any relay could serve from before a time until now.
func (m *model) goodSince(at time.Duration) bool {
	return slices.ContainsFunc(m.relays, func(r *worldRelay) bool {
		return r.goodSince >= 0 && r.goodSince+inForceWithin <= at
	})
}

func (m *model) changeAndFollow(service string) {
	version := m.change(service)
	if version == 0 || m.loss > 0 {
		return
	}
	for _, s := range m.subscribers {
		if s.decider != nil && s.decider.Version() > 0 && (s.services == nil || slices.Contains(s.services, service)) {
			m.pending = append(m.pending, &pendingChange{m.now, service, version, s, s.incarnation, m.council.space})
		}
	}
}

// restartAndFollow restarts a subscriber, which then has to be served anew in time.
func (m *model) restartAndFollow(n int, after time.Duration) {
	s := m.subscribers[n]
	s.restart(after)
	if m.loss > 0 {
		return
	}
	all := &pendingChange{accepted: m.now + after, version: m.council.store.Version, subscriber: s, incarnation: s.incarnation + 1, space: m.council.space}
	m.pending = append(m.pending, all)
}

// operations are what may happen to a model, each with an argument of its own.
var operations = map[string]func(*model, int){
	"change":       func(m *model, n int) { m.changeAndFollow(modelServices[n%len(modelServices)]) },
	"change again": func(m *model, n int) { m.changeAndFollow(modelServices[n%2]) },
	"heal":         func(m *model, n int) { m.heal() },
	"burst": func(m *model, n int) {
		for range 20 {
			m.change(modelServices[n%len(modelServices)])
		}
	},
	"repeat": func(m *model, n int) { m.repeat(n) },
	"kill":   func(m *model, n int) { m.relays[n%len(m.relays)].kill() },
	"start":  func(m *model, n int) { m.relays[n%len(m.relays)].start() },
	"stop":   func(m *model, n int) { m.relays[n%len(m.relays)].stop() },
	"wake":   func(m *model, n int) { m.relays[n%len(m.relays)].wake() },
	"cut":    func(m *model, n int) { m.relays[n%len(m.relays)].setCut(true) },
	"join":   func(m *model, n int) { m.relays[n%len(m.relays)].setCut(false) },
	"drain":  func(m *model, n int) { m.relays[n%len(m.relays)].drain() },
	"restart": func(m *model, n int) {
		m.restartAndFollow(n%len(m.subscribers), time.Duration(n%50)*time.Millisecond)
	},
	"restart a third": func(m *model, n int) {
		for i := n % 3; i < len(m.subscribers); i += 3 {
			m.restartAndFollow(i, 0)
		}
	},
	"lose":       func(m *model, n int) { m.loss = 0.3; m.pending = nil },
	"lose none":  func(m *model, _ int) { m.loss = 0 },
	"no leader":  func(m *model, _ int) { m.setSilent(true) },
	"leader":     func(m *model, _ int) { m.setSilent(false) },
	"save":       func(m *model, _ int) { m.council.saved = m.council.store.Clone() },
	"restore":    func(m *model, _ int) { m.restore() },
	"wait":       func(m *model, n int) { m.play(time.Duration(n*37%3000) * time.Millisecond) },
	"wait again": func(m *model, n int) { m.play(time.Duration(n*53%6000) * time.Millisecond) },
}

// repeat sends an earlier change again, as one whose answer was lost: it is applied
// once, and its version is the first.
func (m *model) repeat(n int) {
	remembered := m.council.store.RecentChanges
	if len(remembered) == 0 || m.council.silent {
		return
	}
	chosen, before := remembered[n%len(remembered)], m.council.store.Version
	version := m.apply(Change{ID: chosen.ID, Service: modelServices[0], Settings: []byte(`{}`)})
	if version != chosen.Version || m.council.store.Version != before {
		m.fail("repeat of %s: found %v and the store at %v, wanted %v and %v", chosen.ID, version, m.council.store.Version, chosen.Version, before)
	}
}

func (m *model) setSilent(silent bool) {
	m.council.silent = silent
	for _, relay := range m.relays {
		relay.judge()
	}
}

// heal ends all faults.
func (m *model) heal() {
	m.loss = 0
	m.setSilent(false)
	for _, relay := range m.relays {
		relay.setCut(false)
		relay.wake()
		if relay.draining {
			relay.kill()
		}
		relay.start()
	}
}

// Whatever happens in whatever order, no version goes back, none is applied twice, a
// change is in force in time wherever a good relay could be reached, and in the end
// all hold exactly what the council holds.
func TestConfigurationModel(t *testing.T) {
	held := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 3).Draw(t, "relays"))
		m.play(time.Second)
		names := rapid.SampledFrom(sortedOperations())
		for i := range rapid.IntRange(1, 60).Draw(t, "operations") {
			name, argument := names.Draw(t, "operation"), rapid.IntRange(0, 1000).Draw(t, "argument")
			operations[name](m, argument)
			m.play(time.Duration(rapid.SampledFrom([]int{0, 0, 20, 400, 2000}).Draw(t, "pause")) * time.Millisecond)
			if len(m.broken) > 0 {
				t.Fatalf("after operation %d, %s(%d): %q", i, name, argument, m.broken)
			}
		}
		m.heal()
		m.play(inForceWithin)
		m.changeAndFollow("a")
		m.play(inForceWithin)
		m.checkEnd(t)
		held += m.held
	})
	if !t.Failed() && held < 100 {
		t.Errorf("found %d changes that had to be in force in time, wanted 100 or more", held)
	}
	t.Logf("%d changes were in force in time", held)
}

func sortedOperations() []string {
	var names []string
	for name := range operations {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// checkEnd holds the end of a play against the council.
func (m *model) checkEnd(t *rapid.T) {
	for _, s := range m.subscribers {
		if differs := s.holdsNewest(); differs != "" {
			m.fail("%s", differs)
		}
		s.checkPolls()
	}
	for _, r := range m.relays {
		if !sameResources(r.cache.resources, valuesOf(m.council.store.Resources)) {
			m.fail("relay %d holds %v, wanted %v", r.index, versionsOf(r.cache.resources), versionsOf(valuesOf(m.council.store.Resources)))
		}
		if r.registry.Len() > len(m.subscribers) || r.admission.Peak() > m.admission.Slots {
			m.fail("relay %d knows %d subscribers and had %d snapshots under way, wanted %d and %d at most", r.index, r.registry.Len(), r.admission.Peak(), len(m.subscribers), m.admission.Slots)
		}
	}
	if len(m.broken) > 0 {
		t.Fatalf("at the end: %q", m.broken)
	}
}

func valuesOf(resources map[string]*Resource) map[string]Resource {
	values := map[string]Resource{}
	for service, resource := range resources {
		values[service] = *resource
	}
	return values
}

// A reader that is late with its next poll is sent a burst of 200 changes to one
// service as one resource.
func TestBurstIsOneResourceToASlowReader(t *testing.T) {
	store, relay, reader := &Store{}, &Cache{}, &Cache{}
	mustApply(t, store, 1, put("first", "a", 0))
	mustTake(t, relay, store.UpdateSince(relay.Version()))
	mustTake(t, reader, relay.UpdateSince(reader.Version(), Subscription{"a"}))
	for i := range 200 {
		mustApply(t, store, 1, put(fmt.Sprint("n", i), "a", -1))
		mustTake(t, relay, store.UpdateSince(relay.Version()))
	}
	update := relay.UpdateSince(reader.Version(), Subscription{"a"})
	if len(update.Resources) != 1 {
		t.Fatalf("found %d resources, wanted 1", len(update.Resources))
	}
	mustTake(t, reader, update)
	if held, _ := reader.Resource("a"); held.Version != store.Resources["a"].Version {
		t.Errorf("found %v, wanted %v", held.Version, store.Resources["a"].Version)
	}
}

// The same through relays: what a subscriber receives of a burst is bounded by time,
// not by the changes.
func TestBurstThroughRelays(t *testing.T) {
	w := newWorld(3, 2, []Subscription{{"a"}})
	w.run(time.Second)
	w.change("a")
	w.run(time.Second)
	before := w.subscribers[0].received
	for range 200 {
		w.change("a")
		w.run(5 * time.Millisecond)
	}
	w.run(2 * time.Second)
	if differs := w.subscribers[0].holdsNewest(); differs != "" || len(w.broken) > 0 {
		t.Errorf("found %s; %q", differs, w.broken)
	}
	if received, most := w.subscribers[0].received-before, pollBurst+1+int(time.Second/pollInterval)+1; received > most {
		t.Errorf("found %d resources received of 200 changes within a second, wanted %d at most", received, most)
	}
}

func mustTake(t *testing.T, cache *Cache, update Update) {
	t.Helper()
	if _, err := cache.Apply(update); err != nil {
		t.Fatal(err)
	}
}

// A council that was restored from an older snapshot: all end with what it holds now,
// also those that had heard of changes which the snapshot lacks, and a late answer of
// before is not taken.
func TestRestoreFromAnOlderSnapshot(t *testing.T) {
	w := newWorld(5, 2, []Subscription{{"a", "b"}, nil})
	w.run(time.Second)
	w.change("a")
	w.council.saved = w.council.store.Clone()
	w.change("a")
	w.change("b")
	w.run(time.Second)
	late := w.council.store.UpdateSince(0)
	if _, found := w.subscribers[0].decider.Cache().Resource("b"); !found {
		t.Fatal("found no b before the restore")
	}
	w.restore()
	w.run(2 * time.Second)
	for _, s := range w.subscribers {
		if differs := s.holdsNewest(); differs != "" {
			t.Error(differs)
		}
		before := s.decider.Version()
		if _, err := s.decider.Cache().Apply(late); err == nil || s.decider.Version() != before {
			t.Errorf("%s: found a late answer taken", s.name)
		}
	}
	if len(w.broken) > 0 {
		t.Error(w.broken)
	}
}

// A relay that was stopped wakes with an old version after its subscribers have moved:
// none of them goes back, and those that had nothing are not sent old settings for
// new ones.
func TestStoppedRelayWakesLate(t *testing.T) {
	w := newWorld(7, 2, []Subscription{{"a"}, nil})
	w.run(time.Second)
	w.change("a")
	w.run(time.Second)
	w.relays[0].stop()
	for range 50 {
		w.change("a")
		w.run(200 * time.Millisecond)
	}
	w.subscribers[1].restart(0)
	w.relays[0].wake()
	w.run(30 * time.Second)
	for _, s := range w.subscribers {
		if differs := s.holdsNewest(); differs != "" {
			t.Error(differs)
		}
		if s.relay != 0 {
			t.Errorf("%s asks relay %d, wanted its return to 0", s.name, s.relay)
		}
	}
	if len(w.broken) > 0 {
		t.Error(w.broken)
	}
}

// Without a leader of the council the subscribers stay where they are, at a bounded
// rate of polls, and are all served once there is one.
func TestCouncilWithoutALeader(t *testing.T) {
	subscriptions := make([]Subscription, 50)
	for i := range subscriptions {
		subscriptions[i] = Subscription{"a"}
	}
	m := &model{world: newWorld(11, 3, subscriptions)}
	m.run(time.Second)
	m.change("a")
	m.run(5 * time.Second)
	m.setSilent(true)
	m.run(10 * time.Second)
	for _, s := range m.subscribers {
		s.polls = nil
	}
	m.run(time.Minute)
	polls := 0
	for _, s := range m.subscribers {
		polls += len(s.polls)
	}
	perSecond := float64(polls) / 60 / float64(len(m.subscribers))
	if perSecond > 2 {
		t.Errorf("found %.2f polls a second of each subscriber, wanted 2 at most", perSecond)
	}
	t.Logf("%.2f polls a second of each subscriber", perSecond)
	m.setSilent(false)
	m.run(time.Second)
	m.change("a")
	m.run(inForceWithin)
	for _, s := range m.subscribers {
		if differs := s.holdsNewest(); differs != "" {
			t.Error(differs)
		}
	}
	if len(m.broken) > 0 {
		t.Error(m.broken)
	}
}

// A sidecar that can't use a version says so by its polls, and keeps the last good;
// once it is sent one that it can use, nobody hears of the bad one any more.
func TestSidecarThatRejects(t *testing.T) {
	w := newWorld(13, 2, []Subscription{{"a"}, {"a"}})
	w.run(time.Second)
	good := w.change("a")
	w.run(time.Second)
	bad := w.change("a")
	rejecting := w.subscribers[1]
	rejecting.rejected = []Rejection{{Service: "a", Version: bad, Reason: "no such class"}}
	w.run(3 * time.Second)
	status := w.relays[0].registry.Status(w.now, "a")
	if len(status) != 2 || status[0].RejectedVersion != 0 || status[1].RejectedVersion != bad || status[1].Reason != "no such class" {
		t.Errorf("found %+v, wanted %v rejected by the second alone", status, bad)
	}
	if status[0].Version != bad || status[1].Version != bad || good >= bad {
		t.Errorf("found %+v, wanted %v taken by both", status, bad)
	}
	next := w.change("a")
	rejecting.rejected = nil
	w.run(3 * time.Second)
	for _, s := range w.relays[0].registry.Status(w.now, "a") {
		if s.Version != next || s.RejectedVersion != 0 || s.SinceLastPollMS > 2000 {
			t.Errorf("found %+v, wanted %v and no rejection", s, next)
		}
	}
}

// The subscribers of a relay that was killed ask the next one at the same moment, and
// have spread over its time a few polls later.
func TestSubscribersOfAKilledRelaySpread(t *testing.T) {
	const zone, bin = 400, 100 * time.Millisecond
	subscriptions := make([]Subscription, zone)
	for i := range subscriptions {
		subscriptions[i] = Subscription{"a"}
	}
	w := newWorld(17, 2, subscriptions)
	w.run(time.Second)
	w.change("a")
	w.run(2 * time.Second)
	w.relays[0].kill()
	killed := w.now
	w.run(7 * time.Second)
	polls := map[time.Duration]int{}
	total, from := 0, 5*time.Second
	for _, s := range w.subscribers {
		if s.relay != 1 {
			t.Fatalf("%s asks relay %d, wanted 1", s.name, s.relay)
		}
		for _, at := range s.polls {
			if since := at - killed; since >= from {
				polls[since/bin]++
				total++
			}
		}
	}
	mean := float64(total) / float64((7*time.Second-from)/bin)
	for at, count := range polls {
		if float64(count) > 3*mean {
			t.Errorf("found %d polls within 100 ms, %v after the kill, wanted three times the mean of %.0f at most", count, at*bin, mean)
		}
	}
	if peak := w.relays[1].admission.Peak(); peak > 0 {
		t.Errorf("found %d snapshots at a time, wanted none for those who hold a version", peak)
	}
}
