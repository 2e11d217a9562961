// Package audit counts what passed on the sockets of clients, call servers and
// discovery against the four rules: no request lost, no effect twice, drains
// kept, no cold server pushed over. It sees nothing of the sidecar's inside:
// the stand-ins on both sides of it report, and the audit compares.
//
// All times are durations since the origin of one clock that all reporters
// share (Log.Now). A Log may be used by many goroutines.
package audit

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"time"
)

// Effect says what repeating a request can do.
type Effect int

// The kinds of effect.
const (
	Repeat Effect = iota // any number of times
	Keyed                // a pod drops repeats within the window
	Once                 // must never run twice
)

// Outcome is what a client got.
type Outcome int

// The outcomes.
const (
	Served  Outcome = iota // 200 with a body
	Refused                // 429 or 503: trying again is harmless
	Failed                 // any other answer
)

// Rules are the figures that the rules are held against.
type Rules struct {
	Grace       time.Duration `json:"Grace"`       // nothing new to a server later than this after the sidecar was told
	Slack       time.Duration `json:"Slack"`       // every time limit is this much longer on sockets
	ToldAfter   time.Duration `json:"ToldAfter"`   // what discovery has to tell counts as told after this
	TipMultiple float64       `json:"TipMultiple"` // a cold server falls over at this multiple of what it can do
	TipFor      time.Duration `json:"TipFor"`      // for this long
}

// Delft are the figures of the site delft-calls.
func Delft() Rules {
	return Rules{Grace: 500 * time.Millisecond, Slack: 50 * time.Millisecond, ToldAfter: 6 * time.Second, TipMultiple: 3, TipFor: 3 * time.Second}
}

const (
	// MostRequests bounds the requests that a Log takes; those beyond are
	// counted in Report.Unwatched and held against nothing.
	MostRequests = 2_000_000
	mostProblems = 20
)

// request is what is known of one id.
type request struct {
	instance  string
	effect    Effect
	asked     time.Duration
	deadline  time.Duration
	answered  bool
	outcome   Outcome
	at        time.Duration // of the answer
	broke     bool          // the connection ended with no whole answer
	gone      bool          // the client stopped waiting
	killed    bool          // its sidecar was killed while it was open
	arrivals  int
	effects   int
	firstPod  string
	firstTime time.Duration
}

// serverKey is one life of a call server.
type serverKey struct {
	name string
	life int
}

// told is what an instance was told of a server's life.
type told struct {
	at   time.Duration
	away bool // it drains or is gone
}

// change is a change of the true list.
type change struct {
	at   time.Duration
	away bool
}

// send is one arrival at a cold server.
type send struct {
	at   time.Duration
	work float64
	told bool // by an instance that was told of the server's start
}

// instance is what is known of one sidecar, over all its processes.
type instance struct {
	since time.Duration // start of the process that may still have to be told
	told  map[serverKey]told
	open  map[string]*request
	dying bool          // it is being killed
	spare time.Duration // until then what breaks counts as held: it was killed unsaid
	epoch int           // restarts so far
}

// Log takes what passed, and judges it.
type Log struct {
	rules Rules
	now   func() time.Duration

	mu        sync.Mutex
	requests  map[string]*request
	instances map[string]*instance
	changes   map[serverKey]change
	cold      map[serverKey][]send
	tipped    map[serverKey]bool
	seconds   []Second
	silences  []silence
	deaf      map[string][]silence // of single instances: their way to discovery is cut
	stalls    []silence            // in which who reports stood still himself
	blamed    []blame              // requests that count as lost by a break
	works     float64              // work of all arrivals
	arrivals  int                  // and how many there were
	rep       Report
	tap       func(Event)
}

// silence is a time in which discovery told nobody anything; until is 0 while
// it lasts.
type silence struct{ from, until time.Duration }

// Second is what came to call servers in one second of the log's clock.
type Second struct {
	Firsts, Repeats int
	Cold            float64 // the most that a cold server was sent, as a share of what tips it over
}

