package supervisor

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"otterspring/internal/disk"
	"otterspring/internal/fleet/coordination"
	"otterspring/internal/fleet/coordination/client"
	"otterspring/internal/fleet/lifecycle"
	"otterspring/internal/unixsocket"
)

// Errors returned by New.
var (
	// ErrDirectoryInUse means that another supervisor has locked the fleet's directory.
	ErrDirectoryInUse = errors.New("another supervisor uses this directory")
	// ErrNotSocket means that a file other than a socket has the control socket's path.
	ErrNotSocket = errors.New("found a file that is not a socket, expected a free path")
)

// suspensionThreshold is the delay of the event loop above which the supervisor assumes
// that its own process was suspended.
const suspensionThreshold = 500 * time.Millisecond

// Supervisor runs the instances of one host. It is created by New; Run may be called
// once.
//
// The goroutine of Run owns the fields of the last group. Other goroutines access them
// only through enqueue.
type Supervisor struct {
	file            *File
	log             *slog.Logger // safe for any goroutine
	logHandler      slog.Handler // handler that log and events write to
	createdAt       time.Time    // origin of the times passed to the lifecycle
	directoryLock   *os.File     // locked until Run returns
	controlListener net.Listener
	requests        chan func(now time.Duration) []lifecycle.Action
	goroutines      sync.WaitGroup // all goroutines started by Run, directly or indirectly
	client          *client.Client // nil without a coordination cluster; set before any goroutine uses it
	endpoints       *endpointProxy // nil if the endpoint list is not relayed; set before any goroutine uses it
	leadingRollout  atomic.Bool    // whether a goroutine is acquiring or holds RolloutLease

	// Owned by the goroutine of Run.
	specs            []Spec
	lifecycle        *lifecycle.Controller
	processes        []map[int]*process // by instance and the lifecycle's process ID
	program          string             // executable of new processes
	pendingRelease   *release           // release that is being rolled out; nil if there is none
	expectedAt       time.Duration      // latest time at which this goroutine should run again
	events           *slog.Logger       // writes to logHandler and recent
	recent           *recentEvents
	fence            *coordination.Fence
	operations       map[int]string // operation that each instance was last restarted or reloaded for
	failedOperations map[int]string // last failed operation of each instance; removed once an operation succeeds
}

// New returns a supervisor of the instances of a fleet file, locks the fleet's directory
// and opens the control socket. It returns ErrDirectoryInUse if another supervisor holds
// the lock, and ErrNotSocket if a file other than a socket has the control socket's path.
// Events are written to log.
func New(file *File, log *slog.Logger) (*Supervisor, error) {
	specs, err := file.Specs()
	if err != nil {
		return nil, err
	}
	if err := disk.MkdirAll(file.Directory, 0o700); err != nil {
		return nil, err
	}
	recent := &recentEvents{}
	s := &Supervisor{
		file:             file,
		log:              slog.New(&eventHandler{next: log.Handler()}),
		logHandler:       log.Handler(),
		createdAt:        time.Now(),
		requests:         make(chan func(time.Duration) []lifecycle.Action),
		specs:            specs,
		processes:        make([]map[int]*process, len(specs)),
		program:          file.Program,
		events:           slog.New(&eventHandler{next: log.Handler(), recent: recent}),
		recent:           recent,
		fence:            coordination.NewFence(),
		operations:       map[int]string{},
		failedOperations: map[int]string{},
	}
	for i := range s.processes {
		s.processes[i] = map[int]*process{}
	}
	if s.lifecycle, err = lifecycle.New(file.lifecycleConfig(), len(specs), rand.Uint64()); err != nil {
		return nil, err
	}
	if s.directoryLock, err = lockDirectory(file.Directory); err != nil {
		return nil, err
	}
	if s.controlListener, err = listenControl(file.Control); err != nil {
		return nil, errors.Join(err, s.directoryLock.Close())
	}
	return s, nil
}

