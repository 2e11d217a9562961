package rig

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"otterspring/internal/lab/standin/registry"
)

// readyTimeout is the time limit for the start or reload of a process. It ends only a run that hangs. It is so long
// that a process on a slow machine does not exceed it.
const readyTimeout = 60 * time.Second

// Instance is one sidecar. Its name and address stay the same over successive processes.
type Instance struct {
	Name string
	Addr string

	world           *World
	underSupervisor bool   // a supervisor starts its processes, not the rig
	excuseKilled    func() // reports killed processes to the checker; nil if only the rig kills them
	clientAddr      string // address that the clients use; empty if they use Addr
	configFile      string
	operatorFile    string

	mu             sync.Mutex
	rng            *rand.Rand
	discovery      *registry.Listener
	knownEndpoints string
	processes      []*Process    // running processes, oldest first
	crashes        []error       // unexpected exits of processes
	peakRSS        int64         // peak resident size of ended processes, in bytes
	cpuTime        time.Duration // CPU time of ended processes
}

// Process is one process of an instance, or the process of a supervisor or a member.
type Process struct {
	cmd  *exec.Cmd
	tail *outputTail
	done chan struct{}

	started      time.Time
	err          error        // result of Wait; valid once done is closed
	peakRSS      atomic.Int64 // peak resident size, in bytes
	exitExpected atomic.Bool  // the rig has ended the process, or expects it to end
}

// outputTail keeps the last maxTailBytes of a process's output.
type outputTail struct {
	mu   sync.Mutex
	text []byte
}

const maxTailBytes = 8 << 10

func (t *outputTail) Write(output []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, output...)
	if excess := len(t.text) - maxTailBytes; excess > 0 {
		t.text = t.text[excess:]
	}
	return len(output), nil
}

func (t *outputTail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.text)
}

// newInstance reserves an address, opens a discovery listener and writes the configuration. Each instance has a
// separate IP address in 127/8, so that no outgoing connection occupies the port of the instance while the instance
// restarts.
func (w *World) newInstance(index, network int, seed uint64) (*Instance, error) {
	in := &Instance{Name: fmt.Sprintf("n%d", index+1), world: w, rng: rand.New(rand.NewPCG(seed, 3))}
	ln, err := reserveAddress(fmt.Sprintf("127.%d.%d.%d", network, index/250, index%250+1))
	if err != nil {
		return nil, fmt.Errorf("instance %s: %w", in.Name, err)
	}
	in.Addr = ln.Addr().String()
	ln.Close()
	if in.discovery, err = w.Registry.Listen(in.Name); err != nil {
		return nil, err
	}
	in.configFile = w.filePath(in.Name + ".json")
	if w.options.OperatorFile != nil {
		in.operatorFile = w.filePath(in.Name + ".toml")
		if err := replaceFile(in.operatorFile, w.options.OperatorFile(index, w.options.Dir)); err != nil {
			return nil, err
		}
	}
	if w.options.CoAP != nil {
		in.operatorFile = w.filePath(in.Name + ".toml")
		if err := replaceFile(in.operatorFile, w.coapOperatorConfig(in)); err != nil {
			return nil, err
		}
	}
	in.knownEndpoints = w.Registry.Snapshot()
	return in, in.writeConfig()
}

// writeConfig writes the configuration for the next start or reload, with a new seed.
func (in *Instance) writeConfig() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	return replaceFile(in.configFile, in.world.configText(in, in.rng.Uint64(), in.discovery.Addr(), in.knownEndpoints))
}

// spawnDefault starts a process with the operator file, if there is one.
func (in *Instance) spawnDefault() (*Process, error) {
	var args []string
	if in.operatorFile != "" {
		args = []string{"-operator", in.operatorFile}
	}
	return in.Spawn(nil, args...)
}

