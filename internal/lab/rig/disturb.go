package rig

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"otterspring/internal/lab/experiment"
	"otterspring/internal/lab/history"
	"otterspring/internal/lab/invariant"
)

// applyFaultStep begins or ends a process fault, as the step says. Work that takes time runs
// concurrently with the next steps.
func (h *hosts) applyFaultStep(step experiment.Step) error {
	fault := &h.plan.Spec.Faults[step.Fault]
	step.Process = h.resolveTarget(step)
	h.recordListFault(step.Process, fault)
	switch {
	case step.Op == experiment.ClearProcessFault && fault.ResumeAfter != "" && h.processAtPoint(step.Process, step.Fault) > 0:
		h.wg.Go(func() {
			if h.awaitNewerHolder(step.Process, strings.HasPrefix(fault.Point, "list-")) {
				if err := h.endFault(step, fault); err != nil {
					h.recordError(err)
				}
			}
		})
		return nil
	case step.Op == experiment.ClearProcessFault:
		return h.endFault(step, fault)
	}
	h.mu.Lock()
	if h.activeFaults[step.Process] == nil {
		h.activeFaults[step.Process] = map[int]int{}
	}
	h.activeFaults[step.Process][step.Fault]++
	h.mu.Unlock()
	applied, err := h.beginFault(step, fault)
	if err == nil && applied {
		h.recordAppliedFault(step, fault)
	}
	return err
}

// recordAppliedFault counts a fault that was applied and writes it to the history.
func (h *hosts) recordAppliedFault(step experiment.Step, fault *experiment.Fault) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faultCounts[fault.Kind]++
	endsAt := time.Duration(0)
	if fault.Duration.In(h.plan.Spec.Duration) > 0 {
		endsAt = h.world.Checker.Now() + fault.Duration.In(h.plan.Spec.Duration)
	}
	h.recordFault(step, fault, h.world.Checker.Now(), endsAt)
}

// recordFault writes a fault to the history. The caller holds the mutex.
func (h *hosts) recordFault(step experiment.Step, fault *experiment.Fault, beganAt, endsAt time.Duration) {
	h.recordEntry(history.Entry{Event: invariant.Event{Kind: history.KindFault, At: beganAt}, End: endsAt, Actor: step.Process, Op: fault.Kind, Value: fault.Point + fault.DiskFault + fault.Peer + fault.Operation})
}

// recordPointFault records a fault that took effect at a fault point in the code of a process. It
// is called when the fault ends. The fault began when the process wrote its marker file.
func (h *hosts) recordPointFault(step experiment.Step, fault *experiment.Fault) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faultCounts[fault.Kind]++
	now := h.world.Checker.Now()
	beganAt := now
	if info, err := os.Stat(h.markerPath(step.Process, step.Fault)); err == nil {
		beganAt = max(1, now-max(0, time.Since(info.ModTime())))
	}
	h.recordFault(step, fault, beganAt, now)
}

// beginFault applies a fault. It returns false if there was nothing to apply the fault to, or if
// the fault is recorded later. A fault at a fault point is recorded when it ends, and an operation
// is recorded when the command of the operator has ended.
func (h *hosts) beginFault(step experiment.Step, fault *experiment.Fault) (bool, error) {
	switch fault.Kind {
	case "stop":
		h.mu.Lock()
		for _, process := range h.processesOf(step.Process) {
			h.recordHolderLost(process.name)
		}
		h.mu.Unlock()
		return h.setSuspended(step.Process, true) > 0, nil
	case "starve":
		h.wg.Go(func() { h.starve(step, fault) })
		return true, nil
	case "sigkill":
		return h.killProcesses(step.Process), nil
	case "host-down":
		host := h.hostOf(step.Process)
		if !h.markDown(host) {
			return false, nil // the host is down already
		}
		return h.killProcesses(step.Process), nil
	case "kill-at", "stop-at", "never-ready", "clock", "disk", "cut-off":
		if fault.Kind == "disk" {
			h.markResourceFault(step.Process)
		}
		return fault.Kind == "clock" || fault.Kind == "disk" || fault.Kind == "cut-off", h.writeFaultFile(step.Process)
	case "descriptors":
		h.markResourceFault(step.Process)
		return h.setDescriptorsExhausted(step.Process, true), nil
	case "way-cut", "way-slow", "way-reset", "way-half-open":
		return true, h.applyLinkFaults(step.Process, fault)
	case "version":
		if step.Process[0] == 'm' {
			h.mu.Lock()
			h.hostOf(step.Process).earlierVersion = fault.Program == "old"
			h.mu.Unlock()
			return h.killProcesses(step.Process), nil
		}
		h.wg.Go(func() { h.runOperation(step, fault) })
		return false, nil
	case "order":
		h.wg.Go(func() { h.runOperation(step, fault) })
		return false, nil
	case "list-lag":
		h.world.setDiscoveryLag(fault.Delay)
		for i, in := range h.world.Instances {
			if h.mayLag(i) {
				h.world.Checker.Partitioned(in.Name, true, h.world.Checker.Now())
			}
		}
		return true, nil
	}
	return false, fmt.Errorf("rig: unknown kind of fault %q", fault.Kind)
}

