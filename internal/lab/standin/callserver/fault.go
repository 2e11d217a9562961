package callserver

import (
	"fmt"
	"time"

	"otterspring/internal/lab/standin/deaf"
)

// Spoil is a way to spoil an answer whose request has run.
type Spoil int

// The ways.
const (
	Whole     Spoil = iota // not spoilt
	Noise                  // bytes that are no answer
	OpenHead               // a head that does not end
	Short                  // fewer bytes than its length says
	Negative               // a length that is no number
	Endless                // said to have 3 GB, and it keeps coming
	Another                // whole, and made for another request
	LastSpoil = Another
)

// text is the spoilt answer.
func (s Spoil) text(id, body string) string {
	switch s {
	case Noise:
		return "\x00\x7f\x13 no answer at all \xff\xfe"
	case OpenHead:
		return "HTTP/1.1 200 OK\r\nX-One: 1\r\nX-Two: 2\r\n"
	case Short:
		return "HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n" + body
	case Negative:
		return "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n" + body
	case Endless:
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

// Fault is what is wrong with a server. Hang, Vanish and Slow are states; the
// others strike each request with their chance, drawn by the server's seed.
type Fault struct {
	Hang   bool    // takes requests and answers none
	Vanish bool    // connections are silent, new ones never come up
	Slow   float64 // times longer, 0 or 1 for none

	Chance        float64 // of the following, for each request; 1 for all
	Refuse        bool    // turns it away: it did not run
	Error         bool    // answers 500 after it ran
	ResetAt       int     // resets the connection behind this byte of the request, from 1
	ResetAnswerAt int     // and behind this byte of the answer
	ResetRunning  bool    // resets it once the request is whole and, with a slot free, running
	Spoil         Spoil

	Also []Fault // drawn in turn where this one does not strike; their states count for nothing
}

// Set puts a fault on; the zero Fault takes all away. It must not be used to
// set Vanish: that is Vanish's.
func (s *Server) Set(f Fault) {
	s.mu.Lock()
	f.Vanish = s.fault.Vanish
	s.fault = f
	s.next()
	s.mu.Unlock()
}

// drawFault draws what strikes the next request.
func (s *Server) drawFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range append([]Fault{s.fault}, s.fault.Also...) {
		if f.Chance >= 1 || f.Chance > 0 && s.rng.Float64() < f.Chance {
			return f
		}
	}
	return Fault{Slow: s.fault.Slow}
}

// Vanish cuts the machine off: open connections stay open and silent, and new
// ones never come up, since the kernel's queue is full and drops what knocks.
func (s *Server) Vanish() error {
	s.mu.Lock()
	ln := s.ln
	parked := make(chan struct{})
	s.parked = parked
	s.fault.Vanish = true
	s.mu.Unlock()
	if ln == nil {
		return nil // over UDP silence is all there is to it
	}
	// Stop accepting: past its deadline an Accept fails before it asks the kernel.
	// One that was asking already may still take a connection, so wait for the
	// first that failed; from then on the queue is filled from here alone.
	ln.SetDeadline(time.Unix(1, 0))
	select {
	case <-parked:
	case <-time.After(10 * time.Second):
		return fmt.Errorf("call server %s: it goes on accepting, wanted it to stop", s.cfg.Name)
	}
	fill, err := deaf.Make(ln)
	s.mu.Lock()
	s.fill = fill
	s.mu.Unlock()
	return err
}

// Return brings a vanished machine back under addr ("" for the same): old
// connections are reset, and the process is new and cold.
func (s *Server) Return(addr string) error { return s.Restart(addr) }

// unfill lets go of what filled the accept queue.
func (s *Server) unfill() {
	s.mu.Lock()
	fill := s.fill
	s.fill = nil
	s.mu.Unlock()
	for _, nc := range fill {
		nc.Close()
	}
}
