package sidecar

import (
	"net"
	"net/http"
	"strings"
	"testing"
)

// What is outside the protocol is told so at once and reaches no upstream.
func TestOutsideTheProtocol(t *testing.T) {
	t.Parallel()
	up := startUpstream(t, good)
	s := startSidecar(t, up.addr())
	const act = "POST /act HTTP/1.1\r\nHost: a\r\n"
	for name, text := range map[string]string{
		"no request":         "\x16\x03\x01\x02\r\n\r\n",
		"endless head":       "GET /read HTTP/1.1\r\n" + strings.Repeat("X-A: aaaaaaaa\r\n", 5000),
		"unknown class":      "GET /other HTTP/1.1\r\nHost: a\r\nX-Request-Id: ID\r\n\r\n",
		"no class":           "GET / HTTP/1.1\r\nHost: a\r\nX-Request-Id: ID\r\n\r\n",
		"space in the path":  "GET /read/a b HTTP/1.1\r\nHost: a\r\nX-Request-Id: ID\r\n\r\n",
		"no id":              "GET /read HTTP/1.1\r\nHost: a\r\n\r\n",
		"two ids":            "GET /read HTTP/1.1\r\nHost: a\r\nX-Request-Id: ID\r\nX-Request-Id: b\r\n\r\n",
		"no deadline":        "GET /read HTTP/1.1\r\nHost: a\r\nX-Request-Id: ID\r\nX-Deadline: soon\r\n\r\n",
		"empty deadline":     "GET /read HTTP/1.1\r\nHost: a\r\nX-Request-Id: ID\r\nX-Deadline: \r\n\r\n",
		"deadline NaN":       "GET /read HTTP/1.1\r\nHost: a\r\nX-Request-Id: ID\r\nX-Deadline: NaN\r\n\r\n",
		"negative deadline":  "GET /read HTTP/1.1\r\nHost: a\r\nX-Request-Id: ID\r\nX-Deadline: -1\r\n\r\n",
		"huge deadline":      "GET /read HTTP/1.1\r\nHost: a\r\nX-Request-Id: ID\r\nX-Deadline: 99999\r\n\r\n",
		"wrong method":       "GET /act HTTP/1.1\r\nHost: a\r\nX-Request-Id: ID\r\n\r\n",
		"a read with a body": "GET /read HTTP/1.1\r\nHost: a\r\nX-Request-Id: ID\r\nContent-Length: 1\r\n\r\na",
		"keyed, no key":      "POST /put HTTP/1.1\r\nHost: a\r\nX-Request-Id: ID\r\nContent-Length: 0\r\n\r\n",
		"length no number":   act + "X-Request-Id: ID\r\nContent-Length: x\r\n\r\na",
		"negative length":    act + "X-Request-Id: ID\r\nContent-Length: -5\r\n\r\na",
		"two lengths":        act + "X-Request-Id: ID\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\na",
		"length and coding":  act + "X-Request-Id: ID\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + readRequest("ID2"),
		"coding and length":  act + "X-Request-Id: ID\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n" + readRequest("ID2"),
		"identity":           act + "X-Request-Id: ID\r\nTransfer-Encoding: identity\r\n\r\n" + readRequest("ID2"),
		"two codings":        act + "X-Request-Id: ID\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n",
	} {
		text = strings.NewReplacer("X-Request-Id: ID2", "X-Request-Id: "+newID(), "X-Request-Id: ID", "X-Request-Id: "+newID()).Replace(text)
		if r, body := exchange(t, s, text); r != nil && (r.StatusCode < 400 || r.StatusCode > 499) {
			t.Errorf("%s: answered %d %q", name, r.StatusCode, body)
		}
	}
	if n := up.seen.Load(); n > 0 {
		t.Errorf("%d requests reached the upstream", n)
	}
	wantServed(t, s)
}

// An id comes with one request, while that is open and after it.
func TestIDOnce(t *testing.T) {
	t.Parallel()
	asked, answer := make(chan bool, 1), make(chan bool)
	up := startUpstream(t, func(c net.Conn, r *http.Request, _ int64) bool {
		asked <- true
		<-answer
		return good(c, r, 0)
	})
	s := startSidecar(t, up.addr())
	id := newID()
	first := dialClient(t, s)
	send(t, first, readRequest(id))
	<-asked
	if r, _ := exchange(t, s, readRequest(id)); r == nil || r.StatusCode != http.StatusConflict {
		t.Errorf("while it is open: %v", r)
	}
	close(answer)
	if r, body := clientAnswer(t, first); r == nil || r.StatusCode != 200 || body != id {
		t.Errorf("the first: %v %q", r, body)
	}
	if r, _ := exchange(t, s, readRequest(id)); r == nil || r.StatusCode != http.StatusConflict {
		t.Errorf("after its answer: %v", r)
	}
	if n := up.seen.Load(); n != 1 {
		t.Errorf("it ran %d times", n)
	}
}
