package configuration

import (
	"math/rand/v2"
	"time"
)

// SubscriberSettings are the intervals and timeouts of a subscriber.
type SubscriberSettings struct {
	// Relays is the number of relays, at least 1. Index 0 is the nearest relay.
	Relays int
	// PollWait is the maximum time that a poll waits for an update at the relay.
	// ResponseTimeout is the additional time for the response to arrive. An unresponsive
	// relay is detected after the sum of both, or after ResponseTimeout alone if the
	// subscriber has just switched to this relay.
	PollWait, ResponseTimeout time.Duration
	// StaleAfter is the age above which a response is stale. After a stale response the
	// subscriber looks for another relay.
	StaleAfter time.Duration
	// RetryMin and RetryMax are the limits of the mean backoff delay after all relays have
	// failed.
	RetryMin, RetryMax time.Duration
	// ProbeInterval is the mean interval at which a subscriber probes nearer relays.
	ProbeInterval time.Duration
}

// DefaultSubscriberSettings returns settings with which a change takes effect within 4 s
// even if two of three relays have failed. Failed relays are detected after
//
//   - PollWait + ResponseTimeout = 2.1 s if the relay is unresponsive,
//   - StaleAfter + PollWait = 2.7 s if it is disconnected from the coordination cluster,
//   - the sum of all three = 3.3 s if it is disconnected and then becomes unresponsive.
//
// Each further unresponsive relay adds ResponseTimeout, 0.6 s.
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

// Limits that apply regardless of the relays' responses.
const (
	pollInterval     = 250 * time.Millisecond // minimum mean interval between polls, except for bursts
	pollBurst        = 8                      // polls that may be sent in immediate succession
	maxBusyResponses = 8                      // consecutive CodeBusy responses tolerated before a change of relay
	// maxBusyResponsesOfLast replaces maxBusyResponses if all other relays have failed or
	// are stale. It leaves enough time for the slots of subscribers that have exited to
	// expire.
	maxBusyResponsesOfLast = 4 * maxBusyResponses
	maxRetryAfter          = 5 * time.Second // longest delay that a busy relay may request
)

// NextPoll describes the next poll of a subscriber.
type NextPoll struct {
	Relay   int           // index of the relay
	Due     time.Duration // earliest time at which to send the poll
	Wait    time.Duration // maximum time that the relay may wait for an update
	Timeout time.Duration // time after which the poll has failed; includes Wait
}

// Subscriber decides which relay to poll and when, and caches the received resources. It
// is not safe for concurrent use.
//
// A subscriber attaches to a relay that responds and polls it continuously. When that
// relay fails, it polls the next one immediately. Periodically it probes another relay
// with a single poll: a nearer relay, or any other relay while its current relay is stale.
// It attaches to the probed relay if the response is not stale. Otherwise it returns to the
// relay that it was attached to before the probe.
type Subscriber struct {
	settings SubscriberSettings
	rng      *rand.Rand
	cache    Cache

	relay         int           // index of the relay that is polled
	attached      bool          // whether relay has responded since the subscriber switched to it
	failedRelays  int           // number of consecutive relays that have failed or were stale
	busyResponses int           // number of consecutive CodeBusy responses
	allStale      bool          // whether all relays have failed or are stale; allows attaching to a stale relay
	nextDue       time.Duration // earliest time of the next poll
	// budgetUsedUntil is the time up to which the polls so far use the poll rate: each poll
	// uses one pollInterval.
	budgetUsedUntil time.Duration

	probing          bool          // whether relay is being probed
	relayBeforeProbe int           // relay to which the subscriber returns after a failed probe
	lastProbedRelay  int           // -1 if no relay was probed since the last change of relay
	nextProbe        time.Duration // earliest time of the next probe
	lastProbeStart   time.Duration // time at which the last probe was sent

	ageMeasuredAt time.Duration // time at which measuredAge was recorded
	measuredAge   time.Duration // age of the cache at ageMeasuredAt
	ageKnown      bool          // whether a relay has ever responded with an update
}

// NewSubscriber returns a subscriber with an empty cache that polls the nearest relay
// first. rng is its only source of randomness and must not be used elsewhere.
func NewSubscriber(settings SubscriberSettings, rng *rand.Rand) *Subscriber {
	return &Subscriber{settings: settings, rng: rng, lastProbedRelay: -1, lastProbeStart: -settings.PollWait}
}

// Version returns the newest version that was applied to the cache, or 0 if there is none.
func (s *Subscriber) Version() Version { return s.cache.Version() }

// Cache returns the cache of received resources. Callers must not modify it.
func (s *Subscriber) Cache() *Cache { return &s.cache }

// Age returns an upper bound of the age of the cache: the cache contains all changes that
// were accepted longer ago than the returned age. known is false until a relay has responded
// with an update.
func (s *Subscriber) Age(now time.Duration) (age time.Duration, known bool) {
	return s.measuredAge + now - s.ageMeasuredAt, s.ageKnown
}

// NextPoll returns the next poll. The first poll after a switch to another relay does not
// wait for an update, so that an unresponsive relay is detected quickly.
func (s *Subscriber) NextPoll(now time.Duration) NextPoll {
	if s.probeDue(now) {
		s.startProbe(now)
	}
	next := NextPoll{Relay: s.relay, Due: max(now, s.nextDue), Timeout: s.settings.ResponseTimeout}
	if s.attached {
		next.Wait = s.pollWait(next.Due)
		next.Timeout += next.Wait
	}
	return next
}

