// Package endpointlist holds the decisions about discovery's endpoint list where one
// host of a zone, the holder of the zone's lease, watches discovery for all hosts:
// which update is newer, what a subscriber lacks, when a host watches discovery
// itself, and which hosts are due an update or a heartbeat. It does no I/O, reads no
// clock and has no goroutine; its types are not safe for concurrent use.
//
// The versions of a list are discovery's own, whoever relays it. A cache applies only
// what is newer than what it has, so a former lease holder that was suspended and
// resumes can't undo a drain, revive a server that has left, or restart a server's
// slow start, whether or not a fence rejects it first.
//
// Times are durations on a clock of the caller's choice that never goes back.
package endpointlist
