package callserver

import (
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"otterspring/internal/coap/block"
	"otterspring/internal/coap/exchange"
	"otterspring/internal/coap/message"
	"otterspring/internal/coap/server"
	"otterspring/internal/lab/invariant"
	"otterspring/internal/lab/standin/stamp"
)

// coapScheme is the prefix of the address of a server that speaks CoAP.
const coapScheme = "coap://"

// echoLifetime is the maximum age of an Echo value.
const echoLifetime = time.Minute

// coapListener is the CoAP socket of one incarnation of a call server with the state of its
// exchanges, which is lost at a restart.
type coapListener struct {
	srv    *Server
	conn   *net.UDPConn
	reader *stamp.DatagramReader
	start  time.Time
	closed chan struct{}

	mu     sync.Mutex
	server *server.Server
	timer  *time.Timer
}

// listenCoAP opens a socket at addr for a new incarnation. addr may have the prefix
// coapScheme.
func (s *Server) listenCoAP(addr string) error {
	at, err := netip.ParseAddrPort(strings.TrimPrefix(addr, coapScheme))
	if err != nil {
		return fmt.Errorf("call server %s: %w", s.cfg.Name, err)
	}
	key := make([]byte, 32)
	rand.Read(key)
	classes := map[string]server.Class{}
	effects := map[invariant.Effect]server.Idempotency{invariant.Idempotent: server.Idempotent, invariant.IdempotentWithKey: server.IdempotentWithKey, invariant.NonIdempotent: server.NonIdempotent}
	for name, c := range s.classes {
		classes[name] = server.Class{Idempotency: effects[c.Effect], Deadline: time.Hour}
	}
	p := exchange.DefaultParams()
	p.AckDelay = 20 * time.Millisecond
	coapServer, err := server.New(server.Settings{
		Params: p, Limits: exchange.ServerLimits{MaxPendingRequests: s.cfg.Queue + 1000, MaxDedupEntries: 1 << 20, MaxDedupBytes: 64 << 20},
		Blocks:  block.Limits{MaxTransfers: 1000, MaxBodySize: 64 << 10, MaxTotalSize: 64 << 20, IdleTimeout: time.Minute, MaxBlockSize: 1024},
		Classes: classes, MaxDeadlineRatio: 1, TrustedNetworks: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")},
		HistoryKnown: true, RequireEcho: s.cfg.Echo, EchoKey: key, EchoLifetime: echoLifetime,
	})
	if err != nil {
		return err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return fmt.Errorf("call server %s: %w", s.cfg.Name, err)
	}
	reader, err := stamp.NewDatagramReader(conn)
	if err != nil {
		conn.Close()
		return fmt.Errorf("call server %s: %w", s.cfg.Name, err)
	}
	c := &coapListener{srv: s, conn: conn, reader: reader, start: time.Now(), closed: make(chan struct{}), server: coapServer}
	c.timer = time.AfterFunc(time.Hour, c.tick)
	s.mu.Lock()
	s.coap, s.addr = c, coapScheme+conn.LocalAddr().String()
	s.mu.Unlock()
	s.wg.Add(1)
	go c.read()
	return nil
}

// DedupHits returns the number of duplicate CoAP messages since the latest start.
func (s *Server) DedupHits() int {
	s.mu.Lock()
	c := s.coap
	s.mu.Unlock()
	if c == nil {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.server.Counts().Duplicates
}

// crashCoAP closes the socket of the present incarnation: its exchange state is lost and its
// running requests stop.
func (s *Server) crashCoAP() {
	s.mu.Lock()
	c := s.coap
	s.coap = nil
	s.mu.Unlock()
	if c != nil {
		close(c.closed)
		c.timer.Stop()
		c.conn.Close()
	}
}

func (c *coapListener) read() {
	defer c.srv.wg.Done()
	buf := make([]byte, message.MaxDatagramSize+1)
	for {
		n, peer, err := c.reader.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || c.srv.isolated() {
			continue
		}
		peer = netip.AddrPortFrom(peer.Addr().Unmap(), peer.Port())
		received := c.srv.log.Now() - c.reader.Age()
		c.mu.Lock()
		c.perform(c.server.Receive(time.Since(c.start), peer, buf[:n], nil), received)
	}
}

func (s *Server) isolated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault.Isolated
}

func (c *coapListener) tick() {
	c.mu.Lock()
	c.perform(c.server.Tick(time.Since(c.start), nil), c.srv.log.Now())
}

// perform carries out the actions that the CoAP server decided on. received is the time at
// which the kernel received the data that caused them. The caller holds the mutex; perform
// unlocks it.
func (c *coapListener) perform(actions []server.Action, received time.Duration) {
	if at, ok := c.server.Next(); ok {
		c.timer.Reset(max(0, at-time.Since(c.start)))
	}
	c.mu.Unlock()
	for i := range actions {
		switch actions[i].Kind {
		case server.Send:
			if !c.srv.isolated() {
				c.conn.WriteToUDPAddrPort(actions[i].Datagram, actions[i].Peer)
			}
		case server.Execute:
			c.execute(&actions[i].Request, received)
		}
	}
}

// execute submits a request whose last datagram the kernel received at the given time.
func (c *coapListener) execute(r *server.Request, received time.Duration) {
	s := c.srv
	f := s.drawFault()
	if f.Reject {
		c.finish(r.Handle, server.Response{Outcome: server.NotExecuted})
		return
	}
	j := s.submit(incoming{id: r.ID, key: r.AffinityKey, idem: r.IdempotencyKey, class: s.classes[r.Class], first: received, last: received}, 0)
	if j == nil {
		c.finish(r.Handle, server.Response{Outcome: server.NotExecuted})
		return
	}
	handle, id, timeout := r.Handle, r.ID, r.Deadline
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		// Over HTTP an abandoned request is cancelled when its connection closes. Over CoAP
		// only the deadline of the request shows that it was abandoned. If the request were
		// executed after its deadline, it could run in parallel with its retry, outside the
		// window in which the pod detects duplicates.
		deadline := time.NewTimer(timeout)
		defer deadline.Stop()
		select {
		case <-deadline.C:
			response := server.Response{Outcome: server.Failed}
			if s.cancel(j) {
				response.Outcome = server.NotExecuted
			}
			c.finish(handle, response)
		case <-j.done:
			response := server.Response{Outcome: server.Succeeded, Body: []byte(Body(id, s.cfg.Name)), ContentFormat: 0}
			if f.Error {
				response = server.Response{Outcome: server.Failed}
			}
			if !s.hung() {
				c.finish(handle, response)
			}
		case <-c.closed:
			s.cancel(j)
		}
	}()
}

func (c *coapListener) finish(handle uint64, response server.Response) {
	c.mu.Lock()
	c.perform(c.server.Respond(time.Since(c.start), handle, response, nil), c.srv.log.Now())
}
