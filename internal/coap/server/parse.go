package server

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"otterspring/internal/coap/format"
	"otterspring/internal/coap/message"
)

// recognizedOptions are the options that a request may have. An unrecognized option is
// ignored if it is elective; if it is critical, the request is rejected (RFC 7252, section
// 5.4.1).
var recognizedOptions = map[message.Number]bool{
	message.URIHost: true, message.URIPort: true, message.URIPath: true, message.URIQuery: true,
	message.ContentFormat: true, message.Accept: true, message.ETag: true, message.Observe: true,
	message.Block1: true, message.Block2: true, message.Size1: true, message.Size2: true,
	message.Echo: true, message.RequestTag: true, message.HopLimit: true,
	message.ProxyURI: true, message.ProxyScheme: true,
	OptDeadline: true, OptRequestID: true, OptTenant: true, OptIdempotencyKey: true, OptAffinityKey: true, OptRetry: true,
}

func isRecognized(n message.Number) bool { return recognizedOptions[n] }

// invalidRequest is the response to an invalid request. The diagnostic is sent as payload.
type invalidRequest struct {
	code       message.Code
	diagnostic string
}

func badRequest(diagnostic string) *invalidRequest {
	return &invalidRequest{message.BadRequest, diagnostic}
}

// parseRequest validates the message of exec and returns the request that the message
// contains. It does not assemble the body of a block-wise transfer. It stores the class and
// the Accept option in exec.
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

// checkMethod requires GET for idempotent classes and POST for all others.
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

// parseTarget parses the path and the query, and looks up the class.
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

// escapeQuery percent-encodes one argument of a query as in HTTP.
func escapeQuery(argument string) string {
	name, value, hasValue := strings.Cut(argument, "=")
	text := url.QueryEscape(name)
	if hasValue {
		text += "=" + url.QueryEscape(value)
	}
	return text
}

// parseTextOptions parses the options of this application that have text values, and
// OptRetry.
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
		for _, candidate := range msg.Options {
			if candidate.Number != option.number {
				continue
			}
			if found++; found > 1 || len(candidate.Value) == 0 || len(candidate.Value) > option.maxLength || !isVisibleASCII(candidate.Value) {
				return badRequest("option " + strconv.Itoa(int(option.number)) + ": wanted one, of 1 to " + strconv.Itoa(option.maxLength) + " visible characters")
			}
			*option.value = string(candidate.Value)
		}
	}
	_, request.IsRetry = msg.Get(OptRetry)
	return nil
}

// isVisibleASCII reports whether text has only visible ASCII characters, so that it can be
// forwarded as the value of an HTTP header.
func isVisibleASCII(text []byte) bool {
	for _, c := range text {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// parseDeadline sets the deadline of a request to the value of OptDeadline. Without that
// option it sets the deadline of the class.
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

// parseBody parses Accept and Content-Format, and sets the body to the payload.
func parseBody(exec *execution, request *Request) *invalidRequest {
	if accept, ok := exec.message.Uint(message.Accept); ok {
		exec.accept = int(accept)
	}
	if exec.class.Idempotency == Idempotent {
		return nil // GET requests have no body (RFC 7252, section 5.8.1)
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