// mostSeconds bounds the seconds that are kept.
const mostSeconds = 4 * 3600

// New returns an empty Log whose clock starts now.
func New(rules Rules) *Log {
	origin := time.Now()
	return NewAt(rules, func() time.Duration { return time.Since(origin) })
}

// NewAt returns an empty Log with a clock of the caller's: virtual time.
func NewAt(rules Rules, now func() time.Duration) *Log {
	return &Log{
		rules: rules, now: now,
		requests: map[string]*request{}, instances: map[string]*instance{}, changes: map[serverKey]change{},
		cold: map[serverKey][]send{}, tipped: map[serverKey]bool{}, deaf: map[string][]silence{},
	}
}

// Rules are the figures that are held.
func (l *Log) Rules() Rules { return l.rules }

// Now reads the clock of the log.
func (l *Log) Now() time.Duration { return l.now() }

// Report is the verdict: counts, and the first problems in words.
type Report struct {
	Asked, Served, Refused, Failed int
	NoAnswer                       int // the client's time was up first
	Held                           int // open at a sidecar that was killed: the client retries them
	Resent                         int // sent once more after a close that crossed them
	Lost                           int // rule 1: taken, and the connection ended with no whole answer
	Late                           int // rule 1: answered after the deadline
	Forged                         int // rule 1: served with what no call server made for it
	After                          int // rule 1: sent on after its final answer
	Twice                          int // rule 2: an effect ran twice
	Untrue                         int // rule 2: refused, and it ran
	LateSends                      int // rule 3
	Tipped                         int // rule 4
	Unsure                         int // a time limit was passed while who reports stood still: nobody can tell
	Effects                        int
	Unwatched                      int
	TippedUntold                   int     // arrivals over a cold server's limit, mostly from instances that could not know
	Ambiguous                      int     // not safe to repeat, ran, and not served: a blind repeat would have run twice
	ToldAway                       int     // times that an instance was told that a server is not to be used any more
	ColdMost                       float64 // the most that a cold server was sent, as a share of what tips it over
	// ColdCalls is the most calls that a cold server was sent within the window, two
	// thirds of them by instances that were told of its start, as a share of
	// N + 2 sqrt N + 2: N of mean work are what tips it over, the rest is chance.
	ColdCalls float64
	Problems  []string
	Unclear   []string // the first of Unsure, in words
}

// Broken tells whether a rule broke.
func (r *Report) Broken() bool {
	return r.Lost+r.Late+r.Forged+r.After+r.Twice+r.Untrue+r.LateSends+r.Tipped > 0
}

// Line is the counts as key=value.
func (r *Report) Line() string {
	return fmt.Sprintf("asked=%d served=%d refused=%d failed=%d noanswer=%d held=%d lost=%d late=%d forged=%d after=%d twice=%d untrue=%d late_sends=%d tipped=%d",
		r.Asked, r.Served, r.Refused, r.Failed, r.NoAnswer, r.Held, r.Lost, r.Late, r.Forged, r.After, r.Twice, r.Untrue, r.LateSends, r.Tipped)
}

// problem notes a breach in words.
func (l *Log) problem(count *int, format string, args ...any) {
	*count++
	if len(l.rep.Problems) < mostProblems {
		l.rep.Problems = append(l.rep.Problems, fmt.Sprintf(format, args...))
	}
}

// overdue counts what came after its limit and the slack. Where who reports
// stood still in the second before, by as much as it is late, it can't be told
// from something that was reported late.
func (l *Log) overdue(count *int, limit, at time.Duration, format string, args ...any) {
	excess := at - limit - l.rules.Slack
	switch {
	case excess <= 0:
	case excess <= l.stalled(at-time.Second, at):
		l.rep.Unsure++
		if len(l.rep.Unclear) < mostProblems {
			l.rep.Unclear = append(l.rep.Unclear, fmt.Sprintf(format, args...))
		}
	default:
		l.problem(count, format, args...)
	}
}

