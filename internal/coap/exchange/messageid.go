package exchange

import "time"

// idRangeSize is how many consecutive message IDs share a time of last use.
const idRangeSize = 1 << 10

// messageIDs assigns the message IDs for one server, consecutively from a random start.
// An ID is not reused while a message with it may still be duplicated in the network
// (RFC 7252, section 4.4): at most 65,536 in an exchange lifetime, 265 a second.
type messageIDs struct {
	last      uint16
	inUse     map[uint16]bool // IDs of exchanges in flight
	rangeUsed [1 << 16 / idRangeSize]time.Duration
	lastUsed  time.Duration // time of the latest assignment
}

func newMessageIDs(now time.Duration, last uint16) messageIDs {
	ids := messageIDs{last: last, inUse: map[uint16]bool{}, lastUsed: now}
	// The range of the start is not used a second time either.
	ids.rangeUsed[last/idRangeSize] = max(now, 1)
	return ids
}

// available reports whether next would return an ID.
func (m *messageIDs) available(now, lifetime time.Duration) bool {
	id := m.last + 1
	used := m.rangeUsed[id/idRangeSize]
	return id%idRangeSize != 0 || used == 0 || now-used >= lifetime
}

// next assigns an ID that no message had during the last lifetime; false where there is
// none.
func (m *messageIDs) next(now, lifetime time.Duration) (uint16, bool) {
	for m.available(now, lifetime) {
		m.last++
		m.rangeUsed[m.last/idRangeSize] = max(now, 1)
		m.lastUsed = now
		if !m.inUse[m.last] {
			return m.last, true
		}
	}
	return 0, false
}
