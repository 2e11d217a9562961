package exchange

import (
	"fmt"
	"net/netip"

	"otterspring/internal/coap/message"
)

// Peer is the address of the other endpoint.
type Peer = netip.AddrPort

// messageKey identifies a message by the endpoint that it is from or to, and its ID.
type messageKey struct {
	peer Peer
	id   uint16
}

// ActionKind says what the caller must do.
type ActionKind int

// Kinds of action.
const (
	Send     ActionKind = iota // send Datagram to Peer
	Deliver                    // Server: process the new request Message; Handle names it
	Response                   // Client: Message is the response to request Handle
	Failed                     // Client: request Handle ended without a response, for Reason
	Canceled                   // Server: the client rejected the response or notification Handle
)

// FailureReason is why a request ended without a response.
type FailureReason int

// Reasons of a failure.
const (
	Rejected    FailureReason = iota // a Reset was received
	TimedOut                         // no acknowledgement, or none but an empty one, was received
	Unreachable                      // the network refused the datagram, or it was never sent
)

// String returns the reason in English.
func (r FailureReason) String() string {
	if r < Rejected || r > Unreachable {
		return fmt.Sprintf("FailureReason(%d)", int(r))
	}
	return [...]string{"rejected", "timed out", "unreachable"}[r]
}

// Action is one thing that the caller must do.
type Action struct {
	Kind     ActionKind
	Peer     Peer
	Datagram []byte
	Message  message.Message
	Handle   uint64
	Reason   FailureReason
	// Transmissions of a request that ended, and whether an empty acknowledgement was
	// received. With one transmission and no acknowledgement, a Reset proves that the
	// server did not process the request.
	Transmissions int
	Acknowledged  bool
}

// Counts are totals of an endpoint since its start.
type Counts struct {
	Received, Sent     int // datagrams
	Retransmissions    int
	Duplicates         int // received again, and answered from the cache or ignored
	Dropped            int // messages that match nothing
	CapacityRejections int // requests and notifications over a limit
	Evicted            int // exchanges of safe methods that were forgotten early
	Compacted          int // exchanges of unsafe methods reduced to a hash
	Resets             int // received
}

// emptyMessage encodes a message without token, options and payload.
func emptyMessage(kind message.Type, id uint16) []byte {
	empty := message.Message{Type: kind, ID: id}
	datagram, err := empty.Append(make([]byte, 0, 4)) // 4 bytes: the header
	if err != nil {
		panic(err) // only a message with a token, options or a payload has an error
	}
	return datagram
}

// clone returns a copy of the message that shares no memory with it. The copy has one
// buffer for all bytes.
func clone(original *message.Message) message.Message {
	copied := *original
	size := len(original.Token) + len(original.Payload)
	for _, option := range original.Options {
		size += len(option.Value)
	}
	buffer := make([]byte, 0, size)
	copyBytes := func(bytes []byte) []byte {
		if len(bytes) == 0 {
			return nil
		}
		start := len(buffer)
		buffer = append(buffer, bytes...)
		return buffer[start:len(buffer):len(buffer)]
	}
	copied.Token, copied.Payload = copyBytes(original.Token), copyBytes(original.Payload)
	copied.Options = make([]message.Option, len(original.Options))
	for i, option := range original.Options {
		copied.Options[i] = message.Option{Number: option.Number, Value: copyBytes(option.Value)}
	}
	return copied
}
