// Package unixsocket listens on Unix sockets that only their owner may connect to.
package unixsocket

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// socketMode lets the owner connect.
const socketMode = 0o600

// Listen binds path with mode 0600, less the bits of the process's umask. The mode is set
// on the socket before it is bound, and Linux creates the file with it: there is no
// moment in which others may connect, as there is with a chmod afterwards. A umask set
// for the moment of the bind would also apply to every file that other goroutines create
// meanwhile, and two of them concurrently can leave it set.
func Listen(path string) (*net.UnixListener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var chmodErr error
		if err := raw.Control(func(fd uintptr) { chmodErr = unix.Fchmod(int(fd), socketMode) }); err != nil {
			return err
		}
		return chmodErr
	}}
	listener, err := config.Listen(context.Background(), "unix", path)
	if err != nil {
		return nil, err
	}
	return listener.(*net.UnixListener), nil
}
