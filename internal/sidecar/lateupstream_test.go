package sidecar

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// lateUpstream is an upstream to which no connection is established until accept is called:
// its queue of connections is full, and the kernel drops the SYN, which is repeated a
// second later.
type lateUpstream struct {
	upstreamServer
	fill []net.Conn
}

func startLate(t *testing.T, serve func(c net.Conn, r *http.Request, nth int64) bool) *lateUpstream {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "late")
	defer func() {
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	}()
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	ln, err := net.FileListener(f)
	if err != nil {
		t.Fatal(err)
	}
	u := &lateUpstream{upstreamServer: upstreamServer{ln: ln, serve: serve}}
	t.Cleanup(func() {
		ln.Close()
		for _, c := range u.fill {
			c.Close()
		}
	})
	for len(u.fill) < 8 {
		c := u.dialUnlessFull(t)
		if c == nil {
			return u
		}
		u.fill = append(u.fill, c)
	}
	t.Fatal("the queue of connections does not fill")
	return nil
}

// dialUnlessFull connects to the upstream. It returns nil where the kernel drops the
// connection's SYN, which it shows by its state: on a loaded machine a dial may time out
// although the queue has a place.
func (u *lateUpstream) dialUnlessFull(t *testing.T) net.Conn {
	t.Helper()
	port := u.ln.Addr().(*net.TCPAddr).Port
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	type result struct {
		conn net.Conn
		err  error
	}
	dialed := make(chan result, 1)
	go func() {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, "tcp", u.addr())
		dialed <- result{conn, err}
	}()
	for synSent := 0; synSent < 2; {
		select {
		case r := <-dialed:
			if r.err != nil {
				t.Fatal(r.err)
			}
			return r.conn
		case <-time.After(20 * time.Millisecond):
		}
		if sockets(t, port, tcpSynSent) > 0 {
			synSent++
		}
	}
	cancel()
	if r := <-dialed; r.err == nil {
		return r.conn // it was established after all
	}
	eventually(t, "the end of the test's own dial", func() bool { return sockets(t, port, tcpSynSent) == 0 })
	return nil
}

// accept accepts what waits in the queue, and all later connections.
func (u *lateUpstream) accept() {
	for _, c := range u.fill {
		c.Close()
	}
	go func() {
		for {
			c, err := u.ln.Accept()
			if err != nil {
				return
			}
			u.conns.Add(1)
			go u.run(c)
		}
	}()
}

// awaitDial waits until a connection to it has been requested and dropped.
func (u *lateUpstream) awaitDial(t *testing.T) {
	t.Helper()
	port := u.ln.Addr().(*net.TCPAddr).Port
	eventually(t, "a connection on its way", func() bool { return sockets(t, port, tcpSynSent) > 0 })
}

// sockets counts the connections of this machine to a port that are in a state,
// localSockets those from it.
func sockets(t *testing.T, port, state int) int {
	t.Helper()
	return inState(t, 2, port, state)
}

func localSockets(t *testing.T, port, state int) int {
	t.Helper()
	return inState(t, 1, port, state)
}

func inState(t *testing.T, end, port, state int) (n int) {
	t.Helper()
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		f := strings.Fields(line)
		if len(f) > 3 && strings.HasSuffix(f[end], fmt.Sprintf(":%04X", port)) && f[3] == fmt.Sprintf("%02X", state) {
			n++
		}
	}
	return n
}
