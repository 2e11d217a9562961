package exchange

import "time"

// idRangeSize is the number of consecutive message IDs that share one time of last use.
const idRangeSize = 1 << 10

// messageIDs assigns the message IDs for one server, consecutively from a random start.
// An ID is not reused while a duplicate of an earlier message with that ID may arrive
// (RFC 7252, section 4.4). This allows at most 65,536 IDs per exchange lifetime, which
// is 265 per second with the default parameters.
type messageIDs struct {
	last          uint16
	inUse         map[uint16]bool                      // IDs of exchanges in flight
	rangeLastUsed [1 << 16 / idRangeSize]time.Duration // time of last use of each range; 0 if never used
	lastAssigned  time.Duration                        // time of the latest assignment
}

func newMessageIDs(now time.Duration, last uint16) messageIDs {
	ids := messageIDs{last: last, inUse: map[uint16]bool{}, lastAssigned: now}
	// The range of the initial ID counts as used. The range is therefore not entered again
	// within a lifetime.
	ids.rangeLastUsed[last/idRangeSize] = max(now, 1)
	return ids
}

// available reports whether next can continue: it returns false at the start of a range
// that was last used less than a lifetime ago.
func (m *messageIDs) available(now, lifetime time.Duration) bool {
	id := m.last + 1
	used := m.rangeLastUsed[id/idRangeSize]
	return id%idRangeSize != 0 || used == 0 || now-used >= lifetime
}

// next assigns an ID that no message had during the last lifetime. It returns false if
// there is none.
func (m *messageIDs) next(now, lifetime time.Duration) (uint16, bool) {
	for m.available(now, lifetime) {
		m.last++
		m.rangeLastUsed[m.last/idRangeSize] = max(now, 1)
		m.lastAssigned = now
		if !m.inUse[m.last] {
			return m.last, true
		}
	}
	return 0, false
}
