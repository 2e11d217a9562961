package configuration

import (
	"errors"
	"fmt"
	"slices"
)

// ErrGap is an update that begins behind what is held: a snapshot is wanted.
var ErrGap = errors.New("update: found a delta that begins after what is held, wanted a snapshot")

// StaleUpdateError is an update that would bring a receiver back: its sender is late.
type StaleUpdateError struct {
	Version, Current Version // of the update, and the least that is taken
}

func (e *StaleUpdateError) Error() string {
	return fmt.Sprintf("update: found version %v, wanted %v or newer: a late sender", e.Version, e.Current)
}

// Cache holds the newest resources that a relay or a sidecar has received. Its
// version never goes back. The zero Cache holds nothing.
type Cache struct {
	version   Version
	resources map[string]Resource
}

// Version is the newest version that was taken; 0 for none.
func (c *Cache) Version() Version { return c.version }

// Resource returns what is held of a service.
func (c *Cache) Resource(service string) (Resource, bool) {
	resource, found := c.resources[service]
	return resource, found
}

// Len is how many resources are held.
func (c *Cache) Len() int { return len(c.resources) }

// Changes is what an update came to.
type Changes struct {
	Updated []Resource // newer than what was held
	Removed []string   // services that a snapshot does not name any more
}

// Apply takes an update where it is not older than what is held.
func (c *Cache) Apply(u Update) (Changes, error) {
	var taken Changes
	if u.Version < c.version {
		return taken, &StaleUpdateError{Version: u.Version, Current: c.version}
	}
	if err := u.validate(); err != nil {
		return taken, err
	}
	if u.From > c.version {
		return taken, ErrGap
	}
	named := make(map[string]bool, len(u.Resources))
	if c.resources == nil {
		c.resources = make(map[string]Resource, len(u.Resources))
	}
	for _, resource := range u.Resources {
		named[resource.Service] = true
		held, found := c.resources[resource.Service]
		if found && held.Version >= resource.Version {
			continue
		}
		c.resources[resource.Service] = resource
		taken.Updated = append(taken.Updated, resource)
	}
	if u.IsSnapshot() {
		for service := range c.resources {
			if !named[service] {
				delete(c.resources, service)
				taken.Removed = append(taken.Removed, service)
			}
		}
		slices.Sort(taken.Removed)
	}
	c.version = u.Version
	return taken, nil
}

// validate tells what is wrong with an update that was received: one that is not of a
// single history would be mixed with what is held.
func (u *Update) validate() error {
	if u.From > u.Version || u.From != 0 && u.From.TokenSpace() != u.Version.TokenSpace() {
		return fmt.Errorf("update: found a delta from version %v to %v, wanted one that goes on within its epoch space", u.From, u.Version)
	}
	for i := range u.Resources {
		resource := &u.Resources[i]
		if err := ValidateName("service", resource.Service); err != nil {
			return fmt.Errorf("update: resources[%d].%w", i, err)
		}
		if resource.Version == 0 || resource.Version > u.Version {
			return fmt.Errorf("update: service %s: found version %v, wanted 0.1 to %v", resource.Service, resource.Version, u.Version)
		}
	}
	return nil
}

// UpdateSince returns what a subscriber lacks that holds a version of its subscription. It
// is a snapshot where the subscriber holds nothing, or a version of another epoch
// space. Its resources are in the order of their versions. It must not be called for a
// version that is newer than the cache's.
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
