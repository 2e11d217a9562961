package httpupstream

import (
	"math"
	"time"
)

const (
	restSteps  = 32               // steps of rest, two for each doubling of 1 ms
	staleLeast = 3.0              // resets in a step below which nothing is concluded
	staleShare = 0.2              // share of uses that end in a reset, from which on a step is stale
	staleTimes = 3.0              // and this many times the share after short rests
	staleHalf  = 15 * time.Second // half-life of what was seen
)

// staleness learns after how long a rest connections turn out to be dead when
// they are used: upstreams, and what stands between, may drop them earlier than
// the settings say, and without a word until the next request, which has then
// been lost and may have run. It compares the resets that come before the first
// byte of an answer by the rest that went before. It guards against early idle
// time-outs of any cause, forgotten state of a middlebox among them, and lets
// resets that strike at any age be. It might harm where long rests are rare and
// resets happen to fall on them: some connections more are opened, for a while.
type staleness struct {
	good, bad [restSteps]float64
	faded     time.Time
}

// restStep is the step that a rest falls in.
func restStep(rest time.Duration) int {
	ms := float64(rest) / float64(time.Millisecond)
	return min(max(int(2*math.Log2(max(ms, 1))), 0), restSteps-1)
}

// stepStart is the shortest rest of a step.
func stepStart(i int) time.Duration {
	return time.Duration(math.Exp2(float64(i)/2) * float64(time.Millisecond))
}

// learn takes down how the use of a rested connection ended.
func (s *staleness) learn(now time.Time, rest time.Duration, dead bool) {
	s.fade(now)
	if dead {
		s.bad[restStep(rest)]++
	} else {
		s.good[restStep(rest)]++
	}
}

// fade forgets in part, now and then: a step that is not used any more must
// get another chance.
func (s *staleness) fade(now time.Time) {
	if s.faded.IsZero() {
		s.faded = now
	}
	age := now.Sub(s.faded)
	if age < staleHalf/8 {
		return
	}
	by := math.Exp2(-float64(age) / float64(staleHalf))
	for i := range s.bad {
		s.good[i] *= by
		s.bad[i] *= by
	}
	s.faded = now
}

// limit is the rest from which on connections are stale, most if there is none.
func (s *staleness) limit(now time.Time, most time.Duration) time.Duration {
	s.fade(now)
	var good, bad float64 // of all shorter rests
	for i := range s.bad {
		if start := stepStart(i); start >= most {
			break
		} else if b := s.bad[i]; b >= staleLeast && good > 0 {
			usual := bad / (good + bad)
			if b/(b+s.good[i]) > max(staleShare, staleTimes*usual) {
				return start
			}
		}
		good += s.good[i]
		bad += s.bad[i]
	}
	return most
}
