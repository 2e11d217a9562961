package sidecar

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"otterspring/balance"
	"otterspring/internal/engine"
	"otterspring/internal/httpupstream"
)

const (
	readyPath = "/up"
	busyAfter = "0.1" // seconds after which a refused connection may find room
	// A connection on which nothing is asked is closed after this. It is the
	// client's to keep for 2 s.
	silentFor = 2400 * time.Millisecond // no request yet
	idleFor   = 3 * time.Second         // between requests
	// A request must be whole within wholeIn of its first byte, the first one
	// of a connection of the connect. Healthy clients take up to 2 s for a
	// head. A body earns more time by the bytes that have come, so that a slow
	// line is not cut off and a trickle is.
	wholeIn     = 2700 * time.Millisecond
	bodyRate    = 16 << 10 // bytes that earn a second
	writeStall  = 5 * time.Second
	sweepClient = 100 * time.Millisecond
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
// two fifths of the rest for upstreams and three for clients. Clients ask on a
// third of all at most, but keep more: those that asked once, and those that
// never will.
const ownSockets = 16

func upstreamShare(sockets int) int { return (sockets - ownSockets) * 2 / 5 }

// clientShares returns how many client connections are served, and how many
// more are taken on while others are being closed or only to be refused.
func clientShares(sockets int) (serve, refuse int) {
	n := sockets - ownSockets - upstreamShare(sockets)
	return n - n/8, n / 8
}

// Sidecar is a running sidecar.
type Sidecar struct {
	eng    *engine.Engine
	pool   *httpupstream.Pool
	srv    fasthttp.Server
	front  *front
	bodies *engine.Budget
	disc   *discovery
	cfg    Config // as last loaded; only Reload touches it
	stop   context.CancelFunc
	finish atomic.Int64 // bound of the drain, in nanoseconds; 0 for the usual one

	reloads [2]atomic.Int64 // that went well, and that did not
}

var ownPid = strconv.Itoa(os.Getpid())

// NoteReload counts a reload, for who asks at /up.
func (s *Sidecar) NoteReload(well bool) {
	if well {
		s.reloads[0].Add(1)
	} else {
		s.reloads[1].Add(1)
	}
}

// Options are what a start may bring beside the configuration.
type Options struct {
	// Listener is the listening socket of the process before; nil to listen
	// anew. It is used as it is: connections that wait in its queue are served.
	Listener *net.TCPListener
	// Held is the list as the process before held it, in discovery's form; it
	// takes the place of the configuration's, which is older.
	Held []byte
	// Paused starts without accepting, until Resume.
	Paused bool
}

// Start listens, and serves until Drain.
func Start(cfg Config) (*Sidecar, error) { return StartWith(cfg, Options{}) }

// StartWith starts with what the process before has handed over.
func StartWith(cfg Config, opt Options) (*Sidecar, error) {
	if opt.Held != nil {
		held, err := parseHeld(opt.Held)
		if err != nil {
			return nil, fmt.Errorf("list handed over: %w", err)
		}
		cfg.Known = held
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
	// The limit leaves room for stacks and what the kernel counts; the usual
	// percentage keeps the heap flat instead of letting it drift up to there.
	debug.SetMemoryLimit(int64(cfg.Memory) * 6 / 10)
	debug.SetGCPercent(100)

	p := httpupstream.New(cfg.Conns, upstreamShare(cfg.Sockets))
	d := &discovery{addr: cfg.Discovery, pushed: !cfg.Settings.Subscribe, index: cfg.Known.Index, asked: make(chan struct{}, 1)}
	eng, err := engine.New(engine.Settings{Balance: cfg.Settings, Seed: cfg.Seed, Dial: cfg.Conns.Dial, Open: p.Open}, d.ask)
	if err != nil {
		return nil, err
	}
	d.eng = eng
	ln := opt.Listener
	if ln == nil {
		if ln, err = listenTCP(cfg.Listen); err != nil {
			return nil, err
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &Sidecar{
		eng:    eng,
		pool:   p,
		disc:   d,
		front:  newFront(ln, cfg.Sockets),
		bodies: engine.NewBudget(cfg.Memory / 8),
		cfg:    cfg,
		stop:   stop,
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
	eng.Members(balance.ListSaved, cfg.Known, 0)
	if opt.Paused {
		s.front.pause()
	}
	if opt.Held != nil {
		// The process before was on a watch: what it is told from now on this one
		// must know, too. The module would ask later, spread over seconds.
		d.ask()
	}
	go d.run(ctx)
	go p.Sweep(ctx.Done())
	go s.front.sweep(ctx.Done())
	go func() {
		if err := s.srv.Serve(s.front); err != nil {
			slog.Error("serving ended", "why", err)
		}
	}()
	return s, nil
}

// listenTCP opens the address for clients.
func listenTCP(addr string) (*net.TCPListener, error) {
	var lc net.ListenConfig
	lc.KeepAlive = -1
	lc.SetMultipathTCP(false)
	ln, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return ln.(*net.TCPListener), nil
}

// Reload takes a configuration that was read anew and checked. Discovery moves
// at once; what else differs holds from the next start on, and the log says so.
// It must not be called by two at a time.
func (s *Sidecar) Reload(cfg Config) {
	s.disc.move(cfg.Discovery)
	slog.Info("reload: taken", "discovery", cfg.Discovery)
	if later := s.cfg.differs(&cfg); len(later) > 0 {
		slog.Warn("reload: changed but used from the next start on only", "keys", strings.Join(later, ", "))
	}
	s.cfg.Discovery = cfg.Discovery
}

// Addr is where the sidecar listens.
func (s *Sidecar) Addr() string { return s.front.ln.Addr().String() }

// quietLog drops the server's lines: they tell of what single clients did.
type quietLog struct{}

func (quietLog) Printf(string, ...any) {}

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

// busy refuses a request that there is no room for; trying again helps soon.
func busy(ctx *fasthttp.RequestCtx, why string) {
	unread(ctx, fasthttp.StatusServiceUnavailable, why)
	ctx.Response.Header.Set("Retry-After", busyAfter)
}

// rejectBody answers a request whose body could not be read.
func rejectBody(ctx *fasthttp.RequestCtx, err error) {
	switch {
	case errors.Is(err, engine.ErrNoRoom):
		busy(ctx, err.Error())
	case errors.Is(err, engine.ErrTooLarge):
		unread(ctx, fasthttp.StatusRequestEntityTooLarge, err.Error())
	case errors.Is(err, os.ErrDeadlineExceeded):
		unread(ctx, fasthttp.StatusRequestTimeout, "body: too slow")
	default:
		unread(ctx, fasthttp.StatusBadRequest, "body: "+err.Error())
	}
}

// sayUp answers readyPath. It tells which process says so, and how many reloads
// went well and how many did not: a supervisor tells by it the old process of a
// hand-over from the new one. It is apart from serve, whose frame every
// connection's stack has to hold: with the formatting in it the peak at 128
// connections was 1.6 MB above that of before, without it 1.0.
func (s *Sidecar) sayUp(ctx *fasthttp.RequestCtx) {
	if s.front.draining.Load() {
		reject(ctx, fasthttp.StatusServiceUnavailable, "draining")
	}
	ctx.Response.Header.Set("X-Pid", ownPid)
	ctx.Response.Header.Set("X-Reloads", fmt.Sprintf("%d/%d", s.reloads[0].Load(), s.reloads[1].Load()))
}

func (s *Sidecar) serve(ctx *fasthttp.RequestCtx, cc *clientConn) {
	h := &ctx.Request.Header
	uri := h.RequestURI()
	if ctx.IsGet() && (string(uri) == readyPath || bytes.HasPrefix(uri, []byte(readyPath+"?"))) {
		s.sayUp(ctx)
		return
	}
	q, bad := s.check(h)
	switch {
	case bad != nil:
		unread(ctx, bad.code, bad.why)
		return
	case cc.refused:
		busy(ctx, "too many connections")
		return
	}
	bodiless := ctx.IsGet()
	c := &engine.Call{ID: q.ID, Conn: cc, Done: make(chan struct{})}
	if length := h.ContentLength(); !bodiless && length != 0 && ctx.RequestBodyStream() != nil {
		c.Body = engine.NewBody(s.bodies, &cc.body)
		defer c.Body.Release()
		if err := c.Body.Fill(ctx.RequestBodyStream(), length); err != nil {
			rejectBody(ctx, err)
			return
		}
	}
	c.Form = requestHead(h, c.Body.Len(), bodiless)
	cc.busy()
	if !s.eng.Request(c, q) {
		unread(ctx, fasthttp.StatusConflict, "X-Request-Id: in use or used before")
		return
	}
	if gone := cc.await(c.Done); gone {
		s.eng.Left(c)
		unread(ctx, fasthttp.StatusBadRequest, "client gone")
		return
	}
	cc.SetReadDeadline(time.Time{})
	respond(ctx, &c.Answer)
}

// respond writes the answer that the module decided on.
func respond(ctx *fasthttp.RequestCtx, a *engine.Answer) {
	switch {
	case a.Kind == balance.Refuse:
		reject(ctx, fasthttp.StatusServiceUnavailable, "refused")
		if a.Wait > 0 {
			ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(a.Wait.Seconds(), 'f', 3, 64))
		}
	case a.Kind == balance.Fail:
		reject(ctx, fasthttp.StatusBadGateway, "failed")
	default:
		r := a.Response.(*httpupstream.Response).HTTP()
		r.Header.CopyTo(&ctx.Response.Header)
		for _, name := range []string{"Connection", "Keep-Alive", "Trailer", "X-Not-Run"} {
			ctx.Response.Header.Del(name)
		}
		ctx.Response.Header.ResetConnectionClose()
		ctx.Response.SetBody(r.Body())
		a.Response.Release()
	}
}

// requestHead returns the head that goes on to upstreams, without X-Deadline
// and the empty line that each attempt adds.
func requestHead(h *fasthttp.RequestHeader, size int, bodiless bool) httpupstream.Head {
	for _, name := range []string{"Connection", "Keep-Alive", "Expect", "TE", "Trailer", "Upgrade", "X-Deadline"} {
		h.Del(name)
	}
	h.ResetConnectionClose()
	h.SetProtocol("HTTP/1.1")
	h.SetNoDefaultContentType(true)
	if !bodiless {
		h.SetContentLength(size)
	}
	text := h.AppendBytes(make([]byte, 0, 512))
	return text[:len(text)-2]
}

// The phases of a client's connection.
const (
	phaseIdle    = iota // between requests
	phaseReading        // within a request's head or body
	phaseBusy           // waiting for the answer
	phaseHandled        // the answer is being written
	phaseClosing        // given up while idle: what still comes is not read
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
	asked atomic.Bool  // a whole request has come on it
	began atomic.Int64 // time of a request's first byte; of the connect for the first request
	last  atomic.Int64 // time of the turn to idle
	body  atomic.Int64 // bytes of the body that have come
	wrote atomic.Int64 // time at which the write under way began, 0 for none
	once  sync.Once
}

func (c *clientConn) setPhase(p int32) { c.phase.Store(p) }

// busy notes that a request is whole.
func (c *clientConn) busy() {
	c.asked.Store(true)
	c.setPhase(phaseBusy)
}

// Read reads for the server. The end of an idle connection's life is an EOF,
// not a time-out, since the server would answer that one.
func (c *clientConn) Read(p []byte) (int, error) {
	if c.phase.Load() == phaseHandled {
		c.last.Store(c.front.now())
		c.asked.Store(true)
		c.setPhase(phaseIdle)
		c.front.thin()
	}
	if c.ahead && len(p) > 0 {
		c.ahead = false
		p[0] = c.early[0]
		if !c.note() {
			return 0, io.EOF
		}
		return 1, nil
	}
	n, err := c.Conn.Read(p)
	if n == 0 && c.over.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.rest(p)
	}
	switch {
	case n > 0 && !c.note():
		return 0, io.EOF
	case n > 0:
	case errors.Is(err, os.ErrDeadlineExceeded) && c.phase.Load() != phaseReading:
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

// note takes down that bytes came; false if the connection was given up just
// before, and they are as good as never read.
func (c *clientConn) note() bool {
	if !c.phase.CompareAndSwap(phaseIdle, phaseReading) {
		return c.phase.Load() != phaseClosing
	}
	c.body.Store(0)
	if c.asked.Load() {
		c.began.Store(c.front.now())
	}
	return true
}

func (c *clientConn) Write(p []byte) (int, error) {
	if c.muted {
		return 0, net.ErrClosed
	}
	c.wrote.Store(c.front.now())
	n, err := c.Conn.Write(p)
	c.wrote.Store(0)
	return n, err
}

// Close closes the connection and makes room for another.
func (c *clientConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { c.front.remove(c) })
	return err
}

// unread tells whether the kernel holds bytes of the connection.
func (c *clientConn) unread() bool {
	some := false
	c.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		some = n > 0 && err == nil
	})
	return some
}

// overdue tells whether the client has used up its time.
func (c *clientConn) overdue(now int64) bool {
	switch c.phase.Load() {
	case phaseIdle:
		if c.asked.Load() {
			return now-c.last.Load() > idleFor.Milliseconds()
		}
		return now-c.began.Load() > silentFor.Milliseconds()
	case phaseReading:
		earned := c.body.Load() * 1000 / bodyRate
		return now-c.began.Load() > wholeIn.Milliseconds()+earned
	}
	return false
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
	paused        bool // nothing is accepted; behind mu
	ended         bool // nor ever will be; behind mu
	serve, refuse int
	spare         int // idle connections that asked, kept at most
	start         time.Time
	draining      atomic.Bool

	mu    sync.Mutex
	freed sync.Cond
	conns map[*clientConn]bool
}

func newFront(ln *net.TCPListener, sockets int) *front {
	f := &front{ln: ln, conns: map[*clientConn]bool{}, start: time.Now()}
	f.freed.L = &f.mu
	f.serve, f.refuse = clientShares(sockets)
	f.spare = sockets / 6
	return f
}

// now is the time in milliseconds, never 0.
func (f *front) now() int64 { return time.Since(f.start).Milliseconds() + 1 }

// Accept takes the next connection. Over the share, the one that nobody misses
// most is closed for it; if there is none, its request is refused at once, and
// when even those are many, connections wait in the kernel.
func (f *front) Accept() (net.Conn, error) {
	for {
		f.mu.Lock()
		for !f.ended && (f.paused || len(f.conns) >= f.serve+f.refuse) {
			f.freed.Wait()
		}
		ended := f.ended
		f.mu.Unlock()
		nc, err := f.ln.AcceptTCP()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || ended && errors.Is(err, os.ErrDeadlineExceeded) {
				return nil, io.EOF
			}
			if errors.Is(err, os.ErrDeadlineExceeded) {
				continue // paused, or ended
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
		c.began.Store(f.now())
		f.mu.Lock()
		full := len(f.conns) >= f.serve
		f.mu.Unlock()
		c.refused = full && !f.evict()
		f.mu.Lock()
		f.conns[c] = true
		f.mu.Unlock()
		return c, nil
	}
}

// Close and Addr make front a net.Listener.
func (f *front) Close() error   { return f.ln.Close() }
func (f *front) Addr() net.Addr { return f.ln.Addr() }

// evict gives up the idle connection that is missed least, and tells whether
// there was one. It guards against all that fills the share without asking:
// connects that say nothing, clients that ask once and stay, pools larger than
// they need to be. Those that never asked go first, whatever their age, since
// a burst of them is as young as the usual client's connection behind it. One
// with unread bytes stays. It might harm clients that connect long before they
// ask; they find a closed connection and open another.
func (f *front) evict() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for {
		var worst *clientConn
		for c := range f.conns {
			if c.phase.Load() == phaseIdle && (worst == nil || c.before(worst)) {
				worst = c
			}
		}
		if worst == nil {
			return false
		}
		if worst.unread() {
			// It is about to be read.
			if !worst.phase.CompareAndSwap(phaseIdle, phaseReading) {
				continue
			}
			worst.body.Store(0)
			if worst.asked.Load() {
				worst.began.Store(f.now())
			}
			continue
		}
		if worst.giveUp() {
			return true
		}
	}
}

// thin closes the connection that has been idle longest of those that asked,
// if there are more than spare. Clients hold a third of the descriptors at most:
// one that opens a connection for each request, and leaves the old ones open for
// a while, would run out of them with room left here, and could ask only as fast
// as it lets go of them. Half of that is theirs to fill anew, at any time. It
// covers every pool that grows and does not use what it has. It might harm
// clients with more connections than that in use by turns: they open some anew,
// and send again what crosses the close.
func (f *front) thin() {
	f.mu.Lock()
	defer f.mu.Unlock()
	idle := 0
	var oldest *clientConn
	for c := range f.conns {
		if c.phase.Load() == phaseIdle && c.asked.Load() {
			idle++
			if oldest == nil || c.before(oldest) {
				oldest = c
			}
		}
	}
	if idle > f.spare && !oldest.unread() {
		oldest.giveUp()
	}
}

// before tells whether c is missed less than d.
func (c *clientConn) before(d *clientConn) bool {
	if c.asked.Load() != d.asked.Load() {
		return d.asked.Load()
	}
	if c.asked.Load() {
		return c.last.Load() < d.last.Load()
	}
	return c.began.Load() < d.began.Load()
}

// giveUp ends an idle connection; false if a request has begun on it.
func (c *clientConn) giveUp() bool {
	if !c.phase.CompareAndSwap(phaseIdle, phaseClosing) {
		return false
	}
	c.SetReadDeadline(engine.Past)
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
			c.SetReadDeadline(engine.Past)
		}
	}
}

