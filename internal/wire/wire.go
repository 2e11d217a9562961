// Package wire turns the simulator's JSON lines into calls of package balance
// and its actions back into lines. It decides nothing.
package wire

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	"otterspring/balance"
)

// host holds the instances of one process. They share nothing but the parsed
// text of the server lists.
type host struct {
	in        *bufio.Reader
	out       *bufio.Writer
	parser    fastjson.Parser
	line      int
	now       time.Duration
	tables    map[int64][]balance.Server
	instances map[int64]*balance.Balancer
	acts      []balance.Action
	buf       []byte
}

// Serve answers batches until the input ends. An error names the line and what
// is wrong with it.
func Serve(in io.Reader, out io.Writer) error {
	h := &host{
		in:        bufio.NewReaderSize(in, 1<<20),
		out:       bufio.NewWriterSize(out, 1<<18),
		tables:    map[int64][]balance.Server{},
		instances: map[int64]*balance.Balancer{},
	}
	for {
		text, err := h.read()
		if len(text) > 0 {
			h.line++
			if e := h.message(text); e != nil {
				return fmt.Errorf("line %d: %w", h.line, e)
			}
		}
		if err == io.EOF {
			return h.out.Flush()
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", h.line+1, err)
		}
	}
}

// read returns the next line, of any length, valid until the next call.
func (h *host) read() ([]byte, error) {
	text, err := h.in.ReadSlice('\n')
	if err != bufio.ErrBufferFull {
		return text, err
	}
	h.buf = append(h.buf[:0], text...)
	for err == bufio.ErrBufferFull {
		text, err = h.in.ReadSlice('\n')
		h.buf = append(h.buf, text...)
	}
	return h.buf, err
}

// message takes one line.
func (h *host) message(text []byte) error {
	if len(text) == 1 && text[0] == '\n' {
		return nil
	}
	v, err := h.parser.ParseBytes(text)
	if err != nil {
		return fmt.Errorf("not JSON: %w", err)
	}
	if v.Type() != fastjson.TypeObject {
		return fmt.Errorf("not an object")
	}
	switch op := string(v.GetStringBytes("op")); op {
	case "begin-batch":
		h.now = micros(v, "ts-us")
		return nil
	case "over-to-you":
		h.out.WriteString("{\"op\":\"ok\"}\n")
		return h.out.Flush()
	case "census":
		h.tables[v.GetInt64("table")] = servers(v.GetArray("hosts"))
		return nil
	default:
		return h.event(op, v)
	}
}

// event takes the event of one instance and writes what it does. A panic
// of the module is reported as a fault.
func (h *host) event(op string, v *fastjson.Value) (err error) {
	id := v.GetInt64("sidecar")
	defer func() {
		if p := recover(); p != nil {
			h.acts = h.acts[:0]
			h.fault(id, fmt.Sprint(p))
		}
	}()
	if op == "provision" {
		b, err := balance.New(Settings(v.Get("info")), seed(v))
		if err != nil {
			return err
		}
		h.instances[id] = b
		return nil
	}
	b := h.instances[id]
	if b == nil && known[op] {
		return fmt.Errorf("event %q for instance %d, which is not started", op, id)
	}
	acts, err := h.call(b, op, v)
	if err != nil {
		return err
	}
	if op == "teardown" {
		delete(h.instances, id)
	}
	for i := range acts {
		h.write(id, &acts[i])
	}
	h.acts = acts[:0]
	return nil
}

var known = map[string]bool{"ask": true, "timer": true, "resolved": true, "started": true, "lapsed": true,
	"peers-known": true, "check-result": true, "inbox": true, "teardown": true}

// call hands one event to its instance.
func (h *host) call(b *balance.Balancer, op string, v *fastjson.Value) ([]balance.Action, error) {
	acts := h.acts[:0]
	switch op {
	case "ask":
		return b.Request(h.now, balance.Request{
			ID: text(v, "op-id"), Class: text(v, "profile"), Tenant: text(v, "billing"), Key: text(v, "subject"),
			Deadline: micros(v, "valid-until-us"), Work: micros(v, "effort-us"), IsRetry: v.GetBool("repeat"),
		}, acts), nil
	case "timer":
		return b.Timer(h.now, v.GetUint64("token"), acts), nil
	case "resolved":
		status, err := outcome(v)
		return b.Outcome(h.now, balance.Outcome{
			Request: text(v, "op-id"), Number: v.GetInt("round-no"),
			Status: status, Took: micros(v, "rtt-us"), Final: v.GetBool("final"),
		}, acts), err
	case "started":
		return b.Started(h.now, text(v, "op-id"), v.GetInt("round-no"), acts), nil
	case "lapsed":
		return b.Disconnected(h.now, text(v, "op-id"), acts), nil
	case "peers-known":
		return h.members(b, v, acts)
	case "check-result":
		_, err := outcome(v) // the library never probes
		return acts, err
	case "inbox", "teardown":
		return acts, nil
	}
	return acts, fmt.Errorf("unknown op %q", op)
}

