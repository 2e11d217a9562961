package client

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"otterspring/internal/coap/block"
	"otterspring/internal/coap/exchange"
	"otterspring/internal/coap/message"
	"otterspring/internal/coap/server"
)

var (
	clientAddr = netip.MustParseAddrPort("127.0.0.1:1000")
	serverAddr = netip.MustParseAddrPort("127.0.0.1:2000")
)

// simulation runs a client and a server in virtual time. The link between them drops,
// duplicates and delays datagrams, and the server can be restarted at any time.
type simulation struct {
	t             interface{ Fatalf(string, ...any) }
	rng           *rand.Rand
	now           time.Duration
	client        *Client
	server        *server.Server
	requireEcho   bool
	executionTime time.Duration
	body          []byte // body of every response
	drop          float64
	duplicate     float64
	maxDelay      time.Duration
	inTransit     []datagram
	running       []runningRequest
	executions    map[string]int // by request ID, over all incarnations of the server
	finished      map[uint64][]Action
	committed     map[uint64]bool
	nonIdempotent map[uint64]bool
	incarnation   uint64
	isDown        bool       // the server has crashed: its host refuses datagrams
	quoteSize     func() int // returns how much of a refused datagram is quoted, in bytes; nil if all of it
	sendFailure   float64    // probability that a datagram of the client can't be sent
}

type datagram struct {
	at        time.Duration
	toServer  bool
	isRefusal bool // an ICMP message to the client; payload is the part of the datagram that it quotes
	payload   []byte
}

// runningRequest is a request that the server executes until the time at.
type runningRequest struct {
	at          time.Duration
	handle      uint64
	incarnation uint64
}

func newSimulation(t interface{ Fatalf(string, ...any) }, seed uint64, requireEcho bool) *simulation {
	sim := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 1)), requireEcho: requireEcho, executionTime: 20 * time.Millisecond, executions: map[string]int{}, finished: map[uint64][]Action{}, committed: map[uint64]bool{}, nonIdempotent: map[uint64]bool{}}
	p := exchange.DefaultParams()
	p.AckTimeout, p.AckDelay, p.NStart = 100*time.Millisecond, 30*time.Millisecond, 1000
	c, err := New(Settings{Params: p, Limits: exchange.ClientLimits{MaxInFlight: 1000, MaxDedupEntries: 1000}, MaxBodySize: 64 << 10, BlockSize: 1024, EchoLifetime: 5 * time.Second, Seed: seed}, serverAddr)
	if err != nil {
		t.Fatalf("%v", err)
	}
	sim.client = c
	sim.restart()
	return sim
}

// restart replaces the server by one without its state.
func (sim *simulation) restart() {
	sim.incarnation++
	p := exchange.DefaultParams()
	p.AckTimeout, p.AckDelay = 100*time.Millisecond, 30*time.Millisecond
	srv, err := server.New(server.Settings{
		Params: p, Limits: exchange.ServerLimits{MaxPendingRequests: 1000, MaxDedupEntries: 5000, MaxDedupBytes: 1 << 20},
		Blocks:           block.Limits{MaxTransfers: 10, MaxBodySize: 64 << 10, MaxTotalSize: 1 << 20, IdleTimeout: time.Minute, MaxBlockSize: 1024},
		Classes:          map[string]server.Class{"roster": {Idempotency: server.Idempotent, Deadline: time.Hour}, "start-rec": {Idempotency: server.NonIdempotent, Deadline: time.Hour}},
		MaxDeadlineRatio: 4, TrustedNetworks: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")},
		HistoryKnown: true, RequireEcho: sim.requireEcho, EchoKey: fmt.Appendf(nil, "test echo key %08d", sim.incarnation), EchoLifetime: 10 * time.Second, Seed: sim.incarnation,
	})
	if err != nil {
		sim.t.Fatalf("%v", err)
	}
	sim.server = srv
}

func (sim *simulation) transmit(toServer bool, payload []byte) {
	sim.transmitDatagram(datagram{toServer: toServer, payload: payload})
}

// refuse transmits an ICMP message about a datagram that reached the host of a crashed server.
func (sim *simulation) refuse(refused []byte) {
	quote := len(refused)
	if sim.quoteSize != nil {
		quote = min(quote, sim.quoteSize())
	}
	sim.transmitDatagram(datagram{isRefusal: true, payload: refused[:quote]})
}