// Spawn starts another process of the instance with additional environment variables and arguments. It does not
// wait until the process is ready.
func (in *Instance) Spawn(env []string, extra ...string) (*Process, error) {
	options := &in.world.options
	args := append(append([]string{}, options.SidecarCommand[1:]...), extra...)
	process := &Process{cmd: exec.Command(options.SidecarCommand[0], args...), tail: &outputTail{}, done: make(chan struct{}), started: time.Now()}
	process.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+in.configFile, "RELAY_NAME="+in.Name, "RELAY_LISTEN="+in.Addr, "RELAY_DISCOVERY="+in.discovery.Addr())
	process.cmd.Env = append(append(process.cmd.Env, options.SidecarEnv...), env...)
	process.cmd.Stdout, process.cmd.Stderr = process.tail, process.tail
	process.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.cmd.Start(); err != nil {
		return nil, fmt.Errorf("instance %s: %w", in.Name, err)
	}
	if options.DescriptorLimit > 0 {
		limit := unix.Rlimit{Cur: uint64(options.DescriptorLimit), Max: uint64(options.DescriptorLimit)}
		if err := unix.Prlimit(process.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
			process.cmd.Process.Kill()
			return nil, fmt.Errorf("instance %s: set descriptor limit: %w", in.Name, err)
		}
	}
	in.mu.Lock()
	in.processes = append(in.processes, process)
	in.mu.Unlock()
	go process.pollMemory()
	go func() {
		process.err = process.cmd.Wait()
		in.mu.Lock()
		for i, other := range in.processes {
			if other == process {
				in.processes = append(in.processes[:i:i], in.processes[i+1:]...)
				break
			}
		}
		if !process.exitExpected.Load() {
			in.crashes = append(in.crashes, fmt.Errorf("instance %s: process %d ended unexpectedly with %v: %s: %w", in.Name, process.cmd.Process.Pid, process.err, strings.TrimSpace(process.tail.String()), ErrCrashed))
		}
		if state := process.cmd.ProcessState; state != nil {
			in.cpuTime += state.UserTime() + state.SystemTime()
		}
		in.peakRSS = max(in.peakRSS, process.peakRSS.Load())
		in.mu.Unlock()
		close(process.done)
	}()
	return process, nil
}

// memoryPollInterval is the interval at which a process's memory is read.
const memoryPollInterval = 200 * time.Millisecond

// pollMemory records the peak resident size of the process until the process ends. The kernel's value for an ended
// child (ru_maxrss) is not usable, since it includes the memory of the forking process before exec.
func (p *Process) pollMemory() {
	ticker := time.NewTicker(memoryPollInterval)
	defer ticker.Stop()
	for {
		peakRSS, _ := processUsage(p.cmd.Process.Pid)
		p.peakRSS.Store(max(p.peakRSS.Load(), peakRSS))
		select {
		case <-p.done:
			return
		case <-ticker.C:
		}
	}
}

// Start starts a process and waits until it is ready.
func (in *Instance) Start(ctx context.Context) error {
	if err := in.writeConfig(); err != nil {
		return err
	}
	process, err := in.spawnDefault()
	if err != nil {
		return err
	}
	return in.awaitReady(ctx, process)
}

// The interval between readiness checks of a starting process grows from the minimum to the maximum. With a constant
// interval of 10 ms, the checks of 210 processes that started together took the processor time that the processes
// needed to start.
const (
	minReadyPollInterval = 10 * time.Millisecond
	maxReadyPollInterval = 200 * time.Millisecond
)

// awaitReady waits until GET /up returns 200. It returns an error if the process ends first.
func (in *Instance) awaitReady(ctx context.Context, process *Process) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	interval := minReadyPollInterval
	for {
		if in.isReady(ctx) {
			return nil
		}
		select {
		case <-process.done:
			return fmt.Errorf("instance %s ended before it was ready: %v: %s", in.Name, process.err, strings.TrimSpace(process.tail.String()))
		case <-ctx.Done():
			return fmt.Errorf("instance %s: not ready: %s", in.Name, strings.TrimSpace(process.tail.String()))
		case <-time.After(interval):
		}
		interval = min(interval*3/2, maxReadyPollInterval)
	}
}

var upClient = http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}

func (in *Instance) isReady(ctx context.Context) bool {
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+in.Addr+"/up", nil)
	if err != nil {
		return false
	}
	response, err := upClient.Do(req)
	if err != nil {
		return false
	}
	io.Copy(io.Discard, response.Body)
	response.Body.Close()
	return response.StatusCode == 200
}

// awaitSupervisedReady waits until an instance that a supervisor starts is ready.
func (in *Instance) awaitSupervisedReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !in.isReady(ctx) {
		select {
		case <-ctx.Done():
			return fmt.Errorf("instance %s: not ready", in.Name)
		case <-time.After(minReadyPollInterval):
		}
	}
	return nil
}

// runningProcesses returns the processes that have not ended, oldest first.
func (in *Instance) runningProcesses() []*Process {
	in.mu.Lock()
	defer in.mu.Unlock()
	return append([]*Process(nil), in.processes...)
}

