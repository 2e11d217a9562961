package audit_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"otterspring/internal/lab/audit"
	"otterspring/internal/lab/standin/callserver"
	"otterspring/internal/lab/standin/clients"
	"otterspring/internal/lab/standin/registry"
)

// relay is a peer in the sidecar's place that a test breaks on purpose.
type relay struct {
	t       *testing.T
	ln      net.Listener
	servers []string
	broken  string
	nth     atomic.Int64
	wg      sync.WaitGroup
}

func startRelay(t *testing.T, broken string, servers ...string) *relay {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{t: t, ln: ln, servers: servers, broken: broken}
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			r.wg.Add(1)
			go func() {
				defer r.wg.Done()
				defer c.Close()
				r.serve(c)
			}()
		}
	}()
	t.Cleanup(func() { ln.Close(); r.wg.Wait() })
	return r
}

// send passes a request on to a server, by number, and returns the answer.
func (r *relay) send(server int, text []byte) []byte {
	c, err := net.Dial("tcp", r.servers[server%len(r.servers)])
	if err != nil {
		return []byte("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	c.Write(text)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return []byte("HTTP/1.1 502 x\r\nContent-Length: 0\r\n\r\n")
	}
	body, _ := io.ReadAll(resp.Body)
	return fmt.Appendf(nil, "HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n%s", resp.StatusCode, len(body), body)
}

const refusal = "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n"

func (r *relay) serve(c net.Conn) {
	br := bufio.NewReader(c)
	for {
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		var b bytes.Buffer
		fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: x\r\n", req.Method, req.URL.Path)
		for _, h := range []string{"X-Request-Id", "X-Key", "Idempotency-Key"} {
			if v := req.Header.Get(h); v != "" {
				fmt.Fprintf(&b, "%s: %s\r\n", h, v)
			}
		}
		if req.Method == "POST" {
			fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
		}
		fmt.Fprintf(&b, "\r\n%s", body)
		n := int(r.nth.Add(1))
		var answer []byte
		switch r.broken {
		case "swallows":
			r.send(n, b.Bytes())
			return
		case "sends twice":
			r.send(0, b.Bytes())
			answer = r.send(1, b.Bytes())
		case "forges":
			answer = []byte("HTTP/1.1 200 x\r\nContent-Length: 4\r\n\r\nfine")
		case "mixes up":
			answer = r.send(n, bytes.Replace(b.Bytes(), []byte("X-Request-Id: "), []byte("X-Request-Id: x"), 1))
		case "refuses what ran":
			r.send(n, b.Bytes())
			answer = []byte(refusal)
		case "sends after its answer":
			io.WriteString(c, refusal)
			time.Sleep(100 * time.Millisecond)
			r.send(n, b.Bytes())
			continue
		default:
			answer = r.send(n, b.Bytes())
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
	}
}

// scene is two call servers in pods of their own, and discovery.
type scene struct {
	log  *audit.Log
	reg  *registry.Registry
	srv  []*callserver.Server
	door *registry.Door
}

var works = []callserver.Class{
	{Name: "roster", Effect: audit.Repeat, Work: 2 * time.Millisecond},
	{Name: "join", Effect: audit.Keyed, Work: 2 * time.Millisecond},
	{Name: "start-rec", Effect: audit.Once, Work: 2 * time.Millisecond},
}

func newScene(t *testing.T) *scene {
	t.Helper()
	s := &scene{log: audit.New(audit.Rules{Grace: 100 * time.Millisecond, Slack: 50 * time.Millisecond, ToldAfter: time.Minute, TipMultiple: 3, TipFor: 500 * time.Millisecond})}
	s.reg = registry.New(registry.Config{}, s.log, 1)
	t.Cleanup(s.reg.Close)
	for i := range 2 {
		srv, err := callserver.Start(callserver.Config{
			Name: fmt.Sprintf("s%d", i), Group: i, Classes: works, ColdFrom: 0.2, ColdWork: time.Hour, Cores: 2,
		}, callserver.NewPod(fmt.Sprint(i), 4*time.Second), s.log, 1)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(srv.Close)
		s.srv = append(s.srv, srv)
		s.reg.SetNow(registry.Entry{Name: srv.Name(), Addr: srv.Addr(), Status: "active", Life: 1})
	}
	var err error
	if s.door, err = s.reg.Open("n1"); err != nil {
		t.Fatal(err)
	}
	return s
}

// play asks n requests of a class through the relay, ten milliseconds apart.
func (s *scene) play(r *relay, class string, n int) {
	cl := []clients.Class{{Name: class, Share: 1, Aim: time.Second, Deadline: 20 * time.Second, Worth: 1}}
	for _, w := range works {
		if w.Name == class {
			cl[0].Effect = w.Effect
		}
	}
	c := clients.New(clients.Config{Instance: "n1", Addr: r.ln.Addr().String(), Classes: cl}, s.log)
	var plan []clients.Arrival
	for i := range n {
		plan = append(plan, clients.Arrival{At: time.Duration(i) * 10 * time.Millisecond})
	}
	c.Run(context.Background(), plan)
}

func TestAnHonestPeerKeepsAllRules(t *testing.T) {
	t.Parallel()
	s := newScene(t)
	r := startRelay(t, "", s.srv[0].Addr(), s.srv[1].Addr())
	for _, class := range []string{"roster", "join", "start-rec"} {
		s.play(r, class, 5)
	}
	if rep := s.log.Report(); rep.Broken() || rep.Served != 15 || rep.Effects != 15 {
		t.Errorf("%s: %v", rep.Line(), rep.Problems)
	}
}

// Each way to break a rule on the sockets shows under its own name.
func TestBrokenPeersAreNamed(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		broken, class string
		count         func(*audit.Report) int
		words         string
	}{
		{"swallows", "start-rec", func(r *audit.Report) int { return r.Lost }, "no whole answer"},
		{"sends twice", "start-rec", func(r *audit.Report) int { return r.Twice }, "ran at pod 0"},
		{"sends twice", "join", func(r *audit.Report) int { return r.Twice }, "ran at pod 0"},
		{"forges", "roster", func(r *audit.Report) int { return r.Forged }, "no call server made"},
		{"mixes up", "roster", func(r *audit.Report) int { return r.Forged }, "no call server made"},
		{"refuses what ran", "start-rec", func(r *audit.Report) int { return r.Untrue }, "refused though it ran"},
		{"refuses what ran", "join", func(r *audit.Report) int { return r.Untrue }, "refused though it ran"},
		{"sends after its answer", "start-rec", func(r *audit.Report) int { return min(r.After, r.Untrue) }, "after its final answer"},
	} {
		t.Run(c.broken+" "+c.class, func(t *testing.T) {
			t.Parallel()
			s := newScene(t)
			r := startRelay(t, c.broken, s.srv[0].Addr(), s.srv[1].Addr())
			s.play(r, c.class, 3)
			// What is sent behind an answer may still be on its way.
			for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
				rep := s.log.Report()
				if c.count(&rep) > 0 && rep.Broken() && strings.Contains(strings.Join(rep.Problems, "\n"), c.words) {
					return
				}
				if time.Now().After(end) {
					t.Fatalf("not seen: %s: %v", rep.Line(), rep.Problems)
				}
			}
		})
	}
}

