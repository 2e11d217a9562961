package rig

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"otterspring/internal/faultinjection"
	"otterspring/internal/lab/experiment"
	"otterspring/internal/lab/history"
	"otterspring/internal/lab/invariant"
	"otterspring/internal/lab/standin/relay"
)

// hosts runs the hosts of a world and applies process faults to them. A host is a supervisor with
// its instances. They share a directory and fail together. One goroutine applies the steps of the
// plan; other goroutines observe the processes.
//
// A name such as "h1" stands for a host, "n3" for an instance, "f1" for a supervisor and "m1" for a
// member of the coordination cluster. The names of supervisors and members are called roles.
type hosts struct {
	world          *World
	plan           *experiment.Plan
	hostList       []*hostState
	historyWriter  *history.Writer // nil if no history is written
	faultDirectory string          // directory of the files from which processes read their faults

	closing chan struct{}
	wg      sync.WaitGroup

	mu                 sync.Mutex
	sessions           map[int]*hostState      // hosts, by session ID of the supervisor; ended supervisors are included
	processes          map[int]*trackedProcess // processes that have not ended, by PID
	activeFaults       map[string]map[int]int  // how often each fault is active, by process name and index of the fault
	suspensions        map[string]int          // number of faults that suspend a process, by PID
	beganAt            map[string]time.Duration
	links              map[linkKey]*relay.Relay
	faultCounts        map[string]int // applied faults by kind
	errs               []error
	processesStarted   int
	acceptedOperations int                      // operations that a supervisor accepted
	supervisorKills    int                      // kills that supervisors decided on their own
	maxInProgress      int                      // largest number of instances in progress at one time
	inProgressSince    map[string]time.Duration // time since which each instance is in progress, see recordInProgress
	coordination       *coordinationRun         // nil without a coordination cluster
	startTime          time.Duration            // when the processes were started
}

// hostState is a host, or a member of the coordination cluster. A member has no instances, and its
// process is kept in the field supervisor.
type hostState struct {
	name, role       string // "h1" and "f1" for a host, "c1" and "m1" for a member
	fleetFile        string
	instances        []*Instance
	supervisor       *Process
	down             bool
	earlierVersion   bool // the supervisor or member runs the earlier version
	hasResourceFault bool // the disk or the descriptors fail; the supervisor may then exit with an error
}

// trackedProcess is a process of the world that was found in /proc.
type trackedProcess struct {
	pid   int
	name  string // name of an instance such as "n3", or role such as "f1"
	host  *hostState
	pidfd int
}

// linkKey identifies a link that the rig relays. The link connects the sidecar with the given name
// to the given peer, which is "discovery" or "clients".
type linkKey struct{ name, peer string }

const (
	scanInterval = 50 * time.Millisecond
	starvePeriod = 100 * time.Millisecond
	// exitDetectionDelay is the maximum time from the moment at which the connections of a process
	// break until the rig detects the exit of the process.
	exitDetectionDelay = time.Second
	// maxProcesses limits the tracked processes of one world.
	maxProcesses = 1000
)

