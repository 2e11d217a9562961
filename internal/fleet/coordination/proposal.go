package coordination

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
)

// proposal is a command or membership change that this member has proposed and that has
// not been applied yet.
type proposal struct {
	term     uint64 // term in which the proposal was made
	deadline uint64 // tick at which the proposal times out
	done     func(Result, error)
}

func (p *proposal) complete(r Result, err error) {
	if p.done != nil {
		p.done(r, err)
	}
}

// pendingRead is a read that waits until a majority has confirmed the leader. It then waits
// until this member has applied all entries that were committed before the confirmation.
type pendingRead struct {
	id       uint64
	index    uint64 // log index that must be applied first; 0 until the leader is confirmed
	deadline uint64 // tick at which the read times out
	done     func(error)
}

// Propose proposes a command. It calls done with the command's result, or with a
// NotLeaderError, ErrBusy or ErrUnknownOutcome. The call of done may happen before Propose
// returns. done may be nil.
func (m *Member) Propose(command Command, done func(Result, error)) {
	if done == nil {
		done = func(Result, error) {}
	}
	if !m.IsLeader() {
		// The check below of the supported versions is valid only in the leader's state.
		done(Result{}, NotLeaderError{m.Leader()})
		return
	}
	command.Version = max(1, command.Version)
	if !m.state.AllSupport(command.Version, slices.Concat(m.Voters(), m.Learners())) {
		// The state of a member that cannot apply the command would diverge.
		done(reject("command version %d is not supported by all members", command.Version), nil)
		return
	}
	id, err := m.addProposal(done)
	if err != nil {
		m.proposalFailed(id, done, err)
		return
	}
	command.LogicalClock, command.ProposalID, command.Term = m.logicalClock(), id, m.term()
	entry, err := json.Marshal(command)
	if err == nil {
		err = m.node.Propose(entry)
	}
	m.proposalFailed(id, done, err)
}

// addProposal registers a proposal and returns its ID.
func (m *Member) addProposal(done func(Result, error)) (uint64, error) {
	switch {
	case !m.IsLeader():
		return 0, NotLeaderError{m.Leader()}
	case len(m.proposals) >= MaxPendingProposals:
		return 0, ErrBusy
	}
	m.lastRequestID++
	m.proposals[m.lastRequestID] = &proposal{term: m.term(), deadline: m.now + requestTimeoutTicks, done: done}
	return m.lastRequestID, nil
}

// proposalFailed drops a proposal that could not be added to the log, and passes the error
// to done. It does nothing if err is nil.
func (m *Member) proposalFailed(id uint64, done func(Result, error), err error) {
	if err == nil {
		return
	}
	delete(m.proposals, id)
	if errors.Is(err, raft.ErrProposalDropped) {
		err = NotLeaderError{m.Leader()}
	}
	done(Result{}, err)
}

// completeProposal passes the result of an applied command to its callback if this member
// proposed it.
func (m *Member) completeProposal(command Command, r Result) {
	if p := m.proposals[command.ProposalID]; p != nil && p.term == command.Term {
		delete(m.proposals, command.ProposalID)
		p.complete(r, nil)
	}
}

// Read waits until a majority has confirmed, after the call, that this member is the leader.
// It then waits until this member has applied all entries that were committed before the
// confirmation, and calls done with nil. Within done, State is a linearizable read. If the
// read fails, done gets a NotLeaderError or ErrBusy.
func (m *Member) Read(done func(error)) {
	if !m.IsLeader() {
		done(NotLeaderError{m.Leader()})
		return
	}
	m.confirmRead(done)
}

// FollowerRead is like Read, but works on any member. It asks the leader for the log index
// that this member must apply before done is called.
func (m *Member) FollowerRead(done func(error)) {
	if m.Leader() == raft.None {
		done(NotLeaderError{})
		return
	}
	m.confirmRead(done)
}

func (m *Member) confirmRead(done func(error)) {
	if len(m.reads) >= MaxPendingProposals {
		done(ErrBusy)
		return
	}
	m.lastRequestID++
	m.reads = append(m.reads, pendingRead{id: m.lastRequestID, deadline: m.now + requestTimeoutTicks, done: done})
	m.node.ReadIndex(m.readContext(m.lastRequestID))
}

// readContext returns the bytes that identify a read in raft messages: the incarnation of
// this member and the ID of the read.
func (m *Member) readContext(id uint64) []byte {
	context := binary.BigEndian.AppendUint64(nil, m.Incarnation)
	return binary.BigEndian.AppendUint64(context, id)
}

// setReadIndexes records for each confirmed read the log index that must be applied first.
func (m *Member) setReadIndexes(confirmed []raft.ReadState) {
	for _, c := range confirmed {
		for i := range m.reads {
			if bytes.Equal(c.RequestCtx, m.readContext(m.reads[i].id)) {
				m.reads[i].index = c.Index
			}
		}
	}
}

// completeReads completes the confirmed reads whose log index has been applied.
func (m *Member) completeReads() {
	var complete []pendingRead
	m.reads = slices.DeleteFunc(m.reads, func(r pendingRead) bool {
		if r.index == 0 || r.index > m.applied {
			return false
		}
		complete = append(complete, r)
		return true
	})
	for _, r := range complete {
		r.done(nil)
	}
}

// abortReads fails all pending reads with a NotLeaderError.
func (m *Member) abortReads() {
	reads := m.reads
	m.reads = nil
	for _, r := range reads {
		r.done(NotLeaderError{m.Leader()})
	}
}

// RenewLease renews a lease for the holder of a token, and calls done once a majority has
// confirmed that this member is the leader. The holder counts the renewed lease from the
// time at which it sent its request. In addition to the errors of Read, done may get an
// error that wraps ErrNotHolder or ErrLeaseRevoked.
func (m *Member) RenewLease(name string, token FencingToken, done func(error)) {
	m.Read(func(err error) {
		if err != nil {
			done(err)
			return
		}
		lease := m.state.Leases[name]
		switch {
		case lease == nil || lease.Holder == "" || lease.Token != token:
			err = fmt.Errorf("lease %s: token %v: %w", name, token, ErrNotHolder)
		case !m.timers.renew(name, token, m.now, m.leaseTicks):
			err = fmt.Errorf("lease %s: token %v: %w", name, token, ErrLeaseRevoked)
		}
		done(err)
	})
}

// RevokeLease prevents further renewals of a lease. The lease then ends at its current expiry
// time. The error is a NotLeaderError or wraps ErrNoHolder.
func (m *Member) RevokeLease(name string) error {
	lease := m.state.Leases[name]
	switch {
	case !m.IsLeader():
		return NotLeaderError{m.Leader()}
	case lease == nil || lease.Holder == "":
		return fmt.Errorf("lease %s: %w", name, ErrNoHolder)
	}
	m.timers.revoke(name, lease.Token, m.now, m.leaseTicks)
	return nil
}
