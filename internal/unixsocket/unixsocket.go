// Package unixsocket creates Unix sockets to which only their owner can connect.
package unixsocket

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// socketMode allows connections by the owner only.
const socketMode = 0o600

// Listen listens on a socket at path with mode 0600, less the process's umask. The mode is set
// before the socket is bound, and Linux creates the file with that mode. A chmod after the
// bind would leave a window in which others can connect. Changing the umask around the bind
// would affect files that other goroutines create at that time, and two concurrent changes
// could leave the wrong umask in place.
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
