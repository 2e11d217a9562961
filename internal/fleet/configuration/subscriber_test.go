package configuration

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// decider returns a subscriber of the default times.
func decider(relays int, seed uint64) *Subscriber {
	return NewSubscriber(DefaultSubscriberSettings(relays), rand.New(rand.NewPCG(seed, 0)))
}

// fresh is an answer that brings a version and no resource.
func fresh(version Version) *PollResponse {
	return &PollResponse{Update: &Update{Version: version}}
}

func staleAnswer(version Version) *PollResponse {
	return &PollResponse{AgeMS: 60000, Update: &Update{Version: version}}
}

func refusal(r ErrorCode) *PollResponse { return &PollResponse{ErrorCode: r} }

// settleAt brings a new subscriber to a relay by failures of those before it.
func settleAt(t *testing.T, relays, relay int) (*Subscriber, time.Duration) {
	t.Helper()
	s, now := decider(relays, 1), time.Second
	for range relay {
		s.NextPoll(now)
		s.HandleFailure(now)
	}
	if next := s.NextPoll(now); next.Relay != relay || next.Due != now || next.Wait != 0 {
		t.Fatalf("found %+v, wanted relay %d at once", next, relay)
	}
	mustAnswer(t, s, now, fresh(v(1, 1)))
	return s, now
}

func mustAnswer(t *testing.T, s *Subscriber, now time.Duration, answer *PollResponse) {
	t.Helper()
	if _, err := s.HandleResponse(now, answer); err != nil {
		t.Fatal(err)
	}
}

func TestSubscriberAsksTheNearestFirstAndThenWaits(t *testing.T) {
	s, settings := decider(3, 1), DefaultSubscriberSettings(3)
	first := s.NextPoll(0)
	if first.Relay != 0 || first.Due != 0 || first.Wait != 0 || first.Timeout != settings.ResponseTimeout {
		t.Fatalf("found %+v, wanted relay 0 at once without a wait", first)
	}
	mustAnswer(t, s, 0, fresh(v(1, 1)))
	for now := time.Duration(0); now < time.Minute; now += time.Second {
		next := s.NextPoll(now)
		if next.Relay != 0 || next.Wait < settings.PollWait*3/4 || next.Wait > settings.PollWait || next.Timeout != next.Wait+settings.ResponseTimeout {
			t.Fatalf("found %+v, wanted a long poll of relay 0", next)
		}
		mustAnswer(t, s, now, fresh(v(1, 1)))
	}
}

// Subscribers that were answered at the same moment don't poll in step.
func TestLongPollsAreSpread(t *testing.T) {
	waits := map[time.Duration]bool{}
	for seed := range uint64(100) {
		s := decider(2, seed)
		mustAnswer(t, s, 0, fresh(v(1, 1)))
		waits[s.NextPoll(0).Wait.Truncate(10*time.Millisecond)] = true
	}
	if len(waits) < 20 {
		t.Errorf("found %d different waits of 100, wanted 20 or more", len(waits))
	}
}

func TestSubscriberMovesAtOnceAndPausesAfterARound(t *testing.T) {
	for _, answer := range []*PollResponse{nil, refusal(CodeDraining), refusal(CodeBehind), refusal(CodeNotReady), refusal(CodeFull),
		refusal(CodeWrongRegion), refusal(CodeInvalid), refusal("unheard of"), {}} {
		s, now := decider(3, 7), time.Second
		fail := func() NextPoll {
			if answer == nil {
				s.HandleFailure(now)
			} else {
				mustAnswer(t, s, now, answer)
			}
			return s.NextPoll(now)
		}
		for relay := range 2 {
			if next := fail(); next.Relay != relay+1 || next.Due != now {
				t.Fatalf("%+v: found %+v, wanted relay %d at once", answer, next, relay+1)
			}
		}
		settings := DefaultSubscriberSettings(3)
		for round := range 20 {
			next := fail()
			mean := min(settings.RetryMin<<min(round, 10), settings.RetryMax)
			if pause := next.Due - now; next.Relay != 0 || pause < mean/2 || pause > max(mean*3/2, 3*pollInterval) {
				t.Fatalf("%+v: round %d: found %+v, wanted relay 0 after about %v", answer, round, next, mean)
			}
			now = next.Due
			for range 2 {
				now = max(now, fail().Due)
			}
		}
	}
}

