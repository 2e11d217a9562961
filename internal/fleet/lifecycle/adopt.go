package lifecycle

import "time"

// Adopt adds a process of an instance that ran before the supervisor started, and
// that is ready. It returns the process's ID.
func (c *Controller) Adopt(i int) int {
	in := &c.instances[i]
	in.phase = Ready
	in.processes = append(in.processes, process{id: c.newProcessID()})
	return in.newest().id
}

// AdoptTerminating adds a process that runs already and is not ready: it is awaited,
// killed if that exceeds the shutdown timeout, and then the instance is started. It
// returns the process's ID.
func (c *Controller) AdoptTerminating(now time.Duration, i int) int {
	id := c.Adopt(i)
	in := &c.instances[i]
	in.phase, in.restartOnExit = Terminating, true
	in.processes[0].setDeadline(now, c.config.ShutdownTimeout, adoptedNotExited)
	return id
}
