package rig

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
)

// ReaperWord is the word by which a program that links this package becomes a
// reaper: it ends what the rig leaves behind when it is killed.
const ReaperWord = "reaper-of-a-rig"

// reaper is the rig's hold on one. A supervisor's instances outlive it, as they
// are meant to; in a rig that is killed nobody would end them.
type reaper struct {
	mu   sync.Mutex
	pipe io.WriteCloser
	cmd  *exec.Cmd
}

// startReaper starts the program self as a reaper.
func startReaper(self []string) (*reaper, error) {
	cmd := exec.Command(self[0], append(self[1:len(self):len(self)], ReaperWord)...)
	pipe, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	// Out of the rig's group: what a terminal sends to the rig is not for it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("rig: the reaper: %w", err)
	}
	return &reaper{pipe: pipe, cmd: cmd}, nil
}

// watch has the reaper end a session, should the rig be killed.
func (r *reaper) watch(session int) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintln(r.pipe, session)
}

// close ends the reaper, which ends what is left.
func (r *reaper) close() {
	if r == nil {
		return
	}
	r.pipe.Close()
	r.cmd.Wait()
}

// Reap is the reaper's program: it reads sessions until its input ends, as it
// does when the rig is gone in whatever way, and ends all processes of them.
func Reap(in io.Reader) int {
	sessions := map[int]bool{}
	sc := bufio.NewScanner(in)
	for sc.Scan() {
		if n, err := strconv.Atoi(strings.TrimSpace(sc.Text())); err == nil && n > 1 && n != os.Getpid() {
			sessions[n] = true
		}
	}
	if len(sessions) == 0 || endSessions(func(s int) bool { return sessions[s] }) == 0 {
		return 0
	}
	return 1
}
