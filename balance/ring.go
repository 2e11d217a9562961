package balance

import (
	"cmp"
	"slices"
	"time"
)

const (
	pointsPerServer     = 24      // points of each server on the ring
	maxPointsPerSearch  = 128     // maximum number of points that one search of the ring examines
	maxServersPerSearch = 64      // maximum number of distinct servers that one search examines
	keyCandidateShare   = 1.0 / 6 // share of the ready servers, at least two of them, that are candidates for a key

	fnvOffsetBasis = 14695981039346656037 // offset basis of 64-bit FNV-1a
	fnvPrime       = 1099511628211
)

// mixBits is the finalizer of SplitMix64: each bit of the input affects all bits of the result.
func mixBits(h uint64) uint64 {
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}

// hashString returns the 64-bit FNV-1a hash of s, passed through mixBits. The hash is not seeded, so that all
// balancers send a key to the same servers.
func hashString(s string) uint64 {
	h := uint64(fnvOffsetBasis)
	for i := 0; i < len(s); i++ {
		h = (h ^ uint64(s[i])) * fnvPrime
	}
	return mixBits(h)
}

// ringPoint is one point of a server on the ring.
type ringPoint struct {
	hash   uint64
	server *server
}

// ring is a consistent-hash ring. It defines an order of the servers for each key. This order is the same in all
// balancers.
type ring struct{ points []ringPoint }

// add merges new points into the ring.
func (r *ring) add(more []ringPoint) {
	if len(more) == 0 {
		return
	}
	r.points = append(r.points, more...)
	slices.SortFunc(r.points, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
}

// find returns the first server clockwise from the key's position that ok accepts, or nil. It calls ok at most once
// for each server and searches a bounded part of the ring.
func (r *ring) find(key uint64, ok func(*server) bool) *server {
	if len(r.points) == 0 {
		return nil
	}
	at, _ := slices.BinarySearchFunc(r.points, key, func(p ringPoint, k uint64) int { return cmp.Compare(p.hash, k) })
	var seen [maxServersPerSearch]*server
	found := 0
	for i := 0; i < min(len(r.points), maxPointsPerSearch) && found < len(seen); i++ {
		s := r.points[(at+i)%len(r.points)].server
		if slices.Contains(seen[:found], s) {
			continue
		}
		if ok(s) {
			return s
		}
		seen[found] = s
		found++
	}
	return nil
}

// sampleForKey searches the first servers on the ring for a request's key and returns the first server with an idle
// connection. If no server has one, it returns the first server that ok accepts. Without this search, a balancer
// with little traffic would open a new connection for nearly every request. A server with an idle connection has
// also responded recently, which shows that the server is up.
func (b *Balancer) sampleForKey(r *request, now time.Duration, ok func(*server) bool) *server {
	candidates := max(2, int(keyCandidateShare*float64(len(b.ready))))
	var first *server
	connected := b.ring.find(r.keyHash, func(s *server) bool {
		if candidates == 0 || !ok(s) {
			return false
		}
		candidates--
		first = cmp.Or(first, s)
		return b.hasIdleConnection(s, now)
	})
	return cmp.Or(connected, first)
}
