package wire

import (
	"testing"

	"github.com/valyala/fastjson"

	"otterspring/balance"
)

// The wire's words mean what the simulator's pages say: one mixed up breaks a
// rule on every day.
func TestWords(t *testing.T) {
	parse := fastjson.MustParse
	set := Settings(parse(`{"classes":[{"name":"a","effect":"free"},{"name":"b","effect":"guarded","group":"cell"},{"name":"c","effect":"single_shot"},{"name":"d","effect":"new"}]}`))
	for i, want := range []balance.Idempotency{balance.Idempotent, balance.IdempotentWithKey, balance.NonIdempotent, -1} {
		if got := set.Classes[i].Idempotency; got != want {
			t.Errorf("class %s: effect %v, want %v", set.Classes[i].Name, got, want)
		}
	}
	if set.Classes[1].DedupScope != balance.ScopeCell || set.Classes[0].DedupScope != balance.ScopeAll {
		t.Errorf("groups: %v", set.Classes)
	}
	for word, want := range map[string]balance.Status{
		"OK": balance.OK, "INTERNAL": balance.Error, "RESOURCE_EXHAUSTED": balance.AtCapacity, "DEADLINE_EXCEEDED": balance.Timeout,
		"UNAVAILABLE": balance.ConnectFailed, "ABORTED": balance.Reset, "CANCELLED": balance.Cancelled, "TOO_LATE": balance.NeverSent,
	} {
		if got, err := outcome(parse(`{"result":"` + word + `"}`)); err != nil || got != want {
			t.Errorf("%s: %v, %v, want %v", word, got, err, want)
		}
	}
	if _, err := outcome(parse(`{"result":"FINE"}`)); err == nil {
		t.Error("an unknown result was taken")
	}
	list := servers(parse(`[{"upstream":"a","mode":"on"},{"upstream":"b","mode":"fading"},{"upstream":"c","mode":"off"},{"upstream":"d","mode":"new"}]`).GetArray())
	for i, want := range []balance.ServerState{balance.Ready, balance.Draining, balance.Removed, balance.Draining} {
		if list[i].State != want {
			t.Errorf("server %s: %v, want %v", list[i].ID, list[i].State, want)
		}
	}
}
