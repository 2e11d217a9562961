// Package block implements block-wise transfers (RFC 7959): bodies larger than one
// datagram, in requests (Block1) and responses (Block2), for servers (Receiver, Sender)
// and clients (Upload, Download).
//
// It does no I/O and has no clock: the caller passes the time, which must not go back.
// No type is safe for concurrent use. A server's transfers are bounded in number, in
// bytes and in time; a client's transfer belongs to its request and ends with it.
package block

import (
	"errors"
	"fmt"
	"time"

	"otterspring/internal/coap/message"
)

// Errors of a client's transfers.
var (
	ErrUnexpectedBlock = errors.New("block: response with another block than the requested one")
	ErrBodyTooLarge    = errors.New("block: body larger than the limit")
	ErrBodyChanged     = errors.New("block: ETag changed between blocks")
	ErrMalformedBlock  = errors.New("block: block of a reserved size, or payload of another size than the block's")
)

// ErrLimits is returned for limits that are out of range.
var ErrLimits = errors.New("block: limits out of range")

// Limits bound the transfers that a server has in flight.
type Limits struct {
	MaxTransfers int           // at a time
	MaxBodySize  int           // bytes of one body
	MaxTotalSize int           // bytes of all bodies together
	IdleTimeout  time.Duration // a transfer without a block for this long is abandoned
	MaxBlockSize int           // bytes of the largest block that is sent or requested
}

func (l *Limits) validate() error {
	if l.MaxTransfers < 1 || l.MaxBodySize < 1 || l.MaxTotalSize < l.MaxBodySize || l.IdleTimeout <= 0 ||
		l.MaxBlockSize < message.MinBlockSize || l.MaxBlockSize > message.MaxBlockSize {
		return fmt.Errorf("%w: found %+v, expected MaxTransfers, MaxBodySize and IdleTimeout above 0, MaxTotalSize not below MaxBodySize, MaxBlockSize of %d to %d",
			ErrLimits, *l, message.MinBlockSize, message.MaxBlockSize)
	}
	return nil
}

// Key identifies a transfer by its peer, method and options other than those of the
// single block (RFC 7959, section 2; RFC 9175, section 3, for Request-Tag).
func Key(peer string, request *message.Message) string {
	key := append([]byte(peer), 0, byte(request.Code))
	for _, option := range request.Options {
		switch option.Number {
		case message.Block1, message.Block2, message.Observe, message.Echo:
			continue
		}
		if option.Number.NoCacheKey() {
			continue
		}
		length := len(option.Value)
		key = append(key, byte(option.Number>>8), byte(option.Number), byte(length>>8), byte(length))
		key = append(key, option.Value...)
	}
	return string(key)
}

// fullBlock reports whether a payload has the size that its block requires (RFC 7959,
// section 2.2): all but the last block are full.
func fullBlock(block message.Block, payload []byte) bool {
	if block.More {
		return len(payload) == block.Size
	}
	return len(payload) <= block.Size
}
