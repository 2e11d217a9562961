package history

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"otterspring/internal/lab/invariant"
)

// Violation is one violation of a rule. Evidence is a small subset of the entries that shows the
// violation.
type Violation struct {
	Rule        string
	Description string
	Evidence    []Entry
}

// Verdict is the result of Check.
type Verdict struct {
	Invariants           invariant.Report
	Violations           []Violation
	OwnershipViolations  int            // effects of a second holder in one epoch, plus StaleExecuted
	StaleExecuted        int            // effects that began after the receiver had executed an effect of a later epoch
	StaleRefused         int            // effects that the receiver refused, as fencing requires for older epochs
	Unrequested          int            // effects of requests that no client sent
	CheckedOperations    int            // operations checked for linearizability
	NonLinearizable      int            // keys whose operations are not linearizable
	Regressions          int            // observations of an older list or epoch than the process observed before
	Overallocations      int            // grants that made the sum of the grants for a key exceed the key's limit
	Unknown              int            // operations and orders without an answer
	MaxConcurrentEffects int            // largest number of concurrent effects for one lease, over all holders
	TotalOperations      int            // client requests, operations and orders
	FaultCounts          map[string]int // injected faults, by kind
	VoidReasons          []string
	Truncated            bool
	Visualizations       map[string][]byte // HTML pages that show operations that are not linearizable, by key
}

// Violated reports whether a rule was violated.
func (v *Verdict) Violated() bool {
	return v.Invariants.Violated() || len(v.Violations) > 0
}

// maxViolationsPerRule bounds the violations that a Verdict lists for each rule.
const maxViolationsPerRule = 20

// addViolation counts a violation. It also lists the violation, unless maxViolationsPerRule
// violations of the same rule are already listed.
func (v *Verdict) addViolation(count *int, rule, description string, evidence ...Entry) {
	*count++
	n := 0
	for i := range v.Violations {
		if v.Violations[i].Rule == rule {
			n++
		}
	}
	if n < maxViolationsPerRule {
		v.Violations = append(v.Violations, Violation{rule, description, evidence})
	}
}

// Check checks a history against all rules.
func Check(h *History) *Verdict {
	v := &Verdict{FaultCounts: map[string]int{}, Truncated: h.Truncated, Visualizations: map[string][]byte{}}
	if h.Dropped > 0 {
		v.VoidReasons = append(v.VoidReasons, fmt.Sprintf("%d entries were not recorded: a history holds at most %d", h.Dropped, MaxEntries))
	}
	for i := range h.Entries {
		e := &h.Entries[i]
		switch {
		case e.Kind == KindVoid:
			v.VoidReasons = append(v.VoidReasons, e.Value)
		case e.Kind == KindFault:
			v.FaultCounts[e.Op]++
		case (e.Kind == KindOperation || e.Kind == KindOrder) && e.Result == Unknown:
			v.Unknown++
		}
		if e.Kind == KindOperation {
			v.CheckedOperations++
		}
		if e.Kind == KindOperation || e.Kind == invariant.KindRequestSent || e.Kind == KindOrder {
			v.TotalOperations++
		}
		if e.Kind == KindEffect && e.Result == Refused {
			v.StaleRefused++
		}
	}
	v.checkInvariants(h)
	v.checkOwnership(h)
	v.checkLinearizability(h)
	v.checkMonotonicity(h)
	v.checkConservation(h)
	return v
}

// checkInvariants replays the events of the history in an invariant.Checker, on the clock
// of the history, and collects the entries of the requests that violate a rule.
func (v *Verdict) checkInvariants(h *History) {
	var now time.Duration
	checker := invariant.NewWithClock(h.Rules, func() time.Duration { return now })
	sent := map[string]bool{}
	byID := map[string][]Entry{}
	for _, e := range h.Entries {
		now = max(now, e.At)
		if checker.Apply(e.Event) != nil {
			continue
		}
		if e.RequestID == "" {
			continue
		}
		byID[e.RequestID] = append(byID[e.RequestID], e)
		switch e.Kind {
		case invariant.KindRequestSent:
			sent[e.RequestID] = true
		case invariant.KindEffectExecuted:
			if !sent[e.RequestID] && !h.UnrecordedClients {
				v.addViolation(&v.Unrequested, "unasked", fmt.Sprintf("%s was executed at %s, but no client sent it", e.RequestID, e.Server), byID[e.RequestID]...)
			}
		}
	}
	if !h.Truncated {
		// Requests still in flight at the end of a complete history count as dropped. The
		// outcome of requests in flight at the end of a truncated history is unknown.
		now += time.Hour
	}
	v.Invariants = checker.Report()
	for _, text := range v.Invariants.Violations {
		id, _, _ := strings.Cut(text, ":")
		ignored := 0
		v.addViolation(&ignored, "four rules", text, byID[id]...)
	}
}

