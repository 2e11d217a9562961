// Package faultinjection injects faults into the program's processes during experiments: at
// points in the code, in the wall clock, in file operations and on connections. In released
// binaries its functions do nothing (Enabled is false, and a test of cmd/sandhinge checks
// that the binary does not contain BinaryMarker). With the build tag "faults" a process
// injects the faults of the fault file that the rig writes for it:
//
//	$OTTERSPRING_INJECT/NAME, where NAME is $RELAY_NAME or $OTTERSPRING_ROLE
//
//	at POINT kill ID          send SIGKILL to itself on first reaching the point
//	at POINT stop ID          send SIGSTOP to itself
//	at POINT hang ID          block the goroutine forever
//	cut ADDRESS               block sends to the address
//	wall 1h                   offset of the wall clock; may be negative
//	drift 0.01                change of the offset per unit of elapsed time
//	disk OP ERROR [PART]      fail OP (open, write, sync, rename, read, mkdir, all) with ERROR
//	                          (enospc, eio, erofs, enoent, torn) on paths that contain PART
//
// The fault file is read again when it has changed. A fault at a point is injected once. It is
// recorded in the file NAME.ID of the same directory, with the process ID and the point.
package faultinjection

// Names of environment variables. The variable named by DirectoryEnv contains the directory of
// the fault files. The variable named by RoleEnv contains the name of a process for which the
// variable RELAY_NAME is not set.
const (
	DirectoryEnv = "OTTERSPRING_INJECT"
	RoleEnv      = "OTTERSPRING_ROLE"
)

// BinaryMarker is contained in exactly the binaries that support fault injection.
const BinaryMarker = "otterspring-inject-compiled-in"

// Points describes the state of the process at each point that At accepts. Experiments refer
// to points by name, so the names must not change.
var Points = map[string]string{
	"council-answers":    "cluster member: has decided on an answer, and not sent it",
	"council-stored":     "cluster member: has stored its state, and sent no message yet",
	"council-stores":     "cluster member: is about to store its state",
	"fleet-takes-order":  "supervisor: has begun an effect of a rollout, and not answered",
	"list-taken":         "supervisor: has applied a newer endpoint list, and not answered",
	"list-tells":         "leader of the endpoint list: has computed a host's update, and not sent it",
	"owner-acts":         "leader of a rollout: has checked its lease, and not sent the effect",
	"start":              "sidecar: has read its files, and does not listen yet",
	"handover-asked":     "new process: has requested the listener",
	"handover-given":     "new process: has received the listener, and not reported that it is ready",
	"handover-yours":     "new process: may accept connections, and does not yet",
	"handover-accepts":   "new process: accepts connections, and has not reported it",
	"handover-taken":     "new process: has reported that it accepts, and the old process has agreed",
	"handover-gives":     "old process: has received the request, and sent nothing yet",
	"handover-gave":      "old process: has sent the listener",
	"handover-let":       "old process: has allowed the new one to accept connections",
	"handover-agreed":    "old process: has agreed, and does not drain yet",
	"handover-drained":   "old process: has drained, and not reported it",
	"fleet-starts":       "supervisor: is about to start a process",
	"fleet-started":      "supervisor: has started a process, and not stored it",
	"fleet-saved":        "supervisor: has stored a started process",
	"fleet-ends":         "supervisor: is about to send SIGTERM",
	"fleet-ended":        "supervisor: has sent SIGTERM",
	"fleet-saw-the-end":  "supervisor: a process has exited, and that is not stored",
	"fleet-saw-it-ready": "supervisor: a process has reported that it is ready",
}