// pollWait returns a random wait for a poll, so that subscribers whose polls were answered
// at the same time do not stay synchronized. After a probe the wait is reduced by the time
// since the probe started. The subscriber thus polls its current relay at least once per
// PollWait, whether the probe succeeds or fails.
func (s *Subscriber) pollWait(due time.Duration) time.Duration {
	wait := time.Duration(float64(s.settings.PollWait) * (0.75 + 0.25*s.rng.Float64()))
	if sinceProbe := due - s.lastProbeStart; sinceProbe < wait {
		wait -= sinceProbe
	}
	return wait
}

// HandleResponse processes the response to the last poll. It returns the changes to the
// cache, or the error from Cache.Apply if the update could not be applied. An update from a
// stale relay is applied too, but the subscriber then looks for another relay.
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
	if stale && (s.probing || !s.allStale) {
		s.HandleFailure(now)
		return changes, nil
	}
	s.attach(now, stale)
	return changes, nil
}

// busyLimit returns how many consecutive CodeBusy responses the subscriber tolerates. After
// the next one it switches to another relay.
func (s *Subscriber) busyLimit() int {
	if s.failedRelays == s.settings.Relays-1 {
		return maxBusyResponsesOfLast
	}
	return maxBusyResponses
}

// updateAge records the age of a response if this age is lower than the known age of the
// cache, since a response from a relay that is behind does not make the cache older.
func (s *Subscriber) updateAge(now, age time.Duration) {
	if current, known := s.Age(now); !known || age < current {
		s.ageMeasuredAt, s.measuredAge, s.ageKnown = now, age, true
	}
}

// scheduleRetry schedules the next poll of a busy relay. If the requested delay is missing
// or out of range, a random one is used.
func (s *Subscriber) scheduleRetry(now time.Duration, response *PollResponse) {
	s.busyResponses++
	delay := s.jitter(s.settings.RetryMax)
	if response.RetryAfterMS > 0 && response.RetryAfterMS <= maxRetryAfter.Milliseconds() {
		delay = time.Duration(response.RetryAfterMS) * time.Millisecond
	}
	s.schedule(now, now+delay)
}

// attach attaches the subscriber to the current relay, which has responded.
func (s *Subscriber) attach(now time.Duration, stale bool) {
	moved, changed := !s.attached, s.allStale != stale
	s.attached, s.probing, s.allStale, s.failedRelays, s.busyResponses = true, false, stale, 0, 0
	if moved {
		s.lastProbedRelay = -1
	}
	if moved || changed {
		s.nextProbe = s.drawProbeTime(now)
	}
	s.schedule(now, now)
}

// HandleFailure is called if the last poll got no usable response. After a probe the
// subscriber returns to the relay that it was attached to. Otherwise it switches to the next
// relay. It polls this relay immediately, unless all relays have failed: then it polls
// after a backoff delay.
func (s *Subscriber) HandleFailure(now time.Duration) {
	if s.probing {
		s.returnFromProbe(now)
		return
	}
	s.failedRelays++
	due := now
	if s.failedRelays%s.settings.Relays == 0 {
		s.allStale = true
		due = now + s.backoff(s.failedRelays/s.settings.Relays)
	}
	s.relay, s.attached, s.busyResponses = (s.relay+1)%s.settings.Relays, false, 0
	s.schedule(now, due)
}

// probeDue reports whether the subscriber should probe another relay now: a nearer relay, or
// any other relay while the current relay is stale.
func (s *Subscriber) probeDue(now time.Duration) bool {
	return s.attached && now >= s.nextProbe && s.candidateCount() > 0
}

// candidateCount returns the number of relays that are probed in turn, nearest first. These
// can include the current relay, which startProbe skips.
func (s *Subscriber) candidateCount() int {
	if s.allStale && s.settings.Relays > 1 {
		return s.settings.Relays
	}
	return s.relay
}

func (s *Subscriber) startProbe(now time.Duration) {
	candidate := (s.lastProbedRelay + 1) % s.candidateCount()
	if candidate == s.relay {
		candidate = (candidate + 1) % s.candidateCount()
	}
	s.relayBeforeProbe, s.lastProbedRelay, s.relay = s.relay, candidate, candidate
	s.probing, s.attached, s.lastProbeStart = true, false, max(now, s.nextDue)
}

// returnFromProbe returns to the relay that the subscriber was attached to before the
// probe.
func (s *Subscriber) returnFromProbe(now time.Duration) {
	s.relay, s.probing, s.attached = s.relayBeforeProbe, false, true
	s.nextProbe = s.drawProbeTime(s.lastProbeStart)
	s.schedule(now, now)
}

// drawProbeTime returns a random time for the next probe. While the current relay is stale,
// the subscriber stays with it for about one poll between probes. With three relays, the
// subscriber finds a recovered relay within 4 s without polling all relays in turn. Each
// relay beyond three adds a PollWait.
func (s *Subscriber) drawProbeTime(from time.Duration) time.Duration {
	if s.allStale {
		return from + s.jitter(s.settings.PollWait/2)
	}
	return from + s.jitter(s.settings.ProbeInterval)
}

// schedule sets the earliest time of the next poll. It is called when a poll has ended. It
// limits the rate to one poll per pollInterval, with bursts of up to pollBurst polls,
// regardless of the relays' responses.
func (s *Subscriber) schedule(now, due time.Duration) {
	s.budgetUsedUntil = max(s.budgetUsedUntil, now) + pollInterval
	s.nextDue = max(due, s.budgetUsedUntil-pollBurst*pollInterval)
}

// backoff returns the delay, with jitter, after a number of consecutive rounds in which
// all relays failed.
func (s *Subscriber) backoff(rounds int) time.Duration {
	return s.jitter(min(s.settings.RetryMin<<min(rounds-1, 10), s.settings.RetryMax))
}

// jitter returns a random duration between 0.5 and 1.5 times the mean.
func (s *Subscriber) jitter(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (0.5 + s.rng.Float64()))
}
