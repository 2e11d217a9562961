// Package configclient implements the configuration client of a sidecar. It subscribes to the
// configuration of the sidecar's services by polling the relays of its zone, over one
// connection at a time, and passes the changes to the sidecar. Package configuration decides
// which relay is polled and when.
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
	Region     string   // name of the coordination cluster that owns the configuration
	Subscriber string   // name of this sidecar, unique within the region
	Relays     []string // addresses of the relays, nearest first; at least one
	Services   configuration.Subscription
	Seed       uint64 // seed of the random number generator
	// Dial connects to a relay. If it is nil, the client uses TCP. Experiments set Dial to
	// count bytes.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// ApplyFunc applies changes. It returns a rejection for each resource that currently cannot be
// used, whether the resource is in these changes or in earlier changes. The client reports
// the rejections to the relays until the next call. The goroutine of Run calls ApplyFunc in
// the order of the versions.
type ApplyFunc func(changes configuration.Changes, version configuration.Version) []configuration.Rejection

// Status is the state of a client.
type Status struct {
	Version configuration.Version // newest applied version; 0 for none
	Age     time.Duration         // upper bound for the age of the configuration; valid if Known
	Known   bool                  // whether a relay has ever responded with an update
	Relay   string                // address of the current relay
}

// Client polls the relays for the configuration. Run sends the polls in the goroutine of its
// caller. Status is safe for concurrent use.
type Client struct {
	settings   Settings
	apply      ApplyFunc
	start      time.Time // time at which the client was created; subscriber gets all times as durations since start
	connection connection
	encoder    pollEncoder

	// Only the goroutine of Run uses the following fields.
	rejected []configuration.Rejection // rejections that the polls report
	failing  []bool                    // for each relay: whether it has failed and not yet recovered
	// servicesSentTo is the address of the relay that has received the services. Polls to this
	// relay contain the digest of the services instead. servicesSentTo is empty after a
	// failed poll.
	servicesSentTo string

	mu         sync.Mutex // guards the following
	subscriber *configuration.Subscriber
	relay      int // index of the current relay
}

// New returns a client. The client is idle until Run is called.
func New(settings Settings, apply ApplyFunc) *Client {
	return newClient(settings, configuration.DefaultSubscriberSettings(len(settings.Relays)), apply)
}

// newClient is New with explicit subscriber settings, for tests.
func newClient(settings Settings, subscriberSettings configuration.SubscriberSettings, apply ApplyFunc) *Client {
	rng := rand.New(rand.NewPCG(settings.Seed, 0))
	return &Client{
		settings:   settings,
		apply:      apply,
		start:      time.Now(),
		connection: connection{dial: settings.Dial},
		encoder:    newPollEncoder(settings),
		failing:    make([]bool, len(settings.Relays)),
		subscriber: configuration.NewSubscriber(subscriberSettings, rng),
	}
}

// Status returns the state of the client.
func (c *Client) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	age, known := c.subscriber.Age(c.now())
	return Status{Version: c.subscriber.Version(), Age: age, Known: known, Relay: c.settings.Relays[c.relay]}
}

// Run polls the relays until ctx is canceled. It must be called at most once.
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

// poll makes one poll. If a reused connection is closed before the first byte of the response
// arrives, the relay has probably closed the connection while it was idle. poll then retries
// once on a new connection, and the retry does not wait for an update.
func (c *Client) poll(ctx context.Context, next configuration.NextPoll) (*configuration.PollResponse, error) {
	address := c.settings.Relays[next.Relay]
	reused := c.connection.currentConn(address) != nil
	response, err := c.exchange(ctx, address, next.Wait, next.Timeout)
	if reused && errors.Is(err, errConnectionClosed) && ctx.Err() == nil {
		return c.exchange(ctx, address, 0, next.Timeout-next.Wait)
	}
	return response, err
}

// exchange sends a poll and returns its response. If the relay does not know the digest of
// the services, exchange repeats the poll with the list of services.
func (c *Client) exchange(ctx context.Context, address string, wait, timeout time.Duration) (*configuration.PollResponse, error) {
	deadline := time.Now().Add(timeout)
	response, err := c.exchangeOnce(ctx, address, c.servicesSentTo == address, wait, deadline)
	if err == nil && response.ErrorCode == configuration.CodeUnknownServices {
		response, err = c.exchangeOnce(ctx, address, false, wait, deadline)
	}
	if err != nil {
		c.servicesSentTo = ""
		return nil, err
	}
	c.servicesSentTo = address
	return response, nil
}

// exchangeOnce sends one poll and returns its response. If useDigest is set, the poll
// contains the digest of the services instead of the list of services.
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

// handleFailure handles a poll without a usable response.
func (c *Client) handleFailure(relay int, err error) {
	c.connection.close() // the connection may still be open after an invalid response
	c.mu.Lock()
	c.subscriber.HandleFailure(c.now())
	c.mu.Unlock()
	c.logFailure(relay, err)
}

// handleResponse handles a response and applies its changes.
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
		c.rejected = configuration.TruncateRejections(c.apply(changes, version)) // the next poll acknowledges the version
	}
}

// logFailure logs the first of consecutive failures of a relay. Package logging limits the
// rate of lines with the same message.
func (c *Client) logFailure(relay int, err error) {
	if c.failing[relay] {
		return
	}
	c.failing[relay] = true
	slog.Warn("configuration relay failed", "relay", c.settings.Relays[relay], "error", err)
}

// logRecovery logs that a failing relay responds again.
func (c *Client) logRecovery(relay int) {
	if !c.failing[relay] {
		return
	}
	c.failing[relay] = false
	slog.Info("configuration relay recovered", "relay", c.settings.Relays[relay])
}

// sleep waits for a duration. It returns false if ctx is canceled first.
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
