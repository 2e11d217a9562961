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
			"roster": {Idempotency: server.Idempotent, Deadline: time.Second}, "join": {Idempotency: server.IdempotentWithKey, Deadline: time.Second}, "act": {Idempotency: server.NonIdempotent, Deadline: time.Second},
		},
		MaxDeadlineRatio: 4, MaxObservers: 2, ObserveInterval: time.Second, TrustedNetworks: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")},
		HistoryKnown: true, EchoKey: []byte("0123456789abcdef"), EchoLifetime: time.Minute, Seed: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	clientSide, err := New(Settings{Params: exchange.DefaultParams(), Limits: exchange.ClientLimits{MaxInFlight: 8, MaxDedupEntries: 8}, MaxBodySize: 4096, BlockSize: 64, EchoLifetime: time.Second, Seed: 1}, there)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	now := time.Duration(0)
	play := func(name string, r Request, a server.Response) {
		fmt.Fprintf(&out, "# %s\n", name)
		now += time.Second
		toClient := clientSide.Start(now, uint64(now), r, nil)
		for len(toClient) > 0 {
			x := toClient[0]
			toClient = toClient[1:]
			switch x.Kind {
			case Finish:
				fmt.Fprintf(&out, "end %d %q %d\n", x.Outcome, x.Body, x.ContentFormat)
			case Send:
				fmt.Fprintf(&out, "> %x\n", x.Datagram)
				toServer := serverSide.Receive(now, here, x.Datagram, nil)
				for len(toServer) > 0 {
					y := toServer[0]
					toServer = toServer[1:]
					switch y.Kind {
					case server.Execute:
						q := y.Request
						fmt.Fprintf(&out, "request %q %q %q %q %q %q %v %v %v %q %d\n", q.Class, q.Target, q.ID, q.IdempotencyKey, q.Tenant, q.AffinityKey, q.IsRetry, q.Safe, q.Deadline, q.Body, q.ContentFormat)
						toServer = append(toServer, serverSide.Respond(now, q.Handle, a, nil)...)
					case server.Send:
						fmt.Fprintf(&out, "< %x\n", y.Datagram)
						toClient = append(toClient, clientSide.Receive(now, y.Datagram, nil)...)
					}
				}
			}
		}
	}
	whole := Request{
		NonIdempotent: true, Target: "/join/a%2Fb?x=1&y=%26", ID: "id-1", IdempotencyKey: "key-1", Tenant: "tenant-1", AffinityKey: "affinity-1", IsRetry: true,
		Deadline: 1500 * time.Millisecond, Body: []byte("{}"), ContentFormat: 50,
	}
	play("all options", whole, server.Response{Outcome: server.Succeeded, Body: []byte("done"), ContentFormat: 0})
	whole.Target, whole.ID, whole.Body = "/act", "id-2", []byte(strings.Repeat("0123456789", 15))
	play("blocks", whole, server.Response{Outcome: server.Succeeded, Body: []byte(strings.Repeat("abcdefghij", 15)), ContentFormat: -1})
	play("safe", Request{Safe: true, Target: "/roster", Deadline: time.Second, ContentFormat: -1}, server.Response{Body: []byte("list"), ContentFormat: 40})
	for o := server.Rejected; o <= server.NotExecuted; o++ {
		play(fmt.Sprintf("outcome %d", o), Request{NonIdempotent: true, Target: "/act", ID: "id-3", Deadline: time.Second, ContentFormat: -1}, server.Response{Outcome: o, RetryAfter: 1500 * time.Millisecond, ContentFormat: -1})
	}
	play("unknown class", Request{Safe: true, Target: "/none", Deadline: time.Second, ContentFormat: -1}, server.Response{})
	play("directory", Request{Safe: true, Target: "/.well-known/core", Deadline: time.Second, ContentFormat: -1}, server.Response{})
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
