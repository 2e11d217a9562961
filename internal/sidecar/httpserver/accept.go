package httpserver

import (
	"errors"
	"io"
	"net"
	"os"
	"time"
)

const (
	// acceptRetryDelay is the pause after a failed accept, for example when the process is
	// out of file descriptors.
	acceptRetryDelay = 5 * time.Millisecond
	// Accept pauses for evictionPause after evictionBurst evictions of incomplete requests.
	evictionBurst = 4
	evictionPause = time.Millisecond
)

// Accept returns the next connection. If MaxServed connections are open, Accept closes an
// idle connection, or one whose request is incomplete. If there is neither, the request of the new
// connection is rejected. While MaxServed and another MaxRejected connections are open, further
// connections wait in the kernel's accept queue. Accept returns io.EOF once the server has stopped
// listening.
func (s *Server) Accept() (net.Conn, error) {
	for {
		s.pauseAfterEvictions()
		stopped := s.awaitPlace()
		accepted, err := s.listener.AcceptTCP()
		switch {
		case err == nil:
			if c := s.admit(accepted); c != nil {
				return c, nil
			}
		case errors.Is(err, net.ErrClosed), stopped && errors.Is(err, os.ErrDeadlineExceeded):
			return nil, io.EOF
		case !errors.Is(err, os.ErrDeadlineExceeded): // otherwise paused or stopped
			// The process may be out of file descriptors. Closing an idle connection frees a
			// descriptor.
			s.events.count(eventAcceptFailed)
			s.evictIdle()
			time.Sleep(acceptRetryDelay)
		}
	}
}

// awaitPlace waits while the server is paused or all places are taken, and makes places free. It
// reports whether the server has stopped listening.
func (s *Server) awaitPlace() (stopped bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for !s.stopped && (s.paused || len(s.connections) >= s.settings.MaxServed+s.settings.MaxRejected) {
		if !s.paused && !s.evictIdleLocked() && !s.evictIncomplete() {
			time.AfterFunc(minIncompleteAge, s.acceptCond.Broadcast)
		}
		s.acceptCond.Wait()
	}
	return s.stopped
}

// admit adds an accepted connection. It returns nil if the connection is already closed.
func (s *Server) admit(accepted *net.TCPConn) *clientConn {
	raw, err := accepted.SyscallConn()
	if err != nil {
		_ = accepted.Close() // nothing was read or written
		return nil
	}
	c := &clientConn{Conn: accepted, raw: raw, server: s}
	c.readingSince.Store(s.now())
	s.mu.Lock()
	defer s.mu.Unlock()
	full := len(s.connections) >= s.settings.MaxServed
	c.rejected = full && !s.evictIdleLocked() && !s.evictIncomplete()
	s.connections[c] = true
	return c
}

// pauseAfterEvictions makes Accept pause after a burst of evictions, so that clients that connect
// again as soon as they are evicted leave processor time to the requests of others.
func (s *Server) pauseAfterEvictions() {
	s.mu.Lock()
	pause := s.evictions >= evictionBurst
	if pause {
		s.evictions = 0
	}
	s.mu.Unlock()
	if pause {
		time.Sleep(evictionPause)
	}
}

// evictIdle closes one idle connection and reports whether there was an idle connection. It
// prevents idle connections from exhausting the connection limit. Such connections belong to
// clients that never send a request, to clients that keep a connection open after a single
// request, and to oversized connection pools.
//
// Connections without a request so far are closed first, once they are older than minSilentAge. A connection with unread
// bytes is not closed. A client that connects long before it sends its first request may find
// the connection closed; it then opens another connection.
func (s *Server) evictIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evictIdleLocked()
}

// evictIdleLocked is evictIdle for a caller that holds the lock.
func (s *Server) evictIdleLocked() bool {
	now := s.now()
	for {
		var candidate *clientConn
		for c := range s.connections {
			if c.phase.Load() == phaseIdle && !c.isNew(now) && (candidate == nil || c.evictsBefore(candidate)) {
				candidate = c
			}
		}
		if candidate == nil {
			return false
		}
		if candidate.hasUnread() {
			// A request has begun to arrive: treat the connection as reading.
			if !candidate.phase.CompareAndSwap(phaseIdle, phaseReading) {
				continue
			}
			candidate.restartTimes()
			continue
		}
		if candidate.closeIfIdle() {
			s.events.count(eventEvictedIdle)
			return true
		}
	}
}

// evictIncomplete rejects the incomplete request that has been read for the longest time and
// closes its connection, if such a request is older than minIncompleteAge. A connection is not
// served better for having come earlier: requests of usual clients are complete soon, and
// connections that wait in the accept queue may carry some. The caller holds the lock.
func (s *Server) evictIncomplete() bool {
	var candidate *clientConn
	now := s.now()
	for c := range s.connections {
		if c.phase.Load() != phaseReading || c.evicted.Load() || now-c.readingSince.Load() < minIncompleteAge.Milliseconds() {
			continue
		}
		if candidate == nil || c.readingSince.Load() < candidate.readingSince.Load() {
			candidate = c
		}
	}
	if candidate == nil {
		return false
	}
	candidate.evicted.Store(true)
	candidate.interruptRead()
	s.events.count(eventEvictedIncomplete)
	s.evictions++
	return true
}

// closeExcessIdle closes the connection that has been idle for the longest time, if more than
// MaxIdle idle connections have completed a request. This bounds every connection pool that
// grows without reusing its connections. It also keeps half of the connection limit available
// for new connections at any time.
//
// The connection limit alone does not suffice, because client connections use at most a third
// of the file descriptors. A client that opens a connection for each request and keeps the
// earlier connections open for a while would run out of descriptors before this server
// reaches its connection limit. The request rate of the client would then be limited by how
// fast it closes connections.
//
// A client that rotates over more than MaxIdle connections has to reconnect. It retries a
// request that it sends while the server closes the connection.
func (s *Server) closeExcessIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	idle := 0
	var oldest *clientConn
	for c := range s.connections {
		if c.phase.Load() == phaseIdle && c.hadRequest.Load() {
			idle++
			if oldest == nil || c.evictsBefore(oldest) {
				oldest = c
			}
		}
	}
	if idle > s.settings.MaxIdle && !oldest.hasUnread() && oldest.closeIfIdle() {
		s.events.count(eventClosedExcessIdle)
	}
}
