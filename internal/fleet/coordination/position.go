package coordination

import "go.etcd.io/raft/v3/raftpb"

// LogPosition identifies how far the durable state of a member had advanced when the
// member sent the position to another member. The durable state only ever advances. If the
// file of a member is behind a position that the member has sent, the file is therefore an
// older copy.
type LogPosition struct {
	Term  uint64 `json:"term"`  // term in the hard state
	Index uint64 `json:"index"` // index of the last log entry
	// EntryTerm is the term of the last log entry. It is 0 in positions sent by members of
	// an earlier version.
	EntryTerm uint64 `json:"entry_term,omitempty"`
	// Vote is the number of the member for which the sender has voted in Term. It is 0 if the
	// sender has not voted or its vote is unknown.
	Vote uint64 `json:"vote,omitempty"`
}

// StoredPosition returns the position of a member's persistent state.
func StoredPosition(stored PersistentState) LogPosition {
	metadata := stored.Snapshot.GetMetadata()
	position := LogPosition{
		Term:      stored.HardState.GetTerm(),
		Vote:      stored.HardState.GetVote(),
		Index:     metadata.GetIndex(),
		EntryTerm: metadata.GetTerm(),
	}
	position.appendEntries(stored.Entries)
	return position
}

func (p *LogPosition) appendEntries(entries []*raftpb.Entry) {
	if n := len(entries); n > 0 {
		p.Index, p.EntryTerm = entries[n-1].GetIndex(), entries[n-1].GetTerm()
	}
}

// Advance updates the position after a member has stored ready.
func (p *LogPosition) Advance(ready Ready) {
	if ready.HardState != nil {
		p.Term, p.Vote = ready.HardState.GetTerm(), ready.HardState.GetVote()
	}
	if metadata := ready.Snapshot.GetMetadata(); ready.ReplacesLog {
		p.Index, p.EntryTerm = metadata.GetIndex(), metadata.GetTerm()
	}
	p.appendEntries(ready.Entries)
}

// After reports whether a member has lost state if it once sent the position p and its file
// is now at the position other. The lost state is a newer term, the vote in the current term,
// or a log entry of the current term. Entries of earlier terms are not compared, since the
// leader of the current term may have replaced them.
func (p LogPosition) After(other LogPosition) bool {
	switch {
	case p.Term != other.Term:
		return p.Term > other.Term
	case p.Vote != 0 && p.Vote != other.Vote:
		return true
	case p.EntryTerm == 0:
		return p.Index > other.Index
	case p.EntryTerm < p.Term:
		return false
	}
	return other.EntryTerm < p.EntryTerm || other.Index < p.Index
}

// Merge combines two positions that the same member has sent and that were received in any
// order. If After detects a loss of state with either position, it detects the loss with the
// merged position too.
func (p LogPosition) Merge(other LogPosition) LogPosition {
	switch {
	case other.Term > p.Term:
		return other
	case other.Term < p.Term:
		return p
	}
	if p.Vote == 0 {
		p.Vote = other.Vote
	}
	switch {
	case other.EntryTerm == 0 || p.EntryTerm == 0 || other.EntryTerm == p.EntryTerm:
		p.Index, p.EntryTerm = max(p.Index, other.Index), max(p.EntryTerm, other.EntryTerm)
	case other.EntryTerm > p.EntryTerm:
		p.Index, p.EntryTerm = other.Index, other.EntryTerm
	}
	return p
}
