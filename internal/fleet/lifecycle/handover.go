package lifecycle

import "time"

// newProcessReady records that the new process of a handover is ready. The old process
// drains unless it has already exited.
func (c *Controller) newProcessReady(now time.Duration, i int) {
	in := &c.instances[i]
	in.newest().clearDeadline()
	if len(in.processes) > 1 {
		in.phase = Draining
		in.processes[0].setDeadline(now, c.config.ShutdownTimeout, notDrained)
		return
	}
	in.phase = Ready
	c.finishInstanceUpdate(i, true)
}

// oldProcessExited records the exit of the old process of a handover. If the new process
// is not ready yet, the instance's update finishes once the new process is ready.
func (c *Controller) oldProcessExited(i int) {
	in := &c.instances[i]
	if in.phase == Draining {
		in.phase = Ready
		c.finishInstanceUpdate(i, true)
	}
}

// newProcessExited records the exit of the new process of a handover. The old process
// continues. It accepts connections again if it had stopped accepting them.
func (c *Controller) newProcessExited(i int) {
	in := &c.instances[i]
	in.newest().clearDeadline()
	in.phase = Ready
	c.emit(i, "new process exited during handover; old process continues")
	c.finishInstanceUpdate(i, false)
}
