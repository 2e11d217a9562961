// Package rollout decides the steps of a rollout, which is a rolling restart or reload
// across the hosts of a fleet. The supervisor that holds the lease for rollouts, the lease
// holder, executes the steps. The package does no I/O, reads no clock and keeps no state.
// Each process is labeled with the ID of the rollout that it was last started or reloaded
// for. A new lease holder sees from these labels what its predecessor has done.
package rollout
