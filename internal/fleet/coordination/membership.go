package coordination

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// maxLearnerLag is the largest number of log entries by which a learner may lag behind the
// commit index when it is promoted to a voter.
const maxLearnerLag = 2

// ChangeMembership proposes a membership change. ConfChangeAddLearnerNode adds a learner with
// the given address, ConfChangeAddNode promotes a learner that has caught up, and
// ConfChangeRemoveNode removes a member. Only one change may be in flight at a time, and a
// member number cannot be reused. done may be nil. ChangeMembership calls done in the
// same way as Propose does, and also with the errors of invalid changes.
func (m *Member) ChangeMembership(kind raftpb.ConfChangeType, id uint64, address string, done func(Result, error)) {
	if done == nil {
		done = func(Result, error) {}
	}
	if err := m.checkMembershipChange(kind, id); err != nil {
		done(Result{}, err)
		return
	}
	proposalID, err := m.addProposal(done)
	if err != nil {
		m.proposalFailed(proposalID, done, err)
		return
	}
	context, err := json.Marshal(Command{ProposalID: proposalID, Term: m.term(), Subject: address})
	if err == nil {
		err = m.node.ProposeConfChange(&raftpb.ConfChange{Type: &kind, NodeId: &id, Context: context})
	}
	m.proposalFailed(proposalID, done, err)
}

func (m *Member) checkMembershipChange(kind raftpb.ConfChangeType, id uint64) error {
	switch kind {
	case raftpb.ConfChangeAddLearnerNode:
		return m.checkAddLearner(id)
	case raftpb.ConfChangeAddNode:
		return m.checkPromoteLearner(id)
	case raftpb.ConfChangeRemoveNode:
		return m.checkRemoveMember(id)
	}
	return nil
}

// ErrMemberNumberUsed rejects a member whose number another member has or had. It is final: numbers
// are never used again.
var ErrMemberNumberUsed = errors.New("number was used before")

func (m *Member) checkAddLearner(id uint64) error {
	if _, used := m.state.Members[id]; used {
		return fmt.Errorf("member %d: %w", id, ErrMemberNumberUsed)
	}
	if learners := m.Learners(); len(learners) > 0 {
		return fmt.Errorf("member %d: cannot be added while member %d is a learner", id, learners[0])
	}
	return nil
}

func (m *Member) checkPromoteLearner(id uint64) error {
	if !slices.Contains(m.Learners(), id) {
		return fmt.Errorf("member %d: not a learner", id)
	}
	if _, commit, _ := m.Status(); m.node.Status().Progress[id].Match+maxLearnerLag < commit {
		return fmt.Errorf("member %d: learner lags by more than %d log entries", id, maxLearnerLag)
	}
	return nil
}

func (m *Member) checkRemoveMember(id uint64) error {
	voters := m.Voters()
	if !slices.Contains(voters, id) && !slices.Contains(m.Learners(), id) {
		return fmt.Errorf("member %d: no such member", id)
	}
	if slices.Contains(voters, id) && len(voters) == 1 {
		return fmt.Errorf("member %d: cannot remove the last voter", id)
	}
	return nil
}

// applyMembershipChange applies a committed membership change.
func (m *Member) applyMembershipChange(entry *raftpb.Entry) error {
	var change raftpb.ConfChange
	if err := proto.Unmarshal(entry.Data, &change); err != nil {
		return fmt.Errorf("entry %d: %w", entry.GetIndex(), err)
	}
	var c Command
	if change.Context != nil {
		if err := json.Unmarshal(change.Context, &c); err != nil {
			return fmt.Errorf("entry %d: %w", entry.GetIndex(), err)
		}
	}
	m.confState, m.membershipChanged = m.node.ApplyConfChange(&change), true
	if change.GetType() == raftpb.ConfChangeRemoveNode {
		m.state.Members[change.GetNodeId()] = "" // the entry stays, so that the number is not reused
	} else if c.Subject != "" {
		m.state.Members[change.GetNodeId()] = c.Subject
	}
	m.completeProposal(c, Result{})
	return nil
}
