package experiment

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"otterspring/internal/lab/invariant"
	"otterspring/internal/lab/standin/clients"
)

// Figure describes a measured value of a run that an assertion can limit.
type Figure struct {
	Description  string
	WholeRunOnly bool // not available for a phase
}

// Figures has the measured values by name.
var Figures = map[string]Figure{
	"service":           {Description: "priority weight of the requests answered within their latency objective, as a share of that of all requests; a retry counts with its first attempt"},
	"figure":            {Description: "0.55 service + 0.35 worst10 + 0.10 worst_class, the weights of the site"},
	"worst10":           {Description: "service of the worst 10 s; of the worst 3 s in a period shorter than 20 s"},
	"worst_tenant":      {Description: "lowest service of a tenant, of those within their share of the quotas"},
	"worst_class":       {Description: "lowest share of a class's requests that were answered in time"},
	"refused":           {Description: "share of requests that were refused"},
	"failed":            {Description: "share of requests that failed or had no answer"},
	"unanswered":        {Description: "share of attempts that had no answer when the client stopped waiting", WholeRunOnly: true},
	"retry_ratio":       {Description: "ratio of retries to first attempts that arrived at servers"},
	"p50_ms":            {Description: "median latency of served requests, from the time when they were due"},
	"p99_ms":            {Description: "99th percentile of the latency of served requests, from the time when they were due"},
	"recover_s":         {Description: "seconds from the end of the last disturbance until service stays at 0.9 of its value before the first one; 999 for never", WholeRunOnly: true},
	"cold_load":         {Description: "maximum load of a server during warm-up, as a share of its overload limit", WholeRunOnly: true},
	"cold_calls":        {Description: "maximum number of calls to a server during warm-up, as a share of N + 2 sqrt N + 2: N calls reach its overload limit, the other terms allow for random variation", WholeRunOnly: true},
	"budget_over":       {Description: "retries that were sent although the retry budget of the window was spent", WholeRunOnly: true},
	"budget_refused":    {Description: "requests abandoned with attempts and time left", WholeRunOnly: true},
	"ambiguous":         {Description: "requests not safe to retry that were executed but not served", WholeRunOnly: true},
	"rude_left":         {Description: "share of misbehaving clients' connections that were neither answered nor closed within 3 s; sockets only", WholeRunOnly: true},
	"lost_refused":      {Description: "priority weight of refused requests, as a share of that of all requests"},
	"lost_late":         {Description: "priority weight of requests answered after their latency objective, as a share of that of all requests"},
	"lost_failed":       {Description: "priority weight of failed requests, as a share of that of all requests"},
	"lost_none":         {Description: "priority weight of requests without an answer by their deadline, as a share of that of all requests"},
	"back_s":            {Description: "seconds from the first disturbance until the first three consecutive seconds with service of at least 0.9 after a lower one; 0 if service never fell below, 999 for never", WholeRunOnly: true},
	"worst_third":       {Description: "lowest service of a third of the run", WholeRunOnly: true},
	"closed_unread":     {Description: "requests whose new connection was closed without an answer, as a share of all requests; sockets only", WholeRunOnly: true},
	"most_at_once":      {Description: "maximum number of instances without a ready process at one time; with hosts only", WholeRunOnly: true},
	"fleet_kills":       {Description: "instances that supervisors decided to kill; with hosts only", WholeRunOnly: true},
	"fleet_up":          {Description: "share of the instances that run at the end, according to their supervisors; with hosts only", WholeRunOnly: true},
	"rolled_twice":      {Description: "instances that were started twice for one operation; with a coordination cluster only", WholeRunOnly: true},
	"left_out":          {Description: "instances that a completed operation did not restart; with a coordination cluster only", WholeRunOnly: true},
	"orders_done":       {Description: "completed operations on all hosts; with a coordination cluster only", WholeRunOnly: true},
	"late_tried":        {Description: "effects of a previous lease holder that receivers refused; with a coordination cluster only", WholeRunOnly: true},
	"roll_at_once":      {Description: "maximum number of instances in progress for operations at one time; with a coordination cluster only", WholeRunOnly: true},
	"list_lines_s":      {Description: "lines per second that discovery processed, including the cost of calls; sockets only", WholeRunOnly: true},
	"list_handovers":    {Description: "acquisitions of the lease of the endpoint list; with a shared endpoint list only", WholeRunOnly: true},
	"list_self":         {Description: "calls by sidecars to discovery since the first process fault; with a shared endpoint list only", WholeRunOnly: true},
	"list_last_s":       {Description: "maximum time from the arrival of a change in a zone until the last sidecar has it; with a shared endpoint list only", WholeRunOnly: true},
	"roll_zone_at_once": {Description: "maximum number of instances of one zone in progress for operations at one time; with a coordination cluster only", WholeRunOnly: true},
	"overlaps":          {Description: "terms that had not ended, by their holder's clock, when the next term began; with a coordination cluster only", WholeRunOnly: true},
	"unheard":           {Description: "effects refused by receivers that had just started and did not know an epoch; with a coordination cluster only", WholeRunOnly: true},
	"handovers":         {Description: "acquisitions of the lease of the rollout; with a coordination cluster only", WholeRunOnly: true},
	"kinds":             {Description: "kinds of process fault that were injected; with hosts only", WholeRunOnly: true},
	"conns_asked":       {Description: "connections opened to call servers per request", WholeRunOnly: true},
	"conns_second":      {Description: "maximum number of connections opened to one call server in one second", WholeRunOnly: true},
	"cap_share":         {Description: "maximum number of connections open at one call server, as a share of its limit", WholeRunOnly: true},
	"list_wait_s":       {Description: "maximum time that a call waited in the queue of discovery", WholeRunOnly: true},
	"list_failed":       {Description: "share of calls to discovery that failed because the queue was too long", WholeRunOnly: true},
	"list_calls_s":      {Description: "maximum number of calls to discovery in one second, per instance", WholeRunOnly: true},
	"growth":            {Description: "size of the instances in the last quarter of the run relative to the second quarter: entries in virtual time, resident memory on sockets", WholeRunOnly: true},
	"own_ends":          {Description: "requests whose time ended while an attempt was in flight", WholeRunOnly: true},
}

