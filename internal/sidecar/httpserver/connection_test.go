package httpserver

import (
	"errors"
	"net"
	"os"
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

// Guards against clients that stop within a request and take all places: complete requests
// of others wait in the kernel until long after their deadline. With a place free such a
// client has its whole time.
func TestIncompleteRequestsMakeRoom(t *testing.T) {
	t.Parallel()
	server := testServer(t)
	var connections []*clientConn
	for len(connections) < server.settings.MaxServed {
		client, err := net.Dial("tcp", server.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		accepted, err := server.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer accepted.Close()
		connection := accepted.(*clientConn)
		connection.setPhase(phaseReading)
		connection.readingSince.Store(server.now() - crowdedRequestTimeout.Milliseconds() - 1)
		connections = append(connections, connection)

		server.sweep(server.now())
		if full := len(connections) == server.settings.MaxServed; full != interrupted(t, connection) {
			t.Errorf("%d of %d places taken: found interrupted %t, wanted %t", len(connections), server.settings.MaxServed, !full, full)
		}
	}
	// Those that had begun long ago have no more time than the others.
	if !interrupted(t, connections[0]) {
		t.Error("with all places taken the first connection may go on")
	}
}

// interrupted reports whether a connection's reads were interrupted.
func interrupted(t *testing.T, c *clientConn) bool {
	t.Helper()
	result := make(chan error, 1)
	go func() {
		_, err := c.Conn.Read(make([]byte, 1))
		result <- err
	}()
	select {
	case err := <-result:
		return errors.Is(err, os.ErrDeadlineExceeded)
	case <-time.After(100 * time.Millisecond):
		c.interruptRead() // it waits: ended here
		if err := <-result; err == nil {
			t.Error("found a byte, wanted none")
		}
		c.clearReadDeadline()
		return false
	}
}
