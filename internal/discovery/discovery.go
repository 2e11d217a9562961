// Package discovery follows the platform's list of upstreams and hands every
// change to the dispatcher.
package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"

	"otterspring/balance"
	"otterspring/internal/pace"
	"otterspring/internal/sidecar/dispatch"
)

const (
	// watchFor is how long a watch waits. Each call costs the one discovery
	// service as much as some dozens of lines, and it serves few hundred a
	// second for all sidecars, so watches are long. They are not longer, since
	// a watch that was cut off in silence is only noticed at its end.
	watchFor = 20 * time.Second
	// watchPushed is the same where lists are pushed: the agent is on this machine and
	// a call costs nothing. What a watch that has fallen silent misses counts as told
	// 6 s after that, and this wait, answerWithin and retryPushed lie within them.
	watchPushed = 2 * time.Second
	// answerWithin is how much longer than its wait a watch may take. What one that has
	// fallen silent misses counts as told 2 s after the wait is over: the call that
	// makes good for it needs the rest of that.
	answerWithin = 800 * time.Millisecond
	// wholeWithin is how long a call that does not wait may take to begin its
	// answer. Discovery works through its calls in turn and turns away by itself
	// what waits for some seconds: given up before that, a call would be made anew
	// at the end of the queue.
	wholeWithin = 3200 * time.Millisecond
	// restWithin is how long the rest of an answer may take after its first bytes.
	// One that stops half way would hold up the news until a watch's own time is
	// over, which is long. It might harm where a list takes as long to come; the
	// call fails then and is made again.
	restWithin = 2 * time.Second
	// crossing is how long an answer may still come for a call that is cut because
	// discovery moves: what is written to the sidecar counts as told to it.
	crossing   = 100 * time.Millisecond
	dialWithin = time.Second
	mostList   = 8 << 20 // bytes of a list
	readBuffer = 8 << 10
	// rest is the least time of a watch that brings nothing, so that an agent
	// which does not wait is not called without end. A watch goes on if it is
	// called again within 200 ms.
	rest = 100 * time.Millisecond
	// retryPushed is the pause after a failed call where lists are pushed and
	// the module does not ask.
	retryPushed = time.Second
	// none stands for the version where no list is held: the next call asks for the
	// whole one. 0 is a version like others.
	none = -1
)

var states = map[string]balance.ServerState{"active": balance.Ready, "leaving": balance.Draining, "left": balance.Gone}

// Parse reads a list strictly: what is not understood may be any nonsense,
// and a list half read could drop upstreams that are there.
func Parse(v *fastjson.Value, schemes ...string) (dispatch.EndpointList, error) {
	if v.Type() != fastjson.TypeObject {
		return dispatch.EndpointList{}, fmt.Errorf("list: expected an object, found %s", v.Type())
	}
	index, err := number(v, "index")
	if err != nil {
		return dispatch.EndpointList{}, err
	}
	full := v.Get("snapshot")
	if full == nil || full.Type() != fastjson.TypeTrue && full.Type() != fastjson.TypeFalse {
		return dispatch.EndpointList{}, errors.New("snapshot: expected true or false")
	}
	ends := v.Get("endpoints")
	if ends == nil || ends.Type() != fastjson.TypeArray {
		return dispatch.EndpointList{}, errors.New("endpoints: expected an array")
	}
	l := dispatch.EndpointList{Version: index, Snapshot: full.Type() == fastjson.TypeTrue}
	for i, v := range ends.GetArray() {
		n, err := parseEntry(v, schemes)
		if err != nil {
			return dispatch.EndpointList{}, fmt.Errorf("endpoint %d: %w", i, err)
		}
		l.Endpoints = append(l.Endpoints, n)
	}
	return l, nil
}

func parseEntry(v *fastjson.Value, schemes []string) (dispatch.Endpoint, error) {
	n := dispatch.Endpoint{Address: string(v.GetStringBytes("address"))}
	n.ID, n.Zone, n.Cell = string(v.GetStringBytes("name")), string(v.GetStringBytes("zone")), v.GetInt("group")
	if n.ID == "" {
		return n, errors.New("name: missing")
	}
	state, ok := states[string(v.GetStringBytes("status"))]
	if !ok {
		return n, fmt.Errorf("status: unknown %q", v.GetStringBytes("status"))
	}
	n.State = state
	if _, err := netip.ParseAddrPort(bare(n.Address, schemes)); err != nil && state != balance.Gone {
		return n, fmt.Errorf("address: expected an IP address and port, found %q", n.Address)
	}
	if v.Exists("since_ms") {
		var err error
		if n.StartedMillis, err = number(v, "since_ms"); err != nil {
			return n, err
		}
	}
	return n, nil
}

// bare is an address without the scheme of another protocol that is used here.
func bare(addr string, schemes []string) string {
	for _, s := range schemes {
		if rest, ok := strings.CutPrefix(addr, s); ok {
			return rest
		}
	}
	return addr
}

