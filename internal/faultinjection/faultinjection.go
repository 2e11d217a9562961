// Package inject marks the places at which tests bring faults into the
// program's processes: points of its code, its wall clock, its files. In what is
// shipped all of it is compiled to nothing (Compiled is false, and a test of
// cmd/sandhinge looks at the binary); with the build tag "faults" a process does
// what the file says that the rig keeps for it:
//
//	$OTTERSPRING_INJECT/NAME, where NAME is $RELAY_NAME or $OTTERSPRING_ROLE
//
//	at POINT kill ID          SIGKILL to itself, the first time it comes there
//	at POINT stop ID          SIGSTOP to itself
//	at POINT hang ID          the goroutine goes no further
//	wall 1h                   the wall clock is that far off; may be negative
//	drift 0.01                and gains that much for each unit of true time
//	disk OP ERROR [PART]      OP (open, write, sync, rename, read, mkdir, all) fails
//	                          with ERROR (enospc, eio, erofs, enoent, torn) on paths with PART in them
//
// The file is read anew when it has changed. A point that struck leaves the file
// NAME.ID with the process's number, and strikes no second time under that ID.
package faultinjection

// Env names the folder of the faults' files, Role the process where it has no
// RELAY_NAME.
const (
	DirectoryEnv = "OTTERSPRING_INJECT"
	RoleEnv      = "OTTERSPRING_ROLE"
)

// Mark stands in every binary that has faults compiled in, and in no other.
const Mark = "otterspring-inject-compiled-in"

// Points are the places of the code that At names, each with what has just been
// done there.
var Points = map[string]string{
	"council-answers":    "council member: has decided on an answer, and not given it",
	"council-stored":     "council member: has stored what it owes, and told nobody",
	"council-stores":     "council member: is about to store what it owes",
	"fleet-takes-order":  "supervisor: has begun what the owner of the roll wants, and not answered",
	"list-taken":         "supervisor: has applied a newer list of the owner, and not answered",
	"list-tells":         "owner of the list: has worked out what a host lacks, and not sent it",
	"owner-acts":         "owner of the roll: has looked at its tenure, and not sent the effect",
	"start":              "a sidecar's process has read its files, and listens nowhere yet",
	"handover-asked":     "new process: has asked for the listener",
	"handover-given":     "new process: holds the listener, and has not said that it is ready",
	"handover-yours":     "new process: may accept, and does not yet",
	"handover-accepts":   "new process: accepts, and the old one does not know it",
	"handover-taken":     "new process: has said that it accepts, and was agreed with",
	"handover-gives":     "old process: was asked, and has given nothing yet",
	"handover-gave":      "old process: has given the listener",
	"handover-let":       "old process: has let the new one accept",
	"handover-agreed":    "old process: has agreed, and drains not yet",
	"handover-drained":   "old process: has drained, and not said so",
	"fleet-starts":       "supervisor: is about to start a process",
	"fleet-started":      "supervisor: has started a process, and not written it down",
	"fleet-saved":        "supervisor: has written a started process down",
	"fleet-ends":         "supervisor: is about to end a process by SIGTERM",
	"fleet-ended":        "supervisor: has sent SIGTERM",
	"fleet-saw-the-end":  "supervisor: a process has ended, and that is not written down",
	"fleet-saw-it-ready": "supervisor: a process says that it is ready",
}
