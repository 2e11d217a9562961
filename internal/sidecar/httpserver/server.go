package httpserver

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"otterspring/internal/sidecar/dispatch"
)

const (
	sweepInterval   = 100 * time.Millisecond
	readBufferSize  = 8 << 10 // in bytes; also the maximum size of a request head
	writeBufferSize = 4 << 10 // in bytes
	// acceptQueueTimeout is how long StopListening accepts connections from the kernel's
	// accept queue.
	acceptQueueTimeout = 20 * time.Millisecond
)

// Settings configures the limits of a Server and the values that it reports at /up.
type Settings struct {
	MaxServed       int           // maximum number of connections that are served
	MaxRejected     int           // maximum number of further connections, whose requests are rejected
	MaxIdle         int           // maximum number of idle connections that have completed a request
	BodyBudgetBytes int           // memory limit for all request bodies together
	ReloadCounts    func() string // value of X-Reloads
	ListVersion     func() string // value of X-List; nil omits the header
	// ConfigurationStatus returns the values of X-Configuration and X-Configuration-Age.
	// If age is empty, X-Configuration-Age is omitted. If the function is nil, both headers
	// are omitted.
	ConfigurationStatus func() (version, age string)
}

// Server accepts the application's connections and serves their requests. Serve runs one
// goroutine per connection; Sweep runs in a goroutine of its own. All methods are safe for
// concurrent use.
type Server struct {
	// LingerTimeout limits how long a connection is still read after the server has closed
	// its own sending side. It must be set before the first connection is accepted.
	LingerTimeout time.Duration

	settings    Settings
	dispatcher  *dispatch.Dispatcher
	bodyBudget  *dispatch.BodyBudget
	listener    *net.TCPListener
	lingerSlots slots
	start       time.Time
	draining    atomic.Bool
	events      eventCounts
	// readsCutOffAt is the time at which a drain began to cut off incomplete requests; 0 before.
	readsCutOffAt atomic.Int64

	mu          sync.Mutex
	acceptCond  sync.Cond // signals that a connection was removed, or that accepting was resumed or stopped
	paused      bool      // Accept waits until Resume
	stopped     bool      // Accept returns io.EOF once the listener is closed or times out
	connections map[*clientConn]bool
	evictions   int // evictions of incomplete requests since the last pause of Accept
}

// New returns a server for a listener and takes ownership of the listener. No connection is
// accepted before Serve is called.
func New(listener *net.TCPListener, dispatcher *dispatch.Dispatcher, settings Settings) *Server {
	s := &Server{
		LingerTimeout: lingerTimeout, settings: settings, dispatcher: dispatcher, bodyBudget: dispatch.NewBodyBudget(settings.BodyBudgetBytes),
		listener: listener, connections: map[*clientConn]bool{}, start: time.Now(),
	}
	s.acceptCond.L = &s.mu
	// The other half of MaxRejected stays available for connections whose requests are rejected.
	s.lingerSlots.available.Store(int32(max(1, settings.MaxRejected/2)))
	return s
}

// Serve accepts and serves connections until the listener is closed.
func (s *Server) Serve() error {
	for {
		accepted, err := s.Accept()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		go s.serveConnection(accepted.(*clientConn))
	}
}

// Listener returns the listening socket, so that it can be passed to a successor.
func (s *Server) Listener() *net.TCPListener { return s.listener }

// Budget returns the memory budget of request bodies, which other servers may share.
func (s *Server) Budget() *dispatch.BodyBudget { return s.bodyBudget }

// SetDraining sets whether every response closes its connection.
func (s *Server) SetDraining(on bool) {
	s.draining.Store(on)
	s.readsCutOffAt.Store(0)
}

// Draining reports whether every response closes its connection.
func (s *Server) Draining() bool { return s.draining.Load() }

// IdleConnections returns the number of idle connections that have completed a request.
func (s *Server) IdleConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.connections {
		if c.phase.Load() == phaseIdle && c.hadRequest.Load() {
			n++
		}
	}
	return n
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections)
}

