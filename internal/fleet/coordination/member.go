package coordination

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Ticks of a member's clock; its length is the caller's.
const (
	HeartbeatTicks = 1
	ElectionTicks  = 10
	waitTicks      = 2 * ElectionTicks // after which an ask has no answer
)

// Bounds of a member, of itself.
const (
	MaxPendingProposals = 4096     // asks without an answer
	mostMessage         = 1 << 20  // bytes of entries in a message
	MaxSnapshotBytes    = 12 << 20 // bytes: all bounds of the state reached at once fit
	compactAfter        = 1024     // applied entries, then a snapshot is taken
	compactKeeps        = 128      // entries that stand for a member that is behind
	learnerNear         = 2        // entries by which a learner may be behind when it begins to count
	mostUncommited      = 4 << 20
)

var (
	// ErrUnknownOutcome is the answer to an ask that may or may not take effect.
	ErrUnknownOutcome = errors.New("no answer within two elections: it may have taken effect or not")
	// ErrBusy is the answer of a member with too much before it.
	ErrBusy = errors.New("found 4096 asks without an answer, wanted fewer")
)

// NotLeaderError says that another is to be asked: Leader, or nobody that this member
// knows of, where it is 0.
type NotLeaderError struct{ Leader uint64 }

func (e NotLeaderError) Error() string {
	if e.Leader == 0 {
		return "found no majority, wanted one: this member knows of no leader"
	}
	return fmt.Sprintf("not the leader: member %d is", e.Leader)
}

// PersistentState is what a member finds on its disk.
type PersistentState struct {
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot
	Entries   []*raftpb.Entry
}

// LogicalClock is the newest count that a disk has heard of, agreed on or not.
func (d PersistentState) LogicalClock() (uint64, error) {
	if d.Snapshot == nil {
		return 0, nil
	}
	s, err := DecodeSnapshot(d.Snapshot.GetData())
	if err != nil {
		return 0, err
	}
	count := s.LogicalClock
	for _, e := range d.Entries {
		var c Command
		if e.GetType() == raftpb.EntryNormal && len(e.Data) > 0 && json.Unmarshal(e.Data, &c) == nil {
			count = max(count, c.LogicalClock)
		}
	}
	return count, nil
}

// BootstrapState is the disk of each member that a new council begins with: the members
// are agreed on by the operator, in a file that is the same for all.
func BootstrapState(name string, members map[uint64]string) (PersistentState, error) {
	s := NewState(name)
	s.Members = maps.Clone(members)
	return diskOf(s, slices.Sorted(maps.Keys(members)))
}

// RestoredState is the disk of the only member of a council that was brought back
// from a snapshot by hand. All epochs that were given out before are older than
// what it gives out.
func RestoredState(snap *raftpb.Snapshot, member uint64, address string, space uint32) (PersistentState, error) {
	s, err := DecodeSnapshot(snap.GetData())
	if err != nil {
		return PersistentState{}, err
	}
	if space <= s.TokenSpace {
		return PersistentState{}, fmt.Errorf("space: found %d, wanted more than the snapshot's %d", space, s.TokenSpace)
	}
	s.Apply(Command{Version: 1, Kind: SetTokenSpace, Token: FencingToken(space)})
	s.Members = map[uint64]string{member: address}
	return diskOf(s, []uint64{member})
}

func diskOf(s *State, voters []uint64) (PersistentState, error) {
	data, err := EncodeSnapshot(s)
	if err != nil {
		return PersistentState{}, err
	}
	return PersistentState{
		HardState: &raftpb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)},
		Snapshot: &raftpb.Snapshot{Data: data, Metadata: &raftpb.SnapshotMetadata{
			ConfState: &raftpb.ConfState{Voters: voters}, Index: proto.Uint64(1), Term: proto.Uint64(1)}},
	}, nil
}

