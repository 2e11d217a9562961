// Package httpfront takes the application's requests over HTTP/1.1: it bounds the
// clients' connections in number and time, holds requests against the protocol,
// hands them to the dispatcher and writes the answers.
package httpfront

import (
	"bytes"
	"errors"
	"io"
	"math"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"otterspring/balance"
	"otterspring/internal/httpupstream"
	"otterspring/internal/sidecar/dispatch"
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
	wholeIn    = 2700 * time.Millisecond
	bodyRate   = 16 << 10 // bytes that earn a second
	writeStall = 5 * time.Second
	// An answer may be under way to the client for answerWay. A connection that is
	// closed meanwhile lingers until the client ends its side, for so long and
	// over so many bytes at most.
	answerWay   = time.Second
	lingerFor   = 500 * time.Millisecond
	lingerBytes = 256 << 10
	sweepClient = 100 * time.Millisecond
	headBuffer  = 8 << 10
	writeBuffer = 4 << 10
)

var ownPid = strconv.Itoa(os.Getpid())

// quietLog drops the server's lines: they tell of what single clients did.
type quietLog struct{}

func (quietLog) Printf(string, ...any) {}

// handle takes one request and answers it.
func (f *Front) handle(ctx *fasthttp.RequestCtx) {
	cc := ctx.Conn().(*clientConn)
	f.serveOne(ctx, cc)
	if f.draining.Load() || cc.refused {
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
	case errors.Is(err, dispatch.ErrBudgetExhausted):
		busy(ctx, err.Error())
	case errors.Is(err, dispatch.ErrBodyTooLarge):
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
func (f *Front) sayUp(ctx *fasthttp.RequestCtx) {
	if f.draining.Load() {
		reject(ctx, fasthttp.StatusServiceUnavailable, "draining")
	}
	ctx.Response.Header.Set("X-Pid", ownPid)
	ctx.Response.Header.Set("X-Reloads", f.set.Reloads())
	if f.set.Listed != nil {
		ctx.Response.Header.Set("X-List", f.set.Listed())
	}
	if f.set.Configured != nil {
		version, age := f.set.Configured()
		ctx.Response.Header.Set("X-Configuration", version)
		if age != "" {
			ctx.Response.Header.Set("X-Configuration-Age", age)
		}
	}
}

func (f *Front) serveOne(ctx *fasthttp.RequestCtx, cc *clientConn) {
	h := &ctx.Request.Header
	uri := h.RequestURI()
	if ctx.IsGet() && (string(uri) == readyPath || bytes.HasPrefix(uri, []byte(readyPath+"?"))) {
		f.sayUp(ctx)
		return
	}
	q, bad := f.check(h)
	switch {
	case bad != nil:
		unread(ctx, bad.code, bad.why)
		return
	case cc.refused:
		busy(ctx, "too many connections")
		return
	}
	bodiless := ctx.IsGet()
	c := &dispatch.Request{ID: q.ID, Conn: cc, Done: make(chan struct{})}
	if length := h.ContentLength(); !bodiless && length != 0 && ctx.RequestBodyStream() != nil {
		c.Body = dispatch.NewBody(f.bodies, &cc.body)
		defer c.Body.Release()
		if err := c.Body.Fill(ctx.RequestBodyStream(), length); err != nil {
			rejectBody(ctx, err)
			return
		}
	}
	c.Native = requestHead(h, c.Body.Len(), bodiless)
	cc.busy()
	if !f.eng.Submit(c, q) {
		unread(ctx, fasthttp.StatusConflict, "X-Request-Id: in use or used before")
		return
	}
	if gone := cc.await(c.Done); gone {
		f.eng.ClientDisconnected(c)
		unread(ctx, fasthttp.StatusBadRequest, "client gone")
		return
	}
	// The dispatcher wakes the front and then ends its reads, both behind its mutex:
	// past it, no deadline is still to come that would end the next request.
	f.eng.Barrier()
	cc.SetReadDeadline(time.Time{})
	respond(ctx, &c.Result)
}

// respond writes the answer that the module decided on.
func respond(ctx *fasthttp.RequestCtx, a *dispatch.Result) {
	switch {
	case a.Kind == balance.Refuse:
		reject(ctx, fasthttp.StatusServiceUnavailable, "refused")
		if a.RetryAfter > 0 {
			ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64))
		}
	case a.Kind == balance.Fail:
		reject(ctx, fasthttp.StatusBadGateway, "failed")
	default:
		if r, ok := a.Response.(*httpupstream.Response); ok {
			copyHead(r.HTTP(), &ctx.Response)
		} else if t := a.Response.ContentType(); len(t) > 0 {
			ctx.Response.Header.SetContentTypeBytes(t)
		}
		ctx.Response.SetBody(a.Response.Body())
		a.Response.Release()
	}
}

