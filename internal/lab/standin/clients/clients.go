package clients

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"otterspring/internal/lab/invariant"
	"otterspring/internal/lab/standin/callserver"
	"otterspring/internal/lab/standin/coapclient"
)

// Config configures the clients of one sidecar.
type Config struct {
	Instance            string
	Addr                string
	Classes             []Class
	Tenants             []Tenant
	Retries             int           // number of retries after the first attempt
	AttemptTimeoutShare float64       // time-out of an attempt as a share of the deadline; 0 selects 1
	MaxConns            int           // 0 selects 300
	BodySize            int           // bytes of a POST request's body
	IdleTimeout         time.Duration // maximum idle time of a connection that is to be reused; 0 selects 2 s
	// EarlyAbandonShare is the share of attempts that are abandoned after 10 to 50 % of
	// their time-out and retried at once.
	EarlyAbandonShare float64
	OmitRetryMark     bool // don't mark retries as such
	Seed              uint64
	// CoAP is the sidecar's CoAP address. If it is empty, the clients use HTTP. Devices is the
	// number of CoAP endpoints; 0 selects 8.
	CoAP    string
	Devices int
	NoEcho  bool // the devices don't support the Echo option
	// ReadPastDeadline is how long, over HTTP, an answer is still read after the deadline.
	// Such an answer counts as timed out and is not reported as late. If ReadPastDeadline is
	// 0, the connection is closed at the deadline.
	ReadPastDeadline time.Duration
	// ConfirmKills is called after a connection ended without an answer, before the checker
	// decides whether the request may be resent with its ID. It returns once the checker knows
	// of all earlier kills of processes of the instance. It is nil if kills are announced.
	ConfirmKills func()
}

// Sample is the result of one arrival, over all its attempts.
type Sample struct {
	At       time.Duration // time at which the arrival was due, on the checker's clock
	Latency  time.Duration // from At to the last byte of the answer, or to the end of the last attempt
	Class    int
	Tenant   int  // index into the tenants, from 1; 0 for none
	OK       bool // served
	Attempts int
	Outcome  Outcome // of the last attempt
	Ending   Ending
}

// Outcome classifies how an arrival ended.
type Outcome uint8

// Outcomes.
const (
	OutcomeServed  Outcome = iota
	OutcomeRefused         // rejected by the sidecar
	OutcomeFailed          // an error answer that does not guarantee that nothing was executed, or a broken connection
	OutcomeNone            // time-out, or no connection
)

// ClassifyOutcome returns the outcome of an attempt.
func ClassifyOutcome(served, refused, answered bool) Outcome {
	switch {
	case served:
		return OutcomeServed
	case refused:
		return OutcomeRefused
	case answered:
		return OutcomeFailed
	}
	return OutcomeNone
}

// Clients sends requests to one sidecar and records the results.
type Clients struct {
	cfg Config
	log *invariant.Checker

	mu      sync.Mutex
	rng     *rand.Rand
	idle    []*clientConn
	open    int
	samples []Sample

	refused        atomic.Int64 // connections refused
	overflow       atomic.Int64 // arrivals that exceeded the connection limit
	lateStarts     atomic.Int64 // arrivals that started more than lateStartThreshold after they were due
	conns          atomic.Int64 // connections opened
	closedNewConns atomic.Int64 // new connections that ended before any byte of an answer
	ids            atomic.Int64
	devices        []*coapclient.Client
	serial         int64 // makes request IDs unique across Clients of the process
	wg             sync.WaitGroup
}

var lastSerial atomic.Int64

// New returns clients that have sent nothing yet.
func New(cfg Config, log *invariant.Checker) *Clients {
	if cfg.MaxConns == 0 {
		cfg.MaxConns = 300
	}
	if cfg.AttemptTimeoutShare == 0 {
		cfg.AttemptTimeoutShare = 1
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = 2 * time.Second
	}
	return &Clients{serial: lastSerial.Add(1), cfg: cfg, log: log, rng: rand.New(rand.NewPCG(cfg.Seed, 7))}
}

