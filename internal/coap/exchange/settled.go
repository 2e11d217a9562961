package exchange

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// generations is how many parts settled is kept in, by age. One more is looked at
// than a lifetime has: an entry is forgotten up to a generation late, never early.
const generations = 8

// settledSet remembers exchanges that are over and may still be repeated, by a hash
// each: some 40 bytes where a whole exchange takes 360. What is forgotten is a
// whole generation at a time, so that no entry needs a timer or a place in a
// list. Two exchanges may have one hash, one time in 2^64: the later one is taken
// for a repeat then, and fails.
type settledSet struct {
	key   [16]byte      // of the hash: clients choose what is hashed
	span  time.Duration // of a generation
	most  int
	count int
	parts [generations + 1]part
}

// part is a generation.
type part struct {
	has  map[uint64]struct{}
	ends time.Duration // nothing in it can be repeated after this
}

func newSettledSet(key [16]byte, lifetime time.Duration, most int) *settledSet {
	s := &settledSet{key: key, span: max(1, lifetime/generations), most: most}
	for i := range s.parts {
		s.parts[i].has = map[uint64]struct{}{}
	}
	return s
}

func (s *settledSet) hash(k key) uint64 {
	var b [36]byte
	copy(b[:], s.key[:])
	a := k.peer.Addr().As16()
	copy(b[16:], a[:])
	binary.BigEndian.PutUint16(b[32:], k.peer.Port())
	binary.BigEndian.PutUint16(b[34:], k.id)
	sum := sha256.Sum256(b[:])
	return binary.BigEndian.Uint64(sum[:])
}

// age forgets the generations that are over.
func (s *settledSet) age(now time.Duration) {
	for i := range s.parts {
		if p := &s.parts[i]; p.ends <= now && len(p.has) > 0 {
			s.count -= len(p.has)
			p.has = map[uint64]struct{}{} // clear would keep its memory
			p.ends = 0
		}
	}
}

// has tells whether an exchange is remembered.
func (s *settledSet) has(now time.Duration, k key) bool {
	if s.count == 0 {
		return false
	}
	s.age(now)
	h := s.hash(k)
	for i := range s.parts {
		if _, there := s.parts[i].has[h]; there {
			return true
		}
	}
	return false
}

// add remembers an exchange until ends; false where there is no room.
func (s *settledSet) add(now time.Duration, k key, ends time.Duration) bool {
	return s.addHash(now, s.hash(k), ends)
}

// addHash is add for a hash that is known.
func (s *settledSet) addHash(now time.Duration, h uint64, ends time.Duration) bool {
	if ends <= now {
		return true
	}
	s.age(now)
	if s.count >= s.most {
		return false
	}
	// The part that ends no earlier than this exchange, and no more than a
	// generation later.
	slot := int(ends/s.span) % len(s.parts)
	p := &s.parts[slot]
	p.ends = max(p.ends, (ends/s.span+1)*s.span)
	if _, there := p.has[h]; !there {
		p.has[h] = struct{}{}
		s.count++
	}
	return true
}
