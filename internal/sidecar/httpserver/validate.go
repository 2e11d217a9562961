package httpserver

import (
	"bytes"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"otterspring/balance"
	"otterspring/internal/sidecar/dispatch"
)

const (
	maxIDLength = 256 // maximum length of X-Request-Id in bytes
	// MaxDeadlineFactor limits the deadline of a request to this multiple of the deadline of
	// its class. Without a limit the balancer would plan attempts hours ahead.
	MaxDeadlineFactor = 4
)

// invalidRequest is the response to a request that is rejected before its body is read.
type invalidRequest struct {
	code   int
	reason string
}

func badRequest(reason string) *invalidRequest {
	return &invalidRequest{fasthttp.StatusBadRequest, reason}
}

// singletonHeaders lists the headers that a request may have only once. If such a header
// were repeated, the sidecar and an upstream might use different values.
var singletonHeaders = []string{"X-Request-Id", "Idempotency-Key", "X-Deadline", "X-Key", "X-Tenant", "X-Retry", "X-Cost-Hint"}

// validate parses the head of a request. If the request is invalid, validate also returns the
// response that rejects the request; otherwise it returns nil for the response.
//
// validate accepts only what PROTOCOL describes, even where HTTP allows more. A request must
// not be forwarded if an upstream could interpret it differently from the sidecar. Neither
// must a request be forwarded if the upstream would reject it, since the request would then
// already have used a connection. A client of another protocol version gets a response with
// the reason for the rejection.
func (s *Server) validate(header *fasthttp.RequestHeader) (balance.Request, *invalidRequest) {
	request := balance.Request{
		ID: string(header.Peek("X-Request-Id")), Class: string(classFromPath(header.RequestURI())),
		Tenant: string(header.Peek("X-Tenant")), Key: string(header.Peek("X-Key")),
		Work: parseCostHint(header.Peek("X-Cost-Hint")), IsRetry: string(header.Peek("X-Retry")) == "1",
	}
	class := s.dispatcher.Class(request.Class)
	switch {
	case !isVisibleASCII(header.RequestURI()):
		return request, badRequest("path: unreadable")
	case class == nil:
		return request, &invalidRequest{fasthttp.StatusNotFound, "path: expected a class as its first part"}
	case !hasOneLength(header):
		return request, badRequest("Content-Length, Transfer-Encoding: expected one, once")
	case request.ID == "" || len(request.ID) > maxIDLength || !isVisibleASCII([]byte(request.ID)):
		return request, badRequest("X-Request-Id: missing or unreadable")
	}
	for _, name := range singletonHeaders {
		if len(header.PeekAll(name)) > 1 {
			return request, badRequest(name + ": given twice")
		}
	}
	if invalid := validateMethod(header, class); invalid != nil {
		return request, invalid
	}
	request.Deadline = class.Deadline
	if text := header.Peek("X-Deadline"); text != nil {
		deadline, ok := parseDeadline(text)
		if !ok || deadline > MaxDeadlineFactor*class.Deadline {
			return request, badRequest("X-Deadline: expected seconds, in the measure of the class")
		}
		request.Deadline = deadline
	}
	return request, nil
}

// validateMethod checks the method, and the headers that depend on it, against the class.
func validateMethod(header *fasthttp.RequestHeader, class *balance.Class) *invalidRequest {
	usesGet := class.Idempotency == balance.Idempotent
	switch {
	case usesGet && !header.IsGet() || !usesGet && !header.IsPost():
		return &invalidRequest{fasthttp.StatusMethodNotAllowed, "not the method of the class"}
	case usesGet && (header.ContentLength() > 0 || header.ContentLength() == -1):
		return badRequest("a GET has no body")
	case class.Idempotency == balance.IdempotentWithKey && len(header.Peek("Idempotency-Key")) == 0:
		// Without the key, the upstream would execute the request once more for every retry.
		return badRequest("Idempotency-Key: missing")
	case header.ContentLength() > dispatch.MaxBodySize:
		return &invalidRequest{fasthttp.StatusRequestEntityTooLarge, dispatch.ErrBodyTooLarge.Error()}
	}
	return nil
}

// hasOneLength reports whether a request has at most one Content-Length or
// Transfer-Encoding header in total. With two such headers, a client could hide a second
// request in the body of the first request (request smuggling).
func hasOneLength(header *fasthttp.RequestHeader) bool {
	contentLengths, transferCodings := 0, 0
	for line := range bytes.Lines(header.RawHeaders()) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		switch name = bytes.TrimSpace(name); {
		case bytes.EqualFold(name, []byte("Content-Length")):
			contentLengths++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			transferCodings++
		}
	}
	return contentLengths+transferCodings <= 1 && (transferCodings == 0 || header.ContentLength() == -1)
}

// isVisibleASCII reports whether text consists of visible ASCII characters only.
func isVisibleASCII(text []byte) bool {
	for _, c := range text {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// classFromPath returns the first segment of the path, which names the class.
func classFromPath(uri []byte) []byte {
	if len(uri) == 0 || uri[0] != '/' {
		return nil
	}
	uri = uri[1:]
	if i := bytes.IndexAny(uri, "/?#"); i >= 0 {
		uri = uri[:i]
	}
	return uri
}

// parseDeadline parses X-Deadline, the time in seconds that the client waits. It returns
// false unless the text is a plain decimal number of at most 1e6.
func parseDeadline(text []byte) (time.Duration, bool) {
	for _, c := range text {
		if c != '.' && (c < '0' || c > '9') {
			return 0, false
		}
	}
	seconds, err := strconv.ParseFloat(string(text), 64)
	if err != nil || seconds > 1e6 {
		return 0, false
	}
	return time.Duration(seconds * float64(time.Second)), true
}

// parseCostHint parses X-Cost-Hint, an estimate of the work in microseconds. It returns 0
// for an invalid value.
func parseCostHint(text []byte) time.Duration {
	micros, err := strconv.ParseUint(string(text), 10, 40)
	if err != nil {
		return 0
	}
	return time.Duration(micros) * time.Microsecond
}
