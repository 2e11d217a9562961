package coordination

import (
	crand "crypto/rand"
	"flag"
	"maps"
	"testing"

	"google.golang.org/protobuf/proto"
)

var positionSeeds = flag.Int("position-seeds", 40, "seeds of TestOlderFileIsNoticedByAnyMember")

// positionSaveSteps is how many steps a member takes to store the others' positions.
const positionSaveSteps = 10

// crash ends a member until a step: what is not stored is lost.
func (m *simMember) crash(until int) {
	m.m, m.pendingReady, m.resumesAt = nil, nil, until
	m.positions = maps.Clone(m.storedPositions)
	clear(m.announced)
}

// announcePosition does what a member's process does at each tick: it sends its position
// to those that have not been sent it, and stores the others' from time to time. It
// draws from a generator of its own: seeds that found faults before play as they did.
func (s *sim) announcePosition(m *simMember) {
	position := StoredPosition(m.stored)
	for _, other := range s.members {
		if other == m || m.announced[other.id] == position || s.positionRNG.IntN(4) == 0 {
			continue
		}
		m.announced[other.id] = position
		if !s.cut[[2]uint64{m.id, other.id}] {
			s.announcements = append(s.announcements, delayedMessage{s.step + s.positionRNG.IntN(30), m.id, other.id, nil, position})
		}
	}
	if s.step >= m.positionsSaved+positionSaveSteps {
		m.positionsSaved = s.step
		m.storedPositions = maps.Clone(m.positions)
	}
}

// deliverAnnouncements passes the positions on that arrive at this step, in any order.
func (s *sim) deliverAnnouncements() {
	var rest []delayedMessage
	for _, d := range s.announcements {
		switch m := s.members[d.to-1]; {
		case d.at > s.step:
			rest = append(rest, d)
		case m.m != nil && s.step >= m.resumesAt:
			m.positions[d.from] = m.positions[d.from].Merge(d.position)
		default: // lost
			delete(s.members[d.from-1].announced, d.to)
		}
	}
	s.announcements = rest
}

// checkPositions fails if a member's file counts as an older copy though it is the
// member's own.
func (s *sim) checkPositions() {
	for _, m := range s.members {
		position := StoredPosition(m.stored)
		for _, other := range s.members {
			if known := other.positions[m.id]; known.After(position) {
				s.fail("member %d has stored %+v and member %d was sent %+v", m.id, position, other.id, known)
			}
		}
	}
}

// clonePersistentState copies what a member has stored, as a backup does.
func clonePersistentState(stored PersistentState) PersistentState {
	copied := PersistentState{}
	for _, entry := range stored.Entries {
		copied.Entries = append(copied.Entries, proto.CloneOf(entry))
	}
	if stored.HardState != nil {
		copied.HardState = proto.CloneOf(stored.HardState)
	}
	if stored.Snapshot != nil {
		copied.Snapshot = proto.CloneOf(stored.Snapshot)
	}
	return copied
}

// Guards against a member that starts from an older copy of its file: whichever one of
// the other members responds notices it, also one that restarted meanwhile, whether the
// copy's member was the leader, a follower or a candidate; and a member's own file is
// never taken for an older one, whatever crashes, partitions and delays there were.
func TestOlderFileIsNoticedByAnyMember(t *testing.T) {
	reader := crand.Reader
	defer func() { crand.Reader = reader }()
	older, ofLeaders := 0, 0
	for seed := range uint64(*positionSeeds) {
		s := newSim(t, seed+1, 5-2*int(seed%2))
		for range 150 + s.rng.IntN(150) {
			s.run(1)
			s.checkPositions()
		}
		victim := s.members[s.rng.IntN(len(s.members))]
		copied := clonePersistentState(victim.stored)
		for range 50 + s.rng.IntN(300) {
			s.run(1)
			s.checkPositions()
		}
		s.faultless = true
		clear(s.cut)
		for range 100 { // the positions reach all members and are stored
			s.run(1)
			s.checkPositions()
		}
		wasLeader := victim.m != nil && victim.m.IsLeader()
		last := StoredPosition(victim.stored)
		if !last.After(StoredPosition(copied)) {
			continue
		}
		older++
		if wasLeader {
			ofLeaders++
		}
		victim.crash(s.step + 1000)
		for _, other := range s.members {
			if other == victim {
				continue
			}
			if s.rng.IntN(2) == 0 {
				other.crash(s.step)
			}
			if known := other.positions[victim.id]; !known.After(StoredPosition(copied)) {
				s.fail("member %d, the leader %t, had stored %+v; member %d was sent %+v and does not notice a file of %+v",
					victim.id, wasLeader, last, other.id, known, StoredPosition(copied))
			}
		}
	}
	t.Logf("%d seeds: older copies %d, of leaders %d", *positionSeeds, older, ofLeaders)
	if older < *positionSeeds/2 || ofLeaders == 0 {
		t.Errorf("found %d older copies, %d of leaders, wanted half of %d and some: nothing was shown", older, ofLeaders, *positionSeeds)
	}
}

// What a position proves about a file.
func TestLogPositions(t *testing.T) {
	for name, test := range map[string]struct {
		sent, stored LogPosition
		older        bool
	}{
		"the same":                             {LogPosition{5, 30, 5, 2}, LogPosition{5, 30, 5, 2}, false},
		"an earlier term":                      {LogPosition{5, 30, 5, 2}, LogPosition{4, 40, 4, 2}, true},
		"a vote that is missing":               {LogPosition{5, 30, 4, 2}, LogPosition{5, 30, 4, 0}, true},
		"a vote that came later":               {LogPosition{5, 30, 4, 0}, LogPosition{5, 30, 4, 2}, false},
		"an entry of the term that is missing": {LogPosition{5, 30, 5, 2}, LogPosition{5, 29, 5, 2}, true},
		"entries of an earlier term instead":   {LogPosition{5, 30, 5, 2}, LogPosition{5, 35, 4, 2}, true},
		"a later term replaced the entries":    {LogPosition{5, 30, 5, 2}, LogPosition{6, 12, 6, 3}, false},
		"an earlier term's were replaced":      {LogPosition{5, 30, 4, 0}, LogPosition{5, 12, 3, 0}, false},
		"an earlier version's, entry missing":  {LogPosition{5, 30, 0, 0}, LogPosition{5, 29, 5, 2}, true},
		"an earlier version's, not missing":    {LogPosition{5, 30, 0, 0}, LogPosition{5, 30, 5, 2}, false},
		"nothing sent":                         {LogPosition{}, LogPosition{1, 1, 1, 0}, false},
	} {
		if got := test.sent.After(test.stored); got != test.older {
			t.Errorf("%s: found older %t, wanted %t", name, got, test.older)
		}
		merged := test.sent.Merge(test.stored)
		if test.sent.After(merged) || test.stored.After(merged) {
			t.Errorf("%s: %+v does not prove what %+v and %+v do", name, merged, test.sent, test.stored)
		}
	}
}
