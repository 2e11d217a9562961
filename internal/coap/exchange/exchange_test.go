package exchange

import (
	"errors"
	"math"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"otterspring/internal/coap/message"
)

var (
	clientAddr = netip.MustParseAddrPort("127.0.0.1:1000")
	serverAddr = netip.MustParseAddrPort("127.0.0.1:5683")
)

// With every third datagram lost, counted over both directions, nearly all requests get a
// response and none is executed twice. A request fails if all its five transmissions are
// lost.
func TestLossOfEveryThirdDatagram(t *testing.T) {
	for _, processingTime := range []time.Duration{50 * time.Millisecond, 3 * time.Second} { // piggybacked and separate responses
		sim := newSimulation(t, 1)
		sim.processingTime = processingTime
		sim.client.params.NStart = 200
		sim.drop = func(sent int) bool { return sent%3 == 0 }
		for h := uint64(1); h <= 200; h++ {
			sim.request(h, message.Confirmable)
			sim.run(time.Duration(sim.rng.Int64N(int64(20 * time.Millisecond))))
		}
		sim.run(10 * time.Minute)
		if n := sim.checkOutcomes(200); n < 190 {
			t.Errorf("processing time %v: %d of 200 requests got a response, want at least 190", processingTime, n)
		}
		if c := sim.client.Counts(); c.Retransmissions == 0 {
			t.Error("the client retransmitted nothing")
		}
		if pending, _ := sim.server.Occupancy(); pending != 0 || sim.client.InFlight() != 0 {
			t.Errorf("%d pending at the server, %d in flight at the client, want 0", pending, sim.client.InFlight())
		}
	}
}

// With random loss, duplication and delay, each request ends exactly once, none is executed
// twice, and client and server keep no state after all lifetimes have expired.
func TestRandomLossDuplicationAndDelay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, rapid.Uint64().Draw(t, "seed"))
		loss := rapid.Float64Range(0, 0.9).Draw(t, "loss")
		sim.drop = func(int) bool { return sim.rng.Float64() < loss }
		sim.duplicateProbability = rapid.Float64Range(0, 0.5).Draw(t, "duplicate probability")
		sim.maxDelay = time.Duration(rapid.IntRange(0, 8000).Draw(t, "maximum delay in ms")) * time.Millisecond
		sim.processingTime = time.Duration(rapid.IntRange(0, 6000).Draw(t, "processing time in ms")) * time.Millisecond
		sim.singleTransmission = rapid.Bool().Draw(t, "single transmission")
		n := uint64(rapid.IntRange(1, 25).Draw(t, "requests"))
		canceled := map[uint64]bool{}
		for h := uint64(1); h <= n; h++ {
			sim.request(h, message.Type(rapid.IntRange(0, 1).Draw(t, "type")))
			sim.run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "cancel") == 0 && len(sim.outcomes[h]) == 0 {
				actions, _ := sim.client.Cancel(sim.now, h, nil)
				sim.perform(actions, true)
				canceled[h] = true
			}
		}
		sim.run(20 * time.Minute)
		for h := uint64(1); h <= n; h++ {
			if canceled[h] {
				if len(sim.outcomes[h]) != 0 {
					t.Fatalf("canceled request %d ended: %+v", h, sim.outcomes[h])
				}
				sim.outcomes[h] = []Action{{Kind: Failed}}
			}
		}
		sim.checkOutcomes(n)
		if pending, kept := sim.server.Occupancy(); pending != 0 || kept != 0 || sim.client.InFlight() != 0 || len(sim.server.timers) != 0 {
			t.Fatalf("found %d pending and %d kept exchanges at the server, %d in flight at the client, want 0", pending, kept, sim.client.InFlight())
		}
	})
}

