// Package supervisor runs the sidecar instances of one host as child processes: it
// starts, monitors, restarts and reloads them. Package lifecycle makes the decisions;
// this package does the I/O on processes, sockets and files.
//
// A host may belong to a coordination cluster. Its supervisor then executes the
// commands of the leader of a fleet-wide rolling restart, may become that leader itself,
// and may cache discovery's endpoint list for the sidecars of the host. The fence of each
// host rejects a command from a leader whose lease has passed to another process. The fence
// detects such a command by its fencing token.
//
// A leader is the process that holds a lease. An operation is a rolling restart or reload
// across all hosts; the leader of the operation holds RolloutLease. The leader that relays
// the endpoint list within a zone holds the lease of that zone's list.
//
// The goroutine of Supervisor.Run, the event loop, owns the state of the host. All other
// goroutines pass functions to it (Supervisor.enqueue) and end before Run returns.
//
// Contents of the files:
//   - supervisor.go: the event loop
//   - actions.go: the execution of the lifecycle's decisions
//   - release.go: rolling updates of this host
//   - adoption.go and statefile.go: the adoption of running processes by a new supervisor
//   - process.go and health.go: single processes
//   - heartbeat.go: the detection of unresponsive processes
//   - control.go: the control socket
//   - wire.go: the messages and stored data
//   - coordination.go and leadership.go: leases
//   - commands.go: the receiver of a leader's commands
//   - rollout.go: the leader of an operation
//   - endpoints.go, endpoints_leader.go and endpoints_proxy.go: the endpoint list
//   - settings.go: the fleet file
//   - events.go: the log
package supervisor
