// Package coapclient is a CoAP client for tests that simulates a meeting room device. It
// follows RFC 7252, RFC 7959 and RFC 9175 over its own UDP socket, on loopback only.
package coapclient

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"otterspring/internal/coap/block"
	"otterspring/internal/coap/exchange"
	"otterspring/internal/coap/message"
)

// Config configures a Client.
type Config struct {
	Server    string          // server address and port; must be loopback
	Params    exchange.Params // the zero value selects the defaults of RFC 7252 with NSTART 64
	BlockSize int             // block size in bytes; 0 selects message.MaxBlockSize
	NoEcho    bool            // do not support the Echo option (RFC 9175)
	Seed      uint64
	Local     string // local address and port; empty selects a free loopback port
}

// ErrNoAnswer means that a request got no answer. It is then unknown whether the server
// processed the request.
var ErrNoAnswer = errors.New("coap client: no answer")

// Client is a CoAP client endpoint, safe for concurrent use.
type Client struct {
	cfg    Config
	conn   *net.UDPConn
	server netip.AddrPort
	start  time.Time

	mu         sync.Mutex
	exchanges  *exchange.Client
	timer      *time.Timer
	lastHandle uint64
	pending    map[uint64]chan received
	echo       []byte
	wg         sync.WaitGroup
}

// received is the final action of the message layer for a request, and the time of that
// action.
type received struct {
	exchange.Action
	at time.Time
}

// Response is the answer to a request. ReceivedAt is the time at which the last datagram of
// the answer was read, independent of when the waiting goroutine was scheduled.
type Response struct {
	message.Message
	ReceivedAt time.Time
}

// Dial opens the client's socket and starts its read loop.
func Dial(cfg Config) (*Client, error) {
	server, err := netip.ParseAddrPort(cfg.Server)
	if err != nil || !server.Addr().IsLoopback() {
		return nil, fmt.Errorf("coap client: found %q, wanted a loopback address and a port", cfg.Server)
	}
	if cfg.Local == "" {
		cfg.Local = "127.0.0.1:0"
	}
	if cfg.Params.AckTimeout == 0 {
		cfg.Params = exchange.DefaultParams()
		cfg.Params.NStart = 64
	}
	if cfg.BlockSize == 0 {
		cfg.BlockSize = message.MaxBlockSize
	}
	local, err := netip.ParseAddrPort(cfg.Local)
	if err != nil {
		return nil, err
	}
	x, err := exchange.NewClient(cfg.Params, exchange.ClientLimits{MaxInFlight: 4096, MaxDedupEntries: 4096}, cfg.Seed)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil, err
	}
	c := &Client{cfg: cfg, conn: conn, server: server, start: time.Now(), exchanges: x, pending: map[uint64]chan received{}}
	c.timer = time.AfterFunc(time.Hour, c.tick)
	c.wg.Add(1)
	go c.read()
	return c, nil
}

// Addr returns the client's local address.
func (c *Client) Addr() netip.AddrPort { return c.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Counts returns the counters of the message layer.
func (c *Client) Counts() exchange.Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.exchanges.Counts()
}

// Close closes the client; pending requests fail with ErrNoAnswer.
func (c *Client) Close() {
	c.conn.Close()
	c.wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timer.Stop()
	for h, w := range c.pending {
		delete(c.pending, h)
		close(w)
	}
}

func (c *Client) now() time.Duration { return time.Since(c.start) }

func (c *Client) read() {
	defer c.wg.Done()
	buf := make([]byte, message.MaxDatagramSize+1)
	var m message.Message
	for {
		n, peer, err := c.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || message.Decode(buf[:n], &m) != nil {
			continue
		}
		peer = netip.AddrPortFrom(peer.Addr().Unmap(), peer.Port())
		c.mu.Lock()
		c.apply(c.exchanges.Receive(c.now(), peer, &m, nil))
		c.mu.Unlock()
	}
}

func (c *Client) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.apply(c.exchanges.Tick(c.now(), nil))
}

