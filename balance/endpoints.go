package balance

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// ServerState is the state of a server as given by the endpoint list.
type ServerState int

// The states of a server.
const (
	Ready ServerState = iota
	Draining
	Removed
)

// Server is one entry of the endpoint list.
type Server struct {
	ID          string
	Zone        string
	Cell        int
	MachineKind string        // hardware type; servers of one kind have about the same capacity
	StartTime   time.Duration // clock time of the server's latest start; 0 if the server started long ago
	State       ServerState
}

// ListKind says how an endpoint list update is to be interpreted.
type ListKind int

// The kinds of endpoint list update.
const (
	ListFull   ListKind = iota // the complete list
	ListCached                 // the complete list from a cache, possibly stale
	ListDelta                  // changed entries only
	ListFailed                 // a request for the list failed; the list is unchanged
)

// server is the state that the balancer keeps for a server.
type server struct {
	Server
	hash         uint64 // hash of the server's ID
	sortKey      uint64 // sort key of the ready list; derived from hash and the balancer's shuffleSeed
	generation   uint64 // listGeneration of the latest list that contained the server
	inFlight     []*attempt
	latencyRatio float64 // mean ratio of observed to expected latency
	samples      float64 // effective number of samples in latencyRatio at sampledAt
	sampledAt    time.Duration
	idleSince    []time.Duration // times at which the idle connections became idle, latest last
	ejectionState
}

// Endpoints applies an endpoint list or changes to it.
func (b *Balancer) Endpoints(now time.Duration, kind ListKind, entries []Server, acts []Action) []Action {
	b.actions = acts
	if kind == ListFailed {
		b.scheduleSubscribe(now, true)
		return b.finishEvent(now)
	}
	b.listGeneration++
	var added []ringPoint
	for i := range entries {
		added = b.applyEndpoint(&entries[i], added)
	}
	if kind != ListDelta {
		for _, s := range b.servers {
			if s.generation != b.listGeneration {
				s.State = Removed
				b.updateReady(s)
			}
		}
	}
	b.dropRemoved()
	b.ring.add(added)
	b.nextWarmCount = now
	if kind == ListCached {
		b.scheduleSubscribe(now, false)
	} else {
		b.subscribed = true
	}
	return b.finishEvent(now)
}

// applyEndpoint applies one entry of the list and appends the ring points of a new server to added. A later start
// time means that the process was restarted: the server warms up again, and the statistics of the old process are
// discarded.
func (b *Balancer) applyEndpoint(entry *Server, added []ringPoint) []ringPoint {
	known := b.serversByID[entry.ID]
	if known == nil {
		if entry.State == Removed {
			return added
		}
		known = &server{hash: hashString(entry.ID)}
		known.sortKey = mixBits(known.hash ^ b.shuffleSeed)
		b.serversByID[entry.ID] = known
		b.servers = append(b.servers, known)
		for i := uint64(0); b.settings.KeyAffinity && i < pointsPerServer; i++ {
			added = append(added, ringPoint{mixBits(known.hash + i*0x9e3779b97f4a7c15), known})
		}
	} else if entry.StartTime > known.StartTime {
		known.latencyRatio, known.samples, known.ejectionState, known.idleSince = 0, 0, ejectionState{}, nil
	}
	known.Server, known.generation = *entry, b.listGeneration
	b.updateReady(known)
	return added
}

// updateReady adds a server to the ready list if its state is Ready, and otherwise removes the server from the
// list. The list has a random order that differs between balancers. Its first entries form the subset from which
// the balancer samples.
func (b *Balancer) updateReady(s *server) {
	at, listed := slices.BinarySearchFunc(b.ready, s.sortKey, func(e *server, o uint64) int { return cmp.Compare(e.sortKey, o) })
	switch {
	case s.State == Ready && !listed:
		b.ready = slices.Insert(b.ready, at, s)
	case s.State != Ready && listed:
		b.ready = slices.Delete(b.ready, at, at+1)
	}
}

// dropRemoved discards the servers that were removed from the endpoint list.
func (b *Balancer) dropRemoved() {
	removed := func(s *server) bool { return s.State == Removed }
	maps.DeleteFunc(b.serversByID, func(_ string, s *server) bool { return removed(s) })
	b.servers = slices.DeleteFunc(b.servers, removed)
	b.ejected = slices.DeleteFunc(b.ejected, removed)
	b.ring.points = slices.DeleteFunc(b.ring.points, func(p ringPoint) bool { return removed(p.server) })
}
