package exchange

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"otterspring/internal/coap/message"
)

// An unsafe exchange that one process has seen, whole, settled or without an
// answer yet, is not run by the next, as long as it may be repeated; safe ones
// and new ones are.
func TestNextProcessKnows(t *testing.T) {
	first, err := NewServer(DefaultParams(), ServerLimits{MaxPendingRequests: 4, MaxDedupEntries: 4, MaxCompletedUnsafe: 100}, 1)
	if err != nil {
		t.Fatal(err)
	}
	post := func(s *Server, now time.Duration, id uint16, code message.Code) (ran bool, sent message.Code) {
		for _, a := range s.Receive(now, clientAddr, &message.Message{Type: message.Confirmable, Code: code, ID: id}, nil) {
			if a.Kind == Deliver {
				ran = true
				if id != 99 {
					s.Respond(now, a.Handle, message.Message{Code: message.Changed}, nil)
				}
			} else if a.Kind == Send {
				sent = message.Code(a.Datagram[1])
			}
		}
		return ran, sent
	}
	post(first, 0, 99, message.POST) // open for good
	for id := range uint16(20) {
		post(first, 0, id, message.POST)
	}
	post(first, 0, 50, message.GET)
	text := first.ExportTable(10 * time.Second)
	next := func(age time.Duration) *Server {
		s, err := NewServer(DefaultParams(), ServerLimits{MaxPendingRequests: 4, MaxDedupEntries: 4, MaxCompletedUnsafe: 100}, 2)
		if err != nil {
			t.Fatal(err)
		}
		if err := s.ImportTable(0, age, text, false); err != nil {
			t.Fatal(err)
		}
		return s
	}
	s := next(time.Second)
	for _, id := range []uint16{0, 7, 19, 99} {
		if ran, sent := post(s, time.Second, id, message.POST); ran || sent != message.BadGateway {
			t.Errorf("exchange %d of the process before: ran %v, answered %v", id, ran, sent)
		}
	}
	if ran, _ := post(s, time.Second, 50, message.GET); !ran {
		t.Error("a safe one is not asked for again")
	}
	if ran, _ := post(s, time.Second, 1000, message.POST); !ran {
		t.Error("a new one does not run")
	}
	if ran, _ := post(next(10*time.Minute), time.Second, 7, message.POST); !ran {
		t.Error("one that can't be repeated any more is still held against its id")
	}

	// While the one before still answers what it has open, repeats of that get no
	// answer here; all else is as before.
	s = func() *Server {
		s, _ := NewServer(DefaultParams(), ServerLimits{MaxPendingRequests: 4, MaxDedupEntries: 4, MaxCompletedUnsafe: 100}, 2)
		if err := s.ImportTable(0, 0, text, true); err != nil {
			t.Fatal(err)
		}
		return s
	}()
	if ran, sent := post(s, time.Second, 99, message.POST); ran || sent != 0 {
		t.Errorf("one that is open at the process before: ran %v, answered %v", ran, sent)
	}
	if ran, sent := post(s, time.Second, 7, message.POST); ran || sent != message.BadGateway {
		t.Errorf("one that it has answered: ran %v, answered %v", ran, sent)
	}
	s.PredecessorEnded()
	if ran, sent := post(s, time.Second, 99, message.POST); ran || sent != message.BadGateway {
		t.Errorf("once that has ended: ran %v, answered %v", ran, sent)
	}

	// Whatever is wrong with it, nothing is taken.
	for name, bad := range map[string][]byte{
		"empty": nil, "cut": text[:len(text)-1], "cut by an entry": append(bytes.Clone(text[:len(text)-45]), text[len(text)-32:]...),
		"another bit": append(append(bytes.Clone(text[:60]), text[60]^1), text[61:]...), "another version": append([]byte("otterspring coap exchanges 1\n"), text[len(carryMagic):]...),
	} {
		s, _ := NewServer(DefaultParams(), ServerLimits{MaxPendingRequests: 4, MaxDedupEntries: 4, MaxCompletedUnsafe: 100}, 2)
		if err := s.ImportTable(0, 0, bad, false); !errors.Is(err, ErrInvalidTable) || s.old.count != 0 {
			t.Errorf("%s: %v, %d taken", name, err, s.old.count)
		}
	}
	if err := s.ImportTable(0, 0, text, false); !errors.Is(err, ErrInvalidTable) {
		t.Errorf("into a server that has exchanges: %v", err)
	}
}

// FuzzContinue: no bytes make it panic, or take a table that it has not written.
func FuzzContinue(f *testing.F) {
	s, _ := NewServer(DefaultParams(), ServerLimits{MaxPendingRequests: 1, MaxDedupEntries: 1, MaxCompletedUnsafe: 10}, 1)
	f.Add(s.ExportTable(0))
	f.Add([]byte(carryMagic))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, _ := NewServer(DefaultParams(), ServerLimits{MaxPendingRequests: 1, MaxDedupEntries: 1, MaxCompletedUnsafe: 10}, 1)
		if err := s.ImportTable(0, 0, text, false); err == nil && !bytes.HasPrefix(text, []byte(carryMagic)) {
			t.Error("taken")
		}
	})
}
