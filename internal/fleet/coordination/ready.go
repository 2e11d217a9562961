package coordination

import (
	"encoding/json"
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// Compaction of the log, in entries.
const (
	snapshotInterval = 1024 // applied since the last snapshot
	retainedEntries  = 128  // before a snapshot, for a member that is behind
)

// Ready is what the caller has to do next: first store HardState, Entries and Snapshot,
// durably where MustSync is set, then send the messages, then call Advance.
type Ready struct {
	HardState *raftpb.HardState // nil where it is unchanged
	Entries   []*raftpb.Entry   // they replace stored ones of the same and of higher indexes
	Snapshot  *raftpb.Snapshot  // nil for none; entries up to CompactTo may be removed
	CompactTo uint64
	// ReplacesLog says that Snapshot is a leader's: all entries stored before are removed.
	// Those beyond it are of another log, and their terms would count in an election.
	ReplacesLog bool
	MustSync    bool
	Messages    []*raftpb.Message
}

// Ready returns what has to be done next; false if there is nothing, or if the last one
// is not confirmed by Advance.
func (m *Member) Ready() (Ready, bool) {
	if m.readyInFlight || m.pendingSnapshot == nil && !m.node.HasReady() {
		return Ready{}, false
	}
	m.readyInFlight = true
	if m.pendingSnapshot != nil {
		index := m.pendingSnapshot.GetMetadata().GetIndex()
		return Ready{Snapshot: m.pendingSnapshot, CompactTo: index - min(index, retainedEntries), MustSync: true}, true
	}
	m.ready = m.node.Ready()
	r := Ready{Entries: m.ready.Entries, Messages: m.ready.Messages, MustSync: m.ready.MustSync}
	if !raft.IsEmptyHardState(m.ready.HardState) {
		r.HardState = m.ready.HardState
	}
	if !raft.IsEmptySnap(m.ready.Snapshot) {
		r.Snapshot, r.CompactTo, r.MustSync = m.ready.Snapshot, m.ready.Snapshot.GetMetadata().GetIndex(), true
		r.ReplacesLog = true
	}
	return r, true
}

// Advance confirms that the last Ready is stored and that its messages are sent. It
// applies the committed entries and calls back their proposers. After an error the
// member can't continue.
func (m *Member) Advance() error {
	m.readyInFlight = false
	if m.pendingSnapshot != nil {
		m.pendingSnapshot = nil
		return nil
	}
	ready := m.ready
	m.ready = raft.Ready{}
	if err := m.updateStorage(ready); err != nil {
		return err
	}
	if ready.SoftState != nil {
		m.setLeader(ready.RaftState == raft.StateLeader)
		if ready.Lead == raft.None {
			m.abortReads()
		}
	}
	m.setReadIndexes(ready.ReadStates)
	for _, entry := range ready.CommittedEntries {
		if err := m.applyEntry(entry); err != nil {
			return err
		}
	}
	m.node.Advance(ready)
	m.completeReads()
	return m.compact()
}

// updateStorage puts into the library's storage what the caller has stored.
func (m *Member) updateStorage(ready raft.Ready) error {
	if !raft.IsEmptySnap(ready.Snapshot) {
		if err := m.installSnapshot(ready.Snapshot); err != nil {
			return err
		}
	}
	if err := m.storage.Append(ready.Entries); err != nil {
		return err
	}
	if !raft.IsEmptyHardState(ready.HardState) {
		return m.storage.SetHardState(ready.HardState)
	}
	return nil
}

func (m *Member) applyEntry(entry *raftpb.Entry) error {
	m.applied = entry.GetIndex()
	switch entry.GetType() {
	case raftpb.EntryConfChange:
		return m.applyMembershipChange(entry)
	case raftpb.EntryNormal:
	default:
		return fmt.Errorf("entry %d: found type %v, wanted one that this program knows", entry.GetIndex(), entry.GetType())
	}
	if len(entry.Data) == 0 {
		return nil // a new leader's first entry
	}
	var c Command
	if err := json.Unmarshal(entry.Data, &c); err != nil {
		return fmt.Errorf("entry %d: %w", entry.GetIndex(), err)
	}
	m.completeProposal(c, m.state.Apply(c))
	return nil
}

// compact takes a snapshot after snapshotInterval entries and after a change of members.
func (m *Member) compact() error {
	if m.applied < m.snapshotIndex+snapshotInterval && !m.membershipChanged {
		return nil
	}
	m.membershipChanged = false
	snapshot, err := m.takeSnapshot()
	if err != nil {
		return err
	}
	m.snapshotIndex, m.pendingSnapshot = m.applied, snapshot
	if err := m.storage.Compact(m.applied - min(m.applied, retainedEntries)); !errors.Is(err, raft.ErrCompacted) {
		return err
	}
	return nil
}

// takeSnapshot returns a snapshot of the applied state.
func (m *Member) takeSnapshot() (*raftpb.Snapshot, error) {
	data, err := EncodeSnapshot(m.state)
	if err != nil {
		return nil, err
	}
	if snapshot, err := m.storage.Snapshot(); err == nil && snapshot.GetMetadata().GetIndex() == m.applied {
		return snapshot, nil
	}
	return m.storage.CreateSnapshot(m.applied, m.confState, data)
}
