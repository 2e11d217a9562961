package scale

import (
	"slices"
	"time"

	"otterspring/internal/fleet/configuration"
)

// Change is one that the council has accepted. All moments are by CLOCK_MONOTONIC,
// which the processes of a machine have in common.
type Change struct {
	Service  int
	Version  configuration.Version
	Accepted time.Duration
}

// Application is a subscriber's report that it has a version of a service in force.
// Version 0 says that it has dropped the service.
type Application struct {
	At      time.Duration
	Service int
	Version configuration.Version
}

// Incarnation is a subscriber's time from a start to its end.
type Incarnation struct {
	Start, End time.Duration // End is 0 for one that has not ended
	Applied    []Application // as they came
}

// History is what one subscriber has reported.
type History struct {
	Services     []int
	Relays       []int
	Incarnations []Incarnation
}

// Outage is a time in which a relay is at fault, by the rig's own doing.
type Outage struct {
	Relay    int
	From, To time.Duration
}

// Span is a time between two moments.
type Span struct{ From, To time.Duration }

// Record is all that is judged of a run.
type Record struct {
	Subscribers []History
	Changes     []Change // by the moment of acceptance
	Outages     []Outage
	// Begin is when the clock began, End when the settling after the load was over.
	Begin, End time.Duration
}

// Judgement is what a record shows.
type Judgement struct {
	InForce     []time.Duration // rising: from acceptance until in force, one for each change and subscriber
	InForceMax  time.Duration   // also of changes that were not in force when a subscriber ended
	Restarts    []time.Duration // rising: from a start until all that was accepted before is in force
	Unreachable int             // subscribers that missed a change while all of their relays were at fault
	BackMax     time.Duration   // from the end of that fault until the change was in force
	Stale       int             // subscribers that lack the newest of a service at the end
	Back        int             // versions that went back within an incarnation
	BackOver    int             // versions that went back over a restart
}

// Judge computes what a record shows.
func Judge(r *Record) *Judgement {
	j := &judge{record: r, byService: map[int][]Change{}, faults: mergeOutages(r.Outages), result: &Judgement{}}
	for _, change := range r.Changes {
		j.byService[change.Service] = append(j.byService[change.Service], change)
	}
	for i := range r.Subscribers {
		j.subscriber(&r.Subscribers[i])
	}
	slices.Sort(j.result.InForce)
	slices.Sort(j.result.Restarts)
	return j.result
}

type judge struct {
	record    *Record
	byService map[int][]Change
	faults    map[int][]Span // of each relay, apart and rising
	result    *Judgement
}

func (j *judge) subscriber(h *History) {
	exempt := j.unreachableSpans(h.Relays)
	newest := map[int]configuration.Version{} // over all incarnations
	missed, stale := false, false
	for i := range h.Incarnations {
		incarnation := &h.Incarnations[i]
		j.countBack(incarnation, newest)
		byService := map[int][]Application{}
		for _, applied := range incarnation.Applied {
			byService[applied.Service] = append(byService[applied.Service], applied)
		}
		whole := incarnation.Start
		for _, service := range h.Services {
			one := serviceHistory{judge: j, incarnation: incarnation, applied: byService[service], changes: j.byService[service], exempt: exempt}
			whole = max(whole, one.changesWithin())
			missed = missed || one.missed
			stale = stale || i == len(h.Incarnations)-1 && one.stale()
		}
		j.restarted(incarnation, whole, exempt, &missed)
	}
	if missed {
		j.result.Unreachable++
	}
	if stale {
		j.result.Stale++
	}
}

// countBack counts the versions that went back, within an incarnation and over a
// restart.
func (j *judge) countBack(incarnation *Incarnation, before map[int]configuration.Version) {
	newest := map[int]configuration.Version{}
	for _, applied := range incarnation.Applied {
		if applied.Version < newest[applied.Service] {
			j.result.Back++
		} else if newest[applied.Service] == 0 && applied.Version < before[applied.Service] {
			j.result.BackOver++
		}
		newest[applied.Service] = applied.Version
	}
	for service, version := range newest {
		before[service] = version
	}
}

// restarted takes down how long an incarnation that began within the run took until
// it had all that was accepted before it; whole is when that was so.
func (j *judge) restarted(incarnation *Incarnation, whole time.Duration, exempt []Span, missed *bool) {
	if incarnation.Start < j.record.Begin {
		return
	}
	took, reached := j.measure(Span{incarnation.Start, whole}, exempt)
	if reached {
		j.result.Restarts = append(j.result.Restarts, took)
		return
	}
	*missed = true
}

