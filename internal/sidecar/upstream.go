package sidecar

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"pipittrestle/balance"
	"pipittrestle/internal/wire"
)

const (
	// idleMargin is how long before an upstream closes an idle connection the
	// pool stops using it: a request that crosses the close may have run.
	idleMargin = 400 * time.Millisecond
	sweepEvery = 500 * time.Millisecond
	// buffered is the largest answer that is held whole before any of it goes
	// to the client; a larger one is passed on as it comes.
	buffered = 64 << 10
	// stall is how long an upstream may pause in an answer under way. It
	// pauses 0.1 s at most, and the client must hear of a cut one.
	stall      = 2 * time.Second
	readBuffer = 8 << 10 // also the largest response head
	interim    = 8       // 1xx responses before the real one
)

// host is an upstream at one address since one start. One that moved or
// started anew is another host.
type host struct {
	addr    string
	since   int64
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
	probe  [1]byte
}

// newConn wraps a connection that is up.
func newConn(nc net.Conn, h *host) (*conn, error) {
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		nc.Close()
		return nil, err
	}
	return &conn{Conn: nc, raw: raw, br: bufio.NewReaderSize(nc, readBuffer), host: h}, nil
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

// pool keeps the idle connections to the upstreams and counts all of them.
type pool struct {
	mu    sync.Mutex
	hosts map[*host]bool // those with idle connections
	open  int
	most  int
	idle  time.Duration
	dial  time.Duration
}

func newPool(set wire.Conns, most int) *pool {
	return &pool{hosts: map[*host]bool{}, most: most, idle: max(set.Idle-idleMargin, set.Idle/2), dial: set.Dial}
}

// take returns an idle connection to h, the one used last, or nil.
func (p *pool) take(h *host) *conn {
	for {
		p.mu.Lock()
		n := len(h.idle)
		if n == 0 || time.Since(h.idle[n-1].idleAt) >= p.idle {
			p.mu.Unlock()
			return nil
		}
		c := h.idle[n-1]
		p.remove(h, n-1)
		p.mu.Unlock()
		if c.quiet() {
			return c
		}
		p.discard(c)
	}
}

// remove takes the i-th idle connection out. The caller holds the mutex.
func (p *pool) remove(h *host, i int) {
	copy(h.idle[i:], h.idle[i+1:])
	h.idle[len(h.idle)-1] = nil
	h.idle = h.idle[:len(h.idle)-1]
	if len(h.idle) == 0 {
		delete(p.hosts, h)
	}
}

// put returns a connection whose attempt ended clean.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	h := c.host
	if h.retired {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	c.idleAt = time.Now()
	h.idle = append(h.idle, c)
	p.hosts[h] = true
	p.mu.Unlock()
}

// discard closes a connection.
func (p *pool) discard(c *conn) {
	c.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// reserve makes room for one more connection, if need be by closing the one
// that has been idle longest.
func (p *pool) reserve() bool {
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
func (p *pool) drop(h *host, stale func(*conn) bool) {
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
func (p *pool) closeIdle(h *host) { p.drop(h, always) }

// retire closes them and keeps no further ones.
func (p *pool) retire(h *host) {
	p.mu.Lock()
	h.retired = true
	p.mu.Unlock()
	p.drop(h, always)
}

// sweep closes the connections that have been idle too long, until stop.
func (p *pool) sweep(stop <-chan struct{}) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-tick.C:
			p.mu.Lock()
			hosts := make([]*host, 0, len(p.hosts))
			for h := range p.hosts {
				hosts = append(hosts, h)
			}
			p.mu.Unlock()
			for _, h := range hosts {
				p.drop(h, func(c *conn) bool { return now.Sub(c.idleAt) >= p.idle })
			}
		}
	}
}

// connect returns a kept connection or opens one; nil if none comes up.
func (a *attempt) connect() *conn {
	p := a.eng.pool
	if c := p.take(a.host); c != nil {
		return c
	}
	if !p.reserve() {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), p.dial)
	defer cancel()
	if a.eng.dialing(a, cancel) {
		d := net.Dialer{KeepAlive: -1}
		if nc, err := d.DialContext(ctx, "tcp", a.host.addr); err == nil {
			if c, err := newConn(nc, a.host); err == nil {
				return c
			}
		}
	}
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
	return nil
}

