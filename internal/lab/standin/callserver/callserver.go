// Package callserver is a stand-in for a call server, modelled on the protocol specification.
// A server has cores with a speed, execution slots, a request queue, a connection limit, idle
// timeouts, a cost of each handshake, and a key cache that makes requests for recent keys
// cheaper. After a restart it is cold, and it warms up with the work that it does. Servers
// belong to pods, which deduplicate idempotency keys.
//
// A server reports arrivals and executions to the invariant checker. It has faults that a test
// can enable. Work is simulated with timers and uses no CPU time.
package callserver

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"otterspring/internal/lab/invariant"
	"otterspring/internal/lab/standin/dedup"
)

// Class describes a class of requests.
type Class struct {
	Name     string
	Effect   invariant.Effect
	MeanWork time.Duration // on a core of speed 1
}

// Config describes one call server. Zero values of Cores, Slots, Queue, MaxConns, Speed,
// IdleTimeout, ColdCapacity, OverloadWindow and Listen select the defaults of a typical site.
type Config struct {
	Name                 string
	Zone                 string
	Group                int // number of the pod
	Listen               string
	Cores                int
	Speed                float64       // speed of a core
	Slots                int           // concurrent requests per core
	Queue                int           // maximum number of queued requests
	MaxConns             int           // maximum number of open connections
	IdleTimeout          time.Duration // idle connections are closed after this time
	HandshakeWork        time.Duration // work added to the first request of a connection
	ColdCapacity         float64       // share of the full capacity after a restart; 0 or 1 for no cold start
	WarmUpWork           time.Duration // work, on a core of speed 1, after which the server is warm
	WarmUpTime           time.Duration // time after which the server is warm regardless of work done; 0 for no limit
	OverloadRatio        float64       // a cold server fails if the load exceeds its capacity by this factor; 0 for never
	OverloadWindow       time.Duration // period over which the load is measured
	KeyCacheTTL          time.Duration // a request whose key was seen within this time costs less
	KeyCacheSavings      float64       // share of the work saved by a cached key
	ErrorsAfter          time.Duration // a request that takes longer is executed but answered with 500; 0 for never
	ContinueOnDisconnect bool          // execution continues after the connection has closed
	Classes              []Class
	CoAP                 bool // serve CoAP over UDP instead of HTTP
	Echo                 bool // require an Echo value issued since the latest start for unsafe requests (RFC 9175)
}

func (c *Config) defaults() {
	set := func(p *int, v int) {
		if *p == 0 {
			*p = v
		}
	}
	set(&c.Cores, 2)
	set(&c.Slots, 1)
	set(&c.Queue, 400)
	set(&c.MaxConns, 450)
	if c.Speed == 0 {
		c.Speed = 1
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = 5 * time.Second
	}
	if c.ColdCapacity == 0 {
		c.ColdCapacity = 1
	}
	if c.OverloadWindow == 0 {
		c.OverloadWindow = 3 * time.Second
	}
	if c.Listen == "" {
		c.Listen = "127.0.0.1:0"
	}
}

// Pod is a group of call servers that share a record of executed idempotency keys.
type Pod struct {
	Name string

	mu     sync.Mutex
	memory *dedup.Memory
}

// NewPod returns a pod whose servers drop duplicates that arrive within window.
func NewPod(name string, window time.Duration) *Pod {
	return &Pod{Name: name, memory: dedup.New(window)}
}

// execute reports whether a request with an idempotency key, which is dequeued now, is to be
// executed.
func (p *Pod) execute(key string, arrived, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.memory.Execute(key, arrived, now)
}

// job is a queued or running request.
type job struct {
	id, key, idem string
	class         *Class
	arrived       time.Duration // when the kernel received its last byte
	work          time.Duration // work on a core of speed 1
	done          chan struct{} // closed when the work is done
	timer         *time.Timer
	state         int
	startedAt     time.Time
}

const (
	jobQueued = iota
	jobRunning
	jobDone
)

// Server is a running call server.
type Server struct {
	cfg     Config
	pod     *Pod
	log     *invariant.Checker
	classes map[string]*Class

	mu            sync.Mutex
	rng           *rand.Rand
	ln            *net.TCPListener
	addr          string
	incarnation   int   // number of starts
	since         int64 // start time of the latest start in Unix milliseconds; 0 for the first start
	conns         map[*serverConn]bool
	running       int
	queue         []*job
	workDone      float64 // seconds of work done since the latest start
	cold          bool    // the latest start was a cold one
	recentLoad    []load  // load received within the overload window, while cold
	overloaded    bool    // failed under overload; rejects requests until the next restart
	fault         Fault
	draining      bool
	keyCache      map[string]time.Time // when each key was last seen
	fill          []net.Conn           // connections that fill the accept queue while the server is isolated
	coap          *coapListener        // nil over HTTP
	acceptStopped chan struct{}        // closed once the accept loop has stopped accepting; nil if Isolate is not waiting
	stopped       bool
	wg            sync.WaitGroup
	connSecond    int64 // Unix second of the latest connection
	connsInSecond int   // connections accepted in that second
	counts        Counts
}

