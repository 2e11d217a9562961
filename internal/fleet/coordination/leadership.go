package coordination

import "time"

// Leadership tracks, on the lease holder, until when the lease is valid. The lease is valid
// for the lease duration minus the safety margin. This time starts when the holder sent the
// last request that the cluster has confirmed. All times are read from a
// clock of the holder that also advances while the machine is suspended. The zero value is
// never valid. Leadership is not safe for concurrent use.
type Leadership struct {
	Token      FencingToken
	validUntil time.Duration
}

// Renew extends the leadership after the cluster has confirmed a request. The parameter
// requested is the time at which the holder sent the request.
func (l *Leadership) Renew(requested time.Duration, token FencingToken, lease, margin time.Duration) {
	l.Token, l.validUntil = token, requested+lease-margin
}

// Valid reports whether the holder may still act under its lease.
func (l *Leadership) Valid(now time.Duration) bool { return l.Token != 0 && now < l.validUntil }

// ExpiredFor returns the time since the leadership expired, or 0 while it is valid.
func (l *Leadership) ExpiredFor(now time.Duration) time.Duration { return max(0, now-l.validUntil) }

// Reset ends the leadership.
func (l *Leadership) Reset() { *l = Leadership{} }
