package scale

import (
	"maps"
	"slices"
	"time"

	"otterspring/internal/fleet/configuration"
)

// Change is a configuration change that the cluster has accepted. All times in a Record are
// readings of Now.
type Change struct {
	Service  int
	Version  configuration.Version
	Accepted time.Duration
}

// AppliedVersion is a subscriber's report that it has applied a version of a service.
// Version 0 means that the subscriber has removed the service.
type AppliedVersion struct {
	At      time.Duration
	Service int
	Version configuration.Version
}

// Incarnation is the period of a subscriber from one start to the next stop, with the versions
// that it applied.
type Incarnation struct {
	Start, End time.Duration    // End is 0 if the subscriber has not stopped
	Applied    []AppliedVersion // applied versions in the order of the reports
}

// History has the reports of one subscriber, with its services and relays.
type History struct {
	Services     []int
	Relays       []int
	Incarnations []Incarnation
}

// Outage is the period of a fault that the rig has injected into a relay.
type Outage struct {
	Relay    int
	From, To time.Duration
}

// Span is a period of time.
type Span struct{ From, To time.Duration }

// Record has the reports and events of a run that Evaluate reads.
type Record struct {
	Subscribers []History
	Changes     []Change // sorted by the time of acceptance
	Outages     []Outage
	// Start is the start of the load, and End the end of the settling time after the load.
	Start, End time.Duration
}

// Evaluation is the result of Evaluate.
type Evaluation struct {
	Convergence []time.Duration // times from acceptance to application, per change and subscriber; sorted
	// ConvergenceMax is the longest time for which a subscriber waited for a change. It includes the
	// times in Convergence and Restarts. It also includes unsuccessful waits. Such a wait ends with
	// the subscriber's incarnation, with the run, or when all relays of the subscriber have a fault.
	ConvergenceMax     time.Duration
	Restarts           []time.Duration // times from a start until all earlier changes are applied; sorted
	Unreachable        int             // subscribers that missed a change while all of their relays had a fault
	RecoveryMax        time.Duration   // longest time from the end of such a fault until the missed change was applied
	Stale              int             // subscribers without the newest version of a service at the end
	Regressions        int             // decreases of a version within an incarnation
	RestartRegressions int             // decreases of a version over a restart
}

// Evaluate computes the convergence times and violations of a record.
func Evaluate(r *Record) *Evaluation {
	j := &evaluator{record: r, byService: map[int][]Change{}, faults: mergeOutages(r.Outages), result: &Evaluation{}}
	for _, change := range r.Changes {
		j.byService[change.Service] = append(j.byService[change.Service], change)
	}
	for i := range r.Subscribers {
		j.evaluateSubscriber(&r.Subscribers[i])
	}
	slices.Sort(j.result.Convergence)
	slices.Sort(j.result.Restarts)
	return j.result
}

type evaluator struct {
	record    *Record
	byService map[int][]Change
	faults    map[int][]Span // fault spans by relay; disjoint and sorted
	result    *Evaluation
}

// evaluateSubscriber evaluates the reports of one subscriber.
func (j *evaluator) evaluateSubscriber(history *History) {
	unreachableIn := j.unreachableSpans(history.Relays)
	newest := map[int]configuration.Version{} // newest versions by service over all incarnations
	unreachable, stale := false, false
	for i := range history.Incarnations {
		incarnation := &history.Incarnations[i]
		j.countRegressions(incarnation, newest)
		byService := map[int][]AppliedVersion{}
		for _, applied := range incarnation.Applied {
			byService[applied.Service] = append(byService[applied.Service], applied)
		}
		complete := incarnation.Start
		for _, service := range history.Services {
			reports := serviceHistory{evaluator: j, incarnation: incarnation, applied: byService[service], changes: j.byService[service], unreachableIn: unreachableIn}
			complete = max(complete, reports.measureChanges())
			unreachable = unreachable || reports.unreachable
			stale = stale || i == len(history.Incarnations)-1 && reports.isStale()
		}
		j.recordRestart(incarnation, complete, unreachableIn, &unreachable)
	}
	if unreachable {
		j.result.Unreachable++
	}
	if stale {
		j.result.Stale++
	}
}

// countRegressions counts the decreases of a version within an incarnation and over a restart.
// before has the newest versions of the earlier incarnations. countRegressions adds the versions of
// this incarnation to before.
func (j *evaluator) countRegressions(incarnation *Incarnation, before map[int]configuration.Version) {
	newest := map[int]configuration.Version{}
	for _, applied := range incarnation.Applied {
		if applied.Version < newest[applied.Service] {
			j.result.Regressions++
		} else if newest[applied.Service] == 0 && applied.Version < before[applied.Service] {
			j.result.RestartRegressions++
		}
		newest[applied.Service] = applied.Version
	}
	maps.Copy(before, newest)
}

