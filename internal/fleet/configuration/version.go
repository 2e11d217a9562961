// Package configuration decides how the settings of services reach all sidecars of
// a region: which changes are valid, which version a change gets, what a subscriber
// is sent, when it may be sent a snapshot, and which relay a subscriber polls. It
// does no I/O and reads no clock: callers pass the time as a duration since an origin
// of their own. None of its types locks; each belongs to one goroutine or to its
// caller's lock. docs/design/configuration.md has the reasons.
//
// The parts and who uses them:
//
//	Store       the agreed resources and their versions   state of a coordination cluster
//	Cache       the newest resources that were received   relays, sidecars
//	Admission   a bound on snapshots in flight            relays
//	Registry    what each subscriber acknowledged         relays
//	Subscriber  which relay is polled, and when           sidecars
package configuration

import (
	"fmt"
	"strconv"
	"strings"
)

// Version numbers the changes of a region's configuration, all services together.
// Its upper half is the token space of the coordination cluster that agreed on the
// change: a cluster that was restored from a snapshot starts a new one, so that no
// version is assigned twice. 0 is no version.
type Version uint64

// NewVersion returns the version of a change: its number within a token space.
func NewVersion(space, number uint32) Version { return Version(space)<<32 | Version(number) }

// TokenSpace returns the token space.
func (v Version) TokenSpace() uint32 { return uint32(v >> 32) }

// Number returns the number within the token space.
func (v Version) Number() uint32 { return uint32(v) }

// String returns a version as SPACE.NUMBER.
func (v Version) String() string { return fmt.Sprintf("%d.%d", v.TokenSpace(), v.Number()) }

// ParseVersion parses what String returns; "0" is no version. Its error is a
// *ValidationError.
func ParseVersion(text string) (Version, error) {
	if text == "0" {
		return 0, nil
	}
	space, number, found := strings.Cut(text, ".")
	upper, errUpper := strconv.ParseUint(space, 10, 32)
	lower, errLower := strconv.ParseUint(number, 10, 32)
	if !found || errUpper != nil || errLower != nil {
		return 0, invalid("version", fmt.Sprintf("%q", text), "SPACE.NUMBER, such as 1.42")
	}
	return NewVersion(uint32(upper), uint32(lower)), nil
}
