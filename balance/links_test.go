package balance

import (
	"fmt"
	"testing"
	"time"
)

// opened plays a quiet balancer against many servers, with a server's view of
// its connections, and returns how many it opened for each request.
func opened(t *testing.T, idleFor time.Duration, servers int, rate float64) float64 {
	t.Helper()
	set := site()
	set.KeyAffinity, set.CanHedge, set.IdleTimeout = true, false, idleFor
	b, _ := New(set, 9)
	b.Endpoints(time.Second, ListFull, fleet(servers), nil)
	const closes, took, requests = 5 * time.Second, 30 * ms, 3000
	now, made := time.Minute, 0
	last := map[string]time.Duration{} // when a server's one connection was used
	for i := range requests {
		now += time.Duration(float64(time.Second) / rate)
		id := fmt.Sprint(i)
		key := fmt.Sprint("k", mix(uint64(i))%2000)
		to := sentTo(b.Request(now, Request{ID: id, Class: "read", Key: key, Deadline: now + 500*ms}, nil))
		if to == "" {
			t.Fatalf("request %d was not sent", i)
		}
		if at, ok := last[to]; !ok || now-at >= closes {
			made++
		}
		last[to] = now + took
		b.Outcome(now+took, Outcome{Request: id, Status: OK, Took: took, Final: true}, nil)
	}
	return float64(made) / requests
}

// A quiet balancer on a large list keeps to servers that it holds a connection
// to; without that two in three of its requests open one.
func TestQuietBalancerUsesTheConnectionsThatItHolds(t *testing.T) {
	with, without := opened(t, 4500*ms, 180, 14), opened(t, 0, 180, 14)
	if with > 0.25 || without < 0.5 {
		t.Errorf("connections opened a request: %.2f, and %.2f where no idle time is told; want 0.25 at most against 0.5 at least", with, without)
	}
	if busy := opened(t, 4500*ms, 12, 100); busy > 0.02 {
		t.Errorf("a busy one with 12 servers opened %.2f a request", busy)
	}
}

// linkWorld is a balancer with one idle connection, to the second server of the
// key that ask asks for.
func linkWorld(t *testing.T) (b *Balancer, second string, ask func(now time.Duration) string) {
	t.Helper()
	set := site()
	set.KeyAffinity, set.CanHedge, set.IdleTimeout = true, false, 4*time.Second
	b, _ = New(set, 9)
	b.Endpoints(time.Second, ListFull, fleet(12), nil)
	seen, n := 0, 0
	s := b.ring.find(hashString("a key"), func(*server) bool { seen++; return seen == 2 })
	s.idle = []time.Duration{time.Minute + 10*ms}
	return b, s.ID, func(now time.Duration) string {
		n++
		return sentTo(b.Request(now, Request{ID: fmt.Sprint(n), Class: "read", Key: "a key", Deadline: now + 500*ms}, nil))
	}
}

// The connection counts until it is too old, in use, let go of, or its server
// has started anew.
func TestAnIdleConnectionCountsWhileItIsHeld(t *testing.T) {
	soon := time.Minute + time.Second
	_, other, ask := linkWorld(t)
	if to := ask(soon); to != other {
		t.Errorf("sent to %s, want %s, to which a connection is held", to, other)
	}
	if to := ask(soon + ms); to == other {
		t.Errorf("sent to %s, whose connection is in use", to)
	}
	_, other, ask = linkWorld(t)
	if to := ask(time.Minute + 4*time.Second + 10*ms); to == other {
		t.Errorf("sent to %s, whose connection is too old", to)
	}
	b, other, ask := linkWorld(t)
	b.release(soon)
	if len(b.acts) != 1 || b.acts[0].Kind != CloseIdle || b.acts[0].Server != other {
		t.Errorf("let go of %v, want the connection to %s", b.acts, other)
	}
	b.acts = nil
	if to := ask(soon); to == other {
		t.Errorf("sent to %s, whose connection was let go of", to)
	}
	b, other, ask = linkWorld(t)
	anew := b.byID[other].Server
	anew.StartTime = 30 * time.Second // warm by now
	b.Endpoints(soon, ListDelta, []Server{anew}, nil)
	if to := ask(soon); to == other {
		t.Errorf("sent to %s, which has started anew", to)
	}
}

// A connection is worth nothing to a request whose server answers much slower
// than its like.
func TestAConnectionToASlowServerIsPassedOver(t *testing.T) {
	b, other, ask := linkWorld(t)
	now := time.Minute + 100*ms
	s := b.byID[other]
	for range 5 {
		b.sample(s, now, 6)
	}
	if to := ask(now); to == other {
		t.Errorf("sent to %s, six times as slow as the rest", to)
	}
}

// The server with a connection draws its part of the keys, not all of them: a
// key keeps to a few servers, which hold what it needs.
func TestAConnectionDrawsItsPartOfTheKeys(t *testing.T) {
	set := site()
	set.KeyAffinity, set.CanHedge, set.IdleTimeout = true, false, 4*time.Second
	drawn := 0
	const keys, servers = 400, 180
	for i := range keys {
		b, _ := New(set, uint64(i))
		b.Endpoints(time.Second, ListFull, fleet(servers), nil)
		b.byID[fleet(servers)[7].ID].idle = []time.Duration{time.Minute}
		q := Request{ID: "1", Class: "read", Key: fmt.Sprint("k", i), Deadline: time.Minute + time.Second}
		if sentTo(b.Request(time.Minute+ms, q, nil)) == fleet(servers)[7].ID {
			drawn++
		}
	}
	if most := int(keys * keyNear * 1.5); drawn == 0 || drawn > most {
		t.Errorf("%d of %d keys went to the one connection of %d servers, want 1 to %d", drawn, keys, servers, most)
	}
}

// What is let go of is a connection that is there: one that has ended of old age
// makes no room.
func TestLettingGoPassesOverWhatHasEnded(t *testing.T) {
	b, ended, _ := linkWorld(t)
	now := time.Minute + 10*time.Second
	for _, s := range b.all {
		if s.ID != ended {
			s.idle = []time.Duration{now - time.Second}
			break
		}
	}
	b.release(now)
	if len(b.acts) != 1 || b.acts[0].Server == ended {
		t.Errorf("let go of %v, want a connection that is held, not the one to %s", b.acts, ended)
	}
}
