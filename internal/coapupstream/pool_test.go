package coapupstream

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"otterspring/balance"
	"otterspring/internal/coap/caller"
	"otterspring/internal/coap/exchange"
	"otterspring/internal/coap/message"
	"otterspring/internal/sidecar/dispatch"
)

const patience = 60 * time.Second

// server answers each datagram that can be read by what does says; nil for
// silence.
func server(t *testing.T, does func(m *message.Message) [][]byte) (addr string, heard *atomic.Int64) {
	t.Helper()
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	heard = &atomic.Int64{}
	done := make(chan struct{})
	t.Cleanup(func() { c.Close(); <-done })
	go func() {
		defer close(done)
		buf := make([]byte, 3000)
		for {
			n, peer, err := c.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			var m message.Message
			if message.Decode(buf[:n], &m) != nil || !m.Code.IsRequest() {
				continue
			}
			heard.Add(1)
			for _, text := range does(&m) {
				c.WriteToUDPAddrPort(text, peer)
			}
		}
	}()
	return c.LocalAddr().String(), heard
}

func answer(m *message.Message, code message.Code) []byte {
	r := message.Message{Type: message.Acknowledgement, ID: m.ID, Token: m.Token, Code: code, Payload: []byte("done")}
	text, _ := r.Append(nil)
	return text
}

type form struct{}

func (form) Neutral() dispatch.Message { return dispatch.Message{Target: "/act", ID: "id"} }

// client is a front's end: the dispatcher wakes it.
type client struct{}

func (client) SetDeadline(time.Time) error     { return nil }
func (client) SetReadDeadline(time.Time) error { return nil }

// ask asks once for what must not run twice, of the servers given.
func ask(t *testing.T, pool *Pool, deadline time.Duration, addrs ...string) balance.ActionKind {
	t.Helper()
	eng, err := dispatch.New(dispatch.Settings{
		Balance: balance.Settings{MaxAttempts: 2, CanCancel: true, InitialCapacity: 0.12, WarmUpTime: 23 * time.Second, WarmUpOverloadMultiple: 3, CallInterval: 2 * time.Millisecond,
			Classes: []balance.Class{{Name: "act", LatencyObjective: deadline, Deadline: deadline, PriorityWeight: 1, Idempotency: balance.NonIdempotent}}},
		Seed: 1, DialTimeout: time.Second, OpenUpstream: pool.Open,
	}, func() {})
	if err != nil {
		t.Fatal(err)
	}
	l := dispatch.EndpointList{Version: 1, Snapshot: true}
	for _, a := range addrs {
		l.Endpoints = append(l.Endpoints, dispatch.Endpoint{Server: balance.Server{ID: a, State: balance.Ready}, Address: a})
	}
	eng.UpdateEndpoints(balance.ListFull, l, 0)
	c := &dispatch.Request{ID: "id", Native: form{}, Conn: client{}, Done: make(chan struct{})}
	if !eng.Submit(c, balance.Request{ID: "id", Class: "act", Deadline: deadline}) {
		t.Fatal("not taken")
	}
	select {
	case <-c.Done:
	case <-time.After(patience):
		t.Fatal("no answer")
	}
	// The list without them retires the servers: their sockets are closed.
	eng.UpdateEndpoints(balance.ListFull, dispatch.EndpointList{Version: 2, Snapshot: true}, 0)
	for end := time.Now().Add(patience); pool.Sockets() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d sockets are left", pool.Sockets())
		}
	}
	return c.Result.Kind
}

func newPool(most int) *Pool {
	p := exchange.DefaultParams()
	p.AckTimeout, p.AckDelay = 100*time.Millisecond, 25*time.Millisecond
	return New(caller.Settings{Params: p, Limits: exchange.ClientLimits{MaxInFlight: 64, MaxDedupEntries: 64}, Body: 64 << 10, Block: 1024, EchoFor: time.Second, Seed: 1}, most)
}

// How each kind of server ends what must not run twice: it is refused as harmless
// only where it surely has not run, and sent to another server only then.
func TestServersThatMisbehave(t *testing.T) {
	t.Parallel()
	reset := func(m *message.Message) [][]byte {
		text, _ := (&message.Message{Type: message.Reset, ID: m.ID}).Append(nil)
		return [][]byte{text}
	}
	noise := func(m *message.Message) [][]byte {
		return [][]byte{{}, {0xff}, {0x60, 0x45}, make([]byte, 1500), answer(&message.Message{ID: m.ID, Token: []byte("other")}, message.Changed)}
	}
	gone, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	nobody := gone.LocalAddr().String()
	gone.Close()
	good := func(m *message.Message) [][]byte { return [][]byte{answer(m, message.Changed)} }
	for name, c := range map[string]struct {
		does  func(m *message.Message) [][]byte // of both servers
		want  balance.ActionKind
		heard int64 // at most
	}{
		"good":            {good, balance.Send, 1},
		"rejects all":     {reset, balance.Reject, 4},
		"silent":          {func(*message.Message) [][]byte { return nil }, balance.Fail, 1},
		"noise":           {noise, balance.Fail, 1},
		"noise, then one": {func(m *message.Message) [][]byte { return append(noise(m), answer(m, message.Changed)) }, balance.Send, 1},
		"an error":        {func(m *message.Message) [][]byte { return [][]byte{answer(m, message.InternalServerError)} }, balance.Fail, 1},
		"a code of no class": {func(m *message.Message) [][]byte {
			text := answer(m, message.Changed)
			text[1] = 0xe0
			return [][]byte{text}
		}, balance.Fail, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			one, h1 := server(t, c.does)
			two, h2 := server(t, c.does)
			if got := ask(t, newPool(8), 2*time.Second, one, two); got != c.want {
				t.Errorf("ended as %v, want %v", got, c.want)
			}
			if n := h1.Load() + h2.Load(); n > c.heard {
				t.Errorf("%d datagrams came, want %d at most", n, c.heard)
			}
		})
	}
	t.Run("nobody there", func(t *testing.T) {
		t.Parallel()
		if got := ask(t, newPool(8), 2*time.Second, nobody); got != balance.Reject {
			t.Errorf("ended as %v, want a refusal", got)
		}
	})
	t.Run("no socket left", func(t *testing.T) {
		t.Parallel()
		one, heard := server(t, good)
		if got := ask(t, newPool(0), 2*time.Second, one); got != balance.Reject || heard.Load() != 0 {
			t.Errorf("ended as %v with %d datagrams", got, heard.Load())
		}
	})
}
