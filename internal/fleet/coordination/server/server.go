// Package server runs one member of a cluster: its file, its clock, its HTTP server and the
// connections to the other members. The replicated state machine is in package
// coordination. The operators' documentation calls the cluster a council.
package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"otterspring/internal/faultinjection"
	"otterspring/internal/fleet/coordination"
	"otterspring/internal/fleet/coordination/client"
)

const (
	maxConnections    = 4096 // concurrent connections to the HTTP server
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	// maxEventBatch bounds the number of events that are handled before their results are
	// stored.
	maxEventBatch = 256
	// promotionInterval is the interval between attempts to promote a learner to a voter, in
	// ticks.
	promotionInterval = 10
)

// StartMode selects the state that a member starts from.
type StartMode int

const (
	// Resume starts from the member's existing file.
	Resume StartMode = iota
	// Bootstrap starts as an initial member of a new cluster.
	Bootstrap
	// Join starts as a member that was added to an existing cluster.
	Join
)

// Server is one member of a cluster.
//
// The Run goroutine owns the field storage and all fields below it, which therefore need no
// lock. There is one further goroutine for each HTTP request, one for each other member
// (runPeer) and one that starts the member. These goroutines use execute to run functions on
// the Run goroutine. Run waits for the goroutines in tasks before it returns.
type Server struct {
	config   *Config
	number   uint64
	cluster  string // cluster ID
	log      *slog.Logger
	listener net.Listener
	http     http.Client // for calls to other members
	events   chan func()
	stopped  chan struct{} // closed when Run ends
	tasks    sync.WaitGroup

	storage      *storage
	stored       coordination.PersistentState // state read from the file; dropped when the member starts
	member       *coordination.Member         // nil until a majority has confirmed the stored position
	startError   error                        // set if the member must not start
	peers        map[uint64]*peer
	acknowledged map[uint64]logPosition // newest position received from each other member
	position     logPosition            // position of this member's stored state
	// positionsChangedAt is the tick of the earliest change of the map acknowledged that is
	// not stored yet. It is 0 if all changes are stored.
	positionsChangedAt uint64
	reports            map[string]hostReport
	ticks              uint64 // number of ticks since the start
	promotedAt         uint64 // tick of the last attempt to promote a learner

	stateChanged       chan struct{} // closed when an entry is applied
	applied            uint64        // applied index when stateChanged was last closed
	configurationWatch configurationWatch
	wrongClusterCalls  int
}

// hostReport is the latest report that a host has sent.
type hostReport struct {
	data       json.RawMessage
	receivedAt uint64 // tick at which the report was received
}

// Open opens a member's file and listens on the member's address. In the modes Bootstrap and
// Join, it creates the file first. In the mode Join, it asks the other members for the
// cluster's ID before that, and fails if none of them responds before ctx ends. The caller
// has to call Run afterwards, because Run closes the file and the listener.
func Open(ctx context.Context, config *Config, number uint64, mode StartMode, log *slog.Logger) (*Server, error) {
	address, known := config.memberAddresses()[number]
	if !known {
		return nil, config.unknownMemberError(number)
	}
	directory := config.memberDirectory(number)
	if err := prepareStorage(ctx, config, number, mode); err != nil {
		return nil, err
	}
	opened, stored, err := openStorage(directory, config.Name, number)
	if errors.Is(err, errNoState) {
		return nil, fmt.Errorf("%s: found no state, wanted member %d's: run -new starts a cluster, and a member whose disk was replaced is a new one (members remove, members add, run -join)", directory, number)
	}
	if err != nil {
		return nil, err
	}
	positions, err := opened.readPositions()
	if err != nil {
		return nil, errors.Join(err, opened.db.Close())
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Join(err, opened.db.Close())
	}
	return &Server{
		config: config, number: number, cluster: opened.cluster, log: log, listener: listener,
		events: make(chan func()), stopped: make(chan struct{}),
		storage: opened, stored: stored,
		peers: map[uint64]*peer{}, acknowledged: positions, position: storedPosition(stored), reports: map[string]hostReport{},
		stateChanged: make(chan struct{}), configurationWatch: configurationWatch{changed: make(chan struct{})},
	}, nil
}

