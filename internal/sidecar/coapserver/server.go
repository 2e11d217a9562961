// Package coapserver accepts the application's requests over CoAP. It owns the UDP socket
// and the timer that drive the state machine of package coap/server, and submits requests
// to the dispatcher. All protocol decisions are made by the state machine.
package coapserver

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"otterspring/internal/coap/message"
	"otterspring/internal/coap/server"
	"otterspring/internal/sidecar/dispatch"
)

// idleTimer is the delay of the timer while the state machine has nothing scheduled.
const idleTimer = time.Hour

// Server is a CoAP server on one UDP socket.
//
// Serve receives on the goroutine of its caller and starts a second goroutine, which delivers
// responses. The timer runs on a third goroutine. All three end with Close. mu guards the
// fields from protocol to handedOver. It is released before a datagram is sent or a request is
// submitted.
type Server struct {
	stateFile  *stateFile // nil if no state is saved
	conn       *net.UDPConn
	dispatcher *dispatch.Dispatcher
	bodies     *dispatch.BodyBudget
	start      time.Time

	mu         sync.Mutex
	protocol   *server.Server
	pending    map[uint64]*request // requests without a result, by handle
	timer      *time.Timer
	random     *rand.Rand
	paused     bool // datagrams are discarded, because the state was saved or another process receives
	handedOver bool // a successor has the socket and the state

	completed   chan *request // requests with a result; has capacity for all pending requests
	closed      chan struct{}
	readEnabled chan struct{} // signals Serve to start reading
	closeOnce   sync.Once
	wg          sync.WaitGroup
	sendErrors  atomic.Int64 // datagrams that the kernel rejected
}

// Listen opens the socket, or uses Settings.Conn if it is set. No datagram is read before
// Serve. Multicast and unspecified addresses are rejected. If the state file can't be read
// or written, the error wraps ErrStateFile.
func Listen(settings Settings, dispatcher *dispatch.Dispatcher) (*Server, error) {
	address, err := netip.ParseAddrPort(settings.Listen)
	if err != nil || address.Addr().IsMulticast() || address.Addr().IsUnspecified() {
		// On a socket with an unspecified address, multicast datagrams can't be told from
		// unicast ones (RFC 7252, section 8.1).
		return nil, fmt.Errorf("coap: listen: found %q, wanted one machine's IP address and a port", settings.Listen)
	}
	file, protocol, err := openProtocol(&settings)
	if err != nil {
		return nil, err
	}
	conn := settings.Conn
	if conn == nil {
		if conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(address)); err != nil {
			return nil, fmt.Errorf("coap: listen: %w", err)
		}
	} else if local := conn.LocalAddr().String(); local != settings.Listen {
		return nil, fmt.Errorf("coap: listen: inherited socket has address %s, want %s", local, settings.Listen)
	}
	s := &Server{
		stateFile: file, conn: conn, dispatcher: dispatcher, bodies: settings.Bodies, start: time.Now(),
		protocol: protocol, pending: map[uint64]*request{},
		// Not seeded from the configuration: after a restart the same seed would generate
		// the same request IDs again.
		random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		completed:   make(chan *request, settings.Protocol.Limits.MaxPendingRequests+settings.Protocol.MaxObservers),
		closed:      make(chan struct{}),
		readEnabled: make(chan struct{}, 1),
	}
	if settings.Conn == nil {
		s.readEnabled <- struct{}{}
	} else {
		s.paused = true // until TakeOver
	}
	s.timer = time.AfterFunc(idleTimer, s.tick)
	return s, nil
}

// openProtocol opens the state file and creates the state machine. If the previous process
// has saved a valid state, the state machine starts with that state. The state file is nil if
// Settings.StatePath is empty.
func openProtocol(settings *Settings) (*stateFile, *server.Server, error) {
	if settings.StatePath == "" {
		protocol, err := server.New(settings.Protocol)
		return nil, protocol, err
	}
	file, previous, err := openStateFile(settings.StatePath)
	if err != nil {
		return nil, nil, err
	}
	reason := previous.unknownReason
	settings.Protocol.HistoryKnown = reason == nil
	protocol, err := server.New(settings.Protocol)
	if err != nil {
		return nil, nil, err
	}
	if record := previous.record; record != nil {
		uncertainFor := time.Duration(record.UncertainMillis) * time.Millisecond
		if err := protocol.ImportState(0, record.age(), record.Table, uncertainFor, false); err != nil {
			reason = err
			settings.Protocol.HistoryKnown = false
			if protocol, err = server.New(settings.Protocol); err != nil {
				return nil, nil, err
			}
		}
	}
	if reason != nil && settings.Conn == nil {
		slog.Warn("unsafe CoAP requests require an Echo until earlier messages have expired", "error", reason,
			"path", settings.StatePath, "duration", settings.Protocol.Params.ExchangeLifetime())
	}
	return file, protocol, nil
}

