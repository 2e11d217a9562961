package configuration

import (
	"math/rand/v2"
	"time"
)

// SubscriberSettings are the times of a subscriber.
type SubscriberSettings struct {
	// Relays is how many relays it may ask, the nearest first; 1 or more.
	Relays int
	// PollWait is how long a poll waits for news at most, Timeout how much longer its answer
	// may take: a relay that stands still is noticed after both, or after Timeout alone
	// by whoever asks it for the first time.
	PollWait, ResponseTimeout time.Duration
	// StaleAfter is the age from which a subscriber does not stay with a relay as long as
	// another one may know better.
	StaleAfter time.Duration
	// RetryMin and RetryMax bound the mean pause once all relays have failed.
	RetryMin, RetryMax time.Duration
	// ProbeInterval is the mean time until a subscriber that has moved probes a nearer relay;
	// each draws its own.
	ProbeInterval time.Duration
}

// DefaultSubscriberSettings lets a change be in force within 4 s where two of three relays have
// failed: one that stands still is noticed after Wait and Timeout, 2.1 s; one that is
// cut off from its council after StaleAfter and Wait, 2.7 s; one that is cut off and then
// stands still after all three, 3.3 s; and each further one that stands still costs a
// Timeout more, 0.6 s.
func DefaultSubscriberSettings(relays int) SubscriberSettings {
	return SubscriberSettings{
		Relays: relays, PollWait: 1500 * time.Millisecond, ResponseTimeout: 600 * time.Millisecond, StaleAfter: 1200 * time.Millisecond,
		RetryMin: 100 * time.Millisecond, RetryMax: time.Second, ProbeInterval: 15 * time.Second,
	}
}

// Bounds that hold whatever the relays answer.
const (
	pollInterval     = 250 * time.Millisecond // between polls in the mean, beyond a burst
	pollBurst        = 8                      // polls that may follow each other at once
	maxBusyResponses = 8                      // busy answers in a row before another relay is asked
	maxRetryAfter    = 5 * time.Second        // that a busy relay may ask for
)

// NextPoll is the poll that a subscriber makes next.
type NextPoll struct {
	Relay   int           // which one is asked
	Due     time.Duration // not before this
	Wait    time.Duration // for how long the answer may wait for news
	Timeout time.Duration // after which the poll has failed; Wait is part of it
}

// Subscriber decides which relay is asked and when, and holds what was received. It
// belongs to one goroutine.
//
// It is settled at a relay that answers, and polls it again and again. When that
// relay fails, the next one is asked at once. From time to time it probes another
// relay by a single poll: a nearer one, or any other where its own is stale. It moves
// there if the answer is a fresh one; otherwise it goes on where it was settled.
type Subscriber struct {
	settings SubscriberSettings
	rng      *rand.Rand
	cache    Cache

	relay           int           // that is asked now
	settled         bool          // the relay has answered a poll since it was turned to
	failedRelays    int           // relays in a row that brought nothing
	busyResponses   int           // busy answers in a row
	stale           bool          // all relays have failed or are stale: a stale one is stayed with
	nextDue         time.Duration // of the next poll
	budgetUsedUntil time.Duration // until when the polls made so far use up pollInterval

	probing       bool          // the relay asked now is probed
	settledRelay  int           // where the subscriber is settled while it probes
	lastCandidate int           // the latest relay that was probed; -1 for none
	nextProbe     time.Duration // of the next probe
	lastProbe     time.Duration // when the latest probe began

	ageMeasuredAt time.Duration // when what is held was known to be age old
	measuredAge   time.Duration
	ageKnown      bool // whether a relay ever answered
}

// NewSubscriber returns one that holds nothing and asks the nearest relay first. All
// its chance comes from rng.
func NewSubscriber(settings SubscriberSettings, rng *rand.Rand) *Subscriber {
	return &Subscriber{settings: settings, rng: rng, lastCandidate: -1, lastProbe: -settings.PollWait}
}

// Version is the newest version that was taken; 0 for none.
func (s *Subscriber) Version() Version { return s.cache.Version() }

// Cache is what was received. It is to be read only.
func (s *Subscriber) Cache() *Cache { return &s.cache }

// Age is how old what is held may be: all changes that are older have been received.
// known is false as long as nothing has been.
func (s *Subscriber) Age(now time.Duration) (age time.Duration, known bool) {
	return s.measuredAge + now - s.ageMeasuredAt, s.ageKnown
}

// NextPoll returns the next poll. The first one of a relay does not wait, so that a relay
// that stands still is noticed soon.
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

