package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"otterspring/internal/fleet/configuration"
	"otterspring/internal/sidecar/configclient"
)

// SimulatorCommand is the command-line argument on which a program that links this package calls
// RunSimulator.
const SimulatorCommand = "run-hollow"

// errNoSpec is the error of a first command without a specification.
var errNoSpec = errors.New("found no specification, wanted one")

const (
	// flushInterval is the time between two batches of reports. A report may wait this long for its
	// batch. The wait does not change the time At of the report, which is set before the wait.
	flushInterval = 20 * time.Millisecond
	// maxPendingBytes limits the size of the unwritten reports. Subscribers block while the reports
	// exceed this limit.
	maxPendingBytes = 4 << 20
)

// RunSimulator is the program of a process of simulated subscribers. It reads commands and writes
// reports until a command stops it or its input ends. The input also ends when the rig ends.
// RunSimulator returns the exit code.
func RunSimulator(in io.Reader, out, errOut io.Writer) int {
	// The failure of a relay would flood the log with a line from each of its subscribers.
	slog.SetDefault(slog.New(slog.DiscardHandler))
	s := &simulator{reports: newReporter(out)}
	defer s.reports.close()
	s.reports.add(Report{Kind: ReportReady, At: Now()})
	commands := json.NewDecoder(bufio.NewReader(in))
	var first Command
	err := commands.Decode(&first)
	if err == nil && first.Spec == nil {
		err = errNoSpec
	}
	if err != nil {
		if _, writeErr := fmt.Fprintf(errOut, "%s: first command: %v\n", SimulatorCommand, err); writeErr != nil {
			return 1 // the exit code reports the failure
		}
		return 1
	}
	s.createSubscribers(first.Spec)
	defer s.stopAll()
	s.reports.add(Report{Kind: ReportReady, At: Now()})
	defer s.countBytes()()
	for {
		var command Command
		if err := commands.Decode(&command); err != nil {
			return 0
		}
		s.execute(&command)
		if command.Stop {
			s.stopAll()
			s.reports.add(Report{Kind: ReportDone, At: Now()})
			return 0
		}
	}
}

// simulator is a process of simulated subscribers. One goroutine executes its commands.
type simulator struct {
	reports     *reporter
	spec        *SimulatorSpec
	rng         *rand.Rand
	subscribers []*simulatedSubscriber
	restarting  sync.WaitGroup // starts and restarts in progress
}

// simulatedSubscriber is one subscriber across all of its incarnations.
type simulatedSubscriber struct {
	number   uint32
	settings configclient.Settings
	services map[string]uint16
	reports  *reporter
	bytes    atomic.Int64 // bytes read and written since the last report

	mu      sync.Mutex // guards the following fields; held during a start or a stop
	stop    context.CancelFunc
	stopped chan struct{}
	closed  bool // the subscriber does not start again
}

// createSubscribers creates the subscribers of a specification.
func (s *simulator) createSubscribers(spec *SimulatorSpec) {
	s.spec = spec
	s.rng = rand.New(rand.NewPCG(spec.Seed, 0x686f6c6c6f77))
	for i, subscriberSpec := range spec.Subscribers {
		subscriber := &simulatedSubscriber{number: uint32(i), reports: s.reports, services: make(map[string]uint16, len(subscriberSpec.Services))}
		subscriber.settings = configclient.Settings{Region: spec.Region, Subscriber: subscriberSpec.Name, Dial: subscriber.dial}
		for _, relay := range subscriberSpec.Relays {
			subscriber.settings.Relays = append(subscriber.settings.Relays, spec.Relays[relay])
		}
		for _, service := range subscriberSpec.Services {
			name := spec.Services[service]
			subscriber.settings.Services = append(subscriber.settings.Services, name)
			subscriber.services[name] = uint16(service)
		}
		s.subscribers = append(s.subscribers, subscriber)
	}
}

// execute executes a command. A goroutine for each subscriber waits until its start is due.
func (s *simulator) execute(command *Command) {
	spread := time.Duration(command.WithinMS) * time.Millisecond
	for _, number := range append(command.Start, command.Restart...) {
		if number < 0 || number >= len(s.subscribers) {
			continue
		}
		delay, seed := time.Duration(s.rng.Float64()*float64(spread)), s.rng.Uint64()
		s.restarting.Go(func() {
			time.Sleep(delay)
			s.subscribers[number].restart(seed)
		})
	}
}

