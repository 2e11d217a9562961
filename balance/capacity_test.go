package balance

import (
	"fmt"
	"testing"
	"time"

	"otterspring/internal/lab/cost"
)

// The sizes of docs/CAPACITY.md: today's list, and up to the whole fleet that is coming.
var capacitySizes = []int{200, 1000, 2000, 4096, 8000, 13000}

// capacityBalancer returns a balancer that holds a list of a size.
func capacityBalancer(b *testing.B, servers int, warmKeys bool) (*Balancer, []Server) {
	b.Helper()
	settings := testSettings()
	settings.KeyAffinity = warmKeys
	balancer, err := New(settings, 1)
	if err != nil {
		b.Fatal(err)
	}
	list := testServers(servers)
	balancer.Endpoints(time.Second, ListFull, list, nil)
	return balancer, list
}

// BenchmarkServerRestart is what it costs to be told of one server's restart: it
// drains, leaves and comes back in warm-up, each in a list of its own. No request is decided
// on meanwhile. The three steps are reported each by itself.
func BenchmarkServerRestart(b *testing.B) {
	steps := []struct {
		name  string
		state ServerState
	}{{"drain-ns", Draining}, {"leave-ns", Removed}, {"return-ns", Ready}}
	for _, warmKeys := range []bool{false, true} {
		for _, servers := range capacitySizes {
			b.Run(fmt.Sprintf("keys=%t/servers=%d", warmKeys, servers), func(b *testing.B) {
				balancer, list := capacityBalancer(b, servers, warmKeys)
				now := time.Second
				var acts []Action
				var took [3]time.Duration
				cost.Loop(b, func(i int) {
					now += time.Second
					server := list[i%len(list)]
					for k, step := range steps {
						server.State, server.StartTime = step.state, now
						begun := cost.CPU()
						acts = balancer.Endpoints(now, ListDelta, []Server{server}, acts[:0])
						took[k] += cost.CPU() - begun
					}
				})
				for k, step := range steps {
					b.ReportMetric(float64(took[k].Nanoseconds())/float64(b.N), step.name)
				}
			})
		}
	}
}

// BenchmarkServerMemory reports the heap that each server of a list holds.
func BenchmarkServerMemory(b *testing.B) {
	for _, warmKeys := range []bool{false, true} {
		for _, servers := range capacitySizes {
			b.Run(fmt.Sprintf("keys=%t/servers=%d", warmKeys, servers), func(b *testing.B) {
				list := testServers(servers)
				cost.Held(b, servers, "B/server", func() any {
					held, err := New(testSettings(), 1)
					if err != nil {
						b.Fatal(err)
					}
					held.settings.KeyAffinity = warmKeys
					held.Endpoints(time.Second, ListFull, list, nil)
					return held
				})
			})
		}
	}
}

// BenchmarkPick is what one request costs that is answered at the first attempt,
// with a key and without.
func BenchmarkPick(b *testing.B) {
	for _, key := range []bool{false, true} {
		for _, servers := range capacitySizes {
			b.Run(fmt.Sprintf("keys=%t/servers=%d", key, servers), func(b *testing.B) {
				balancer, _ := capacityBalancer(b, servers, key)
				now := time.Second
				var acts []Action
				cost.Loop(b, func(i int) {
					now += 16 * time.Millisecond // 60 requests a second
					request := Request{ID: fmt.Sprint(i), Class: "read", Deadline: now + time.Second}
					if key {
						request.Key = fmt.Sprint(i % 3000)
					}
					acts = balancer.Request(now, request, acts[:0])
					acts = balancer.Outcome(now+ms, Outcome{Request: request.ID, Status: OK, Took: ms, Final: true}, acts[:0])
				})
			})
		}
	}
}
