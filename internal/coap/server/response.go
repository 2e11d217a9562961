package server

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"otterspring/internal/coap/message"
)

// Outcome is the result of the execution of a request.
type Outcome int

// The outcomes.
const (
	Succeeded   Outcome = iota
	Rejected            // not executed; a retry is safe
	RateLimited         // not executed, because of the request rate of this client (RFC 8516)
	Failed              // the request may have been executed
	Conflict            // the request ID is in use or was used before
	NotExecuted         // not executed; the response carries OptNotExecuted, as responses from upstreams do
)

// Response is the result of a request.
type Response struct {
	Outcome       Outcome
	RetryAfter    time.Duration // delay before a retry of a rejected request; 0 for none
	Body          []byte
	ContentFormat int // -1 for none
}

// Respond takes the result of a pending request and appends the resulting actions. A handle
// that is not pending is ignored.
func (s *Server) Respond(now time.Duration, handle uint64, response Response, actions []Action) []Action {
	s.ensureStarted(now)
	s.actions = actions
	exec := s.pending[handle]
	if exec == nil {
		return s.takeActions()
	}
	delete(s.pending, handle)
	if exec.exchange == 0 {
		s.handlePollResponse(now, exec, response)
		return s.takeActions()
	}
	msg := responseMessage(exec, response)
	if exec.observation != nil {
		s.acceptObservation(exec, response, &msg)
	}
	if msg.Code.Class() == 2 {
		msg = s.downloads.FirstBlock(now, exec.transferKey, &exec.message, msg)
	}
	s.reply(now, exec, msg)
	return s.takeActions()
}

// responseMessage encodes a response as a message.
func responseMessage(exec *execution, response Response) message.Message {
	switch response.Outcome {
	case Rejected:
		return rejection(message.ServiceUnavailable, response.RetryAfter)
	case RateLimited:
		return rejection(message.TooManyRequests, response.RetryAfter)
	case Failed:
		return message.Message{Code: message.BadGateway, Payload: []byte("failed")}
	case NotExecuted:
		msg := rejection(message.ServiceUnavailable, response.RetryAfter)
		msg.Add(OptNotExecuted, nil)
		return msg
	case Conflict:
		return message.Message{Code: message.Conflict, Payload: []byte("option 65001: in use or used before")}
	}
	msg := message.Message{Code: message.Changed, Payload: response.Body}
	if exec.class.Idempotency == Idempotent {
		msg.Code = message.Content
		msg.AddUint(message.MaxAge, 0) // not to be cached
		msg.Add(message.ETag, entityTag(response.Body))
		if known, ok := exec.message.Get(message.ETag); ok && string(known) == string(entityTag(response.Body)) {
			msg.Code, msg.Payload = message.Valid, nil
			return msg
		}
	}
	if exec.accept >= 0 && response.ContentFormat >= 0 && exec.accept != response.ContentFormat {
		return message.Message{Code: message.NotAcceptable}
	}
	if response.ContentFormat >= 0 && len(response.Body) > 0 {
		msg.AddUint(message.ContentFormat, uint32(response.ContentFormat))
	}
	return msg
}

// rejection returns the response to a request that was not executed. Its Max-Age is
// retryAfter in seconds, rounded up. The option is always present, because its default is
// 60 s (RFC 7252, section 5.10.5).
func rejection(code message.Code, retryAfter time.Duration) message.Message {
	msg := message.Message{Code: code}
	msg.AddUint(message.MaxAge, uint32((max(0, retryAfter)+time.Second-1)/time.Second))
	return msg
}

// echoChallenge returns a 4.01 response with an Echo value, which the client has to repeat in
// its request (RFC 9175, section 2.3).
func (s *Server) echoChallenge(now time.Duration, exec *execution) message.Message {
	msg := message.Message{Code: message.Unauthorized}
	msg.Add(message.Echo, s.echoIssuer.Value(now, exec.peer))
	return msg
}

// reply sends the response to an exchange. A response to an unverified source is shortened
// to fit the amplification limit.
func (s *Server) reply(now time.Duration, exec *execution, msg message.Message) {
	if now < s.historyKnownAt && !exec.freshEcho {
		if _, ok := msg.Get(message.Echo); !ok {
			msg.Add(message.Echo, s.echoIssuer.Value(now, exec.peer))
		}
	}
	limit := 0
	if !exec.freshEcho && !s.trusted(exec.peer) {
		limit = maxAmplification*exec.datagramSize - emptyMessageSize
		msg = s.fitResponse(now, exec, msg, limit)
	}
	actions, err := s.exchanges.RespondWithByteLimit(now, exec.exchange, msg, limit, nil)
	if err != nil {
		// A message without options and payload can always be encoded.
		actions, _ = s.exchanges.Respond(now, exec.exchange, message.Message{Code: message.InternalServerError}, nil)
	}
	s.execute(now, actions, 0)
}

// fitResponse reduces a response to at most limit bytes. It uses a smaller block size, omits
// the body, or replaces the response with an Echo challenge.
func (s *Server) fitResponse(now time.Duration, exec *execution, msg message.Message, limit int) message.Message {
	if encodedLength(&msg, len(exec.message.Token)) <= limit {
		return msg
	}
	s.counts.AmplificationLimited++
	if msg.Code.Class() != 2 {
		msg.Payload = nil // the payload is only diagnostic
		return msg
	}
	if exec.class.Idempotency != Idempotent {
		// The code confirms the execution; the body is dropped.
		return message.Message{Code: msg.Code}
	}
	if _, ok := exec.message.Get(message.Block2); !ok {
		for size := message.MaxBlockSize; size >= minBlockSize; size /= 2 {
			request := exec.message
			request.Options = slices.Clone(exec.message.Options)
			request.AddBlock(message.Block2, message.Block{Size: size})
			first := s.downloads.FirstBlock(now, exec.transferKey, &request, msg)
			if encodedLength(&first, len(exec.message.Token)) <= limit {
				return first
			}
		}
	}
	return s.echoChallenge(now, exec)
}

// encodedLength returns the size in bytes of a message with a token of tokenLength bytes.
func encodedLength(msg *message.Message, tokenLength int) int {
	withToken := *msg
	withToken.Token = make([]byte, tokenLength)
	text, err := withToken.Append(nil)
	if err != nil {
		return math.MaxInt // can't be encoded: exceeds every limit
	}
	return len(text)
}

// entityTag returns the ETag of a body. The hash is not cryptographic: it detects changes but
// doesn't authenticate the body.
func entityTag(body []byte) []byte { return binary.BigEndian.AppendUint64(nil, xxhash.Sum64(body)) }
