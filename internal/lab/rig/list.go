package rig

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"otterspring/internal/lab/experiment"
	"otterspring/internal/lab/history"
	"otterspring/internal/lab/invariant"
)

// This file observes the endpoint list in an experiment. The lease holder of a zone watches
// discovery and sends the list to the other supervisors of the zone. All supervisors of the zone
// relay the list to their sidecars.

// endpointListRun holds what the rig observes of the endpoint list during a run. The mutex of hosts
// guards all fields except the channel.
type endpointListRun struct {
	holder    string            // role of the supervisor that was the last to acquire a list lease, in any zone
	tokens    map[string]uint64 // newest token that each supervisor holds or has seen, by role
	results   experiment.EndpointListReport
	baseline  int           // number of direct calls before the first fault; noBaseline until that fault
	delivered chan int64    // list versions that a zone has received; watchLists reads them
	settledAt time.Duration // end of the settle time of all faults so far
}

// noBaseline is the value of baseline before the first fault.
const noBaseline = -1

// settleTime is the length of the period after a fault on the path of the list. In this period a
// change does not count as delivered to a whole zone at once. It counts as delivered 6 s after it
// was made, which is the bound for every change.
const settleTime = 8 * time.Second

const (
	versionPollInterval = 250 * time.Millisecond
	// The delivery of a change to all sidecars is observed for at most deliveryLimit, at
	// intervals of deliveryPollInterval.
	deliveryLimit        = 2 * time.Second
	deliveryPollInterval = 2 * time.Millisecond
	maxDelays            = 100_000
)

// discoveryAddressKey and proxyAddressKey return keys of coordinationRun.addresses. The first is
// the key of a supervisor's discovery endpoint, the second the key of its local endpoint.
func discoveryAddressKey(role string) string { return "d1" + role }
func proxyAddressKey(role string) string     { return "proxy" + role }

// openDiscoveryListeners opens a discovery endpoint for each supervisor and reserves an address
// for the supervisor's local endpoint.
func (h *hosts) openDiscoveryListeners(reserveRole func(string) error) error {
	run := &endpointListRun{tokens: map[string]uint64{}, delivered: make(chan int64, 64), baseline: noBaseline}
	h.coordination.list = run
	for hostIndex := range h.plan.Spec.World.Hosts {
		role := fmt.Sprintf("f%d", hostIndex+1)
		if err := reserveRole(proxyAddressKey(role)); err != nil {
			return err
		}
		discovery := h.world.Registry
		if h.world.laggingRegistry != nil && hostIndex%2 == 1 {
			discovery = h.world.laggingRegistry
		}
		endpoint, err := discovery.Listen(role)
		if err != nil {
			return err
		}
		zone := h.zoneName(hostIndex)
		endpoint.SetAlsoNotified(func() []string {
			select {
			case run.delivered <- discovery.Index():
			default:
			}
			return h.deliveredWith(zone)
		})
		h.coordination.addresses[discoveryAddressKey(role)] = endpoint.Addr()
	}
	return nil
}

func (h *hosts) zoneName(host int) string { return fmt.Sprintf("z%d", host%h.plan.Spec.World.Zones) }

func (h *hosts) zoneOf(host *hostState) string {
	number, _ := strconv.Atoi(host.role[1:])
	return h.zoneName(number - 1)
}

func (h *hosts) listLease(role string) string { return "list:" + h.zoneOf(h.hostOf(role)) }

// leaseOf returns the name that the history uses for the lease of a command. The command is the
// operation op, sent to the supervisor with the given role.
func (h *hosts) leaseOf(role, op string) string {
	if op == "list" {
		return h.listLease(role)
	}
	return "roll-of-all"
}

// relaysList reports whether supervisors relay the list in this run.
func (h *hosts) relaysList() bool { return h.coordination != nil && h.coordination.list != nil }

// listTable returns the [list] table of a host's fleet file, or an empty text if supervisors do not
// relay the list.
func (h *hosts) listTable(host *hostState) string {
	if !h.relaysList() {
		return ""
	}
	return fmt.Sprintf("[list]\ndiscovery = %q\nlisten = %q\n", h.coordination.addresses[discoveryAddressKey(host.role)], h.coordination.addresses[proxyAddressKey(host.role)])
}

// proxyTable returns the [list] table in the operator's file of the sidecars of a host, or an empty
// text if supervisors do not relay the list.
func (h *hosts) proxyTable(host *hostState) string {
	if !h.relaysList() {
		return ""
	}
	return fmt.Sprintf("[list]\nnear = %q\n", h.coordination.addresses[proxyAddressKey(host.role)])
}

// observeToken records that a supervisor has seen the given token.
func (l *endpointListRun) observeToken(role string, token uint64) {
	if l != nil {
		l.tokens[role] = max(l.tokens[role], token)
	}
}

