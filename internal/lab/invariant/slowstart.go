package invariant

import (
	"math"
	"time"
)

// Second describes the attempts that arrived at call servers in one second of the
// Checker's clock.
type Second struct {
	FirstAttempts, Retries int
	// WarmupLoad is the largest amount of work that a server received within OverloadWindow
	// while the server warmed up, as a fraction of the server's overload limit.
	WarmupLoad float64
}

// warmupAttempt is one attempt that arrived at a server while the server warmed up.
type warmupAttempt struct {
	at       time.Duration
	work     float64 // in seconds
	notified bool    // sent by an instance that was notified of the server's start
}

// checkWarmup records an attempt and checks the work of the attempts within OverloadWindow
// against the server's capacity. The rule is violated only if at least two thirds of that work
// came from instances that were notified of the server's start. Other instances cannot know
// that the server is warming up.
func (c *Checker) checkWarmup(key serverKey, at time.Duration, work, capacity float64, notified bool) {
	attempts := c.warmups[key]
	attempts = append(attempts, warmupAttempt{at, work, notified})
	for len(attempts) > 0 && attempts[0].at <= at-c.rules.OverloadWindow {
		attempts = attempts[1:]
	}
	c.warmups[key] = attempts
	sum, largest, notifiedWork, notifiedCount := 0.0, 0.0, 0.0, 0
	for _, a := range attempts {
		sum += a.work
		largest = max(largest, a.work)
		if a.notified {
			notifiedWork += a.work
			notifiedCount++
		}
	}
	if n := c.rules.OverloadMultiple * capacity * c.rules.OverloadWindow.Seconds() * float64(c.attemptCount) / c.totalWork; 3*notifiedCount >= 2*len(attempts) {
		c.report.WarmupPeakCalls = max(c.report.WarmupPeakCalls, float64(len(attempts))/(n+2*math.Sqrt(n)+2))
	}
	// The attempt with the most work is left out, to allow for random variation.
	load := (sum - largest) / (c.rules.OverloadMultiple * capacity * c.rules.OverloadWindow.Seconds())
	c.report.WarmupPeakLoad = max(c.report.WarmupPeakLoad, load)
	if second := c.second(at); second != nil {
		second.WarmupLoad = max(second.WarmupLoad, load)
	}
	if sum-largest > c.rules.OverloadMultiple*capacity*c.rules.OverloadWindow.Seconds() && !c.overloaded[key] {
		if notifiedWork < sum*2/3 {
			c.report.OverloadedUnnotified++
			return
		}
		c.overloaded[key] = true
		c.violate(&c.report.Overloaded, "%s (incarnation %d): sent %.2f s of work within %v while its capacity is %.2f s per second",
			key.name, key.incarnation, sum, c.rules.OverloadWindow, capacity)
	}
}

// second returns the record of the second that contains the time "at". It returns nil for a
// time beyond maxSeconds.
func (c *Checker) second(at time.Duration) *Second {
	i := int(at / time.Second)
	if i < 0 || i >= maxSeconds {
		return nil
	}
	for len(c.seconds) <= i {
		c.seconds = append(c.seconds, Second{})
	}
	return &c.seconds[i]
}

// Seconds returns the records of all seconds since the time "from", which is rounded to a full
// second.
func (c *Checker) Seconds(from time.Duration) []Second {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := min(int((from+time.Second/2)/time.Second), len(c.seconds))
	return append([]Second(nil), c.seconds[i:]...)
}
