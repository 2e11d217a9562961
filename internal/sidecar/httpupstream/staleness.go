package httpupstream

import (
	"math"
	"time"
)

const (
	idleBuckets     = 32               // buckets of idle times, two for each doubling of 1 ms
	minDead         = 2.5              // dead connections below which nothing is concluded: three, the latest of some seconds
	minDeadFirst    = 1.5              // of them in the first bucket of a row
	minDeadShare    = 0.2              // share of dead connections from which idle times count as stale
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

// limit returns the idle time from which connections are stale, maxIdle if none is. Idle
// times may be spread so widely that no bucket has many uses: buckets in a row count
// together, as many as have minDead between them.
func (s *staleness) limit(now time.Time, maxIdle time.Duration) time.Duration {
	s.decay(now)
	var shorter uses
	for i := 0; i < idleBuckets && bucketStart(i) < maxIdle; i++ {
		here := s.bucket(i)
		least := max(minDeadShare, minDeadMultiple*shorter.deadShare())
		if shorter.alive > 0 && here.dead >= minDeadFirst && here.deadShare() > least {
			if row := s.row(i, maxIdle); row.dead >= minDead && row.deadShare() > least {
				return bucketStart(i)
			}
		}
		shorter.add(here)
	}
	return maxIdle
}

// row returns what was recorded in the buckets from one on, up to the first with which
// they have minDead dead connections.
func (s *staleness) row(from int, maxIdle time.Duration) (row uses) {
	for i := from; i < idleBuckets && bucketStart(i) < maxIdle && row.dead < minDead; i++ {
		row.add(s.bucket(i))
	}
	return row
}

// bucket returns what was recorded in a bucket.
func (s *staleness) bucket(i int) uses { return uses{s.alive[i], s.dead[i]} }

// uses are weighted uses of connections.
type uses struct{ alive, dead float64 }

func (u *uses) add(other uses) { u.alive, u.dead = u.alive+other.alive, u.dead+other.dead }

// deadShare returns the share of dead connections, 0 without uses.
func (u *uses) deadShare() float64 {
	if u.alive+u.dead <= 0 {
		return 0
	}
	return u.dead / (u.alive + u.dead)
}
