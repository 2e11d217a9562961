package scale

import (
	"bufio"
	"context"
	"encoding/json"
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

// HollowWord is the word by which a program that links this package becomes a
// process of hollow subscribers.
const HollowWord = "run-hollow"

const (
	// flushEvery is how long a record may wait for others. Its moment is that of the
	// application.
	flushEvery = 20 * time.Millisecond
	// maxUnsent bounds the records that wait: with more, subscribers wait for the rig.
	maxUnsent = 4 << 20
)

// RunHollow is the program of a process of hollow subscribers. It reads orders and
// writes records until it is told to end or its input ends, as it does when the rig
// is gone. It returns the exit code.
func RunHollow(in io.Reader, out, errw io.Writer) int {
	// A line of a relay's failure from each of a thousand subscribers is no use here.
	slog.SetDefault(slog.New(slog.DiscardHandler))
	h := &hollow{reports: newReporter(out)}
	defer h.reports.close()
	h.reports.add(Report{Kind: ReportReady, At: Now()})
	orders := json.NewDecoder(bufio.NewReader(in))
	var first Order
	if err := orders.Decode(&first); err != nil || first.Spec == nil {
		fmt.Fprintf(errw, "%s: found no specification first (%v), wanted one\n", HollowWord, err)
		return 1
	}
	h.take(first.Spec)
	defer h.endAll()
	h.reports.add(Report{Kind: ReportReady, At: Now()})
	defer h.countBytes()()
	for {
		var order Order
		if err := orders.Decode(&order); err != nil {
			return 0
		}
		h.do(&order)
		if order.End {
			h.endAll()
			h.reports.add(Report{Kind: ReportDone, At: Now()})
			return 0
		}
	}
}

// hollow is a process of hollow subscribers. Its orders come from one goroutine.
type hollow struct {
	reports     *reporter
	spec        *HollowSpec
	rng         *rand.Rand
	subscribers []*hollowSubscriber
	changing    sync.WaitGroup // starts and restarts under way
}

// hollowSubscriber is one subscriber over all its incarnations.
type hollowSubscriber struct {
	number   uint32
	settings configclient.Settings
	services map[string]uint16
	reports  *reporter
	bytes    atomic.Int64 // both ways, since the last count

	mu    sync.Mutex // guards the following; held over a start or an end
	stop  context.CancelFunc
	ended chan struct{}
	over  bool // it is not started any more
}

// take makes the subscribers of a specification.
func (h *hollow) take(spec *HollowSpec) {
	h.spec = spec
	h.rng = rand.New(rand.NewPCG(spec.Seed, 0x686f6c6c6f77))
	for i, one := range spec.Subscribers {
		s := &hollowSubscriber{number: uint32(i), reports: h.reports, services: make(map[string]uint16, len(one.Services))}
		s.settings = configclient.Settings{Region: spec.Region, Subscriber: one.Name, Dial: s.dial}
		for _, relay := range one.Relays {
			s.settings.Relays = append(s.settings.Relays, spec.Relays[relay])
		}
		for _, service := range one.Services {
			name := spec.Services[service]
			s.settings.Services = append(s.settings.Services, name)
			s.services[name] = uint16(service)
		}
		h.subscribers = append(h.subscribers, s)
	}
}

// do carries out an order. Each subscriber that is named has a goroutine until its
// moment has come.
func (h *hollow) do(order *Order) {
	within := time.Duration(order.WithinMS) * time.Millisecond
	for _, number := range append(order.Start, order.Restart...) {
		if number < 0 || number >= len(h.subscribers) {
			continue
		}
		after, seed := time.Duration(h.rng.Float64()*float64(within)), h.rng.Uint64()
		h.changing.Go(func() {
			time.Sleep(after)
			h.subscribers[number].restart(seed)
		})
	}
}

// endAll ends all subscribers for good.
func (h *hollow) endAll() {
	var all sync.WaitGroup
	for _, s := range h.subscribers {
		all.Go(s.endForGood)
	}
	all.Wait()
	h.changing.Wait()
}

// restart ends the subscriber's client, where one runs, and starts another that
// holds nothing.
func (s *hollowSubscriber) restart(seed uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end()
	if s.over {
		return
	}
	settings := s.settings
	settings.Seed = seed
	s.reports.add(Report{Kind: ReportStart, Subscriber: s.number, At: Now()})
	client := configclient.New(settings, s.apply)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	s.stop, s.ended = cancel, ended
	go func() {
		defer close(ended)
		client.Run(ctx)
	}()
}

func (s *hollowSubscriber) endForGood() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end()
	s.over = true
}

