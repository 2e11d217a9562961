package caller

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
	"otterspring/internal/coap/gate"
	"otterspring/internal/coap/message"
)

var (
	here  = netip.MustParseAddrPort("127.0.0.1:1000")
	there = netip.MustParseAddrPort("127.0.0.1:2000")
)

// world is a caller and a call server in virtual time, with a link between them
// that drops, doubles and delays, and a server that may start anew at any time.
type world struct {
	t      interface{ Fatalf(string, ...any) }
	rng    *rand.Rand
	now    time.Duration
	caller *Caller
	server *gate.Gate
	demand bool
	work   time.Duration
	body   []byte // of every answer
	drop   float64
	double float64
	late   time.Duration
	flying []flight
	runs   []run
	ran    map[string]int // over all lives
	ends   map[uint64][]Action
	commit map[uint64]bool
	unsafe map[uint64]bool
	lives  uint64
}

type flight struct {
	at       time.Duration
	toServer bool
	text     []byte
}

// run is a request that the server works on.
type run struct {
	at     time.Duration
	handle uint64
	life   uint64
}

func newWorld(t interface{ Fatalf(string, ...any) }, seed uint64, demand bool) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 1)), demand: demand, work: 20 * time.Millisecond, ran: map[string]int{}, ends: map[uint64][]Action{}, commit: map[uint64]bool{}, unsafe: map[uint64]bool{}}
	p := exchange.DefaultParams()
	p.AckTimeout, p.AckDelay, p.NStart = 100*time.Millisecond, 30*time.Millisecond, 1000
	c, err := New(Settings{Params: p, Limits: exchange.ClientLimits{MaxInFlight: 1000, MaxDedupEntries: 1000}, Body: 64 << 10, Block: 1024, EchoFor: 5 * time.Second, Seed: seed}, there)
	if err != nil {
		t.Fatalf("%v", err)
	}
	w.caller = c
	w.restart()
	return w
}

// restart begins another life of the server: nothing is left of the one before.
func (w *world) restart() {
	w.lives++
	p := exchange.DefaultParams()
	p.AckTimeout, p.AckDelay = 100*time.Millisecond, 30*time.Millisecond
	g, err := gate.New(gate.Settings{
		Params: p, Limits: exchange.ServerLimits{MaxPendingRequests: 1000, MaxDedupEntries: 5000, MaxDedupBytes: 1 << 20},
		Blocks:        block.Limits{MaxTransfers: 10, MaxBodySize: 64 << 10, MaxTotalSize: 1 << 20, IdleTimeout: time.Minute, MaxBlockSize: 1024},
		Classes:       map[string]gate.Class{"roster": {Effect: gate.Repeat, Deadline: time.Hour}, "start-rec": {Effect: gate.Once, Deadline: time.Hour}},
		DeadlineTimes: 4, Trusted: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")},
		Clean: true, Demand: w.demand, EchoKey: fmt.Appendf(nil, "the key of life %08d", w.lives), EchoAge: 10 * time.Second, Seed: w.lives,
	})
	if err != nil {
		w.t.Fatalf("%v", err)
	}
	w.server = g
}

func (w *world) fly(toServer bool, text []byte) {
	if w.rng.Float64() < w.drop {
		return
	}
	copies := 1
	if w.rng.Float64() < w.double {
		copies = 2
	}
	for range copies {
		at := w.now + time.Millisecond
		if w.late > 0 {
			at += time.Duration(w.rng.Int64N(int64(w.late)))
		}
		w.flying = append(w.flying, flight{at, toServer, bytes.Clone(text)})
	}
}

func (w *world) carry(acts []Action) {
	for _, a := range acts {
		switch a.Kind {
		case Send:
			w.fly(true, a.Datagram)
		case Commit:
			w.commit[a.Handle] = true
		case End:
			w.ends[a.Handle] = append(w.ends[a.Handle], a)
		}
	}
}

func (w *world) served(acts []gate.Action) {
	for _, a := range acts {
		switch a.Kind {
		case gate.Send:
			w.fly(false, a.Datagram)
		case gate.Ask:
			w.ran[a.Request.ID]++
			w.runs = append(w.runs, run{w.now + w.work, a.Request.Handle, w.lives})
		}
	}
}

