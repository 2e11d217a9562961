package configuration

import (
	"errors"
	"fmt"
	"slices"
)

// ErrGap reports a delta that starts after the receiver's version. The receiver then needs a
// snapshot.
var ErrGap = errors.New("update: found a delta that begins after the cached version, wanted a snapshot")

// StaleUpdateError reports an update that is older than its receiver's version.
type StaleUpdateError struct {
	Version, Current Version // versions of the update and of its receiver
}

// Error returns a single line with both versions.
func (e *StaleUpdateError) Error() string {
	return fmt.Sprintf("update: found version %v, wanted %v or newer: the sender is behind", e.Version, e.Current)
}

// Cache holds the newest resources that a relay or a sidecar has received. Its version
// never decreases. The zero Cache is empty and ready to use. It is not safe for
// concurrent use.
type Cache struct {
	version   Version
	resources map[string]Resource
}

// Version returns the version of the newest applied update, or 0 if there is none.
func (c *Cache) Version() Version { return c.version }

// Resource returns the cached resource of a service and whether there is one.
func (c *Cache) Resource(service string) (Resource, bool) {
	resource, found := c.resources[service]
	return resource, found
}

// Len returns the number of cached resources.
func (c *Cache) Len() int { return len(c.resources) }

// Changes describes the effect of an update on a cache.
type Changes struct {
	Updated []Resource // resources that were added or replaced an older version
	Removed []string   // services that a snapshot does not contain, sorted
}

// Apply applies an update. It returns an error and leaves the cache unchanged if the
// update is older than the cache (*StaleUpdateError), starts after the cached version
// (ErrGap) or is invalid (*ValidationError).
func (c *Cache) Apply(update Update) (Changes, error) {
	var changes Changes
	if update.Version < c.version {
		return changes, &StaleUpdateError{Version: update.Version, Current: c.version}
	}
	if err := update.validate(); err != nil {
		return changes, err
	}
	if update.From > c.version {
		return changes, ErrGap
	}
	named := make(map[string]bool, len(update.Resources))
	if c.resources == nil {
		c.resources = make(map[string]Resource, len(update.Resources))
	}
	for _, resource := range update.Resources {
		named[resource.Service] = true
		cached, found := c.resources[resource.Service]
		if found && cached.Version >= resource.Version {
			continue
		}
		c.resources[resource.Service] = resource
		changes.Updated = append(changes.Updated, resource)
	}
	if update.IsSnapshot() {
		changes.Removed = c.removeExcept(named)
	}
	c.version = update.Version
	return changes, nil
}

// removeExcept removes all services that are not in named. It returns the removed services,
// sorted.
func (c *Cache) removeExcept(named map[string]bool) []string {
	var removed []string
	for service := range c.resources {
		if !named[service] {
			delete(c.resources, service)
			removed = append(removed, service)
		}
	}
	slices.Sort(removed)
	return removed
}

// validate checks a received update. It rejects a delta that spans two token spaces, since
// applying this delta would mix the resources of both token spaces in the cache.
func (u *Update) validate() error {
	if u.From > u.Version || u.From != 0 && u.From.TokenSpace() != u.Version.TokenSpace() {
		return invalidError("update", fmt.Sprintf("a delta from version %v to %v", u.From, u.Version), "one that continues within its token space")
	}
	for i := range u.Resources {
		resource := &u.Resources[i]
		if err := ValidateName("service", resource.Service); err != nil {
			return fmt.Errorf("update: resources[%d].%w", i, err)
		}
		if resource.Version == 0 || resource.Version > u.Version {
			return invalidError("update: service "+resource.Service, fmt.Sprintf("version %v", resource.Version), fmt.Sprintf("0.1 to %v", u.Version))
		}
	}
	return nil
}

// UpdateSince returns the update for a subscriber that has the given version. The update
// contains the subscribed resources that are newer than this version, ordered by version.
// It is a snapshot if the subscriber has no version or has a version from another token
// space. The given version must not be newer than the version of the cache.
func (c *Cache) UpdateSince(version Version, subscription Subscription) Update {
	update := Update{From: version, Version: c.version}
	if version == c.version {
		return update // nothing is newer
	}
	if version.TokenSpace() != c.version.TokenSpace() {
		update.From = 0
	}
	add := func(resource Resource) {
		if resource.Version > update.From {
			update.Resources = append(update.Resources, resource)
		}
	}
	if subscription == nil {
		for _, resource := range c.resources {
			add(resource)
		}
	}
	for _, service := range subscription {
		if resource, found := c.resources[service]; found {
			add(resource)
		}
	}
	slices.SortFunc(update.Resources, byVersion)
	return update
}
