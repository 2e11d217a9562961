package sidecar

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// A server at its limit of connections rejects every request on a further one, for as
// long as that stays open: it is used once. This covers load balancers, too, that pass a
// connection to a server that can't serve. Where a full queue rejected the first request,
// it costs a connection.
func TestConnectionWithAnImmediateRejectionIsNotReused(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	first := ""              // the one connection that is served
	used := map[string]int{} // requests on each of the others
	up := startUpstream(t, func(c net.Conn, r *http.Request, _ int64) bool {
		from := c.RemoteAddr().String()
		mu.Lock()
		if first == "" {
			first = from
		}
		over := from != first
		if over {
			used[from]++
		}
		mu.Unlock()
		if over {
			_, err := fmt.Fprint(c, "HTTP/1.1 503 x\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			return err == nil
		}
		time.Sleep(20 * time.Millisecond)
		return good(c, r, 0)
	})
	s := startSidecar(t, up.addr())
	for range 6 {
		var wg sync.WaitGroup
		for range 3 {
			wg.Go(func() {
				_, text := unsafeRequest("body")
				exchange(t, s, text)
			})
		}
		wg.Wait()
		time.Sleep(10 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	if len(used) == 0 {
		t.Fatal("no second connection was opened: this shows nothing")
	}
	for from, n := range used {
		if n > 1 {
			t.Errorf("%d requests on the connection from %s, which is over what the server takes", n, from)
		}
	}
}