// FigureNames returns the names of all figures in alphabetical order.
func FigureNames() []string {
	var names []string
	for k := range Figures {
		names = append(names, k)
	}
	slices.Sort(names)
	return names
}

// Second has the counts of one second of the run. A request counts in the second in which it was
// due. An attempt counts in the second in which it arrived at a server. The field names in JSON are
// part of the result file format.
type Second struct {
	Asked, InTime, Late, Refused, Failed int

	NoAnswer      int      `json:"None"`
	FirstAttempts int      `json:"Firsts"`
	Retries       int      `json:"Repeats"`
	WarmupLoad    float64  `json:"Cold"`
	ServersDown   int      `json:"Out"`        // servers that are down according to the plan
	Classes       [][4]int `json:",omitempty"` // requests of each class: all, in time, refused, others
}

// Record has the observations of an engine during a run.
type Record struct {
	Engine  string
	Samples []clients.Sample   // the due times count from the start of the run
	Seconds []invariant.Second // attempts that arrived at servers in each second of the run
	Report  invariant.Report
	Counts  Counts
	// EngineFigures are the figures that only the engine can measure, by their name in Figures.
	EngineFigures map[string]float64
	Skipped       []string
	VoidReasons   []string       // why the run says nothing about the program; empty for a valid run
	ProcessReport *ProcessReport // nil in a world without hosts
	Signals       *SignalCounts  // nil for an experiment without series of signals and connection bursts
}

// SignalCounts counts the effects of series of signals and of connection bursts.
type SignalCounts struct {
	Restarts         int // processes that were ended and started again
	Sent             int // signals sent
	Bursts           int // instances that received a connection burst
	TermTimeouts     int // processes that did not exit in time after SIGTERM and were killed
	SlowStarts       int // starts that took longer than 10 s
	IdleInstances    int // instances that received requests in the last quarter of the run and served none
	LeakingInstances int // instances with more descriptors or goroutines than at the start
	Problems         []string
}

