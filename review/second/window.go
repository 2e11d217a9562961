package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// pod is a group of call servers that drop the repeats of a key for window.
type pod struct {
	window time.Duration

	mu   sync.Mutex
	runs map[string][]podRun // by idempotency key
}

// podRun is a run of a request that had an effect.
type podRun struct {
	server string
	began  time.Time
	done   chan struct{}
}

// begin returns the run of a key: a new one, or that which the pod remembers.
func (p *pod) begin(key, server string) (current podRun, repeat bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	runs := p.runs[key]
	if n := len(runs); n > 0 && time.Since(runs[n-1].began) < p.window {
		return runs[n-1], true
	}
	current = podRun{server, time.Now(), make(chan struct{})}
	p.runs[key] = append(runs, current)
	return current, false
}

// httpCallServer is a call server over HTTP.
type httpCallServer struct {
	r    *run
	name string
	pod  *pod
}

// ServeHTTP begins a request when its last byte has come.
func (s *httpCallServer) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if _, err := io.ReadAll(request.Body); err != nil {
		return
	}
	id, key := request.Header.Get("X-Request-Id"), request.Header.Get("Idempotency-Key")
	current, repeat := s.pod.begin(key, s.name)
	if repeat {
		s.r.note(s.name, "repeat of key %s, request %s: dropped", key, id)
		<-current.done
	} else {
		s.r.note(s.name, "run key %s, request %s", key, id)
		time.Sleep(39*time.Millisecond + time.Duration(rand.Int64N(int64(32*time.Millisecond))))
		close(current.done)
	}
	_, _ = io.WriteString(w, "done "+key)
}

// link is the network between the sidecar and a call server. While it is cut, open connections
// are silent: bytes are delivered when it is mended, as TCP does, unless the sender has closed or
// reset the connection. New connections are reset when it is mended.
type link struct {
	listener net.Listener
	server   string

	mu   sync.Mutex
	open chan struct{} // closed while the link is not cut
}

func startLink(server string) *link {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	l := &link{listener: listener, server: server, open: make(chan struct{})}
	close(l.open)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.carry(conn.(*net.TCPConn))
		}
	}()
	return l
}

func (l *link) cut() {
	l.mu.Lock()
	l.open = make(chan struct{})
	l.mu.Unlock()
}

func (l *link) mend() {
	l.mu.Lock()
	close(l.open)
	l.mu.Unlock()
}

// wait waits until the link is not cut. It reports whether it was.
func (l *link) wait() (wasCut bool) {
	l.mu.Lock()
	open := l.open
	l.mu.Unlock()
	select {
	case <-open:
		return false
	default:
	}
	<-open
	return true
}

// carry carries the bytes of a connection.
func (l *link) carry(near *net.TCPConn) {
	defer near.Close()
	if l.wait() {
		_ = near.SetLinger(0)
		return
	}
	conn, err := net.Dial("tcp", l.server)
	if err != nil {
		return
	}
	far := conn.(*net.TCPConn)
	defer far.Close()
	ended := make(chan struct{}, 2)
	for _, way := range [][2]*net.TCPConn{{near, far}, {far, near}} {
		go func() {
			l.copy(way[0], way[1])
			ended <- struct{}{}
		}()
	}
	<-ended
}

// copy copies the bytes of one direction until its end. It reads nothing while the link is cut.
func (l *link) copy(from, to *net.TCPConn) {
	raw, err := from.SyscallConn()
	if err != nil {
		return
	}
	buffer := make([]byte, 64<<10)
	for {
		if awaitReadable(raw) != nil {
			return
		}
		if l.wait() && !established(raw) {
			return // what its sender has given up is not sent again
		}
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// awaitReadable waits until a read of a socket would return.
func awaitReadable(raw syscall.RawConn) error {
	return raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return !errors.Is(err, syscall.EAGAIN)
	})
}

// established reports whether the peer has neither closed nor reset a connection.
func established(raw syscall.RawConn) bool {
	const tcpEstablished = 1
	state := 0
	_ = raw.Control(func(fd uintptr) {
		info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
		if err == nil {
			state = info & 0xff // tcpi_state is the first byte
		}
	})
	return state == tcpEstablished
}