// endFault ends a fault. The other faults on the same process stay in effect.
func (h *hosts) endFault(step experiment.Step, fault *experiment.Fault) error {
	h.mu.Lock()
	if remaining := h.activeFaults[step.Process][step.Fault] - 1; remaining > 0 {
		h.activeFaults[step.Process][step.Fault] = remaining
	} else {
		delete(h.activeFaults[step.Process], step.Fault)
	}
	h.mu.Unlock()
	switch fault.Kind {
	case "stop":
		h.setSuspended(step.Process, false)
		h.recordResumed(step.Process)
	case "host-down":
		host := h.hostOf(step.Process)
		supervisor, down := h.supervisorState(host)
		if !down || h.faultActive(step.Process, fault.Kind) {
			return nil // another "host-down" fault keeps the host down
		}
		<-supervisor.done
		return h.startSupervisor(host)
	case "kill-at", "stop-at", "never-ready", "clock", "disk", "cut-off":
		if fault.Kind != "clock" && fault.Kind != "disk" && fault.Kind != "cut-off" {
			if pid := h.processAtPoint(step.Process, step.Fault); pid > 0 {
				h.recordPointFault(step, fault)
				if fault.Kind != "kill-at" {
					syscall.Kill(pid, syscall.SIGCONT)
				}
			}
		}
		if err := h.writeFaultFile(step.Process); err != nil {
			return err
		}
		if step.Process[0] == 'f' || step.Process[0] == 'm' {
			return h.restartSupervisor(h.hostOf(step.Process))
		}
	case "descriptors":
		h.setDescriptorsExhausted(step.Process, false)
		if step.Process[0] == 'f' || step.Process[0] == 'm' {
			return h.restartSupervisor(h.hostOf(step.Process))
		}
	case "way-cut", "way-slow", "way-reset", "way-half-open":
		return h.applyLinkFaults(step.Process, fault)
	case "list-lag":
		h.world.setDiscoveryLag(0)
		for i, in := range h.world.Instances {
			if h.mayLag(i) {
				// Changes that have not been delivered yet arrive within the delay.
				h.world.Checker.Partitioned(in.Name, false, h.world.Checker.Now()+fault.Delay)
			}
		}
	}
	return nil
}

// supervisorState returns a host's newest supervisor and reports whether the host is down.
func (h *hosts) supervisorState(host *hostState) (*Process, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return host.supervisor, host.down
}

// markDown records that a host goes down. It returns false if the host was down already.
func (h *hosts) markDown(host *hostState) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	wasDown := host.down
	host.down = true
	return !wasDown
}

// markResourceFault records that the disk or the descriptors of a process fail. The process's
// supervisor or member may then exit with an error.
func (h *hosts) markResourceFault(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hostOf(name).hasResourceFault = true
}

// faultActive reports whether a fault of a kind is active on a process.
func (h *hosts) faultActive(name, kind string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for number := range h.activeFaults[name] {
		if h.plan.Spec.Faults[number].Kind == kind {
			return true
		}
	}
	return false
}

// setSuspended suspends all processes with the given name, or resumes those that no other fault
// keeps suspended. It returns the number of processes with the name.
func (h *hosts) setSuspended(name string, suspend bool) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for _, process := range h.processesOf(name) {
		key := fmt.Sprint(process.pid)
		if suspend {
			h.suspensions[key]++
			unix.PidfdSendSignal(process.pidfd, syscall.SIGSTOP, nil, 0)
			h.recordEntry(history.Entry{Event: invariant.Event{Kind: history.KindProcess}, Actor: process.name, Op: "stopped", Number: uint64(process.pid)})
		} else if h.suspensions[key] > 0 {
			// A process that was started during the fault was not suspended.
			if h.suspensions[key]--; h.suspensions[key] == 0 {
				unix.PidfdSendSignal(process.pidfd, syscall.SIGCONT, nil, 0)
				h.recordEntry(history.Entry{Event: invariant.Event{Kind: history.KindProcess}, Actor: process.name, Op: "woken", Number: uint64(process.pid)})
			}
		}
		count++
	}
	return count
}

