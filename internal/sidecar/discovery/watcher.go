// Package discovery watches the platform's endpoint list and passes each change to the
// dispatcher. The list comes from the discovery service or from a proxy on this host that
// relays it. A watch is a call that the server answers when the list changes or the timeout
// of the watch expires. Lists are called pushed if the watcher watches without a request by
// the balancer. A move of discovery is a change of the address of the discovery service by
// a reload.
//
// The platform holds a sidecar to a change from the time at which it counts the change as
// reported, whether or not the change arrived. A change that an unresponsive watch misses
// counts as reported at the latest 6 s after the watch became unresponsive or, for a long
// poll, 2 s after the timeout of the watch, if that is later.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/valyala/fastjson"

	"otterspring/balance"
	"otterspring/internal/sidecar/backoff"
	"otterspring/internal/sidecar/dispatch"
)

const (
	// watchTimeout is the longest timeout of a watch if lists are not pushed. It is long
	// because each call costs the shared discovery service as much as some dozens of list
	// entries.
	watchTimeout = backoff.MaxWatchTimeout
	// pushedWatchTimeout is the timeout of a watch if lists are pushed. It can be short
	// because the agent that is watched runs on this machine, where a call costs next to
	// nothing. The sum of pushedWatchTimeout, responseTimeout and the delay before a retry has
	// to stay below the 6 s after which a change counts as reported.
	pushedWatchTimeout = 2 * time.Second
	// responseTimeout is the longest time between the end of a watch's timeout and the
	// first byte of the response. A change that an unresponsive watch misses can count as
	// reported 2 s after the watch's timeout. This also holds for backoff.MinWatchTimeout
	// (4 s), the shortest timeout if lists are not pushed: if such a watch is unresponsive
	// from its start, the platform's limit of 6 s ends at the same time. responseTimeout
	// leaves 1.2 s of the platform's 2 s for the next call.
	responseTimeout = 800 * time.Millisecond
	// minWatchInterval is the delay before the next call if a watch returns without a
	// change in less than minWatchInterval. The delay prevents a busy loop against
	// an agent that does not wait. Discovery treats a call within 200 ms of the end of a
	// watch as the continuation of that watch.
	minWatchInterval = 100 * time.Millisecond
	// noVersion means that there is no list, so that the next call requests a snapshot. It
	// is not 0, which is a valid version.
	noVersion = -1
)

// errOlderDelta is returned for a delta with a lower version than that of the current list.
var errOlderDelta = errors.New("delta is older than the current list")

// Watcher watches the endpoint list. The goroutine of Run owns all fields except those
// below mu, which mu guards. Run starts one goroutine for each call in flight, including up
// to maxDetachedCalls calls to previous addresses, and one goroutine that probes the proxy
// while the proxy fails. SetAddress and RequestList may be called by any goroutine.
type Watcher struct {
	pushed          bool                 // whether calls are made continuously, without requests by the balancer
	schemes         []string             // prefixes that addresses of servers may have
	fixedTimeout    time.Duration        // timeout of every watch; 0 to use adaptiveTimeout
	adaptiveTimeout backoff.WatchTimeout // timeout of the next watch
	// detachTimeout is detachedCallTimeout, except in tests, which also run on slow machines.
	detachTimeout time.Duration

	proxyAddress  string // address of the proxy on this host that relays the list; empty if there is none
	source        string // name of the discovery service whose list the proxy has to relay
	failoverDelay time.Duration

	dispatcher        *dispatch.Dispatcher
	version           int64
	failures          int              // number of calls that have failed since the last success, if lists are pushed
	watchedGeneration int              // generation of the address that was last used for a call to discovery
	expectedSource    string           // required source of the list in the current call; empty if any source is accepted
	conn              *listConn        // current connection; nil if there is none
	parser            *fastjson.Parser // parser that consecutive connections share

	detachedCalls chan struct{}  // semaphore that limits detached calls
	detachedGroup sync.WaitGroup // goroutines of detached calls
	done          chan struct{}  // closed when Run ends

	requested chan struct{} // holds at most one pending request for the list

	mu         sync.Mutex
	address    string
	generation int                // number of changes of the address
	cancelCall context.CancelFunc // cancels the current call; nil before the first call
}

