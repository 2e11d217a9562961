// Package message decodes and encodes CoAP messages (RFC 7252, section 3).
//
// It does no I/O and has no state. A decoded message shares the memory of its datagram, so
// callers must copy the parts that they still need before they reuse the datagram's buffer.
package message

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
)

// Type is the type of a message (RFC 7252, sections 4.2 and 4.3).
type Type uint8

// Message types with their values on the wire.
const (
	Confirmable     Type = 0
	NonConfirmable  Type = 1
	Acknowledgement Type = 2
	Reset           Type = 3
)

// String returns the abbreviation of RFC 7252: CON, NON, ACK or RST.
func (t Type) String() string { return [...]string{"CON", "NON", "ACK", "RST"}[t&3] }

// Limits of a message.
const (
	MaxTokenSize = 8  // in bytes (RFC 7252, section 3)
	MaxOptions   = 64 // options in one message
	// MaxDatagramSize is the maximum size of a decoded datagram in bytes. It fits a block
	// of 1,024 bytes with its options and some margin. RFC 7252, section 4.6, recommends
	// at most 1,152 bytes per message if the path MTU is unknown.
	MaxDatagramSize = 2048
)

const (
	headerSize      = 4 // in bytes
	version         = 1
	payloadMarker   = 0xff
	maxOptionNumber = 0xffff // largest option number
)

// Nibbles of an option's delta and length with a special meaning (RFC 7252, section 3.1).
// A nibble below extendedOneByte is the value itself.
const (
	extendedOneByte      = 13  // the value is the following byte plus extendedOneByte
	extendedTwoBytes     = 14  // the value is the following two bytes plus extendedTwoBytesBase
	extendedReserved     = 15  // reserved for the payload marker
	extendedTwoBytesBase = 269 // extendedOneByte + 256
)

// Option is one option of a message.
type Option struct {
	Number Number
	Value  []byte
}

// Message is a CoAP message. Decode returns the options in ascending order of their
// numbers, and repeated options in the order in which they were received.
type Message struct {
	Type    Type
	Code    Code
	ID      uint16
	Token   []byte
	Options []Option
	Payload []byte
}

// Errors of Decode and Append.
//
// Datagrams with ErrNotCoAP must be ignored (RFC 7252, section 3). All other errors are
// message format errors: confirmable messages are rejected with a Reset (section 4.2),
// non-confirmable ones may be ignored (section 4.3). Decode sets type and message ID also
// if it returns a message format error.
var (
	ErrNotCoAP        = errors.New("coap: datagram without a header of CoAP version 1")
	ErrTokenLength    = errors.New("coap: token longer than 8 bytes")
	ErrTruncated      = errors.New("coap: message ends within a token or an option")
	ErrReservedLength = errors.New("coap: reserved option delta or length")
	ErrOptionNumber   = errors.New("coap: option number over 65535")
	ErrTooManyOptions = errors.New("coap: more than 64 options")
	ErrMissingPayload = errors.New("coap: payload marker without a payload")
	ErrNonEmpty       = errors.New("coap: code 0.00 with a token, an option or a payload")
	ErrReservedClass  = errors.New("coap: code of a reserved class")
	ErrTooLarge       = errors.New("coap: datagram longer than 2048 bytes")
	ErrOptionLength   = errors.New("coap: option value longer than 65804 bytes")
)

// Decode decodes a datagram into a message and reuses the message's option slice. The
// message shares the datagram's memory.
func Decode(datagram []byte, into *Message) error {
	if len(datagram) < headerSize || datagram[0]>>6 != version {
		return ErrNotCoAP
	}
	*into = Message{
		Type: Type(datagram[0] >> 4 & 3), Code: Code(datagram[1]), ID: binary.BigEndian.Uint16(datagram[2:]),
		Options: into.Options[:0],
	}
	if len(datagram) > MaxDatagramSize {
		return ErrTooLarge
	}
	tokenLength := int(datagram[0] & 15)
	data := datagram[headerSize:]
	if into.Code == Empty {
		if tokenLength > 0 || len(data) > 0 {
			return ErrNonEmpty // section 4.1
		}
		return nil
	}
	if !into.Code.IsRequest() && !into.Code.IsResponse() {
		return ErrReservedClass // section 4.2
	}
	if tokenLength > MaxTokenSize {
		return ErrTokenLength
	}
	if len(data) < tokenLength {
		return ErrTruncated
	}
	into.Token = data[:tokenLength:tokenLength]
	return into.decodeOptions(data[tokenLength:])
}