// If an acknowledgement with a piggybacked response is lost, the retransmission of the
// request gets the cached response and the request is not executed again.
func TestLostAcknowledgement(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.drop = func(sent int) bool { return sent == 2 }
	sim.request(1, message.Confirmable)
	sim.run(time.Minute)
	if sim.checkOutcomes(1) != 1 || sim.server.Counts().Duplicates != 1 || sim.client.Counts().Retransmissions != 1 {
		t.Errorf("server %+v, client %+v", sim.server.Counts(), sim.client.Counts())
	}
	// The acknowledgement of a separate response is lost. The datagrams are: request, empty
	// ACK, response, lost ACK, retransmitted response, ACK.
	sim = newSimulation(t, 4)
	sim.processingTime = 3 * time.Second
	sim.drop = func(sent int) bool { return sent == 4 }
	sim.request(1, message.Confirmable)
	sim.run(time.Minute)
	if sim.checkOutcomes(1) != 1 || sim.server.Counts().Retransmissions != 1 || sim.client.Counts().Duplicates != 1 {
		t.Errorf("server %+v, client %+v", sim.server.Counts(), sim.client.Counts())
	}
}

// Checks that a failure reports its reason, the number of transmissions, and whether an
// acknowledgement arrived. Callers rely on the number of transmissions and the
// acknowledgement: only after a single transmission does a Reset prove that the request was
// not processed.
func TestFailureReasons(t *testing.T) {
	send := func(sim *simulation) uint16 {
		sim.request(1, message.Confirmable)
		return sim.client.byHandle[1].messageID
	}
	sim := newSimulation(t, 5)
	sim.drop = func(int) bool { return true }
	id := send(sim)
	sim.perform(sim.client.Receive(sim.now, serverAddr, &message.Message{Type: message.Reset, ID: id}, nil), true)
	if e := sim.outcomes[1]; len(e) != 1 || e[0].Reason != Rejected || e[0].Transmissions != 1 || e[0].Acknowledged {
		t.Errorf("Reset after the first transmission: %+v", e)
	}
	sim = newSimulation(t, 5)
	sim.drop = func(int) bool { return true }
	id = send(sim)
	sim.run(10 * time.Second)
	sim.perform(sim.client.Receive(sim.now, serverAddr, &message.Message{Type: message.Reset, ID: id}, nil), true)
	if e := sim.outcomes[1]; len(e) != 1 || e[0].Transmissions < 2 {
		t.Errorf("Reset after retransmissions: %+v", e)
	}
	sim = newSimulation(t, 5)
	sim.drop = func(int) bool { return true }
	send(sim)
	sim.perform(sim.client.PeerUnreachable(sim.now, serverAddr, sim.datagramOf(1), nil), true)
	if e := sim.outcomes[1]; len(e) != 1 || e[0].Reason != Unreachable || e[0].Transmissions != 1 {
		t.Errorf("server unreachable: %+v", e)
	}
	sim = newSimulation(t, 5)
	sim.drop = func(int) bool { return true }
	send(sim)
	sim.run(5 * time.Minute)
	if e := sim.outcomes[1]; len(e) != 1 || e[0].Reason != TimedOut || e[0].Transmissions != 5 {
		t.Errorf("no response: %+v", e)
	}
	sim = newSimulation(t, 5)
	sim.singleTransmission = true
	sim.drop = func(int) bool { return true }
	send(sim)
	sim.run(5 * time.Minute)
	if e := sim.outcomes[1]; len(e) != 1 || e[0].Transmissions != 1 || sim.sent != 1 {
		t.Errorf("single transmission: %+v, %d datagrams sent, want 1", e, sim.sent)
	}
}

// Requests over NStart are queued and sent when earlier ones get their responses.
func TestNStart(t *testing.T) {
	sim := newSimulation(t, 6)
	for h := uint64(1); h <= 20; h++ {
		sim.request(h, message.Confirmable)
	}
	if s := sim.client.peers[serverAddr]; s.outstanding != 8 || len(s.queued) != 12 {
		t.Errorf("found %d requests outstanding and %d queued, want 8 and 12", s.outstanding, len(s.queued))
	}
	sim.run(time.Minute)
	if sim.checkOutcomes(20) != 20 {
		t.Error("not all requests got a response")
	}
}

