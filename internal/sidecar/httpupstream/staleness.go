package httpupstream

import (
	"math"
	"time"
)

const (
	idleBuckets     = 32               // buckets of idle times, two for each doubling of 1 ms
	minDead         = 3.0              // dead connections in a bucket below which nothing is concluded
	minDeadShare    = 0.2              // share of dead connections from which a bucket counts as stale
	minDeadMultiple = 3.0              // and this multiple of the share after shorter idle times
	useHalfLife     = 15 * time.Second // of what was recorded
)

// staleness learns after which idle time connections turn out to be dead when they are
// used: upstreams and middleboxes may drop them earlier than the settings say, and
// silently until the next request, which is lost then and may have been executed. It
// compares the resets before the first byte of a response by the idle time before the
// request. It detects early idle timeouts of any cause, lost state of a middlebox among
// them, and ignores resets that are independent of the idle time. Where long idle times
// are rare and resets coincide with them, some more connections are opened for a while.
//
// It is guarded by the pool's lock.
type staleness struct {
	alive, dead [idleBuckets]float64 // weighted uses
	decayedAt   time.Time
}

// bucketOf returns the bucket of an idle time.
func bucketOf(idleTime time.Duration) int {
	millis := float64(idleTime) / float64(time.Millisecond)
	return min(max(int(2*math.Log2(max(millis, 1))), 0), idleBuckets-1)
}

// bucketStart returns the shortest idle time of a bucket.
func bucketStart(bucket int) time.Duration {
	return time.Duration(math.Exp2(float64(bucket)/2) * float64(time.Millisecond))
}

// record records whether a connection was dead when it was used after an idle time.
func (s *staleness) record(now time.Time, idleTime time.Duration, dead bool) {
	s.decay(now)
	if dead {
		s.dead[bucketOf(idleTime)]++
	} else {
		s.alive[bucketOf(idleTime)]++
	}
}

// decay reduces the weight of earlier uses from time to time: a bucket that is not used
// any more has to be tried again.
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

// limit returns the idle time from which connections are stale, maxIdle if none is.
func (s *staleness) limit(now time.Time, maxIdle time.Duration) time.Duration {
	s.decay(now)
	var alive, dead float64 // after all shorter idle times
	for i := range s.dead {
		if start := bucketStart(i); start >= maxIdle {
			break
		} else if inBucket := s.dead[i]; inBucket >= minDead && alive > 0 {
			share := dead / (alive + dead)
			if inBucket/(inBucket+s.alive[i]) > max(minDeadShare, minDeadMultiple*share) {
				return start
			}
		}
		alive += s.alive[i]
		dead += s.dead[i]
	}
	return maxIdle
}
