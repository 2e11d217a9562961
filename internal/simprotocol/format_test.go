package simprotocol

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fastjson"

	"otterspring/balance"
)

func readFixture(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// describeInfo lists all that is read of start-up parameters.
func describeInfo(v *fastjson.Value) string {
	var out strings.Builder
	s, c := ParseSettings(v), ParseConnectionSettings(v)
	fmt.Fprintln(&out, "check", Validate(v))
	fmt.Fprintln(&out, "connections", c.IdleTimeout, c.DialTimeout)
	fmt.Fprintln(&out, s.QuotaExcessWeight, s.KeyAffinity, s.Subscribe, s.MaxAttempts, s.CanCancel, s.CanHedge, s.RetryAfter, s.IdleTimeout, s.CallInterval, s.InitialCapacity, s.WarmUpTime, s.WarmUpOverloadMultiple)
	for _, c := range s.Classes {
		fmt.Fprintln(&out, c.Name, c.LatencyObjective, c.ObjectivePerWork, c.Deadline, c.PriorityWeight, c.LatePriorityWeight, int(c.Idempotency), int(c.DedupScope), c.DedupWindow)
	}
	for _, t := range s.Tenants {
		fmt.Fprintln(&out, t)
	}
	return out.String()
}

// describeActions lists the line of each kind of action.
func describeActions(t *testing.T) string {
	t.Helper()
	var out bytes.Buffer
	a := &adapter{output: bufio.NewWriter(&out)}
	for kind := balance.Send; kind <= balance.CloseIdle; kind++ {
		if err := a.writeAction(5, &balance.Action{Kind: kind, Request: "r\"1", Server: "s", Number: 2, Wait: 1500 * time.Nanosecond, Token: 9}); err != nil {
			t.Fatal(err)
		}
	}
	if err := a.writeAction(5, &balance.Action{Kind: balance.Reject, Request: "r"}); err != nil {
		t.Fatal(err)
	}
	if err := a.writeFault(6, "a \"quoted\" fault"); err != nil {
		t.Fatal(err)
	}
	if err := a.output.Flush(); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

// serve plays the conversation of the fixture.
func serve(t *testing.T) string {
	t.Helper()
	var out bytes.Buffer
	if err := Serve(strings.NewReader(readFixture(t, "input.jsonl")), &out); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

// TestFormat compares what is read of each key, and what is written, with an earlier
// version's.
func TestFormat(t *testing.T) {
	for _, c := range []struct{ fixture, got string }{
		{"info.txt", describeInfo(fastjson.MustParse(readFixture(t, "info.json")))},
		{"output.jsonl", serve(t)},
		{"actions.jsonl", describeActions(t)},
	} {
		if want := readFixture(t, c.fixture); c.got != want {
			t.Errorf("%s: found\n%s\nwanted\n%s", c.fixture, c.got, want)
		}
	}
}