// EncodeSnapshot writes a state with its checksum.
func EncodeSnapshot(s *State) ([]byte, error) {
	text, err := json.Marshal(s)
	if err == nil && len(text)+8 > MaxSnapshotBytes {
		err = fmt.Errorf("snapshot: found %d bytes, wanted %d at most", len(text), MaxSnapshotBytes-8)
	}
	if err != nil {
		return nil, err
	}
	return seal(text), nil
}

func seal(text []byte) []byte {
	return append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(text)), text...)
}

// DecodeSnapshot reads a sealed state. What is torn or of a newer form is an error.
func DecodeSnapshot(data []byte) (*State, error) {
	if len(data) < 8 || len(data) > MaxSnapshotBytes || xxhash.Sum64(data[8:]) != binary.BigEndian.Uint64(data) {
		return nil, fmt.Errorf("snapshot: found %d bytes that are not as they were written, wanted a whole snapshot", len(data))
	}
	s := NewState("")
	if err := json.Unmarshal(data[8:], s); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if s.Version > StateVersion {
		return nil, fmt.Errorf("snapshot: found version %d, wanted %d at most: a newer program wrote it", s.Version, StateVersion)
	}
	return s, nil
}

// Member is one member: the library's consensus with the state above it. It has
// no clock, disk and network of its own: the caller ticks it, keeps what Output
// returns on the disk, says so by Stored, and carries messages. It belongs to one
// goroutine; the functions that it calls back run on that.
type Member struct {
	ID uint64
	// Incarnation tells this run of the member from those before: a leader's answer to
	// a read of before must not confirm one of this run. Set before the first tick.
	Incarnation uint64

	raw   *raft.RawNode
	store *raft.MemoryStorage
	state *State
	conf  *raftpb.ConfState
	ready raft.Ready
	given bool // Output was returned and not yet Stored
	snap  *raftpb.Snapshot

	applied, snapAt uint64
	changed         bool   // members: a new one takes no snapshot that does not name it
	now             uint64 // ticks since the start
	counted         uint64 // tick at which the leadership began, with the count then
	countThen       uint64
	leases          *leaseTimers // nil while it doesn't lead
	lease           uint64       // ticks
	ticket          uint64
	asks            map[uint64]*ask
	reads           []read
}

type ask struct {
	term uint64
	due  uint64
	done func(Result, error)
}

type read struct {
	id   uint64
	at   uint64 // index that must be applied; 0 while it is not known
	due  uint64
	done func(error)
}

// NewMember starts a member from its disk. lease is the length of a lease in
// ticks.
func NewMember(id uint64, d PersistentState, lease uint64) (*Member, error) {
	m := &Member{ID: id, store: raft.NewMemoryStorage(), lease: lease, asks: map[uint64]*ask{}}
	var err error
	m.conf = &raftpb.ConfState{}
	if m.state = NewState(""); d.Snapshot != nil { // none: it was added, and hears all from the leader
		if m.state, err = DecodeSnapshot(d.Snapshot.GetData()); err != nil {
			return nil, err
		}
		if err := m.store.ApplySnapshot(d.Snapshot); err != nil {
			return nil, err
		}
		m.conf = d.Snapshot.GetMetadata().GetConfState()
		m.applied = d.Snapshot.GetMetadata().GetIndex()
	}
	if err := m.store.Append(d.Entries); err != nil {
		return nil, err
	}
	if d.HardState != nil {
		m.store.SetHardState(d.HardState)
	}
	m.snapAt = m.applied
	m.raw, err = raft.NewRawNode(&raft.Config{
		ID: id, ElectionTick: ElectionTicks, HeartbeatTick: HeartbeatTicks, Storage: m.store, Applied: m.applied,
		MaxSizePerMsg: mostMessage, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: mostUncommited,
		// A leader that hears of no majority steps down, so that it can say no; one that
		// comes back from a cut does not depose the others' leader.
		CheckQuorum: true, PreVote: true, StepDownOnRemoval: true,
		// Who asks is sent to the leader: a forwarded proposal would have no ticket there.
		DisableProposalForwarding: true,
		Logger:                    quiet{&raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}},
	})
	return m, err
}

