package callserver

import (
	"fmt"
	"time"

	"otterspring/internal/lab/standin/deaf"
)

// Corruption is a way to corrupt the response to an executed request.
type Corruption int

// The kinds of corruption.
const (
	Intact             Corruption = iota // not corrupted
	Garbage                              // bytes that are not an HTTP response
	UnterminatedHeader                   // a header that does not end
	TruncatedBody                        // fewer bytes than Content-Length
	NegativeLength                       // a negative Content-Length
	EndlessBody                          // a Content-Length of 3 GiB, followed by data until the peer closes or a limit is reached
	OtherRequest                         // a complete response to another request
	LastCorruption     = OtherRequest
)

// text returns the corrupted response.
func (s Corruption) text(id, body string) string {
	switch s {
	case Garbage:
		return "\x00\x7f\x13 no answer at all \xff\xfe"
	case UnterminatedHeader:
		return "HTTP/1.1 200 OK\r\nX-One: 1\r\nX-Two: 2\r\n"
	case TruncatedBody:
		return "HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n" + body
	case NegativeLength:
		return "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n" + body
	case EndlessBody:
		return "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n"
	default:
		other := Body(id+"x", "elsewhere")
		return "HTTP/1.1 200 OK\r\nContent-Length: " + itoa(len(other)) + "\r\n\r\n" + other
	}
}

func itoa(n int) string {
	if n < 10 {
		return string(rune('0' + n))
	}
	return itoa(n/10) + string(rune('0'+n%10))
}

// Fault describes the faults of a server. Hang, Isolated and Slowdown are states of the
// server. Each of the other faults applies to a request with the given probability, drawn from
// the server's seed.
type Fault struct {
	Hang     bool    // accepts requests without answering
	Isolated bool    // open connections are silent and new ones are not established
	Slowdown float64 // factor on the execution time; 0 or 1 for none

	Probability     float64 // probability that the following faults apply to a request; 1 for every request
	Reject          bool    // rejects the request without executing it
	Error           bool    // answers 500 after execution
	ResetRequestAt  int     // resets the connection after this byte of the request, counted from 1
	ResetResponseAt int     // resets the connection after this byte of the response, counted from 1
	ResetRunning    bool    // resets the connection after the complete request was queued or started
	Corruption      Corruption

	Alternatives []Fault // faults drawn in order if this fault does not apply; their states are ignored
}

// SetFault sets the faults. The zero Fault clears them. The field Isolated is ignored, because
// Isolate sets that state and a restart clears it.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	f.Isolated = s.fault.Isolated
	s.fault = f
	s.startNext()
	s.mu.Unlock()
}

// drawFault draws the fault that applies to the next request.
func (s *Server) drawFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range append([]Fault{s.fault}, s.fault.Alternatives...) {
		if f.Probability >= 1 || f.Probability > 0 && s.rng.Float64() < f.Probability {
			return f
		}
	}
	return Fault{Slowdown: s.fault.Slowdown}
}

// Isolate simulates an unreachable host: open connections stay open and silent, and new ones
// are not established because the kernel's accept queue is full and drops them.
func (s *Server) Isolate() error {
	s.mu.Lock()
	ln := s.ln
	acceptStopped := make(chan struct{})
	s.acceptStopped = acceptStopped
	s.fault.Isolated = true
	s.mu.Unlock()
	if ln == nil {
		return nil // over UDP it is enough that the server stops reading and sending
	}
	// Stop accepting. After the deadline of the listener, Accept fails without a system call.
	// A call in progress may still accept a connection, so wait for the first call that fails.
	// After that call nothing else takes connections from the queue that is filled here.
	ln.SetDeadline(time.Unix(1, 0))
	select {
	case <-acceptStopped:
	case <-time.After(10 * time.Second):
		return fmt.Errorf("call server %s: it goes on accepting, wanted it to stop", s.cfg.Name)
	}
	fill, err := deaf.FillBacklog(ln)
	s.mu.Lock()
	s.fill = fill
	s.mu.Unlock()
	return err
}

// Rejoin makes an isolated server reachable again at addr; an empty addr selects the present
// address. Old connections are reset and the process restarts in the cold state.
func (s *Server) Rejoin(addr string) error { return s.Restart(addr) }

// releaseBacklog closes the connections that fill the accept queue.
func (s *Server) releaseBacklog() {
	s.mu.Lock()
	fill := s.fill
	s.fill = nil
	s.mu.Unlock()
	for _, nc := range fill {
		nc.Close()
	}
}
