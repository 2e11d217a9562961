package exchange

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"otterspring/internal/coap/message"
)

const (
	// tokenSize is the size of a request's token in bytes.
	tokenSize = 8
	// randomStream is the second seed of the PCG generators, "coap" in ASCII.
	randomStream = 0x636f6170
)

// ClientLimits limits the state of a Client.
type ClientLimits struct {
	MaxInFlight     int // requests without a response, including those queued because of NStart
	MaxDedupEntries int // separate responses recorded to detect duplicates
}

// clientExchange is the state of a request from Request until it ends.
type clientExchange struct {
	handle             uint64
	peer               Peer
	token              uint64
	messageID          uint16
	confirmable        bool
	singleTransmission bool // never retransmitted
	request            message.Message
	transmission       transmission
	state              clientState
	deadline           time.Duration // when the request times out
	timer              *timer[*clientExchange]
	sent               int    // datagrams with the request that have left this machine
	firstSent          uint64 // position of the first of them among all datagrams with requests
	lastSent           uint64 // position of the latest of them
	// lossDeadline is when the request fails because its server is lost, unless the server
	// acknowledges it. It is 0 while nothing indicates a loss.
	lossDeadline time.Duration
}

type clientState int

const (
	stateQueued       clientState = iota // not sent, because NStart interactions with the server are outstanding
	stateSent                            // sent, not acknowledged
	stateAcknowledged                    // acknowledged by an empty message; a separate response will follow
	stateDone
)

// tokenKey identifies the request to which a response belongs.
type tokenKey struct {
	peer  Peer
	token uint64
}

// Client sends requests. It is not safe for concurrent use, and the times passed to it
// must never decrease.
type Client struct {
	params         Params
	limits         ClientLimits
	rng            *rand.Rand
	byToken        map[tokenKey]*clientExchange
	byMessageID    map[messageKey]*clientExchange
	byHandle       map[uint64]*clientExchange
	peers          map[Peer]*peerState
	seenResponses  map[messageKey]bool
	responsesByAge []seenResponse // oldest first
	timers         timers[*clientExchange]
	requestsSent   uint64   // datagrams with requests that were sent so far
	actions        []Action // of the call in progress
	counts         Counts
}

// NewClient returns a Client without requests, or an error that wraps ErrParams or
// ErrLimits. All random numbers are derived from the seed, which must be secret if tokens
// must not be predictable.
func NewClient(params Params, limits ClientLimits, seed uint64) (*Client, error) {
	if err := params.validate(); err != nil {
		return nil, err
	}
	if limits.MaxInFlight < 1 || limits.MaxDedupEntries < 1 {
		return nil, fmt.Errorf("%w: found %+v, expected 1 or more of each", ErrLimits, limits)
	}
	return &Client{
		params: params, limits: limits, rng: rand.New(rand.NewPCG(seed, randomStream)),
		byToken: map[tokenKey]*clientExchange{}, byMessageID: map[messageKey]*clientExchange{},
		byHandle: map[uint64]*clientExchange{}, peers: map[Peer]*peerState{}, seenResponses: map[messageKey]bool{},
	}, nil
}

// Counts returns the totals so far.
func (c *Client) Counts() Counts { return c.counts }

// InFlight returns the number of requests without a response.
func (c *Client) InFlight() int { return len(c.byHandle) }

func (c *Client) send(peer Peer, datagram []byte) {
	c.counts.Sent++
	c.actions = append(c.actions, Action{Kind: Send, Peer: peer, Datagram: datagram})
}

// sendRequest transmits a request.
func (c *Client) sendRequest(exchange *clientExchange) {
	c.requestsSent++
	exchange.sent++
	exchange.lastSent = c.requestsSent
	if exchange.sent == 1 {
		exchange.firstSent = c.requestsSent
	}
	c.send(exchange.peer, exchange.transmission.datagram)
}

// takeActions returns the actions of the call in progress and drops the reference to the
// caller's slice.
func (c *Client) takeActions() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}

