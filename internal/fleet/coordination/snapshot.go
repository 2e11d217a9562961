package coordination

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// MaxSnapshotBytes is the maximum size of an encoded snapshot. A state that reaches all of
// its limits does not exceed this size.
const MaxSnapshotBytes = 12 << 20

// checksumBytes is the length of the checksum that precedes the JSON of a snapshot.
const checksumBytes = 8

// PersistentState is the state that a member has stored and from which it restarts.
type PersistentState struct {
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot // nil for a member that is joining a cluster
	Entries   []*raftpb.Entry  // log entries after the snapshot
}

// LogicalClock returns the largest value of the logical clock in the snapshot and in the log
// entries. Uncommitted log entries are included.
func (p PersistentState) LogicalClock() (uint64, error) {
	if p.Snapshot == nil {
		return 0, nil
	}
	state, err := DecodeSnapshot(p.Snapshot.GetData())
	if err != nil {
		return 0, err
	}
	newest := state.LogicalClock
	for _, entry := range p.Entries {
		var c Command
		if entry.GetType() == raftpb.EntryNormal && len(entry.Data) > 0 && json.Unmarshal(entry.Data, &c) == nil {
			newest = max(newest, c.LogicalClock)
		}
	}
	return newest, nil
}

// BootstrapState returns the initial state of each member of a new cluster. members holds
// the addresses by member number and must be identical on all members.
func BootstrapState(cluster string, members map[uint64]string) (PersistentState, error) {
	state := NewState(cluster)
	state.Members = maps.Clone(members)
	return newPersistentState(state, slices.Sorted(maps.Keys(members)))
}

// RestoredState returns the initial state of the only member of a cluster that an operator
// restores from a snapshot. The parameter space must be greater than the snapshot's token
// space, so that all tokens issued from now on are greater than all tokens issued before.
func RestoredState(snapshot *raftpb.Snapshot, member uint64, address string, space uint32) (PersistentState, error) {
	state, err := DecodeSnapshot(snapshot.GetData())
	if err != nil {
		return PersistentState{}, err
	}
	if space <= state.TokenSpace {
		return PersistentState{}, fmt.Errorf("space: found %d, wanted more than the snapshot's %d", space, state.TokenSpace)
	}
	state.Apply(Command{Version: 1, Kind: SetTokenSpace, Token: FencingToken(space)})
	state.Members = map[uint64]string{member: address}
	return newPersistentState(state, []uint64{member})
}

func newPersistentState(state *State, voters []uint64) (PersistentState, error) {
	data, err := EncodeSnapshot(state)
	if err != nil {
		return PersistentState{}, err
	}
	return PersistentState{
		HardState: &raftpb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)},
		Snapshot: &raftpb.Snapshot{Data: data, Metadata: &raftpb.SnapshotMetadata{
			ConfState: &raftpb.ConfState{Voters: voters}, Index: proto.Uint64(1), Term: proto.Uint64(1),
		}},
	}, nil
}

// EncodeSnapshot encodes a state as JSON preceded by a checksum. It returns an error if the
// result would exceed MaxSnapshotBytes.
func EncodeSnapshot(s *State) ([]byte, error) {
	text, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	if len(text)+checksumBytes > MaxSnapshotBytes {
		return nil, fmt.Errorf("snapshot: found %d bytes, wanted %d at most", len(text), MaxSnapshotBytes-checksumBytes)
	}
	return addChecksum(text), nil
}

func addChecksum(text []byte) []byte {
	return append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(text)), text...)
}

// DecodeSnapshot decodes a snapshot that EncodeSnapshot returned. It returns an error if
// the data is corrupt or the version is newer than StateVersion.
func DecodeSnapshot(data []byte) (*State, error) {
	if len(data) < checksumBytes || len(data) > MaxSnapshotBytes || xxhash.Sum64(data[checksumBytes:]) != binary.BigEndian.Uint64(data) {
		return nil, fmt.Errorf("snapshot: corrupt data: wrong checksum or size (%d bytes)", len(data))
	}
	s := NewState("")
	if err := json.Unmarshal(data[checksumBytes:], s); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if s.Version > StateVersion {
		return nil, fmt.Errorf("snapshot: unsupported version %d, newest supported version is %d: a newer program wrote it", s.Version, StateVersion)
	}
	return s, nil
}
