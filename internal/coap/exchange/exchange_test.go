package exchange

import (
	"fmt"
	"math/rand/v2"
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

// flight is a datagram on its way.
type flight struct {
	at       time.Duration
	toServer bool
	text     []byte
}

// world is a client and a server with a bad link between them, in virtual time.
type world struct {
	t       interface{ Fatalf(string, ...any) }
	rng     *rand.Rand
	now     time.Duration
	client  *Client
	server  *Server
	air     []flight
	nth     int
	drop    func(nth int) bool
	double  float64 // chance that a datagram comes twice
	late    time.Duration
	work    time.Duration // how long the server takes
	answers []flightAnswer
	ran     map[string]int // effects by request
	ends    map[uint64][]Action
	once    bool
	// datagram is called with each datagram that is sent, after drop; nil for none.
	datagram func(text []byte)
}

// flightAnswer is an answer that the server gives later.
type flightAnswer struct {
	at     time.Duration
	handle uint64
	body   string
}

func newWorld(t interface{ Fatalf(string, ...any) }, seed uint64) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 1)), drop: func(int) bool { return false }, late: 10 * time.Millisecond,
		work: 50 * time.Millisecond, ran: map[string]int{}, ends: map[uint64][]Action{}}
	p := DefaultParams()
	p.NStart = 8
	var err error
	if w.client, err = NewClient(p, ClientLimits{MaxInFlight: 1000, MaxDedupEntries: 1000}, seed); err != nil {
		t.Fatalf("%v", err)
	}
	if w.server, err = NewServer(p, ServerLimits{MaxPendingRequests: 100, MaxDedupEntries: 10000, MaxDedupBytes: 1 << 20}, seed+1); err != nil {
		t.Fatalf("%v", err)
	}
	return w
}

// fly puts datagrams into the air.
func (w *world) fly(acts []Action, toServer bool) {
	for _, a := range acts {
		switch a.Kind {
		case Send:
			w.nth++
			lost := w.drop(w.nth)
			if w.datagram != nil {
				w.datagram(a.Datagram)
			}
			if lost {
				continue
			}
			copies := 1
			if w.rng.Float64() < w.double {
				copies = 2
			}
			for range copies {
				at := w.now + time.Millisecond + time.Duration(w.rng.Int64N(int64(w.late)+1))
				w.air = append(w.air, flight{at, toServer, a.Datagram})
			}
		case Deliver:
			w.ran[a.Message.Path()]++
			w.answers = append(w.answers, flightAnswer{w.now + w.work, a.Handle, a.Message.Path()})
		case Response, Failed:
			w.ends[a.Handle] = append(w.ends[a.Handle], a)
		}
	}
}

func (w *world) ask(handle uint64, t message.Type, code message.Code) bool {
	m := message.Message{Type: t, Code: code}
	m.Add(message.URIPath, []byte(fmt.Sprint("r", handle)))
	acts, ok := w.client.Request(w.now, handle, serverAddr, m, w.once, nil)
	w.fly(acts, true)
	return ok
}

// step plays the next thing that happens before end.
func (w *world) step(end time.Duration) {
	next := end
	for _, f := range w.air {
		next = min(next, f.at)
	}
	for _, a := range w.answers {
		next = min(next, a.at)
	}
	if at, ok := w.client.Next(); ok {
		next = min(next, at)
	}
	if at, ok := w.server.Next(); ok {
		next = min(next, at)
	}
	w.now = max(w.now, next)
	for i := 0; i < len(w.air); i++ {
		f := w.air[i]
		if f.at > w.now {
			continue
		}
		w.air = append(w.air[:i:i], w.air[i+1:]...)
		i--
		var m message.Message
		if err := message.Decode(f.text, &m); err != nil {
			w.t.Fatalf("%x: %v", f.text, err)
		}
		if f.toServer {
			w.fly(w.server.Receive(w.now, clientAddr, &m, nil), false)
		} else {
			w.fly(w.client.Receive(w.now, serverAddr, &m, nil), true)
		}
	}
	for i := 0; i < len(w.answers); i++ {
		a := w.answers[i]
		if a.at > w.now {
			continue
		}
		w.answers = append(w.answers[:i:i], w.answers[i+1:]...)
		i--
		acts, err := w.server.Respond(w.now, a.handle, message.Message{Code: message.Changed, Payload: []byte(a.body)}, nil)
		if err != nil {
			w.t.Fatalf("%v", err)
		}
		w.fly(acts, false)
	}
	w.fly(w.client.Tick(w.now, nil), true)
	w.fly(w.server.Tick(w.now, nil), false)
}