// newHosts writes each host's fleet file and opens the links to which the plan applies faults. It
// starts no process.
func newHosts(w *World, plan *experiment.Plan, writer *history.Writer) (*hosts, error) {
	h := &hosts{world: w, plan: plan, historyWriter: writer, faultDirectory: w.filePath("faults"), closing: make(chan struct{}), sessions: map[int]*hostState{}, processes: map[int]*trackedProcess{},
		activeFaults: map[string]map[int]int{}, suspensions: map[string]int{}, links: map[linkKey]*relay.Relay{}, faultCounts: map[string]int{}, inProgressSince: map[string]time.Duration{}, beganAt: map[string]time.Duration{}}
	if err := os.MkdirAll(h.faultDirectory, 0o700); err != nil {
		return nil, err
	}
	if err := h.openLinks(); err != nil {
		return nil, err
	}
	if err := h.newCoordination(); err != nil {
		return nil, err
	}
	spec := plan.Spec
	for hostIndex := range spec.World.Hosts {
		host := &hostState{name: fmt.Sprintf("h%d", hostIndex+1), role: fmt.Sprintf("f%d", hostIndex+1)}
		dir := w.filePath(host.name)
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return nil, err
		}
		host.fleetFile = filepath.Join(dir, "fleet.toml")
		var fleetFile strings.Builder
		fmt.Fprintf(&fleetFile, "program = %q\nargs = [\"-operator\", \"{dir}/{name}.toml\"]\ndirectory = \"run\"\n", w.options.SidecarCommand[0])
		fmt.Fprintf(&fleetFile, "[start]\ndiscovery_lines = 100000\nready_within = %q\n[restart]\nmode = %q\nat_once = %d\nend_within = %q\n[crash]\nfirst = \"100ms\"\nmost = \"1s\"\nloop = 100\nwithin = \"1s\"\n",
			spec.World.Supervisor.ReadyTimeout, spec.World.Supervisor.Mode, spec.World.Supervisor.MaxParallel, spec.World.Supervisor.StopTimeout)
		fmt.Fprintf(&fleetFile, "[alive]\nwithin = %q\n", spec.World.Supervisor.LivenessTimeout)
		fleetFile.WriteString(h.councilTable(host))
		if err := os.MkdirAll(filepath.Join(dir, "run"), 0o700); err != nil {
			return nil, err
		}
		for instanceIndex, in := range w.Instances {
			if spec.InstanceHost(instanceIndex) != hostIndex+1 {
				continue
			}
			in.underSupervisor = true
			in.excuseKilled = func() { h.excuseKilledProcesses(in.Name) }
			host.instances = append(host.instances, in)
			fmt.Fprintf(&fleetFile, "[[instance]]\nname = %q\nlisten = %q\nconfig = %q\n", in.Name, in.Addr, in.Name+".tmpl")
			template := seedPattern.ReplaceAllString(w.configText(in, 1, h.instanceDiscoveryAddress(in), in.knownEndpoints), `"seed":"{seed}"`)
			if err := replaceFile(filepath.Join(dir, in.Name+".tmpl"), template); err != nil {
				return nil, err
			}
			operatorFile := h.proxyTable(host)
			if spec.World.Supervisor.Mode == "handover" {
				operatorFile += fmt.Sprintf("[handover]\nsocket = %q\n", filepath.Join(dir, "run", in.Name+".sock"))
			}
			if err := replaceFile(filepath.Join(dir, "run", in.Name+".toml"), operatorFile); err != nil {
				return nil, err
			}
		}
		if err := replaceFile(host.fleetFile, fleetFile.String()); err != nil {
			return nil, err
		}
		h.hostList = append(h.hostList, host)
	}
	return h, nil
}

var seedPattern = regexp.MustCompile(`"seed":"[0-9a-f]*"`)

// openLinks starts a relay for each link to which the plan applies a fault.
func (h *hosts) openLinks() error {
	for _, step := range h.plan.Steps {
		fault := &h.plan.Spec.Faults[step.Fault]
		if step.Op != experiment.ApplyProcessFault || fault.Peer == "" {
			continue
		}
		key := linkKey{step.Process, fault.Peer}
		if h.links[key] != nil {
			continue
		}
		in := h.instanceByName(step.Process)
		target := in.Addr
		if fault.Peer == "discovery" {
			target = in.discovery.Addr()
		}
		link, err := relay.StartWithConditions(func() string { return target }, relay.Conditions{Seed: h.plan.Seed})
		if err != nil {
			return err
		}
		h.links[key] = link
		if fault.Peer == "clients" {
			in.clientAddr = link.Addr()
		}
	}
	return nil
}

func (h *hosts) instanceDiscoveryAddress(in *Instance) string {
	if link := h.links[linkKey{in.Name, "discovery"}]; link != nil {
		return link.Addr()
	}
	return in.discovery.Addr()
}

// instanceByName returns the instance with the given name, such as "n3".
func (h *hosts) instanceByName(name string) *Instance {
	number, _ := strconv.Atoi(name[1:])
	return h.world.Instances[number-1]
}

