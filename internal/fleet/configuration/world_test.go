package configuration

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// world plays a council, its relays and their subscribers in virtual time, by the
// real Store, Cache, Admission, Registry and Subscriber. It stands for the sockets
// between them: messages take time, can be lost and can come twice. It checks on each
// step that no version goes back and that no content differs from what the council
// gave out under its version.
type world struct {
	rng    *rand.Rand
	now    time.Duration
	events eventQueue
	order  int // of events at the same time

	council     worldCouncil
	relays      []*worldRelay
	subscribers []*worldSubscriber
	settings    SubscriberSettings
	admission   AdmissionSettings

	latest    time.Duration // a message's longest way
	loss      float64       // share of messages between relays and subscribers that are lost
	duplicate float64       // share of answers that come a second time, late

	given  map[resourceVersion]string // all content that the council ever gave out
	broken []string                   // invariants that did not hold
}

type resourceVersion struct {
	service string
	version Version
}

type event struct {
	at    time.Duration
	order int
	do    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// worldCouncil is the agreed store, and the relays that wait at it.
type worldCouncil struct {
	store  *Store
	space  uint32
	silent bool // without a leader: it answers nobody
	saved  *Store
	ids    int
	parked []func() // polls of relays that wait for news
}

// worldRelay is a relay process. Its methods run when it does: what comes to one that
// is stopped is done when it wakes.
type worldRelay struct {
	world       *world
	index       int
	incarnation int // process; what was sent by an earlier one is lost
	down        bool
	stopped     bool
	cut         bool // off from the council
	draining    bool
	backlog     []func()

	cache     Cache
	ready     bool
	heard     time.Duration // from a council with a leader
	admission *Admission
	registry  *Registry
	refused   map[string]bool // told to come again
	parked    map[int]func()
	polls     int // that were answered or parked

	goodSince time.Duration // up, running and connected since; -1 where it isn't
}

type worldSubscriber struct {
	world       *world
	name        string
	services    Subscription
	incarnation int
	decider     *Subscriber
	poll        int // number of the one under way, or of none
	underWay    bool
	polls       []time.Duration
	relay       int // asked last
	rejected    []Rejection
	versions    map[string]Version // of each resource, as it was last taken
	version     Version
	received    int // resources that came in
	applied     map[resourceVersion]int
}

const followWait = 500 * time.Millisecond // of a relay's poll at the council

func newWorld(seed uint64, relays int, subscriptions []Subscription) *world {
	w := &world{
		rng:      rand.New(rand.NewPCG(seed, 1)),
		council:  worldCouncil{store: &Store{}, space: 1},
		settings: DefaultSubscriberSettings(relays), admission: DefaultAdmissionSettings,
		latest: 10 * time.Millisecond, given: map[resourceVersion]string{},
	}
	for i := range relays {
		relay := &worldRelay{world: w, index: i, down: true}
		w.relays = append(w.relays, relay)
		w.after(0, relay.start)
	}
	for i, services := range subscriptions {
		subscriber := &worldSubscriber{world: w, name: fmt.Sprintf("s%d", i), services: services}
		w.subscribers = append(w.subscribers, subscriber)
		w.after(0, subscriber.start)
	}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{w.now + d, w.order, do})
}

// run plays for a time.
func (w *world) run(d time.Duration) {
	end := w.now + d
	for len(w.events) > 0 && w.events[0].at <= end {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.do()
	}
	w.now = end
}

func (w *world) latency() time.Duration {
	return time.Duration(w.rng.Int64N(int64(w.latest))) + time.Microsecond
}

func (w *world) fail(format string, arguments ...any) {
	if len(w.broken) < 10 {
		w.broken = append(w.broken, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, arguments...))
	}
}

// Council.

// change has the council apply new settings of a service; the version is 0 where it
// has no leader.
func (w *world) change(service string) Version {
	w.council.ids++
	settings := fmt.Sprintf(`{"tenants":[{"name":"t%d","quota-per-s":%d}]}`, w.council.ids, w.council.ids)
	return w.apply(Change{ID: fmt.Sprint("change-", w.council.ids), Service: service, Settings: json.RawMessage(settings)})
}

