package coordination

import "time"

// Leadership is a lease holder's view of its time: it may start effects until the lease
// duration, less the safety margin, has passed since it requested the lease. Times are
// of a clock of the holder that continues while the machine is suspended. The zero
// value is no leadership. It has no lock; its user serializes the calls.
type Leadership struct {
	Token      FencingToken
	validUntil time.Duration
}

// Renew extends the leadership after a confirmed request that was sent at the time
// requested.
func (l *Leadership) Renew(requested time.Duration, token FencingToken, lease, margin time.Duration) {
	l.Token, l.validUntil = token, requested+lease-margin
}

// Valid reports whether the holder may start an effect.
func (l *Leadership) Valid(now time.Duration) bool { return l.Token != 0 && now < l.validUntil }

// ExpiredFor returns the time since the leadership expired; 0 while it is valid.
func (l *Leadership) ExpiredFor(now time.Duration) time.Duration { return max(0, now-l.validUntil) }

// Reset ends the leadership.
func (l *Leadership) Reset() { *l = Leadership{} }
