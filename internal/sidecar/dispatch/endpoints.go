package dispatch

import (
	"slices"
	"time"

	"otterspring/balance"
	"otterspring/internal/sidecar/discovery/drain"
	"otterspring/internal/wallclock"
)

// EndpointList is a snapshot of discovery's endpoint list, or a delta to an earlier one.
type EndpointList struct {
	Version   int64
	Snapshot  bool // Endpoints is complete, not only the changes
	Endpoints []Endpoint
}

// Endpoint is one entry of an EndpointList.
type Endpoint struct {
	balance.Server // StartTime is set by the Dispatcher
	Address        string
	StartedMillis  int64 // start of the server's process in Unix milliseconds; 0 for long ago
}

// server is a server of the current list.
type server struct {
	address       string
	startedMillis int64
	startTime     time.Duration // startedMillis on the balancer's clock
	upstream      Upstream
}

// UpdateEndpoints passes a list to the balancer, and opens and retires upstreams
// accordingly. generation is the number of changes of discovery's address before the list
// was requested. Versions of lists of different generations are not comparable. With
// ListFailed the list is ignored, and the balancer is notified that the call failed.
func (d *Dispatcher) UpdateEndpoints(kind balance.ListKind, list EndpointList, generation int) {
	d.mu.Lock()
	if kind != balance.ListFailed {
		list.Endpoints = d.markSuperseded(list)
		d.applyDrains(list, generation)
		d.mergeEndpoints(list)
	}
	dropped := d.forwardEndpoints(kind, list.Endpoints)
	d.mu.Unlock()
	d.finishUpdate(dropped, kind != balance.ListFailed)
}

// forwardEndpoints passes endpoints to the balancer. It returns the upstreams that are no
// longer used, for finishUpdate. The caller holds the lock.
func (d *Dispatcher) forwardEndpoints(kind balance.ListKind, endpoints []Endpoint) (dropped []Upstream) {
	servers, dropped := d.updateServers(endpoints)
	if kind == balance.ListFull || kind == balance.ListCached {
		dropped = d.dropUnlisted(endpoints, dropped)
	}
	d.perform(d.balancer.Endpoints(d.now(), kind, servers, d.actions[:0]))
	d.abandonUnattached(dropped)
	return dropped
}

// finishUpdate does the part of an update that must be done without the lock: it retires
// upstreams and calls the update callback.
func (d *Dispatcher) finishUpdate(dropped []Upstream, changed bool) {
	for _, upstream := range dropped {
		upstream.Retire()
	}
	d.mu.Lock()
	onUpdate := d.onUpdate
	d.mu.Unlock()
	if onUpdate != nil && changed {
		onUpdate(d.Endpoints())
	}
}

// updateServers opens upstreams for the endpoints that are new, moved or restarted. It
// returns the endpoints for the balancer and the upstreams that are no longer used. The
// caller holds the lock.
func (d *Dispatcher) updateServers(endpoints []Endpoint) (servers []balance.Server, dropped []Upstream) {
	servers = make([]balance.Server, len(endpoints))
	for i := range endpoints {
		endpoint := &endpoints[i]
		servers[i] = endpoint.Server
		known := d.servers[endpoint.ID]
		// Connections to a machine that disappeared may never report an error. Therefore no
		// connection is reused for a server that moved or restarted.
		if known != nil && (known.address != endpoint.Address || known.startedMillis != endpoint.StartedMillis) || endpoint.State != balance.Ready {
			if known != nil {
				dropped = append(dropped, known.upstream)
				delete(d.servers, endpoint.ID)
			}
			known = nil
		}
		if known == nil && endpoint.State != balance.Removed {
			d.servers[endpoint.ID] = &server{
				address: endpoint.Address, startedMillis: endpoint.StartedMillis, startTime: d.toBalancerClock(endpoint.StartedMillis),
				upstream: d.settings.OpenUpstream(endpoint.Address, endpoint.StartedMillis),
			}
		}
		servers[i].StartTime = d.startTime(endpoint)
	}
	return servers, dropped
}

