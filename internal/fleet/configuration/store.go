package configuration

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// maxRecentChanges is how many ids of changes a store remembers, so that a change that
// is sent again after an answer was lost is applied once. At four changes a second,
// far above a day's mean, it covers the last quarter of an hour.
const maxRecentChanges = 4096

// Change is what an operator asks for: new settings of one service.
type Change struct {
	// ID names the change. One that is sent again bears the same.
	ID      string `json:"id"`
	Service string `json:"service"`
	// IfVersion is the version that the service's resource must have now. 0 creates a
	// service that is not there yet; nil takes any version of one that is there.
	IfVersion *Version        `json:"if_version,omitempty"`
	Settings  json.RawMessage `json:"settings"`
}

// Validate tells what is wrong with a change, whatever the store holds. A council's
// member makes this check before it proposes the change.
func (c *Change) Validate() error {
	if err := ValidateName("id", c.ID); err != nil {
		return err
	}
	if err := ValidateName("service", c.Service); err != nil {
		return err
	}
	_, err := ParseSettings(c.Settings)
	return err
}

// Store holds the agreed resources of a region. It is part of a council's state: a
// pure function of the changes that were agreed on.
type Store struct {
	Version   Version              `json:"version"` // of the latest change
	Resources map[string]*Resource `json:"resources,omitempty"`
	// RecentChanges are the latest changes that were applied, the oldest first.
	RecentChanges []AppliedChange `json:"remembered,omitempty"`
}

// RecentChanges is a change that was applied, with the version that it got.
type AppliedChange struct {
	ID      string  `json:"id"`
	Version Version `json:"version"`
}

// ConflictError is a change that was made for another version than the service has.
type ConflictError struct {
	Service           string
	Current, Expected Version // what the service has, and what the change was made for
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("service %s: found version %v, wanted %v: it was changed meanwhile, read it again", e.Service, e.Current, e.Expected)
}

// Apply applies an agreed change in an epoch space and returns the version that it
// has got. A change whose id is remembered is not applied again: its version is the
// one of the first time.
func (s *Store) Apply(space uint32, c Change) (Version, error) {
	if version, known := s.appliedVersion(c.ID); known {
		return version, nil
	}
	settings, err := canonicalSettings(c.Settings)
	if err != nil {
		return 0, err
	}
	c.Settings = settings
	if err := s.validateAgainstState(c); err != nil {
		return 0, err
	}
	s.Version = s.nextVersion(space)
	if s.Resources == nil {
		s.Resources = map[string]*Resource{}
	}
	s.Resources[c.Service] = &Resource{Service: c.Service, Version: s.Version, Settings: c.Settings}
	s.RecentChanges = append(s.RecentChanges, AppliedChange{c.ID, s.Version})
	if over := len(s.RecentChanges) - maxRecentChanges; over > 0 {
		s.RecentChanges = slices.Delete(s.RecentChanges, 0, over)
	}
	return s.Version, nil
}

func (s *Store) appliedVersion(id string) (Version, bool) {
	for i := len(s.RecentChanges) - 1; i >= 0; i-- {
		if s.RecentChanges[i].ID == id {
			return s.RecentChanges[i].Version, true
		}
	}
	return 0, false
}

// validateAgainstState holds a change against what the store has.
func (s *Store) validateAgainstState(c Change) error {
	resource := s.Resources[c.Service]
	switch {
	case resource == nil && c.IfVersion == nil:
		return fmt.Errorf("service %s: found no such service, wanted one that is there: version 0 creates it", c.Service)
	case resource == nil && *c.IfVersion != 0:
		return &ConflictError{Service: c.Service, Expected: *c.IfVersion}
	case resource == nil && len(s.Resources) >= MaxServices:
		return fmt.Errorf("service %s: found %d services, wanted %d at most", c.Service, len(s.Resources), MaxServices)
	case resource != nil && c.IfVersion != nil && *c.IfVersion != resource.Version:
		return &ConflictError{Service: c.Service, Current: resource.Version, Expected: *c.IfVersion}
	}
	if total := s.settingsBytesWith(c); total > MaxTotalSettingsBytes {
		return fmt.Errorf("service %s: found %d bytes of settings in all, wanted %d at most", c.Service, total, MaxTotalSettingsBytes)
	}
	return nil
}

// settingsBytesWith is the size of all settings once a change is applied.
func (s *Store) settingsBytesWith(c Change) int {
	total := len(c.Settings)
	for _, resource := range s.Resources {
		if resource.Service != c.Service {
			total += len(resource.Settings)
		}
	}
	return total
}

func (s *Store) nextVersion(space uint32) Version { return max(s.Version+1, NewVersion(space, 1)) }

// StartTokenSpace gives every resource a version of a new epoch space, in the order of
// their old ones. A council that was restored from a snapshot does so: whoever has
// heard of changes that the snapshot lacks takes what the council holds now as newer.
func (s *Store) StartTokenSpace(space uint32) {
	inOrder := slices.SortedFunc(maps.Values(s.Resources), func(a, b *Resource) int { return byVersion(*a, *b) })
	for _, resource := range inOrder {
		s.Version = s.nextVersion(space)
		resource.Version = s.Version
	}
	s.Version = s.nextVersion(space)
}

// UpdateSince returns what a relay lacks that holds version: the resources that have
// changed since, in the order of their versions, or all of them where the version is
// not of this store's space.
func (s *Store) UpdateSince(version Version) Update {
	update := Update{From: version, Version: s.Version}
	if version.TokenSpace() != s.Version.TokenSpace() || version > s.Version {
		update.From = 0
	}
	for _, resource := range s.Resources {
		if resource.Version > update.From {
			update.Resources = append(update.Resources, *resource)
		}
	}
	slices.SortFunc(update.Resources, byVersion)
	return update
}

// Clone returns a store of its own. Settings are shared: they are never written.
func (s *Store) Clone() *Store {
	c := &Store{Version: s.Version, RecentChanges: slices.Clone(s.RecentChanges)}
	if s.Resources == nil {
		return c
	}
	c.Resources = make(map[string]*Resource, len(s.Resources))
	for service, resource := range s.Resources {
		copied := *resource
		c.Resources[service] = &copied
	}
	return c
}
