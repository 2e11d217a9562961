package httpupstream

import (
	"testing"
	"time"
)

// The limit falls to the idle time at which resets begin, is not changed by resets at any
// idle time, and returns when they are over.
func TestStalenessFindsTheLimit(t *testing.T) {
	const maxIdle = 5 * time.Second
	now := time.Now()
	var s staleness
	for i := range 400 {
		s.record(now, time.Duration(i)*2*time.Millisecond, i%20 == 0)
	}
	if limit := s.limit(now, maxIdle); limit != maxIdle {
		t.Errorf("resets at any idle time: found limit %v, wanted %v", limit, maxIdle)
	}
	for i := range 20 {
		s.record(now, 200*time.Millisecond, i%2 == 0)
		s.record(now, 200*time.Millisecond, true)
	}
	if limit := s.limit(now, maxIdle); limit > 200*time.Millisecond || limit < 100*time.Millisecond {
		t.Errorf("resets from 200 ms on: found limit %v, wanted 100 to 200 ms", limit)
	}
	if limit := s.limit(now.Add(10*useHalfLife), maxIdle); limit != maxIdle {
		t.Errorf("long after: found limit %v, wanted %v", limit, maxIdle)
	}
}
