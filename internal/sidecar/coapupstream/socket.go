package coapupstream

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"otterspring/internal/coap/client"
	"otterspring/internal/coap/format"
	"otterspring/internal/coap/message"
	"otterspring/internal/sidecar/dispatch"
)

const (
	// idleTimer is how far the timer is set while the protocol has nothing scheduled.
	idleTimer = time.Hour
	// seedStep separates the seeds of two sockets; odd, so that none comes twice.
	seedStep = 0x9e3779b97f4a7c15
)

// errSocketLimit is returned where the pool has no socket left.
var errSocketLimit = errors.New("coap: the limit of sockets to upstreams is reached")

// socket is one UDP socket to an upstream, with its own message IDs and tokens. The
// connection is opened by the first attempt and, once retired, closed after the last. mu
// guards all fields but upstream; the timer and the goroutine that reads lock it. That
// goroutine ends when conn is closed.
type socket struct {
	upstream *upstream

	mu       sync.Mutex
	conn     *net.UDPConn // nil before the first attempt and once closed
	protocol *client.Client
	start    time.Time
	timer    *time.Timer
	inFlight map[uint64]pendingAttempt // by handle
	handle   uint64                    // the last one that was given
	retired  bool
}

// pendingAttempt is an attempt in flight.
type pendingAttempt struct {
	attempt *dispatch.Attempt
	result  chan client.Action // of capacity 1; closed without a result on cancellation
}

// available reports whether a request could be sent now: whether a message ID is free.
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

// closeIfUnused closes a retired socket if it has no attempt in flight.
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

// open opens the connection if there is none. mu is locked.
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
	if err == nil {
		conn, err = net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(peer))
	}
	if err != nil {
		pool.sockets.Add(-1)
		return fmt.Errorf("coap: upstream %s: %w", peer, err)
	}
	s.conn, s.protocol, s.start = conn, protocol, time.Now()
	s.inFlight = map[uint64]pendingAttempt{}
	s.timer = time.AfterFunc(idleTimer, func() { s.tick(conn) })
	go s.read(conn)
	return nil
}

// now returns the protocol's time, which begins when the connection is opened.
func (s *socket) now() time.Duration { return time.Since(s.start) }

// read receives datagrams until conn is closed.
func (s *socket) read(conn *net.UDPConn) {
	buffer := make([]byte, message.MaxDatagramSize+1)
	for {
		n, err := conn.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		s.mu.Lock()
		if s.conn == conn {
			if errors.Is(err, syscall.ECONNREFUSED) {
				s.execute(s.protocol.PeerUnreachable(s.now(), nil))
			} else if err == nil {
				s.execute(s.protocol.Receive(s.now(), buffer[:n], nil))
			}
		}
		s.mu.Unlock()
	}
}

// tick is called when the protocol has something due.
func (s *socket) tick(conn *net.UDPConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == conn {
		s.execute(s.protocol.Tick(s.now(), nil))
	}
}

// send begins the exchange of an attempt. The channel has its result, or is closed if the
// dispatcher has canceled the attempt before it was committed.
func (s *socket) send(attempt *dispatch.Attempt, timeout time.Duration) (uint64, <-chan client.Action, error) {
	m := attempt.Request.Native.Neutral()
	request := client.Request{
		NonIdempotent: !m.Safe, Safe: m.Safe, Target: m.Target, ID: m.ID, IdempotencyKey: m.IdempotencyKey, Tenant: m.Tenant, AffinityKey: m.AffinityKey, IsRetry: m.IsRetry,
		Deadline: timeout, Body: bytes.Join(attempt.Request.Body.Chunks(), nil), ContentFormat: -1,
	}
	if m.ContentType != "" {
		request.ContentFormat = format.ContentFormat(m.ContentType)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.open(); err != nil {
		return 0, nil, err
	}
	s.handle++
	result := make(chan client.Action, 1)
	s.inFlight[s.handle] = pendingAttempt{attempt, result}
	s.execute(s.protocol.Start(s.now(), s.handle, request, nil))
	return s.handle, result, nil
}

// execute carries out the protocol's actions. mu is locked. A datagram that the kernel
// does not accept at once is handled like one that the network lost.
func (s *socket) execute(actions []client.Action) {
	for i := 0; i < len(actions); i++ {
		switch action := &actions[i]; action.Kind {
		case client.Commit:
			// The dispatcher learns of it before the first datagram that may run the
			// request is sent. If it has abandoned the attempt, that one is not sent.
			if x, ok := s.inFlight[action.Handle]; ok && !x.attempt.Commit() {
				if i+1 < len(actions) && actions[i+1].Kind == client.Send {
					i++
				}
				s.abandon(action.Handle)
			}
		case client.Send:
			if _, err := s.conn.Write(action.Datagram); errors.Is(err, syscall.ECONNREFUSED) {
				actions = s.protocol.PeerUnreachable(s.now(), actions)
			}
		case client.Finish:
			if x, ok := s.inFlight[action.Handle]; ok {
				delete(s.inFlight, action.Handle)
				x.result <- *action
			}
		}
	}
	if due, ok := s.protocol.Next(); ok {
		s.timer.Reset(max(0, due-s.now()))
	}
}

// cancel abandons an attempt if it is in flight.
func (s *socket) cancel(handle uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abandon(handle)
}

// abandon cancels the exchange of an attempt. mu is locked.
func (s *socket) abandon(handle uint64) {
	x, ok := s.inFlight[handle]
	if !ok {
		return
	}
	delete(s.inFlight, handle)
	close(x.result)
	s.execute(s.protocol.Cancel(s.now(), handle, nil))
}
