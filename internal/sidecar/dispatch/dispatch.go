// Package dispatch connects the load balancer of package balance to the proxies that
// accept requests, the connection pools that send attempts and the watch of the endpoint
// list.
//
// It is independent of the protocol. A proxy submits a Request and waits until its Done
// channel is closed. For each attempt that the balancer starts, the server's Upstream runs
// in a separate goroutine and reports the outcome with Attempt.Finish. Discovery passes
// endpoint lists to Dispatcher.UpdateEndpoints. All decisions are made by the balancer;
// this package only executes them.
package dispatch

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"otterspring/balance"
	"otterspring/internal/sidecar/discovery/drain"
	"otterspring/internal/wallclock"
)

// clockOrigin is the reading of the balancer's clock when the sidecar starts. It is
// positive because the balancer interprets a start time of 0 or less as "long ago". A
// server that started shortly before the sidecar must therefore have a positive start time.
const clockOrigin = time.Hour

// initialTimer is the delay of the timer until the balancer sets one.
const initialTimer = time.Hour

// Settings configure a Dispatcher. All fields except Seed are required.
type Settings struct {
	Balance balance.Settings
	Seed    uint64
	// DialTimeout is how long an attempt may take to connect. An attempt that expires
	// sooner without a connection is no evidence against its server.
	DialTimeout time.Duration
	// OpenUpstream returns the Upstream for the server at an address whose process started
	// at the given Unix time in milliseconds. It is called under the dispatcher's lock and
	// must not block.
	OpenUpstream func(address string, startedMillis int64) Upstream
}

// Dispatcher owns the balancer and the state of all requests and attempts in flight.
// It is safe for concurrent use.
//
// mu guards the fields below mu. No I/O is done under mu; connections are only
// interrupted by setting deadlines. Callbacks that run under mu (OpenUpstream,
// requestList, DeadlineSetter) must neither block nor call the Dispatcher, but may acquire
// locks of their own package. The Dispatcher owns its timer and one goroutine for each
// attempt in flight. It is never closed and lives as long as the process.
type Dispatcher struct {
	settings       Settings
	start          time.Time
	startWallClock time.Time // wall-clock time at start; start times from discovery are wall-clock times
	requestList    func()    // requests the endpoint list from discovery

	classes atomic.Pointer[map[string]*balance.Class] // by name; replaced as a whole

	mu         sync.Mutex
	balancer   *balance.Balancer
	timer      *time.Timer
	timerToken uint64
	actions    []balance.Action // reused buffer for the balancer's actions
	requests   map[string]*Request
	recentIDs  recentIDSet
	attempts   []*Attempt // attempts in flight; Attempt.index is the position
	unreported []*Attempt // attempts that the dispatcher has ended, but not yet reported to the balancer
	servers    map[string]*server
	drains     drain.Tracker
	generation int                 // generation of the last list; see UpdateEndpoints
	version    int64               // version of the endpoint list
	endpoints  map[string]Endpoint // the merged list, by server ID
	addresses  map[string]string   // IDs of the merged list's servers by address
	onUpdate   func(EndpointList)  // called without the lock; may be nil
}

// New returns a Dispatcher without servers. requestList is called under the lock whenever
// the balancer needs the endpoint list. It must not block. New returns the balancer's
// error if the settings are invalid.
func New(settings Settings, requestList func()) (*Dispatcher, error) {
	balancer, err := balance.New(settings.Balance, settings.Seed)
	if err != nil {
		return nil, err
	}
	d := &Dispatcher{
		balancer:       balancer,
		start:          time.Now(),
		startWallClock: wallclock.Now(),
		requests:       map[string]*Request{},
		servers:        map[string]*server{},
		settings:       settings,
		requestList:    requestList,
		recentIDs:      newRecentIDSet(),
		endpoints:      map[string]Endpoint{},
		addresses:      map[string]string{},
	}
	d.setClasses(settings.Balance.Classes)
	d.timer = time.AfterFunc(initialTimer, d.onTimer)
	return d, nil
}

// now reads the balancer's clock. Events are timed under the lock, so that the times
// passed to the balancer never decrease.
func (d *Dispatcher) now() time.Duration { return clockOrigin + time.Since(d.start) }

// Class returns the class with the given name, or nil if there is none. The value is
// shared and must not be modified. Only the fields that Reconfigure can change may differ
// between two calls.
func (d *Dispatcher) Class(name string) *balance.Class { return (*d.classes.Load())[name] }

// setClasses stores copies of the classes by name.
func (d *Dispatcher) setClasses(classes []balance.Class) {
	byName := make(map[string]*balance.Class, len(classes))
	for _, class := range classes {
		byName[class.Name] = &class
	}
	d.classes.Store(&byName)
}

// Reconfigure replaces the tenants, and LatencyObjective, PriorityWeight and
// LatePriorityWeight of each class, for requests submitted from now on. All other fields of
// the classes must be as in the Settings passed to New. After an error the previous settings
// stay in effect.
func (d *Dispatcher) Reconfigure(classes []balance.Class, tenants []balance.Tenant) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.balancer.Reconfigure(classes, tenants); err != nil {
		return err
	}
	d.setClasses(classes)
	return nil
}

// Counts returns the current number of requests, attempts and servers.
func (d *Dispatcher) Counts() (requests, attempts, servers int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.requests), len(d.attempts), len(d.servers)
}

// Barrier acquires and releases the lock. When it returns, everything that was begun under
// the lock before the call is complete, including deadlines set on connections. If it does
// not return within a reasonable time, the dispatcher no longer makes progress.
func (d *Dispatcher) Barrier() {
	d.mu.Lock()
	defer d.mu.Unlock()
}

// onTimer runs when the balancer's timer expires.
func (d *Dispatcher) onTimer() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.expireAttempts(now)
	d.perform(d.balancer.Timer(now, d.timerToken, d.actions[:0]))
}

// perform executes the balancer's actions and reports the attempts that they ended to the
// balancer. It repeats this until no further actions result. The caller holds the lock.
func (d *Dispatcher) perform(actions []balance.Action) {
	for {
		for i := range actions {
			d.performOne(&actions[i])
		}
		if len(d.unreported) == 0 {
			d.actions = actions[:0]
			return
		}
		attempt := d.unreported[0]
		d.unreported = slices.Delete(d.unreported, 0, 1)
		now := d.now()
		actions = d.balancer.Outcome(now, attempt.outcome(now-attempt.startedAt), actions[:0])
		d.removeIfFinished(attempt.Request)
	}
}

// performOne executes one action. The caller holds the lock.
func (d *Dispatcher) performOne(action *balance.Action) {
	request := d.requests[action.Request]
	switch action.Kind {
	case balance.Send:
		d.startAttempt(request, action)
	case balance.Reject, balance.Fail:
		d.answer(request, Result{Kind: action.Kind, RetryAfter: action.Wait})
	case balance.Cancel:
		if request != nil && action.Number < len(request.attempts) {
			if attempt := request.attempts[action.Number]; !attempt.ended {
				d.endAttempt(attempt, balance.Cancelled)
				d.unreported = append(d.unreported, attempt)
			}
		}
	case balance.Timer:
		d.timerToken = action.Token
		d.timer.Reset(action.Wait)
	case balance.Subscribe:
		d.requestList()
	case balance.CloseIdle:
		if server := d.servers[action.Server]; server != nil {
			go server.upstream.CloseIdle()
		}
	}
}
