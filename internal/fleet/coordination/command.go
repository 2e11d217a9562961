package coordination

import (
	"encoding/json"
	"fmt"

	"otterspring/internal/fleet/configuration"
)

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
	// AdvanceToken is for a receiver that has seen Token: the next one is greater.
	AdvanceToken CommandKind = "raise"
	// RequestOperation asks the holder of Lease for the operation OperationID.
	RequestOperation CommandKind = "order"
	// CompleteOperation is the holder's: operation OperationID has the outcome Data.
	CompleteOperation CommandKind = "end"
	// SetHostStatus records Data for the host Subject; without Data the host is removed.
	SetHostStatus CommandKind = "facts"
	// AdvertiseVersion records the version, in Token, up to which Member can apply commands.
	AdvertiseVersion CommandKind = "can"
	// SetTokenSpace begins the token space in Token, on a restore by an operator.
	SetTokenSpace CommandKind = "space"
	// ChangeConfiguration changes the settings of a service; Data is a
	// configuration.Change. NewConfigurationChange makes it.
	ChangeConfiguration CommandKind = "configure"
)

// Command is one step of the replicated state machine, stored as JSON in a log entry.
type Command struct {
	Version int         `json:"v"` // of the form; at most StateVersion
	Kind    CommandKind `json:"kind"`
	// LogicalClock is the leader's at the proposal.
	LogicalClock uint64 `json:"count"`
	// Subject is the lease holder or the host that the command is of. In a change of
	// members it is the member's address.
	Subject     string          `json:"who,omitempty"`
	Lease       string          `json:"duty,omitempty"`
	Token       FencingToken    `json:"epoch,omitempty"`
	OperationID string          `json:"id,omitempty"`
	Data        json.RawMessage `json:"data,omitempty"`
	Member      uint64          `json:"member,omitempty"`
	// ProposalID and Term identify the proposal on the member that made it. A member
	// numbers its proposals from 1 after each restart: without the term, an entry of an
	// earlier run could complete a proposal of this one.
	ProposalID uint64 `json:"ticket,omitempty"`
	Term       uint64 `json:"term,omitempty"`
}

// Result is what a command came to.
type Result struct {
	// Rejection says why the command changed nothing; it is empty where it was applied.
	Rejection string `json:"refused,omitempty"`
	// Lease is a copy of the lease that the command is about.
	Lease *Lease `json:"duty,omitempty"`
	// Version is the one that a change of the configuration got. Conflict is set
	// where it was rejected because of the version that it was made for.
	Version  configuration.Version `json:"version,omitempty"`
	Conflict bool                  `json:"conflict,omitempty"`
}

func reject(format string, args ...any) Result {
	return Result{Rejection: fmt.Sprintf(format, args...)}
}

// rejectWith is reject with the lease as it is.
func rejectWith(l *Lease, format string, args ...any) Result {
	return Result{Rejection: fmt.Sprintf(format, args...), Lease: l.Copy()}
}