// Stalled takes down that who reports stood still: what happened meanwhile was
// reported late.
func (l *Log) Stalled(from, until time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard(Event{Do: DidStall, At: until, First: from})
	if len(l.stalls) < mostStalls {
		l.stalls = append(l.stalls, silence{from, until})
	}
}

const mostStalls = 100_000

// stalled is the longest that who reports stood still in a stretch.
func (l *Log) stalled(from, until time.Duration) time.Duration {
	longest := time.Duration(0)
	for i := len(l.stalls) - 1; i >= 0 && l.stalls[i].until >= from-time.Second; i-- {
		if s := l.stalls[i]; s.until >= from && s.from <= until {
			longest = max(longest, s.until-s.from)
		}
	}
	return longest
}

// Deaf takes down that an instance is cut off from discovery, or is no longer.
// What it is told meanwhile counts as told ToldAfter later.
func (l *Log) Deaf(name string, on bool, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard(Event{Do: DidCutOff, Name: name, Yes: on, At: at})
	l.deaf[name] = mark(l.deaf[name], on, at)
}

// blame is a request that counts as lost since its connection broke.
type blame struct {
	r  *request
	id string
	at time.Duration
}

// Excuse takes down that an instance was killed at some time from then on, by
// somebody who did not say so before: what broke since was held by it, and
// clients retry it.
func (l *Log) Excuse(name string, from time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard(Event{Do: IsExcused, Name: name, At: from})
	// Who tells of the kill may be faster than the clients who notice it.
	l.of(name).spare = max(l.of(name).spare, l.now()+time.Second)
	l.blamed = slices.DeleteFunc(l.blamed, func(b blame) bool {
		if b.r.instance != name || b.at < from {
			return false
		}
		b.r.killed = true
		l.rep.Lost--
		l.rep.Held++
		l.rep.Problems = slices.DeleteFunc(l.rep.Problems, func(p string) bool { return strings.HasPrefix(p, b.id+": sent on by") })
		return true
	})
}

// of returns the record of an instance.
func (l *Log) of(name string) *instance {
	i := l.instances[name]
	if i == nil {
		i = &instance{told: map[serverKey]told{}, open: map[string]*request{}}
		l.instances[name] = i
	}
	return i
}

// Asked takes down that a client has written a request's last byte. deadline is
// how long it waits. An id that is asked again after a close counts once.
func (l *Log) Asked(id, name string, effect Effect, at, deadline time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard(Event{Do: DidAsk, ID: id, Name: name, Effect: effect, At: at, For: deadline})
	if r := l.requests[id]; r != nil {
		l.rep.Resent++
		r.broke = false
		return
	}
	if len(l.requests) >= MostRequests {
		l.rep.Unwatched++
		return
	}
	l.rep.Asked++
	r := &request{instance: name, effect: effect, asked: at, deadline: at + deadline}
	l.requests[id] = r
	l.of(name).open[id] = r
}

// Answered takes down a whole answer. made tells whether its body is what a
// call server made for this id; it matters for Served only.
func (l *Log) Answered(id string, o Outcome, made bool, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard(Event{Do: DidAnswer, ID: id, Outcome: o, Yes: made, At: at})
	r := l.requests[id]
	if r == nil {
		return
	}
	delete(l.of(r.instance).open, id)
	if r.answered {
		l.problem(&l.rep.After, "%s: answered a second time", id)
		return
	}
	if r.killed {
		// Over CoAP a repeat of it may be answered by the next process.
		r.killed = false
		l.rep.Held--
	}
	r.answered, r.outcome, r.at = true, o, at
	switch o {
	case Served:
		l.rep.Served++
		if !made || r.arrivals == 0 {
			l.problem(&l.rep.Forged, "%s: served with an answer that no call server made for it", id)
		}
	case Refused:
		l.rep.Refused++
		l.checkRefusal(id, r)
	default:
		l.rep.Failed++
	}
	if o != Served && r.effect != Repeat && r.effects > 0 {
		l.rep.Ambiguous++
	}
	l.overdue(&l.rep.Late, r.deadline, at, "%s: answered %v after its deadline", id, at-r.deadline)
}