// load is the work of one request and the time of its arrival.
type load struct {
	at   time.Time
	work float64
}

// Counts are the counters of a server, over all its restarts.
type Counts struct {
	Conns, PeakConns                                      int // accepted connections, and largest number open at a time
	PeakConnRate                                          int // largest number of connections accepted within one second
	Requests, Rejected, Executed, Deduplicated, Cancelled int
}

// Start starts a call server in the warm state. All random choices derive from seed.
func Start(cfg Config, pod *Pod, log *invariant.Checker, seed uint64) (*Server, error) {
	cfg.defaults()
	s := &Server{
		cfg: cfg, pod: pod, log: log, classes: map[string]*Class{},
		rng: rand.New(rand.NewPCG(seed, 1)), conns: map[*serverConn]bool{}, keyCache: map[string]time.Time{},
	}
	for i := range cfg.Classes {
		s.classes[cfg.Classes[i].Name] = &s.cfg.Classes[i]
	}
	if err := s.listen(cfg.Listen); err != nil {
		return nil, err
	}
	s.incarnation = 1
	log.EndpointChanged(cfg.Name, s.incarnation, false, log.Now())
	return s, nil
}

// listen opens a listener at addr and starts to accept connections.
func (s *Server) listen(addr string) error {
	if s.cfg.CoAP {
		return s.listenCoAP(addr)
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("call server %s: %w", s.cfg.Name, err)
	}
	s.mu.Lock()
	s.ln = ln.(*net.TCPListener)
	s.addr = ln.Addr().String()
	s.mu.Unlock()
	s.wg.Add(1)
	go s.accept(s.ln)
	return nil
}

// Name returns the server's name in the endpoint list.
func (s *Server) Name() string { return s.cfg.Name }

// Group returns the number of the server's pod.
func (s *Server) Group() int { return s.cfg.Group }

// Zone returns the name of the zone in which the server runs.
func (s *Server) Zone() string { return s.cfg.Zone }

// Addr returns the address on which the server has listened since its latest start.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Incarnation returns the number of starts, from 1, and the time of the latest start in Unix
// milliseconds. The time is 0 for the first start.
func (s *Server) Incarnation() (incarnation int, since int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation, s.since
}

// Counts returns the counters so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// OpenConns returns the number of open connections.
func (s *Server) OpenConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Drain makes the server reject new requests, as a draining server does; accepted requests
// are completed.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
}

// Crash simulates a crash of the process: connections are reset, new ones are refused and
// running requests stop.
func (s *Server) Crash() {
	s.mu.Lock()
	ln := s.ln
	s.mu.Unlock()
	if ln != nil {
		ln.Close()
	}
	s.releaseBacklog()
	s.crashCoAP()
	s.dropAll()
}

// Restart simulates a new process in the cold state at addr; an empty addr selects the present
// address. The start time of the new process is always later than the previous start time.
func (s *Server) Restart(addr string) error {
	if addr == "" {
		addr = s.Addr()
	}
	s.Crash()
	s.mu.Lock()
	s.incarnation++
	s.since = max(time.Now().UnixMilli(), s.since+1)
	s.workDone, s.cold, s.overloaded, s.draining, s.fault = 0, true, false, false, Fault{}
	s.recentLoad, s.keyCache = nil, map[string]time.Time{}
	incarnation := s.incarnation
	s.mu.Unlock()
	s.log.EndpointChanged(s.cfg.Name, incarnation, false, s.log.Now())
	return s.listen(addr)
}

// Close stops the server and waits until all its goroutines have ended.
func (s *Server) Close() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.Crash()
	s.wg.Wait()
}

// ResetConns resets every connection, which stops the requests running on them, and keeps
// serving new ones.
func (s *Server) ResetConns() {
	s.mu.Lock()
	conns := make([]*serverConn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.reset()
	}
}

// countConn counts a new connection. The caller holds the mutex.
func (s *Server) countConn() {
	s.counts.Conns++
	s.counts.PeakConns = max(s.counts.PeakConns, len(s.conns))
	if at := time.Now().Unix(); at != s.connSecond {
		s.connSecond, s.connsInSecond = at, 0
	}
	s.connsInSecond++
	s.counts.PeakConnRate = max(s.counts.PeakConnRate, s.connsInSecond)
}

