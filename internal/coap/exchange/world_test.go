package exchange

import (
	"fmt"
	"math/rand/v2"
	"time"

	"otterspring/internal/coap/message"
)

// flight is a datagram in the network.
type flight struct {
	at       time.Duration
	toServer bool
	text     []byte
}

// world is a client and a server with an unreliable link between them, in virtual time.
type world struct {
	t       interface{ Fatalf(string, ...any) }
	rng     *rand.Rand
	now     time.Duration
	client  *Client
	server  *Server
	air     []flight
	nth     int
	drop    func(nth int) bool
	double  float64 // probability that a datagram is duplicated
	late    time.Duration
	work    time.Duration // time until the server responds
	answers []pendingResponse
	ran     map[string]int // executions by path
	ends    map[uint64][]Action
	once    bool
	// response is called with each datagram that is sent, after drop; nil for none.
	datagram func(text []byte)
}

// pendingResponse is a response that the server sends later.
type pendingResponse struct {
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

// fly puts datagrams into the network.
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
			w.answers = append(w.answers, pendingResponse{w.now + w.work, a.Handle, a.Message.Path()})
		case Response, Failed:
			w.ends[a.Handle] = append(w.ends[a.Handle], a)
		}
	}
}

func (w *world) ask(handle uint64, t message.Type) bool {
	m := message.Message{Type: t, Code: message.POST}
	m.Add(message.URIPath, []byte(fmt.Sprint("r", handle)))
	acts, ok := w.client.Request(w.now, handle, serverAddr, m, w.once, nil)
	w.fly(acts, true)
	return ok
}

// step plays the next event before end.
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

// check compares the ends of requests with the executions: each request ends once, is
// executed once at most, and gets its own response.
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
