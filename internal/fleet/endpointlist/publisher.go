package endpointlist

import (
	"slices"
	"time"
)

// UnknownVersion is the version of a subscriber whose cache is not known.
const UnknownVersion = -1

// neverSent is the time of the last request to a subscriber that has had none: it is
// long before any time of the caller's clock.
const neverSent = -time.Hour

// subscriber is a host to which the lease holder sends updates and heartbeats.
type subscriber struct {
	version  int64 // that it has acknowledged, or UnknownVersion
	sentAt   time.Duration
	inFlight bool
}

// Publisher decides for the lease holder to which hosts it sends what.
type Publisher struct {
	heartbeatInterval time.Duration
	maxInFlight       int
	subscribers       map[string]*subscriber
	inFlight          int // requests, those to hosts that are no longer subscribed included
}

// NewPublisher returns one without subscribers. Each subscriber is sent a request in
// every heartbeat interval, also where nothing is new; at most maxInFlight requests
// are in flight at a time.
func NewPublisher(heartbeatInterval time.Duration, maxInFlight int) *Publisher {
	return &Publisher{heartbeatInterval: heartbeatInterval, maxInFlight: maxInFlight, subscribers: map[string]*subscriber{}}
}

// SetHosts sets the subscribers. Others are removed unless a request to them is in
// flight; those are removed by a later call.
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

// Due returns the hosts to send to now that the list is at a version, each with the
// version that it has (0 where it needs a snapshot). They count as in flight until
// they are Acknowledged.
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

// leastRecentlySent orders the hosts so that none starves where there are more of
// them than requests may be in flight.
func (p *Publisher) leastRecentlySent() []string {
	names := make([]string, 0, len(p.subscribers))
	for name := range p.subscribers {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return int(p.subscribers[a].sentAt - p.subscribers[b].sentAt) })
	return names
}

// Acknowledged ends the request to a host, which has this version now, or
// UnknownVersion. It is ignored where no request to the host is in flight.
func (p *Publisher) Acknowledged(host string, version int64, now time.Duration) {
	s := p.subscribers[host]
	if s == nil || !s.inFlight {
		return
	}
	s.inFlight, s.version, s.sentAt = false, version, now
	p.inFlight--
}
