package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	crowdClients  = 900
	crowdDuration = 15 * time.Second
	crowdPause    = 10 * time.Millisecond // of a client whose connection was closed
	wholeBody     = 64 << 10              // the largest body
)

// crowdOfBodies runs bad clients in a process of their own: each sends a whole request with the
// largest body, reads what it is sent until the sidecar closes, and does the same again.
// Arguments: the sidecar's address.
func crowdOfBodies(args []string) {
	body := bytes.Repeat([]byte("x"), wholeBody)
	end := time.Now().Add(crowdDuration)
	var clients sync.WaitGroup
	for client := range crowdClients {
		clients.Go(func() {
			for ; time.Now().Before(end); time.Sleep(crowdPause) {
				conn, err := net.Dial("tcp", args[0])
				if err != nil {
					continue
				}
				_ = conn.SetDeadline(end)
				head := fmt.Sprintf("POST /start-rec HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: %08x%08x\r\nX-Deadline: 1.2\r\nContent-Length: %d\r\n\r\n", client, rand.Uint32(), wholeBody)
				text := net.Buffers{[]byte(head), body}
				if _, err := text.WriteTo(conn); err == nil {
					_, _ = io.Copy(io.Discard, conn)
				}
				conn.Close()
			}
		})
	}
	clients.Wait()
}

// usual is a request of a usual client.
type usual struct {
	id      string
	written time.Duration // since the start of the run
	took    time.Duration // from its last byte to the whole answer; 0 if none came
	status  int
	shut    bool // the connection was closed without an answer
}

// send sends a roster on a new connection and waits for its answer.
func (u *usual) send(r *run, address string) {
	u.id = fmt.Sprintf("%016x", rand.Uint64())
	conn, err := net.DialTimeout("tcp", address, 3*time.Second)
	if err != nil {
		u.shut = true
		r.note("connect", "roster %s: %v", u.id, err)
		return
	}
	defer conn.Close()
	if _, err := fmt.Fprintf(conn, "GET /roster HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: %s\r\nX-Deadline: 0.5\r\n\r\n", u.id); err != nil {
		u.shut = true
		return
	}
	began := time.Now()
	u.written = began.Sub(r.start)
	r.note("sent", "roster %s", u.id)
	_ = conn.SetReadDeadline(began.Add(5 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err == nil {
		u.status, u.took = response.StatusCode, time.Since(began)
	}
	u.shut = err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	r.note("answered", "roster %s: %d after %v: %v", u.id, u.status, u.took.Round(time.Millisecond), err)
}

// crowd: usual requests beside a crowd of clients that send whole requests with the largest body.
func crowd(r *run) verdict {
	const late = 500*time.Millisecond + 500*time.Millisecond + 50*time.Millisecond // its time, half a second, and the 50 ms of sockets
	const every = 25 * time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		time.Sleep(39*time.Millisecond + time.Duration(rand.Int64N(int64(32*time.Millisecond))))
		_, _ = io.WriteString(w, "done "+request.Header.Get("X-Request-Id"))
	}))
	d := r.startDiscovery(1, []endpoint{{Name: "s1", Address: listener.Addr().String(), Zone: "a", Type: "std", Status: "active", Weight: 1}})
	listen := freeAddress()
	config := strings.Replace(sidecarConfig("n1", listen, d.address), `"memory_mb":128`, `"memory_mb":64`, 1)
	r.startSidecar(listen, r.write("n1.json", config), "")
	time.Sleep(2500 * time.Millisecond)
	if r.trouble {
		r.note("trouble", "%d clients come", crowdClients)
		r.startCommand("crowd", nil, nil, os.Args[0], "crowd", listen)
	}
	var all []*usual
	var requests sync.WaitGroup
	for end := time.Now().Add(crowdDuration); time.Now().Before(end); time.Sleep(every) {
		u := &usual{}
		all = append(all, u)
		requests.Go(func() { u.send(r, listen) })
	}
	requests.Wait()
	unanswered, afterTime, shut, refused := 0, 0, 0, 0
	for _, u := range all {
		switch {
		case u.shut:
			shut++
		case u.took == 0:
			unanswered++
			r.note("broken", "roster %s, written at %v, got no answer", u.id, u.written)
		case u.took > late:
			afterTime++
			r.note("broken", "roster %s, written at %v, was answered %d after %v", u.id, u.written, u.status, u.took)
		case u.status != http.StatusOK:
			refused++
		}
	}
	text := fmt.Sprintf("of %d usual requests %d got no answer, %d one later than half a second after their time, %d were refused or failed, %d were shut without one", len(all), unanswered, afterTime, refused, shut)
	if unanswered+afterTime > 0 {
		return verdict{1, text}
	}
	return verdict{0, text}
}
