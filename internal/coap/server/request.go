package server

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"otterspring/internal/coap/block"
	"otterspring/internal/coap/message"
)

// Request is an application request to be executed.
type Request struct {
	Handle         uint64
	Class          string
	Target         string // path and query, percent-encoded as in HTTP
	ID             string // empty if the client sent none
	IdempotencyKey string
	Tenant         string
	AffinityKey    string
	IsRetry        bool
	Safe           bool          // the method is GET
	Deadline       time.Duration // relative to now
	Body           []byte
	ContentFormat  int // -1 for none
}

// execution is a request that is being handled: a request of a client, or a poll for an
// observation.
type execution struct {
	exchange     uint64 // handle of the exchange in the message layer; 0 for a poll
	peer         netip.AddrPort
	datagramSize int // size in bytes of the datagram with the request
	message      message.Message
	transferKey  string // key of the block-wise transfer to which the request belongs
	observation  *observation
	class        Class
	freshEcho    bool
	accept       int // requested Content-Format, -1 for any
}

// handleRequest handles a request that is not a duplicate.
func (s *Server) handleRequest(now time.Duration, exec *execution) {
	exec.freshEcho = s.hasFreshEcho(now, exec.peer, &exec.message)
	if exec.message.Code == message.GET && exec.message.Path() == "/.well-known/core" {
		s.reply(now, exec, s.directory())
		return
	}
	request, invalid := s.parseRequest(exec)
	if invalid != nil {
		s.counts.BadRequests++
		s.reply(now, exec, message.Message{Code: invalid.code, Payload: []byte(invalid.diagnostic)})
		return
	}
	exec.transferKey = block.Key(exec.peer.String(), &exec.message)
	if b, ok, valid := exec.message.Block(message.Block2); ok && valid && b.Num > 0 {
		if next, ok := s.downloads.NextBlock(now, exec.transferKey, &exec.message); ok {
			s.reply(now, exec, next)
			return
		}
		if exec.class.Idempotency != Idempotent {
			// The response is no longer cached, and the request must not be executed again.
			s.reply(now, exec, message.Message{Code: message.RequestEntityIncomplete})
			return
		}
	}
	if _, ok := exec.message.Get(message.Block1); ok && !s.receiveBlock(now, exec, &request) {
		return
	}
	s.admit(now, exec, request)
}

// receiveBlock adds a block to the request body. It returns true once the body is complete;
// otherwise it has sent a reply to the block.
func (s *Server) receiveBlock(now time.Duration, exec *execution, request *Request) bool {
	progress := s.uploads.Receive(now, exec.transferKey, &exec.message)
	if progress.Complete {
		request.Body = progress.Body
		return true
	}
	msg := message.Message{Code: progress.Code}
	if progress.Code != message.BadRequest {
		msg.AddBlock(message.Block1, progress.Block)
	}
	if progress.MaxBodySize > 0 {
		msg.AddUint(message.Size1, uint32(progress.MaxBodySize))
	}
	if progress.Code.Class() == 4 {
		s.counts.BadRequests++
	}
	s.reply(now, exec, msg)
	return false
}

// admit submits a complete request if it may be executed, and rejects it otherwise.
func (s *Server) admit(now time.Duration, exec *execution, request Request) {
	if exec.class.Idempotency != Idempotent && s.settings.RequireEcho && !exec.freshEcho {
		s.reply(now, exec, s.echoChallenge(now, exec))
		return
	}
	if exec.class.Idempotency != Idempotent && !s.provablyNew(now, exec) {
		s.counts.PossiblyExecuted++
		msg := message.Message{Code: message.BadGateway, Payload: []byte("this process began lately: an earlier one may have run it")}
		msg.Add(message.Echo, s.echoIssuer.Value(now, exec.peer))
		s.reply(now, exec, msg)
		return
	}
	if s.draining {
		s.reply(now, exec, rejection(message.ServiceUnavailable, drainRetryAfter))
		return
	}
	if value, ok := exec.message.Uint(message.Observe); ok && exec.class.Idempotency == Idempotent {
		s.observe(now, exec, value, request)
	}
	s.submit(exec, request)
}

// submit passes a request to the caller for execution.
func (s *Server) submit(exec *execution, request Request) {
	s.lastHandle++
	request.Handle = s.lastHandle
	s.pending[request.Handle] = exec
	s.counts.Submitted++
	s.actions = append(s.actions, Action{Kind: Execute, Peer: exec.peer, Request: request})
}

// directory returns the list of classes in link format (RFC 6690).
func (s *Server) directory() message.Message {
	var links []string
	for name, class := range s.settings.Classes {
		link := "</" + name + ">"
		if class.Idempotency == Idempotent && s.settings.MaxObservers > 0 {
			link += ";obs"
		}
		links = append(links, link)
	}
	slices.Sort(links)
	msg := message.Message{Code: message.Content, Payload: []byte(strings.Join(links, ","))}
	msg.AddUint(message.ContentFormat, linkFormat)
	return msg
}
