package block

import (
	"time"

	"otterspring/internal/coap/message"
)

// Receiver assembles the bodies of requests (Block1).
type Receiver struct{ *table }

// NewReceiver returns a Receiver without transfers, or an error that wraps ErrLimits.
func NewReceiver(limits Limits) (*Receiver, error) {
	t, err := newTable(limits)
	if err != nil {
		return nil, err
	}
	return &Receiver{t}, nil
}

// Progress is the state of a transfer after a request with a Block1 option. Either the body
// is complete, or the request must be answered with Code.
type Progress struct {
	Complete    bool
	Body        []byte        // complete body, owned by the caller; nil unless Complete
	Code        message.Code  // code of the response; not set if Complete
	Block       message.Block // the Block1 option of the response
	MaxBodySize int           // value of the Size1 option of a 4.13 response; 0 for other responses
}

// Receive processes a request with a Block1 option. key must be the result of Key for the
// request.
func (r *Receiver) Receive(now time.Duration, key string, request *message.Message) Progress {
	r.expire(now)
	block, _, valid := request.Block(message.Block1)
	if !valid || !hasValidSize(block, request.Payload) {
		return Progress{Code: message.BadRequest}
	}
	progress := Progress{Block: block}
	entry := r.byKey[key]
	switch {
	case block.Num == 0:
		if entry != nil {
			r.remove(entry) // the client restarted the transfer
		}
		entry = &transfer{key: key}
	case entry == nil || int(block.Num)*block.Size != len(entry.body):
		// The block can't be a retransmission of the previous block. A retransmission has
		// the message ID of the first transmission, so the message layer detects the
		// duplicate and does not deliver it.
		if entry != nil {
			r.remove(entry)
		}
		progress.Code = message.RequestEntityIncomplete
		return progress
	}
	if !r.admit(entry, request) {
		r.Rejected++
		r.remove(entry)
		progress.Code, progress.MaxBodySize = message.RequestEntityTooLarge, r.limits.MaxBodySize
		return progress
	}
	entry.body = append(entry.body, request.Payload...)
	r.size += len(request.Payload)
	r.touch(now, entry)
	if !block.More {
		r.remove(entry)
		progress.Complete, progress.Body = true, entry.body
		return progress
	}
	progress.Code = message.Continue
	// A smaller block size may be requested only in response to the first block (RFC
	// 7959, section 2.3). The client keeps that size for the following blocks.
	progress.Block.Size = min(block.Size, r.limits.MaxBlockSize)
	return progress
}

// admit reports whether the limits permit the block and the body size that the request
// announces. It abandons other transfers if necessary.
func (r *Receiver) admit(entry *transfer, request *message.Message) bool {
	if size, announced := request.Uint(message.Size1); announced && int(size) > r.limits.MaxBodySize {
		return false
	}
	return r.reserve(entry, len(request.Payload))
}

// Sender sends large responses in blocks (Block2).
type Sender struct{ *table }

// NewSender returns a Sender without transfers, or an error that wraps ErrLimits.
func NewSender(limits Limits) (*Sender, error) {
	t, err := newTable(limits)
	if err != nil {
		return nil, err
	}
	return &Sender{t}, nil
}

// FirstBlock returns the first block of a response, or the full response if it fits into
// one block. It caches the response for NextBlock. key must be the result of Key for the
// request. A response that exceeds a limit is replaced with 5.00.
func (s *Sender) FirstBlock(now time.Duration, key string, request *message.Message, response message.Message) message.Message {
	s.expire(now)
	size := s.limits.MaxBlockSize
	block, found, valid := request.Block(message.Block2)
	requested := found && valid
	if requested {
		size = min(size, block.Size)
	}
	if len(response.Payload) <= size && !requested {
		return response
	}
	if requested && block.Num > 0 {
		// The client requests a later block of a response that was not cached. The
		// response was produced again, which is permitted only for idempotent requests.
		return blockOfResponse(response, response.Payload, block.Num, size)
	}
	if previous := s.byKey[key]; previous != nil {
		s.remove(previous)
	}
	if len(response.Payload) > size {
		entry := &transfer{key: key}
		if !s.reserve(entry, len(response.Payload)) {
			s.Rejected++
			return message.Message{Code: message.InternalServerError}
		}
		entry.body, entry.code = response.Payload, response.Code
		entry.options = append([]message.Option(nil), response.Options...)
		s.size += len(entry.body)
		s.touch(now, entry)
	}
	return blockOfResponse(response, response.Payload, 0, size)
}

// NextBlock returns a later block of a cached response. It returns false if the request is
// for the first block or the response is not cached. The response stays cached after its
// last block has been sent, since the client may request the last block again.
func (s *Sender) NextBlock(now time.Duration, key string, request *message.Message) (message.Message, bool) {
	s.expire(now)
	block, found, valid := request.Block(message.Block2)
	entry := s.byKey[key]
	if !found || !valid || block.Num == 0 || entry == nil {
		return message.Message{}, false
	}
	s.touch(now, entry)
	size := min(block.Size, s.limits.MaxBlockSize)
	if size < block.Size {
		// The requested block number counts blocks of the requested size. It is converted to
		// count blocks of the smaller size.
		block.Num = uint32(int(block.Num) * block.Size / size)
	}
	response := message.Message{Code: entry.code, Options: append([]message.Option(nil), entry.options...)}
	return blockOfResponse(response, entry.body, block.Num, size), true
}

// blockOfResponse returns the response with one block of its body, or 4.02 if the block is
// past the end of the body.
func blockOfResponse(response message.Message, body []byte, num uint32, size int) message.Message {
	start := int(num) * size
	if start >= len(body) && start > 0 {
		return message.Message{Code: message.BadOption}
	}
	end := min(start+size, len(body))
	response.Payload = body[start:end]
	response.AddBlock(message.Block2, message.Block{Num: num, More: end < len(body), Size: size})
	if num == 0 {
		response.AddUint(message.Size2, uint32(len(body)))
	}
	return response
}