func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.step(end)
	}
}

// check holds the ends against what ran: each request ends once, runs once at
// most, and has its own answer.
func (w *world) check(n uint64) (served int) {
	for h := uint64(1); h <= n; h++ {
		e := w.ends[h]
		if len(e) != 1 {
			w.t.Fatalf("request %d ended %d times: %+v", h, len(e), e)
		}
		path := fmt.Sprint("/r", h)
		if w.ran[path] > 1 {
			w.t.Fatalf("request %d ran %d times", h, w.ran[path])
		}
		if e[0].Kind == Response {
			served++
			if string(e[0].Message.Payload) != path || w.ran[path] != 1 {
				w.t.Fatalf("request %d got %q, ran %d times", h, e[0].Message.Payload, w.ran[path])
			}
		}
	}
	return served
}

// Every third datagram is lost, in both directions counted together: nearly all
// requests are served (of five transmissions all may fall on a third), and none
// runs twice.
func TestEveryThirdIsDropped(t *testing.T) {
	for _, work := range []time.Duration{50 * time.Millisecond, 3 * time.Second} { // with the acknowledgement, and by itself
		w := newWorld(t, 1)
		w.work = work
		w.client.p.NStart = 200
		w.drop = func(nth int) bool { return nth%3 == 0 }
		for h := uint64(1); h <= 200; h++ {
			w.ask(h, message.Confirmable, message.POST)
			w.run(time.Duration(w.rng.Int64N(int64(20 * time.Millisecond))))
		}
		w.run(10 * time.Minute)
		if n := w.check(200); n < 190 {
			t.Errorf("work %v: %d of 200 served", work, n)
		}
		if c := w.client.Counts(); c.Retransmissions == 0 {
			t.Error("nothing was sent again")
		}
		if open, _ := w.server.Occupancy(); open != 0 || w.client.InFlight() != 0 {
			t.Errorf("%d open at the server, %d at the client", open, w.client.InFlight())
		}
	}
}

// Whatever the link does, in virtual time, each request ends exactly once and
// none runs twice, and in the end nothing is remembered.
func TestAnyLink(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"))
		loss := rapid.Float64Range(0, 0.9).Draw(t, "loss")
		w.drop = func(int) bool { return w.rng.Float64() < loss }
		w.double = rapid.Float64Range(0, 0.5).Draw(t, "double")
		w.late = time.Duration(rapid.IntRange(0, 8000).Draw(t, "late ms")) * time.Millisecond
		w.work = time.Duration(rapid.IntRange(0, 6000).Draw(t, "work ms")) * time.Millisecond
		w.once = rapid.Bool().Draw(t, "once")
		n := uint64(rapid.IntRange(1, 25).Draw(t, "requests"))
		cancelled := map[uint64]bool{}
		for h := uint64(1); h <= n; h++ {
			w.ask(h, message.Type(rapid.IntRange(0, 1).Draw(t, "type")), message.POST)
			w.run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "cancel") == 0 && len(w.ends[h]) == 0 {
				acts, _ := w.client.Cancel(w.now, h, nil)
				w.fly(acts, true)
				cancelled[h] = true
			}
		}
		w.run(20 * time.Minute)
		for h := uint64(1); h <= n; h++ {
			if cancelled[h] {
				if len(w.ends[h]) != 0 {
					t.Fatalf("a cancelled request ended: %+v", w.ends[h])
				}
				w.ends[h] = []Action{{Kind: Failed}}
			}
		}
		w.check(n)
		if open, kept := w.server.Occupancy(); open != 0 || kept != 0 || w.client.InFlight() != 0 || len(w.server.timers) != 0 {
			t.Fatalf("left: %d open, %d kept, %d asked", open, kept, w.client.InFlight())
		}
	})
}

