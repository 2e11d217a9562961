package coordination

import (
	"errors"
	"fmt"
	"io"
	"log"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// Times of a member in ticks. The length of a tick is the caller's.
const (
	HeartbeatTicks      = 1
	ElectionTicks       = 10
	requestTimeoutTicks = 2 * ElectionTicks // of a proposal and of a read
)

// Bounds of a member.
const (
	MaxPendingProposals = 4096    // also of reads
	maxMessageBytes     = 1 << 20 // of the entries in a message
	maxUncommittedBytes = 4 << 20
	maxInflightMessages = 64
)

var (
	// ErrUnknownOutcome is returned for a proposal that may be applied or not.
	ErrUnknownOutcome = errors.New("outcome unknown: no commit within two election timeouts, the command may be applied or not")
	// ErrBusy is returned by a member with MaxPendingProposals proposals or reads.
	ErrBusy = fmt.Errorf("found %d pending requests, wanted fewer", MaxPendingProposals)
	// ErrNotHolder is returned for a renewal under a token that is not the current one.
	ErrNotHolder = errors.New("not the lease holder's token")
	// ErrLeaseRevoked is returned for a renewal of a lease that is about to expire.
	ErrLeaseRevoked = errors.New("lease is revoked and about to expire")
	// ErrNoHolder is returned for the revocation of a free lease.
	ErrNoHolder = errors.New("lease has no holder")
	// ErrNoSuccessor is returned where no other voter is active to lead the cluster.
	ErrNoSuccessor = errors.New("found no other active voter, wanted one to lead")
)

// NotLeaderError redirects a request to another member.
type NotLeaderError struct {
	Leader uint64 // 0 where this member knows of none
}

// Error returns the message, in one line.
func (e NotLeaderError) Error() string {
	if e.Leader == 0 {
		return "found no majority, wanted one: this member knows of no leader"
	}
	return fmt.Sprintf("not the leader: member %d is", e.Leader)
}

// Member is one member of a cluster: raft with State as its state machine. It has no
// clock, storage or network. The caller calls Tick at its clock's pace, Step for each
// received message, and after each call carries out what Ready returns and confirms it
// with Advance. A member belongs to one goroutine, which also runs the callbacks.
type Member struct {
	// ID is the member's number.
	ID uint64
	// Incarnation is unique to this run of the member, so that a leader's answer to a
	// read of an earlier run can't confirm one of this run. Set before the first Tick.
	Incarnation uint64

	node      *raft.RawNode
	storage   *raft.MemoryStorage
	state     *State
	confState *raftpb.ConfState

	ready           raft.Ready       // returned by Ready, to be confirmed
	readyInFlight   bool             // Ready has returned, Advance has not been called
	pendingSnapshot *raftpb.Snapshot // taken, to be returned by Ready

	applied           uint64 // index of the last applied entry
	snapshotIndex     uint64 // of the last snapshot
	membershipChanged bool   // since the last snapshot: a new member needs one that names it

	now             uint64 // ticks since the start
	leaderSince     uint64 // tick at which this member became the leader
	leaderSinceTime uint64 // logical clock at that tick

	leaseTicks    uint64       // duration of a lease
	timers        *leaseTimers // nil while it is not the leader
	lastRequestID uint64       // of proposals and reads
	proposals     map[uint64]*proposal
	reads         []pendingRead
}

// NewMember starts a member from what it has stored. leaseTicks is the duration of a
// lease.
func NewMember(id uint64, stored PersistentState, leaseTicks uint64) (*Member, error) {
	m := &Member{
		ID: id, storage: raft.NewMemoryStorage(), state: NewState(""), confState: &raftpb.ConfState{},
		leaseTicks: leaseTicks, proposals: map[uint64]*proposal{},
	}
	if stored.Snapshot != nil { // otherwise it joins, and gets a snapshot from the leader
		if err := m.installSnapshot(stored.Snapshot); err != nil {
			return nil, err
		}
	}
	if err := m.storage.Append(stored.Entries); err != nil {
		return nil, err
	}
	if stored.HardState != nil {
		if err := m.storage.SetHardState(stored.HardState); err != nil {
			return nil, err
		}
	}
	var err error
	m.node, err = raft.NewRawNode(&raft.Config{
		ID: id, ElectionTick: ElectionTicks, HeartbeatTick: HeartbeatTicks, Storage: m.storage, Applied: m.applied,
		MaxSizePerMsg: maxMessageBytes, MaxInflightMsgs: maxInflightMessages, MaxUncommittedEntriesSize: maxUncommittedBytes,
		// A leader without a majority steps down, so that it rejects requests; a member that
		// was partitioned does not depose the leader when it returns.
		CheckQuorum: true, PreVote: true, StepDownOnRemoval: true,
		// Clients are redirected to the leader: a forwarded proposal would have no callback
		// there.
		DisableProposalForwarding: true,
		Logger:                    silentLogger{&raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}},
	})
	return m, err
}

