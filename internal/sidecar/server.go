package sidecar

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"math"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"pipittrestle/balance"
)

const (
	readyPath = "/up"
	// Clients take up to 2 s for a head and trickle bodies: only one that
	// makes no progress for long is cut off.
	headWithin  = 15 // seconds from a head's first byte
	readStall   = 15 // seconds in a body without a byte
	writeStall  = 30 // seconds in one write of an answer
	headBuffer  = 8 << 10
	writeBuffer = 4 << 10

	// At a planned restart connections come for another 0.4 s, and those that
	// the kernel accepted are the sidecar's. Idle connections are closed after
	// that: a client whose request crosses the close sends it once more on a
	// new one. What is not whole by cutAt never counts as taken.
	closeIdleAt = 480 * time.Millisecond
	cutAt       = 660 * time.Millisecond
)

// The shares of the descriptors: some for the process itself and discovery,
// half of the rest for upstreams and half for clients.
const ownSockets = 24

func upstreamShare(sockets int) int { return (sockets - ownSockets) / 2 }

// clientShares returns how many client connections are served, and how many
// more are taken on only to be refused.
func clientShares(sockets int) (serve, refuse int) {
	n := sockets - ownSockets - upstreamShare(sockets)
	return n - n/8, n / 8
}

// Sidecar is a running sidecar.
type Sidecar struct {
	eng     *engine
	srv     fasthttp.Server
	front   *front
	bodies  *budget
	stop    context.CancelFunc
	stopped chan struct{} // closed when the server has let its last connection go
}

// Start listens, and serves until Drain.
func Start(cfg Config) (*Sidecar, error) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
	// Half of the memory is for bodies at most; what is under the limit makes
	// the collector rare while little is held.
	debug.SetMemoryLimit(int64(cfg.Memory) * 7 / 10)
	debug.SetGCPercent(400)

	eng, err := newEngine(&cfg)
	if err != nil {
		return nil, err
	}
	var lc net.ListenConfig
	lc.KeepAlive = -1
	lc.SetMultipathTCP(false)
	ln, err := lc.Listen(context.Background(), "tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &Sidecar{
		eng:     eng,
		front:   newFront(ln.(*net.TCPListener), cfg.Sockets),
		bodies:  newBudget(cfg.Memory * 2 / 5),
		stop:    stop,
		stopped: make(chan struct{}),
	}
	s.srv = fasthttp.Server{
		Handler:                      s.handle,
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		ReadBufferSize:               headBuffer,
		WriteBufferSize:              writeBuffer,
		MaxRequestBodySize:           math.MaxInt,
		LazyRequestTime:              true,
		Logger:                       quietLog{},
	}
	d := &discovery{eng: eng, addr: cfg.Discovery, pushed: !cfg.Settings.Subscribe, index: cfg.Known.index, asked: make(chan struct{}, 1)}
	eng.watch = d.ask
	eng.members(balance.ListSaved, cfg.Known.entries)
	go d.run(ctx)
	go eng.pool.sweep(ctx.Done())
	go s.front.sweep(ctx.Done())
	go func() {
		if err := s.srv.Serve(s.front); err != nil {
			log.Printf("serve: %v", err)
		}
	}()
	return s, nil
}

// Addr is where the sidecar listens.
func (s *Sidecar) Addr() string { return s.front.ln.Addr().String() }

// quietLog drops the server's lines: they tell of what single clients did.
type quietLog struct{}

func (quietLog) Printf(string, ...any) {}

// Drain ends the service at a planned restart. It returns when every request
// that was taken is answered.
func (s *Sidecar) Drain() {
	began := time.Now()
	s.front.draining.Store(true)
	time.Sleep(closeIdleAt)
	s.front.cut(phaseIdle)
	time.Sleep(cutAt - time.Since(began))
	s.front.shut()
	for !s.front.empty() {
		s.front.cut(phaseReading)
		time.Sleep(10 * time.Millisecond)
	}
	s.stop()
}

// handle takes one request and answers it.
func (s *Sidecar) handle(ctx *fasthttp.RequestCtx) {
	cc := ctx.Conn().(*clientConn)
	s.serve(ctx, cc)
	if s.front.draining.Load() || cc.refused {
		ctx.SetConnectionClose()
	}
	cc.setPhase(phaseHandled)
}