// receiver is a target of the effects for one lease.
type receiver struct{ lease, target string }

// checkOwnership finds two kinds of effects that fencing should have prevented. The first kind
// began at a receiver after the receiver had executed an effect of a later epoch. The second kind
// was sent by a second holder in one epoch. Effects without an epoch (0) come from programs that
// have no epochs. Such effects only count for MaxConcurrentEffects.
func (v *Verdict) checkOwnership(h *History) {
	newest := map[receiver]Entry{}
	earlier := map[receiver][]Entry{}
	holders := map[string]map[uint64]Entry{} // the first effect, by lease and epoch
	type edge struct {
		at    time.Duration
		delta int // 1 at the start of an effect, -1 at its end
	}
	edgesOf := map[string][]edge{} // by lease
	var all []Entry
	for _, e := range h.Entries {
		if e.Kind == KindEffect && e.Result != Refused {
			all = append(all, e)
		}
	}
	slices.SortStableFunc(all, func(a, b Entry) int { return int(a.At - b.At) })
	for _, e := range all {
		end := e.End
		if end > 0 {
			edgesOf[e.Lease] = append(edgesOf[e.Lease], edge{e.At, 1}, edge{end, -1})
		}
		if e.Number == 0 {
			continue
		}
		byEpoch := holders[e.Lease]
		if byEpoch == nil {
			byEpoch = map[uint64]Entry{}
			holders[e.Lease] = byEpoch
		}
		if first, ok := byEpoch[e.Number]; !ok {
			byEpoch[e.Number] = e
		} else if first.Actor != e.Actor {
			v.addViolation(&v.OwnershipViolations, "single owner", fmt.Sprintf("%s in epoch %d: both %s and %s acted as the lease holder", e.Lease, e.Number, first.Actor, e.Actor), first, e)
		}
		// newest[key] is the effect with the highest epoch among the effects that this
		// receiver had executed when e began.
		key := receiver{e.Lease, e.Target}
		for _, o := range earlier[key] {
			if o.Number > newest[key].Number && executedBy(o) <= e.At {
				newest[key] = o
			}
		}
		earlier[key] = append(earlier[key], e)
		if n := newest[key]; n.Number > e.Number {
			v.StaleExecuted++
			v.addViolation(&v.OwnershipViolations, "single owner", fmt.Sprintf("%s did %s to %s in epoch %d after %s had acted there in epoch %d", e.Actor, e.Op, e.Target, e.Number, n.Actor, n.Number), n, e)
		}
	}
	for _, edges := range edgesOf {
		slices.SortFunc(edges, func(a, b edge) int {
			if a.at != b.at {
				return int(a.at - b.at)
			}
			return a.delta - b.delta // ends before starts of the same time
		})
		n := 0
		for _, x := range edges {
			n += x.delta
			v.MaxConcurrentEffects = max(v.MaxConcurrentEffects, n)
		}
	}
}

// executedBy returns the time at which an entry counts as executed. This is the end of the entry, or
// the start if the end is unknown.
func executedBy(e Entry) time.Duration {
	if e.End > 0 {
		return e.End
	}
	return e.At
}

// checkMonotonicity finds processes that observed an older list or epoch after a newer one.
// Actor identifies the process, so a restarted process counts as a different process.
func (v *Verdict) checkMonotonicity(h *History) {
	type observed struct{ actor, key string }
	last := map[observed]Entry{}
	for _, e := range h.Entries {
		if e.Kind != KindObservation {
			continue
		}
		id := observed{e.Actor, e.Key}
		if before, ok := last[id]; ok && e.Number < before.Number {
			v.addViolation(&v.Regressions, "monotonic", fmt.Sprintf("%s saw %s at %d after %d", e.Actor, e.Key, e.Number, before.Number), before, e)
		}
		last[id] = e
	}
}