// The subscribers of relays that are all gone don't come back in step.
func TestPausesAreSpread(t *testing.T) {
	var at []time.Duration
	for seed := range uint64(200) {
		s := decider(2, seed)
		for range 2 * 5 {
			s.HandleFailure(0)
		}
		at = append(at, s.NextPoll(0).Due)
	}
	if low, high := slices.Min(at), slices.Max(at); high-low < 800*time.Millisecond {
		t.Errorf("found all within %v to %v, wanted a spread of 0.8 s or more", low, high)
	}
}

func TestBusyRelay(t *testing.T) {
	cases := []struct {
		retry       int64
		least, most time.Duration
	}{
		{700, 700 * time.Millisecond, 700 * time.Millisecond},
		{0, 500 * time.Millisecond, 1500 * time.Millisecond},
		{-1, 500 * time.Millisecond, 1500 * time.Millisecond},
		{math.MinInt64, 500 * time.Millisecond, 1500 * time.Millisecond},
		{365 * 24 * 3600 * 1000, 500 * time.Millisecond, 1500 * time.Millisecond},
		{math.MaxInt64, 500 * time.Millisecond, 1500 * time.Millisecond},
	}
	for _, c := range cases {
		s := decider(2, 3)
		mustAnswer(t, s, time.Second, &PollResponse{ErrorCode: CodeBusy, RetryAfterMS: c.retry})
		if next := s.NextPoll(time.Second); next.Relay != 0 || next.Due < time.Second+c.least || next.Due > time.Second+c.most {
			t.Errorf("retry_ms %d: found %+v, wanted relay 0 within %v to %v", c.retry, next, c.least, c.most)
		}
	}
}

// A relay that is busy for ever does not hold its subscribers for ever.
func TestBusyForEver(t *testing.T) {
	s, now := decider(2, 3), time.Duration(0)
	for range maxBusyResponses {
		mustAnswer(t, s, now, &PollResponse{ErrorCode: CodeBusy, RetryAfterMS: 100})
		next := s.NextPoll(now)
		if next.Relay != 0 {
			t.Fatalf("found %+v, wanted relay 0 to be waited for", next)
		}
		now = next.Due
	}
	mustAnswer(t, s, now, &PollResponse{ErrorCode: CodeBusy, RetryAfterMS: 100})
	if next := s.NextPoll(now); next.Relay != 1 {
		t.Errorf("found %+v, wanted relay 1", next)
	}
	mustAnswer(t, s, now, &PollResponse{ErrorCode: CodeBusy, RetryAfterMS: 100})
	if next := s.NextPoll(now); next.Relay != 1 {
		t.Errorf("found %+v, wanted the next relay to be waited for as long", next)
	}
}

// A failure long ago does not count towards a round without any answer.
func TestNoPauseWhileRelaysAnswer(t *testing.T) {
	s, now := decider(3, 1), time.Duration(0)
	for range 20 {
		now += 2 * time.Second
		s.NextPoll(now)
		s.HandleFailure(now)
		if next := s.NextPoll(now); next.Due != now {
			t.Fatalf("found a pause of %v, wanted the next relay at once", next.Due-now)
		}
		mustAnswer(t, s, now, fresh(v(1, 1)))
	}
}

// After a move the nearest is probed first, whatever was probed before.
func TestFirstProbeAfterAMoveIsTheNearest(t *testing.T) {
	s, now := settleAt(t, 4, 2)
	probe := func() int {
		for home := s.relay; s.NextPoll(now).Relay == home; {
			now += s.NextPoll(now).Wait
			mustAnswer(t, s, now, fresh(v(1, 1)))
		}
		probed := s.relay
		s.HandleFailure(now)
		return probed
	}
	if probed := probe(); probed != 0 {
		t.Fatalf("found a probe of relay %d, wanted 0", probed)
	}
	s.NextPoll(now)
	s.HandleFailure(now)
	mustAnswer(t, s, now, fresh(v(1, 1)))
	if s.relay != 3 {
		t.Fatalf("found relay %d, wanted 3", s.relay)
	}
	if probed := probe(); probed != 0 {
		t.Errorf("found a probe of relay %d after the move, wanted 0", probed)
	}
}

