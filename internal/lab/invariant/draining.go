package invariant

import (
	"cmp"
	"slices"
	"time"
)

// endpointState is the latest state of one incarnation of a server, either in the
// authoritative list or in the notifications of one instance.
type endpointState struct {
	at      time.Duration // when the state was set
	removed bool          // the server is draining or was removed
}

// Notified records that discovery wrote the state of a server's incarnation to an instance.
// restarts is the instance's number of restarts when the connection to discovery was made. A
// notification on a connection of an earlier process is ignored.
func (c *Checker) Notified(name string, restarts int, server string, incarnation int, removed bool, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.emit(Event{Kind: KindNotified, Instance: name, Restarts: restarts, Server: server, Incarnation: incarnation, Flag: removed, At: at})
	i, key := c.instance(name), serverKey{server, incarnation}
	if i.restarts != restarts {
		return
	}
	if n, found := i.notifications[key]; found && n.removed {
		return // a notification from an older list doesn't withdraw a drain
	}
	i.notifications[key] = endpointState{at, removed}
	if removed {
		c.report.RemovalsNotified++
	}
}

// RemovalNotifiedAt returns when an instance was notified that a server's incarnation must not
// be used any more. It returns 0 if the instance was not notified of that.
func (c *Checker) RemovalNotifiedAt(name, server string, incarnation int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.instance(name).notifications[serverKey{server, incarnation}]; n.removed {
		return n.at
	}
	return 0
}

// EndpointChanged records a change of the authoritative list. If removed is set, the
// incarnation of the server must not be used any more. Otherwise the incarnation begins.
func (c *Checker) EndpointChanged(server string, incarnation int, removed bool, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.emit(Event{Kind: KindEndpointChanged, Server: server, Incarnation: incarnation, Flag: removed, At: at})
	key := serverKey{server, incarnation}
	if e, found := c.endpoints[key]; found && e.removed {
		return
	}
	c.endpoints[key] = endpointState{at, removed}
}

// DiscoveryUnavailable records the start of an outage if on is set, and otherwise its end. During
// an outage, discovery fails or stops sending. An instance counts as notified of a change
// NotificationBound after the change, even if no notification arrived. If an outage overlaps this
// period, the instance counts as notified NotificationBound after the end of the outage.
func (c *Checker) DiscoveryUnavailable(on bool, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.emit(Event{Kind: KindDiscoveryUnavailable, Flag: on, At: at})
	c.outages = setInterval(c.outages, on, at)
}

// Partitioned records the start of a partition if on is set, and otherwise its end. During a
// partition, an instance has no connection to discovery. A notification that is written during the
// partition counts as delivered NotificationBound after the end of the partition.
func (c *Checker) Partitioned(name string, on bool, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.emit(Event{Kind: KindPartitioned, Instance: name, Flag: on, At: at})
	c.partitions[name] = setInterval(c.partitions[name], on, at)
}

// removalKnownSince returns the time at which an instance was notified, or counts as notified,
// that a server's incarnation must not be used any more. The second result is false if there is no
// such time.
func (c *Checker) removalKnownSince(name string, key serverKey) (time.Duration, bool) {
	i := c.instance(name)
	n, found := i.notifications[key]
	since, removed := n.at, found && n.removed
	for _, p := range c.partitions[name] {
		if removed && since >= p.from && (p.until == 0 || since < p.until) {
			// The notification was written to a partitioned connection.
			since, removed = c.notificationDue(name, since)
			break
		}
	}
	if e, found := c.endpoints[key]; found && e.removed {
		if due, bounded := c.notificationDue(name, max(e.at, i.startedAt)); bounded && (!removed || due < since) {
			since, removed = due, true
		}
	}
	return since, removed
}

// startKnown tells whether an instance was notified, or counts as notified, of the start of a
// server's incarnation.
func (c *Checker) startKnown(name string, key serverKey) bool {
	i := c.instance(name)
	if _, found := i.notifications[key]; found {
		return true
	}
	e, found := c.endpoints[key]
	if !found {
		return false
	}
	due, bounded := c.notificationDue(name, max(e.at, i.startedAt))
	return bounded && c.now() >= due
}

// notificationDue returns the time at which an instance counts as notified of a change even if
// no notification arrived. The change was made at the time from. The second result is false
// while an outage or a partition lasts.
func (c *Checker) notificationDue(name string, from time.Duration) (time.Duration, bool) {
	due := from + c.rules.NotificationBound
	// Outages and partitions are merged into one list in order of their start. An interval that
	// overlaps the time between "from" and "due" postpones "due". The next interval of either kind
	// may then overlap the longer time between "from" and the new "due".
	all := c.outages
	if own := c.partitions[name]; len(own) > 0 {
		all = slices.Concat(all, own)
		slices.SortFunc(all, func(a, b interval) int { return cmp.Compare(a.from, b.from) })
	}
	for _, s := range all {
		if s.from >= due || s.until > 0 && s.until <= from {
			continue
		}
		if s.until == 0 {
			return 0, false
		}
		due = s.until + c.rules.NotificationBound
	}
	return due, true
}
