package balance

import (
	"cmp"
	"fmt"
	"time"
)

// Idempotency says what executing a request of a class twice can do.
type Idempotency int

// The kinds of effect, most careful first.
const (
	NonIdempotent     Idempotency = iota // must not be executed twice
	IdempotentWithKey                    // servers of one DedupScope drop repeats for DedupWindow
	Idempotent                           // may be executed any number of times
)

// DedupScope names the servers that recognize each other's requests by key.
type DedupScope int

// The scopes, narrowest first.
const (
	ScopeCell DedupScope = iota
	ScopeZone
	ScopeAll
)

// Class describes one kind of request.
type Class struct {
	Name               string
	LatencyObjective   time.Duration // a response within this earns the full weight
	ObjectivePerWork   float64       // the objective grows by this multiple of the request's work
	Deadline           time.Duration // how long the client waits, over all its own retries
	PriorityWeight     float64       // value of a response within the objective
	LatePriorityWeight float64       // share of PriorityWeight that is left after the objective
	Idempotency        Idempotency
	DedupScope         DedupScope
	DedupWindow        time.Duration // how long the servers of a DedupScope drop repeats
}

// Tenant is one customer with its agreed rate over all balancers.
type Tenant struct {
	Name  string
	Quota float64 // requests a second; 0 for no agreement
}

// Settings are what a deployment states at the start.
type Settings struct {
	Classes                []Class
	Tenants                []Tenant
	QuotaExcessWeight      float64       // value of a request above its tenant's quota; from 1 on quotas are ignored
	KeyAffinity            bool          // a server that has lately seen a key serves it cheaper
	Subscribe              bool          // the endpoint list comes only after a subscription
	MaxAttempts            int           // of one request, the first included
	CanCancel              bool          // the caller carries out Cancel
	CanHedge               bool          // two attempts of a request may be in flight at a time
	RetryAfter             time.Duration // longest Retry-After that clients obey; 0 for none
	IdleTimeout            time.Duration // a connection that was idle for less than this may be used
	CallInterval           time.Duration // least time between two calls of the caller
	InitialCapacity        float64       // share of its capacity that a server has at its start, in (0,1]
	WarmUpTime             time.Duration // from its start until a server has its full capacity
	WarmUpOverloadMultiple float64       // a server that warms up fails at this multiple of its present capacity
}

// validate returns an error that names the first field that can't be used.
func (s *Settings) validate() error {
	seen := map[string]bool{}
	for _, c := range s.Classes {
		if bad := cmp.Or(
			messageIf(seen[c.Name], "Name: given twice"),
			messageIf(c.Deadline <= 0, "Deadline: not positive"),
			messageIf(c.LatencyObjective < 0, "LatencyObjective: negative"),
			messageIf(c.DedupWindow < 0, "DedupWindow: negative"),
			messageIf(c.Idempotency < NonIdempotent || c.Idempotency > Idempotent, "Idempotency: unknown"),
			messageIf(c.DedupScope < ScopeCell || c.DedupScope > ScopeAll, "DedupScope: unknown"),
		); bad != "" {
			return fmt.Errorf("balance: class %q: %s", c.Name, bad)
		}
		seen[c.Name] = true
	}
	if bad := cmp.Or(
		messageIf(len(s.Classes) == 0, "Classes: none given"),
		messageIf(s.MaxAttempts <= 0, "MaxAttempts: not positive"),
		messageIf(!(s.InitialCapacity > 0 && s.InitialCapacity <= 1), "InitialCapacity: outside (0,1]"),
		messageIf(s.WarmUpTime < 0 || s.RetryAfter < 0 || s.CallInterval < 0, "WarmUpTime, RetryAfter or CallInterval: negative"),
	); bad != "" {
		return fmt.Errorf("balance: %s", bad)
	}
	return nil
}

// messageIf returns text if the condition holds, else nothing.
func messageIf(condition bool, text string) string {
	if condition {
		return text
	}
	return ""
}