func (w *world) apply(change Change) Version {
	c := &w.council
	if c.silent {
		return 0
	}
	if c.store.Resources[change.Service] == nil {
		change.IfVersion = new(Version)
	}
	if err := change.Validate(); err != nil {
		w.fail("%v", err)
	}
	before := c.store.Version
	version, err := c.store.Apply(c.space, change)
	if err != nil || version <= before && c.store.Version != before {
		w.fail("change of %s: found %v, %v after %v", change.Service, version, err, before)
	}
	w.giveOut()
	return version
}

// giveOut notes what the council holds, and wakes the relays that wait for news.
func (w *world) giveOut() {
	for service, resource := range w.council.store.Resources {
		key := resourceVersion{service, resource.Version}
		if known, found := w.given[key]; found && known != string(resource.Settings) {
			w.fail("%s at %v was given out as %s and as %s", service, resource.Version, known, resource.Settings)
		}
		w.given[key] = string(resource.Settings)
	}
	parked := w.council.parked
	w.council.parked = nil
	for _, answer := range parked {
		answer()
	}
}

// restore replaces the store by the saved one, in a higher epoch space.
func (w *world) restore() {
	if w.council.saved == nil {
		return
	}
	w.council.store = w.council.saved.Clone()
	w.council.space++
	w.council.store.StartTokenSpace(w.council.space)
	w.council.ids += 1000
	w.giveOut()
}

// Relay.

func (r *worldRelay) start() {
	if !r.down {
		return
	}
	r.incarnation++
	r.down, r.stopped, r.draining, r.ready = false, false, false, false
	r.backlog, r.cache, r.heard = nil, Cache{}, 0
	r.admission, r.registry = NewAdmission(r.world.admission), NewRegistry()
	r.refused, r.parked = map[string]bool{}, map[int]func(){}
	r.judge()
	r.follow()
}

// kill ends the process: its subscribers see their connections reset.
func (r *worldRelay) kill() {
	r.down, r.parked, r.backlog = true, nil, nil
	r.judge()
	for _, subscriber := range r.world.subscribers {
		if subscriber.relay == r.index && subscriber.decider != nil {
			poll := subscriber.poll
			r.world.after(r.world.latency(), func() { subscriber.failed(poll) })
		}
	}
}

func (r *worldRelay) stop() { r.stopped = true; r.judge() }

// wake goes on where the process was stopped.
func (r *worldRelay) wake() {
	r.stopped = false
	r.judge()
	backlog := r.backlog
	r.backlog = nil
	for _, do := range backlog {
		do()
	}
}

func (r *worldRelay) setCut(cut bool) { r.cut = cut; r.judge() }

// drain hands all subscribers on.
func (r *worldRelay) drain() {
	r.draining = true
	r.judge()
	for _, number := range slices.Sorted(maps.Keys(r.parked)) {
		r.parked[number]()
	}
}

// judge notes since when the relay could serve.
func (r *worldRelay) judge() {
	if r.down || r.stopped || r.cut || r.draining || r.world.council.silent {
		r.goodSince = -1
	} else if r.goodSince <= 0 {
		r.goodSince = max(r.world.now, 1)
	}
}

// do runs a step of this process after a time: later where it is stopped then, never
// where it has ended.
func (r *worldRelay) do(d time.Duration, step func()) {
	incarnation := r.incarnation
	var run func()
	run = func() {
		switch {
		case r.down || r.incarnation != incarnation:
		case r.stopped:
			r.backlog = append(r.backlog, run)
		default:
			step()
		}
	}
	r.world.after(d, run)
}

// follow polls the council once, and again after the answer or a timeout.
func (r *worldRelay) follow() {
	w, done := r.world, false
	again := func() {
		if !done {
			done = true
			r.do(0, r.follow)
		}
	}
	r.do(followWait+300*time.Millisecond, again)
	if r.cut || w.council.silent {
		return
	}
	version := r.cache.Version()
	answer := func() {
		if r.cut || w.council.silent {
			return
		}
		update := w.council.store.UpdateSince(version)
		asked := w.now
		r.do(w.latency(), func() { r.take(asked, update); again() })
		if w.rng.Float64() < w.duplicate { // an answer of an earlier poll that was late
			r.do(time.Duration(w.rng.Int64N(int64(3*time.Second))), func() { _, _ = r.cache.Apply(update) })
		}
	}
	w.after(w.latency(), func() {
		if w.council.store.Version != version {
			answer()
			return
		}
		answered := false
		once := func() {
			if !answered {
				answered = true
				answer()
			}
		}
		w.council.parked = append(w.council.parked, once)
		w.after(followWait, once)
	})
}

