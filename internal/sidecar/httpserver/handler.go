// Package httpserver accepts the application's requests over HTTP/1.1. It limits the number
// of client connections and enforces their timeouts, validates requests against the
// protocol, submits them to the dispatcher and writes the responses.
package httpserver

import (
	"bytes"
	"errors"
	"os"
	"runtime"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"otterspring/balance"
	"otterspring/internal/sidecar/dispatch"
	"otterspring/internal/sidecar/httpupstream"
)

const (
	statusPath = "/up"
	// busyRetryAfter is the value of the Retry-After header, in seconds. It is sent to a
	// client whose request is rejected because no connection or memory is available.
	busyRetryAfter = "0.1"
)

var processID = strconv.Itoa(os.Getpid())

// handle is the request handler of fasthttp.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	connection := ctx.Conn().(*clientConn)
	s.serveRequest(ctx, connection)
	if s.draining.Load() || connection.rejected {
		ctx.SetConnectionClose()
	}
	connection.setPhase(phaseResponding)
}

// reject responds with an error instead of forwarding the request.
func reject(ctx *fasthttp.RequestCtx, code int, reason string) {
	ctx.Response.Reset()
	ctx.SetStatusCode(code)
	ctx.SetBodyString(reason + "\n")
}

// rejectUnread rejects a request whose body was not read completely. The connection is closed
// after the response.
func rejectUnread(ctx *fasthttp.RequestCtx, code int, reason string) {
	reject(ctx, code, reason)
	ctx.SetConnectionClose()
}

// rejectBusy rejects a request for lack of resources and sets Retry-After.
func rejectBusy(ctx *fasthttp.RequestCtx, reason string) {
	rejectUnread(ctx, fasthttp.StatusServiceUnavailable, reason)
	ctx.Response.Header.Set("Retry-After", busyRetryAfter)
}

// bodyEvent returns the event that an error of reading a body is counted as.
func bodyEvent(err error) event {
	if errors.Is(err, dispatch.ErrBudgetExhausted) {
		return eventBusy
	}
	return eventInvalid
}

// rejectBody rejects a request whose body could not be read.
func rejectBody(ctx *fasthttp.RequestCtx, err error) {
	switch {
	case errors.Is(err, dispatch.ErrBudgetExhausted):
		rejectBusy(ctx, err.Error())
	case errors.Is(err, dispatch.ErrBodyTooLarge):
		rejectUnread(ctx, fasthttp.StatusRequestEntityTooLarge, err.Error())
	case errors.Is(err, os.ErrDeadlineExceeded):
		rejectUnread(ctx, fasthttp.StatusRequestTimeout, "body: too slow")
	default:
		rejectUnread(ctx, fasthttp.StatusBadRequest, "body: "+err.Error())
	}
}

// serveStatus serves statusPath. It reports, among other values, the process ID and the
// numbers of successful and failed reloads. A supervisor uses these values to distinguish the
// two processes of a handover.
//
// The formatting is kept out of serveRequest because every connection holds a stack frame of
// serveRequest. If serveRequest did the formatting, 128 connections would increase the peak
// memory by 1.6 MB instead of 1.0 MB.
func (s *Server) serveStatus(ctx *fasthttp.RequestCtx) {
	if s.draining.Load() {
		reject(ctx, fasthttp.StatusServiceUnavailable, "draining")
	}
	ctx.Response.Header.Set("X-Pid", processID)
	ctx.Response.Header.Set("X-Reloads", s.settings.ReloadCounts())
	ctx.Response.Header.Set("X-Goroutines", strconv.Itoa(runtime.NumGoroutine()))
	if s.settings.ListVersion != nil {
		ctx.Response.Header.Set("X-List", s.settings.ListVersion())
	}
	if s.settings.ConfigurationStatus != nil {
		version, age := s.settings.ConfigurationStatus()
		ctx.Response.Header.Set("X-Configuration", version)
		if age != "" {
			ctx.Response.Header.Set("X-Configuration-Age", age)
		}
	}
}