// addSignalCounts adds the violations and problems of c to the result.
func (r *Result) addSignalCounts(c *SignalCounts) {
	if c == nil {
		return
	}
	r.Violations["overruns"], r.Violations["idle"], r.Violations["leaked"] = c.TermTimeouts, c.IdleInstances, c.LeakingInstances
	if c.SlowStarts*10 > c.Restarts { // at most a tenth of the starts may be slow
		r.Violations["unready"] = c.SlowStarts
	}
	r.Problems = append(slices.Clone(r.Problems), c.Problems...)
}

// ProcessReport has the observations of the processes in a world with hosts. The field
// names in JSON are part of the result file format.
type ProcessReport struct {
	Started       int            `json:"Processes"` // processes started during the run
	Kinds         map[string]int // injected process faults by kind
	Operations    int            `json:"Orders"` // operations that supervisors accepted
	MaxInProgress int            `json:"AtOnce"` // maximum number of instances that had no ready process at one time
	Kills         int            // kills by supervisors on their own decision
	RunningAtEnd  int            `json:"Up"`      // instances that run at the end, according to their supervisors
	LeftBehind    int            `json:"Left"`    // processes that still run after the rig has stopped the hosts
	Coordination  *RollReport    `json:"Council"` // nil without a coordination cluster
}

// RollReport has the observations of rolling restarts that the coordination cluster
// controls.
type RollReport struct {
	EndpointList *EndpointListReport `json:"List"`
	Handovers    int                 // acquisitions of the lease

	StaleRefused         int             `json:"LateTried"` // refused effects that a previous lease holder sent
	StartedTwice         int             `json:"Twice"`     // instances started twice for one operation
	LeftOut              int             // instances that a completed operation did not restart
	Completed            int             `json:"Done"`     // completed operations
	MaxInProgressPerZone int             `json:"MostZone"` // maximum of MaxInProgress within one zone
	Overlaps             int             // terms that, by their holder's clock, had not ended when the next term began
	RefusedWithoutEpoch  int             `json:"Unheard"` // effects that receivers refused while they knew no epoch
	MaxInProgress        int             `json:"Most"`    // maximum number of restarting instances at one time
	Gaps                 []time.Duration // times from the end of a lease holder until the next lease holder
}

// EndpointListReport has the observations of the shared endpoint list.
type EndpointListReport struct {
	Handovers   int             // acquisitions of the lease
	Delays      []time.Duration // times from a zone's first answer with a change until a sidecar has cached the change
	LastDelays  []time.Duration // times from the same answer until the last sidecar has cached the change
	DirectCalls int             // calls by sidecars to discovery since the first process fault
}

// Counts has the counts of events in the sidecars and connections. A count that the engine cannot
// observe is -1.
type Counts struct {
	BudgetOver, BudgetRefused, EndedInFlight int
	ConnectionsOpened, Steps                 int
	Misbehaving                              *clients.MisuseCounts // nil without misbehaving clients
}

// AssertionResult is the result of one assertion. The result file calls a passed assertion "kept".
type AssertionResult struct {
	Assertion string  `json:"promise"`
	Found     float64 `json:"found"`
	Passed    bool    `json:"kept"`
}

// Result has the verdict and the figures of a run. It is written as one line of JSON, whose field
// names are part of the result file format.
type Result struct {
	Experiment    string             `json:"storm"`
	Hash          string             `json:"hash"`
	Engine        string             `json:"engine"`
	Seed          uint64             `json:"seed"`
	Settings      []string           `json:"set,omitempty"`
	Version       string             `json:"version,omitempty"`
	Machine       string             `json:"machine,omitempty"`
	Size          string             `json:"size"`
	Figures       map[string]float64 `json:"figures"`
	Phases        map[string]map[string]float64
	Classes       []clients.ClassService `json:"classes"`
	Violations    map[string]int         `json:"rules"`
	AtRisk        map[string]float64     `json:"stake"`
	Assertions    []AssertionResult      `json:"holds,omitempty"`
	VoidReasons   []string               `json:"void,omitempty"`
	Skipped       []string               `json:"skipped,omitempty"`
	Problems      []string               `json:"problems,omitempty"`
	Series        []Second               `json:"series,omitempty"`
	Marks         []Mark                 `json:"marks,omitempty"`
	ProcessReport *ProcessReport         `json:"between,omitempty"`
}

