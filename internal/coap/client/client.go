// Package client implements the client side of CoAP requests (RFC 7252, 7959, 9175). It
// encodes requests as datagrams and maps each response, or the lack of one, to an outcome
// that tells whether the server may have executed the request.
//
// The package is a pure state machine: it does no I/O, reads no clock and starts no
// goroutines. docs/design/coap.md lists the outcomes in a table.
package client

import (
	"errors"
	"net/netip"
	"time"

	"otterspring/internal/coap/exchange"
	"otterspring/internal/coap/message"
)

// Outcome is the result of an attempt.
type Outcome int

// The outcomes. Succeeded means that the request was executed. NotExecuted, Unreachable and
// NotSent mean that the request was not executed. After any other outcome, the request may or
// may not have been executed.
const (
	Succeeded     Outcome = iota
	NotExecuted           // the server confirmed this, or never received the complete body
	Unreachable           // the only datagram was refused or answered with a Reset, or not sent because the server refused an earlier one
	ErrorResponse         // the response is an error without OptNotExecuted, or malformed
	Aborted               // a Reset arrived after the request may have been executed
	TimedOut              // no response before the protocol's timeout
	NotSent               // this machine could not send the request
	ServerLost            // a later datagram was refused: the process that may have executed the request has ended
	OutcomeCount          // number of outcomes
)

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of actions.
const (
	Send   ActionKind = iota // send Datagram to the server
	Commit                   // the server may execute the request of Handle after the next Send in the list
	Finish                   // the attempt of Handle ended with Outcome
)

// Action is an instruction to the caller. Actions are carried out in the order returned.
type Action struct {
	Kind          ActionKind
	Handle        uint64
	Datagram      []byte
	Outcome       Outcome
	Body          []byte // only with Succeeded
	ContentFormat int    // only with Succeeded; -1 for none
}

// Settings configure a Client.
type Settings struct {
	Params      exchange.Params
	Limits      exchange.ClientLimits
	MaxBodySize int // largest response body in bytes
	BlockSize   int // block size in bytes: a power of two from 16 to 1,024
	// EchoLifetime is how long an Echo value of the server is reused. The protocol does
	// not tell how long a value stays fresh. A request with a stale value fails, because the
	// server may have executed the request before a restart. Omitting the value costs only
	// one more round trip.
	EchoLifetime time.Duration
	Seed         uint64 // for the generation of message IDs and tokens
}

// minBlockSize is the smallest block size in bytes (RFC 7959, section 2.2).
const minBlockSize = 16

var errSettings = errors.New("coap: client settings: MaxBodySize and EchoLifetime must be above 0, BlockSize from 16 to 1024")

// echoPolicy is how the server treats non-idempotent requests without an Echo option.
type echoPolicy int

const (
	echoPolicyUnknown echoPolicy = iota
	echoRequired                 // responds with 4.01 and an Echo value, without executing such requests
	echoOptional                 // executes such requests
)

// Client is the state machine for requests to one incarnation of a server at one address.
// It is not safe for concurrent use, and the times passed to it must not decrease.
type Client struct {
	settings     Settings
	peer         netip.AddrPort
	exchanges    *exchange.Client
	byHandle     map[uint64]*attempt
	byExchange   map[uint64]*attempt
	lastExchange uint64
	echoPolicy   echoPolicy
	echo         []byte // latest Echo value of the server
	echoReceived time.Duration
	actions      []Action
}

// New returns a Client for the server at peer.
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

// Counts returns the counters of the message layer.
func (c *Client) Counts() exchange.Counts { return c.exchanges.Counts() }

// HasCapacity reports whether a message ID is free, so that a request can be sent now.
func (c *Client) HasCapacity(now time.Duration) bool { return c.exchanges.HasCapacity(now, c.peer) }

// InFlight returns the number of attempts that have not ended.
func (c *Client) InFlight() int { return len(c.byHandle) }

func (c *Client) takeActions() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}

// Start starts an attempt, which the caller identifies by handle, and appends the resulting
// actions. Every attempt ends with a Finish action unless it is canceled.
func (c *Client) Start(now time.Duration, handle uint64, request Request, actions []Action) []Action {
	c.actions = actions
	att := newAttempt(handle, request, &c.settings)
	c.byHandle[handle] = att
	c.sendNext(now, att)
	return c.takeActions()
}

// Cancel abandons an attempt, which then gets no Finish action.
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

// Receive handles a datagram from the server and appends the resulting actions. It does not
// retain the datagram.
func (c *Client) Receive(now time.Duration, datagram []byte, actions []Action) []Action {
	c.actions = actions
	var msg message.Message
	if err := message.Decode(datagram, &msg); err != nil {
		return c.takeActions() // ignored; malformed messages of a server need no Reset
	}
	c.execute(now, c.exchanges.Receive(now, c.peer, &msg, nil))
	return c.takeActions()
}

// PeerUnreachable handles an ICMP message by which the server's host refuses a datagram that
// begins with quoted. quoted may be empty; see exchange.Client.PeerUnreachable.
func (c *Client) PeerUnreachable(now time.Duration, quoted []byte, actions []Action) []Action {
	c.actions = actions
	c.execute(now, c.exchanges.PeerUnreachable(now, c.peer, quoted, nil))
	return c.takeActions()
}

// SendFailed handles the failure to send the datagram of a Send action. localFault is true if
// the cause is this machine and not the server or the route to it.
func (c *Client) SendFailed(now time.Duration, datagram []byte, localFault bool, actions []Action) []Action {
	c.actions = actions
	c.execute(now, c.exchanges.SendFailed(now, c.peer, datagram, localFault, nil))
	return c.takeActions()
}

// Next returns the time at which Tick must be called. It returns false if nothing is
// scheduled.
func (c *Client) Next() (time.Duration, bool) { return c.exchanges.Next() }

// Tick runs the timers that have expired and appends the resulting actions.
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
