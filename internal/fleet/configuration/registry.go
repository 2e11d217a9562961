package configuration

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// MaxSubscribers is how many subscribers a relay knows at a time.
const MaxSubscribers = 16 << 10

// subscriberTTL is after what time a subscriber that does not poll is forgotten, and
// expiryInterval how often they are looked for: not on each poll while there is no room.
const (
	subscriberTTL  = 15 * time.Minute
	expiryInterval = 10 * time.Second
)

// Registry remembers what each subscriber of a relay has acknowledged: a constant
// amount for each, whatever has changed meanwhile.
type Registry struct {
	subscribers map[string]*subscriberState
	nextExpiry  time.Duration // when subscribers are forgotten next
}

type subscriberState struct {
	services Subscription
	digest   uint64 // of services
	version  Version
	rejected []Rejection
	lastPoll time.Duration
}

// NewRegistry returns one that knows nobody.
func NewRegistry() *Registry { return &Registry{subscribers: map[string]*subscriberState{}} }

// Record takes a poll that was checked. It returns false where there is no room for a
// further subscriber.
func (r *Registry) Record(now time.Duration, p *Poll) bool {
	if now >= r.nextExpiry {
		r.ExpireInactive(now)
		r.nextExpiry = now + expiryInterval
	}
	known := r.subscribers[p.Subscriber]
	if known == nil {
		if len(r.subscribers) >= MaxSubscribers {
			return false
		}
		known = &subscriberState{}
		r.subscribers[p.Subscriber] = known
	}
	if (known.services == nil) != (p.Services == nil) || !slices.Equal(known.services, p.Services) {
		known.services = slices.Clone(p.Services)
		known.digest = known.services.Digest()
	}
	known.version, known.rejected, known.lastPoll = p.Version, TruncateRejections(p.Rejected), now
	return true
}

// ResolveDigest puts the services that a subscriber has named before in the place of their
// digest. It returns false where they are not known.
func (r *Registry) ResolveDigest(p *Poll) bool {
	if p.ServicesDigest == 0 {
		return true
	}
	known := r.subscribers[p.Subscriber]
	if known == nil || known.digest != p.ServicesDigest {
		return false
	}
	p.Services, p.ServicesDigest = known.services, 0
	return true
}

// ExpireInactive drops the subscribers that have not polled for long.
func (r *Registry) ExpireInactive(now time.Duration) {
	maps.DeleteFunc(r.subscribers, func(_ string, s *subscriberState) bool { return now > s.lastPoll+subscriberTTL })
}

// Len is how many subscribers are known.
func (r *Registry) Len() int { return len(r.subscribers) }

// SubscriberStatus is how one subscriber stands to one service.
type SubscriberStatus struct {
	Subscriber string `json:"subscriber"`
	// Version is the newest of the region that the subscriber has taken.
	Version Version `json:"version"`
	// RejectedVersion and Reason are of the service's version that it can't use; 0 for none.
	RejectedVersion Version `json:"rejected,omitempty"`
	Reason          string  `json:"reason,omitempty"`
	// SinceLastPollMS is for how long the relay has not heard from it, in milliseconds.
	SinceLastPollMS int64 `json:"silent_ms"`
}

// Status returns the subscribers of a service, by name.
func (r *Registry) Status(now time.Duration, service string) []SubscriberStatus {
	var all []SubscriberStatus
	for name, known := range r.subscribers {
		if known.services != nil && !slices.Contains(known.services, service) {
			continue
		}
		status := SubscriberStatus{Subscriber: name, Version: known.version, SinceLastPollMS: (now - known.lastPoll).Milliseconds()}
		for _, rejection := range known.rejected {
			if rejection.Service == service {
				status.RejectedVersion, status.Reason = rejection.Version, rejection.Reason
			}
		}
		all = append(all, status)
	}
	slices.SortFunc(all, func(a, b SubscriberStatus) int { return cmp.Compare(a.Subscriber, b.Subscriber) })
	return all
}

// MergeStatus joins what several relays say: of each subscriber what was heard last.
func MergeStatus(relays ...[]SubscriberStatus) []SubscriberStatus {
	newest := map[string]SubscriberStatus{}
	for _, relay := range relays {
		for _, status := range relay {
			if known, found := newest[status.Subscriber]; !found || status.SinceLastPollMS < known.SinceLastPollMS {
				newest[status.Subscriber] = status
			}
		}
	}
	return slices.SortedFunc(maps.Values(newest), func(a, b SubscriberStatus) int { return cmp.Compare(a.Subscriber, b.Subscriber) })
}