// CloseIdle closes the connections on which no byte of a request has arrived.
func (s *Server) CloseIdle() { s.cutOffReads(phaseIdle) }

// CloseIncomplete closes idle connections and those whose request is incomplete.
func (s *Server) CloseIncomplete() {
	s.readsCutOffAt.CompareAndSwap(0, s.now())
	s.cutOffReads(phaseReading)
}

// now returns the milliseconds since the start of the server, plus 1 so that it is never 0.
func (s *Server) now() int64 { return time.Since(s.start).Milliseconds() + 1 }

// Close closes the listener.
func (s *Server) Close() error { return s.listener.Close() }

// Addr returns the address of the listener.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

func (s *Server) remove(c *clientConn) {
	s.mu.Lock()
	delete(s.connections, c)
	s.mu.Unlock()
	s.acceptCond.Broadcast()
}

// cutOffReads cuts off the reads of all connections whose phase is not after the given phase.
// From such a connection, only bytes that the kernel has already received are still read.
func (s *Server) cutOffReads(phase int32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		if c.phase.Load() <= phase {
			c.readsCutOff.Store(true)
			c.interruptRead()
		}
	}
}

// StopListening closes the listener. Connections in the kernel's accept queue are accepted
// first, because closing the listener would reset them.
func (s *Server) StopListening() {
	s.stopAccepting()
	_ = s.listener.SetDeadline(time.Now().Add(acceptQueueTimeout)) // fails only if it is closed
	time.Sleep(acceptQueueTimeout)
	_ = s.listener.Close() // fails only if it is closed
}

// ReleaseListener closes this process's descriptor of a listener that a successor has open
// as well. The successor accepts the connections in the accept queue, so closing the
// descriptor resets no connection.
func (s *Server) ReleaseListener() {
	s.stopAccepting()
	_ = s.listener.Close() // fails only if it is closed
}

// stopAccepting makes Accept return io.EOF once the listener is closed or its deadline
// passes.
func (s *Server) stopAccepting() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.acceptCond.Broadcast()
}

// Pause stops accepting connections but keeps the socket open. New connections then wait in
// the kernel's accept queue.
func (s *Server) Pause() {
	s.mu.Lock()
	s.paused = true
	s.mu.Unlock()
	_ = s.listener.SetDeadline(dispatch.PastDeadline) // fails only if it is closed
}

// Resume accepts connections again after Pause.
func (s *Server) Resume() {
	s.mu.Lock()
	s.paused = false
	s.mu.Unlock()
	_ = s.listener.SetDeadline(time.Time{}) // fails only if it is closed
	s.acceptCond.Broadcast()
}

// CloseAll interrupts the reads and writes of all connections, whatever their phase, so that
// their goroutines close them. It returns the number of connections.
func (s *Server) CloseAll() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		c.interrupt()
	}
	return len(s.connections)
}

// Drained reports whether no connection is open.
func (s *Server) Drained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections) == 0
}

// Sweep periodically closes the connections of clients that exceed a timeout: the timeout for
// sending a request, for completing a request, or for reading a response. It returns when
// stop is closed.
func (s *Server) Sweep(stop <-chan struct{}) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		s.sweep(s.now())
		s.reportEvents(s.now())
	}
}

// sweep closes the connections that have timed out. While MaxServed connections are open,
// incomplete requests have a shorter timeout, because connections that wait in the kernel's
// accept queue may carry complete requests.
func (s *Server) sweep(now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := requestTimeout
	if len(s.connections) >= s.settings.MaxServed {
		limit = requestTimeoutAtCapacity
	}
	for c := range s.connections {
		if c.timedOut(now, limit) {
			s.events.count(eventTimedOut)
			if !c.closeIfIdle() && c.phase.Load() == phaseReading {
				c.interruptRead()
			}
		}
		if since := c.writingSince.Load(); since > 0 && now-since > writeTimeout.Milliseconds() {
			s.events.count(eventWriteTimedOut)
			c.interruptWrite()
		}
	}
}
