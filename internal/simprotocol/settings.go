package simprotocol

import (
	"time"

	"github.com/valyala/fastjson"

	"otterspring/balance"
)

// The values of the enumerations of a class, by their names in the protocol.
var (
	idempotencies = map[string]balance.Idempotency{"free": balance.Idempotent, "guarded": balance.IdempotentWithKey, "single_shot": balance.NonIdempotent}
	dedupScopes   = map[string]balance.DedupScope{"": balance.ScopeAll, "all": balance.ScopeAll, "zone": balance.ScopeZone, "cell": balance.ScopeCell}
)

// unknownName is the value that replaces an unknown name. balance.New rejects this value.
const unknownName = -1

// lookup returns the value of the name at key, or unknownName.
func lookup[T ~int](names map[string]T, v *fastjson.Value, key string) T {
	if value, ok := names[stringField(v, key)]; ok {
		return value
	}
	return unknownName
}

// The fraction of the servers' idle timeout after which an idle connection is no longer used.
const (
	idleMarginNumerator   = 9
	idleMarginDenominator = 10
)

// ParseSettings parses the start-up parameters. It ignores unknown keys, as the protocol
// requires, and does not check values; see Validate.
func ParseSettings(v *fastjson.Value) balance.Settings {
	if v == nil {
		return balance.Settings{}
	}
	limits, rules := v.Get("limits"), v.Get("rules")
	settings := balance.Settings{
		QuotaExcessWeight:      v.GetFloat64("over-share-worth"),
		KeyAffinity:            v.GetBool("extra", "warm-keys"),
		Subscribe:              string(v.GetStringBytes("discovery")) == "subscribe",
		CallInterval:           durationField(v, "round-us"),
		IdleTimeout:            durationField(limits, "conn-idle-us") * idleMarginNumerator / idleMarginDenominator,
		MaxAttempts:            limits.GetInt("try-limit"),
		CanCancel:              limits.GetBool("cancel"),
		CanHedge:               limits.GetBool("second-copies"),
		InitialCapacity:        rules.GetFloat64("cold-from"),
		WarmUpTime:             durationField(rules, "cold-us"),
		WarmUpOverloadMultiple: rules.GetFloat64("tip-multiple"),
	}
	if limits.GetBool("retry-after") {
		settings.RetryAfter = durationField(limits, "max-retry-after-us")
	}
	for _, class := range v.GetArray("classes") {
		settings.Classes = append(settings.Classes, balance.Class{
			Name: stringField(class, "name"), LatencyObjective: durationField(class, "aim-us"), ObjectivePerWork: class.GetFloat64("aim-stretch"),
			Deadline: durationField(class, "deadline-us"), PriorityWeight: class.GetFloat64("worth"), LatePriorityWeight: class.GetFloat64("late-worth"),
			Idempotency: lookup(idempotencies, class, "effect"), DedupScope: lookup(dedupScopes, class, "group"), DedupWindow: durationField(class, "window-us"),
		})
	}
	for _, tenant := range v.GetArray("tenants") {
		settings.Tenants = append(settings.Tenants, balance.Tenant{Name: stringField(tenant, "name"), Quota: tenant.GetFloat64("quota-per-s")})
	}
	return settings
}

// ConnectionSettings are the timeouts of connections to servers. They have no effect in the
// simulator, which simulates the connections too.
type ConnectionSettings struct {
	IdleTimeout time.Duration // idle time after which servers close a connection
	DialTimeout time.Duration // limit on establishing a connection
}

// ParseConnectionSettings parses the connection timeouts in the start-up parameters.
func ParseConnectionSettings(v *fastjson.Value) ConnectionSettings {
	limits := v.Get("limits")
	return ConnectionSettings{IdleTimeout: durationField(limits, "conn-idle-us"), DialTimeout: durationField(limits, "dial-timeout-us")}
}