// PIDs returns the process IDs of the running processes, oldest first.
func (in *Instance) PIDs() []int {
	var pids []int
	for _, process := range in.runningProcesses() {
		pids = append(pids, process.cmd.Process.Pid)
	}
	return pids
}

// Signal sends a signal to the newest process.
func (in *Instance) Signal(signal syscall.Signal) error {
	processes := in.runningProcesses()
	if len(processes) == 0 {
		return errors.New("instance " + in.Name + ": no process")
	}
	return processes[len(processes)-1].cmd.Process.Signal(signal)
}

// Kill ends all processes by SIGKILL. Clients retry the requests that were in flight.
func (in *Instance) Kill() {
	processes := in.runningProcesses()
	in.world.Checker.KillAnnounced(in.Name)
	for _, process := range processes {
		process.Kill()
	}
	for _, process := range processes {
		<-process.done
	}
	in.world.Checker.Killed(in.Name, in.world.Checker.Now())
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// RecentOutput returns the end of the process's output, at most maxTailBytes.
func (p *Process) RecentOutput() string { return p.tail.String() }

// Kill ends the process by SIGKILL.
func (p *Process) Kill() {
	p.exitExpected.Store(true)
	p.cmd.Process.Kill()
}

// Crashes returns the unexpected exits of processes so far.
func (w *World) Crashes() []error {
	var crashes []error
	for _, in := range w.Instances {
		in.mu.Lock()
		crashes = append(crashes, in.crashes...)
		in.mu.Unlock()
	}
	return crashes
}

// Wait waits until the process has ended and returns its exit error. If ctx ends first, it returns the error of ctx.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.done:
		return p.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// UseRegistry sets the discovery address for the next reload to an address of the given registry.
func (in *Instance) UseRegistry(target *registry.Registry) error {
	listener, err := target.Listen(in.Name)
	if err != nil {
		return err
	}
	in.mu.Lock()
	in.discovery = listener
	in.mu.Unlock()
	return in.writeConfig()
}

// MoveDiscovery sets the discovery address for the next start or reload to another address of the same service. The
// new address rejects connections for the given duration down. The old address closes after 1.5 s.
func (in *Instance) MoveDiscovery(down time.Duration) error {
	return in.moveDiscoveryTo(in.world.Registry, down)
}

// moveDiscoveryTo does the same as MoveDiscovery, with an address of the given discovery service.
func (in *Instance) moveDiscoveryTo(target *registry.Registry, down time.Duration) error {
	listener, err := target.Listen(in.Name)
	if err != nil {
		return err
	}
	listener.RejectUntil(time.Now().Add(down))
	in.mu.Lock()
	old := in.discovery
	listener.SetAddressFunc(old.AddressFunc())
	in.discovery = listener
	in.mu.Unlock()
	old.CloseAfter(1500 * time.Millisecond)
	return nil
}

// ErrCrashed is wrapped by errors that report an unexpected exit or result of a process.
var ErrCrashed = errors.New("crashed")

// Stop ends the newest process by SIGTERM and waits until it has ended.
func (in *Instance) Stop(ctx context.Context) error {
	processes := in.runningProcesses()
	if len(processes) == 0 {
		return nil
	}
	process := processes[len(processes)-1]
	process.exitExpected.Store(true)
	process.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-process.done:
	case <-ctx.Done():
		return fmt.Errorf("instance %s: did not end on SIGTERM: %w", in.Name, ctx.Err())
	}
	if process.err != nil {
		return fmt.Errorf("instance %s: ended on SIGTERM with %v: %s: %w", in.Name, process.err, strings.TrimSpace(process.tail.String()), ErrCrashed)
	}
	return nil
}

// Restart ends the newest process, by SIGKILL or SIGTERM, and starts another.
func (in *Instance) Restart(ctx context.Context, kill bool) error {
	if kill {
		in.Kill()
	} else if err := in.Stop(ctx); err != nil {
		return err
	}
	in.world.Checker.Restarted(in.Name, in.world.Checker.Now())
	return in.Start(ctx)
}

// invalidConfigs are functions that change a valid configuration into one that a sidecar must reject.
var invalidConfigs = []func(valid string) string{
	func(string) string { return "" },
	func(text string) string { return text[:len(text)/2] },
	func(text string) string { return strings.Replace(text, `"sockets":`, `"sockets":-`, 1) },
	func(text string) string { return strings.Replace(text, `"discovery":"127`, `"discovery":"nowhere`, 1) },
}

