// Package block implements block-wise transfers (RFC 7959) of bodies larger than one
// datagram, in requests (Block1) and responses (Block2). Receiver and Sender are for
// servers, Upload and Download for clients.
//
// The package does no I/O and reads no clock: callers pass in the current time, which must
// never decrease. No type is safe for concurrent use. A server's transfers are limited in
// number, size and idle time; a client's transfer is part of one request.
package block

import (
	"errors"
	"fmt"
	"time"

	"otterspring/internal/coap/message"
)

// Errors of a client's transfers.
var (
	ErrUnexpectedBlock = errors.New("block: response has a different block than requested")
	ErrBodyTooLarge    = errors.New("block: body larger than the limit")
	ErrBodyChanged     = errors.New("block: ETag changed between blocks")
	ErrMalformedBlock  = errors.New("block: reserved block size, or payload size does not match the block size")
)

// ErrLimits is returned if limits are out of range.
var ErrLimits = errors.New("block: limits out of range")

// Limits limits the transfers that a server has in flight.
type Limits struct {
	MaxTransfers int           // concurrent transfers
	MaxBodySize  int           // bytes per body
	MaxTotalSize int           // bytes of all bodies in total
	IdleTimeout  time.Duration // a transfer is abandoned after this time without a block
	MaxBlockSize int           // maximum size in bytes of the blocks that are sent or requested
}

func (l *Limits) validate() error {
	if l.MaxTransfers < 1 || l.MaxBodySize < 1 || l.MaxTotalSize < l.MaxBodySize || l.IdleTimeout <= 0 ||
		l.MaxBlockSize < message.MinBlockSize || l.MaxBlockSize > message.MaxBlockSize {
		return fmt.Errorf("%w: found %+v, expected MaxTransfers, MaxBodySize and IdleTimeout above 0, MaxTotalSize not below MaxBodySize, MaxBlockSize of %d to %d",
			ErrLimits, *l, message.MinBlockSize, message.MaxBlockSize)
	}
	return nil
}

// Key returns the key of the transfer to which a request belongs. It is made of the peer,
// the method and all options that are the same for every block of a transfer (RFC 7959,
// section 2; RFC 9175, section 3, for Request-Tag).
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

// hasValidSize reports whether the size of a payload matches its block option (RFC 7959,
// section 2.2): all blocks but the last must be full.
func hasValidSize(block message.Block, payload []byte) bool {
	if block.More {
		return len(payload) == block.Size
	}
	return len(payload) <= block.Size
}
