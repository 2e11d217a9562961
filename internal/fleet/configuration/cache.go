package configuration

import (
	"errors"
	"fmt"
	"slices"
)

// ErrGap is a delta that starts after the receiver's version: a snapshot is needed.
var ErrGap = errors.New("update: found a delta that begins after the cached version, wanted a snapshot")

// StaleUpdateError is an update that would take its receiver back to an older version.
type StaleUpdateError struct {
	Version, Current Version // of the update and of its receiver
}

// Error returns one line with both versions.
func (e *StaleUpdateError) Error() string {
	return fmt.Sprintf("update: found version %v, wanted %v or newer: the sender is behind", e.Version, e.Current)
}

// Cache is the newest resources that a relay or a sidecar has received. Its version
// never decreases. The zero Cache is empty. It is not safe for concurrent use.
type Cache struct {
	version   Version
	resources map[string]Resource
}

// Version returns the version of the newest update that was applied; 0 for none.
func (c *Cache) Version() Version { return c.version }

// Resource returns the cached resource of a service.
func (c *Cache) Resource(service string) (Resource, bool) {
	resource, found := c.resources[service]
	return resource, found
}

// Len returns how many resources are cached.
func (c *Cache) Len() int { return len(c.resources) }

// Changes are the effects of an update on a cache.
type Changes struct {
	Updated []Resource // newer than the cached ones
	Removed []string   // services that are missing in a snapshot, sorted
}

// Apply applies an update. The cache stays as it is if the update is older
// (*StaleUpdateError), starts after the cached version (ErrGap) or is not valid
// (*ValidationError).
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

// removeExcept removes all services but the named ones and returns them, sorted.
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

// validate checks an update that was received. One whose versions are not of a single
// token space must not be mixed with cached resources.
func (u *Update) validate() error {
	if u.From > u.Version || u.From != 0 && u.From.TokenSpace() != u.Version.TokenSpace() {
		return invalid("update", fmt.Sprintf("a delta from version %v to %v", u.From, u.Version), "one that continues within its token space")
	}
	for i := range u.Resources {
		resource := &u.Resources[i]
		if err := ValidateName("service", resource.Service); err != nil {
			return fmt.Errorf("update: resources[%d].%w", i, err)
		}
		if resource.Version == 0 || resource.Version > u.Version {
			return invalid("update: service "+resource.Service, fmt.Sprintf("version %v", resource.Version), fmt.Sprintf("0.1 to %v", u.Version))
		}
	}
	return nil
}

// UpdateSince returns what a subscriber lacks that has a version of its subscription.
// It is a snapshot if the subscriber has no version, or one of another token space. Its
// resources are in the order of their versions. version must not be newer than the
// cache's.
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
