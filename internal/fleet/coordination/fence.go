package coordination

import (
	"fmt"
	"maps"
)

// Holder is a lease holder with the fencing token of its leadership.
type Holder struct {
	Name  string       `json:"owner"`
	Token FencingToken `json:"epoch"`
}

// FenceUninitializedError rejects a holder because the receiver has started and has not
// observed the lease yet.
type FenceUninitializedError struct {
	Lease string
	Got   Holder
}

// Error returns the message, in one line.
func (e *FenceUninitializedError) Error() string {
	return fmt.Sprintf("lease %s: found token %v of %s, wanted the cluster's current holder first: this receiver has just started", e.Lease, e.Got.Token, e.Got.Name)
}

// StaleTokenError rejects a holder that has lost its lease.
type StaleTokenError struct {
	Lease  string
	Got    Holder
	Newest FencingToken
}

// Error returns the message, in one line.
func (e *StaleTokenError) Error() string {
	return fmt.Sprintf("lease %s: found stale token %v of %s, wanted %v or newer", e.Lease, e.Got.Token, e.Got.Name, e.Newest)
}

// DuplicateTokenError rejects the second holder under one token: two clusters have
// issued it.
type DuplicateTokenError struct {
	Lease string
	Got   Holder
	Want  string // name of the first holder
}

// Error returns the message, in one line.
func (e *DuplicateTokenError) Error() string {
	return fmt.Sprintf("lease %s: found token %v of %s, wanted %s's: two clusters issued the token", e.Lease, e.Got.Token, e.Got.Name, e.Want)
}

// Fence protects a receiver of effects from holders that have lost their lease: for
// each lease it accepts the newest token that it has seen, from one holder, and newer
// tokens. It has no lock; its user serializes the calls.
type Fence struct {
	newest   map[string]Holder // by lease
	Rejected int               // holders that Check has rejected
}

// NewFence returns the fence of a receiver that has started. It rejects all holders of
// a lease until it has observed the holder that a majority of the cluster confirms.
func NewFence() *Fence { return &Fence{newest: map[string]Holder{}} }

// Observe records a holder that the cluster has confirmed, or that a predecessor of
// this receiver had recorded. An older token than the recorded one changes nothing.
func (f *Fence) Observe(lease string, holder Holder) {
	if newest, known := f.newest[lease]; !known || holder.Token > newest.Token {
		f.newest[lease] = holder
	}
}

// Check returns nil if an effect of a holder may be applied, and records a newer token.
// Its error is one of FenceUninitializedError, StaleTokenError and DuplicateTokenError.
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

// Newest returns the newest holder of a lease that the fence has recorded, or none.
func (f *Fence) Newest(lease string) Holder { return f.newest[lease] }

// Holders returns what the fence has recorded, by lease, for a successor of this
// receiver.
func (f *Fence) Holders() map[string]Holder { return maps.Clone(f.newest) }
