// Package list holds the decisions about discovery's list where one process of a
// zone watches discovery for all hosts: which update is newer, what a subscriber
// lacks, when a host watches discovery itself, and to which hosts the owner of the
// duty has to send. It does no I/O and reads no clock.
//
// The versions of a list are discovery's own, whoever relays it. A cache takes only
// what is newer than what it has: an owner that was suspended and resumes can't undo
// a drain, revive a server that has left, or make a cold one warm, with or without a
// fence in its way.
package endpointlist

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds of a list.
const (
	// MaxEntries is how many servers an update may name; a larger one is refused.
	MaxEntries = 4096
	// MaxDeparted is how many servers that have left a cache remembers, so that its
	// deltas can name them.
	MaxDeparted = 512
)

// The statuses of a server on the wire.
const (
	statusActive  = "active"
	statusLeaving = "leaving"
	statusLeft    = "left"
)

var statuses = []string{statusActive, statusLeaving, statusLeft}

// Entry is one server as discovery wrote it.
type Entry struct {
	Name    string
	Status  string
	JSON    json.RawMessage // the whole entry
	changed int64           // version of its latest change
}

// Update is a snapshot of a list or a delta between two of its versions.
type Update struct {
	Source  string  // name of the discovery that assigned the versions
	From    int64   // version that a delta starts from; 0 for a snapshot
	Version int64   // version that the update leads to
	Entries []Entry // a snapshot names no server that has left
}

// wireUpdate is an update as discovery answers it. Its index is the version.
type wireUpdate struct {
	Index     *int64            `json:"index"`
	Snapshot  *bool             `json:"snapshot"`
	Endpoints []json.RawMessage `json:"endpoints"`
}

// wireEntry is what is read of a server's entry; the rest is relayed as it is.
type wireEntry struct {
	Name   string `json:"name"`
	Status string `json:"status"`
}

// Decode reads discovery's answer to a request for the changes since a version, or
// for a snapshot where since is 0. It is strict: an answer with one entry that can't
// be read is refused as a whole.
func Decode(text []byte, source string, since int64) (Update, error) {
	var w wireUpdate
	if err := json.Unmarshal(text, &w); err != nil {
		return Update{}, fmt.Errorf("list: %w", err)
	}
	if w.Index == nil || *w.Index < 0 || w.Snapshot == nil || w.Endpoints == nil || len(w.Endpoints) > MaxEntries {
		return Update{}, fmt.Errorf("list: found %.60q, wanted index, snapshot and up to %d endpoints", text, MaxEntries)
	}
	u := Update{Source: source, From: since, Version: *w.Index}
	if *w.Snapshot {
		u.From = 0
	} else if since == 0 {
		return Update{}, errors.New("list: found changes, wanted the whole list")
	}
	for i, t := range w.Endpoints {
		var e wireEntry
		if err := json.Unmarshal(t, &e); err != nil || e.Name == "" || !slices.Contains(statuses, e.Status) {
			return Update{}, fmt.Errorf("list: endpoint %d: found %.60q, wanted a name and a status", i, t)
		}
		u.Entries = append(u.Entries, Entry{Name: e.Name, Status: e.Status, JSON: t})
	}
	return u, nil
}

// Encode writes an update as discovery would answer it.
func (u *Update) Encode() []byte {
	snapshot := u.From == 0
	w := wireUpdate{Index: &u.Version, Snapshot: &snapshot, Endpoints: make([]json.RawMessage, 0, len(u.Entries))}
	for _, e := range u.Entries {
		w.Endpoints = append(w.Endpoints, e.JSON)
	}
	text, err := json.Marshal(w)
	if err != nil {
		return nil // entries were read as JSON
	}
	return text
}

// Cache is one process's copy of the list.
type Cache struct {
	Source  string
	Version int64 // 0 while it is empty
	// compacted is the version up to which changes are not known one by one: who has
	// an older version gets a snapshot.
	compacted int64
	entries   map[string]*Entry
	order     []string // names in the order in which they were first seen
	departed  int      // entries with the status left
}

// NewCache returns an empty cache for the list of the discovery of that name.
func NewCache(source string) *Cache {
	return &Cache{Source: source, entries: map[string]*Entry{}}
}

// ErrGap says that a delta starts from a later version than the cache has: a
// snapshot is needed.
var ErrGap = errors.New("list: found changes that start from a later version than the cached one, wanted the whole list")

