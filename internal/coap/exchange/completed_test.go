package exchange

import (
	"net/netip"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"otterspring/internal/coap/message"
)

// An exchange is remembered until no duplicate of it can arrive, and forgotten not much
// later.
func TestCompletedSetExpires(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lifetime := 247 * time.Second
		s := newCompletedSet([16]byte{}, lifetime, 1000)
		type entry struct {
			k    messageKey
			ends time.Duration
		}
		var all []entry
		now := time.Duration(0)
		for i := range rapid.IntRange(1, 200).Draw(t, "n") {
			now += time.Duration(rapid.IntRange(0, 5000).Draw(t, "pause")) * time.Millisecond
			k := messageKey{netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 5683), uint16(i)}
			// Born up to a lifetime ago.
			ends := now + time.Duration(rapid.Int64Range(1, int64(lifetime)).Draw(t, "left"))
			if !s.add(now, k, ends) {
				t.Fatalf("full with %d", s.count)
			}
			all = append(all, entry{k, ends})
			e := all[rapid.IntRange(0, len(all)-1).Draw(t, "which")]
			has := s.contains(now, e.k)
			if now < e.ends && !has {
				t.Fatalf("forgotten %v early", e.ends-now)
			}
			if late := now - e.ends; late > 2*s.span && has {
				t.Fatalf("remembered %v too long", late)
			}
		}
		now += 2 * lifetime
		s.expire(now)
		if s.count != 0 {
			t.Fatalf("%d are remembered", s.count)
		}
	})
}

// Thousands of unsafe requests: the first one is remembered while duplicates may arrive,
// and a new one is rejected only when the limit is reached.
func TestCompletedExchangesAreNotExecutedAgain(t *testing.T) {
	s, err := NewServer(DefaultParams(), ServerLimits{MaxPendingRequests: 8, MaxDedupEntries: 16, MaxDedupBytes: 1 << 10, MaxCompletedUnsafe: 5000}, 1)
	if err != nil {
		t.Fatal(err)
	}
	ran, dropped := 0, 0
	ask := func(now time.Duration, n int) []Action {
		peer := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 5683)
		acts := s.Receive(now, peer, &message.Message{Type: message.Confirmable, Code: message.POST, ID: 7, Token: []byte("t")}, nil)
		for _, a := range acts {
			if a.Kind == Deliver {
				ran++
				if _, err := s.Respond(now, a.Handle, message.Message{Code: message.Changed, Payload: []byte("done")}, nil); err != nil {
					t.Fatal(err)
				}
			}
		}
		if len(acts) == 0 {
			dropped++
		}
		return acts
	}
	for n := range 6000 {
		ask(time.Duration(n)*time.Millisecond, n)
	}
	if ran != 5016 || dropped != 6000-5016 {
		t.Errorf("%d executed, %d dropped, want 5016 and the rest", ran, dropped)
	}
	acts := ask(200*time.Second, 0)
	if len(acts) != 1 || acts[0].Kind != Send || message.Code(acts[0].Datagram[1]) != message.BadGateway || string(acts[0].Datagram[4:5]) != "t" {
		t.Errorf("a duplicate of the first: %+v", acts)
	}
	p := DefaultParams()
	s.Tick(3*p.ExchangeLifetime(), nil)
	if ask(3*p.ExchangeLifetime(), 0); ran != 5017 {
		t.Error("after its lifetime a request is still a duplicate")
	}
}

// The memory of an exchange reduced to a hash, and of a whole one.
func TestCompletedSetIsSmall(t *testing.T) {
	size := func(fill func() any) float64 {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		held := fill()
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(held)
		return float64(after.HeapAlloc-before.HeapAlloc) / 50_000
	}
	at := func(n int) messageKey {
		return messageKey{netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), 5683), uint16(n)}
	}
	small := size(func() any {
		s := newCompletedSet([16]byte{}, 247*time.Second, 100_000)
		for n := range 50_000 {
			s.add(0, at(n), time.Duration(n+1)*4*time.Millisecond)
		}
		return s
	})
	whole := size(func() any {
		s, _ := NewServer(DefaultParams(), ServerLimits{MaxPendingRequests: 1, MaxDedupEntries: 100_000}, 1)
		for n := range 50_000 {
			acts := s.Receive(0, at(n).peer, &message.Message{Type: message.Confirmable, Code: message.POST, ID: uint16(n)}, nil)
			if _, err := s.Respond(0, acts[0].Handle, message.Message{Code: message.Changed}, nil); err != nil {
				t.Fatal(err)
			}
		}
		return s
	})
	t.Logf("%.0f bytes as a hash, %.0f whole", small, whole)
	if small > 64 || small > whole/4 {
		t.Errorf("%.0f bytes as a hash, %.0f whole", small, whole)
	}
}