// run carries out the attempt and reports its end, unless the engine has ended
// it before.
func (a *attempt) run() {
	defer a.call.body.release()
	c := a.connect()
	if c == nil {
		a.eng.end(a, balance.ConnectFailed, 0, nil)
		return
	}
	large := a.call.body.len() > buffered
	left, ok := a.eng.attach(a, c, !large)
	if !ok {
		a.eng.pool.put(c) // nothing was written on it
		return
	}
	head := make([]byte, 0, len(a.call.head)+64)
	head = append(head, a.call.head...)
	head = append(head, "X-Deadline: "...)
	head = strconv.AppendFloat(head, max(left.Seconds(), 0.001), 'f', 4, 64)
	head = append(head, "\r\n\r\n"...)
	if large {
		a.exchangeLarge(c, head)
		return
	}
	bufs := net.Buffers{head}
	if a.call.body != nil {
		bufs = append(bufs, a.call.body.chunks...)
	}
	var err error
	if len(bufs) == 1 {
		_, err = c.Write(head)
	} else {
		_, err = bufs.WriteTo(c.Conn)
	}
	a.receive(c, func() bool { return err == nil })
}

// exchangeLarge writes a body of many pieces while it waits for the answer: an
// upstream may turn the request away before it has read all, and its answer
// must not be missed behind a write that blocks.
func (a *attempt) exchangeLarge(c *conn, head []byte) {
	done := make(chan bool, 1)
	go func() {
		chunks := a.call.body.chunks
		if _, err := c.Write(head); err != nil {
			done <- false
			return
		}
		for i, chunk := range chunks {
			if i == len(chunks)-1 {
				if _, ok := a.eng.attach(a, c, true); !ok {
					done <- false
					return
				}
			}
			if _, err := c.Write(chunk); err != nil {
				done <- false
				return
			}
		}
		done <- true
	}()
	var once sync.Once
	var complete bool
	written := func() bool {
		once.Do(func() {
			select {
			case complete = <-done:
			default:
				c.SetWriteDeadline(past)
				complete = <-done
			}
		})
		return complete
	}
	a.receive(c, written)
	written() // the body's pieces are given back after this
}

// receive reads the response and reports the attempt's end. written stops the
// writing, if it still goes on, and tells whether the last byte went out.
func (a *attempt) receive(c *conn, written func() bool) {
	e := a.eng
	resp := fasthttp.AcquireResponse()
	if err := readHead(resp, c.br); err != nil {
		fasthttp.ReleaseResponse(resp)
		// Only a request whose last byte was not written is known not to have
		// run.
		status := balance.Reset
		if !written() {
			status = balance.ConnectFailed
		}
		e.end(a, status, 0, nil)
		e.pool.discard(c)
		return
	}
	if code := resp.StatusCode(); code != fasthttp.StatusOK {
		status := balance.Error
		if (code == fasthttp.StatusServiceUnavailable || code == fasthttp.StatusGatewayTimeout) &&
			string(resp.Header.Peek("X-Not-Run")) == "1" {
			status = balance.Full
		}
		n := resp.Header.ContentLength()
		clean := e.end(a, status, 0, nil) && written() && !resp.ConnectionClose() && n >= 0 && n == c.br.Buffered()
		fasthttp.ReleaseResponse(resp)
		if clean {
			c.br.Discard(n)
			e.pool.put(c)
		} else {
			e.pool.discard(c)
		}
		return
	}
	first, whole, err := readBody(resp, c.br)
	if err != nil {
		written()
		e.end(a, balance.Reset, 0, nil)
		fasthttp.ReleaseResponse(resp)
		e.pool.discard(c)
		return
	}
	reusable := written() && !resp.ConnectionClose()
	if whole {
		reusable = reusable && resp.Header.ContentLength() != -2 && c.br.Buffered() == 0
		r := &response{Response: resp}
		ok := e.end(a, balance.OK, 0, r)
		switch {
		case ok && reusable:
			e.pool.put(c)
		default:
			e.pool.discard(c)
		}
		return
	}
	rest := &relay{attempt: a, conn: c, first: first, src: resp.BodyStream(), reusable: reusable}
	rest.took = rest.elapsed()
	a.call.body.hold()
	if !e.stream(a, &response{Response: resp, rest: rest}) {
		rest.Close()
	}
}

