package coordination

import (
	crand "crypto/rand"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"go.etcd.io/raft/v3/raftpb"

	"otterspring/internal/fleet/configuration"
)

// configureSim adds operators that change settings, and reads by any member, to the
// simulation: responses are lost, and a change without a response is retried with the
// same ID.
type configureSim struct {
	*sim
	rng       *rand.Rand // separate, so that the simulation's own draws stay those of its seed
	operators []*simOperator
	versions  map[string]configuration.Version // by change ID, of all that could have been confirmed
	ids       map[configuration.Version]string
	replaced  map[string]string     // by service and version: the change that was made for it
	newest    configuration.Version // that could have been confirmed

	applied, retried, conflicts, reads, followerReads int
}

// simOperator has one change in flight at a time.
type simOperator struct {
	change   *configuration.Change // in flight; nil for none
	attempts int
	retryAt  int                              // step
	versions map[string]configuration.Version // what it has read of each service
	changes  int
}

const (
	simServices   = 4
	simRetrySteps = 60 // after which an operator retries
	// configureSeedsShare is the divisor for the seeds that are simulated with operators:
	// their steps take several times as long.
	configureSeedsShare = 4
)

func newConfigureSim(tb testing.TB, seed uint64, members int) *configureSim {
	tb.Helper()
	s := &configureSim{
		sim: newSim(tb, seed, members), rng: rand.New(rand.NewPCG(seed, 11)),
		versions: map[string]configuration.Version{}, ids: map[configuration.Version]string{}, replaced: map[string]string{},
	}
	for range 3 {
		s.operators = append(s.operators, &simOperator{versions: map[string]configuration.Version{}})
	}
	return s
}

func (s *configureSim) runConfigure(steps int) {
	for range steps {
		s.run(1)
		s.advertiseVersions()
		for i, o := range s.operators {
			if s.step >= o.retryAt && s.rng.IntN(4) == 0 {
				s.runOperator(i, o)
			}
		}
		if s.rng.IntN(2) == 0 {
			s.read(s.members[s.rng.IntN(len(s.members))])
		}
	}
}

func (s *configureSim) running(m *simMember) bool { return m.m != nil && s.step >= m.resumesAt }

// advertiseVersions lets the leader propose which version each member supports.
func (s *configureSim) advertiseVersions() {
	for _, leader := range s.members {
		if !s.running(leader) || !leader.m.IsLeader() || s.rng.IntN(20) > 0 {
			continue
		}
		for _, m := range s.members {
			if leader.m.State().SupportedVersions[m.id] < StateVersion {
				leader.m.Propose(Command{Kind: AdvertiseVersion, Member: m.id, Token: StateVersion}, nil)
			}
		}
	}
}

func (s *configureSim) runOperator(number int, o *simOperator) {
	if o.change == nil {
		o.change, o.attempts = s.newChange(number, o), 0
	}
	m := s.members[s.rng.IntN(len(s.members))]
	if !s.running(m) {
		return
	}
	change := o.change
	o.attempts++
	tries, lost := o.attempts, s.rng.IntN(5) == 0
	o.retryAt = s.step + simRetrySteps
	command, err := NewConfigurationChange(*change)
	if err != nil {
		s.fail("%v", err)
	}
	m.m.Propose(command, func(r Result, err error) {
		if err == nil && r.Rejection == "" {
			s.recordApplied(change, r.Version, tries)
		}
		if lost || o.change != change {
			return
		}
		o.retryAt = 0
		if err != nil || r.Rejection != "" && !r.Conflict && o.versions[change.Service] == 0 {
			return // retried: another member leads, or not all members support it yet
		}
		o.change = nil
		if r.Conflict {
			s.conflicts++
			if version, applied := s.versions[change.ID]; applied {
				s.fail("change %s was applied as %v, and its operator gets a conflict: %s", change.ID, version, r.Rejection)
			}
		}
		// It reads the version before the next change.
		o.versions[change.Service] = 0
		if resource := m.m.State().ConfigurationStore().Resources[change.Service]; resource != nil {
			o.versions[change.Service] = resource.Version
		}
	})
}