// recordRestart records how long an incarnation that started within the run took to apply all
// changes that were accepted before it started. complete is the time at which the incarnation had
// applied all of these changes.
func (j *evaluator) recordRestart(incarnation *Incarnation, complete time.Duration, unreachableIn []Span, unreachable *bool) {
	if incarnation.Start < j.record.Start {
		return
	}
	took, reached := j.measure(Span{incarnation.Start, complete}, unreachableIn)
	if reached {
		j.result.Restarts = append(j.result.Restarts, took)
		return
	}
	*unreachable = true
}

// measure records and returns the length of a span in which a subscriber waited for a change.
// unreachableIn has the spans in which all relays of the subscriber had a fault. reached is false
// if one of these fault spans overlaps the given span. In this case the time before the first
// overlap counts for ConvergenceMax, and the time after each overlap counts for RecoveryMax.
func (j *evaluator) measure(span Span, unreachableIn []Span) (took time.Duration, reached bool) {
	took, reached = span.To-span.From, true
	from := span.From
	for _, fault := range unreachableIn {
		if fault.From >= span.To || fault.To <= span.From {
			continue
		}
		if reached {
			j.result.ConvergenceMax = max(j.result.ConvergenceMax, fault.From-from)
		} else {
			j.result.RecoveryMax = max(j.result.RecoveryMax, fault.From-from)
		}
		reached, from = false, fault.To
	}
	if !reached {
		j.result.RecoveryMax = max(j.result.RecoveryMax, span.To-from)
		return 0, false
	}
	j.result.ConvergenceMax = max(j.result.ConvergenceMax, took)
	return took, true
}

// serviceHistory has the reports of one incarnation for one service.
type serviceHistory struct {
	evaluator     *evaluator
	incarnation   *Incarnation
	applied       []AppliedVersion
	changes       []Change
	unreachableIn []Span // spans in which all relays of the subscriber had a fault
	unreachable   bool
}

// end returns the end of the incarnation within the record.
func (s *serviceHistory) end() time.Duration {
	if s.incarnation.End > 0 {
		return min(s.incarnation.End, s.evaluator.record.End)
	}
	return s.evaluator.record.End
}

// measureChanges measures each change that was accepted both within the incarnation and within the
// run. It returns the time at which the newest change from before the incarnation was applied. If
// there is no such change, it returns the start of the incarnation. If that change was never
// applied, it returns the end of the incarnation.
func (s *serviceHistory) measureChanges() (complete time.Duration) {
	complete = s.incarnation.Start
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
		if change.Accepted < s.evaluator.record.Start {
			continue
		}
		next = s.firstAtLeast(change.Version, next)
		s.measure(change, next)
	}
	if before == nil {
		return complete
	}
	at := s.firstAtLeast(before.Version, 0)
	if at == len(s.applied) {
		return s.end()
	}
	return max(complete, s.applied[at].At)
}

// firstAtLeast returns the index of the first applied version that is equal to version or newer.
// The search starts at the index "from". firstAtLeast returns len(s.applied) if there is no such
// version.
func (s *serviceHistory) firstAtLeast(version configuration.Version, from int) int {
	for from < len(s.applied) && s.applied[from].Version < version {
		from++
	}
	return from
}

// measure records how long the application of a change took. at is the index of the applied
// version that includes the change, or len(s.applied) if there is none.
func (s *serviceHistory) measure(change *Change, at int) {
	span := Span{From: change.Accepted, To: s.end()}
	found := at < len(s.applied)
	if found {
		span.To = max(change.Accepted, s.applied[at].At)
	}
	took, reached := s.evaluator.measure(span, s.unreachableIn)
	switch {
	case !reached:
		s.unreachable = true
	case found:
		s.evaluator.result.Convergence = append(s.evaluator.result.Convergence, took)
	}
}

// isStale reports whether the incarnation lacks the newest change at its end.
func (s *serviceHistory) isStale() bool {
	if len(s.changes) == 0 {
		return false
	}
	newest := s.changes[len(s.changes)-1].Version
	return len(s.applied) == 0 || s.applied[len(s.applied)-1].Version < newest
}

// unreachableSpans returns the spans in which all relays of a list had a fault.
func (j *evaluator) unreachableSpans(relays []int) []Span {
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

// mergeOutages returns the fault spans of each relay, with overlapping spans merged.
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

// intersect returns the spans that two lists of disjoint, sorted spans have in common.
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

// Quantile returns a quantile of sorted durations; 0 if there are none.
func Quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
