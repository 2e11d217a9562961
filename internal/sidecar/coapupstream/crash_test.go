package coapupstream

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"otterspring/balance"
	"otterspring/internal/coap/message"
	"otterspring/internal/sidecar/dispatch"
)

// executions records which requests servers have begun to execute. It is safe for concurrent
// use.
type executions struct {
	mu    sync.Mutex
	begun map[string][]string // names of the servers, by request ID
}

func (e *executions) begin(id, server string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.begun[id] = append(e.begun[id], server)
}

// crashingServer is a CoAP server without support for Echo. It executes each request that it
// receives and responds when the work is done. A crash ends the work.
type crashingServer struct {
	t         *testing.T
	name      string
	address   *net.UDPAddr
	record    *executions
	work      func() time.Duration
	conn      *net.UDPConn
	receiving chan struct{} // closed when the present process has ended
}

// start starts a new process, at the address of the earlier one if there was one.
func (s *crashingServer) start() error {
	conn, err := net.ListenUDP("udp4", s.address)
	if err != nil {
		return err
	}
	s.conn, s.address, s.receiving = conn, conn.LocalAddr().(*net.UDPAddr), make(chan struct{})
	go s.receive(conn, s.receiving)
	return nil
}

func (s *crashingServer) receive(conn *net.UDPConn, ended chan struct{}) {
	defer close(ended)
	buffer := make([]byte, message.MaxDatagramSize+1)
	for {
		n, peer, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		var m message.Message
		if message.Decode(buffer[:n], &m) != nil || !m.Code.IsRequest() {
			continue
		}
		s.record.begin(requestID(&m), s.name)
		response := responseTo(&m, message.Changed)
		time.AfterFunc(s.work(), func() {
			if _, err := conn.WriteToUDPAddrPort(response, peer); err != nil && !errors.Is(err, net.ErrClosed) {
				s.t.Error(err)
			}
		})
	}
}

func (s *crashingServer) crash() {
	if err := s.conn.Close(); err != nil {
		s.t.Error(err)
	}
	<-s.receiving
}

// crashingServersIP is used by no other test, so that none can take the port of a crashed
// server.
var crashingServersIP = net.IPv4(127, 0, 7, 1)

// Guards against a non-idempotent request that runs twice over CoAP, in drawn orders under
// load: servers crash while they execute requests, refuse datagrams for a while and come back
// at the same address before discovery reports it, so that the same sockets reach them.
func TestCrashesUnderLoad(t *testing.T) {
	const (
		seed     = 6
		servers  = 4
		requests = 600
		interval = 2 * time.Millisecond // between requests
		crashes  = 8
		uptime   = 120 * time.Millisecond // between crashes
		downtime = 30 * time.Millisecond
		deadline = 2 * time.Second
	)
	t.Logf("seed %d", seed)
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 0))
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return rng.IntN(n)
	}
	record := &executions{begun: map[string][]string{}}
	upstreams := newSharedUpstreams()
	var all []*crashingServer
	var addresses []string
	for i := range servers {
		s := &crashingServer{t: t, name: fmt.Sprint("server ", i), record: record, address: &net.UDPAddr{IP: crashingServersIP},
			work: func() time.Duration { return time.Duration(10+draw(20)) * time.Millisecond }}
		if err := s.start(); err != nil {
			t.Fatal(err)
		}
		all = append(all, s)
		addresses = append(addresses, s.address.String())
	}
	client := newSender(t, upstreams, deadline, addresses...)

	var crashing sync.WaitGroup
	crashing.Go(func() {
		for i := range crashes {
			time.Sleep(uptime)
			s := all[i%servers]
			s.crash()
			time.Sleep(downtime)
			if err := s.start(); err != nil {
				t.Error(err)
				return
			}
		}
	})
	var submitted []*dispatch.Request
	for i := range requests {
		submitted = append(submitted, client.submit(fmt.Sprint("request ", i)))
		time.Sleep(interval)
	}
	results := map[balance.ActionKind]int{}
	for _, request := range submitted {
		results[client.wait(request)]++
	}
	crashing.Wait()
	for _, s := range all {
		s.crash()
	}

	record.mu.Lock()
	defer record.mu.Unlock()
	for _, request := range submitted {
		begun := record.begun[request.ID]
		if len(begun) > 1 {
			t.Errorf("%s began %d times, at %v; it ended as %v", request.ID, len(begun), begun, request.Result.Kind)
		}
		if request.Result.Kind == balance.Reject && len(begun) > 0 {
			t.Errorf("%s was rejected as not executed but began at %v", request.ID, begun)
		}
	}
	counts := upstreams.pool.Counts()
	t.Logf("results %v, %+v", results, counts)
	if counts.Refusals == 0 || results[balance.Send] < requests/2 {
		t.Errorf("%d refusals, %d of %d requests served, want some and half at least", counts.Refusals, results[balance.Send], requests)
	}
}
