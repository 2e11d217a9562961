// Package dispatch joins the decisions of package balance with the proxies that
// accept requests, the pools that send attempts and the watch of the endpoint list.
//
// It knows no protocol. A proxy submits a Request and waits until its Done channel is
// closed. For each attempt that the balancer asks for, the Upstream that was opened
// for the server runs in a separate goroutine and reports the end with Attempt.Finish. Discovery passes endpoint lists to Dispatcher.UpdateEndpoints.
// Every decision is the balancer's; this package carries it out.
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

// clockOrigin is what the balancer's clock shows when the sidecar starts. The balancer
// reads a start time of 0 or less as "long ago", so a server that started before the
// sidecar did must still have a positive one.
const clockOrigin = time.Hour

// initialTimer is the time until the first timer where the balancer has not set one.
const initialTimer = time.Hour

// Settings configure a Dispatcher. All fields but Seed are mandatory.
type Settings struct {
	Balance balance.Settings
	Seed    uint64
	// DialTimeout is how long an attempt may take to connect. An attempt that ran out
	// of time sooner says nothing about its server.
	DialTimeout time.Duration
	// OpenUpstream returns the Upstream for a server at an address since its start in
	// Unix milliseconds. It is called under the dispatcher's lock and must not block.
	OpenUpstream func(address string, startedMillis int64) Upstream
}

// Dispatcher owns the balancer and the state of all requests and attempts in flight.
// It is safe for concurrent use.
//
// Fields below mu are guarded by it. No I/O is done under mu: connections are only
// interrupted there by deadlines. Callbacks that run under mu (OpenUpstream, the
// request for a list, DeadlineSetter) must neither block nor call the Dispatcher; they
// may acquire locks of their package. The Dispatcher owns its timer and a goroutine for
// each attempt in flight. It is never closed and ends with the process.
type Dispatcher struct {
	settings       Settings
	start          time.Time
	startWallClock time.Time // when discovery reports start times, they are by this clock
	requestList    func()    // asks discovery for the list

	classes atomic.Pointer[map[string]*balance.Class] // by name; replaced as a whole

	mu         sync.Mutex
	balancer   *balance.Balancer
	timer      *time.Timer
	timerToken uint64
	actions    []balance.Action // buffer that is passed to the balancer and comes back
	requests   map[string]*Request
	recentIDs  idSet
	attempts   []*Attempt // in flight; each knows its index
	unreported []*Attempt // ended here, and the balancer has yet to be notified
	servers    map[string]*server
	drains     drain.Tracker
	generation int                 // of discovery's address, up to the last list
	version    int64               // of the endpoint list
	endpoints  map[string]Endpoint // of that list, by name
	onUpdate   func(EndpointList)  // called without the lock; may be nil
}

// New returns a Dispatcher without servers. From then on requestList is called, under
// the lock, when the balancer wants the endpoint list; it must not block. The error is
// the balancer's, for settings it can't use.
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
		recentIDs:      newIDSet(),
		endpoints:      map[string]Endpoint{},
	}
	d.setClasses(settings.Balance.Classes)
	d.timer = time.AfterFunc(initialTimer, d.onTimer)
	return d, nil
}

// now reads the balancer's clock. It is called under the lock only, so that the times
// passed to the balancer never go back.
func (d *Dispatcher) now() time.Duration { return clockOrigin + time.Since(d.start) }

// Class returns the class with that name, nil if there is none. The value is shared
// and must not be modified. Only the fields that Reconfigure accepts differ between
// two calls.
func (d *Dispatcher) Class(name string) *balance.Class { return (*d.classes.Load())[name] }

// setClasses stores copies of the classes by their names.
func (d *Dispatcher) setClasses(classes []balance.Class) {
	byName := make(map[string]*balance.Class, len(classes))
	for _, class := range classes {
		byName[class.Name] = &class
	}
	d.classes.Store(&byName)
}

// Reconfigure replaces the settings for requests that are submitted from now on: the
// tenants, and of each class Aim, Worth and LatePriorityWeight. All else about the classes has
// to be as in Settings. After an error the previous settings stay in force.
func (d *Dispatcher) Reconfigure(classes []balance.Class, tenants []balance.Tenant) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.balancer.Reconfigure(classes, tenants); err != nil {
		return err
	}
	d.setClasses(classes)
	return nil
}

// Counts returns how many requests, attempts and servers there are at present.
func (d *Dispatcher) Counts() (requests, attempts, servers int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.requests), len(d.attempts), len(d.servers)
}

// Barrier returns once the lock could be acquired: everything that was done under it
// before, deadlines set on connections included, is complete. A caller that waits here
// for too long has found that no decisions are made any more.
func (d *Dispatcher) Barrier() {
	d.mu.Lock()
	defer d.mu.Unlock()
}

// onTimer runs when the balancer's timer is due.
func (d *Dispatcher) onTimer() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.expireAttempts(now)
	d.perform(d.balancer.Timer(now, d.timerToken, d.actions[:0]))
}

// perform carries out the balancer's actions and reports the attempts that ended by
// them, until no actions follow. The caller holds the lock.
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

// performOne carries out one action. The caller holds the lock.
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