// number reads a whole number that is not negative.
func number(v *fastjson.Value, key string) (int64, error) {
	if f := v.Get(key); f != nil {
		if n, err := f.Int64(); err == nil && n >= 0 {
			return n, nil
		}
	}
	return 0, fmt.Errorf("%s: expected a whole number", key)
}

// Follower follows the list of upstreams.
type Follower struct {
	eng     *dispatch.Dispatcher
	pushed  bool // lists come without being asked for
	schemes []string
	index   int64
	asked   chan struct{}
	conn    *callConn
	br      *bufio.Reader
	parser  fastjson.Parser

	proxy         string        // a local proxy that relays the list; empty for none
	source        string        // the discovery that has to have assigned that list's versions
	failoverDelay time.Duration // how long after the proxy has failed addr is watched
	last          int           // moves as far as calls have followed them

	watchFor time.Duration // how long a watch waits; a test's may be shorter
	crossing time.Duration // the constant; a test's on a slow machine is longer

	mu    sync.Mutex
	addr  string
	moves int
	cut   context.CancelFunc // ends the calls to addr
}

// New returns a Follower of the service at addr that has been told everything up
// to the version index. pushed says that lists come without being asked for;
// schemes may stand before the addresses of upstreams that speak another protocol.
func New(addr string, pushed bool, index int64, schemes ...string) *Follower {
	if index == 0 {
		index = none // what a configuration without a list says, too
	}
	d := &Follower{addr: addr, pushed: pushed, index: index, schemes: schemes, asked: make(chan struct{}, 1), watchFor: watchFor, crossing: crossing}
	if pushed {
		d.watchFor = watchPushed
	}
	return d
}

// Move turns to another address. The list stays; the next call asks for the
// whole one, since the versions of another service may count anew. It never
// blocks, and a later move overtakes one that has not succeeded yet.
func (d *Follower) Move(addr string) {
	d.mu.Lock()
	moved := addr != d.addr
	if moved {
		d.addr = addr
		d.moves++
		if d.cut != nil {
			d.cut()
		}
	}
	d.mu.Unlock()
	if moved {
		d.Ask()
	}
}

// turn returns the present address, how often it changed, and a context that
// ends with the next change.
func (d *Follower) turn(ctx context.Context) (addr string, moves int, until context.Context, done context.CancelFunc) {
	d.mu.Lock()
	defer d.mu.Unlock()
	until, done = context.WithCancel(ctx)
	d.cut = done
	return d.addr, d.moves, until, done
}

// Ask notes that the module wants the list; it never blocks.
func (d *Follower) Ask() {
	select {
	case d.asked <- struct{}{}:
	default:
	}
}

// unask takes back what was asked.
func (d *Follower) unask() {
	select {
	case <-d.asked:
	default:
	}
}

// Run hands the dispatcher every list until ctx ends: it calls discovery when the
// module asks, and watches on until a call fails.
func (d *Follower) Run(ctx context.Context, eng *dispatch.Dispatcher) {
	d.eng = eng
	defer d.hangUp()
	if d.proxy == "" {
		d.far(ctx, 0)
		return
	}
	d.followProxy(ctx)
}

// far follows discovery itself until ctx ends. tries are how many calls are made
// without the module's asking at first.
func (d *Follower) far(ctx context.Context, tries int) {
	stop := context.AfterFunc(ctx, d.Ask)
	defer stop()
	rng := rand.New(rand.NewPCG(rand.Uint64(), 0))
	for {
		if !d.pushed && tries == 0 {
			<-d.asked
		} else {
			d.unask() // the call that follows is the answer to it
		}
		if ctx.Err() != nil {
			return
		}
		addr, n, until, done := d.turn(ctx)
		if n != d.last {
			d.last, tries, d.index = n, pace.Tries, none
			d.hangUp()
		}
		heard, err := d.watch(until, addr, n)
		moved := until.Err() != nil
		done()
		d.hangUp()
		if heard {
			tries = 0
		}
		silent := tries == 0 && d.index > none && errors.Is(err, os.ErrDeadlineExceeded)
		switch {
		case ctx.Err() != nil:
			return
		case moved:
			// The call was cut for the new address: discovery has not failed.
			tries = pace.Tries
			continue
		case silent:
			// Not at the module's pace either: what the watch missed soon counts as told.
			tries = 1
			pause(ctx, pace.Again(rng, 1))
			continue
		case tries > 1:
			// After a move the first calls are made again soon, not at the module's
			// pace: what the new address has to tell soon counts as told.
			tries--
			pause(ctx, pace.Again(rng, pace.Tries-tries))
			continue
		}
		tries = 0
		slog.Warn("discovery failed", "why", err)
		d.eng.UpdateEndpoints(balance.ListFailed, dispatch.EndpointList{}, n)
		if d.pushed {
			pause(ctx, retryPushed)
		}
	}
}