// quiet is the library's logger without an end of the process of its own.
type quiet struct{ *raft.DefaultLogger }

func (quiet) Fatal(v ...any)                 { panic(fmt.Sprint(v...)) }
func (quiet) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }

// Tick moves the member's clock.
func (m *Member) Tick() {
	m.now++
	m.raw.Tick()
	if m.leases != nil {
		for _, c := range m.leases.expired(m.state, m.now, m.lease) {
			m.Propose(c, nil)
		}
	}
	for id, a := range m.asks {
		if m.now >= a.due {
			delete(m.asks, id)
			a.end(Result{}, ErrUnknownOutcome)
		}
	}
	m.reads = slices.DeleteFunc(m.reads, func(r read) bool {
		if m.now >= r.due {
			r.done(NotLeaderError{})
			return true
		}
		return false
	})
}

func (a *ask) end(r Result, err error) {
	if a.done != nil {
		a.done(r, err)
	}
}

// Step takes a message of another member.
func (m *Member) Step(msg *raftpb.Message) error {
	if msg.GetType() == raftpb.MsgSnap {
		if _, err := DecodeSnapshot(msg.GetSnapshot().GetData()); err != nil {
			return err // not taken: it comes again
		}
	}
	return m.raw.Step(msg)
}

// Leader returns the leader as far as this member knows; 0 for nobody.
func (m *Member) Leader() uint64 { return m.raw.BasicStatus().SoftState.Lead }

// IsLeader tells whether this member believes that it leads.
func (m *Member) IsLeader() bool { return m.leases != nil }

// Status returns term, agreed index and applied index.
func (m *Member) Status() (term, commit, applied uint64) {
	h := m.raw.BasicStatus().HardState
	return h.GetTerm(), h.GetCommit(), m.applied
}

// ReadState returns the applied state. It is to be read only, and only until the next
// call.
func (m *Member) State() *State { return m.state }

// Voters and Learners are the members that count and those that only hear.
func (m *Member) Voters() []uint64   { return m.conf.GetVoters() }
func (m *Member) Learners() []uint64 { return m.conf.GetLearners() }

// count is the council's own time as the leader has it.
func (m *Member) count() uint64 { return max(m.state.LogicalClock, m.countThen+m.now-m.counted) }

// Propose asks for a command to be agreed on. done hears what it came to.
func (m *Member) Propose(c Command, done func(Result, error)) {
	if m.leases == nil {
		// Another is to be asked, though this member may not have heard yet of what all
		// can apply.
		if done != nil {
			done(Result{}, NotLeaderError{m.Leader()})
		}
		return
	}
	if v := max(1, c.Version); !m.state.AllSupport(v, slices.Concat(m.Voters(), m.Learners())) {
		// A member that can't apply it would come to another state than the rest.
		if done != nil {
			done(refuse("held back: found a command of version %d, wanted all members to be able to apply it", v), nil)
		}
		return
	}
	id, err := m.waits(done)
	if err == nil {
		c.Version, c.LogicalClock, c.ProposalID, c.Term = max(1, c.Version), m.count(), id, m.raw.BasicStatus().HardState.GetTerm()
		var text []byte
		if text, err = json.Marshal(c); err == nil {
			err = m.raw.Propose(text)
		}
	}
	m.refused(id, done, err)
}

func (m *Member) waits(done func(Result, error)) (uint64, error) {
	switch {
	case m.leases == nil:
		return 0, NotLeaderError{m.Leader()}
	case len(m.asks) >= MaxPendingProposals:
		return 0, ErrBusy
	}
	m.ticket++
	m.asks[m.ticket] = &ask{m.raw.BasicStatus().HardState.GetTerm(), m.now + waitTicks, done}
	return m.ticket, nil
}

func (m *Member) refused(id uint64, done func(Result, error), err error) {
	if err == nil {
		return
	}
	delete(m.asks, id)
	if errors.Is(err, raft.ErrProposalDropped) {
		err = NotLeaderError{m.Leader()}
	}
	if done != nil {
		done(Result{}, err)
	}
}

