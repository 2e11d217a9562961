// Package balance makes the decisions of a client-side load balancer: which
// server gets an attempt, when a failed attempt is repeated, and when a request
// is refused. It follows GEP-3388's windowed retry budget; docs/design/balance.md says
// what was added. A Balancer does no I/O and has no clock: its caller reports
// events with the time they happened at and carries out the actions returned.
package balance

import (
	"cmp"
	"fmt"
	"time"
)

// The module's own settings. They hold for every deployment; what differs
// between deployments arrives in Settings or is observed.
const (
	budgetWindow  = 10 * time.Second // sliding window of the retry budget
	budgetPercent = 20.0             // retries allowed, in percent of the window's first attempts
	budgetFloor   = 2.0              // retries in a window that are allowed however few the first attempts

	pauseBase   = 6 * time.Millisecond // mean pause before the first retry; doubles with each further one
	pauseJitter = 0.5                  // a pause is drawn from mean x (1 -+ this)
	holdPause   = 20 * time.Millisecond

	hedgeAfter = 3.0 // a second copy leaves when the first is out this many times its expected latency
	hedgeFrom  = 0.3 // but not before this share of the useful time has passed

	latencyWeight  = 0.3              // weight of a new sample in the fleet-wide and per-class means
	evidenceHalf   = 8 * time.Second  // half-life of what is known of one server
	evidencePrior  = 1.5              // samples that the own fleet-wide mean counts for
	evidenceMost   = 8.0              // samples remembered at most, so that new ones keep counting
	failurePenalty = 3.0              // a failed attempt counts as this many times the expected latency at least
	usualWeight    = 0.005            // weight of a success in the failures that are usual
	usualMost      = 0.2              // and no failure counts as more usual than this, so that dead servers show
	unlikely       = 1e-4             // a run of failures less likely than this ejects
	ejectFirst     = 2 * time.Second  // first ejection; doubles while trials fail
	ejectMost      = 16 * time.Second // longest ejection
	ejectShare     = 0.5              // share of the list that may be ejected at one time

	coldMargin    = 0.5                    // share of the multiple at which a cold server falls over that is offered to it at most
	coldSpread    = 4.0                    // bound on the ready servers for each warm one, in that sum
	warmEvery     = 500 * time.Millisecond // the warm servers are counted anew after this
	successWeight = 0.08                   // weight of a request's end in the share of requests served by warm servers
	shedUp        = 0.06                   // how far a late answer raises the share to refuse
	shedDown      = 0.02                   // and one in time lowers it
	shedOut       = 0.03                   // how far a request whose attempt never came back raises it
	shedSent      = 50.0                   // first attempts in a window below which these steps grow
	shedFast      = 5.0                    // up to this many times
	shedMost      = 0.9                    // share refused at most, so that a better time is seen

	scarce       = 0.85 // servers are scarce while a smaller share of requests is served
	tenantWeight = 0.02 // weight of a request in the tenants' shares
	tenantPrior  = 0.2  // weight of the agreed shares against the observed ones
	overSlack    = 1.3  // how far over its fair part a tenant may be

	subsetLeast = 6               // servers that samples come from at the least
	subsetSpan  = 2 * time.Second // and as many as requests arrive in this time

	homeBias   = 2.0     // a key's second server must promise this many times less delay than its first
	keyNear    = 1.0 / 6 // share of the servers, two at least, among which a key looks for an idle connection
	ringPoints = 24      // points of a server on the key ring

	subscribeSpread = 2 * time.Second // first subscription, spread evenly over this; later ones half of it later
)

// Idempotency says what repeating a request of a class can do.
type Idempotency int

// The kinds of effect, most careful first.
const (
	NonIdempotent     Idempotency = iota // must never run twice
	IdempotentWithKey                    // servers of one Group drop repeats for Window
	Idempotent                           // may run any number of times
)

// DedupScope names the servers that know each other's keyed requests.
type DedupScope int

// The groups, narrowest first.
const (
	ScopeCell DedupScope = iota
	ScopeZone
	ScopeAll
)

// Class describes one kind of request.
type Class struct {
	Name               string
	LatencyObjective   time.Duration // answers within this earn the full worth
	ObjectivePerWork   float64       // the aim grows by this multiple of the request's work
	Deadline           time.Duration // the client's whole wait, over all its tries
	PriorityWeight     float64
	LatePriorityWeight float64 // share of Worth left after the aim
	Idempotency        Idempotency
	DedupScope         DedupScope
	DedupWindow        time.Duration // how long a Group drops repeats
}

// Tenant is one customer with its agreed rate over all balancers.
type Tenant struct {
	Name  string
	Quota float64 // requests a second; 0 means none agreed
}

// Settings are what a deployment states at start.
type Settings struct {
	Classes                []Class
	Tenants                []Tenant
	OverQuotaWeight        float64 // worth of a request above its tenant's share
	KeyAffinity            bool    // a server that met a key lately serves it cheaper
	Subscribe              bool    // the server list comes only when asked for
	MaxAttempts            int
	CanCancel              bool
	CanHedge               bool          // two attempts of a request may be out together
	RetryAfter             time.Duration // longest advice that clients heed; 0 for none
	IdleTimeout            time.Duration // a connection may be used after being idle for less than this
	CallInterval           time.Duration // least time between two calls
	InitialCapacity        float64       // share of its capacity that a server starts with
	WarmUpTime             time.Duration // and is warm after
	WarmUpOverloadMultiple float64       // a cold server falls over at this multiple of its capacity
}

// validate returns an error that names the first field that can't be used.
func (s *Settings) validate() error {
	seen := map[string]bool{}
	for _, c := range s.Classes {
		if bad := cmp.Or(
			textIf(seen[c.Name], "Name: given twice"),
			textIf(c.Deadline <= 0, "Deadline: not positive"),
			textIf(c.LatencyObjective < 0, "LatencyObjective: negative"),
			textIf(c.DedupWindow < 0, "DedupWindow: negative"),
			textIf(c.Idempotency < NonIdempotent || c.Idempotency > Idempotent, "Idempotency: unknown"),
			textIf(c.DedupScope < ScopeCell || c.DedupScope > ScopeAll, "DedupScope: unknown"),
		); bad != "" {
			return fmt.Errorf("balance: class %q: %s", c.Name, bad)
		}
		seen[c.Name] = true
	}
	if bad := cmp.Or(
		textIf(len(s.Classes) == 0, "Classes: none given"),
		textIf(s.MaxAttempts <= 0, "MaxAttempts: not positive"),
		textIf(!(s.InitialCapacity > 0 && s.InitialCapacity <= 1), "InitialCapacity: outside (0,1]"),
		textIf(s.WarmUpTime < 0 || s.RetryAfter < 0 || s.CallInterval < 0, "WarmUpTime, RetryAfter or CallInterval: negative"),
	); bad != "" {
		return fmt.Errorf("balance: %s", bad)
	}
	return nil
}

// textIf returns text if the condition holds, else nothing.
func textIf(condition bool, text string) string {
	if condition {
		return text
	}
	return ""
}