// end ends the client that runs. The caller holds the mutex.
func (s *hollowSubscriber) end() {
	if s.stop == nil {
		return
	}
	s.stop()
	<-s.ended
	s.stop = nil
	s.reports.add(Report{Kind: ReportEnd, Subscriber: s.number, At: Now()})
}

// apply reports what is in force now.
func (s *hollowSubscriber) apply(taken configuration.Changes, _ configuration.Version) []configuration.Rejection {
	now := Now()
	for _, resource := range taken.Updated {
		s.report(now, resource.Service, resource.Version)
	}
	for _, service := range taken.Removed {
		s.report(now, service, 0)
	}
	return nil
}

func (s *hollowSubscriber) report(now time.Duration, service string, version configuration.Version) {
	number, subscribed := s.services[service]
	if !subscribed {
		number = NotSubscribed
	}
	s.reports.add(Report{Kind: ReportApplied, Subscriber: s.number, Service: number, Value: uint64(version), At: now})
}

// dial connects to a relay and counts what goes over the connection.
func (s *hollowSubscriber) dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, bytes: &s.bytes}, nil
}

// countedConn counts the bytes that are read and written.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// countBytes reports once a second what went over all connections, and the most of
// any subscriber. The function that it returns ends that.
func (h *hollow) countBytes() func() {
	end, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		tick := time.NewTicker(time.Second)
		defer tick.Stop()
		for {
			select {
			case <-end:
				return
			case <-tick.C:
			}
			h.reportBytes()
		}
	}()
	return func() { close(end); <-ended }
}

func (h *hollow) reportBytes() {
	now, sum := Now(), int64(0)
	worst := Report{Kind: ReportWorst, At: now}
	for _, s := range h.subscribers {
		bytes := s.bytes.Swap(0)
		sum += bytes
		if uint64(bytes) > worst.Value {
			worst.Value, worst.Subscriber = uint64(bytes), s.number
		}
	}
	h.reports.add(Report{Kind: ReportBytes, Value: uint64(sum), At: now})
	h.reports.add(worst)
}

// reporter writes records in batches, by a goroutine of its own.
type reporter struct {
	out   io.Writer
	ended chan struct{}

	mu      sync.Mutex
	room    *sync.Cond // of mu: there is room again, or it is closed
	pending []byte
	spare   []byte
	closed  bool
}

func newReporter(out io.Writer) *reporter {
	r := &reporter{out: out, ended: make(chan struct{})}
	r.room = sync.NewCond(&r.mu)
	go r.run()
	return r
}

// add takes a record; it waits while too many have not been written.
func (r *reporter) add(report Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.pending) > maxUnsent && !r.closed {
		r.room.Wait()
	}
	r.pending = report.Append(r.pending)
}

func (r *reporter) run() {
	defer close(r.ended)
	for r.flush() {
		time.Sleep(flushEvery)
	}
}

// flush writes what waits; false once it is closed and all is written.
func (r *reporter) flush() bool {
	r.mu.Lock()
	batch, closed := r.pending, r.closed
	r.pending, r.spare = r.spare[:0], nil
	r.room.Broadcast()
	r.mu.Unlock()
	var err error
	if len(batch) > 0 {
		_, err = r.out.Write(batch)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spare = batch[:0]
	if err != nil { // the rig is gone: the orders end, too
		r.closed = true
		r.room.Broadcast()
		return false
	}
	return !closed
}

// close writes what waits and ends the goroutine.
func (r *reporter) close() {
	r.mu.Lock()
	r.closed = true
	r.room.Broadcast()
	r.mu.Unlock()
	<-r.ended
}