// Mark is a fault or surge on a timeline. From and To are in seconds.
type Mark struct {
	Kind     string
	From, To float64
}

// Broken reports whether an invariant was violated.
func (r *Result) Broken() bool {
	for _, n := range r.Violations {
		if n > 0 {
			return true
		}
	}
	return false
}

// Failed reports whether an assertion did not hold.
func (r *Result) Failed() bool {
	return slices.ContainsFunc(r.Assertions, func(k AssertionResult) bool { return !k.Passed })
}

// Verdict returns one word: "broken" if an invariant was violated, "void" if the run says nothing
// about the program, "failed" if an assertion did not hold, and "kept" otherwise.
func (r *Result) Verdict() string {
	switch {
	case r.Broken():
		return "broken"
	case len(r.VoidReasons) > 0:
		return "void"
	case r.Failed():
		return "failed"
	}
	return "kept"
}

// Evaluate computes the result of a run and checks it against the invariants and the assertions of
// its experiment. settings are the settings that were applied to the experiment file.
func Evaluate(p *Plan, rec *Record, settings []string) *Result {
	s := p.Spec
	rep := &rec.Report
	res := &Result{
		Experiment: s.Name, Hash: s.Hash, Engine: rec.Engine, Seed: p.Seed, Settings: settings, VoidReasons: slices.Clone(rec.VoidReasons), Skipped: rec.Skipped, Problems: rep.Violations,
		Size:          fmt.Sprintf("%dx%d, %.0f/s, %v", s.World.Instances, s.World.Servers, s.Rate(), s.Duration),
		Phases:        map[string]map[string]float64{},
		ProcessReport: rec.ProcessReport,
		Violations:    map[string]int{"lost": rep.Dropped, "late": rep.Late, "forged": rep.Forged, "after": rep.SentAfterAnswer, "twice": rep.ExecutedTwice, "untrue": rep.RejectedAfterExecution, "late_sends": rep.SentToDraining, "tipped": rep.Overloaded},
		Figures:       computeFigures(s, rec, 0, s.Duration),
	}
	classes := s.ClientClasses()
	res.Classes = clients.Summarize(classes, rec.Samples).Classes
	res.Figures["recover_s"] = recoveryTime(s, rec)
	res.Figures["unanswered"] = float64(rep.Unanswered) / float64(max(1, rep.Requests))
	res.Figures["cold_load"] = rep.WarmupPeakLoad
	res.Figures["cold_calls"] = rep.WarmupPeakCalls
	res.Figures["ambiguous"] = float64(rep.Ambiguous)
	counts := map[string]int{"budget_over": rec.Counts.BudgetOver, "budget_refused": rec.Counts.BudgetRefused, "own_ends": rec.Counts.EndedInFlight}
	for name, n := range counts {
		if n >= 0 {
			res.Figures[name] = float64(n)
		}
	}
	for name, v := range rec.EngineFigures {
		res.Figures[name] = v
	}
	if rec.ProcessReport != nil {
		res.Figures["most_at_once"] = float64(rec.ProcessReport.MaxInProgress)
		res.Figures["fleet_kills"] = float64(rec.ProcessReport.Kills)
		res.Figures["fleet_up"] = float64(rec.ProcessReport.RunningAtEnd) / float64(s.World.Instances)
		res.Figures["kinds"] = float64(len(rec.ProcessReport.Kinds))
		if o := rec.ProcessReport.Coordination; o != nil {
			res.Figures["rolled_twice"], res.Figures["left_out"], res.Figures["orders_done"] = float64(o.StartedTwice), float64(o.LeftOut), float64(o.Completed)
			res.Figures["overlaps"], res.Figures["unheard"] = float64(o.Overlaps), float64(o.RefusedWithoutEpoch)
			res.Figures["late_tried"], res.Figures["handovers"] = float64(o.StaleRefused), float64(o.Handovers)
			res.Figures["roll_at_once"], res.Figures["roll_zone_at_once"] = float64(o.MaxInProgress), float64(o.MaxInProgressPerZone)
			if l := o.EndpointList; l != nil {
				res.Figures["list_last_s"], res.Figures["list_self"], res.Figures["list_handovers"] = 0, float64(l.DirectCalls), float64(l.Handovers)
				for _, d := range l.LastDelays {
					res.Figures["list_last_s"] = max(res.Figures["list_last_s"], d.Seconds())
				}
			}
		}
	}
	res.addSignalCounts(rec.Signals)
	res.Figures["back_s"] = firstRecoveryTime(s, rec)
	res.Figures["worst_third"] = 1
	for i := range time.Duration(3) {
		if part := computeFigures(s, rec, i*s.Duration/3, (i+1)*s.Duration/3); part["asked"] > 0 {
			res.Figures["worst_third"] = min(res.Figures["worst_third"], part["service"])
		}
	}
	if r := rec.Counts.Misbehaving; r != nil && r.Sent > 0 {
		res.Figures["rude_left"] = float64(r.Unanswered) / float64(r.Sent)
	}
	res.AtRisk = map[string]float64{"ambiguous": float64(rep.Ambiguous), "cold_load": rep.WarmupPeakLoad, "told_away": float64(rep.RemovalsNotified),
		"budget_refused": float64(max(0, rec.Counts.BudgetRefused)), "own_ends": float64(max(0, rec.Counts.EndedInFlight)), "held": float64(rep.InFlightAtKill)}
	if len(rec.Samples) == 0 {
		res.VoidReasons = append(res.VoidReasons, "no requests were due")
	}
	for _, ph := range s.Phases {
		res.Phases[ph.Name] = computeFigures(s, rec, ph.From.In(s.Duration), ph.To.In(s.Duration))
	}
	if rep.Inconclusive > 0 {
		res.VoidReasons = append(res.VoidReasons, fmt.Sprintf("%d time limits were exceeded by no more than the time for which the rig itself was suspended: inconclusive (%s)", rep.Inconclusive, firstOrEmpty(rep.InconclusiveDetails)))
	}
	if rep.Untracked > 0 {
		res.VoidReasons = append(res.VoidReasons, fmt.Sprintf("the checker was full: %d requests were not checked", rep.Untracked))
	}
	res.checkAssertions(s)
	res.Series = secondsOf(s, rec)
	countServersDown(p, res.Series)
	for _, f := range s.Faults {
		at := f.At.In(s.Duration)
		res.Marks = append(res.Marks, Mark{f.Kind, at.Seconds(), min(at+f.Duration.In(s.Duration), s.Duration).Seconds()})
	}
	for _, g := range s.Load.Surges {
		res.Marks = append(res.Marks, Mark{fmt.Sprintf("load x%g", g.Factor), g.At.In(s.Duration).Seconds(), (g.At.In(s.Duration) + g.Duration.In(s.Duration)).Seconds()})
	}
	return res
}

