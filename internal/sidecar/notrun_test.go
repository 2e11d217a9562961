package sidecar

import (
	"fmt"
	"net"
	"net/http"
	"testing"
)

// A 503 proves that a request was not executed only with X-Not-Run: without it a
// non-idempotent request is not retried.
func TestOnlyXNotRunProves(t *testing.T) {
	t.Parallel()
	for _, proof := range []string{"", "X-Not-Run: 0\r\n", "X-Not-Run: 1\r\n"} {
		reject := func(c net.Conn, r *http.Request, nth int64) bool {
			_, err := fmt.Fprintf(c, "HTTP/1.1 503 x\r\n%sContent-Length: 0\r\n\r\n", proof)
			return err == nil
		}
		one, two := startUpstream(t, reject), startUpstream(t, reject)
		s := startSidecar(t, one.addr(), two.addr())
		_, text := unsafeRequest("body")
		r, _ := exchange(t, s, text)
		retried := one.seen.Load()+two.seen.Load() > 1
		harmless := proof == "X-Not-Run: 1\r\n"
		if retried != harmless {
			t.Errorf("%q: found retried %v", proof, retried)
		}
		if rejected := r != nil && r.StatusCode == 503; rejected != harmless {
			t.Errorf("%q: found rejected %v", proof, rejected)
		}
	}
}
