package sidecar

import (
	"log/slog"
	"time"

	"otterspring/internal/sidecar/httpserver"
)

const (
	// At a planned restart, new connections arrive for another 0.4 s. The sidecar has to
	// serve every connection that the kernel has accepted. Idle connections are closed
	// after idleCloseDelay. A client whose request crosses the close retries the request
	// once on a new connection. A request that is still incomplete after readCutoffDelay
	// does not count as accepted. Both delays begin at the start of the drain.
	idleCloseDelay  = 480 * time.Millisecond
	readCutoffDelay = 660 * time.Millisecond

	drainPollInterval = 10 * time.Millisecond
	// flushTimeout is how long clients can read their answers after a drain timeout. Their
	// connections are closed then.
	flushTimeout = 500 * time.Millisecond
)

// SetDrainTimeout sets how long a drain waits for pending requests to complete. 0 selects
// the default. A drain in progress is not affected.
func (s *Sidecar) SetDrainTimeout(timeout time.Duration) {
	s.configuredDrainTimeout.Store(int64(timeout))
}

// drainTimeout returns how long a drain waits for pending requests. After that time the
// sidecar answers them itself. The default is longer than the time during which requests
// still arrive plus the longest deadline that a client may set. A client that still waits
// for an answer therefore does not lose it. A shorter timeout is meant for service managers
// that kill the process earlier.
func (s *Sidecar) drainTimeout() time.Duration {
	if timeout := time.Duration(s.configuredDrainTimeout.Load()); timeout > 0 {
		return timeout
	}
	longest := time.Duration(0)
	for _, class := range s.config.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return readCutoffDelay + httpserver.MaxDeadlineFactor*longest + time.Second
}

// Drain shuts the sidecar down gracefully for a planned restart. It returns when every
// accepted request is answered, and at the latest flushTimeout after the drain timeout.
// When the drain timeout expires, each pending request gets a final answer that states
// correctly whether a retry is safe.
func (s *Sidecar) Drain() {
	started := time.Now()
	deadline := started.Add(s.drainTimeout())
	s.httpServer.SetDraining(true)
	s.setCoAPDraining(true)
	time.Sleep(idleCloseDelay)
	s.httpServer.CloseIdle()
	time.Sleep(readCutoffDelay - time.Since(started))
	s.httpServer.StopListening()
	s.awaitDrained(deadline, nil)
	s.closeCoAP()
	s.cancel()
}

// DrainForSuccessor shuts the sidecar down after another process has taken over the
// listening socket: new connections go to the successor, existing ones are served here. It
// returns true when all requests are answered. abort is closed if the successor ends first.
// DrainForSuccessor then returns false, and this process accepts connections again.
func (s *Sidecar) DrainForSuccessor(abort <-chan struct{}) bool {
	deadline := time.Now().Add(s.drainTimeout())
	s.httpServer.Pause()
	s.httpServer.SetDraining(true)
	// A connection that carries a request during the delay is closed after the answer.
	// CloseIdle closes the connections that are idle after the delay.
	if sleepUnless(idleCloseDelay, abort) {
		s.httpServer.CloseIdle()
		if sleepUnless(readCutoffDelay-idleCloseDelay, abort) && s.awaitDrained(deadline, abort) {
			s.httpServer.ReleaseListener()
			s.closeCoAP()
			s.cancel()
			return true
		}
	}
	s.httpServer.SetDraining(false)
	s.setCoAPDraining(false)
	s.httpServer.Resume()
	return false
}

// sleepUnless waits for a duration and returns true. It returns false early if abort is
// closed.
func sleepUnless(duration time.Duration, abort <-chan struct{}) bool {
	select {
	case <-time.After(duration):
		return true
	case <-abort:
		return false
	}
}

// awaitDrained waits until no connection and no request is left, and returns false if abort
// is closed first. It answers pending requests at the deadline and closes the remaining
// connections flushTimeout later.
func (s *Sidecar) awaitDrained(deadline time.Time, abort <-chan struct{}) bool {
	timedOut := false
	for !s.httpServer.Drained() || !s.coapIdle() {
		s.httpServer.CloseIncomplete()
		now := time.Now()
		if !timedOut && !now.Before(deadline) {
			timedOut = true
			_, unacknowledged := s.coapPending()
			slog.Warn("drain timed out; pending requests are answered", "requests", s.dispatcher.AnswerPending(), "unacknowledged", unacknowledged)
		}
		if now.After(deadline.Add(flushTimeout)) {
			if closed := s.httpServer.CloseAll(); closed > 0 {
				slog.Warn("drain closed connections that did not read their answers", "connections", closed)
			}
			time.Sleep(drainPollInterval)
			return true
		}
		if !sleepUnless(drainPollInterval, abort) {
			return false
		}
	}
	return true
}

// Resume starts accepting connections after a start with Options.Paused.
func (s *Sidecar) Resume() { s.httpServer.Resume() }
