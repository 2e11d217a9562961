package coapserver

import (
	"bytes"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"otterspring/balance"
	"otterspring/internal/coap/format"
	"otterspring/internal/coap/server"
	"otterspring/internal/sidecar/dispatch"
)

// rejectionDelay is the Max-Age of the response to a request that is rejected because the
// memory budget for bodies is exhausted.
const rejectionDelay = time.Second

// request is a request that is submitted to the dispatcher. It is the value of the fields
// Native and Conn of its dispatch.Request.
type request struct {
	server     *Server
	call       dispatch.Request
	received   server.Request
	bodyLength atomic.Int64
}

// newRequest registers a request as pending. The caller holds mu.
func (s *Server) newRequest(received server.Request) *request {
	r := &request{server: s, received: received}
	s.pending[received.Handle] = r
	r.call.ID = received.ID
	if r.call.ID == "" {
		r.call.ID = fmt.Sprintf("coap-%016x", s.random.Uint64())
	}
	return r
}

// SetReadDeadline passes the request to deliverResponses. The dispatcher calls SetReadDeadline
// once the result is set. The call does not block, since the channel completed has capacity
// for all pending requests.
func (r *request) SetReadDeadline(time.Time) error {
	select {
	case r.server.completed <- r:
	default:
	}
	return nil
}

// SetDeadline does nothing. The dispatcher does not call SetDeadline, since the dispatcher
// never writes to the Conn of a request.
func (r *request) SetDeadline(time.Time) error { return nil }

// Neutral returns the request in the form that upstreams of any protocol accept.
func (r *request) Neutral() dispatch.Message {
	received := &r.received
	m := dispatch.Message{
		Target: received.Target, ID: r.call.ID, IdempotencyKey: received.IdempotencyKey, Tenant: received.Tenant,
		AffinityKey: received.AffinityKey, IsRetry: received.IsRetry, Safe: received.Safe,
	}
	if received.ContentFormat >= 0 {
		m.ContentType, _ = format.MediaType(received.ContentFormat)
	}
	return m
}

// submit submits a request to the dispatcher. The server holds its own reference to the body
// until the result is set.
func (s *Server) submit(r *request) {
	received := &r.received
	r.call.Native, r.call.Conn, r.call.Done = r, r, make(chan struct{})
	if len(received.Body) > 0 {
		r.call.Body = dispatch.NewBody(s.bodies, &r.bodyLength)
		if err := r.call.Body.Fill(bytes.NewReader(received.Body), len(received.Body)); err != nil {
			r.call.Body.Release()
			s.respond(r, server.Response{Outcome: server.Rejected, RetryAfter: rejectionDelay})
			return
		}
	}
	body := r.call.Body
	if !s.dispatcher.Submit(&r.call, balance.Request{
		ID: r.call.ID, Class: received.Class, Tenant: received.Tenant, Key: received.AffinityKey, IsRetry: received.IsRetry, Deadline: received.Deadline,
	}) {
		body.Release()
		s.respond(r, server.Response{Outcome: server.Conflict})
	}
}

// deliverResponses passes the dispatcher's results to the state machine until Close.
func (s *Server) deliverResponses() {
	defer s.wg.Done()
	for {
		select {
		case r := <-s.completed:
			r.call.Body.Release()
			s.dispatcher.RecordAnswerStart(&r.call, "coap")
			s.respond(r, responseOf(&r.call.Result))
		case <-s.closed:
			return
		}
	}
}

// respond passes the response to a pending request to the state machine.
func (s *Server) respond(r *request, response server.Response) {
	s.mu.Lock()
	delete(s.pending, r.received.Handle)
	s.execute(s.protocol.Respond(s.now(), r.received.Handle, response, nil))
}

// responseOf converts a result of the dispatcher and releases the upstream's response.
func responseOf(result *dispatch.Result) server.Response {
	switch result.Kind {
	case balance.Reject:
		return server.Response{Outcome: server.Rejected, RetryAfter: result.RetryAfter}
	case balance.Fail:
		return server.Response{Outcome: server.Failed}
	}
	response := server.Response{Outcome: server.Succeeded, Body: bytes.Clone(result.Response.Body()), ContentFormat: -1}
	if contentType := result.Response.ContentType(); len(contentType) > 0 {
		response.ContentFormat = format.ContentFormat(strings.Clone(string(contentType)))
	}
	result.Response.Release()
	return response
}