func (r *worldRelay) take(asked time.Duration, update Update) {
	before := r.cache.Version()
	_, err := r.cache.Apply(update)
	if r.cache.Version() < before {
		r.world.fail("relay %d went back from %v to %v", r.index, before, r.cache.Version())
	}
	if err != nil {
		return
	}
	r.ready, r.heard = true, asked
	for _, number := range slices.Sorted(maps.Keys(r.parked)) {
		r.parked[number]()
	}
}

// serve answers a poll, perhaps later.
func (r *worldRelay) serve(poll Poll, reply func(PollResponse)) {
	w := r.world
	if err := poll.Validate(); err != nil {
		w.fail("%v", err)
	}
	r.polls++
	if r.cache.Version() == poll.Version || poll.Version != 0 && poll.Version.TokenSpace() == r.cache.Version().TokenSpace() {
		r.admission.Release(poll.Subscriber)
	}
	r.registry.Record(w.now, &poll)
	refuse := func(refusal ErrorCode, retry time.Duration) {
		reply(PollResponse{AgeMS: (w.now - r.heard).Milliseconds(), ErrorCode: refusal, RetryAfterMS: retry.Milliseconds()})
	}
	switch {
	case r.draining:
		refuse(CodeDraining, 0)
		return
	case !r.ready:
		refuse(CodeNotReady, 0)
		return
	case poll.Version > r.cache.Version():
		refuse(CodeBehind, 0)
		return
	}
	number, answered := r.polls, false
	respond := func(timeout bool) {
		update := r.cache.UpdateSince(poll.Version, poll.Services)
		snapshot := update.IsSnapshot() && update.Version != 0
		if answered || !timeout && len(update.Resources) == 0 && !snapshot && !r.draining {
			return
		}
		answered = true
		delete(r.parked, number)
		if r.draining {
			refuse(CodeDraining, 0)
			return
		}
		if snapshot {
			again := r.refused[poll.Subscriber]
			admitted, retry := r.admission.Admit(w.now, poll.Subscriber, again, w.rng.Float64())
			r.refused[poll.Subscriber] = !admitted
			if under := r.admission.InFlight(w.now); under > w.admission.Slots {
				w.fail("relay %d: %d snapshots under way, wanted %d at most", r.index, under, w.admission.Slots)
			}
			if !admitted {
				refuse(CodeBusy, retry)
				return
			}
		}
		reply(PollResponse{AgeMS: (w.now - r.heard).Milliseconds(), Update: &update})
	}
	r.parked[number] = func() { respond(false) }
	r.do(poll.Wait(), func() { respond(true) })
	respond(poll.Wait() == 0)
}

// Subscriber.

func (s *worldSubscriber) start() {
	s.checkPolls()
	s.polls, s.underWay = nil, false
	s.incarnation++
	s.decider = NewSubscriber(s.world.settings, rand.New(rand.NewPCG(s.world.rng.Uint64(), 2)))
	s.versions, s.version, s.rejected = map[string]Version{}, 0, nil
	s.applied = map[resourceVersion]int{}
	s.ask()
}

// restart begins anew with nothing held; what is under way is lost.
func (s *worldSubscriber) restart(after time.Duration) {
	s.incarnation++
	s.underWay, s.decider = false, nil
	s.world.after(after, s.start)
}

// during has a step done as long as this process lives.
func (s *worldSubscriber) during(d time.Duration, step func()) {
	incarnation := s.incarnation
	s.world.after(d, func() {
		if s.incarnation == incarnation {
			step()
		}
	})
}

func (s *worldSubscriber) ask() {
	next := s.decider.NextPoll(s.world.now)
	s.during(next.Due-s.world.now, func() { s.send(next) })
}

