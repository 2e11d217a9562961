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
	// hostReportTTL is the age at which a host's report is dropped.
	hostReportTTL = time.Minute
)

// call is one request of a client, which is responded to once. Its methods run on the
// goroutine of Server.Run.
type call struct {
	request   client.Request
	response  *client.Response
	responses chan<- *client.Response // of capacity 1
}

func (c *call) reply() { c.responses <- c.response }

func (c *call) reject(reason string) {
	c.response.Rejection = reason
	c.reply()
}

// replyError replies with an error that the client may solve by another member or a
// retry; nil replies with the response as it is.
func (s *Server) replyError(c *call, err error) {
	if err != nil {
		c.response.Unavailable, c.response.OutcomeUnknown = err.Error(), errors.Is(err, coordination.ErrUnknownOutcome)
		if notLeader, is := errors.AsType[coordination.NotLeaderError](err); is && notLeader.Leader != 0 {
			c.response.Leader = s.address(notLeader.Leader)
		}
	}
	c.reply()
}

// respond starts the processing of a request. The response comes when the member has
// committed or confirmed what it needs. On the goroutine of Run.
func (s *Server) respond(c *call) {
	c.response = &client.Response{
		Cluster: s.cluster, Member: s.number, WrongClusterCalls: s.wrongClusterCalls, Version: coordination.StateVersion,
		LeaseMS: s.config.Lease.Milliseconds(), MarginMS: s.config.Margin.Milliseconds(),
	}
	if s.member == nil {
		c.response.Unavailable = "found no majority that confirms this member's file, wanted one: it is not started yet"
		c.reply()
		return
	}
	c.response.Term, _, c.response.Index = s.member.Status()
	c.response.IsLeader, c.response.Voters, c.response.Learners = s.member.IsLeader(), s.member.Voters(), s.member.Learners()
	c.response.Syncs = s.storage.syncs
	switch c.request.Kind {
	case client.AcquireLease, client.ReleaseLease, client.WriteCheckpoint, client.AdvanceToken,
		client.RequestOperation, client.CompleteOperation, client.SetHostStatus, client.AdvertiseVersion:
		s.propose(c)
	case client.RenewLease:
		s.renewLease(c)
	case client.WatchLeases:
		s.watchLeases(c)
	case client.ReportHost:
		s.recordHostReport(c)
	case client.ReadState:
		s.readState(c)
	case client.ChangeConfiguration:
		s.changeConfiguration(c)
	case client.WatchConfiguration:
		s.watchConfiguration(c)
	case client.ReadConfiguration:
		s.readConfiguration(c)
	case client.AddMember:
		s.member.ChangeMembership(raftpb.ConfChangeAddLearnerNode, c.request.Member, c.request.Address, s.replyResult(c))
	case client.RemoveMember:
		s.member.ChangeMembership(raftpb.ConfChangeRemoveNode, c.request.Member, "", s.replyResult(c))
	case client.StepDown:
		s.stepDown(c)
	default:
		c.reject(fmt.Sprintf("kind: found %q, wanted one that is known", c.request.Kind))
	}
}

// replyResult returns the function that replies with the result of a proposal.
func (s *Server) replyResult(c *call) func(coordination.Result, error) {
	return func(result coordination.Result, err error) {
		c.response.Rejection, c.response.Lease = result.Rejection, result.Lease
		s.replyError(c, err)
	}
}

// read fills the response from the state when a majority has confirmed that this
// member is the leader.
func (s *Server) read(c *call, fill func(*coordination.State)) {
	s.member.Read(func(err error) {
		if err == nil {
			fill(s.member.State())
		}
		s.replyError(c, err)
	})
}

// propose proposes the command that a request asks for. A request has no more of the
// command than its kind uses.
func (s *Server) propose(c *call) {
	command := coordination.Command{Kind: coordination.CommandKind(c.request.Kind), Token: c.request.Token}
	if c.request.Kind == client.AdvertiseVersion {
		command.Member = c.request.Member
	} else {
		command.Subject, command.Lease, command.OperationID, command.Data = c.request.Subject, c.request.Lease, c.request.OperationID, c.request.Data
	}
	s.member.Propose(command, s.replyResult(c))
}

func (s *Server) renewLease(c *call) {
	s.member.RenewLease(c.request.Lease, c.request.Token, func(err error) {
		if lease := s.member.State().Leases[c.request.Lease]; lease != nil {
			c.response.Lease = lease.Copy()
		}
		if errors.Is(err, coordination.ErrNotHolder) || errors.Is(err, coordination.ErrLeaseRevoked) {
			c.reject(err.Error())
			return
		}
		s.replyError(c, err)
	})
}

func (s *Server) readState(c *call) {
	s.read(c, func(state *coordination.State) {
		c.response.State, c.response.Reports, c.response.Holders = state.WithoutConfiguration(), s.hostReports(), holders(state)
	})
}

func (s *Server) watchLeases(c *call) {
	state := s.member.State()
	c.response.Holders, c.response.PendingOperations = holders(state), map[string]bool{}
	for _, operation := range state.Operations {
		if operation.Outcome == "" {
			c.response.PendingOperations[operation.Lease] = true
		}
	}
	c.reply()
}

// holders returns the holder of each lease, by its name; the holder of a free lease has
// no name.
func holders(state *coordination.State) map[string]coordination.Holder {
	all := map[string]coordination.Holder{}
	for name, lease := range state.Leases {
		all[name] = coordination.Holder{Name: lease.Holder, Token: lease.Token}
	}
	return all
}

func (s *Server) stepDown(c *call) {
	if !s.member.IsLeader() {
		s.replyError(c, coordination.NotLeaderError{Leader: s.member.Leader()})
		return
	}
	var err error
	if c.request.Lease != "" {
		err = s.member.RevokeLease(c.request.Lease)
	} else {
		err = s.member.TransferLeadership()
	}
	if err != nil {
		c.reject(err.Error())
		return
	}
	c.reply()
}

// recordHostReport records how a host is. Only the leader does so, in memory.
func (s *Server) recordHostReport(c *call) {
	host, data := c.request.Subject, c.request.Data
	switch {
	case len(data) > maxHostReportBytes || len(s.reports) >= coordination.MaxHosts && s.reports[host].data == nil:
		c.reject(fmt.Sprintf("report of %s: found %d bytes and %d hosts, wanted %d and %d at most", host, len(data), len(s.reports), maxHostReportBytes, coordination.MaxHosts))
	case !s.member.IsLeader():
		s.replyError(c, coordination.NotLeaderError{Leader: s.member.Leader()})
	default:
		s.reports[host] = hostReport{data: data, receivedAt: s.ticks}
		c.reply()
	}
}

// hostReports returns the reports of all hosts and drops those that are too old.
func (s *Server) hostReports() map[string]client.HostReport {
	all := map[string]client.HostReport{}
	for host, report := range s.reports {
		age := time.Duration(s.ticks-report.receivedAt) * s.config.Tick
		if age > hostReportTTL {
			delete(s.reports, host)
			continue
		}
		all[host] = client.HostReport{Data: report.data, AgeMS: age.Milliseconds()}
	}
	return all
}