// Request sends a request to a server, or queues it if NStart interactions with the
// server are outstanding. The caller chooses the handle; Request sets message ID and
// token. With singleTransmission even a confirmable request is never retransmitted.
// Request returns false and sends nothing if a limit is reached or the handle is in use.
func (c *Client) Request(now time.Duration, handle uint64, peer Peer, request message.Message, singleTransmission bool, actions []Action) ([]Action, bool) {
	c.actions = actions
	if len(c.byHandle) >= c.limits.MaxInFlight || c.byHandle[handle] != nil {
		c.counts.CapacityRejections++
		return c.takeActions(), false
	}
	server := c.peerState(now, peer)
	if server == nil || !server.ids.available(now, c.params.ExchangeLifetime()) {
		c.counts.CapacityRejections++
		return c.takeActions(), false
	}
	exchange := &clientExchange{
		handle: handle, peer: peer, token: c.newToken(peer), request: request,
		confirmable: request.Type == message.Confirmable, singleTransmission: singleTransmission,
	}
	c.byToken[tokenKey{peer, exchange.token}], c.byHandle[handle] = exchange, exchange
	if server.outstanding >= c.params.NStart {
		server.queued = append(server.queued, exchange)
		exchange.deadline = now + c.params.MaxTransmitWait()
		c.schedule(exchange)
		return c.takeActions(), true
	}
	c.transmit(now, server, exchange)
	return c.takeActions(), true
}

// newToken returns a random token that no other request to the server uses.
func (c *Client) newToken(peer Peer) uint64 {
	token := c.rng.Uint64()
	for c.byToken[tokenKey{peer, token}] != nil {
		token = c.rng.Uint64()
	}
	return token
}

// HasCapacity reports whether Request would accept a request to the server.
func (c *Client) HasCapacity(now time.Duration, peer Peer) bool {
	server := c.peers[peer]
	return len(c.byHandle) < c.limits.MaxInFlight && (server == nil || server.ids.available(now, c.params.ExchangeLifetime()))
}

// transmit sends a request for the first time.
func (c *Client) transmit(now time.Duration, server *peerState, exchange *clientExchange) {
	id, ok := server.ids.next(now, c.params.ExchangeLifetime())
	if !ok {
		c.fail(now, exchange, NotSent)
		return
	}
	exchange.messageID = id
	server.ids.inUse[id] = true
	server.outstanding++
	exchange.state = stateSent
	c.byMessageID[messageKey{exchange.peer, id}] = exchange
	exchange.request.ID, exchange.request.Token = id, binary.BigEndian.AppendUint64(nil, exchange.token)
	datagram, err := exchange.request.Append(nil)
	if err != nil {
		c.fail(now, exchange, NotSent)
		return
	}
	exchange.transmission = c.params.newTransmission(c.rng, datagram, now)
	exchange.deadline = now + c.params.MaxTransmitWait()
	if exchange.singleTransmission || !exchange.confirmable {
		exchange.transmission.count = c.params.MaxRetransmit + 1
		exchange.transmission.deadline = exchange.deadline
	}
	c.schedule(exchange)
	c.sendRequest(exchange)
}

// schedule sets the timer of a request to its next retransmission or its failure.
func (c *Client) schedule(exchange *clientExchange) {
	deadline := exchange.deadline
	if exchange.state == stateSent {
		deadline = min(deadline, exchange.transmission.deadline)
		if exchange.lossDeadline > 0 {
			deadline = min(deadline, exchange.lossDeadline)
		}
	}
	c.timers.set(&exchange.timer, exchange, deadline)
}

// fail ends a request without a response.
func (c *Client) fail(now time.Duration, exchange *clientExchange, reason FailureReason) {
	acknowledged := exchange.state == stateAcknowledged
	c.finish(now, exchange)
	c.actions = append(c.actions, Action{
		Kind: Failed, Peer: exchange.peer, Handle: exchange.handle, Reason: reason,
		Transmissions: exchange.sent, Acknowledged: acknowledged,
	})
}

// finish removes a request and sends queued requests to its server.
func (c *Client) finish(now time.Duration, exchange *clientExchange) {
	server := c.peers[exchange.peer]
	switch exchange.state {
	case stateQueued:
		server.queued = slices.DeleteFunc(server.queued, func(other *clientExchange) bool { return other == exchange })
	case stateSent:
		server.outstanding--
	}
	if exchange.state != stateQueued {
		delete(c.byMessageID, messageKey{exchange.peer, exchange.messageID})
		delete(server.ids.inUse, exchange.messageID)
	}
	exchange.state = stateDone
	c.timers.cancel(&exchange.timer)
	delete(c.byToken, tokenKey{exchange.peer, exchange.token})
	delete(c.byHandle, exchange.handle)
	c.sendQueued(now, server)
}

