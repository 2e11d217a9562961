// Package plan decides for a supervisor of many instances: who starts when,
// who is restarted or reloaded next, when a roll pauses, and when an instance
// is given up. It does no I/O and has no clock: events come in with their times,
// actions go out.
package lifecycle

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Config are the rules of a fleet.
type Config struct {
	// StartInterval is the least time between two starts, so that what the instances ask
	// of discovery stays under its capacity.
	StartInterval time.Duration
	// ReadyTimeout is how long a process may take until it is ready.
	ReadyTimeout time.Duration
	// ShutdownTimeout is how long a process may take to end after SIGTERM, or an old
	// one after a hand-over, before it is killed.
	ShutdownTimeout time.Duration
	// MaxConcurrent is how many instances are rolled at a time.
	MaxConcurrent int
	// Handover restarts by a new process that takes the listener over.
	Handover bool
	// PauseAfterFailures failed rolls in a row a roll pauses by itself.
	PauseAfterFailures int
	// A crashed instance starts again after InitialBackoff, doubled with each
	// further crash up to MaxBackoff. CrashLoopCount within CrashLoopWindow are a crash
	// loop: the instance is given up until it is restarted by hand.
	InitialBackoff, MaxBackoff time.Duration
	CrashLoopCount             int
	CrashLoopWindow            time.Duration
}

// Phase is where an instance is.
type Phase int

// The phases.
const (
	Down         Phase = iota // no process; it starts when its turn comes
	Starting                  // a process runs and is not ready yet
	Ready                     // ready
	Reloading                 // told to reload, not ready again yet
	Handover                  // a new process runs beside the old one
	Draining                  // a new process is ready, the old one still answers what it took
	Terminating               // told to end
	CrashLooping              // crash loop
	Stopped                   // ended on command
)

var phaseNames = []string{"down", "starting", "up", "reloading", "handing over", "draining", "ending", "given up", "stopped"}

// String names the phase.
func (p Phase) String() string { return phaseNames[p] }

// ActionKind says what the caller is to do.
type ActionKind int

// The actions.
const (
	StartProcess     ActionKind = iota // start a process of Instance, of the new program if New
	TerminateProcess                   // send SIGTERM to its newest process
	ReloadProcess                      // send SIGHUP to its newest process
	KillProcess                        // send SIGKILL to process Proc
	Report                             // tell the operator Text
	CommitRelease                      // what was rolled out holds for all starts from now on
)

// Action is one thing to do.
type Action struct {
	Kind        ActionKind
	Instance    int
	Process     int
	FromRelease bool // of the program or configuration being rolled out
	Text        string
}

// proc is a process of an instance.
type proc struct {
	id    int
	isNew bool // of what is being rolled out
	due   time.Duration
	doing string // why it is to be killed at due; empty for no time limit
}

// instance is one instance.
type instance struct {
	phase   Phase
	procs   []proc // that run, oldest first; two during a hand-over
	isNew   bool   // its next start is of what is being rolled out
	after   time.Duration
	backoff time.Duration
	crashes []time.Duration
	again   bool // start anew when it has ended
}

// roll is a rolling restart or reload.
type roll struct {
	reload   bool
	replace  bool // brings a new program or configuration
	left     []int
	active   map[int]bool
	done     int
	failed   int
	inRow    int // failed since the last that went well
	paused   string
	back     bool // it is rolling back
	finished []int
}

// Controller is the state of a fleet. It belongs to one caller at a time.
type Controller struct {
	cfg      Config
	rng      *rand.Rand
	list     []instance
	lastAt   time.Duration // latest start
	started  bool
	stopping bool
	roll     *roll
	acts     []Action
	nextProc int
}