// observeHolder records that a supervisor acquired the lease of its zone with the given token.
func (l *endpointListRun) observeHolder(role string, token uint64) {
	if l != nil {
		l.holder = role
		l.results.Handovers++
		l.observeToken(role, token)
	}
}

// mayLag reports whether an instance's list may come from the lagging discovery service. Every
// second instance watches the lagging service. If supervisors relay the list, any instance may
// receive a list of the lagging service.
func (h *hosts) mayLag(instance int) bool { return instance%2 == 1 || h.relaysList() }

// recordListFault records a fault on the path of the list. From the beginning of the fault until
// settleTime after its end, a change does not count as delivered to a whole zone at once.
func (h *hosts) recordListFault(process string, fault *experiment.Fault) {
	if !h.relaysList() || process != "" && strings.IndexByte("fhm", process[0]) < 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.coordination.list
	if l.baseline == noBaseline {
		l.baseline = h.directCalls()
	}
	l.settledAt = max(l.settledAt, h.world.Checker.Now()+fault.Duration.In(h.plan.Spec.Duration)+settleTime)
}

// directCalls returns the number of calls that sidecars made to discovery directly.
func (h *hosts) directCalls() (calls int) {
	for _, in := range h.world.Instances {
		in.mu.Lock()
		calls += in.discovery.Calls()
		in.mu.Unlock()
	}
	return calls
}

// deliveredWith returns the instances to which a change counts as delivered as soon as the first
// supervisor of the zone has received it. These are all instances of the zone, or none during the
// settle time of a fault.
func (h *hosts) deliveredWith(zone string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.world.Checker.Now() < h.coordination.list.settledAt {
		return nil
	}
	var names []string
	for _, host := range h.hostList {
		if h.zoneOf(host) != zone {
			continue
		}
		for _, in := range host.instances {
			names = append(names, in.Name)
		}
	}
	return names
}

// watchLists records which version of the list each instance has cached. It polls at
// versionPollInterval. While a change is being delivered it polls at deliveryPollInterval, to
// measure the delay.
func (h *hosts) watchLists() {
	ticker := time.NewTicker(versionPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-h.closing:
			return
		case <-ticker.C:
			h.cachedVersions()
		case version := <-h.coordination.list.delivered:
			h.followDelivery(version)
		}
	}
}

// followDelivery polls until all instances have cached the given version, for at most
// deliveryLimit.
func (h *hosts) followDelivery(version int64) {
	start := h.world.Checker.Now()
	reached := map[string]bool{}
	for h.world.Checker.Now() < start+deliveryLimit {
		select {
		case <-h.closing:
			return
		default:
		}
		time.Sleep(deliveryPollInterval)
		for name, cached := range h.cachedVersions() {
			if cached < version || reached[name] {
				continue
			}
			reached[name] = true
			h.recordDelay(h.world.Checker.Now()-start, len(reached) == len(h.world.Instances))
		}
		if len(reached) == len(h.world.Instances) {
			return
		}
	}
}

// recordDelay records how long a change took until one instance had cached it. The parameter last
// is set for the last instance.
func (h *hosts) recordDelay(delay time.Duration, last bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	result := &h.coordination.list.results
	if len(result.Delays) >= maxDelays {
		return
	}
	result.Delays = append(result.Delays, delay)
	if last {
		result.LastDelays = append(result.LastDelays, delay)
	}
}

// cachedVersions asks each instance for its cached version of the list, records the answers in
// the history and returns them.
func (h *hosts) cachedVersions() map[string]int64 {
	versions := map[string]int64{}
	for _, in := range h.world.Instances {
		response, err := shortTimeoutClient.Get("http://" + in.Addr + "/up")
		if err != nil {
			continue
		}
		response.Body.Close()
		version, err := strconv.ParseInt(response.Header.Get("X-List"), 10, 64)
		if err != nil || response.StatusCode != 200 {
			continue
		}
		versions[in.Name] = version
		h.mu.Lock()
		h.recordEntry(history.Entry{Event: invariant.Event{Kind: history.KindObservation}, Actor: in.Name + "#" + response.Header.Get("X-Pid"), Key: "list", Number: uint64(version)})
		h.mu.Unlock()
	}
	return versions
}

// listResult returns the figures of the endpoint list. The caller holds the mutex.
func (h *hosts) listResult() *experiment.EndpointListReport {
	l := h.coordination.list
	if l == nil {
		return nil
	}
	result := l.results
	if l.baseline != noBaseline {
		result.DirectCalls = h.directCalls() - l.baseline
	}
	result.Delays, result.LastDelays = slices.Clone(result.Delays), slices.Clone(result.LastDelays)
	return &result
}
