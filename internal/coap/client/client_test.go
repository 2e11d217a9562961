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
	here  = netip.MustParseAddrPort("127.0.0.1:1000")
	there = netip.MustParseAddrPort("127.0.0.1:2000")
)

// world is a client and a server in virtual time, with a link between them that drops,
// duplicates and delays datagrams, and a server that may restart at any time.
type world struct {
	t           interface{ Fatalf(string, ...any) }
	rng         *rand.Rand
	now         time.Duration
	client      *Client
	server      *server.Server
	demand      bool
	work        time.Duration
	body        []byte // of every answer
	drop        float64
	duplicate   float64
	maxDelay    time.Duration
	inTransit   []datagram
	runs        []run
	ran         map[string]int // over all incarnations
	ends        map[uint64][]Action
	commit      map[uint64]bool
	unsafe      map[uint64]bool
	incarnation uint64
}

type datagram struct {
	at       time.Duration
	toServer bool
	text     []byte
}

// run is a request that the server works on.
type run struct {
	at          time.Duration
	handle      uint64
	incarnation uint64
}

func newWorld(t interface{ Fatalf(string, ...any) }, seed uint64, demand bool) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 1)), demand: demand, work: 20 * time.Millisecond, ran: map[string]int{}, ends: map[uint64][]Action{}, commit: map[uint64]bool{}, unsafe: map[uint64]bool{}}
	p := exchange.DefaultParams()
	p.AckTimeout, p.AckDelay, p.NStart = 100*time.Millisecond, 30*time.Millisecond, 1000
	c, err := New(Settings{Params: p, Limits: exchange.ClientLimits{MaxInFlight: 1000, MaxDedupEntries: 1000}, MaxBodySize: 64 << 10, BlockSize: 1024, EchoLifetime: 5 * time.Second, Seed: seed}, there)
	if err != nil {
		t.Fatalf("%v", err)
	}
	w.client = c
	w.restart()
	return w
}

// restart restarts the server, which loses its state.
func (w *world) restart() {
	w.incarnation++
	p := exchange.DefaultParams()
	p.AckTimeout, p.AckDelay = 100*time.Millisecond, 30*time.Millisecond
	g, err := server.New(server.Settings{
		Params: p, Limits: exchange.ServerLimits{MaxPendingRequests: 1000, MaxDedupEntries: 5000, MaxDedupBytes: 1 << 20},
		Blocks:           block.Limits{MaxTransfers: 10, MaxBodySize: 64 << 10, MaxTotalSize: 1 << 20, IdleTimeout: time.Minute, MaxBlockSize: 1024},
		Classes:          map[string]server.Class{"roster": {Idempotency: server.Idempotent, Deadline: time.Hour}, "start-rec": {Idempotency: server.NonIdempotent, Deadline: time.Hour}},
		MaxDeadlineRatio: 4, TrustedNetworks: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")},
		HistoryKnown: true, RequireEcho: w.demand, EchoKey: fmt.Appendf(nil, "the key of life %08d", w.incarnation), EchoLifetime: 10 * time.Second, Seed: w.incarnation,
	})
	if err != nil {
		w.t.Fatalf("%v", err)
	}
	w.server = g
}

func (w *world) transmit(toServer bool, text []byte) {
	if w.rng.Float64() < w.drop {
		return
	}
	copies := 1
	if w.rng.Float64() < w.duplicate {
		copies = 2
	}
	for range copies {
		at := w.now + time.Millisecond
		if w.maxDelay > 0 {
			at += time.Duration(w.rng.Int64N(int64(w.maxDelay)))
		}
		w.inTransit = append(w.inTransit, datagram{at, toServer, bytes.Clone(text)})
	}
}

func (w *world) execute(acts []Action) {
	for _, a := range acts {
		switch a.Kind {
		case Send:
			w.transmit(true, a.Datagram)
		case Commit:
			w.commit[a.Handle] = true
		case Finish:
			w.ends[a.Handle] = append(w.ends[a.Handle], a)
		}
	}
}

func (w *world) executeServer(acts []server.Action) {
	for _, a := range acts {
		switch a.Kind {
		case server.Send:
			w.transmit(false, a.Datagram)
		case server.Execute:
			w.ran[a.Request.ID]++
			w.runs = append(w.runs, run{w.now + w.work, a.Request.Handle, w.incarnation})
		}
	}
}