// RefusedConns returns the number of refused connections.
func (c *Clients) RefusedConns() int { return int(c.refused.Load()) }

// Overflow returns the number of arrivals that found MaxConns connections in use. They count
// as requests that were not served.
func (c *Clients) Overflow() int { return int(c.overflow.Load()) }

// lateStartThreshold is the delay beyond which an arrival counts as started late. Late starts
// show that the clients or their machine can't generate the load.
const lateStartThreshold = 50 * time.Millisecond

// LateStarts returns the number of arrivals that started late.
func (c *Clients) LateStarts() int { return int(c.lateStarts.Load()) }

// ClosedNewConns returns the number of requests whose new connection ended before any byte of
// an answer.
func (c *Clients) ClosedNewConns() int { return int(c.closedNewConns.Load()) }

// Conns returns the number of connections opened.
func (c *Clients) Conns() int { return int(c.conns.Load()) }

// Samples returns the results of the finished arrivals.
func (c *Clients) Samples() []Sample {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.samples)
}

// Instance returns the name of the sidecar that the clients call.
func (c *Clients) Instance() string { return c.cfg.Instance }

// Run sends the requests of plan, starting now, and returns when all of them are answered or
// abandoned. When ctx ends, Run starts no further arrivals.
func (c *Clients) Run(ctx context.Context, plan []Arrival) {
	if err := c.openDevices(); err != nil {
		c.overflow.Add(int64(len(plan))) // counted as overflow, which makes the run void
		return
	}
	defer c.closeDevices()
	start := time.Now()
	origin := c.log.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for _, a := range plan {
		if d := a.At - time.Since(start); d > 0 {
			timer.Reset(d)
			select {
			case <-timer.C:
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			break
		}
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			c.serveArrival(a, origin+a.At)
		}()
	}
	c.wg.Wait()
	c.closeIdle()
}

// result is how one attempt ended.
type result int

const (
	served result = iota
	refused
	failed           // an answer that doesn't tell whether the request was processed
	closedUnanswered // connection closed before any byte of the answer
	resetUnanswered  // connection reset before any byte of the answer
	truncated        // connection ended within the answer
	timedOut         // no complete answer in time
	notConnected     // no connection; the request was not sent
	connLimitReached // MaxConns connections are in use
)

// serveArrival attempts a request until the request is served or its deadline or its retries
// are exhausted.
func (c *Clients) serveArrival(a Arrival, due time.Duration) {
	class := &c.cfg.Classes[a.Class]
	end := due + class.Deadline
	if c.log.Now() > due+lateStartThreshold {
		c.lateStarts.Add(1)
	}
	op := fmt.Sprintf("%s-%d-%d", c.cfg.Instance, c.serial, c.ids.Add(1))
	s := Sample{At: due, Class: a.Class, Tenant: a.Tenant, Outcome: OutcomeNone, Ending: NeverSent}
	retries, share := class.RetryPolicy(c.cfg.Retries, c.cfg.AttemptTimeoutShare)
	for attempt := 0; ; attempt++ {
		s.Attempts++
		left := end - c.log.Now()
		wait := min(left, time.Duration(share*float64(class.Deadline)))
		early := c.abandonShare()
		if early > 0 {
			wait = time.Duration(early * float64(wait))
		}
		if wait <= 0 {
			break
		}
		readPast := c.cfg.ReadPastDeadline
		if early > 0 {
			readPast = 0 // an abandoned attempt closes its connection
		}
		got, advice := c.attempt(a, class, op, attempt, wait, readPast)
		s.OK = got == served
		s.Ending = got.ending()
		s.Outcome = ClassifyOutcome(s.OK, got == refused, got == failed || got.broken())
		retry := got == refused || got == notConnected ||
			(got == failed || got == timedOut) && class.Effect == invariant.Idempotent ||
			got.broken() && class.Effect != invariant.NonIdempotent
		if !retry || attempt >= retries {
			break
		}
		switch {
		case early > 0 && got == timedOut:
			advice = time.Millisecond
		case advice == 0:
			advice = c.backoff(attempt)
		}
		if c.log.Now()+advice >= end {
			break
		}
		time.Sleep(advice)
	}
	s.Latency = c.log.Now() - due
	c.mu.Lock()
	c.samples = append(c.samples, s)
	c.mu.Unlock()
}