func (s *worldSubscriber) send(next NextPoll) {
	w := s.world
	s.poll++
	s.underWay = true
	number := s.poll
	s.polls = append(s.polls, w.now)
	s.relay = next.Relay
	s.during(next.Timeout, func() { s.failed(number) })
	poll := Poll{Subscriber: s.name, Services: s.services, Version: s.decider.Version(), Rejected: s.rejected, WaitMS: int(next.Wait.Milliseconds())}
	relay := w.relays[next.Relay]
	if relay.down {
		s.during(w.latency(), func() { s.failed(number) })
		return
	}
	if w.rng.Float64() < w.loss {
		return
	}
	relay.do(w.latency(), func() {
		relay.serve(poll, func(answer PollResponse) {
			if w.rng.Float64() >= w.loss {
				s.during(w.latency(), func() { s.answered(number, &answer) })
			}
			if w.rng.Float64() < w.duplicate { // a late answer that a client takes by mistake
				s.during(time.Duration(w.rng.Int64N(int64(3*time.Second))), func() { s.takeLate(&answer) })
			}
		})
	})
}

func (s *worldSubscriber) failed(number int) {
	if number != s.poll || !s.underWay {
		return
	}
	s.underWay = false
	s.decider.HandleFailure(s.world.now)
	s.ask()
}

func (s *worldSubscriber) answered(number int, answer *PollResponse) {
	if number != s.poll || !s.underWay {
		return // a late answer: its poll was given up
	}
	s.underWay = false
	if answer.Update != nil {
		s.received += len(answer.Update.Resources)
	}
	taken, _ := s.decider.HandleResponse(s.world.now, answer)
	s.check(taken)
	s.ask()
}

// takeLate takes the update of an answer whose poll was given up.
func (s *worldSubscriber) takeLate(answer *PollResponse) {
	if answer.Update != nil {
		taken, _ := s.decider.Cache().Apply(*answer.Update)
		s.check(taken)
	}
}

// validate holds what was taken against the invariants.
func (s *worldSubscriber) check(taken Changes) {
	w := s.world
	if s.decider.Version() < s.version {
		w.fail("%s went back from %v to %v", s.name, s.version, s.decider.Version())
	}
	s.version = s.decider.Version()
	for _, service := range taken.Removed {
		delete(s.versions, service)
	}
	for _, resource := range taken.Updated {
		if resource.Version <= s.versions[resource.Service] {
			w.fail("%s: %s went from %v to %v", s.name, resource.Service, s.versions[resource.Service], resource.Version)
		}
		s.versions[resource.Service] = resource.Version
		key := resourceVersion{resource.Service, resource.Version}
		if s.applied[key]++; s.applied[key] > 1 {
			w.fail("%s: %s at %v was applied twice", s.name, resource.Service, resource.Version)
		}
		if given, found := w.given[key]; !found || given != string(resource.Settings) {
			w.fail("%s: %s at %v is %s, the council gave out %s", s.name, resource.Service, resource.Version, resource.Settings, given)
		}
		if s.services != nil && !slices.Contains(s.services, resource.Service) {
			w.fail("%s: was sent %s, which it does not subscribe to", s.name, resource.Service)
		}
	}
}

// holdsNewest tells whether a subscriber holds exactly what the council holds of its
// subscription, and if not, what differs.
func (s *worldSubscriber) holdsNewest() string {
	if s.decider == nil {
		return s.name + " is not running"
	}
	wanted := map[string]Resource{}
	for service, resource := range s.world.council.store.Resources {
		if s.services == nil || slices.Contains(s.services, service) {
			wanted[service] = *resource
		}
	}
	if held := s.decider.Cache().resources; !sameResources(held, wanted) {
		return fmt.Sprintf("%s holds %v, wanted %v", s.name, versionsOf(held), versionsOf(wanted))
	}
	return ""
}

func versionsOf(resources map[string]Resource) map[string]Version {
	versions := map[string]Version{}
	for service, resource := range resources {
		versions[service] = resource.Version
	}
	return versions
}

// checkPolls holds the polls of this process against their bound.
func (s *worldSubscriber) checkPolls() {
	const span = 10 * time.Second
	if polls, most := s.pollsWithin(span), pollBurst+1+int(span/pollInterval); polls > most {
		s.world.fail("%s polled %d times within %v, wanted %d at most", s.name, polls, span, most)
	}
}

// pollsWithin is the most polls that a subscriber made within a time.
func (s *worldSubscriber) pollsWithin(d time.Duration) int {
	most, first := 0, 0
	for i, at := range s.polls {
		for s.polls[first] < at-d {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
