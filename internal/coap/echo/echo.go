// Package echo makes and checks the values of the Echo option (RFC 9175, section
// 2): proof that a request was written after this process had begun, lately, by
// someone who receives at the address that it comes from. It keeps nothing for
// each client: a value is a time and a keyed hash over it and the endpoint
// (appendix A, method 2).
package echo

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"time"
)

const (
	timeBytes = 6 // milliseconds since the maker's origin
	macBytes  = 10
	// ValueSize is the length of a value.
	ValueSize = timeBytes + macBytes
	// MinKeySize is the least length of a key.
	MinKeySize = 16
)

// Verdict is what a value proves.
type Verdict int

// The verdicts.
const (
	Fresh   Verdict = iota // of this life, young enough, and from that endpoint
	Expired                // of this life and endpoint, and too old
	Invalid                // of another life, key or endpoint, or not a value at all
)

// Issuer makes values and checks them. The key is new with each life of the
// process, or handed over with the tables that prove what has run: a value that
// it verifies was given in the present life.
type Issuer struct {
	key []byte
	age time.Duration
}

// New returns a Maker whose values are fresh for age. The key must be random.
func New(key []byte, age time.Duration) (*Issuer, error) {
	if len(key) < MinKeySize {
		return nil, fmt.Errorf("echo: key of %d bytes, wanted %d or more", len(key), MinKeySize)
	}
	if age <= 0 {
		return nil, errors.New("echo: age: not positive")
	}
	return &Issuer{key: append([]byte(nil), key...), age: age}, nil
}

// Value returns a value for an endpoint at a time, which counts from the origin
// that goes with the key.
func (m *Issuer) Value(now time.Duration, peer netip.AddrPort) []byte {
	v := make([]byte, timeBytes, ValueSize)
	ms := uint64(max(now, 0) / time.Millisecond)
	for i := range v {
		v[i] = byte(ms >> (8 * (timeBytes - 1 - i)))
	}
	return append(v, m.mac(v, peer)...)
}

// mac is the keyed hash over a value's time and its endpoint.
func (m *Issuer) mac(t []byte, peer netip.AddrPort) []byte {
	h := hmac.New(sha256.New, m.key)
	h.Write(t)
	a := peer.Addr().As16()
	h.Write(a[:])
	h.Write(binary.BigEndian.AppendUint16(nil, peer.Port()))
	return h.Sum(nil)[:macBytes]
}

// Check tells what a value proves at a time. One from the future counts as old:
// the clock that made it is not this one's.
func (m *Issuer) Check(now time.Duration, peer netip.AddrPort, value []byte) Verdict {
	if len(value) != ValueSize || !hmac.Equal(value[timeBytes:], m.mac(value[:timeBytes], peer)) {
		return Invalid
	}
	var ms uint64
	for _, b := range value[:timeBytes] {
		ms = ms<<8 | uint64(b)
	}
	made := time.Duration(ms) * time.Millisecond
	if made > now || now-made >= m.age {
		return Expired
	}
	return Fresh
}
