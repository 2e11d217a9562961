package invariant

import (
	"slices"
	"time"
)

// noticeDelay bounds the delay between the report of a kill and the time at which the clients
// notice the kill.
const noticeDelay = time.Second

// interval is a time interval. until is 0 while the interval lasts.
type interval struct{ from, until time.Duration }

// setInterval begins an interval if on is set, and otherwise ends the last interval. It
// changes nothing if the last interval is already in that state.
func setInterval(all []interval, on bool, at time.Duration) []interval {
	n := len(all)
	running := n > 0 && all[n-1].until == 0
	switch {
	case on && !running:
		all = append(all, interval{from: at})
	case !on && running:
		all[n-1].until = at
	}
	return all
}

// disconnect is a request that counts as dropped because its connection broke.
type disconnect struct {
	request *request
	at      time.Duration
}

// Suspended records a period in which the reporting process was not scheduled. Events in this
// period were reported late.
func (c *Checker) Suspended(from, until time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.emit(Event{Kind: KindSuspended, At: until, Start: from})
	if len(c.suspensions) < maxSuspensions {
		c.suspensions = append(c.suspensions, interval{from, until})
	}
}

// longestSuspension returns the longest suspension of the reporting process that
// overlaps an interval.
func (c *Checker) longestSuspension(from, until time.Duration) time.Duration {
	longest := time.Duration(0)
	for i := len(c.suspensions) - 1; i >= 0 && c.suspensions[i].until >= from-time.Second; i-- {
		if s := c.suspensions[i]; s.until >= from && s.from <= until {
			longest = max(longest, s.until-s.from)
		}
	}
	return longest
}

// Restarted records that a new process of an instance replaced the old process without a
// handover. The new process has none of the notifications that the old process received.
func (c *Checker) Restarted(name string, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.emit(Event{Kind: KindRestarted, Instance: name, At: at})
	i := c.instance(name)
	i.startedAt, i.killAnnounced = at, false
	i.restarts++
	clear(i.notifications)
}

// Restarts returns the number of an instance's restarts. A connection to discovery belongs to
// the process that ran when the connection was made. Data written to the connection after the
// next restart notifies no process.
func (c *Checker) Restarts(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.instance(name).restarts
}

// KillAnnounced records that an instance is about to be killed. Requests whose connections
// break between now and the restart of the instance count as in flight at the kill.
func (c *Checker) KillAnnounced(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.emit(Event{Kind: KindKillAnnounced, Instance: name, At: c.now()})
	c.instance(name).killAnnounced = true
}

// Killed records that an instance was killed without a graceful shutdown. The requests in
// flight at the instance do not count as dropped, because clients retry them.
func (c *Checker) Killed(name string, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.emit(Event{Kind: KindKilled, Instance: name, At: at})
	i := c.instance(name)
	for _, r := range i.inFlight {
		if !r.inFlightAtKill {
			r.inFlightAtKill = true
			c.report.InFlightAtKill++
		}
	}
	clear(i.inFlight)
}

// ExcuseKill records that an instance was killed without an announcement, at an unknown time
// after from. Requests whose connections broke after from count as in flight at the kill, and
// clients retry them.
func (c *Checker) ExcuseKill(name string, from time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.emit(Event{Kind: KindKillExcused, Instance: name, At: from})
	i := c.instance(name)
	i.excusedUntil = max(i.excusedUntil, c.now()+noticeDelay)
	c.disconnects = slices.DeleteFunc(c.disconnects, func(d disconnect) bool {
		if d.request.instance != name || d.at < from {
			return false
		}
		d.request.inFlightAtKill = true
		c.retractDropped(d.request)
		return true
	})
}
