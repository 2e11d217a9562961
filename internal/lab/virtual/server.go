package virtual

import (
	"math/rand/v2"
	"time"

	"otterspring/internal/lab/experiment"
	"otterspring/internal/lab/invariant"
	"otterspring/internal/lab/standin/dedup"
)

// class is the server-side view of a request class.
type class struct {
	name     string
	effect   invariant.Effect
	meanWork time.Duration
}

// pod is a group of servers that share the deduplication of idempotency keys.
type pod struct {
	name   string
	memory *dedup.Memory
}

// job is a request that is queued or being processed at a server.
type job struct {
	id, affinityKey, idempotencyKey string
	class                           *class
	arrived                         time.Duration
	work                            time.Duration
	state                           int // jobQueued, jobRunning or jobDone
	onDone                          func()
}

const (
	jobQueued = iota
	jobRunning
	jobDone
)

// arrivedWork is the work of a request and its arrival time.
type arrivedWork struct {
	at   time.Duration
	work float64
}

// server is a simulated call server. It follows the model of the fake call server that runs on
// sockets, but its work takes virtual time.
type server struct {
	sim               *simulation
	index             int
	name              string
	zone              string
	pod               *pod
	cfg               *experiment.Server
	speed             float64
	rng               *rand.Rand
	incarnation       int           // number of starts and stops; each connection belongs to one incarnation
	address           int           // identifies the address; changes when the server moves
	startedAt         time.Duration // time of the latest cold start; 0 if the server started before the run
	running           bool          // the process runs
	unreachable       bool          // the host does not respond
	silentIncarnation int           // latest incarnation that became unreachable; see takeIdle
	draining          bool
	faultState        experiment.ServerState
	openConns         int
	maxConns          int // maximum of openConns, including connections beyond the cap
	connSecond        int // second of the latest connection
	connsInSecond     int // connections opened in connSecond
	peakConnsInSecond int // maximum of connsInSecond
	busySlots         int
	queue             []*job
	workDone          float64
	cold              bool
	recentWork        []arrivedWork
	overloaded        bool
	recentKeys        map[string]time.Duration
}

func newServer(sim *simulation, index int, seed uint64) *server {
	s := &server{
		sim: sim, index: index, name: "s" + itoa(index+1), zone: "z" + itoa(sim.spec.ServerZone(index)), cfg: &sim.spec.World.Server,
		rng: rand.New(rand.NewPCG(seed, 1)), recentKeys: map[string]time.Duration{}, faultState: experiment.ServerState{SlowFactor: 1},
	}
	s.speed = s.cfg.Speeds[index%len(s.cfg.Speeds)]
	return s
}

// start begins a new incarnation.
func (s *server) start(cold bool) {
	s.incarnation++
	s.running, s.unreachable, s.draining, s.overloaded, s.cold = true, false, false, false, cold
	s.workDone, s.recentWork, s.busySlots, s.queue, s.openConns = 0, nil, 0, nil, 0
	clear(s.recentKeys)
	if cold {
		s.startedAt = max(s.sim.loop.now, s.startedAt+time.Millisecond)
	}
	s.sim.checker.EndpointChanged(s.name, s.incarnation, false, s.sim.loop.now)
}

// stop ends the process and discards its jobs and connections.
func (s *server) stop() {
	s.running, s.unreachable = false, false
	for _, j := range s.queue {
		j.state = jobDone
	}
	s.incarnation++ // invalidates jobs and connections of the stopped process
	s.queue, s.busySlots, s.openConns = nil, 0, 0
}

// connOpened counts a new connection.
func (s *server) connOpened() {
	s.openConns++
	s.sim.counts.ConnectionsOpened++
	s.maxConns = max(s.maxConns, s.openConns)
	if second := int(s.sim.loop.now / time.Second); second != s.connSecond {
		s.connSecond, s.connsInSecond = second, 0
	}
	s.connsInSecond++
	s.peakConnsInSecond = max(s.peakConnsInSecond, s.connsInSecond)
}

// setFaultState replaces the active faults.
func (s *server) setFaultState(state experiment.ServerState) {
	s.faultState = state
	s.startQueued()
}

// capacityShare returns the share of the warm capacity that the server has now.
func (s *server) capacityShare() float64 {
	if !s.cold || s.cfg.ColdCapacity >= 1 || s.cfg.WarmUpWork <= 0 {
		return 1
	}
	// The server warms up with the work that it has done, or after WarmUpTime even without work.
	warmth := s.workDone / s.cfg.WarmUpWork.Seconds()
	if s.cfg.WarmUpTime > 0 {
		warmth = max(warmth, float64(s.sim.loop.now-s.startedAt)/float64(s.cfg.WarmUpTime))
	}
	return min(1, s.cfg.ColdCapacity+(1-s.cfg.ColdCapacity)*warmth)
}

// warmCapacity returns the work per second that the warm server can do.
func (s *server) warmCapacity() float64 { return float64(s.cfg.Cores) * s.speed }

