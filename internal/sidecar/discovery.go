package sidecar

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"

	"pipittrestle/balance"
)

const (
	// watchFor is how long a watch waits. Each call costs the one discovery
	// service as much as some dozens of lines, and it serves few hundred a
	// second for all sidecars, so watches are long. They are not longer, since
	// a watch that was cut off in silence is only noticed at its end.
	watchFor = 20 * time.Second
	// answerWithin is how much longer than its wait a call may take: by then
	// what discovery had to tell counts as told.
	answerWithin = 2 * time.Second
	wholeWithin  = 6 * time.Second // the same for a call that does not wait
	dialWithin   = time.Second
	mostList     = 8 << 20 // bytes of a list
	// rest is the least time of a watch that brings nothing, so that an agent
	// which does not wait is not called without end. A watch goes on if it is
	// called again within 200 ms.
	rest = 100 * time.Millisecond
	// retryPushed is the pause after a failed call where lists are pushed and
	// the module does not ask.
	retryPushed = time.Second
)

// list is what discovery tells.
type list struct {
	index   int64
	full    bool
	entries []entry
}

// entry is one upstream of a list.
type entry struct {
	balance.Server // Started is set by the engine
	addr           string
	since          int64 // Unix milliseconds, 0 for long ago
}

var states = map[string]balance.ServerState{"active": balance.Ready, "leaving": balance.Draining, "left": balance.Gone}

// parseList reads a list strictly: what is not understood may be any nonsense,
// and a list half read could drop upstreams that are there.
func parseList(v *fastjson.Value) (list, error) {
	if v.Type() != fastjson.TypeObject {
		return list{}, fmt.Errorf("list: expected an object, found %s", v.Type())
	}
	index, err := number(v, "index")
	if err != nil {
		return list{}, err
	}
	full := v.Get("snapshot")
	if full == nil || full.Type() != fastjson.TypeTrue && full.Type() != fastjson.TypeFalse {
		return list{}, errors.New("snapshot: expected true or false")
	}
	ends := v.Get("endpoints")
	if ends == nil || ends.Type() != fastjson.TypeArray {
		return list{}, errors.New("endpoints: expected an array")
	}
	l := list{index: index, full: full.Type() == fastjson.TypeTrue}
	for i, v := range ends.GetArray() {
		n, err := parseEntry(v)
		if err != nil {
			return list{}, fmt.Errorf("endpoint %d: %w", i, err)
		}
		l.entries = append(l.entries, n)
	}
	return l, nil
}

func parseEntry(v *fastjson.Value) (entry, error) {
	n := entry{addr: string(v.GetStringBytes("address"))}
	n.ID, n.Zone, n.Cell = string(v.GetStringBytes("name")), string(v.GetStringBytes("zone")), v.GetInt("group")
	if n.ID == "" {
		return n, errors.New("name: missing")
	}
	state, ok := states[string(v.GetStringBytes("status"))]
	if !ok {
		return n, fmt.Errorf("status: unknown %q", v.GetStringBytes("status"))
	}
	n.State = state
	if _, err := netip.ParseAddrPort(n.addr); err != nil && state != balance.Gone {
		return n, fmt.Errorf("address: expected an IP address and port, found %q", n.addr)
	}
	if v.Exists("since_ms") {
		var err error
		if n.since, err = number(v, "since_ms"); err != nil {
			return n, err
		}
	}
	return n, nil
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

// discovery follows the list of upstreams.
type discovery struct {
	eng    *engine
	addr   string
	pushed bool // lists come without being asked for
	index  int64
	asked  chan struct{}
	conn   net.Conn
	br     *bufio.Reader
	parser fastjson.Parser
}

// ask notes that the module wants the list; it never blocks.
func (d *discovery) ask() {
	select {
	case d.asked <- struct{}{}:
	default:
	}
}

// run calls discovery when the module asks, and watches on until a call fails.
func (d *discovery) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, d.ask)
	defer stop()
	for {
		if !d.pushed {
			<-d.asked
		}
		if ctx.Err() != nil {
			return
		}
		err := d.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		log.Printf("discovery: %v", err)
		d.hangUp()
		d.eng.members(balance.ListFailed, nil)
		if d.pushed {
			select {
			case <-ctx.Done():
			case <-time.After(retryPushed):
			}
		}
	}
}

// watch hands every change to the engine until a call fails.
func (d *discovery) watch(ctx context.Context) error {
	for {
		began := time.Now()
		l, err := d.call(ctx)
		if err != nil {
			return err
		}
		kind := balance.ListChange
		if l.full {
			kind = balance.ListFull
		} else if l.index < d.index {
			err := fmt.Errorf("a change of version %d after version %d", l.index, d.index)
			d.index = 0 // ask for the whole list next
			return err
		}
		d.index = l.index
		d.eng.members(kind, l.entries)
		if len(l.entries) == 0 && time.Since(began) < rest {
			time.Sleep(rest)
		}
	}
}

// hangUp closes the connection, if there is one.
func (d *discovery) hangUp() {
	if d.conn != nil {
		d.conn.Close()
		d.conn = nil
	}
}

// call makes one call. Every step of it is bounded in time: discovery may fall
// silent with the connection up.
func (d *discovery) call(ctx context.Context) (list, error) {
	path, wait := "/discovery/hosts", wholeWithin-answerWithin
	if d.index > 0 {
		wait = watchFor
		path = fmt.Sprintf("%s?since=%d&timeout_ms=%d", path, d.index, wait.Milliseconds())
	}
	if d.conn != nil && d.br.Buffered() > 0 {
		d.hangUp()
	}
	if d.conn == nil {
		dialer := net.Dialer{Timeout: dialWithin, KeepAlive: -1}
		conn, err := dialer.DialContext(ctx, "tcp", d.addr)
		if err != nil {
			return list{}, err
		}
		d.conn, d.br = conn, bufio.NewReaderSize(conn, readBuffer)
	}
	stop := context.AfterFunc(ctx, func() { d.conn.SetDeadline(past) })
	defer stop()
	d.conn.SetDeadline(time.Now().Add(wait + answerWithin))
	if _, err := fmt.Fprintf(d.conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, d.addr); err != nil {
		return list{}, err
	}
	var resp fasthttp.Response
	if err := resp.ReadLimitBody(d.br, mostList); err != nil {
		return list{}, fmt.Errorf("reading the answer: %w", err)
	}
	if resp.ConnectionClose() || resp.Header.ContentLength() == -2 {
		d.hangUp()
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return list{}, fmt.Errorf("answered %d", resp.StatusCode())
	}
	v, err := d.parser.ParseBytes(resp.Body())
	if err != nil {
		return list{}, fmt.Errorf("not JSON: %w", err)
	}
	return parseList(v)
}
