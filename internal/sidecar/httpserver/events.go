package httpserver

import (
	"log/slog"
	"sync/atomic"
	"time"
)

// event is something that a client experiences other than an upstream's response. Events are
// counted, because a line for each would let one client fill the log.
type event int

const (
	eventAcceptFailed      event = iota // accept returned an error
	eventEvictedIdle                    // an idle connection was closed for a new one
	eventClosedExcessIdle               // an idle connection was closed, more than MaxIdle being open
	eventTimedOut                       // a connection was closed for a timeout without a complete request
	eventWriteTimedOut                  // a client did not read its response
	eventInvalid                        // a request was rejected as invalid or unreadable
	eventBusy                           // a request was rejected for lack of connections or memory
	eventRepeatedID                     // a request was rejected for its ID
	eventDisconnected                   // a client disconnected before its answer
	eventShed                           // the balancer rejected a request
	eventFailed                         // a request failed
	eventExpired                        // a request was rejected, its deadline having passed behind earlier requests
	eventEvictedIncomplete              // a connection with an incomplete request was closed for a new one
	eventCount
)

// eventKeys are the keys under which the events are logged.
var eventKeys = [eventCount]string{
	"accept_failed", "evicted_idle", "closed_excess_idle", "timed_out", "write_timed_out", "invalid", "busy", "repeated_id", "disconnected", "shed", "failed", "expired", "evicted_incomplete",
}

// eventReportInterval is the time between two lines with the counts of events.
const eventReportInterval = 5 * time.Second

// eventCounts counts the events of a server. count is safe for concurrent use.
type eventCounts struct {
	counts [eventCount]atomic.Int64
	// Used by the sweep's goroutine only.
	reported   [eventCount]int64
	reportedAt int64 // a time of Server.now
}

func (e *eventCounts) count(occurred event) { e.counts[occurred].Add(1) }

// takeNew returns the events that occurred since the last call, as keys and counts for a log
// line. The result is empty if there were none, or if the last call with a result was less than
// eventReportInterval ago.
func (e *eventCounts) takeNew(now int64) []any {
	if now-e.reportedAt < eventReportInterval.Milliseconds() {
		return nil
	}
	var attributes []any
	for i := range e.counts {
		total := e.counts[i].Load()
		if total != e.reported[i] {
			attributes = append(attributes, slog.Int64(eventKeys[i], total-e.reported[i]))
			e.reported[i] = total
		}
	}
	if attributes != nil {
		e.reportedAt = now
	}
	return attributes
}

// phaseNames are the names under which the numbers of connections by phase are logged.
var phaseNames = [phaseClosing + 1]string{"idle", "reading", "waiting", "responding", "closing"}

// reportEvents logs the events that occurred since the last line, with the numbers of connections
// by phase.
func (s *Server) reportEvents(now int64) {
	attributes := s.events.takeNew(now)
	if len(attributes) == 0 {
		return
	}
	for phase, count := range s.countPhases() {
		attributes = append(attributes, slog.Int(phaseNames[phase], count))
	}
	slog.Info("client connections", attributes...)
}

// countPhases returns the numbers of connections by phase.
func (s *Server) countPhases() (counts [phaseClosing + 1]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		counts[c.phase.Load()]++
	}
	return counts
}
