package lifecycle

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxTickInterval is the maximum time until the next Tick.
	maxTickInterval = time.Second
	// minTickInterval is the time until the next Tick if a start or a deadline is overdue.
	// It keeps the caller from polling in a tight loop.
	minTickInterval = time.Millisecond
)

// shuffleStream is the PCG stream for the order of rolling updates ("fleet" in ASCII).
const shuffleStream = 0x666c656574

// Controller is the state machine of a fleet. It is not safe for concurrent use. Each
// method that returns actions returns all the actions that result from its event.
type Controller struct {
	config        Config
	rng           *rand.Rand
	instances     []instance
	started       bool          // a process has been started
	lastStart     time.Duration // valid if started
	stopping      bool
	update        *rollingUpdate // nil if there is no rolling update; kept while it is paused
	actions       []Action       // pending actions, returned by the current method
	lastProcessID int
}

// New returns the controller of n instances that are not running. The order in which a
// rolling update takes the instances is drawn from seed. All errors wrap ErrInvalidConfig.
func New(config Config, n int, seed uint64) (*Controller, error) {
	if n < 1 {
		return nil, fmt.Errorf("%w: found %d instances, wanted 1 or more", ErrInvalidConfig, n)
	}
	if err := config.validate(); err != nil {
		return nil, err
	}
	return &Controller{config: config, rng: rand.New(rand.NewPCG(seed, shuffleStream)), instances: make([]instance, n)}, nil
}

func (c *Controller) newProcessID() int {
	c.lastProcessID++
	return c.lastProcessID
}

func (c *Controller) addAction(a Action) { c.actions = append(c.actions, a) }

// emit adds an event about an instance or about WholeFleet.
func (c *Controller) emit(instance int, message string, attrs ...slog.Attr) {
	c.addAction(Action{Kind: EmitEvent, Instance: instance, Event: Event{Message: message, Attrs: attrs}})
}

// takeActions returns and clears the pending actions.
func (c *Controller) takeActions() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}

// Phase returns the phase of an instance and its number of processes.
func (c *Controller) Phase(i int) (Phase, int) {
	return c.instances[i].phase, len(c.instances[i].processes)
}

// Tick handles the deadlines, starts and update steps that are due.
func (c *Controller) Tick(now time.Duration) []Action {
	c.expire(now)
	c.startDue(now)
	c.advanceUpdate(now)
	return c.takeActions()
}

// NextTick returns the time of the next Tick call, at most maxTickInterval from now.
func (c *Controller) NextTick(now time.Duration) time.Duration {
	next := now + maxTickInterval
	nextStart := c.lastStart + c.config.StartInterval
	if c.UpdateInProgress() && len(c.update.pending) > 0 && nextStart > now {
		next = min(next, nextStart)
	}
	for i := range c.instances {
		in := &c.instances[i]
		if in.phase == Down && !c.stopping {
			next = min(next, max(in.startAfter, nextStart, now+minTickInterval))
		}
		for _, process := range in.processes {
			if process.hasDeadline() {
				next = min(next, max(process.deadline, now+minTickInterval))
			}
		}
	}
	return next
}

// ExtendDeadlines extends every deadline by d, the time for which the supervisor was
// suspended. The supervisor could not observe its processes during that time.
func (c *Controller) ExtendDeadlines(d time.Duration) {
	for i := range c.instances {
		for k := range c.instances[i].processes {
			c.instances[i].processes[k].deadline += d
		}
	}
}

// StopAll terminates all instances, prevents further starts and discards the rolling
// update.
func (c *Controller) StopAll(now time.Duration) []Action {
	c.stopping, c.update = true, nil
	for i := range c.instances {
		if len(c.instances[i].processes) > 0 {
			c.terminate(i, now)
		} else {
			c.instances[i].phase = Stopped
		}
	}
	return c.takeActions()
}

// AllStopped reports whether StopAll was called and all processes have exited.
func (c *Controller) AllStopped() bool {
	return c.stopping && !slices.ContainsFunc(c.instances, func(in instance) bool { return len(in.processes) > 0 })
}
