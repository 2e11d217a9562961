// Package rollout decides a rolling restart or reload across the hosts of a fleet. It
// does no I/O, has no clock and no state: what was done is labeled at the processes
// themselves, each of which has the ID of the rollout that it was started for. A lease
// holder that follows another sees what that one has done.
package rollout