// step goes to the next moment at which anything happens, end at the latest.
func (w *world) step(end time.Duration) {
	next := end
	for _, f := range w.flying {
		next = min(next, f.at)
	}
	for _, r := range w.runs {
		next = min(next, r.at)
	}
	if at, ok := w.caller.Next(); ok {
		next = min(next, at)
	}
	if at, ok := w.server.Next(); ok {
		next = min(next, at)
	}
	w.now = max(w.now, next)
	due := w.flying
	w.flying = nil
	for _, f := range due {
		switch {
		case f.at > w.now:
			w.flying = append(w.flying, f)
		case f.toServer:
			w.served(w.server.Receive(w.now, here, f.text, nil))
		default:
			w.carry(w.caller.Receive(w.now, f.text, nil))
		}
	}
	w.runs = slices.DeleteFunc(w.runs, func(r run) bool {
		if r.at > w.now {
			return false
		}
		if r.life == w.lives {
			w.served(w.server.Answer(w.now, r.handle, gate.Answer{Outcome: gate.Served, Body: w.body, ContentFormat: 42}, nil))
		}
		return true
	})
	w.carry(w.caller.Tick(w.now, nil))
	w.served(w.server.Tick(w.now, nil))
}

func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.step(end)
	}
}

func (w *world) ask(handle uint64, unsafe bool, body []byte) {
	r := Request{Unsafe: unsafe, Safe: !unsafe, Target: "/roster/a%20b?x=y+z", ID: fmt.Sprint("id", handle), Deadline: time.Minute, Body: body, ContentFormat: -1}
	w.unsafe[handle] = unsafe
	if unsafe {
		r.Target, r.ContentFormat = "/start-rec", 50
	}
	w.carry(w.caller.Begin(w.now, handle, r, nil))
}

// Whatever the link does and however often the server starts anew: an unsafe
// request runs once at most, one that ended as not run never runs, each attempt
// ends once, and what is served is whole.
func TestAnyLinkAndRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"), rapid.Bool().Draw(t, "demand"))
		w.drop = rapid.Float64Range(0, 0.7).Draw(t, "drop")
		w.late = time.Duration(rapid.IntRange(0, 400).Draw(t, "late ms")) * time.Millisecond
		w.work = time.Duration(rapid.IntRange(0, 300).Draw(t, "work ms")) * time.Millisecond
		if w.demand {
			w.double = rapid.Float64Range(0, 0.4).Draw(t, "double")
		}
		w.body = make([]byte, rapid.SampledFrom([]int{0, 10, 3000}).Draw(t, "answer"))
		n := uint64(rapid.IntRange(1, 25).Draw(t, "requests"))
		for h := uint64(1); h <= n; h++ {
			var body []byte
			unsafe := rapid.Bool().Draw(t, "unsafe")
			if unsafe {
				body = make([]byte, rapid.SampledFrom([]int{0, 5, 2500}).Draw(t, "body"))
			}
			w.ask(h, unsafe, body)
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
			case (e.Ending == NotThere || e.Ending == TurnedAway) && w.ran[id] > 0:
				t.Fatalf("%s ended as not run (%d) and ran %d times", id, e.Ending, w.ran[id])
			case w.ran[id] > 0 && !w.commit[h]:
				t.Fatalf("%s ran before it was said that it may", id)
			case e.Ending == Served && (w.ran[id] == 0 || len(e.Body) != len(w.body)):
				t.Fatalf("%s was served %d bytes, ran %d times", id, len(e.Body), w.ran[id])
			}
			if w.caller.byName[h] != nil {
				t.Fatalf("%s is left", id)
			}
		}
		for id, n := range w.ran {
			var h uint64
			fmt.Sscanf(id, "id%d", &h)
			if n > 1 && w.unsafe[h] {
				t.Fatalf("%s must not run twice and ran %d times", id, n)
			}
		}
		if len(w.caller.byOut) > 0 || w.caller.Open() > 0 {
			t.Fatalf("left: %d, %d", len(w.caller.byOut), w.caller.Open())
		}
	})
}