// Addr returns the address and port of the socket.
func (s *Server) Addr() string { return s.conn.LocalAddr().String() }

// Counts returns the counters of the state machine, and the number of datagrams that the
// kernel rejected.
func (s *Server) Counts() (counts server.Counts, sendErrors int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.protocol.Counts(), s.sendErrors.Load()
}

// Pending returns the number of requests without a response, and the number of separate
// responses that are not acknowledged. A drain waits until both numbers are 0, since a
// successor does not retransmit the responses of this process. After HandOver the successor
// receives the acknowledgements, so no response counts as unacknowledged.
func (s *Server) Pending() (pending, unacknowledged int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.handedOver {
		unacknowledged = s.protocol.UnacknowledgedResponses()
	}
	return s.protocol.Pending(), unacknowledged
}

func (s *Server) now() time.Duration { return time.Since(s.start) }

// Serve receives and responds until Close.
func (s *Server) Serve() {
	s.wg.Add(1)
	go s.deliverResponses()
	defer s.wg.Wait()
	for {
		select {
		case <-s.readEnabled:
			s.read()
		case <-s.closed:
			return
		}
	}
}

// read receives datagrams until the socket is closed or HandOver sets its read deadline.
func (s *Server) read() {
	buffer := make([]byte, message.MaxDatagramSize+1)
	for {
		n, peer, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil {
			continue // an ICMP error for a datagram that was sent before
		}
		// IPv6 zones are removed, as they don't distinguish clients.
		peer = netip.AddrPortFrom(peer.Addr().Unmap().WithZone(""), peer.Port())
		s.mu.Lock()
		if s.paused {
			s.mu.Unlock() // the exported state does not include this datagram
			continue
		}
		s.execute(s.protocol.Receive(s.now(), peer, buffer[:n], nil))
	}
}

// tick is called by the timer.
func (s *Server) tick() {
	s.mu.Lock()
	s.execute(s.protocol.Tick(s.now(), nil))
}

// execute carries out the actions of the state machine. The caller holds mu; execute
// releases it before it sends datagrams or submits requests.
func (s *Server) execute(actions []server.Action) {
	if due, ok := s.protocol.Next(); ok {
		s.timer.Reset(max(0, due-s.now()))
	}
	var submissions []*request
	for i := range actions {
		if actions[i].Kind == server.Execute {
			submissions = append(submissions, s.newRequest(actions[i].Request))
		}
	}
	s.mu.Unlock()
	for i := range actions {
		if actions[i].Kind == server.Send {
			if _, err := s.conn.WriteToUDPAddrPort(actions[i].Datagram, actions[i].Peer); err != nil {
				s.sendErrors.Add(1) // handled like a datagram lost in the network
			}
		}
	}
	for _, r := range submissions {
		s.submit(r)
	}
}

// Drain rejects new requests until Resume. Pending requests still get their responses.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.protocol.Drain()
}

// Resume ends a drain.
func (s *Server) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.protocol.Resume()
}

// Close closes the socket, saves the state and waits for the server's goroutines. Pending
// requests get no response.
func (s *Server) Close() {
	s.closeOnce.Do(func() {
		close(s.closed)
		s.timer.Stop()
		if err := s.conn.Close(); err != nil {
			slog.Warn("closing the CoAP socket failed", "error", err)
		}
		s.saveState()
	})
	s.wg.Wait()
}

// saveState saves the state for the next process. From then on no request is executed. A
// datagram that has been read but not yet handled is discarded, since the saved state does
// not include the datagram.
func (s *Server) saveState() {
	if s.stateFile == nil {
		return
	}
	s.mu.Lock()
	if s.handedOver {
		s.mu.Unlock()
		return // the successor has the state
	}
	s.paused = true
	table, uncertainFor := s.protocol.ExportState(s.now())
	s.mu.Unlock()
	if err := s.stateFile.save(table, uncertainFor); err != nil {
		slog.Warn("saving the CoAP state failed", "error", err)
	}
}