// Whatever relays answer, and however soon, a subscriber's polls are bounded.
func TestPollRateIsBounded(t *testing.T) {
	version := uint32(1)
	answers := map[string]func(*Subscriber) *PollResponse{
		"empty at once":   func(*Subscriber) *PollResponse { return fresh(v(1, 1)) },
		"stale at once":   func(*Subscriber) *PollResponse { return staleAnswer(v(1, 1)) },
		"older":           func(*Subscriber) *PollResponse { return fresh(v(0, 1)) },
		"draining":        func(*Subscriber) *PollResponse { return refusal(CodeDraining) },
		"busy, retry now": func(*Subscriber) *PollResponse { return &PollResponse{ErrorCode: CodeBusy, RetryAfterMS: 1} },
		"no end of news":  func(*Subscriber) *PollResponse { version++; return fresh(v(1, version)) },
		"only the first poll of a relay is answered": func(s *Subscriber) *PollResponse {
			if s.settled {
				return refusal(CodeInvalid)
			}
			return fresh(v(1, 1))
		},
		"good and stale by turns": func(s *Subscriber) *PollResponse {
			if version++; version%2 == 0 {
				return fresh(v(1, 1))
			}
			return staleAnswer(v(1, 1))
		},
	}
	for name, answer := range answers {
		for relays := 1; relays <= 4; relays++ {
			s, now, polls := decider(relays, 5), time.Duration(0), 0
			for now < time.Minute {
				next := s.NextPoll(now)
				if next.Due < now || next.Wait < 0 || next.Timeout < next.Wait || next.Relay < 0 || next.Relay >= relays {
					t.Fatalf("%s: found %+v at %v", name, next, now)
				}
				now = next.Due
				_, _ = s.HandleResponse(now, answer(s))
				polls++
			}
			if most := pollBurst + 1 + int(time.Minute/pollInterval); polls > most {
				t.Errorf("%s, %d relays: found %d polls in a minute, wanted %d at most", name, relays, polls, most)
			}
		}
	}
}

// A stale relay's update is taken where it is newer than what is held, and its
// subscriber looks for a better one; an age that makes no sense counts as stale.
func TestStaleRelayIsLeftWhileAnotherMayKnowBetter(t *testing.T) {
	for _, answer := range []*PollResponse{staleAnswer(v(1, 5)), {AgeMS: -1, Update: &Update{Version: v(1, 5)}}} {
		s := decider(2, 1)
		mustAnswer(t, s, 0, answer)
		if next := s.NextPoll(0); next.Relay != 1 || next.Due != 0 || s.Version() != v(1, 5) {
			t.Fatalf("found %+v with version %v, wanted relay 1 at once with 1.5", next, s.Version())
		}
		mustAnswer(t, s, 0, fresh(v(1, 6)))
		if next := s.NextPoll(0); next.Relay != 1 || next.Wait == 0 {
			t.Errorf("found %+v, wanted to stay at relay 1", next)
		}
	}
}

// Where all relays are stale, as they are without a leader of the council, a
// subscriber stays with one and looks at another by single polls.
func TestAllStaleStaysPut(t *testing.T) {
	s, now := decider(3, 9), time.Duration(0)
	waited := map[int]int{}
	polls := 0
	for now < 5*time.Minute {
		next := s.NextPoll(now)
		now = next.Due + next.Wait
		if now > 5*time.Second && next.Wait > 0 {
			waited[next.Relay]++
		}
		mustAnswer(t, s, now, staleAnswer(v(1, 1)))
		polls++
	}
	if len(waited) != 1 {
		t.Errorf("found long polls at relays %v, wanted one relay", waited)
	}
	if most := 10 + 2*int(5*time.Minute/DefaultSubscriberSettings(3).PollWait*4/3); polls > most {
		t.Errorf("found %d polls in 5 minutes, wanted %d at most", polls, most)
	}
}

// A relay that is no longer stale is stayed with: its subscribers don't all probe the
// nearer one at once.
func TestFreshAgainIsNoReasonToProbe(t *testing.T) {
	s, now := decider(2, 1), time.Second
	s.HandleFailure(now)
	s.HandleFailure(now)
	s.HandleFailure(now)
	mustAnswer(t, s, now, staleAnswer(v(1, 1)))
	if next := s.NextPoll(now); next.Relay != 1 || next.Wait == 0 {
		t.Fatalf("found %+v, wanted to stay at relay 1, which is stale", next)
	}
	mustAnswer(t, s, now, fresh(v(1, 1)))
	for end := now + DefaultSubscriberSettings(2).ProbeInterval/2; now < end; now += 100 * time.Millisecond {
		if next := s.NextPoll(now); next.Relay != 1 {
			t.Fatalf("found a probe of relay %d at %v, wanted none before %v", next.Relay, now, end)
		}
	}
}

