package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// verdict is the result of a case.
type verdict struct {
	code int
	text string
}

func held(format string, args ...any) verdict   { return verdict{0, fmt.Sprintf(format, args...)} }
func broken(format string, args ...any) verdict { return verdict{1, fmt.Sprintf(format, args...)} }

// must ends a case that could not run.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// run is one play of a case: its record, its temporary folder and its processes.
type run struct {
	trouble bool
	dir     string
	root    string // the repository
	start   time.Time

	mu        sync.Mutex
	record    *bufio.Writer
	file      *os.File
	processes []*process
	failed    chan string // why the case could not run
}

func newRun(folder string) (*run, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	folder, err = filepath.Abs(folder)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	return &run{
		trouble: os.Getenv("TROUBLE") != "0", dir: dir, root: filepath.Dir(filepath.Dir(folder)), start: time.Now(),
		file: file, record: bufio.NewWriter(file), failed: make(chan string, 100),
	}, nil
}

// note writes a line to the record.
func (r *run) note(kind, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := strings.ReplaceAll(fmt.Sprintf(format, args...), r.dir, "DIR")
	fmt.Fprintf(r.record, "%8.3f %-10s %s\n", time.Since(r.start).Seconds(), kind, strings.ReplaceAll(text, r.root, "ROOT"))
}

// stopLimit is how long a supervisor may take to stop its sidecars.
const stopLimit = 15 * time.Second

// killLeft kills the sidecars that a killed supervisor has left. Their environment names the
// temporary folder of this run.
func (r *run) killLeft() {
	entries, err := os.ReadDir("/proc")
	if err != nil {
		return
	}
	for _, entry := range entries {
		pid, err := strconv.Atoi(entry.Name())
		if err != nil || pid == os.Getpid() {
			continue
		}
		text, err := os.ReadFile("/proc/" + entry.Name() + "/environ")
		if err == nil && strings.Contains(string(text), "="+r.dir+"/") {
			r.note("end", "pid %d was left and is killed", pid)
			_ = syscall.Kill(pid, syscall.SIGKILL)
		}
	}
}

// later runs f in a goroutine. If f panics, the case could not run.
func (r *run) later(f func()) {
	go func() {
		defer func() {
			if failure := recover(); failure != nil {
				r.failed <- fmt.Sprint(failure)
			}
		}()
		f()
	}()
}

func (r *run) close() {
	r.mu.Lock()
	processes := r.processes
	r.mu.Unlock()
	for _, p := range processes { // supervisors stop their sidecars
		p.signal(syscall.SIGCONT)
		if p.stopsOthers {
			p.signal(syscall.SIGTERM)
			select {
			case <-p.ended:
			case <-time.After(stopLimit):
			}
		}
	}
	for _, p := range processes {
		p.signal(syscall.SIGKILL)
		<-p.ended
	}
	r.killLeft()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Flush()
	r.file.Close()
	os.RemoveAll(r.dir)
}

// write writes a file into the temporary folder and returns its path.
func (r *run) write(name, text string) string {
	path := filepath.Join(r.dir, name)
	must(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// process is a process that the case started.
type process struct {
	name        string
	cmd         *exec.Cmd
	ended       chan struct{}
	stopsOthers bool // on SIGTERM it stops processes of its own
}

// startCommand starts a command from the repository's root. Each line of its output goes to
// lines or, if lines is nil, to the record.
func (r *run) startCommand(name string, env []string, lines func(string), command ...string) *process {
	p := &process{name: name, cmd: exec.Command(command[0], command[1:]...), ended: make(chan struct{})}
	p.cmd.Dir, p.cmd.Env = r.root, append(os.Environ(), env...)
	reader, writer, err := os.Pipe()
	must(err)
	p.cmd.Stdout, p.cmd.Stderr = writer, writer
	must(p.cmd.Start())
	must(writer.Close())
	r.note("start", "%s: pid %d: %s", name, p.cmd.Process.Pid, strings.Join(command, " "))
	if lines == nil {
		lines = func(line string) { r.note(name, "%s", line) }
	}
	read := make(chan struct{})
	go func() {
		defer close(read)
		scanner := bufio.NewScanner(reader)
		scanner.Buffer(nil, 1<<20)
		for scanner.Scan() {
			lines(scanner.Text())
		}
		reader.Close()
	}()
	go func() {
		err := p.cmd.Wait()
		<-read
		r.note("end", "%s: pid %d: %v", name, p.cmd.Process.Pid, err)
		close(p.ended)
	}()
	r.mu.Lock()
	r.processes = append(r.processes, p)
	r.mu.Unlock()
	return p
}

// signal sends a signal to the process unless it has ended.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill sends SIGKILL and waits for the end of the process.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// output runs a command to its end and returns its output and exit code.
func (r *run) output(limit time.Duration, command ...string) (string, int) {
	var text strings.Builder
	var mu sync.Mutex
	p := r.startCommand(filepath.Base(command[0]), nil, func(line string) {
		mu.Lock()
		defer mu.Unlock()
		text.WriteString(line + "\n")
	}, command...)
	select {
	case <-p.ended:
	case <-time.After(limit):
		r.note("limit", "%s has not ended after %v", strings.Join(command, " "), limit)
		p.kill()
	}
	mu.Lock()
	defer mu.Unlock()
	r.note("output", "%q", text.String())
	return text.String(), p.cmd.ProcessState.ExitCode()
}

// freeAddress returns a free TCP address on loopback, below the range of outgoing connections.
func freeAddress() string {
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", 20000+rand.IntN(12000))
		tcp, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		tcp.Close()
		if udp, err := net.ListenPacket("udp", address); err == nil {
			udp.Close()
			return address
		}
	}
	panic("no free port")
}

// startSidecar starts a sidecar with the command of the deploy file and waits until it is ready.
func (r *run) startSidecar(listen, config, operator string) *process {
	command := "exec bin/sandhinge"
	if operator != "" {
		command += " -operator " + operator
	}
	p := r.startCommand("sidecar", []string{"RELAY_CONFIG=" + config}, nil, "/bin/sh", "-c", command)
	must(waitFor(30*time.Second, func() bool { return ready(listen) }))
	return p
}

// ready reports whether a sidecar answers at /up.
func ready(listen string) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + listen + "/up")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}

var errNotInTime = errors.New("a condition was not met in time")

// waitFor waits until a condition is met.
func waitFor(limit time.Duration, condition func() bool) error {
	for end := time.Now().Add(limit); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return errNotInTime
		}
	}
	return nil
}
