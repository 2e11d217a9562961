// Package notify tells a supervisor of a program's states by datagrams to a
// Unix socket, as sd_notify(3) describes them: READY=1, RELOADING=1 with
// MONOTONIC_USEC, STOPPING=1, STATUS, MAINPID, WATCHDOG=1.
package sdnotify

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// sendWithin bounds a datagram to a supervisor that does not read: its state is
// lost then, and the program goes on.
const sendWithin = 200 * time.Millisecond

// Notifier sends states. The zero value, and nil, send none.
type Notifier struct {
	addr     string
	interval time.Duration // of the watchdog, 0 for none
}

// FromEnvironment reads NOTIFY_SOCKET, WATCHDOG_USEC and WATCHDOG_PID. Without
// a socket the notifier sends nothing.
func FromEnvironment() (*Notifier, error) {
	n := &Notifier{addr: os.Getenv("NOTIFY_SOCKET")}
	if n.addr == "" {
		return n, nil
	}
	if n.addr[0] != '/' && n.addr[0] != '@' {
		return nil, fmt.Errorf("NOTIFY_SOCKET: found %q, wanted an absolute path or @name", n.addr)
	}
	if len(n.addr) > 107 {
		return nil, fmt.Errorf("NOTIFY_SOCKET: found a path of %d bytes, wanted 107 at most", len(n.addr))
	}
	text := os.Getenv("WATCHDOG_USEC")
	if text == "" {
		return n, nil
	}
	us, err := strconv.ParseInt(text, 10, 64)
	if err != nil || us <= 0 {
		return nil, fmt.Errorf("WATCHDOG_USEC: found %q, wanted a whole number of microseconds", text)
	}
	if pid := os.Getenv("WATCHDOG_PID"); pid == "" || pid == strconv.Itoa(os.Getpid()) {
		n.interval = time.Duration(us) * time.Microsecond
	}
	return n, nil
}

// WatchdogInterval is how often WATCHDOG=1 is to be sent: half the time after which the
// supervisor takes the program for hung. 0 means that it does not watch.
func (n *Notifier) WatchdogInterval() time.Duration {
	if n == nil {
		return 0
	}
	return n.interval / 2
}

// Ready tells that the program serves, and that it is the main process from now
// on, which matters after a hand-over.
func (n *Notifier) Ready() error {
	return n.send("READY=1", "MAINPID="+strconv.Itoa(os.Getpid()))
}

// Reloading tells that a reload has begun; Ready ends it.
func (n *Notifier) Reloading() error {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts); err != nil {
		return err
	}
	return n.send("RELOADING=1", "MONOTONIC_USEC="+strconv.FormatInt(ts.Nano()/1000, 10))
}

// Stopping tells that the program is ending.
func (n *Notifier) Stopping() error { return n.send("STOPPING=1") }

// PingWatchdog feeds the watchdog.
func (n *Notifier) PingWatchdog() error { return n.send("WATCHDOG=1") }

// Status tells in words what the program does.
func (n *Notifier) Status(text string) error {
	return n.send("STATUS=" + strings.ReplaceAll(text, "\n", " "))
}

func (n *Notifier) send(lines ...string) error {
	if n == nil || n.addr == "" {
		return nil
	}
	c, err := net.DialTimeout("unixgram", n.addr, sendWithin)
	if err != nil {
		return fmt.Errorf("NOTIFY_SOCKET: %w", err)
	}
	defer c.Close()
	c.SetWriteDeadline(time.Now().Add(sendWithin))
	if _, err := c.Write([]byte(strings.Join(lines, "\n"))); err != nil {
		return fmt.Errorf("NOTIFY_SOCKET: %w", err)
	}
	return nil
}
