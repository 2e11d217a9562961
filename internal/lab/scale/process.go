package scale

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"otterspring/internal/lab/rig"
)

// Role is the role of a process in a run.
type Role string

// The roles of processes.
const (
	RoleCluster    Role = "council"
	RoleRelay      Role = "relay"
	RoleSubscriber Role = "subscriber"
)

// errExitCodeZero is the cause of an unexpected exit with status 0.
var errExitCodeZero = errors.New("exit status 0")

// Process is a process that a run has started. It has its own session, so that signals of the
// terminal do not reach it, and it is killed when the rig ends. A goroutine waits for its exit.
type Process struct {
	Name string
	cmd  *exec.Cmd
	tail *outputTail
	done chan struct{}
	err  error // valid after done is closed

	mu           sync.Mutex
	usage        Usage // last reading of the resource usage
	exitExpected bool  // the exit of the process is not a crash
}

// startProcess starts a program. stdin may be nil. If stdout is nil, the standard output goes to
// the tail.
func startProcess(reaper *rig.Reaper, name string, argv []string, stdin io.Reader, stdout io.Writer) (*Process, error) {
	p := &Process{Name: name, tail: &outputTail{}, done: make(chan struct{})}
	p.cmd = exec.Command(argv[0], argv[1:]...)
	p.cmd.Stdin, p.cmd.Stdout, p.cmd.Stderr = stdin, stdout, p.tail
	if stdout == nil {
		p.cmd.Stdout = p.tail
	}
	p.cmd.WaitDelay = time.Second
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true, Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	reaper.WatchSession(p.cmd.Process.Pid)
	go p.wait()
	return p, nil
}

func (p *Process) wait() {
	p.err = p.cmd.Wait()
	p.mu.Lock()
	if state := p.cmd.ProcessState; state != nil {
		p.usage.CPUTime = state.UserTime() + state.SystemTime()
	}
	p.usage.Memory = 0
	p.mu.Unlock()
	close(p.done)
}

// Pid returns the process ID.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal.
func (p *Process) Signal(signal syscall.Signal) error { return p.cmd.Process.Signal(signal) }

// Kill ends the process with SIGKILL, which also ends a suspended process, and waits for its exit.
func (p *Process) Kill() {
	p.expectExit()
	if err := p.cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		slog.Warn("process not killed", "process", p.Name, "error", err)
	}
	<-p.done
}

// expectExit records that the exit of the process is not a crash.
func (p *Process) expectExit() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exitExpected = true
}

// terminate sends SIGTERM and waits for the exit of the process.
func (p *Process) terminate(timeout time.Duration) error {
	p.expectExit()
	if err := p.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	select {
	case <-p.done:
	case <-time.After(timeout):
		return fmt.Errorf("%s: found it running %v after SIGTERM, wanted its end", p.Name, timeout)
	}
	if p.err != nil {
		return fmt.Errorf("%s: ended on SIGTERM with %w: %s, wanted no error", p.Name, p.err, p.tail.lastLine())
	}
	return nil
}

// crash returns an error if the process has exited unexpectedly.
func (p *Process) crash() error {
	select {
	case <-p.done:
	default:
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.exitExpected {
		return nil
	}
	cause := p.err
	if cause == nil {
		cause = errExitCodeZero
	}
	return fmt.Errorf("%s: ended unexpectedly with %w: %s", p.Name, cause, p.tail.lastLine())
}

// measure returns the resource usage. If the process has exited, measure returns the last reading.
func (p *Process) measure() Usage {
	read, err := readUsage(p.Pid())
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.done:
	default:
		if err == nil {
			p.usage = read
		}
	}
	return p.usage
}

func (p *Process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// maxTailBytes limits the size of an outputTail.
const maxTailBytes = 4 << 10

// outputTail keeps the end of a process's output. It is safe for concurrent use.
type outputTail struct {
	mu   sync.Mutex
	text []byte
}

func (t *outputTail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, p...)
	if excess := len(t.text) - maxTailBytes; excess > 0 {
		t.text = t.text[excess:]
	}
	return len(p), nil
}

// lastLine returns the last line of the output.
func (t *outputTail) lastLine() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	lines := strings.Split(strings.TrimSpace(string(t.text)), "\n")
	return lines[len(lines)-1]
}

// processSet has all processes of a role, including those that have exited. It is safe for
// concurrent use.
type processSet struct {
	mu  sync.Mutex
	all []*Process
}

func (g *processSet) add(p *Process) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.all = append(g.all, p)
}

func (g *processSet) processes() []*Process {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]*Process(nil), g.all...)
}

// measure returns the total resource usage and the number of running processes.
func (g *processSet) measure() (sum Usage, running int) {
	for _, p := range g.processes() {
		sum = sum.add(p.measure())
		if p.running() {
			running++
		}
	}
	return sum, running
}

// crashes returns an error for each process that has exited unexpectedly.
func (g *processSet) crashes() []error {
	var all []error
	for _, p := range g.processes() {
		if err := p.crash(); err != nil {
			all = append(all, err)
		}
	}
	return all
}

// kill kills all running processes.
func (g *processSet) kill() {
	var wg sync.WaitGroup
	for _, p := range g.processes() {
		if p.running() {
			wg.Go(p.Kill)
		}
	}
	wg.Wait()
}
