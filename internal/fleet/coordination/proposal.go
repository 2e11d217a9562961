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

// proposal is a command or a change of members that this member has proposed and that
// is not applied yet.
type proposal struct {
	term     uint64 // of the proposal
	deadline uint64 // tick
	done     func(Result, error)
}

func (p *proposal) complete(r Result, err error) {
	if p.done != nil {
		p.done(r, err)
	}
}

// pendingRead waits until a majority has confirmed the leader, and until this member
// has applied what was committed before that.
type pendingRead struct {
	id       uint64
	index    uint64 // that has to be applied; 0 until the leader is confirmed
	deadline uint64 // tick
	done     func(error)
}

// Propose proposes a command. done, which may be nil, is called with its result, or
// with NotLeaderError, ErrBusy or ErrUnknownOutcome; it may be called before Propose
// returns.
func (m *Member) Propose(command Command, done func(Result, error)) {
	if done == nil {
		done = func(Result, error) {}
	}
	if !m.IsLeader() {
		// The leader decides by its own state which versions all members support.
		done(Result{}, NotLeaderError{m.Leader()})
		return
	}
	command.Version = max(1, command.Version)
	if !m.state.AllSupport(command.Version, slices.Concat(m.Voters(), m.Learners())) {
		// A member that can't apply the command would diverge.
		done(reject("version: found a command of version %d, wanted one that all members support", command.Version), nil)
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

// addProposal returns the ID of a new proposal.
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

// proposalFailed completes a proposal that was not accepted; without an error it does
// nothing.
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

// completeProposal passes the result of an applied command to its proposer, if this
// member is the one.
func (m *Member) completeProposal(command Command, r Result) {
	if p := m.proposals[command.ProposalID]; p != nil && p.term == command.Term {
		delete(m.proposals, command.ProposalID)
		p.complete(r, nil)
	}
}

// Read calls done when a majority has confirmed, after the call, that this member is
// the leader, and all that was committed before is applied: State is then linearizable.
// The error is NotLeaderError or ErrBusy.
func (m *Member) Read(done func(error)) {
	if !m.IsLeader() {
		done(NotLeaderError{m.Leader()})
		return
	}
	m.confirmRead(done)
}

// FollowerRead is Read on any member: it asks the leader for the index that this member
// has to have applied.
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

// readContext identifies a read of this run of the member.
func (m *Member) readContext(id uint64) []byte {
	context := binary.BigEndian.AppendUint64(nil, m.Incarnation)
	return binary.BigEndian.AppendUint64(context, id)
}

// setReadIndexes records which index the confirmed reads need.
func (m *Member) setReadIndexes(confirmed []raft.ReadState) {
	for _, c := range confirmed {
		for i := range m.reads {
			if bytes.Equal(c.RequestCtx, m.readContext(m.reads[i].id)) {
				m.reads[i].index = c.Index
			}
		}
	}
}

// completeReads calls back the reads whose index is applied.
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

// abortReads calls back all reads: nobody confirms them.
func (m *Member) abortReads() {
	reads := m.reads
	m.reads = nil
	for _, r := range reads {
		r.done(NotLeaderError{m.Leader()})
	}
}

// RenewLease renews a lease for the holder of a token, and calls done when a majority
// has confirmed that this member is the leader: the holder's lease counts from the time
// at which it sent its request. Beside the errors of Read, done gets an error that
// wraps ErrNotHolder or ErrLeaseRevoked.
func (m *Member) RenewLease(name string, token FencingToken, done func(error)) {
	m.Read(func(err error) {
		if err != nil {
			done(err)
			return
		}
		lease := m.state.Leases[name]
		switch {
		case lease == nil || lease.Holder == "" || lease.Token != token:
			err = fmt.Errorf("lease %s: found token %v: %w", name, token, ErrNotHolder)
		case !m.timers.renew(name, token, m.now, m.leaseTicks):
			err = fmt.Errorf("lease %s: found token %v: %w", name, token, ErrLeaseRevoked)
		}
		done(err)
	})
}

// RevokeLease lets a lease expire at its time: its holder can't renew it any more. The
// error is NotLeaderError or wraps ErrNoHolder.
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