// An acknowledgement with its answer is lost, and the repeat comes after the
// answer: it is answered from memory.
func TestLostAcknowledgement(t *testing.T) {
	w := newWorld(t, 3)
	w.drop = func(nth int) bool { return nth == 2 }
	w.ask(1, message.Confirmable, message.POST)
	w.run(time.Minute)
	if w.check(1) != 1 || w.server.Counts().Duplicates != 1 || w.client.Counts().Retransmissions != 1 {
		t.Errorf("server %+v, client %+v", w.server.Counts(), w.client.Counts())
	}
	// The same for the acknowledgement of an answer that goes by itself: request,
	// empty ACK, answer, its ACK lost, answer again, ACK again.
	w = newWorld(t, 4)
	w.work = 3 * time.Second
	w.drop = func(nth int) bool { return nth == 4 }
	w.ask(1, message.Confirmable, message.POST)
	w.run(time.Minute)
	if w.check(1) != 1 || w.server.Counts().Retransmissions != 1 || w.client.Counts().Duplicates != 1 {
		t.Errorf("server %+v, client %+v", w.server.Counts(), w.client.Counts())
	}
}

// Only the sender of a first and only datagram may take a Reset for proof.
func TestHowARequestEnded(t *testing.T) {
	ask := func(w *world) uint16 {
		w.ask(1, message.Confirmable, message.POST)
		return w.client.byName[1].id
	}
	w := newWorld(t, 5)
	w.drop = func(int) bool { return true }
	id := ask(w)
	w.fly(w.client.Receive(w.now, serverAddr, &message.Message{Type: message.Reset, ID: id}, nil), true)
	if e := w.ends[1]; len(e) != 1 || e[0].Reason != Rejected || e[0].Transmissions != 1 || e[0].Acknowledged {
		t.Errorf("a Reset to the first datagram: %+v", e)
	}
	w = newWorld(t, 5)
	w.drop = func(int) bool { return true }
	id = ask(w)
	w.run(10 * time.Second)
	w.fly(w.client.Receive(w.now, serverAddr, &message.Message{Type: message.Reset, ID: id}, nil), true)
	if e := w.ends[1]; len(e) != 1 || e[0].Transmissions < 2 {
		t.Errorf("a Reset after repeats: %+v", e)
	}
	w = newWorld(t, 5)
	w.drop = func(int) bool { return true }
	ask(w)
	w.fly(w.client.PeerUnreachable(w.now, serverAddr, nil), true)
	if e := w.ends[1]; len(e) != 1 || e[0].Reason != Unreachable || e[0].Transmissions != 1 {
		t.Errorf("refused by the network: %+v", e)
	}
	w = newWorld(t, 5)
	w.drop = func(int) bool { return true }
	ask(w)
	w.run(5 * time.Minute)
	if e := w.ends[1]; len(e) != 1 || e[0].Reason != TimedOut || e[0].Transmissions != 5 {
		t.Errorf("silence: %+v", e)
	}
	w = newWorld(t, 5)
	w.once = true
	w.drop = func(int) bool { return true }
	ask(w)
	w.run(5 * time.Minute)
	if e := w.ends[1]; len(e) != 1 || e[0].Transmissions != 1 || w.nth != 1 {
		t.Errorf("sent once: %+v, %d datagrams", e, w.nth)
	}
}

// NStart holds requests back, and lets the next one go with each answer.
func TestNStart(t *testing.T) {
	w := newWorld(t, 6)
	for h := uint64(1); h <= 20; h++ {
		w.ask(h, message.Confirmable, message.POST)
	}
	if s := w.client.servers[serverAddr]; s.out != 8 || len(s.queue) != 12 {
		t.Errorf("%d outstanding, %d wait", s.out, len(s.queue))
	}
	w.run(time.Minute)
	if w.check(20) != 20 {
		t.Error("not all were served")
	}
}

// Two clients with the same token and message ID are two.
func TestSameTokenAndID(t *testing.T) {
	w := newWorld(t, 7)
	m := message.Message{Type: message.Confirmable, Code: message.POST, ID: 9, Token: []byte("t")}
	other := netip.MustParseAddrPort("127.0.0.1:1001")
	delivered := 0
	for _, peer := range []Peer{clientAddr, other, clientAddr, other} {
		for _, a := range w.server.Receive(0, peer, &m, nil) {
			if a.Kind == Deliver {
				delivered++
				if a.Peer != peer {
					t.Errorf("delivered as from %v", a.Peer)
				}
			}
		}
	}
	if delivered != 2 {
		t.Errorf("%d delivered, want 2", delivered)
	}
}