func (sim *simulation) transmitDatagram(sent datagram) {
	if sim.rng.Float64() < sim.drop {
		return
	}
	copies := 1
	if sim.rng.Float64() < sim.duplicate {
		copies = 2
	}
	for range copies {
		sent.at = sim.now + time.Millisecond
		if sim.maxDelay > 0 {
			sent.at += time.Duration(sim.rng.Int64N(int64(sim.maxDelay)))
		}
		sent.payload = bytes.Clone(sent.payload)
		sim.inTransit = append(sim.inTransit, sent)
	}
}

func (sim *simulation) execute(actions []Action) {
	for i := 0; i < len(actions); i++ {
		a := actions[i]
		switch a.Kind {
		case Send:
			if sim.sendFailure > 0 && sim.rng.Float64() < sim.sendFailure {
				actions = sim.client.SendFailed(sim.now, a.Datagram, sim.rng.IntN(2) == 0, actions)
				continue
			}
			sim.transmit(true, a.Datagram)
		case Commit:
			sim.committed[a.Handle] = true
		case Finish:
			sim.finished[a.Handle] = append(sim.finished[a.Handle], a)
		}
	}
}

func (sim *simulation) executeServer(actions []server.Action) {
	for _, a := range actions {
		switch a.Kind {
		case server.Send:
			sim.transmit(false, a.Datagram)
		case server.Execute:
			sim.executions[a.Request.ID]++
			sim.running = append(sim.running, runningRequest{sim.now + sim.executionTime, a.Request.Handle, sim.incarnation})
		}
	}
}

// step advances the clock to the next event, but not beyond end, and handles what is due.
func (sim *simulation) step(end time.Duration) {
	next := end
	for _, f := range sim.inTransit {
		next = min(next, f.at)
	}
	for _, r := range sim.running {
		next = min(next, r.at)
	}
	if at, ok := sim.client.Next(); ok {
		next = min(next, at)
	}
	if at, ok := sim.server.Next(); ok {
		next = min(next, at)
	}
	sim.now = max(sim.now, next)
	due := sim.inTransit
	sim.inTransit = nil
	for _, f := range due {
		switch {
		case f.at > sim.now:
			sim.inTransit = append(sim.inTransit, f)
		case f.isRefusal:
			sim.execute(sim.client.PeerUnreachable(sim.now, f.payload, nil))
		case f.toServer && sim.isDown:
			sim.refuse(f.payload)
		case f.toServer:
			sim.executeServer(sim.server.Receive(sim.now, clientAddr, f.payload, nil))
		default:
			sim.execute(sim.client.Receive(sim.now, f.payload, nil))
		}
	}
	sim.running = slices.DeleteFunc(sim.running, func(r runningRequest) bool {
		if r.at > sim.now {
			return false
		}
		if r.incarnation == sim.incarnation {
			sim.executeServer(sim.server.Respond(sim.now, r.handle, server.Response{Outcome: server.Succeeded, Body: sim.body, ContentFormat: 42}, nil))
		}
		return true
	})
	sim.execute(sim.client.Tick(sim.now, nil))
	sim.executeServer(sim.server.Tick(sim.now, nil))
}

func (sim *simulation) advance(d time.Duration) {
	for end := sim.now + d; sim.now < end; {
		sim.step(end)
	}
}

func (sim *simulation) start(handle uint64, nonIdempotent bool, body []byte) {
	r := Request{NonIdempotent: nonIdempotent, Safe: !nonIdempotent, Target: "/roster/a%20b?x=y+z", ID: fmt.Sprint("id", handle), Deadline: time.Minute, Body: body, ContentFormat: -1}
	sim.nonIdempotent[handle] = nonIdempotent
	if nonIdempotent {
		r.Target, r.ContentFormat = "/start-rec", 50
	}
	sim.execute(sim.client.Start(sim.now, handle, r, nil))
}

// startDrawn starts a drawn request: a safe one, or a non-idempotent one with a body in no,
// one or several blocks.
func (sim *simulation) startDrawn(t *rapid.T, handle uint64) {
	var body []byte
	nonIdempotent := rapid.Bool().Draw(t, "non-idempotent")
	if nonIdempotent {
		body = make([]byte, rapid.SampledFrom([]int{0, 5, 2500}).Draw(t, "body size"))
	}
	sim.start(handle, nonIdempotent, body)
}