// checkRefusal holds a refusal against what ran: a repeat must be harmless.
func (l *Log) checkRefusal(id string, r *request) {
	if r.effect != Repeat && r.effects > 0 {
		l.problem(&l.rep.Untrue, "%s: refused though it ran", id)
	}
}

// Broke takes down that the connection ended with no whole answer. Where resend
// is true the client would send the request once more under its id, as it may on
// a connection that was kept; again says whether it may. It may not where the
// sidecar was killed, not closed: the client then retries what it held as a
// request of its own. On the wire both look alike, so that a client that is told
// of the break only when the next process listens would send to that one what
// the old one had sent on.
func (l *Log) Broke(id string, resend bool, at time.Duration) (again bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard(Event{Do: DidBreak, ID: id, Yes: resend, At: at})
	r := l.requests[id]
	if r == nil || r.answered || r.gone {
		return resend
	}
	r.broke = true
	if i := l.of(r.instance); (i.dying || at < i.spare) && !r.killed {
		r.killed = true
		l.rep.Held++
	}
	resend = resend && !r.killed
	if !resend {
		delete(l.of(r.instance).open, id)
	}
	switch {
	case r.killed:
	case resend && r.arrivals == 0:
		// It crossed a close of an idle connection: nothing was taken.
	case !resend && r.arrivals == 0:
		l.rep.Failed++ // the first on a connection that was closed unread
	default:
		l.problem(&l.rep.Lost, "%s: sent on by %s, and its connection ended with no whole answer", id, r.instance)
		l.blamed = append(l.blamed, blame{r, id, at})
	}
	return resend
}

// Gone takes down that the client has stopped waiting. Up to its deadline that
// is the client's own choice.
func (l *Log) Gone(id string, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard(Event{Do: DidGo, ID: id, At: at})
	r := l.requests[id]
	if r == nil || r.answered || r.gone {
		return
	}
	r.gone = true
	delete(l.of(r.instance).open, id)
	if r.killed {
		return
	}
	l.rep.NoAnswer++
	l.overdue(&l.rep.Late, r.deadline, at, "%s: no answer %v after its deadline", id, at-r.deadline)
}

// Arrived takes down an attempt at a call server: when its first byte came and
// when it was whole. capacity is what the server can do at that moment, in
// seconds of work a second, and work what it takes of it; full is its capacity
// when warm.
func (l *Log) Arrived(server string, life int, id string, first, at time.Duration, work, capacity, full float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard(Event{Do: DidArrive, Server: server, Life: life, ID: id, First: first, At: at, Work: work, Can: capacity, Full: full})
	key := serverKey{server, life}
	r := l.requests[id]
	l.works += work
	l.arrivals++
	if capacity < full {
		l.checkCold(key, at, work, capacity, r == nil || l.knows(r.instance, key))
	}
	if r == nil {
		return
	}
	r.arrivals++
	if b := l.second(at); b != nil {
		if r.arrivals == 1 {
			b.Firsts++
		} else {
			b.Repeats++
		}
	}
	if r.answered {
		l.overdue(&l.rep.After, r.at, first, "%s: sent to %s %v after its final answer", id, server, first-r.at)
	}
	if since, away := l.toldAway(r.instance, key); away {
		l.overdue(&l.rep.LateSends, since+l.rules.Grace, first, "%s: sent by %s to %s %v after it was told that it drains or is gone", id, r.instance, server, first-since)
	}
}

// toldAway tells since when an instance knows, or counts as knowing, that a
// server is not to be used any more.
func (l *Log) toldAway(name string, key serverKey) (time.Duration, bool) {
	i := l.of(name)
	t, heard := i.told[key]
	since, away := t.at, heard && t.away
	for _, s := range l.deaf[name] {
		if away && since >= s.from && (s.until == 0 || since < s.until) {
			// It was written on a way that is cut.
			since, away = l.due(name, since)
			break
		}
	}
	if c, changed := l.changes[key]; changed && c.away {
		if due, sure := l.due(name, max(c.at, i.since)); sure && (!away || due < since) {
			since, away = due, true
		}
	}
	return since, away
}

