// Package httpupstream carries out attempts over HTTP/1.1: a pool of connections
// to the upstreams, one request at a time on each, and what the end of each says
// of whether the request has run.
package httpupstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"otterspring/balance"
	"otterspring/internal/sidecar/dispatch"
	"otterspring/internal/wire"
)

const (
	// idleMargin is how long before an upstream closes an idle connection the
	// pool stops using it: a request that crosses the close may have run.
	idleMargin = 400 * time.Millisecond
	sweepEvery = 500 * time.Millisecond
	// restFor is how long a connection rests before its next use. Bytes that do
	// not belong to its last answer, and the news that the upstream closed it,
	// come right behind the answer: by then they show.
	restFor = 5 * time.Millisecond
	// resetAfter is how long the end of sending goes ahead of the reset of a
	// connection that is given up.
	resetAfter = 50 * time.Millisecond
	// mostAnswer is the protocol's bound on a body.
	mostAnswer = 64 << 10
	// stall is how long an upstream may pause within an answer. It guards
	// against heads and bodies that never end and lengths that are too large:
	// without it the request would wait until its time is up, and the upstream
	// be held to hang. It might harm one that sends the head long before the
	// body: that answer counts as failed.
	stall = 300 * time.Millisecond
	// lastByteAfter is how long a request's last byte is held back for news of
	// the connection: of the breaks that the first bytes bring, half show within
	// 0.1 ms and 19 in 20 within 0.3 ms. It might harm upstreams that wait for a
	// whole request while they hold something scarce, and it covers too little
	// where the way there takes longer: then the break counts as it did before.
	lastByteAfter = time.Millisecond
	readBuffer    = 8 << 10 // also the largest response head
	interim       = 8       // 1xx responses before the real one
)

// host is an upstream at one address since one start. One that moved or
// started anew is another host.
type host struct {
	pool    *Pool
	addr    string
	idle    []*conn // oldest first
	retired bool
}

// conn is a connection to an upstream.
type conn struct {
	net.Conn
	raw    syscall.RawConn
	br     *bufio.Reader
	host   *host
	idleAt time.Time
	rested time.Duration // before its present use; 0 for a new one
	probe  [1]byte
	arm    func() bool // for the attempt's answer; nil while nothing has come
	begun  bool        // the answer has begun
}

// newConn wraps a connection that is up.
func newConn(nc net.Conn, h *host) (*conn, error) {
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		nc.Close()
		return nil, err
	}
	c := &conn{Conn: nc, raw: raw, host: h}
	c.br = bufio.NewReaderSize(c, readBuffer)
	return c, nil
}

// Read reads an answer. Once it has begun, each further read is bounded.
func (c *conn) Read(p []byte) (int, error) {
	if c.begun && !c.arm() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.begun = true
	}
	return n, err
}

