// Package council is what a council of 3 or 5 members agrees on and how: duties
// with one owner each, their epochs, orders and facts. It does no I/O and reads no
// clock. State is the agreed state and a pure function of the agreed commands;
// Member puts it under a library's consensus (go.etcd.io/raft); Fence, Tenure and
// Leases are the rules of receivers, owners and leaders. docs/design/council.md
// has the reasons.
package coordination

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"otterspring/internal/fleet/configuration"
)

// StateVersion is the newest form of commands and state that this program knows.
// A member says in each vote for a duty what it can apply; a command of a newer
// form is not proposed before all can (State.Needs).
const StateVersion = 2

// Bounds of what a council holds. What goes beyond is refused, not cut.
const (
	MaxLeases          = 32
	MaxHosts           = 512
	MaxOperations      = 64      // that are kept, ended ones included
	MaxCheckpointBytes = 8 << 10 // bytes of a duty's note
	MaxHostStatusBytes = 8 << 10 // bytes of a host's facts
	MaxNameBytes       = 64      // bytes of a name
)

// Token numbers the owners of a duty. Its upper half is the epoch space, which a
// council that was brought back from a snapshot raises: all that was given out
// before is older. 0 is no epoch.
type FencingToken uint64

// TokenSpace returns the epoch space.
func (e FencingToken) Space() uint32 { return uint32(e >> 32) }

func (e FencingToken) String() string { return fmt.Sprintf("%d.%d", e.Space(), uint32(e)) }

// Lease is work that has one owner at a time.
type Lease struct {
	Name       string       `json:"name"`
	Holder     string       `json:"owner,omitempty"` // empty: nobody's
	Token      FencingToken `json:"epoch"`           // of the owner, or of the last one
	AcquiredAt uint64       `json:"since"`           // count at which it began
	// WriteCheckpoint is what the last owner said stands: the next begins there.
	Checkpoint      json.RawMessage `json:"note,omitempty"`
	CheckpointToken FencingToken    `json:"note_epoch,omitempty"`
	// HolderChanges are the counts of the latest changes of owner, against a duty that
	// flaps.
	HolderChanges []uint64 `json:"changes,omitempty"`
}

// Operation is what an operator wants done by a duty's owner.
type Operation struct {
	ID          string          `json:"id"`
	Lease       string          `json:"duty"`
	Request     json.RawMessage `json:"words"`
	RequestedAt uint64          `json:"since"`
	Outcome     string          `json:"end,omitempty"` // how it ended; empty while it has not
}

// ReadState is what the council has agreed on.
type State struct {
	Version int    `json:"version"`
	Cluster string `json:"council"` // its name and number
	// LogicalClock is the council's own time in ticks of its leaders: it never goes back and
	// stands still while there is no leader.
	LogicalClock      uint64                     `json:"count"`
	TokenSpace        uint32                     `json:"space"`
	Leases            map[string]*Lease          `json:"duties"`
	Operations        []*Operation               `json:"orders"`
	HostStatus        map[string]json.RawMessage `json:"facts"` // by host
	SupportedVersions map[uint64]int             `json:"able"`  // version that each member can apply
	// Members are the addresses of all, by number. A number is given once.
	Members map[uint64]string `json:"members"`
	// Configuration is there from the first change on (version 2).
	Configuration *configuration.Store `json:"configuration,omitempty"`
}

// NewState returns the state that a council begins with.
func NewState(name string) *State {
	return &State{Version: 1, Cluster: name, TokenSpace: 1, Leases: map[string]*Lease{}, HostStatus: map[string]json.RawMessage{}, SupportedVersions: map[uint64]int{}, Members: map[uint64]string{}}
}

// Command is one agreed step. Count is the leader's count at the proposal.
type Command struct {
	Version      int             `json:"v"`
	Kind         CommandKind     `json:"kind"`
	LogicalClock uint64          `json:"count"`
	Subject      string          `json:"who,omitempty"`
	Lease        string          `json:"duty,omitempty"`
	Token        FencingToken    `json:"epoch,omitempty"`
	OperationID  string          `json:"id,omitempty"`
	Data         json.RawMessage `json:"data,omitempty"`
	Member       uint64          `json:"member,omitempty"`
	// ProposalID finds the one who waits for the result, on the leader that proposed.
	// The term is part of it: a member counts its tickets anew after a restart, and an
	// entry of before must not answer a question of after.
	ProposalID uint64 `json:"ticket,omitempty"`
	Term       uint64 `json:"term,omitempty"`
}

// CommandKind says what a command changes. Its values are stored in log entries and
// sent by clients of older versions: they do not change.
type CommandKind string

