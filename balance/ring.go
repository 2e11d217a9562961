package balance

import (
	"cmp"
	"slices"
	"time"
)

const (
	pointsPerServer   = 24      // on the key ring
	maxKeyPoints      = 128     // points of the ring that one search looks at
	maxKeyServers     = 64      // distinct servers that it looks at
	keyCandidateShare = 1.0 / 6 // share of the servers, two at least, among which a key looks for an idle connection
)

// mixBits spreads the bits of a hash (the finalizer of SplitMix64).
func mixBits(h uint64) uint64 {
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}

// hashString is 64-bit FNV-1a, mixed. It is the same in every balancer, so that all
// of them send a key to the same servers.
func hashString(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(s); i++ {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return mixBits(h)
}

// ringPoint is one point of a server on the key ring.
type ringPoint struct {
	hash   uint64
	server *server
}

// ring orders the servers for each key, the same in all balancers.
type ring struct{ points []ringPoint }

// add merges new points into the ring.
func (r *ring) add(more []ringPoint) {
	if len(more) == 0 {
		return
	}
	r.points = append(r.points, more...)
	slices.SortFunc(r.points, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
}

// find returns the first of the distinct servers after a key's place that ok accepts,
// within a bounded stretch of the ring.
func (r *ring) find(key uint64, ok func(*server) bool) *server {
	if len(r.points) == 0 {
		return nil
	}
	at, _ := slices.BinarySearchFunc(r.points, key, func(p ringPoint, k uint64) int { return cmp.Compare(p.hash, k) })
	var seen [maxKeyServers]*server
	found := 0
	for i := 0; i < min(len(r.points), maxKeyPoints) && found < len(seen); i++ {
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

// sampleForKey takes, of the first few servers of a request's key, the first with an
// idle connection, else the first of all: a quiet balancer would need a new connection
// for nearly every request. A server that just responded is known to be up.
func (b *Balancer) sampleForKey(r *request, now time.Duration, ok func(*server) bool) *server {
	look := max(2, int(keyCandidateShare*float64(len(b.ready))))
	var home *server
	connected := b.ring.find(r.keyHash, func(s *server) bool {
		if look == 0 || !ok(s) {
			return false
		}
		look--
		home = cmp.Or(home, s)
		return b.hasIdleConnection(s, now)
	})
	return cmp.Or(connected, home)
}
