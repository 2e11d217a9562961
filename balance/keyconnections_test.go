package balance

import (
	"fmt"
	"testing"
	"time"
)

// connectionsPerRequest plays a quiet balancer against many servers, with a server's view of
// its connections, and returns how many it opened for each request.
func connectionsPerRequest(t *testing.T, idleFor time.Duration, servers int, rate float64) float64 {
	t.Helper()
	set := testSettings()
	set.KeyAffinity, set.CanHedge, set.IdleTimeout = true, false, idleFor
	b, _ := New(set, 9)
	b.Endpoints(time.Second, ListFull, testServers(servers), nil)
	const closes, took, requests = 5 * time.Second, 30 * ms, 3000
	now, made := time.Minute, 0
	last := map[string]time.Duration{} // when a server's one connection was used
	for i := range requests {
		now += time.Duration(float64(time.Second) / rate)
		id := fmt.Sprint(i)
		key := fmt.Sprint("k", mixBits(uint64(i))%2000)
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
func TestQuietBalancerUsesItsIdleConnections(t *testing.T) {
	with, without := connectionsPerRequest(t, 4500*ms, 180, 14), connectionsPerRequest(t, 0, 180, 14)
	if with > 0.25 || without < 0.5 {
		t.Errorf("connections opened a request: %.2f, and %.2f where no idle time is told; want 0.25 at most against 0.5 at least", with, without)
	}
	if busy := connectionsPerRequest(t, 4500*ms, 12, 100); busy > 0.02 {
		t.Errorf("a busy one with 12 servers opened %.2f a request", busy)
	}
}

// balancerWithIdleConnection is a balancer with one idle connection, to the second server of the
// key that ask asks for.
func balancerWithIdleConnection(t *testing.T) (b *Balancer, second string, ask func(now time.Duration) string) {
	t.Helper()
	set := testSettings()
	set.KeyAffinity, set.CanHedge, set.IdleTimeout = true, false, 4*time.Second
	b, _ = New(set, 9)
	b.Endpoints(time.Second, ListFull, testServers(12), nil)
	seen, n := 0, 0
	s := b.ring.find(hashString("a key"), func(*server) bool { seen++; return seen == 2 })
	s.idleSince = []time.Duration{time.Minute + 10*ms}
	return b, s.ID, func(now time.Duration) string {
		n++
		return sentTo(b.Request(now, Request{ID: fmt.Sprint(n), Class: "read", Key: "a key", Deadline: now + 500*ms}, nil))
	}
}

// The connection counts until it is too old, in use, let go of, or its server
// has started anew.
func TestIdleConnectionCountsUntilItExpires(t *testing.T) {
	soon := time.Minute + time.Second
	_, other, ask := balancerWithIdleConnection(t)
	if to := ask(soon); to != other {
		t.Errorf("sent to %s, want %s, to which a connection is held", to, other)
	}
	if to := ask(soon + ms); to == other {
		t.Errorf("sent to %s, whose connection is in use", to)
	}
	_, other, ask = balancerWithIdleConnection(t)
	if to := ask(time.Minute + 4*time.Second + 10*ms); to == other {
		t.Errorf("sent to %s, whose connection is too old", to)
	}
	b, other, ask := balancerWithIdleConnection(t)
	b.closeLongestIdle(soon)
	if len(b.actions) != 1 || b.actions[0].Kind != CloseIdle || b.actions[0].Server != other {
		t.Errorf("let go of %v, want the connection to %s", b.actions, other)
	}
	b.actions = nil
	if to := ask(soon); to == other {
		t.Errorf("sent to %s, whose connection was let go of", to)
	}
	b, other, ask = balancerWithIdleConnection(t)
	anew := b.serversByID[other].Server
	anew.StartTime = 30 * time.Second // warm by now
	b.Endpoints(soon, ListDelta, []Server{anew}, nil)
	if to := ask(soon); to == other {
		t.Errorf("sent to %s, which has started anew", to)
	}
}

// A connection has no value if its server responds much slower than the others.
func TestConnectionToASlowServerIsNotUsed(t *testing.T) {
	b, other, ask := balancerWithIdleConnection(t)
	now := time.Minute + 100*ms
	s := b.serversByID[other]
	for range 5 {
		b.addSample(s, now, 6)
	}
	if to := ask(now); to == other {
		t.Errorf("sent to %s, six times as slow as the rest", to)
	}
}

// The server with a connection draws its part of the keys, not all of them: a
// key keeps to a few servers, which hold what it needs.
func TestConnectionAttractsItsShareOfKeys(t *testing.T) {
	set := testSettings()
	set.KeyAffinity, set.CanHedge, set.IdleTimeout = true, false, 4*time.Second
	drawn := 0
	const keys, servers = 400, 180
	for i := range keys {
		b, _ := New(set, uint64(i))
		b.Endpoints(time.Second, ListFull, testServers(servers), nil)
		b.serversByID[testServers(servers)[7].ID].idleSince = []time.Duration{time.Minute}
		q := Request{ID: "1", Class: "read", Key: fmt.Sprint("k", i), Deadline: time.Minute + time.Second}
		if sentTo(b.Request(time.Minute+ms, q, nil)) == testServers(servers)[7].ID {
			drawn++
		}
	}
	if most := int(keys * keyCandidateShare * 1.5); drawn == 0 || drawn > most {
		t.Errorf("%d of %d keys went to the one connection of %d servers, want 1 to %d", drawn, keys, servers, most)
	}
}

// What is let go of is a connection that is there: one that has ended of old age
// makes no room.
func TestClosingIdleConnectionsSkipsExpiredOnes(t *testing.T) {
	b, ended, _ := balancerWithIdleConnection(t)
	now := time.Minute + 10*time.Second
	for _, s := range b.servers {
		if s.ID != ended {
			s.idleSince = []time.Duration{now - time.Second}
			break
		}
	}
	b.closeLongestIdle(now)
	if len(b.actions) != 1 || b.actions[0].Server == ended {
		t.Errorf("let go of %v, want a connection that is held, not the one to %s", b.actions, ended)
	}
}