// FromRelease returns the plan of n instances, none of which runs. All chance comes
// from seed.
func New(cfg Config, n int, seed uint64) (*Controller, error) {
	switch {
	case n < 1:
		return nil, fmt.Errorf("plan: found %d instances, wanted 1 or more", n)
	case cfg.MaxConcurrent < 1:
		return nil, fmt.Errorf("plan: AtOnce: found %d, wanted 1 or more", cfg.MaxConcurrent)
	case cfg.ReadyTimeout <= 0 || cfg.ShutdownTimeout <= 0 || cfg.InitialBackoff <= 0 || cfg.MaxBackoff < cfg.InitialBackoff:
		return nil, fmt.Errorf("plan: ReadyWithin, EndWithin, BackoffFirst and BackoffMost must be above 0 and in order")
	case cfg.CrashLoopCount < 2 || cfg.CrashLoopWindow <= 0 || cfg.PauseAfterFailures < 1:
		return nil, fmt.Errorf("plan: LoopCrashes, LoopWithin and PauseAfter must be above 1, 0 and 0")
	}
	return &Controller{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0x666c656574)), list: make([]instance, n)}, nil
}

// Adopt takes over a process that runs already, from before the supervisor
// started, and that is ready. It returns the process's number.
func (p *Controller) Adopt(i int) int {
	in := &p.list[i]
	in.phase = Ready
	in.procs = append(in.procs, proc{id: p.number()})
	return in.procs[len(in.procs)-1].id
}

// AdoptTerminating takes over a process that runs already and does not serve: it is
// awaited, killed if that takes long, and another is started then.
func (p *Controller) AdoptTerminating(now time.Duration, i int) int {
	id := p.Adopt(i)
	in := &p.list[i]
	in.phase, in.again = Terminating, true
	in.procs[0].due, in.procs[0].doing = now+p.cfg.ShutdownTimeout, fmt.Sprintf("found running, not ready, and did not end within %v", p.cfg.ShutdownTimeout)
	return id
}

func (p *Controller) number() int { p.nextProc++; return p.nextProc }

func (p *Controller) act(a Action) { p.acts = append(p.acts, a) }

func (p *Controller) say(i int, format string, args ...any) {
	p.act(Action{Kind: Report, Instance: i, Text: fmt.Sprintf(format, args...)})
}

// done returns the actions.
func (p *Controller) done() []Action {
	acts := p.acts
	p.acts = nil
	return acts
}

// Phase returns where an instance is and how many processes it has.
func (p *Controller) Phase(i int) (Phase, int) { return p.list[i].phase, len(p.list[i].procs) }

// Tick does what is due by now. Next says when to call it again.
func (p *Controller) Tick(now time.Duration) []Action {
	p.expire(now)
	p.startDue(now)
	p.advance(now)
	return p.done()
}

// Decide returns when Tick has something to do at the latest.
func (p *Controller) NextTick(now time.Duration) time.Duration {
	next := now + time.Second
	if p.UpdateInProgress() && len(p.roll.left) > 0 && p.lastAt+p.cfg.StartInterval > now {
		next = min(next, p.lastAt+p.cfg.StartInterval)
	}
	for i := range p.list {
		in := &p.list[i]
		if in.phase == Down && !p.stopping {
			next = min(next, max(in.after, p.lastAt+p.cfg.StartInterval, now+time.Millisecond))
		}
		for _, q := range in.procs {
			if q.doing != "" {
				next = min(next, max(q.due, now+time.Millisecond))
			}
		}
	}
	return next
}

// expire kills the processes whose time is up.
// Unresponsive takes down that the process id of an instance has not answered for so long
// that nobody is served by it: it is killed, and followed by another as after a
// crash. Only one that was up by itself counts: what starts, reloads, drains or
// ends has time limits of its own.
func (p *Controller) Unresponsive(now time.Duration, i, id int, span time.Duration) []Action {
	in := &p.list[i]
	if in.phase == Ready && len(in.procs) == 1 && in.procs[0].id == id {
		p.say(i, "process has not answered for %v: killed", span)
		p.act(Action{Kind: KillProcess, Instance: i, Process: id})
	}
	return p.done()
}

// Suspended makes all time limits longer: the caller itself stood still for d, as one
// that was stopped or whose machine slept, and has not seen what its processes
// did meanwhile. What is known at once when it wakes is that it is late, not that
// they are.
func (p *Controller) Suspended(d time.Duration) {
	for i := range p.list {
		for k := range p.list[i].procs {
			p.list[i].procs[k].due += d
		}
	}
}

