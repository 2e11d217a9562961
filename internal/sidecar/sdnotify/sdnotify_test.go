package sdnotify

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// listen holds a supervisor's socket and points the environment at it.
func listen(t *testing.T) *net.UnixConn {
	t.Helper()
	path := filepath.Join(t.TempDir(), "n")
	c, err := net.ListenUnixgram("unixgram", &net.UnixAddr{Name: path, Net: "unixgram"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetReadDeadline(time.Now().Add(20 * time.Second))
	t.Setenv("NOTIFY_SOCKET", path)
	t.Setenv("WATCHDOG_USEC", "")
	return c
}

func heard(t *testing.T, c *net.UnixConn) string {
	t.Helper()
	buf := make([]byte, 4096)
	n, err := c.Read(buf)
	if err != nil {
		t.Fatal(err)
	}
	return string(buf[:n])
}

func TestStates(t *testing.T) {
	c := listen(t)
	n, err := FromEnvironment()
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range []struct {
		send func() error
		want []string
	}{
		{n.Ready, []string{"READY=1", fmt.Sprintf("MAINPID=%d", os.Getpid())}},
		{n.Reloading, []string{"RELOADING=1", "MONOTONIC_USEC="}},
		{n.Stopping, []string{"STOPPING=1"}},
		{n.PingWatchdog, []string{"WATCHDOG=1"}},
		{func() error { return n.Status("two\nlines") }, []string{"STATUS=two lines"}},
	} {
		if err := s.send(); err != nil {
			t.Fatal(err)
		}
		got := strings.Split(heard(t, c), "\n")
		if len(got) != len(s.want) {
			t.Fatalf("heard %q, want %q", got, s.want)
		}
		for i := range got {
			if !strings.HasPrefix(got[i], s.want[i]) {
				t.Errorf("heard %q, want %q", got[i], s.want[i])
			}
		}
	}
}

func TestWatchdogInterval(t *testing.T) {
	listen(t)
	for _, c := range []struct {
		usec, pid string
		want      time.Duration
		bad       bool
	}{
		{"", "", 0, false},
		{"2000000", "", time.Second, false},
		{"2000000", fmt.Sprint(os.Getpid()), time.Second, false},
		{"2000000", "1", 0, false}, // meant for another process
		{"soon", "", 0, true},
		{"-5", "", 0, true},
	} {
		t.Setenv("WATCHDOG_USEC", c.usec)
		t.Setenv("WATCHDOG_PID", c.pid)
		n, err := FromEnvironment()
		if (err != nil) != c.bad || n.WatchdogInterval() != c.want {
			t.Errorf("%+v: %v, %v", c, n.WatchdogInterval(), err)
		}
	}
}

// Nobody there, nobody who reads, and none wanted: the program goes on.
func TestNobodyListens(t *testing.T) {
	t.Setenv("NOTIFY_SOCKET", "")
	n, err := FromEnvironment()
	if err != nil || n.Ready() != nil || (*Notifier)(nil).Ready() != nil || (*Notifier)(nil).WatchdogInterval() != 0 {
		t.Error("without a socket something is sent")
	}
	t.Setenv("NOTIFY_SOCKET", "relative")
	if _, err := FromEnvironment(); err == nil {
		t.Error("a relative path was taken")
	}
	t.Setenv("NOTIFY_SOCKET", "/"+strings.Repeat("x", 120))
	if _, err := FromEnvironment(); err == nil {
		t.Error("a path too long was taken")
	}
	t.Setenv("NOTIFY_SOCKET", filepath.Join(t.TempDir(), "none"))
	n, _ = FromEnvironment()
	if err := n.Ready(); err == nil {
		t.Error("a socket that is not there took a state")
	}
	listen(t)
	n, _ = FromEnvironment()
	for range 10000 { // nobody reads: it must fail at last, and not hang
		if err := n.PingWatchdog(); err != nil {
			return
		}
	}
	t.Error("ten thousand states were taken unread")
}