// reject answers a request that is not passed on.
func reject(ctx *fasthttp.RequestCtx, code int, why string) {
	ctx.Response.Reset()
	ctx.SetStatusCode(code)
	ctx.SetBodyString(why + "\n")
}

// unread rejects a request whose body is not read to its end.
func unread(ctx *fasthttp.RequestCtx, code int, why string) {
	reject(ctx, code, why)
	ctx.SetConnectionClose()
}

func (s *Sidecar) serve(ctx *fasthttp.RequestCtx, cc *clientConn) {
	h := &ctx.Request.Header
	uri := h.RequestURI()
	if ctx.IsGet() && (string(uri) == readyPath || bytes.HasPrefix(uri, []byte(readyPath+"?"))) {
		if s.front.draining.Load() {
			reject(ctx, fasthttp.StatusServiceUnavailable, "draining")
		}
		return
	}
	class := classOf(uri)
	id := h.Peek("X-Request-Id")
	wait, ok := parseDeadline(h.Peek("X-Deadline"))
	if !ok {
		wait = s.eng.deadline(class)
	}
	length := h.ContentLength()
	bodiless := ctx.IsGet() || ctx.IsHead()
	switch {
	case len(class) == 0:
		unread(ctx, fasthttp.StatusBadRequest, "path: expected a class as its first part")
		return
	case len(id) == 0:
		unread(ctx, fasthttp.StatusBadRequest, "X-Request-Id: missing")
		return
	case !ok && len(h.Peek("X-Deadline")) > 0:
		unread(ctx, fasthttp.StatusBadRequest, "X-Deadline: expected seconds")
		return
	case bodiless && (length > 0 || length == -1):
		unread(ctx, fasthttp.StatusBadRequest, "a GET has no body")
		return
	case cc.refused:
		unread(ctx, fasthttp.StatusServiceUnavailable, "too many connections")
		return
	}
	c := &call{id: string(id), conn: cc, done: make(chan struct{})}
	q := balance.Request{
		ID: c.id, Class: string(class), Tenant: string(h.Peek("X-Tenant")), Key: string(h.Peek("X-Key")),
		Work: parseHint(h.Peek("X-Cost-Hint")), Again: string(h.Peek("X-Retry")) == "1",
	}
	if !bodiless && length != 0 && ctx.RequestBodyStream() != nil {
		c.body = &body{budget: s.bodies, held: cc.held}
		c.body.hold()
		defer c.body.release()
		if err := c.body.readFrom(ctx.RequestBodyStream(), length); err != nil {
			code := fasthttp.StatusBadRequest
			if errors.Is(err, errTooLarge) {
				code = fasthttp.StatusRequestEntityTooLarge
			}
			unread(ctx, code, "body: "+err.Error())
			return
		}
	}
	c.head = requestHead(h, c.body.len(), bodiless)
	q.Deadline = wait
	cc.setPhase(phaseBusy)
	if !s.eng.request(c, q) {
		reject(ctx, fasthttp.StatusConflict, "X-Request-Id: still open")
		return
	}
	if gone := cc.await(c.done); gone {
		s.eng.left(c)
		ctx.SetConnectionClose()
		// The answer may have come just then; a stream must be let go.
		select {
		case <-c.done:
			c.answer.drop()
		default:
		}
		reject(ctx, fasthttp.StatusBadRequest, "client gone")
		ctx.SetConnectionClose()
		return
	}
	cc.SetReadDeadline(time.Time{})
	respond(ctx, &c.answer)
}

// drop lets an answer go that nobody gets.
func (a *answer) drop() {
	if a.resp == nil {
		return
	}
	if a.resp.rest != nil {
		a.resp.rest.Close()
	}
}

// respond writes the answer that the module decided on.
func respond(ctx *fasthttp.RequestCtx, a *answer) {
	switch {
	case a.kind == balance.Refuse:
		reject(ctx, fasthttp.StatusServiceUnavailable, "refused")
		if a.wait > 0 {
			ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(a.wait.Seconds(), 'f', 3, 64))
		}
	case a.kind == balance.Fail:
		reject(ctx, fasthttp.StatusBadGateway, "failed")
	default:
		r := a.resp
		n := r.Header.ContentLength()
		r.Header.CopyTo(&ctx.Response.Header)
		for _, name := range []string{"Connection", "Keep-Alive", "Trailer", "X-Not-Run"} {
			ctx.Response.Header.Del(name)
		}
		ctx.Response.Header.ResetConnectionClose()
		if r.rest != nil {
			ctx.Response.ImmediateHeaderFlush = true
			ctx.Response.SetBodyStream(r.rest, max(n, -1))
			return
		}
		ctx.Response.SetBody(r.Body())
		fasthttp.ReleaseResponse(r.Response)
	}
}

