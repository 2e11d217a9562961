package client

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"otterspring/internal/coap/block"
	"otterspring/internal/coap/exchange"
	"otterspring/internal/coap/server"
)

// transcript plays requests with all options and each outcome between a client and a
// server, both with a fixed seed, and lists the datagrams as hexadecimal numbers.
func transcript(t *testing.T) string {
	t.Helper()
	serverSide, err := server.New(server.Settings{
		Params: exchange.DefaultParams(), Limits: exchange.ServerLimits{MaxPendingRequests: 100, MaxDedupEntries: 100, MaxDedupBytes: 1 << 20},
		Blocks: block.Limits{MaxTransfers: 4, MaxBodySize: 4096, MaxTotalSize: 16384, IdleTimeout: time.Minute, MaxBlockSize: 64},
		Classes: map[string]server.Class{
			"roster": {Effect: server.Repeat, Deadline: time.Second}, "join": {Effect: server.Keyed, Deadline: time.Second}, "act": {Effect: server.Once, Deadline: time.Second},
		},
		DeadlineTimes: 4, Observers: 2, ObserveEvery: time.Second, Trusted: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")},
		Clean: true, EchoKey: []byte("0123456789abcdef"), EchoAge: time.Minute, Seed: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	clientSide, err := New(Settings{Params: exchange.DefaultParams(), Limits: exchange.ClientLimits{MaxInFlight: 8, MaxDedupEntries: 8}, Body: 4096, Block: 64, EchoFor: time.Second, Seed: 1}, there)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	now := time.Duration(0)
	play := func(name string, r Request, a server.Answer) {
		fmt.Fprintf(&out, "# %s\n", name)
		now += time.Second
		toClient := clientSide.Begin(now, uint64(now), r, nil)
		for len(toClient) > 0 {
			x := toClient[0]
			toClient = toClient[1:]
			switch x.Kind {
			case End:
				fmt.Fprintf(&out, "end %d %q %d\n", x.Ending, x.Body, x.ContentFormat)
			case Send:
				fmt.Fprintf(&out, "> %x\n", x.Datagram)
				toServer := serverSide.Receive(now, here, x.Datagram, nil)
				for len(toServer) > 0 {
					y := toServer[0]
					toServer = toServer[1:]
					switch y.Kind {
					case server.Ask:
						q := y.Request
						fmt.Fprintf(&out, "request %q %q %q %q %q %q %v %v %v %q %d\n", q.Class, q.Target, q.ID, q.Idempotency, q.Tenant, q.Key, q.Again, q.Safe, q.Deadline, q.Body, q.ContentFormat)
						toServer = append(toServer, serverSide.Answer(now, q.Handle, a, nil)...)
					case server.Send:
						fmt.Fprintf(&out, "< %x\n", y.Datagram)
						toClient = append(toClient, clientSide.Receive(now, y.Datagram, nil)...)
					}
				}
			}
		}
	}
	whole := Request{
		Unsafe: true, Target: "/join/a%2Fb?x=1&y=%26", ID: "id-1", Idempotency: "key-1", Tenant: "tenant-1", Key: "affinity-1", Again: true,
		Deadline: 1500 * time.Millisecond, Body: []byte("{}"), ContentFormat: 50,
	}
	play("all options", whole, server.Answer{Outcome: server.Served, Body: []byte("done"), ContentFormat: 0})
	whole.Target, whole.ID, whole.Body = "/act", "id-2", []byte(strings.Repeat("0123456789", 15))
	play("blocks", whole, server.Answer{Outcome: server.Served, Body: []byte(strings.Repeat("abcdefghij", 15)), ContentFormat: -1})
	play("safe", Request{Safe: true, Target: "/roster", Deadline: time.Second, ContentFormat: -1}, server.Answer{Body: []byte("list"), ContentFormat: 40})
	for o := server.Refused; o <= server.NotRun; o++ {
		play(fmt.Sprintf("outcome %d", o), Request{Unsafe: true, Target: "/act", ID: "id-3", Deadline: time.Second, ContentFormat: -1}, server.Answer{Outcome: o, Wait: 1500 * time.Millisecond, ContentFormat: -1})
	}
	play("unknown class", Request{Safe: true, Target: "/none", Deadline: time.Second, ContentFormat: -1}, server.Answer{})
	play("directory", Request{Safe: true, Target: "/.well-known/core", Deadline: time.Second, ContentFormat: -1}, server.Answer{})
	return out.String()
}

// TestDatagrams compares the datagrams of both sides with those of an earlier version.
func TestDatagrams(t *testing.T) {
	want, err := os.ReadFile("testdata/datagrams.txt")
	if err != nil {
		t.Fatal(err)
	}
	if got := transcript(t); got != string(want) {
		t.Errorf("found\n%s\nwanted\n%s", got, want)
	}
}
