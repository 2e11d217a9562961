package rig

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// A client sees a connection end in the same way whether the process was killed or closed the connection. The log of
// the supervisor distinguishes the two cases. The rig reads the log line late, since the supervisor and then the
// reader of its log have to be scheduled. The exit status from the kernel is available at once.

// pidfdInfo is the first version of the kernel's struct pidfd_info.
type pidfdInfo struct {
	mask, cgroup                                                      uint64
	pid, tgid, ppid, ruid, rgid, euid, egid, suid, sgid, fsuid, fsgid uint32
	exitCode                                                          int32 // wait status
}

const (
	pidfdInfoExit = 1 << 3 // PIDFD_INFO_EXIT: the exit code is requested or available
	// pidfdGetInfo is _IOWR(0xff, 11, struct pidfd_info).
	pidfdGetInfo = 3<<30 | unsafe.Sizeof(pidfdInfo{})<<16 | 0xff<<8 | 11
	// exitCodeField is the index of exit_code in /proc/PID/stat, counted from the field after the program's name.
	exitCodeField = 49
)

// hasEnded reports whether a process has ended, whether or not it was reaped.
func hasEnded(pidfd int) bool {
	ready, err := unix.Poll([]unix.PollFd{{Fd: int32(pidfd), Events: unix.POLLIN}}, 0)
	return err == nil && ready > 0
}

// wasKilled reports whether a process has ended by SIGKILL. It returns false if the exit status is unknown: before
// Linux 6.15 the kernel provides the status only until the process is reaped.
func wasKilled(pid, pidfd int) bool {
	if !hasEnded(pidfd) {
		return false
	}
	status, known := exitStatus(pid, pidfd)
	return known && status.Signaled() && status.Signal() == syscall.SIGKILL
}

// exitStatus returns the wait status of a process that has ended, and whether it is known.
func exitStatus(pid, pidfd int) (status syscall.WaitStatus, known bool) {
	// An ended process is a zombie until it is reaped. After that its ID may be reused. The file then shows another
	// process, which is not a zombie or is a zombie with its own exit code.
	if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid)); err == nil {
		fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
		if len(fields) > exitCodeField && fields[0] == "Z" {
			code, err := strconv.Atoi(fields[exitCodeField])
			return syscall.WaitStatus(code), err == nil
		}
	}
	info := pidfdInfo{mask: pidfdInfoExit}
	_, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(pidfd), pidfdGetInfo, uintptr(unsafe.Pointer(&info)))
	return syscall.WaitStatus(info.exitCode), errno == 0 && info.mask&pidfdInfoExit != 0
}

// excuseKilledProcesses reports each killed process of an instance to the checker.
func (h *hosts) excuseKilledProcesses(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, process := range h.processesOf(name) {
		h.excuseIfKilled(process)
	}
}

// excuseIfKilled reports a process to the checker if it was killed. The caller holds the mutex.
func (h *hosts) excuseIfKilled(process *trackedProcess) {
	if wasKilled(process.pid, process.pidfd) {
		h.world.Checker.ExcuseKill(process.name, h.world.Checker.Now()-exitDetectionDelay)
	}
}