var listKinds = map[string]balance.ListKind{"FULL": balance.ListFull, "SAVED": balance.ListCached,
	"INCREMENTAL": balance.ListDelta, "FAILED": balance.ListFailed}

// members hands a list to its instance.
func (h *host) members(b *balance.Balancer, v *fastjson.Value, acts []balance.Action) ([]balance.Action, error) {
	kind, ok := listKinds[string(v.GetStringBytes("mode"))]
	if !ok {
		return acts, fmt.Errorf("unknown mode %q", v.GetStringBytes("mode"))
	}
	table, ok := h.tables[v.GetInt64("table")]
	if !ok && kind != balance.ListFailed {
		return acts, fmt.Errorf("no census table %d", v.GetInt64("table"))
	}
	if kind == balance.ListFailed {
		table = nil
	}
	return b.Endpoints(h.now, kind, table, acts), nil
}

var statuses = map[string]balance.Status{"OK": balance.OK, "INTERNAL": balance.Error, "RESOURCE_EXHAUSTED": balance.AtCapacity,
	"DEADLINE_EXCEEDED": balance.Timeout, "UNAVAILABLE": balance.ConnectFailed, "ABORTED": balance.Reset,
	"CANCELLED": balance.Cancelled, "TOO_LATE": balance.NeverSent}

// outcome reads a completion code.
func outcome(v *fastjson.Value) (balance.Status, error) {
	s, ok := statuses[string(v.GetStringBytes("result"))]
	if !ok {
		return balance.Error, fmt.Errorf("unknown result %q", v.GetStringBytes("result"))
	}
	return s, nil
}

var states = map[string]balance.ServerState{"on": balance.Ready, "fading": balance.Draining, "off": balance.Removed}

// servers reads the entries of a list.
func servers(hosts []*fastjson.Value) []balance.Server {
	list := make([]balance.Server, 0, len(hosts))
	for _, e := range hosts {
		state, ok := states[string(e.GetStringBytes("mode"))]
		if !ok {
			state = balance.Draining
		}
		list = append(list, balance.Server{ID: text(e, "upstream"), Zone: text(e, "failure-domain"), Cell: e.GetInt("cell"),
			StartTime: micros(e, "came-up-us"), State: state})
	}
	return list
}

// write appends the line of one action.
func (h *host) write(id int64, a *balance.Action) {
	w := h.out
	b := w.AvailableBuffer()
	op := func(name string) {
		b = append(b, `{"op":"`...)
		b = append(b, name...)
		b = append(b, `","sidecar":`...)
		b = strconv.AppendInt(b, id, 10)
	}
	str := func(key, value string) {
		b = append(b, `,"`...)
		b = append(b, key...)
		b = append(b, `":`...)
		b = strconv.AppendQuote(b, value)
	}
	num := func(key string, n int64) {
		b = append(b, `,"`...)
		b = append(b, key...)
		b = append(b, `":`...)
		b = strconv.AppendInt(b, n, 10)
	}
	up := int64((a.Wait + time.Microsecond - 1) / time.Microsecond)
	switch a.Kind {
	case balance.Send:
		op("assign")
		str("op-id", a.Request)
		str("upstream", a.Server)
		num("limit-us", up)
	case balance.Reject:
		op("reject")
		str("op-id", a.Request)
		if up > 0 {
			num("pause-us", up)
		}
	case balance.Fail:
		op("finish-error")
		str("op-id", a.Request)
	case balance.Cancel:
		op("undo-send")
		str("op-id", a.Request)
		num("round-no", int64(a.Number))
	case balance.Timer:
		op("notify-me")
		num("wait-us", up)
		num("token", int64(a.Token))
	case balance.CloseIdle:
		op("let-go")
		str("upstream", a.Server)
	case balance.Subscribe:
		op("keep-informed")
		b = append(b, `,"on":true`...)
	}
	b = append(b, "}\n"...)
	w.Write(b)
}

// fault reports that the module failed.
func (h *host) fault(id int64, what string) {
	var a fastjson.Arena
	o := a.NewObject()
	o.Set("op", a.NewString("fault"))
	o.Set("sidecar", a.NewNumberInt(int(id)))
	o.Set("line", a.NewString(what))
	h.out.Write(append(o.MarshalTo(nil), '\n'))
}

func text(v *fastjson.Value, key string) string { return string(v.GetStringBytes(key)) }

func micros(v *fastjson.Value, key string) time.Duration {
	return time.Duration(v.GetInt64(key)) * time.Microsecond
}

func seed(v *fastjson.Value) uint64 {
	if n := v.GetUint64("salt"); n != 0 {
		return n
	}
	return uint64(v.GetInt64("salt"))
}
