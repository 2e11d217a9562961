package exchange

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// The table of exchanges passes a Server's exchanges to the successor process, so that the
// successor does not execute requests of unsafe methods again when it receives a duplicate.
// For each exchange of an unsafe method, the table has a hash and the remaining time in which
// duplicates may arrive. Exchanges without a response are included whatever their method,
// since the draining process may still respond.
//
// Format: magic, hash key, entries, SHA-256 of all preceding bytes.

const (
	tableMagic  = "otterspring coap exchanges 2\n"
	hashKeySize = 16
	entrySize   = 8 + 4 + 1 // hash, remaining milliseconds, flags
	flagPending = 1         // no response has been sent
	flagUnsafe  = 2
	// MaxTableSize is the maximum size of an imported table in bytes.
	MaxTableSize = 64 << 20
)

// ErrInvalidTable is returned for a table that is malformed or can't be imported. No entry
// is imported in that case.
var ErrInvalidTable = errors.New("exchange: invalid table of an earlier process")

func newHashKey(rng *rand.Rand) (key [hashKeySize]byte) {
	for i := 0; i < len(key); i += 8 {
		binary.BigEndian.PutUint64(key[i:], rng.Uint64())
	}
	return key
}

// ExportTable returns the table of exchanges for the successor process.
func (s *Server) ExportTable(now time.Duration) []byte {
	s.completed.expire(now)
	table := append([]byte(tableMagic), s.completed.key[:]...)
	for key, entry := range s.byKey {
		flags := byte(0)
		if entry.unsafe {
			flags |= flagUnsafe
		}
		if !entry.responded {
			flags |= flagPending
		}
		if flags != 0 {
			table = appendEntry(table, s.completed.hash(key), s.expiry(entry)-now, flags)
		}
	}
	for i := range s.completed.generations {
		for hash := range s.completed.generations[i].hashes {
			table = appendEntry(table, hash, s.completed.generations[i].end-now, flagUnsafe)
		}
	}
	sum := sha256.Sum256(table)
	return append(table, sum[:]...)
}

// appendEntry appends an entry unless it has expired. The remaining time is rounded up to
// milliseconds.
func appendEntry(table []byte, hash uint64, remaining time.Duration, flags byte) []byte {
	if remaining <= 0 {
		return table
	}
	milliseconds := uint32(min((remaining+time.Millisecond-1)/time.Millisecond, 1<<32-1))
	table = binary.BigEndian.AppendUint64(table, hash)
	table = binary.BigEndian.AppendUint32(table, milliseconds)
	return append(table, flags)
}

// ImportTable imports a table from the predecessor. age is the time since the table was
// exported. ImportTable must be called before the first message is received. It imports all
// entries, or returns ErrInvalidTable and imports no entry. If draining is set, the
// predecessor still responds to its pending requests. This Server then ignores duplicates of
// these requests until PredecessorEnded is called.
func (s *Server) ImportTable(now, age time.Duration, table []byte, draining bool) error {
	if len(s.byKey) > 0 || s.completed.count > 0 {
		return fmt.Errorf("%w: found exchanges in the server, expected none", ErrInvalidTable)
	}
	key, entries, err := parseTable(table)
	if err != nil {
		return err
	}
	maxRemaining := 2 * s.params.ExchangeLifetime()
	completed := newCompletedSet(key, s.params.ExchangeLifetime(), max(s.limits.MaxCompletedUnsafe, len(entries)/entrySize))
	pending := map[uint64]bool{}
	for ; len(entries) > 0; entries = entries[entrySize:] {
		remaining := time.Duration(binary.BigEndian.Uint32(entries[8:])) * time.Millisecond
		if remaining > maxRemaining {
			return fmt.Errorf("%w: found an entry that expires in %v, expected %v at most", ErrInvalidTable, remaining, maxRemaining)
		}
		hash, flags := binary.BigEndian.Uint64(entries), entries[12]
		if flags&flagPending != 0 && draining {
			pending[hash] = true
		}
		if flags&flagUnsafe != 0 {
			completed.addHash(now, hash, now+remaining-max(0, age))
		}
	}
	completed.limit = s.limits.MaxCompletedUnsafe
	s.completed, s.pendingAtPredecessor = completed, pending
	return nil
}

// parseTable checks the format and the checksum of a table and returns its hash key and
// entries.
func parseTable(table []byte) (key [hashKeySize]byte, entries []byte, err error) {
	const headerSize = len(tableMagic) + hashKeySize
	size := len(table) - headerSize - sha256.Size
	if size < 0 || len(table) > MaxTableSize || string(table[:len(tableMagic)]) != tableMagic || size%entrySize != 0 {
		return key, nil, fmt.Errorf("%w: found %d bytes in an unknown format, expected a table of version 2", ErrInvalidTable, len(table))
	}
	content, checksum := table[:headerSize+size], table[headerSize+size:]
	if sum := sha256.Sum256(content); string(sum[:]) != string(checksum) {
		return key, nil, fmt.Errorf("%w: found checksum %x, expected %x", ErrInvalidTable, checksum, sum)
	}
	return [hashKeySize]byte(table[len(tableMagic):headerSize]), content[headerSize:], nil
}

// PredecessorEnded reports that the predecessor does not respond to its pending requests
// any more.
func (s *Server) PredecessorEnded() { s.pendingAtPredecessor = nil }