// shut stops listening. What the kernel has accepted by now is taken first:
// closing the listener would reset it.
func (f *front) shut() {
	f.mu.Lock()
	f.ended = true
	f.mu.Unlock()
	f.freed.Broadcast()
	f.ln.SetDeadline(time.Now().Add(20 * time.Millisecond))
	time.Sleep(20 * time.Millisecond)
	f.ln.Close()
}

// leave stops listening where another process has the same socket: what waits
// in its queue is that one's, and closing this descriptor resets nothing.
func (f *front) leave() {
	f.mu.Lock()
	f.ended = true
	f.mu.Unlock()
	f.freed.Broadcast()
	f.ln.Close()
}

// pause accepts no more, with the socket open: connections wait in the kernel.
func (f *front) pause() {
	f.mu.Lock()
	f.paused = true
	f.mu.Unlock()
	f.ln.SetDeadline(engine.Past)
}

// resume accepts again.
func (f *front) resume() {
	f.mu.Lock()
	f.paused = false
	f.mu.Unlock()
	f.ln.SetDeadline(time.Time{})
	f.freed.Broadcast()
}

// abandon closes what is left, whatever its phase.
func (f *front) abandon() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.SetDeadline(engine.Past)
	}
	return len(f.conns)
}

// empty tells whether no connection is left.
func (f *front) empty() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns) == 0
}

// sweep cuts off the clients that have used up their time: with nothing asked,
// with half a request, or with an answer that they do not read.
func (f *front) sweep(stop <-chan struct{}) {
	tick := time.NewTicker(sweepClient)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		now := f.now()
		f.mu.Lock()
		for c := range f.conns {
			if c.overdue(now) && !c.giveUp() && c.phase.Load() == phaseReading {
				c.SetReadDeadline(engine.Past)
			}
			if w := c.wrote.Load(); w > 0 && now-w > writeStall.Milliseconds() {
				c.SetWriteDeadline(engine.Past)
			}
		}
		f.mu.Unlock()
	}
}
