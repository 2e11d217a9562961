package configuration

import "time"

// StatusPath is the URL path at which a relay reports the state of its subscribers for
// one service: GET StatusPath?service=NAME.
const StatusPath = PollPath + "/status"

// StatusParameter is the query parameter that names the service.
const StatusParameter = "service"

// MaxStatusResponseBytes limits the size of a StatusResponse. It is sufficient for
// MaxSubscribers subscribers that all report a rejection, with names and reasons of the
// maximum length.
const MaxStatusResponseBytes = 16 << 20

// StatusResponse is the state of one relay's subscribers for one service.
type StatusResponse struct {
	Region string `json:"region"`
	// Version is the relay's current version; 0 until it has contacted the coordination
	// cluster.
	Version Version `json:"version"`
	// AgeMS is the time in milliseconds since the relay sent its latest call that got a
	// response from a cluster with a leader.
	AgeMS       int64              `json:"age_ms"`
	Subscribers []SubscriberStatus `json:"subscribers"`
}

// Age returns AgeMS as a duration.
func (r *StatusResponse) Age() time.Duration { return time.Duration(r.AgeMS) * time.Millisecond }

// SubscriberStatus is the state of one subscriber for one service.
type SubscriberStatus struct {
	Subscriber string `json:"subscriber"`
	// Version is the newest version of the region's configuration that the subscriber has
	// acknowledged.
	Version Version `json:"version"`
	// RejectedVersion is the version of the service's settings that the subscriber could
	// not apply, or 0 if there is none. Reason is the cause.
	RejectedVersion Version `json:"rejected,omitempty"`
	Reason          string  `json:"reason,omitempty"`
	// SinceLastPollMS is the time since the subscriber's last poll, in milliseconds.
	SinceLastPollMS int64 `json:"silent_ms"`
}