// quiet tells whether nothing has come on an idle connection. A FIN means that
// the upstream has closed it, and data that it is out of step.
func (c *conn) quiet() bool {
	quiet := false
	err := c.raw.Read(func(fd uintptr) bool {
		_, err := syscall.Read(int(fd), c.probe[:])
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// Pool keeps the idle connections to the upstreams and counts all of them.
type Pool struct {
	mu    sync.Mutex
	hosts map[*host]bool // those with idle connections
	open  int
	most  int
	idle  time.Duration // the longest rest, by the settings
	stale staleness     // and by what was seen
	dial  time.Duration
	// Hold is for how long a request's last byte is held back. It is set before
	// the first attempt.
	Hold time.Duration
}

// New returns a pool of at most so many connections.
func New(set wire.Conns, most int) *Pool {
	return &Pool{hosts: map[*host]bool{}, most: most, idle: max(set.Idle-idleMargin, set.Idle/2), dial: set.Dial, Hold: lastByteAfter}
}

// Counts are how many connections are open, and how many of them idle.
func (p *Pool) Counts() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for h := range p.hosts {
		idle += len(h.idle)
	}
	return p.open, idle
}

// take returns the idle connection to h that was used last, of those that have
// rested; one that has not only if rested is false. It may return nil.
func (p *Pool) take(h *host, rested bool) *conn {
	for {
		p.mu.Lock()
		now := time.Now()
		n := len(h.idle) - 1
		for rested && n >= 0 && now.Sub(h.idle[n].idleAt) < restFor {
			n--
		}
		if n < 0 || now.Sub(h.idle[n].idleAt) >= p.stale.limit(now, p.idle) {
			p.mu.Unlock()
			return nil
		}
		c := h.idle[n]
		c.rested = now.Sub(c.idleAt)
		p.remove(h, n)
		p.mu.Unlock()
		if c.quiet() {
			return c
		}
		p.discard(c)
	}
}

// remove takes the i-th idle connection out. The caller holds the mutex.
func (p *Pool) remove(h *host, i int) {
	copy(h.idle[i:], h.idle[i+1:])
	h.idle[len(h.idle)-1] = nil
	h.idle = h.idle[:len(h.idle)-1]
	if len(h.idle) == 0 {
		delete(p.hosts, h)
	}
}

// put returns a connection whose attempt ended clean.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	h := c.host
	if h.retired {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	c.idleAt, c.arm, c.begun = time.Now(), nil, false
	h.idle = append(h.idle, c)
	p.hosts[h] = true
	p.mu.Unlock()
}

// learn takes down how the use of a connection ended, if it was a rested one.
func (p *Pool) learn(rested time.Duration, dead bool) {
	if rested == 0 {
		return
	}
	p.mu.Lock()
	p.stale.learn(time.Now(), rested, dead)
	p.mu.Unlock()
}

// discard closes a connection.
func (p *Pool) discard(c *conn) {
	c.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// abandon gives up a connection whose attempt is not over at the upstream: its
// sending ends at once, which stops the work there, and a moment later it is
// reset, which drops what the kernel has not delivered. A plain close goes on
// sending that for minutes where the way is cut, and a request that was given
// up, answered, even run elsewhere since, would run when the way is whole again.
// It guards also against upstreams that stop reading for a while. It might harm
// where the way takes longer than the moment: the upstream sees a reset then.
func (p *Pool) abandon(c *conn) {
	tcp := c.Conn.(*net.TCPConn)
	if tcp.CloseWrite() != nil {
		p.discard(c) // it has ended already
		return
	}
	time.AfterFunc(resetAfter, func() {
		tcp.SetLinger(0)
		p.discard(c)
	})
}

// reserve makes room for one more connection, if need be by closing the one
// that has been idle longest.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open < p.most {
		p.open++
		return true
	}
	var oldest *host
	for h := range p.hosts {
		if oldest == nil || h.idle[0].idleAt.Before(oldest.idle[0].idleAt) {
			oldest = h
		}
	}
	if oldest == nil {
		return false
	}
	c := oldest.idle[0]
	p.remove(oldest, 0)
	c.Close()
	return true
}

// drop closes the idle connections that stale picks.
func (p *Pool) drop(h *host, stale func(*conn) bool) {
	var closing []*conn
	p.mu.Lock()
	for i := 0; i < len(h.idle); {
		if c := h.idle[i]; stale(c) {
			p.remove(h, i)
			closing = append(closing, c)
		} else {
			i++
		}
	}
	p.mu.Unlock()
	for _, c := range closing {
		p.discard(c)
	}
}

func always(*conn) bool { return true }

// closeIdle closes the idle connections to h.
func (p *Pool) closeIdle(h *host) { p.drop(h, always) }

// retire closes them and keeps no further ones.
func (p *Pool) retire(h *host) {
	p.mu.Lock()
	h.retired = true
	p.mu.Unlock()
	p.drop(h, always)
}

// Sweep closes the connections that have been idle too long, until stop.
func (p *Pool) Sweep(stop <-chan struct{}) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-tick.C:
			p.mu.Lock()
			limit := p.stale.limit(now, p.idle)
			hosts := make([]*host, 0, len(p.hosts))
			for h := range p.hosts {
				hosts = append(hosts, h)
			}
			p.mu.Unlock()
			for _, h := range hosts {
				p.drop(h, func(c *conn) bool { return now.Sub(c.idleAt) >= limit })
			}
		}
	}
}

// Open makes an upstream: the dispatcher's way to one at an address. Nothing is
// connected yet.
func (p *Pool) Open(addr string, _ int64) dispatch.Upstream { return &host{pool: p, addr: addr} }

// CloseIdle closes the idle connections.
func (h *host) CloseIdle() { h.pool.closeIdle(h) }

// Retire closes them and keeps no further ones.
func (h *host) Retire() { h.pool.retire(h) }

// attempt is an attempt over HTTP/1.1.
type attempt struct {
	*dispatch.Attempt
	host *host
}

// connect returns a kept connection or opens one. If there is none it says how
// the attempt ended: for want of the sidecar's own descriptors, which says
// nothing of the upstream, or because the upstream is not there.
func (a *attempt) connect() (*conn, balance.Status) {
	p := a.host.pool
	if c := p.take(a.host, true); c != nil {
		return c, 0
	}
	if !p.reserve() {
		if c := p.take(a.host, false); c != nil {
			return c, 0
		}
		return nil, balance.NeverSent
	}
	c, err := a.dial()
	if err == nil {
		return c, 0
	}
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
	if ownFault(err) {
		return nil, balance.NeverSent
	}
	return nil, balance.ConnectFailed
}