// dropUnlisted removes the servers that a snapshot omits and appends their upstreams to
// dropped. The caller holds the lock.
func (d *Dispatcher) dropUnlisted(endpoints []Endpoint, dropped []Upstream) []Upstream {
	listed := make(map[string]bool, len(endpoints))
	for i := range endpoints {
		listed[endpoints[i].ID] = true
	}
	for name, server := range d.servers {
		if !listed[name] {
			dropped = append(dropped, server.upstream)
			delete(d.servers, name)
		}
	}
	return dropped
}

// abandonUnattached ends the attempts that are still waiting for a connection to a dropped
// upstream. Such a connection could be established long after the server stopped accepting
// new requests. abandonUnattached is called after the balancer has received the list, so that
// retries go to other servers. The caller holds the lock.
func (d *Dispatcher) abandonUnattached(dropped []Upstream) {
	now := d.now()
	var waiting []*Attempt
	for _, attempt := range d.attempts {
		if attempt.conn == nil && slices.Contains(dropped, attempt.upstream) {
			waiting = append(waiting, attempt)
		}
	}
	for _, attempt := range waiting {
		if !attempt.ended {
			d.endAttempt(attempt, balance.NeverSent)
			d.reportOutcome(attempt, now, now-attempt.startedAt)
		}
	}
}

var (
	drainStates  = map[balance.ServerState]drain.State{balance.Ready: drain.Active, balance.Draining: drain.Draining, balance.Removed: drain.Departed}
	serverStates = map[drain.State]balance.ServerState{drain.Active: balance.Ready, drain.Draining: balance.Draining, drain.Departed: balance.Removed}
)

// applyDrains records the drains in the list. Since the list may be older than a drain that was
// reported before, applyDrains also corrects the state of each endpoint in the list whose
// earlier drain is still in effect. The caller holds the lock.
func (d *Dispatcher) applyDrains(list EndpointList, generation int) {
	now := d.now()
	for ; d.generation < generation; d.generation++ {
		d.drains.DiscoveryMoved(now)
	}
	reported := make([]drain.Server, len(list.Endpoints))
	for i, endpoint := range list.Endpoints {
		reported[i] = drain.Server{Name: endpoint.ID, StartedMillis: endpoint.StartedMillis, State: drainStates[endpoint.State]}
	}
	d.drains.Apply(now, list.Version, list.Snapshot, reported)
	for i, entry := range reported {
		if entry.State != drainStates[list.Endpoints[i].State] {
			list.Endpoints[i].State = serverStates[entry.State]
		}
	}
}

// markSuperseded returns the endpoints of a list, with each server marked as removed whose address
// belongs to a later server under another ID. Two processes can't listen on one address, so the
// earlier one is gone, even if no list has said so yet. Attempts meant for it would reach the later
// one. Of two servers in one list the later is the one with the later start; a server in the list
// is later than one that is only known from earlier lists, whatever the wall clocks said. Equal
// starts are left alone. The caller holds the lock.
func (d *Dispatcher) markSuperseded(list EndpointList) []Endpoint {
	latest, listed := map[string]Endpoint{}, map[string]bool{} // by address, by ID
	for _, endpoint := range list.Endpoints {
		listed[endpoint.ID] = true
		other, found := latest[endpoint.Address]
		if endpoint.State != balance.Removed && (!found || other.StartedMillis < endpoint.StartedMillis) {
			latest[endpoint.Address] = endpoint
		}
	}
	endpoints := list.Endpoints
	for i := range endpoints {
		successor := latest[endpoints[i].Address]
		if successor.ID != endpoints[i].ID && successor.StartedMillis > endpoints[i].StartedMillis {
			endpoints[i].State = balance.Removed
		}
	}
	if list.Snapshot {
		return endpoints
	}
	for address, successor := range latest {
		known, found := d.endpoints[d.addresses[address]]
		if found && !listed[known.ID] && known.StartedMillis != successor.StartedMillis {
			known.State = balance.Removed
			endpoints = append(endpoints, known)
		}
	}
	return endpoints
}

