package configuration

import (
	"math/rand/v2"
	"time"
)

// SubscriberSettings are the times of a subscriber.
type SubscriberSettings struct {
	// Relays is how many relays it may ask, the nearest first; 1 or more.
	Relays int
	// Wait is how long a poll waits for news at most, Timeout how much longer its answer
	// may take: a relay that stands still is noticed after both, or after Timeout alone
	// by whoever asks it for the first time.
	Wait, Timeout time.Duration
	// StaleAge is the age from which a subscriber does not stay with a relay as long as
	// another one may know better.
	StaleAge time.Duration
	// RetryLeast and RetryMost bound the mean pause once all relays have failed.
	RetryLeast, RetryMost time.Duration
	// Return is the mean time until a subscriber that has moved probes a nearer relay;
	// each draws its own.
	Return time.Duration
}

// DefaultSubscriber lets a change be in force within 4 s where two of three relays have
// failed: one that stands still is noticed after Wait and Timeout, 2.1 s; one that is
// cut off from its council after StaleAge and Wait, 2.7 s; one that is cut off and then
// stands still after all three, 3.3 s; and each further one that stands still costs a
// Timeout more, 0.6 s.
func DefaultSubscriber(relays int) SubscriberSettings {
	return SubscriberSettings{
		Relays: relays, Wait: 1500 * time.Millisecond, Timeout: 600 * time.Millisecond, StaleAge: 1200 * time.Millisecond,
		RetryLeast: 100 * time.Millisecond, RetryMost: time.Second, Return: 15 * time.Second,
	}
}

// Bounds that hold whatever the relays answer.
const (
	pollInterval  = 250 * time.Millisecond // between polls in the mean, beyond a burst
	pollBurst     = 8                      // polls that may follow each other at once
	maxBusy       = 8                      // busy answers in a row before another relay is asked
	maxRetryAfter = 5 * time.Second        // that a busy relay may ask for
)

// Next is the poll that a subscriber makes next.
type Next struct {
	Relay   int           // which one is asked
	At      time.Duration // not before this
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

	relay   int           // that is asked now
	settled bool          // the relay has answered a poll since it was turned to
	tried   int           // relays in a row that brought nothing
	busy    int           // busy answers in a row
	stale   bool          // all relays have failed or are stale: a stale one is stayed with
	at      time.Duration // of the next poll
	paced   time.Duration // until when the polls made so far use up pollInterval

	probing   bool          // the relay asked now is probed
	home      int           // where the subscriber is settled while it probes
	candidate int           // the latest relay that was probed; -1 for none
	probeAt   time.Duration // of the next probe
	probed    time.Duration // when the latest probe began

	answered time.Duration // when what is held was known to be age old
	age      time.Duration
	heard    bool // whether a relay ever answered
}

// NewSubscriber returns one that holds nothing and asks the nearest relay first. All
// its chance comes from rng.
func NewSubscriber(settings SubscriberSettings, rng *rand.Rand) *Subscriber {
	return &Subscriber{settings: settings, rng: rng, candidate: -1, probed: -settings.Wait}
}

// Version is the newest version that was taken; 0 for none.
func (s *Subscriber) Version() Version { return s.cache.Version() }

// Cache is what was received. It is to be read only.
func (s *Subscriber) Cache() *Cache { return &s.cache }

// Age is how old what is held may be: all changes that are older have been received.
// known is false as long as nothing has been.
func (s *Subscriber) Age(now time.Duration) (age time.Duration, known bool) {
	return s.age + now - s.answered, s.heard
}

// Next returns the next poll. The first one of a relay does not wait, so that a relay
// that stands still is noticed soon.
func (s *Subscriber) Next(now time.Duration) Next {
	if s.probeDue(now) {
		s.startProbe(now)
	}
	next := Next{Relay: s.relay, At: max(now, s.at), Timeout: s.settings.Timeout}
	if s.settled {
		next.Wait = s.wait(next.At)
		next.Timeout += next.Wait
	}
	return next
}

// wait draws for how long a poll waits, so that subscribers which were answered at
// once don't poll in step ever after. A probe's time is taken off: whatever it was,
// the settled relay is heard of at least once in a whole Wait.
func (s *Subscriber) wait(at time.Duration) time.Duration {
	wait := time.Duration(float64(s.settings.Wait) * (0.75 + 0.25*s.rng.Float64()))
	if sinceProbe := at - s.probed; sinceProbe < wait {
		wait -= sinceProbe
	}
	return wait
}

