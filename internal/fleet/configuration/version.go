// Package configuration implements the distribution of service settings to all sidecars
// of a region: which changes are valid, which version a change is assigned, what a
// subscriber is sent, when it may be sent a snapshot, and which relay a subscriber polls.
// It does no I/O and reads no clock: callers pass the time as a duration since an origin
// that they choose. None of its types does any locking; each must be confined to one
// goroutine or protected by its caller's lock. docs/design/configuration.md explains the
// design.
//
// The main types and where they are used:
//
//	Store       the committed resources and their versions   state of a coordination cluster
//	Cache       the newest received resources                relays, sidecars
//	Admission   a limit on snapshots in flight               relays
//	Registry    what each subscriber has acknowledged        relays
//	Subscriber  which relay to poll, and when                sidecars
package configuration

import (
	"fmt"
	"strconv"
	"strings"
)

// Version is the sequence number of a change to a region's configuration; all services
// share one sequence. Its upper 32 bits are the token space of the coordination cluster
// that committed the change: a cluster that is restored from a snapshot starts a new
// token space, so that no version is assigned twice. 0 means no version.
type Version uint64

// NewVersion returns the version with a number within a token space.
func NewVersion(space, number uint32) Version { return Version(space)<<32 | Version(number) }

// TokenSpace returns the token space that the version belongs to.
func (v Version) TokenSpace() uint32 { return uint32(v >> 32) }

// Number returns the sequence number within the token space.
func (v Version) Number() uint32 { return uint32(v) }

// String formats the version as SPACE.NUMBER.
func (v Version) String() string { return fmt.Sprintf("%d.%d", v.TokenSpace(), v.Number()) }

// ParseVersion parses the format of String; "0" means no version. Its error is a
// *ValidationError.
func ParseVersion(text string) (Version, error) {
	if text == "0" {
		return 0, nil
	}
	space, number, found := strings.Cut(text, ".")
	upper, errUpper := strconv.ParseUint(space, 10, 32)
	lower, errLower := strconv.ParseUint(number, 10, 32)
	if !found || errUpper != nil || errLower != nil {
		return 0, invalidError("version", fmt.Sprintf("%q", text), "SPACE.NUMBER, such as 1.42")
	}
	return NewVersion(uint32(upper), uint32(lower)), nil
}
