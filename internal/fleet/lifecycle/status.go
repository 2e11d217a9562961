package lifecycle

import "fmt"

// The texts of this file are read outside this process, by operators' scripts and by
// otterspring fleet restart -wait of any version: they stay as they are.

// Phase is where an instance is.
type Phase int

// The phases.
const (
	Down         Phase = iota // no process; it starts when its turn comes
	Starting                  // a process runs and is not ready yet
	Ready                     // one process runs and is ready
	Reloading                 // signaled to reload, and not ready again yet
	Handover                  // a new process starts beside the old one
	Draining                  // the new process is ready, the old one still answers its requests in flight
	Terminating               // signaled to exit
	CrashLooping              // not restarted until an operator asks for it
	Stopped                   // exited on command
)

var phaseNames = []string{"down", "starting", "up", "reloading", "handing over", "draining", "ending", "given up", "stopped"}

// String names the phase as otterspring fleet status shows it.
func (p Phase) String() string { return phaseNames[p] }

// UpdateStatus words the progress of the rolling update; empty if there is none.
func (c *Controller) UpdateStatus() string {
	update := c.update
	if update == nil {
		return ""
	}
	kind := "restart"
	if update.reload {
		kind = "reload"
	}
	if update.rollingBack {
		kind += ", rolling back"
	}
	if update.paused() {
		kind += fmt.Sprintf(", paused (%d in a row did not become ready)", update.pausedAfter)
	}
	return fmt.Sprintf("%s: %d done, %d failed, %d under way, %d left", kind, update.succeeded, update.failed, len(update.active), len(update.pending))
}

// summary words the result of a rolling update that has ended.
func (u *rollingUpdate) summary() string {
	result := "roll done"
	if u.rollingBack {
		result = "rolled back"
	}
	return fmt.Sprintf("%s: %d went well, %d did not", result, u.succeeded, u.failed)
}
