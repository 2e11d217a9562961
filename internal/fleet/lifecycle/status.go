package lifecycle

import "fmt"

// Operators' scripts and all versions of the command "otterspring fleet restart -wait"
// parse the texts in this file. The texts must not change.

// Phase is the state of an instance.
type Phase int

// Phases of an instance.
const (
	Down         Phase = iota // no process; a start is scheduled
	Starting                  // the process is running but not ready yet
	Ready                     // one process is running and ready
	Reloading                 // the process was signaled to reload and is not ready again yet
	Handover                  // a new process is starting beside the old one
	Draining                  // the new process is ready; the old one completes its requests in flight
	Terminating               // all processes were signaled to exit
	CrashLooping              // no process; not restarted until an operator requests it
	Stopped                   // no process; stopped on request
)

var phaseNames = []string{"down", "starting", "up", "reloading", "handing over", "draining", "ending", "given up", "stopped"}

// String returns the phase as shown by the command "otterspring fleet status".
func (p Phase) String() string { return phaseNames[p] }

// UpdateStatus returns a description of the progress of the rolling update, or "" if there
// is none.
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

// summary describes the result of a finished rolling update.
func (u *rollingUpdate) summary() string {
	result := "roll done"
	if u.rollingBack {
		result = "rolled back"
	}
	return fmt.Sprintf("%s: %d went well, %d did not", result, u.succeeded, u.failed)
}