// hostOf returns the host with the given name, such as "h1", or the host of the process with the
// given name, such as "n3", "f1" or "m1".
func (h *hosts) hostOf(name string) *hostState {
	number, _ := strconv.Atoi(name[1:])
	if name[0] == 'm' {
		return h.coordination.members[number-1]
	}
	if name[0] == 'n' {
		number = h.plan.Spec.InstanceHost(number - 1)
	}
	return h.hostList[number-1]
}

// start starts all supervisors and waits until all instances are up.
func (h *hosts) start(ctx context.Context) error {
	h.startTime = h.world.Checker.Now()
	for _, host := range h.supervisorsAndMembers() {
		if err := h.startSupervisor(host); err != nil {
			return err
		}
	}
	h.wg.Go(h.scanPeriodically)
	h.startProbes()
	if h.coordination != nil && h.coordination.list != nil {
		h.wg.Go(h.watchLists)
	}
	for _, in := range h.world.Instances {
		if err := in.awaitSupervisedReady(ctx); err != nil {
			return fmt.Errorf("%w: %s", err, h.hostList[0].supervisor.tail.String())
		}
	}
	h.scanProcesses()
	h.recordCompletedRestarts()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.maxInProgress = len(h.inProgressSince) // the maximum is counted from the start of the load
	return nil
}

// supervisorsAndMembers returns the members of the coordination cluster and the supervisors.
func (h *hosts) supervisorsAndMembers() []*hostState {
	if h.coordination == nil {
		return h.hostList
	}
	return append(slices.Clone(h.coordination.members), h.hostList...)
}

// startSupervisor starts the supervisor of a host, or a member, with the command that operators
// use. The process gets a session of its own. By this session the rig finds the processes that the
// supervisor leaves behind.
func (h *hosts) startSupervisor(host *hostState) error {
	h.mu.Lock()
	argv := h.commandLine(host)
	h.mu.Unlock()
	cmd := exec.Command(argv[0], argv[1:]...)
	supervisor := &Process{cmd: cmd, tail: &outputTail{}, done: make(chan struct{})}
	cmd.Env = append(os.Environ(), faultinjection.DirectoryEnv+"="+h.faultDirectory, faultinjection.RoleEnv+"="+host.role, "GORACE=halt_on_error=1")
	cmd.Stdout, cmd.Stderr = &supervisorLogReader{tail: supervisor.tail, hosts: h, role: host.role}, &supervisorLogReader{tail: supervisor.tail, hosts: h, role: host.role}
	cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true, Pdeathsig: syscall.SIGKILL}
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%s: %w", host.role, err)
	}
	h.world.reaper.WatchSession(cmd.Process.Pid)
	h.sessions[cmd.Process.Pid] = host
	host.supervisor, host.down = supervisor, false
	h.processesStarted++
	h.recordEntry(history.Entry{Event: invariant.Event{Kind: history.KindProcess}, Actor: host.role, Op: "started", Number: uint64(cmd.Process.Pid)})
	h.wg.Go(func() {
		supervisor.err = cmd.Wait()
		close(supervisor.done)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.recordEntry(history.Entry{Event: invariant.Event{Kind: history.KindProcess}, Actor: host.role, Op: "ended", Number: uint64(cmd.Process.Pid)})
		if !supervisor.exitExpected.Load() && !h.killedAtPoint(host.role) {
			if host.hasResourceFault && supervisor.err != nil && strings.HasPrefix(supervisor.err.Error(), "exit status 1") {
				return // the expected exit on a failing disk or exhausted descriptors
			}
			h.errs = append(h.errs, fmt.Errorf("%s ended unexpectedly with %v: %s: %w", host.role, supervisor.err, strings.TrimSpace(supervisor.tail.String()), ErrCrashed))
		}
	})
	return nil
}

// recordEntry writes an entry to the history. An entry without a time gets the current time.
func (h *hosts) recordEntry(entry history.Entry) {
	if h.historyWriter == nil {
		return
	}
	if entry.At == 0 {
		entry.At = h.world.Checker.Now()
	}
	h.historyWriter.Add(entry)
}

