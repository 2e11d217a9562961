package exchange

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// What a later process has to know of a Server's unsafe exchanges, so that none
// of them runs again when it is repeated: a hash each, and until when it may be.
// Of what is not answered by then the later one knows that the earlier one may
// still answer it, which it does where it only drains.

const (
	carryMagic = "otterspring coap exchanges 2\n"
	entryBytes = 8 + 4 + 1 // hash, milliseconds until it can't be repeated any more, flags
	flagOpen   = 1         // it has no answer yet
	flagUnsafe = 2
	// MaxTableSize bounds what is read.
	MaxTableSize = 64 << 20
)

// ErrInvalidTable is what can't be read, or not trusted: nothing of it is taken.
var ErrInvalidTable = errors.New("exchange: what an earlier process left")

func hashKey(rng *rand.Rand) (key [16]byte) {
	for i := 0; i < len(key); i += 8 {
		binary.BigEndian.PutUint64(key[i:], rng.Uint64())
	}
	return key
}

// ExportTable writes what a later process has to know.
func (s *Server) ExportTable(now time.Duration) []byte {
	s.old.age(now)
	b := append([]byte(carryMagic), s.old.key[:]...)
	entry := func(h uint64, ends time.Duration, flags byte) {
		if ends > now {
			b = binary.BigEndian.AppendUint64(b, h)
			b = binary.BigEndian.AppendUint32(b, uint32(min((ends-now+time.Millisecond-1)/time.Millisecond, 1<<32-1)))
			b = append(b, flags)
		}
	}
	for k, x := range s.byKey {
		flags := byte(0)
		if x.unsafe {
			flags |= flagUnsafe
		}
		if !x.answered {
			flags |= flagOpen
		}
		if flags != 0 {
			entry(s.old.hash(k), x.born+s.lifetime(x), flags)
		}
	}
	for i := range s.old.parts {
		for h := range s.old.parts[i].has {
			entry(h, s.old.parts[i].ends, flagUnsafe)
		}
	}
	sum := sha256.Sum256(b)
	return append(b, sum[:]...)
}

// ImportTable takes what an earlier process wrote, age ago. It must be called before
// anything was received. All of it is taken or, with an error, nothing. Where that
// process still answers what it has open, draining says so: repeats of those get
// no answer here until Alone.
func (s *Server) ImportTable(now, age time.Duration, text []byte, draining bool) error {
	const head = len(carryMagic) + 16
	n := len(text) - head - sha256.Size
	switch {
	case len(s.byKey) > 0 || s.old.count > 0:
		return fmt.Errorf("%w: found exchanges of this process, wanted none yet", ErrInvalidTable)
	case n < 0 || len(text) > MaxTableSize || string(text[:len(carryMagic)]) != carryMagic || n%entryBytes != 0:
		return fmt.Errorf("%w: found %d bytes that are none, wanted a whole table of version 2", ErrInvalidTable, len(text))
	}
	sum := sha256.Sum256(text[:head+n])
	if string(sum[:]) != string(text[head+n:]) {
		return fmt.Errorf("%w: found another checksum than it has, wanted a whole table", ErrInvalidTable)
	}
	next := newSettledSet([16]byte(text[len(carryMagic):head]), s.p.ExchangeLifetime(), max(s.lim.MaxCompletedUnsafe, n/entryBytes))
	elsewhere := map[uint64]bool{}
	for rest := text[head : head+n]; len(rest) > 0; rest = rest[entryBytes:] {
		left := time.Duration(binary.BigEndian.Uint32(rest[8:])) * time.Millisecond
		if left > 2*s.p.ExchangeLifetime() {
			return fmt.Errorf("%w: found an exchange that lasts %v, wanted %v at most", ErrInvalidTable, left, 2*s.p.ExchangeLifetime())
		}
		h, flags := binary.BigEndian.Uint64(rest), rest[12]
		if flags&flagOpen != 0 && draining {
			elsewhere[h] = true
		}
		if flags&flagUnsafe != 0 {
			next.addHash(now, h, now+left-max(0, age))
		}
	}
	next.most = s.lim.MaxCompletedUnsafe
	s.old, s.elsewhere = next, elsewhere
	return nil
}

// PredecessorEnded says that the process before has ended: nothing is answered elsewhere.
func (s *Server) PredecessorEnded() { s.elsewhere = nil }
