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
	// maxPeers bounds the servers whose message IDs are tracked.
	maxPeers = 4096
	// tokenSize is the size in bytes of a request's token.
	tokenSize = 8
	// randomStream is the second half of the seeds of all random numbers.
	randomStream = 0x636f6170
)

// ClientLimits bound the state of a Client.
type ClientLimits struct {
	MaxInFlight     int // requests without a response, those waiting for NStart included
	MaxDedupEntries int // separate responses that are remembered to recognize duplicates
}

// clientExchange is a request until it ends.
type clientExchange struct {
	handle             uint64
	peer               Peer
	token              uint64
	messageID          uint16
	confirmable        bool
	singleTransmission bool // it is never retransmitted
	request            message.Message
	transmission       transmission
	state              clientState
	deadline           time.Duration // the request times out then
	timer              *timer[*clientExchange]
}

type clientState int

const (
	stateQueued       clientState = iota // NStart other requests to the server are outstanding
	stateSent                            // not acknowledged
	stateAcknowledged                    // with an empty message: a separate response will follow
	stateDone
)

// transmissions returns how often the request was transmitted.
func (x *clientExchange) transmissions() int {
	if (x.singleTransmission || !x.confirmable) && x.transmission.count > 0 {
		return 1
	}
	return x.transmission.count
}

// peerState is the state of a Client for one server.
type peerState struct {
	outstanding int // interactions (RFC 7252, section 4.7)
	waiting     []*clientExchange
	ids         messageIDs
}

// removable reports whether the state is of no use any more.
func (p *peerState) removable(now, lifetime time.Duration) bool {
	return p.outstanding == 0 && len(p.ids.inUse) == 0 && len(p.waiting) == 0 && now-p.ids.lastUsed >= lifetime
}

// tokenKey identifies the request of a response.
type tokenKey struct {
	peer  Peer
	token uint64
}

// receivedResponse is a separate response: a duplicate of it is acknowledged and not
// returned again.
type receivedResponse struct {
	messageKey
	at time.Duration
}

// Client sends requests. It is not safe for concurrent use, and the time must not go
// back.
type Client struct {
	params        Params
	limits        ClientLimits
	rng           *rand.Rand
	byToken       map[tokenKey]*clientExchange
	byMessageID   map[messageKey]*clientExchange
	byHandle      map[uint64]*clientExchange
	peers         map[Peer]*peerState
	responses     map[messageKey]bool
	responseOrder []receivedResponse // oldest first
	timers        timers[*clientExchange]
	actions       []Action // of the call in progress
	counts        Counts
}

// NewClient returns a Client without requests, or an error that is ErrParams or
// ErrLimits. All random numbers derive from the seed, which must be secret where tokens
// must not be guessed.
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
		byHandle: map[uint64]*clientExchange{}, peers: map[Peer]*peerState{}, responses: map[messageKey]bool{},
	}, nil
}

// Counts returns the totals so far.
func (c *Client) Counts() Counts { return c.counts }

// InFlight returns how many requests have no response yet.
func (c *Client) InFlight() int { return len(c.byHandle) }

func (c *Client) send(peer Peer, datagram []byte) {
	c.counts.Sent++
	c.actions = append(c.actions, Action{Kind: Send, Peer: peer, Datagram: datagram})
}

// endCall returns the actions of the call, and drops the reference to the caller's slice.
func (c *Client) endCall() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}

// Request sends a request to a server, or queues it where NStart others are outstanding.
// The caller chooses the handle; message ID and token are filled in. A request with
// singleTransmission is never retransmitted, though it may be confirmable. It returns
// false, and sends nothing, where a limit is reached or the handle is in use.
func (c *Client) Request(now time.Duration, handle uint64, peer Peer, request message.Message, singleTransmission bool, actions []Action) ([]Action, bool) {
	c.actions = actions
	if len(c.byHandle) >= c.limits.MaxInFlight || c.byHandle[handle] != nil {
		c.counts.CapacityRejections++
		return c.endCall(), false
	}
	server := c.peerState(now, peer)
	if server == nil || !server.ids.available(now, c.params.ExchangeLifetime()) {
		c.counts.CapacityRejections++
		return c.endCall(), false
	}
	exchange := &clientExchange{
		handle: handle, peer: peer, token: c.newToken(peer), request: request,
		confirmable: request.Type == message.Confirmable, singleTransmission: singleTransmission,
	}
	c.byToken[tokenKey{peer, exchange.token}], c.byHandle[handle] = exchange, exchange
	if server.outstanding >= c.params.NStart {
		server.waiting = append(server.waiting, exchange)
		exchange.deadline = now + c.params.MaxTransmitWait()
		c.schedule(exchange)
		return c.endCall(), true
	}
	c.transmit(now, server, exchange)
	return c.endCall(), true
}