// classOf returns the first part of the path.
func classOf(uri []byte) []byte {
	if len(uri) == 0 || uri[0] != '/' {
		return nil
	}
	uri = uri[1:]
	if i := bytes.IndexAny(uri, "/?#"); i >= 0 {
		uri = uri[:i]
	}
	return uri
}

// parseDeadline reads how long the client waits; false if it does not say so.
func parseDeadline(text []byte) (time.Duration, bool) {
	f, err := strconv.ParseFloat(string(text), 64)
	if err != nil || !(f >= 0) || f > 1e6 {
		return 0, false
	}
	return time.Duration(f * float64(time.Second)), true
}

// parseHint reads a guess at the work; a bad one is none.
func parseHint(text []byte) time.Duration {
	n, err := strconv.ParseUint(string(text), 10, 40)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Microsecond
}

// requestHead returns the head that goes on to upstreams, without X-Deadline
// and the empty line that each attempt adds.
func requestHead(h *fasthttp.RequestHeader, size int, bodiless bool) []byte {
	for _, name := range []string{"Connection", "Keep-Alive", "Expect", "TE", "Trailer", "Upgrade", "X-Deadline"} {
		h.Del(name)
	}
	h.ResetConnectionClose()
	h.SetProtocol("HTTP/1.1")
	h.SetNoDefaultContentType(true)
	if !bodiless {
		h.SetContentLength(size)
	}
	head := h.AppendBytes(make([]byte, 0, 512))
	return head[:len(head)-2]
}

// The phases of a client's connection.
const (
	phaseIdle    = iota // between requests
	phaseReading        // within a request's head or body
	phaseHeld           // within a body, and held back by the budget
	phaseBusy           // waiting for the answer
	phaseHandled        // the answer is being written
)

// clientConn is a connection of the application.
type clientConn struct {
	net.Conn
	raw     syscall.RawConn
	front   *front
	refused bool // over the share: its request is turned away
	early   [1]byte
	ahead   bool        // early holds a byte of the next request
	muted   bool        // nothing is written any more
	over    atomic.Bool // the drain reads no further than what is there

	phase atomic.Int32
	began atomic.Int64 // second of a request's first byte
	last  atomic.Int64 // second of the last byte read, or of the turn to idle
	wrote atomic.Int64 // second in which the write under way began, 0 for none
	once  sync.Once
}

// held notes that the budget holds the connection back, or no longer does.
func (c *clientConn) held(on bool) {
	if on {
		c.setPhase(phaseHeld)
		return
	}
	c.last.Store(c.front.second.Load())
	c.setPhase(phaseReading)
}

func (c *clientConn) setPhase(p int32) { c.phase.Store(p) }

// Read reads for the server. The end of an idle connection's life is an EOF,
// not a time-out, since the server would answer that one.
func (c *clientConn) Read(p []byte) (int, error) {
	if c.phase.Load() == phaseHandled {
		c.last.Store(c.front.second.Load())
		c.setPhase(phaseIdle)
	}
	if c.ahead && len(p) > 0 {
		c.ahead = false
		p[0] = c.early[0]
		c.note()
		return 1, nil
	}
	n, err := c.Conn.Read(p)
	if n == 0 && c.over.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.rest(p)
	}
	if n > 0 {
		c.note()
	} else if errors.Is(err, os.ErrDeadlineExceeded) && c.phase.Load() == phaseIdle {
		err = io.EOF
	}
	return n, err
}

// rest reads what the kernel still holds of a connection that the drain cuts:
// a request whose last byte has come was taken. If it is not whole the
// connection is closed without a word, and the client may send it again.
func (c *clientConn) rest(p []byte) (n int, err error) {
	err = net.ErrClosed
	c.raw.Control(func(fd uintptr) {
		if k, e := syscall.Read(int(fd), p); k > 0 && e == nil {
			n, err = k, nil
		}
	})
	c.muted = n == 0
	return n, err
}

// note takes down that bytes came.
func (c *clientConn) note() {
	now := c.front.second.Load()
	c.last.Store(now)
	if c.phase.CompareAndSwap(phaseIdle, phaseReading) {
		c.began.Store(now)
	}
}