// New returns a Watcher of the discovery service at address. version is the version of the
// list in use, or 0 if there is no list. If pushed is true, the watcher calls discovery
// continuously, without waiting for RequestList. Addresses in the list may start with one
// of schemes, such as "coap://", if the server uses another protocol than HTTP.
func New(address string, pushed bool, version int64, schemes ...string) *Watcher {
	if version == 0 {
		version = noVersion // the caller passes version 0 if the configuration contains no list
	}
	w := &Watcher{
		address: address, pushed: pushed, version: version, schemes: schemes, requested: make(chan struct{}, 1),
		detachTimeout: detachedCallTimeout, detachedCalls: make(chan struct{}, maxDetachedCalls), done: make(chan struct{}),
	}
	if pushed {
		w.fixedTimeout = pushedWatchTimeout
	}
	return w
}

// nextWatchTimeout returns the timeout of the next watch.
func (w *Watcher) nextWatchTimeout() time.Duration {
	if w.fixedTimeout > 0 {
		return w.fixedTimeout
	}
	return w.adaptiveTimeout.Next()
}

// SetAddress changes discovery's address. The current list stays in use. The next call
// requests a snapshot, since the versions of different discovery services are not
// comparable. A call in flight to the previous address is detached (see detachCall), and
// its response is still applied. SetAddress does not block. A later call of SetAddress
// replaces an address that is not yet in effect.
func (w *Watcher) SetAddress(address string) {
	w.mu.Lock()
	moved := address != w.address
	if moved {
		w.address = address
		w.generation++
		if w.cancelCall != nil {
			w.cancelCall()
		}
	}
	w.mu.Unlock()
	if moved {
		w.RequestList()
	}
}

// currentAddress returns the current address and its generation, and registers cancel to
// be called on the next change of the address.
func (w *Watcher) currentAddress(cancel context.CancelFunc) (address string, generation int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelCall = cancel
	return w.address, w.generation
}

// addressChanges returns the number of changes of discovery's address.
func (w *Watcher) addressChanges() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.generation
}

// RequestList records that the balancer requests the list. It does not block.
func (w *Watcher) RequestList() {
	select {
	case w.requested <- struct{}{}:
	default:
	}
}

// clearRequest discards a pending request for the list. The caller makes the next call without
// waiting for a request, and this call also answers the discarded request.
func (w *Watcher) clearRequest() {
	select {
	case <-w.requested:
	default:
	}
}

// Run passes every list to the dispatcher until ctx is done. If lists are pushed, Run calls
// discovery continuously. Otherwise Run calls discovery when the balancer requests the list,
// and then keeps watching until a call fails. Run may be called only once.
func (w *Watcher) Run(ctx context.Context, dispatcher *dispatch.Dispatcher) {
	w.dispatcher = dispatcher
	defer w.detachedGroup.Wait()
	defer close(w.done)
	defer w.closeConnection()
	if w.proxyAddress == "" {
		w.watchDiscovery(ctx, 0)
		return
	}
	w.watchProxy(ctx)
}