// checkAssertions adds the results of the assertions. If an assertion refers to a phase without
// requests, the run is void.
func (r *Result) checkAssertions(s *Spec) {
	for _, h := range s.Assertions {
		figures := r.Figures
		if h.Phase != "" {
			figures = r.Phases[h.Phase]
			if figures["asked"] == 0 {
				r.VoidReasons = append(r.VoidReasons, fmt.Sprintf("no requests were due in phase %s, to which %q refers", h.Phase, h.String()))
				continue
			}
		}
		found, measured := figures[h.Figure]
		if !measured {
			continue // the engine does not measure this figure
		}
		passed := found <= h.Bound
		if h.AtLeast {
			passed = found >= h.Bound
		}
		r.Assertions = append(r.Assertions, AssertionResult{h.String(), found, passed})
	}
}

// computeFigures computes the figures of the requests that are due in the period [from, to).
func computeFigures(s *Spec, rec *Record, from, to time.Duration) map[string]float64 {
	classes := s.ClientClasses()
	var part []clients.Sample
	hist := hdrhistogram.New(1, int64(2*time.Minute/time.Microsecond), 3)
	refused, failed := 0, 0
	for _, x := range rec.Samples {
		if x.At < from || x.At >= to {
			continue
		}
		part = append(part, x)
		switch {
		case x.OK:
			hist.RecordValue(max(1, x.Latency.Microseconds()))
		case x.Outcome == clients.OutcomeRefused:
			refused++
		default:
			failed++
		}
	}
	sv := clients.Summarize(classes, part)
	n := float64(max(1, len(part)))
	out := map[string]float64{
		"asked": float64(len(part)), "service": sv.Share(), "worst10": worstStretch(classes, part, to-from), "refused": float64(refused) / n, "failed": float64(failed) / n,
		"p50_ms": float64(hist.ValueAtQuantile(50)) / 1000, "p99_ms": float64(hist.ValueAtQuantile(99)) / 1000,
	}
	out["worst_class"] = 1
	for _, c := range sv.Classes {
		if c.Asked > 0 {
			out["worst_class"] = min(out["worst_class"], float64(c.InTime)/float64(c.Asked))
		}
	}
	if len(s.Load.Tenants) > 0 {
		out["worst_tenant"] = worstTenant(s, classes, part)
	}
	for name, v := range lostWeightShares(classes, part) {
		out[name] = v
	}
	out["figure"] = 0.55*out["service"] + 0.35*out["worst10"] + 0.10*out["worst_class"]
	firstAttempts, retries := 0, 0
	for i := int(from / time.Second); i < len(rec.Seconds) && time.Duration(i)*time.Second < to; i++ {
		firstAttempts, retries = firstAttempts+rec.Seconds[i].FirstAttempts, retries+rec.Seconds[i].Retries
	}
	out["retry_ratio"] = float64(retries) / float64(max(1, firstAttempts))
	return out
}