func (c *clientConn) Write(p []byte) (int, error) {
	if c.muted {
		return 0, net.ErrClosed
	}
	c.wrote.Store(c.front.second.Load())
	n, err := c.Conn.Write(p)
	c.wrote.Store(0)
	return n, err
}

// Close closes the connection and makes room for another.
func (c *clientConn) Close() error {
	c.once.Do(func() { c.front.remove(c) })
	return c.Conn.Close()
}

// await waits until done is closed, which comes with a read deadline, and
// meanwhile watches the connection: true if the client closed it.
func (c *clientConn) await(done <-chan struct{}) bool {
	gone := false
	c.raw.Read(func(fd uintptr) bool {
		n, err := syscall.Read(int(fd), c.early[:])
		switch {
		case err == syscall.EAGAIN || err == syscall.EINTR:
			return false
		case n > 0:
			c.ahead = true
		default:
			gone = true
		}
		return true
	})
	if !gone {
		<-done
	}
	return gone
}

// front is the listener, and knows every connection of the application.
type front struct {
	ln            *net.TCPListener
	serve, refuse int
	second        atomic.Int64 // a coarse clock
	draining      atomic.Bool

	mu    sync.Mutex
	freed sync.Cond
	conns map[*clientConn]bool
}

func newFront(ln *net.TCPListener, sockets int) *front {
	f := &front{ln: ln, conns: map[*clientConn]bool{}}
	f.freed.L = &f.mu
	f.serve, f.refuse = clientShares(sockets)
	f.second.Store(1)
	return f
}

// Accept takes the next connection. When there are too many, the one that has
// been idle longest is closed; if none is idle, the new one's request is
// refused, and when even those are many, connections wait in the kernel.
func (f *front) Accept() (net.Conn, error) {
	for {
		f.mu.Lock()
		for len(f.conns) >= f.serve+f.refuse {
			f.freed.Wait()
		}
		f.mu.Unlock()
		nc, err := f.ln.AcceptTCP()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
				return nil, io.EOF
			}
			// Out of descriptors, say: what is idle makes room.
			f.evict()
			time.Sleep(5 * time.Millisecond)
			continue
		}
		raw, err := nc.SyscallConn()
		if err != nil {
			nc.Close()
			continue
		}
		c := &clientConn{Conn: nc, raw: raw, front: f}
		c.last.Store(f.second.Load())
		f.mu.Lock()
		full := len(f.conns) >= f.serve
		f.conns[c] = true
		f.mu.Unlock()
		if full && !f.evict() {
			c.refused = true
		}
		return c, nil
	}
}

// Close and Addr make front a net.Listener.
func (f *front) Close() error   { return f.ln.Close() }
func (f *front) Addr() net.Addr { return f.ln.Addr() }

// evict closes the connection that has been idle longest.
func (f *front) evict() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	var oldest *clientConn
	for c := range f.conns {
		if c.phase.Load() == phaseIdle && c.last.Load() < f.second.Load() && (oldest == nil || c.last.Load() < oldest.last.Load()) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	oldest.SetReadDeadline(past)
	return true
}

func (f *front) remove(c *clientConn) {
	f.mu.Lock()
	delete(f.conns, c)
	f.mu.Unlock()
	f.freed.Broadcast()
}

// cut ends the reading of the connections that are in no later phase.
func (f *front) cut(latest int32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if c.phase.Load() <= latest {
			c.over.Store(true)
			c.SetReadDeadline(past)
		}
	}
}

// shut stops listening. What the kernel has accepted by now is taken first:
// closing the listener would reset it.
func (f *front) shut() {
	f.ln.SetDeadline(time.Now().Add(20 * time.Millisecond))
	time.Sleep(20 * time.Millisecond)
	f.ln.Close()
}

// empty tells whether no connection is left.
func (f *front) empty() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns) == 0
}

// sweep moves the coarse clock and cuts off clients that make no progress.
func (f *front) sweep(stop <-chan struct{}) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		now := f.second.Add(1)
		f.mu.Lock()
		for c := range f.conns {
			if c.phase.Load() == phaseReading && now-c.last.Load() > readStall {
				c.SetReadDeadline(past)
			}
			if w := c.wrote.Load(); w > 0 && now-w > writeStall {
				c.SetWriteDeadline(past)
			}
		}
		f.mu.Unlock()
	}
}
