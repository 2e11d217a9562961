package server

import (
	"context"
	"encoding/json"
	"net/http"

	"go.etcd.io/raft/v3/raftpb"

	"otterspring/internal/fleet/coordination"
)

const (
	// positionHeader is the header that carries the sender's position, as JSON, in a call with
	// a batch of messages.
	positionHeader = "X-Council-Position"
	// positionSaveTicks is the time for which changed positions of other members may wait to
	// be stored together with another write. After that time they are stored on their own.
	positionSaveTicks = 10
	// announceRetryTicks is the interval at which the same position is announced again to a
	// member that does not respond.
	announceRetryTicks = 10
	// maxTrackedMembers bounds the number of members whose positions are kept. Positions of
	// former members are kept too, and member numbers are not reused.
	maxTrackedMembers = 256
)

// logPosition is the coordination.LogPosition of this member or of another member.
type logPosition coordination.LogPosition

// after reports whether a member that has sent the position p now has an older file, whose
// position is other.
func (p logPosition) after(other logPosition) bool {
	return coordination.LogPosition(p).After(coordination.LogPosition(other))
}

// storedPosition returns the position of a member's persistent state.
func storedPosition(stored coordination.PersistentState) logPosition {
	return logPosition(coordination.StoredPosition(stored))
}

// sentPosition is the value of positionHeader.
type sentPosition struct {
	Member uint64 `json:"member"`
	logPosition
}

// setPositionHeader adds this member's position to the header of a request.
func (s *Server) setPositionHeader(header http.Header, position logPosition) error {
	data, err := json.Marshal(sentPosition{Member: s.number, logPosition: position})
	if err != nil {
		return err
	}
	header.Set(positionHeader, string(data))
	return nil
}

// decodePosition returns the position in the header of a request. It returns false if the
// header contains no position, since members of earlier versions do not send their position.
func decodePosition(header http.Header) (sentPosition, bool) {
	var position sentPosition
	err := json.Unmarshal([]byte(header.Get(positionHeader)), &position)
	return position, err == nil && position.Member != 0
}

// recordPosition merges a position that another member has sent into the position that is
// recorded for that member. It must be called on the Run goroutine.
func (s *Server) recordPosition(member uint64, position logPosition) {
	known, found := s.acknowledged[member]
	if !found && len(s.acknowledged) >= maxTrackedMembers {
		return
	}
	merged := logPosition(coordination.LogPosition(known).Merge(coordination.LogPosition(position)))
	if found && merged == known {
		return
	}
	s.acknowledged[member] = merged
	if s.positionsChangedAt == 0 {
		s.positionsChangedAt = max(1, s.ticks)
	}
}

// recordAcknowledgement records the position that a raft message acknowledges. It is used for
// members of earlier versions, which do not send positionHeader. It must be called on the Run
// goroutine.
func (s *Server) recordAcknowledgement(message *raftpb.Message) {
	position := logPosition{Term: message.GetTerm()}
	switch message.GetType() {
	case raftpb.MsgAppResp:
		if !message.GetReject() {
			position.Index = message.GetIndex()
		}
	case raftpb.MsgVoteResp:
	default: // other messages acknowledge nothing
		return
	}
	s.recordPosition(message.GetFrom(), position)
}

// savePositions stores the positions of the other members if a change of them has not been
// stored for positionSaveTicks.
func (s *Server) savePositions() error {
	if s.positionsChangedAt == 0 || s.ticks < s.positionsChangedAt+positionSaveTicks {
		return nil
	}
	return s.save(coordination.Ready{MustSync: true})
}

// save stores ready, together with the changed positions of the other members.
func (s *Server) save(ready coordination.Ready) error {
	if s.positionsChangedAt != 0 {
		s.storage.positions = s.acknowledged
	}
	if err := s.storage.save(ready); err != nil {
		return err
	}
	if s.storage.positions == nil {
		s.positionsChangedAt = 0
	}
	position := coordination.LogPosition(s.position)
	position.Advance(ready)
	s.position = logPosition(position)
	return nil
}

// announcePosition announces this member's position to each other member that has not received
// the position with other messages. After a restart, startMember may ask any of the members for
// this position. If a member does not respond, the same position is announced again after
// announceRetryTicks. announcePosition must be called on the Run goroutine.
func (s *Server) announcePosition(ctx context.Context) {
	for number, address := range s.member.State().Members {
		if number == s.number || address == "" { // a former member has no address
			continue
		}
		p := s.peer(ctx, number)
		retryPending := p.attemptedPosition == s.position && s.ticks < p.attemptedAt+announceRetryTicks
		if p.announcedPosition == s.position || retryPending || len(p.queue) > 0 {
			continue
		}
		p.attemptedPosition, p.attemptedAt = s.position, s.ticks
		p.queue <- announcement
	}
}