// The kinds of command.
const (
	// AcquireLease makes Subject the holder of Lease, which nobody may hold.
	AcquireLease CommandKind = "take"
	// ExpireLease ends the leadership under Token; the cluster's leader proposes it.
	ExpireLease CommandKind = "expire"
	// ReleaseLease is the holder's: Lease is free, with Data as its checkpoint.
	ReleaseLease CommandKind = "give"
	// WriteCheckpoint is the holder's: Data is where the next holder continues.
	WriteCheckpoint CommandKind = "note"
	// AdvanceToken says that a receiver has seen Token: the next one is greater.
	AdvanceToken CommandKind = "raise"
	// RequestOperation asks the holder of Lease for the operation OperationID.
	RequestOperation CommandKind = "order"
	// CompleteOperation is the holder's: operation OperationID has the outcome Data.
	CompleteOperation CommandKind = "end"
	// SetHostStatus records Data for the host Subject; without Data the host is removed.
	SetHostStatus CommandKind = "facts"
	// AdvertiseVersion says that Member can apply commands up to the version in Token.
	AdvertiseVersion CommandKind = "can"
	// SetTokenSpace begins the token space in Token, on a restore by an operator.
	SetTokenSpace CommandKind = "space"
	// ChangeConfiguration changes the settings of a service; Data is a
	// configuration.Change. NewConfigurationChange makes it.
	ChangeConfiguration CommandKind = "configure"
)

// rateLimit of a duty that flaps: so many changes of owner within a time, in ticks.
type rateLimit struct {
	changes int
	window  uint64
}

// holderChangeLimit are the limits that all members share: they are part of the agreement, so
// they are no setting.
var holderChangeLimit = rateLimit{changes: 10, window: 600}

// Result is what a command came to. Refused is empty where it took effect.
type Result struct {
	Rejection string `json:"refused,omitempty"`
	Lease     *Lease `json:"duty,omitempty"`
	// Version is what a change of the configuration has got; Conflict tells that it was
	// refused for the version that it was made for.
	Version  configuration.Version `json:"version,omitempty"`
	Conflict bool                  `json:"conflict,omitempty"`
}

func refuse(format string, args ...any) Result {
	return Result{Rejection: fmt.Sprintf(format, args...)}
}

// AllSupport tells whether all of the members can apply a version.
func (s *State) AllSupport(version int, members []uint64) bool {
	for _, m := range members {
		if max(1, s.SupportedVersions[m]) < version {
			return false
		}
	}
	return true
}

// Apply carries out one agreed command. It is a pure function of state and
// command: all members come to the same.
func (s *State) Apply(c Command) Result {
	s.LogicalClock = max(s.LogicalClock, c.LogicalClock)
	if c.Version > StateVersion {
		// Not proposed before all can apply it; a member that is put back to an older
		// program after that must not go on with a state that differs.
		return refuse("a command of version %d, wanted %d at most", c.Version, StateVersion)
	}
	switch c.Kind {
	case AcquireLease, ExpireLease, ReleaseLease, WriteCheckpoint, AdvanceToken:
		return s.applyDuty(c)
	case RequestOperation, CompleteOperation:
		return s.applyOrder(c)
	case SetHostStatus:
		return s.applyFacts(c)
	case AdvertiseVersion:
		s.SupportedVersions[c.Member] = int(c.Token)
		return Result{}
	case SetTokenSpace:
		s.TokenSpace = max(s.TokenSpace+1, uint32(c.Token))
		for _, d := range s.Leases {
			d.Holder = ""
		}
		s.store().StartTokenSpace(s.TokenSpace)
		return Result{}
	case ChangeConfiguration:
		return s.applyConfigure(c)
	}
	return refuse("kind: found %q, wanted one that is known", c.Kind)
}

func goodName(name string) bool { return name != "" && len(name) <= MaxNameBytes }

func (s *State) applyDuty(c Command) Result {
	if !goodName(c.Lease) {
		return refuse("duty: found %q, wanted 1 to %d bytes", c.Lease, MaxNameBytes)
	}
	d := s.Leases[c.Lease]
	if d == nil {
		if len(s.Leases) >= MaxLeases {
			return refuse("duty %s: found %d duties, wanted %d at most", c.Lease, len(s.Leases), MaxLeases)
		}
		d = &Lease{Name: c.Lease}
		s.Leases[c.Lease] = d
	}
	switch c.Kind {
	case AcquireLease:
		return s.take(d, c)
	case AdvanceToken:
		if c.Token > d.Token {
			// Somebody has heard of an epoch that this council has not given out: its state
			// is older than the world. No owner of it may go on under an older number.
			d.Token, d.Holder = c.Token, ""
			s.raiseSpace(c.Token.Space())
		}
		return Result{Lease: d.Copy()}
	}
	if d.Holder == "" || c.Token != d.Token || c.Kind != ExpireLease && c.Subject != d.Holder {
		return Result{Rejection: fmt.Sprintf("%s of %s: found epoch %v of %q, wanted %v of %q", c.Kind, d.Name, c.Token, c.Subject, d.Token, d.Holder), Lease: d.Copy()}
	}
	if len(c.Data) > MaxCheckpointBytes {
		return refuse("note of %s: found %d bytes, wanted %d at most", d.Name, len(c.Data), MaxCheckpointBytes)
	}
	if c.Data != nil {
		d.Checkpoint, d.CheckpointToken = c.Data, c.Token
	}
	if c.Kind != WriteCheckpoint {
		d.Holder = ""
	}
	return Result{Lease: d.Copy()}
}