// With no room a safe request is refused and an unsafe one gets no answer;
// finished exchanges that are safe to run again make room, unsafe ones never.
func TestRoom(t *testing.T) {
	s, err := NewServer(DefaultParams(), ServerLimits{MaxPendingRequests: 2, MaxDedupEntries: 3, MaxDedupBytes: 0}, 1)
	if err != nil {
		t.Fatal(err)
	}
	receive := func(id uint16, code message.Code) []Action {
		return s.Receive(0, clientAddr, &message.Message{Type: message.Confirmable, Code: code, ID: id}, nil)
	}
	answer := func(acts []Action) {
		if len(acts) != 1 || acts[0].Kind != Deliver {
			t.Fatalf("not delivered: %+v", acts)
		}
		s.Respond(0, acts[0].Handle, message.Message{Code: message.Content}, nil)
	}
	first := receive(1, message.POST)
	second := receive(2, message.GET)
	if acts := receive(3, message.GET); len(acts) != 1 || acts[0].Kind != Send || message.Code(acts[0].Datagram[1]) != message.ServiceUnavailable {
		t.Errorf("a GET over the bound: %+v", acts)
	}
	if acts := receive(4, message.POST); len(acts) != 0 {
		t.Errorf("a POST over the bound was answered: %+v", acts)
	}
	answer(first)
	answer(second)
	answer(receive(5, message.POST))
	answer(receive(6, message.POST)) // the finished GET makes room
	if c := s.Counts(); c.Evicted != 1 {
		t.Errorf("%+v", c)
	}
	if acts := receive(7, message.POST); len(acts) != 0 {
		t.Errorf("an unsafe exchange was forgotten for another: %+v", acts)
	}
	// A repeat whose answer was not kept is not run again.
	if acts := receive(1, message.POST); len(acts) != 1 || message.Code(acts[0].Datagram[1]) != message.BadGateway {
		t.Errorf("a repeat without a kept answer: %+v", acts)
	}
	// When no repeat can come any more there is room again.
	p := DefaultParams()
	s.Tick(p.ExchangeLifetime(), nil)
	if _, kept := s.Occupancy(); kept != 0 {
		t.Errorf("%d kept after their lifetime", kept)
	}
}

// Pings, answers that nobody asked for, and datagrams that are not well formed.
func TestStrays(t *testing.T) {
	w := newWorld(t, 8)
	reset := func(acts []Action) bool {
		return len(acts) == 1 && acts[0].Kind == Send && message.Type(acts[0].Datagram[0]>>4&3) == message.Reset
	}
	ping := message.Message{Type: message.Confirmable, ID: 1}
	answer := message.Message{Type: message.Confirmable, Code: message.Content, ID: 2, Token: []byte("12345678")}
	if !reset(w.server.Receive(0, clientAddr, &ping, nil)) || !reset(w.client.Receive(0, serverAddr, &ping, nil)) {
		t.Error("a ping gets no Reset")
	}
	if !reset(w.client.Receive(0, serverAddr, &answer, nil)) || !reset(w.server.Receive(0, clientAddr, &answer, nil)) {
		t.Error("an answer that nobody asked for gets no Reset")
	}
	if acts := w.server.ReceiveMalformed(clientAddr, &message.Message{Type: message.Confirmable, ID: 3}, message.ErrTruncated, nil); !reset(acts) {
		t.Errorf("a malformed confirmable message: %+v", acts)
	}
	for _, bad := range []struct {
		t   message.Type
		err error
	}{{message.NonConfirmable, message.ErrTruncated}, {message.Confirmable, message.ErrNotCoAP}, {message.Reset, message.ErrNonEmpty}} {
		if acts := w.server.ReceiveMalformed(clientAddr, &message.Message{Type: bad.t}, bad.err, nil); len(acts) != 0 {
			t.Errorf("%v %v was answered: %+v", bad.t, bad.err, acts)
		}
	}
	// An acknowledgement with the ID of one request and the token of another.
	w.ask(1, message.Confirmable, message.POST)
	w.ask(2, message.Confirmable, message.POST)
	a, b := w.client.byName[1], w.client.byName[2]
	mixed := message.Message{Type: message.Acknowledgement, Code: message.Content, ID: a.id, Token: b.msg.Token}
	if acts := w.client.Receive(0, serverAddr, &mixed, nil); len(acts) != 0 || w.client.InFlight() != 2 {
		t.Errorf("a mixed-up acknowledgement: %+v", acts)
	}
}