// newChange changes one service at the version that its operator has read.
func (s *configureSim) newChange(number int, o *simOperator) *configuration.Change {
	o.changes++
	service := fmt.Sprint("service-", s.rng.IntN(simServices))
	change := &configuration.Change{
		ID: fmt.Sprintf("operator-%d-%d", number, o.changes), Service: service,
		Settings: json.RawMessage(fmt.Sprintf(`{"tenants":[{"name":"by-%d-%d"}]}`, number, o.changes)),
	}
	if version := o.versions[service]; version == 0 || s.rng.IntN(2) == 0 {
		change.IfVersion = &version
	}
	return change
}

// recordApplied records a change that could have been confirmed.
func (s *configureSim) recordApplied(change *configuration.Change, version configuration.Version, tries int) {
	id := change.ID
	if change.IfVersion != nil {
		replaced := fmt.Sprintf("%s at %v", change.Service, *change.IfVersion)
		if other := s.replaced[replaced]; other != "" && other != id {
			s.fail("%s was replaced by change %s and by %s", replaced, other, id)
		}
		s.replaced[replaced] = id
	}
	if was, known := s.versions[id]; known && was != version {
		s.fail("change %s was applied twice: as %v and as %v", id, was, version)
	}
	if was, known := s.ids[version]; known && was != id {
		s.fail("version %v was given to %s and to %s", version, was, id)
	}
	if tries > 1 {
		s.retried++
	}
	s.applied++
	s.versions[id], s.ids[version] = version, id
	s.newest = max(s.newest, version)
}

// read reads from any member: a confirmed read has all that could have been confirmed
// before it.
func (s *configureSim) read(m *simMember) {
	if !s.running(m) {
		return
	}
	least, member := s.newest, m.m
	member.FollowerRead(func(err error) {
		if err != nil {
			return
		}
		s.reads++
		if !member.IsLeader() {
			s.followerReads++
		}
		if got := member.State().ConfigurationStore().Version; got < least {
			s.fail("member %d read version %v, wanted %v at least, which was confirmed before", m.id, got, least)
		}
	})
}

// settle ends all faults and waits until all members have applied the same entries.
func (s *configureSim) settle() {
	for range 2000 {
		s.step++
		clear(s.cut)
		for _, m := range s.members {
			m.resumesAt = 0
			s.runMember(m)
		}
		s.deliver()
		if s.settled() {
			return
		}
	}
	s.fail("the members do not converge without faults")
}

// settled reports whether there is a leader and all members have applied its log.
func (s *configureSim) settled() bool {
	var applied uint64
	leads := false
	for i, m := range s.members {
		_, commit, index := m.m.Status()
		if i == 0 {
			applied = index
		}
		if index != applied || commit != applied || m.m.Leader() == 0 || m.pendingReady != nil {
			return false
		}
		leads = leads || m.m.IsLeader() && m.m.State().ConfigurationStore().Version >= s.newest
	}
	return leads
}

// Under crashes, suspensions, partitions and lost responses no confirmed change is lost
// or applied twice, no version is issued or replaced twice, and no confirmed read lacks
// a change that was confirmed before it.
func TestSimulatedConfiguration(t *testing.T) {
	reader := crand.Reader
	defer func() { crand.Reader = reader }()
	sum := configureSim{}
	seeds := max(1, *simSeeds/configureSeedsShare)
	for i := range seeds {
		seed := *simFirst + i
		s := newConfigureSim(t, uint64(seed), 5-2*(seed%2))
		s.runConfigure(1000)
		s.settle()
		for _, m := range s.members {
			s.check(m)
		}
		sum.applied += s.applied
		sum.retried += s.retried
		sum.conflicts += s.conflicts
		sum.reads += s.reads
		sum.followerReads += s.followerReads
	}
	t.Logf("%d seeds from %d: applied=%d repeated=%d conflicts=%d reads=%d by followers=%d", seeds, *simFirst, sum.applied, sum.retried, sum.conflicts, sum.reads, sum.followerReads)
	if sum.applied < 10*seeds || sum.retried < seeds || sum.conflicts < seeds || sum.followerReads < 10*seeds {
		t.Error("too little took place to show anything")
	}
}

// check compares a member's state with what was confirmed.
func (s *configureSim) check(m *simMember) {
	store := m.m.State().ConfigurationStore()
	if store.Version < s.newest {
		s.fail("member %d has version %v, wanted %v at least", m.id, store.Version, s.newest)
	}
	seen := map[string]configuration.Version{}
	for _, remembered := range store.RecentChanges {
		if was, twice := seen[remembered.ID]; twice {
			s.fail("change %s was applied twice: as %v and as %v", remembered.ID, was, remembered.Version)
		}
		seen[remembered.ID] = remembered.Version
	}
	for id, version := range s.versions {
		if seen[id] != version {
			s.fail("member %d has change %s as version %v, wanted %v", m.id, id, seen[id], version)
		}
	}
}