// Silent takes down that discovery falls silent or goes down, or is back. What
// it has to tell counts as told ToldAfter after it could be told at all.
func (l *Log) Silent(on bool, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard(Event{Do: DidFallSilent, Yes: on, At: at})
	l.silences = mark(l.silences, on, at)
}

// mark begins or ends a silence.
func mark(all []silence, on bool, at time.Duration) []silence {
	n := len(all)
	lasts := n > 0 && all[n-1].until == 0
	switch {
	case on && !lasts:
		all = append(all, silence{from: at})
	case !on && lasts:
		all[n-1].until = at
	}
	return all
}

// due is when a change counts as told to an instance though it did not arrive;
// false for not yet.
func (l *Log) due(name string, from time.Duration) (time.Duration, bool) {
	due := from + l.rules.ToldAfter
	// Both lists are in the order of time; a silence moves what is due, so that the
	// next one to meet is looked for in both.
	all := l.silences
	if own := l.deaf[name]; len(own) > 0 {
		all = slices.Concat(all, own)
		slices.SortFunc(all, func(a, b silence) int { return cmp.Compare(a.from, b.from) })
	}
	for _, s := range all {
		if s.from >= due || s.until > 0 && s.until <= from {
			continue
		}
		if s.until == 0 {
			return 0, false
		}
		due = s.until + l.rules.ToldAfter
	}
	return due, true
}

// knows tells whether an instance was told of a server's life, or counts as
// told.
func (l *Log) knows(name string, key serverKey) bool {
	i := l.of(name)
	if _, heard := i.told[key]; heard {
		return true
	}
	c, changed := l.changes[key]
	if !changed {
		return false
	}
	due, sure := l.due(name, max(c.at, i.since))
	return sure && l.now() >= due
}

// checkCold holds what came within the window against what the server can do.
// The rule is broken where two thirds of it came from instances that were told
// of the start: nobody else can know that the server is cold.
func (l *Log) checkCold(key serverKey, at time.Duration, work, capacity float64, told bool) {
	sends := append(l.cold[key], send{at, work, told})
	for len(sends) > 0 && sends[0].at <= at-l.rules.TipFor {
		sends = sends[1:]
	}
	l.cold[key] = sends
	sum, most, known, knew := 0.0, 0.0, 0.0, 0
	for _, s := range sends {
		sum += s.work
		most = max(most, s.work)
		if s.told {
			known += s.work
			knew++
		}
	}
	if n := l.rules.TipMultiple * capacity * l.rules.TipFor.Seconds() * float64(l.arrivals) / l.works; 3*knew >= 2*len(sends) {
		l.rep.ColdCalls = max(l.rep.ColdCalls, float64(len(sends))/(n+2*math.Sqrt(n)+2))
	}
	// The largest request is let go for chance.
	load := (sum - most) / (l.rules.TipMultiple * capacity * l.rules.TipFor.Seconds())
	l.rep.ColdMost = max(l.rep.ColdMost, load)
	if b := l.second(at); b != nil {
		b.Cold = max(b.Cold, load)
	}
	if sum-most > l.rules.TipMultiple*capacity*l.rules.TipFor.Seconds() && !l.tipped[key] {
		if known < sum*2/3 {
			l.rep.TippedUntold++
			return
		}
		l.tipped[key] = true
		l.problem(&l.rep.Tipped, "%s (life %d): sent %.2f s of work within %v while it can do %.2f a second", key.name, key.life, sum, l.rules.TipFor, capacity)
	}
}

// second is the record of a time's second; nil beyond the bound.
func (l *Log) second(at time.Duration) *Second {
	i := int(at / time.Second)
	if i < 0 || i >= mostSeconds {
		return nil
	}
	for len(l.seconds) <= i {
		l.seconds = append(l.seconds, Second{})
	}
	return &l.seconds[i]
}