// worstTenant computes the service of each tenant and returns the lowest. It leaves out tenants
// whose share of the requests exceeds their share of the quotas by more than 10%.
func worstTenant(s *Spec, classes []clients.Class, part []clients.Sample) float64 {
	n := len(s.Load.Tenants)
	count, asked, earned := make([]float64, n), make([]float64, n), make([]float64, n)
	quotas := 0.0
	for _, t := range s.Load.Tenants {
		quotas += t.Quota
	}
	for _, x := range part {
		c := &classes[x.Class]
		count[x.Tenant-1]++
		asked[x.Tenant-1] += c.PriorityWeight
		if x.OK && x.Latency <= c.LatencyObjective {
			earned[x.Tenant-1] += c.PriorityWeight
		}
	}
	least := 1.0
	for i, t := range s.Load.Tenants {
		if asked[i] > 0 && count[i] <= 1.1*t.Quota/quotas*float64(len(part)) {
			least = min(least, earned[i]/asked[i])
		}
	}
	return least
}

// weightBySecond returns sums of priority weights for each second of the run. asked has the sums
// over all requests that were due in the second. earned has the sums over the requests that were
// due in the second and were answered within their latency objective.
func weightBySecond(classes []clients.Class, samples []clients.Sample) (asked, earned []float64) {
	for _, x := range samples {
		at := int(x.At / time.Second)
		for len(asked) <= at {
			asked, earned = append(asked, 0), append(earned, 0)
		}
		c := &classes[x.Class]
		asked[at] += c.PriorityWeight
		if x.OK && x.Latency <= c.LatencyObjective {
			earned[at] += c.PriorityWeight
		}
	}
	return asked, earned
}

