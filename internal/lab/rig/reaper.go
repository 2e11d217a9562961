package rig

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
)

// ReaperArgument is the command-line argument that starts a program as a reaper. A program that uses this package
// has to call Reap when it is started with this argument.
const ReaperArgument = "reaper-of-a-rig"

// Reaper is a process that ends the supervisors' processes if the rig is killed. Instances outlive their supervisor by
// design. Without the reaper, no process would end the instances.
type Reaper struct {
	mu   sync.Mutex
	pipe io.WriteCloser
	cmd  *exec.Cmd
}

// StartReaper starts a reaper. The parameter self is the command line of a program that calls Reap.
func StartReaper(self []string) (*Reaper, error) {
	cmd := exec.Command(self[0], append(self[1:len(self):len(self)], ReaperArgument)...)
	pipe, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	// A separate session keeps signals from the terminal to the rig away from the reaper.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("rig: start reaper: %w", err)
	}
	return &Reaper{pipe: pipe, cmd: cmd}, nil
}

// WatchSession makes the reaper end the processes of a session when the rig ends or is killed.
func (r *Reaper) WatchSession(session int) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintln(r.pipe, session)
}

// closedLine is the last line that the rig sends to the reaper if the rig was not killed.
const closedLine = "closed"

// RemoveDirectory makes the reaper remove a directory of the rig if the rig is killed.
func (r *Reaper) RemoveDirectory(directory string) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintln(r.pipe, directory)
}

// Close makes the reaper end the remaining processes, and waits until the reaper has exited.
func (r *Reaper) Close() {
	if r == nil {
		return
	}
	r.mu.Lock()
	fmt.Fprintln(r.pipe, closedLine)
	r.mu.Unlock()
	r.pipe.Close()
	r.cmd.Wait()
}

// Reap is the main function of the reaper process and returns its exit code. It reads sessions and directories until
// its input ends, which happens whenever the rig exits. Then it ends all processes of the sessions. It also removes
// the directories unless the rig has sent closedLine.
func Reap(in io.Reader) int {
	sessions := map[int]bool{}
	directories := []string{}
	scanner := bufio.NewScanner(in)
	for scanner.Scan() {
		text := strings.TrimSpace(scanner.Text())
		switch session, err := strconv.Atoi(text); {
		case text == closedLine:
			directories = nil
		case isRigDirectory(text):
			directories = append(directories, text)
		case err == nil && session > 1 && session != os.Getpid():
			sessions[session] = true
		}
	}
	defer func() {
		for _, directory := range directories {
			os.RemoveAll(directory)
		}
	}()
	if len(sessions) == 0 || killSessions(func(session int) bool { return sessions[session] }) == 0 {
		return 0
	}
	return 1
}

// isRigDirectory reports whether a path is a rig's directory in the system's directory of temporary files.
func isRigDirectory(path string) bool {
	return filepath.Dir(path) == filepath.Clean(os.TempDir()) && strings.HasPrefix(filepath.Base(path), "rig")
}

// PID returns the process ID of the reaper.
func (r *Reaper) PID() int { return r.cmd.Process.Pid }
