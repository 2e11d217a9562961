// Package sdnotify notifies the service manager of state changes of the process, as
// described in sd_notify(3): READY=1, RELOADING=1 with MONOTONIC_USEC, STOPPING=1, STATUS,
// MAINPID and WATCHDOG=1, sent as datagrams to a Unix socket.
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

// sendTimeout limits the sending of a notification. If the service manager does not read
// its socket for that long, the notification is dropped.
const sendTimeout = 200 * time.Millisecond

// maxSocketPathBytes is the longest path of a Unix socket on Linux, without the final NUL.
const maxSocketPathBytes = 107

// The environment variables set by the service manager.
const (
	socketVariable      = "NOTIFY_SOCKET"
	watchdogVariable    = "WATCHDOG_USEC" // microseconds
	watchdogPIDVariable = "WATCHDOG_PID"
)

// Errors returned by FromEnvironment.
var (
	ErrMalformedSocket   = errors.New(socketVariable + " is malformed")
	ErrMalformedWatchdog = errors.New(watchdogVariable + " is malformed")
)

// Notifier sends notifications to the service manager. A nil or zero Notifier sends
// nothing. It is safe for concurrent use.
type Notifier struct {
	address         string        // address of the service manager's socket; empty if there is none
	watchdogTimeout time.Duration // 0 if the watchdog is disabled
}

// FromEnvironment returns a Notifier configured by NOTIFY_SOCKET, WATCHDOG_USEC and
// WATCHDOG_PID. If NOTIFY_SOCKET is not set, the Notifier sends nothing. Errors wrap
// ErrMalformedSocket or ErrMalformedWatchdog.
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
	if processID := os.Getenv(watchdogPIDVariable); processID == "" || processID == strconv.Itoa(os.Getpid()) {
		n.watchdogTimeout = time.Duration(microseconds) * time.Microsecond
	}
	return n, nil
}

// WatchdogInterval returns the interval at which PingWatchdog has to be called: half the
// time after which the service manager considers the process unresponsive. It is 0 if the
// watchdog is disabled.
func (n *Notifier) WatchdogInterval() time.Duration {
	if n == nil {
		return 0
	}
	return n.watchdogTimeout / 2
}

// Ready reports that this process is ready to serve. It also reports the PID of this
// process as the main process of the service, since the main process changes with each
// handover.
func (n *Notifier) Ready() error {
	return n.send("READY=1", "MAINPID="+strconv.Itoa(os.Getpid()))
}

// Reloading reports that a reload has begun. Ready has to be called when it is complete.
func (n *Notifier) Reloading() error {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return err
	}
	return n.send("RELOADING=1", "MONOTONIC_USEC="+strconv.FormatInt(now.Nano()/1000, 10))
}

// Stopping reports that the process is shutting down.
func (n *Notifier) Stopping() error { return n.send("STOPPING=1") }

// PingWatchdog reports that the process is responsive.
func (n *Notifier) PingWatchdog() error { return n.send("WATCHDOG=1") }

// Status reports a status text for operators. Newlines are replaced by spaces.
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