// With a member of version 1 beside two of version 2 a change is rejected, and nothing is
// committed, until that member supports it.
func TestChangeNeedsSupportOfEachMember(t *testing.T) {
	reader := crand.Reader
	defer func() { crand.Reader = reader }()
	s := newSim(t, 1, 3)
	command, err := NewConfigurationChange(create("a", "mail", json.RawMessage(`{}`)))
	if err != nil {
		t.Fatal(err)
	}
	propose := func(c Command) (result Result) {
		t.Helper()
		done := false
		for range 2000 {
			s.step++
			for _, m := range s.members {
				s.runMember(m)
			}
			s.deliver()
			if done {
				return result
			}
			for _, m := range s.members {
				if m.m.IsLeader() && s.step%simRetrySteps == 0 {
					m.m.Propose(c, func(r Result, err error) {
						result, done = r, err == nil
					})
				}
			}
		}
		t.Fatalf("%+v: no answer", c)
		return result
	}
	for member, version := range map[uint64]FencingToken{1: 2, 2: 2, 3: 1} {
		propose(Command{Kind: AdvertiseVersion, Member: member, Token: version})
	}
	if r := propose(command); r.Rejection == "" {
		t.Errorf("beside a member of version 1: %+v, wanted a rejection", r)
	}
	for _, m := range s.members {
		if m.m.State().Configuration != nil {
			t.Errorf("member %d has a configuration", m.id)
		}
	}
	propose(Command{Kind: AdvertiseVersion, Member: 3, Token: 2})
	if r := propose(command); r.Rejection != "" || r.Version == 0 {
		t.Errorf("all members support it: %+v, wanted a version", r)
	}
}

// A leader's confirmation of a read of before a restart does not confirm one of after
// it, though both have the same ID.
func TestReadOfEarlierIncarnation(t *testing.T) {
	reader := crand.Reader
	defer func() { crand.Reader = reader }()
	s := newSim(t, 1, 3)
	cutOff := uint64(0) // member that gets no messages
	var delayed *raftpb.Message
	until := func(what string, done func() bool) {
		t.Helper()
		for range 2000 {
			if done() {
				return
			}
			s.step++
			for _, m := range s.members {
				s.runMember(m)
			}
			for _, l := range s.inFlight {
				if l.msg.GetType() == raftpb.MsgReadIndexResp && delayed == nil {
					delayed = l.msg
				}
			}
			s.inFlight = slices.DeleteFunc(s.inFlight, func(l delayedMessage) bool { return l.msg.GetTo() == cutOff || l.msg == delayed })
			s.deliver()
		}
		t.Fatal("found no " + what)
	}
	var leader, follower *simMember
	until("leader that all know", func() bool {
		for _, m := range s.members {
			if m.m == nil || m.m.Leader() == 0 {
				return false
			}
			if m.m.IsLeader() {
				leader = m
			}
		}
		return leader != nil
	})
	follower = s.members[leader.id%3]
	follower.m.FollowerRead(func(err error) { t.Errorf("the read of before the restart has ended: %v", err) })
	until("answer to a read", func() bool { return delayed != nil })

	follower.m, follower.pendingReady = nil, nil
	until("follower that knows the leader again", func() bool { return follower.m != nil && follower.m.Leader() == leader.id })
	cutOff = follower.id
	agreed := false
	leader.m.Propose(Command{Kind: AcquireLease, Subject: "h1", Lease: testLease}, func(r Result, err error) { agreed = err == nil && r.Rejection == "" })
	until("holder of the lease", func() bool { return agreed })
	follower.m.FollowerRead(func(err error) {
		if err == nil && follower.m.State().Leases[testLease] == nil {
			t.Error("a read is confirmed without what was committed before it")
		}
	})
	if err := follower.m.Step(delayed); err != nil {
		t.Fatal(err)
	}
	if out, ok := follower.m.Ready(); ok {
		follower.store(out)
		if err := follower.m.Advance(); err != nil {
			t.Fatal(err)
		}
	}
}