// mergeEndpoints merges a list into the current list. In a handover, the current list is
// passed to the new process. The caller holds the lock.
func (d *Dispatcher) mergeEndpoints(list EndpointList) {
	d.version = list.Version
	if list.Snapshot {
		clear(d.endpoints)
		clear(d.addresses)
	}
	for _, endpoint := range list.Endpoints {
		d.removeEndpoint(endpoint.ID)
		if endpoint.State != balance.Removed {
			d.endpoints[endpoint.ID] = endpoint
			d.addresses[endpoint.Address] = endpoint.ID
		}
	}
}

// removeEndpoint removes a server from the current list. The caller holds the lock.
func (d *Dispatcher) removeEndpoint(id string) {
	known, found := d.endpoints[id]
	if !found {
		return
	}
	delete(d.endpoints, id)
	if d.addresses[known.Address] == id {
		delete(d.addresses, known.Address)
	}
}

// OnEndpointUpdate registers a function that is called with the merged list after each
// update, without the lock. If update is nil, the registered function is removed. A call of the
// previous function that is in progress may end after OnEndpointUpdate has returned.
func (d *Dispatcher) OnEndpointUpdate(update func(EndpointList)) {
	d.mu.Lock()
	d.onUpdate = update
	d.mu.Unlock()
}

// EndpointVersion returns the version and the generation of the current list. See
// UpdateEndpoints for generations.
func (d *Dispatcher) EndpointVersion() (version int64, generation int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version, d.generation
}

// Endpoints returns the current list as a snapshot, in no particular order.
func (d *Dispatcher) Endpoints() EndpointList {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.currentList()
}

// currentList implements Endpoints. The caller holds the lock.
func (d *Dispatcher) currentList() EndpointList {
	list := EndpointList{Version: d.version, Snapshot: true}
	for _, endpoint := range d.endpoints {
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	return list
}

// startTime returns the time on the balancer's clock at which a listed server started. It
// returns 0 for a server that started long ago or has departed. The caller holds the lock.
func (d *Dispatcher) startTime(endpoint *Endpoint) time.Duration {
	if server := d.servers[endpoint.ID]; server != nil {
		return server.startTime
	}
	return 0
}

// toBalancerClock converts a start time in Unix milliseconds to the balancer's clock. 0
// stays 0, which means "long ago". Each start time is converted only once, so that the result
// does not change with every list. The caller holds the lock.
//
// A server can't report a start in the future, so a start time ahead of this machine's wall
// clock is clamped to the current time. Otherwise, on a machine whose clock is hours behind,
// each restarted server would count as not warmed up at all for hours. If this machine's
// clock is ahead, servers count as warm too early. This can't be detected here.
//
// A step of the wall clock since the start of this process can be detected. The reported time
// may have been read before or after the step; the later of the two starts is taken, so that a
// server that has just started never counts as warm.
func (d *Dispatcher) toBalancerClock(unixMillis int64) time.Duration {
	if unixMillis <= 0 {
		return 0
	}
	started := clockOrigin + time.UnixMilli(unixMillis).Sub(d.startWallClock)
	if step := d.wallClockStep(); step < -minWallClockStep {
		started -= step
	}
	return min(max(0, started), d.now())
}

// minWallClockStep is the least difference between the wall clock and the monotonic clock that
// counts as a step. Smaller ones may be corrections of the rate.
const minWallClockStep = 500 * time.Millisecond

// wallClockStep returns by how much the wall clock has been stepped since the start of the
// process; it is negative if the clock was set back.
func (d *Dispatcher) wallClockStep() time.Duration {
	return wallclock.Now().Sub(d.startWallClock) - time.Since(d.start)
}
