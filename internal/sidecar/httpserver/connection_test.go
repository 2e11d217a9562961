package httpserver

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"otterspring/internal/sidecar/dispatch"
)

const testTimeout = 12 * time.Second

// connectedPair returns the two ends of a new connection: the server's and the client's.
func connectedPair(t *testing.T) (*clientConn, net.Conn) {
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

// Guards against a race between the end of a request and a drain or a sweep. The drain or
// the sweep finds the connection in phaseReading, but sets a read deadline in the past only
// after the request has become complete. awaitResult must ignore this deadline: it must
// still detect a disconnect of the client and still return when the result arrives.
func TestStaleReadDeadlineDoesNotEndAwaitResult(t *testing.T) {
	t.Parallel()
	t.Run("the client disconnects", func(t *testing.T) {
		t.Parallel()
		connection, client := connectedPair(t)
		if err := connection.SetReadDeadline(dispatch.PastDeadline); err != nil {
			t.Fatal(err)
		}
		disconnected := make(chan bool, 1)
		go func() { disconnected <- connection.awaitResult(make(chan struct{})) }()
		client.Close()
		select {
		case found := <-disconnected:
			if !found {
				t.Error("awaitResult returned without a disconnect, want disconnect")
			}
		case <-time.After(testTimeout):
			t.Fatalf("awaitResult did not return within %v of the client's disconnect", testTimeout)
		}
	})
	t.Run("the result arrives", func(t *testing.T) {
		t.Parallel()
		connection, _ := connectedPair(t)
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
				t.Error("awaitResult reported a disconnect, want the result")
			}
		case <-time.After(testTimeout):
			t.Fatalf("awaitResult did not return within %v of the result", testTimeout)
		}
	})
}

// Guards against clients that stop in the middle of a request and so occupy all MaxServed
// connections. Complete requests from other clients would then wait in the accept queue until
// long after their deadlines. While fewer than MaxServed connections are open, an incomplete
// request has the full requestTimeout.
func TestIncompleteRequestsTimeOutSoonerAtCapacity(t *testing.T) {
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
		connection.readingSince.Store(server.now() - requestTimeoutAtCapacity.Milliseconds() - 1)
		connections = append(connections, connection)

		server.sweep(server.now())
		if full := len(connections) == server.settings.MaxServed; full != isReadInterrupted(t, connection) {
			t.Errorf("%d of %d connections open: read interrupted %t, want %t", len(connections), server.settings.MaxServed, !full, full)
		}
	}
	// The shorter timeout also applies to requests that began before the limit was reached.
	if !isReadInterrupted(t, connections[0]) {
		t.Error("read of the first connection was not interrupted at the connection limit")
	}
}

// isReadInterrupted reports whether the read deadline of a connection is in the past.
func isReadInterrupted(t *testing.T, c *clientConn) bool {
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
		c.interruptRead() // unblocks the read
		if err := <-result; err == nil {
			t.Error("read a byte that the client did not send")
		}
		c.clearReadDeadline()
		return false
	}
}

// Guards against a server that stops accepting: a burst of connections that send nothing takes
// all places at once, so that each is too new to be evicted when the next one comes.
func TestBurstOfSilentConnectionsIsEvicted(t *testing.T) {
	t.Parallel()
	server := testServer(t)
	go func() { _ = server.Serve() }()
	for range 4 * (server.settings.MaxServed + server.settings.MaxRejected) {
		client, err := net.Dial("tcp", server.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
	}
	client, err := net.Dial("tcp", server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	if err := client.SetDeadline(time.Now().Add(firstRequestTimeout / 2)); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Write([]byte("GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Read(make([]byte, 1)); err != nil {
		t.Errorf("no answer before silent connections time out: %v", err)
	}
}

func TestInterruptedSystemCallsAreRepeated(t *testing.T) {
	calls := 0
	n, err := retryInterrupted(func() (int, error) {
		calls++
		if calls < 3 {
			return -1, syscall.EINTR
		}
		return 1, nil
	})
	if n != 1 || err != nil || calls != 3 {
		t.Errorf("got %d, %v after %d calls, want 1 after 3", n, err, calls)
	}
	if _, err := retryInterrupted(func() (int, error) { return -1, syscall.EAGAIN }); !errors.Is(err, syscall.EAGAIN) {
		t.Errorf("got %v, want EAGAIN", err)
	}
}

// Guards against a connection that can't be evicted any more: an eviction comes in the moment in
// which a request becomes complete, and the connection's next request stays incomplete.
func TestEvictionOfACompleteRequestDoesNotLast(t *testing.T) {
	t.Parallel()
	connection, _ := connectedPair(t)
	server := connection.server
	oldEnough := server.now() - minIncompleteAge.Milliseconds()
	connection.setPhase(phaseReading)
	connection.readingSince.Store(oldEnough)
	server.mu.Lock()
	first := server.evictIncomplete()
	server.mu.Unlock()
	connection.markRequestComplete()
	connection.evicted.Store(true) // the eviction saw the phase before, and comes to store this now
	connection.beginRequest()
	connection.readingSince.Store(oldEnough)
	server.mu.Lock()
	second := server.evictIncomplete()
	server.mu.Unlock()
	if !first || !second {
		t.Errorf("evicted %t and %t, want both requests evicted", first, second)
	}
}
