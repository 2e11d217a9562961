package coordination

import (
	"encoding/json"
	"slices"
)

// rateLimit is the maximum number of changes within a window of the logical clock.
type rateLimit struct {
	changes int
	window  uint64 // ticks
}

// holderChangeLimit limits how often a lease can be acquired. All members must apply the
// same limit to reach the same state, so it is not configurable.
var holderChangeLimit = rateLimit{changes: 10, window: 600}

// Apply applies a committed command. It is deterministic, so all members reach the same
// state. A rejected command advances the logical clock, and it may add a free lease or an
// empty configuration. It has no other visible effect.
func (s *State) Apply(command Command) Result {
	s.LogicalClock = max(s.LogicalClock, command.LogicalClock)
	if command.Version > StateVersion {
		// All members supported the version when the command was proposed, but this member
		// has been downgraded since. Applying only the known part of the command would make
		// the state of this member diverge.
		return reject("unsupported command version %d: newest supported version is %d", command.Version, StateVersion)
	}
	switch command.Kind {
	case AcquireLease, ExpireLease, ReleaseLease, WriteCheckpoint, AdvanceToken:
		return s.applyLease(command)
	case RequestOperation:
		return s.applyRequestOperation(command)
	case CompleteOperation:
		return s.applyCompleteOperation(command)
	case SetHostStatus:
		return s.applyHostStatus(command)
	case AdvertiseVersion:
		s.SupportedVersions[command.Member] = int(command.Token)
		return Result{}
	case SetTokenSpace:
		s.applyTokenSpace(uint32(command.Token))
		return Result{}
	case ChangeConfiguration:
		return s.applyConfigurationChange(command)
	}
	return reject("unknown command kind %q", command.Kind)
}

func validName(name string) bool { return name != "" && len(name) <= MaxNameBytes }

func (s *State) applyLease(command Command) Result {
	if !validName(command.Lease) {
		return reject("invalid lease name %q: must have 1 to %d bytes", command.Lease, MaxNameBytes)
	}
	lease := s.Leases[command.Lease]
	if lease == nil {
		if len(s.Leases) >= MaxLeases {
			return reject("cannot create lease %s: %d leases exist, at most %d allowed", command.Lease, len(s.Leases), MaxLeases)
		}
		lease = &Lease{Name: command.Lease}
		s.Leases[command.Lease] = lease
	}
	switch command.Kind {
	case AcquireLease:
		return s.acquire(lease, command)
	case AdvanceToken:
		return s.advanceToken(lease, command.Token)
	default:
		return applyHolderCommand(lease, command)
	}
}

// acquire grants a free lease to a holder under a new token.
func (s *State) acquire(lease *Lease, command Command) Result {
	if !validName(command.Subject) {
		return reject("invalid holder name %q: must have 1 to %d bytes", command.Subject, MaxNameBytes)
	}
	if lease.Holder != "" {
		return rejectWith(lease, "lease %s is held by %s", lease.Name, lease.Holder)
	}
	lease.HolderChanges = slices.DeleteFunc(lease.HolderChanges, func(at uint64) bool { return at+holderChangeLimit.window <= s.LogicalClock })
	if len(lease.HolderChanges) >= holderChangeLimit.changes {
		return rejectWith(lease, "lease %s: too many holder changes: %d within %d ticks", lease.Name, len(lease.HolderChanges), holderChangeLimit.window)
	}
	lease.HolderChanges = append(lease.HolderChanges, s.LogicalClock)
	lease.Holder, lease.AcquiredAt = command.Subject, s.LogicalClock
	lease.Token = max(lease.Token+1, FencingToken(s.TokenSpace)<<32+1)
	return Result{Lease: lease.Copy()}
}

// advanceToken raises a lease's token to a token that a receiver has seen. If the seen token
// is greater than the lease's token, the state of this cluster was restored from an older
// copy. The lease then becomes free, since a holder with a smaller token must not continue.
func (s *State) advanceToken(lease *Lease, seen FencingToken) Result {
	if seen > lease.Token {
		lease.Token, lease.Holder = seen, ""
		s.advanceTokenSpace(seen.Space())
	}
	return Result{Lease: lease.Copy()}
}

