// Package configclient is a sidecar's configuration client: it follows the configuration
// of its services at the relays of its zone, over one connection, and passes the changes
// to the sidecar. Package configuration decides which relay is polled and when.
package configclient

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"otterspring/internal/fleet/configuration"
)

// Settings are the settings of a client.
type Settings struct {
	Region     string   // name of the coordination cluster whose configuration is followed
	Subscriber string   // name of this sidecar, unique within the region
	Relays     []string // addresses, the nearest first; at least one
	Services   configuration.Subscription
	Seed       uint64 // of all randomness
	// Dial connects to a relay; nil for TCP. Experiments count bytes with it.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// ApplyFunc applies changes and returns all resources that can't be used now, of these
// changes and of earlier ones: they are reported to the relays until the next call. It is
// called by Run's goroutine, in the order of versions.
type ApplyFunc func(changes configuration.Changes, version configuration.Version) []configuration.Rejection

// Status is the state of a client.
type Status struct {
	Version configuration.Version // newest that was applied; 0 for none
	Age     time.Duration         // upper bound of the configuration's age, if Known
	Known   bool                  // whether a relay has ever responded with an update
	Relay   string                // address of the current one
}

// Client follows the configuration. Run does so in its caller's goroutine; Status may be
// called by any.
type Client struct {
	settings   Settings
	apply      ApplyFunc
	start      time.Time // origin of the subscriber's clock
	connection connection
	encoder    pollEncoder

	// Owned by Run.
	rejected        []configuration.Rejection
	failing         []bool // by relay: its last poll failed
	servicesNamedTo string // address of the relay that was last sent the services

	mu         sync.Mutex // guards the following
	subscriber *configuration.Subscriber
	relay      int // index of the current one
}

// New returns a client. It does nothing before Run.
func New(settings Settings, apply ApplyFunc) *Client {
	return newClient(settings, configuration.DefaultSubscriberSettings(len(settings.Relays)), apply)
}

// newClient is New with other times, for tests.
func newClient(settings Settings, times configuration.SubscriberSettings, apply ApplyFunc) *Client {
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

// Status returns the state of the client.
func (c *Client) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	age, known := c.subscriber.Age(c.now())
	return Status{Version: c.subscriber.Version(), Age: age, Known: known, Relay: c.settings.Relays[c.relay]}
}

// Run follows the configuration until ctx ends. It must be called once at most.
func (c *Client) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, c.connection.close)
	defer stop()
	defer c.connection.close()
	for {
		next := c.nextPoll()
		if !sleep(ctx, next.Due-c.now()) {
			return
		}
		response, err := c.poll(ctx, next)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			c.handleFailure(next.Relay, err)
		default:
			c.handleResponse(next.Relay, response)
		}
	}
}

func (c *Client) now() time.Duration { return time.Since(c.start) }

func (c *Client) nextPoll() configuration.NextPoll {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := c.subscriber.NextPoll(c.now())
	c.relay = next.Relay
	return next
}

// poll makes one poll. If a reused connection is closed without a byte of the response,
// it was closed while it was idle: the poll is retried once on a new one, without a wait.
func (c *Client) poll(ctx context.Context, next configuration.NextPoll) (*configuration.PollResponse, error) {
	address := c.settings.Relays[next.Relay]
	reused := c.connection.openTo(address) != nil
	response, err := c.exchange(ctx, address, next.Wait, next.Timeout)
	if reused && errors.Is(err, errConnectionClosed) && ctx.Err() == nil {
		return c.exchange(ctx, address, 0, next.Timeout-next.Wait)
	}
	return response, err
}

// exchange sends a poll and returns its response. It repeats the poll with the services
// if the relay does not know their digest.
func (c *Client) exchange(ctx context.Context, address string, wait, timeout time.Duration) (*configuration.PollResponse, error) {
	deadline := time.Now().Add(timeout)
	response, err := c.exchangeOnce(ctx, address, c.servicesNamedTo == address, wait, deadline)
	if err == nil && response.ErrorCode == configuration.CodeUnknownServices {
		response, err = c.exchangeOnce(ctx, address, false, wait, deadline)
	}
	if err != nil {
		c.servicesNamedTo = ""
		return nil, err
	}
	c.servicesNamedTo = address
	return response, nil
}

// exchangeOnce sends one poll, with the digest of the services instead of the services
// if useDigest is set.
func (c *Client) exchangeOnce(ctx context.Context, address string, useDigest bool, wait time.Duration, deadline time.Time) (*configuration.PollResponse, error) {
	request := c.encoder.encode(address, useDigest, c.subscriber.Version(), c.rejected, wait)
	response := &configuration.PollResponse{}
	if err := c.connection.exchange(ctx, address, request, deadline, response); err != nil {
		return nil, err
	}
	if response.Region != c.settings.Region {
		return nil, &wrongRegionError{got: response.Region, want: c.settings.Region}
	}
	return response, nil
}

// handleFailure processes a poll without a usable response.
func (c *Client) handleFailure(relay int, err error) {
	c.connection.close() // it may still be open after an invalid response
	c.mu.Lock()
	c.subscriber.HandleFailure(c.now())
	c.mu.Unlock()
	c.logFailure(relay, err)
}

// handleResponse processes a response and applies its changes.
func (c *Client) handleResponse(relay int, response *configuration.PollResponse) {
	c.mu.Lock()
	changes, err := c.subscriber.HandleResponse(c.now(), response)
	version := c.subscriber.Version()
	c.mu.Unlock()
	switch {
	case err != nil:
		c.logFailure(relay, err)
	case response.ErrorCode == "" && response.Update != nil:
		c.logRecovery(relay)
	case response.ErrorCode != configuration.CodeBusy:
		c.logFailure(relay, &noUpdateError{code: response.ErrorCode, reason: response.Reason})
	}
	if len(changes.Updated)+len(changes.Removed) > 0 {
		c.rejected = configuration.TruncateRejections(c.apply(changes, version)) // the next poll acknowledges
	}
}

// logFailure logs that a relay has started to fail: one line until it responds again.
// Package logging limits the rate of lines with one message.
func (c *Client) logFailure(relay int, err error) {
	if c.failing[relay] {
		return
	}
	c.failing[relay] = true
	slog.Warn("configuration relay failed", "relay", c.settings.Relays[relay], "error", err)
}

// logRecovery logs that a relay which had failed responds again.
func (c *Client) logRecovery(relay int) {
	if !c.failing[relay] {
		return
	}
	c.failing[relay] = false
	slog.Info("configuration relay recovered", "relay", c.settings.Relays[relay])
}

// sleep waits for a duration; it returns false if ctx has ended.
func sleep(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