// apply executes the actions of the message layer and resets the timer. The caller holds
// the mutex.
func (c *Client) apply(acts []exchange.Action) {
	for i := range acts {
		switch a := acts[i]; a.Kind {
		case exchange.Send:
			c.conn.WriteToUDPAddrPort(a.Datagram, a.Peer)
		case exchange.Response, exchange.Failed:
			if w := c.pending[a.Handle]; w != nil {
				delete(c.pending, a.Handle)
				w <- received{a, time.Now()}
			}
		}
	}
	if at, ok := c.exchanges.Next(); ok {
		c.timer.Reset(max(0, at-c.now()))
	}
}

// Exchange sends one request message and waits for its answer. If ctx ends first, Exchange
// cancels the request and returns ErrNoAnswer.
func (c *Client) Exchange(ctx context.Context, m message.Message) (message.Message, error) {
	r, err := c.exchange(ctx, m)
	return r.Message, err
}

func (c *Client) exchange(ctx context.Context, m message.Message) (Response, error) {
	unanswered := Response{Message: m}
	got := make(chan received, 1)
	c.mu.Lock()
	c.lastHandle++
	handle := c.lastHandle
	c.pending[handle] = got
	if c.echo != nil && !c.cfg.NoEcho {
		m.Options = append([]message.Option(nil), m.Options...)
		m.Add(message.Echo, c.echo)
	}
	acts, ok := c.exchanges.Request(c.now(), handle, c.server, m, false, nil)
	c.apply(acts)
	if !ok {
		delete(c.pending, handle)
	}
	c.mu.Unlock()
	if !ok {
		return unanswered, errors.New("coap client: too many requests are open")
	}
	select {
	case a, ok := <-got:
		if !ok || a.Kind == exchange.Failed {
			return unanswered, ErrNoAnswer
		}
		if v, there := a.Message.Get(message.Echo); there {
			c.mu.Lock()
			c.echo = v
			c.mu.Unlock()
		}
		return Response{a.Message, a.at}, nil
	case <-ctx.Done():
		c.mu.Lock()
		delete(c.pending, handle)
		acts, _ := c.exchanges.Cancel(c.now(), handle, nil)
		c.apply(acts)
		c.mu.Unlock()
		return unanswered, ErrNoAnswer
	}
}

// Do sends a request. It uses block-wise transfer for bodies and answers that are larger than
// one block. If the server demands an Echo option, Do repeats the request with that option,
// unless NoEcho is set.
func (c *Client) Do(ctx context.Context, m message.Message, body []byte) (Response, error) {
	r, err := c.upload(ctx, m, body)
	if err == nil && r.Code == message.Unauthorized && !c.cfg.NoEcho {
		if _, there := r.Get(message.Echo); there {
			r, err = c.upload(ctx, m, body)
		}
	}
	if err != nil || r.Code.Class() != 2 {
		return r, err
	}
	return c.download(ctx, m, r)
}

func (c *Client) upload(ctx context.Context, m message.Message, body []byte) (Response, error) {
	if len(body) <= c.cfg.BlockSize {
		m.Payload = body
		return c.exchange(ctx, m)
	}
	up := block.NewUpload(body, c.cfg.BlockSize)
	for {
		part, b := up.Block()
		q := m
		q.Options = append([]message.Option(nil), m.Options...)
		q.AddBlock(message.Block1, b)
		q.Payload = part
		r, err := c.exchange(ctx, q)
		if err != nil {
			return r, err
		}
		if more, err := up.HandleResponse(&r.Message); err != nil || !more {
			return r, err
		}
	}
}

func (c *Client) download(ctx context.Context, m message.Message, r Response) (Response, error) {
	down := block.NewDownload(64 << 10)
	first := r
	for {
		next, more, err := down.HandleResponse(&r.Message)
		if err != nil {
			return r, err
		}
		if !more {
			first.Payload, first.ReceivedAt = down.Body(), r.ReceivedAt
			return first, nil
		}
		q := m
		q.Payload = nil
		q.Options = append([]message.Option(nil), m.Options...)
		q.AddBlock(message.Block2, next)
		if r, err = c.exchange(ctx, q); err != nil {
			return r, err
		}
		if r.Code.Class() != 2 {
			return r, nil
		}
	}
}
