// Package lifecycle decides for a supervisor of many instances: which starts when,
// which is restarted or reloaded next, when a rolling update pauses or rolls back,
// and when a crashing instance is no longer restarted. It does no I/O, has no clock
// and no goroutine: events come in with their times, actions go out.
//
// The caller does the actions in their order, and reports what follows of them as
// events. Times are durations on a clock of the caller's choice that never goes back.
package lifecycle