func (p *Controller) expire(now time.Duration) {
	for i := range p.list {
		in := &p.list[i]
		for k := range in.procs {
			q := &in.procs[k]
			if q.doing == "" || q.due > now {
				continue
			}
			why := q.doing
			q.doing = ""
			if in.phase == Reloading {
				// It runs, and holds what its clients asked: it is left alone.
				p.say(i, "%s: left as it is", why)
				in.phase = Ready
				p.rolled(now, i, false)
				continue
			}
			p.say(i, "%s: killed", why)
			p.act(Action{Kind: KillProcess, Instance: i, Process: q.id})
		}
	}
}

// startDue starts those that are down, the longest due first, at least Gap
// apart.
func (p *Controller) startDue(now time.Duration) {
	if p.stopping {
		return
	}
	for {
		if p.started && now < p.lastAt+p.cfg.StartInterval {
			return
		}
		due := -1
		for i := range p.list {
			in := &p.list[i]
			if in.phase == Down && in.after <= now && (due < 0 || in.after < p.list[due].after) {
				due = i
			}
		}
		if due < 0 {
			return
		}
		p.start(due, now, Starting)
	}
}

// start starts a process of an instance.
func (p *Controller) start(i int, now time.Duration, phase Phase) {
	in := &p.list[i]
	p.started, p.lastAt = true, now
	in.phase = phase
	q := proc{id: p.number(), isNew: in.isNew, due: now + p.cfg.ReadyTimeout, doing: fmt.Sprintf("not ready within %v", p.cfg.ReadyTimeout)}
	in.procs = append(in.procs, q)
	p.act(Action{Kind: StartProcess, Instance: i, Process: q.id, FromRelease: q.isNew})
}

// ProcessReady takes the news that the newest process of an instance is ready.
func (p *Controller) ProcessReady(now time.Duration, i, id int) []Action {
	in := &p.list[i]
	if k := in.find(id); k < 0 || k != len(in.procs)-1 {
		return p.done()
	}
	last := &in.procs[len(in.procs)-1]
	switch in.phase {
	case Starting, Reloading:
		last.doing = ""
		in.phase = Ready
		p.rolled(now, i, true)
	case Handover:
		last.doing = ""
		in.phase = Ready
		if len(in.procs) > 1 {
			in.phase = Draining
			old := &in.procs[0]
			old.due, old.doing = now+p.cfg.ShutdownTimeout, fmt.Sprintf("did not end its drain within %v", p.cfg.ShutdownTimeout)
		} else {
			p.rolled(now, i, true)
		}
	}
	p.advance(now)
	return p.done()
}

// ReloadFailed takes the news that an instance has not taken its reload: it runs on
// as before.
func (p *Controller) ReloadFailed(now time.Duration, i, id int) []Action {
	in := &p.list[i]
	if in.phase == Reloading && in.find(id) >= 0 {
		in.procs[len(in.procs)-1].doing = ""
		in.phase = Ready
		p.say(i, "did not take the reload")
		p.rolled(now, i, false)
		p.advance(now)
	}
	return p.done()
}

func (in *instance) find(id int) int {
	return slices.IndexFunc(in.procs, func(q proc) bool { return q.id == id })
}

// ProcessExited takes the end of a process; clean tells whether its exit code was 0.
func (p *Controller) ProcessExited(now time.Duration, i, id int, clean bool) []Action {
	in := &p.list[i]
	k := in.find(id)
	if k < 0 {
		return p.done()
	}
	newest := k == len(in.procs)-1
	in.procs = slices.Delete(in.procs, k, k+1)
	switch {
	case in.phase == Terminating && len(in.procs) == 0:
		p.ended(now, i)
	case in.phase == Terminating:
	case !newest:
		// The old one of a hand-over: all is answered.
		if in.phase == Draining {
			in.phase = Ready
			p.rolled(now, i, true)
		}
	case len(in.procs) > 0:
		// The new one of a hand-over ended: the old one goes on, or comes back.
		in.procs[len(in.procs)-1].doing = ""
		in.phase = Ready
		p.say(i, "the new process ended during the hand-over; the old one goes on")
		p.rolled(now, i, false)
	default:
		p.crashed(now, i, clean)
	}
	p.advance(now)
	return p.done()
}