// starve limits a process to the CPU share of the fault while the fault lasts. In each starvePeriod
// the process is suspended for the rest of the period.
func (h *hosts) starve(step experiment.Step, fault *experiment.Fault) {
	deadline := time.Now().Add(fault.Duration.In(h.plan.Spec.Duration))
	runTime := time.Duration(fault.CPUShare * float64(starvePeriod))
	for time.Now().Before(deadline) {
		h.setSuspended(step.Process, true)
		time.Sleep(starvePeriod - runTime)
		h.setSuspended(step.Process, false)
		select {
		case <-h.closing:
			return
		case <-time.After(runTime):
		}
	}
}

// killProcesses kills all processes with the given name by SIGKILL, including suspended ones, and
// reports whether there were any. If the name is that of a supervisor or a member, killProcesses
// starts the supervisor or member again. Killed instances are restarted by their supervisor.
func (h *hosts) killProcesses(name string) bool {
	h.mu.Lock()
	processes := h.processesOf(name)
	for _, process := range processes {
		if process.name[0] == 'n' {
			h.world.Checker.KillAnnounced(process.name)
		} else {
			process.host.supervisor.exitExpected.Store(true)
		}
	}
	// Supervisors are killed first, since they would restart instances that are killed before them.
	slices.SortStableFunc(processes, func(a, b *trackedProcess) int { return int(a.name[0]) - int(b.name[0]) })
	for _, process := range processes {
		unix.PidfdSendSignal(process.pidfd, syscall.SIGKILL, nil, 0)
		h.recordHolderLost(process.name)
		h.recordEntry(history.Entry{Event: invariant.Event{Kind: history.KindProcess}, Actor: process.name, Op: "killed", Number: uint64(process.pid)})
	}
	h.mu.Unlock()
	if (name[0] == 'f' || name[0] == 'm') && len(processes) > 0 {
		host := h.hostOf(name)
		h.wg.Go(func() {
			supervisor, _ := h.supervisorState(host)
			<-supervisor.done
			if err := h.restartSupervisor(host); err != nil {
				h.recordError(err)
			}
		})
	}
	return len(processes) > 0
}

// restartSupervisor starts a host's supervisor again if it has ended and the host is up.
func (h *hosts) restartSupervisor(host *hostState) error {
	supervisor, down := h.supervisorState(host)
	select {
	case <-supervisor.done:
	default:
		return nil
	}
	select {
	case <-h.closing:
		return nil
	default:
	}
	if down {
		return nil // endFault starts the supervisor when the host is up again
	}
	return h.startSupervisor(host)
}

// diskFaultLines maps each disk fault to its lines in a fault file, which package faultinjection
// reads.
var diskFaultLines = map[string]string{
	"enospc": "disk write enospc\ndisk open enospc\n", "eio-write": "disk write eio\n", "eio-sync": "disk sync eio\n", "eio-rename": "disk rename eio\n",
	"torn": "disk write torn\n", "gone": "disk all enoent\n", "read-only": "disk all erofs\n",
}

// writeFaultFile writes the file from which a process reads the faults that it applies to itself.
// The file lists all active faults on the process, so that the end of one fault leaves the others
// in effect.
func (h *hosts) writeFaultFile(name string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	var lines strings.Builder
	faults := make([]int, 0, len(h.activeFaults[name]))
	for number := range h.activeFaults[name] {
		faults = append(faults, number)
	}
	slices.Sort(faults)
	for _, number := range faults {
		switch fault := &h.plan.Spec.Faults[number]; fault.Kind {
		case "kill-at":
			fmt.Fprintf(&lines, "at %s kill %d\n", fault.Point, number)
		case "stop-at":
			fmt.Fprintf(&lines, "at %s stop %d\n", fault.Point, number)
		case "never-ready":
			fmt.Fprintf(&lines, "at start hang %d\n", number)
		case "clock":
			if fault.ClockShift != 0 {
				fmt.Fprintf(&lines, "wall %s\n", fault.ClockShift)
			} else {
				fmt.Fprintf(&lines, "drift %v\n", fault.ClockDrift)
			}
		case "disk":
			lines.WriteString(diskFaultLines[fault.DiskFault])
		case "cut-off":
			for _, target := range strings.Fields(fault.BlockedPeers.Text) {
				if target == "d1" {
					target += name // each supervisor has a discovery endpoint of its own
				}
				fmt.Fprintf(&lines, "cut %s\n", h.coordination.addresses[target])
			}
		}
	}
	return replaceFile(filepath.Join(h.faultDirectory, name), lines.String())
}

