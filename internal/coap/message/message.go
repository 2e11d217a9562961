// Package message reads and writes the datagrams of CoAP (RFC 7252, section 3).
// It does no I/O. What it decodes shares the datagram's memory; nothing is kept
// beyond the call that passed it in.
package message

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
)

// Type is a message's type (RFC 7252, section 4.2 and 4.3).
type Type uint8

// The types.
const (
	Confirmable     Type = 0
	NonConfirmable  Type = 1
	Acknowledgement Type = 2
	Reset           Type = 3
)

// String names a type as the RFC abbreviates it.
func (t Type) String() string { return [...]string{"CON", "NON", "ACK", "RST"}[t&3] }

// Bounds of a message.
const (
	MaxTokenSize = 8 // bytes (RFC 7252, section 3)
	MaxOptions   = 64
	// MaxDatagramSize is the largest datagram that is read: a block of 1,024 bytes
	// with its options, with room to spare. RFC 7252, section 4.6, bounds a
	// message at 1,152 bytes where nothing else is known.
	MaxDatagramSize = 2048
	headerBytes     = 4
	version         = 1
	marker          = 0xff
)

// Option is one option of a message.
type Option struct {
	Number Number
	Value  []byte
}

// Message is a CoAP message. Options are in the order of their numbers, and
// among the same number in the order they came.
type Message struct {
	Type    Type
	Code    Code
	ID      uint16
	Token   []byte
	Options []Option
	Payload []byte
}

// Errors of Decode. ErrNotCoAP is for what must be ignored in silence: too short
// to hold a header, or of another version (RFC 7252, section 3). All others are
// message format errors: a confirmable message is rejected with a Reset
// (section 4.2), a non-confirmable one may be ignored (section 4.3). Decode
// returns type and ID with those.
var (
	ErrNotCoAP        = errors.New("coap: not a message of version 1")
	ErrTokenLength    = errors.New("coap: token of 9 to 15 bytes")
	ErrTruncated      = errors.New("coap: ends within a token or an option")
	ErrReservedLength = errors.New("coap: reserved option delta or length")
	ErrOptionNumber   = errors.New("coap: option number over 65535")
	ErrTooManyOptions = errors.New("coap: too many options")
	ErrMissingPayload = errors.New("coap: payload marker without a payload")
	ErrNonEmpty       = errors.New("coap: empty message with more than a header")
	ErrReservedClass  = errors.New("coap: code of a reserved class")
	ErrTooLarge       = errors.New("coap: datagram too long")
)

// Decode reads a datagram into m, reusing m's options. The message shares the
// datagram's memory.
func Decode(datagram []byte, m *Message) error {
	if len(datagram) < headerBytes || datagram[0]>>6 != version {
		return ErrNotCoAP
	}
	*m = Message{
		Type: Type(datagram[0] >> 4 & 3), Code: Code(datagram[1]), ID: binary.BigEndian.Uint16(datagram[2:]),
		Options: m.Options[:0],
	}
	if len(datagram) > MaxDatagramSize {
		return ErrTooLarge
	}
	tokenLen := int(datagram[0] & 15)
	rest := datagram[headerBytes:]
	if m.Code == Empty {
		if tokenLen > 0 || len(rest) > 0 {
			return ErrNonEmpty // section 4.1
		}
		return nil
	}
	if c := m.Code.Class(); c == 1 || c == 6 || c == 7 {
		return ErrReservedClass // section 4.2: reserved classes are format errors
	}
	if tokenLen > MaxTokenSize {
		return ErrTokenLength
	}
	if len(rest) < tokenLen {
		return ErrTruncated
	}
	m.Token, rest = rest[:tokenLen:tokenLen], rest[tokenLen:]
	return m.decodeOptions(rest)
}

// decodeOptions reads options and payload.
func (m *Message) decodeOptions(rest []byte) error {
	number := 0
	for len(rest) > 0 {
		if rest[0] == marker {
			if len(rest) == 1 {
				return ErrMissingPayload
			}
			m.Payload = rest[1:]
			return nil
		}
		if len(m.Options) == MaxOptions {
			return ErrTooManyOptions
		}
		delta, length := int(rest[0]>>4), int(rest[0]&15)
		rest = rest[1:]
		var err error
		if delta, rest, err = extended(delta, rest); err != nil {
			return err
		}
		if length, rest, err = extended(length, rest); err != nil {
			return err
		}
		if number += delta; number > 0xffff {
			return ErrOptionNumber
		}
		if len(rest) < length {
			return ErrTruncated
		}
		m.Options = append(m.Options, Option{Number(number), rest[:length:length]})
		rest = rest[length:]
	}
	return nil
}

