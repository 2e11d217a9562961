package httpupstream

import "time"

const (
	// usualQuietTime is how long a connection must have been quiet before its next use. An
	// upstream may send a second copy of a response some milliseconds after the first. On a
	// connection that is used before, the copy would be taken for the next response: nothing
	// in HTTP/1.1 tells them apart. A pause is no proof either, but a copy that comes within
	// it ends the connection.
	usualQuietTime = 15 * time.Millisecond
	// cautiousQuietTime replaces usualQuietTime for cautiousPeriod after surplus bytes.
	cautiousQuietTime = 100 * time.Millisecond
	cautiousPeriod    = 30 * time.Second
)

// surplus follows how often upstreams send bytes that belong to no request. The zero value has
// seen none.
type surplus struct{ latest time.Time }

// record notes that surplus bytes were seen.
func (s *surplus) record(now time.Time) { s.latest = now }

// quietTime returns how long a connection must have been quiet before its next use.
func (s *surplus) quietTime(now time.Time) time.Duration {
	if !s.latest.IsZero() && now.Sub(s.latest) < cautiousPeriod {
		return cautiousQuietTime
	}
	return usualQuietTime
}