// copyHead passes the head of an upstream's answer on, but for what is of that
// connection.
func copyHead(r, to *fasthttp.Response) {
	r.Header.CopyTo(&to.Header)
	for _, name := range []string{"Connection", "Keep-Alive", "Trailer", "X-Not-Run"} {
		to.Header.Del(name)
	}
	to.Header.ResetConnectionClose()
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
	front   *Front
	refused bool        // over the share: its request is turned away
	muted   bool        // nothing is written any more
	left    bool        // the client has ended its sending
	over    atomic.Bool // the drain reads no further than what is there

	phase atomic.Int32
	asked atomic.Bool  // a whole request has come on it
	began atomic.Int64 // time of a request's first byte; of the connect for the first request
	last  atomic.Int64 // time of the turn to idle
	body  atomic.Int64 // bytes of the body that have come
	wrote atomic.Int64 // time at which the write under way began, 0 for none
	told  int64        // time of the last write's end, 0 for none
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
	n, err := c.Conn.Read(p)
	c.left = c.left || err == io.EOF
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
	c.told = c.front.now()
	return n, err
}

// Close closes the connection and makes room for another. Closing over bytes that
// were not read, or that come a moment later, resets it, and takes with it an answer
// that the client has not read: where one may be under way, only the sending is
// ended here, and the rest is left to linger.
func (c *clientConn) Close() error {
	answering := c.told > 0 && c.front.now()-c.told < answerWay.Milliseconds()
	if answering && !c.left && c.phase.Swap(phaseClosing) != phaseClosing && c.front.lingers.take() {
		if c.Conn.(*net.TCPConn).CloseWrite() == nil {
			go c.linger()
			return nil
		}
		c.front.lingers.give()
	}
	return c.close()
}

func (c *clientConn) close() error {
	err := c.Conn.Close()
	c.once.Do(func() { c.front.remove(c) })
	return err
}

// linger reads on, for nobody, until the client has ended its side too, and closes
// then. Time and bytes are bounded: a client that goes on sending is reset.
func (c *clientConn) linger() {
	defer c.front.lingers.give()
	defer c.close()
	c.SetReadDeadline(time.Now().Add(c.front.LingerFor))
	var p [512]byte
	for n := 0; n < lingerBytes; {
		k, err := c.Conn.Read(p[:])
		if err != nil {
			return
		}
		n += k
	}
}

// places bounds how many connections linger.
type places struct{ left atomic.Int32 }

func (p *places) take() bool {
	if p.left.Add(-1) < 0 {
		p.give()
		return false
	}
	return true
}

func (p *places) give() { p.left.Add(1) }

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
// meanwhile watches the connection: true if the client has left. A deadline that
// was set for an earlier phase, by a drain or a sweep that saw the connection a
// moment ago, ends nothing.
func (c *clientConn) await(done <-chan struct{}) bool {
	for {
		err := c.raw.Read(func(fd uintptr) bool {
			c.left = hasLeft(int(fd))
			return c.left
		})
		if c.left || errors.Is(err, net.ErrClosed) {
			return true
		}
		c.SetReadDeadline(time.Time{})
		select {
		case <-done:
			return false
		default:
		}
	}
}

// hasLeft tells whether the peer has closed, reset or shut its side of a
// connection. It reads nothing: what came ahead of that stays for the next
// request, and hides the end from a read. An end of sending alone counts, for it
// looks like a close until something is written, which would be the answer.
func hasLeft(fd int) bool {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case err == syscall.EAGAIN || err == syscall.EINTR:
		return false
	case n <= 0 || err != nil:
		return true
	}
	p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err = unix.Poll(p, 0)
	return err == nil && n > 0 && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// Settings are a front's bounds and what it tells.
type Settings struct {
	Serve, Refuse int           // connections that are served, and further ones that are only turned away
	Spare         int           // idle connections that asked, kept at most
	Bodies        int           // bytes of all request bodies together
	Reloads       func() string // what /up says of reloads
	Listed        func() string // and of the list: its version; nil says nothing
	// Configured is the same of the configuration of services, with its age in seconds,
	// empty for not known; nil says nothing.
	Configured func() (version, age string)
}

// Front is the listener, and knows every connection of the application.
type Front struct {
	eng           *dispatch.Dispatcher
	set           Settings
	srv           fasthttp.Server
	bodies        *dispatch.Budget
	ln            *net.TCPListener
	paused        bool // nothing is accepted; behind mu
	ended         bool // nor ever will be; behind mu
	serve, refuse int
	spare         int // idle connections that asked, kept at most
	lingers       places
	// LingerFor bounds how long a connection that was closed with its answer is read
	// on. It is set before the first connection.
	LingerFor time.Duration
	start     time.Time
	draining  atomic.Bool

	mu    sync.Mutex
	freed sync.Cond
	conns map[*clientConn]bool
}