// dial opens a connection within the time for it.
func (a *attempt) dial() (*conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), a.host.pool.dial)
	defer cancel()
	if !a.SetDialCancel(cancel) {
		return nil, context.Canceled
	}
	d := net.Dialer{KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp", a.host.addr)
	if err != nil {
		return nil, err
	}
	return newConn(nc, a.host)
}

// ownFault tells whether a dial failed for want of something on this machine:
// descriptors, memory, ports. That says nothing of the upstream, and putting it out
// would leave fewer to serve just when little is left.
func ownFault(err error) bool {
	for _, own := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, own) {
			return true
		}
	}
	return false
}

// Run carries out an attempt.
func (h *host) Run(at *dispatch.Attempt) {
	a := &attempt{at, h}
	c, status := a.connect()
	if c == nil {
		a.Finish(status, nil)
		return
	}
	left, ok := a.Attach(c)
	if !ok {
		// Nothing was written on it: put would take one that has rested for
		// fresh, though the upstream closes it as soon as ever.
		if c.rested > 0 {
			h.pool.discard(c)
		} else {
			h.pool.put(c)
		}
		return
	}
	c.arm = func() bool { return a.SetReadTimeout(stall) }
	a.receive(c, a.write(c, left))
}

// write writes the request, its last byte only once the rest has stood for
// lastByteAfter on a connection that shows no end. It returns false where that
// byte surely was not written: the request has never run then. A break that
// comes with the first bytes is common: a connection that the upstream closed
// or forgot, a middlebox that lost its state, an upstream that turns the
// connection away; bytes that come unasked mean that it is out of step.
func (a *attempt) write(c *conn, left time.Duration) bool {
	front, last := a.text(left)
	if _, err := front.WriteTo(c.Conn); err != nil {
		return false
	}
	if !a.SetReadTimeout(a.host.pool.Hold) {
		return false
	}
	if _, err := c.br.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	if !a.Commit() {
		return false
	}
	// Of one byte the kernel takes all or, with an error, nothing.
	n, _ := c.Write(last)
	return n > 0
}

// text is the request as it is written: all but its last byte, and that one.
func (a *attempt) text(left time.Duration) (front net.Buffers, last []byte) {
	form, ok := a.Request.Native.(Head)
	if !ok {
		form = headOf(a.Request.Native.Neutral(), a.Request.Body.Len())
	}
	text := make([]byte, 0, len(form)+64)
	text = append(text, form...)
	text = append(text, "X-Deadline: "...)
	text = strconv.AppendFloat(text, max(left.Seconds(), 0.001), 'f', 4, 64)
	text = append(text, "\r\n\r\n"...)
	front = append(net.Buffers{text}, a.Request.Body.Chunks()...)
	end := len(front) - 1
	for len(front[end]) == 0 {
		end--
	}
	cut := len(front[end]) - 1
	last = front[end][cut:]
	front[end] = front[end][:cut]
	return front[:end+1], last
}

// receive reads the answer and reports the attempt's end; written is false
// where the request's last byte did not go out. Whatever is wrong with an
// answer, the request may have run, and the connection is of no further use.
func (a *attempt) receive(c *conn, written bool) {
	if !written {
		if a.Finish(balance.Unwritten, nil) {
			a.host.pool.learn(c.rested, true)
		}
		a.host.pool.abandon(c)
		return
	}
	resp := fasthttp.AcquireResponse()
	err := readAnswer(resp, c.br)
	// The framing tells where an answer ends. What is there behind it is not
	// the client's, and nothing on that connection can be told apart any more.
	clean := err == nil && !resp.ConnectionClose() && c.br.Buffered() == 0
	status := answerStatus(resp, err)
	if status != balance.OK {
		fasthttp.ReleaseResponse(resp)
		resp = nil
	}
	var answer dispatch.Response
	if resp != nil {
		answer = (*Response)(resp)
	}
	ok := a.Finish(status, answer)
	if ok {
		a.host.pool.learn(c.rested, err != nil && !c.begun)
	}
	// A server that holds as many connections as it takes turns away whatever comes
	// on one more: one whose first request was turned away is of no use.
	over := status == balance.Full && c.rested == 0
	switch {
	case clean && ok && !over:
		c.SetReadDeadline(time.Time{})
		a.host.pool.put(c)
	case err != nil:
		a.host.pool.abandon(c)
	default:
		a.host.pool.discard(c)
	}
}

// Head is the rendering of a call that HTTP/1.1's front makes and its upstreams
// send: the request's head, but for X-Deadline and the empty line.
type Head []byte