// checkGuarantees checks, after all of the requests 1 to n have ended, that a non-idempotent
// request was executed at most once, that a request that ended as not executed was never
// executed, that each attempt ended exactly once, and that each successful response is
// complete.
func (sim *simulation) checkGuarantees(n uint64) {
	t := sim.t
	for h := uint64(1); h <= n; h++ {
		id := fmt.Sprint("id", h)
		if len(sim.finished[h]) != 1 {
			t.Fatalf("%s ended %d times: %+v", id, len(sim.finished[h]), sim.finished[h])
		}
		e := sim.finished[h][0]
		switch {
		case (e.Outcome == Unreachable || e.Outcome == NotExecuted || e.Outcome == NotSent) && sim.executions[id] > 0:
			t.Fatalf("%s ended with outcome %d (not executed) but was executed %d times", id, e.Outcome, sim.executions[id])
		case sim.executions[id] > 0 && !sim.committed[h]:
			t.Fatalf("%s was executed without a Commit action", id)
		case e.Outcome == Succeeded && (sim.executions[id] == 0 || len(e.Body) != len(sim.body)):
			t.Fatalf("%s succeeded with %d bytes after %d executions", id, len(e.Body), sim.executions[id])
		}
		if sim.client.byHandle[h] != nil {
			t.Fatalf("%s is still in flight", id)
		}
	}
	for id, n := range sim.executions {
		var h uint64
		if _, err := fmt.Sscanf(id, "id%d", &h); err != nil {
			t.Fatalf("%v", err)
		}
		if n > 1 && sim.nonIdempotent[h] {
			t.Fatalf("%s is not idempotent and was executed %d times", id, n)
		}
	}
	if len(sim.client.byExchange) > 0 || sim.client.InFlight() > 0 {
		t.Fatalf("%d exchanges and %d attempts remain", len(sim.client.byExchange), sim.client.InFlight())
	}
}

// Guards the execution guarantees against lost, duplicated and delayed datagrams and server
// restarts: a non-idempotent request is executed at most once, a request that ended as not
// executed is never executed, each attempt ends exactly once, and each successful response
// is complete.
func TestLossyLinkAndRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, rapid.Uint64().Draw(t, "seed"), rapid.Bool().Draw(t, "require Echo"))
		sim.drop = rapid.Float64Range(0, 0.7).Draw(t, "drop")
		sim.maxDelay = time.Duration(rapid.IntRange(0, 400).Draw(t, "maximum delay in ms")) * time.Millisecond
		sim.executionTime = time.Duration(rapid.IntRange(0, 300).Draw(t, "execution time in ms")) * time.Millisecond
		if sim.requireEcho {
			sim.duplicate = rapid.Float64Range(0, 0.4).Draw(t, "duplicate")
		}
		sim.body = make([]byte, rapid.SampledFrom([]int{0, 10, 3000}).Draw(t, "response size"))
		n := uint64(rapid.IntRange(1, 25).Draw(t, "requests"))
		for h := uint64(1); h <= n; h++ {
			sim.startDrawn(t, h)
			sim.advance(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause in ms")) * time.Millisecond)
			if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
				sim.restart()
			}
		}
		sim.advance(10 * time.Minute)
		sim.checkGuarantees(n)
	})
}

// Checks that non-idempotent requests are retransmitted only to a server that requires an Echo
// option. The test drops a third of the datagrams and compares the rates of successful
// requests with and without this requirement.
func TestEchoPermitsRetransmission(t *testing.T) {
	successRate := func(requireEcho bool) float64 {
		succeeded := 0
		sim := newSimulation(t, 3, requireEcho)
		sim.drop = 1. / 3
		for h := uint64(1); h <= 300; h++ {
			sim.start(h, true, nil)
			sim.advance(100 * time.Millisecond)
		}
		sim.advance(10 * time.Minute)
		for h := uint64(1); h <= 300; h++ {
			if sim.finished[h][0].Outcome == Succeeded {
				succeeded++
			}
		}
		return float64(succeeded) / 300
	}
	with, without := successRate(true), successRate(false)
	t.Logf("one datagram in three lost: success rate %.2f with Echo, %.2f without", with, without)
	if with < 0.9 || without > 0.6 {
		t.Errorf("success rate %.2f with Echo and %.2f without, want at least 0.9 and at most 0.6", with, without)
	}
}

