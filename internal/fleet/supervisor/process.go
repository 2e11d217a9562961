package supervisor

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"

	"golang.org/x/sys/unix"

	"otterspring/internal/disk"
)

const (
	// fleetVariable is the environment variable that labels the processes of a fleet with
	// the fleet's directory. A process has the label from its first instruction on. Between
	// fork and exec the child does not have the label yet, but it still holds the lock of the
	// directory, so no other supervisor can be looking for the child.
	fleetVariable = "OTTERSPRING_FLEET"
	// operationVariable is the environment variable with the operation that a process was
	// started for. It identifies the operation if the state file is lost.
	operationVariable = "OTTERSPRING_ORDER"

	maxEnvironmentBytes = 1 << 20 // limit for reading a process's environment
	maxLogBytes         = 1 << 20 // a larger log is rotated at the next start
	maxLogTailBytes     = 2048    // limit for reading the end of a log to find its last line
	maxLastLineBytes    = 200     // maximum length of that line in an event
)

// process is a process of an instance, either a child or adopted. It is owned by the
// goroutine of Run. The goroutines that watch the process may read id, pid, startTime and
// pidfd, since these fields are not modified once the goroutines run.
type process struct {
	id  int // assigned by the lifecycle
	pid int
	// startTime is in clock ticks since boot. It distinguishes the process from a later
	// process with the same PID.
	startTime string
	pidfd     int
	logOffset int64  // size of the log when the process was started
	operation string // operation that the process was last started or reloaded for
	program   string // executable that the process was started from
}

// signal sends a signal to this process, never to a later one with the same PID. It is not
// an error if the process has ended.
func (p *process) signal(s syscall.Signal) error {
	err := unix.PidfdSendSignal(p.pidfd, s, nil, 0)
	if errors.Is(err, unix.ESRCH) {
		return nil
	}
	return err
}

// waitForExit waits until the process has ended. The process need not be a child.
func (p *process) waitForExit() {
	for {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(p.pidfd), Events: unix.POLLIN}}, -1)
		if n > 0 || err != nil && !errors.Is(err, unix.EINTR) {
			return
		}
	}
}

func (p *process) close() error { return unix.Close(p.pidfd) }

// startTime returns the start time of a process in clock ticks since boot. It returns an
// empty string if the process does not exist or is a zombie.
func startTime(pid int) string {
	const stateField, startField = 0, 19 // after the name in parentheses, see proc(5)
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return ""
	}
	nameEnd := strings.LastIndexByte(string(text), ')')
	fields := strings.Fields(string(text)[nameEnd+1:])
	if nameEnd < 0 || len(fields) <= startField || fields[stateField] == "Z" || fields[stateField] == "X" {
		return ""
	}
	return fields[startField]
}

// labeledProcesses returns the running processes that a supervisor of the given directory
// has started, whether or not they are in the state file. The child processes of a labeled
// process inherit the label. They are excluded because they are not process group leaders.
func labeledProcesses(directory string) []savedProcess {
	entries, err := os.ReadDir("/proc")
	if err != nil {
		return nil
	}
	var list []savedProcess
	for _, entry := range entries {
		pid, err := strconv.Atoi(entry.Name())
		if err != nil {
			continue
		}
		if group, err := unix.Getpgid(pid); err != nil || group != pid {
			continue
		}
		start := startTime(pid) // read before the environment, so that adopt detects a reused PID
		env := environment(pid)
		if start != "" && env[fleetVariable] == directory {
			list = append(list, savedProcess{Name: env["RELAY_NAME"], Listen: env["RELAY_LISTEN"], PID: pid, StartTime: start})
		}
	}
	return list
}

// environment returns the environment that a process was started with. It returns nil if the
// environment is not readable, for instance because the process has ended.
func environment(pid int) map[string]string {
	text, err := readAtMost(fmt.Sprintf("/proc/%d/environ", pid), maxEnvironmentBytes)
	if err != nil {
		return nil
	}
	env := map[string]string{}
	for entry := range strings.SplitSeq(string(text), "\x00") {
		if key, value, ok := strings.Cut(entry, "="); ok {
			env[key] = value
		}
	}
	return env
}

// readAtMost reads the first bytes of a file, up to a limit.
func readAtMost(path string, limit int64) (text []byte, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	return io.ReadAll(io.LimitReader(file, limit))
}

// rotateLog appends ".old" to the name of a log that exceeds maxLogBytes. It replaces the
// previous file of that name.
func rotateLog(path string) error {
	if info, err := os.Stat(path); err == nil && info.Size() > maxLogBytes {
		return disk.Rename(path, path+".old")
	}
	return nil
}

// spawn starts a child process. The output of the child goes to a file rather than a pipe,
// so that the child can outlive the supervisor.
func spawn(program string, args, env []string, logPath string) (cmd *exec.Cmd, p *process, err error) {
	output, err := disk.Open(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, nil, err
	}
	// The child has its own descriptor, so an error of this close does not concern its output.
	defer func() { _ = output.Close() }()
	logOffset, err := output.Seek(0, io.SeekEnd)
	if err != nil {
		return nil, nil, err
	}
	cmd = exec.Command(program, args...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = output, output
	// The child gets its own process group, so that it does not receive the signals that a
	// terminal sends to the supervisor.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return nil, nil, err
	}
	p = &process{pid: cmd.Process.Pid, startTime: startTime(cmd.Process.Pid), logOffset: logOffset}
	if p.pidfd, err = unix.PidfdOpen(p.pid, 0); err != nil {
		return nil, nil, errors.Join(fmt.Errorf("pidfd: %w", err), cmd.Process.Kill(), cmd.Wait())
	}
	return cmd, p, nil
}

// adopt returns the running process with the given PID and start time. It returns nil if the
// process has ended.
func adopt(pid int, start string) *process {
	if pid <= 1 || start == "" || startTime(pid) != start {
		return nil
	}
	pidfd, err := unix.PidfdOpen(pid, 0)
	if err != nil {
		return nil
	}
	p := &process{pid: pid, startTime: start, pidfd: pidfd}
	// The process may have ended, and its PID been reused, before the pidfd was opened.
	if startTime(pid) != start {
		_ = p.close() // an error has no consequence: the pidfd was not used
		return nil
	}
	return p
}

// lastLine returns the last line that a log has after an offset. It truncates the line to
// maxLastLineBytes.
func lastLine(path string, offset int64) (line string, err error) {
	file, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	info, err := file.Stat()
	if err != nil {
		return "", err
	}
	tail := make([]byte, max(0, min(info.Size()-offset, maxLogTailBytes)))
	if _, err := file.ReadAt(tail, info.Size()-int64(len(tail))); err != nil {
		return "", err
	}
	lines := strings.Split(strings.TrimSpace(string(tail)), "\n")
	line = lines[len(lines)-1]
	if len(line) > maxLastLineBytes {
		line = line[:maxLastLineBytes-3] + "..."
	}
	return line, nil
}
