package coapupstream

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"otterspring/internal/coap/client"
	"otterspring/internal/coap/format"
	"otterspring/internal/sidecar/dispatch"
)

const (
	// idleTimer is the delay of the timer while the state machine has nothing scheduled.
	idleTimer = time.Hour
	// seedStep is the difference between the seeds of successive sockets. It is odd, so that
	// no seed repeats within 2^64 sockets.
	seedStep = 0x9e3779b97f4a7c15
)

// errSocketLimit is returned if the pool has reached its maximum number of sockets.
var errSocketLimit = errors.New("coap: limit of sockets to upstreams reached")

// socket is a connected UDP socket to an upstream, with its own message IDs and tokens. The
// first attempt opens the socket. A retired socket is closed when its last attempt in flight
// has ended; a later attempt opens the socket again. mu guards all fields but upstream. The
// reading goroutine ends when conn is closed.
type socket struct {
	upstream *upstream

	mu         sync.Mutex
	conn       *net.UDPConn // nil before the first attempt and after closing
	protocol   *client.Client
	start      time.Time
	timer      *time.Timer
	inFlight   map[uint64]pendingAttempt // by handle
	lastHandle uint64                    // last handle that was assigned
	retired    bool
}

// pendingAttempt is an attempt in flight with the channel for its result.
type pendingAttempt struct {
	attempt *dispatch.Attempt
	result  chan client.Action // capacity 1; closed without a result on cancellation
}

// available reports whether a message ID is free, so that a request can be sent now.
func (s *socket) available() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn == nil || s.protocol.HasCapacity(s.now())
}

func (s *socket) retire() {
	s.mu.Lock()
	s.retired = true
	s.mu.Unlock()
	s.closeIfUnused()
}

// closeIfUnused closes the socket if it is retired and has no attempt in flight.
func (s *socket) closeIfUnused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.retired || len(s.inFlight) > 0 || s.conn == nil {
		return
	}
	if err := s.conn.Close(); err != nil {
		slog.Warn("closing the CoAP socket to an upstream failed", "server", s.upstream.address, "error", err)
	}
	s.timer.Stop()
	s.conn = nil
	s.upstream.pool.sockets.Add(-1)
}

// open opens the connection if it is not open. The caller holds mu.
func (s *socket) open() error {
	if s.conn != nil {
		return nil
	}
	peer, err := netip.ParseAddrPort(s.upstream.address)
	if err != nil {
		return fmt.Errorf("coap: upstream: %w", err)
	}
	pool := s.upstream.pool
	if pool.sockets.Add(1) > int64(pool.maxSockets) {
		pool.sockets.Add(-1)
		return errSocketLimit
	}
	settings := pool.settings
	settings.Seed ^= pool.seeds.Add(seedStep)
	protocol, err := client.New(settings, peer)
	var conn *net.UDPConn
	var events *receiver
	if err == nil {
		conn, events, err = dial(peer)
	}
	if err != nil {
		pool.sockets.Add(-1)
		return fmt.Errorf("coap: upstream %s: %w", peer, err)
	}
	s.conn, s.protocol, s.start = conn, protocol, time.Now()
	s.inFlight = map[uint64]pendingAttempt{}
	s.timer = time.AfterFunc(idleTimer, func() { s.tick(conn) })
	go s.read(conn, events)
	return nil
}

// dial returns a socket that is connected to an upstream, and its receiver.
func dial(peer netip.AddrPort) (*net.UDPConn, *receiver, error) {
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(peer))
	if err != nil {
		return nil, nil, err
	}
	events, err := newReceiver(conn, peer)
	if err != nil {
		return nil, nil, errors.Join(err, conn.Close())
	}
	return conn, events, nil
}

// now returns the time of the state machine, which starts when the connection is opened.
func (s *socket) now() time.Duration { return time.Since(s.start) }

// read handles datagrams and refusals until conn is closed.
func (s *socket) read(conn *net.UDPConn, events *receiver) {
	for {
		received, err := events.receive()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		s.mu.Lock()
		if s.conn == conn {
			s.handle(received)
		}
		s.mu.Unlock()
	}
}