func TestLifetimesOfTheRFC(t *testing.T) {
	p := DefaultParams()
	if p.MaxTransmitSpan() != 45*time.Second || p.MaxTransmitWait() != 93*time.Second || p.ExchangeLifetime() != 247*time.Second || p.NonLifetime() != 145*time.Second {
		t.Errorf("%v %v %v %v", p.MaxTransmitSpan(), p.MaxTransmitWait(), p.ExchangeLifetime(), p.NonLifetime())
	}
	bad := p
	bad.AckDelay = bad.AckTimeout
	if _, err := NewServer(bad, ServerLimits{MaxPendingRequests: 1, MaxDedupEntries: 1}, 1); err == nil {
		t.Error("AckAfter of AckTimeout was taken")
	}
}

// FuzzServer: no datagram makes it panic, or answer more than three times its
// bytes before anything was delivered.
func FuzzServer(f *testing.F) {
	f.Add([]byte{0x40, 1, 0, 1}, []byte{0x60, 0, 0, 1})
	f.Add([]byte{0x50, 2, 0, 1, 0xb1, 'a'}, []byte{0x70, 0, 0, 1})
	f.Fuzz(func(t *testing.T, a, b []byte) {
		s, _ := NewServer(DefaultParams(), ServerLimits{MaxPendingRequests: 1, MaxDedupEntries: 1, MaxDedupBytes: 10}, 1)
		for i, text := range [][]byte{a, b, a} {
			var m message.Message
			var acts []Action
			if err := message.Decode(text, &m); err != nil {
				acts = s.ReceiveMalformed(clientAddr, &m, err, nil)
			} else {
				acts = s.Receive(time.Duration(i)*time.Second, clientAddr, &m, nil)
			}
			for _, x := range acts {
				if x.Kind == Send && len(x.Datagram) > 3*max(len(text), 4) {
					t.Errorf("%d bytes for %d", len(x.Datagram), len(text))
				}
			}
		}
	})
}

// No message ID comes a second time while a message with it may still be
// repeated, however few requests are open at a time; when all have been given
// there is no room until then.
func TestIDsDoNotComeAgainTooSoon(t *testing.T) {
	p := DefaultParams()
	c, err := NewClient(p, ClientLimits{MaxInFlight: 10, MaxDedupEntries: 10}, 1)
	if err != nil {
		t.Fatal(err)
	}
	at := map[uint16]time.Duration{}
	ask := func(now time.Duration, h uint64) bool {
		acts, ok := c.Request(now, h, serverAddr, message.Message{Type: message.Confirmable, Code: message.GET}, false, nil)
		if !ok {
			return false
		}
		var m message.Message
		if len(acts) != 1 || message.Decode(acts[0].Datagram, &m) != nil {
			t.Fatalf("%+v", acts)
		}
		if was, there := at[m.ID]; there && now-was < p.ExchangeLifetime() {
			t.Fatalf("ID %d at %v and at %v", m.ID, was, now)
		}
		at[m.ID] = now
		c.Receive(now, serverAddr, &message.Message{Type: message.Acknowledgement, Code: message.Content, ID: m.ID, Token: m.Token}, nil)
		return true
	}
	n := uint64(0)
	for ; n < 1<<17 && ask(time.Second, n); n++ {
	}
	if n < 60_000 || n > 1<<16 {
		t.Errorf("%d were asked in one moment", n)
	}
	if c.HasCapacity(time.Second, serverAddr) || c.HasCapacity(p.ExchangeLifetime(), serverAddr) {
		t.Error("it says that there is room")
	}
	if now := 2*time.Second + p.ExchangeLifetime(); !c.HasCapacity(now, serverAddr) || !ask(now, n+1) {
		t.Error("after a lifetime there is no room")
	}
	// At a pace that fits there is always room.
	for i := range uint64(200_000) {
		if now := time.Hour + time.Duration(i)*4*time.Millisecond; !ask(now, 1<<20+i) {
			t.Fatalf("turned away at %v", now-time.Hour)
		}
	}
	// At a faster one some are turned away, and none comes too soon.
	away := 0
	for i := range uint64(200_000) {
		if !ask(10*time.Hour+time.Duration(i)*3*time.Millisecond, 1<<30+i) {
			away++
		}
	}
	if away == 0 || away > 60_000 {
		t.Errorf("of 200,000 at 333 a second %d were turned away", away)
	}
}