// setDescriptorsExhausted limits each process with the given name to the number of descriptors that
// the process has open, or restores the maximum. It reports whether there were any processes.
func (h *hosts) setDescriptorsExhausted(name string, exhaust bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	processes := h.processesOf(name)
	for _, process := range processes {
		var limit unix.Rlimit
		if unix.Prlimit(process.pid, unix.RLIMIT_NOFILE, nil, &limit) != nil {
			continue
		}
		limit.Cur = limit.Max
		if exhaust {
			descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", process.pid))
			if err != nil {
				continue
			}
			limit.Cur = uint64(len(descriptors))
		}
		unix.Prlimit(process.pid, unix.RLIMIT_NOFILE, &limit, nil)
	}
	return len(processes) > 0
}

// applyLinkFaults sets the conditions of a link to the combination of all active faults on the
// link.
func (h *hosts) applyLinkFaults(name string, fault *experiment.Fault) error {
	link := h.links[linkKey{name, fault.Peer}]
	h.mu.Lock()
	blockTo, blockFrom, halfOpen, resetConns := false, false, false, fault.Kind == "way-cut" && fault.HeldData == "drop"
	delay, resetProbability := time.Duration(0), 0.0
	for number := range h.activeFaults[name] {
		switch other := &h.plan.Spec.Faults[number]; {
		case other.Peer != fault.Peer:
		case other.Kind == "way-cut":
			blockTo, blockFrom = blockTo || other.Direction != "from", blockFrom || other.Direction != "to"
		case other.Kind == "way-slow":
			delay += other.Delay
		case other.Kind == "way-reset":
			resetProbability = max(resetProbability, other.Chance)
		case other.Kind == "way-half-open":
			halfOpen = true
		}
	}
	h.mu.Unlock()
	if fault.Peer == "discovery" {
		h.world.Checker.Partitioned(name, blockTo || blockFrom || halfOpen || delay > 0 || resetProbability > 0, h.world.Checker.Now())
	}
	link.SetDelay(delay)
	link.SetResetProbability(resetProbability)
	link.SetHalfOpen(halfOpen)
	if resetConns && !blockTo && !blockFrom {
		link.ResetConns()
	}
	return link.SetBlocked(blockTo, blockFrom)
}

// operatorTimeout is the time limit of an operator's command.
const operatorTimeout = 15 * time.Second

// runOperation runs the operation of a fault with the operator's program, as an operator does.
func (h *hosts) runOperation(step experiment.Step, fault *experiment.Fault) {
	host := h.hostOf(step.Process)
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	go func() {
		select {
		case <-h.closing:
			cancel()
		case <-ctx.Done():
		}
	}()
	operation := fault.Operation
	switch operation {
	case "step-down", "give-up":
		argv := append(slices.Clone(h.world.options.OperatorCommand), "council", "step-down")
		if operation == "give-up" {
			argv = append(argv, "-duty", "roll")
		}
		h.runOperatorCommand(ctx, step, fault, host, operation, append(argv, h.coordination.clusterFile))
		return
	case "everywhere", "everywhere-reload":
		verb := "restart"
		if operation != "everywhere" {
			verb = "reload"
		}
		settings := &h.plan.Spec.World.Supervisor
		h.runOperatorCommand(ctx, step, fault, host, operation, append(slices.Clone(h.world.options.OperatorCommand), "fleet", verb, "-everywhere",
			"-at-once", fmt.Sprint(settings.MaxParallel), "-zone-at-once", fmt.Sprint(settings.MaxParallelPerZone), host.fleetFile))
		return
	}
	argv := append(slices.Clone(h.world.options.OperatorCommand), "fleet", fault.Operation, host.fleetFile)
	if fault.Kind == "version" {
		operation = "restart to " + fault.Program
		program := h.world.options.SidecarCommand[0]
		if fault.Program == "old" {
			program = h.world.options.EarlierSidecar
		}
		argv = append(slices.Clone(h.world.options.OperatorCommand), "fleet", "restart", "-program", program, host.fleetFile)
	}
	h.runOperatorCommand(ctx, step, fault, host, operation, argv)
}

// runOperatorCommand runs an operator's command and records its result in the history.
func (h *hosts) runOperatorCommand(ctx context.Context, step experiment.Step, fault *experiment.Fault, host *hostState, operation string, argv []string) {
	startTime := h.world.Checker.Now()
	cmd := exec.CommandContext(ctx, argv[0], argv[1:]...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := cmd.CombinedOutput()
	result := history.Done
	switch {
	case err != nil && (ctx.Err() != nil || strings.Contains(string(output), "timeout")):
		result = history.Unknown
	case err != nil:
		result = history.Refused
	}
	h.recordAppliedFault(step, fault)
	h.mu.Lock()
	defer h.mu.Unlock()
	if result == history.Done {
		h.acceptedOperations++
	}
	h.recordEntry(history.Entry{Event: invariant.Event{Kind: history.KindOrder, At: startTime}, End: h.world.Checker.Now(), Actor: "operator", Target: host.role, Op: operation, Result: result, Value: strings.TrimSpace(string(output))})
}