// ended takes the end that was asked for.
func (p *Controller) ended(now time.Duration, i int) {
	in := &p.list[i]
	if p.stopping || !in.again {
		in.phase = Stopped
		return
	}
	in.again, in.phase, in.after = false, Down, now
	p.startDue(now)
}

// crashed takes an end that was not asked for.
func (p *Controller) crashed(now time.Duration, i int, clean bool) {
	in := &p.list[i]
	wasStarting := in.phase == Starting
	in.phase = Down
	if p.stopping {
		in.phase = Stopped
		return
	}
	in.crashes = append(in.crashes, now)
	for len(in.crashes) > 0 && now-in.crashes[0] > p.cfg.CrashLoopWindow {
		in.crashes = in.crashes[1:]
	}
	if len(in.crashes) == 1 {
		in.backoff = 0
	}
	in.backoff = min(p.cfg.MaxBackoff, max(p.cfg.InitialBackoff, 2*in.backoff))
	in.after = now + in.backoff
	how := "crashed"
	if clean {
		how = "ended by itself"
	} else if wasStarting {
		how = "ended before it was ready"
	}
	if len(in.crashes) >= p.cfg.CrashLoopCount {
		in.phase = CrashLooping
		p.say(i, "%s %d times within %v: a crash loop, given up until it is restarted", how, len(in.crashes), p.cfg.CrashLoopWindow)
	} else {
		p.say(i, "%s; starts again in %v", how, in.backoff)
	}
	p.rolled(now, i, false)
}

// RollingRestart begins a rolling restart of those given (all, if none are).
// replace says that it brings a new program or configuration, to which the old
// one is there to go back to.
func (p *Controller) RollingRestart(now time.Duration, which []int, replace bool) ([]Action, error) {
	return p.begin(now, which, &roll{replace: replace})
}

// RollingReload begins a rolling reload.
func (p *Controller) RollingReload(now time.Duration, which []int, replace bool) ([]Action, error) {
	return p.begin(now, which, &roll{reload: true, replace: replace})
}

func (p *Controller) begin(now time.Duration, which []int, r *roll) ([]Action, error) {
	if p.stopping {
		return nil, fmt.Errorf("the fleet is stopping")
	}
	if p.roll != nil && p.roll.paused == "" {
		return nil, fmt.Errorf("another roll is under way: %s", p.UpdateStatus())
	}
	if len(which) == 0 {
		for i := range p.list {
			which = append(which, i)
		}
	}
	r.left, r.active = slices.Clone(which), map[int]bool{}
	p.rng.Shuffle(len(r.left), func(a, b int) { r.left[a], r.left[b] = r.left[b], r.left[a] })
	p.roll = r
	for _, i := range r.left {
		p.list[i].isNew = false
	}
	p.advance(now)
	return p.done(), nil
}

// advance takes the next instances of a roll, and none while those before are
// not ready, a drain is still going on, or it is paused.
func (p *Controller) advance(now time.Duration) {
	r := p.roll
	if r == nil || p.stopping || r.paused != "" {
		return
	}
	for len(r.left) > 0 && len(r.active) < p.cfg.MaxConcurrent {
		at := slices.IndexFunc(r.left, func(i int) bool { return p.list[i].idle() })
		if at < 0 || !r.reload && p.started && now < p.lastAt+p.cfg.StartInterval {
			return
		}
		i := r.left[at]
		r.left = slices.Delete(r.left, at, at+1)
		r.active[i] = true
		p.turn(now, i)
	}
	if len(r.left) == 0 && len(r.active) == 0 {
		p.finish()
	}
}

// idle tells whether an instance may be rolled: not one that starts, reloads or
// drains.
func (in *instance) idle() bool {
	return in.phase == Ready || in.phase == CrashLooping || in.phase == Down || in.phase == Stopped
}

