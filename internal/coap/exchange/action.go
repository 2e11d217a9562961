package exchange

import (
	"fmt"
	"net/netip"

	"otterspring/internal/coap/message"
)

// Peer is the address of the remote endpoint.
type Peer = netip.AddrPort

// messageKey identifies a message by its remote endpoint and its message ID.
type messageKey struct {
	peer Peer
	id   uint16
}

// ActionKind is the kind of an Action.
type ActionKind int

// Kinds of actions.
const (
	Send     ActionKind = iota // send Datagram to Peer
	Deliver                    // Server: process the new request Message, identified by Handle
	Response                   // Client: Message is the response to request Handle
	Failed                     // Client: request Handle ended without a response, for Reason
	// Canceled is for a Server: the client sent a Reset for the response or notification
	// Handle, or did not acknowledge the notification Handle.
	Canceled
)

// FailureReason is the reason why a request ended without a response.
type FailureReason int

// Reasons for a failure.
const (
	Rejected    FailureReason = iota // the server sent a Reset
	TimedOut                         // no response within MAX_TRANSMIT_WAIT, even if an empty acknowledgement arrived
	Unreachable                      // no server received the request: its only datagram was refused, or not sent because an earlier one was
	NotSent                          // no datagram with the request left this machine
	PeerLost                         // another datagram was refused; the server may have processed the request before
)

func (r FailureReason) String() string {
	if r < Rejected || r > PeerLost {
		return fmt.Sprintf("FailureReason(%d)", int(r))
	}
	return [...]string{"rejected", "timed out", "unreachable", "not sent", "peer lost"}[r]
}

// Action is an instruction to the caller.
type Action struct {
	Kind     ActionKind
	Peer     Peer
	Datagram []byte
	Message  message.Message
	Handle   uint64
	Reason   FailureReason
	// Transmissions is the number of datagrams with a request that left this machine.
	// Acknowledged is true if an empty acknowledgement of the request was received. If a
	// request was sent only once and was not acknowledged, a Reset proves that the server
	// did not process the request.
	Transmissions int
	Acknowledged  bool
}

// Counts holds an endpoint's totals since it was created.
type Counts struct {
	Received, Sent     int // datagrams
	Retransmissions    int
	Duplicates         int // duplicates received, answered from the cache or ignored
	Dropped            int // messages that match no exchange, and malformed ones
	CapacityRejections int // requests and notifications rejected at a limit
	Evicted            int // exchanges of safe methods removed before their expiry
	Compacted          int // exchanges of unsafe methods of which only a hash is kept
	Resets             int // Resets received
	Refusals           int // datagrams that were refused by an ICMP message
	UnknownRefusals    int // those of them that could not be attributed to a request
	SendFailures       int // datagrams that did not leave this machine
}

// emptyMessage encodes an empty message (RFC 7252, section 4.1).
func emptyMessage(kind message.Type, id uint16) []byte {
	empty := message.Message{Type: kind, ID: id}
	datagram, err := empty.Append(make([]byte, 0, 4)) // size of the header
	if err != nil {
		panic(err) // unreachable: encoding fails only for a token, options or a payload
	}
	return datagram
}

// clone returns a deep copy of the message. All byte slices of the copy share one
// allocation.
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