// Repeating what is safe to repeat breaks nothing, and a pod drops the repeats
// of a key.
func TestWhatMayRepeat(t *testing.T) {
	t.Parallel()
	s := newScene(t)
	s.play(startRelay(t, "sends twice", s.srv[0].Addr(), s.srv[1].Addr()), "roster", 3)
	s.play(startRelay(t, "sends twice", s.srv[0].Addr()), "join", 3)
	s.play(startRelay(t, "refuses what ran", s.srv[0].Addr()), "roster", 1)
	if rep := s.log.Report(); rep.Broken() {
		t.Errorf("%s: %v", rep.Line(), rep.Problems)
	}
	if n := s.srv[0].Counts().Dropped; n < 3 {
		t.Errorf("the pod dropped %d repeats, want 3", n)
	}
}

// ask has discovery tell the relay its list.
func (s *scene) ask(t *testing.T) string {
	t.Helper()
	resp, err := http.Get("http://" + s.door.Addr() + "/discovery/hosts")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return string(text)
}

func TestLateSendsAreSeen(t *testing.T) {
	t.Parallel()
	for _, status := range []string{"leaving", "left"} {
		s := newScene(t)
		r := startRelay(t, "", s.srv[0].Addr())
		s.reg.SetNow(registry.Entry{Name: "s0", Addr: s.srv[0].Addr(), Status: status, Life: 1})
		s.play(r, "roster", 1)
		if rep := s.log.Report(); rep.LateSends != 0 {
			t.Errorf("%s: late before it was told: %v", status, rep.Problems)
		}
		s.ask(t)
		time.Sleep(200 * time.Millisecond) // past the grace and the slack
		s.play(r, "roster", 1)
		if rep := s.log.Report(); rep.LateSends != 1 {
			t.Errorf("%s: late sends %d, want 1: %s", status, rep.LateSends, rep.Line())
		}
		// A process that has taken its place has not been told yet.
		s.log.Restarted("n1", s.log.Now())
		s.play(r, "roster", 1)
		if rep := s.log.Report(); rep.LateSends != 1 {
			t.Errorf("%s: late sends %d after a restart, want 1", status, rep.LateSends)
		}
	}
}

