package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"otterspring/internal/bootclock"
	"otterspring/internal/fleet/configuration"
)

// subscriber polls relays as a sidecar does. Its goroutine runs from start to stopAndWait.
type subscriber struct {
	name     string
	relays   []string
	services configuration.Subscription
	settings configuration.SubscriberSettings
	// beforeAcknowledge runs between receiving a snapshot and acknowledging it, if snapshots
	// are counted.
	beforeAcknowledge func()
	snapshots         *snapshotCount // of all subscribers of a test, if it counts them
	client            http.Client

	mu        sync.Mutex
	version   configuration.Version
	relay     int
	decreases int // of the version
	received  int // resources
	applied   map[string]string

	stop context.CancelFunc
	done chan struct{}
}

// snapshotCount counts the snapshots that were received; those in flight are not acknowledged.
type snapshotCount struct{ inFlight, peak, total atomic.Int64 }

func (c *snapshotCount) add() {
	c.total.Add(1)
	now := c.inFlight.Add(1)
	for peak := c.peak.Load(); now > peak && !c.peak.CompareAndSwap(peak, now); peak = c.peak.Load() {
	}
}

// startSubscriber starts a subscriber of relays, the nearest first.
func startSubscriber(tb testing.TB, name string, services configuration.Subscription, relays ...string) *subscriber {
	tb.Helper()
	s := &subscriber{name: name, relays: relays, services: services, settings: configuration.DefaultSubscriberSettings(len(relays))}
	s.settings.ProbeInterval = 500 * time.Millisecond
	s.start()
	tb.Cleanup(s.stopAndWait)
	return s
}

// start starts it without a version.
func (s *subscriber) start() {
	s.client.Transport = &http.Transport{}
	s.version, s.applied = 0, map[string]string{}
	ctx, stop := context.WithCancel(context.Background())
	s.stop, s.done = stop, make(chan struct{})
	go s.run(ctx)
}

// stopAndWait ends it and its connections.
func (s *subscriber) stopAndWait() {
	s.stop()
	<-s.done
	s.client.CloseIdleConnections()
}

func (s *subscriber) run(ctx context.Context) {
	defer close(s.done)
	decider := configuration.NewSubscriber(s.settings, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	for ctx.Err() == nil {
		next := decider.NextPoll(bootclock.Now())
		select {
		case <-ctx.Done():
			return
		case <-time.After(next.Due - bootclock.Now()):
		}
		s.mu.Lock()
		s.relay = next.Relay
		s.mu.Unlock()
		response, err := s.poll(ctx, next, decider.Version())
		if err != nil {
			decider.HandleFailure(bootclock.Now())
			continue
		}
		changes, _ := decider.HandleResponse(bootclock.Now(), response)
		s.record(decider, changes)
		if response.Update != nil && response.Update.IsSnapshot() && s.snapshots != nil {
			s.snapshots.add()
			s.beforeAcknowledge()
			s.snapshots.inFlight.Add(-1)
		}
	}
}

func (s *subscriber) poll(ctx context.Context, next configuration.NextPoll, version configuration.Version) (*configuration.PollResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, next.Timeout)
	defer cancel()
	text, err := json.Marshal(configuration.Poll{
		Region: "west", Subscriber: s.name, Services: s.services, Version: version, WaitMS: int(next.Wait.Milliseconds()),
	})
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.relays[next.Relay]+configuration.PollPath, bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	response, err := s.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	decoded := &configuration.PollResponse{}
	return decoded, json.NewDecoder(response.Body).Decode(decoded)
}

func (s *subscriber) record(decider *configuration.Subscriber, changes configuration.Changes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if decider.Version() < s.version {
		s.decreases++
	}
	s.version = decider.Version()
	s.received += len(changes.Updated)
	for _, resource := range changes.Updated {
		s.applied[resource.Service] = string(resource.Settings)
	}
}

func (s *subscriber) hasVersion(version configuration.Version) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version == version
}

func (s *subscriber) currentRelay() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.relay
}

// subscriberGroup is several subscribers.
type subscriberGroup []*subscriber

// startSubscribers starts n subscribers of the service a with different names.
func startSubscribers(tb testing.TB, n int, relays ...string) subscriberGroup {
	tb.Helper()
	var all subscriberGroup
	for i := range n {
		all = append(all, startSubscriber(tb, fmt.Sprint("s", i), configuration.Subscription{"a"}, relays...))
	}
	return all
}

// awaitVersion waits until all have a version.
func (g subscriberGroup) awaitVersion(tb testing.TB, version configuration.Version) {
	tb.Helper()
	for _, s := range g {
		awaitCondition(tb, fmt.Sprintf("%s has %v", s.name, version), func() bool { return s.hasVersion(version) })
	}
}

// awaitNearRelay waits until all poll their nearest relay.
func (g subscriberGroup) awaitNearRelay(tb testing.TB) {
	tb.Helper()
	for _, s := range g {
		awaitCondition(tb, s.name+" polls the near relay", func() bool { return s.currentRelay() == 0 })
	}
}

// checkNoDecrease stops all and checks that no version decreased.
func (g subscriberGroup) checkNoDecrease(tb testing.TB) {
	tb.Helper()
	for _, s := range g {
		s.stopAndWait()
		if s.decreases > 0 {
			tb.Errorf("%s: the version decreased %d times", s.name, s.decreases)
		}
	}
}
