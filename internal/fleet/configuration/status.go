package configuration

import "time"

// StatusPath is where a relay answers how its subscribers stand to one service:
// GET StatusPath?service=NAME.
const StatusPath = PollPath + "/status"

// StatusParameter is the query parameter that names the service.
const StatusParameter = "service"

// MaxStatusResponseBytes bounds a StatusResponse: MaxSubscribers that all reject, with the
// longest names and reasons.
const MaxStatusResponseBytes = 16 << 20

// StatusResponse is how the subscribers of one relay stand to one service.
type StatusResponse struct {
	Region string `json:"region"`
	// Version is the newest that the relay holds; 0 where it has not heard from a
	// council yet.
	Version Version `json:"version"`
	// AgeMS is how long ago the relay last heard from a council that has a leader, in
	// milliseconds.
	AgeMS       int64              `json:"age_ms"`
	Subscribers []SubscriberStatus `json:"subscribers"`
}

// Age is AgeMS as a duration.
func (a *StatusResponse) Age() time.Duration { return time.Duration(a.AgeMS) * time.Millisecond }
