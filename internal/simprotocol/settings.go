package simprotocol

import (
	"time"

	"github.com/valyala/fastjson"

	"otterspring/balance"
)

// The protocol's names for the values of a class.
var (
	idempotencies = map[string]balance.Idempotency{"free": balance.Idempotent, "guarded": balance.IdempotentWithKey, "single_shot": balance.NonIdempotent}
	dedupScopes   = map[string]balance.DedupScope{"": balance.ScopeAll, "all": balance.ScopeAll, "zone": balance.ScopeZone, "cell": balance.ScopeCell}
)

// unknownName stands for a name that is not known. balance.New rejects it.
const unknownName = -1

// lookup returns the value of a name, unknownName for one that is not known.
func lookup[T ~int](names map[string]T, v *fastjson.Value, key string) T {
	if value, ok := names[text(v, key)]; ok {
		return value
	}
	return unknownName
}

// The part of the servers' idle timeout for which an idle connection is used, as a fraction.
const (
	idleMarginNumerator   = 9
	idleMarginDenominator = 10
)

// ParseSettings parses the start-up parameters. Unknown keys are ignored; Validate says which
// values must not be.
func ParseSettings(v *fastjson.Value) balance.Settings {
	if v == nil {
		return balance.Settings{}
	}
	limits, rules := v.Get("limits"), v.Get("rules")
	settings := balance.Settings{
		QuotaExcessWeight:      v.GetFloat64("over-share-worth"),
		KeyAffinity:            v.GetBool("extra", "warm-keys"),
		Subscribe:              string(v.GetStringBytes("discovery")) == "subscribe",
		CallInterval:           micros(v, "round-us"),
		IdleTimeout:            micros(limits, "conn-idle-us") * idleMarginNumerator / idleMarginDenominator,
		MaxAttempts:            limits.GetInt("try-limit"),
		CanCancel:              limits.GetBool("cancel"),
		CanHedge:               limits.GetBool("second-copies"),
		InitialCapacity:        rules.GetFloat64("cold-from"),
		WarmUpTime:             micros(rules, "cold-us"),
		WarmUpOverloadMultiple: rules.GetFloat64("tip-multiple"),
	}
	if limits.GetBool("retry-after") {
		settings.RetryAfter = micros(limits, "max-retry-after-us")
	}
	for _, class := range v.GetArray("classes") {
		settings.Classes = append(settings.Classes, balance.Class{
			Name: text(class, "name"), LatencyObjective: micros(class, "aim-us"), ObjectivePerWork: class.GetFloat64("aim-stretch"),
			Deadline: micros(class, "deadline-us"), PriorityWeight: class.GetFloat64("worth"), LatePriorityWeight: class.GetFloat64("late-worth"),
			Idempotency: lookup(idempotencies, class, "effect"), DedupScope: lookup(dedupScopes, class, "group"), DedupWindow: micros(class, "window-us"),
		})
	}
	for _, tenant := range v.GetArray("tenants") {
		settings.Tenants = append(settings.Tenants, balance.Tenant{Name: text(tenant, "name"), Quota: tenant.GetFloat64("quota-per-s")})
	}
	return settings
}

// ConnectionSettings are the parameters of the connections to servers. In the simulator the
// connections are simulated as well, and these have no effect.
type ConnectionSettings struct {
	IdleTimeout time.Duration // servers close a connection that has been idle this long
	DialTimeout time.Duration // a connection that is not established within this has failed
}

// ParseConnectionSettings parses the parameters of the connections.
func ParseConnectionSettings(v *fastjson.Value) ConnectionSettings {
	limits := v.Get("limits")
	return ConnectionSettings{IdleTimeout: micros(limits, "conn-idle-us"), DialTimeout: micros(limits, "dial-timeout-us")}
}
