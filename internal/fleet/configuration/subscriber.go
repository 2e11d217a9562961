package configuration

import (
	"math/rand/v2"
	"time"
)

// SubscriberSettings are the times of a subscriber.
type SubscriberSettings struct {
	// Relays is how many relays there are, the nearest first; 1 or more.
	Relays int
	// PollWait is how long a poll waits for an update at most, and ResponseTimeout how much
	// longer its response may take. An unresponsive relay is detected after both, or after
	// ResponseTimeout alone by a subscriber that polls it for the first time.
	PollWait, ResponseTimeout time.Duration
	// StaleAfter is the age from which a response is stale: the subscriber looks for
	// another relay.
	StaleAfter time.Duration
	// RetryMin and RetryMax bound the mean backoff delay once all relays have failed.
	RetryMin, RetryMax time.Duration
	// ProbeInterval is the mean time until a subscriber that has moved probes a nearer
	// relay.
	ProbeInterval time.Duration
}

// DefaultSubscriberSettings let a change take effect within 4 s while two of three
// relays have failed. An unresponsive relay is detected after PollWait and
// ResponseTimeout, 2.1 s; one that is disconnected from the coordination cluster after
// StaleAfter and PollWait, 2.7 s; one that is disconnected and then unresponsive after
// all three, 3.3 s. Each further unresponsive relay adds a ResponseTimeout, 0.6 s.
func DefaultSubscriberSettings(relays int) SubscriberSettings {
	return SubscriberSettings{
		Relays:          relays,
		PollWait:        1500 * time.Millisecond,
		ResponseTimeout: 600 * time.Millisecond,
		StaleAfter:      1200 * time.Millisecond,
		RetryMin:        100 * time.Millisecond,
		RetryMax:        time.Second,
		ProbeInterval:   15 * time.Second,
	}
}

// Limits that hold whatever the relays respond.
const (
	pollInterval     = 250 * time.Millisecond // mean time between polls, beyond a burst
	pollBurst        = 8                      // polls that may follow each other immediately
	maxBusyResponses = 8                      // consecutive CodeBusy responses before another relay is polled
	// maxBusyOfLast is the same at a relay after all others have failed or are stale: long
	// enough for the slots of subscribers that went away to time out.
	maxBusyOfLast = 4 * maxBusyResponses
	maxRetryAfter = 5 * time.Second // that a busy relay may request
)

// NextPoll is the next poll of a subscriber.
type NextPoll struct {
	Relay   int           // index of the relay
	Due     time.Duration // earliest time
	Wait    time.Duration // how long the response may wait for an update
	Timeout time.Duration // after which the poll has failed; includes Wait
}

// Subscriber decides which relay is polled and when, and caches what was received. It
// is not safe for concurrent use.
//
// It is settled at a relay that responds, and polls it continuously. When that relay
// fails, it polls the next one immediately. From time to time it probes another relay
// by a single poll: a nearer one, or any other while its own is stale. It moves there
// if the response is not stale; otherwise it returns to the relay where it was settled.
type Subscriber struct {
	settings SubscriberSettings
	rng      *rand.Rand
	cache    Cache

	relay           int           // index of the current relay
	settled         bool          // the relay has responded since the subscriber turned to it
	failedRelays    int           // consecutive relays that failed or were stale
	busyResponses   int           // consecutive CodeBusy responses
	stale           bool          // all relays have failed or are stale: settle at a stale one
	nextDue         time.Duration // earliest time of the next poll
	budgetUsedUntil time.Duration // until when the polls so far use up pollInterval

	probing       bool          // the current relay is probed
	settledRelay  int           // to which the subscriber returns from a probe
	lastCandidate int           // relay that was probed last; -1 for none
	nextProbe     time.Duration // earliest time of the next probe
	lastProbe     time.Duration // start of the last probe

	ageMeasuredAt time.Duration // when the cache's age was measuredAge
	measuredAge   time.Duration
	ageKnown      bool // whether a relay ever responded
}