// Answered takes the answer of the relay that was asked last. It returns what has
// changed, and the error for which an update was not taken. An update that is newer
// than what is held is taken from a stale relay too; but the subscriber does not stay
// there as long as another one may know better.
func (s *Subscriber) Answered(now time.Duration, answer *PollAnswer) (Taken, error) {
	if answer.Refusal == RefusalBusy && !s.probing && s.busy < maxBusy {
		s.comeAgain(now, answer)
		return Taken{}, nil
	}
	if answer.Refusal != "" || answer.Update == nil {
		s.Failed(now)
		return Taken{}, nil
	}
	taken, err := s.cache.Take(*answer.Update)
	if err != nil {
		s.Failed(now)
		return Taken{}, err
	}
	s.learnAge(now, answer.Age())
	stale := answer.Age() > s.settings.StaleAge
	if stale && (s.probing || !s.stale) {
		s.Failed(now)
		return taken, nil
	}
	s.settle(now, stale)
	return taken, nil
}

// learnAge takes an answer's age where it is younger than what is known: an update of
// a late relay does not make older what a better one has said.
func (s *Subscriber) learnAge(now, age time.Duration) {
	if known, heard := s.Age(now); !heard || age < known {
		s.answered, s.age, s.heard = now, age, true
	}
}

// comeAgain takes that a relay is busy and says when it is to be asked again. A time
// that makes no sense is replaced by one of the subscriber's own.
func (s *Subscriber) comeAgain(now time.Duration, answer *PollAnswer) {
	s.busy++
	retry := s.jitter(s.settings.RetryMost)
	if answer.RetryMS > 0 && answer.RetryMS <= maxRetryAfter.Milliseconds() {
		retry = time.Duration(answer.RetryMS) * time.Millisecond
	}
	s.schedule(now, now+retry)
}

// settle stays at the relay that has answered.
func (s *Subscriber) settle(now time.Duration, stale bool) {
	moved, changed := !s.settled, s.stale != stale
	s.settled, s.probing, s.stale, s.tried, s.busy = true, false, stale, 0, 0
	if moved {
		s.candidate = -1
	}
	if moved || changed {
		s.probeAt = s.drawProbe(now)
	}
	s.schedule(now, now)
}

// Failed takes that the relay that was asked last gave no answer that can be used. A
// probe ends where the subscriber was settled. Otherwise the next relay is asked at
// once; after all of them there is a pause.
func (s *Subscriber) Failed(now time.Duration) {
	if s.probing {
		s.endProbe(now)
		return
	}
	s.tried++
	at := now
	if s.tried%s.settings.Relays == 0 {
		s.stale = true
		at = now + s.pause(s.tried/s.settings.Relays)
	}
	s.relay, s.settled, s.busy = (s.relay+1)%s.settings.Relays, false, 0
	s.schedule(now, at)
}

// probeDue tells whether another relay is to be probed now: a nearer one, or any
// while the settled one is stale.
func (s *Subscriber) probeDue(now time.Duration) bool {
	return s.settled && now >= s.probeAt && s.candidates() > 0
}

// candidates is how many relays are probed in turn, the nearest first; the settled one
// may be among them, and is left out.
func (s *Subscriber) candidates() int {
	if s.stale && s.settings.Relays > 1 {
		return s.settings.Relays
	}
	return s.relay
}

func (s *Subscriber) startProbe(now time.Duration) {
	candidate := (s.candidate + 1) % s.candidates()
	if candidate == s.relay {
		candidate = (candidate + 1) % s.candidates()
	}
	s.home, s.candidate, s.relay = s.relay, candidate, candidate
	s.probing, s.settled, s.probed = true, false, max(now, s.at)
}

// endProbe goes on at the relay where the subscriber was settled.
func (s *Subscriber) endProbe(now time.Duration) {
	s.relay, s.probing, s.settled = s.home, false, true
	s.probeAt = s.drawProbe(s.probed)
	s.schedule(now, now)
}

// drawProbe draws the moment of the next probe. A stale relay is stayed with for
// about a poll, so that one of three relays is found within 4 s of its return without
// going round; each relay beyond three adds a Wait.
func (s *Subscriber) drawProbe(from time.Duration) time.Duration {
	if s.stale {
		return from + s.jitter(s.settings.Wait/2)
	}
	return from + s.jitter(s.settings.Return)
}

// schedule sets the time of the next poll, after one that has just ended. Whatever is
// answered, polls don't follow each other faster than pollInterval beyond a burst.
func (s *Subscriber) schedule(now, at time.Duration) {
	s.paced = max(s.paced, now) + pollInterval
	s.at = max(at, s.paced-pollBurst*pollInterval)
}

// pause is the jittered pause after a number of rounds in which all relays failed.
func (s *Subscriber) pause(rounds int) time.Duration {
	return s.jitter(min(s.settings.RetryLeast<<min(rounds-1, 10), s.settings.RetryMost))
}

// jitter draws from half of a mean to one and a half of it.
func (s *Subscriber) jitter(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (0.5 + s.rng.Float64()))
}
