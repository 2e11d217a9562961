package server

import (
	"errors"
	"fmt"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"otterspring/internal/fleet/coordination"
	"otterspring/internal/fleet/coordination/client"
)

const (
	maxHostReportBytes = 2 << 10
	// hostReportTTL is the age after which a host's report is dropped.
	hostReportTTL = time.Minute
)

// pendingCall is a client's request that has to get exactly one response. The methods of
// pendingCall must be called on the Server.Run goroutine.
type pendingCall struct {
	request   client.Request
	response  *client.Response
	responses chan<- *client.Response // channel with a capacity of 1
}

func (c *pendingCall) reply() { c.responses <- c.response }

func (c *pendingCall) reject(reason string) {
	c.response.Rejection = reason
	c.reply()
}

// replyError sends the response. If err is not nil, the response says why this member cannot
// handle the request, whether the request may have been applied, and which member is the
// leader if this is known.
func (s *Server) replyError(pending *pendingCall, err error) {
	if err != nil {
		pending.response.Unavailable, pending.response.OutcomeUnknown = err.Error(), errors.Is(err, coordination.ErrUnknownOutcome)
		if notLeader, ok := errors.AsType[coordination.NotLeaderError](err); ok && notLeader.Leader != 0 {
			pending.response.Leader = s.address(notLeader.Leader)
		}
	}
	pending.reply()
}

// respond starts the processing of a request. The response is sent once the member has
// committed or confirmed what the request needs. It must be called on the Run goroutine.
func (s *Server) respond(pending *pendingCall) {
	pending.response = &client.Response{
		Cluster: s.cluster, Member: s.number, WrongClusterCalls: s.wrongClusterCalls, Version: coordination.StateVersion,
		LeaseMS: s.config.Lease.Milliseconds(), MarginMS: s.config.Margin.Milliseconds(),
	}
	if s.member == nil {
		pending.response.Unavailable = "member not started: no majority has confirmed its file yet"
		pending.reply()
		return
	}
	pending.response.Term, _, pending.response.Index = s.member.Status()
	pending.response.IsLeader, pending.response.Voters, pending.response.Learners = s.member.IsLeader(), s.member.Voters(), s.member.Learners()
	pending.response.Syncs = s.storage.syncs
	switch pending.request.Kind {
	case client.AcquireLease, client.ReleaseLease, client.WriteCheckpoint, client.AdvanceToken,
		client.RequestOperation, client.CompleteOperation, client.SetHostStatus, client.AdvertiseVersion:
		s.propose(pending)
	case client.RenewLease:
		s.renewLease(pending)
	case client.WatchLeases:
		s.watchLeases(pending)
	case client.ReportHost:
		s.recordHostReport(pending)
	case client.ReadState:
		s.readState(pending)
	case client.ChangeConfiguration:
		s.changeConfiguration(pending)
	case client.WatchConfiguration:
		s.watchConfiguration(pending)
	case client.ReadConfiguration:
		s.readConfiguration(pending)
	case client.AddMember:
		s.member.ChangeMembership(raftpb.ConfChangeAddLearnerNode, pending.request.Member, pending.request.Address, s.replyResult(pending))
	case client.RemoveMember:
		s.member.ChangeMembership(raftpb.ConfChangeRemoveNode, pending.request.Member, "", s.replyResult(pending))
	case client.StepDown:
		s.stepDown(pending)
	default:
		pending.reject(fmt.Sprintf("kind: found unknown request kind %q", pending.request.Kind))
	}
}

// replyResult returns the callback that replies with the result of a proposal.
func (s *Server) replyResult(pending *pendingCall) func(coordination.Result, error) {
	return func(result coordination.Result, err error) {
		if errors.Is(err, coordination.ErrMemberNumberUsed) {
			pending.reject(err.Error())
			return
		}
		pending.response.Rejection, pending.response.Lease = result.Rejection, result.Lease
		s.replyError(pending, err)
	}
}