// Read calls done when a majority has confirmed, after the call, that this member
// leads, and all is applied that was agreed on before: what State says then is at
// least as new as anything that anybody was told.
func (m *Member) Read(done func(error)) {
	if m.leases == nil {
		done(NotLeaderError{m.Leader()})
		return
	}
	m.confirm(done)
}

// FollowerRead is Read on a member that need not lead: the leader is asked which
// entry the member has to have applied.
func (m *Member) FollowerRead(done func(error)) {
	if m.Leader() == raft.None {
		done(NotLeaderError{})
		return
	}
	m.confirm(done)
}

func (m *Member) confirm(done func(error)) {
	if len(m.reads) >= MaxPendingProposals {
		done(ErrBusy)
		return
	}
	m.ticket++
	m.reads = append(m.reads, read{id: m.ticket, due: m.now + waitTicks, done: done})
	m.raw.ReadIndex(m.readContext(m.ticket))
}

// readContext names a read of this run of the member.
func (m *Member) readContext(ticket uint64) []byte {
	context := binary.BigEndian.AppendUint64(nil, m.Incarnation)
	return binary.BigEndian.AppendUint64(context, ticket)
}

// RenewLease takes that the owner of a duty was heard of, and calls done when it is sure
// that this member led then: the owner may count its lease from the moment at which
// it asked.
func (m *Member) RenewLease(duty string, e FencingToken, done func(error)) {
	m.Read(func(err error) {
		if err == nil {
			d := m.state.Leases[duty]
			if d == nil || d.Holder == "" || d.Token != e {
				err = fmt.Errorf("%s: found epoch %v, which is not the owner's", duty, e)
			} else if !m.leases.renew(duty, e, m.now, m.lease) {
				err = fmt.Errorf("%s: found epoch %v at its end, wanted it renewed before", duty, e)
			}
		}
		done(err)
	})
}

// ChangeMembership asks for a change of members: one at a time, and a new one hears before
// it counts.
func (m *Member) ChangeMembership(kind raftpb.ConfChangeType, id uint64, address string, done func(Result, error)) {
	if err := m.mayChange(kind, id); err != nil {
		if done != nil {
			done(Result{}, err)
		}
		return
	}
	ticket, err := m.waits(done)
	if err == nil {
		context, _ := json.Marshal(Command{ProposalID: ticket, Term: m.raw.BasicStatus().HardState.GetTerm(), Subject: address})
		err = m.raw.ProposeConfChange(&raftpb.ConfChange{Type: &kind, NodeId: proto.Uint64(id), Context: context})
	}
	m.refused(ticket, done, err)
}

func (m *Member) mayChange(kind raftpb.ConfChangeType, id uint64) error {
	voters, learners := m.Voters(), m.Learners()
	switch kind {
	case raftpb.ConfChangeAddLearnerNode:
		if _, was := m.state.Members[id]; was {
			return fmt.Errorf("member %d: found its number given out before, wanted a new one", id)
		}
		if len(learners) > 0 {
			return fmt.Errorf("member %d: found member %d still learning, wanted one change at a time", id, learners[0])
		}
	case raftpb.ConfChangeAddNode:
		if !slices.Contains(learners, id) {
			return fmt.Errorf("member %d: found no learner, wanted one", id)
		}
		if _, commit, _ := m.Status(); m.raw.Status().Progress[id].Match+learnerNear < commit {
			return fmt.Errorf("member %d: found it behind, wanted it to have heard all: ask again", id)
		}
	case raftpb.ConfChangeRemoveNode:
		if !slices.Contains(voters, id) && !slices.Contains(learners, id) {
			return fmt.Errorf("member %d: found no such member", id)
		}
		if slices.Contains(voters, id) && len(voters) == 1 {
			return fmt.Errorf("member %d: found the last one, wanted one that stays", id)
		}
	}
	return nil
}

