package httpserver

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync"

	"github.com/valyala/fasthttp"
)

// What a connection holds depends on how far its request is. While nothing has arrived it holds
// no buffer. From the first byte on it holds a read buffer, and a request context only while a
// complete head is parsed or a response is written. While it waits for the result it holds the
// head in the form in which it is forwarded, and the body, which is taken from the budget.
var (
	readerPool  = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}
	contextPool = sync.Pool{New: func() any { return new(fasthttp.RequestCtx) }}
	writePool   = sync.Pool{New: func() any {
		buffer := make([]byte, 0, writeBufferSize)
		return &buffer
	}}
)

// acquireContext returns an empty request context.
func acquireContext() *fasthttp.RequestCtx {
	ctx := contextPool.Get().(*fasthttp.RequestCtx)
	ctx.Response.Header.SetNoDefaultContentType(true)
	return ctx
}

func releaseContext(ctx *fasthttp.RequestCtx) {
	ctx.Request.Reset()
	ctx.Response.Reset()
	contextPool.Put(ctx)
}

// framing is what a response depends on besides its content.
type framing struct {
	http10 bool
	head   bool // the response has no body
	close  bool // the client asked to close the connection
}

func framingOf(header *fasthttp.RequestHeader) framing {
	return framing{http10: !header.IsHTTP11(), head: header.IsHead(), close: header.ConnectionClose()}
}

// serveConnection serves the requests of a connection one after the other and closes it. It runs
// in a goroutine of its own.
func (s *Server) serveConnection(c *clientConn) {
	defer func() { _ = c.Close() }() // its errors concern a client that has gone
	defer c.releaseReader()
	for c.awaitRequest() {
		if !s.serveNext(c) {
			return
		}
	}
}

// serveNext reads a request, of which at least a byte can be read, and writes its response. It
// reports whether the connection stays open.
func (s *Server) serveNext(c *clientConn) bool {
	ctx := acquireContext()
	if err := readHead(c.acquireReader(), &ctx.Request.Header); err != nil {
		s.rejectHead(c, ctx, err)
		releaseContext(ctx)
		return false
	}
	framing := framingOf(&ctx.Request.Header)
	if request := s.prepare(ctx, c); request != nil {
		// The context is not held while the request waits.
		releaseContext(ctx)
		c.releaseEmptyReader()
		end := s.execute(c, request)
		ctx = acquireContext()
		s.respondTo(ctx, request, end)
		defer request.release()
		defer s.dispatcher.AwaitEndings(&request.Request)
	}
	defer releaseContext(ctx)
	closing := ctx.Response.ConnectionClose() || framing.close || c.closesAfterResponse()
	c.setPhase(phaseResponding)
	err := c.writeResponse(&ctx.Response, framing, closing)
	return err == nil && !closing
}

// closesAfterResponse reports whether the server wants the connection closed after the response
// that is about to be written. Requests that the client has already written are answered before.
func (c *clientConn) closesAfterResponse() bool {
	return (c.server.draining.Load() || c.rejected) && c.buffered() == 0 && !c.hasUnread()
}

// rejectHead writes the response to a head that could not be read, if the client may still read
// it.
func (s *Server) rejectHead(c *clientConn, ctx *fasthttp.RequestCtx, err error) {
	var network *net.OpError
	switch {
	case c.evicted.Load():
		s.events.count(eventBusy)
		rejectBusy(ctx, errEvicted.Error())
	case errors.Is(err, os.ErrDeadlineExceeded):
		s.events.count(eventTimedOut)
		rejectUnread(ctx, fasthttp.StatusRequestTimeout, "head: too slow")
	case errors.Is(err, errHeadTooLarge), errors.Is(err, errTooManyFields):
		s.events.count(eventInvalid)
		rejectUnread(ctx, fasthttp.StatusRequestHeaderFieldsTooLarge, err.Error())
	case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed), errors.As(err, &network):
		s.events.count(eventDisconnected)
		return
	default:
		s.events.count(eventInvalid)
		rejectUnread(ctx, fasthttp.StatusBadRequest, "unreadable request")
	}
	c.setPhase(phaseResponding)
	_ = c.writeResponse(&ctx.Response, framing{}, true) // the connection is closed in any case
}

// writeResponse writes a response. closing announces that the connection is closed after it.
func (c *clientConn) writeResponse(response *fasthttp.Response, framing framing, closing bool) error {
	body := response.Body()
	header := &response.Header
	switch {
	case closing:
		header.SetConnectionClose()
	case framing.http10:
		header.Set(fasthttp.HeaderConnection, "keep-alive")
	}
	header.SetContentLength(len(body))
	buffer := writePool.Get().(*[]byte)
	defer writePool.Put(buffer)
	out := header.AppendBytes((*buffer)[:0])
	if len(header.ContentType()) == 0 {
		out = removeDate(out)
	}
	if framing.head {
		body = nil
	}
	inline := min(len(body), max(0, writeBufferSize-len(out)))
	out = append(out, body[:inline]...)
	if cap(out) <= writeBufferSize {
		*buffer = out
	}
	_, err := c.Write(out)
	if err == nil && inline < len(body) {
		_, err = c.Write(body[inline:])
	}
	return err
}

// removeDate removes the Date field, which fasthttp adds to every response; responses without
// content have none.
func removeDate(head []byte) []byte {
	start := bytes.Index(head, []byte("\r\nDate: "))
	if start < 0 {
		return head
	}
	length := bytes.Index(head[start+2:], []byte("\r\n"))
	if length < 0 {
		return head
	}
	return append(head[:start], head[start+2+length:]...)
}

// acquireReader gives the connection a read buffer, if it has none.
func (c *clientConn) acquireReader() *bufio.Reader {
	if c.reader == nil {
		c.reader = readerPool.Get().(*bufio.Reader)
		c.reader.Reset(c)
	}
	return c.reader
}

// releaseReader returns the read buffer and what is in it.
func (c *clientConn) releaseReader() {
	if c.reader != nil {
		c.reader.Reset(nil)
		readerPool.Put(c.reader)
		c.reader = nil
	}
}

// buffered returns the number of bytes that were read and belong to later requests.
func (c *clientConn) buffered() int {
	if c.reader == nil {
		return 0
	}
	return c.reader.Buffered()
}

// releaseEmptyReader returns the read buffer unless it holds bytes of later requests.
func (c *clientConn) releaseEmptyReader() {
	if c.buffered() == 0 {
		c.releaseReader()
	}
}
