package exchange

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// generationCount is the number of generations per exchange lifetime. A set has one more
// generation, since an entry is removed up to one generation span after its expiry and never
// before its expiry.
const generationCount = 8

// completedSet stores a hash of each completed exchange until no duplicate of the request
// can arrive. An entry takes about 40 bytes, compared to 360 for a full exchange. Entries
// are removed by generation and so need neither timers nor list links. Two exchanges have
// the same hash with a probability of 2^-64. In that case the later exchange is treated as a
// duplicate and fails.
type completedSet struct {
	key         [16]byte      // key of the hash; the hash is keyed because clients choose the hashed values
	span        time.Duration // time span of a generation
	limit       int           // maximum number of entries
	count       int           // number of entries
	generations [generationCount + 1]generation
}

// generation holds the entries that expire within one span.
type generation struct {
	hashes map[uint64]struct{}
	end    time.Duration // time after which no duplicate can arrive
}

func newCompletedSet(key [16]byte, lifetime time.Duration, limit int) *completedSet {
	set := &completedSet{key: key, span: max(1, lifetime/generationCount), limit: limit}
	for i := range set.generations {
		set.generations[i].hashes = map[uint64]struct{}{}
	}
	return set
}

// hash returns the keyed hash of a message key.
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

// expire removes the entries of generations that have ended.
func (c *completedSet) expire(now time.Duration) {
	for i := range c.generations {
		if expired := &c.generations[i]; expired.end <= now && len(expired.hashes) > 0 {
			c.count -= len(expired.hashes)
			expired.hashes = map[uint64]struct{}{} // clear would not release the memory
			expired.end = 0
		}
	}
}

// contains reports whether the set has an exchange with the given message key.
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

// add stores an exchange until the given time. It returns false if the set is full.
func (c *completedSet) add(now time.Duration, key messageKey, until time.Duration) bool {
	return c.addHash(now, c.hash(key), until)
}

// addHash is add for an exchange whose hash is known.
func (c *completedSet) addHash(now time.Duration, hash uint64, until time.Duration) bool {
	if until <= now {
		return true
	}
	c.expire(now)
	if c.count >= c.limit {
		return false
	}
	// Select the generation that ends at or up to one span after the expiry of the
	// exchange.
	number := until / c.span
	target := &c.generations[int(number)%len(c.generations)]
	target.end = max(target.end, (number+1)*c.span)
	if _, found := target.hashes[hash]; !found {
		target.hashes[hash] = struct{}{}
		c.count++
	}
	return true
}