// Neutral reads the head back, for upstreams that speak something else.
func (h Head) Neutral() dispatch.Message {
	var m dispatch.Message
	for i, line := range strings.Split(string(h), "\r\n") {
		if i == 0 {
			method, rest, _ := strings.Cut(line, " ")
			m.Target, _, _ = strings.Cut(rest, " ")
			m.Safe = method == fasthttp.MethodGet
			continue
		}
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "x-request-id":
			m.ID = value
		case "idempotency-key":
			m.IdempotencyKey = value
		case "x-tenant":
			m.Tenant = value
		case "x-key":
			m.AffinityKey = value
		case "content-type":
			m.ContentType = value
		case "x-retry":
			m.IsRetry = value == "1"
		}
	}
	return m
}

// headOf is the head of a request that came over another protocol. Its fields
// were held against the protocol by their front: none has a line end.
func headOf(m dispatch.Message, size int) Head {
	b := make([]byte, 0, 512)
	method := fasthttp.MethodPost
	if m.Safe {
		method = fasthttp.MethodGet
	}
	b = fmt.Appendf(b, "%s %s HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: %s\r\n", method, m.Target, m.ID)
	for _, f := range []struct{ name, value string }{{"Idempotency-Key", m.IdempotencyKey}, {"X-Tenant", m.Tenant}, {"X-Key", m.AffinityKey}, {"Content-Type", m.ContentType}} {
		if f.value != "" {
			b = fmt.Appendf(b, "%s: %s\r\n", f.name, f.value)
		}
	}
	if m.IsRetry {
		b = append(b, "X-Retry: 1\r\n"...)
	}
	if !m.Safe {
		b = fmt.Appendf(b, "Content-Length: %d\r\n", size)
	}
	return b
}

// Response is an answer that came over HTTP/1.1.
type Response fasthttp.Response

// HTTP is the answer with its head.
func (r *Response) HTTP() *fasthttp.Response { return (*fasthttp.Response)(r) }

// Body, ContentType and Release are what every protocol's answers have.
func (r *Response) Body() []byte { return (*fasthttp.Response)(r).Body() }
func (r *Response) ContentType() []byte {
	return (*fasthttp.Response)(r).Header.Peek("Content-Type")
}
func (r *Response) Release() { fasthttp.ReleaseResponse((*fasthttp.Response)(r)) }

// answerStatus is how an attempt ended with that answer, or that error.
func answerStatus(resp *fasthttp.Response, err error) balance.Status {
	var spoilt *spoiltError
	switch {
	case errors.As(err, &spoilt):
		return balance.Error
	case err != nil:
		return balance.Reset
	}
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
		return balance.OK
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusGatewayTimeout:
		if string(resp.Header.Peek("X-Not-Run")) == "1" {
			return balance.Full
		}
	}
	return balance.Error
}

// spoiltError is an answer that came and can't be used. The upstream lives and
// has answered: that counts as an error, not as a reset.
type spoiltError struct{ why string }

func (e *spoiltError) Error() string { return "spoilt answer: " + e.why }

// readAnswer reads a whole answer, within the protocol's bounds: one whose
// length can't be known, or that is too long, is spoilt. io errors before its
// first byte are returned as they are.
func readAnswer(resp *fasthttp.Response, br *bufio.Reader) error {
	if _, err := br.Peek(1); err != nil {
		return err
	}
	if err := readHead(resp, br); err != nil {
		return spoiltBy(err)
	}
	switch n := resp.Header.ContentLength(); {
	case resp.StatusCode() != fasthttp.StatusOK:
		// Its head says all; a body that is not there yet is not waited for.
		if n < 0 || n != br.Buffered() {
			resp.SetConnectionClose()
			return nil
		}
		br.Discard(n)
		return nil
	case n == -2:
		return &spoiltError{"no length"}
	case n > mostAnswer:
		return &spoiltError{"too long"}
	}
	if err := resp.ReadBody(br, mostAnswer); err != nil {
		return spoiltBy(err)
	}
	return nil
}

// spoiltBy tells an answer that is wrong from one that broke off with its
// connection, which the upstream's end explains.
func spoiltBy(err error) error {
	var op *net.OpError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &spoiltError{"it does not go on"}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &op):
		return err
	}
	return &spoiltError{err.Error()}
}

// readHead reads the head of the response that is not an interim one.
func readHead(resp *fasthttp.Response, br *bufio.Reader) error {
	for range interim {
		if err := startsRight(br); err != nil {
			return err
		}
		if err := resp.Header.Read(br); err != nil {
			return err
		}
		if code := resp.StatusCode(); code < 100 || code > 199 || code == fasthttp.StatusSwitchingProtocols {
			return nil
		}
	}
	return errors.New("too many interim responses")
}

// startsRight looks at a head's first bytes as they come: noise may well have
// no line end to wait for.
func startsRight(br *bufio.Reader) error {
	const start = "HTTP/1."
	for n := 1; n <= len(start); n++ {
		b, err := br.Peek(n)
		if err != nil {
			return err
		}
		if string(b) != start[:n] {
			return errors.New("not HTTP/1")
		}
	}
	return nil
}
