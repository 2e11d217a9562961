package configuration

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// MaxSubscribers is the maximum number of subscribers that a relay registers.
const MaxSubscribers = 16 << 10

const (
	// subscriberTTL is how long a subscriber stays registered after its last poll.
	subscriberTTL = 15 * time.Minute
	// expiryInterval is the minimum time between two scans for expired subscribers, so that
	// a full registry is not scanned on each poll.
	expiryInterval = 10 * time.Second
)

// Registry records what each subscriber of a relay has acknowledged, using constant space
// per subscriber. It is not safe for concurrent use.
type Registry struct {
	subscribers map[string]*subscriberState
	nextExpiry  time.Duration
}

type subscriberState struct {
	services Subscription
	digest   uint64 // digest of services
	version  Version
	rejected []Rejection
	lastPoll time.Duration
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{subscribers: map[string]*subscriberState{}} }

// Record records a valid poll. It returns false if the subscriber is new and
// MaxSubscribers are already registered.
func (r *Registry) Record(now time.Duration, poll *Poll) bool {
	if now >= r.nextExpiry {
		r.ExpireInactive(now)
		r.nextExpiry = now + expiryInterval
	}
	state := r.subscribers[poll.Subscriber]
	if state == nil {
		if len(r.subscribers) >= MaxSubscribers {
			return false
		}
		state = &subscriberState{}
		r.subscribers[poll.Subscriber] = state
	}
	if (state.services == nil) != (poll.Services == nil) || !slices.Equal(state.services, poll.Services) {
		state.services = slices.Clone(poll.Services)
		state.digest = state.services.Digest()
	}
	state.version, state.rejected, state.lastPoll = poll.Version, TruncateRejections(poll.Rejected), now
	return true
}

// ResolveDigest replaces the digest in a poll with the services that were last recorded
// for the subscriber. It returns false if no services with this digest are recorded for the
// subscriber.
func (r *Registry) ResolveDigest(poll *Poll) bool {
	if poll.ServicesDigest == 0 {
		return true
	}
	state := r.subscribers[poll.Subscriber]
	if state == nil || state.digest != poll.ServicesDigest {
		return false
	}
	poll.Services, poll.ServicesDigest = state.services, 0
	return true
}

// ExpireInactive removes the subscribers that have not polled for subscriberTTL.
func (r *Registry) ExpireInactive(now time.Duration) {
	maps.DeleteFunc(r.subscribers, func(_ string, state *subscriberState) bool { return now > state.lastPoll+subscriberTTL })
}

// Len returns the number of registered subscribers.
func (r *Registry) Len() int { return len(r.subscribers) }

// Status returns the state of a service's subscribers, sorted by name.
func (r *Registry) Status(now time.Duration, service string) []SubscriberStatus {
	var all []SubscriberStatus
	for name, state := range r.subscribers {
		if state.services != nil && !slices.Contains(state.services, service) {
			continue
		}
		status := SubscriberStatus{Subscriber: name, Version: state.version, SinceLastPollMS: (now - state.lastPoll).Milliseconds()}
		for _, rejection := range state.rejected {
			if rejection.Service == service {
				status.RejectedVersion, status.Reason = rejection.Version, rejection.Reason
			}
		}
		all = append(all, status)
	}
	slices.SortFunc(all, bySubscriber)
	return all
}

// MergeStatus merges the reports of several relays. For each subscriber it returns the
// report with the most recent poll.
func MergeStatus(relays ...[]SubscriberStatus) []SubscriberStatus {
	latest := map[string]SubscriberStatus{}
	for _, relay := range relays {
		for _, status := range relay {
			if known, found := latest[status.Subscriber]; !found || status.SinceLastPollMS < known.SinceLastPollMS {
				latest[status.Subscriber] = status
			}
		}
	}
	return slices.SortedFunc(maps.Values(latest), bySubscriber)
}

// bySubscriber compares statuses by the name of the subscriber.
func bySubscriber(a, b SubscriberStatus) int { return cmp.Compare(a.Subscriber, b.Subscriber) }
