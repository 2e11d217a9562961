package endpointlist

import (
	"testing"
	"time"
)

// The lease holder sends each host what it lacks, a few at a time, and a heartbeat to each in
// every interval; one that does not answer delays nobody else.
func TestPublisher(t *testing.T) {
	p := NewPublisher(time.Second, 4)
	p.SetHosts([]string{"a", "b", "c", "d", "e", "f"})
	first := p.Due(0, 7)
	if len(first) != 4 || len(p.Due(0, 7)) != 0 {
		t.Fatalf("sent to %v at once", first)
	}
	for name, since := range first {
		if since != 0 {
			t.Errorf("%s: changes since %d, though its version is not known", name, since)
		}
		p.Acknowledged(name, 7, 10*time.Millisecond)
	}
	second := p.Due(10*time.Millisecond, 7)
	if len(second) != 2 {
		t.Fatalf("then %v", second)
	}
	unresponsive := ""
	for name := range second {
		if unresponsive == "" {
			unresponsive = name
			continue
		}
		p.Acknowledged(name, 5, 20*time.Millisecond) // it has an older version all the same
	}
	third := p.Due(30*time.Millisecond, 7)
	if _, due := third[unresponsive]; len(third) != 1 || due {
		t.Fatalf("then %v, and %s has not answered", third, unresponsive)
	}
	for name, since := range third {
		if since != 5 {
			t.Errorf("%s has 5 and is sent the changes since %d", name, since)
		}
		p.Acknowledged(name, 7, 30*time.Millisecond)
	}
	if n := len(p.Due(900*time.Millisecond, 7)); n != 0 {
		t.Errorf("%d are sent something before the interval is over", n)
	}
	if n := len(p.Due(1100*time.Millisecond, 7)); n != 3 {
		t.Errorf("%d are sent a heartbeat after a second while one is in flight, wanted 3 of 4 slots", n)
	}
	p.SetHosts([]string{"a"})
	p.Acknowledged(unresponsive, UnknownVersion, 2*time.Second)
	if len(p.subscribers) > 5 {
		t.Errorf("%d hosts are remembered", len(p.subscribers))
	}
}