// abandonShare draws whether an attempt is abandoned early. It returns the share of the
// attempt's time-out after which the attempt is abandoned, or 0 if the attempt is not
// abandoned early.
func (c *Clients) abandonShare() float64 {
	if c.cfg.EarlyAbandonShare <= 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rng.Float64() >= c.cfg.EarlyAbandonShare {
		return 0
	}
	return 0.1 + 0.4*c.rng.Float64()
}

// backoff returns a random pause before a retry. The pause is 10 to 80 ms after the first
// attempt. It is doubled after each further attempt, up to a factor of 16.
func (c *Clients) backoff(attempt int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration((10 + 70*c.rng.Float64()) * float64(time.Millisecond) * float64(int(1)<<min(attempt, 4)))
}

// attempt sends a request once. When its connection breaks and the checker allows it,
// attempt resends the request with the same ID on a new connection.
func (c *Clients) attempt(a Arrival, class *Class, op string, attempt int, wait, readPast time.Duration) (result, time.Duration) {
	id := op + "." + strconv.Itoa(attempt)
	if c.cfg.CoAP != "" {
		return c.attemptCoAP(a, class, id, op, attempt, wait)
	}
	until := time.Now().Add(wait)
	cc, got := c.acquireConn()
	if cc == nil {
		return got, 0
	}
	for {
		kept := cc.reused
		left := time.Until(until)
		if left <= 0 {
			// The time-out passed before there was a connection, so nothing is sent.
			c.close(cc)
			c.log.Abandoned(id, c.log.Now()+left)
			return notConnected, 0
		}
		c.log.RequestSent(id, c.cfg.Instance, class.Effect, c.log.Now(), left)
		got, advice, begun := c.exchange(cc, a, class, id, op, attempt, until, readPast)
		if !got.broken() {
			return got, advice
		}
		if !kept && !begun {
			c.closedNewConns.Add(1)
		}
		brokeAt := c.log.Now()
		if c.cfg.ConfirmKills != nil {
			c.cfg.ConfirmKills()
		}
		if !c.log.ConnectionBroke(id, kept && !begun, brokeAt) {
			return got, 0
		}
		if cc, got = c.dial(); cc == nil {
			c.log.Abandoned(id, c.log.Now()+min(0, time.Until(until)))
			return got, 0
		}
	}
}