// checkConservation finds times at which the sum of the amounts granted for a key exceeded the
// key's limit. If a receiver returned a grant early, the End of the grant is the time of the
// return. A grant without an End doesn't expire.
func (v *Verdict) checkConservation(h *History) {
	type grant struct {
		entry Entry
		until time.Duration
	}
	limits := map[string]Entry{}
	active := map[string][]grant{}
	for _, e := range h.Entries {
		switch e.Kind {
		case KindLimit:
			limits[e.Key] = e
		case KindGrant:
			// A newer grant to the same target replaces the older one.
			active[e.Key] = slices.DeleteFunc(active[e.Key], func(g grant) bool {
				return g.until > 0 && g.until <= e.At || g.entry.Target == e.Target
			})
			active[e.Key] = append(active[e.Key], grant{e, e.End})
			sum, evidence := 0.0, []Entry{limits[e.Key]}
			for _, g := range active[e.Key] {
				sum += g.entry.Amount
				evidence = append(evidence, g.entry)
			}
			if limit, ok := limits[e.Key]; ok && sum > limit.Amount*(1+1e-9) {
				v.addViolation(&v.Overallocations, "conservation", fmt.Sprintf("%g of %s granted, the limit is %g", sum, e.Key, limit.Amount), evidence...)
			}
		}
	}
}

// linearizabilityTimeout bounds the search for a linearization of one key's operations.
const linearizabilityTimeout = 20 * time.Second

// checkLinearizability searches, for each key, for a linearization: an order of the
// operations that is consistent with their times and results. An operation without an
// answer may have been executed at any time after its start, or not at all.
func (v *Verdict) checkLinearizability(h *History) {
	byKey := map[string][]Entry{}
	var keys []string
	for _, e := range h.Entries {
		if e.Kind != KindOperation {
			continue
		}
		if byKey[e.Key] == nil {
			keys = append(keys, e.Key)
		}
		byKey[e.Key] = append(byKey[e.Key], e)
	}
	for _, key := range keys {
		all := byKey[key]
		model, name := registerModel, "register"
		if slices.ContainsFunc(all, func(e Entry) bool { return e.Op == "take" || e.Op == "check" }) {
			model, name = leaseModel, "lease"
		}
		ops := porcupineOperations(all)
		switch res, info := porcupine.CheckOperationsVerbose(model, ops, linearizabilityTimeout); res {
		case porcupine.Illegal:
			var html strings.Builder
			if porcupine.Visualize(model, info, &html) == nil {
				v.Visualizations[key] = []byte(html.String())
			}
			v.addViolation(&v.NonLinearizable, "linearizable", fmt.Sprintf("the operations on the %s %s are not linearizable", name, key), minimalEvidence(model, all)...)
		case porcupine.Unknown:
			v.VoidReasons = append(v.VoidReasons, fmt.Sprintf("the linearizability of the %d operations on %s was not decided within %v", len(ops), key, linearizabilityTimeout))
		}
	}
}

// porcupineOperations converts entries to operations of porcupine. An operation without an
// answer ends after all others.
func porcupineOperations(all []Entry) []porcupine.Operation {
	last := time.Duration(0)
	for _, e := range all {
		last = max(last, e.At, e.End)
	}
	clients := map[string]int{}
	var ops []porcupine.Operation
	for _, e := range all {
		end := e.End
		if e.Result == Unknown || end < e.At {
			end = last + 1
		}
		id, ok := clients[e.Actor]
		if !ok {
			id = len(clients)
			clients[e.Actor] = id
		}
		ops = append(ops, porcupine.Operation{ClientId: id, Input: e, Call: int64(e.At), Output: e.Result, Return: int64(end)})
	}
	return ops
}

// minimalEvidence returns the shortest prefix of the operations that is not linearizable,
// without the operations that the contradiction doesn't need. An operation that explains the
// result of another operation stays: the write of a value that was read, or the take of an
// epoch that was checked.
func minimalEvidence(model porcupine.Model, all []Entry) []Entry {
	all = slices.Clone(all)
	slices.SortStableFunc(all, func(a, b Entry) int { return int(executedBy(a) - executedBy(b)) })
	illegal := func(part []Entry) bool {
		return porcupine.CheckOperationsTimeout(model, porcupineOperations(part), time.Second) == porcupine.Illegal
	}
	lo, hi := 1, len(all)
	for lo < hi {
		mid := (lo + hi) / 2
		if illegal(all[:mid]) {
			hi = mid
		} else {
			lo = mid + 1
		}
	}
	part := all[:hi]
	referenced := func(i int) bool {
		return slices.ContainsFunc(part, func(e Entry) bool {
			return e.Op == "read" && part[i].Op != "read" && e.Value == part[i].Value ||
				e.Op == "check" && part[i].Op == "take" && (e.Number == part[i].Number || part[i].Result == Unknown)
		})
	}
	for i := 0; i < len(part)-1 && len(part) < 400; {
		if referenced(i) {
			i++
			continue
		}
		without := slices.Concat(part[:i], part[i+1:])
		if illegal(without) {
			part = without
		} else {
			i++
		}
	}
	return part
}

