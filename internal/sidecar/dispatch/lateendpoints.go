package dispatch

import (
	"otterspring/balance"
	"otterspring/internal/sidecar/discovery/drain"
)

// This file applies reports that arrive out of order. These are the last response from a
// previous address of discovery, and the drains that another process of this sidecar knows.
// Discovery treats a change as reported once the response that contains the change has been
// written. A drain in such a report is therefore in effect, whatever the current list says.

// UpdateEndpointsLate applies the response to a call that was in progress when the sidecar
// switched to another address of discovery. If a list of a later generation has been applied,
// only the drains in the response are applied, since the version of the response is not
// comparable with the version of the current list. Otherwise the whole response is applied,
// unless a later list of the same generation has been applied.
//
// A snapshot in response to a watch also reports that the servers missing from the snapshot
// have departed. For such a response, previous holds the endpoints that were listed at the
// switch. For the response to any other call, previous is nil.
//
// The balancer is not notified of a response from discovery, because the balancer no longer
// waits for this call.
func (d *Dispatcher) UpdateEndpointsLate(list EndpointList, generation int, previous []Endpoint) {
	d.mu.Lock()
	changed := true
	switch {
	case generation < d.generation:
		changed = d.recordDrains(withOmittedAsRemoved(list, previous))
	case generation == d.generation && list.Version <= d.version:
		changed = false // a later list from the same address has been applied
	default:
		list.Endpoints = d.markSuperseded(list)
		d.applyDrains(list, generation)
		d.mergeEndpoints(list)
	}
	dropped := d.forwardCurrentList(changed)
	d.mu.Unlock()
	d.finishUpdate(dropped, changed)
}

// UpdateDrains applies drains from a report whose order relative to the applied lists is
// unknown. Endpoints that are ready are ignored.
func (d *Dispatcher) UpdateDrains(endpoints []Endpoint) {
	d.mu.Lock()
	changed := d.recordDrains(endpoints)
	dropped := d.forwardCurrentList(changed)
	d.mu.Unlock()
	d.finishUpdate(dropped, changed)
}

// forwardCurrentList passes the current list to the balancer if it has changed. It returns
// the upstreams that are no longer used. The caller holds the lock.
func (d *Dispatcher) forwardCurrentList(changed bool) (dropped []Upstream) {
	if !changed {
		return nil
	}
	return d.forwardEndpoints(balance.ListCached, d.currentList().Endpoints)
}

// withOmittedAsRemoved returns the endpoints of a list. If the list is a snapshot, those
// endpoints in previous that are missing from the snapshot are appended as removed.
func withOmittedAsRemoved(list EndpointList, previous []Endpoint) []Endpoint {
	if !list.Snapshot {
		return list.Endpoints
	}
	listed := make(map[string]bool, len(list.Endpoints))
	for i := range list.Endpoints {
		listed[list.Endpoints[i].ID] = true
	}
	endpoints := list.Endpoints
	for _, endpoint := range previous {
		if !listed[endpoint.ID] {
			endpoint.State = balance.Removed
			endpoints = append(endpoints, endpoint)
		}
	}
	return endpoints
}

// recordDrains merges the drains among endpoints into the current list and stores the drains
// for later lists. It ignores a drain of a server if the current list contains a later
// incarnation of the server. It reports whether the current list has changed. The caller holds
// the lock.
func (d *Dispatcher) recordDrains(endpoints []Endpoint) (changed bool) {
	var drains []drain.Server
	for i := range endpoints {
		endpoint := &endpoints[i]
		current, listed := d.endpoints[endpoint.ID]
		if endpoint.State == balance.Ready || listed && current.StartedMillis > endpoint.StartedMillis {
			continue
		}
		drains = append(drains, drain.Server{Name: endpoint.ID, StartedMillis: endpoint.StartedMillis, State: drainStates[endpoint.State]})
		switch {
		case !listed:
		case endpoint.State == balance.Removed:
			d.removeEndpoint(endpoint.ID)
			changed = true
		case current.State == balance.Ready:
			current.State = endpoint.State
			d.endpoints[endpoint.ID] = current
			changed = true
		}
	}
	d.drains.RecordUnordered(d.now(), drains)
	return changed
}
