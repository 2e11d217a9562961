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

// This file holds the form of requests on the wire.

// Head is a request's head as the HTTP/1.1 proxy renders it for upstreams, but for
// X-Deadline and the empty line.
type Head []byte

// Neutral parses the head for upstreams with another protocol.
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

// headOf renders the head of a request that was received over another protocol, with a
// body of size bytes. Its proxy has checked the fields: none has a line end.
func headOf(message dispatch.Message, size int) Head {
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

// encode returns the request as it is written: all but its last byte, and that one. left
// is the time until the attempt's deadline.
func (a *attempt) encode(left time.Duration) (front net.Buffers, lastByte []byte) {
	native, ok := a.Request.Native.(Head)
	if !ok {
		native = headOf(a.Request.Native.Neutral(), a.Request.Body.Len())
	}
	head := make([]byte, 0, len(native)+64)
	head = append(head, native...)
	head = append(head, "X-Deadline: "...)
	head = strconv.AppendFloat(head, max(left.Seconds(), 0.001), 'f', 4, 64)
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