// A relay that is whole again is found within 4 s by the subscribers of stale ones,
// whichever it is and also where the others stand still.
func TestStaleSubscriberFindsAWholeRelay(t *testing.T) {
	for relays := 2; relays <= 3; relays++ {
		for whole := range relays {
			for seed := range uint64(50) {
				if took := findWhole(t, relays, whole, seed, false); took > 4*time.Second {
					t.Errorf("seed %d: relay %d of %d was found after %v, wanted 4 s at most", seed, whole, relays, took)
				}
				if took := findWhole(t, relays, whole, seed, true); took > 4*time.Second {
					t.Errorf("seed %d: relay %d of %d was found after %v past one that stands still, wanted 4 s at most", seed, whole, relays, took)
				}
			}
		}
	}
}

// findWhole has all relays stale for a minute, or all but the last of them stand
// still, and then one of them whole.
func findWhole(t *testing.T, relays, whole int, seed uint64, still bool) time.Duration {
	s, now, end := decider(relays, seed), time.Duration(0), time.Minute+time.Duration(seed)*31*time.Millisecond
	for {
		next := s.NextPoll(now)
		now = next.Due
		switch {
		case now >= end && next.Relay == whole:
			return now - end
		case still && next.Relay != relays-1:
			now += next.Timeout
			s.HandleFailure(now)
		default:
			now += next.Wait
			mustAnswer(t, s, now, staleAnswer(v(1, 1)))
		}
		if now > 2*end {
			return now - end
		}
	}
}

// A late relay does not make older what a better one has said.
func TestAgeIsTheBestKnown(t *testing.T) {
	s := decider(2, 1)
	if _, known := s.Age(0); known {
		t.Error("found an age before the first answer")
	}
	mustAnswer(t, s, time.Second, &PollResponse{AgeMS: 100, Update: &Update{Version: v(1, 1)}})
	mustAnswer(t, s, 2*time.Second, staleAnswer(v(1, 1)))
	if age, known := s.Age(3 * time.Second); !known || age != 2100*time.Millisecond {
		t.Errorf("found age %v, %v, wanted 2.1s", age, known)
	}
	mustAnswer(t, s, 4*time.Second, &PollResponse{AgeMS: 50, Update: &Update{Version: v(1, 1)}})
	if age, _ := s.Age(4 * time.Second); age != 50*time.Millisecond {
		t.Errorf("found age %v, wanted 50ms", age)
	}
}

// A subscriber that has moved probes nearer relays at moments of its own. While they
// are bad it goes back to the one that worked by the very next poll.
func TestReturnsToNearerRelays(t *testing.T) {
	bad := map[string]func(*Subscriber, time.Duration) time.Duration{
		"no answer": func(s *Subscriber, now time.Duration) time.Duration {
			now += DefaultSubscriberSettings(3).ResponseTimeout
			s.HandleFailure(now)
			return now
		},
	}
	for name, answer := range map[string]*PollResponse{"busy": {ErrorCode: CodeBusy, RetryAfterMS: 900}, "draining": refusal(CodeDraining),
		"not ready": refusal(CodeNotReady), "behind": refusal(CodeBehind), "stale": staleAnswer(v(1, 1)), "older": fresh(v(0, 9))} {
		bad[name] = func(s *Subscriber, now time.Duration) time.Duration {
			_, _ = s.HandleResponse(now, answer)
			return now
		}
	}
	for name, end := range bad {
		s, now := settleAt(t, 3, 2)
		var probed []int
		lastHome := now
		for now < 2*time.Minute {
			next := s.NextPoll(now)
			if next.Due != now {
				t.Fatalf("%s: found a pause %+v at %v", name, next, now)
			}
			if next.Relay == 2 {
				now += next.Wait
				if gap := now - lastHome; gap > DefaultSubscriberSettings(3).PollWait {
					t.Fatalf("%s: found %v without the relay that works", name, gap)
				}
				lastHome = now
				mustAnswer(t, s, now, fresh(v(1, 1)))
				continue
			}
			if next.Wait != 0 {
				t.Fatalf("%s: found %+v, wanted a probe that does not wait", name, next)
			}
			probed = append(probed, next.Relay)
			now = end(s, now)
			if back := s.NextPoll(now); back.Relay != 2 {
				t.Fatalf("%s: found %+v after a probe, wanted relay 2", name, back)
			}
		}
		if len(probed) < 5 || len(probed) > 16 || probed[0] != 0 || probed[1] != 1 || probed[2] != 0 {
			t.Errorf("%s: found probes of %v in 2 minutes, wanted 0, 1, 0, ... about every 15 s", name, probed)
		}
	}
}

