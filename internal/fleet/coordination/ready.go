package coordination

import (
	"encoding/json"
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// Log compaction parameters, in entries.
const (
	snapshotInterval = 1024 // number of applied entries between snapshots
	retainedEntries  = 128  // entries before a snapshot that are kept for lagging members
)

// Ready is the work that the caller has to carry out. The caller first stores HardState,
// Entries and Snapshot, and syncs them to disk if MustSync is set. It then sends Messages and
// finally calls Advance.
type Ready struct {
	HardState *raftpb.HardState // nil if unchanged
	Entries   []*raftpb.Entry   // entries to store; they replace stored entries with the same or higher indexes
	Snapshot  *raftpb.Snapshot  // nil if there is none
	CompactTo uint64            // last index of the entries that may be removed if Snapshot is set
	// ReplacesLog is set if Snapshot was received from a leader. All entries stored before
	// must then be removed, including those with an index beyond the snapshot. Such entries
	// belong to another log, and their terms would count in an election.
	ReplacesLog bool
	MustSync    bool
	Messages    []*raftpb.Message
}

// Ready returns the next work for the caller. It returns false if there is no work, or if
// the previous work has not been acknowledged with Advance.
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

// Advance acknowledges that the caller has carried out the work that Ready returned last.
// It applies the committed entries and completes the proposals of these entries. After an
// error the member must not be used any more.
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

// updateStorage copies the state that the caller has stored on disk into the in-memory
// storage of the raft library.
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
		return fmt.Errorf("entry %d: unknown type %v", entry.GetIndex(), entry.GetType())
	}
	if len(entry.Data) == 0 {
		return nil // empty entry that a new leader appends
	}
	var c Command
	if err := json.Unmarshal(entry.Data, &c); err != nil {
		return fmt.Errorf("entry %d: %w", entry.GetIndex(), err)
	}
	m.completeProposal(c, m.state.Apply(c))
	return nil
}

// compact takes a snapshot after snapshotInterval entries or a membership change.
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
