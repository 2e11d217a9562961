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

// Timeouts and intervals in ticks. The caller determines the length of a tick.
const (
	HeartbeatTicks      = 1
	ElectionTicks       = 10
	requestTimeoutTicks = 2 * ElectionTicks // timeout of proposals and reads
)

// Limits of a member.
const (
	MaxPendingProposals = 4096    // maximum number of pending proposals and, separately, of pending reads
	maxMessageBytes     = 1 << 20 // total size of the entries in a message
	maxUncommittedBytes = 4 << 20
	maxInflightMessages = 64
)

var (
	// ErrUnknownOutcome means that a proposed command may have been applied, may still be
	// applied later, or may never be applied.
	ErrUnknownOutcome = errors.New("outcome unknown: no commit within two election timeouts, the command may or may not be applied")
	// ErrBusy means that the member has MaxPendingProposals pending proposals or reads.
	ErrBusy = fmt.Errorf("too many pending requests: limit is %d", MaxPendingProposals)
	// ErrNotHolder means that the token of a lease renewal is not the lease's current token.
	ErrNotHolder = errors.New("not the current holder's token")
	// ErrLeaseRevoked means that the lease can no longer be renewed and is about to expire.
	ErrLeaseRevoked = errors.New("lease is revoked and about to expire")
	// ErrNoHolder means that the lease to be revoked is free.
	ErrNoHolder = errors.New("lease has no holder")
	// ErrNoSuccessor means that no other voter is active to become the leader.
	ErrNoSuccessor = errors.New("no other active voter to transfer the leadership to")
)

// NotLeaderError redirects a request to another member.
type NotLeaderError struct {
	Leader uint64 // number of the leader; 0 if unknown
}

// Error returns the message, in one line.
func (e NotLeaderError) Error() string {
	if e.Leader == 0 {
		return "no leader known: the cluster may lack a majority"
	}
	return fmt.Sprintf("not the leader: member %d is", e.Leader)
}

// Member is one member of a cluster: a Raft node with State as its state machine. It has
// no clock, storage or network of its own. The caller calls Tick at regular intervals
// and Step for each received message. After each of these calls, the caller carries out the
// work that Ready returns and acknowledges that work with Advance. A Member must be used by
// a single goroutine. Its callbacks run on the same goroutine.
type Member struct {
	ID uint64 // member number
	// Incarnation is unique to each run of the member. It prevents a leader's response to a
	// read of an earlier run from confirming a read of this run. It must be set before the
	// first Tick.
	Incarnation uint64

	node      *raft.RawNode
	storage   *raft.MemoryStorage
	state     *State
	confState *raftpb.ConfState

	ready           raft.Ready       // work that Ready has returned and that is not acknowledged yet
	readyInFlight   bool             // Ready has returned work, and Advance has not been called since
	pendingSnapshot *raftpb.Snapshot // snapshot taken by compact that the next Ready returns; nil if there is none

	applied       uint64 // index of the last applied entry
	snapshotIndex uint64 // index of the last snapshot
	// membershipChanged is set if the membership has changed since the last snapshot. A new
	// member needs a snapshot that includes the change.
	membershipChanged bool

	now             uint64 // ticks since the start
	leaderSince     uint64 // tick at which this member became the leader
	leaderSinceTime uint64 // logical clock at leaderSince

	leaseTicks    uint64       // duration of a lease in ticks
	timers        *leaseTimers // expiry times of the leases; nil while this member is not the leader
	lastRequestID uint64       // last ID assigned to a proposal or read
	proposals     map[uint64]*proposal
	reads         []pendingRead
}

// NewMember starts a member from its persistent state. leaseTicks is the duration of a
// lease in ticks.
func NewMember(id uint64, stored PersistentState, leaseTicks uint64) (*Member, error) {
	m := &Member{
		ID: id, storage: raft.NewMemoryStorage(), state: NewState(""), confState: &raftpb.ConfState{},
		leaseTicks: leaseTicks, proposals: map[uint64]*proposal{},
	}
	if stored.Snapshot != nil { // a joining member has no snapshot and gets one from the leader
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
		// A leader that loses its majority steps down and rejects requests. A member that
		// returns from a partition does not depose the leader.
		CheckQuorum: true, PreVote: true, StepDownOnRemoval: true,
		// Clients are redirected to the leader instead, since the leader would have no
		// callback for a proposal that another member forwards.
		DisableProposalForwarding: true,
		Logger:                    silentLogger{&raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}},
	})
	return m, err
}

// installSnapshot replaces the state and the storage with a snapshot.
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

// silentLogger discards the log of the raft library. Its Fatal methods panic instead of
// exiting the process, so that deferred functions run.
type silentLogger struct{ *raft.DefaultLogger }

func (silentLogger) Fatal(v ...any)                 { panic(fmt.Sprint(v...)) }
func (silentLogger) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }

// Tick advances the member's clock by one tick. It drives heartbeats, elections, lease
// expiry and timeouts of pending requests.
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

// Step processes a message from another member. It rejects a corrupt snapshot, which the
// leader then sends again.
func (m *Member) Step(message *raftpb.Message) error {
	if message.GetType() == raftpb.MsgSnap {
		if _, err := DecodeSnapshot(message.GetSnapshot().GetData()); err != nil {
			return err
		}
	}
	return m.node.Step(message)
}

// Leader returns the number of the member that this member believes to be the leader, or 0
// if this member knows no leader.
func (m *Member) Leader() uint64 { return m.node.BasicStatus().Lead }

// IsLeader reports whether this member believes that it is the leader. Only Read confirms
// the leadership with a majority.
func (m *Member) IsLeader() bool { return m.timers != nil }

// Status returns the term, the commit index and the applied index.
func (m *Member) Status() (term, commit, applied uint64) {
	status := m.node.BasicStatus()
	return status.GetTerm(), status.GetCommit(), m.applied
}

func (m *Member) term() uint64 { return m.node.BasicStatus().GetTerm() }

// State returns the applied state. Callers must not modify it, and may use it only until
// the next method call.
func (m *Member) State() *State { return m.state }

// Voters returns the numbers of the voting members.
func (m *Member) Voters() []uint64 { return m.confState.GetVoters() }

// Learners returns the numbers of the members that replicate the log without voting.
func (m *Member) Learners() []uint64 { return m.confState.GetLearners() }

// logicalClock returns the cluster's logical clock, which the leader advances.
func (m *Member) logicalClock() uint64 {
	return max(m.state.LogicalClock, m.leaderSinceTime+m.now-m.leaderSince)
}

// TransferLeadership starts a transfer of the leadership to an active voter, or returns
// ErrNoSuccessor if there is none.
func (m *Member) TransferLeadership() error {
	for id, progress := range m.node.Status().Progress {
		if id != m.ID && progress.RecentActive && !progress.IsLearner {
			m.node.TransferLeader(id)
			return nil
		}
	}
	return ErrNoSuccessor
}

// ReportUnreachable reports that a message to a member could not be delivered.
func (m *Member) ReportUnreachable(id uint64) { m.node.ReportUnreachable(id) }

// ReportSnapshot reports whether sending a snapshot to a member has succeeded.
func (m *Member) ReportSnapshot(id uint64, sent bool) {
	status := raft.SnapshotFinish
	if !sent {
		status = raft.SnapshotFailure
	}
	m.node.ReportSnapshot(id, status)
}

// setLeader records whether this member is the leader. If the member stops being the leader,
// all pending proposals end with ErrUnknownOutcome and all pending reads are aborted.
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