// decodeOptions decodes the options and the payload.
func (m *Message) decodeOptions(data []byte) error {
	number := 0
	for len(data) > 0 {
		if data[0] == payloadMarker {
			if len(data) == 1 {
				return ErrMissingPayload
			}
			m.Payload = data[1:]
			return nil
		}
		if len(m.Options) == MaxOptions {
			return ErrTooManyOptions
		}
		delta, length := int(data[0]>>4), int(data[0]&15)
		data = data[1:]
		var err error
		if delta, data, err = decodeExtended(delta, data); err != nil {
			return err
		}
		if length, data, err = decodeExtended(length, data); err != nil {
			return err
		}
		if number += delta; number > maxOptionNumber {
			return ErrOptionNumber
		}
		if len(data) < length {
			return ErrTruncated
		}
		m.Options = append(m.Options, Option{Number(number), data[:length:length]})
		data = data[length:]
	}
	return nil
}

// decodeExtended returns the delta or length that a nibble encodes, and the data after its
// extension bytes.
func decodeExtended(nibble int, data []byte) (int, []byte, error) {
	switch {
	case nibble < extendedOneByte:
		return nibble, data, nil
	case nibble == extendedOneByte && len(data) >= 1:
		return int(data[0]) + extendedOneByte, data[1:], nil
	case nibble == extendedTwoBytes && len(data) >= 2:
		return int(binary.BigEndian.Uint16(data)) + extendedTwoBytesBase, data[2:], nil
	case nibble == extendedReserved:
		return 0, nil, ErrReservedLength
	}
	return 0, nil, ErrTruncated
}

// Append appends the encoded message to buf and sorts the message's options by number. For
// a message that can't be encoded it returns one of the errors of this package.
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
	buf, err := m.appendOptions(buf)
	if err != nil {
		return nil, err
	}
	if len(m.Payload) > 0 {
		buf = append(append(buf, payloadMarker), m.Payload...)
	}
	return buf, nil
}

// appendOptions sorts the options and appends them.
func (m *Message) appendOptions(buf []byte) ([]byte, error) {
	if len(m.Options) > MaxOptions {
		return nil, ErrTooManyOptions
	}
	byNumber := func(a, b Option) int { return int(a.Number) - int(b.Number) }
	if !slices.IsSortedFunc(m.Options, byNumber) {
		slices.SortStableFunc(m.Options, byNumber)
	}
	previous := Number(0)
	for _, option := range m.Options {
		if len(option.Value) > 0xffff+extendedTwoBytesBase {
			return nil, fmt.Errorf("%w: found %d bytes in option %d", ErrOptionLength, len(option.Value), option.Number)
		}
		start := len(buf)
		buf = append(buf, 0)
		var delta, length byte
		delta, buf = appendExtended(buf, int(option.Number)-int(previous))
		length, buf = appendExtended(buf, len(option.Value))
		buf[start] = delta<<4 | length
		buf = append(buf, option.Value...)
		previous = option.Number
	}
	return buf, nil
}

// appendExtended appends the extension bytes of a delta or length, and returns its
// nibble.
func appendExtended(buf []byte, value int) (byte, []byte) {
	switch {
	case value < extendedOneByte:
		return byte(value), buf
	case value < extendedTwoBytesBase:
		return extendedOneByte, append(buf, byte(value-extendedOneByte))
	}
	return extendedTwoBytes, binary.BigEndian.AppendUint16(buf, uint16(value-extendedTwoBytesBase))
}

// Get returns the value of the first option with the given number. It returns false if
// there is none.
func (m *Message) Get(number Number) ([]byte, bool) {
	for _, option := range m.Options {
		if option.Number == number {
			return option.Value, true
		}
	}
	return nil, false
}

// Uint returns the value of an option in the uint format (RFC 7252, section 3.2). Leading
// zeros are allowed. It returns false if there is no such option or its value is longer
// than 4 bytes.
func (m *Message) Uint(number Number) (uint32, bool) {
	value, found := m.Get(number)
	if !found || len(value) > 4 {
		return 0, false
	}
	var result uint32
	for _, b := range value {
		result = result<<8 | uint32(b)
	}
	return result, true
}

// Add appends an option with an opaque or string value. The value is not copied.
func (m *Message) Add(number Number, value []byte) {
	m.Options = append(m.Options, Option{number, value})
}

// AddUint appends an option in the uint format, in the shortest encoding.
func (m *Message) AddUint(number Number, value uint32) {
	encoded := binary.BigEndian.AppendUint32(nil, value)
	for len(encoded) > 0 && encoded[0] == 0 {
		encoded = encoded[1:]
	}
	m.Add(number, encoded)
}

// Path returns the Uri-Path options as a path, for example "/a/b". If there is no such option,
// it returns "/".
func (m *Message) Path() string { return "/" + m.join(URIPath, '/') }

// Query returns the Uri-Query options joined with ampersands.
func (m *Message) Query() string { return m.join(URIQuery, '&') }

// join joins the values of all options with the given number.
func (m *Message) join(number Number, separator byte) string {
	var joined []byte
	first := true
	for _, option := range m.Options {
		if option.Number != number {
			continue
		}
		if !first {
			joined = append(joined, separator)
		}
		first = false
		joined = append(joined, option.Value...)
	}
	return string(joined)
}
