package balance

import (
	"math"
	"slices"
	"time"
)

const (
	ejectionProbability  = 1e-4            // a run of failures less likely than this at a healthy server ejects
	baselineSampleWeight = 0.005           // weight of a success in the baseline of failures
	maxBaseline          = 0.2             // bound on that baseline, so that dead servers show
	maxBaselineRun       = 2               // failures of one run that count for it: a longer one is an outage
	firstEjection        = 2 * time.Second // doubles while trials fail
	maxEjection          = 16 * time.Second
	maxEjectionDoubles   = 6
	maxEjectedShare      = 0.5  // of the ready servers, at one time
	ejectionJitterFrom   = 0.75 // an ejection is multiplied by a draw from this on
	ejectionJitterSpan   = 0.5  // over this range
)

// ejectionState is what keeps a server out. A success or a new start resets it.
type ejectionState struct {
	failures      [statusCount]int // since the last success
	ejections     int              // since then
	ejectedUntil  time.Duration    // clock time
	trialInFlight bool             // the single trial request after an ejection
}

// ejectionThresholds are the least failures in a row, the last of this status, that
// eject a server. One that rejects everything responds fast and would attract traffic.
var ejectionThresholds = map[Status]int{AtCapacity: 4, Error: 3, Timeout: 2, Reset: 2, PartialWrite: 2, ConnectFailed: 1}

// updateBaseline takes in the failures that a success ends: the server was healthy, so
// they came by chance.
func (b *Balancer) updateBaseline(s *server) {
	for status, n := range s.failures {
		b.baselineFailures[status] += baselineSampleWeight * (min(float64(n), maxBaselineRun) - b.baselineFailures[status])
	}
}

// ejectIfOutlier ejects a server after enough failures in a row, within the bound on
// the ejected share. After that time a single trial request may go there. Where
// attempts fail at all servers alike, as with a bad network or an overload, runs of
// failures come by chance, and ejecting healthy servers overloads the others: the run
// must also be unlikely at a healthy server. A server that dies meanwhile takes a few
// more failures to show.
func (b *Balancer) ejectIfOutlier(target *server, now time.Duration, threshold int) {
	failures, probability := 0, 1.0
	for status, n := range target.failures {
		failures += n
		probability *= math.Pow(min(max(b.baselineFailures[status], ejectionProbability), maxBaseline), float64(n))
	}
	if failures < threshold || probability > ejectionProbability || target.ejectedUntil > now {
		return
	}
	b.ejected = slices.DeleteFunc(b.ejected, func(e *server) bool { return e.ejectedUntil <= now || e.State != Ready })
	if float64(len(b.ejected)+1) > maxEjectedShare*float64(len(b.ready)) {
		return
	}
	duration := min(firstEjection<<min(target.ejections, maxEjectionDoubles), maxEjection)
	target.ejectedUntil = now + time.Duration(float64(duration)*(ejectionJitterFrom+ejectionJitterSpan*b.rng.Float64()))
	target.ejections++
	b.ejected = append(b.ejected, target)
}