// stopAll stops all subscribers and prevents further starts.
func (s *simulator) stopAll() {
	var all sync.WaitGroup
	for _, subscriber := range s.subscribers {
		all.Go(subscriber.close)
	}
	all.Wait()
	s.restarting.Wait()
}

// restart stops the subscriber's client, if it runs, and starts a new client. The new client has no
// version of the configuration.
func (s *simulatedSubscriber) restart(seed uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopClient()
	if s.closed {
		return
	}
	settings := s.settings
	settings.Seed = seed
	s.reports.add(Report{Kind: ReportStarted, Subscriber: s.number, At: Now()})
	client := configclient.New(settings, s.apply)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	s.stop, s.stopped = cancel, stopped
	go func() {
		defer close(stopped)
		client.Run(ctx)
	}()
}

func (s *simulatedSubscriber) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopClient()
	s.closed = true
}

// stopClient stops the client, if it runs. The caller holds mu.
func (s *simulatedSubscriber) stopClient() {
	if s.stop == nil {
		return
	}
	s.stop()
	<-s.stopped
	s.stop = nil
	s.reports.add(Report{Kind: ReportStopped, Subscriber: s.number, At: Now()})
}

// apply reports the applied changes and rejects none.
func (s *simulatedSubscriber) apply(changes configuration.Changes, _ configuration.Version) []configuration.Rejection {
	now := Now()
	for _, resource := range changes.Updated {
		s.report(now, resource.Service, resource.Version)
	}
	for _, service := range changes.Removed {
		s.report(now, service, 0)
	}
	return nil
}

func (s *simulatedSubscriber) report(now time.Duration, service string, version configuration.Version) {
	number, subscribed := s.services[service]
	if !subscribed {
		number = NotSubscribed
	}
	s.reports.add(Report{Kind: ReportApplied, Subscriber: s.number, Service: number, Value: uint64(version), At: now})
}

// dial connects to a relay and counts the bytes of the connection.
func (s *simulatedSubscriber) dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, bytes: &s.bytes}, nil
}

// countingConn counts the bytes that it reads and writes.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// countBytes reports, once per second, the total traffic of all connections and the traffic of the
// subscriber with the most traffic. It returns a function that stops these reports.
func (s *simulator) countBytes() func() {
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		tick := time.NewTicker(time.Second)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			s.reportBytes()
		}
	}()
	return func() { close(stop); <-stopped }
}

func (s *simulator) reportBytes() {
	now, sum := Now(), int64(0)
	worst := Report{Kind: ReportMaxBytes, At: now}
	for _, subscriber := range s.subscribers {
		bytes := subscriber.bytes.Swap(0)
		sum += bytes
		if uint64(bytes) > worst.Value {
			worst.Value, worst.Subscriber = uint64(bytes), subscriber.number
		}
	}
	s.reports.add(Report{Kind: ReportBytes, Value: uint64(sum), At: now})
	s.reports.add(worst)
}

// reporter writes reports in batches. Its goroutine runs from newReporter to close. It is safe for
// concurrent use.
type reporter struct {
	out     io.Writer
	stopped chan struct{}

	mu      sync.Mutex
	notFull *sync.Cond // uses mu; signals that pending is not full, or that the reporter is closed
	pending []byte
	spare   []byte // buffer of the next batch
	closed  bool
}

func newReporter(out io.Writer) *reporter {
	r := &reporter{out: out, stopped: make(chan struct{})}
	r.notFull = sync.NewCond(&r.mu)
	go r.run()
	return r
}

// add adds a report. It blocks while more than maxPendingBytes are pending.
func (r *reporter) add(report Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.pending) > maxPendingBytes && !r.closed {
		r.notFull.Wait()
	}
	r.pending = report.Append(r.pending)
}

func (r *reporter) run() {
	defer close(r.stopped)
	for r.flush() {
		time.Sleep(flushInterval)
	}
}

// flush writes the pending reports. It returns false if the reporter is closed or a write fails.
func (r *reporter) flush() bool {
	r.mu.Lock()
	batch, closed := r.pending, r.closed
	r.pending, r.spare = r.spare[:0], nil
	r.notFull.Broadcast()
	r.mu.Unlock()
	var err error
	if len(batch) > 0 {
		_, err = r.out.Write(batch)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spare = batch[:0]
	if err != nil { // the rig has ended, so there are no more commands
		r.closed = true
		r.notFull.Broadcast()
		return false
	}
	return !closed
}

// close writes the pending reports and ends the goroutine.
func (r *reporter) close() {
	r.mu.Lock()
	r.closed = true
	r.notFull.Broadcast()
	r.mu.Unlock()
	<-r.stopped
}
