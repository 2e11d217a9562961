package entrypoint_test

import (
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"otterspring/internal/lab/rig"
)

// The notifications that a service manager receives from start to stop of a sidecar, through a
// socket that the test holds.
func TestNotify(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "notify")
	c, err := net.ListenUnixgram("unixgram", &net.UnixAddr{Name: path, Net: "unixgram"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := c.Close(); err != nil {
			t.Error(err)
		}
	})
	if err := c.SetReadDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	until := func(state string) {
		t.Helper()
		buf := make([]byte, 4096)
		for {
			n, err := c.Read(buf)
			if err != nil {
				t.Fatalf("no notification %s: %v", state, err)
			}
			if strings.Contains(string(buf[:n]), state) {
				return
			}
		}
	}
	w := world(t, func(o *rig.Options) {
		o.Env = append(o.Env, "NOTIFY_SOCKET="+path, "WATCHDOG_USEC=200000")
		o.Operator = func(int, string) string { return "[notify]\nsystemd = true\n" }
	})
	in := w.Instances[0]
	until("READY=1\nMAINPID=")
	until("WATCHDOG=1")
	hangUp(t, in)
	until("RELOADING=1\nMONOTONIC_USEC=")
	until("READY=1")
	if err := in.Stop(ctx(t)); err != nil {
		t.Error(err)
	}
	until("STOPPING=1")
}
