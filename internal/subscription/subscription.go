// Package subscription is a sidecar's control client: it follows the configuration of
// its services at the relays of its zone, over one connection, and hands what has
// changed to whoever applies it. Which relay is asked and when, package
// configuration decides.
package subscription

import (
	"context"
	"net"
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

// Apply takes what has changed and returns the resources that can't be used. It is
// called by one goroutine, in the order of versions.
type Apply func(taken configuration.Taken, version configuration.Version) []configuration.Rejection

// Status is how a client stands.
type Status struct {
	Version configuration.Version // newest that was taken; 0 for none
	Age     time.Duration         // of what is held, if Known
	Known   bool                  // whether a relay has ever answered
	Relay   string                // that is asked now
}

// Client follows the configuration.
type Client struct {
	settings Settings
	apply    Apply
}

// New returns a client that has not begun.
func New(settings Settings, apply Apply) *Client {
	return &Client{settings: settings, apply: apply}
}
