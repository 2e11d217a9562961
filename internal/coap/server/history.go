package server

import "time"

// This file holds what one process knows of the requests that earlier processes have
// executed: within a process, retransmissions are recognized by their message IDs.

// ensureStarted notes the time of the first call as this process's start.
func (s *Server) ensureStarted(now time.Duration) {
	if s.started {
		return
	}
	s.started, s.historyKnownAt = true, now
	if !s.settings.HistoryKnown {
		s.historyKnownAt = now + s.settings.Params.ExchangeLifetime()
	}
}

// provablyNew reports whether no earlier process can have executed the request: because its
// Echo value is this process's, or because no message from before this process's start can
// still arrive (RFC 7252, section 4.8.2).
func (s *Server) provablyNew(now time.Duration, exec *execution) bool {
	return s.settings.RequireEcho || exec.freshEcho || now >= s.historyKnownAt
}

// ExportState returns the table of exchanges for a later process, and for how long requests
// of still earlier processes are uncertain.
func (s *Server) ExportState(now time.Duration) (table []byte, uncertainFor time.Duration) {
	s.ensureStarted(now)
	return s.exchanges.ExportTable(now), max(0, s.historyKnownAt-now)
}

// ImportState applies what an earlier process has exported, age ago. It must be called
// before anything is received. draining means that the earlier process still answers its
// pending requests, until PredecessorEnded. With an error, which is that of
// exchange.Server.ImportTable, nothing is applied.
func (s *Server) ImportState(now, age time.Duration, table []byte, uncertainFor time.Duration, draining bool) error {
	if err := s.exchanges.ImportTable(now, age, table, draining); err != nil {
		return err
	}
	s.started, s.historyKnownAt = true, now+max(0, uncertainFor-age)
	return nil
}

// PredecessorEnded notes that the earlier process answers no request any more.
func (s *Server) PredecessorEnded() { s.exchanges.PredecessorEnded() }

// InvalidateHistory notes that another process may have executed requests until now that
// are unknown here.
func (s *Server) InvalidateHistory(now time.Duration) {
	s.started, s.historyKnownAt = true, now+s.settings.Params.ExchangeLifetime()
}
