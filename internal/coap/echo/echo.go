// Package echo issues and verifies values of the Echo option (RFC 9175, section 2). A fresh
// value proves that the request was sent recently, after the issuer's key was generated, by
// a client that receives datagrams at its source address.
//
// No state is kept per client: a value consists of a timestamp and a keyed hash of the
// timestamp and the client's endpoint (appendix A, method 2). All methods are safe for
// concurrent use.
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
	timestampSize = 6  // in bytes; the timestamp counts milliseconds since the origin of the issuer's clock
	macSize       = 10 // size of the truncated HMAC-SHA-256 in bytes
	// ValueSize is the length of a value in bytes.
	ValueSize = timestampSize + macSize
	// MinKeySize is the minimum length of a key in bytes.
	MinKeySize = 16
)

// Errors of New.
var (
	ErrShortKey = errors.New("echo: key too short")
	ErrLifetime = errors.New("echo: lifetime not positive")
)

// Verdict is the result of verifying a value.
type Verdict int

// Verdicts.
const (
	Fresh   Verdict = iota // issued with this key for this endpoint, within the lifetime
	Expired                // issued with this key for this endpoint, but not within the lifetime
	Invalid                // malformed, or issued with another key or for another endpoint
)

// Issuer issues and verifies values. A process generates a random key, or receives it from
// its predecessor together with the table of exchanges. In both cases, every value that the
// key verifies was issued during the time that the table covers.
type Issuer struct {
	key      []byte
	lifetime time.Duration
}

// New returns an Issuer whose values are fresh for the given lifetime, which must be
// positive. The key must be random and have at least MinKeySize bytes. It is copied.
func New(key []byte, lifetime time.Duration) (*Issuer, error) {
	if len(key) < MinKeySize {
		return nil, fmt.Errorf("%w: found %d bytes, expected %d or more", ErrShortKey, len(key), MinKeySize)
	}
	if lifetime <= 0 {
		return nil, fmt.Errorf("%w: found %v", ErrLifetime, lifetime)
	}
	return &Issuer{key: append([]byte(nil), key...), lifetime: lifetime}, nil
}

// Value returns a value for an endpoint. All times passed with one key must have the same
// origin; negative times are treated as 0.
func (i *Issuer) Value(now time.Duration, peer netip.AddrPort) []byte {
	value := make([]byte, timestampSize, ValueSize)
	milliseconds := uint64(max(now, 0) / time.Millisecond)
	for at := range value {
		value[at] = byte(milliseconds >> (8 * (timestampSize - 1 - at)))
	}
	return append(value, i.mac(value, peer)...)
}

// mac returns the truncated HMAC of a timestamp and an endpoint.
func (i *Issuer) mac(timestamp []byte, peer netip.AddrPort) []byte {
	hash := hmac.New(sha256.New, i.key)
	hash.Write(timestamp)
	address := peer.Addr().As16()
	hash.Write(address[:])
	hash.Write(binary.BigEndian.AppendUint16(nil, peer.Port()))
	return hash.Sum(nil)[:macSize]
}

// Verify verifies the value in a request from an endpoint. A timestamp in the future counts
// as expired, since it is not from the issuer's clock.
func (i *Issuer) Verify(now time.Duration, peer netip.AddrPort, value []byte) Verdict {
	if len(value) != ValueSize || !hmac.Equal(value[timestampSize:], i.mac(value[:timestampSize], peer)) {
		return Invalid
	}
	var milliseconds uint64
	for _, b := range value[:timestampSize] {
		milliseconds = milliseconds<<8 | uint64(b)
	}
	issued := time.Duration(milliseconds) * time.Millisecond
	if issued > now || now-issued >= i.lifetime {
		return Expired
	}
	return Fresh
}