// read waits until a majority has confirmed that this member is the leader. It then calls
// fill, which copies parts of the state into the response, and sends the response. If the
// confirmation fails, read responds with the error and does not call fill.
func (s *Server) read(pending *pendingCall, fill func(*coordination.State)) {
	s.member.Read(func(err error) {
		if err == nil {
			fill(s.member.State())
		}
		s.replyError(pending, err)
	})
}

// propose proposes the command for a request. Only the fields that the request's kind uses
// are copied into the command.
func (s *Server) propose(pending *pendingCall) {
	command := coordination.Command{Kind: coordination.CommandKind(pending.request.Kind), Token: pending.request.Token}
	if pending.request.Kind == client.AdvertiseVersion {
		command.Member = pending.request.Member
	} else {
		command.Subject, command.Lease, command.OperationID, command.Data = pending.request.Subject, pending.request.Lease, pending.request.OperationID, pending.request.Data
	}
	s.member.Propose(command, s.replyResult(pending))
}

func (s *Server) renewLease(pending *pendingCall) {
	s.member.RenewLease(pending.request.Lease, pending.request.Token, func(err error) {
		if lease := s.member.State().Leases[pending.request.Lease]; lease != nil {
			pending.response.Lease = lease.Copy()
		}
		if errors.Is(err, coordination.ErrNotHolder) || errors.Is(err, coordination.ErrLeaseRevoked) {
			pending.reject(err.Error())
			return
		}
		s.replyError(pending, err)
	})
}

func (s *Server) readState(pending *pendingCall) {
	s.read(pending, func(state *coordination.State) {
		pending.response.State, pending.response.Reports, pending.response.Holders = state.WithoutConfiguration(), s.hostReports(), holders(state)
	})
}

func (s *Server) watchLeases(pending *pendingCall) {
	state := s.member.State()
	pending.response.Holders, pending.response.PendingOperations = holders(state), map[string]bool{}
	for _, operation := range state.Operations {
		if operation.Outcome == "" {
			pending.response.PendingOperations[operation.Lease] = true
		}
	}
	pending.reply()
}

// holders returns the holder of each lease, by lease name. A free lease has a Holder
// without a name.
func holders(state *coordination.State) map[string]coordination.Holder {
	byLease := map[string]coordination.Holder{}
	for name, lease := range state.Leases {
		byLease[name] = coordination.Holder{Name: lease.Holder, Token: lease.Token}
	}
	return byLease
}

func (s *Server) stepDown(pending *pendingCall) {
	if !s.member.IsLeader() {
		s.replyError(pending, coordination.NotLeaderError{Leader: s.member.Leader()})
		return
	}
	var err error
	if pending.request.Lease != "" {
		err = s.member.RevokeLease(pending.request.Lease)
	} else {
		err = s.member.TransferLeadership()
	}
	if err != nil {
		pending.reject(err.Error())
		return
	}
	pending.reply()
}

// recordHostReport stores a report sent by a host. Only the leader stores reports, and it
// keeps them only in memory.
func (s *Server) recordHostReport(pending *pendingCall) {
	host, data := pending.request.Subject, pending.request.Data
	switch {
	case len(data) > maxHostReportBytes || len(s.reports) >= coordination.MaxHosts && s.reports[host].data == nil:
		pending.reject(fmt.Sprintf("report of host %s: found %d bytes and %d hosts, wanted at most %d and %d", host, len(data), len(s.reports), maxHostReportBytes, coordination.MaxHosts))
	case !s.member.IsLeader():
		s.replyError(pending, coordination.NotLeaderError{Leader: s.member.Leader()})
	default:
		s.reports[host] = hostReport{data: data, receivedAt: s.ticks}
		pending.reply()
	}
}

// hostReports returns the reports of all hosts. It removes reports that are older than
// hostReportTTL.
func (s *Server) hostReports() map[string]client.HostReport {
	reports := map[string]client.HostReport{}
	for host, report := range s.reports {
		age := time.Duration(s.ticks-report.receivedAt) * s.config.Tick
		if age > hostReportTTL {
			delete(s.reports, host)
			continue
		}
		reports[host] = client.HostReport{Data: report.data, AgeMS: age.Milliseconds()}
	}
	return reports
}