// NewSubscriber returns a subscriber with an empty cache that polls the nearest relay
// first. rng is its only source of randomness and belongs to it.
func NewSubscriber(settings SubscriberSettings, rng *rand.Rand) *Subscriber {
	return &Subscriber{settings: settings, rng: rng, lastCandidate: -1, lastProbe: -settings.PollWait}
}

// Version returns the newest version that was applied to the cache; 0 for none.
func (s *Subscriber) Version() Version { return s.cache.Version() }

// Cache returns what was received. Callers must not change it.
func (s *Subscriber) Cache() *Cache { return &s.cache }

// Age returns an upper bound of the cache's age: all older changes have been received.
// known is false until a relay has responded with an update.
func (s *Subscriber) Age(now time.Duration) (age time.Duration, known bool) {
	return s.measuredAge + now - s.ageMeasuredAt, s.ageKnown
}

// NextPoll returns the next poll. The first one of a relay does not wait, so that an
// unresponsive relay is detected soon.
func (s *Subscriber) NextPoll(now time.Duration) NextPoll {
	if s.probeDue(now) {
		s.startProbe(now)
	}
	next := NextPoll{Relay: s.relay, Due: max(now, s.nextDue), Timeout: s.settings.ResponseTimeout}
	if s.settled {
		next.Wait = s.pollWait(next.Due)
		next.Timeout += next.Wait
	}
	return next
}

// pollWait draws how long a poll waits, so that subscribers whose polls were answered
// together do not stay synchronized. The time of a probe is subtracted: the settled
// relay is polled at least once per PollWait, whatever the probe came to.
func (s *Subscriber) pollWait(due time.Duration) time.Duration {
	wait := time.Duration(float64(s.settings.PollWait) * (0.75 + 0.25*s.rng.Float64()))
	if sinceProbe := due - s.lastProbe; sinceProbe < wait {
		wait -= sinceProbe
	}
	return wait
}

// HandleResponse processes the response of the relay that was polled last. It returns
// the changes of the cache, and the error of Cache.Apply for an update that was not
// applied. A stale relay's update is applied, too, but the subscriber then looks for
// another relay.
func (s *Subscriber) HandleResponse(now time.Duration, response *PollResponse) (Changes, error) {
	if response.ErrorCode == CodeBusy && !s.probing && s.busyResponses < s.busyLimit() {
		s.scheduleRetry(now, response)
		return Changes{}, nil
	}
	if response.ErrorCode != "" || response.Update == nil {
		s.HandleFailure(now)
		return Changes{}, nil
	}
	changes, err := s.cache.Apply(*response.Update)
	if err != nil {
		s.HandleFailure(now)
		return Changes{}, err
	}
	s.updateAge(now, response.Age())
	stale := response.Age() > s.settings.StaleAfter
	if stale && (s.probing || !s.stale) {
		s.HandleFailure(now)
		return changes, nil
	}
	s.settle(now, stale)
	return changes, nil
}

// busyLimit returns how many consecutive CodeBusy responses of the current relay are
// followed by a further poll of it.
func (s *Subscriber) busyLimit() int {
	if s.failedRelays == s.settings.Relays-1 {
		return maxBusyOfLast
	}
	return maxBusyResponses
}

// updateAge applies a response's age if it is lower than the known one: the response of
// a relay that is behind does not make the cache older.
func (s *Subscriber) updateAge(now, age time.Duration) {
	if current, known := s.Age(now); !known || age < current {
		s.ageMeasuredAt, s.measuredAge, s.ageKnown = now, age, true
	}
}