// newToken returns a random token that no request to the server has.
func (c *Client) newToken(peer Peer) uint64 {
	token := c.rng.Uint64()
	for c.byToken[tokenKey{peer, token}] != nil {
		token = c.rng.Uint64()
	}
	return token
}

// peerState returns the state for a server, which remains until all message IDs that it
// was sent may be reused; nil where there are too many.
func (c *Client) peerState(now time.Duration, peer Peer) *peerState {
	if known := c.peers[peer]; known != nil {
		return known
	}
	if len(c.peers) >= maxPeers {
		for other, state := range c.peers {
			if state.removable(now, c.params.ExchangeLifetime()) {
				delete(c.peers, other)
			}
		}
		if len(c.peers) >= maxPeers {
			return nil
		}
	}
	added := &peerState{ids: newMessageIDs(now, uint16(c.rng.Uint32()))}
	c.peers[peer] = added
	return added
}

// HasCapacity reports whether Request would accept a request to a server.
func (c *Client) HasCapacity(now time.Duration, peer Peer) bool {
	server := c.peers[peer]
	return len(c.byHandle) < c.limits.MaxInFlight && (server == nil || server.ids.available(now, c.params.ExchangeLifetime()))
}

// transmit transmits a request for the first time.
func (c *Client) transmit(now time.Duration, server *peerState, exchange *clientExchange) {
	id, ok := server.ids.next(now, c.params.ExchangeLifetime())
	if !ok {
		c.fail(now, exchange, Unreachable) // it was provably not sent
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
		c.fail(now, exchange, Unreachable) // it was provably not sent
		return
	}
	exchange.transmission = c.params.newTransmission(c.rng, datagram, now)
	exchange.deadline = now + c.params.MaxTransmitWait()
	if exchange.singleTransmission || !exchange.confirmable {
		exchange.transmission.count = c.params.MaxRetransmit + 1
		exchange.transmission.deadline = exchange.deadline
	}
	c.schedule(exchange)
	c.send(exchange.peer, datagram)
}

// schedule sets the time at which a request has something to do next.
func (c *Client) schedule(exchange *clientExchange) {
	deadline := exchange.deadline
	if exchange.state == stateSent {
		deadline = min(deadline, exchange.transmission.deadline)
	}
	c.timers.set(&exchange.timer, exchange, deadline)
}

// fail ends a request without a response.
func (c *Client) fail(now time.Duration, exchange *clientExchange, reason FailureReason) {
	acknowledged := exchange.state == stateAcknowledged
	c.finish(now, exchange)
	c.actions = append(c.actions, Action{
		Kind: Failed, Peer: exchange.peer, Handle: exchange.handle, Reason: reason,
		Transmissions: exchange.transmissions(), Acknowledged: acknowledged,
	})
}

// finish forgets a request, and sends the next ones to its server.
func (c *Client) finish(now time.Duration, exchange *clientExchange) {
	server := c.peers[exchange.peer]
	switch exchange.state {
	case stateQueued:
		server.waiting = slices.DeleteFunc(server.waiting, func(other *clientExchange) bool { return other == exchange })
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
	c.startWaiting(now, server)
}

// startWaiting transmits the requests that wait for a server, as far as NStart permits.
func (c *Client) startWaiting(now time.Duration, server *peerState) {
	for server.outstanding < c.params.NStart && len(server.waiting) > 0 {
		exchange := server.waiting[0]
		server.waiting = server.waiting[1:]
		c.transmit(now, server, exchange)
	}
}

// Cancel ends a request without an action for it, and returns how often it was
// transmitted. A response that still arrives is rejected.
func (c *Client) Cancel(now time.Duration, handle uint64, actions []Action) ([]Action, int) {
	c.actions = actions
	exchange := c.byHandle[handle]
	if exchange == nil {
		return c.endCall(), 0
	}
	transmissions := exchange.transmissions()
	c.finish(now, exchange)
	return c.endCall(), transmissions
}

// PeerUnreachable processes a report of the network that a server is unreachable. All
// requests to it that are not acknowledged fail.
func (c *Client) PeerUnreachable(now time.Duration, peer Peer, actions []Action) []Action {
	c.actions = actions
	var failed []*clientExchange
	for _, exchange := range c.byHandle {
		if exchange.peer == peer && exchange.state == stateSent {
			failed = append(failed, exchange)
		}
	}
	slices.SortFunc(failed, func(a, b *clientExchange) int { return int(a.messageID) - int(b.messageID) })
	for _, exchange := range failed {
		c.fail(now, exchange, Unreachable)
	}
	return c.endCall()
}

// Receive processes a message that was decoded without an error. It keeps no reference to
// it.
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
			c.startWaiting(now, server)
		}
	case received.Code.IsResponse():
		c.handleResponse(now, peer, received, exchange)
	case received.Type == message.Confirmable:
		// A ping (section 4.3), or a request, which a client does not process.
		c.send(peer, emptyMessage(message.Reset, received.ID))
	default:
		c.counts.Dropped++
	}
	return c.endCall()
}