// installSnapshot replaces state and storage by a snapshot.
func (m *Member) installSnapshot(snapshot *raftpb.Snapshot) error {
	state, err := DecodeSnapshot(snapshot.GetData())
	if err != nil {
		return err
	}
	if err := m.storage.ApplySnapshot(snapshot); err != nil {
		return err
	}
	m.state, m.confState = state, snapshot.GetMetadata().GetConfState()
	m.applied = snapshot.GetMetadata().GetIndex()
	m.snapshotIndex = m.applied
	return nil
}

// silentLogger discards the library's log. Its Fatal panics instead of ending the
// process, so that deferred functions run.
type silentLogger struct{ *raft.DefaultLogger }

func (silentLogger) Fatal(v ...any)                 { panic(fmt.Sprint(v...)) }
func (silentLogger) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }

// Tick advances the member's clock by one tick: heartbeats, elections, expiry of leases
// and timeouts of pending requests.
func (m *Member) Tick() {
	m.now++
	m.node.Tick()
	if m.timers != nil {
		for _, c := range m.timers.expired(m.state, m.now, m.leaseTicks) {
			m.Propose(c, nil)
		}
	}
	for id, p := range m.proposals {
		if m.now >= p.deadline {
			delete(m.proposals, id)
			p.complete(Result{}, ErrUnknownOutcome)
		}
	}
	m.reads = slices.DeleteFunc(m.reads, func(r pendingRead) bool {
		if m.now >= r.deadline {
			r.done(NotLeaderError{})
			return true
		}
		return false
	})
}

// Step takes a message of another member. A snapshot that is damaged is rejected, and
// the leader sends it again.
func (m *Member) Step(message *raftpb.Message) error {
	if message.GetType() == raftpb.MsgSnap {
		if _, err := DecodeSnapshot(message.GetSnapshot().GetData()); err != nil {
			return err
		}
	}
	return m.node.Step(message)
}

// Leader returns the number of the leader that this member knows of; 0 for none.
func (m *Member) Leader() uint64 { return m.node.BasicStatus().Lead }

// IsLeader reports whether this member is the leader as far as it knows. A read
// confirms it.
func (m *Member) IsLeader() bool { return m.timers != nil }

// Status returns the term, the committed and the applied index.
func (m *Member) Status() (term, commit, applied uint64) {
	status := m.node.BasicStatus()
	return status.GetTerm(), status.GetCommit(), m.applied
}

func (m *Member) term() uint64 { return m.node.BasicStatus().GetTerm() }

// State returns the applied state. It is read only, and valid until the next call of a
// method.
func (m *Member) State() *State { return m.state }

// Voters returns the numbers of the members whose votes count.
func (m *Member) Voters() []uint64 { return m.confState.GetVoters() }

// Learners returns the numbers of the members that only replicate.
func (m *Member) Learners() []uint64 { return m.confState.GetLearners() }

// logicalClock returns the cluster's logical clock, which the leader advances.
func (m *Member) logicalClock() uint64 {
	return max(m.state.LogicalClock, m.leaderSinceTime+m.now-m.leaderSince)
}

// TransferLeadership starts the transfer of the leadership to an active voter. It
// returns ErrNoSuccessor if there is none.
func (m *Member) TransferLeadership() error {
	for id, progress := range m.node.Status().Progress {
		if id != m.ID && progress.RecentActive && !progress.IsLearner {
			m.node.TransferLeader(id)
			return nil
		}
	}
	return ErrNoSuccessor
}

// ReportUnreachable reports a message to a member as lost.
func (m *Member) ReportUnreachable(id uint64) { m.node.ReportUnreachable(id) }

// ReportSnapshot says whether a message with a snapshot was sent to a member.
func (m *Member) ReportSnapshot(id uint64, sent bool) {
	status := raft.SnapshotFinish
	if !sent {
		status = raft.SnapshotFailure
	}
	m.node.ReportSnapshot(id, status)
}

// setLeader starts or ends the leadership of the cluster. When it ends, all proposals
// have an unknown outcome.
func (m *Member) setLeader(leader bool) {
	if leader == m.IsLeader() {
		return
	}
	if leader {
		m.timers = newLeaseTimers()
		m.leaderSince, m.leaderSinceTime = m.now, m.state.LogicalClock
		return
	}
	m.timers = nil
	for id, p := range m.proposals {
		delete(m.proposals, id)
		p.complete(Result{}, ErrUnknownOutcome)
	}
	m.abortReads()
}
