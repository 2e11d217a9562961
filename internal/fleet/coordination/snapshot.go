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

// MaxSnapshotBytes bounds an encoded snapshot. A state that reaches all of its bounds
// fits.
const MaxSnapshotBytes = 12 << 20

// checksumBytes is the length of the checksum before a snapshot's JSON.
const checksumBytes = 8

// PersistentState is what a member has stored: it starts from this after a restart.
type PersistentState struct {
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot // nil for a member that joins a cluster
	Entries   []*raftpb.Entry  // after the snapshot
}

// LogicalClock returns the newest logical clock in the state, of committed entries and
// of others.
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

// BootstrapState returns the state that each member of a new cluster starts from.
// members are the addresses by member number; all members have to be given the same.
func BootstrapState(cluster string, members map[uint64]string) (PersistentState, error) {
	state := NewState(cluster)
	state.Members = maps.Clone(members)
	return newPersistentState(state, slices.Sorted(maps.Keys(members)))
}

// RestoredState returns the state that the only member of a cluster starts from after
// an operator restored it from a snapshot. space has to be greater than the snapshot's
// token space: all tokens that the cluster issues are greater than those before.
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

// EncodeSnapshot returns a state as JSON behind its checksum, in MaxSnapshotBytes at
// most.
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

// DecodeSnapshot reads what EncodeSnapshot returned. Damaged data and a newer form are
// errors.
func DecodeSnapshot(data []byte) (*State, error) {
	if len(data) < checksumBytes || len(data) > MaxSnapshotBytes || xxhash.Sum64(data[checksumBytes:]) != binary.BigEndian.Uint64(data) {
		return nil, fmt.Errorf("snapshot: found %d bytes with a wrong checksum, wanted an undamaged snapshot", len(data))
	}
	s := NewState("")
	if err := json.Unmarshal(data[checksumBytes:], s); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if s.Version > StateVersion {
		return nil, fmt.Errorf("snapshot: found version %d, wanted %d at most: a newer program wrote it", s.Version, StateVersion)
	}
	return s, nil
}