// dropAll resets every connection and discards all queued requests.
func (s *Server) dropAll() {
	s.mu.Lock()
	conns := make([]*serverConn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.queue = nil
	s.mu.Unlock()
	for _, c := range conns {
		c.reset()
	}
}

// capacity returns the present share of the full capacity. The caller holds the mutex.
func (s *Server) capacity() float64 {
	if !s.cold || s.cfg.ColdCapacity >= 1 || s.cfg.WarmUpWork <= 0 {
		return 1
	}
	warmedUp := s.workDone / s.cfg.WarmUpWork.Seconds()
	if s.cfg.WarmUpTime > 0 {
		warmedUp = max(warmedUp, float64(time.Now().UnixMilli()-s.since)/float64(s.cfg.WarmUpTime.Milliseconds()))
	}
	return min(1, s.cfg.ColdCapacity+(1-s.cfg.ColdCapacity)*warmedUp)
}

// fullCapacity returns the capacity when warm, in seconds of work per second.
func (s *Server) fullCapacity() float64 { return float64(s.cfg.Cores) * s.cfg.Speed }

// drawWork draws the work of a request. It is the mean of the request's class with a spread of
// 30 %, and is reduced if the key is cached.
func (s *Server) drawWork(c *Class, key string) time.Duration {
	w := float64(c.MeanWork) * (0.7 + 0.6*s.rng.Float64())
	if key != "" && s.cfg.KeyCacheTTL > 0 {
		now := time.Now()
		if t, ok := s.keyCache[key]; ok && now.Sub(t) < s.cfg.KeyCacheTTL {
			w *= 1 - s.cfg.KeyCacheSavings
		}
		if len(s.keyCache) > 2000 {
			clear(s.keyCache)
		}
		s.keyCache[key] = now
	}
	return time.Duration(w)
}

// submit queues a request. It returns nil if the queue is full or the server is draining or
// has failed under overload.
func (s *Server) submit(in incoming, handshake time.Duration) *job {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Requests++
	work := s.drawWork(in.class, in.key) + handshake
	share := s.capacity()
	s.log.AttemptArrived(invariant.Attempt{
		Server: s.cfg.Name, Incarnation: s.incarnation, RequestID: in.id, FirstByteAt: in.first, CompletedAt: in.last,
		Work: work.Seconds(), Capacity: share * s.fullCapacity(), WarmCapacity: s.fullCapacity(),
	})
	s.checkOverload(work.Seconds(), share)
	if s.overloaded || s.draining || s.running >= s.cfg.Cores*s.cfg.Slots && len(s.queue) >= s.cfg.Queue {
		s.counts.Rejected++
		return nil
	}
	j := &job{id: in.id, key: in.key, idem: in.idem, class: in.class, arrived: in.last, work: work, done: make(chan struct{})}
	s.queue = append(s.queue, j)
	s.startNext()
	return j
}

// checkOverload records the load on a cold server and marks the server as overloaded when the
// load exceeds the limit. The caller holds the mutex.
func (s *Server) checkOverload(work, share float64) {
	if share >= 1 || s.cfg.OverloadRatio <= 0 {
		s.recentLoad = nil
		return
	}
	now := time.Now()
	s.recentLoad = append(s.recentLoad, load{now, work})
	sum, keep := 0.0, 0
	for i := range s.recentLoad {
		if now.Sub(s.recentLoad[i].at) > s.cfg.OverloadWindow {
			keep = i + 1
			continue
		}
		sum += s.recentLoad[i].work
	}
	s.recentLoad = s.recentLoad[keep:]
	if sum-work > s.cfg.OverloadRatio*share*s.fullCapacity()*s.cfg.OverloadWindow.Seconds() {
		s.overloaded = true
	}
}

// startNext starts queued requests while slots are free. The caller holds the mutex.
func (s *Server) startNext() {
	for len(s.queue) > 0 && s.running < s.cfg.Cores*s.cfg.Slots && !s.fault.Hang {
		j := s.queue[0]
		s.queue = s.queue[1:]
		s.begin(j)
	}
}

// begin starts to execute a request. The effect of the request counts as executed from now on.
// A duplicate of a key that the pod has executed costs a tenth of the work and has no effect.
func (s *Server) begin(j *job) {
	j.state = jobRunning
	j.startedAt = time.Now()
	s.running++
	if j.class.Effect == invariant.IdempotentWithKey && j.idem != "" && !s.pod.execute(j.idem, j.arrived, s.log.Now()) {
		s.counts.Deduplicated++
		j.work /= 10
	} else {
		s.counts.Executed++
		s.log.EffectExecuted(s.cfg.Name, s.pod.Name, j.id, s.log.Now())
	}
	slowdown := max(1, s.fault.Slowdown)
	// Requests share the cores when more are running than there are cores.
	contention := max(1, float64(s.running)/float64(s.cfg.Cores))
	duration := time.Duration(float64(j.work) / s.cfg.Speed / s.capacity() * slowdown * contention)
	j.timer = time.AfterFunc(duration, func() { s.finish(j) })
}

// finish completes a request.
func (s *Server) finish(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j.state != jobRunning {
		return
	}
	j.state = jobDone
	s.running--
	s.workDone += j.work.Seconds()
	close(j.done)
	s.startNext()
}

// cancel stops a request whose connection has closed or whose deadline has passed. It reports
// whether the request had not started. Such a request will never be executed.
func (s *Server) cancel(j *job) (notStarted bool) {
	if s.cfg.ContinueOnDisconnect {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch j.state {
	case jobQueued:
		for i, w := range s.queue {
			if w == j {
				s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
				break
			}
		}
		notStarted = true
	case jobRunning:
		j.timer.Stop()
		s.running--
	default:
		return false
	}
	j.state = jobDone
	s.counts.Cancelled++
	s.startNext()
	return notStarted
}
