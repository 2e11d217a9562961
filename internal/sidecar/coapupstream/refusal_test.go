package coapupstream

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"otterspring/balance"
	"otterspring/internal/coap/client"
	"otterspring/internal/coap/message"
	"otterspring/internal/coap/server"
	"otterspring/internal/sidecar/dispatch"
)

// silentServer is a CoAP server that accepts requests and never responds.
type silentServer struct {
	conn *net.UDPConn
	ids  chan string // IDs of the requests received; closed with the socket
}

func startSilentServer(t *testing.T, network string, ip net.IP) *silentServer {
	t.Helper()
	conn, err := net.ListenUDP(network, &net.UDPAddr{IP: ip})
	if network == "udp6" && errors.Is(err, unix.EADDRNOTAVAIL) {
		t.Skip("this machine has no IPv6")
	}
	if err != nil {
		t.Fatal(err)
	}
	s := &silentServer{conn: conn, ids: make(chan string, 100)}
	t.Cleanup(func() {
		if err := conn.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
	})
	go func() {
		defer close(s.ids)
		buffer := make([]byte, message.MaxDatagramSize+1)
		for {
			n, err := conn.Read(buffer)
			if err != nil {
				return
			}
			var m message.Message
			if message.Decode(buffer[:n], &m) == nil {
				s.ids <- requestID(&m)
			}
		}
	}()
	return s
}

func requestID(m *message.Message) string {
	id, _ := m.Get(server.OptRequestID)
	return string(id)
}

func (s *silentServer) addr() string { return s.conn.LocalAddr().String() }

// waitFor waits until the server has received the request with the given ID.
func (s *silentServer) waitFor(t *testing.T, id string) {
	t.Helper()
	select {
	case got := <-s.ids:
		if got != id {
			t.Fatalf("the server received request %q, want %q", got, id)
		}
	case <-time.After(testTimeout):
		t.Fatalf("the server did not receive request %q within %v", id, testTimeout)
	}
}

// crash closes the server's socket, as the end of its process does. The requests that the
// server has received remain without a response.
func (s *silentServer) crash(t *testing.T) {
	t.Helper()
	if err := s.conn.Close(); err != nil {
		t.Fatal(err)
	}
	for range s.ids {
	}
}

// respondingServer starts a server that executes requests, and returns its address and the
// function that returns how often it has executed the request with an ID.
func respondingServer(t *testing.T) (addr string, executions func(id string) int) {
	t.Helper()
	var mu sync.Mutex
	count := map[string]int{}
	addr, _ = startServer(t, func(m *message.Message) [][]byte {
		mu.Lock()
		defer mu.Unlock()
		count[requestID(m)]++
		return [][]byte{responseTo(m, message.Changed)}
	})
	return addr, func(id string) int {
		mu.Lock()
		defer mu.Unlock()
		return count[id]
	}
}

// namedRequest is a non-idempotent request with an ID.
type namedRequest string

func (r namedRequest) Neutral() dispatch.Message {
	return dispatch.Message{Target: "/act", ID: string(r)}
}

// sharedUpstreams opens at most one upstream for each address, so that the requests of
// several dispatchers use the same sockets.
type sharedUpstreams struct {
	pool *Pool
	mu   sync.Mutex
	open map[string]dispatch.Upstream
}

func newSharedUpstreams() *sharedUpstreams {
	return &sharedUpstreams{pool: newPool(8), open: map[string]dispatch.Upstream{}}
}

func (u *sharedUpstreams) Open(address string, started int64) dispatch.Upstream {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.open[address] == nil {
		u.open[address] = u.pool.Open(address, started)
	}
	return u.open[address]
}

// socket returns the only socket to the upstream at an address.
func (u *sharedUpstreams) socket(t *testing.T, address string) *socket {
	t.Helper()
	u.mu.Lock()
	defer u.mu.Unlock()
	opened := u.open[address].(*upstream)
	opened.mu.Lock()
	defer opened.mu.Unlock()
	if len(opened.sockets) != 1 {
		t.Fatalf("the upstream has %d sockets, want 1", len(opened.sockets))
	}
	return opened.sockets[0]
}

// sender submits non-idempotent requests to a list of servers, which can grow.
type sender struct {
	t          *testing.T
	dispatcher *dispatch.Dispatcher
	list       dispatch.EndpointList
	deadline   time.Duration
}

func newSender(t *testing.T, upstreams *sharedUpstreams, deadline time.Duration, addresses ...string) *sender {
	t.Helper()
	dispatcher, err := dispatch.New(dispatch.Settings{
		Balance: balance.Settings{MaxAttempts: 2, CanCancel: true, InitialCapacity: 0.12, WarmUpTime: 23 * time.Second, WarmUpOverloadMultiple: 3, CallInterval: 2 * time.Millisecond,
			Classes: []balance.Class{{Name: "act", LatencyObjective: deadline, Deadline: deadline, PriorityWeight: 1, Idempotency: balance.NonIdempotent}}},
		Seed: 1, DialTimeout: time.Second, OpenUpstream: upstreams.Open,
	}, func() {})
	if err != nil {
		t.Fatal(err)
	}
	s := &sender{t: t, dispatcher: dispatcher, deadline: deadline}
	s.add(addresses...)
	return s
}

func (s *sender) add(addresses ...string) {
	for _, a := range addresses {
		s.list.Endpoints = append(s.list.Endpoints, dispatch.Endpoint{Server: balance.Server{ID: a, State: balance.Ready}, Address: a})
	}
	s.list.Version++
	s.list.Snapshot = true
	s.dispatcher.UpdateEndpoints(balance.ListFull, s.list, 0)
}

