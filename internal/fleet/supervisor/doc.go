// Package supervisor runs the sidecar instances of one host as child processes: it
// starts, watches, restarts and reloads them. Package lifecycle decides what happens
// next; this package has the processes, sockets and files.
//
// A host may belong to a coordination cluster. Its supervisor then takes commands
// of the leader of a fleet-wide rolling restart, may become that leader itself, and
// may cache discovery's endpoint list for the host's sidecars. Commands of a leader
// whose lease has passed to another are rejected by their fencing token.
//
// One goroutine, that of Supervisor.Run, owns the state of the host. All others hand
// it functions to run (Supervisor.enqueue) and end before Run returns.
//
// The files: supervisor.go has the event loop, actions.go what a decision of the
// lifecycle causes, release.go rolling restarts of this host, adoption.go and
// statefile.go what survives a supervisor, process.go and health.go one process,
// heartbeat.go the watch on all of them, control.go the control socket, wire.go the
// messages, coordination.go and leadership.go leases, commands.go the receiver of a
// leader's commands, rollout.go that leader, endpoints*.go the endpoint list,
// settings.go the fleet file, events.go the log.
package supervisor
