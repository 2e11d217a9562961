package lifecycle

import "time"

// Adopt adds to instance i a ready process that was running before the supervisor
// started. It returns the ID assigned to the process.
func (c *Controller) Adopt(i int) int {
	in := &c.instances[i]
	in.phase = Ready
	in.processes = append(in.processes, process{id: c.newProcessID()})
	return in.newest().id
}

// AdoptTerminating adds to instance i a running process that is not ready. The
// controller waits for the process to exit and kills it after the shutdown timeout. Once
// the process has exited, the controller starts the instance. AdoptTerminating returns
// the ID assigned to the process.
func (c *Controller) AdoptTerminating(now time.Duration, i int) int {
	id := c.Adopt(i)
	in := &c.instances[i]
	in.phase, in.restartOnExit = Terminating, true
	in.processes[0].setDeadline(now, c.config.ShutdownTimeout, adoptedNotExited)
	return id
}
