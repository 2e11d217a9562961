package gate

import (
	"net/url"
	"strings"
	"time"

	"otterspring/internal/coap/format"
	"otterspring/internal/coap/message"
)

// taken are the options that a request may have. All others are not known here:
// elective ones are passed over, a critical one turns the request away (RFC
// 7252, section 5.4.1).
var taken = map[message.Number]bool{
	message.URIHost: true, message.URIPort: true, message.URIPath: true, message.URIQuery: true,
	message.ContentFormat: true, message.Accept: true, message.ETag: true, message.Observe: true,
	message.Block1: true, message.Block2: true, message.Size1: true, message.Size2: true,
	message.Echo: true, message.RequestTag: true, message.HopLimit: true,
	message.ProxyURI: true, message.ProxyScheme: true,
	OptDeadline: true, OptRequestID: true, OptTenant: true, OptIdempotency: true, OptKey: true, OptRetry: true,
}

func isTaken(n message.Number) bool { return taken[n] }

func bad(why string) *fault { return &fault{message.BadRequest, why} }

// read holds a request against the protocol, and says what is wrong with it.
func (g *Gate) read(x *open) (Request, *fault) {
	m := &x.req
	r := Request{ContentFormat: -1}
	if n, unknown := m.FilterOptions(isTaken); unknown {
		return r, &fault{message.BadOption, "option " + itoa(int(n)) + ": critical, and not known or not well formed"}
	}
	_, uri := m.Get(message.ProxyURI)
	_, scheme := m.Get(message.ProxyScheme)
	if uri || scheme {
		return r, &fault{message.ProxyingNotSupported, "no forward proxy"}
	}
	if bad := g.readTarget(x, &r); bad != nil {
		return r, bad
	}
	if safe := x.class.Effect == Repeat; safe != (m.Code == message.GET) || !safe && m.Code != message.POST {
		return r, &fault{message.MethodNotAllowed, "wanted " + map[bool]string{true: "GET", false: "POST"}[safe]}
	}
	if bad := readTexts(m, &r); bad != nil {
		return r, bad
	}
	if x.class.Effect == Keyed && r.Idempotency == "" {
		return r, bad("option 65005: missing: its repeats would run again")
	}
	r.Safe = x.class.Effect == Repeat
	r.Deadline = x.class.Deadline
	if _, there := m.Get(OptDeadline); there {
		ms, good := m.Uint(OptDeadline)
		r.Deadline = time.Duration(ms) * time.Millisecond
		if !good || ms == 0 || r.Deadline > time.Duration(g.set.DeadlineTimes*float64(x.class.Deadline)) {
			return r, bad("option 65000: wanted milliseconds, in the measure of the class")
		}
	}
	if bad := readBody(x, &r); bad != nil {
		return r, bad
	}
	return r, nil
}

// readTarget reads path and query, and finds the class.
func (g *Gate) readTarget(x *open, r *Request) *fault {
	var path, query []string
	for _, o := range x.req.Options {
		switch o.Number {
		case message.URIPath:
			path = append(path, string(o.Value))
		case message.URIQuery:
			query = append(query, queryText(string(o.Value)))
		}
	}
	if len(path) > 0 {
		r.Class = path[0]
	}
	class, ok := g.set.Classes[r.Class]
	if !ok {
		return &fault{message.NotFound, "path: expected a class as its first part"}
	}
	x.class = class
	for i, part := range path {
		if part == "." || part == ".." {
			return bad("path: a part that is . or ..") // RFC 7252, section 5.10.1
		}
		path[i] = url.PathEscape(part)
	}
	r.Target = "/" + strings.Join(path, "/")
	if len(query) > 0 {
		r.Target += "?" + strings.Join(query, "&")
	}
	return nil
}

// queryText escapes what a query's part can't hold as it is.
func queryText(part string) string {
	name, value, is := strings.Cut(part, "=")
	text := url.QueryEscape(name)
	if is {
		text += "=" + url.QueryEscape(value)
	}
	return text
}

// readTexts reads what the application says of its request.
func readTexts(m *message.Message, r *Request) *fault {
	for _, t := range []struct {
		n    message.Number
		most int
		into *string
	}{{OptRequestID, mostRequestID, &r.ID}, {OptIdempotency, mostIdempotency, &r.Idempotency}, {OptTenant, mostText, &r.Tenant}, {OptKey, mostText, &r.Key}} {
		found := 0
		for _, o := range m.Options {
			if o.Number != t.n {
				continue
			}
			if found++; found > 1 || len(o.Value) == 0 || len(o.Value) > t.most || !plain(o.Value) {
				return bad("option " + itoa(int(t.n)) + ": wanted one, of 1 to " + itoa(t.most) + " visible characters")
			}
			*t.into = string(o.Value)
		}
	}
	_, r.Again = m.Get(OptRetry)
	return nil
}

// plain tells whether text is of visible ASCII only: it goes into a header.
func plain(text []byte) bool {
	for _, c := range text {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// readBody reads what the body is, and the body itself where it is in one piece.
func readBody(x *open, r *Request) *fault {
	if n, there := x.req.Uint(message.Accept); there {
		x.accept = int(n)
	}
	if x.class.Effect == Repeat {
		return nil // RFC 7252, section 5.8.1: a GET has none
	}
	if n, there := x.req.Uint(message.ContentFormat); there {
		if _, known := format.Type(int(n)); !known {
			return &fault{message.UnsupportedContentFormat, "Content-Format " + itoa(int(n)) + ": not known"}
		}
		r.ContentFormat = int(n)
	}
	r.Body = x.req.Payload
	return nil
}
