package coordination

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"otterspring/internal/fleet/configuration"
)

// StateVersion is the newest form of commands and state that this program knows. Each
// member advertises the one that it can apply, and a command of a newer form is not
// proposed before all members support it (State.AllSupport).
const StateVersion = 2

// Bounds of the state. A command that exceeds one is rejected.
const (
	MaxLeases          = 32
	MaxHosts           = 512
	MaxOperations      = 64      // completed ones included; the oldest are removed
	MaxCheckpointBytes = 8 << 10 // of a checkpoint, an operation's request and its outcome
	MaxHostStatusBytes = 8 << 10
	MaxNameBytes       = 64 // of leases, holders, hosts and operations
)

// FencingToken numbers the leaderships of a lease; each is greater than those before
// it. The upper 32 bits are the token space, which is increased when a cluster is
// restored from a snapshot: all tokens of before the restore are smaller. 0 is no
// token.
type FencingToken uint64

// Space returns the token space.
func (t FencingToken) Space() uint32 { return uint32(t >> 32) }

// String returns the space and the number in it, as in 1.17.
func (t FencingToken) String() string { return fmt.Sprintf("%d.%d", t.Space(), uint32(t)) }

// Lease is the right to act for the whole fleet in one matter. At most one holder has
// it at a time.
type Lease struct {
	Name       string       `json:"name"`
	Holder     string       `json:"owner,omitempty"` // empty: the lease is free
	Token      FencingToken `json:"epoch"`           // of the current leadership, or of the last one
	AcquiredAt uint64       `json:"since"`           // logical clock
	// Checkpoint is where the next holder continues; the holder of CheckpointToken wrote it.
	Checkpoint      json.RawMessage `json:"note,omitempty"`
	CheckpointToken FencingToken    `json:"note_epoch,omitempty"`
	// HolderChanges are the logical clocks of recent acquisitions, for holderChangeLimit.
	HolderChanges []uint64 `json:"changes,omitempty"`
}

// Operation is work that an operator requests from the holder of a lease.
type Operation struct {
	ID          string          `json:"id"`
	Lease       string          `json:"duty"`
	Request     json.RawMessage `json:"words"`
	RequestedAt uint64          `json:"since"`         // logical clock
	Outcome     string          `json:"end,omitempty"` // empty until it is complete
}

// State is the replicated state. It is stored as JSON in snapshots.
type State struct {
	Version int    `json:"version"`
	Cluster string `json:"council"` // name and number, as in west#01234567
	// LogicalClock counts ticks of the leaders. It never decreases, and stops while
	// there is no leader.
	LogicalClock uint64                     `json:"count"`
	TokenSpace   uint32                     `json:"space"`
	Leases       map[string]*Lease          `json:"duties"` // by name
	Operations   []*Operation               `json:"orders"` // in the order of their requests
	HostStatus   map[string]json.RawMessage `json:"facts"`  // by host
	// SupportedVersions are the newest forms of commands that members can apply, by
	// member number.
	SupportedVersions map[uint64]int `json:"able"`
	// Members are the addresses by member number. A removed member's address is empty,
	// so that its number is not used again.
	Members map[uint64]string `json:"members"`
	// Configuration is nil before the first change, and then the state is of version 2.
	Configuration *configuration.Store `json:"configuration,omitempty"`
}

// NewState returns the state of a new cluster.
func NewState(cluster string) *State {
	return &State{
		Version: 1, Cluster: cluster, TokenSpace: 1,
		Leases: map[string]*Lease{}, HostStatus: map[string]json.RawMessage{},
		SupportedVersions: map[uint64]int{}, Members: map[uint64]string{},
	}
}

// AllSupport reports whether all of the members can apply commands of a version.
func (s *State) AllSupport(version int, members []uint64) bool {
	for _, member := range members {
		if max(1, s.SupportedVersions[member]) < version {
			return false
		}
	}
	return true
}

// PendingOperation returns the operation of a lease that is not complete, or nil.
// There is one at most.
func (s *State) PendingOperation(lease string) *Operation {
	for _, operation := range s.Operations {
		if operation.Lease == lease && operation.Outcome == "" {
			return operation
		}
	}
	return nil
}

// Copy returns a copy that does not change with the state.
func (l *Lease) Copy() *Lease {
	c := *l
	c.HolderChanges = slices.Clone(l.HolderChanges)
	return &c
}

// WithoutConfiguration returns a copy that shares nothing with the state and lacks the
// configuration, which is large and has separate requests.
func (s *State) WithoutConfiguration() *State {
	c := *s
	c.Configuration = nil
	c.Leases = map[string]*Lease{}
	for name, lease := range s.Leases {
		c.Leases[name] = lease.Copy()
	}
	c.Operations = nil
	for _, operation := range s.Operations {
		copied := *operation
		c.Operations = append(c.Operations, &copied)
	}
	c.HostStatus, c.SupportedVersions, c.Members = maps.Clone(s.HostStatus), maps.Clone(s.SupportedVersions), maps.Clone(s.Members)
	return &c
}
