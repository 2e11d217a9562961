package httpfront

import (
	"bytes"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"otterspring/balance"
	"otterspring/internal/sidecar/dispatch"
)

const (
	mostID = 256 // bytes of a request's id
	// DeadlineSlack is how many times its class's deadline a request may ask
	// for. The module would plan for hours if told so.
	DeadlineSlack = 4
)

// fault is why a request is turned away unread.
type fault struct {
	code int
	why  string
}

func badRequest(why string) *fault { return &fault{fasthttp.StatusBadRequest, why} }

// single are the headers of which a request has one at most: of two, each
// reader might believe another.
var single = []string{"X-Request-Id", "Idempotency-Key", "X-Deadline", "X-Key", "X-Tenant", "X-Retry", "X-Cost-Hint"}

// check reads a request's head, and says what is wrong with it. It lets through
// only what PROTOCOL describes, whatever else HTTP allows: what the upstreams
// could read in another way than the sidecar does must not reach them, nor what
// they would turn away after it has cost a connection. It might harm a client
// that is older or newer than the protocol; it is told in words what is wrong.
func (f *Front) check(h *fasthttp.RequestHeader) (balance.Request, *fault) {
	q := balance.Request{
		ID: string(h.Peek("X-Request-Id")), Class: string(classOf(h.RequestURI())),
		Tenant: string(h.Peek("X-Tenant")), Key: string(h.Peek("X-Key")),
		Work: parseHint(h.Peek("X-Cost-Hint")), Again: string(h.Peek("X-Retry")) == "1",
	}
	class := f.eng.Class(q.Class)
	switch {
	case !plain(h.RequestURI()):
		return q, badRequest("path: unreadable")
	case class == nil:
		return q, &fault{fasthttp.StatusNotFound, "path: expected a class as its first part"}
	case !framed(h):
		return q, badRequest("Content-Length, Transfer-Encoding: expected one, once")
	case q.ID == "" || len(q.ID) > mostID || !plain([]byte(q.ID)):
		return q, badRequest("X-Request-Id: missing or unreadable")
	}
	for _, name := range single {
		if len(h.PeekAll(name)) > 1 {
			return q, badRequest(name + ": given twice")
		}
	}
	if bad := checkMethod(h, class); bad != nil {
		return q, bad
	}
	q.Deadline = class.Deadline
	if text := h.Peek("X-Deadline"); text != nil {
		wait, ok := parseDeadline(text)
		if !ok || wait > DeadlineSlack*class.Deadline {
			return q, badRequest("X-Deadline: expected seconds, in the measure of the class")
		}
		q.Deadline = wait
	}
	return q, nil
}

// checkMethod holds the method and what goes with it against the class.
func checkMethod(h *fasthttp.RequestHeader, class *balance.Class) *fault {
	get := class.Effect == balance.Repeat
	switch {
	case get && !h.IsGet() || !get && !h.IsPost():
		return &fault{fasthttp.StatusMethodNotAllowed, "not the method of the class"}
	case get && (h.ContentLength() > 0 || h.ContentLength() == -1):
		return badRequest("a GET has no body")
	case class.Effect == balance.Keyed && len(h.Peek("Idempotency-Key")) == 0:
		// Its repeats would run again.
		return badRequest("Idempotency-Key: missing")
	case h.ContentLength() > dispatch.MaxBodySize:
		return &fault{fasthttp.StatusRequestEntityTooLarge, dispatch.ErrBodyTooLarge.Error()}
	}
	return nil
}

// framed tells whether a request's length is given in one way, or not at all.
// With two, a second request may be hidden in the body of the first.
func framed(h *fasthttp.RequestHeader) bool {
	lengths, codings := 0, 0
	for line := range bytes.Lines(h.RawHeaders()) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		switch name = bytes.TrimSpace(name); {
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			codings++
		}
	}
	return lengths+codings <= 1 && (codings == 0 || h.ContentLength() == -1)
}

// plain tells whether text is of visible ASCII only.
func plain(text []byte) bool {
	for _, c := range text {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
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

// parseDeadline reads how long the client waits; false if it says so in no
// plain decimal number of seconds.
func parseDeadline(text []byte) (time.Duration, bool) {
	for _, c := range text {
		if c != '.' && (c < '0' || c > '9') {
			return 0, false
		}
	}
	f, err := strconv.ParseFloat(string(text), 64)
	if err != nil || f > 1e6 {
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
