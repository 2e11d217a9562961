package exchange

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"otterspring/internal/coap/message"
)

// An unsafe request that one process has received, whether its exchange is remembered,
// reduced to a hash or pending, is not executed by the successor while duplicates may
// arrive; safe requests and new ones are.
func TestSuccessorKnowsExchanges(t *testing.T) {
	first, err := NewServer(DefaultParams(), ServerLimits{MaxPendingRequests: 4, MaxDedupEntries: 4, MaxCompletedUnsafe: 100}, 1)
	if err != nil {
		t.Fatal(err)
	}
	post := func(s *Server, now time.Duration, id uint16, code message.Code) (ran bool, sent message.Code) {
		for _, a := range s.Receive(now, clientAddr, &message.Message{Type: message.Confirmable, Code: code, ID: id}, nil) {
			switch a.Kind {
			case Deliver:
				ran = true
				if id == 99 {
					continue // no response ever
				}
				if _, err := s.Respond(now, a.Handle, message.Message{Code: message.Changed}, nil); err != nil {
					t.Fatal(err)
				}
			case Send:
				sent = message.Code(a.Datagram[1])
			}
		}
		return ran, sent
	}
	post(first, 0, 99, message.POST) // pending forever
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
			t.Errorf("exchange %d of the predecessor: executed %v, response %v", id, ran, sent)
		}
	}
	if ran, _ := post(s, time.Second, 50, message.GET); !ran {
		t.Error("a safe request is not executed again")
	}
	if ran, _ := post(s, time.Second, 1000, message.POST); !ran {
		t.Error("a new request is not executed")
	}
	if ran, _ := post(next(10*time.Minute), time.Second, 7, message.POST); !ran {
		t.Error("an exchange is remembered after its lifetime")
	}

	// While the predecessor drains, duplicates of its pending requests get no response
	// here; all else is as before.
	s = func() *Server {
		s, _ := NewServer(DefaultParams(), ServerLimits{MaxPendingRequests: 4, MaxDedupEntries: 4, MaxCompletedUnsafe: 100}, 2)
		if err := s.ImportTable(0, 0, text, true); err != nil {
			t.Fatal(err)
		}
		return s
	}()
	if ran, sent := post(s, time.Second, 99, message.POST); ran || sent != 0 {
		t.Errorf("pending at the predecessor: executed %v, response %v", ran, sent)
	}
	if ran, sent := post(s, time.Second, 7, message.POST); ran || sent != message.BadGateway {
		t.Errorf("responded by the predecessor: executed %v, response %v", ran, sent)
	}
	s.PredecessorEnded()
	if ran, sent := post(s, time.Second, 99, message.POST); ran || sent != message.BadGateway {
		t.Errorf("after the predecessor ended: executed %v, response %v", ran, sent)
	}

	// Of an invalid table nothing is imported.
	for name, bad := range map[string][]byte{
		"empty": nil, "truncated": text[:len(text)-1], "truncated by an entry": append(bytes.Clone(text[:len(text)-45]), text[len(text)-32:]...),
		"one bit changed": append(append(bytes.Clone(text[:60]), text[60]^1), text[61:]...), "another version": append([]byte("otterspring coap exchanges 1\n"), text[len(tableMagic):]...),
	} {
		s, _ := NewServer(DefaultParams(), ServerLimits{MaxPendingRequests: 4, MaxDedupEntries: 4, MaxCompletedUnsafe: 100}, 2)
		if err := s.ImportTable(0, 0, bad, false); !errors.Is(err, ErrInvalidTable) || s.completed.count != 0 {
			t.Errorf("%s: %v, %d imported", name, err, s.completed.count)
		}
	}
	if err := s.ImportTable(0, 0, text, false); !errors.Is(err, ErrInvalidTable) {
		t.Errorf("into a server with exchanges: %v", err)
	}
}

// FuzzImportTable checks that no bytes cause a panic, or are imported without the magic.
func FuzzImportTable(f *testing.F) {
	s, _ := NewServer(DefaultParams(), ServerLimits{MaxPendingRequests: 1, MaxDedupEntries: 1, MaxCompletedUnsafe: 10}, 1)
	f.Add(s.ExportTable(0))
	f.Add([]byte(tableMagic))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, _ := NewServer(DefaultParams(), ServerLimits{MaxPendingRequests: 1, MaxDedupEntries: 1, MaxCompletedUnsafe: 10}, 1)
		if err := s.ImportTable(0, 0, text, false); err == nil && !bytes.HasPrefix(text, []byte(tableMagic)) {
			t.Error("imported")
		}
	})
}
