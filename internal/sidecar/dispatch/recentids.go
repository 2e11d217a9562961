package dispatch

import "hash/maphash"

// maxRecentIDs is the number of request IDs that are stored. It covers more than 20 s of the
// highest rate of a deployment.
const maxRecentIDs = 32768

// recentIDSet stores the hashes of the IDs of the most recent requests of which an attempt was
// sent. Without the set, a request with the same ID as a request that was answered and removed
// would be executed a second time. The set protects against clients that send the same bytes
// again or use the IDs of other clients. The protocol never requires an ID to be reused.
//
// A request that was never sent is not stored: it had no effect, and a client that sends new IDs
// at full speed could otherwise displace those that count.
//
// It is guarded by the dispatcher's lock.
type recentIDSet struct {
	seed   maphash.Seed
	hashes map[uint64]bool
	ring   []uint64 // the same hashes in the order in which they were sent
	next   int      // index of the oldest hash in a full ring, which is overwritten next
}

func newRecentIDSet() recentIDSet {
	return recentIDSet{seed: maphash.MakeSeed(), hashes: map[uint64]bool{}}
}

// contains reports whether an ID is in the set.
func (s *recentIDSet) contains(id string) bool { return s.hashes[maphash.String(s.seed, id)] }

// add adds an ID and drops the oldest one if the set is full. It returns false if the ID
// is already in the set.
func (s *recentIDSet) add(id string) bool {
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
