package endpointlist

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
)

// MaxDeparted is how many servers that have left a cache remembers, so that its
// deltas can name them.
const MaxDeparted = 512

// Errors of Apply.
var (
	// ErrGap is returned where a delta starts from a later version than the cache has: a
	// snapshot is needed.
	ErrGap = errors.New("endpoint list: delta starts after the cached version, wanted a snapshot")
	// ErrSourceMismatch is returned where an update is of another discovery, whose versions
	// can't be compared with those of the cache.
	ErrSourceMismatch = errors.New("endpoint list of another source")
	// ErrTooManyEntries is returned where an update names more than MaxEntries servers, or
	// would leave more than that in the cache.
	ErrTooManyEntries = errors.New("endpoint list is too long")
)

// Cache is one process's copy of the endpoint list. It remembers the version of each
// entry's latest change, and so can answer with a delta. It has at most MaxEntries
// servers that have not left, and MaxDeparted that have.
type Cache struct {
	Source  string
	Version int64 // 0 while it is empty
	// compactedVersion is the version up to which changes are not known one by one: a
	// subscriber at an older version gets a snapshot.
	compactedVersion int64
	entries          map[string]*Entry
	names            []string // keys of entries in the order in which they were first seen
	departed         int      // entries with the status left
}

// NewCache returns an empty cache for the list of the discovery of that name.
func NewCache(source string) *Cache {
	return &Cache{Source: source, entries: map[string]*Entry{}}
}

// Apply applies an update that is newer than the cache, and reports whether it was.
// An older one is no error. Its errors are ErrSourceMismatch, ErrTooManyEntries and
// ErrGap; they leave the cache as it was.
func (c *Cache) Apply(update Update) (bool, error) {
	switch {
	case update.Source != c.Source:
		return false, fmt.Errorf("%w: found %s, wanted %s", ErrSourceMismatch, update.Source, c.Source)
	case len(update.Entries) > MaxEntries:
		return false, fmt.Errorf("%w: found %d servers, wanted at most %d", ErrTooManyEntries, len(update.Entries), MaxEntries)
	case update.Version <= c.Version && c.Version > 0:
		return false, nil
	case update.From > c.Version || update.From > 0 && c.Version == 0:
		return false, ErrGap
	}
	if live := c.liveAfter(update); live > MaxEntries {
		return false, fmt.Errorf("%w: found %d servers with the cached ones, wanted at most %d", ErrTooManyEntries, live, MaxEntries)
	}
	for _, entry := range update.Entries {
		c.put(entry, update.Version)
	}
	if update.From == 0 {
		c.markOthersLeft(update.Entries, update.Version)
		// A snapshot does not name what joined and left since the version before. A
		// subscriber at a version in between needs the snapshot, too, or its cache would
		// still have a server that has left.
		c.compactedVersion = update.Version
	}
	c.Version = update.Version
	c.compact()
	return true, nil
}

// liveAfter returns how many servers that have not left an update would lead to.
func (c *Cache) liveAfter(update Update) int {
	live := 0
	if update.From > 0 {
		live = len(c.entries) - c.departed
	}
	for _, entry := range update.Entries {
		old := c.entries[entry.Name]
		wasLive := update.From > 0 && old != nil && old.Status != statusLeft
		switch isLive := entry.Status != statusLeft; {
		case isLive && !wasLive:
			live++
		case !isLive && wasLive:
			live--
		}
	}
	return live
}

// markOthersLeft marks the servers that a snapshot does not name as left.
func (c *Cache) markOthersLeft(snapshot []Entry, version int64) {
	named := make(map[string]bool, len(snapshot))
	for _, entry := range snapshot {
		named[entry.Name] = true
	}
	for _, name := range c.names {
		if entry := c.entries[name]; !named[name] && entry.Status != statusLeft {
			c.put(Entry{Name: name, Status: statusLeft, JSON: withStatusLeft(entry.JSON)}, version)
		}
	}
}

// put adds or replaces an entry that an update to a version names.
func (c *Cache) put(entry Entry, version int64) {
	old := c.entries[entry.Name]
	switch {
	case old == nil:
		c.names = append(c.names, entry.Name)
	case old.Status == entry.Status && bytes.Equal(old.JSON, entry.JSON):
		// Named again: it changed and changed back. A subscriber at a version in between
		// has the other state, and needs this one.
		old.changed = version
		return
	case old.Status == statusLeft:
		c.departed--
	}
	if entry.Status == statusLeft {
		c.departed++
	}
	entry.changed = version
	c.entries[entry.Name] = &entry
}

// compact drops the servers that left longest ago while there are more than
// MaxDeparted. Deltas from before the last of them left are no longer possible.
func (c *Cache) compact() {
	for c.departed > MaxDeparted {
		var oldest *Entry
		for _, name := range c.names {
			if entry := c.entries[name]; entry.Status == statusLeft && (oldest == nil || entry.changed < oldest.changed) {
				oldest = entry
			}
		}
		c.compactedVersion = max(c.compactedVersion, oldest.changed)
		delete(c.entries, oldest.Name)
		c.names = slices.DeleteFunc(c.names, func(name string) bool { return name == oldest.Name })
		c.departed--
	}
}

// Since returns what a subscriber at a version lacks: a delta, or a snapshot where
// the version is 0 or the changes since then are not known.
func (c *Cache) Since(version int64) Update {
	update := Update{Source: c.Source, From: version, Version: c.Version}
	if version < c.compactedVersion || version > c.Version {
		update.From = 0
	}
	for _, name := range c.names {
		entry := c.entries[name]
		if update.From == 0 && entry.Status != statusLeft || update.From > 0 && entry.changed > update.From {
			update.Entries = append(update.Entries, *entry)
		}
	}
	return update
}
