// Package coordination implements the replicated state machine of a cluster of 3 or 5
// members (called a council in the operator documentation). It manages leases with
// fencing tokens, operations requested by operators, host status and service
// configuration. The package does no I/O, reads no clock and starts no goroutines.
//
//   - State is the replicated state. State.Apply is deterministic, so all members that
//     apply the same commands reach the same state.
//   - Member replicates commands with Raft (go.etcd.io/raft). The caller ticks it,
//     delivers messages with Step, persists and sends what Ready returns, and
//     acknowledges it with Advance.
//   - Leadership tracks, on the lease holder, until when the lease is valid. Fence
//     protects a receiver of commands from holders that have lost their lease.
//
// Package client defines the requests of clients; package server runs a member as a
// process. docs/design/council.md explains the design.
package coordination
