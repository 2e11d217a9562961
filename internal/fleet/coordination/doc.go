// Package coordination is the replicated state machine of a cluster of 3 or 5 members
// (a council, in the operators' pages): leases with fencing tokens, operations that
// operators request, the status of hosts, and the configuration of services. It is
// pure: it does no I/O, reads no clock and starts no goroutine.
//
//   - State is the agreed state. State.Apply is a pure function of state and Command,
//     so all members come to the same state.
//   - Member replicates commands with raft (go.etcd.io/raft). The caller ticks it,
//     delivers messages with Step, persists and sends what Ready returns, and confirms
//     it with Advance.
//   - Leadership is a lease holder's view of its time, and Fence is a receiver's
//     protection against holders that have lost their lease.
//
// Requests of clients are in package client, the process of a member is in package
// server. docs/design/council.md has the reasons.
package coordination