// extended reads a delta or length of more than 4 bits (section 3.1).
func extended(n int, rest []byte) (int, []byte, error) {
	switch {
	case n < 13:
		return n, rest, nil
	case n == 13 && len(rest) >= 1:
		return int(rest[0]) + 13, rest[1:], nil
	case n == 14 && len(rest) >= 2:
		return int(binary.BigEndian.Uint16(rest)) + 269, rest[2:], nil
	case n == 15:
		return 0, nil, ErrReservedLength
	}
	return 0, nil, ErrTruncated
}

// Append writes the message behind buf. Options are put in order; it returns an
// error for what no datagram can hold.
func (m *Message) Append(buf []byte) ([]byte, error) {
	if len(m.Token) > MaxTokenSize {
		return nil, ErrTokenLength
	}
	buf = append(buf, version<<6|byte(m.Type&3)<<4|byte(len(m.Token)), byte(m.Code), byte(m.ID>>8), byte(m.ID))
	if m.Code == Empty {
		if len(m.Token)+len(m.Options)+len(m.Payload) > 0 {
			return nil, ErrNonEmpty
		}
		return buf, nil
	}
	buf = append(buf, m.Token...)
	if len(m.Options) > MaxOptions {
		return nil, ErrTooManyOptions
	}
	inOrder := func(a, b Option) int { return int(a.Number) - int(b.Number) }
	if !slices.IsSortedFunc(m.Options, inOrder) {
		slices.SortStableFunc(m.Options, inOrder)
	}
	last := 0
	for _, o := range m.Options {
		if len(o.Value) > 65535+269 {
			return nil, fmt.Errorf("coap: option %d of %d bytes", o.Number, len(o.Value))
		}
		at := len(buf)
		buf = append(buf, 0)
		var d, l byte
		d, buf = appendExtended(buf, int(o.Number)-last)
		l, buf = appendExtended(buf, len(o.Value))
		buf[at] = d<<4 | l
		buf = append(buf, o.Value...)
		last = int(o.Number)
	}
	if len(m.Payload) > 0 {
		buf = append(append(buf, marker), m.Payload...)
	}
	return buf, nil
}

// appendExtended writes what a delta or length has beyond its 4 bits.
func appendExtended(buf []byte, n int) (byte, []byte) {
	switch {
	case n < 13:
		return byte(n), buf
	case n < 269:
		return 13, append(buf, byte(n-13))
	}
	n -= 269
	return 14, append(buf, byte(n>>8), byte(n))
}

// Get returns the value of the first option of that number.
func (m *Message) Get(n Number) ([]byte, bool) {
	for _, o := range m.Options {
		if o.Number == n {
			return o.Value, true
		}
	}
	return nil, false
}

// Uint returns the value of an option as the number that it holds (section
// 3.2); leading zeros are allowed. It returns false where there is none, or one
// longer than 4 bytes.
func (m *Message) Uint(n Number) (uint32, bool) {
	v, ok := m.Get(n)
	if !ok || len(v) > 4 {
		return 0, false
	}
	var x uint32
	for _, b := range v {
		x = x<<8 | uint32(b)
	}
	return x, true
}

// Add appends an option with an opaque or text value. The value is not copied.
func (m *Message) Add(n Number, value []byte) { m.Options = append(m.Options, Option{n, value}) }

// AddUint appends an option with a number, in as few bytes as hold it.
func (m *Message) AddUint(n Number, x uint32) {
	v := binary.BigEndian.AppendUint32(nil, x)
	for len(v) > 0 && v[0] == 0 {
		v = v[1:]
	}
	m.Add(n, v)
}

// Path joins the Uri-Path options with slashes, as /a/b; "/" where there is
// none.
func (m *Message) Path() string { return "/" + m.joined(URIPath, '/') }

// Query joins the Uri-Query options with ampersands.
func (m *Message) Query() string { return m.joined(URIQuery, '&') }

func (m *Message) joined(n Number, sep byte) string {
	var b []byte
	first := true
	for _, o := range m.Options {
		if o.Number != n {
			continue
		}
		if !first {
			b = append(b, sep)
		}
		first = false
		b = append(b, o.Value...)
	}
	return string(b)
}
