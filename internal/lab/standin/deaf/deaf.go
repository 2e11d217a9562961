// Package deaf makes a TCP listener of a stand-in behave like an unreachable host: new
// connections to it are never established. It works on Linux and over loopback only.
package deaf

import (
	"fmt"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// maxFillConns bounds the connections opened to fill a backlog; usually one or two are enough.
const maxFillConns = 16

// FillBacklog fills the kernel's accept queue of ln, so that the kernel drops further connection
// attempts. The caller must have stopped accepting: an Accept in progress would free a place
// in the queue. The caller closes the returned connections.
func FillBacklog(ln *net.TCPListener) (fill []net.Conn, err error) {
	if err := SetBacklog(ln, 0); err != nil {
		return nil, err
	}
	for range maxFillConns {
		// Ask the kernel rather than rely on a dial timeout: on a loaded machine a dial
		// that timed out may have been established nevertheless.
		full, err := backlogFull(ln)
		if err != nil || full {
			return fill, err
		}
		if c, err := net.DialTimeout("tcp", ln.Addr().String(), time.Second); err == nil {
			fill = append(fill, c)
		}
	}
	return fill, fmt.Errorf("listener %v: its queue takes %d connections and more, wanted a full one", ln.Addr(), maxFillConns)
}

// SetBacklog sets how many established connections the kernel queues for Accept.
func SetBacklog(ln *net.TCPListener, n int) error {
	return control(ln, func(fd int) error { return unix.Listen(fd, n) })
}

// backlogFull reports whether the accept queue is full. For a listener, TCP_INFO reports the
// number of queued connections in the field Unacked and the backlog in the field Sacked. Linux
// queues one connection more than the backlog.
func backlogFull(ln *net.TCPListener) (full bool, err error) {
	err = control(ln, func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		full = err == nil && info.Unacked > info.Sacked
		return err
	})
	return full, err
}

func control(ln *net.TCPListener, do func(fd int) error) error {
	raw, err := ln.SyscallConn()
	if err != nil {
		return err
	}
	var controlErr error
	if err := raw.Control(func(fd uintptr) { controlErr = do(int(fd)) }); err != nil {
		return err
	}
	return controlErr
}
