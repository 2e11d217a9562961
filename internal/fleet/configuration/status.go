package configuration

import "time"

// StatusPath is where a relay reports its subscribers' state for one service:
// GET StatusPath?service=NAME.
const StatusPath = PollPath + "/status"

// StatusParameter is the query parameter that names the service.
const StatusParameter = "service"

// MaxStatusResponseBytes bounds a StatusResponse: MaxSubscribers that all reject, with
// the longest names and reasons.
const MaxStatusResponseBytes = 16 << 20

// StatusResponse is the state of one relay's subscribers for one service.
type StatusResponse struct {
	Region string `json:"region"`
	// Version is the newest that the relay has; 0 before it has contacted the
	// coordination cluster.
	Version Version `json:"version"`
	// AgeMS is how long ago the relay last got a response from a cluster with a leader, in
	// milliseconds.
	AgeMS       int64              `json:"age_ms"`
	Subscribers []SubscriberStatus `json:"subscribers"`
}

// Age returns AgeMS as a duration.
func (r *StatusResponse) Age() time.Duration { return time.Duration(r.AgeMS) * time.Millisecond }

// SubscriberStatus is the state of one subscriber for one service.
type SubscriberStatus struct {
	Subscriber string `json:"subscriber"`
	// Version is the newest of the region that the subscriber has acknowledged.
	Version Version `json:"version"`
	// RejectedVersion is the service's version that the subscriber can't use, 0 for none,
	// and Reason says why.
	RejectedVersion Version `json:"rejected,omitempty"`
	Reason          string  `json:"reason,omitempty"`
	// SinceLastPollMS is the time since the subscriber's last poll, in milliseconds.
	SinceLastPollMS int64 `json:"silent_ms"`
}
