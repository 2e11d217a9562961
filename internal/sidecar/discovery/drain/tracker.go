// Package drain records which servers are draining, so that an outdated endpoint list can't
// revoke a drain that was reported before. It does no I/O and takes the time from the
// caller. It is a package of its own because package discovery imports the dispatcher, and
// the dispatcher applies a Tracker to each list.
package drain

import "time"

// State is the state of a server as reported by discovery.
type State int

// The states, in the order in which a server that shuts down passes through them.
const (
	Active State = iota
	Draining
	Departed
)

// Server is the entry for one server in a list from discovery.
type Server struct {
	Name          string
	StartedMillis int64 // start time of the process in Unix milliseconds; 0 if it started long ago
	State         State
}

// Retention is how long a drain that was reported by a previous address of discovery stays
// in effect after a move. The data of the new address may be outdated. In production,
// discovery's data is up to 11 s old. Retention is about five times as long.
const Retention = time.Minute

// record holds the last report about a server that is draining or has departed.
type record struct {
	startedMillis int64
	version       int64
	generation    int
	state         State
	expiresAt     time.Duration // time at which the record is deleted; 0 while the server is listed
}

// Tracker records drains. Each list belongs to a generation, which is incremented with
// each move of discovery to another address, and has a version within that generation.
// Versions of different generations are not comparable.
//
// The tracker protects against a discovery service at a new address that still lists a
// draining server as active. It also protects against replicas that lag behind and against
// responses that arrive out of order. This protection has a cost if a drain is cancelled
// while discovery moves: the server is used again only after Retention, or once the
// discovery service at the new address itself reports a change of the server.
//
// The zero value is ready for use. It is not safe for concurrent use.
type Tracker struct {
	records      map[string]record // records by the server's name
	generation   int
	firstVersion int64 // version of the first list of the generation
	firstSeen    bool  // whether the first list has been applied
}

// unordered is the generation of a record whose order relative to the applied lists is
// unknown.
const unordered = -1

// DiscoveryMoved starts a new generation: all further lists come from another address.
func (t *Tracker) DiscoveryMoved(now time.Duration) {
	t.generation++
	t.firstSeen = false
	for name, r := range t.records {
		r.expiresAt = now + Retention
		t.records[name] = r
	}
}

// Apply records the drains in a list of the current generation. If a drain that was
// reported before takes precedence over a server's state in the list, Apply corrects the
// state in servers. A snapshot contains all servers. Any other list contains only the
// servers that have changed. The parameter now of all methods must come from the same
// monotonic clock.
func (t *Tracker) Apply(now time.Duration, version int64, snapshot bool, servers []Server) {
	if t.records == nil {
		t.records = map[string]record{}
	}
	if !t.firstSeen {
		t.firstSeen, t.firstVersion = true, version
	}
	for name, r := range t.records {
		if r.expiresAt > 0 && r.expiresAt <= now {
			delete(t.records, name)
		}
	}
	listed := make(map[string]bool, len(servers))
	for i := range servers {
		t.applyServer(now, version, snapshot, &servers[i])
		listed[servers[i].Name] = true
	}
	if !snapshot {
		return
	}
	// A server that a snapshot omits has departed. Its record is kept for Retention, in
	// case an outdated list still contains the server.
	for name, r := range t.records {
		if !listed[name] && r.expiresAt == 0 {
			r.expiresAt = now + Retention
			t.records[name] = r
		}
	}
}

// applyServer records the drain of one server, or corrects its state.
func (t *Tracker) applyServer(now time.Duration, version int64, snapshot bool, server *Server) {
	known, found := t.records[server.Name]
	if server.State != Active {
		if found && known.startedMillis > server.StartedMillis {
			return // the recorded drain belongs to a later incarnation of the server
		}
		// A departed server does not return to draining.
		next := record{startedMillis: server.StartedMillis, version: version, generation: t.generation, state: server.State}
		if found && known.startedMillis == server.StartedMillis && known.state == Departed {
			server.State, next.state = Departed, Departed
		}
		if next.state == Departed {
			next.expiresAt = now + Retention
		}
		t.records[server.Name] = next
		return
	}
	switch {
	case !found:
	case server.StartedMillis > known.startedMillis:
		delete(t.records, server.Name) // the server has restarted
	case server.StartedMillis < known.startedMillis:
		server.State = known.state // an earlier incarnation does not return
	case t.revokesDrain(&known, version, snapshot):
		delete(t.records, server.Name)
	default:
		server.State = known.state
	}
}

// RecordUnordered records the drains in a report whose order relative to the applied lists
// is unknown, such as the last response from a previous address. Like a drain of an earlier
// generation, each of these drains stays in effect for Retention or until a later delta
// revokes it. Active servers are ignored.
func (t *Tracker) RecordUnordered(now time.Duration, servers []Server) {
	if t.records == nil {
		t.records = map[string]record{}
	}
	for _, server := range servers {
		if server.State == Active {
			continue
		}
		known, found := t.records[server.Name]
		if found && known.startedMillis > server.StartedMillis {
			continue
		}
		next := record{startedMillis: server.StartedMillis, generation: unordered, state: server.State, expiresAt: now + Retention}
		if found && known.startedMillis == server.StartedMillis {
			next.state = max(next.state, known.state)
		}
		t.records[server.Name] = next
	}
}

// revokesDrain reports whether a list that contains the server as active is newer than the
// list from which the server's drain was recorded.
func (t *Tracker) revokesDrain(known *record, version int64, snapshot bool) bool {
	if known.generation == t.generation {
		return version > known.version
	}
	return !snapshot && version > t.firstVersion
}

// Len returns the number of recorded servers.
func (t *Tracker) Len() int { return len(t.records) }
