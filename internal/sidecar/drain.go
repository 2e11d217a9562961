package sidecar

import (
	"log/slog"
	"net"
	"time"

	"otterspring/balance"
	"otterspring/internal/coapupstream"
	"otterspring/internal/discovery"
	"otterspring/internal/httpfront"
	"otterspring/internal/sidecar/dispatch"
)

const (
	// At a planned restart connections come for another 0.4 s, and those that
	// the kernel accepted are the sidecar's. Idle connections are closed after
	// that: a client whose request crosses the close sends it once more on a
	// new one. What is not whole by cutAt never counts as taken.
	closeIdleAt = 480 * time.Millisecond
	cutAt       = 660 * time.Millisecond

	drainStep = 10 * time.Millisecond
	// flushFor is how long clients may take to read what was handed back to
	// them; after it their connections are cut.
	flushFor = 500 * time.Millisecond
)

// SetFinish sets how long after the begin of a drain requests may still be
// finished; 0 takes the usual bound. A drain under way looks at it once, at its
// begin.
func (s *Sidecar) SetFinish(d time.Duration) { s.finish.Store(int64(d)) }

// drainBound is how long a drain may take until what is open is handed back.
// Usually that is the time in which requests still come, and the longest wait
// that a client may ask for: nothing is handed back then that its client still
// waits for. A shorter bound is for supervisors that kill sooner.
func (s *Sidecar) drainBound() time.Duration {
	if d := time.Duration(s.finish.Load()); d > 0 {
		return d
	}
	longest := time.Duration(0)
	for _, c := range s.cfg.Settings.Classes {
		longest = max(longest, c.Deadline)
	}
	return cutAt + httpfront.DeadlineSlack*longest + time.Second
}

// Drain ends the service at a planned restart. It returns when every request
// that was taken is answered, at the bound of the drain at the latest: what is
// open then gets its final answer at once, which says truthfully whether trying
// again is harmless.
func (s *Sidecar) Drain() {
	began := time.Now()
	end := began.Add(s.drainBound())
	s.front.SetDraining(true)
	s.coapDraining(true)
	time.Sleep(closeIdleAt)
	s.front.CutIdle()
	time.Sleep(cutAt - time.Since(began))
	s.front.Shut()
	s.drainUntil(end, nil)
	s.coapEnd()
	s.stop()
}

// Retire ends the service after another process has taken the listening socket
// over: new connections are that one's, what this one has it answers. It
// returns true when all is answered, and false as soon as abort is closed: then
// the other process has ended, and this one serves on.
func (s *Sidecar) Retire(abort <-chan struct{}) bool {
	end := time.Now().Add(s.drainBound())
	s.front.Pause()
	s.front.SetDraining(true)
	// Connections that are asked on meanwhile get their answer and are closed
	// with it. The rest are closed between requests.
	if waitFor(closeIdleAt, abort) {
		s.front.CutIdle()
		if waitFor(cutAt-closeIdleAt, abort) && s.drainUntil(end, abort) {
			s.front.Leave()
			s.coapEnd()
			s.stop()
			return true
		}
	}
	s.front.SetDraining(false)
	s.coapDraining(false)
	s.front.Resume()
	return false
}

// waitFor waits; false if abort was closed first.
func waitFor(d time.Duration, abort <-chan struct{}) bool {
	select {
	case <-time.After(d):
		return true
	case <-abort:
		return false
	}
}

// drainUntil waits until no connection and no request is left; false if abort was closed
// first. At end what is open is handed back, and a little later cut off.
func (s *Sidecar) drainUntil(end time.Time, abort <-chan struct{}) bool {
	handed := false
	for !s.front.Empty() || !s.coapIdle() {
		s.front.CutReading()
		now := time.Now()
		if !handed && !now.Before(end) {
			handed = true
			_, unacked := s.coapOpen()
			slog.Warn("drain: its time is over", "handed_back", s.eng.AnswerPending(), "answers_without_ack", unacked)
		}
		if now.After(end.Add(flushFor)) {
			if n := s.front.Abandon(); n > 0 {
				slog.Warn("drain: connections cut that did not read their answers", "connections", n)
			}
			time.Sleep(drainStep)
			return true
		}
		if !waitFor(drainStep, abort) {
			return false
		}
	}
	return true
}

// Resume accepts connections, after a start that was paused.
func (s *Sidecar) Resume() { s.front.Resume() }

// Listener is the listening socket, for a process that takes over.
func (s *Sidecar) Listener() *net.TCPListener { return s.front.Listener() }

// Held is the list as this process holds it, in discovery's form, for a process
// that takes over.
func (s *Sidecar) Held() []byte { return discovery.Text(s.eng.Endpoints()) }

// Hear takes the list that the other process of a hand-over holds, if it is
// newer than the own one: the versions are of the same discovery.
func (s *Sidecar) Hear(text []byte) {
	l, err := discovery.ParseText(text, coapupstream.Scheme)
	if err != nil {
		slog.Warn("handover: a list that can't be read", "why", err)
		return
	}
	if index, moves := s.eng.EndpointVersion(); l.Version > index {
		s.eng.UpdateEndpoints(balance.ListFull, l, moves)
	}
}

// OnList has every list that discovery tells from now on passed to f too, until
// OffList or the next OnList.
func (s *Sidecar) OnList(f func([]byte)) {
	s.eng.OnEndpointUpdate(func(l dispatch.EndpointList) { f(discovery.Text(l)) })
}

// OffList ends OnList.
func (s *Sidecar) OffList() { s.eng.OnEndpointUpdate(nil) }

// Alive tells within the time given whether the decisions are still being made:
// whether the dispatcher's mutex is to be had.
func (s *Sidecar) Alive(within time.Duration) bool {
	got := make(chan struct{})
	go func() {
		s.eng.Barrier()
		close(got)
	}()
	select {
	case <-got:
		return true
	case <-time.After(within):
		return false
	}
}