func TestAColdServerPushedOverIsSeen(t *testing.T) {
	t.Parallel()
	s := newScene(t)
	if err := s.srv[0].Restart(""); err != nil {
		t.Fatal(err)
	}
	r := startRelay(t, "", s.srv[0].Addr())
	s.play(r, "roster", 10)
	if rep := s.log.Report(); rep.Tipped != 0 {
		t.Errorf("tipped by ten: %v", rep.Problems)
	}
	// It can do 0.4 s of work a second: 0.6 s within half a second is the bound.
	push := func(r *relay) audit.Report {
		var wg sync.WaitGroup
		for range 8 {
			wg.Add(1)
			go func() { defer wg.Done(); s.play(r, "roster", 60) }()
		}
		wg.Wait()
		return s.log.Report()
	}
	// Nobody was told of its start: whoever pushed it could not know.
	if rep := push(r); rep.Tipped != 0 || rep.TippedUntold == 0 || rep.ColdCalls > 1 {
		t.Errorf("tipped %d, by those that could not know %d, calls %.2f of what is allowed; want 0, some and 1 at most: %s", rep.Tipped, rep.TippedUntold, rep.ColdCalls, rep.Line())
	}
	if err := s.srv[0].Restart(""); err != nil {
		t.Fatal(err)
	}
	life, _ := s.srv[0].Life()
	s.log.Told("n1", s.log.Epoch("n1"), s.srv[0].Name(), life, false, s.log.Now())
	if rep := push(startRelay(t, "", s.srv[0].Addr())); rep.Tipped != 1 || rep.ColdCalls <= 1 {
		t.Errorf("tipped %d, want 1, calls %.2f of what is allowed, want more than 1: %s", rep.Tipped, rep.ColdCalls, rep.Line())
	}
}

// What a killed sidecar held is not lost; what another loses is.
func TestKilled(t *testing.T) {
	t.Parallel()
	l := audit.New(audit.Delft())
	l.Asked("a", "n1", audit.Once, l.Now(), time.Second)
	l.Asked("b", "n2", audit.Once, l.Now(), time.Second)
	for _, id := range []string{"a", "b"} {
		l.Arrived("s", 1, id, l.Now(), l.Now(), 0.01, 1, 1)
	}
	l.Dying("n1")
	l.Broke("a", false, l.Now())
	l.Killed("n1", l.Now())
	l.Broke("b", false, l.Now())
	rep := l.Report()
	if rep.Held != 1 || rep.Lost != 1 {
		t.Errorf("%s", rep.Line())
	}
}

// An answer after the deadline, and none at all, break rule 1.
func TestLateAndNone(t *testing.T) {
	t.Parallel()
	rules := audit.Delft()
	rules.Slack = 0
	l := audit.New(rules)
	l.Asked("a", "n1", audit.Repeat, 0, 0)
	l.Asked("b", "n1", audit.Repeat, 0, 0)
	l.Answered("a", audit.Failed, false, l.Now()+time.Millisecond)
	rep := l.Report()
	if rep.Late != 1 || rep.Lost != 1 || l.Open() != 1 {
		t.Errorf("%s, %d open", rep.Line(), l.Open())
	}
}
