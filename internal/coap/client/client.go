// Package client is the client side of CoAP requests (RFC 7252, 7959, 9175): it turns
// requests into datagrams, and responses or their absence into an outcome that says whether
// the request may have been executed. It does no I/O, has no clock and starts no goroutine.
// docs/design/coap.md has the outcomes as a table.
package client

import (
	"errors"
	"net/netip"
	"time"

	"otterspring/internal/coap/exchange"
	"otterspring/internal/coap/message"
)

// Outcome is how an attempt ended.
type Outcome int

// The outcomes. With all but Succeeded, NotExecuted and Unreachable the request may or may
// not have been executed.
const (
	Succeeded     Outcome = iota
	NotExecuted           // the server has confirmed it, or never had the complete body
	Unreachable           // provably no server has accepted it
	ErrorResponse         // an error that promises nothing, or a malformed response
	Aborted               // rejected, or refused by the network, after it may have been executed
	TimedOut              // no response within the protocol's time
)

// ActionKind says what an action is.
type ActionKind int

// The kinds of action.
const (
	Send   ActionKind = iota // send Datagram to the server
	Commit                   // the next Send in the list may have Handle executed
	Finish                   // Handle ended with Outcome
)

// Action is one thing for the caller to do, in the order given.
type Action struct {
	Kind          ActionKind
	Handle        uint64
	Datagram      []byte
	Outcome       Outcome
	Body          []byte // with Succeeded
	ContentFormat int    // with Succeeded; -1 for none
}

// Settings are a client's bounds.
type Settings struct {
	Params      exchange.Params
	Limits      exchange.ClientLimits
	MaxBodySize int // bytes of a response's body
	BlockSize   int // bytes of a block: a power of two of 16 to 1,024
	// EchoLifetime is how long a server's Echo value is used. A server does not say how
	// long a value is fresh; a request with a stale one fails, since it may have been
	// executed before a restart, while one without costs only a round trip.
	EchoLifetime time.Duration
	Seed         uint64 // of message IDs and tokens
}

// minBlockSize is the smallest size of a block in bytes (RFC 7959, section 2.2).
const minBlockSize = 16

var errSettings = errors.New("coap: client settings: wanted MaxBodySize and EchoLifetime above 0, BlockSize of 16 to 1024")

// echoPolicy is how a server treats non-idempotent requests without an Echo.
type echoPolicy int

const (
	echoPolicyUnknown echoPolicy = iota
	echoRequired                 // it does not execute them, but answers 4.01 with a value
	echoOptional                 // it executes them
)

// Client is the state machine of the requests to one incarnation of a server at one
// address. It must not be used concurrently, and the times given to it must not decrease.
type Client struct {
	settings     Settings
	peer         netip.AddrPort
	exchanges    *exchange.Client
	byHandle     map[uint64]*attempt
	byExchange   map[uint64]*attempt
	lastExchange uint64
	echoPolicy   echoPolicy
	echo         []byte // the server's last Echo value
	echoReceived time.Duration
	actions      []Action
}

// New returns a client without requests.
func New(settings Settings, peer netip.AddrPort) (*Client, error) {
	exchanges, err := exchange.NewClient(settings.Params, settings.Limits, settings.Seed)
	if err != nil {
		return nil, err
	}
	if settings.MaxBodySize < 1 || settings.BlockSize < minBlockSize || settings.BlockSize > message.MaxBlockSize || settings.EchoLifetime <= 0 {
		return nil, errSettings
	}
	return &Client{settings: settings, peer: peer, exchanges: exchanges, byHandle: map[uint64]*attempt{}, byExchange: map[uint64]*attempt{}}, nil
}

// Counts returns the counts of the message layer.
func (c *Client) Counts() exchange.Counts { return c.exchanges.Counts() }

// HasCapacity reports whether a request could be sent now: whether a message ID is free.
func (c *Client) HasCapacity(now time.Duration) bool { return c.exchanges.HasCapacity(now, c.peer) }

// InFlight returns how many attempts have not ended.
func (c *Client) InFlight() int { return len(c.byHandle) }

func (c *Client) takeActions() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}

// Start starts an attempt, named by the caller's handle, and appends what it causes to
// actions. It ends with a Finish action, unless it is canceled.
func (c *Client) Start(now time.Duration, handle uint64, request Request, actions []Action) []Action {
	c.actions = actions
	att := newAttempt(handle, request, &c.settings)
	c.byHandle[handle] = att
	c.sendNext(now, att)
	return c.takeActions()
}

// Cancel abandons an attempt, which gets no Finish action then.
func (c *Client) Cancel(now time.Duration, handle uint64, actions []Action) []Action {
	c.actions = actions
	if att := c.byHandle[handle]; att != nil {
		delete(c.byExchange, att.exchange)
		delete(c.byHandle, handle)
		canceled, _ := c.exchanges.Cancel(now, att.exchange, nil)
		c.execute(now, canceled)
	}
	return c.takeActions()
}

// Receive handles a datagram from the server. It keeps no reference to the datagram.
func (c *Client) Receive(now time.Duration, datagram []byte, actions []Action) []Action {
	c.actions = actions
	var msg message.Message
	if err := message.Decode(datagram, &msg); err != nil {
		return c.takeActions() // ignored: nothing that a server sends needs a Reset
	}
	c.execute(now, c.exchanges.Receive(now, c.peer, &msg, nil))
	return c.takeActions()
}

// PeerUnreachable notes that the network has refused a datagram, as an ICMP error says.
func (c *Client) PeerUnreachable(now time.Duration, actions []Action) []Action {
	c.actions = actions
	c.execute(now, c.exchanges.PeerUnreachable(now, c.peer, nil))
	return c.takeActions()
}

// Next returns when Tick has something to do; false if there is nothing.
func (c *Client) Next() (time.Duration, bool) { return c.exchanges.Next() }

// Tick does what is due by now, and appends what it causes to actions.
func (c *Client) Tick(now time.Duration, actions []Action) []Action {
	c.actions = actions
	c.execute(now, c.exchanges.Tick(now, nil))
	return c.takeActions()
}

// execute carries out the actions of the message layer.
func (c *Client) execute(now time.Duration, actions []exchange.Action) {
	for i := range actions {
		action := &actions[i]
		if action.Kind == exchange.Send {
			c.actions = append(c.actions, Action{Kind: Send, Datagram: action.Datagram})
			continue
		}
		att := c.byExchange[action.Handle]
		if att == nil {
			continue
		}
		delete(c.byExchange, action.Handle)
		if action.Kind == exchange.Failed {
			c.handleFailure(att, action)
		} else {
			c.handleResponse(now, att, &action.Message)
		}
	}
}