// measure tells how long a subscriber waited over a span. Where all of its relays
// were at fault meanwhile, the time before and behind it count by themselves, and
// reached is false.
func (j *judge) measure(span Span, exempt []Span) (took time.Duration, reached bool) {
	took, reached = span.To-span.From, true
	from := span.From
	for _, fault := range exempt {
		if fault.From >= span.To || fault.To <= span.From {
			continue
		}
		if reached {
			j.result.InForceMax = max(j.result.InForceMax, fault.From-from)
		} else {
			j.result.BackMax = max(j.result.BackMax, fault.From-from)
		}
		reached, from = false, fault.To
	}
	if !reached {
		j.result.BackMax = max(j.result.BackMax, span.To-from)
		return 0, false
	}
	j.result.InForceMax = max(j.result.InForceMax, took)
	return took, true
}

// serviceHistory is what one incarnation shows of one service.
type serviceHistory struct {
	judge       *judge
	incarnation *Incarnation
	applied     []Application
	changes     []Change
	exempt      []Span
	missed      bool
}

// end is when the incarnation ended, or the record.
func (s *serviceHistory) end() time.Duration {
	if s.incarnation.End > 0 {
		return min(s.incarnation.End, s.judge.record.End)
	}
	return s.judge.record.End
}

// changesWithin measures each change that was accepted within the incarnation and the
// run. It returns when the newest one from before the incarnation was in force; the
// incarnation's start where there was none.
func (s *serviceHistory) changesWithin() (whole time.Duration) {
	whole = s.incarnation.Start
	var before *Change
	next := 0
	for i := range s.changes {
		change := &s.changes[i]
		if change.Accepted >= s.end() {
			break
		}
		if change.Accepted <= s.incarnation.Start {
			before = change
			continue
		}
		if change.Accepted < s.judge.record.Begin {
			continue
		}
		next = s.inForce(change.Version, next)
		s.measure(change, next)
	}
	if before == nil {
		return whole
	}
	at := s.inForce(before.Version, 0)
	if at == len(s.applied) {
		return s.end()
	}
	return max(whole, s.applied[at].At)
}

// inForce is the number of the first application from a number on that has at least
// a version; len(s.applied) for none.
func (s *serviceHistory) inForce(version configuration.Version, from int) int {
	for from < len(s.applied) && s.applied[from].Version < version {
		from++
	}
	return from
}

// measure takes down when a change was in force, by the application at.
func (s *serviceHistory) measure(change *Change, at int) {
	span := Span{From: change.Accepted, To: s.end()}
	found := at < len(s.applied)
	if found {
		span.To = max(change.Accepted, s.applied[at].At)
	}
	took, reached := s.judge.measure(span, s.exempt)
	switch {
	case !reached:
		s.missed = true
	case found:
		s.judge.result.InForce = append(s.judge.result.InForce, took)
	}
}

// stale tells whether what is held at the end lacks the newest change.
func (s *serviceHistory) stale() bool {
	if len(s.changes) == 0 {
		return false
	}
	newest := s.changes[len(s.changes)-1].Version
	return len(s.applied) == 0 || s.applied[len(s.applied)-1].Version < newest
}

// unreachableSpans are when all relays of a list were at fault.
func (j *judge) unreachableSpans(relays []int) []Span {
	var all []Span
	for i, relay := range relays {
		if i == 0 {
			all = j.faults[relay]
			continue
		}
		all = intersect(all, j.faults[relay])
	}
	return all
}

// mergeOutages are the faults of each relay, those that overlap as one.
func mergeOutages(outages []Outage) map[int][]Span {
	all := map[int][]Span{}
	sorted := slices.SortedFunc(slices.Values(outages), func(a, b Outage) int { return int(a.From - b.From) })
	for _, outage := range sorted {
		spans := all[outage.Relay]
		if n := len(spans); n > 0 && outage.From <= spans[n-1].To {
			spans[n-1].To = max(spans[n-1].To, outage.To)
			continue
		}
		all[outage.Relay] = append(spans, Span{outage.From, outage.To})
	}
	return all
}

// intersect is when both of two lists of spans hold; each list is apart and rising.
func intersect(a, b []Span) []Span {
	var both []Span
	for i, k := 0, 0; i < len(a) && k < len(b); {
		from, to := max(a[i].From, b[k].From), min(a[i].To, b[k].To)
		if from < to {
			both = append(both, Span{from, to})
		}
		if a[i].To < b[k].To {
			i++
		} else {
			k++
		}
	}
	return both
}

// Quantile is that of rising times; 0 of none.
func Quantile(rising []time.Duration, q float64) time.Duration {
	if len(rising) == 0 {
		return 0
	}
	return rising[min(len(rising)-1, int(q*float64(len(rising))))]
}
