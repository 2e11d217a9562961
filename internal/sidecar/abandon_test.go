package sidecar

import (
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// An attempt that is given up ends with a reset: a plain close would leave what
// is still on its way to be delivered, and run, whenever the way is whole again.
func TestGivenUpAttemptsAreReset(t *testing.T) {
	t.Parallel()
	ended := make(chan error, 8)
	up := startUpstream(t, func(c net.Conn, r *http.Request, _ int64) bool {
		io.Copy(io.Discard, r.Body)
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		_, err := c.Read(make([]byte, 1)) // it answers nothing
		ended <- err
		return false
	})
	s := startSidecar(t, up.addr())
	c := dialClient(t, s)
	text := "POST /act HTTP/1.1\r\nHost: a\r\nX-Request-Id: " + newID() + "\r\nX-Deadline: 0.3\r\nContent-Length: 1\r\n\r\nx"
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the upstream saw %v, want a reset", err)
	}
}
