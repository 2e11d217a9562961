// Package lifecycle holds the decision logic of a supervisor of many instances: when
// each instance starts, which one is restarted or reloaded next, when a rolling update
// pauses or rolls back, and when a crashing instance is no longer restarted. It does no
// I/O, reads no clock and starts no goroutines. It takes events with their times and
// returns actions.
//
// A rolling update is a rolling restart or a rolling reload. A release is a new program or
// configuration that a rolling update brings.
//
// The caller executes the actions in order and reports their outcomes as events. Times
// are durations on a monotonic clock chosen by the caller.
package lifecycle