// New returns a front on a listener, whose it is from now on. Nothing is accepted
// before Serve.
func New(ln *net.TCPListener, eng *dispatch.Dispatcher, set Settings) *Front {
	f := &Front{
		eng: eng, set: set, bodies: dispatch.NewBudget(set.Bodies), ln: ln, conns: map[*clientConn]bool{}, start: time.Now(),
		serve: set.Serve, refuse: set.Refuse, spare: set.Spare,
	}
	f.freed.L = &f.mu
	f.lingers.left.Store(int32(max(1, set.Refuse/2))) // the other half stays free for who must be refused
	f.LingerFor = lingerFor
	f.srv = fasthttp.Server{
		Handler:                      f.handle,
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
	return f
}

// Serve serves until the listener is closed.
func (f *Front) Serve() error { return f.srv.Serve(f) }

// Listener is the listening socket, for a process that takes over.
func (f *Front) Listener() *net.TCPListener { return f.ln }

// Budget is that of the request bodies, for fronts that share it.
func (f *Front) Budget() *dispatch.Budget { return f.bodies }

// Bodies is how many bytes request bodies may still take.
func (f *Front) Bodies() int { return f.bodies.Available() }

// SetDraining has every further answer end its connection, or no longer.
func (f *Front) SetDraining(on bool) { f.draining.Store(on) }

// Draining tells whether it is set.
func (f *Front) Draining() bool { return f.draining.Load() }

// Idle counts the idle connections that have asked.
func (f *Front) Idle() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for c := range f.conns {
		if c.phase.Load() == phaseIdle && c.asked.Load() {
			n++
		}
	}
	return n
}

// CutIdle closes the connections on which nothing has begun.
func (f *Front) CutIdle() { f.cut(phaseIdle) }

// CutReading closes those on which no whole request has come, too.
func (f *Front) CutReading() { f.cut(phaseReading) }

// now is the time in milliseconds, never 0.
func (f *Front) now() int64 { return time.Since(f.start).Milliseconds() + 1 }

// Accept takes the next connection. Over the share, the one that nobody misses
// most is closed for it; if there is none, its request is refused at once, and
// when even those are many, connections wait in the kernel.
func (f *Front) Accept() (net.Conn, error) {
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
func (f *Front) Close() error   { return f.ln.Close() }
func (f *Front) Addr() net.Addr { return f.ln.Addr() }

// evict gives up the idle connection that is missed least, and tells whether
// there was one. It guards against all that fills the share without asking:
// connects that say nothing, clients that ask once and stay, pools larger than
// they need to be. Those that never asked go first, whatever their age, since
// a burst of them is as young as the usual client's connection behind it. One
// with unread bytes stays. It might harm clients that connect long before they
// ask; they find a closed connection and open another.
func (f *Front) evict() bool {
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
func (f *Front) thin() {
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
	c.SetReadDeadline(dispatch.PastDeadline)
	return true
}

func (f *Front) remove(c *clientConn) {
	f.mu.Lock()
	delete(f.conns, c)
	f.mu.Unlock()
	f.freed.Broadcast()
}

// cut ends the reading of the connections that are in no later phase.
func (f *Front) cut(latest int32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if c.phase.Load() <= latest {
			c.over.Store(true)
			c.SetReadDeadline(dispatch.PastDeadline)
		}
	}
}

// Shut stops listening. What the kernel has accepted by now is taken first:
// closing the listener would reset it.
func (f *Front) Shut() {
	f.mu.Lock()
	f.ended = true
	f.mu.Unlock()
	f.freed.Broadcast()
	f.ln.SetDeadline(time.Now().Add(20 * time.Millisecond))
	time.Sleep(20 * time.Millisecond)
	f.ln.Close()
}

// Leave stops listening where another process has the same socket: what waits
// in its queue is that one's, and closing this descriptor resets nothing.
func (f *Front) Leave() {
	f.mu.Lock()
	f.ended = true
	f.mu.Unlock()
	f.freed.Broadcast()
	f.ln.Close()
}

// Pause accepts no more, with the socket open: connections wait in the kernel.
func (f *Front) Pause() {
	f.mu.Lock()
	f.paused = true
	f.mu.Unlock()
	f.ln.SetDeadline(dispatch.PastDeadline)
}

// Resume accepts again.
func (f *Front) Resume() {
	f.mu.Lock()
	f.paused = false
	f.mu.Unlock()
	f.ln.SetDeadline(time.Time{})
	f.freed.Broadcast()
}

// Abandon closes what is left, whatever its phase.
func (f *Front) Abandon() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.SetDeadline(dispatch.PastDeadline)
	}
	return len(f.conns)
}

// Empty tells whether no connection is left.
func (f *Front) Empty() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns) == 0
}

// Sweep cuts off the clients that have used up their time: with nothing asked,
// with half a request, or with an answer that they do not read.
func (f *Front) Sweep(stop <-chan struct{}) {
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
				c.SetReadDeadline(dispatch.PastDeadline)
			}
			if w := c.wrote.Load(); w > 0 && now-w > writeStall.Milliseconds() {
				c.SetWriteDeadline(dispatch.PastDeadline)
			}
		}
		f.mu.Unlock()
	}
}
