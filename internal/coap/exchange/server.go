package exchange

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"otterspring/internal/coap/message"
)

// ServerLimits limits the state of a Server.
type ServerLimits struct {
	MaxPendingRequests int // exchanges without a response; the same limit applies to unacknowledged notifications
	MaxDedupEntries    int // exchanges kept for deduplication, including pending ones
	MaxDedupBytes      int // total size in bytes of the responses cached with these exchanges
	// MaxCompletedUnsafe limits the exchanges of unsafe methods of which only a hash is
	// kept once MaxDedupEntries is reached. A duplicate of such a request gets a 5.02,
	// which does not tell whether the request was executed. 0 disables hashes.
	MaxCompletedUnsafe int
}

// Server receives requests. It is not safe for concurrent use, and the times passed to it
// must never decrease.
type Server struct {
	params       Params
	limits       ServerLimits
	rng          *rand.Rand
	byKey        map[messageKey]*serverExchange
	byResponseID map[messageKey]*serverExchange // by the IDs of separate responses and notifications
	byHandle     map[uint64]*serverExchange
	completed    *completedSet
	// pendingAtPredecessor has the hashes of exchanges to which the predecessor, which is
	// draining, still responds.
	pendingAtPredecessor map[uint64]bool
	respondedSafe        exchangeList // evicted first, since a repeated execution is harmless
	respondedUnsafe      exchangeList
	pending              int // exchanges without a response
	notifications        int // notifications without an acknowledgement
	unacknowledged       int // separate responses being retransmitted
	dedupBytes           int // size of the cached responses
	lastHandle           uint64
	lastID               uint16
	timers               timers[*serverExchange]
	actions              []Action // of the call in progress
	counts               Counts
}

// NewServer returns a Server without exchanges, or an error that wraps ErrParams or
// ErrLimits. All random numbers are derived from the seed, which must be secret if clients
// must not be able to predict the hashes of exchanges.
func NewServer(params Params, limits ServerLimits, seed uint64) (*Server, error) {
	if err := params.validate(); err != nil {
		return nil, err
	}
	if limits.MaxPendingRequests < 1 || limits.MaxDedupEntries < limits.MaxPendingRequests ||
		limits.MaxDedupBytes < 0 || limits.MaxCompletedUnsafe < 0 {
		return nil, fmt.Errorf("%w: found %+v, expected MaxPendingRequests of 1 or more, MaxDedupEntries not below it, the others not below 0", ErrLimits, limits)
	}
	rng := rand.New(rand.NewPCG(seed, randomStream))
	completed := newCompletedSet(newHashKey(rng), params.ExchangeLifetime(), limits.MaxCompletedUnsafe)
	return &Server{
		params: params, limits: limits, rng: rng, completed: completed, byKey: map[messageKey]*serverExchange{},
		byResponseID: map[messageKey]*serverExchange{}, byHandle: map[uint64]*serverExchange{}, lastID: uint16(rng.Uint32()),
		respondedSafe: newExchangeList(), respondedUnsafe: newExchangeList(),
	}, nil
}

// Counts returns the totals so far.
func (s *Server) Counts() Counts { return s.counts }

// Occupancy returns the number of exchanges without a response, and the number of
// exchanges kept for deduplication, which includes the former.
func (s *Server) Occupancy() (pending, total int) { return s.pending, len(s.byKey) }

// UnacknowledgedResponses returns the number of separate responses that wait for an
// acknowledgement and are being retransmitted.
func (s *Server) UnacknowledgedResponses() int { return s.unacknowledged }

func (s *Server) send(peer Peer, datagram []byte) {
	s.counts.Sent++
	s.actions = append(s.actions, Action{Kind: Send, Peer: peer, Datagram: datagram})
}

// takeActions returns the actions of the call in progress and drops the reference to the
// caller's slice.
func (s *Server) takeActions() []Action {
	actions := s.actions
	s.actions = nil
	return actions
}

// Receive processes a message that was decoded without an error. It does not retain the
// message.
func (s *Server) Receive(now time.Duration, peer Peer, received *message.Message, actions []Action) []Action {
	s.actions = actions
	s.counts.Received++
	switch {
	case received.Code == message.Empty && received.Type == message.Confirmable:
		s.send(peer, emptyMessage(message.Reset, received.ID)) // CoAP ping (section 4.3)
	case received.Type == message.Acknowledgement || received.Type == message.Reset:
		s.handleAckOrReset(peer, received)
	case received.Code.IsRequest():
		s.handleRequest(now, peer, received)
	case received.Type == message.Confirmable:
		s.send(peer, emptyMessage(message.Reset, received.ID)) // a response, which a server does not expect
	default:
		s.counts.Dropped++
	}
	return s.takeActions()
}