// Requests of two clients with the same token and message ID are separate exchanges.
func TestSameTokenAndMessageID(t *testing.T) {
	sim := newSimulation(t, 7)
	m := message.Message{Type: message.Confirmable, Code: message.POST, ID: 9, Token: []byte("t")}
	other := netip.MustParseAddrPort("127.0.0.1:1001")
	delivered := 0
	for _, peer := range []Peer{clientAddr, other, clientAddr, other} {
		for _, a := range sim.server.Receive(0, peer, &m, nil) {
			if a.Kind == Deliver {
				delivered++
				if a.Peer != peer {
					t.Errorf("found peer %v, want %v", a.Peer, peer)
				}
			}
		}
	}
	if delivered != 2 {
		t.Errorf("%d requests delivered, want 2", delivered)
	}
}

// At a limit, a request with a safe method is rejected with 5.03, and a request with an unsafe
// method gets no response. Exchanges of safe methods are evicted. Exchanges of unsafe methods
// are not evicted, because a duplicate of the request would be executed again.
func TestServerLimits(t *testing.T) {
	s, err := NewServer(DefaultParams(), ServerLimits{MaxPendingRequests: 2, MaxDedupEntries: 3, MaxDedupBytes: 0}, 1)
	if err != nil {
		t.Fatal(err)
	}
	receive := func(id uint16, code message.Code) []Action {
		return s.Receive(0, clientAddr, &message.Message{Type: message.Confirmable, Code: code, ID: id}, nil)
	}
	respond := func(actions []Action) {
		if len(actions) != 1 || actions[0].Kind != Deliver {
			t.Fatalf("request not delivered: %+v", actions)
		}
		if _, err := s.Respond(0, actions[0].Handle, message.Message{Code: message.Content}, nil); err != nil {
			t.Fatal(err)
		}
	}
	first := receive(1, message.POST)
	second := receive(2, message.GET)
	if actions := receive(3, message.GET); len(actions) != 1 || actions[0].Kind != Send || message.Code(actions[0].Datagram[1]) != message.ServiceUnavailable {
		t.Errorf("GET over the limit: %+v, want 5.03", actions)
	}
	if actions := receive(4, message.POST); len(actions) != 0 {
		t.Errorf("POST over the limit: %+v, want no response", actions)
	}
	respond(first)
	respond(second)
	respond(receive(5, message.POST))
	respond(receive(6, message.POST)) // evicts the exchange of the GET
	if c := s.Counts(); c.Evicted != 1 {
		t.Errorf("found %+v, want 1 evicted", c)
	}
	if actions := receive(7, message.POST); len(actions) != 0 {
		t.Errorf("POST at the limit of exchanges: %+v, want no response", actions)
	}
	// A duplicate of a request whose response is not cached is not executed again.
	if actions := receive(1, message.POST); len(actions) != 1 || message.Code(actions[0].Datagram[1]) != message.BadGateway {
		t.Errorf("duplicate without a cached response: %+v, want 5.02", actions)
	}
	// Exchanges are removed when no duplicate can arrive any more.
	p := DefaultParams()
	s.Tick(p.ExchangeLifetime(), nil)
	if _, kept := s.Occupancy(); kept != 0 {
		t.Errorf("%d exchanges kept after their lifetime, want 0", kept)
	}
}