// step advances the clock to the next event, end at the latest.
func (w *world) step(end time.Duration) {
	next := end
	for _, f := range w.inTransit {
		next = min(next, f.at)
	}
	for _, r := range w.runs {
		next = min(next, r.at)
	}
	if at, ok := w.client.Next(); ok {
		next = min(next, at)
	}
	if at, ok := w.server.Next(); ok {
		next = min(next, at)
	}
	w.now = max(w.now, next)
	due := w.inTransit
	w.inTransit = nil
	for _, f := range due {
		switch {
		case f.at > w.now:
			w.inTransit = append(w.inTransit, f)
		case f.toServer:
			w.executeServer(w.server.Receive(w.now, here, f.text, nil))
		default:
			w.execute(w.client.Receive(w.now, f.text, nil))
		}
	}
	w.runs = slices.DeleteFunc(w.runs, func(r run) bool {
		if r.at > w.now {
			return false
		}
		if r.incarnation == w.incarnation {
			w.executeServer(w.server.Respond(w.now, r.handle, server.Response{Outcome: server.Succeeded, Body: w.body, ContentFormat: 42}, nil))
		}
		return true
	})
	w.execute(w.client.Tick(w.now, nil))
	w.executeServer(w.server.Tick(w.now, nil))
}

func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.step(end)
	}
}

func (w *world) start(handle uint64, unsafe bool, body []byte) {
	r := Request{NonIdempotent: unsafe, Safe: !unsafe, Target: "/roster/a%20b?x=y+z", ID: fmt.Sprint("id", handle), Deadline: time.Minute, Body: body, ContentFormat: -1}
	w.unsafe[handle] = unsafe
	if unsafe {
		r.Target, r.ContentFormat = "/start-rec", 50
	}
	w.execute(w.client.Start(w.now, handle, r, nil))
}

// Whatever the link does and however often the server restarts: a non-idempotent request
// is executed at most once, one that ended as not executed never is, each attempt ends
// once, and each successful response is complete.
func TestLossyLinkAndRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"), rapid.Bool().Draw(t, "demand"))
		w.drop = rapid.Float64Range(0, 0.7).Draw(t, "drop")
		w.maxDelay = time.Duration(rapid.IntRange(0, 400).Draw(t, "late ms")) * time.Millisecond
		w.work = time.Duration(rapid.IntRange(0, 300).Draw(t, "work ms")) * time.Millisecond
		if w.demand {
			w.duplicate = rapid.Float64Range(0, 0.4).Draw(t, "double")
		}
		w.body = make([]byte, rapid.SampledFrom([]int{0, 10, 3000}).Draw(t, "answer"))
		n := uint64(rapid.IntRange(1, 25).Draw(t, "requests"))
		for h := uint64(1); h <= n; h++ {
			var body []byte
			unsafe := rapid.Bool().Draw(t, "unsafe")
			if unsafe {
				body = make([]byte, rapid.SampledFrom([]int{0, 5, 2500}).Draw(t, "body"))
			}
			w.start(h, unsafe, body)
			w.run(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
				w.restart()
			}
		}
		w.run(10 * time.Minute)
		for h := uint64(1); h <= n; h++ {
			id := fmt.Sprint("id", h)
			if len(w.ends[h]) != 1 {
				t.Fatalf("%s ended %d times: %+v", id, len(w.ends[h]), w.ends[h])
			}
			e := w.ends[h][0]
			switch {
			case (e.Outcome == Unreachable || e.Outcome == NotExecuted) && w.ran[id] > 0:
				t.Fatalf("%s ended as not executed (%d) and was executed %d times", id, e.Outcome, w.ran[id])
			case w.ran[id] > 0 && !w.commit[h]:
				t.Fatalf("%s was executed before its Commit", id)
			case e.Outcome == Succeeded && (w.ran[id] == 0 || len(e.Body) != len(w.body)):
				t.Fatalf("%s was served %d bytes, ran %d times", id, len(e.Body), w.ran[id])
			}
			if w.client.byHandle[h] != nil {
				t.Fatalf("%s is still in flight", id)
			}
		}
		for id, n := range w.ran {
			var h uint64
			if _, err := fmt.Sscanf(id, "id%d", &h); err != nil {
				t.Fatal(err)
			}
			if n > 1 && w.unsafe[h] {
				t.Fatalf("%s must not run twice and ran %d times", id, n)
			}
		}
		if len(w.client.byExchange) > 0 || w.client.InFlight() > 0 {
			t.Fatalf("left: %d, %d", len(w.client.byExchange), w.client.InFlight())
		}
	})
}

