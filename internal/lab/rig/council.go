package rig

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"otterspring/internal/fleet/coordination/client"
	"otterspring/internal/lab/experiment"
	"otterspring/internal/lab/history"
	"otterspring/internal/lab/invariant"
)

// coordinationRun holds what the rig observes of the coordination cluster and of the rollout lease
// during one run. The mutex of hosts guards it.
type coordinationRun struct {
	members     []*hostState
	clusterFile string
	// addresses has the addresses of members and supervisors by role, such as "m1" or "f1". It also has
	// the other addresses of supervisors, by the keys that discoveryAddressKey and proxyAddressKey return.
	addresses        map[string]string
	bootstrapped     map[string]bool             // members that have been started before, by role
	startedProcesses map[string]map[string][]int // PIDs, by operation and instance
	faultTargets     map[int]string              // role that resolveTarget returned, by index of the fault
	results          experiment.RollReport
	// vacantSince is the time at which the holder was killed or suspended; 0 if no holder has to be
	// replaced.
	vacantSince  time.Duration
	holder       string                     // role of the holder of the rollout lease; empty if there is none
	formerHolder string                     // role of the holder that was killed or suspended
	inProgress   map[string]string          // operation of each instance that is being restarted or reloaded
	tokens       map[string]uint64          // newest token that each supervisor holds or has seen, by role
	terms        map[uint64]*leadershipTerm // terms by fencing token
	list         *endpointListRun           // nil if supervisors do not relay the list
}

// leadershipTerm is the period of one leadership. It begins when the holder logs that it has
// acquired the lease. It ends when the lease ends by the clock of the holder, as the holder logs
// it. The field to is 0 if the holder logged no end.
type leadershipTerm struct{ from, to time.Duration }

// maxLogDelay is the largest tolerated overlap of two terms. The rig reads the logs of two
// processes with different delays. Two terms may therefore seem to overlap by this much. A lease
// that is held for too long exceeds the limit by seconds.
const maxLogDelay = 250 * time.Millisecond

// countOverlaps counts the terms that ended more than maxLogDelay after a later term had begun.
// Fencing decides whether a command sent in such a term takes effect. The count shows whether
// leases alone, without fencing, would have been sufficient.
func countOverlaps(terms map[uint64]*leadershipTerm) (overlaps int) {
	for token, term := range terms {
		for otherToken, other := range terms {
			if token < otherToken && term.to > other.from+maxLogDelay {
				overlaps++
				break
			}
		}
	}
	return overlaps
}

// reservedAddresses holds the addresses that are assigned to worlds of this process. No process
// listens on an address between its reservation and the start of its process. During this time the
// kernel could assign the address to another world that runs at the same time.
var reservedAddresses sync.Map

// reserveAddress listens on the given IP address, at a port that is not yet assigned to a world of
// this process. The address with this port remains assigned after the listener is closed.
func reserveAddress(ip string) (net.Listener, error) {
	var rejected []net.Listener // kept open until the end, so that the kernel chooses other ports
	defer func() {
		for _, ln := range rejected {
			ln.Close()
		}
	}()
	for {
		ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		if _, taken := reservedAddresses.LoadOrStore(ln.Addr().String(), true); !taken {
			return ln, nil
		}
		rejected = append(rejected, ln)
	}
}

// newCoordination writes the configuration file of the coordination cluster and reserves addresses
// for its members and for the supervisors. It does nothing if the experiment has no coordination
// cluster.
func (h *hosts) newCoordination() error {
	cluster := &h.plan.Spec.World.Coordination
	if cluster.Members == 0 {
		return nil
	}
	run := &coordinationRun{clusterFile: h.world.filePath("council.toml"), addresses: map[string]string{}, bootstrapped: map[string]bool{}, faultTargets: map[int]string{}, startedProcesses: map[string]map[string][]int{}, inProgress: map[string]string{}, tokens: map[string]uint64{}, terms: map[uint64]*leadershipTerm{}}
	var config strings.Builder
	fmt.Fprintf(&config, "name = \"world\"\ndirectory = \"council\"\nlease = %q\nmargin = %q\ntick = %q\n", cluster.LeaseDuration, cluster.SafetyMargin, cluster.Tick)
	var listeners []net.Listener
	reserveRole := func(role string) error {
		ln, err := reserveAddress(fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 1+os.Getpid()/250%250, 200))
		if err != nil {
			return err
		}
		listeners = append(listeners, ln)
		run.addresses[role] = ln.Addr().String()
		return nil
	}
	defer func() {
		for _, ln := range listeners {
			ln.Close()
		}
	}()
	for index := range cluster.Members {
		role := fmt.Sprintf("m%d", index+1)
		if err := reserveRole(role); err != nil {
			return err
		}
		fmt.Fprintf(&config, "[[member]]\nnumber = %d\naddress = %q\n", index+1, run.addresses[role])
		run.members = append(run.members, &hostState{name: fmt.Sprintf("c%d", index+1), role: role})
	}
	for index := range h.plan.Spec.World.Hosts {
		if err := reserveRole(fmt.Sprintf("f%d", index+1)); err != nil {
			return err
		}
	}
	h.coordination = run
	if cluster.EndpointList {
		if err := h.openDiscoveryListeners(reserveRole); err != nil {
			return err
		}
	}
	return replaceFile(run.clusterFile, config.String())
}

