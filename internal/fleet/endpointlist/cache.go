package endpointlist

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
)

// MaxDeparted is the maximum number of departed servers that a cache keeps so that its
// deltas can include them.
const MaxDeparted = 512

// Errors of Apply.
var (
	// ErrGap is returned for a delta that starts after the cached version; the cache
	// needs a snapshot.
	ErrGap = errors.New("endpoint list: delta starts after the cached version, wanted a snapshot")
	// ErrSourceMismatch is returned for an update from a different source. The versions of
	// different sources are not comparable.
	ErrSourceMismatch = errors.New("endpoint list from a different source")
	// ErrTooManyEntries is returned for an update that contains more than MaxEntries
	// servers or would leave more than MaxEntries live servers in the cache.
	ErrTooManyEntries = errors.New("endpoint list has too many servers")
)

// Cache is a process's copy of the endpoint list. It records the version of each
// entry's latest change so that it can send a subscriber a delta. It holds at most
// MaxEntries live servers and at most MaxDeparted departed servers.
type Cache struct {
	Source  string
	Version int64 // 0 while the cache is empty
	// compactedVersion is the version up to which individual changes are not recorded. A
	// subscriber at an older version gets a snapshot.
	compactedVersion int64
	entries          map[string]*Entry
	names            []string // keys of entries, in order of first appearance
	departed         int      // number of entries with statusLeft
}

// NewCache returns an empty cache for the list from the named source.
func NewCache(source string) *Cache {
	return &Cache{Source: source, entries: map[string]*Entry{}}
}

// Apply applies an update that is newer than the cache, and returns true. It ignores an
// update that is not newer, and returns false without an error. The errors are
// ErrSourceMismatch, ErrTooManyEntries and ErrGap. If Apply returns an error, the cache is
// unchanged.
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
		c.markUnlistedAsLeft(update.Entries, update.Version)
		// A snapshot omits servers that joined and left since the previous version. A
		// subscriber at a version in between must get a snapshot as well. After a delta, the
		// subscriber's cache would keep such a server.
		c.compactedVersion = update.Version
	}
	c.Version = update.Version
	c.compact()
	return true, nil
}

// liveAfter returns the number of live servers that the cache will hold after an update.
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

// markUnlistedAsLeft marks the servers that a snapshot does not contain as left.
func (c *Cache) markUnlistedAsLeft(snapshot []Entry, version int64) {
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

// put adds or replaces one entry from an update to the given version.
func (c *Cache) put(entry Entry, version int64) {
	old := c.entries[entry.Name]
	switch {
	case old == nil:
		c.names = append(c.names, entry.Name)
	case old.Status == entry.Status && bytes.Equal(old.JSON, entry.JSON):
		// The entry changed and changed back within the update. A subscriber at a version
		// in between has another state of the entry and must be sent the present state.
		old.changedVersion = version
		return
	case old.Status == statusLeft:
		c.departed--
	}
	if entry.Status == statusLeft {
		c.departed++
	}
	entry.changedVersion = version
	c.entries[entry.Name] = &entry
}

// compact removes the servers that left longest ago until at most MaxDeparted departed
// servers remain. Deltas from versions before the last removed departure are then no
// longer possible.
func (c *Cache) compact() {
	for c.departed > MaxDeparted {
		var oldest *Entry
		for _, name := range c.names {
			if entry := c.entries[name]; entry.Status == statusLeft && (oldest == nil || entry.changedVersion < oldest.changedVersion) {
				oldest = entry
			}
		}
		c.compactedVersion = max(c.compactedVersion, oldest.changedVersion)
		delete(c.entries, oldest.Name)
		c.names = slices.DeleteFunc(c.names, func(name string) bool { return name == oldest.Name })
		c.departed--
	}
}

// Since returns the update that a subscriber at the given version needs. The update is a
// snapshot if the version is 0, if the version is newer than the cached one, or if the
// changes since the version are not recorded. Otherwise the update is a delta.
func (c *Cache) Since(version int64) Update {
	update := Update{Source: c.Source, From: version, Version: c.Version}
	if version < c.compactedVersion || version > c.Version {
		update.From = 0
	}
	for _, name := range c.names {
		entry := c.entries[name]
		if update.From == 0 && entry.Status != statusLeft || update.From > 0 && entry.changedVersion > update.From {
			update.Entries = append(update.Entries, *entry)
		}
	}
	return update
}