// worstStretch returns the lowest service of any 10 consecutive seconds. In a period shorter than
// 20 s, it returns the lowest service of any 3 consecutive seconds.
func worstStretch(classes []clients.Class, samples []clients.Sample, length time.Duration) float64 {
	span := 10
	if length < 20*time.Second {
		span = 3
	}
	asked, earned := weightBySecond(classes, samples)
	first := 0
	for first < len(asked) && asked[first] == 0 {
		first++
	}
	least := 1.0
	for i := first; i < len(asked); i++ {
		if i+span > len(asked) && i > first {
			break
		}
		a, e := sumRange(asked, i, span), sumRange(earned, i, span)
		if a > 0 {
			least = min(least, e/a)
		}
	}
	return least
}

// sumRange returns the sum of up to n elements of v, beginning at the index "from".
func sumRange(v []float64, from, n int) float64 {
	s := 0.0
	for i := from; i < min(from+n, len(v)); i++ {
		s += v[i]
	}
	return s
}

// neverRecovered is the value of recover_s and back_s if service does not recover.
const neverRecovered = 999

// recoveryTime returns the number of seconds from the end of the last disturbance until service has
// recovered. The limit is 0.9 of the service before the first disturbance. Service has recovered at
// a second if, from this second to the end of the run, each interval of 3 s reaches the limit.
func recoveryTime(s *Spec, rec *Record) float64 {
	asked, earned := weightBySecond(s.ClientClasses(), rec.Samples)
	start, end := int(s.DisturbanceStart()/time.Second), int((s.DisturbanceEnd()+time.Second-1)/time.Second)
	base := 1.0
	if a := sumRange(asked, 0, start); a > 0 {
		base = sumRange(earned, 0, start) / a
	}
	const span = 3
	last := len(asked) - span
	bad := func(i int) bool {
		a := sumRange(asked, i, span)
		return a > 0 && sumRange(earned, i, span)/a < 0.9*base
	}
	good := last + 1
	for i := last; i >= end && !bad(i); i-- {
		good = i
	}
	if good > last || last < end {
		// The run ends during or soon after the last disturbance. Then only the service in the last
		// 3 s matters, because service may have recovered during a surge that lasts until the end.
		if last < 0 || !bad(last) {
			return 0
		}
		return neverRecovered
	}
	return math.Max(0, float64(good)-s.DisturbanceEnd().Seconds())
}

// lostWeightShares returns the lost priority weight by cause, as a share of the priority weight of
// all requests.
func lostWeightShares(classes []clients.Class, part []clients.Sample) map[string]float64 {
	by := map[string]float64{"lost_refused": 0, "lost_late": 0, "lost_failed": 0, "lost_none": 0}
	asked := 0.0
	for _, x := range part {
		c := &classes[x.Class]
		asked += c.PriorityWeight
		switch {
		case x.OK && x.Latency <= c.LatencyObjective:
		case x.OK:
			by["lost_late"] += c.PriorityWeight
		case x.Outcome == clients.OutcomeRefused:
			by["lost_refused"] += c.PriorityWeight
		case x.Outcome == clients.OutcomeNone:
			by["lost_none"] += c.PriorityWeight
		default:
			by["lost_failed"] += c.PriorityWeight
		}
	}
	for name := range by {
		by[name] /= max(asked, 1)
	}
	return by
}

// Growth returns the mean of the last quarter of sizes divided by the mean of the second quarter.
// The sizes are measured at equal intervals. Growth returns 1 if there are too few sizes or if the
// mean of the second quarter is 0.
func Growth(sizes []int) float64 {
	q := len(sizes) / 4
	mean := func(part []int) float64 {
		sum := 0
		for _, n := range part {
			sum += n
		}
		return float64(sum) / float64(max(1, len(part)))
	}
	if q == 0 || mean(sizes[q:2*q]) == 0 {
		return 1
	}
	return mean(sizes[3*q:]) / mean(sizes[q:2*q])
}

