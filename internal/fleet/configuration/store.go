package configuration

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// maxRecentChanges is the number of change IDs that a store keeps for deduplication. If the
// response to a change was lost, a retry with the same ID does not apply the change again.
// At four changes per second, which is far above the daily mean, the IDs cover about 15
// minutes.
const maxRecentChanges = 4096

// Change is an operator's request for new settings of one service.
type Change struct {
	// ID identifies the change; retries use the same ID.
	ID      string `json:"id"`
	Service string `json:"service"`
	// IfVersion is the version that the service's resource must currently have. 0 creates
	// the service, which must not exist yet. nil accepts any version of an existing service.
	IfVersion *Version        `json:"if_version,omitempty"`
	Settings  json.RawMessage `json:"settings"`
}

// Validate checks everything that does not depend on the state of a store. A cluster
// member calls it before proposing the change.
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

// Store holds the committed resources of a region. It is part of the replicated state of
// a coordination cluster and depends only on the changes in the cluster's log. It is not
// safe for concurrent use.
type Store struct {
	Version   Version              `json:"version"` // newest assigned version
	Resources map[string]*Resource `json:"resources,omitempty"`
	// RecentChanges are the most recently applied changes, oldest first, at most
	// maxRecentChanges of them.
	RecentChanges []AppliedChange `json:"remembered,omitempty"`
}

// AppliedChange is the ID of an applied change and the version it was assigned.
type AppliedChange struct {
	ID      string  `json:"id"`
	Version Version `json:"version"`
}

// ConflictError reports a change whose IfVersion is not the current version of its
// service.
type ConflictError struct {
	Service           string
	Current, Expected Version // 0 for a service that does not exist
}

// Error returns a single line with the service and both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("service %s: found version %v, wanted %v: it was changed concurrently, read it again", e.Service, e.Current, e.Expected)
}

// Apply applies a committed change and returns the version assigned to it. space is the
// current token space of the cluster. Apply is idempotent: if a change with the same ID is
// among RecentChanges, Apply returns the version of the recent change and does nothing
// else. On an error the store is unchanged. The error is either a *ConflictError or states
// why the change is not valid in the current state of the store.
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

// appliedVersion returns the version of a change if it is among RecentChanges.
func (s *Store) appliedVersion(id string) (Version, bool) {
	for _, applied := range slices.Backward(s.RecentChanges) {
		if applied.ID == id {
			return applied.Version, true
		}
	}
	return 0, false
}

// validateAgainstState checks the conditions that depend on the state of the store.
func (s *Store) validateAgainstState(change Change) error {
	resource, path := s.Resources[change.Service], "service "+change.Service
	switch {
	case resource == nil && change.IfVersion == nil:
		return invalidError(path, "no such service", "an existing one; version 0 creates it")
	case resource == nil && *change.IfVersion != 0:
		return &ConflictError{Service: change.Service, Expected: *change.IfVersion}
	case resource == nil && len(s.Resources) >= MaxServices:
		return invalidError(path, fmt.Sprintf("%d services", len(s.Resources)), fmt.Sprintf("%d at most", MaxServices))
	case resource != nil && change.IfVersion != nil && *change.IfVersion != resource.Version:
		return &ConflictError{Service: change.Service, Current: resource.Version, Expected: *change.IfVersion}
	}
	if total := s.settingsBytesWith(change); total > MaxTotalSettingsBytes {
		return tooLargeError(path, total, " of settings in all", MaxTotalSettingsBytes)
	}
	return nil
}

// settingsBytesWith returns the total size of all settings after a change.
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

// StartTokenSpace assigns every resource a version in a new token space, in the order of
// the old versions. It is called after a cluster was restored from a snapshot. Receivers may
// have applied changes that are missing from the snapshot. Since the new versions are
// higher, these receivers accept the restored resources.
func (s *Store) StartTokenSpace(space uint32) {
	sorted := slices.SortedFunc(maps.Values(s.Resources), func(a, b *Resource) int { return byVersion(*a, *b) })
	for _, resource := range sorted {
		s.Version = s.nextVersion(space)
		resource.Version = s.Version
	}
	s.Version = s.nextVersion(space)
}

// UpdateSince returns the update for a relay that has the given version. The update contains
// the resources that have changed since that version, ordered by version. It contains all
// resources if the given version is in another token space than the store's version or is
// newer than the store's version.
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

// Clone returns an independent copy. The copy shares the settings of the resources with the
// original, since settings are never modified in place.
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