// sendQueued sends the queued requests to a server, as far as NStart permits.
func (c *Client) sendQueued(now time.Duration, server *peerState) {
	for server.outstanding < c.params.NStart && len(server.queued) > 0 {
		exchange := server.queued[0]
		server.queued = server.queued[1:]
		c.transmit(now, server, exchange)
	}
}

// Cancel ends a request without a Response or Failed action and returns how often it was
// sent. A response that arrives later is rejected.
func (c *Client) Cancel(now time.Duration, handle uint64, actions []Action) ([]Action, int) {
	c.actions = actions
	exchange := c.byHandle[handle]
	if exchange == nil {
		return c.takeActions(), 0
	}
	transmissions := exchange.sent
	c.finish(now, exchange)
	return c.takeActions(), transmissions
}

// Receive processes a message that was decoded without an error. It does not retain the
// message.
func (c *Client) Receive(now time.Duration, peer Peer, received *message.Message, actions []Action) []Action {
	c.actions = actions
	c.counts.Received++
	exchange := c.byMessageID[messageKey{peer, received.ID}]
	switch {
	case received.Type == message.Reset:
		c.counts.Resets++
		if exchange != nil {
			c.fail(now, exchange, Rejected)
		} else {
			c.counts.Dropped++
		}
	case received.Type == message.Acknowledgement && received.Code == message.Empty:
		if exchange != nil && exchange.state == stateSent {
			exchange.state = stateAcknowledged
			c.schedule(exchange)
			server := c.peers[peer]
			server.outstanding--
			c.sendQueued(now, server)
		}
	case received.Code.IsResponse():
		c.handleResponse(now, peer, received, exchange)
	case received.Type == message.Confirmable:
		// An empty message (CoAP ping, section 4.3) or a request, which a client rejects.
		c.send(peer, emptyMessage(message.Reset, received.ID))
	default:
		c.counts.Dropped++
	}
	return c.takeActions()
}

// handleResponse processes a response. byID is the request with the message ID of the
// response, or nil.
func (c *Client) handleResponse(now time.Duration, peer Peer, response *message.Message, byID *clientExchange) {
	var exchange *clientExchange
	if len(response.Token) == tokenSize {
		exchange = c.byToken[tokenKey{peer, binary.BigEndian.Uint64(response.Token)}]
	}
	if exchange != nil && exchange.state == stateQueued {
		exchange = nil // not sent yet: the token is forged or from an earlier process
	}
	if response.Type != message.Acknowledgement {
		if !c.acceptSeparate(now, peer, response, exchange != nil) {
			return
		}
	} else if exchange == nil || exchange != byID {
		c.counts.Dropped++ // both message ID and token must match (section 5.3.2)
		return
	}
	transmissions, acknowledged := exchange.sent, exchange.state == stateAcknowledged
	copied := clone(response)
	c.finish(now, exchange)
	c.actions = append(c.actions, Action{
		Kind: Response, Peer: peer, Handle: exchange.handle, Message: copied,
		Transmissions: transmissions, Acknowledged: acknowledged,
	})
}

// Next returns the time at which Tick is due. It returns false if nothing is scheduled.
func (c *Client) Next() (time.Duration, bool) { return c.timers.earliest() }

// Tick processes the retransmissions and failures that are due.
func (c *Client) Tick(now time.Duration, actions []Action) []Action {
	c.actions = actions
	for len(c.timers) > 0 && c.timers[0].deadline <= now {
		exchange := c.timers[0].value
		switch {
		case exchange.deadline <= now:
			c.fail(now, exchange, TimedOut)
			continue
		case exchange.isLost(now):
			c.fail(now, exchange, PeerLost)
			continue
		case exchange.transmission.advance(&c.params):
			c.counts.Retransmissions++
			c.sendRequest(exchange)
		default:
			// All retransmissions are used up; wait until the request times out.
			exchange.transmission.deadline = exchange.deadline
		}
		c.schedule(exchange)
	}
	return c.takeActions()
}