// lockDirectory acquires the lock that a supervisor holds while it runs.
func lockDirectory(directory string) (*os.File, error) {
	lock, err := disk.Open(filepath.Join(directory, "fleet.lock"), os.O_CREATE|os.O_RDWR|syscall.O_CLOEXEC, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", directory, ErrDirectoryInUse), lock.Close())
	}
	return lock, nil
}

// listenControl opens the control socket with mode 0600. It replaces the socket of a
// supervisor that has ended, but no other kind of file.
func listenControl(path string) (net.Listener, error) {
	if info, err := os.Lstat(path); err == nil {
		if info.Mode().Type() != os.ModeSocket {
			return nil, fmt.Errorf("%s: %w", path, ErrNotSocket)
		}
		// The directory is locked, so no running supervisor listens on this socket.
		if err := os.Remove(path); err != nil {
			return nil, err
		}
	}
	return unixsocket.Listen(path)
}

// Run supervises the instances until all of them have been stopped. They are stopped by the
// command "stop" or because ctx has ended. Run may be called once.
func (s *Supervisor) Run(ctx context.Context) error {
	defer func() {
		if err := s.directoryLock.Close(); err != nil {
			s.log.Warn("directory lock not closed", "error", err)
		}
	}()
	// The goroutines outlive ctx, since the instances are shut down gracefully after its end.
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer func() {
		cancel()
		s.controlListener.Close()
		s.goroutines.Wait()
	}()
	s.adoptAll(running)
	s.goroutines.Go(func() { s.serveControl(running) })
	if err := s.joinCoordination(running); err != nil {
		return err
	}
	if s.file.HealthCheck.Timeout > 0 {
		s.goroutines.Go(func() { s.monitorHeartbeats(running) })
	}
	s.expectedAt = s.now() // adoption has waited for health checks, which is not a suspension
	s.execute(running, s.lifecycle.Tick(s.readClock()))
	s.runEventLoop(running, ctx.Done())
	s.events.Info("all instances have ended")
	s.leaveCoordination(running)
	return nil
}

// runEventLoop handles events until all instances have ended. It stops the instances once
// the channel stop is closed.
func (s *Supervisor) runEventLoop(ctx context.Context, stop <-chan struct{}) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !s.lifecycle.AllStopped() {
		s.expectedAt = s.lifecycle.NextTick(s.readClock())
		timer.Reset(s.expectedAt - s.now())
		select {
		case <-stop:
			stop = nil
			s.events.Info("stopping")
			s.execute(ctx, s.lifecycle.StopAll(s.readClock()))
		case request := <-s.requests:
			s.execute(ctx, request(s.readClock()))
		case <-timer.C:
		}
		s.execute(ctx, s.lifecycle.Tick(s.readClock()))
		s.recordFailedOperation()
	}
}

// now returns the time since the supervisor was created.
func (s *Supervisor) now() time.Duration { return time.Since(s.createdAt) }

// readClock returns the time for a decision. If the event loop runs later than expected by
// more than suspensionThreshold, this process was suspended. Its child processes kept
// running, but the supervisor could not observe them. readClock therefore extends all
// deadlines before they are evaluated. Every decision reads its time here, since a
// suspension may occur between any two instructions.
func (s *Supervisor) readClock() time.Duration {
	now := s.now()
	if suspended := now - s.expectedAt; suspended > suspensionThreshold {
		s.events.Info("supervisor was suspended; deadlines extended", "duration", suspended.Round(10*time.Millisecond))
		s.lifecycle.ExtendDeadlines(suspended)
	}
	s.expectedAt = now
	return now
}

// enqueue passes a function to the event loop, which calls it and executes the actions
// that it returns. It blocks until the event loop accepts the function; if ctx ends first
// the function is not called.
func (s *Supervisor) enqueue(ctx context.Context, request func(now time.Duration) []lifecycle.Action) {
	select {
	case s.requests <- request:
	case <-ctx.Done():
	}
}