// RevokeLease lets a duty's lease run out: its owner hears no more that it has it.
// It returns why that can't be.
func (m *Member) RevokeLease(duty string) string {
	d := m.state.Leases[duty]
	switch {
	case m.leases == nil:
		return NotLeaderError{m.Leader()}.Error()
	case d == nil || d.Holder == "":
		return fmt.Sprintf("%s: found no owner, wanted one that ends", duty)
	}
	m.leases.revoke(duty, d.Token, m.now, m.lease)
	return ""
}

// TransferLeadership lets another lead.
func (m *Member) TransferLeadership() error {
	for id, p := range m.raw.Status().Progress {
		if id != m.ID && p.RecentActive && !p.IsLearner {
			m.raw.TransferLeader(id)
			return nil
		}
	}
	return errors.New("found no other member that is heard of, wanted one to lead")
}

// ReportUnreachable tells that a message was lost.
func (m *Member) ReportUnreachable(id uint64) { m.raw.ReportUnreachable(id) }

// ReportSnapshot tells how the sending of a snapshot ended.
func (m *Member) ReportSnapshot(id uint64, ok bool) {
	status := raft.SnapshotFinish
	if !ok {
		status = raft.SnapshotFailure
	}
	m.raw.ReportSnapshot(id, status)
}

// Ready is what the caller has to do next: keep Hard, Entries and Snapshot, on
// the disk before anything else where Sync says so, and then send the messages.
type Ready struct {
	HardState *raftpb.HardState // nil: as before
	Entries   []*raftpb.Entry   // those of the same and of higher numbers are replaced
	Snapshot  *raftpb.Snapshot  // entries up to Keeps may be forgotten
	CompactTo uint64
	MustSync  bool
	Messages  []*raftpb.Message
}

// Ready returns what is to be done, or false. Stored has to be called after it.
func (m *Member) Ready() (Ready, bool) {
	if m.given || m.snap == nil && !m.raw.HasReady() {
		return Ready{}, false
	}
	m.given = true
	var out Ready
	if m.snap != nil {
		out.Snapshot, out.CompactTo, out.MustSync = m.snap, m.snap.GetMetadata().GetIndex()-min(m.snap.GetMetadata().GetIndex(), compactKeeps), true
		return out, true
	}
	m.ready = m.raw.Ready()
	out.Entries, out.Messages, out.MustSync = m.ready.Entries, m.ready.Messages, m.ready.MustSync
	if !raft.IsEmptyHardState(m.ready.HardState) {
		out.HardState = m.ready.HardState
	}
	if !raft.IsEmptySnap(m.ready.Snapshot) {
		out.Snapshot, out.CompactTo, out.MustSync = m.ready.Snapshot, m.ready.Snapshot.GetMetadata().GetIndex(), true
	}
	return out, true
}

// Advance tells that the last Output is on the disk and on its way. What is agreed
// on by it is applied.
func (m *Member) Advance() error {
	m.given = false
	if m.snap != nil {
		m.snap = nil
		return nil
	}
	rd := m.ready
	m.ready = raft.Ready{}
	if !raft.IsEmptySnap(rd.Snapshot) {
		s, err := DecodeSnapshot(rd.Snapshot.GetData())
		if err != nil {
			return err
		}
		if err := m.store.ApplySnapshot(rd.Snapshot); err != nil {
			return err
		}
		m.state, m.conf = s, rd.Snapshot.GetMetadata().GetConfState()
		m.applied = rd.Snapshot.GetMetadata().GetIndex()
		m.snapAt = m.applied
	}
	if err := m.store.Append(rd.Entries); err != nil {
		return err
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		m.store.SetHardState(rd.HardState)
	}
	if rd.SoftState != nil {
		m.lead(rd.SoftState.RaftState == raft.StateLeader)
		if rd.SoftState.Lead == raft.None {
			m.endReads()
		}
	}
	for _, s := range rd.ReadStates {
		for i := range m.reads {
			if bytes.Equal(s.RequestCtx, m.readContext(m.reads[i].id)) {
				m.reads[i].at = s.Index
			}
		}
	}
	for _, e := range rd.CommittedEntries {
		if err := m.apply(e); err != nil {
			return err
		}
	}
	m.raw.Advance(rd)
	m.answerReads()
	return m.compact()
}