// At a third lost, what a server's manner costs: one that enforces Echo lets
// unsafe requests be sent again, one that does not has them sent once.
func TestWhatEchoIsWorth(t *testing.T) {
	share := func(demand bool) float64 {
		served := 0
		w := newWorld(t, 3, demand)
		w.drop = 1. / 3
		for h := uint64(1); h <= 300; h++ {
			w.ask(h, true, nil)
			w.run(100 * time.Millisecond)
		}
		w.run(10 * time.Minute)
		for h := uint64(1); h <= 300; h++ {
			if w.ends[h][0].Ending == Served {
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

// Endings one by one, each with what it proves.
func TestEndings(t *testing.T) {
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
			w.carry(w.caller.Receive(w.now, text, nil))
		}
	}
	bare := func(kind message.Type) func(w *world, m message.Message) {
		return func(w *world, m message.Message) {
			text, _ := (&message.Message{Type: kind, ID: m.ID}).Append(nil)
			w.carry(w.caller.Receive(w.now, text, nil))
		}
	}
	nothing := func(*world, message.Message) {}
	refused := func(w *world, _ message.Message) { w.carry(w.caller.Unreachable(w.now, nil)) }
	for name, c := range map[string]struct {
		do   []func(w *world, m message.Message) // for each datagram that comes
		body int
		want Ending
	}{
		"served":                        {[]func(*world, message.Message){answer(message.Changed)}, 0, Served},
		"turned away, not run":          {[]func(*world, message.Message){answer(message.ServiceUnavailable, gate.OptNotRun, "")}, 0, TurnedAway},
		"turned away, no word of it":    {[]func(*world, message.Message){answer(message.ServiceUnavailable)}, 0, Erred},
		"not run of another code":       {[]func(*world, message.Message){answer(message.InternalServerError, gate.OptNotRun, "")}, 0, Erred},
		"an error":                      {[]func(*world, message.Message){answer(message.InternalServerError)}, 0, Erred},
		"rejected at once":              {[]func(*world, message.Message){bare(message.Reset)}, 0, NotThere},
		"rejected after a repeat":       {[]func(*world, message.Message){answer(message.Unauthorized, message.Echo, "v"), nothing, bare(message.Reset)}, 0, Broken},
		"refused at once":               {[]func(*world, message.Message){refused}, 0, NotThere},
		"acknowledged, then nothing":    {[]func(*world, message.Message){bare(message.Acknowledgement)}, 0, Silent},
		"silence":                       {[]func(*world, message.Message){nothing, nothing, nothing, nothing, nothing}, 0, Silent},
		"Echo asked for, then served":   {[]func(*world, message.Message){answer(message.Unauthorized, message.Echo, "v"), answer(message.Changed)}, 0, Served},
		"Echo asked for with an Echo":   {[]func(*world, message.Message){answer(message.Unauthorized, message.Echo, "v"), answer(message.Unauthorized, message.Echo, "w")}, 0, Erred},
		"unauthorized, and no Echo":     {[]func(*world, message.Message){answer(message.Unauthorized)}, 0, Erred},
		"body refused at its beginning": {[]func(*world, message.Message){answer(message.RequestEntityTooLarge)}, 3000, TurnedAway},
		"body lost before its end":      {[]func(*world, message.Message){answer(message.RequestEntityIncomplete)}, 3000, TurnedAway},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, false)
			w.ask(1, true, make([]byte, c.body))
			for i := 0; len(w.ends[1]) == 0; {
				if len(w.flying) == 0 {
					at, ok := w.caller.Next()
					if !ok {
						t.Fatal("nothing is planned, and it has not ended")
					}
					w.now = at
					w.carry(w.caller.Tick(w.now, nil))
					continue
				}
				f := w.flying[0]
				w.flying = w.flying[1:]
				var m message.Message
				if err := message.Decode(f.text, &m); err != nil || !f.toServer {
					continue
				}
				if i < len(c.do) {
					c.do[i](w, m)
				}
				i++
			}
			if e := w.ends[1]; len(e) != 1 || e[0].Ending != c.want {
				t.Errorf("ended as %+v, want %d", e, c.want)
			}
		})
	}
}
