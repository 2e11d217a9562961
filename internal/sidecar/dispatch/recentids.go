package dispatch

import "hash/maphash"

// maxRecentIDs is how many request IDs are remembered.
const maxRecentIDs = 8192

// idSet remembers the IDs of the most recent requests by their hashes. A request whose
// ID is used again after the first was answered and removed would be executed twice.
// The set protects against clients that send the same bytes again or use the IDs of
// others. The protocol has no case in which an ID is used again on purpose.
//
// It is guarded by the dispatcher's lock.
type idSet struct {
	seed   maphash.Seed
	hashes map[uint64]bool
	ring   []uint64 // the same in the order of arrival
	next   int      // place in the full ring that is overwritten next
}

func newIDSet() idSet { return idSet{seed: maphash.MakeSeed(), hashes: map[uint64]bool{}} }

// add returns false if the ID is in the set, else adds it and drops the oldest one if
// the set is full.
func (s *idSet) add(id string) bool {
	hash := maphash.String(s.seed, id)
	if s.hashes[hash] {
		return false
	}
	s.hashes[hash] = true
	if len(s.ring) < maxRecentIDs {
		s.ring = append(s.ring, hash)
		return true
	}
	delete(s.hashes, s.ring[s.next])
	s.ring[s.next] = hash
	s.next = (s.next + 1) % maxRecentIDs
	return true
}
