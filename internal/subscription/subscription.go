// Package subscription is a sidecar's control client: it follows the configuration of
// its services at the relays of its zone, over one connection, and hands what has
// changed to whoever applies it. Which relay is asked and when, package
// configuration decides.
package subscription

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"otterspring/internal/fleet/configuration"
)

// Settings are what a client is told at its start.
type Settings struct {
	Region     string   // name of the council whose configuration is followed
	Subscriber string   // name of this sidecar, its own within the region
	Relays     []string // addresses, the nearest first
	Services   configuration.Subscription
	Seed       uint64 // of all chance
	// Dial connects to a relay; nil for TCP. Experiments count bytes by it.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Apply takes what has changed and returns all resources that can't be used now, of
// this change and of earlier ones: they are reported to the relays until the next
// call. It is called by one goroutine, in the order of versions.
type Apply func(taken configuration.Changes, version configuration.Version) []configuration.Rejection

// Status is how a client stands.
type Status struct {
	Version configuration.Version // newest that was taken; 0 for none
	Age     time.Duration         // of what is held, if Known
	Known   bool                  // whether a relay has ever answered
	Relay   string                // that is asked now
}

// Client follows the configuration.
type Client struct {
	settings   Settings
	apply      Apply
	start      time.Time // origin of the subscriber's clock
	connection connection
	encoder    pollEncoder

	// Owned by Run.
	rejected []configuration.Rejection
	failing  []bool // by relay: its last poll brought nothing
	namedTo  string // address of the relay that the services were named to last

	mu         sync.Mutex // guards the following
	subscriber *configuration.Subscriber
	relay      int // that is asked now
}

// New returns a client that has not begun.
func New(settings Settings, apply Apply) *Client {
	return newClient(settings, configuration.DefaultSubscriberSettings(len(settings.Relays)), apply)
}

// newClient lets tests choose the times.
func newClient(settings Settings, times configuration.SubscriberSettings, apply Apply) *Client {
	rng := rand.New(rand.NewPCG(settings.Seed, 0))
	return &Client{
		settings:   settings,
		apply:      apply,
		start:      time.Now(),
		connection: connection{dial: settings.Dial},
		encoder:    newPollEncoder(settings),
		failing:    make([]bool, len(settings.Relays)),
		subscriber: configuration.NewSubscriber(times, rng),
	}
}

// Status returns how the client stands. It may be called at any time.
func (c *Client) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	age, known := c.subscriber.Age(c.now())
	return Status{Version: c.subscriber.Version(), Age: age, Known: known, Relay: c.settings.Relays[c.relay]}
}

// Run follows the configuration until ctx ends. It is called once.
func (c *Client) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, c.connection.close)
	defer stop()
	defer c.connection.close()
	for {
		next := c.next()
		if !sleep(ctx, next.Due-c.now()) {
			return
		}
		answer, err := c.poll(ctx, next)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			c.failed(next.Relay, err)
		default:
			c.answered(next.Relay, answer)
		}
	}
}

func (c *Client) now() time.Duration { return time.Since(c.start) }

func (c *Client) next() configuration.NextPoll {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := c.subscriber.NextPoll(c.now())
	c.relay = next.Relay
	return next
}

// poll makes one poll. A connection that turns out to be shut without a byte of the
// answer was closed while it was idle: the poll is made once more on a new one, and
// does not wait there.
func (c *Client) poll(ctx context.Context, next configuration.NextPoll) (*configuration.PollResponse, error) {
	address := c.settings.Relays[next.Relay]
	reused := c.connection.openTo(address) != nil
	answer, err := c.exchange(ctx, address, next.Wait, next.Timeout)
	if reused && errors.Is(err, errShut) && ctx.Err() == nil {
		return c.exchange(ctx, address, 0, next.Timeout-next.Wait)
	}
	return answer, err
}

// exchange sends a poll and returns its answer, or why that can't be used.
func (c *Client) exchange(ctx context.Context, address string, wait, timeout time.Duration) (*configuration.PollResponse, error) {
	deadline := time.Now().Add(timeout)
	answer, err := c.exchangeOnce(ctx, address, c.namedTo == address, wait, deadline)
	if err == nil && answer.ErrorCode == configuration.CodeUnknownServices {
		answer, err = c.exchangeOnce(ctx, address, false, wait, deadline)
	}
	if err != nil {
		c.namedTo = ""
		return nil, err
	}
	c.namedTo = address
	return answer, nil
}

// exchangeOnce sends one poll, with the digest of the services in their place where
// they were named before.
func (c *Client) exchangeOnce(ctx context.Context, address string, named bool, wait time.Duration, deadline time.Time) (*configuration.PollResponse, error) {
	request := c.encoder.encode(address, named, c.subscriber.Version(), c.rejected, wait)
	answer := &configuration.PollResponse{}
	if err := c.connection.exchange(ctx, address, request, deadline, answer); err != nil {
		return nil, err
	}
	return answer, checkRegion(answer, c.settings.Region)
}

// failed notes a poll without an answer that can be used.
func (c *Client) failed(relay int, err error) {
	c.connection.close() // after an answer that can't be used, too
	c.mu.Lock()
	c.subscriber.HandleFailure(c.now())
	c.mu.Unlock()
	c.noteFailure(relay, err.Error())
}

// ageMeasuredAt takes an answer, applies what it changes and notes what can't be used.
func (c *Client) answered(relay int, answer *configuration.PollResponse) {
	c.mu.Lock()
	taken, err := c.subscriber.HandleResponse(c.now(), answer)
	version := c.subscriber.Version()
	c.mu.Unlock()
	switch {
	case err != nil:
		c.noteFailure(relay, err.Error())
	case answer.ErrorCode == "" && answer.Update != nil:
		c.noteAnswer(relay)
	case answer.ErrorCode != configuration.CodeBusy:
		c.noteFailure(relay, fmt.Sprintf("found refusal %.80q (%.*s), wanted an update", answer.ErrorCode, configuration.MaxReasonBytes, answer.Reason))
	}
	if len(taken.Updated)+len(taken.Removed) > 0 {
		c.rejected = configuration.TruncateRejections(c.apply(taken, version)) // the next poll acknowledges
	}
}

// noteFailure logs that a relay has begun to fail, one line until it answers again.
// The log bounds how often one message is written (package logging).
func (c *Client) noteFailure(relay int, why string) {
	if c.failing[relay] {
		return
	}
	c.failing[relay] = true
	slog.Warn("configuration: a relay fails", "relay", c.settings.Relays[relay], "why", why)
}

// noteAnswer logs that a relay which failed answers again.
func (c *Client) noteAnswer(relay int) {
	if !c.failing[relay] {
		return
	}
	c.failing[relay] = false
	slog.Info("configuration: a relay answers again", "relay", c.settings.Relays[relay])
}

// sleep waits for d; false if ctx has ended.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