// Checks the outcome of a non-idempotent request for each reaction of the server.
func TestOutcomes(t *testing.T) {
	respond := func(code message.Code, options ...any) func(sim *simulation, m message.Message) {
		return func(sim *simulation, m message.Message) {
			r := message.Message{Type: message.Acknowledgement, ID: m.ID, Token: m.Token, Code: code}
			for i := 0; i < len(options); i += 2 {
				r.Add(options[i].(message.Number), []byte(options[i+1].(string)))
			}
			text, err := r.Append(nil)
			if err != nil {
				t.Fatal(err)
			}
			sim.execute(sim.client.Receive(sim.now, text, nil))
		}
	}
	empty := func(kind message.Type) func(sim *simulation, m message.Message) {
		return func(sim *simulation, m message.Message) {
			text, _ := (&message.Message{Type: kind, ID: m.ID}).Append(nil)
			sim.execute(sim.client.Receive(sim.now, text, nil))
		}
	}
	ignore := func(*simulation, message.Message) {}
	refuse := func(sim *simulation, m message.Message) {
		text, err := m.Append(nil)
		if err != nil {
			t.Fatal(err)
		}
		sim.execute(sim.client.PeerUnreachable(sim.now, text, nil))
	}
	refuseUnquoted := func(sim *simulation, _ message.Message) { sim.execute(sim.client.PeerUnreachable(sim.now, nil, nil)) }
	for name, c := range map[string]struct {
		reactions []func(sim *simulation, m message.Message) // one for each datagram that the server receives
		body      int
		want      Outcome
	}{
		"success":                                  {[]func(*simulation, message.Message){respond(message.Changed)}, 0, Succeeded},
		"rejected, not executed":                   {[]func(*simulation, message.Message){respond(message.ServiceUnavailable, server.OptNotExecuted, "")}, 0, NotExecuted},
		"rejected, without OptNotExecuted":         {[]func(*simulation, message.Message){respond(message.ServiceUnavailable)}, 0, ErrorResponse},
		"not executed, with another code":          {[]func(*simulation, message.Message){respond(message.InternalServerError, server.OptNotExecuted, "")}, 0, ErrorResponse},
		"error":                                    {[]func(*simulation, message.Message){respond(message.InternalServerError)}, 0, ErrorResponse},
		"reset of the first datagram":              {[]func(*simulation, message.Message){empty(message.Reset)}, 0, Unreachable},
		"reset after a retransmission":             {[]func(*simulation, message.Message){respond(message.Unauthorized, message.Echo, "v"), ignore, empty(message.Reset)}, 0, Aborted},
		"first datagram refused":                   {[]func(*simulation, message.Message){refuse}, 0, Unreachable},
		"retransmission refused":                   {[]func(*simulation, message.Message){respond(message.Unauthorized, message.Echo, "v"), ignore, refuse}, 0, ServerLost},
		"unknown datagram refused":                 {[]func(*simulation, message.Message){refuseUnquoted}, 0, ServerLost},
		"block of the body refused":                {[]func(*simulation, message.Message){refuse}, 3000, NotExecuted},
		"acknowledgement without a response":       {[]func(*simulation, message.Message){empty(message.Acknowledgement)}, 0, TimedOut},
		"no response":                              {[]func(*simulation, message.Message){ignore, ignore, ignore, ignore, ignore}, 0, TimedOut},
		"Echo challenge, then success":             {[]func(*simulation, message.Message){respond(message.Unauthorized, message.Echo, "v"), respond(message.Changed)}, 0, Succeeded},
		"Echo challenge to a request with an Echo": {[]func(*simulation, message.Message){respond(message.Unauthorized, message.Echo, "v"), respond(message.Unauthorized, message.Echo, "w")}, 0, ErrorResponse},
		"unauthorized without an Echo":             {[]func(*simulation, message.Message){respond(message.Unauthorized)}, 0, ErrorResponse},
		"body rejected at its first block":         {[]func(*simulation, message.Message){respond(message.RequestEntityTooLarge)}, 3000, NotExecuted},
		"incomplete body":                          {[]func(*simulation, message.Message){respond(message.RequestEntityIncomplete)}, 3000, NotExecuted},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1, false)
			sim.start(1, true, make([]byte, c.body))
			for i := 0; len(sim.finished[1]) == 0; {
				if len(sim.inTransit) == 0 {
					at, ok := sim.client.Next()
					if !ok {
						t.Fatal("no timer is scheduled, but the attempt has not ended")
					}
					sim.now = at
					sim.execute(sim.client.Tick(sim.now, nil))
					continue
				}
				f := sim.inTransit[0]
				sim.inTransit = sim.inTransit[1:]
				var m message.Message
				if err := message.Decode(f.payload, &m); err != nil || !f.toServer {
					continue
				}
				if i < len(c.reactions) {
					c.reactions[i](sim, m)
				}
				i++
			}
			if e := sim.finished[1]; len(e) != 1 || e[0].Outcome != c.want {
				t.Errorf("finished with %+v, want one action with outcome %d", e, c.want)
			}
		})
	}
}
