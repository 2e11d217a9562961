package coordination

import (
	"encoding/json"
	"slices"
)

// rateLimit allows a number of changes within a window of the logical clock.
type rateLimit struct {
	changes int
	window  uint64 // ticks
}

// holderChangeLimit bounds how often a lease changes hands. All members have to use the
// same, so it is not a setting.
var holderChangeLimit = rateLimit{changes: 10, window: 600}

// Apply applies a committed command. It is a pure function of state and command: all
// members come to the same state. A rejected command advances the logical clock and
// may add a free lease; it changes nothing else.
func (s *State) Apply(command Command) Result {
	s.LogicalClock = max(s.LogicalClock, command.LogicalClock)
	if command.Version > StateVersion {
		// It was proposed when all members supported it. A member that was downgraded since
		// must not apply it in part and diverge.
		return reject("command: found version %d, wanted %d at most", command.Version, StateVersion)
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
	return reject("kind: found %q, wanted one that is known", command.Kind)
}

func validName(name string) bool { return name != "" && len(name) <= MaxNameBytes }

func (s *State) applyLease(command Command) Result {
	if !validName(command.Lease) {
		return reject("lease: found name %q, wanted 1 to %d bytes", command.Lease, MaxNameBytes)
	}
	lease := s.Leases[command.Lease]
	if lease == nil {
		if len(s.Leases) >= MaxLeases {
			return reject("lease %s: found %d leases, wanted %d at most", command.Lease, len(s.Leases), MaxLeases)
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

// acquire gives a free lease to the holder that asks for it, under a new token.
func (s *State) acquire(lease *Lease, command Command) Result {
	if !validName(command.Subject) {
		return reject("holder: found name %q, wanted 1 to %d bytes", command.Subject, MaxNameBytes)
	}
	if lease.Holder != "" {
		return rejectWith(lease, "lease %s: its holder is %s", lease.Name, lease.Holder)
	}
	lease.HolderChanges = slices.DeleteFunc(lease.HolderChanges, func(at uint64) bool { return at+holderChangeLimit.window <= s.LogicalClock })
	if len(lease.HolderChanges) >= holderChangeLimit.changes {
		return rejectWith(lease, "lease %s: found %d changes of holder within %d ticks, wanted fewer", lease.Name, len(lease.HolderChanges), holderChangeLimit.window)
	}
	lease.HolderChanges = append(lease.HolderChanges, s.LogicalClock)
	lease.Holder, lease.AcquiredAt = command.Subject, s.LogicalClock
	lease.Token = max(lease.Token+1, FencingToken(s.TokenSpace)<<32+1)
	return Result{Lease: lease.Copy()}
}

// advanceToken takes a token that a receiver has seen and that this cluster has not
// issued: its state was restored from an older one. A holder under a smaller token must
// not continue.
func (s *State) advanceToken(lease *Lease, seen FencingToken) Result {
	if seen > lease.Token {
		lease.Token, lease.Holder = seen, ""
		s.advanceTokenSpace(seen.Space())
	}
	return Result{Lease: lease.Copy()}
}

// applyHolderCommand applies what only the holder may do, or the leader for it: expiry,
// release and checkpoint.
func applyHolderCommand(lease *Lease, command Command) Result {
	if lease.Holder == "" || command.Token != lease.Token || command.Kind != ExpireLease && command.Subject != lease.Holder {
		return rejectWith(lease, "%s of lease %s: found token %v of %q, wanted %v of %q", command.Kind, lease.Name, command.Token, command.Subject, lease.Token, lease.Holder)
	}
	if len(command.Data) > MaxCheckpointBytes {
		return reject("checkpoint of lease %s: found %d bytes, wanted %d at most", lease.Name, len(command.Data), MaxCheckpointBytes)
	}
	if command.Data != nil {
		lease.Checkpoint, lease.CheckpointToken = command.Data, command.Token
	}
	if command.Kind != WriteCheckpoint {
		lease.Holder = ""
	}
	return Result{Lease: lease.Copy()}
}

// checkOperation returns why a command about an operation is out of bounds; empty if it
// is not.
func checkOperation(command Command) string {
	if validName(command.OperationID) && validName(command.Lease) && len(command.Data) <= MaxCheckpointBytes {
		return ""
	}
	return reject("operation: found id %q, lease %q and %d bytes, wanted names and %d bytes at most", command.OperationID, command.Lease, len(command.Data), MaxCheckpointBytes).Rejection
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
		return Result{} // a retry of a request that was applied
	}
	if pending := s.PendingOperation(command.Lease); pending != nil {
		return reject("operation %s: found operation %s of lease %s pending, wanted its completion first", command.OperationID, pending.ID, command.Lease)
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
		return reject("operation %s: found none, wanted one that was requested", command.OperationID)
	case lease == nil || lease.Holder != command.Subject || lease.Token != command.Token:
		return reject("completion of operation %s: found token %v of %q, wanted the holder of lease %s", command.OperationID, command.Token, command.Subject, command.Lease)
	case operation.Outcome != "":
		return Result{} // a retry
	}
	if err := json.Unmarshal(command.Data, &operation.Outcome); err != nil || operation.Outcome == "" {
		operation.Outcome = "done" // an outcome that is not a string marks the completion all the same
	}
	return Result{}
}

func (s *State) applyHostStatus(command Command) Result {
	switch {
	case !validName(command.Subject) || len(command.Data) > MaxHostStatusBytes:
		return reject("host status: found host %q and %d bytes, wanted a name and %d bytes at most", command.Subject, len(command.Data), MaxHostStatusBytes)
	case command.Data == nil:
		delete(s.HostStatus, command.Subject)
	case s.HostStatus[command.Subject] == nil && len(s.HostStatus) >= MaxHosts:
		return reject("host status of %s: found %d hosts, wanted %d at most", command.Subject, len(s.HostStatus), MaxHosts)
	default:
		s.HostStatus[command.Subject] = command.Data
	}
	return Result{}
}

// applyTokenSpace begins a token space: no lease has a holder in it.
func (s *State) applyTokenSpace(space uint32) {
	s.TokenSpace = max(s.TokenSpace+1, space)
	for _, lease := range s.Leases {
		lease.Holder = ""
	}
	s.mutableConfiguration().StartTokenSpace(s.TokenSpace)
}