// Seconds are what came to call servers by seconds, the first beginning at
// from.
func (l *Log) Seconds(from time.Duration) []Second {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := min(int((from+time.Second/2)/time.Second), len(l.seconds))
	return append([]Second(nil), l.seconds[i:]...)
}

// Ran takes down that an effect began at a call server of a pod. A repeat that
// the pod dropped is none.
func (l *Log) Ran(server, pod, id string, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard(Event{Do: DidRun, Server: server, Pod: pod, ID: id, At: at})
	l.rep.Effects++
	r := l.requests[id]
	if r == nil {
		return
	}
	r.effects++
	if r.effects == 1 {
		r.firstPod, r.firstTime = pod, at
	} else if r.effect != Repeat {
		l.problem(&l.rep.Twice, "%s: ran at pod %s and %v later at %s (pod %s)", id, r.firstPod, at-r.firstTime, server, pod)
	}
	if r.answered && r.outcome == Refused && r.effect != Repeat {
		l.problem(&l.rep.Untrue, "%s: ran at %s after it was refused", id, server)
	}
}

// Epoch counts an instance's restarts. A connection to discovery is of the epoch
// in which it was made: what is written on it later is told to nobody.
func (l *Log) Epoch(name string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.of(name).epoch
}

// Told takes down what discovery has written to an instance about a server, on
// a connection of that epoch.
func (l *Log) Told(name string, epoch int, server string, life int, away bool, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard(Event{Do: DidTell, Name: name, Epoch: epoch, Server: server, Life: life, Yes: away, At: at})
	i, key := l.of(name), serverKey{server, life}
	if i.epoch != epoch {
		return
	}
	if t, heard := i.told[key]; heard && t.away {
		return // a drain is not taken back by an older list
	}
	i.told[key] = told{at, away}
	if away {
		l.rep.ToldAway++
	}
}

// Away returns when an instance was told that a server's life is not to be used
// any more; 0 if it was not.
func (l *Log) Away(name, server string, life int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.of(name).told[serverKey{server, life}]; t.away {
		return t.at
	}
	return 0
}

// Changed takes down a change of the true list: a server's life begins, or is
// not to be used any more.
func (l *Log) Changed(server string, life int, away bool, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard(Event{Do: DidChange, Server: server, Life: life, Yes: away, At: at})
	key := serverKey{server, life}
	if c, ok := l.changes[key]; ok && c.away {
		return
	}
	l.changes[key] = change{at, away}
}

// Restarted takes down that a new process of an instance has taken its place
// with nothing handed on: what the old one was told it has yet to hear.
func (l *Log) Restarted(name string, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard(Event{Do: DidRestart, Name: name, At: at})
	i := l.of(name)
	i.since, i.dying = at, false
	i.epoch++
	clear(i.told)
}

// Dying takes down that an instance is about to be killed: what breaks from now
// on until it is restarted was held by it.
func (l *Log) Dying(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard(Event{Do: IsDying, Name: name, At: l.now()})
	l.of(name).dying = true
}

// Killed takes down that an instance was killed outright. Clients retry what it
// held; that is not lost.
func (l *Log) Killed(name string, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard(Event{Do: DidKill, Name: name, At: at})
	i := l.of(name)
	for _, r := range i.open {
		if !r.killed {
			r.killed = true
			l.rep.Held++
		}
	}
	clear(i.open)
}

// Open returns how many requests have neither answer nor end.
func (l *Log) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, i := range l.instances {
		n += len(i.open)
	}
	return n
}

// Report returns the verdict so far. A request that is open now, past its
// deadline, with nobody who reported its end, is lost.
func (l *Log) Report() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	rep := l.rep
	rep.Problems = append([]string(nil), l.rep.Problems...)
	now := l.Now()
	for _, i := range l.instances {
		for id, r := range i.open {
			if now <= r.deadline+l.rules.Slack {
				continue
			}
			rep.Lost++
			if len(rep.Problems) < mostProblems {
				rep.Problems = append(rep.Problems, id+": neither answered nor ended")
			}
		}
	}
	return rep
}
