// Package dedup records the idempotency keys that the call servers of a pod have
// executed, so that duplicate requests are not executed again.
package dedup

import "time"

// maxQueueTime is the longest time that a duplicate may be queued at a server between its
// arrival and its execution. Keys are kept this much longer than the window.
const maxQueueTime = time.Minute

// Memory holds the keys that a pod has executed. It is not safe for concurrent use.
//
// The window runs from the arrival of the first request to the arrival of the duplicate,
// because the protocol measures it between the two sends. Time spent in a server's queue does
// not count: a duplicate that arrives within the window is dropped even if it is dequeued
// after the window.
type Memory struct {
	window      time.Duration
	arrivals    map[string]time.Duration // arrival of the latest executed request, by key
	lastCleanup time.Duration
}

// New returns a memory that drops duplicates arriving within window.
func New(window time.Duration) *Memory {
	return &Memory{window: window, arrivals: map[string]time.Duration{}}
}

// Execute reports whether a request with the given key is to be executed, and records the key
// if so. The request arrived at the time arrived and is dequeued at the time now. Both times
// are measured from the same origin.
func (m *Memory) Execute(key string, arrived, now time.Duration) bool {
	m.cleanUp(now)
	if first, executed := m.arrivals[key]; executed && arrived-first <= m.window {
		return false
	}
	m.arrivals[key] = arrived
	return true
}

// cleanUp removes the keys that are too old to match a duplicate.
func (m *Memory) cleanUp(now time.Duration) {
	if now-m.lastCleanup <= m.window {
		return
	}
	m.lastCleanup = now
	for key, arrived := range m.arrivals {
		if now-arrived > m.window+maxQueueTime {
			delete(m.arrivals, key)
		}
	}
}