// take gives a duty that is nobody's to who asks.
func (s *State) take(d *Lease, c Command) Result {
	if !goodName(c.Subject) {
		return refuse("owner: found %q, wanted 1 to %d bytes", c.Subject, MaxNameBytes)
	}
	if d.Holder != "" {
		return Result{Rejection: fmt.Sprintf("%s is %s's", d.Name, d.Holder), Lease: d.Copy()}
	}
	d.HolderChanges = slices.DeleteFunc(d.HolderChanges, func(at uint64) bool { return at+holderChangeLimit.window <= s.LogicalClock })
	if len(d.HolderChanges) >= holderChangeLimit.changes {
		return Result{Rejection: fmt.Sprintf("%s: found %d changes of owner within %d ticks, wanted fewer: it waits", d.Name, len(d.HolderChanges), holderChangeLimit.window), Lease: d.Copy()}
	}
	d.HolderChanges = append(d.HolderChanges, s.LogicalClock)
	d.Holder, d.AcquiredAt = c.Subject, s.LogicalClock
	d.Token = max(d.Token+1, FencingToken(s.TokenSpace)<<32+1)
	return Result{Lease: d.Copy()}
}

func (s *State) applyOrder(c Command) Result {
	if !goodName(c.OperationID) || !goodName(c.Lease) || len(c.Data) > MaxCheckpointBytes {
		return refuse("order: found id %q, duty %q and %d bytes, wanted names and %d bytes at most", c.OperationID, c.Lease, len(c.Data), MaxCheckpointBytes)
	}
	at := slices.IndexFunc(s.Operations, func(o *Operation) bool { return o.ID == c.OperationID })
	if c.Kind == CompleteOperation {
		d := s.Leases[c.Lease]
		switch {
		case at < 0:
			return refuse("order %s: found none, wanted one that was given", c.OperationID)
		case d == nil || d.Holder != c.Subject || d.Token != c.Token:
			return refuse("end of order %s: found epoch %v of %q, which has not %s", c.OperationID, c.Token, c.Subject, c.Lease)
		case s.Operations[at].Outcome == "":
			json.Unmarshal(c.Data, &s.Operations[at].Outcome)
			if s.Operations[at].Outcome == "" {
				s.Operations[at].Outcome = "done"
			}
		}
		return Result{}
	}
	if at >= 0 {
		return Result{} // asked again: it was taken
	}
	for _, o := range s.Operations {
		if o.Lease == c.Lease && o.Outcome == "" {
			return refuse("order %s: found order %s of %s under way, wanted its end first", c.OperationID, o.ID, c.Lease)
		}
	}
	s.Operations = append(s.Operations, &Operation{ID: c.OperationID, Lease: c.Lease, Request: c.Data, RequestedAt: s.LogicalClock})
	if n := len(s.Operations) - MaxOperations; n > 0 {
		s.Operations = slices.Delete(s.Operations, 0, n) // ended: only the last of a duty is not
	}
	return Result{}
}

func (s *State) applyFacts(c Command) Result {
	switch {
	case !goodName(c.Subject) || len(c.Data) > MaxHostStatusBytes:
		return refuse("facts: found host %q and %d bytes, wanted a name and %d bytes at most", c.Subject, len(c.Data), MaxHostStatusBytes)
	case c.Data == nil:
		delete(s.HostStatus, c.Subject)
	case s.HostStatus[c.Subject] == nil && len(s.HostStatus) >= MaxHosts:
		return refuse("facts of %s: found %d hosts, wanted %d at most", c.Subject, len(s.HostStatus), MaxHosts)
	default:
		s.HostStatus[c.Subject] = c.Data
	}
	return Result{}
}

// Copy returns a duty of its own.
func (d *Lease) Copy() *Lease {
	c := *d
	c.HolderChanges = slices.Clone(d.HolderChanges)
	return &c
}

// WithoutConfiguration returns a copy that shares nothing with the state and lacks
// the configuration: that is large, and has questions of its own.
func (s *State) WithoutConfiguration() *State {
	c := *s
	c.Configuration = nil
	c.Leases = map[string]*Lease{}
	for name, d := range s.Leases {
		c.Leases[name] = d.Copy()
	}
	c.Operations = nil
	for _, o := range s.Operations {
		p := *o
		c.Operations = append(c.Operations, &p)
	}
	c.HostStatus, c.SupportedVersions, c.Members = maps.Clone(s.HostStatus), maps.Clone(s.SupportedVersions), maps.Clone(s.Members)
	return &c
}

// PendingOperations returns the order of a duty that has not ended; nil if there is none.
func (s *State) PendingOperation(duty string) *Operation {
	for _, o := range s.Operations {
		if o.Lease == duty && o.Outcome == "" {
			return o
		}
	}
	return nil
}