func TestStaysAtANearerRelayThatIsGood(t *testing.T) {
	s, now := settleAt(t, 3, 2)
	for s.NextPoll(now).Relay == 2 {
		now += s.NextPoll(now).Wait
		mustAnswer(t, s, now, fresh(v(1, 1)))
	}
	for range 100 {
		next := s.NextPoll(now)
		if next.Relay != 0 {
			t.Fatalf("found %+v, wanted relay 0", next)
		}
		now = next.Due + next.Wait
		mustAnswer(t, s, now, fresh(v(1, 1)))
	}
}

// The subscribers of a relay that was down don't come back to it at once.
func TestReturnsAreSpread(t *testing.T) {
	var at []time.Duration
	for seed := range uint64(200) {
		s, now := decider(2, seed), time.Duration(0)
		s.HandleFailure(now)
		mustAnswer(t, s, now, fresh(v(1, 1)))
		for s.NextPoll(now).Relay == 1 {
			now += 10 * time.Millisecond
		}
		at = append(at, now)
	}
	if low, high := slices.Min(at), slices.Max(at); low < 7*time.Second || high-low < 12*time.Second {
		t.Errorf("found returns within %v to %v, wanted a spread of 12 s from 7.5 s on", low, high)
	}
}

// reached is after what time a change is in force at a subscriber of three relays
// whose faults begin at a phase of its polls; at is when it is accepted, counted from
// the first fault.
func reached(t *testing.T, seed uint64, phase time.Duration, faults ...func(*world)) time.Duration {
	t.Helper()
	w := newWorld(seed, 3, []Subscription{{"a"}})
	w.run(time.Second)
	w.change("a")
	w.run(2*time.Second + phase)
	for _, fault := range faults {
		fault(w)
	}
	accepted, version := w.now, w.change("a")
	for w.subscribers[0].versions["a"] < version && w.now < accepted+10*time.Second {
		w.run(time.Millisecond)
	}
	if len(w.broken) > 0 {
		t.Errorf("seed %d, phase %v: %q", seed, phase, w.broken)
	}
	return w.now - accepted
}

// A change is in force within 4 s of its accept with one relay or two of three
// failed, whatever the phase of the poll.
func TestInForceWithinFourSeconds(t *testing.T) {
	stop := func(i int) func(*world) { return func(w *world) { w.relays[i].stop() } }
	cut := func(i int) func(*world) { return func(w *world) { w.relays[i].setCut(true) } }
	kill := func(i int) func(*world) { return func(w *world) { w.relays[i].kill() } }
	cases := []struct {
		name   string
		faults []func(*world)
		least  time.Duration // that the worst phase takes: the test would notice if it were not met
	}{
		{"none", nil, 0},
		{"the first killed", []func(*world){kill(0)}, 0},
		{"the first stopped", []func(*world){stop(0)}, 1500 * time.Millisecond},
		{"the first cut", []func(*world){cut(0)}, 1500 * time.Millisecond},
		{"the first stopped, the second too", []func(*world){stop(0), stop(1)}, 2200 * time.Millisecond},
		{"the first stopped, the second cut", []func(*world){stop(0), cut(1)}, 1500 * time.Millisecond},
		{"the first cut, the second stopped", []func(*world){cut(0), stop(1)}, 2200 * time.Millisecond},
		{"both cut", []func(*world){cut(0), cut(1)}, 1500 * time.Millisecond},
		{"the first stopped, the second killed", []func(*world){stop(0), kill(1)}, 1500 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			worst := time.Duration(0)
			for phase := time.Duration(0); phase < 1600*time.Millisecond; phase += 50 * time.Millisecond {
				for seed := range uint64(2) {
					took := reached(t, seed, phase, c.faults...)
					worst = max(worst, took)
					if took > 4*time.Second {
						t.Fatalf("seed %d, phase %v: in force after %v, wanted 4 s at most", seed, phase, took)
					}
				}
			}
			t.Logf("worst %v", worst)
			if worst < c.least {
				t.Errorf("the worst phase took %v, wanted one of %v or more: the fault was not met", worst, c.least)
			}
		})
	}
}

