// Package unixsocket listens on Unix sockets that only their owner may use.
package unixsocket

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Listen binds path with mode 0600, less what the process's mask takes away. The
// mode is set on the socket before it is bound, and Linux makes the file with
// it: there is no moment in which others may connect, as there is with a chmod
// afterwards. A mask of the process set for the moment of the bind would also
// apply to every file that any other goroutine makes meanwhile, and two of them
// at once can leave it set for good.
func Listen(path string) (*net.UnixListener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		if err := raw.Control(func(fd uintptr) { failed = unix.Fchmod(int(fd), 0o600) }); err != nil {
			return err
		}
		return failed
	}}
	ln, err := config.Listen(context.Background(), "unix", path)
	if err != nil {
		return nil, err
	}
	return ln.(*net.UnixListener), nil
}
