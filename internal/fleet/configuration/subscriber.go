package configuration

import (
	"math/rand/v2"
	"time"
)

// SubscriberSettings are the times of a subscriber.
type SubscriberSettings struct {
	// Relays is how many relays it may ask, the nearest first; 1 or more.
	Relays int
	// Wait is how long a poll waits for news, Timeout how much longer its answer may
	// take: a relay that stands still is noticed after both, or after Timeout alone by
	// whoever asks it for the first time.
	Wait, Timeout time.Duration
	// StaleAge is the age from which a relay's answer is not gone by as long as another
	// relay may know better.
	StaleAge time.Duration
	// RetryLeast and RetryMost bound the mean pause once all relays have failed.
	RetryLeast, RetryMost time.Duration
	// Return is the mean time until a subscriber that has moved asks a nearer relay
	// again; each draws its own.
	Return time.Duration
}

// DefaultSubscriber lets a change be in force within 4 s where one relay of several
// stands still: 2.1 s until that is noticed, 0.6 s more for each further one.
func DefaultSubscriber(relays int) SubscriberSettings {
	return SubscriberSettings{
		Relays: relays, Wait: 1500 * time.Millisecond, Timeout: 600 * time.Millisecond, StaleAge: 1500 * time.Millisecond,
		RetryLeast: 100 * time.Millisecond, RetryMost: time.Second, Return: 15 * time.Second,
	}
}

// Next is the poll that a subscriber makes next.
type Next struct {
	Relay   int           // which one is asked
	At      time.Duration // not before this
	Wait    time.Duration // for how long the answer may wait for news
	Timeout time.Duration // after which the poll has failed; Wait is part of it
}

// Subscriber decides which relay is asked and when, and holds what was received. It
// belongs to one goroutine.
type Subscriber struct {
	settings SubscriberSettings
	rng      *rand.Rand
	cache    Cache

	relay    int           // that is asked now
	settled  bool          // the relay has answered a poll since it was turned to
	tried    int           // relays in a row that brought nothing
	at       time.Duration // of the next poll
	returnAt time.Duration // when a nearer relay is asked again
	stale    bool          // all relays are stale: the answers are gone by all the same
	answered time.Duration // when a poll was last answered
	age      time.Duration // of that answer at that time
	heard    bool          // whether one ever was
}

// NewSubscriber returns one that holds nothing and asks the nearest relay first. All
// its chance comes from rng.
func NewSubscriber(settings SubscriberSettings, rng *rand.Rand) *Subscriber {
	return &Subscriber{settings: settings, rng: rng}
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
	if s.relay > 0 && s.settled && s.returnAt > 0 && now >= s.returnAt {
		s.turnTo(0)
	}
	next := Next{Relay: s.relay, At: max(now, s.at), Timeout: s.settings.Timeout}
	if s.settled {
		next.Wait = s.settings.Wait
		next.Timeout += next.Wait
	}
	return next
}

// Answered takes the answer of the relay that was asked last. It returns what has
// changed, and the error for which an update was not taken.
func (s *Subscriber) Answered(now time.Duration, answer *PollAnswer) (Taken, error) {
	if answer.Refusal == RefusalBusy {
		s.tried = 0
		s.at = now + time.Duration(answer.RetryMS)*time.Millisecond
		return Taken{}, nil
	}
	if answer.Refusal != "" || answer.Update == nil {
		s.Failed(now)
		return Taken{}, nil
	}
	if answer.Age() > s.settings.StaleAge && !s.stale {
		s.Failed(now) // the last of a round turns stale on
		return Taken{}, nil
	}
	taken, err := s.cache.Take(*answer.Update)
	if err != nil {
		s.Failed(now)
		return Taken{}, err
	}
	s.answered, s.age, s.heard = now, answer.Age(), true
	if answer.Age() <= s.settings.StaleAge {
		s.stale = false
	}
	s.settled, s.tried, s.at = true, 0, now
	return taken, nil
}

// Failed takes that the relay that was asked last gave no answer that can be used.
// The next one is asked at once; after all of them there is a pause.
func (s *Subscriber) Failed(now time.Duration) {
	s.tried++
	s.at = now
	if s.tried%s.settings.Relays == 0 {
		s.stale = true
		s.at = now + s.pause(s.tried/s.settings.Relays)
	}
	s.turnTo((s.relay + 1) % s.settings.Relays)
}

// turnTo changes the relay. A subscriber that is not at its nearest goes back there
// at a moment of its own.
func (s *Subscriber) turnTo(relay int) {
	s.relay, s.settled = relay, false
	if relay > 0 {
		s.returnAt = s.at + s.jitter(s.settings.Return)
	}
}

// pause is the jittered pause after a number of rounds in which all relays failed.
func (s *Subscriber) pause(rounds int) time.Duration {
	return s.jitter(min(s.settings.RetryLeast<<min(rounds-1, 10), s.settings.RetryMost))
}

// jitter draws from half of a mean to one and a half of it.
func (s *Subscriber) jitter(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (0.5 + s.rng.Float64()))
}
