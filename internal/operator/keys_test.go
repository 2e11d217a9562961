package operator

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	"otterspring/internal/keytest"
)

func TestKeys(t *testing.T) {
	keytest.Compare(t, "testdata/keys.txt", []keytest.Marshaled{
		{Role: "operator's file", Encoding: "toml", Value: File{}},
	})
}

// A file with every key is read as it was before the fields were renamed.
func TestEveryKeyIsRead(t *testing.T) {
	got, err := Load("testdata/all.toml")
	if err != nil {
		t.Fatal(err)
	}
	want := File{
		Drain:    Drain{Finish: 4 * time.Second},
		Handover: Handover{Socket: "/run/n1.sock", Ready: 7 * time.Second},
		Notify:   Notify{Systemd: true},
		CoAP: CoAP{
			Listen: "10.0.0.4:5683", Open: 100, Kept: 200, KeptBytes: 2 << 20, Settled: 300, Transfers: 40, TransferBytes: 3 << 20,
			Observers: 50, ObserveEvery: 6 * time.Second, Trusted: []Network{{netip.MustParsePrefix("10.1.0.0/16")}, {netip.MustParsePrefix("fd00::/8")}},
			Servers: true, AckTimeout: 3 * time.Second, State: "/var/lib/n1.coap",
		},
		List:          List{Proxy: "127.0.0.1:7300", Source: "d2", Jitter: 9 * time.Second},
		Configuration: Configuration{Region: "north", Relays: []string{"10.0.0.1:7400", "10.0.0.2:7400"}, Services: []string{"orders", "stock"}, Name: "n1"},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v, wanted %+v", got, want)
	}
}