// exchange writes one request and reads its answer. begun reports whether any byte of the
// answer arrived. An answer that arrives after the time "until" counts as timed out, even if
// it is still read.
func (c *Clients) exchange(cc *clientConn, a Arrival, class *Class, id, op string, attempt int, until time.Time, readPast time.Duration) (got result, advice time.Duration, begun bool) {
	cc.nc.SetDeadline(until.Add(readPast))
	// The client stops waiting at end, even if its goroutine is scheduled later.
	end := c.log.Now() + time.Until(until)
	abandon := func() { c.log.Abandoned(id, min(end+readPast, c.log.Now())) }
	if _, err := cc.nc.Write(c.requestText(a, class, id, op, attempt, time.Until(until))); err != nil {
		c.close(cc)
		if isTimeout(err) {
			abandon()
			return timedOut, 0, false
		}
		return brokenBeforeAnswer(err), 0, false
	}
	if _, err := cc.br.Peek(1); err != nil {
		c.close(cc)
		if isTimeout(err) {
			abandon()
			return timedOut, 0, false
		}
		return brokenBeforeAnswer(err), 0, false
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := resp.ReadLimitBody(cc.br, 64<<10); err != nil {
		c.close(cc)
		if isTimeout(err) {
			abandon()
			return timedOut, 0, true
		}
		return truncated, 0, true
	}
	at := c.log.Now()
	if readPast == 0 {
		at = min(end, at) // the answer was read before the connection's deadline
	}
	if at <= end {
		got, advice = c.recordAnswer(id, resp, at)
	} else {
		c.log.Abandoned(id, end)
		got = timedOut
	}
	if resp.ConnectionClose() || cc.br.Buffered() > 0 {
		c.close(cc)
	} else {
		c.releaseConn(cc)
	}
	return got, advice, true
}

// recordAnswer reports a complete answer to the checker. It returns the result of the attempt
// and the time in the Retry-After header, or 0 if there is none.
func (c *Clients) recordAnswer(id string, resp *fasthttp.Response, at time.Duration) (got result, advice time.Duration) {
	switch resp.StatusCode() {
	case 200:
		c.log.Answered(id, invariant.Served, callserver.IsBodyFor(id, string(resp.Body())), at)
		return served, 0
	case 429, 503:
		c.log.Answered(id, invariant.Rejected, false, at)
		if s, err := strconv.ParseFloat(string(resp.Header.Peek("Retry-After")), 64); err == nil && s >= 0 && s <= 60 {
			advice = time.Duration(s * float64(time.Second))
		}
		return refused, advice
	}
	c.log.Answered(id, invariant.Failed, false, at)
	return failed, 0
}

// requestText returns the encoded HTTP request.
func (c *Clients) requestText(a Arrival, class *Class, id, op string, attempt int, left time.Duration) []byte {
	b := make([]byte, 0, 512)
	method := "POST"
	if class.Effect == invariant.Idempotent {
		method = "GET"
	}
	b = fmt.Appendf(b, "%s /%s HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: %s\r\nX-Deadline: %.3f\r\n", method, class.Name, id, left.Seconds())
	if a.Key != "" {
		b = fmt.Appendf(b, "X-Key: %s\r\n", a.Key)
	}
	if a.Tenant > 0 {
		b = fmt.Appendf(b, "X-Tenant: %s\r\n", c.cfg.Tenants[a.Tenant-1].Name)
	}
	if attempt > 0 && !c.cfg.OmitRetryMark {
		b = append(b, "X-Retry: 1\r\n"...)
	}
	if class.Effect == invariant.IdempotentWithKey {
		b = fmt.Appendf(b, "Idempotency-Key: %s\r\n", op)
	}
	if method == "POST" {
		b = fmt.Appendf(b, "Content-Length: %d\r\n\r\n", c.cfg.BodySize)
		return append(b, strings.Repeat("b", c.cfg.BodySize)...)
	}
	return append(b, "\r\n"...)
}

// clientConn is a connection to the sidecar.
type clientConn struct {
	nc     net.Conn
	br     *bufio.Reader
	reused bool // the connection has carried a request before
	last   time.Time
}

// acquireConn returns the most recently used idle connection, or a new one.
func (c *Clients) acquireConn() (*clientConn, result) {
	c.mu.Lock()
	for len(c.idle) > 0 {
		cc := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if time.Since(cc.last) < c.cfg.IdleTimeout {
			c.mu.Unlock()
			return cc, served
		}
		c.open--
		cc.nc.Close()
	}
	c.mu.Unlock()
	return c.dial()
}

// dial opens a connection, unless MaxConns are open.
func (c *Clients) dial() (*clientConn, result) {
	c.mu.Lock()
	if c.open >= c.cfg.MaxConns {
		c.mu.Unlock()
		c.overflow.Add(1)
		return nil, connLimitReached
	}
	c.open++
	c.mu.Unlock()
	nc, err := net.DialTimeout("tcp", c.cfg.Addr, time.Second)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			c.refused.Add(1)
		}
		c.mu.Lock()
		c.open--
		c.mu.Unlock()
		return nil, notConnected
	}
	c.conns.Add(1)
	return &clientConn{nc: nc, br: bufio.NewReaderSize(nc, 2<<10)}, served
}

func (c *Clients) releaseConn(cc *clientConn) {
	cc.reused, cc.last = true, time.Now()
	c.mu.Lock()
	c.idle = append(c.idle, cc)
	c.mu.Unlock()
}

func (c *Clients) close(cc *clientConn) {
	cc.nc.Close()
	c.mu.Lock()
	c.open--
	c.mu.Unlock()
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}
