package configuration

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// maxRecentChanges is how many IDs of changes a store has for deduplication: a change
// that is retried after its response was lost is applied once. At four changes per
// second, far above a day's mean, they cover the last quarter of an hour.
const maxRecentChanges = 4096

// Change is an operator's request for new settings of one service.
type Change struct {
	// ID identifies the change; a retry has the same.
	ID      string `json:"id"`
	Service string `json:"service"`
	// IfVersion is the version that the service's resource must have now. 0 creates a
	// service that does not exist; nil accepts any version of one that exists.
	IfVersion *Version        `json:"if_version,omitempty"`
	Settings  json.RawMessage `json:"settings"`
}

// Validate checks what does not depend on a store's state. A cluster member calls it
// before it proposes the change.
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

// Store has the agreed resources of a region. It is part of the replicated state of a
// coordination cluster, and a pure function of the changes in its log. It is not safe
// for concurrent use.
type Store struct {
	Version   Version              `json:"version"` // of the latest change
	Resources map[string]*Resource `json:"resources,omitempty"`
	// RecentChanges are the latest changes that were applied, the oldest first, at most
	// maxRecentChanges.
	RecentChanges []AppliedChange `json:"remembered,omitempty"`
}

// AppliedChange is a change that was applied, with the version that it got.
type AppliedChange struct {
	ID      string  `json:"id"`
	Version Version `json:"version"`
}

// ConflictError is a change whose IfVersion is not the version of its service.
type ConflictError struct {
	Service           string
	Current, Expected Version // 0 for a service that does not exist
}

// Error returns one line with the service and both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("service %s: found version %v, wanted %v: it was changed meanwhile, read it again", e.Service, e.Current, e.Expected)
}

// Apply applies an agreed change in a token space and returns the version that it got.
// A change that was applied already is not applied again: its version is the one of the
// first time. The store stays as it is on an error: a *ConflictError, or one that says
// why the change is not valid in this state.
func (s *Store) Apply(space uint32, change Change) (Version, error) {
	if version, known := s.appliedVersion(change.ID); known {
		return version, nil
	}
	settings, err := canonicalSettings(change.Settings)
	if err != nil {
		return 0, err
	}
	change.Settings = settings
	if err := s.validateAgainstState(change); err != nil {
		return 0, err
	}
	s.Version = s.nextVersion(space)
	if s.Resources == nil {
		s.Resources = map[string]*Resource{}
	}
	s.Resources[change.Service] = &Resource{Service: change.Service, Version: s.Version, Settings: change.Settings}
	s.RecentChanges = append(s.RecentChanges, AppliedChange{change.ID, s.Version})
	if excess := len(s.RecentChanges) - maxRecentChanges; excess > 0 {
		s.RecentChanges = slices.Delete(s.RecentChanges, 0, excess)
	}
	return s.Version, nil
}

// appliedVersion returns the version of a change that is one of RecentChanges.
func (s *Store) appliedVersion(id string) (Version, bool) {
	for _, applied := range slices.Backward(s.RecentChanges) {
		if applied.ID == id {
			return applied.Version, true
		}
	}
	return 0, false
}

// validateAgainstState checks what depends on the store's state.
func (s *Store) validateAgainstState(change Change) error {
	resource, path := s.Resources[change.Service], "service "+change.Service
	switch {
	case resource == nil && change.IfVersion == nil:
		return invalid(path, "no such service", "one that exists: version 0 creates it")
	case resource == nil && *change.IfVersion != 0:
		return &ConflictError{Service: change.Service, Expected: *change.IfVersion}
	case resource == nil && len(s.Resources) >= MaxServices:
		return invalid(path, fmt.Sprintf("%d services", len(s.Resources)), fmt.Sprintf("%d at most", MaxServices))
	case resource != nil && change.IfVersion != nil && *change.IfVersion != resource.Version:
		return &ConflictError{Service: change.Service, Current: resource.Version, Expected: *change.IfVersion}
	}
	if total := s.settingsBytesWith(change); total > MaxTotalSettingsBytes {
		return tooLarge(path, total, " of settings in all", MaxTotalSettingsBytes)
	}
	return nil
}

// settingsBytesWith returns the size of all settings once a change is applied.
func (s *Store) settingsBytesWith(change Change) int {
	total := len(change.Settings)
	for _, resource := range s.Resources {
		if resource.Service != change.Service {
			total += len(resource.Settings)
		}
	}
	return total
}

func (s *Store) nextVersion(space uint32) Version { return max(s.Version+1, NewVersion(space, 1)) }

// StartTokenSpace assigns every resource a version of a new token space, in the order of
// their old ones. A cluster that was restored from a snapshot does so: receivers of
// changes that the snapshot lacks then accept the restored resources as newer.
func (s *Store) StartTokenSpace(space uint32) {
	sorted := slices.SortedFunc(maps.Values(s.Resources), func(a, b *Resource) int { return byVersion(*a, *b) })
	for _, resource := range sorted {
		s.Version = s.nextVersion(space)
		resource.Version = s.Version
	}
	s.Version = s.nextVersion(space)
}

// UpdateSince returns what a relay lacks that has a version: the resources that have
// changed since, in the order of their versions, or all of them if the version is not of
// this store's token space.
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

// Clone returns an independent copy. It shares the settings, which are never written.
func (s *Store) Clone() *Store {
	clone := &Store{Version: s.Version, RecentChanges: slices.Clone(s.RecentChanges)}
	if s.Resources == nil {
		return clone
	}
	clone.Resources = make(map[string]*Resource, len(s.Resources))
	for service, resource := range s.Resources {
		copied := *resource
		clone.Resources[service] = &copied
	}
	return clone
}
