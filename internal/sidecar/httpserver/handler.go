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

// errEvicted is the reason for which an incomplete request is rejected when its place is needed.
var errEvicted = errors.New("too many incomplete requests")

// maxUnreadBytes is how many bytes may follow a request unread. Behind more of them, the
// receive window of 64 KiB may be closed, and the end of the connection could not arrive: a
// client that has left could not be told from one that waits.
const maxUnreadBytes = 48 << 10

var (
	processID        = strconv.Itoa(os.Getpid())
	continueResponse = []byte("HTTP/1.1 100 Continue\r\n\r\n")
)

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
	if errors.Is(err, dispatch.ErrBudgetExhausted) || errors.Is(err, errEvicted) {
		return eventBusy
	}
	return eventInvalid
}

// rejectBody rejects a request whose body could not be read.
func rejectBody(ctx *fasthttp.RequestCtx, err error) {
	switch {
	case errors.Is(err, dispatch.ErrBudgetExhausted), errors.Is(err, errEvicted):
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

// pendingRequest is a request that was read completely and is valid.
type pendingRequest struct {
	dispatch.Request
	attributes balance.Request
	arrivedAt  int64 // time of Server.now at which the last byte could be read
}

// release returns the memory of the request and of its result, once the response is written.
func (r *pendingRequest) release() {
	r.Body.Release()
	if r.Result.Response != nil {
		r.Result.Response.Release()
	}
}

// prepare validates a request whose head was read and reads its body. It returns nil if the
// request is not to be submitted; ctx then has the response.
func (s *Server) prepare(ctx *fasthttp.RequestCtx, connection *clientConn) *pendingRequest {
	header := &ctx.Request.Header
	uri := header.RequestURI()
	if ctx.IsGet() && (string(uri) == statusPath || bytes.HasPrefix(uri, []byte(statusPath+"?"))) {
		s.serveStatus(ctx)
		return nil
	}
	attributes, invalid := s.validate(header)
	if invalid != nil {
		s.events.count(eventInvalid)
		rejectUnread(ctx, invalid.code, invalid.reason)
		return nil
	}
	request := &pendingRequest{attributes: attributes}
	request.ID, request.Conn, request.Done = attributes.ID, connection, make(chan struct{})
	withoutBody := ctx.IsGet()
	if length := header.ContentLength(); !withoutBody && (length > 0 || length == chunkedLength) {
		if !s.readBody(ctx, connection, request, length) {
			return nil
		}
	}
	if connection.rejected {
		s.events.count(eventBusy)
		rejectBusy(ctx, "too many connections")
		request.release()
		return nil
	}
	request.Native = requestHead(header, request.Body.Len(), withoutBody)
	request.arrivedAt = connection.takeArrival()
	connection.markRequestComplete()
	return request
}

// readBody reads the body of a request. It returns false if the request is rejected; ctx then
// has the response.
func (s *Server) readBody(ctx *fasthttp.RequestCtx, connection *clientConn, request *pendingRequest, length int) bool {
	if ctx.Request.MayContinue() {
		if _, err := connection.Write(continueResponse); err != nil {
			rejectUnread(ctx, fasthttp.StatusBadRequest, "client gone")
			return false
		}
	}
	source := bodyReader(connection.acquireReader(), length)
	request.Body = dispatch.NewBody(s.bodyBudget, &connection.bodyReceived)
	err := request.Body.Fill(source, length)
	if err == nil {
		return true
	}
	received := request.Body.Len()
	request.release()
	if connection.evicted.Load() {
		err = errEvicted
	}
	s.events.count(bodyEvent(err))
	rejectBody(ctx, err)
	if errors.Is(err, dispatch.ErrBudgetExhausted) && discardBody(source, received) == nil {
		ctx.Response.Header.ResetConnectionClose() // the next request can be read
	}
	return false
}

// requestEnd says how a request ended.
type requestEnd int

const (
	endedWithResult       requestEnd = iota // the dispatcher has set a result
	endedBeforeTurn                         // the deadline passed while earlier requests of the connection were served
	endedAsRepeated                         // the ID is in use or was used before
	endedByDisconnect                       // the client has disconnected
	endedAfterDrain                         // it arrived after a drain has cut off the reads
	endedBehindUnreadData                   // more unread bytes follow than a disconnect could be seen behind
)

// execute submits a request and waits for its end.
func (s *Server) execute(connection *clientConn, request *pendingRequest) requestEnd {
	waited := time.Duration(s.now()-request.arrivedAt) * time.Millisecond
	switch disconnected, unread := connection.state(); {
	case disconnected:
		return endedByDisconnect
	case unread > maxUnreadBytes:
		return endedBehindUnreadData
	case waited > 0 && waited >= request.attributes.Deadline:
		return endedBeforeTurn
	case s.arrivedAfterCutoff(request):
		return endedAfterDrain
	}
	request.attributes.Deadline -= waited
	if !s.dispatcher.Submit(&request.Request, request.attributes) {
		return endedAsRepeated
	}
	if disconnected := connection.awaitResult(request.Done); disconnected {
		s.dispatcher.ClientDisconnected(&request.Request)
		return endedByDisconnect
	}
	// The dispatcher closes Done and then sets a read deadline on the connection, both while
	// it holds its lock. Once Barrier has returned, the dispatcher sets no further read
	// deadline for this request. A later deadline would interrupt the next request.
	s.dispatcher.Barrier()
	connection.clearReadDeadline()
	s.dispatcher.RecordAnswerStart(&request.Request, "http")
	return endedWithResult
}

// arrivedAfterCutoff reports whether a request arrived after a drain has cut off the reads of
// incomplete requests. Its client may send on as long as the connection is open, and the drain
// would not end.
func (s *Server) arrivedAfterCutoff(request *pendingRequest) bool {
	cutOffAt := s.readsCutOffAt.Load()
	return cutOffAt > 0 && request.arrivedAt > cutOffAt
}

// respondTo writes the response to a request that has ended into ctx.
func (s *Server) respondTo(ctx *fasthttp.RequestCtx, request *pendingRequest, end requestEnd) {
	switch end {
	case endedWithResult:
		s.countResult(request.Result.Kind)
		respond(ctx, &request.Result)
	case endedBeforeTurn:
		s.events.count(eventExpired)
		reject(ctx, fasthttp.StatusServiceUnavailable, "deadline passed behind earlier requests")
	case endedAfterDrain:
		s.events.count(eventBusy)
		reject(ctx, fasthttp.StatusServiceUnavailable, "draining")
	case endedBehindUnreadData:
		s.events.count(eventBusy)
		reject(ctx, fasthttp.StatusServiceUnavailable, "too much written ahead")
	case endedAsRepeated:
		s.events.count(eventRepeatedID)
		reject(ctx, fasthttp.StatusConflict, "X-Request-Id: in use or used before")
	case endedByDisconnect:
		s.events.count(eventDisconnected)
		rejectUnread(ctx, fasthttp.StatusBadRequest, "client gone")
	}
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

// respond writes the response that corresponds to a result of the dispatcher. The body is shared
// with the result, which must not be released before the response is written.
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
		ctx.Response.SetBodyRaw(result.Response.Body())
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
