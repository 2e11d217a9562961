package server

import "time"

// This file decides whether a request may have been executed by an earlier process. Within a
// process, duplicates are detected by their message IDs; after a crash, the message IDs that
// the earlier process received are unknown.

// ensureStarted records the time of the first call as the start of this process.
func (s *Server) ensureStarted(now time.Duration) {
	if s.started {
		return
	}
	s.started, s.historyKnownAt = true, now
	if !s.settings.HistoryKnown {
		s.historyKnownAt = now + s.settings.Params.ExchangeLifetime()
	}
}

// provablyNew reports whether it is certain that no earlier process has executed the request.
// This is certain if the request carries a fresh Echo value of this process. It is also
// certain from historyKnownAt on, since no message that was sent to an earlier process can
// then still arrive (RFC 7252, section 4.8.2). With RequireEcho, admit has already checked
// that the request carries a fresh Echo value.
func (s *Server) provablyNew(now time.Duration, exec *execution) bool {
	return s.settings.RequireEcho || exec.freshEcho || now >= s.historyKnownAt
}

// ExportState returns the table of exchanges for a later process. It also returns the time
// during which clients can still retransmit requests that earlier processes received and that
// are unknown to this process.
func (s *Server) ExportState(now time.Duration) (table []byte, uncertainFor time.Duration) {
	s.ensureStarted(now)
	return s.exchanges.ExportTable(now), max(0, s.historyKnownAt-now)
}

// ImportState applies the state that an earlier process exported; age is the time since the
// export. ImportState must be called before the first datagram is received. draining means
// that the earlier process still responds to its pending requests until PredecessorEnded is
// called. If exchange.Server.ImportTable fails, ImportState returns the error and applies
// nothing.
func (s *Server) ImportState(now, age time.Duration, table []byte, uncertainFor time.Duration, draining bool) error {
	if err := s.exchanges.ImportTable(now, age, table, draining); err != nil {
		return err
	}
	s.started, s.historyKnownAt = true, now+max(0, uncertainFor-age)
	return nil
}

// PredecessorEnded records that the earlier process no longer responds to its requests.
func (s *Server) PredecessorEnded() { s.exchanges.PredecessorEnded() }

// InvalidateHistory records that up to now another process may have executed requests that
// are unknown to this one. For EXCHANGE_LIFETIME, POST requests then require an Echo.
func (s *Server) InvalidateHistory(now time.Duration) {
	s.started, s.historyKnownAt = true, now+s.settings.Params.ExchangeLifetime()
}
