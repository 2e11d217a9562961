package sidecar

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"otterspring/balance"
	"otterspring/internal/lab/cost"
	"otterspring/internal/sidecar/discovery"
	"otterspring/internal/sidecar/dispatch"
	"otterspring/internal/sidecar/httpupstream"
	"otterspring/internal/simprotocol"
)

// The sizes of docs/CAPACITY.md: today's list, and up to the whole fleet that is coming.
var capacitySizes = []int{200, 1000, 2000, 4096, 8000, 13000}

// capacityList is a list in discovery's form, of the length of the protocol's own
// example.
func capacityList(servers int) []byte {
	var text bytes.Buffer
	text.WriteString(`{"index":1,"snapshot":true,"endpoints":[`)
	for i := range servers {
		if i > 0 {
			text.WriteByte(',')
		}
		fmt.Fprintf(&text, `{"name":"s-%08x","address":"10.1.%d.%d:8443","zone":"a","type":"m2","group":%d,"status":"active","weight":1.0,"since_ms":0}`, i, i>>8, i&0xff, i/3)
	}
	text.WriteString(`]}`)
	return text.Bytes()
}

// capacityDispatcher is a sidecar's dispatcher with its connection pool, as a start joins
// them.
func capacityDispatcher(b *testing.B, warmKeys bool) *dispatch.Dispatcher {
	b.Helper()
	pool := httpupstream.New(simprotocol.ConnectionSettings{IdleTimeout: 5 * time.Second, DialTimeout: time.Second}, 400)
	eng, err := dispatch.New(dispatch.Settings{
		Balance: balance.Settings{
			MaxAttempts: 3, InitialCapacity: 0.2, WarmUpTime: 20 * time.Second, WarmUpOverloadMultiple: 3, KeyAffinity: warmKeys,
			Classes: []balance.Class{{Name: "read", Deadline: time.Second}},
		},
		DialTimeout: time.Second, OpenUpstream: pool.Open,
	}, func() {})
	if err != nil {
		b.Fatal(err)
	}
	return eng
}

// capacityListed is a dispatcher that was told a whole list.
func capacityListed(b *testing.B, warmKeys bool, text []byte) *dispatch.Dispatcher {
	b.Helper()
	list, err := discovery.Parse(text)
	if err != nil {
		b.Fatal(err)
	}
	eng := capacityDispatcher(b, warmKeys)
	eng.UpdateEndpoints(balance.ListFull, list, 0)
	return eng
}

// BenchmarkListAtStart is what a sidecar pays for a whole list, from its text on.
func BenchmarkListAtStart(b *testing.B) {
	for _, warmKeys := range []bool{false, true} {
		for _, servers := range capacitySizes {
			b.Run(fmt.Sprintf("keys=%t/servers=%d", warmKeys, servers), func(b *testing.B) {
				text := capacityList(servers)
				cost.Loop(b, func(int) { capacityListed(b, warmKeys, text) })
				b.ReportMetric(float64(len(text)), "wire-B")
			})
		}
	}
}

// BenchmarkListChange is what a sidecar pays for the change of one server, and for
// how long no request is decided on.
func BenchmarkListChange(b *testing.B) {
	for _, warmKeys := range []bool{false, true} {
		for _, servers := range capacitySizes {
			b.Run(fmt.Sprintf("keys=%t/servers=%d", warmKeys, servers), func(b *testing.B) {
				list, err := discovery.Parse(capacityList(servers))
				if err != nil {
					b.Fatal(err)
				}
				eng := capacityDispatcher(b, warmKeys)
				eng.UpdateEndpoints(balance.ListFull, list, 0)
				states := []balance.ServerState{balance.Draining, balance.Removed, balance.Ready}
				cost.Loop(b, func(i int) {
					entry := list.Endpoints[i/len(states)%servers]
					entry.State, entry.StartedMillis = states[i%len(states)], int64(i)
					eng.UpdateEndpoints(balance.ListDelta, dispatch.EndpointList{Version: int64(i + 2), Endpoints: []dispatch.Endpoint{entry}}, 0)
				})
			})
		}
	}
}

// BenchmarkListMemory reports the heap that each server of the list holds in a
// sidecar, the connection pool's part with it; no connection is open.
func BenchmarkListMemory(b *testing.B) {
	for _, warmKeys := range []bool{false, true} {
		for _, servers := range capacitySizes {
			b.Run(fmt.Sprintf("keys=%t/servers=%d", warmKeys, servers), func(b *testing.B) {
				text := capacityList(servers)
				cost.Held(b, servers, "B/server", func() any {
					eng := capacityListed(b, warmKeys, text)
					if _, _, hosts := eng.Counts(); hosts != servers {
						b.Fatalf("found %d servers, wanted %d", hosts, servers)
					}
					return eng
				})
			})
		}
	}
}

// A reload brings no setting into use: a sidecar that runs is told of a change of them
// by the configuration of its services only (docs/CAPACITY.md, Limits).
func TestReloadBringsNoSettings(t *testing.T) {
	read := func(old, new string) Config {
		text := strings.Replace(configText("127.0.0.1:1"), old, new, 1)
		cfg, err := parseConfig([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		return cfg
	}
	before, same, after := read("", ""), read("", ""), read(`"aim-us":8000000`, `"aim-us":7000000`)
	if found := before.changedKeys(&same); len(found) != 0 {
		t.Errorf("the same file: %q wait for the next start, wanted none", found)
	}
	if found := before.changedKeys(&after); !slices.Equal(found, []string{"settings"}) {
		t.Errorf("another latency objective: found keys %q that wait for the next start, wanted settings", found)
	}
}