// prepareStorage creates the file of a new member. In mode Resume it does nothing.
func prepareStorage(ctx context.Context, config *Config, number uint64, mode StartMode) error {
	directory := config.memberDirectory(number)
	switch mode {
	case Bootstrap:
		cluster := config.bootstrapClusterID()
		initial, err := coordination.BootstrapState(cluster, config.memberAddresses())
		if err != nil {
			return err
		}
		return createStorage(directory, cluster, number, initial)
	case Join:
		cluster, err := findClusterID(ctx, config, number)
		if err != nil {
			return err
		}
		return createStorage(directory, cluster, number, coordination.PersistentState{})
	case Resume:
	}
	return nil
}

// Run runs the member until ctx ends and then returns nil. It returns an error if the disk
// fails, or if the member's file is older than a position that the member has sent to another
// member.
func (s *Server) Run(ctx context.Context) (err error) {
	// The goroutines must not end before the loop has ended. Their context therefore does not
	// end when ctx ends.
	tasksCtx, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	httpServer := &http.Server{
		Handler: s.handler(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		ErrorLog: slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
	}
	s.tasks.Go(func() {
		if err := httpServer.Serve(client.LimitListener(s.listener, maxConnections)); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("listener failed", "address", s.listener.Addr().String(), "error", err)
		}
	})
	defer func() {
		stopTasks()
		close(s.stopped)
		httpServer.Close()
		s.tasks.Wait()
		s.http.CloseIdleConnections()
		err = errors.Join(err, s.storage.db.Close())
	}()
	s.log.Info("member started", "member", s.number, "cluster", s.cluster, "address", s.listener.Addr().String())
	s.tasks.Go(func() {
		s.startMember(tasksCtx)
		s.advertiseVersion(tasksCtx)
	})
	return s.loop(ctx, tasksCtx)
}

// loop handles events and ticks until ctx ends or the member fails. tasksCtx is the context
// of the goroutines that loop starts.
func (s *Server) loop(ctx, tasksCtx context.Context) error {
	ticker := time.NewTicker(s.config.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-s.events:
			event()
			s.runPendingEvents()
		case <-ticker.C:
			s.tick(tasksCtx)
		}
		if err := errors.Join(s.startError, s.processReady(tasksCtx), s.savePositions()); err != nil {
			return fmt.Errorf("member %d failed: %w", s.number, err)
		}
	}
}

// runPendingEvents runs up to maxEventBatch events that are already waiting. The proposals
// made by these events are then stored in one write.
func (s *Server) runPendingEvents() {
	for range maxEventBatch {
		select {
		case event := <-s.events:
			event()
		default:
			return
		}
	}
}

// execute runs f on the Run goroutine, waits until f has returned, and returns true. It
// returns false if Run or ctx has ended before f was started.
func (s *Server) execute(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	select {
	case s.events <- func() { defer close(done); f() }:
		<-done // needs no select, since Run completes every event that it has received
		return true
	case <-ctx.Done():
	case <-s.stopped:
	}
	return false
}

// tick advances the member's clock. ctx is the context of the goroutines that tick starts.
func (s *Server) tick(ctx context.Context) {
	s.ticks++
	if s.member == nil {
		return
	}
	s.member.Tick()
	s.announcePosition(ctx)
	if learners := s.member.Learners(); s.member.IsLeader() && len(learners) > 0 && s.ticks > s.promotedAt+promotionInterval {
		s.promotedAt = s.ticks
		s.member.ChangeMembership(raftpb.ConfChangeAddNode, learners[0], "", nil) // rejected until the learner has caught up
	}
}

// processReady carries out the work that the member has ready: it stores the new state, sends
// the messages and applies the committed entries. It repeats this until no work is ready.
// Finally it wakes the long polls if there are changes.
func (s *Server) processReady(ctx context.Context) error {
	if s.member == nil {
		return nil
	}
	for {
		ready, ok := s.member.Ready()
		if !ok {
			break
		}
		faultinjection.At("council-stores")
		if err := s.save(ready); err != nil {
			return err
		}
		faultinjection.At("council-stored")
		for _, message := range ready.Messages {
			s.send(ctx, message)
		}
		if err := s.member.Advance(); err != nil {
			return err
		}
	}
	if _, _, applied := s.member.Status(); applied != s.applied {
		s.applied = applied
		close(s.stateChanged)
		s.stateChanged = make(chan struct{})
	}
	s.configurationWatch.observe(s.member.State().ConfigurationStore().Version, s.member.Leader() != 0)
	return nil
}
