package balance

import (
	"time"

	"otterspring/balance/portablemath"
)

const (
	shedStepLate        = 0.06 // added to the shed share for each late response
	shedStepOnTime      = 0.02 // subtracted from the shed share for each response on time
	shedStepUnfinished  = 0.03 // added to the shed share for each request whose attempt did not end in time
	shedStepFullTraffic = 50.0 // number of first attempts in a budget window below which the steps are larger
	maxShedStepMultiple = 5.0  // upper bound of the factor by which the steps are larger
	maxShedShare        = 0.9  // upper bound of the shed share; the requests still sent show when the overload is over

	minRelativeWeight = 0.5 // lower bound of a class's priority weight relative to the mean of all classes
	maxRelativeWeight = 2   // upper bound of the same weight

	scarcityThreshold  = 0.85 // capacity is scarce while the share of served requests is below this value
	servedSampleWeight = 0.08 // weight of one request in servedShare and servedByWarm
)

// adjustShedShare adds a step to the share of requests to shed when a request that was sent has ended. The step is
// positive if the request was late, and negative if it was on time. The share settles where positive and negative
// steps balance. It is 0 if fewer responses are late than this balance requires. A balancer with little traffic
// takes larger steps, because hundreds of such balancers that adapt slowly would together overload the servers.
func (b *Balancer) adjustShedShare(now time.Duration, step float64) {
	multiple := min(maxShedStepMultiple, max(1, shedStepFullTraffic/float64(b.budget.firstsInWindow(now)+1)))
	b.shedShare = min(maxShedShare, max(0, b.shedShare+float64(step*multiple)))
}

// recordServed records a response: whether it was on time and whether its server was warm.
func (b *Balancer) recordServed(now time.Duration, a *attempt) {
	step := shedStepLate
	if now <= a.request.arrivedAt+a.request.class.LatencyObjective {
		step = -shedStepOnTime
	}
	b.adjustShedShare(now, step)
	b.servedShare += servedSampleWeight
	if b.assuredCapacity(a.server, now) >= 1 {
		b.servedByWarm += servedSampleWeight
		b.recordThroughput(a.server)
	}
}

// shed reports whether to reject a request before it is sent. In an overload, servers work on requests whose
// clients have already given up. Rejecting the excess immediately keeps the other requests on time. The higher a
// class's priority weight, the smaller the share of its requests that is shed.
func (b *Balancer) shed(r *request) bool {
	if excess := b.quotaExcess(r); excess > 1 && b.servedShare < scarcityThreshold && b.rng.Float64() < 1-1/excess {
		return true
	}
	return b.shedShare > 0 && b.rng.Float64() < portablemath.Pow(b.shedShare, b.relativeWeight(r))
}

// relativeWeight returns the priority weight of a request's class relative to the mean of all classes, within
// bounds.
func (b *Balancer) relativeWeight(r *request) float64 {
	if b.weightSum == 0 {
		return 1
	}
	return min(maxRelativeWeight, max(minRelativeWeight, r.class.PriorityWeight*float64(len(b.classIndex))/b.weightSum))
}
