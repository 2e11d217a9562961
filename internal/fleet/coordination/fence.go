package coordination

import (
	"fmt"
	"maps"
)

// Holder is a lease holder and the fencing token under which it holds the lease.
type Holder struct {
	Name  string       `json:"owner"`
	Token FencingToken `json:"epoch"`
}

// FenceUninitializedError rejects a holder because the receiver has not observed any holder of
// the lease since the receiver started.
type FenceUninitializedError struct {
	Lease string
	Got   Holder
}

// Error returns the message, in one line.
func (e *FenceUninitializedError) Error() string {
	return fmt.Sprintf("lease %s: cannot verify token %v of %s: this receiver has just started and has not observed the current holder", e.Lease, e.Got.Token, e.Got.Name)
}

// StaleTokenError rejects a holder that has lost its lease.
type StaleTokenError struct {
	Lease  string
	Got    Holder
	Newest FencingToken
}

// Error returns the message, in one line.
func (e *StaleTokenError) Error() string {
	return fmt.Sprintf("lease %s: stale token %v of %s, wanted %v or newer", e.Lease, e.Got.Token, e.Got.Name, e.Newest)
}

// DuplicateTokenError rejects a holder whose token is already in use by another holder. This
// means that two clusters have issued the same token.
type DuplicateTokenError struct {
	Lease string
	Got   Holder
	Want  string // name of the holder that used the token first
}

// Error returns the message, in one line.
func (e *DuplicateTokenError) Error() string {
	return fmt.Sprintf("lease %s: token %v of %s is already used by %s: two clusters issued it", e.Lease, e.Got.Token, e.Got.Name, e.Want)
}

// Fence protects a receiver of commands from holders that have lost their lease. For each
// lease, it remembers the newest token that it has seen. It accepts this token from a single
// holder only, accepts newer tokens from any holder, and rejects older tokens. Fence is not
// safe for concurrent use.
type Fence struct {
	newest   map[string]Holder // by lease
	Rejected int               // number of calls that Check has rejected
}

// NewFence returns a fence for a receiver that has just started. The fence rejects all
// holders of a lease until Observe has recorded a holder of that lease.
func NewFence() *Fence { return &Fence{newest: map[string]Holder{}} }

// Observe records a holder that a majority of the cluster has confirmed or that the
// receiver's predecessor had recorded. It ignores the holder if a newer token is recorded.
func (f *Fence) Observe(lease string, holder Holder) {
	if newest, known := f.newest[lease]; !known || holder.Token > newest.Token {
		f.newest[lease] = holder
	}
}

// Check returns nil if the receiver may execute a command sent by the holder, and records
// the holder and its token. Otherwise it returns a FenceUninitializedError, StaleTokenError
// or DuplicateTokenError.
func (f *Fence) Check(lease string, holder Holder) error {
	newest, known := f.newest[lease]
	switch {
	case !known:
		f.Rejected++
		return &FenceUninitializedError{Lease: lease, Got: holder}
	case holder.Token < newest.Token:
		f.Rejected++
		return &StaleTokenError{Lease: lease, Got: holder, Newest: newest.Token}
	case holder.Token == newest.Token && newest.Name != "" && holder.Name != newest.Name:
		f.Rejected++
		return &DuplicateTokenError{Lease: lease, Got: holder, Want: newest.Name}
	}
	f.newest[lease] = holder
	return nil
}

// Newest returns the newest recorded holder of a lease, or the zero value if none is
// recorded.
func (f *Fence) Newest(lease string) Holder { return f.newest[lease] }

// Holders returns the recorded holders by lease, to initialize the fence of the
// receiver's successor.
func (f *Fence) Holders() map[string]Holder { return maps.Clone(f.newest) }
