// Package endpointlist holds the decision logic for distributing discovery's endpoint
// list within a zone. The host that holds the zone's lease watches discovery and
// relays the list to the other hosts. The package decides which update is newer, what
// a subscriber is missing, when a host must watch discovery itself, and which hosts
// are due an update or a heartbeat. It does no I/O, reads no clock and starts no
// goroutines; its types are not safe for concurrent use.
//
// A source is a discovery service that assigns versions to its list, identified by its
// name. A departed server is a server whose status is "left"; all other servers are live.
//
// Discovery assigns the list versions, and relaying does not change them. A cache
// applies only updates newer than its own version. A former lease holder that resumes
// after a suspension therefore cannot undo a drain, bring back a departed server or
// restart a server's slow start, even if fencing does not reject its update first.
//
// Times are durations on a monotonic clock chosen by the caller.
package endpointlist