// Apply takes an update that is newer than the cache, and reports whether it was.
func (c *Cache) Apply(u Update) (bool, error) {
	switch {
	case u.Source != c.Source:
		return false, fmt.Errorf("list: found one of %s, wanted %s's: versions of two can't be compared", u.Source, c.Source)
	case len(u.Entries) > MaxEntries:
		return false, fmt.Errorf("list: found %d servers, wanted %d at most", len(u.Entries), MaxEntries)
	case u.Version <= c.Version && c.Version > 0:
		return false, nil
	case u.From > c.Version || u.From > 0 && c.Version == 0:
		return false, ErrGap
	}
	for _, e := range u.Entries {
		c.put(e, u.Version)
	}
	if u.From == 0 {
		c.removeAllBut(u.Entries, u.Version)
		// A snapshot does not name what came and went since the version before. A
		// subscriber at a version in between needs the snapshot, too, or it would keep a
		// server that has left.
		c.compacted = u.Version
	}
	c.Version = u.Version
	c.compact()
	return true, nil
}

// removeAllBut marks the servers that a snapshot does not name as left.
func (c *Cache) removeAllBut(kept []Entry, version int64) {
	named := make(map[string]bool, len(kept))
	for _, e := range kept {
		named[e.Name] = true
	}
	for _, name := range c.order {
		if e := c.entries[name]; !named[name] && e.Status != statusLeft {
			c.put(Entry{Name: name, Status: statusLeft, JSON: withStatusLeft(e.JSON)}, version)
		}
	}
}

// withStatusLeft returns an entry's text with the status left.
func withStatusLeft(text json.RawMessage) json.RawMessage {
	var fields map[string]json.RawMessage
	if json.Unmarshal(text, &fields) != nil {
		return text
	}
	fields["status"] = json.RawMessage(`"` + statusLeft + `"`)
	out, err := json.Marshal(fields)
	if err != nil {
		return text
	}
	return out
}

func (c *Cache) put(e Entry, version int64) {
	old := c.entries[e.Name]
	if old == nil {
		c.order = append(c.order, e.Name)
	} else if old.Status == e.Status && bytes.Equal(old.JSON, e.JSON) {
		// Named again: it changed and changed back. A subscriber at a version in between
		// has the other state, and needs this one.
		old.changed = version
		return
	} else if old.Status == statusLeft {
		c.departed--
	}
	if e.Status == statusLeft {
		c.departed++
	}
	e.changed = version
	c.entries[e.Name] = &e
}

// compact forgets the servers that left longest ago, and with them the changes up to
// then one by one.
func (c *Cache) compact() {
	for c.departed > MaxDeparted {
		var oldest *Entry
		for _, name := range c.order {
			if e := c.entries[name]; e.Status == statusLeft && (oldest == nil || e.changed < oldest.changed) {
				oldest = e
			}
		}
		c.compacted = max(c.compacted, oldest.changed)
		delete(c.entries, oldest.Name)
		c.order = slices.DeleteFunc(c.order, func(n string) bool { return n == oldest.Name })
		c.departed--
	}
}

// Since returns what a subscriber at a version lacks: a delta, or a snapshot where
// the version is 0 or the changes since then are not known.
func (c *Cache) Since(version int64) Update {
	u := Update{Source: c.Source, From: version, Version: c.Version}
	if version < c.compacted || version > c.Version {
		u.From = 0
	}
	for _, name := range c.order {
		e := c.entries[name]
		if u.From == 0 && e.Status != statusLeft || u.From > 0 && e.changed > u.From {
			u.Entries = append(u.Entries, *e)
		}
	}
	return u
}

// Settings bound how long a host relies on what it received last.
type Settings struct {
	// HeartbeatTimeout is how long after the owner's last heartbeat a host watches
	// discovery itself, plus a part of Jitter that is fixed by the host's name.
	HeartbeatTimeout, Jitter time.Duration
	// StalenessLimit is how long after the last heartbeat or answer of discovery the
	// cache may still be served.
	StalenessLimit time.Duration
}

// Watcher decides whether a host watches discovery itself, and whether its cache is
// recent enough to be served.
type Watcher struct {
	settings    Settings
	jitter      time.Duration
	heartbeatAt time.Duration // the owner's last
	answeredAt  time.Duration // discovery's last answer to this host
	initialized bool          // any heartbeat or answer has arrived
	fallback    bool
	owner       bool
}

// NewWatcher returns the decisions of a host that has received nothing yet.
func NewWatcher(settings Settings, host string, now time.Duration) *Watcher {
	w := &Watcher{settings: settings, heartbeatAt: now, answeredAt: now - settings.StalenessLimit}
	if settings.Jitter > 0 {
		w.jitter = time.Duration(xxhash.Sum64String(host) % uint64(settings.Jitter))
	}
	return w
}

