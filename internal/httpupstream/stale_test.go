package httpupstream

import (
	"testing"
	"time"
)

// The limit falls to where resets begin to strike, is not moved by resets at
// any age, and comes back when they are over.
func TestStalenessFindsTheLimit(t *testing.T) {
	const most = 5 * time.Second
	now := time.Now()
	var s staleness
	for i := range 400 {
		s.learn(now, time.Duration(i)*2*time.Millisecond, i%20 == 0)
	}
	if l := s.limit(now, most); l != most {
		t.Errorf("resets at any age: limit %v", l)
	}
	for i := range 20 {
		s.learn(now, 200*time.Millisecond, i%2 == 0)
		s.learn(now, 200*time.Millisecond, true)
	}
	if l := s.limit(now, most); l > 200*time.Millisecond || l < 100*time.Millisecond {
		t.Errorf("resets from 200 ms on: limit %v", l)
	}
	if l := s.limit(now.Add(10*staleHalf), most); l != most {
		t.Errorf("long after: limit %v", l)
	}
}
