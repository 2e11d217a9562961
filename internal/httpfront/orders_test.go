package httpfront

import (
	"net"
	"testing"
	"time"

	"otterspring/balance"
	"otterspring/internal/sidecar/dispatch"
)

const patience = 12 * time.Second

// pair is a client's connection as the front has it, and the client's end.
func pair(t *testing.T) (*clientConn, net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	eng, err := dispatch.New(dispatch.Settings{Balance: balance.Settings{MaxAttempts: 1, ColdShare: 1, Classes: []balance.Class{{Name: "read", Deadline: time.Second}}}}, func() {})
	if err != nil {
		t.Fatal(err)
	}
	f := New(ln.(*net.TCPListener), eng, Settings{Serve: 4, Refuse: 1, Spare: 4, Bodies: 1 << 20})
	t.Cleanup(func() { f.Close() })
	client, err := net.Dial("tcp", f.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	c, err := f.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c.(*clientConn), client
}

// A drain, or a sweep, sees a connection within a request and ends its reads in the very
// moment in which the request is whole: its client is watched all the same, and
// the answer still wakes it.
func TestDeadlineOfAnEarlierPhaseDoesNotEndTheWatch(t *testing.T) {
	t.Parallel()
	t.Run("the client leaves", func(t *testing.T) {
		t.Parallel()
		c, client := pair(t)
		c.SetReadDeadline(dispatch.PastDeadline)
		left := make(chan bool, 1)
		go func() { left <- c.await(make(chan struct{})) }()
		client.Close()
		select {
		case gone := <-left:
			if !gone {
				t.Error("the client counts as there")
			}
		case <-time.After(patience):
			t.Fatal("the leave was not noticed")
		}
	})
	t.Run("the answer comes", func(t *testing.T) {
		t.Parallel()
		c, _ := pair(t)
		c.SetReadDeadline(dispatch.PastDeadline)
		left, done := make(chan bool, 1), make(chan struct{})
		go func() { left <- c.await(done) }()
		close(done)
		c.SetReadDeadline(dispatch.PastDeadline)
		select {
		case gone := <-left:
			if gone {
				t.Error("the client counts as gone")
			}
		case <-time.After(patience):
			t.Fatal("the answer was not noticed")
		}
	})
}
