package scale

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"otterspring/internal/lab/rig"
)

// Role is what a process does in a run.
type Role string

// The roles of processes.
const (
	RoleCouncil    Role = "council"
	RoleRelay      Role = "relay"
	RoleSubscriber Role = "subscriber"
)

// Process is one process that a run has started. It is in a session of its own, so
// that a terminal's signals don't reach it, and is killed with the rig.
type Process struct {
	Name string
	cmd  *exec.Cmd
	tail *tail
	done chan struct{}
	err  error // after done

	mu    sync.Mutex
	usage Usage // the latest that was read
	over  bool  // its end is asked for, or expected
}

// startProcess starts a program. stdin and stdout may be nil.
func startProcess(reaper *rig.Reaper, name string, argv []string, stdin io.Reader, stdout io.Writer) (*Process, error) {
	p := &Process{Name: name, tail: &tail{}, done: make(chan struct{})}
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
	reaper.Watch(p.cmd.Process.Pid)
	go p.wait()
	return p, nil
}

func (p *Process) wait() {
	p.err = p.cmd.Wait()
	p.mu.Lock()
	if state := p.cmd.ProcessState; state != nil {
		p.usage.Processor = state.UserTime() + state.SystemTime()
	}
	p.usage.Memory = 0
	p.mu.Unlock()
	close(p.done)
}

// Pid is its number.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal.
func (p *Process) Signal(signal syscall.Signal) error { return p.cmd.Process.Signal(signal) }

// Kill ends it outright, also one that is stopped, and waits for its end.
func (p *Process) Kill() {
	p.expectEnd()
	p.cmd.Process.Kill()
	<-p.done
}

// expectEnd notes that its end is no crash.
func (p *Process) expectEnd() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.over = true
}

// terminate sends SIGTERM and waits for its end, for a while.
func (p *Process) terminate(within time.Duration) error {
	p.expectEnd()
	if err := p.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	select {
	case <-p.done:
	case <-time.After(within):
		return fmt.Errorf("%s: found it running %v after SIGTERM, wanted its end", p.Name, within)
	}
	if p.err != nil {
		return fmt.Errorf("%s: ended on SIGTERM with %v: %s, wanted no error", p.Name, p.err, p.tail.line())
	}
	return nil
}

// crash is its end that nobody asked for; nil for none.
func (p *Process) crash() error {
	select {
	case <-p.done:
	default:
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.over {
		return nil
	}
	return fmt.Errorf("%s: ended by itself with %v: %s", p.Name, p.err, p.tail.line())
}

// measure reads what it has used; what was read last, where it has ended.
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

// mostTail bounds what is kept of a process's last words.
const mostTail = 4 << 10

// tail keeps the last that a process wrote.
type tail struct {
	mu   sync.Mutex
	text []byte
}

func (t *tail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, p...)
	if over := len(t.text) - mostTail; over > 0 {
		t.text = t.text[over:]
	}
	return len(p), nil
}

// line is the last line that was written.
func (t *tail) line() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	lines := strings.Split(strings.TrimSpace(string(t.text)), "\n")
	return lines[len(lines)-1]
}

// group is all processes of a role, those that have ended, too.
type group struct {
	mu  sync.Mutex
	all []*Process
}

func (g *group) add(p *Process) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.all = append(g.all, p)
}

func (g *group) processes() []*Process {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]*Process(nil), g.all...)
}

// measure adds up what all have used. Memory is that of those that run.
func (g *group) measure() (sum Usage, running int) {
	for _, p := range g.processes() {
		sum = sum.plus(p.measure())
		if p.running() {
			running++
		}
	}
	return sum, running
}

// crashes are the ends that nobody asked for.
func (g *group) crashes() []error {
	var all []error
	for _, p := range g.processes() {
		if err := p.crash(); err != nil {
			all = append(all, err)
		}
	}
	return all
}

// kill ends all.
func (g *group) kill() {
	var wg sync.WaitGroup
	for _, p := range g.processes() {
		if p.running() {
			wg.Go(p.Kill)
		}
	}
	wg.Wait()
}