// firstRecoveryTime returns the number of seconds from the first disturbance until service has
// recovered for the first time. Service has fallen after the first second with a service below 0.9.
// It recovers at the beginning of the next three consecutive seconds with a service of at least 0.9
// each. The result is 0 if service never fell, and neverRecovered if it fell and did not recover.
func firstRecoveryTime(s *Spec, rec *Record) float64 {
	asked, earned := weightBySecond(s.ClientClasses(), rec.Samples)
	good := func(i int) bool { return asked[i] == 0 || earned[i] >= 0.9*asked[i] }
	start := int(s.DisturbanceStart() / time.Second)
	fell, run := false, 0
	for i := start; i < len(asked) && i < int(s.Duration/time.Second); i++ {
		if !good(i) {
			fell, run = true, 0
			continue
		}
		if run++; fell && run == 3 {
			return math.Max(0, float64(i-2)-s.DisturbanceStart().Seconds())
		}
	}
	if fell {
		return neverRecovered
	}
	return 0
}

// countServersDown sets in each second the number of servers that are down according to the plan.
func countServersDown(p *Plan, series []Second) {
	t := NewTracker(p.Spec)
	next := 0
	for i := range series {
		for next < len(p.Steps) && p.Steps[next].At < time.Duration(i+1)*time.Second {
			if st := p.Steps[next]; st.Server >= 0 && st.Op != CutLink && st.Op != HealLink {
				t.Apply(st)
			}
			next++
		}
		for k := range t.servers {
			if v := &t.servers[k]; v.present && v.down() {
				series[i].ServersDown++
			}
		}
	}
}

// secondsOf returns the counts of each second of the run.
func secondsOf(s *Spec, rec *Record) []Second {
	n := max(1, int((s.Duration+time.Second-1)/time.Second))
	out := make([]Second, n)
	classes := s.ClientClasses()
	for _, x := range rec.Samples {
		b := &out[min(int(x.At/time.Second), n-1)]
		b.Asked++
		if b.Classes == nil {
			b.Classes = make([][4]int, len(classes))
		}
		of := &b.Classes[x.Class]
		of[0]++
		switch {
		case x.OK && x.Latency <= classes[x.Class].LatencyObjective:
			of[1]++
		case !x.OK && x.Outcome == clients.OutcomeRefused:
			of[2]++
		default:
			of[3]++
		}
		switch {
		case x.OK && x.Latency <= classes[x.Class].LatencyObjective:
			b.InTime++
		case x.OK:
			b.Late++
		case x.Outcome == clients.OutcomeRefused:
			b.Refused++
		case x.Outcome == clients.OutcomeNone:
			b.NoAnswer++
		default:
			b.Failed++
		}
	}
	for i, a := range rec.Seconds {
		if i < n {
			out[i].FirstAttempts, out[i].Retries, out[i].WarmupLoad = a.FirstAttempts, a.Retries, a.WarmupLoad
		}
	}
	return out
}

// Summary returns the result as one line of text.
func (r *Result) Summary() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-16s %-7s seed %-3d %-6s service %.3f worst10 %.3f retries %.3f refused %.3f failed %.3f", r.Experiment, r.Engine, r.Seed, r.Verdict(),
		r.Figures["service"], r.Figures["worst10"], r.Figures["retry_ratio"], r.Figures["refused"], r.Figures["failed"])
	if v := r.Figures["recover_s"]; v < neverRecovered {
		fmt.Fprintf(&b, " recover %.0f s", v)
	}
	for _, k := range r.Assertions {
		if !k.Passed {
			fmt.Fprintf(&b, "; %s: found %.3f", k.Assertion, k.Found)
		}
	}
	names := make([]string, 0, len(r.Violations))
	for name := range r.Violations {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if n := r.Violations[name]; n > 0 {
			fmt.Fprintf(&b, "; %s=%d", name, n)
		}
	}
	for _, v := range r.VoidReasons {
		fmt.Fprintf(&b, "; void: %s", v)
	}
	return b.String()
}

// firstOrEmpty returns the first text, or an empty one if there is none.
func firstOrEmpty(of []string) string {
	if len(of) == 0 {
		return ""
	}
	return of[0]
}