// serveRequest validates a request, submits it to the dispatcher, waits for the result and
// writes the response.
func (s *Server) serveRequest(ctx *fasthttp.RequestCtx, connection *clientConn) {
	header := &ctx.Request.Header
	uri := header.RequestURI()
	if ctx.IsGet() && (string(uri) == statusPath || bytes.HasPrefix(uri, []byte(statusPath+"?"))) {
		s.serveStatus(ctx)
		return
	}
	attributes, invalid := s.validate(header)
	switch {
	case invalid != nil:
		s.events.count(eventInvalid)
		rejectUnread(ctx, invalid.code, invalid.reason)
		return
	case connection.rejected:
		s.events.count(eventBusy)
		rejectBusy(ctx, "too many connections")
		return
	}
	withoutBody := ctx.IsGet()
	request := &dispatch.Request{ID: attributes.ID, Conn: connection, Done: make(chan struct{})}
	if length := header.ContentLength(); !withoutBody && length != 0 && ctx.RequestBodyStream() != nil {
		request.Body = dispatch.NewBody(s.bodyBudget, &connection.bodyReceived)
		defer request.Body.Release()
		if err := request.Body.Fill(ctx.RequestBodyStream(), length); err != nil {
			s.events.count(bodyEvent(err))
			rejectBody(ctx, err)
			return
		}
	}
	request.Native = requestHead(header, request.Body.Len(), withoutBody)
	connection.markRequestComplete()
	if !s.dispatcher.Submit(request, attributes) {
		s.events.count(eventRepeatedID)
		rejectUnread(ctx, fasthttp.StatusConflict, "X-Request-Id: in use or used before")
		return
	}
	if disconnected := connection.awaitResult(request.Done); disconnected {
		s.events.count(eventDisconnected)
		s.dispatcher.ClientDisconnected(request)
		rejectUnread(ctx, fasthttp.StatusBadRequest, "client gone")
		return
	}
	// The dispatcher closes Done and then sets a read deadline on the connection, both while
	// it holds its lock. Once Barrier has returned, the dispatcher sets no further read
	// deadline for this request. A later deadline would interrupt the next request.
	s.dispatcher.Barrier()
	_ = connection.SetReadDeadline(time.Time{}) // fails only on a closed connection
	s.dispatcher.RecordAnswerStart(request, "http")
	s.countResult(request.Result.Kind)
	respond(ctx, &request.Result)
}

// countResult counts a result that is not an upstream's response.
func (s *Server) countResult(kind balance.ActionKind) {
	switch kind {
	case balance.Reject:
		s.events.count(eventShed)
	case balance.Fail:
		s.events.count(eventFailed)
	}
}

// respond writes the response that corresponds to a result of the dispatcher.
func respond(ctx *fasthttp.RequestCtx, result *dispatch.Result) {
	switch result.Kind {
	case balance.Reject:
		reject(ctx, fasthttp.StatusServiceUnavailable, "refused")
		if result.RetryAfter > 0 {
			ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(result.RetryAfter.Seconds(), 'f', 3, 64))
		}
	case balance.Fail:
		reject(ctx, fasthttp.StatusBadGateway, "failed")
	default:
		if response, ok := result.Response.(*httpupstream.Response); ok {
			copyResponseHead(response.HTTP(), &ctx.Response)
		} else if contentType := result.Response.ContentType(); len(contentType) > 0 {
			ctx.Response.Header.SetContentTypeBytes(contentType)
		}
		ctx.Response.SetBody(result.Response.Body())
		result.Response.Release()
	}
}

// copyResponseHead copies the head of an upstream's response without connection-specific
// header fields and X-Not-Run.
func copyResponseHead(from, to *fasthttp.Response) {
	from.Header.CopyTo(&to.Header)
	for _, name := range []string{"Connection", "Keep-Alive", "Trailer", "X-Not-Run"} {
		to.Header.Del(name)
	}
	to.Header.ResetConnectionClose()
}

// requestHead returns the request head that is forwarded to upstreams. It lacks X-Deadline
// and the final empty line, which each attempt appends.
func requestHead(header *fasthttp.RequestHeader, size int, withoutBody bool) httpupstream.Head {
	for _, name := range []string{"Connection", "Keep-Alive", "Expect", "TE", "Trailer", "Upgrade", "X-Deadline"} {
		header.Del(name)
	}
	header.ResetConnectionClose()
	header.SetProtocol("HTTP/1.1")
	header.SetNoDefaultContentType(true)
	if !withoutBody {
		header.SetContentLength(size)
	}
	text := header.AppendBytes(make([]byte, 0, 512))
	return text[:len(text)-2]
}