// Reload makes the newest process reload its configuration and waits until the process reports the result. If the
// parameter invalid is set, the process gets an invalid configuration and must reject it. Reload then restores the
// valid file.
func (in *Instance) Reload(ctx context.Context, invalid bool) error {
	if err := in.writeConfig(); err != nil {
		return err
	}
	valid, err := os.ReadFile(in.configFile)
	if err != nil {
		return err
	}
	if invalid {
		in.mu.Lock()
		text := invalidConfigs[in.rng.IntN(len(invalidConfigs))](string(valid))
		in.mu.Unlock()
		if err := replaceFile(in.configFile, text); err != nil {
			return err
		}
		defer replaceFile(in.configFile, string(valid))
	}
	processes := in.runningProcesses()
	if len(processes) == 0 {
		return fmt.Errorf("instance %s: no process to reload", in.Name)
	}
	process := processes[len(processes)-1]
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	accepted, rejected, err := in.reloadCounts(ctx)
	if err != nil {
		return err
	}
	if err := process.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		return fmt.Errorf("instance %s: %w", in.Name, err)
	}
	for {
		select {
		case <-process.done:
			return fmt.Errorf("instance %s: ended on SIGHUP with %v: %s: %w", in.Name, process.err, strings.TrimSpace(process.tail.String()), ErrCrashed)
		case <-ctx.Done():
			return fmt.Errorf("instance %s: result of the reload not reported: %w", in.Name, ctx.Err())
		case <-time.After(10 * time.Millisecond):
		}
		nowAccepted, nowRejected, err := in.reloadCounts(ctx)
		switch {
		case err != nil || nowAccepted == accepted && nowRejected == rejected:
		case invalid != (nowRejected > rejected):
			return fmt.Errorf("instance %s: sidecar accepted an invalid configuration or rejected a valid one on reload (bad=%v): %w", in.Name, invalid, ErrCrashed)
		default:
			return nil
		}
	}
}

// reloadCounts returns the numbers of accepted and rejected reloads that the instance reports.
func (in *Instance) reloadCounts(ctx context.Context) (accepted, rejected int, err error) {
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+in.Addr+"/up", nil)
	if err != nil {
		return 0, 0, err
	}
	response, err := upClient.Do(req)
	if err != nil {
		return 0, 0, fmt.Errorf("instance %s: %w", in.Name, err)
	}
	response.Body.Close()
	if _, err := fmt.Sscanf(response.Header.Get("X-Reloads"), "%d/%d", &accepted, &rejected); err != nil {
		return 0, 0, fmt.Errorf("instance %s: found X-Reloads %q, wanted two numbers", in.Name, response.Header.Get("X-Reloads"))
	}
	return accepted, rejected, nil
}

// ResourceUsage returns the largest peak resident size of a process of the instance, in bytes, and the sum of the
// CPU times of all its processes. Running processes are included.
func (in *Instance) ResourceUsage() (peakRSS int64, cpuTime time.Duration) {
	in.mu.Lock()
	peakRSS, cpuTime = in.peakRSS, in.cpuTime
	in.mu.Unlock()
	for _, process := range in.runningProcesses() {
		processRSS, processCPU := processUsage(process.cmd.Process.Pid)
		peakRSS, cpuTime = max(peakRSS, processRSS), cpuTime+processCPU
	}
	return peakRSS, cpuTime
}

// processUsage reads a process's peak resident size in bytes and its CPU time from /proc.
func processUsage(pid int) (peakRSS int64, cpuTime time.Duration) {
	if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)); err == nil {
		for _, line := range strings.Split(string(text), "\n") {
			if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
				kilobytes, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
				peakRSS = kilobytes << 10
			}
		}
	}
	if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid)); err == nil {
		if nameEnd := strings.LastIndexByte(string(text), ')'); nameEnd > 0 {
			fields := strings.Fields(string(text)[nameEnd+1:])
			if len(fields) > 12 {
				userTicks, _ := strconv.ParseInt(fields[11], 10, 64)
				systemTicks, _ := strconv.ParseInt(fields[12], 10, 64)
				cpuTime = time.Duration(userTicks+systemTicks) * 10 * time.Millisecond
			}
		}
	}
	return peakRSS, cpuTime
}

// RecentOutput returns the end of the output of each running process.
func (in *Instance) RecentOutput() string {
	var output strings.Builder
	for _, process := range in.runningProcesses() {
		output.WriteString(process.tail.String())
	}
	return output.String()
}
