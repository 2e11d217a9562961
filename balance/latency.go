package balance

import (
	"cmp"
	"time"

	"otterspring/balance/portablemath"
)

const (
	classSampleWeight      = 0.15            // weight of a latency sample in the mean of its class
	workSampleWeight       = 0.075           // weight of a work hint in the mean of its class
	workDependentShare     = 0.5             // share of a class's mean latency that scales with the work of a request; the rest is constant
	maxWorkMultiple        = 20              // upper bound of a work hint relative to the mean of its class
	sampleHalfLife         = 8 * time.Second // half-life of the latency samples of a server
	priorSamples           = 1.5             // weight of the fleet-wide mean, as a number of samples
	maxSamples             = 8.0             // upper bound of the effective samples, so that new samples keep their influence
	failureLatencyMultiple = 3.0             // a failed attempt counts as at least this multiple of its expected latency
	minExpectedLatency     = time.Millisecond
	initialLatencyDivisor  = 4 // ratio of the latency objective to the expected latency until the first sample
)

// classEstimate holds the running means of a class.
type classEstimate struct {
	meanLatency float64 // mean latency of successful attempts, divided by workFactor, in nanoseconds
	meanWork    float64 // mean of the work hints, in nanoseconds
}

// updateClassEstimate adds a latency sample to the fleet-wide mean of its class.
func (b *Balancer) updateClassEstimate(r *request, took time.Duration) {
	c := &b.classEstimates[r.classIndex]
	c.meanLatency = cmp.Or(c.meanLatency, float64(took))
	c.meanLatency += float64(classSampleWeight * (float64(took)/b.workFactor(r) - c.meanLatency))
}

// workFactor returns the ratio of the expected latency of a request to the mean of its class, based on the work
// hint of the request.
func (b *Balancer) workFactor(r *request) float64 {
	c := &b.classEstimates[r.classIndex]
	if r.work <= 0 || c.meanWork <= 0 {
		return 1
	}
	return (1 - workDependentShare) + float64(workDependentShare*min(r.work/c.meanWork, maxWorkMultiple))
}

// expectedLatency returns the expected latency of an attempt of r at an average server, in nanoseconds.
func (b *Balancer) expectedLatency(r *request) float64 {
	if l := b.classEstimates[r.classIndex].meanLatency; l > 0 {
		return max(l*b.workFactor(r), float64(minExpectedLatency))
	}
	return max(float64(r.class.LatencyObjective)/initialLatencyDivisor, float64(minExpectedLatency))
}

// recordOutcome updates the statistics of a server with the result of an attempt.
func (b *Balancer) recordOutcome(now time.Duration, current *attempt, status Status, took time.Duration) {
	target, ratio := current.server, float64(took)/current.expectedLatency
	target.trialInFlight = false
	switch status {
	case OK:
		target.idleSince = append(target.idleSince, now)
		b.updateClassEstimate(current.request, took)
		b.updateBaseline(target)
		target.ejectionState = ejectionState{}
	case Cancelled:
		// The time until the cancellation is only a lower bound of the latency. This time is used as a sample only
		// if it is above the estimate.
		if ratio <= b.estimatedRatio(target, now) {
			return
		}
	case NeverSent:
		return
	default:
		ratio = max(failureLatencyMultiple, ratio)
	}
	if status == ConnectFailed || status == AtCapacity && current.newConnection {
		b.closeLongestIdle(now)
	}
	b.addSample(target, now, ratio)
	if threshold := ejectionThresholds[status]; threshold > 0 {
		target.failures[status]++
		b.ejectIfOutlier(target, now, threshold)
	}
}

// decayedSamples returns the effective number of samples of a server after exponential decay. Without new samples
// the estimate of the server returns to the fleet-wide mean.
func (s *server) decayedSamples(now time.Duration) float64 {
	if s.samples == 0 {
		return 0
	}
	return float64(s.samples * portablemath.Exp2(-float64(now-s.sampledAt)/float64(sampleHalfLife)))
}

// addSample adds a latency ratio to the mean of a server.
func (b *Balancer) addSample(s *server, now time.Duration, ratio float64) {
	n := min(s.decayedSamples(now), maxSamples-1)
	s.latencyRatio = (float64(s.latencyRatio*n) + ratio) / (n + 1)
	s.samples, s.sampledAt = n+1, now
}

// estimatedRatio returns the smoothed latency ratio of a server: the fewer samples it has, the closer the ratio is
// to the fleet-wide mean of 1.
func (b *Balancer) estimatedRatio(s *server, now time.Duration) float64 {
	n := s.decayedSamples(now)
	return (float64(s.latencyRatio*n) + priorSamples) / (n + priorSamples)
}
