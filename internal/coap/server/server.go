// Package server implements the server side of CoAP requests (RFC 7252, 7641, 7959, 9175).
// It decodes datagrams into requests to be executed, and encodes their results as datagrams.
//
// The package is a pure state machine: it does no I/O, reads no clock and starts no
// goroutines. Its inputs are datagrams, results and times, its outputs are actions.
//
// It does not execute malformed requests or requests beyond its capacity. Neither does it
// execute retransmissions of requests that were executed or that an earlier process may have
// executed. The reasons for these rules are in docs/design/coap.md.
package server

import (
	"net/netip"
	"slices"
	"time"

	"otterspring/internal/coap/block"
	"otterspring/internal/coap/echo"
	"otterspring/internal/coap/exchange"
	"otterspring/internal/coap/format"
	"otterspring/internal/coap/message"
)

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of actions.
const (
	Send    ActionKind = iota // send Datagram to Peer
	Execute                   // execute Request and pass its result to Respond
)

// Action is an instruction to the caller. Actions are carried out in the order returned.
type Action struct {
	Kind     ActionKind
	Peer     netip.AddrPort
	Datagram []byte
	Request  Request
}

// Counts holds counters since the start of the process. Observers and BlockTransfers are
// gauges: they hold the present numbers.
type Counts struct {
	exchange.Counts
	Submitted             int // requests passed on for execution
	BadRequests           int // requests rejected as invalid
	PossiblyExecuted      int // POST requests rejected because an earlier process may have executed them
	AmplificationLimited  int // responses shortened or dropped for unverified sources
	ObservationRejections int // observations rejected because the source is unverified or MaxObservers is reached
	Observers             int // observers that are registered at present
	Notifications         int
	BlockTransfers        int // block-wise transfers that are in progress at present
}

// Server is the state machine of one CoAP server. It is not safe for concurrent use, and the
// times passed to it must not decrease.
type Server struct {
	settings       Settings
	exchanges      *exchange.Server
	uploads        *block.Receiver
	downloads      *block.Sender
	echoIssuer     *echo.Issuer
	historyKnownAt time.Duration // time from which on no message sent to an earlier process can still arrive
	started        bool
	draining       bool
	pending        map[uint64]*execution // by handle
	lastHandle     uint64
	observations   observationQueue
	actions        []Action
	counts         Counts
}

// New returns a Server with the given settings.
func New(settings Settings) (*Server, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	s := &Server{settings: settings, pending: map[uint64]*execution{}, observations: newObservationQueue()}
	var err error
	if s.exchanges, err = exchange.NewServer(settings.Params, settings.Limits, settings.Seed); err != nil {
		return nil, err
	}
	if s.uploads, err = block.NewReceiver(settings.Blocks); err != nil {
		return nil, err
	}
	if s.downloads, err = block.NewSender(settings.Blocks); err != nil {
		return nil, err
	}
	if s.echoIssuer, err = echo.New(settings.EchoKey, settings.EchoLifetime); err != nil {
		return nil, err
	}
	return s, nil
}

// Counts returns the present counters.
func (s *Server) Counts() Counts {
	counts := s.counts
	counts.Counts = s.exchanges.Counts()
	counts.Observers = len(s.observations.byKey)
	uploads, _ := s.uploads.InFlight()
	downloads, _ := s.downloads.InFlight()
	counts.BlockTransfers = uploads + downloads
	return counts
}

// Pending returns the number of requests without a result.
func (s *Server) Pending() int { return len(s.pending) }

// UnacknowledgedResponses returns the number of separate responses that are retransmitted
// until they are acknowledged.
func (s *Server) UnacknowledgedResponses() int { return s.exchanges.UnacknowledgedResponses() }

// Drain rejects new requests until Resume. Pending requests still get their responses.
func (s *Server) Drain() { s.draining = true }

// Resume ends a drain.
func (s *Server) Resume() { s.draining = false }

func (s *Server) takeActions() []Action {
	actions := s.actions
	s.actions = nil
	return actions
}

// Receive handles a datagram and appends the resulting actions. It does not retain the
// datagram.
func (s *Server) Receive(now time.Duration, peer netip.AddrPort, datagram []byte, actions []Action) []Action {
	s.ensureStarted(now)
	s.actions = actions
	var msg message.Message
	if err := message.Decode(datagram, &msg); err != nil {
		s.execute(now, s.exchanges.ReceiveMalformed(peer, &msg, err, nil), len(datagram))
		return s.takeActions()
	}
	received := s.exchanges.Receive(now, peer, &msg, nil)
	if !s.trusted(peer) && !s.hasFreshEcho(now, peer, &msg) {
		received = s.limitAmplification(received, maxAmplification*len(datagram))
	}
	s.execute(now, received, len(datagram))
	return s.takeActions()
}

// limitAmplification drops datagrams of more than limit bytes. It is needed in addition to
// fitResponse, which fits a stored response to the size of the first datagram of a request. A
// duplicate of the request can be shorter than that datagram.
func (s *Server) limitAmplification(actions []exchange.Action, limit int) []exchange.Action {
	return slices.DeleteFunc(actions, func(a exchange.Action) bool {
		if a.Kind != exchange.Send || len(a.Datagram) <= limit {
			return false
		}
		s.counts.AmplificationLimited++
		return true
	})
}

// Next returns the time at which Tick must be called. It returns false if nothing is
// scheduled.
func (s *Server) Next() (time.Duration, bool) {
	due, ok := s.exchanges.Next()
	if poll, polling := s.observations.nextDue(); polling && (!ok || poll < due) {
		return poll, true
	}
	return due, ok
}

// Tick runs the timers that have expired and appends the resulting actions.
func (s *Server) Tick(now time.Duration, actions []Action) []Action {
	s.ensureStarted(now)
	s.actions = actions
	s.execute(now, s.exchanges.Tick(now, nil), 0)
	s.poll(now)
	return s.takeActions()
}

// execute carries out the actions of the message layer. datagramSize is the size in bytes of
// the datagram that caused the actions, or 0 if no datagram caused them.
func (s *Server) execute(now time.Duration, actions []exchange.Action, datagramSize int) {
	for i := range actions {
		switch a := &actions[i]; a.Kind {
		case exchange.Send:
			s.actions = append(s.actions, Action{Kind: Send, Peer: a.Peer, Datagram: a.Datagram})
		case exchange.Deliver:
			s.handleRequest(now, &execution{exchange: a.Handle, peer: a.Peer, datagramSize: datagramSize, message: a.Message, accept: format.None})
		case exchange.Canceled:
			s.cancelObservation(a.Handle)
		}
	}
}

// hasFreshEcho reports whether a message carries a fresh Echo value of this process. Such a
// message was created after this process started, and its source address is not forged.
func (s *Server) hasFreshEcho(now time.Duration, peer netip.AddrPort, msg *message.Message) bool {
	value, ok := msg.Get(message.Echo)
	return ok && s.echoIssuer.Verify(now, peer, value) == echo.Fresh
}

// trusted reports whether the peer is in one of TrustedNetworks.
func (s *Server) trusted(peer netip.AddrPort) bool {
	address := peer.Addr().Unmap()
	return slices.ContainsFunc(s.settings.TrustedNetworks, func(p netip.Prefix) bool { return p.Contains(address) })
}