// The worst of all: a relay is cut off and stands still just before that is noticed,
// and the next one stands still too. It is what StaleAfter is drawn from.
func TestInForceWithinFourSecondsOfTwoFaultsOfOneRelay(t *testing.T) {
	worst := time.Duration(0)
	for phase := time.Duration(0); phase < 1600*time.Millisecond; phase += 50 * time.Millisecond {
		for later := time.Second; later < 2*time.Second; later += 50 * time.Millisecond {
			faults := func(w *world) {
				w.relays[0].setCut(true)
				w.relays[1].stop()
				w.after(later, w.relays[0].stop)
			}
			took := reached(t, uint64(later), phase, faults)
			worst = max(worst, took)
			if took > 4*time.Second {
				t.Fatalf("phase %v, stopped %v after the cut: in force after %v, wanted 4 s at most", phase, later, took)
			}
		}
	}
	t.Logf("worst %v", worst)
	if worst < 3400*time.Millisecond {
		t.Errorf("the worst phase took %v, wanted one of 3.4 s or more: the fault was not met", worst)
	}
}

// A change that is accepted some time after a relay has stopped, or while a probe of
// one that still stands is under way, takes no longer.
func TestInForceWithinFourSecondsOfAnyFault(t *testing.T) {
	worst := time.Duration(0)
	for seed := range uint64(200) {
		w := newWorld(seed, 3, []Subscription{{"a"}})
		w.run(time.Second)
		w.change("a")
		w.run(time.Second)
		w.relays[0].stop()
		w.run(time.Duration(w.rng.Int64N(int64(40 * time.Second))))
		if home := w.subscribers[0].relay; seed%2 == 0 {
			w.relays[max(home, 1)].stop()
		} else {
			w.relays[max(home, 1)].setCut(true)
		}
		w.run(time.Duration(w.rng.Int64N(int64(time.Second))))
		accepted, version := w.now, w.change("a")
		for w.subscribers[0].versions["a"] < version && w.now < accepted+10*time.Second {
			w.run(10 * time.Millisecond)
		}
		worst = max(worst, w.now-accepted)
		if w.now-accepted > 4*time.Second || len(w.broken) > 0 {
			t.Fatalf("seed %d: in force after %v, wanted 4 s at most; %q", seed, w.now-accepted, w.broken)
		}
	}
	t.Logf("worst %v", worst)
}

// The reported case of a half-open connection: polls go out and no answer comes. The
// subscriber gives up by its own timeout, and the place of the snapshot that was on
// its way is free again after the lease.
func TestHalfOpenConnection(t *testing.T) {
	w := newWorld(1, 2, []Subscription{{"a"}})
	w.admission.Slots = 1
	w.run(time.Second)
	w.change("a")
	w.loss = 1
	w.subscribers[0].restart(0)
	w.run(DefaultSubscriberSettings(2).ResponseTimeout + 50*time.Millisecond)
	if s := w.subscribers[0]; s.relay != 1 {
		t.Errorf("found relay %d asked, wanted 1 after the timeout", s.relay)
	}
	admission := NewAdmission(AdmissionSettings{Slots: 1, SlotTimeout: time.Second, RetryMin: time.Millisecond, RetryMax: time.Second})
	if admitted, _ := admission.Admit(0, "half-open", false, 0); !admitted {
		t.Fatal("found no place free at first")
	}
	if admitted, retry := admission.Admit(999*time.Millisecond, "next", false, 0); admitted || retry <= 0 {
		t.Errorf("found %v, %v while the only place is taken", admitted, retry)
	}
	if admitted, _ := admission.Admit(time.Second, "next", true, 0); !admitted {
		t.Error("found the place taken after its lease")
	}
}