// supervisorLogReader reads the log of a supervisor line by line. Each output of the process has a
// reader of its own. Only the goroutine that copies this output uses the reader.
type supervisorLogReader struct {
	tail    *outputTail
	hosts   *hosts
	role    string
	partial []byte
}

func (l *supervisorLogReader) Write(output []byte) (int, error) {
	l.tail.Write(output)
	l.partial = append(l.partial, output...)
	for {
		i := bytes.IndexByte(l.partial, '\n')
		if i < 0 {
			break
		}
		line := string(l.partial[:i])
		l.partial = l.partial[i+1:]
		l.hosts.recordEntry(history.Entry{Event: invariant.Event{Kind: history.KindProcess}, Actor: l.role, Op: "said", Value: line})
		event := parseSupervisorLine(line)
		l.hosts.observe(l.role, event)
		if event.killed() {
			l.hosts.world.Checker.ExcuseKill(event.instance, l.hosts.world.Checker.Now()-3*time.Second)
		}
		if event.countsAsKill() {
			l.hosts.mu.Lock()
			l.hosts.supervisorKills++
			l.hosts.mu.Unlock()
		}
		if event.crashed() {
			l.hosts.recordError(fmt.Errorf("%s: %w", line, ErrCrashed))
		}
	}
	if len(l.partial) > 64<<10 {
		l.partial = nil
	}
	return len(output), nil
}

func (h *hosts) recordError(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.errs = append(h.errs, err)
}

// scanPeriodically scans for new processes and completed restarts until the hosts are stopped.
func (h *hosts) scanPeriodically() {
	ticker := time.NewTicker(scanInterval)
	defer ticker.Stop()
	for {
		select {
		case <-h.closing:
			return
		case <-ticker.C:
		}
		h.scanProcesses()
		h.recordCompletedRestarts()
		h.observeCompleted()
	}
}

// scanProcesses finds new processes in the sessions of the supervisors. For each new process it
// starts a goroutine that waits for the exit of the process.
func (h *hosts) scanProcesses() {
	for _, pid := range processesInSessions(func(session int) bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.sessions[session] != nil
	}) {
		h.mu.Lock()
		known := h.processes[pid] != nil
		h.mu.Unlock()
		if known {
			continue
		}
		env, err := os.ReadFile(fmt.Sprintf("/proc/%d/environ", pid))
		session := sessionOf(pid)
		if err != nil || len(env) == 0 {
			continue
		}
		h.mu.Lock()
		host := h.sessions[session]
		if host == nil || h.processes[pid] != nil { // a concurrent scan has added it
			h.mu.Unlock()
			continue
		}
		name := host.role
		if pid != session {
			name = ""
			for _, variable := range strings.Split(string(env), "\x00") {
				if rest, ok := strings.CutPrefix(variable, "RELAY_NAME="); ok {
					name = rest
				}
			}
		}
		pidfd, err := unix.PidfdOpen(pid, 0)
		if name == "" || err != nil || len(h.processes) >= maxProcesses {
			if err == nil {
				unix.Close(pidfd)
			}
			h.mu.Unlock()
			continue // the process has not executed its program yet or has ended, or too many processes are tracked
		}
		process := &trackedProcess{pid: pid, name: name, host: host, pidfd: pidfd}
		h.processes[pid] = process
		if name[0] == 'n' {
			h.processesStarted++
			h.observeProcess(name, pid, env)
			h.recordEntry(history.Entry{Event: invariant.Event{Kind: history.KindProcess}, Actor: name, Op: "started", Number: uint64(pid)})
			h.recordInProgress(name)
		}
		h.mu.Unlock()
		h.wg.Go(func() { h.waitForExit(process) })
	}
}

