package httpupstream

import (
	"math"
	"time"
)

const (
	idleBuckets       = 32               // buckets of a logarithmic histogram that starts at 1 ms: two for each doubling
	minDeadUses       = 1.5              // minimum weight of the dead uses for a limit; two recent uses exceed it
	minDeadFraction   = 0.2              // fraction of dead uses above which idle times count as stale
	minLikelihoodGain = 5.0              // minimum log-likelihood ratio of a model with a limit to a model without
	useHalfLife       = 60 * time.Second // half-life of the weight of a recorded use
)

// staleness estimates the idle time after which connections are dead. Upstreams and
// middleboxes may drop idle connections earlier than the settings say, and send neither a
// FIN nor a reset until the next request. That request is lost, and it may have been
// executed. The estimate is based on resets before the first byte of a response, grouped by
// the idle time before the request. The estimate detects early idle timeouts of any cause,
// including lost state of a middlebox. It ignores resets that are independent of the idle
// time. If long idle times are rare and coincide with unrelated resets, more connections
// than necessary are opened for a while.
//
// The lock of the pool guards a staleness.
type staleness struct {
	alive, dead [idleBuckets]float64 // weighted number of uses in each bucket
	decayedAt   time.Time
}

// bucketIndex returns the index of the bucket for an idle time.
func bucketIndex(idleTime time.Duration) int {
	millis := float64(idleTime) / float64(time.Millisecond)
	return min(max(int(2*math.Log2(max(millis, 1))), 0), idleBuckets-1)
}

// bucketStart returns the shortest idle time of a bucket.
func bucketStart(bucket int) time.Duration {
	return time.Duration(math.Exp2(float64(bucket)/2) * float64(time.Millisecond))
}

// record records whether a connection was dead when it was used after idleTime.
func (s *staleness) record(now time.Time, idleTime time.Duration, dead bool) {
	s.decay(now)
	if dead {
		s.dead[bucketIndex(idleTime)]++
	} else {
		s.alive[bucketIndex(idleTime)]++
	}
}

// decay reduces the weight of earlier uses if at least an eighth of useHalfLife has passed
// since the last reduction. Without decay, idle times above the limit would never be tried
// again.
func (s *staleness) decay(now time.Time) {
	if s.decayedAt.IsZero() {
		s.decayedAt = now
	}
	age := now.Sub(s.decayedAt)
	if age < useHalfLife/8 {
		return
	}
	factor := math.Exp2(-float64(age) / float64(useHalfLife))
	for i := range s.dead {
		s.alive[i] *= factor
		s.dead[i] *= factor
	}
	s.decayedAt = now
}

// limit returns the idle time from which connections count as stale, or maxIdle if there is
// no such time. limit compares two models of the recorded uses. In the first model, the
// probability that a connection is dead is the same for all idle times. In the second model,
// this probability is higher from a change point on. If the second model explains the uses
// clearly better than the first model, limit returns the maximum-likelihood change point.
//
// The second model pools all uses with idle times between the change point and an upper
// bound, even if these idle times are widely spread. limit tries every upper bound, because
// uses with idle times above a bound may have been recorded before connections began to fail.
func (s *staleness) limit(now time.Time, maxIdle time.Duration) time.Duration {
	s.decay(now)
	if s.deadUses() < minDeadUses {
		return maxIdle
	}
	limit, best := maxIdle, minLikelihoodGain
	var shorter uses
	for i := 0; i < idleBuckets && bucketStart(i) < maxIdle; i++ {
		if here := s.bucket(i); here.alive+here.dead > 0 {
			if gain := s.likelihoodGain(shorter, i, maxIdle); gain >= best {
				limit, best = bucketStart(i), gain
			}
			shorter.add(here)
		}
	}
	return limit
}

// deadUses returns the weighted number of dead uses in all buckets.
func (s *staleness) deadUses() (sum float64) {
	for _, dead := range s.dead {
		sum += dead
	}
	return sum
}

// likelihoodGain compares two models: a limit at the start of the bucket with the index from,
// and no limit. It returns the log-likelihood ratio of these models for the upper bound with
// the highest ratio. The parameter shorter holds the uses after idle times below the limit. An
// upper bound is skipped if there are too few dead uses between the limit and the upper bound.
// It is also skipped if the fraction of dead uses in this range is at most minDeadFraction, or
// at most the fraction in shorter. The result is 0 if all upper bounds are skipped.
func (s *staleness) likelihoodGain(shorter uses, from int, maxIdle time.Duration) (best float64) {
	var longer uses
	for i := from; i < idleBuckets && bucketStart(i) < maxIdle; i++ {
		here := s.bucket(i)
		if longer.add(here); here.dead == 0 || longer.dead < minDeadUses || longer.deadFraction() <= max(minDeadFraction, shorter.deadFraction()) {
			continue
		}
		all := shorter
		all.add(longer)
		best = max(best, shorter.logLikelihood()+longer.logLikelihood()-all.logLikelihood())
	}
	return best
}

// bucket returns the uses recorded in a bucket.
func (s *staleness) bucket(i int) uses { return uses{s.alive[i], s.dead[i]} }

// uses holds the weighted numbers of uses of live and of dead connections.
type uses struct{ alive, dead float64 }

func (u *uses) add(other uses) { u.alive, u.dead = u.alive+other.alive, u.dead+other.dead }

// logLikelihood returns the maximum log-likelihood of the uses under a single probability
// that a connection is dead.
func (u *uses) logLikelihood() float64 {
	return weightedLog(u.dead, u.deadFraction()) + weightedLog(u.alive, 1-u.deadFraction())
}

// weightedLog returns n times the logarithm of a probability, or 0 if n or the probability
// is not positive.
func weightedLog(n, probability float64) float64 {
	if n <= 0 || probability <= 0 {
		return 0
	}
	return n * math.Log(probability)
}

// deadFraction returns the fraction of dead uses, or 0 if there are no uses.
func (u *uses) deadFraction() float64 {
	if u.alive+u.dead <= 0 {
		return 0
	}
	return u.dead / (u.alive + u.dead)
}