// handle passes an event to the state machine. The caller holds mu.
func (s *socket) handle(received event) {
	switch received.kind {
	case datagramReceived:
		s.execute(s.protocol.Receive(s.now(), received.data, nil))
	case datagramRefused:
		counters, unknownBefore := &s.upstream.pool.counters, s.protocol.Counts().UnknownRefusals
		counters.refusals.Add(1)
		s.execute(s.protocol.PeerUnreachable(s.now(), received.data, nil))
		counters.unknownRefusals.Add(int64(s.protocol.Counts().UnknownRefusals - unknownBefore))
	}
}

// tick is called by the timer.
func (s *socket) tick(conn *net.UDPConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == conn {
		s.execute(s.protocol.Tick(s.now(), nil))
	}
}

// send starts the exchange of an attempt. It returns the handle of the attempt and the channel
// for its result, which is closed without a result if the attempt is abandoned.
func (s *socket) send(attempt *dispatch.Attempt, timeout time.Duration) (uint64, <-chan client.Action, error) {
	request := newRequest(attempt.Request, timeout)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.open(); err != nil {
		return 0, nil, err
	}
	s.lastHandle++
	result := make(chan client.Action, 1)
	s.inFlight[s.lastHandle] = pendingAttempt{attempt, result}
	s.execute(s.protocol.Start(s.now(), s.lastHandle, request, nil))
	return s.lastHandle, result, nil
}

// newRequest returns the form that the state machine takes of a request with the time until
// its deadline.
func newRequest(submitted *dispatch.Request, timeout time.Duration) client.Request {
	neutral := submitted.Native.Neutral()
	request := client.Request{
		NonIdempotent:  !neutral.Safe,
		Safe:           neutral.Safe,
		Target:         neutral.Target,
		ID:             neutral.ID,
		IdempotencyKey: neutral.IdempotencyKey,
		Tenant:         neutral.Tenant,
		AffinityKey:    neutral.AffinityKey,
		IsRetry:        neutral.IsRetry,
		Deadline:       timeout,
		Body:           bytes.Join(submitted.Body.Chunks(), nil),
		ContentFormat:  format.None,
	}
	if neutral.ContentType != "" {
		request.ContentFormat = format.ContentFormat(neutral.ContentType)
	}
	return request
}

// execute carries out the actions of the state machine. The caller holds mu. A datagram for
// which the kernel returns an error has not left this machine. The error may be a pending one
// of an earlier datagram, about which the error queue tells more.
func (s *socket) execute(actions []client.Action) {
	for i := 0; i < len(actions); i++ {
		switch action := &actions[i]; action.Kind {
		case client.Commit:
			// Commit must precede the first datagram after which the upstream may execute the
			// request. If the dispatcher has ended the attempt, that datagram is not sent.
			if pending, ok := s.inFlight[action.Handle]; ok && !pending.attempt.Commit() {
				if i+1 < len(actions) && actions[i+1].Kind == client.Send {
					i++
				}
				s.abandon(action.Handle)
			}
		case client.Send:
			if _, err := s.conn.Write(action.Datagram); err != nil {
				s.upstream.pool.counters.sendFailures.Add(1)
				actions = s.protocol.SendFailed(s.now(), action.Datagram, dispatch.IsLocalFault(err), actions)
			}
		case client.Finish:
			if pending, ok := s.inFlight[action.Handle]; ok {
				delete(s.inFlight, action.Handle)
				s.upstream.pool.counters.outcomes[action.Outcome].Add(1)
				pending.result <- *action
			}
		}
	}
	if due, ok := s.protocol.Next(); ok {
		s.timer.Reset(max(0, due-s.now()))
	}
}

// cancel abandons an attempt unless it has ended.
func (s *socket) cancel(handle uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abandon(handle)
}

// abandon cancels the exchange of an attempt and closes its result channel. The caller holds
// mu.
func (s *socket) abandon(handle uint64) {
	pending, ok := s.inFlight[handle]
	if !ok {
		return
	}
	delete(s.inFlight, handle)
	close(pending.result)
	s.execute(s.protocol.Cancel(s.now(), handle, nil))
}