// ReceiveMalformed processes a datagram for which message.Decode returned an error: a
// confirmable message is rejected with a Reset (section 4.2), all others are ignored.
func (s *Server) ReceiveMalformed(peer Peer, received *message.Message, err error, actions []Action) []Action {
	s.actions = actions
	s.counts.Received++
	if !errors.Is(err, message.ErrNotCoAP) && received.Type == message.Confirmable {
		s.send(peer, emptyMessage(message.Reset, received.ID))
	} else {
		s.counts.Dropped++
	}
	return s.takeActions()
}

// handleAckOrReset processes the acknowledgement or rejection of a separate response or
// notification.
func (s *Server) handleAckOrReset(peer Peer, received *message.Message) {
	exchange := s.byResponseID[messageKey{peer, received.ID}]
	if exchange == nil {
		s.counts.Dropped++
		return
	}
	if received.Type == message.Reset && !exchange.resetReceived {
		s.counts.Resets++
		exchange.resetReceived = true
		s.actions = append(s.actions, Action{Kind: Canceled, Handle: exchange.handle, Peer: peer})
	}
	if exchange.notification {
		s.removeNotification(exchange)
		return
	}
	if exchange.retransmitting {
		s.stopRetransmission(exchange)
		s.schedule(exchange, s.expiry(exchange))
	}
}

// stopRetransmission marks a separate response as no longer retransmitted.
func (s *Server) stopRetransmission(exchange *serverExchange) {
	exchange.retransmitting = false
	s.unacknowledged--
}

// handleRequest processes a new request or a duplicate.
func (s *Server) handleRequest(now time.Duration, peer Peer, request *message.Message) {
	key := messageKey{peer, request.ID}
	if exchange := s.byKey[key]; exchange != nil {
		s.handleDuplicate(exchange)
		return
	}
	if len(s.pendingAtPredecessor) > 0 && s.pendingAtPredecessor[s.completed.hash(key)] {
		s.counts.Duplicates++
		return
	}
	confirmable := request.Type == message.Confirmable
	if s.completed.contains(now, key) {
		s.counts.Duplicates++
		if confirmable {
			s.respondBadGateway(peer, request.ID, request.Token)
		}
		return
	}
	unsafe := request.Code != message.GET && request.Code != message.FETCH
	if s.pending >= s.limits.MaxPendingRequests || len(s.byKey) >= s.limits.MaxDedupEntries && !s.evict(now) {
		s.reject(peer, request, unsafe)
		return
	}
	s.lastHandle++
	exchange := &serverExchange{
		messageKey: key, handle: s.lastHandle, token: append([]byte(nil), request.Token...),
		confirmable: confirmable, unsafe: unsafe, received: now,
	}
	s.byKey[key], s.byHandle[exchange.handle] = exchange, exchange
	s.pending++
	if confirmable {
		s.schedule(exchange, now+s.params.AckDelay)
	}
	s.actions = append(s.actions, Action{Kind: Deliver, Peer: peer, Handle: exchange.handle, Message: clone(request)})
}

// reject rejects a request at a limit. A request with a safe method gets a 5.03, which is
// not cached. A request with an unsafe method gets no response, because a duplicate that is
// still in the network may be accepted later. A 5.03 would then have been wrong.
func (s *Server) reject(peer Peer, request *message.Message, unsafe bool) {
	s.counts.CapacityRejections++
	if unsafe {
		return
	}
	response := message.Message{Type: message.Acknowledgement, ID: request.ID, Token: request.Token, Code: message.ServiceUnavailable}
	if request.Type != message.Confirmable {
		response.Type, response.ID = message.NonConfirmable, s.nextID(peer)
	}
	response.AddUint(message.MaxAge, 1)
	if datagram, err := response.Append(nil); err == nil {
		s.send(peer, datagram)
	}
}

// handleDuplicate responds to a duplicate of a request.
func (s *Server) handleDuplicate(exchange *serverExchange) {
	s.counts.Duplicates++
	switch {
	case !exchange.confirmable:
		// The response to a non-confirmable request is not sent again.
	case !exchange.responded && !exchange.acknowledged:
		// The acknowledgement is sent after AckDelay, or earlier with the response.
	case !exchange.responded || exchange.separate:
		s.send(exchange.peer, emptyMessage(message.Acknowledgement, exchange.id))
	case exchange.response != nil:
		s.send(exchange.peer, exchange.response)
	default:
		s.respondBadGateway(exchange.peer, exchange.id, exchange.token)
	}
}

// respondBadGateway responds with 5.02 to a duplicate of a request whose response is not
// cached. The request may have been executed and is not executed again.
func (s *Server) respondBadGateway(peer Peer, id uint16, token []byte) {
	response := message.Message{Type: message.Acknowledgement, ID: id, Token: token, Code: message.BadGateway}
	if datagram, err := response.Append(nil); err == nil {
		s.send(peer, datagram)
	}
}

