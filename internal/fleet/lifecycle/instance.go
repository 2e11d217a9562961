package lifecycle

import (
	"log/slog"
	"slices"
	"time"
)

// deadlineReason is the reason reported when a process misses its deadline.
type deadlineReason string

const (
	notReady               deadlineReason = "not ready after start"
	notReloaded            deadlineReason = "not ready after reload"
	notDrained             deadlineReason = "not drained after handover"
	notTerminated          deadlineReason = "not exited after SIGTERM"
	adoptedNotExited       deadlineReason = "adopted while not ready, did not exit"
	healthChecksUnanswered deadlineReason = "no answer to health checks"
)

type process struct {
	id          int
	fromRelease bool // started from the release that is being rolled out
	deadline    time.Duration
	reason      deadlineReason // empty if there is no deadline
	limit       time.Duration  // timeout that the deadline was computed from
}

func (p *process) hasDeadline() bool { return p.reason != "" }

func (p *process) setDeadline(now, limit time.Duration, reason deadlineReason) {
	p.deadline, p.limit, p.reason = now+limit, limit, reason
}

func (p *process) clearDeadline() { p.reason = "" }

type instance struct {
	phase         Phase
	processes     []process // running processes, oldest first; two during a handover
	fromRelease   bool      // the next start uses the release that is being rolled out
	startAfter    time.Duration
	backoff       time.Duration
	crashes       []time.Duration // times of the crashes within the crash loop window
	restartOnExit bool
}

// processIndex returns the index of a process, or -1 if it is not running.
func (in *instance) processIndex(processID int) int {
	return slices.IndexFunc(in.processes, func(p process) bool { return p.id == processID })
}

func (in *instance) newest() *process { return &in.processes[len(in.processes)-1] }

// updatable reports whether a rolling update may begin to update the instance. It may not
// do so while the instance is starting, reloading, handing over, draining or terminating.
func (in *instance) updatable() bool {
	return in.phase == Ready || in.phase == CrashLooping || in.phase == Down || in.phase == Stopped
}

// expire kills the processes whose deadline has passed. A process that is reloading is
// left running because killing it would lose its requests in flight.
func (c *Controller) expire(now time.Duration) {
	for i := range c.instances {
		in := &c.instances[i]
		for k := range in.processes {
			process := &in.processes[k]
			if !process.hasDeadline() || process.deadline > now {
				continue
			}
			reason := slog.String("reason", string(process.reason))
			limit := slog.Duration("limit", process.limit)
			process.clearDeadline()
			if in.phase == Reloading {
				c.emit(i, "reload timed out; process continues", reason, limit)
				in.phase = Ready
				c.finishInstanceUpdate(i, false)
				continue
			}
			c.emit(i, "process killed", reason, limit)
			c.addAction(Action{Kind: KillProcess, Instance: i, Process: process.id})
		}
	}
}

// startDue starts the instances that are down and whose start is due. The instance whose
// start is overdue for the longest time starts first. Starts are at least StartInterval
// apart.
func (c *Controller) startDue(now time.Duration) {
	if c.stopping {
		return
	}
	for {
		if c.started && now < c.lastStart+c.config.StartInterval {
			return
		}
		due := -1
		for i := range c.instances {
			in := &c.instances[i]
			if in.phase == Down && in.startAfter <= now && (due < 0 || in.startAfter < c.instances[due].startAfter) {
				due = i
			}
		}
		if due < 0 {
			return
		}
		c.start(due, now, Starting)
	}
}

// start starts a process of an instance and sets the instance's phase.
func (c *Controller) start(i int, now time.Duration, phase Phase) {
	in := &c.instances[i]
	c.started, c.lastStart = true, now
	in.phase = phase
	started := process{id: c.newProcessID(), fromRelease: in.fromRelease}
	started.setDeadline(now, c.config.ReadyTimeout, notReady)
	in.processes = append(in.processes, started)
	c.addAction(Action{Kind: StartProcess, Instance: i, Process: started.id, FromRelease: started.fromRelease})
}

// terminate requests the exit of all processes of an instance.
func (c *Controller) terminate(i int, now time.Duration) {
	in := &c.instances[i]
	in.phase = Terminating
	for k := range in.processes {
		process := &in.processes[k]
		process.setDeadline(now, c.config.ShutdownTimeout, notTerminated)
		c.addAction(Action{Kind: TerminateProcess, Instance: i, Process: process.id})
	}
}

// ProcessReady records that a process is ready after its start or reload. The report is
// ignored unless the process is the newest one of its instance.
func (c *Controller) ProcessReady(now time.Duration, i, processID int) []Action {
	in := &c.instances[i]
	if k := in.processIndex(processID); k < 0 || k != len(in.processes)-1 {
		return c.takeActions()
	}
	switch in.phase {
	case Starting, Reloading:
		in.newest().clearDeadline()
		in.phase = Ready
		c.finishInstanceUpdate(i, true)
	case Handover:
		c.newProcessReady(now, i)
	}
	c.advanceUpdate(now)
	return c.takeActions()
}

// ReloadFailed records that a process rejected its reload and continues unchanged.
func (c *Controller) ReloadFailed(now time.Duration, i, processID int) []Action {
	in := &c.instances[i]
	if in.phase == Reloading && in.processIndex(processID) >= 0 {
		in.newest().clearDeadline()
		in.phase = Ready
		c.emit(i, "reload rejected; process continues")
		c.finishInstanceUpdate(i, false)
		c.advanceUpdate(now)
	}
	return c.takeActions()
}

// ProcessUnresponsive records that a process has not answered health checks for the
// given duration. The process is killed, and the instance restarts in the same way as after
// a crash. The report is ignored unless the instance is ready and has no other process. In
// all other phases a process of the instance has already been given a deadline.
func (c *Controller) ProcessUnresponsive(now time.Duration, i, processID int, duration time.Duration) []Action {
	in := &c.instances[i]
	if in.phase == Ready && len(in.processes) == 1 && in.processes[0].id == processID {
		c.emit(i, "process killed", slog.String("reason", string(healthChecksUnanswered)), slog.Duration("limit", duration))
		c.addAction(Action{Kind: KillProcess, Instance: i, Process: processID})
	}
	return c.takeActions()
}

// ProcessExited records the exit of a process; clean reports whether its exit code was 0.
func (c *Controller) ProcessExited(now time.Duration, i, processID int, clean bool) []Action {
	in := &c.instances[i]
	k := in.processIndex(processID)
	if k < 0 {
		return c.takeActions()
	}
	wasNewest := k == len(in.processes)-1
	in.processes = slices.Delete(in.processes, k, k+1)
	switch {
	case in.phase == Terminating && len(in.processes) == 0:
		c.instanceTerminated(now, i)
	case in.phase == Terminating:
	case !wasNewest:
		c.oldProcessExited(i)
	case len(in.processes) > 0:
		c.newProcessExited(i)
	default:
		c.recordCrash(now, i, clean)
	}
	c.advanceUpdate(now)
	return c.takeActions()
}

// instanceTerminated records the exit of the last process of a terminating instance.
func (c *Controller) instanceTerminated(now time.Duration, i int) {
	in := &c.instances[i]
	if c.stopping || !in.restartOnExit {
		in.phase = Stopped
		return
	}
	in.restartOnExit, in.phase, in.startAfter = false, Down, now
	c.startDue(now)
}
