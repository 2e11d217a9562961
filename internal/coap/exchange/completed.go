package exchange

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// generationCount is the number of generations in an exchange lifetime. A set has one
// more: an entry is forgotten up to one generation late, never early.
const generationCount = 8

// completedSet remembers completed exchanges by a hash each, until no duplicate of the
// request can arrive. An entry takes some 40 bytes, a whole exchange 360. Entries are
// forgotten by generation, so that none needs a timer or a place in a list. With a
// probability of 2^-64 two exchanges have the same hash; the later one is then taken
// for a duplicate and fails.
type completedSet struct {
	key         [16]byte      // of the hash: clients choose what is hashed
	span        time.Duration // of a generation
	limit       int           // entries
	count       int           // entries
	generations [generationCount + 1]generation
}

// generation holds the entries that expire within the same span.
type generation struct {
	hashes map[uint64]struct{}
	end    time.Duration // no duplicate can arrive afterwards
}

func newCompletedSet(key [16]byte, lifetime time.Duration, limit int) *completedSet {
	set := &completedSet{key: key, span: max(1, lifetime/generationCount), limit: limit}
	for i := range set.generations {
		set.generations[i].hashes = map[uint64]struct{}{}
	}
	return set
}

// hash returns the keyed hash of a message's endpoint and ID.
func (c *completedSet) hash(key messageKey) uint64 {
	var input [36]byte // hash key, address, port, message ID
	copy(input[:], c.key[:])
	address := key.peer.Addr().As16()
	copy(input[16:], address[:])
	binary.BigEndian.PutUint16(input[32:], key.peer.Port())
	binary.BigEndian.PutUint16(input[34:], key.id)
	sum := sha256.Sum256(input[:])
	return binary.BigEndian.Uint64(sum[:])
}

// expire forgets the generations that have ended.
func (c *completedSet) expire(now time.Duration) {
	for i := range c.generations {
		if expired := &c.generations[i]; expired.end <= now && len(expired.hashes) > 0 {
			c.count -= len(expired.hashes)
			expired.hashes = map[uint64]struct{}{} // clear would not release its memory
			expired.end = 0
		}
	}
}

// contains reports whether an exchange is remembered.
func (c *completedSet) contains(now time.Duration, key messageKey) bool {
	if c.count == 0 {
		return false
	}
	c.expire(now)
	hash := c.hash(key)
	for i := range c.generations {
		if _, found := c.generations[i].hashes[hash]; found {
			return true
		}
	}
	return false
}

// add remembers an exchange until a time; false where the set is full.
func (c *completedSet) add(now time.Duration, key messageKey, until time.Duration) bool {
	return c.addHash(now, c.hash(key), until)
}

// addHash is add for a known hash.
func (c *completedSet) addHash(now time.Duration, hash uint64, until time.Duration) bool {
	if until <= now {
		return true
	}
	c.expire(now)
	if c.count >= c.limit {
		return false
	}
	// The generation that ends no earlier than this exchange, and at most one span
	// later.
	number := until / c.span
	target := &c.generations[int(number)%len(c.generations)]
	target.end = max(target.end, (number+1)*c.span)
	if _, found := target.hashes[hash]; !found {
		target.hashes[hash] = struct{}{}
		c.count++
	}
	return true
}
