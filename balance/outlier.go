package balance

import (
	"slices"
	"time"

	"otterspring/balance/portablemath"
)

const (
	ejectionProbability  = 1e-4            // maximum probability at a healthy server of a run of failures that ejects
	baselineSampleWeight = 0.005           // weight of one success in the moving averages in Balancer.baselineFailures
	maxBaselineFailures  = 0.2             // upper bound of each baseline, so that dead servers are still detected
	maxBaselineRunLength = 2               // maximum failures of one run that count for the baseline; a longer run is an outage
	baseEjectionTime     = 2 * time.Second // time of the first ejection; doubles with each failed trial request
	maxEjectionTime      = 16 * time.Second
	maxEjectionDoublings = 6
	maxEjectedShare      = 0.5  // share of the ready servers that may be ejected at a time
	minEjectionJitter    = 0.75 // lower bound of the random factor by which an ejection time is multiplied
	ejectionJitterRange  = 0.5  // width of the range of that factor
)

// ejectionState holds a server's recent failures and its ejection. A success or a restart of the server resets the
// whole state.
type ejectionState struct {
	failures      [statusCount]int // failures since the last success, by status
	ejections     int              // number of ejections since the last success
	ejectedUntil  time.Duration    // clock time at which the ejection ends
	trialInFlight bool             // the trial request after an ejection is in flight
}

// ejectionThresholds is the minimum number of consecutive failures that ejects a server, by the status of the last
// failure. AtCapacity is included because a server that rejects everything responds fast and would attract traffic.
var ejectionThresholds = map[Status]int{AtCapacity: 4, Error: 3, Timeout: 2, Reset: 2, PartialWrite: 2, ConnectFailed: 1}

// updateBaseline updates the baseline with the run of failures that a success has ended. The success shows that the
// server was healthy, so the failures were random.
func (b *Balancer) updateBaseline(s *server) {
	for status, n := range s.failures {
		b.baselineFailures[status] += float64(baselineSampleWeight * (min(float64(n), maxBaselineRunLength) - b.baselineFailures[status]))
	}
}

// ejectIfOutlier ejects a server after threshold consecutive failures, unless more than maxEjectedShare of the
// ready servers would then be ejected. When the ejection time is over, a single trial request may be sent to the
// server.
//
// In a bad network or an overload, attempts fail at all servers alike, and runs of failures occur at random.
// Ejecting healthy servers would then overload the others. Therefore the run must also be unlikely at a healthy
// server. The price is that a server that dies under such conditions is detected a few failures later.
func (b *Balancer) ejectIfOutlier(target *server, now time.Duration, threshold int) {
	failures, probability := 0, 1.0
	for status, n := range target.failures {
		failures += n
		probability *= portablemath.Pow(min(max(b.baselineFailures[status], ejectionProbability), maxBaselineFailures), float64(n))
	}
	if failures < threshold || probability > ejectionProbability || target.ejectedUntil > now {
		return
	}
	b.ejected = slices.DeleteFunc(b.ejected, func(e *server) bool { return e.ejectedUntil <= now || e.State != Ready })
	if float64(len(b.ejected)+1) > maxEjectedShare*float64(len(b.ready)) {
		return
	}
	duration := min(baseEjectionTime<<min(target.ejections, maxEjectionDoublings), maxEjectionTime)
	target.ejectedUntil = now + time.Duration(float64(duration)*(minEjectionJitter+float64(ejectionJitterRange*b.rng.Float64())))
	target.ejections++
	b.ejected = append(b.ejected, target)
}