// window: a pod is cut off for less than 2 s. No join may run again after the time for which its
// pod drops repeats.
func window(r *run) verdict {
	const (
		dedupWindow = time.Second
		slack       = 50*time.Millisecond + 150*time.Millisecond // of sockets, and of a sidecar that is held up
		perSecond   = 100
		cuts        = 6
		cutLength   = 1400 * time.Millisecond
	)
	pods := []*pod{{window: dedupWindow, runs: map[string][]podRun{}}, {window: dedupWindow, runs: map[string][]podRun{}}}
	var list []endpoint
	var links []*link
	for i := range 4 {
		name := fmt.Sprintf("s%d", i+1)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must(err)
		server := &http.Server{Handler: &httpCallServer{r, name, pods[i/2]}, IdleTimeout: 5 * time.Second}
		go server.Serve(listener)
		links = append(links, startLink(listener.Addr().String()))
		list = append(list, endpoint{Name: name, Address: links[i].listener.Addr().String(), Zone: "a", Type: "std", Group: i / 2, Status: "active", Weight: 1})
	}
	d := r.startDiscovery(1, list)
	listen := freeAddress()
	config := sidecarConfig("n1", listen, d.address)
	config = strings.Replace(config, `"late-worth":0,"worth":8,"window-us":4000000`, fmt.Sprintf(`"late-worth":0.5,"worth":8,"window-us":%d`, dedupWindow.Microseconds()), 1)
	r.startSidecar(listen, r.write("n1.json", config), "")
	time.Sleep(2500 * time.Millisecond)
	if r.trouble {
		go func() {
			for range cuts {
				time.Sleep(3 * time.Second)
				r.note("trouble", "the pod of s1 and s2 is cut off")
				links[0].cut()
				links[1].cut()
				time.Sleep(cutLength)
				r.note("trouble", "the pod is back")
				links[0].mend()
				links[1].mend()
			}
		}()
	}
	served, sent := r.joins(listen, perSecond, cuts*(3*time.Second+cutLength)+3*time.Second)
	if served < sent/2 {
		panic(fmt.Sprintf("only %d of %d requests were served", served, sent))
	}
	again, total := 0, 0
	for _, p := range pods {
		p.mu.Lock()
		for key, runs := range p.runs {
			total++
			for _, later := range runs[1:] {
				if after := later.began.Sub(runs[0].began); after > dedupWindow+slack {
					again++
					r.note("broken", "key %s ran on %s and again on %s, %v later", key, runs[0].server, later.server, after.Round(time.Millisecond))
				}
			}
		}
		p.mu.Unlock()
	}
	if again > 0 {
		return broken("%d of %d joins ran again after the %v for which their pod drops repeats", again, total, dedupWindow)
	}
	return held("%d joins: none ran again after its pod's time; %d of %d served", total, served, sent)
}

// joins sends keyed requests for a time and returns how many were served and sent.
func (r *run) joins(listen string, perSecond int, duration time.Duration) (served, sent int) {
	client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 200}}
	var mu sync.Mutex
	var requests sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for end := time.Now().Add(duration); time.Now().Before(end); <-ticker.C {
		sent++
		id, key := fmt.Sprintf("%016x", rand.Uint64()), fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64())
		requests.Go(func() {
			request, err := http.NewRequest(http.MethodPost, "http://"+listen+"/join", strings.NewReader("join"))
			must(err)
			for name, value := range map[string]string{"X-Request-Id": id, "Idempotency-Key": key, "X-Key": key[:8], "X-Deadline": "2"} {
				request.Header.Set(name, value)
			}
			r.note("sent", "join %s, key %s", id, key)
			status := 0
			if response, err := client.Do(request); err == nil {
				if _, err := bufio.NewReader(response.Body).WriteTo(io.Discard); err == nil {
					status = response.StatusCode
				}
				response.Body.Close()
			}
			r.note("answered", "join %s: %d", id, status)
			mu.Lock()
			defer mu.Unlock()
			if status == http.StatusOK {
				served++
			}
		})
	}
	requests.Wait()
	return served, sent
}