// waitForExit waits until a process has ended. If the process was the last one of its instance, the
// instance counts as restarted without a handover.
func (h *hosts) waitForExit(process *trackedProcess) {
	for {
		ready, err := unix.Poll([]unix.PollFd{{Fd: int32(process.pidfd), Events: unix.POLLIN}}, 100)
		if ready > 0 || err != nil && !errors.Is(err, unix.EINTR) {
			break
		}
		select {
		case <-h.closing:
			unix.Close(process.pidfd)
			return
		default:
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if process.name[0] == 'n' {
		h.excuseIfKilled(process)
	}
	unix.Close(process.pidfd)
	delete(h.processes, process.pid)
	if process.name[0] != 'n' {
		return
	}
	h.recordEntry(history.Entry{Event: invariant.Event{Kind: history.KindProcess}, Actor: process.name, Op: "ended", Number: uint64(process.pid)})
	killedItself := h.killedAtPoint(process.name)
	if killedItself {
		h.world.Checker.ExcuseKill(process.name, h.world.Checker.Now()-exitDetectionDelay)
	}
	if len(h.processesOf(process.name)) == 0 {
		h.recordInProgress(process.name)
		h.world.Checker.Killed(process.name, h.world.Checker.Now())
		h.world.Checker.Restarted(process.name, h.world.Checker.Now())
	}
}

// recordInProgress records that an instance is in progress. An instance is in progress while it has
// no process, or a process that is not known to be ready. The caller holds the mutex.
func (h *hosts) recordInProgress(name string) {
	if _, known := h.inProgressSince[name]; !known {
		h.inProgressSince[name] = h.world.Checker.Now()
		h.maxInProgress = max(h.maxInProgress, len(h.inProgressSince))
	}
}

// recordCompletedRestarts finds the instances in progress that are ready again and writes their
// restarts to the history.
func (h *hosts) recordCompletedRestarts() {
	h.mu.Lock()
	names := slices.Sorted(maps.Keys(h.inProgressSince))
	h.mu.Unlock()
	for _, name := range names {
		pid := h.instanceByName(name).readyPID()
		h.mu.Lock()
		if process := h.processes[pid]; process != nil && process.name == name && len(h.processesOf(name)) == 1 {
			inProgressSince := h.inProgressSince[name]
			delete(h.inProgressSince, name)
			host := process.host
			h.recordEntry(history.Entry{Event: invariant.Event{Kind: history.KindEffect, At: inProgressSince}, End: h.world.Checker.Now(), Actor: host.role, Target: name, Lease: "roll", Op: "restart", Result: history.Done})
		}
		h.mu.Unlock()
	}
}

// readyPID returns the PID of the process that reports itself ready, or 0 if there is none.
func (in *Instance) readyPID() int {
	response, err := shortTimeoutClient.Get("http://" + in.Addr + "/up")
	if err != nil {
		return 0
	}
	response.Body.Close()
	if response.StatusCode != 200 {
		return 0
	}
	pid, _ := strconv.Atoi(response.Header.Get("X-Pid"))
	return pid
}

var shortTimeoutClient = http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 200 * time.Millisecond}

// processesOf returns the running processes with the given name. If the name is that of a host, it
// returns all running processes of the host. The caller holds the mutex.
func (h *hosts) processesOf(name string) []*trackedProcess {
	var processes []*trackedProcess
	for _, process := range h.processes {
		if process.name == name || name[0] == 'h' && process.host.name == name {
			processes = append(processes, process)
		}
	}
	slices.SortFunc(processes, func(a, b *trackedProcess) int { return a.pid - b.pid })
	return processes
}

// killedAtPoint reports whether a process with the given name has killed itself at a fault point.
// The caller holds the mutex.
func (h *hosts) killedAtPoint(name string) bool {
	for fault := range h.plan.Spec.Faults {
		if h.plan.Spec.Faults[fault].Kind == "kill-at" && h.processAtPoint(name, fault) > 0 {
			return true
		}
	}
	return false
}

// markerPath returns the path of the file that a process writes when a fault takes effect at its
// fault point.
func (h *hosts) markerPath(name string, fault int) string {
	return filepath.Join(h.faultDirectory, fmt.Sprintf("%s.%d", name, fault))
}

// processAtPoint returns the PID of the process in which a fault took effect at its fault point, or
// 0 if no process has reached the fault point.
func (h *hosts) processAtPoint(name string, fault int) int {
	text, err := os.ReadFile(h.markerPath(name, fault))
	if err != nil {
		return 0
	}
	pid, _ := strconv.Atoi(strings.Fields(string(text) + " 0")[0])
	return pid
}

// sessionOf returns the session ID of a process, or 0 if the process has ended.
func sessionOf(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	if len(fields) < 4 || fields[0] == "Z" || fields[0] == "X" {
		return 0
	}
	session, _ := strconv.Atoi(fields[3])
	return session
}

// processesInSessions returns the PIDs of all processes that have not ended and whose session
// matches.
func processesInSessions(matches func(session int) bool) []int {
	entries, err := os.ReadDir("/proc")
	if err != nil {
		return nil
	}
	var pids []int
	for _, entry := range entries {
		pid, err := strconv.Atoi(entry.Name())
		if err != nil {
			continue
		}
		if session := sessionOf(pid); session > 0 && matches(session) {
			pids = append(pids, pid)
		}
	}
	return pids
}

// stop kills all processes of all sessions, waits for the goroutines and returns the number of
// processes that remain.
func (h *hosts) stop() (remaining int) {
	close(h.closing)
	// From here on the rig kills all processes in any order. A supervisor may outlive its
	// instances and log that they were killed.
	h.recordEntry(history.Entry{Event: invariant.Event{Kind: history.KindProcess}, Actor: "rig", Op: teardown})
	h.mu.Lock()
	for _, host := range h.supervisorsAndMembers() {
		if host.supervisor != nil {
			host.supervisor.exitExpected.Store(true)
		}
	}
	sessions := maps.Clone(h.sessions)
	h.mu.Unlock()
	remaining = killSessions(func(session int) bool { return sessions[session] != nil })
	for _, link := range h.links {
		link.Close()
	}
	h.wg.Wait()
	return remaining
}

// teardown is the operation of the history entry that marks when the rig begins to kill all
// processes.
const teardown = "teardown"

// killSessions kills the processes of matching sessions until a scan finds no such process. It
// makes at most 200 scans and returns the number of processes that remain.
func killSessions(matches func(int) bool) (remaining int) {
	for range 200 {
		pids := processesInSessions(matches)
		if len(pids) == 0 {
			return 0
		}
		for _, pid := range pids {
			syscall.Kill(pid, syscall.SIGKILL)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return len(processesInSessions(matches))
}

// crashMarkers are the texts that a Go program writes when it crashes or has a data race.
var crashMarkers = []string{"panic: ", "DATA RACE", "fatal error: "}

// processErrors returns the crashes and data races in the processes' logs.
func (h *hosts) processErrors() []error {
	var errs []error
	logs, _ := filepath.Glob(filepath.Join(h.world.options.Dir, "h*", "run", "*.log"))
	for _, path := range logs {
		text, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		for _, marker := range crashMarkers {
			if i := bytes.Index(text, []byte(marker)); i >= 0 {
				errs = append(errs, fmt.Errorf("%s: %s: %w", filepath.Base(path), text[i:min(len(text), i+2000)], ErrCrashed))
				break
			}
		}
	}
	return errs
}

// countInstancesUp returns the number of instances that the supervisors report as up. The instances
// of a supervisor that does not answer do not count as up.
func (h *hosts) countInstancesUp() (up int) {
	for _, host := range h.hostList {
		ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
		argv := append(slices.Clone(h.world.options.OperatorCommand), "fleet", "status", host.fleetFile)
		output, _ := exec.CommandContext(ctx, argv[0], argv[1:]...).Output()
		cancel()
		for _, line := range strings.Split(string(output), "\n") {
			total, hostUp := 0, 0
			if fields, _ := fmt.Sscanf(line, "%d instances, %d up", &total, &hostUp); fields == 2 {
				up += hostUp
			}
		}
	}
	return up
}

// result returns the report on the processes of the run.
func (h *hosts) result() *experiment.ProcessReport {
	coordination := h.coordinationResult()
	up := h.countInstancesUp()
	h.mu.Lock()
	defer h.mu.Unlock()
	return &experiment.ProcessReport{Started: h.processesStarted, Kinds: maps.Clone(h.faultCounts), Operations: h.acceptedOperations, MaxInProgress: h.maxInProgress, Kills: h.supervisorKills, RunningAtEnd: up, Coordination: coordination}
}
