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
func (s *State) Apply(c Command) Result {
	s.LogicalClock = max(s.LogicalClock, c.LogicalClock)
	if c.Version > StateVersion {
		// It was proposed when all members supported it. A member that was downgraded since
		// must not apply it in part and diverge.
		return reject("command: found version %d, wanted %d at most", c.Version, StateVersion)
	}
	switch c.Kind {
	case AcquireLease, ExpireLease, ReleaseLease, WriteCheckpoint, AdvanceToken:
		return s.applyLease(c)
	case RequestOperation:
		return s.applyRequestOperation(c)
	case CompleteOperation:
		return s.applyCompleteOperation(c)
	case SetHostStatus:
		return s.applyHostStatus(c)
	case AdvertiseVersion:
		s.SupportedVersions[c.Member] = int(c.Token)
		return Result{}
	case SetTokenSpace:
		s.applyTokenSpace(uint32(c.Token))
		return Result{}
	case ChangeConfiguration:
		return s.applyConfigurationChange(c)
	}
	return reject("kind: found %q, wanted one that is known", c.Kind)
}

func validName(name string) bool { return name != "" && len(name) <= MaxNameBytes }

func (s *State) applyLease(c Command) Result {
	if !validName(c.Lease) {
		return reject("lease: found name %q, wanted 1 to %d bytes", c.Lease, MaxNameBytes)
	}
	lease := s.Leases[c.Lease]
	if lease == nil {
		if len(s.Leases) >= MaxLeases {
			return reject("lease %s: found %d leases, wanted %d at most", c.Lease, len(s.Leases), MaxLeases)
		}
		lease = &Lease{Name: c.Lease}
		s.Leases[c.Lease] = lease
	}
	switch c.Kind {
	case AcquireLease:
		return s.acquire(lease, c)
	case AdvanceToken:
		return s.advanceToken(lease, c.Token)
	default:
		return changeHeldLease(lease, c)
	}
}

// acquire gives a free lease to the holder that asks for it, under a new token.
func (s *State) acquire(lease *Lease, c Command) Result {
	if !validName(c.Subject) {
		return reject("holder: found name %q, wanted 1 to %d bytes", c.Subject, MaxNameBytes)
	}
	if lease.Holder != "" {
		return rejectWith(lease, "lease %s: held by %s", lease.Name, lease.Holder)
	}
	lease.HolderChanges = slices.DeleteFunc(lease.HolderChanges, func(at uint64) bool { return at+holderChangeLimit.window <= s.LogicalClock })
	if len(lease.HolderChanges) >= holderChangeLimit.changes {
		return rejectWith(lease, "lease %s: found %d changes of holder within %d ticks, wanted fewer", lease.Name, len(lease.HolderChanges), holderChangeLimit.window)
	}
	lease.HolderChanges = append(lease.HolderChanges, s.LogicalClock)
	lease.Holder, lease.AcquiredAt = c.Subject, s.LogicalClock
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

// changeHeldLease applies what only the holder may do, or the leader for it: expiry,
// release and checkpoint.
func changeHeldLease(lease *Lease, c Command) Result {
	if lease.Holder == "" || c.Token != lease.Token || c.Kind != ExpireLease && c.Subject != lease.Holder {
		return rejectWith(lease, "%s of lease %s: found token %v of %q, wanted %v of %q", c.Kind, lease.Name, c.Token, c.Subject, lease.Token, lease.Holder)
	}
	if len(c.Data) > MaxCheckpointBytes {
		return reject("checkpoint of lease %s: found %d bytes, wanted %d at most", lease.Name, len(c.Data), MaxCheckpointBytes)
	}
	if c.Data != nil {
		lease.Checkpoint, lease.CheckpointToken = c.Data, c.Token
	}
	if c.Kind != WriteCheckpoint {
		lease.Holder = ""
	}
	return Result{Lease: lease.Copy()}
}

// checkOperation returns why a command about an operation is out of bounds; empty if it
// is not.
func checkOperation(c Command) string {
	if validName(c.OperationID) && validName(c.Lease) && len(c.Data) <= MaxCheckpointBytes {
		return ""
	}
	return reject("operation: found id %q, lease %q and %d bytes, wanted names and %d bytes at most", c.OperationID, c.Lease, len(c.Data), MaxCheckpointBytes).Rejection
}

func (s *State) operation(id string) *Operation {
	at := slices.IndexFunc(s.Operations, func(o *Operation) bool { return o.ID == id })
	if at < 0 {
		return nil
	}
	return s.Operations[at]
}

func (s *State) applyRequestOperation(c Command) Result {
	if rejection := checkOperation(c); rejection != "" {
		return Result{Rejection: rejection}
	}
	if s.operation(c.OperationID) != nil {
		return Result{} // a retry of a request that was applied
	}
	if pending := s.PendingOperation(c.Lease); pending != nil {
		return reject("operation %s: found operation %s of lease %s pending, wanted its completion first", c.OperationID, pending.ID, c.Lease)
	}
	s.Operations = append(s.Operations, &Operation{ID: c.OperationID, Lease: c.Lease, Request: c.Data, RequestedAt: s.LogicalClock})
	if excess := len(s.Operations) - MaxOperations; excess > 0 {
		s.Operations = slices.Delete(s.Operations, 0, excess)
	}
	return Result{}
}

func (s *State) applyCompleteOperation(c Command) Result {
	if rejection := checkOperation(c); rejection != "" {
		return Result{Rejection: rejection}
	}
	operation, lease := s.operation(c.OperationID), s.Leases[c.Lease]
	switch {
	case operation == nil:
		return reject("operation %s: found none, wanted one that was requested", c.OperationID)
	case lease == nil || lease.Holder != c.Subject || lease.Token != c.Token:
		return reject("completion of operation %s: found token %v of %q, wanted the holder of lease %s", c.OperationID, c.Token, c.Subject, c.Lease)
	case operation.Outcome != "":
		return Result{} // a retry
	}
	if err := json.Unmarshal(c.Data, &operation.Outcome); err != nil || operation.Outcome == "" {
		operation.Outcome = "done" // an outcome that is not a string marks the completion all the same
	}
	return Result{}
}

func (s *State) applyHostStatus(c Command) Result {
	switch {
	case !validName(c.Subject) || len(c.Data) > MaxHostStatusBytes:
		return reject("host status: found host %q and %d bytes, wanted a name and %d bytes at most", c.Subject, len(c.Data), MaxHostStatusBytes)
	case c.Data == nil:
		delete(s.HostStatus, c.Subject)
	case s.HostStatus[c.Subject] == nil && len(s.HostStatus) >= MaxHosts:
		return reject("host status of %s: found %d hosts, wanted %d at most", c.Subject, len(s.HostStatus), MaxHosts)
	default:
		s.HostStatus[c.Subject] = c.Data
	}
	return Result{}
}

// applyTokenSpace begins a token space: no lease has a holder in it.
func (s *State) applyTokenSpace(space uint32) {
	s.TokenSpace = max(s.TokenSpace+1, space)
	for _, lease := range s.Leases {
		lease.Holder = ""
	}
	s.mutableConfiguration().BeginSpace(s.TokenSpace)
}
