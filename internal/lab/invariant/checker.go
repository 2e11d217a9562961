// Package invariant checks from outside the sidecar that four rules hold: no request is
// dropped, no effect is executed twice, no request is sent to a draining endpoint, and no
// server is overloaded during its slow start. Report numbers the rules from 1 to 4 in this
// order. The test doubles on both sides of the sidecar report the events on their sockets, and
// a Checker compares the reports.
//
// All times are durations since the origin of the Checker's clock, which all reporters share
// (Checker.Now).
package invariant

import (
	"sync"
	"time"
)

const (
	// MaxRequests bounds the requests that a Checker tracks. Requests beyond this number are
	// counted in Report.Untracked and are not checked.
	MaxRequests = 2_000_000
	// maxDetails bounds each list of texts in a Report.
	maxDetails = 20
	// maxSeconds bounds the number of records that Seconds returns. There is one record for each
	// second of up to four hours.
	maxSeconds = 4 * 3600
	// maxSuspensions bounds the number of recorded suspensions. During a suspension the
	// reporting process is not scheduled.
	maxSuspensions = 100_000
)

// serverKey identifies one incarnation of a call server.
type serverKey struct {
	name        string
	incarnation int
}

// instance is the state of one sidecar instance across its processes.
type instance struct {
	startedAt     time.Duration // start of the current process
	notifications map[serverKey]endpointState
	inFlight      map[string]*request // by request ID
	killAnnounced bool
	excusedUntil  time.Duration // connections that break before this time count as broken by an unannounced kill
	restarts      int
}

// Checker receives reports of events and checks them against the rules.
//
// It is safe for concurrent use and starts no goroutines. mu guards all fields below it. The
// observer is called while mu is locked, so that the observer sees events in the order in
// which they are checked.
type Checker struct {
	rules Rules
	now   func() time.Duration

	mu           sync.Mutex
	requests     map[string]*request // by ID
	instances    map[string]*instance
	endpoints    map[serverKey]endpointState // the authoritative list, as reported by EndpointChanged
	warmups      map[serverKey][]warmupAttempt
	overloaded   map[serverKey]bool
	seconds      []Second
	outages      []interval            // outages of discovery
	partitions   map[string][]interval // partitions between an instance and discovery, by instance name
	suspensions  []interval            // suspensions of the reporting process
	disconnects  []disconnect
	totalWork    float64 // work of all attempts, in seconds
	attemptCount int
	report       Report // the result so far, without Violations
	violations   []violation
	observer     func(Event)
}

// New returns an empty Checker whose clock starts now at 0.
func New(rules Rules) *Checker {
	origin := time.Now()
	return NewWithClock(rules, func() time.Duration { return time.Since(origin) })
}

// NewWithClock returns an empty Checker that reads the caller's clock, which may
// be simulated. now must be safe for concurrent use and must not call the Checker.
func NewWithClock(rules Rules, now func() time.Duration) *Checker {
	return &Checker{
		rules: rules, now: now,
		requests:   map[string]*request{},
		instances:  map[string]*instance{},
		endpoints:  map[serverKey]endpointState{},
		warmups:    map[serverKey][]warmupAttempt{},
		overloaded: map[serverKey]bool{},
		partitions: map[string][]interval{},
	}
}

// Rules returns the limits that are checked.
func (c *Checker) Rules() Rules { return c.rules }

// Now returns the time on the Checker's clock.
func (c *Checker) Now() time.Duration { return c.now() }

// instance returns the state of an instance and creates it if there is none.
func (c *Checker) instance(name string) *instance {
	i := c.instances[name]
	if i == nil {
		i = &instance{notifications: map[serverKey]endpointState{}, inFlight: map[string]*request{}}
		c.instances[name] = i
	}
	return i
}
