// Package exchange is the message layer of CoAP (RFC 7252, section 4 and 5.2 to
// 5.3): confirmable messages with their retransmissions, deduplication, and the
// matching of answers by endpoint, token and message ID. It does no I/O, has no
// clock and starts no goroutine: datagrams and times come in, datagrams to send
// and news go out. Server is the role that is asked, Client the one that asks.
package exchange

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"otterspring/internal/coap/message"
)

// Params are the transmission parameters (RFC 7252, section 4.8).
type Params struct {
	AckTimeout    time.Duration // least wait for an acknowledgement
	RandomFactor  float64       // and the most, as a multiple of that
	MaxRetransmit int
	MaxLatency    time.Duration // a datagram's longest way
	// NStart is how many interactions may be outstanding with one server
	// (section 4.7). 1 suits the open Internet; a call server next door, whose
	// load the decision module bounds, takes more.
	NStart int
	// AckDelay is how long a server waits with an empty acknowledgement for its
	// answer to be ready: within it the answer goes with the acknowledgement. It
	// must stay well under AckTimeout, else clients repeat for nothing.
	AckDelay time.Duration
}

// DefaultParams are the RFC's values; AckDelay, which it leaves open, is a quarter of
// AckTimeout.
func DefaultParams() Params {
	return Params{AckTimeout: 2 * time.Second, RandomFactor: 1.5, MaxRetransmit: 4, MaxLatency: 100 * time.Second, NStart: 1, AckDelay: 500 * time.Millisecond}
}

func (p *Params) validate() error {
	switch {
	case p.AckTimeout <= 0:
		return errors.New("exchange: AckTimeout: not positive")
	case !(p.RandomFactor >= 1 && p.RandomFactor <= 10):
		return errors.New("exchange: RandomFactor: outside 1 to 10")
	case p.MaxRetransmit < 0 || p.MaxRetransmit > 20:
		return errors.New("exchange: MaxRetransmit: outside 0 to 20")
	case p.NStart < 1:
		return errors.New("exchange: NStart: under 1")
	case p.AckDelay <= 0 || p.AckDelay >= p.AckTimeout:
		return errors.New("exchange: AckAfter: outside 0 to AckTimeout")
	case p.MaxLatency < 0:
		return errors.New("exchange: MaxLatency: negative")
	}
	return nil
}

// MaxTransmitSpan is the longest time from the first transmission of a confirmable
// message to its last (section 4.8.2): 45 s by default.
func (p *Params) MaxTransmitSpan() time.Duration {
	return time.Duration(float64(p.AckTimeout) * float64(int(1)<<p.MaxRetransmit-1) * p.RandomFactor)
}

// MaxTransmitWait is the longest time from there until the sender gives up: 93 s.
func (p *Params) MaxTransmitWait() time.Duration {
	return time.Duration(float64(p.AckTimeout) * float64(int(1)<<(p.MaxRetransmit+1)-1) * p.RandomFactor)
}

// ExchangeLifetime is how long a message ID of a confirmable message must not be
// used anew, and a repeat of it may come: 247 s.
func (p *Params) ExchangeLifetime() time.Duration {
	return p.MaxTransmitSpan() + 2*p.MaxLatency + p.AckTimeout
}

// NonLifetime is the same for a non-confirmable message: 145 s.
func (p *Params) NonLifetime() time.Duration { return p.MaxTransmitSpan() + p.MaxLatency }

// Peer is an endpoint.
type Peer = netip.AddrPort

// key names a message: the endpoint that it is from or to, and its ID.
type key struct {
	peer Peer
	id   uint16
}

// ActionKind says what an action is.
type ActionKind int

// The kinds of action.
const (
	Send     ActionKind = iota // send Datagram to Peer
	Deliver                    // Server: a new request, Message, named Handle
	Response                   // Client: the answer, Message, to Handle
	Failed                     // Client: Handle ended without an answer, as Why says
	Canceled                   // Server: the client has rejected the answer to Handle
)

// Reason is how a request ended without an answer.
type FailureReason int

// The ways.
const (
	Rejected    FailureReason = iota // a Reset came
	TimedOut                         // nothing came, or nothing behind an acknowledgement
	Unreachable                      // the network said that nobody is there
)

// Action is one thing for the caller to do, in the order given.
type Action struct {
	Kind     ActionKind
	Peer     Peer
	Datagram []byte
	Message  message.Message
	Handle   uint64
	Reason   FailureReason
	// Of a request that ended: how often it was sent, and whether an empty
	// acknowledgement had come. With Sent 1 and no acknowledgement a Reset
	// proves that the request was not taken.
	Transmissions int
	Acknowledged  bool
}

// transmission is a confirmable message that waits for its acknowledgement.
type transmission struct {
	datagram []byte
	sent     int
	wait     time.Duration
	due      time.Duration
}

// begin plans the retransmissions of a message that is sent now.
func (p *Params) begin(rng *rand.Rand, datagram []byte, now time.Duration) transmission {
	wait := time.Duration(float64(p.AckTimeout) * (1 + (p.RandomFactor-1)*rng.Float64()))
	return transmission{datagram: datagram, sent: 1, wait: wait, due: now + wait}
}

// again plans the next wait; false where the message has been sent as often as
// it may.
func (t *transmission) again(p *Params) bool {
	if t.sent > p.MaxRetransmit {
		return false
	}
	t.sent++
	t.wait *= 2
	t.due += t.wait
	return true
}

// Counts are what a side did, for operators.
type Counts struct {
	Received, Sent     int
	Retransmissions    int
	Duplicates         int // repeats that were answered from memory, or not at all
	Dropped            int // could not be answered or matched
	CapacityRejections int // for want of room
	Evicted            int // finished exchanges given up early, all of them safe to repeat
	Compacted          int // others of which only a hash was kept
	Resets             int // that came
}

// plain is a message without options or payload.
func plain(t message.Type, id uint16) []byte {
	m := message.Message{Type: t, ID: id}
	text, _ := m.Append(make([]byte, 0, 4)) // 4 bytes: it can't fail
	return text
}

// clone copies what a message shares with its datagram.
func clone(m *message.Message) message.Message {
	c := *m
	size := len(m.Token) + len(m.Payload)
	for _, o := range m.Options {
		size += len(o.Value)
	}
	buf := make([]byte, 0, size)
	copied := func(b []byte) []byte {
		if len(b) == 0 {
			return nil
		}
		at := len(buf)
		buf = append(buf, b...)
		return buf[at:len(buf):len(buf)]
	}
	c.Token, c.Payload = copied(m.Token), copied(m.Payload)
	c.Options = make([]message.Option, len(m.Options))
	for i, o := range m.Options {
		c.Options[i] = message.Option{Number: o.Number, Value: copied(o.Value)}
	}
	return c
}

// String names a way to end.
func (w FailureReason) String() string {
	if w < Rejected || w > Unreachable {
		return fmt.Sprintf("Why(%d)", int(w))
	}
	return [...]string{"rejected", "lost", "refused"}[w]
}