// registerModel models a register with the operations "read", "write" and "cas"
// (compare-and-set). The Value of a read is the value that the read returned.
var registerModel = toModel(porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		st, e, result := state.(string), input.(Entry), output.(string)
		switch {
		case e.Op == "read":
			if result != Done || e.Value == st {
				return []any{st}
			}
			return nil
		case e.Op == "write" && result == Done:
			return []any{e.Value}
		case e.Op == "write" && result == Unknown:
			return []any{st, e.Value}
		case e.Op == "cas" && result == Done:
			if st == e.Expected {
				return []any{e.Value}
			}
			return nil
		case e.Op == "cas" && result == Refused:
			if st != e.Expected {
				return []any{st}
			}
			return nil
		case e.Op == "cas" && st == e.Expected: // the result is Unknown
			return []any{st, e.Value}
		}
		return []any{st} // the operation had no effect
	},
	Equal:             func(a, b any) bool { return a == b },
	DescribeOperation: describe,
})

// leaseState is the state of a lease.
type leaseState struct {
	epoch  uint64 // newest known epoch
	holder string
	later  bool // holder executed a "take" without an answer, so the true epoch is later than epoch
}

// leaseModel models a lease with epochs. The operation "take" gives the lease to Actor in the
// epoch Number, which must be later than every earlier epoch. The operation "check" returns
// whether Actor holds the lease in the epoch Number.
var leaseModel = toModel(porcupine.NondeterministicModel{
	Init: func() []any { return []any{leaseState{}} },
	Step: func(state, input, output any) []any {
		st, e, result := state.(leaseState), input.(Entry), output.(string)
		switch {
		case e.Op == "take" && result == Done:
			least := st.epoch + 1
			if st.later {
				least++
			}
			if e.Number >= least {
				return []any{leaseState{e.Number, e.Actor, false}}
			}
			return nil
		case e.Op == "take" && result == Unknown:
			return []any{st, leaseState{st.epoch, e.Actor, true}}
		case e.Op == "check" && result == Done:
			if st.later && st.holder == e.Actor && e.Number > st.epoch {
				return []any{leaseState{e.Number, e.Actor, false}}
			}
			if !st.later && st.holder == e.Actor && st.epoch == e.Number {
				return []any{st}
			}
			return nil
		case e.Op == "check" && result == Refused:
			if !st.later && st.holder == e.Actor && st.epoch == e.Number {
				return nil
			}
		}
		return []any{st}
	},
	Equal:             func(a, b any) bool { return a == b },
	DescribeOperation: describe,
})

func toModel(m porcupine.NondeterministicModel) porcupine.Model { return m.ToModel() }

func describe(input, output any) string {
	e := input.(Entry)
	text := e.Actor + " " + e.Op
	if e.Expected != "" {
		text += " " + e.Expected + " to"
	}
	if e.Value != "" {
		text += " " + e.Value
	}
	if e.Number > 0 {
		text += fmt.Sprintf(" %d", e.Number)
	}
	return text + ": " + output.(string)
}

// Describe returns the entry as one line of human-readable text.
func (e *Entry) Describe() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%12.6f s  %-9s", e.At.Seconds(), e.Kind)
	field := func(name, value string) {
		if value != "" {
			fmt.Fprintf(&b, " %s=%s", name, value)
		}
	}
	field("id", e.RequestID)
	field("name", e.Instance)
	field("who", e.Actor)
	field("to", e.Target)
	field("server", e.Server)
	field("pod", e.Pod)
	field("duty", e.Lease)
	field("op", e.Op)
	field("key", e.Key)
	field("old", e.Expected)
	field("value", e.Value)
	field("result", e.Result)
	if e.Number > 0 {
		fmt.Fprintf(&b, " number=%d", e.Number)
	}
	if e.Amount > 0 {
		fmt.Fprintf(&b, " amount=%g", e.Amount)
	}
	if e.Kind == invariant.KindAnswered {
		fmt.Fprintf(&b, " %s", [...]string{"served", "refused", "failed"}[min(max(0, int(e.Outcome)), 2)])
	}
	if e.Flag {
		fmt.Fprintf(&b, " yes")
	}
	if e.End > 0 {
		fmt.Fprintf(&b, " until %.6f s", e.End.Seconds())
	}
	return b.String()
}
