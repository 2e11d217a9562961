// Package server runs one member of a cluster: its file, clock, HTTP server and the
// connections to the other members. What the cluster agrees on is decided by package
// coordination. The operators' pages call the cluster a council.
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
	maxConnections    = 4096 // at a time
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	// maxEventBatch is how many events are handled before the results are stored.
	maxEventBatch = 256
	// promotionInterval is the time between attempts to make a learner a voter, in ticks.
	promotionInterval = 10
)

// StartMode says what a member starts from.
type StartMode int

const (
	// Resume starts from the member's file.
	Resume StartMode = iota
	// Bootstrap starts as one of the members of a new cluster.
	Bootstrap
	// Join starts as a member that was added to a cluster.
	Join
)

// Server is the process of one member.
//
// The goroutine of Run owns member, storage and all fields below it, without a lock.
// Other goroutines, one for each HTTP request, one for each other member (peer) and one
// for the start, run functions on it with execute. All end before Run returns.
type Server struct {
	config   *Config
	number   uint64
	cluster  string // identity: name and number
	log      *slog.Logger
	listener net.Listener
	http     http.Client // to other members
	events   chan func()
	stopped  chan struct{} // closed when Run ends
	tasks    sync.WaitGroup

	storage      *storage
	stored       coordination.PersistentState // until the member starts
	member       *coordination.Member         // nil until a majority has confirmed what is stored
	startError   error                        // the member must not start
	peers        map[uint64]*peer
	acknowledged map[uint64]logPosition // the newest of each other member that this one was sent
	position     logPosition            // of what this member has stored
	// positionsChangedAt is the tick of the first change of acknowledged that is not
	// stored; 0 for none.
	positionsChangedAt uint64
	reports            map[string]hostReport
	ticks              uint64 // since the start
	promotedAt         uint64 // tick of the last attempt to promote a learner

	stateChanged       chan struct{} // closed when an entry is applied
	applied            uint64        // index that stateChanged was closed for
	configurationWatch configurationWatch
	wrongClusterCalls  int
}

// hostReport is what a host said of itself.
type hostReport struct {
	data       json.RawMessage
	receivedAt uint64 // tick
}

// Open reads a member's file and listens on its address. ctx bounds the search for a
// member of the cluster to join. Run has to be called after it.
func Open(ctx context.Context, config *Config, number uint64, mode StartMode, log *slog.Logger) (*Server, error) {
	address, known := config.memberAddresses()[number]
	if !known {
		return nil, config.errUnknownMember(number)
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

// prepareStorage creates the file of a member that is new.
func prepareStorage(ctx context.Context, config *Config, number uint64, mode StartMode) error {
	directory := config.memberDirectory(number)
	switch mode {
	case Bootstrap:
		cluster := config.bootstrapCluster()
		initial, err := coordination.BootstrapState(cluster, config.memberAddresses())
		if err != nil {
			return err
		}
		return createStorage(directory, cluster, number, initial)
	case Join:
		cluster, err := findCluster(ctx, config, number)
		if err != nil {
			return err
		}
		return createStorage(directory, cluster, number, coordination.PersistentState{})
	case Resume:
	}
	return nil
}

// Run is the member until ctx ends, which is no error, or until its disk fails or turns
// out to be older than what the member has acknowledged.
func (s *Server) Run(ctx context.Context) (err error) {
	// Goroutines end when the loop below has ended, not before.
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

// loop handles events and ticks until ctx ends or the member fails. tasksCtx is of the
// goroutines that it starts.
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

// runPendingEvents runs the events that wait already, so that all that they propose is
// stored in one write.
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

// execute runs f on the goroutine of Run and returns true after it; false if Run or ctx
// has ended.
func (s *Server) execute(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	select {
	case s.events <- func() { defer close(done); f() }:
		<-done // without a second select: Run has taken the event and runs it now
		return true
	case <-ctx.Done():
	case <-s.stopped:
	}
	return false
}

// tick advances the member's clock. ctx is of the goroutines that it starts.
func (s *Server) tick(ctx context.Context) {
	s.ticks++
	if s.member == nil {
		return
	}
	s.member.Tick()
	s.announcePosition(ctx)
	if learners := s.member.Learners(); s.member.IsLeader() && len(learners) > 0 && s.ticks > s.promotedAt+promotionInterval {
		s.promotedAt = s.ticks
		s.member.ChangeMembership(raftpb.ConfChangeAddNode, learners[0], "", nil) // rejected until it has caught up
	}
}

// processReady does what the member has ready: it stores, then sends, then applies. Then
// it wakes the long polls.
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