// Pings, responses without a request and malformed confirmable messages are rejected with a
// Reset; other malformed datagrams and mismatching acknowledgements are ignored.
func TestUnexpectedMessages(t *testing.T) {
	sim := newSimulation(t, 8)
	isReset := func(actions []Action) bool {
		return len(actions) == 1 && actions[0].Kind == Send && message.Type(actions[0].Datagram[0]>>4&3) == message.Reset
	}
	ping := message.Message{Type: message.Confirmable, ID: 1}
	response := message.Message{Type: message.Confirmable, Code: message.Content, ID: 2, Token: []byte("12345678")}
	if !isReset(sim.server.Receive(0, clientAddr, &ping, nil)) || !isReset(sim.client.Receive(0, serverAddr, &ping, nil)) {
		t.Error("a ping was not rejected with a Reset")
	}
	if !isReset(sim.client.Receive(0, serverAddr, &response, nil)) || !isReset(sim.server.Receive(0, clientAddr, &response, nil)) {
		t.Error("a response without a request was not rejected with a Reset")
	}
	if actions := sim.server.ReceiveMalformed(clientAddr, &message.Message{Type: message.Confirmable, ID: 3}, message.ErrTruncated, nil); !isReset(actions) {
		t.Errorf("malformed confirmable message: %+v, want a Reset", actions)
	}
	for _, ignored := range []struct {
		kind message.Type
		err  error
	}{{message.NonConfirmable, message.ErrTruncated}, {message.Confirmable, message.ErrNotCoAP}, {message.Reset, message.ErrNonEmpty}} {
		if actions := sim.server.ReceiveMalformed(clientAddr, &message.Message{Type: ignored.kind}, ignored.err, nil); len(actions) != 0 {
			t.Errorf("%v with error %q: %+v, want no reply", ignored.kind, ignored.err, actions)
		}
	}
	// An acknowledgement with the message ID of one request and the token of another.
	sim.request(1, message.Confirmable)
	sim.request(2, message.Confirmable)
	a, b := sim.client.byHandle[1], sim.client.byHandle[2]
	mismatching := message.Message{Type: message.Acknowledgement, Code: message.Content, ID: a.messageID, Token: b.request.Token}
	if actions := sim.client.Receive(0, serverAddr, &mismatching, nil); len(actions) != 0 || sim.client.InFlight() != 2 {
		t.Errorf("acknowledgement with another token: %+v, %d in flight, want 2", actions, sim.client.InFlight())
	}
}

// The derived times of the default parameters are those of RFC 7252, section 4.8.2.
func TestDefaultLifetimes(t *testing.T) {
	p := DefaultParams()
	if p.MaxTransmitSpan() != 45*time.Second || p.MaxTransmitWait() != 93*time.Second || p.ExchangeLifetime() != 247*time.Second || p.NonLifetime() != 145*time.Second {
		t.Errorf("found %v, %v, %v, %v, want 45s, 1m33s, 4m7s, 2m25s", p.MaxTransmitSpan(), p.MaxTransmitWait(), p.ExchangeLifetime(), p.NonLifetime())
	}
}

func TestParamsAndLimitsOutOfRange(t *testing.T) {
	for name, change := range map[string]func(*Params){
		"AckTimeout of 0":        func(p *Params) { p.AckTimeout = 0 },
		"RandomFactor below 1":   func(p *Params) { p.RandomFactor = 0.9 },
		"RandomFactor of NaN":    func(p *Params) { p.RandomFactor = math.NaN() },
		"RandomFactor above 10":  func(p *Params) { p.RandomFactor = 11 },
		"MaxRetransmit below 0":  func(p *Params) { p.MaxRetransmit = -1 },
		"MaxRetransmit above 20": func(p *Params) { p.MaxRetransmit = 21 },
		"NStart of 0":            func(p *Params) { p.NStart = 0 },
		"AckDelay of 0":          func(p *Params) { p.AckDelay = 0 },
		"AckDelay of AckTimeout": func(p *Params) { p.AckDelay = p.AckTimeout },
		"MaxLatency below 0":     func(p *Params) { p.MaxLatency = -1 },
	} {
		params := DefaultParams()
		change(&params)
		if _, err := NewServer(params, ServerLimits{MaxPendingRequests: 1, MaxDedupEntries: 1}, 1); !errors.Is(err, ErrParams) {
			t.Errorf("%s: server: %v, want %v", name, err, ErrParams)
		}
		if _, err := NewClient(params, ClientLimits{MaxInFlight: 1, MaxDedupEntries: 1}, 1); !errors.Is(err, ErrParams) {
			t.Errorf("%s: client: %v, want %v", name, err, ErrParams)
		}
	}
	for _, limits := range []ServerLimits{{}, {MaxPendingRequests: 2, MaxDedupEntries: 1}, {MaxPendingRequests: 1, MaxDedupEntries: 1, MaxDedupBytes: -1}, {MaxPendingRequests: 1, MaxDedupEntries: 1, MaxCompletedUnsafe: -1}} {
		if _, err := NewServer(DefaultParams(), limits, 1); !errors.Is(err, ErrLimits) {
			t.Errorf("%+v: %v, want %v", limits, err, ErrLimits)
		}
	}
	for _, limits := range []ClientLimits{{MaxInFlight: 1}, {MaxDedupEntries: 1}} {
		if _, err := NewClient(DefaultParams(), limits, 1); !errors.Is(err, ErrLimits) {
			t.Errorf("%+v: %v, want %v", limits, err, ErrLimits)
		}
	}
}

