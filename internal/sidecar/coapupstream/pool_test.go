package coapupstream

import (
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"otterspring/balance"
	"otterspring/internal/coap/client"
	"otterspring/internal/coap/exchange"
	"otterspring/internal/coap/message"
	"otterspring/internal/sidecar/dispatch"
)

const patience = 60 * time.Second

// server starts a server that answers each well-formed request with the datagrams that
// answerWith returns. It counts the requests received.
func server(t *testing.T, answerWith func(m *message.Message) [][]byte) (addr string, received *atomic.Int64) {
	t.Helper()
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	received = &atomic.Int64{}
	done := make(chan struct{})
	t.Cleanup(func() {
		if err := c.Close(); err != nil {
			t.Error(err)
		}
		<-done
	})
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
			received.Add(1)
			for _, text := range answerWith(&m) {
				if _, err := c.WriteToUDPAddrPort(text, peer); err != nil && !errors.Is(err, net.ErrClosed) {
					t.Error(err)
				}
			}
		}
	}()
	return c.LocalAddr().String(), received
}

func answer(m *message.Message, code message.Code) []byte {
	r := message.Message{Type: message.Acknowledgement, ID: m.ID, Token: m.Token, Code: code, Payload: []byte("done")}
	text, _ := r.Append(nil)
	return text
}

type native struct{}

func (native) Neutral() dispatch.Message { return dispatch.Message{Target: "/act", ID: "id"} }

// requestConn is the connection of a request's client, which the dispatcher wakes.
type requestConn struct{}

func (requestConn) SetDeadline(time.Time) error     { return nil }
func (requestConn) SetReadDeadline(time.Time) error { return nil }

// submit submits one non-idempotent request to the servers given, and returns the kind of
// its result.
func submit(t *testing.T, pool *Pool, deadline time.Duration, addrs ...string) balance.ActionKind {
	t.Helper()
	dispatcher, err := dispatch.New(dispatch.Settings{
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
	dispatcher.UpdateEndpoints(balance.ListFull, l, 0)
	c := &dispatch.Request{ID: "id", Native: native{}, Conn: requestConn{}, Done: make(chan struct{})}
	if !dispatcher.Submit(c, balance.Request{ID: "id", Class: "act", Deadline: deadline}) {
		t.Fatal("the request was not accepted")
	}
	select {
	case <-c.Done:
	case <-time.After(patience):
		t.Fatal("no answer")
	}
	// An endpoint list without the servers retires them: their sockets are closed.
	dispatcher.UpdateEndpoints(balance.ListFull, dispatch.EndpointList{Version: 2, Snapshot: true}, 0)
	for end := time.Now().Add(patience); pool.Sockets() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d sockets are left", pool.Sockets())
		}
	}
	return c.Result.Kind
}

func newPool(maxSockets int) *Pool {
	p := exchange.DefaultParams()
	p.AckTimeout, p.AckDelay = 100*time.Millisecond, 25*time.Millisecond
	return New(client.Settings{Params: p, Limits: exchange.ClientLimits{MaxInFlight: 64, MaxDedupEntries: 64}, MaxBodySize: 64 << 10, BlockSize: 1024, EchoLifetime: time.Second, Seed: 1}, maxSockets)
}

// A non-idempotent request to misbehaving servers is rejected, or sent to another server,
// only where it was provably not executed.
func TestServersThatMisbehave(t *testing.T) {
	t.Parallel()
	reset := func(m *message.Message) [][]byte {
		text, _ := (&message.Message{Type: message.Reset, ID: m.ID}).Append(nil)
		return [][]byte{text}
	}
	noise := func(m *message.Message) [][]byte {
		return [][]byte{{}, {0xff}, {0x60, 0x45}, make([]byte, 1500), answer(&message.Message{ID: m.ID, Token: []byte("other")}, message.Changed)}
	}
	closed, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	unused := closed.LocalAddr().String()
	if err := closed.Close(); err != nil {
		t.Fatal(err)
	}
	good := func(m *message.Message) [][]byte { return [][]byte{answer(m, message.Changed)} }
	for name, c := range map[string]struct {
		answerWith func(m *message.Message) [][]byte // of both servers
		want       balance.ActionKind
		received   int64 // at most
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
			one, h1 := server(t, c.answerWith)
			two, h2 := server(t, c.answerWith)
			if got := submit(t, newPool(8), 2*time.Second, one, two); got != c.want {
				t.Errorf("ended as %v, want %v", got, c.want)
			}
			if n := h1.Load() + h2.Load(); n > c.received {
				t.Errorf("%d datagrams came, want %d at most", n, c.received)
			}
		})
	}
	t.Run("nobody there", func(t *testing.T) {
		t.Parallel()
		if got := submit(t, newPool(8), 2*time.Second, unused); got != balance.Reject {
			t.Errorf("ended as %v, want a refusal", got)
		}
	})
	t.Run("no socket left", func(t *testing.T) {
		t.Parallel()
		one, received := server(t, good)
		if got := submit(t, newPool(0), 2*time.Second, one); got != balance.Reject || received.Load() != 0 {
			t.Errorf("ended as %v with %d datagrams", got, received.Load())
		}
	})
}
