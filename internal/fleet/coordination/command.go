package coordination

import (
	"encoding/json"
	"fmt"

	"otterspring/internal/fleet/configuration"
)

// CommandKind is the type of a command. The values are stored in log entries and sent by
// clients of older versions, so they must not change.
type CommandKind string

// Command kinds.
const (
	// AcquireLease makes Subject the holder of Lease, which must be free.
	AcquireLease CommandKind = "take"
	// ExpireLease frees the lease held under Token. The cluster's leader proposes it.
	ExpireLease CommandKind = "expire"
	// ReleaseLease frees Lease at the request of its holder. If Data is not nil, it is stored
	// as the checkpoint.
	ReleaseLease CommandKind = "give"
	// WriteCheckpoint stores Data as the checkpoint from which the next holder continues.
	// Only the holder may send it.
	WriteCheckpoint CommandKind = "note"
	// AdvanceToken reports that a receiver has seen Token. The next token issued is then
	// greater than Token.
	AdvanceToken CommandKind = "raise"
	// RequestOperation requests the operation OperationID from the holder of Lease.
	RequestOperation CommandKind = "order"
	// CompleteOperation completes the operation OperationID with the outcome Data. Only
	// the holder may send it.
	CompleteOperation CommandKind = "end"
	// SetHostStatus stores Data as the status of the host Subject, or removes the host if
	// Data is nil.
	SetHostStatus CommandKind = "facts"
	// AdvertiseVersion sets the newest command version that Member supports to Token.
	AdvertiseVersion CommandKind = "can"
	// SetTokenSpace starts the token space whose number is the value of Token. It is applied
	// when an operator restores the cluster from a snapshot.
	SetTokenSpace CommandKind = "space"
	// ChangeConfiguration changes the settings of a service. Data is a
	// configuration.Change; see NewConfigurationChange.
	ChangeConfiguration CommandKind = "configure"
)

// Command is a state change that is replicated as JSON in a log entry.
type Command struct {
	Version int         `json:"v"` // format version, at most StateVersion
	Kind    CommandKind `json:"kind"`
	// LogicalClock is the leader's logical clock when it proposed the command.
	LogicalClock uint64 `json:"count"`
	// Subject is the lease holder or host that the command concerns. In a membership
	// change it is the member's address.
	Subject     string          `json:"who,omitempty"`
	Lease       string          `json:"duty,omitempty"`
	Token       FencingToken    `json:"epoch,omitempty"`
	OperationID string          `json:"id,omitempty"`
	Data        json.RawMessage `json:"data,omitempty"`
	Member      uint64          `json:"member,omitempty"`
	// ProposalID and Term identify the proposal on the member that made it. Proposal IDs
	// start from 1 after each restart. Without the term, a log entry proposed before a
	// restart could therefore complete a proposal made after the restart.
	ProposalID uint64 `json:"ticket,omitempty"`
	Term       uint64 `json:"term,omitempty"`
}

// Result is the outcome of applying a command.
type Result struct {
	// Rejection is the reason why the command was rejected; empty if it was applied.
	Rejection string `json:"refused,omitempty"`
	// Lease is a copy of the lease that the command concerns.
	Lease *Lease `json:"duty,omitempty"`
	// Version is the version assigned to a configuration change. Conflict is set if the
	// change was rejected because its expected version did not match.
	Version  configuration.Version `json:"version,omitempty"`
	Conflict bool                  `json:"conflict,omitempty"`
}

func reject(format string, args ...any) Result {
	return Result{Rejection: fmt.Sprintf(format, args...)}
}

// rejectWith is like reject, and includes a copy of the lease in the result.
func rejectWith(l *Lease, format string, args ...any) Result {
	return Result{Rejection: fmt.Sprintf(format, args...), Lease: l.Copy()}
}