// FuzzServer checks that no datagram causes a panic, and that no reply is larger than three
// times the datagram: the server must not amplify requests with a forged source address.
func FuzzServer(f *testing.F) {
	f.Add([]byte{0x40, 1, 0, 1}, []byte{0x60, 0, 0, 1})
	f.Add([]byte{0x50, 2, 0, 1, 0xb1, 'a'}, []byte{0x70, 0, 0, 1})
	f.Fuzz(func(t *testing.T, a, b []byte) {
		s, _ := NewServer(DefaultParams(), ServerLimits{MaxPendingRequests: 1, MaxDedupEntries: 1, MaxDedupBytes: 10}, 1)
		for i, datagram := range [][]byte{a, b, a} {
			var m message.Message
			var actions []Action
			if err := message.Decode(datagram, &m); err != nil {
				actions = s.ReceiveMalformed(clientAddr, &m, err, nil)
			} else {
				actions = s.Receive(time.Duration(i)*time.Second, clientAddr, &m, nil)
			}
			for _, action := range actions {
				if action.Kind == Send && len(action.Datagram) > 3*max(len(datagram), 4) {
					t.Errorf("reply of %d bytes to a datagram of %d bytes", len(action.Datagram), len(datagram))
				}
			}
		}
	})
}

// No message ID is reused within an exchange lifetime, even if few requests are in flight.
// Once all IDs have been used, the client has no capacity until the lifetime expires.
func TestMessageIDsAreNotReusedEarly(t *testing.T) {
	p := DefaultParams()
	c, err := NewClient(p, ClientLimits{MaxInFlight: 10, MaxDedupEntries: 10}, 1)
	if err != nil {
		t.Fatal(err)
	}
	lastUsed := map[uint16]time.Duration{}
	request := func(now time.Duration, handle uint64) bool {
		actions, ok := c.Request(now, handle, serverAddr, message.Message{Type: message.Confirmable, Code: message.GET}, false, nil)
		if !ok {
			return false
		}
		var m message.Message
		if len(actions) != 1 || message.Decode(actions[0].Datagram, &m) != nil {
			t.Fatalf("found %+v, want one valid datagram", actions)
		}
		if last, used := lastUsed[m.ID]; used && now-last < p.ExchangeLifetime() {
			t.Fatalf("message ID %d used at %v and again at %v", m.ID, last, now)
		}
		lastUsed[m.ID] = now
		c.Receive(now, serverAddr, &message.Message{Type: message.Acknowledgement, Code: message.Content, ID: m.ID, Token: m.Token}, nil)
		return true
	}
	n := uint64(0)
	for ; n < 1<<17 && request(time.Second, n); n++ {
	}
	if n < 60_000 || n > 1<<16 {
		t.Errorf("%d requests accepted at the same time, want 60000 to 65536", n)
	}
	if c.HasCapacity(time.Second, serverAddr) || c.HasCapacity(p.ExchangeLifetime(), serverAddr) {
		t.Error("HasCapacity is true although all message IDs are used")
	}
	if now := 2*time.Second + p.ExchangeLifetime(); !c.HasCapacity(now, serverAddr) || !request(now, n+1) {
		t.Error("no capacity after an exchange lifetime")
	}
	// At a rate of 250 requests per second, below the limit of 265, none is rejected.
	for i := range uint64(200_000) {
		if now := time.Hour + time.Duration(i)*4*time.Millisecond; !request(now, 1<<20+i) {
			t.Fatalf("request rejected after %v", now-time.Hour)
		}
	}
	// At a rate above the limit, some requests are rejected and no ID is reused early.
	rejected := 0
	for i := range uint64(200_000) {
		if !request(10*time.Hour+time.Duration(i)*3*time.Millisecond, 1<<30+i) {
			rejected++
		}
	}
	if rejected == 0 || rejected > 60_000 {
		t.Errorf("%d of 200,000 requests rejected at 333 per second, want 1 to 60,000", rejected)
	}
}