func (s *sender) submit(id string) *dispatch.Request {
	s.t.Helper()
	request := &dispatch.Request{ID: id, Native: namedRequest(id), Conn: requestConn{}, Done: make(chan struct{})}
	if !s.dispatcher.Submit(request, balance.Request{ID: id, Class: "act", Deadline: s.deadline}) {
		s.t.Fatalf("request %q was not accepted", id)
	}
	return request
}

// wait waits for the final answer of a request.
func (s *sender) wait(request *dispatch.Request) balance.ActionKind {
	s.t.Helper()
	select {
	case <-request.Done:
	case <-time.After(testTimeout):
		s.t.Fatalf("request %q got no final answer within %v", request.ID, testTimeout)
	}
	return request.Result.Kind
}

const (
	// longDeadline is longer than testTimeout: a request that ends within a test has not timed out.
	longDeadline = 2 * testTimeout
	// shortDeadline is the deadline of requests without a second server. A request that was not
	// executed is rejected by then, after a retry at the only server.
	shortDeadline = 300 * time.Millisecond
)

// Guards against a non-idempotent request that runs twice over CoAP: the server that has
// received it crashes, and the refusal of a later datagram is taken as proof that the request
// was not executed.
func TestRefusalProvesNothingAboutEarlierRequests(t *testing.T) {
	for network, ip := range map[string]net.IP{"udp4": net.IPv4(127, 0, 0, 1), "udp6": net.IPv6loopback} {
		t.Run(network, func(t *testing.T) {
			t.Parallel()
			crashing := startSilentServer(t, network, ip)
			healthy, executions := respondingServer(t)
			upstreams := newSharedUpstreams()
			earlier := newSender(t, upstreams, longDeadline, crashing.addr())
			request := earlier.submit("executing")
			crashing.waitFor(t, "executing")
			earlier.add(healthy)
			crashing.crash(t)

			// The refused request has no other server, so that its rejection shows the proof.
			later := newSender(t, upstreams, shortDeadline, crashing.addr())
			if got := later.wait(later.submit("refused")); got != balance.Reject {
				t.Errorf("the refused request ended as %v, want %v: it provably never ran", got, balance.Reject)
			}
			if got := earlier.wait(request); got != balance.Fail {
				t.Errorf("the executing request ended as %v, want %v: it may have run", got, balance.Fail)
			}
			if n := executions("executing"); n != 0 {
				t.Errorf("the executing request ran %d times at another server, want 0", n)
			}
			counts := upstreams.pool.Counts()
			if o := counts.Outcomes; o[client.Unreachable] == 0 || o[client.ServerLost] != 1 || counts.Refusals == 0 || counts.UnknownRefusals != 0 {
				t.Errorf("found %+v, want one lost server and refusals that are all known", counts)
			}
		})
	}
}

// Guards against a refusal that ends requests of which nothing was refused late or never: each
// of several refused requests goes to another server at once, and is executed there once.
func TestRefusedRequestsGoToAnotherServerAtOnce(t *testing.T) {
	t.Parallel()
	crashed := startSilentServer(t, "udp4", net.IPv4(127, 0, 0, 1))
	crashed.crash(t)
	healthy, executions := respondingServer(t)
	upstreams := newSharedUpstreams()
	for i := range 20 {
		id := fmt.Sprint("refused ", i)
		s := newSender(t, upstreams, longDeadline, crashed.addr(), healthy)
		if got := s.wait(s.submit(id)); got != balance.Send {
			t.Errorf("request %q ended as %v, want %v", id, got, balance.Send)
		}
		if n := executions(id); n != 1 {
			t.Errorf("request %q was executed %d times, want once", id, n)
		}
	}
}

// Guards against a datagram that the kernel does not send being taken for one that the server
// may have received, and against taking its error for one about earlier requests.
func TestSendFailureProvesNothingAboutEarlierRequests(t *testing.T) {
	t.Parallel()
	silent := startSilentServer(t, "udp4", net.IPv4(127, 0, 0, 1))
	healthy, executions := respondingServer(t)
	upstreams := newSharedUpstreams()
	earlier := newSender(t, upstreams, longDeadline, silent.addr())
	request := earlier.submit("executing")
	silent.waitFor(t, "executing")
	earlier.add(healthy)
	failWrites(t, upstreams.socket(t, silent.addr()))

	later := newSender(t, upstreams, shortDeadline, silent.addr())
	if got := later.wait(later.submit("unsent")); got != balance.Reject {
		t.Errorf("the unsent request ended as %v, want %v: it provably never ran", got, balance.Reject)
	}
	if counts := upstreams.pool.Counts(); counts.SendFailures == 0 || counts.Outcomes[client.ServerLost] != 0 {
		t.Errorf("found %+v, want send failures and no lost server", counts)
	}
	select {
	case <-request.Done:
		t.Errorf("the executing request ended as %v when another request was not sent", request.Result.Kind)
	default:
	}
	if got := earlier.wait(request); got != balance.Fail || executions("executing") != 0 {
		t.Errorf("the executing request ended as %v after %d executions at another server, want %v after 0", got, executions("executing"), balance.Fail)
	}
}

// failWrites makes the kernel reject all datagrams sent on a socket.
func failWrites(t *testing.T, s *socket) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	raw, err := s.conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var shutdownErr error
	if err := raw.Control(func(fd uintptr) { shutdownErr = unix.Shutdown(int(fd), unix.SHUT_WR) }); err != nil || shutdownErr != nil {
		t.Fatal(err, shutdownErr)
	}
}
