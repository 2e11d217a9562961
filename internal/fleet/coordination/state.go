package coordination

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"otterspring/internal/fleet/configuration"
)

// StateVersion is the newest format version of commands and state that this program
// supports. Each member advertises its version, and a command of a newer version is
// proposed only once all members support it (State.AllSupport).
const StateVersion = 2

// Limits of the state. A command that would exceed a limit other than MaxOperations is
// rejected.
const (
	MaxLeases          = 32
	MaxHosts           = 512
	MaxOperations      = 64      // includes completed operations; if there are more, the oldest are removed
	MaxCheckpointBytes = 8 << 10 // size of a checkpoint, of an operation's request or of an operation's outcome
	MaxHostStatusBytes = 8 << 10
	MaxNameBytes       = 64 // size of the name of a lease, holder or host, or of an operation's ID
)

// FencingToken identifies one tenure of a lease holder. Each acquisition of a lease gets a
// token greater than all earlier tokens of that lease. The upper 32 bits are the token space.
// The token space is incremented when a cluster is restored from a snapshot, so that every
// token issued after the restore is greater than all tokens issued before the restore. 0 means
// no token.
type FencingToken uint64

// Space returns the token space, the upper 32 bits.
func (t FencingToken) Space() uint32 { return uint32(t >> 32) }

// String formats the token as space and number, such as 1.17.
func (t FencingToken) String() string { return fmt.Sprintf("%d.%d", t.Space(), uint32(t)) }

// Lease is the exclusive right to perform one fleet-wide task. It has at most one holder
// at a time.
type Lease struct {
	Name       string       `json:"name"`
	Holder     string       `json:"owner,omitempty"` // empty if the lease is free
	Token      FencingToken `json:"epoch"`           // token of the holder or, if the lease is free, of the last holder
	AcquiredAt uint64       `json:"since"`           // logical clock at the acquisition
	// Checkpoint is the progress from which the next holder continues. CheckpointToken is
	// the token under which a holder wrote the checkpoint.
	Checkpoint      json.RawMessage `json:"note,omitempty"`
	CheckpointToken FencingToken    `json:"note_epoch,omitempty"`
	// HolderChanges holds the value of the logical clock at each recent acquisition. It is
	// needed to enforce holderChangeLimit.
	HolderChanges []uint64 `json:"changes,omitempty"`
}

// Operation is a task that an operator has requested from the holder of a lease.
type Operation struct {
	ID          string          `json:"id"`
	Lease       string          `json:"duty"`
	Request     json.RawMessage `json:"words"`
	RequestedAt uint64          `json:"since"`         // logical clock at the request
	Outcome     string          `json:"end,omitempty"` // empty until the operation is completed
}

// State is the replicated state. It is stored as JSON in snapshots.
type State struct {
	Version int    `json:"version"`
	Cluster string `json:"council"` // name and number, such as west#01234567
	// LogicalClock counts the ticks of successive leaders. It never decreases, and does
	// not advance while there is no leader.
	LogicalClock uint64                     `json:"count"`
	TokenSpace   uint32                     `json:"space"`
	Leases       map[string]*Lease          `json:"duties"` // by name
	Operations   []*Operation               `json:"orders"` // in request order
	HostStatus   map[string]json.RawMessage `json:"facts"`  // by host
	// SupportedVersions holds the newest command version that each member supports, by
	// member number.
	SupportedVersions map[uint64]int `json:"able"`
	// Members holds the address of each member by number. A removed member keeps an entry
	// with an empty address, so that its number is not reused.
	Members map[uint64]string `json:"members"`
	// Configuration is nil until the first ChangeConfiguration or SetTokenSpace command is
	// applied. That command sets Version to 2.
	Configuration *configuration.Store `json:"configuration,omitempty"`
}

// NewState returns the initial state of a cluster.
func NewState(cluster string) *State {
	return &State{
		Version: 1, Cluster: cluster, TokenSpace: 1,
		Leases: map[string]*Lease{}, HostStatus: map[string]json.RawMessage{},
		SupportedVersions: map[uint64]int{}, Members: map[uint64]string{},
	}
}

// AllSupport reports whether all given members support a command version. A member that
// has advertised nothing supports version 1.
func (s *State) AllSupport(version int, members []uint64) bool {
	for _, member := range members {
		if max(1, s.SupportedVersions[member]) < version {
			return false
		}
	}
	return true
}

// PendingOperation returns the uncompleted operation of a lease, or nil if there is none. A
// lease has at most one uncompleted operation.
func (s *State) PendingOperation(lease string) *Operation {
	for _, operation := range s.Operations {
		if operation.Lease == lease && operation.Outcome == "" {
			return operation
		}
	}
	return nil
}

// Copy returns a copy that later commands do not modify.
func (l *Lease) Copy() *Lease {
	c := *l
	c.HolderChanges = slices.Clone(l.HolderChanges)
	return &c
}

// WithoutConfiguration returns a copy of the state that later commands do not modify.
// The copy omits the configuration, which is large and is read by separate requests.
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
