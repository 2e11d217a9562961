package endpointlist

import (
	"slices"
	"time"
)

// UnknownVersion is the version of a subscriber whose cached version is not known.
const UnknownVersion = -1

// neverSent is the value of sentAt for a subscriber that has not been sent a request. It
// precedes all times of the caller's clock, so such a subscriber is sent a request first.
const neverSent = -time.Hour

// subscriber is the state of a host to which the lease holder sends updates and
// heartbeats.
type subscriber struct {
	version  int64         // last acknowledged version, or UnknownVersion
	sentAt   time.Duration // time at which the last request ended, or neverSent
	inFlight bool
}

// Publisher decides which updates the lease holder sends to which hosts.
type Publisher struct {
	heartbeatInterval time.Duration
	maxInFlight       int
	subscribers       map[string]*subscriber
	inFlight          int // number of requests in flight, also to hosts that SetHosts no longer names
}

// NewPublisher returns a publisher without subscribers. Each subscriber is sent a
// request in every heartbeat interval, even if it is up to date. At most maxInFlight
// requests are in flight at a time.
func NewPublisher(heartbeatInterval time.Duration, maxInFlight int) *Publisher {
	return &Publisher{heartbeatInterval: heartbeatInterval, maxInFlight: maxInFlight, subscribers: map[string]*subscriber{}}
}

// SetHosts sets the subscribers. It removes the hosts that are not in names. If a request to
// such a host is in flight, SetHosts keeps the host, and a later call removes the host.
func (p *Publisher) SetHosts(names []string) {
	for name, s := range p.subscribers {
		if !slices.Contains(names, name) && !s.inFlight {
			delete(p.subscribers, name)
		}
	}
	for _, name := range names {
		if p.subscribers[name] == nil {
			p.subscribers[name] = &subscriber{version: UnknownVersion, sentAt: neverSent}
		}
	}
}

// Due returns the hosts that must be sent a request now, while the list is at the given
// version. The value for a host is the version that the host has, or 0 if the host needs a
// snapshot. The request to a host counts as in flight until Acknowledged is called.
func (p *Publisher) Due(now time.Duration, version int64) map[string]int64 {
	due := map[string]int64{}
	for _, name := range p.leastRecentlySent() {
		s := p.subscribers[name]
		if s.inFlight || p.inFlight >= p.maxInFlight || s.version >= version && now < s.sentAt+p.heartbeatInterval {
			continue
		}
		s.inFlight = true
		p.inFlight++
		due[name] = max(0, s.version)
	}
	return due
}

// leastRecentlySent returns the hosts ordered by the time of their last request, so that
// no host starves if there are more hosts than maxInFlight.
func (p *Publisher) leastRecentlySent() []string {
	names := make([]string, 0, len(p.subscribers))
	for name := range p.subscribers {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return int(p.subscribers[a].sentAt - p.subscribers[b].sentAt) })
	return names
}

// Acknowledged records the end of the request to a host and the version that the host
// now has, or UnknownVersion. The call is ignored if no request to the host is in flight.
func (p *Publisher) Acknowledged(host string, version int64, now time.Duration) {
	s := p.subscribers[host]
	if s == nil || !s.inFlight {
		return
	}
	s.inFlight, s.version, s.sentAt = false, version, now
	p.inFlight--
}