// scheduleRetry schedules the next poll of a busy relay. A delay that is out of bounds is
// replaced by a drawn one.
func (s *Subscriber) scheduleRetry(now time.Duration, response *PollResponse) {
	s.busyResponses++
	delay := s.jitter(s.settings.RetryMax)
	if response.RetryAfterMS > 0 && response.RetryAfterMS <= maxRetryAfter.Milliseconds() {
		delay = time.Duration(response.RetryAfterMS) * time.Millisecond
	}
	s.schedule(now, now+delay)
}

// settle settles at the current relay, which has responded.
func (s *Subscriber) settle(now time.Duration, stale bool) {
	moved, changed := !s.settled, s.stale != stale
	s.settled, s.probing, s.stale, s.failedRelays, s.busyResponses = true, false, stale, 0, 0
	if moved {
		s.lastCandidate = -1
	}
	if moved || changed {
		s.nextProbe = s.drawProbe(now)
	}
	s.schedule(now, now)
}

// HandleFailure processes that the relay that was polled last gave no usable response.
// A probe returns to the relay where the subscriber was settled. Otherwise the next
// relay is polled immediately; once all have failed there is a backoff delay.
func (s *Subscriber) HandleFailure(now time.Duration) {
	if s.probing {
		s.returnFromProbe(now)
		return
	}
	s.failedRelays++
	due := now
	if s.failedRelays%s.settings.Relays == 0 {
		s.stale = true
		due = now + s.backoff(s.failedRelays/s.settings.Relays)
	}
	s.relay, s.settled, s.busyResponses = (s.relay+1)%s.settings.Relays, false, 0
	s.schedule(now, due)
}

// probeDue reports whether another relay is to be probed now: a nearer one, or any
// other while the settled one is stale.
func (s *Subscriber) probeDue(now time.Duration) bool {
	return s.settled && now >= s.nextProbe && s.candidateCount() > 0
}

// candidateCount returns how many relays are probed in turn, the nearest first. The
// settled one may be among them, and is skipped.
func (s *Subscriber) candidateCount() int {
	if s.stale && s.settings.Relays > 1 {
		return s.settings.Relays
	}
	return s.relay
}

func (s *Subscriber) startProbe(now time.Duration) {
	candidate := (s.lastCandidate + 1) % s.candidateCount()
	if candidate == s.relay {
		candidate = (candidate + 1) % s.candidateCount()
	}
	s.settledRelay, s.lastCandidate, s.relay = s.relay, candidate, candidate
	s.probing, s.settled, s.lastProbe = true, false, max(now, s.nextDue)
}

// returnFromProbe returns to the relay where the subscriber was settled.
func (s *Subscriber) returnFromProbe(now time.Duration) {
	s.relay, s.probing, s.settled = s.settledRelay, false, true
	s.nextProbe = s.drawProbe(s.lastProbe)
	s.schedule(now, now)
}

// drawProbe draws the time of the next probe. The subscriber stays with a stale relay
// for about one poll, so that it finds one of three relays within 4 s of its recovery
// without polling all in turn; each relay beyond three adds a PollWait.
func (s *Subscriber) drawProbe(from time.Duration) time.Duration {
	if s.stale {
		return from + s.jitter(s.settings.PollWait/2)
	}
	return from + s.jitter(s.settings.ProbeInterval)
}

// schedule schedules the next poll after one that has just ended. Whatever the relays
// respond, the mean time between polls is pollInterval at least, beyond a burst.
func (s *Subscriber) schedule(now, due time.Duration) {
	s.budgetUsedUntil = max(s.budgetUsedUntil, now) + pollInterval
	s.nextDue = max(due, s.budgetUsedUntil-pollBurst*pollInterval)
}

// backoff returns the jittered delay after a number of rounds in which all relays failed.
func (s *Subscriber) backoff(rounds int) time.Duration {
	return s.jitter(min(s.settings.RetryMin<<min(rounds-1, 10), s.settings.RetryMax))
}

// jitter draws from half of a mean to one and a half of it.
func (s *Subscriber) jitter(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (0.5 + s.rng.Float64()))
}