// Heartbeat records a heartbeat of the owner that was not refused and whose sender
// is itself up to date.
func (w *Watcher) Heartbeat(now time.Duration) {
	w.heartbeatAt, w.fallback, w.initialized = now, false, true
}

// Answered records an answer of discovery.
func (w *Watcher) Answered(now time.Duration) { w.answeredAt, w.initialized = now, true }

// SetLeader says whether this host owns the duty. A host that gives it up waits a whole
// heartbeat timeout for the next owner; one that takes it over relies at first on
// the last heartbeat of the owner before.
func (w *Watcher) SetLeader(owner bool, now time.Duration) {
	if w.owner && !owner {
		w.heartbeatAt = now
	}
	if !w.owner && owner && w.initialized {
		w.answeredAt = max(w.answeredAt, w.heartbeatAt)
	}
	w.owner = owner
}

// Initialized reports whether any heartbeat or answer has arrived yet.
func (w *Watcher) Initialized() bool { return w.initialized }

// ShouldWatch reports whether this host watches discovery now: it owns the duty, the
// owner's heartbeats have timed out, or it has just started and its cache is empty,
// where its sidecars would otherwise ask one by one.
func (w *Watcher) ShouldWatch(now time.Duration) bool {
	if now > w.heartbeatAt+w.settings.HeartbeatTimeout+w.jitter {
		w.fallback = true
	}
	return w.owner || w.fallback || !w.initialized
}

// Fallback reports whether this host watches discovery without owning the duty, for
// want of heartbeats.
func (w *Watcher) Fallback() bool { return w.fallback && !w.owner }

// Fresh reports whether the cache may be served. An owner's own heartbeats prove
// nothing to itself.
func (w *Watcher) Fresh(now time.Duration) bool {
	last := w.answeredAt
	if !w.owner {
		last = max(w.answeredAt, w.heartbeatAt)
	}
	return w.initialized && now <= last+w.settings.StalenessLimit
}

// unknownVersion is the version of a subscriber whose cache is not known.
const unknownVersion = -1

// subscriber is a host to which the owner sends updates and heartbeats.
type subscriber struct {
	version  int64 // that it has acknowledged, or unknownVersion
	sentAt   time.Duration
	inFlight bool
}

// Publisher decides to which hosts the owner sends what.
type Publisher struct {
	heartbeatInterval time.Duration
	maxInFlight       int
	subscribers       map[string]*subscriber
	inFlight          int
}

// NewPublisher returns one without subscribers. Each subscriber is sent something in
// every heartbeat interval, also where nothing is new; at most maxInFlight requests
// are sent at a time.
func NewPublisher(heartbeatInterval time.Duration, maxInFlight int) *Publisher {
	return &Publisher{heartbeatInterval: heartbeatInterval, maxInFlight: maxInFlight, subscribers: map[string]*subscriber{}}
}

// SetHosts says which hosts there are. The others are forgotten once no request to
// them is in flight.
func (p *Publisher) SetHosts(names []string) {
	for name, s := range p.subscribers {
		if !slices.Contains(names, name) && !s.inFlight {
			delete(p.subscribers, name)
		}
	}
	for _, name := range names {
		if p.subscribers[name] == nil {
			p.subscribers[name] = &subscriber{version: unknownVersion, sentAt: -time.Hour}
		}
	}
}

// Due returns the hosts to send to now that the list is at a version, each with the
// version that it has (0 where it needs a snapshot). They count as in flight until
// they are Acknowledged.
func (p *Publisher) Due(now time.Duration, version int64) map[string]int64 {
	due := map[string]int64{}
	for _, name := range p.longestWaitingFirst() {
		s := p.subscribers[name]
		if s.inFlight || p.inFlight >= p.maxInFlight || s.version >= version && now < s.sentAt+p.heartbeatInterval {
			continue
		}
		s.inFlight = true
		p.inFlight++
		due[name] = max(0, s.version)
	}
	return due
}

// longestWaitingFirst orders the hosts so that all have their turn, also where there
// are more of them than requests may be in flight.
func (p *Publisher) longestWaitingFirst() []string {
	names := make([]string, 0, len(p.subscribers))
	for name := range p.subscribers {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return int(p.subscribers[a].sentAt - p.subscribers[b].sentAt) })
	return names
}

// Acknowledged ends a request to a host, which has this version now; -1 where that is
// not known.
func (p *Publisher) Acknowledged(host string, version int64, now time.Duration) {
	s := p.subscribers[host]
	if s == nil || !s.inFlight {
		return
	}
	s.inFlight, s.version, s.sentAt = false, version, now
	p.inFlight--
}