// handleResponse processes a response. byID is the request with its message ID, if any.
func (c *Client) handleResponse(now time.Duration, peer Peer, response *message.Message, byID *clientExchange) {
	var exchange *clientExchange
	if len(response.Token) == tokenSize {
		exchange = c.byToken[tokenKey{peer, binary.BigEndian.Uint64(response.Token)}]
	}
	if exchange != nil && exchange.state == stateQueued {
		exchange = nil // not sent yet: the token was guessed, or belongs to an earlier process
	}
	if response.Type != message.Acknowledgement {
		if !c.acceptSeparate(now, peer, response, exchange != nil) {
			return
		}
	} else if exchange == nil || exchange != byID {
		c.counts.Dropped++ // section 5.3.2: message ID and token must both match
		return
	}
	transmissions, acknowledged := exchange.transmissions(), exchange.state == stateAcknowledged
	copied := clone(response)
	c.finish(now, exchange)
	c.actions = append(c.actions, Action{
		Kind: Response, Peer: peer, Handle: exchange.handle, Message: copied,
		Transmissions: transmissions, Acknowledged: acknowledged,
	})
}

// acceptSeparate acknowledges or rejects a separate response, and reports whether it is
// new and matches a request.
func (c *Client) acceptSeparate(now time.Duration, peer Peer, response *message.Message, matches bool) bool {
	c.expireResponses(now)
	key := messageKey{peer, response.ID}
	duplicate := c.responses[key]
	reply := message.Acknowledgement
	switch {
	case duplicate:
		c.counts.Duplicates++
	case matches:
		c.rememberResponse(now, key)
	case response.Type == message.Confirmable:
		reply = message.Reset
	default:
		c.counts.Dropped++
	}
	if response.Type == message.Confirmable {
		c.send(peer, emptyMessage(reply, response.ID))
	}
	return matches && !duplicate
}

// rememberResponse remembers a separate response. Over the limit the oldest one is
// forgotten: a duplicate of it is rejected, and the server stops its retransmission.
func (c *Client) rememberResponse(now time.Duration, key messageKey) {
	if len(c.responseOrder) >= c.limits.MaxDedupEntries {
		c.forgetOldestResponse()
	}
	c.responses[key] = true
	c.responseOrder = append(c.responseOrder, receivedResponse{key, now})
}

// expireResponses forgets the responses of which no duplicate can arrive any more.
func (c *Client) expireResponses(now time.Duration) {
	for len(c.responseOrder) > 0 && now-c.responseOrder[0].at >= c.params.ExchangeLifetime() {
		c.forgetOldestResponse()
	}
}

func (c *Client) forgetOldestResponse() {
	delete(c.responses, c.responseOrder[0].messageKey)
	c.responseOrder = c.responseOrder[1:]
}

// Next returns when Tick is due; false where nothing is scheduled.
func (c *Client) Next() (time.Duration, bool) { return c.timers.earliest() }

// Tick performs what is due: retransmissions and timeouts.
func (c *Client) Tick(now time.Duration, actions []Action) []Action {
	c.actions = actions
	for len(c.timers) > 0 && c.timers[0].deadline <= now {
		exchange := c.timers[0].value
		switch {
		case exchange.deadline <= now:
			c.fail(now, exchange, TimedOut)
			continue
		case exchange.transmission.advance(&c.params):
			c.counts.Retransmissions++
			c.send(exchange.peer, exchange.transmission.datagram)
		default:
			exchange.transmission.deadline = exchange.deadline // after the last retransmission
		}
		c.schedule(exchange)
	}
	return c.endCall()
}