// applyHolderCommand applies a command that requires the current token: the holder's
// release or checkpoint, or an expiry proposed by the leader.
func applyHolderCommand(lease *Lease, command Command) Result {
	if lease.Holder == "" || command.Token != lease.Token || command.Kind != ExpireLease && command.Subject != lease.Holder {
		return rejectWith(lease, "%s of lease %s: token %v of %q does not match current token %v of %q", command.Kind, lease.Name, command.Token, command.Subject, lease.Token, lease.Holder)
	}
	if len(command.Data) > MaxCheckpointBytes {
		return reject("checkpoint of lease %s too large: %d bytes, limit is %d", lease.Name, len(command.Data), MaxCheckpointBytes)
	}
	if command.Data != nil {
		lease.Checkpoint, lease.CheckpointToken = command.Data, command.Token
	}
	if command.Kind != WriteCheckpoint {
		lease.Holder = ""
	}
	return Result{Lease: lease.Copy()}
}

// checkOperation returns the reason why a command about an operation is invalid, or an empty
// string if the command is valid.
func checkOperation(command Command) string {
	if validName(command.OperationID) && validName(command.Lease) && len(command.Data) <= MaxCheckpointBytes {
		return ""
	}
	return reject("invalid operation with ID %q, lease %q and %d bytes of data: names must not be empty or too long, data limit is %d bytes", command.OperationID, command.Lease, len(command.Data), MaxCheckpointBytes).Rejection
}

func (s *State) operation(id string) *Operation {
	at := slices.IndexFunc(s.Operations, func(o *Operation) bool { return o.ID == id })
	if at < 0 {
		return nil
	}
	return s.Operations[at]
}

func (s *State) applyRequestOperation(command Command) Result {
	if rejection := checkOperation(command); rejection != "" {
		return Result{Rejection: rejection}
	}
	if s.operation(command.OperationID) != nil {
		return Result{} // retry of an applied request
	}
	if pending := s.PendingOperation(command.Lease); pending != nil {
		return reject("operation %s: operation %s of lease %s is still pending", command.OperationID, pending.ID, command.Lease)
	}
	s.Operations = append(s.Operations, &Operation{ID: command.OperationID, Lease: command.Lease, Request: command.Data, RequestedAt: s.LogicalClock})
	if excess := len(s.Operations) - MaxOperations; excess > 0 {
		s.Operations = slices.Delete(s.Operations, 0, excess)
	}
	return Result{}
}

func (s *State) applyCompleteOperation(command Command) Result {
	if rejection := checkOperation(command); rejection != "" {
		return Result{Rejection: rejection}
	}
	operation, lease := s.operation(command.OperationID), s.Leases[command.Lease]
	switch {
	case operation == nil:
		return reject("operation %s: not found", command.OperationID)
	case lease == nil || lease.Holder != command.Subject || lease.Token != command.Token:
		return reject("completion of operation %s: token %v of %q is not that of the current holder of lease %s", command.OperationID, command.Token, command.Subject, command.Lease)
	case operation.Outcome != "":
		return Result{} // retry of an applied completion
	}
	if err := json.Unmarshal(command.Data, &operation.Outcome); err != nil || operation.Outcome == "" {
		// The operation is completed even if Data is not a string or is an empty string.
		operation.Outcome = "done"
	}
	return Result{}
}

func (s *State) applyHostStatus(command Command) Result {
	switch {
	case !validName(command.Subject) || len(command.Data) > MaxHostStatusBytes:
		return reject("invalid status of host %q with %d bytes: name must not be empty or too long, status limit is %d bytes", command.Subject, len(command.Data), MaxHostStatusBytes)
	case command.Data == nil:
		delete(s.HostStatus, command.Subject)
	case s.HostStatus[command.Subject] == nil && len(s.HostStatus) >= MaxHosts:
		return reject("cannot add status of host %s: %d hosts exist, at most %d allowed", command.Subject, len(s.HostStatus), MaxHosts)
	default:
		s.HostStatus[command.Subject] = command.Data
	}
	return Result{}
}

// applyTokenSpace starts a new token space and frees all leases.
func (s *State) applyTokenSpace(space uint32) {
	s.TokenSpace = max(s.TokenSpace+1, space)
	for _, lease := range s.Leases {
		lease.Holder = ""
	}
	s.mutableConfiguration().StartTokenSpace(s.TokenSpace)
}
