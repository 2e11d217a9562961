package wire

import (
	"time"

	"github.com/valyala/fastjson"

	"otterspring/balance"
)

// The wire's words for the library's kinds; a word not listed gives a value
// that balance.New refuses.
var (
	effects = map[string]balance.Idempotency{"free": balance.Idempotent, "guarded": balance.IdempotentWithKey, "single_shot": balance.NonIdempotent}
	groups  = map[string]balance.DedupScope{"": balance.ScopeAll, "all": balance.ScopeAll, "zone": balance.ScopeZone, "cell": balance.ScopeCell}
)

// word looks a word up; one not known gives -1.
func word[T ~int](words map[string]T, v *fastjson.Value, key string) T {
	if t, ok := words[text(v, key)]; ok {
		return t
	}
	return -1
}

// Settings reads the start-up parameters. What is not known is skipped.
func Settings(v *fastjson.Value) balance.Settings {
	if v == nil {
		return balance.Settings{}
	}
	limits, rules := v.Get("limits"), v.Get("rules")
	s := balance.Settings{
		QuotaExcessWeight:      v.GetFloat64("over-share-worth"),
		KeyAffinity:            v.GetBool("extra", "warm-keys"),
		Subscribe:              string(v.GetStringBytes("discovery")) == "subscribe",
		CallInterval:           micros(v, "round-us"),
		IdleTimeout:            micros(limits, "conn-idle-us") * 9 / 10,
		MaxAttempts:            limits.GetInt("try-limit"),
		CanCancel:              limits.GetBool("cancel"),
		CanHedge:               limits.GetBool("second-copies"),
		InitialCapacity:        rules.GetFloat64("cold-from"),
		WarmUpTime:             time.Duration(rules.GetInt64("cold-us")) * time.Microsecond,
		WarmUpOverloadMultiple: rules.GetFloat64("tip-multiple"),
	}
	if limits.GetBool("retry-after") {
		s.RetryAfter = time.Duration(limits.GetInt64("max-retry-after-us")) * time.Microsecond
	}
	for _, c := range v.GetArray("classes") {
		s.Classes = append(s.Classes, balance.Class{
			Name: text(c, "name"), LatencyObjective: micros(c, "aim-us"), ObjectivePerWork: c.GetFloat64("aim-stretch"),
			Deadline: micros(c, "deadline-us"), PriorityWeight: c.GetFloat64("worth"), LatePriorityWeight: c.GetFloat64("late-worth"),
			Idempotency: word(effects, c, "effect"), DedupScope: word(groups, c, "group"), DedupWindow: micros(c, "window-us"),
		})
	}
	for _, t := range v.GetArray("tenants") {
		s.Tenants = append(s.Tenants, balance.Tenant{Name: text(t, "name"), Quota: t.GetFloat64("quota-per-s")})
	}
	return s
}

// Conns are the parameters of the connections to servers. In the simulator
// they are not the adapter's business; on real sockets they are.
type Conns struct {
	Idle time.Duration // servers close a connection that has been idle this long
	Dial time.Duration // a connection not up within this counts as failed
}

// ConnSettings reads the parameters of the connections.
func ConnSettings(v *fastjson.Value) Conns {
	return Conns{Idle: micros(v.Get("limits"), "conn-idle-us"), Dial: micros(v.Get("limits"), "dial-timeout-us")}
}