// turn restarts or reloads one instance.
func (p *Controller) turn(now time.Duration, i int) {
	in, r := &p.list[i], p.roll
	in.isNew = r.replace && !r.back
	switch {
	case in.phase != Ready:
		in.phase, in.after, in.crashes, in.backoff = Down, now, nil, 0
		p.startDue(now)
	case r.reload:
		in.phase = Reloading
		last := &in.procs[len(in.procs)-1]
		last.due, last.doing = now+p.cfg.ReadyTimeout, fmt.Sprintf("not ready again within %v of SIGHUP", p.cfg.ReadyTimeout)
		p.act(Action{Kind: ReloadProcess, Instance: i, Process: last.id, FromRelease: in.isNew})
	case p.cfg.Handover:
		p.start(i, now, Handover)
	default:
		in.again = true
		p.end(i, now)
	}
}

// end tells the newest process of an instance to end.
func (p *Controller) end(i int, now time.Duration) {
	in := &p.list[i]
	in.phase = Terminating
	for k := range in.procs {
		q := &in.procs[k]
		q.due, q.doing = now+p.cfg.ShutdownTimeout, fmt.Sprintf("did not end within %v of SIGTERM", p.cfg.ShutdownTimeout)
		p.act(Action{Kind: TerminateProcess, Instance: i, Process: q.id})
	}
}

// rolled takes the end of an instance's turn in a roll.
func (p *Controller) rolled(now time.Duration, i int, well bool) {
	r := p.roll
	if r == nil || !r.active[i] {
		return
	}
	delete(r.active, i)
	if well {
		r.done++
		r.inRow = 0
		r.finished = append(r.finished, i)
		return
	}
	r.failed++
	r.inRow++
	p.list[i].isNew = false // its next start is of the old one
	if r.back || r.inRow < p.cfg.PauseAfterFailures {
		return
	}
	if !r.replace {
		r.paused = fmt.Sprintf("%d in a row did not become ready", r.inRow)
		p.say(i, "the roll is paused: %s", r.paused)
		return
	}
	// The old one is there: those that have the new one go back.
	p.say(i, "%d in a row did not become ready: rolled back", r.inRow)
	r.back, r.left, r.finished = true, r.finished, nil
}

// finish ends a roll.
func (p *Controller) finish() {
	r := p.roll
	p.roll = nil
	word := "roll done"
	if r.back {
		word = "rolled back"
	} else if r.replace && r.failed == 0 {
		p.act(Action{Kind: CommitRelease})
	}
	for i := range p.list {
		p.list[i].isNew = false
	}
	p.say(-1, "%s: %d went well, %d did not", word, r.done, r.failed)
}

// Resume goes on with a roll that has paused.
func (p *Controller) Resume(now time.Duration) ([]Action, error) {
	if p.roll == nil || p.roll.paused == "" {
		return nil, fmt.Errorf("no roll is paused")
	}
	p.roll.paused, p.roll.inRow = "", 0
	p.advance(now)
	return p.done(), nil
}

// Cancel ends a roll; instances in their turn finish it.
func (p *Controller) Cancel() ([]Action, error) {
	if p.roll == nil {
		return nil, fmt.Errorf("no roll is under way")
	}
	p.say(-1, "the roll was cancelled: %s", p.UpdateStatus())
	p.roll = nil
	return p.done(), nil
}

// StopAll ends all instances. No roll goes on.
func (p *Controller) StopAll(now time.Duration) []Action {
	p.stopping, p.roll = true, nil
	for i := range p.list {
		if len(p.list[i].procs) > 0 {
			p.end(i, now)
		} else {
			p.list[i].phase = Stopped
		}
	}
	return p.done()
}

// AllStopped tells whether no process is left after StopAll.
func (p *Controller) AllStopped() bool {
	return p.stopping && !slices.ContainsFunc(p.list, func(in instance) bool { return len(in.procs) > 0 })
}

// LocalUpdate tells whether a roll is under way, and not paused.
func (p *Controller) UpdateInProgress() bool { return p.roll != nil && p.roll.paused == "" }

// UpdateStatus words the roll under way; empty if there is none.
func (p *Controller) UpdateStatus() string {
	r := p.roll
	if r == nil {
		return ""
	}
	word := "restart"
	if r.reload {
		word = "reload"
	}
	if r.back {
		word += ", rolling back"
	}
	if r.paused != "" {
		word += ", paused (" + r.paused + ")"
	}
	return fmt.Sprintf("%s: %d done, %d failed, %d under way, %d left", word, r.done, r.failed, len(r.active), len(r.left))
}