// drawFault draws the fault that applies to the next request, or "" for none.
func (s *server) drawFault() string {
	for _, x := range s.faultState.RequestFaults {
		if x.Chance >= 1 || s.rng.Float64() < x.Chance {
			return x.Kind
		}
	}
	return ""
}

// drawWork draws the work of a request. A request with a recently used affinity key needs less work,
// as if the server had cached data for the key.
func (s *server) drawWork(c *class, affinityKey string) time.Duration {
	work := float64(c.meanWork) * (0.7 + 0.6*s.rng.Float64())
	if affinityKey != "" && s.cfg.KeyCacheTTL > 0 {
		now := s.sim.loop.now
		if t, ok := s.recentKeys[affinityKey]; ok && now-t < s.cfg.KeyCacheTTL {
			work *= 1 - s.cfg.KeyCacheSavings
		}
		if len(s.recentKeys) > 2000 {
			clear(s.recentKeys)
		}
		s.recentKeys[affinityKey] = now
	}
	return time.Duration(work)
}

// submit queues a request. It returns nil if the server rejects it.
func (s *server) submit(id, affinityKey, idempotencyKey string, c *class, firstByteAt, handshake time.Duration) *job {
	now := s.sim.loop.now
	work := s.drawWork(c, affinityKey) + handshake
	capacityShare := s.capacityShare()
	s.sim.checker.AttemptArrived(invariant.Attempt{
		Server: s.name, Incarnation: s.incarnation, RequestID: id, FirstByteAt: firstByteAt, CompletedAt: now,
		Work: work.Seconds(), Capacity: capacityShare * s.warmCapacity(), WarmCapacity: s.warmCapacity(),
	})
	s.checkOverload(work.Seconds(), capacityShare)
	if s.overloaded || s.draining || s.busySlots >= s.cfg.Cores*s.cfg.Slots && len(s.queue) >= s.cfg.Queue {
		return nil
	}
	j := &job{id: id, affinityKey: affinityKey, idempotencyKey: idempotencyKey, class: c, arrived: now, work: work}
	s.queue = append(s.queue, j)
	return j
}

// checkOverload marks a cold server as overloaded if it received too much work within
// OverloadWindow. The limit is OverloadRatio times the work that its current capacity allows in
// this time. The work of the current request does not count.
func (s *server) checkOverload(work, capacityShare float64) {
	if capacityShare >= 1 || s.cfg.OverloadRatio <= 0 {
		s.recentWork = nil
		return
	}
	now := s.sim.loop.now
	s.recentWork = append(s.recentWork, arrivedWork{now, work})
	sum, expired := 0.0, 0
	for i := range s.recentWork {
		if now-s.recentWork[i].at > s.cfg.OverloadWindow {
			expired = i + 1
			continue
		}
		sum += s.recentWork[i].work
	}
	s.recentWork = s.recentWork[expired:]
	if sum-work > s.cfg.OverloadRatio*capacityShare*s.warmCapacity()*s.cfg.OverloadWindow.Seconds() {
		s.overloaded = true
	}
}

// startQueued starts queued jobs while slots are free.
func (s *server) startQueued() {
	for len(s.queue) > 0 && s.busySlots < s.cfg.Cores*s.cfg.Slots && !s.faultState.Hang && s.running {
		j := s.queue[0]
		s.queue = s.queue[1:]
		s.beginJob(j)
	}
}

// beginJob starts a job and records its effect. A job whose idempotency key was already executed
// takes a tenth of the work and has no effect.
func (s *server) beginJob(j *job) {
	j.state = jobRunning
	s.busySlots++
	now := s.sim.loop.now
	if j.class.effect == invariant.IdempotentWithKey && j.idempotencyKey != "" && !s.pod.memory.Execute(j.idempotencyKey, j.arrived, now) {
		j.work /= 10
	} else {
		s.sim.checker.EffectExecuted(s.name, s.pod.name, j.id, now)
	}
	sharing := max(1, float64(s.busySlots)/float64(s.cfg.Cores))
	duration := time.Duration(float64(j.work) / s.speed / s.capacityShare() * max(1, s.faultState.SlowFactor) * sharing)
	incarnation := s.incarnation
	s.sim.loop.scheduleAfter(duration, func() {
		if s.incarnation != incarnation || j.state != jobRunning {
			return
		}
		j.state = jobDone
		s.busySlots--
		s.workDone += j.work.Seconds()
		j.onDone()
		s.startQueued()
	})
}

// cancel stops a job whose connection has ended.
func (s *server) cancel(j *job, incarnation int) {
	if s.incarnation != incarnation || j.state == jobDone || s.cfg.ContinueOnDisconnect {
		return
	}
	if j.state == jobRunning {
		s.busySlots--
	} else {
		for i, q := range s.queue {
			if q == j {
				s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
				break
			}
		}
	}
	j.state = jobDone
	s.startQueued()
}
