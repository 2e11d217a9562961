package server

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"otterspring/internal/coap/format"
	"otterspring/internal/coap/message"
)

// recognizedOptions are the options that a request may have. Others are ignored where they
// are elective; a critical one rejects the request (RFC 7252, section 5.4.1).
var recognizedOptions = map[message.Number]bool{
	message.URIHost: true, message.URIPort: true, message.URIPath: true, message.URIQuery: true,
	message.ContentFormat: true, message.Accept: true, message.ETag: true, message.Observe: true,
	message.Block1: true, message.Block2: true, message.Size1: true, message.Size2: true,
	message.Echo: true, message.RequestTag: true, message.HopLimit: true,
	message.ProxyURI: true, message.ProxyScheme: true,
	OptDeadline: true, OptRequestID: true, OptTenant: true, OptIdempotencyKey: true, OptAffinityKey: true, OptRetry: true,
}

func isRecognized(n message.Number) bool { return recognizedOptions[n] }

// invalidRequest is the response to an invalid request. Its diagnostic text is on the wire.
type invalidRequest struct {
	code       message.Code
	diagnostic string
}

func badRequest(diagnostic string) *invalidRequest {
	return &invalidRequest{message.BadRequest, diagnostic}
}

// parseRequest validates a request and returns it, without the parts of its body. It sets
// class and accept of the execution.
func (s *Server) parseRequest(exec *execution) (Request, *invalidRequest) {
	msg := &exec.message
	request := Request{ContentFormat: format.None}
	if n, unknown := msg.FilterOptions(isRecognized); unknown {
		return request, &invalidRequest{message.BadOption, "option " + strconv.Itoa(int(n)) + ": critical, and not known or not well formed"}
	}
	_, proxyURI := msg.Get(message.ProxyURI)
	_, proxyScheme := msg.Get(message.ProxyScheme)
	if proxyURI || proxyScheme {
		return request, &invalidRequest{message.ProxyingNotSupported, "no forward proxy"}
	}
	if invalid := s.parseTarget(exec, &request); invalid != nil {
		return request, invalid
	}
	if invalid := checkMethod(exec.class, msg.Code); invalid != nil {
		return request, invalid
	}
	request.Safe = exec.class.Idempotency == Idempotent
	if invalid := parseTextOptions(msg, &request); invalid != nil {
		return request, invalid
	}
	if exec.class.Idempotency == IdempotentWithKey && request.IdempotencyKey == "" {
		return request, badRequest("option 65005: missing: its repeats would run again")
	}
	if invalid := s.parseDeadline(exec, &request); invalid != nil {
		return request, invalid
	}
	invalid := parseBody(exec, &request)
	return request, invalid
}

// checkMethod requires GET for idempotent classes and POST for the others.
func checkMethod(class Class, code message.Code) *invalidRequest {
	wanted, name := message.POST, "POST"
	if class.Idempotency == Idempotent {
		wanted, name = message.GET, "GET"
	}
	if code != wanted {
		return &invalidRequest{message.MethodNotAllowed, "wanted " + name}
	}
	return nil
}

// parseTarget parses path and query, and sets the class.
func (s *Server) parseTarget(exec *execution, request *Request) *invalidRequest {
	var path, query []string
	for _, option := range exec.message.Options {
		switch option.Number {
		case message.URIPath:
			path = append(path, string(option.Value))
		case message.URIQuery:
			query = append(query, escapeQuery(string(option.Value)))
		}
	}
	if len(path) > 0 {
		request.Class = path[0]
	}
	class, ok := s.settings.Classes[request.Class]
	if !ok {
		return &invalidRequest{message.NotFound, "path: expected a class as its first part"}
	}
	exec.class = class
	for i, segment := range path {
		if segment == "." || segment == ".." {
			return badRequest("path: a part that is . or ..") // RFC 7252, section 5.10.1
		}
		path[i] = url.PathEscape(segment)
	}
	request.Target = "/" + strings.Join(path, "/")
	if len(query) > 0 {
		request.Target += "?" + strings.Join(query, "&")
	}
	return nil
}

// escapeQuery escapes one argument of a query as HTTP does.
func escapeQuery(argument string) string {
	name, value, hasValue := strings.Cut(argument, "=")
	text := url.QueryEscape(name)
	if hasValue {
		text += "=" + url.QueryEscape(value)
	}
	return text
}

// parseTextOptions parses the options that describe the request.
func parseTextOptions(msg *message.Message, request *Request) *invalidRequest {
	for _, option := range []struct {
		number    message.Number
		maxLength int
		value     *string
	}{
		{OptRequestID, maxRequestIDLength, &request.ID},
		{OptIdempotencyKey, maxIdempotencyKeyLength, &request.IdempotencyKey},
		{OptTenant, maxTextLength, &request.Tenant},
		{OptAffinityKey, maxTextLength, &request.AffinityKey},
	} {
		found := 0
		for _, obs := range msg.Options {
			if obs.Number != option.number {
				continue
			}
			if found++; found > 1 || len(obs.Value) == 0 || len(obs.Value) > option.maxLength || !isVisibleASCII(obs.Value) {
				return badRequest("option " + strconv.Itoa(int(option.number)) + ": wanted one, of 1 to " + strconv.Itoa(option.maxLength) + " visible characters")
			}
			*option.value = string(obs.Value)
		}
	}
	_, request.IsRetry = msg.Get(OptRetry)
	return nil
}

// isVisibleASCII reports whether text can be the value of an HTTP header.
func isVisibleASCII(text []byte) bool {
	for _, c := range text {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// parseDeadline sets the request's deadline: its own, or its class's.
func (s *Server) parseDeadline(exec *execution, request *Request) *invalidRequest {
	request.Deadline = exec.class.Deadline
	if _, ok := exec.message.Get(OptDeadline); !ok {
		return nil
	}
	millis, valid := exec.message.Uint(OptDeadline)
	request.Deadline = time.Duration(millis) * time.Millisecond
	if !valid || millis == 0 || request.Deadline > time.Duration(s.settings.MaxDeadlineRatio*float64(exec.class.Deadline)) {
		return badRequest("option 65000: wanted milliseconds, in the measure of the class")
	}
	return nil
}

// parseBody parses the formats, and sets a body that is not in blocks.
func parseBody(exec *execution, request *Request) *invalidRequest {
	if accept, ok := exec.message.Uint(message.Accept); ok {
		exec.accept = int(accept)
	}
	if exec.class.Idempotency == Idempotent {
		return nil // RFC 7252, section 5.8.1: a GET has no body
	}
	if number, ok := exec.message.Uint(message.ContentFormat); ok {
		if _, known := format.MediaType(int(number)); !known {
			return &invalidRequest{message.UnsupportedContentFormat, "Content-Format " + strconv.Itoa(int(number)) + ": not known"}
		}
		request.ContentFormat = int(number)
	}
	request.Body = exec.message.Payload
	return nil
}