// With a third of the datagrams lost, a server that requires an Echo lets non-idempotent
// requests be retransmitted; one that does not has them sent once.
func TestEchoPermitsRetransmission(t *testing.T) {
	share := func(demand bool) float64 {
		served := 0
		w := newWorld(t, 3, demand)
		w.drop = 1. / 3
		for h := uint64(1); h <= 300; h++ {
			w.start(h, true, nil)
			w.run(100 * time.Millisecond)
		}
		w.run(10 * time.Minute)
		for h := uint64(1); h <= 300; h++ {
			if w.ends[h][0].Outcome == Succeeded {
				served++
			}
		}
		return float64(served) / 300
	}
	with, without := share(true), share(false)
	t.Logf("one datagram in three lost: %.2f served with Echo, %.2f without", with, without)
	if with < 0.9 || without > 0.6 {
		t.Errorf("%.2f and %.2f", with, without)
	}
}

// Each outcome, by what the server does.
func TestOutcomes(t *testing.T) {
	answer := func(code message.Code, more ...any) func(w *world, m message.Message) {
		return func(w *world, m message.Message) {
			r := message.Message{Type: message.Acknowledgement, ID: m.ID, Token: m.Token, Code: code}
			for i := 0; i < len(more); i += 2 {
				r.Add(more[i].(message.Number), []byte(more[i+1].(string)))
			}
			text, err := r.Append(nil)
			if err != nil {
				t.Fatal(err)
			}
			w.execute(w.client.Receive(w.now, text, nil))
		}
	}
	bare := func(kind message.Type) func(w *world, m message.Message) {
		return func(w *world, m message.Message) {
			text, _ := (&message.Message{Type: kind, ID: m.ID}).Append(nil)
			w.execute(w.client.Receive(w.now, text, nil))
		}
	}
	nothing := func(*world, message.Message) {}
	refused := func(w *world, _ message.Message) { w.execute(w.client.PeerUnreachable(w.now, nil)) }
	for name, c := range map[string]struct {
		do   []func(w *world, m message.Message) // for each datagram that comes
		body int
		want Outcome
	}{
		"served":                          {[]func(*world, message.Message){answer(message.Changed)}, 0, Succeeded},
		"rejected, not executed":          {[]func(*world, message.Message){answer(message.ServiceUnavailable, server.OptNotExecuted, "")}, 0, NotExecuted},
		"rejected, without a promise":     {[]func(*world, message.Message){answer(message.ServiceUnavailable)}, 0, ErrorResponse},
		"not executed, with another code": {[]func(*world, message.Message){answer(message.InternalServerError, server.OptNotExecuted, "")}, 0, ErrorResponse},
		"an error":                        {[]func(*world, message.Message){answer(message.InternalServerError)}, 0, ErrorResponse},
		"reset at once":                   {[]func(*world, message.Message){bare(message.Reset)}, 0, Unreachable},
		"reset after a retry":             {[]func(*world, message.Message){answer(message.Unauthorized, message.Echo, "v"), nothing, bare(message.Reset)}, 0, Aborted},
		"refused at once":                 {[]func(*world, message.Message){refused}, 0, Unreachable},
		"acknowledged, then nothing":      {[]func(*world, message.Message){bare(message.Acknowledgement)}, 0, TimedOut},
		"silence":                         {[]func(*world, message.Message){nothing, nothing, nothing, nothing, nothing}, 0, TimedOut},
		"Echo asked for, then served":     {[]func(*world, message.Message){answer(message.Unauthorized, message.Echo, "v"), answer(message.Changed)}, 0, Succeeded},
		"Echo asked for with an Echo":     {[]func(*world, message.Message){answer(message.Unauthorized, message.Echo, "v"), answer(message.Unauthorized, message.Echo, "w")}, 0, ErrorResponse},
		"unauthorized, and no Echo":       {[]func(*world, message.Message){answer(message.Unauthorized)}, 0, ErrorResponse},
		"body refused at its beginning":   {[]func(*world, message.Message){answer(message.RequestEntityTooLarge)}, 3000, NotExecuted},
		"body lost before its end":        {[]func(*world, message.Message){answer(message.RequestEntityIncomplete)}, 3000, NotExecuted},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, false)
			w.start(1, true, make([]byte, c.body))
			for i := 0; len(w.ends[1]) == 0; {
				if len(w.inTransit) == 0 {
					at, ok := w.client.Next()
					if !ok {
						t.Fatal("nothing is scheduled, and the attempt has not ended")
					}
					w.now = at
					w.execute(w.client.Tick(w.now, nil))
					continue
				}
				f := w.inTransit[0]
				w.inTransit = w.inTransit[1:]
				var m message.Message
				if err := message.Decode(f.text, &m); err != nil || !f.toServer {
					continue
				}
				if i < len(c.do) {
					c.do[i](w, m)
				}
				i++
			}
			if e := w.ends[1]; len(e) != 1 || e[0].Outcome != c.want {
				t.Errorf("ended as %+v, want %d", e, c.want)
			}
		})
	}
}
