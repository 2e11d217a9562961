package coapserver

import (
	"encoding/binary"
	"errors"
	"log/slog"
	"net"
	"time"

	"otterspring/internal/sidecar/dispatch"
)

// The state that HandOver returns has two parts. The first part is the time in nanoseconds
// during which clients can still retransmit earlier requests that are unknown to this
// process. It is encoded as 8 bytes in big-endian order. The second part is the table of
// exchanges.

const (
	uncertaintyBytes = 8
	// maxUncertainty bounds the duration that is accepted from a predecessor.
	maxUncertainty = time.Hour
)

// errNoHandoverState is logged if the predecessor has not handed over its state.
var errNoHandoverState = errors.New("the predecessor handed over no table of exchanges")

// Socket returns the socket, which is passed to a successor.
func (s *Server) Socket() *net.UDPConn { return s.conn }

// HandOver stops receiving, so that a successor can receive on the same socket. It returns
// the state that the successor must pass to TakeOver. This process still responds to its
// pending requests. It notifies its observers that they must register again.
func (s *Server) HandOver() []byte {
	s.mu.Lock()
	s.paused, s.handedOver = true, true
	s.setReadDeadline(dispatch.PastDeadline)
	table, uncertainFor := s.protocol.ExportState(s.now())
	s.execute(s.protocol.EndObservations(s.now(), nil))
	return append(binary.BigEndian.AppendUint64(nil, uint64(uncertainFor)), table...)
}

// CancelHandOver starts receiving again after HandOver if the successor has ended. Since the
// successor may have executed requests that are unknown to this process, unsafe requests then
// require an Echo option, in the same way as after a crash. Without a preceding HandOver,
// CancelHandOver does nothing.
func (s *Server) CancelHandOver() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.handedOver {
		s.handedOver = false
		s.protocol.InvalidateHistory(s.now())
		s.startReading()
	}
}

// TakeOver applies the state from the predecessor's HandOver and starts receiving. If the
// state is missing or malformed, unsafe requests require an Echo option, in the same way as
// after a crash.
func (s *Server) TakeOver(state []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.paused || s.handedOver {
		return // already receiving
	}
	err := errNoHandoverState
	if len(state) >= uncertaintyBytes {
		uncertainFor := time.Duration(binary.BigEndian.Uint64(state))
		err = s.protocol.ImportState(s.now(), 0, state[uncertaintyBytes:], min(max(0, uncertainFor), maxUncertainty), true)
	}
	if err != nil {
		s.protocol.InvalidateHistory(s.now())
		slog.Warn("unsafe CoAP requests require an Echo until earlier messages have expired", "error", err)
	}
	s.startReading()
}

// PredecessorEnded records that the predecessor has ended and sends no more responses. If
// TakeOver has not been called, PredecessorEnded starts receiving without a state.
func (s *Server) PredecessorEnded() {
	s.TakeOver(nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.protocol.PredecessorEnded()
}

// startReading signals Serve to start reading. The caller holds mu.
func (s *Server) startReading() {
	s.paused = false
	s.setReadDeadline(time.Time{})
	select {
	case s.readEnabled <- struct{}{}:
	default:
	}
}

// setReadDeadline sets the read deadline of the socket. The error of a closed socket is
// ignored, since nothing is read from it.
func (s *Server) setReadDeadline(deadline time.Time) {
	if err := s.conn.SetReadDeadline(deadline); err != nil && !errors.Is(err, net.ErrClosed) {
		slog.Warn("setting the read deadline of the CoAP socket failed", "error", err)
	}
}
