package httpserver

import (
	"net"
	"testing"
	"time"

	"otterspring/internal/sidecar/dispatch"
)

const patience = 12 * time.Second

// pair returns a client's connection as the server has it, and the client's end.
func pair(t *testing.T) (*clientConn, net.Conn) {
	t.Helper()
	server := testServer(t)
	client, err := net.Dial("tcp", server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	accepted, err := server.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	return accepted.(*clientConn), client
}

// A drain, or a sweep, finds a connection within a request and interrupts its reads just
// when the request is complete: its client is watched all the same, and the result still
// wakes it.
func TestDeadlineOfAnEarlierPhaseDoesNotEndTheWatch(t *testing.T) {
	t.Parallel()
	t.Run("the client disconnects", func(t *testing.T) {
		t.Parallel()
		connection, client := pair(t)
		if err := connection.SetReadDeadline(dispatch.PastDeadline); err != nil {
			t.Fatal(err)
		}
		disconnected := make(chan bool, 1)
		go func() { disconnected <- connection.awaitResult(make(chan struct{})) }()
		client.Close()
		select {
		case found := <-disconnected:
			if !found {
				t.Error("found the client connected, wanted it disconnected")
			}
		case <-time.After(patience):
			t.Fatal("the disconnect was not noticed")
		}
	})
	t.Run("the result arrives", func(t *testing.T) {
		t.Parallel()
		connection, _ := pair(t)
		if err := connection.SetReadDeadline(dispatch.PastDeadline); err != nil {
			t.Fatal(err)
		}
		disconnected, done := make(chan bool, 1), make(chan struct{})
		go func() { disconnected <- connection.awaitResult(done) }()
		close(done)
		if err := connection.SetReadDeadline(dispatch.PastDeadline); err != nil {
			t.Fatal(err)
		}
		select {
		case found := <-disconnected:
			if found {
				t.Error("found the client disconnected, wanted it connected")
			}
		case <-time.After(patience):
			t.Fatal("the result was not noticed")
		}
	})
}