// pause waits, but not past the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// watch hands every change to the dispatcher until a call fails. It tells whether
// any call before that was answered.
func (d *Follower) watch(ctx context.Context, addr string, moves int) (heard bool, err error) {
	for {
		began := time.Now()
		l, _, err := d.call(ctx, addr, d.watchFor, answerWithin)
		if err != nil {
			return heard, err
		}
		kind := balance.ListChange
		if l.Snapshot {
			kind = balance.ListFull
		} else if l.Version < d.index {
			err := fmt.Errorf("a change of version %d after version %d", l.Version, d.index)
			d.index = none // ask for the whole list next
			return heard, err
		}
		heard = true
		news := l.Version != d.index
		d.index = l.Version
		// An answer that crossed a move is of the old address, and as good as told:
		// a drain in it holds, whatever the new one knows of it yet.
		d.eng.UpdateEndpoints(kind, l, moves)
		if err := ctx.Err(); err != nil {
			return heard, err
		}
		if !news && time.Since(began) < rest {
			pause(ctx, rest)
		}
	}
}

// callConn is a connection to discovery on which one call at a time is bounded.
type callConn struct {
	net.Conn
	mu  sync.Mutex
	end time.Time // nothing of the call lasts longer
	cut bool      // the end does not move back any more
}

// begin bounds a new call.
func (c *callConn) begin(end time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end, c.cut = end, false
	c.SetDeadline(end)
}

// begun bounds the rest of an answer whose first bytes have come.
func (c *callConn) begun(end time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.cut {
		c.end = end
	}
	c.SetDeadline(c.end)
}

// cross ends the call soon: only what is on its way may still come.
func (c *callConn) cross(end time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = true
	if end.Before(c.end) {
		c.end = end
	}
	c.SetDeadline(c.end)
}

// hangUp closes the connection, if there is one.
func (d *Follower) hangUp() {
	if d.conn != nil {
		d.conn.Close()
		d.conn = nil
	}
}

// call makes one call. Every step of it is bounded in time: discovery may fall
// silent with the connection up.
// It tells whose versions the list bears where that is said.
func (d *Follower) call(ctx context.Context, addr string, watch, within time.Duration) (list dispatch.EndpointList, source string, err error) {
	path, wait := "/discovery/hosts", wholeWithin
	if d.index > none {
		wait = watch + within
		path = fmt.Sprintf("%s?since=%d&timeout_ms=%d", path, d.index, watch.Milliseconds())
	}
	if d.conn != nil && d.br.Buffered() > 0 {
		d.hangUp()
	}
	if d.conn == nil {
		dialer := net.Dialer{Timeout: dialWithin, KeepAlive: -1}
		conn, err := dialer.DialContext(ctx, "tcp", addr)
		if err != nil {
			return list, "", err
		}
		d.conn = &callConn{Conn: conn}
		d.br = bufio.NewReaderSize(d.conn, readBuffer)
	}
	conn := d.conn
	conn.begin(time.Now().Add(wait))
	stop := context.AfterFunc(ctx, func() { conn.cross(time.Now().Add(d.crossing)) })
	defer stop()
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, addr); err != nil {
		return list, "", err
	}
	if _, err := d.br.Peek(1); err != nil {
		return list, "", fmt.Errorf("waiting for the answer: %w", err)
	}
	conn.begun(time.Now().Add(restWithin))
	var resp fasthttp.Response
	if err := resp.ReadLimitBody(d.br, mostList); err != nil {
		return list, "", fmt.Errorf("reading the answer: %w", err)
	}
	if resp.ConnectionClose() || resp.Header.ContentLength() == -2 {
		d.hangUp()
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return list, "", fmt.Errorf("answered %d", resp.StatusCode())
	}
	v, err := d.parser.ParseBytes(resp.Body())
	if err != nil {
		return list, "", fmt.Errorf("not JSON: %w", err)
	}
	list, err = Parse(v, d.schemes...)
	return list, string(resp.Header.Peek(sourceHeader)), err
}

// ParseText reads a list in discovery's form.
func ParseText(text []byte, schemes ...string) (dispatch.EndpointList, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return dispatch.EndpointList{}, fmt.Errorf("not JSON: %w", err)
	}
	return Parse(v, schemes...)
}

// Text is a list in discovery's form.
func Text(l dispatch.EndpointList) []byte {
	var a fastjson.Arena
	ends := a.NewArray()
	for i, n := range l.Endpoints {
		e := a.NewObject()
		e.Set("name", a.NewString(n.ID))
		e.Set("address", a.NewString(n.Address))
		e.Set("zone", a.NewString(n.Zone))
		e.Set("group", a.NewNumberInt(n.Cell))
		e.Set("status", a.NewString(statusWords[n.State]))
		e.Set("since_ms", a.NewNumberString(strconv.FormatInt(n.StartedMillis, 10)))
		ends.SetArrayItem(i, e)
	}
	out := a.NewObject()
	out.Set("index", a.NewNumberString(strconv.FormatInt(l.Version, 10)))
	out.Set("snapshot", a.NewTrue())
	out.Set("endpoints", ends)
	return out.MarshalTo(nil)
}

var statusWords = map[balance.ServerState]string{balance.Ready: "active", balance.Draining: "leaving", balance.Gone: "left"}
