package supervisor

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"otterspring/internal/disk"
)

// process is a process of an instance, a child or one that was adopted.
type process struct {
	id        int // the plan's number
	pid       int
	startTime string // its start time as the kernel has it, against reuse of the pid
	pidfd     int    // pidfd
	logOffset int64  // size of the log when it started
	// operation is the council's that it was started for, program what it was started of.
	operation, program string
}

// signal sends a signal to just this process, even if its number were used anew.
func (p *process) signal(s syscall.Signal) error {
	err := unix.PidfdSendSignal(p.pidfd, s, nil, 0)
	if errors.Is(err, unix.ESRCH) {
		return nil // it has ended
	}
	return err
}

// startTime reads when a process started, in the kernel's ticks; empty if there
// is no such process, or only what is left of it.
func startTime(pid int) string {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return ""
	}
	at := strings.LastIndexByte(string(text), ')')
	f := strings.Fields(string(text)[at+1:])
	if at < 0 || len(f) < 20 || f[0] == "Z" || f[0] == "X" {
		return ""
	}
	return f[19]
}

// fleetVariable names the variable by which a fleet's processes are known: its value is
// the fleet's directory. A process has it from its first instruction on. Between
// fork and exec, where it has not, the child still holds the lock of the directory,
// so that no other supervisor is there to look for it.
const fleetVariable = "OTTERSPRING_FLEET"

// operationVariable names the variable that says for which order of the council a process
// was started last: what was done for an order stands at the processes themselves.
const operationVariable = "OTTERSPRING_ORDER"

// maxEnvironmentBytes bounds what is read of a process's environment, in bytes.
const maxEnvironmentBytes = 1 << 20

// labeledProcesses finds the processes that a supervisor of this directory started, whether
// it lived to write that down or not. What they start themselves inherits the mark,
// but leads no process group.
func labeledProcesses(directory string) (list []savedProcess) {
	dirs, err := os.ReadDir("/proc")
	if err != nil {
		return nil
	}
	for _, d := range dirs {
		pid, err := strconv.Atoi(d.Name())
		if err != nil {
			continue
		}
		if group, err := unix.Getpgid(pid); err != nil || group != pid {
			continue
		}
		start := startTime(pid) // before the rest is read: adopt compares it
		env := environment(pid)
		if start != "" && env[fleetVariable] == directory {
			list = append(list, savedProcess{Name: env["RELAY_NAME"], Listen: env["RELAY_LISTEN"], PID: pid, StartTime: start})
		}
	}
	return list
}

// environment reads the environment that a process was started with; empty where that
// can't be seen.
func environment(pid int) map[string]string {
	f, err := os.Open(fmt.Sprintf("/proc/%d/environ", pid))
	if err != nil {
		return nil
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxEnvironmentBytes))
	if err != nil {
		return nil
	}
	env := map[string]string{}
	for _, word := range strings.Split(string(text), "\x00") {
		if key, value, ok := strings.Cut(word, "="); ok {
			env[key] = value
		}
	}
	return env
}

// maxLogBytes is the size from which on a log is put aside at a start.
const maxLogBytes = 1 << 20

// spawn starts a child. Its output goes to a file, so that it lives on without
// the supervisor.
func spawn(program string, args, env []string, logPath string) (*exec.Cmd, *process, error) {
	if info, err := os.Stat(logPath); err == nil && info.Size() > maxLogBytes {
		disk.Rename(logPath, logPath+".old")
	}
	out, err := disk.Open(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, nil, err
	}
	defer out.Close()
	logAt, err := out.Seek(0, io.SeekEnd)
	if err != nil {
		return nil, nil, err
	}
	cmd := exec.Command(program, args...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = out, out
	// A group of its own: what a terminal sends to the supervisor is not for it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return nil, nil, err
	}
	p := &process{pid: cmd.Process.Pid, startTime: startTime(cmd.Process.Pid), logOffset: logAt}
	if p.pidfd, err = unix.PidfdOpen(p.pid, 0); err != nil {
		cmd.Process.Kill()
		cmd.Wait()
		return nil, nil, fmt.Errorf("pidfd: %w", err)
	}
	return cmd, p, nil
}

// adopt takes hold of a process that runs already; nil if it has ended.
func adopt(pid int, start string) *process {
	if pid <= 1 || start == "" || startTime(pid) != start {
		return nil
	}
	fd, err := unix.PidfdOpen(pid, 0)
	if err != nil {
		return nil
	}
	// It may have ended, and its number been used anew, before the open.
	if startTime(pid) != start {
		unix.Close(fd)
		return nil
	}
	return &process{pid: pid, startTime: start, pidfd: fd}
}

// waitForExit returns when a process that is no child has ended.
func (p *process) waitForExit() {
	for {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(p.pidfd), Events: unix.POLLIN}}, -1)
		if n > 0 || err != nil && !errors.Is(err, unix.EINTR) {
			return
		}
	}
}

var upClient = http.Client{
	Transport: &http.Transport{DisableKeepAlives: true},
	Timeout:   2 * time.Second,
}

// healthStatus is what an instance says of itself at /up.
type healthStatus struct {
	pid                             int // 0 where nobody answered 200
	reloadsSucceeded, reloadsFailed int // reloads
}

// checkHealth asks an instance whether it is up, and which process says so.
func checkHealth(ctx context.Context, addr string) (u healthStatus) {
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+addr+"/up", nil)
	if err != nil {
		return u
	}
	r, err := upClient.Do(req)
	if err != nil {
		return u
	}
	r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return u
	}
	u.pid, _ = strconv.Atoi(r.Header.Get("X-Pid"))
	fmt.Sscanf(r.Header.Get("X-Reloads"), "%d/%d", &u.reloadsSucceeded, &u.reloadsFailed)
	return u
}

const (
	askFirst = 10 * time.Millisecond
	askMost  = 200 * time.Millisecond
)

// waitUntilHealthy asks until is says yes, and returns true then, or false when ctx ends.
// A process of another number that answers is not the one: the old one of a
// hand-over, or one that has nothing to do with the fleet.
func waitUntilHealthy(ctx context.Context, addr string, is func(healthStatus) bool) bool {
	pause := askFirst
	for {
		if is(checkHealth(ctx, addr)) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pause):
		}
		pause = min(pause*3/2, askMost)
	}
}

// lastLine returns the last line of a log behind a place in it, cut to what a
// message can hold.
func lastLine(path string, from int64) string {
	f, err := os.Open(path)
	if err != nil {
		return ""
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return ""
	}
	buf := make([]byte, max(0, min(info.Size()-from, 2048)))
	f.ReadAt(buf, info.Size()-int64(len(buf)))
	lines := strings.Split(strings.TrimSpace(string(buf)), "\n")
	line := lines[len(lines)-1]
	if len(line) > 200 {
		line = line[:197] + "..."
	}
	return line
}
