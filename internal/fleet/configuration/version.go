// Package configuration decides how the settings of services reach all sidecars of
// a region: what a change may say, which version it gets, what a subscriber is sent,
// when it may be sent a snapshot, and which relay a subscriber asks. It does no I/O
// and reads no clock. docs/design/configuration.md has the reasons.
//
// The parts and who uses them:
//
//	Store       the agreed resources and their versions   a council's state
//	Cache       the newest resources that were received   relays, sidecars
//	Admission   a bound on snapshots under way            relays
//	Registry    what each subscriber acknowledged         relays
//	Subscriber  which relay is asked, and when            sidecars
package configuration

import (
	"fmt"
	"strconv"
	"strings"
)

// Version numbers the changes of a region's configuration, all services together.
// Its upper half is the epoch space of the council that agreed on the change: a
// council that was restored from a snapshot begins a new one, so that a version is
// never given out twice. 0 is no version.
type Version uint64

// NewVersion returns the version of a change: its number within an epoch space.
func NewVersion(space, number uint32) Version { return Version(space)<<32 | Version(number) }

// TokenSpace returns the epoch space.
func (v Version) TokenSpace() uint32 { return uint32(v >> 32) }

// Number returns the number within the epoch space.
func (v Version) Number() uint32 { return uint32(v) }

// String writes a version as SPACE.NUMBER.
func (v Version) String() string { return fmt.Sprintf("%d.%d", v.TokenSpace(), v.Number()) }

// ParseVersion reads what String writes; "0" is no version.
func ParseVersion(text string) (Version, error) {
	if text == "0" {
		return 0, nil
	}
	space, number, found := strings.Cut(text, ".")
	upper, errUpper := strconv.ParseUint(space, 10, 32)
	lower, errLower := strconv.ParseUint(number, 10, 32)
	if !found || errUpper != nil || errLower != nil {
		return 0, fmt.Errorf("version: found %q, wanted SPACE.NUMBER, such as 1.42", text)
	}
	return NewVersion(uint32(upper), uint32(lower)), nil
}
