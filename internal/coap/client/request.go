package client

import (
	"net/url"
	"strings"
	"time"

	"otterspring/internal/coap/message"
	"otterspring/internal/coap/server"
)

// Request is an application request to a server.
type Request struct {
	NonIdempotent  bool   // must not be executed twice
	Safe           bool   // sent as GET, otherwise as POST
	Target         string // path and query, percent-encoded as in HTTP
	ID             string
	IdempotencyKey string
	Tenant         string
	AffinityKey    string
	IsRetry        bool
	Deadline       time.Duration // relative to now; sent in milliseconds
	Body           []byte
	ContentFormat  int // -1 for none
}

// requestMessage encodes a request as a message without body, Block and Echo options.
func requestMessage(request *Request) message.Message {
	msg := message.Message{Type: message.Confirmable, Code: message.POST}
	if request.Safe {
		msg.Code = message.GET
	}
	path, query, _ := strings.Cut(request.Target, "?")
	for segment := range strings.SplitSeq(strings.TrimPrefix(path, "/"), "/") {
		msg.Add(message.URIPath, unescape(segment, url.PathUnescape))
	}
	if query != "" {
		for argument := range strings.SplitSeq(query, "&") {
			msg.Add(message.URIQuery, unescape(argument, url.QueryUnescape))
		}
	}
	if request.ContentFormat >= 0 && !request.Safe {
		msg.AddUint(message.ContentFormat, uint32(request.ContentFormat))
	}
	msg.AddUint(server.OptDeadline, uint32(max(1, request.Deadline.Milliseconds())))
	for _, option := range []struct {
		number message.Number
		text   string
	}{
		{server.OptRequestID, request.ID},
		{server.OptTenant, request.Tenant},
		{server.OptIdempotencyKey, request.IdempotencyKey},
		{server.OptAffinityKey, request.AffinityKey},
	} {
		if option.text != "" {
			msg.Add(option.number, []byte(option.text))
		}
	}
	if request.IsRetry {
		msg.Add(server.OptRetry, nil)
	}
	return msg
}

// unescape decodes the percent-encoding of a path segment or a query argument. A malformed
// part is sent as it is, for the server to interpret.
func unescape(part string, decode func(string) (string, error)) []byte {
	if text, err := decode(part); err == nil {
		return []byte(text)
	}
	return []byte(part)
}
