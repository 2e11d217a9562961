package sidecar

import (
	"io"
	"net"
	"testing"
)

// send writes to a connection that the sidecar has to keep open meanwhile.
func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Errorf("sending %.40q: %v", text, err)
	}
}

// trySend writes to a peer that may have closed the connection; what arrived is checked
// where it is read.
func trySend(w io.Writer, text string) { _, _ = io.WriteString(w, text) }

// stopAtEnd stops a sidecar that the test may have drained, at the end of the test.
func stopAtEnd(t *testing.T, s *Sidecar) {
	t.Helper()
	t.Cleanup(func() {
		_ = s.httpServer.Listener().Close() // fails where a drain has closed it
		s.cancel()
	})
}

// closeAtEnd closes something at the end of the test.
func closeAtEnd(t *testing.T, closer io.Closer) {
	t.Helper()
	t.Cleanup(func() {
		if err := closer.Close(); err != nil {
			t.Logf("closing: %v", err)
		}
	})
}
