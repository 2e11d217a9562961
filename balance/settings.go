package balance

import (
	"cmp"
	"fmt"
	"time"
)

// Idempotency says whether a request of a class may be executed more than once.
type Idempotency int

// The kinds of idempotency, most restrictive first.
const (
	NonIdempotent     Idempotency = iota // must not be executed twice
	IdempotentWithKey                    // the servers within the DedupScope drop duplicates for DedupWindow
	Idempotent                           // may be executed any number of times
)

// DedupScope is the set of servers that recognize duplicates of each other's requests by idempotency key.
type DedupScope int

// The scopes, narrowest first.
const (
	ScopeCell DedupScope = iota
	ScopeZone
	ScopeAll
)

// Class describes a class of requests.
type Class struct {
	Name               string
	LatencyObjective   time.Duration // a response within this time has the full PriorityWeight
	ObjectivePerWork   float64       // multiple of the request's work that is added to the objective
	Deadline           time.Duration // time that the client waits, including the client's own retries
	PriorityWeight     float64       // value of a response within the latency objective
	LatePriorityWeight float64       // value of a later response, as a share of PriorityWeight
	Idempotency        Idempotency
	DedupScope         DedupScope
	DedupWindow        time.Duration // time for which the servers within the DedupScope drop duplicates
}

// Tenant is a customer. Quota is the agreed rate of the customer's requests over all balancers.
type Tenant struct {
	Name  string
	Quota float64 // requests per second; 0 if no rate is agreed
}

// Settings configure a Balancer.
type Settings struct {
	Classes                []Class
	Tenants                []Tenant
	QuotaExcessWeight      float64       // value of a request above the quota of its tenant; 1 or more disables quotas
	KeyAffinity            bool          // a request costs a server less if the server has recently served the same key
	Subscribe              bool          // the endpoint list is sent only after a subscription
	MaxAttempts            int           // attempts per request, including the first
	CanCancel              bool          // the caller supports Cancel
	CanHedge               bool          // two attempts of a request may be in flight at once
	RetryAfter             time.Duration // Retry-After of rejections while load is shed; longest that clients obey; 0: none
	IdleTimeout            time.Duration // idle time from which a connection is no longer used
	CallInterval           time.Duration // minimum time between two calls to the Balancer
	InitialCapacity        float64       // capacity of a server at its start, as a share of its full capacity, in (0,1]
	WarmUpTime             time.Duration // time from the start of a server until it has its full capacity
	WarmUpOverloadMultiple float64       // load at which a warming-up server fails, as a multiple of its current capacity
}

// validate returns an error that names the first invalid field.
func (s *Settings) validate() error {
	seen := map[string]bool{}
	for _, c := range s.Classes {
		if bad := cmp.Or(
			messageIf(seen[c.Name], "Name: duplicate"),
			messageIf(c.Deadline <= 0, "Deadline: must be positive"),
			messageIf(c.LatencyObjective < 0, "LatencyObjective: must not be negative"),
			messageIf(c.DedupWindow < 0, "DedupWindow: must not be negative"),
			messageIf(c.Idempotency < NonIdempotent || c.Idempotency > Idempotent, "Idempotency: unknown"),
			messageIf(c.DedupScope < ScopeCell || c.DedupScope > ScopeAll, "DedupScope: unknown"),
		); bad != "" {
			return fmt.Errorf("balance: class %q: %s", c.Name, bad)
		}
		seen[c.Name] = true
	}
	if bad := cmp.Or(
		messageIf(len(s.Classes) == 0, "Classes: must not be empty"),
		messageIf(s.MaxAttempts <= 0, "MaxAttempts: must be positive"),
		messageIf(!(s.InitialCapacity > 0 && s.InitialCapacity <= 1), "InitialCapacity: must be in (0,1]"),
		messageIf(s.WarmUpTime < 0 || s.RetryAfter < 0 || s.CallInterval < 0, "WarmUpTime, RetryAfter, CallInterval: must not be negative"),
	); bad != "" {
		return fmt.Errorf("balance: %s", bad)
	}
	return nil
}

// messageIf returns text if the condition holds, else the empty string.
func messageIf(condition bool, text string) string {
	if condition {
		return text
	}
	return ""
}
