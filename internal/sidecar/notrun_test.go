package sidecar

import (
	"fmt"
	"net"
	"net/http"
	"testing"
)

// A 503 proves that a request has not run only where it says so: without
// X-Not-Run one that must not run twice is not sent again, with it it is.
func TestOnlyXNotRunProves(t *testing.T) {
	t.Parallel()
	for _, proof := range []string{"", "X-Not-Run: 0\r\n", "X-Not-Run: 1\r\n"} {
		turnAway := func(c net.Conn, r *http.Request, nth int64) bool {
			_, err := fmt.Fprintf(c, "HTTP/1.1 503 x\r\n%sContent-Length: 0\r\n\r\n", proof)
			return err == nil
		}
		one, two := startUpstream(t, turnAway), startUpstream(t, turnAway)
		s := startSidecar(t, one.addr(), two.addr())
		_, text := unsafeRequest("body")
		r, _ := exchange(t, s, text)
		again := one.seen.Load()+two.seen.Load() > 1
		harmless := proof == "X-Not-Run: 1\r\n"
		if again != harmless {
			t.Errorf("%q: sent again %v", proof, again)
		}
		if refused := r != nil && r.StatusCode == 503; refused != harmless {
			t.Errorf("%q: refused %v", proof, refused)
		}
	}
}
