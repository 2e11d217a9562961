package httpupstream

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"otterspring/internal/sidecar/dispatch"
)

// The encoding of requests.

// Head is the head of a request as the HTTP/1.1 proxy renders it for upstreams, without the
// X-Deadline header and the final empty line.
type Head []byte

// Neutral returns the protocol-neutral form of the request, for upstreams with another
// protocol.
func (h Head) Neutral() dispatch.Message {
	var message dispatch.Message
	for i, line := range strings.Split(string(h), "\r\n") {
		if i == 0 {
			method, rest, _ := strings.Cut(line, " ")
			message.Target, _, _ = strings.Cut(rest, " ")
			message.Safe = method == fasthttp.MethodGet
			continue
		}
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "x-request-id":
			message.ID = value
		case "idempotency-key":
			message.IdempotencyKey = value
		case "x-tenant":
			message.Tenant = value
		case "x-key":
			message.AffinityKey = value
		case "content-type":
			message.ContentType = value
		case "x-retry":
			message.IsRetry = value == "1"
		}
	}
	return message
}

// renderHead returns the head of a request that was received over another protocol and has
// a body of size bytes. The proxy for that protocol has checked that no field contains a
// line break.
func renderHead(message dispatch.Message, size int) Head {
	head := make([]byte, 0, 512)
	method := fasthttp.MethodPost
	if message.Safe {
		method = fasthttp.MethodGet
	}
	head = fmt.Appendf(head, "%s %s HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: %s\r\n", method, message.Target, message.ID)
	for _, field := range []struct{ name, value string }{
		{"Idempotency-Key", message.IdempotencyKey}, {"X-Tenant", message.Tenant}, {"X-Key", message.AffinityKey}, {"Content-Type", message.ContentType},
	} {
		if field.value != "" {
			head = fmt.Appendf(head, "%s: %s\r\n", field.name, field.value)
		}
	}
	if message.IsRetry {
		head = append(head, "X-Retry: 1\r\n"...)
	}
	if !message.Safe {
		head = fmt.Appendf(head, "Content-Length: %d\r\n", size)
	}
	return head
}

// encode returns the encoded request, split before its last byte. remaining is the time
// until the deadline of the attempt.
func (a *attempt) encode(remaining time.Duration) (front net.Buffers, lastByte []byte) {
	native, ok := a.Request.Native.(Head)
	if !ok {
		native = renderHead(a.Request.Native.Neutral(), a.Request.Body.Len())
	}
	head := make([]byte, 0, len(native)+64)
	head = append(head, native...)
	head = append(head, "X-Deadline: "...)
	head = strconv.AppendFloat(head, max(remaining.Seconds(), 0.001), 'f', 4, 64)
	head = append(head, "\r\n\r\n"...)
	front = append(net.Buffers{head}, a.Request.Body.Chunks()...)
	end := len(front) - 1
	for len(front[end]) == 0 {
		end--
	}
	cut := len(front[end]) - 1
	lastByte = front[end][cut:]
	front[end] = front[end][:cut]
	return front[:end+1], lastByte
}