// councilTable returns the [council] table of a host's fleet file. It adds the [list] table if
// supervisors relay the endpoint list. It returns an empty text if there is no coordination
// cluster.
func (h *hosts) councilTable(host *hostState) string {
	if h.coordination == nil {
		return ""
	}
	var members []string
	for _, member := range h.coordination.members {
		members = append(members, strconv.Quote(h.coordination.addresses[member.role]))
	}
	return fmt.Sprintf("[council]\nname = \"world\"\nmembers = [%s]\nhost = %q\nzone = %q\nlisten = %q\n",
		strings.Join(members, ", "), host.name, h.zoneOf(host), h.coordination.addresses[host.role]) + h.listTable(host)
}

// commandLine returns the command that starts a supervisor or a member. The caller holds the
// mutex.
func (h *hosts) commandLine(host *hostState) []string {
	argv := slices.Clone(h.world.options.OperatorCommand)
	if host.earlierVersion {
		argv = []string{h.world.options.EarlierOperatorCommand}
	}
	if host.role[0] != 'm' {
		return append(argv, "fleet", "run", host.fleetFile)
	}
	argv = append(argv, "council", "run", "-member", host.role[1:])
	if !h.coordination.bootstrapped[host.role] {
		// The flag -new makes a member create its initial state. It is passed only when a member
		// that has no state yet starts for the first time.
		if _, err := os.Stat(filepath.Join(h.world.options.Dir, "council", "member-"+host.role[1:], "council.db")); err != nil {
			argv = append(argv, "-new")
		}
		h.coordination.bootstrapped[host.role] = true
	}
	return append(argv, h.coordination.clusterFile)
}

// newFencingToken returns the fencing token that has the given space in its upper 32 bits and the
// given number in its lower 32 bits.
func newFencingToken(space, number string) uint64 {
	high, _ := strconv.ParseUint(space, 10, 32)
	low, _ := strconv.ParseUint(number, 10, 32)
	return high<<32 | low
}