// pollWait draws for how long a poll waits, so that subscribers which were answered at
// once don't poll in step ever after. A probe's time is taken off: whatever it was,
// the settled relay is heard of at least once in a whole Wait.
func (s *Subscriber) pollWait(at time.Duration) time.Duration {
	wait := time.Duration(float64(s.settings.PollWait) * (0.75 + 0.25*s.rng.Float64()))
	if sinceProbe := at - s.lastProbe; sinceProbe < wait {
		wait -= sinceProbe
	}
	return wait
}

// HandleResponse takes the answer of the relay that was asked last. It returns what has
// changed, and the error for which an update was not taken. An update that is newer
// than what is held is taken from a stale relay too; but the subscriber does not stay
// there as long as another one may know better.
func (s *Subscriber) HandleResponse(now time.Duration, answer *PollResponse) (Changes, error) {
	if answer.ErrorCode == CodeBusy && !s.probing && s.busyResponses < maxBusyResponses {
		s.scheduleRetry(now, answer)
		return Changes{}, nil
	}
	if answer.ErrorCode != "" || answer.Update == nil {
		s.HandleFailure(now)
		return Changes{}, nil
	}
	taken, err := s.cache.Apply(*answer.Update)
	if err != nil {
		s.HandleFailure(now)
		return Changes{}, err
	}
	s.updateAge(now, answer.Age())
	stale := answer.Age() > s.settings.StaleAfter
	if stale && (s.probing || !s.stale) {
		s.HandleFailure(now)
		return taken, nil
	}
	s.settle(now, stale)
	return taken, nil
}

// updateAge takes an answer's age where it is younger than what is known: an update of
// a late relay does not make older what a better one has said.
func (s *Subscriber) updateAge(now, age time.Duration) {
	if known, heard := s.Age(now); !heard || age < known {
		s.ageMeasuredAt, s.measuredAge, s.ageKnown = now, age, true
	}
}

// scheduleRetry takes that a relay is busy and says when it is to be asked again. A time
// that makes no sense is replaced by one of the subscriber's own.
func (s *Subscriber) scheduleRetry(now time.Duration, answer *PollResponse) {
	s.busyResponses++
	retry := s.jitter(s.settings.RetryMax)
	if answer.RetryAfterMS > 0 && answer.RetryAfterMS <= maxRetryAfter.Milliseconds() {
		retry = time.Duration(answer.RetryAfterMS) * time.Millisecond
	}
	s.schedule(now, now+retry)
}

// settle stays at the relay that has answered.
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

// HandleFailure takes that the relay that was asked last gave no answer that can be used. A
// probe ends where the subscriber was settled. Otherwise the next relay is asked at
// once; after all of them there is a pause.
func (s *Subscriber) HandleFailure(now time.Duration) {
	if s.probing {
		s.returnFromProbe(now)
		return
	}
	s.failedRelays++
	at := now
	if s.failedRelays%s.settings.Relays == 0 {
		s.stale = true
		at = now + s.backoff(s.failedRelays/s.settings.Relays)
	}
	s.relay, s.settled, s.busyResponses = (s.relay+1)%s.settings.Relays, false, 0
	s.schedule(now, at)
}

// probeDue tells whether another relay is to be probed now: a nearer one, or any
// while the settled one is stale.
func (s *Subscriber) probeDue(now time.Duration) bool {
	return s.settled && now >= s.nextProbe && s.candidateCount() > 0
}

// candidateCount is how many relays are probed in turn, the nearest first; the settled one
// may be among them, and is left out.
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

// returnFromProbe goes on at the relay where the subscriber was settled.
func (s *Subscriber) returnFromProbe(now time.Duration) {
	s.relay, s.probing, s.settled = s.settledRelay, false, true
	s.nextProbe = s.drawProbe(s.lastProbe)
	s.schedule(now, now)
}

// drawProbe draws the moment of the next probe. A stale relay is stayed with for
// about a poll, so that one of three relays is found within 4 s of its return without
// going round; each relay beyond three adds a Wait.
func (s *Subscriber) drawProbe(from time.Duration) time.Duration {
	if s.stale {
		return from + s.jitter(s.settings.PollWait/2)
	}
	return from + s.jitter(s.settings.ProbeInterval)
}

// schedule sets the time of the next poll, after one that has just ended. Whatever is
// answered, polls don't follow each other faster than pollInterval beyond a burst.
func (s *Subscriber) schedule(now, at time.Duration) {
	s.budgetUsedUntil = max(s.budgetUsedUntil, now) + pollInterval
	s.nextDue = max(at, s.budgetUsedUntil-pollBurst*pollInterval)
}

// backoff is the jittered pause after a number of rounds in which all relays failed.
func (s *Subscriber) backoff(rounds int) time.Duration {
	return s.jitter(min(s.settings.RetryMin<<min(rounds-1, 10), s.settings.RetryMax))
}

// jitter draws from half of a mean to one and a half of it.
func (s *Subscriber) jitter(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (0.5 + s.rng.Float64()))
}
