package httpserver

import "testing"

func TestEventsAreReportedOnceAndNotTooOften(t *testing.T) {
	var events eventCounts
	const interval = int64(eventReportInterval / 1e6)
	if found := events.takeNew(interval); found != nil {
		t.Errorf("found %v before any event, want none", found)
	}
	events.count(eventBusy)
	events.count(eventBusy)
	events.count(eventShed)
	if found := events.takeNew(interval); len(found) != 2 {
		t.Errorf("found %v, want two keys", found)
	}
	events.count(eventShed)
	if found := events.takeNew(2*interval - 1); found != nil {
		t.Errorf("found %v within the interval, want none", found)
	}
	if found := events.takeNew(2 * interval); len(found) != 1 {
		t.Errorf("found %v, want one key", found)
	}
}

func TestEveryEventHasAKey(t *testing.T) {
	seen := map[string]bool{}
	for i, key := range eventKeys {
		if key == "" || seen[key] {
			t.Errorf("event %d has the key %q, want one of its own", i, key)
		}
		seen[key] = true
	}
}
