// Package sdnotify reports the states of a process to its supervisor by datagrams to a
// Unix socket, as sd_notify(3) describes them: READY=1, RELOADING=1 with
// MONOTONIC_USEC, STOPPING=1, STATUS, MAINPID, WATCHDOG=1.
package sdnotify

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// sendTimeout bounds a datagram to a supervisor that does not read: the state is dropped
// then.
const sendTimeout = 200 * time.Millisecond

// maxSocketPathBytes is the length of a Unix socket's address.
const maxSocketPathBytes = 107

// The environment that a supervisor sets.
const (
	socketVariable       = "NOTIFY_SOCKET"
	watchdogVariable     = "WATCHDOG_USEC" // microseconds
	watchdogProcessIDVar = "WATCHDOG_PID"
)

// Errors of FromEnvironment.
var (
	ErrMalformedSocket   = errors.New(socketVariable + " is malformed")
	ErrMalformedWatchdog = errors.New(watchdogVariable + " is malformed")
)

// Notifier sends states. The zero value, and nil, send none. It is safe for concurrent
// use.
type Notifier struct {
	address         string        // empty for none
	watchdogTimeout time.Duration // 0 for no watchdog
}

// FromEnvironment reads NOTIFY_SOCKET, WATCHDOG_USEC and WATCHDOG_PID. Without a socket
// the notifier sends nothing. Its errors are ErrMalformedSocket and
// ErrMalformedWatchdog.
func FromEnvironment() (*Notifier, error) {
	n := &Notifier{address: os.Getenv(socketVariable)}
	if n.address == "" {
		return n, nil
	}
	if n.address[0] != '/' && n.address[0] != '@' {
		return nil, fmt.Errorf("%w: found %q, wanted an absolute path or @name", ErrMalformedSocket, n.address)
	}
	if len(n.address) > maxSocketPathBytes {
		return nil, fmt.Errorf("%w: found a path of %d bytes, wanted at most %d", ErrMalformedSocket, len(n.address), maxSocketPathBytes)
	}
	text := os.Getenv(watchdogVariable)
	if text == "" {
		return n, nil
	}
	microseconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil || microseconds <= 0 {
		return nil, fmt.Errorf("%w: found %q, wanted a whole number of microseconds", ErrMalformedWatchdog, text)
	}
	if processID := os.Getenv(watchdogProcessIDVar); processID == "" || processID == strconv.Itoa(os.Getpid()) {
		n.watchdogTimeout = time.Duration(microseconds) * time.Microsecond
	}
	return n, nil
}

// WatchdogInterval is how often PingWatchdog is to be called: half the time after which
// the supervisor considers the process unresponsive. 0 means that it does not watch.
func (n *Notifier) WatchdogInterval() time.Duration {
	if n == nil {
		return 0
	}
	return n.watchdogTimeout / 2
}

// Ready reports that the process serves, and that it is the main process from now on,
// which matters after a handover.
func (n *Notifier) Ready() error {
	return n.send("READY=1", "MAINPID="+strconv.Itoa(os.Getpid()))
}

// Reloading reports that a reload has begun; Ready ends it.
func (n *Notifier) Reloading() error {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return err
	}
	return n.send("RELOADING=1", "MONOTONIC_USEC="+strconv.FormatInt(now.Nano()/1000, 10))
}

// Stopping reports that the process shuts down.
func (n *Notifier) Stopping() error { return n.send("STOPPING=1") }

// PingWatchdog reports that the process is responsive.
func (n *Notifier) PingWatchdog() error { return n.send("WATCHDOG=1") }

// Status reports in words what the process does.
func (n *Notifier) Status(text string) error {
	return n.send("STATUS=" + strings.ReplaceAll(text, "\n", " "))
}

func (n *Notifier) send(lines ...string) error {
	if n == nil || n.address == "" {
		return nil
	}
	conn, err := net.DialTimeout("unixgram", n.address, sendTimeout)
	if err != nil {
		return fmt.Errorf("%s: %w", socketVariable, err)
	}
	defer conn.Close()
	if err := conn.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return fmt.Errorf("%s: %w", socketVariable, err)
	}
	if _, err := conn.Write([]byte(strings.Join(lines, "\n"))); err != nil {
		return fmt.Errorf("%s: %w", socketVariable, err)
	}
	return nil
}