// observe records an event from a supervisor's log.
func (h *hosts) observe(role string, event supervisorEvent) {
	if h.coordination == nil {
		return
	}
	if event.kind == commandAccepted {
		h.observeCommand(event)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.world.Checker.Now()
	switch event.kind {
	case leadershipAcquired:
		h.observeLeadership(role, now, event)
	case leadershipEnded:
		if event.lease != rollLease {
			return
		}
		if term := h.coordination.terms[event.token]; term != nil {
			term.to = now - event.expiredFor
		}
		if h.coordination.holder == role {
			h.coordination.holder = ""
		}
	case commandAccepted:
		h.coordination.inProgress[event.instance] = event.operation
		h.coordination.results.MaxInProgress = max(h.coordination.results.MaxInProgress, len(h.coordination.inProgress))
		zones := map[string]int{}
		for name := range h.coordination.inProgress {
			zone := h.zoneOf(h.hostOf(name))
			zones[zone]++
			h.coordination.results.MaxInProgressPerZone = max(h.coordination.results.MaxInProgressPerZone, zones[zone])
		}
		h.recordEntry(history.Entry{Event: invariant.Event{Kind: history.KindEffect, At: now}, Actor: event.holder, Target: role, Lease: "roll-of-all", Op: event.operation, Value: event.instance, Number: event.token, Result: history.Done})
	case leaseHolderChanged:
		// From now on this supervisor must not execute commands with an older token.
		lease := "roll-of-all"
		if event.lease == rollLease {
			h.coordination.tokens[role] = max(h.coordination.tokens[role], event.token)
		} else {
			lease = event.lease
			h.coordination.list.observeToken(role, event.token)
		}
		h.recordEntry(history.Entry{Event: invariant.Event{Kind: history.KindEffect, At: now}, Actor: event.holder, Target: role, Lease: lease, Op: "look", Number: event.token, Result: history.Done})
	case listApplied:
		index, _ := strconv.ParseUint(event.version, 10, 64)
		h.recordEntry(history.Entry{Event: invariant.Event{Kind: history.KindEffect, At: now}, Actor: event.holder, Target: role, Lease: h.listLease(role), Op: "list", Number: event.token, Value: event.version, Result: history.Done})
		h.recordEntry(history.Entry{Event: invariant.Event{Kind: history.KindObservation, At: now}, Actor: fmt.Sprintf("%s#%d", role, h.hostOf(role).supervisor.cmd.Process.Pid), Key: "list", Number: index})
	case commandFenced:
		if event.uninitialized {
			h.coordination.results.RefusedWithoutEpoch++ // the fence had observed no holder yet
		} else {
			h.coordination.results.StaleRefused++
		}
		h.recordEntry(history.Entry{Event: invariant.Event{Kind: history.KindEffect, At: now}, Actor: event.holder, Target: role, Lease: h.leaseOf(role, event.command), Op: event.command, Number: event.token, Result: history.Refused})
	}
}

// rollLease is the lease whose holder leads rolling restarts across all hosts.
const rollLease = "roll"

// observeCommand records that a supervisor begins a restart or a reload of an instance.
func (h *hosts) observeCommand(event supervisorEvent) {
	// If the instance already has a process for the operation, it is restarted twice for the same
	// operation. A process that is started after a crash also carries the operation. Such a
	// process is not counted, because no command precedes its start.
	h.mu.Lock()
	if len(h.coordination.startedProcesses[event.operation][event.instance]) > 0 {
		h.coordination.results.StartedTwice++
	}
	h.mu.Unlock()
	h.scanProcesses()
	if event.command == "reload" {
		// A reload starts no process. The running process is recorded instead.
		pid := h.instanceByName(event.instance).readyPID()
		h.mu.Lock()
		h.recordStartedProcess(event.operation, event.instance, pid)
		h.mu.Unlock()
	}
	h.observeCompleted()
}

// observeLeadership records that a supervisor acquired a lease. The caller holds the mutex.
func (h *hosts) observeLeadership(role string, now time.Duration, event supervisorEvent) {
	if event.lease != rollLease {
		h.coordination.list.observeHolder(role, event.token)
		return
	}
	h.coordination.results.Handovers++
	if h.coordination.vacantSince > 0 {
		h.coordination.results.Gaps = append(h.coordination.results.Gaps, now-h.coordination.vacantSince)
		h.coordination.vacantSince = 0
	}
	h.coordination.holder = role
	h.coordination.tokens[role] = event.token
	h.coordination.terms[event.token] = &leadershipTerm{from: now}
}

// observeCompleted removes an instance from the field inProgress once the instance's process for
// the operation is ready.
func (h *hosts) observeCompleted() {
	if h.coordination == nil {
		return
	}
	h.mu.Lock()
	inProgress := maps.Clone(h.coordination.inProgress)
	h.mu.Unlock()
	for name, operation := range inProgress {
		pid := h.instanceByName(name).readyPID()
		h.mu.Lock()
		if slices.Contains(h.coordination.startedProcesses[operation][name], pid) {
			delete(h.coordination.inProgress, name)
		}
		h.mu.Unlock()
	}
}

// resolveTarget returns the role to which a step applies. The target "owner" stands for the holder
// of the rollout lease, and "lister" for the last supervisor that acquired the lease of an endpoint
// list. Both are resolved to "f1" if there is no such supervisor. The target "leader" stands for
// the leader of the coordination cluster. A target is resolved when the fault begins, and the end
// of the fault applies to the same role. Any other target is returned unchanged.
func (h *hosts) resolveTarget(step experiment.Step) string {
	if step.Process != "owner" && step.Process != "leader" && step.Process != "lister" {
		return step.Process
	}
	if step.Op == experiment.ClearProcessFault {
		return h.coordination.faultTargets[step.Fault]
	}
	role := "f1"
	switch step.Process {
	case "leader":
		role = h.leaderRole()
	case "lister":
		h.mu.Lock()
		if h.coordination.list.holder != "" {
			role = h.coordination.list.holder
		}
		h.mu.Unlock()
	default:
		h.mu.Lock()
		if h.coordination.holder != "" {
			role = h.coordination.holder
		}
		h.mu.Unlock()
	}
	h.coordination.faultTargets[step.Fault] = role // needs no lock: one goroutine applies all steps
	return role
}

// awaitNewerHolder waits until all other supervisors have seen a newer token than that of the given
// role. It polls at most maxNewerHolderPolls times, and returns false if the run ends first. The
// parameter list selects the lease of the endpoint list instead of the rollout lease.
//
// A wait of a fixed length is not sufficient: on a slow machine it would end before another
// supervisor has acquired the lease.
func (h *hosts) awaitNewerHolder(role string, list bool) bool {
	for range maxNewerHolderPolls {
		h.mu.Lock()
		tokens := h.coordination.tokens
		if list {
			tokens = h.coordination.list.tokens
		}
		ownToken, allNewer := tokens[role], true
		for _, host := range h.hostList {
			allNewer = allNewer && (host.role == role || tokens[host.role] > ownToken)
		}
		h.mu.Unlock()
		if allNewer {
			break
		}
		select {
		case <-h.closing:
			return false
		case <-time.After(scanInterval):
		}
	}
	return true
}

// maxNewerHolderPolls bounds the wait for a newer holder, in intervals of scanInterval.
const maxNewerHolderPolls = 600

// leaderRole asks each member whether it is the leader and returns the role of the leader, or "m1"
// if there is no leader.
func (h *hosts) leaderRole() string {
	for _, member := range h.coordination.members {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		response, err := client.Call(ctx, &shortTimeoutClient, h.coordination.addresses[member.role], "world", client.Request{Kind: client.WatchLeases})
		cancel()
		if err == nil && response.IsLeader {
			return member.role
		}
	}
	return "m1"
}

// recordHolderLost records that the process with the given role was killed or suspended. It does
// nothing if the process does not hold the rollout lease. The caller holds the mutex.
func (h *hosts) recordHolderLost(role string) {
	if h.coordination != nil && h.coordination.holder == role && h.coordination.vacantSince == 0 {
		h.coordination.vacantSince = h.world.Checker.Now()
		h.coordination.holder, h.coordination.formerHolder = "", role
	}
}

// recordResumed records that the processes with the given name were resumed. If the former lease
// holder is one of them and no other supervisor has replaced it, it is the holder again.
func (h *hosts) recordResumed(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.coordination == nil || h.coordination.vacantSince == 0 {
		return
	}
	for _, process := range h.processesOf(name) {
		if process.name == h.coordination.formerHolder {
			h.coordination.vacantSince, h.coordination.holder = 0, process.name
		}
	}
}

// observeProcess records the operation for which a process was started. The environment of the
// process names the operation. The caller holds the mutex.
func (h *hosts) observeProcess(name string, pid int, env []byte) {
	if h.coordination == nil {
		return
	}
	for _, variable := range bytes.Split(env, []byte{0}) {
		id, ok := bytes.CutPrefix(variable, []byte("OTTERSPRING_ORDER="))
		if !ok || len(id) == 0 {
			continue
		}
		h.recordStartedProcess(string(id), name, pid)
	}
}

// recordStartedProcess records the PID of the process that an instance has for an operation. For a
// restart this is the started process, for a reload the running process. The caller holds the
// mutex.
func (h *hosts) recordStartedProcess(operation, name string, pid int) {
	processes := h.coordination.startedProcesses[operation]
	if processes == nil {
		processes = map[string][]int{}
		h.coordination.startedProcesses[operation] = processes
	}
	processes[name] = append(processes[name], pid)
}

// maxPendingOperationPolls limits how often the rig asks whether an operation is still pending
// after the load. The rig asks twice a second.
const maxPendingOperationPolls = 120

// coordinationResult compares the cluster's operations with the processes that were started for
// them. The caller must not hold the mutex.
func (h *hosts) coordinationResult() *experiment.RollReport {
	if h.coordination == nil {
		return nil
	}
	var out []byte
	for range maxPendingOperationPolls {
		argv := append(slices.Clone(h.world.options.OperatorCommand), "council", "duties", h.coordination.clusterFile)
		text, err := exec.Command(argv[0], argv[1:]...).Output()
		if out = text; err == nil && !bytes.Contains(text, []byte("under way")) {
			break
		}
		time.Sleep(500 * time.Millisecond) // time for a pending operation to complete
	}
	h.scanProcesses()
	h.mu.Lock()
	defer h.mu.Unlock()
	result := &h.coordination.results
	result.Overlaps = countOverlaps(h.coordination.terms)
	result.EndpointList = h.listResult()
	for _, line := range strings.Split(string(out), "\n") {
		var id string
		if n, _ := fmt.Sscanf(line, "order %s", &id); n != 1 {
			continue
		}
		h.recordEntry(history.Entry{Event: invariant.Event{Kind: history.KindProcess}, Actor: "council", Op: "said", Value: line})
		if !strings.HasSuffix(line, ": done") {
			continue
		}
		result.Completed++
		result.LeftOut += len(h.world.Instances) - len(h.coordination.startedProcesses[id])
	}
	return result
}