// lead begins or ends a leadership. Who waits for the old one hears that it can't
// say.
func (m *Member) lead(now bool) {
	if now == (m.leases != nil) {
		return
	}
	if now {
		m.leases = newLeaseTimers()
		m.counted, m.countThen = m.now, m.state.LogicalClock
		return
	}
	m.leases = nil
	for id, a := range m.asks {
		delete(m.asks, id)
		a.end(Result{}, ErrUnknownOutcome)
	}
	m.endReads()
}

// endReads tells who waits for a read that nobody confirms it.
func (m *Member) endReads() {
	reads := m.reads
	m.reads = nil
	for _, r := range reads {
		r.done(NotLeaderError{m.Leader()})
	}
}

func (m *Member) answerReads() {
	var ready []read
	m.reads = slices.DeleteFunc(m.reads, func(r read) bool {
		if r.at == 0 || r.at > m.applied {
			return false
		}
		ready = append(ready, r)
		return true
	})
	for _, r := range ready {
		r.done(nil)
	}
}

func (m *Member) apply(e *raftpb.Entry) error {
	m.applied = e.GetIndex()
	switch e.GetType() {
	case raftpb.EntryConfChange:
		return m.applyChange(e)
	case raftpb.EntryNormal:
	default:
		return fmt.Errorf("entry %d: found kind %v, wanted one that this program knows", e.GetIndex(), e.GetType())
	}
	if len(e.Data) == 0 {
		return nil // a leader's first
	}
	var c Command
	if err := json.Unmarshal(e.Data, &c); err != nil {
		return fmt.Errorf("entry %d: %w", e.GetIndex(), err)
	}
	m.answer(c, m.state.Apply(c))
	return nil
}

func (m *Member) applyChange(e *raftpb.Entry) error {
	var cc raftpb.ConfChange
	if err := proto.Unmarshal(e.Data, &cc); err != nil {
		return fmt.Errorf("entry %d: %w", e.GetIndex(), err)
	}
	var c Command
	if cc.Context != nil {
		if err := json.Unmarshal(cc.Context, &c); err != nil {
			return fmt.Errorf("entry %d: %w", e.GetIndex(), err)
		}
	}
	m.conf, m.changed = m.raw.ApplyConfChange(&cc), true
	switch cc.GetType() {
	case raftpb.ConfChangeRemoveNode:
		m.state.Members[cc.GetNodeId()] = "" // its number is never given again
	default:
		if c.Subject != "" {
			m.state.Members[cc.GetNodeId()] = c.Subject
		}
	}
	m.answer(c, Result{})
	return nil
}

func (m *Member) answer(c Command, r Result) {
	if a := m.asks[c.ProposalID]; a != nil && a.term == c.Term {
		delete(m.asks, c.ProposalID)
		a.end(r, nil)
	}
}

// compact takes a snapshot when much was applied since the last.
func (m *Member) compact() error {
	if m.applied < m.snapAt+compactAfter && !m.changed {
		return nil
	}
	m.changed = false
	snap, err := m.Snapshot()
	if err != nil {
		return err
	}
	m.snapAt, m.snap = m.applied, snap
	if err := m.store.Compact(m.applied - min(m.applied, compactKeeps)); !errors.Is(err, raft.ErrCompacted) {
		return err
	}
	return nil
}

// Snapshot makes a snapshot of what is applied.
func (m *Member) Snapshot() (*raftpb.Snapshot, error) {
	data, err := EncodeSnapshot(m.state)
	if err != nil {
		return nil, err
	}
	if snap, err := m.store.Snapshot(); err == nil && snap.GetMetadata().GetIndex() == m.applied {
		return snap, nil
	}
	return m.store.CreateSnapshot(m.applied, m.conf, data)
}