// watchDiscovery watches the discovery service itself until ctx is done. The parameter
// attempts is the maximum number of calls that are made without a request by the balancer
// until a call succeeds.
func (w *Watcher) watchDiscovery(ctx context.Context, attempts int) {
	stop := context.AfterFunc(ctx, w.RequestList)
	defer stop()
	rng := rand.New(rand.NewPCG(rand.Uint64(), 0))
	for {
		if !w.pushed && attempts == 0 {
			<-w.requested
		} else {
			w.clearRequest()
		}
		if ctx.Err() != nil {
			return
		}
		callContext, cancel := context.WithCancel(ctx)
		address, generation := w.currentAddress(cancel)
		if generation != w.watchedGeneration {
			w.watchedGeneration, attempts, w.version = generation, backoff.MaxAttempts, noVersion
			w.closeConnection()
		}
		succeeded, err := w.watchUntilError(callContext, address, generation)
		moved := callContext.Err() != nil
		cancel()
		w.closeConnection()
		if succeeded {
			attempts, w.failures = 0, 0
		}
		switch {
		case ctx.Err() != nil:
			return
		case moved:
			// The call was cancelled by the address change, not by a failure of discovery.
			attempts = backoff.MaxAttempts
		default:
			attempts = w.waitAfterFailure(ctx, rng, attempts, generation, err)
		}
	}
}

// waitAfterFailure waits after a failed call, for a time that depends on the kind of
// failure. It returns how many of the next calls are made without a request by the balancer.
func (w *Watcher) waitAfterFailure(ctx context.Context, rng *rand.Rand, attempts, generation int, err error) int {
	if w.pushed {
		w.retryPushed(ctx, rng, generation, err)
		return max(0, attempts-1)
	}
	unresponsive := attempts == 0 && w.version > noVersion && errors.Is(err, os.ErrDeadlineExceeded)
	switch {
	case unresponsive:
		// Do not wait for the next request by the balancer. The unresponsive watch may have
		// missed a change, which counts as reported 6 s after the change was made.
		sleep(ctx, backoff.Delay(rng, 1))
		return 1
	case attempts > 1:
		// After a move the first calls are retried early, since a change at the new
		// address soon counts as reported.
		attempts--
		sleep(ctx, backoff.Delay(rng, backoff.MaxAttempts-attempts))
		return attempts
	}
	slog.Warn("discovery call failed", "error", err)
	w.dispatcher.UpdateEndpoints(balance.ListFailed, dispatch.EndpointList{}, generation)
	return 0
}

// retryPushed waits before the next call to an agent that pushes lists. The watcher has to repeat
// the call by itself, because the balancer does not request pushed lists. It does so soon: what the
// agent has counts as reported, also while no watch is open, and a watch may end instead of
// reporting a change.
func (w *Watcher) retryPushed(ctx context.Context, rng *rand.Rand, generation int, err error) {
	w.failures++
	if w.failures > 1 {
		slog.Warn("discovery call failed", "error", err)
		w.dispatcher.UpdateEndpoints(balance.ListFailed, dispatch.EndpointList{}, generation)
	}
	sleep(ctx, backoff.AgentDelay(rng, w.failures))
}

// sleep waits for the duration or until ctx is done.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// watchUntilError passes every list to the dispatcher until a call fails or ctx is done.
// It reports whether any call succeeded.
func (w *Watcher) watchUntilError(ctx context.Context, address string, generation int) (succeeded bool, err error) {
	for {
		started := time.Now()
		list, _, err := w.fetch(ctx, address, w.nextWatchTimeout(), responseTimeout)
		if err != nil {
			w.adaptiveTimeout.RecordFailure()
			return succeeded, err
		}
		kind := balance.ListDelta
		if list.Snapshot {
			kind = balance.ListFull
		} else if list.Version < w.version {
			err := fmt.Errorf("%w: version %d after version %d", errOlderDelta, list.Version, w.version)
			w.version = noVersion // the next call requests a snapshot
			return succeeded, err
		}
		succeeded = true
		changed := list.Version != w.version
		w.adaptiveTimeout.RecordResponse(changed)
		w.version = list.Version
		w.dispatcher.UpdateEndpoints(kind, list, generation)
		if err := ctx.Err(); err != nil {
			return succeeded, err
		}
		if !changed && time.Since(started) < minWatchInterval {
			sleep(ctx, minWatchInterval)
		}
	}
}