// readHead reads the head of the response that is not an interim one.
func readHead(resp *fasthttp.Response, br *bufio.Reader) error {
	for range interim {
		if err := resp.Header.Read(br); err != nil {
			return err
		}
		if code := resp.StatusCode(); code < 100 || code > 199 || code == fasthttp.StatusSwitchingProtocols {
			return nil
		}
	}
	return errors.New("too many interim responses")
}

// readBody reads a body that is to be buffered into resp. Of a larger one it
// returns the first bytes, and resp has the rest as a stream.
func readBody(resp *fasthttp.Response, br *bufio.Reader) (first []byte, whole bool, err error) {
	n := resp.Header.ContentLength()
	if n >= 0 && n <= buffered {
		return nil, true, resp.ReadBody(br, 0)
	}
	resp.StreamBody = true
	if err := resp.ReadBody(br, 0); err != nil {
		return nil, false, err
	}
	first = make([]byte, 4<<10, buffered+1)
	if n > buffered {
		k, err := resp.BodyStream().Read(first)
		return first[:k], false, err
	}
	first = first[:0]
	for len(first) <= buffered {
		if len(first) == cap(first) {
			first = append(first, 0)[:len(first)]
		}
		k, err := resp.BodyStream().Read(first[len(first):cap(first)])
		first = first[:len(first)+k]
		if err == io.EOF {
			resp.CloseBodyStream()
			resp.SetBodyRaw(first)
			return nil, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return first, false, nil
}

// response is an upstream's 200 answer, whole or with the rest to come.
type response struct {
	*fasthttp.Response
	rest *relay
}

// relay passes a large answer on as it comes. Its Close reports the attempt's
// end; one cut short leaves the client with fewer bytes than announced.
type relay struct {
	attempt  *attempt
	conn     *conn
	first    []byte
	src      io.Reader
	took     time.Duration
	reusable bool
	whole    bool
	broken   bool
	closed   bool
}

func (r *relay) elapsed() time.Duration {
	e := r.attempt.eng
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.now() - r.attempt.sent
}

// Read reads on, but waits for the upstream only so long: one that hangs in
// the middle must not hold the client.
func (r *relay) Read(p []byte) (int, error) {
	if len(r.first) > 0 {
		n := copy(p, r.first)
		r.first = r.first[n:]
		return n, nil
	}
	if r.whole {
		return 0, io.EOF
	}
	r.conn.SetReadDeadline(time.Now().Add(stall))
	n, err := r.src.Read(p)
	if err == io.EOF {
		r.whole = true
	} else if err != nil {
		r.broken = true
	}
	return n, err
}

// WriteTo is Read in larger pieces than the server's own buffer.
func (r *relay) WriteTo(w io.Writer) (int64, error) {
	buf := make([]byte, 32<<10)
	var total int64
	for {
		n, err := r.Read(buf)
		if n > 0 {
			m, werr := w.Write(buf[:n])
			total += int64(m)
			if werr != nil {
				return total, werr
			}
		}
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return total, err
		}
	}
}

// Close ends the attempt.
func (r *relay) Close() error {
	if r.closed {
		return nil
	}
	r.closed = true
	status := balance.Cancelled
	switch {
	case r.whole:
		status = balance.OK
	case r.broken:
		status = balance.Reset
	}
	a := r.attempt
	ok := a.eng.end(a, status, r.took, nil)
	if ok && r.whole && r.reusable && r.conn.br.Buffered() == 0 {
		r.conn.SetReadDeadline(time.Time{})
		a.eng.pool.put(r.conn)
	} else {
		a.eng.pool.discard(r.conn)
	}
	a.call.body.release()
	return nil
}
