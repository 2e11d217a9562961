package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// holdingServer is a call server that answers when it is let; it counts what came.
func holdingServer(t *testing.T, let <-chan struct{}) (addr string, seen *atomic.Int64) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	seen = new(atomic.Int64)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		seen.Add(1)
		<-let
		io.WriteString(w, "ok")
	})}
	go srv.Serve(ln)
	t.Cleanup(func() { srv.Close() })
	return ln.Addr().String(), seen
}

// freeFile is the lowest number of a descriptor that the program does not use: under a
// limit of that it gets no further one.
func (p *program) freeFile(t *testing.T) (n int) {
	t.Helper()
	for {
		if _, err := os.Lstat(fmt.Sprintf("/proc/%d/fd/%d", p.cmd.Process.Pid, n)); err != nil {
			return n
		}
		n++
	}
}

// cpu is the processor time that the program has used, in ticks of 10 ms.
func (p *program) cpu(t *testing.T) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	f := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+2:]))
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	return user + system
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never came: %s", what)
		}
	}
}

// The process's descriptors are used up, though its configuration says otherwise: accepts
// and dials fail. It neither spins nor ends, what it has taken gets its final answer, idle
// clients make room for who asks, and no call server is put out for it.
func TestDescriptorsRunOut(t *testing.T) {
	let := make(chan struct{})
	var list []string
	var seen []*atomic.Int64
	for i := range 2 {
		addr, n := holdingServer(t, let)
		seen = append(seen, n)
		list = append(list, fmt.Sprintf(`{"name":"s%d","address":%q,"zone":"a","group":1,"status":"active","since_ms":0}`, i, addr))
	}
	p := startWith(t, func(s string) string {
		s = strings.Replace(s, `"deadline-us":1000000`, `"deadline-us":60000000,"aim-us":60000000`, 1)
		s = strings.Replace(s, `"try-limit":1`, `"try-limit":3`, 1)
		return strings.Replace(s, `"settings":`, `"known":{"index":1,"snapshot":true,"endpoints":[`+strings.Join(list, ",")+`]},"settings":`, 1)
	})
	dial := func() net.Conn {
		c, err := net.Dial("tcp", p.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(patience))
		return c
	}
	ask := func(c net.Conn, id string) {
		fmt.Fprintf(c, "GET /read HTTP/1.1\r\nHost: a\r\nX-Request-Id: %s\r\n\r\n", id)
	}
	up := func(c net.Conn) *http.Response {
		io.WriteString(c, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Body.Close()
		return r
	}
	asker := dial()
	up(asker)
	for range 4 {
		up(dial()) // and stays, idle
	}
	var old unix.Rlimit
	few := unix.Rlimit{Cur: uint64(p.freeFile(t))}
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, nil, &old); err != nil {
		t.Fatal(err)
	}
	few.Max = old.Max
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &few, nil); err != nil {
		t.Fatal(err)
	}
	ask(asker, "no-descriptor")
	if r, err := http.ReadResponse(bufio.NewReader(asker), nil); err != nil || r.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("without a descriptor for a dial: %v %v, want a refusal", r, err)
	}
	before, began := p.cpu(t), time.Now()
	var waiting []net.Conn
	for range 6 { // more than the idle ones leave room for
		c := dial()
		io.WriteString(c, "G") // within a request: not to be given up for another
		waiting = append(waiting, c)
	}
	eventually(t, "half a second", func() bool { return time.Since(began) > 500*time.Millisecond })
	if used, most := p.cpu(t)-before, int(time.Since(began)/(20*time.Millisecond)); used > most {
		t.Errorf("it used %d ticks while nothing could be accepted, want %d, half of the time, at most", used, most)
	}
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &old, nil); err != nil {
		t.Fatal(err)
	}
	for _, c := range waiting {
		c.Close()
	}
	for i := range 6 {
		c := dial()
		ask(c, fmt.Sprint("held-", i))
	}
	eventually(t, "requests at both call servers: none was put out", func() bool { return seen[0].Load() > 0 && seen[1].Load() > 0 })
	close(let)
	p.wantUp(t)
}