// nextID returns a message ID that no separate response or notification to the peer uses.
func (s *Server) nextID(peer Peer) uint16 {
	for range 1 << 16 {
		s.lastID++
		if s.byResponseID[messageKey{peer, s.lastID}] == nil {
			break
		}
	}
	return s.lastID
}

// Respond sends the response to a request and sets the type, message ID and token of the
// response. Errors are those of Message.Append; the exchange then remains pending. Respond
// does nothing if there is no pending exchange with that handle.
func (s *Server) Respond(now time.Duration, handle uint64, response message.Message, actions []Action) ([]Action, error) {
	return s.RespondWithByteLimit(now, handle, response, 0, actions)
}

// RespondWithByteLimit is Respond with a limit on the total size of all transmissions of
// the response, for clients whose address may be forged (RFC 9175, section 2.4). The
// response is sent at least once. A maxBytes of 0 means no limit.
func (s *Server) RespondWithByteLimit(now time.Duration, handle uint64, response message.Message, maxBytes int, actions []Action) ([]Action, error) {
	s.actions = actions
	exchange := s.byHandle[handle]
	if exchange == nil || exchange.responded || exchange.notification {
		return s.takeActions(), nil
	}
	response.Token = exchange.token
	separate := !exchange.confirmable || exchange.acknowledged
	switch {
	case !separate:
		response.Type, response.ID = message.Acknowledgement, exchange.id
	case exchange.confirmable:
		response.Type, response.ID = message.Confirmable, s.nextID(exchange.peer)
	default:
		response.Type, response.ID = message.NonConfirmable, s.nextID(exchange.peer)
	}
	datagram, err := response.Append(nil)
	if err != nil {
		return s.takeActions(), err
	}
	exchange.responded, exchange.separate = true, separate
	s.pending--
	s.cacheResponse(exchange, datagram)
	s.respondedList(exchange).Push(exchange)
	if separate {
		exchange.responseID = response.ID
		s.byResponseID[messageKey{exchange.peer, exchange.responseID}] = exchange
	}
	if response.Type == message.Confirmable {
		exchange.transmission, exchange.retransmitting = s.params.newTransmission(s.rng, datagram, now), true
		s.unacknowledged++
		if maxBytes > 0 {
			// The initial count leaves only as many retransmissions as maxBytes permits.
			exchange.transmission.count = max(1, s.params.MaxRetransmit+2-max(1, maxBytes/len(datagram)))
		}
		s.schedule(exchange, exchange.transmission.deadline)
	} else {
		s.schedule(exchange, s.expiry(exchange))
	}
	s.send(exchange.peer, datagram)
	return s.takeActions(), nil
}

// cacheResponse caches a piggybacked response for duplicates, if the limit permits. A
// separate response is not cached, since a duplicate of its request is acknowledged only.
func (s *Server) cacheResponse(exchange *serverExchange, datagram []byte) {
	if exchange.separate || s.dedupBytes+len(datagram) > s.limits.MaxDedupBytes {
		return
	}
	exchange.response = datagram
	s.dedupBytes += len(datagram)
}

// Next returns the time at which Tick is due. It returns false if nothing is scheduled.
func (s *Server) Next() (time.Duration, bool) { return s.timers.earliest() }

// Tick sends the acknowledgements and retransmissions that are due and removes expired
// exchanges.
func (s *Server) Tick(now time.Duration, actions []Action) []Action {
	s.actions = actions
	for len(s.timers) > 0 && s.timers[0].deadline <= now {
		exchange := s.timers[0].value
		switch {
		case (exchange.notification || exchange.retransmitting) && exchange.transmission.advance(&s.params):
			s.counts.Retransmissions++
			s.send(exchange.peer, exchange.transmission.datagram)
			s.schedule(exchange, exchange.transmission.deadline)
		case exchange.notification:
			// The observer did not acknowledge the notification and is considered no longer
			// interested (RFC 7641, section 4.5).
			s.actions = append(s.actions, Action{Kind: Canceled, Handle: exchange.handle, Peer: exchange.peer})
			s.removeNotification(exchange)
		case !exchange.responded && !exchange.acknowledged:
			exchange.acknowledged = true
			s.send(exchange.peer, emptyMessage(message.Acknowledgement, exchange.id))
			// The exchange is kept without a timer until the caller responds.
			s.timers.cancel(&exchange.timer)
		case exchange.retransmitting:
			// The client did not acknowledge the response. The exchange is kept for
			// deduplication until it expires.
			s.stopRetransmission(exchange)
			s.schedule(exchange, max(now, s.expiry(exchange)))
			if exchange.timer.deadline <= now {
				s.remove(exchange)
			}
		default:
			s.remove(exchange)
		}
	}
	return s.takeActions()
}
