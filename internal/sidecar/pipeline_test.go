package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// disconnectTolerance is how long after a client's close an attempt may still begin.
	disconnectTolerance = 150 * time.Millisecond
	upstreamDelay       = 30 * time.Millisecond
)

// upstreamArrivals records when each request arrives at an upstream.
type upstreamArrivals struct {
	mu    sync.Mutex
	times map[string][]time.Time // by request ID
}

func (a *upstreamArrivals) handle(c net.Conn, r *http.Request, _ int64) bool {
	a.mu.Lock()
	id := r.Header.Get("X-Request-Id")
	a.times[id] = append(a.times[id], time.Now())
	a.mu.Unlock()
	time.Sleep(upstreamDelay)
	return echoRequestID(c, r, 0)
}

// laterThan returns how many attempts began after a time.
func (a *upstreamArrivals) laterThan(end time.Time) (count int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, times := range a.times {
		for _, at := range times {
			if at.After(end) {
				count++
			}
		}
	}
	return count
}

// Guards against requests that are sent on for a client that has left: one that writes far ahead
// and closes with much still unread. With many bytes ahead the close itself waits behind them.
func TestNoAttemptBeginsAfterACloseBehindUnreadRequests(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		requests, padding int
		readsAnswers      bool // a close over unread answers is a reset, otherwise it is a FIN
	}{
		"few requests, FIN":    {20, 0, true},
		"few requests, reset":  {20, 0, false},
		"many requests, FIN":   {4000, 2000, true},
		"many requests, reset": {4000, 2000, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			arrivals := &upstreamArrivals{times: map[string][]time.Time{}}
			s := startSidecar(t, startUpstream(t, arrivals.handle).addr())
			client := dialClient(t, s)
			go func() {
				for range c.requests {
					text := fmt.Sprintf("GET /read HTTP/1.1\r\nHost: a\r\nX-Request-Id: %s\r\nX-Deadline: 6\r\nX-Padding: %s\r\n\r\n", newID(), strings.Repeat("x", c.padding))
					if _, err := io.WriteString(client, text); err != nil {
						return // closed
					}
				}
			}()
			if c.readsAnswers {
				go func() { _, _ = io.Copy(io.Discard, client) }()
			}
			time.Sleep(5 * upstreamDelay)
			client.Close()
			closed := time.Now()
			time.Sleep(time.Second)
			if late := arrivals.laterThan(closed.Add(disconnectTolerance)); late > 0 {
				t.Errorf("%d attempts began more than %v after the client's close", late, disconnectTolerance)
			}
		})
	}
}

// Guards against an ID that runs twice because it comes again after its client has left, behind
// more IDs than the sidecar remembers.
func TestIDOfADepartedClientIsRemembered(t *testing.T) {
	t.Parallel()
	arrivals := &upstreamArrivals{times: map[string][]time.Time{}}
	s := startSidecar(t, startUpstream(t, arrivals.handle).addr())
	id := newID()
	first := dialClient(t, s)
	send(t, first, newActRequest(id))
	eventually(t, "the request is at the upstream", func() bool {
		arrivals.mu.Lock()
		defer arrivals.mu.Unlock()
		return len(arrivals.times[id]) == 1
	})
	first.Close()
	flood := dialClient(t, s)
	answers := bufio.NewReader(flood)
	const others, batch = 10_000, 50
	for i := 0; i < others; i += batch {
		var text strings.Builder
		for range batch {
			text.WriteString("GET /read HTTP/1.1\r\nHost: a\r\nX-Request-Id: " + newID() + "\r\nX-Deadline: 0\r\n\r\n")
		}
		send(t, flood, text.String())
		for range batch {
			r, err := http.ReadResponse(answers, nil)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				t.Fatal(err)
			}
		}
	}
	if r, _ := exchange(t, s, newActRequest(id)); r == nil || r.StatusCode != http.StatusConflict {
		t.Errorf("got %v for the ID of a departed client, want 409", r)
	}
	time.Sleep(2 * upstreamDelay)
	if runs := len(arrivals.times[id]); runs != 1 {
		t.Errorf("the request ran %d times, want once", runs)
	}
}

// sendBatch writes requests of the idempotent class at once and returns their IDs.
func sendBatch(t *testing.T, c net.Conn, count int, deadline string) (sent []string) {
	t.Helper()
	var text strings.Builder
	for range count {
		id := newID()
		sent = append(sent, id)
		text.WriteString("GET /read HTTP/1.1\r\nHost: a\r\nX-Request-Id: " + id + "\r\nX-Deadline: " + deadline + "\r\n\r\n")
	}
	send(t, c, text.String())
	return sent
}

// readAnswer reads the next answer on a connection.
func readAnswer(t *testing.T, reader *bufio.Reader) (*http.Response, string) {
	t.Helper()
	r, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatal(err)
	}
	return r, string(body)
}

// Guards against requests that were read behind another and get no answer because a drain closes
// the connection after the first answer.
func TestDrainAnswersRequestsWrittenAhead(t *testing.T) {
	t.Parallel()
	arrived, release := make(chan bool, 10), make(chan bool)
	s := startSidecar(t, startUpstream(t, func(c net.Conn, r *http.Request, _ int64) bool {
		arrived <- true
		<-release
		return echoRequestID(c, r, 0)
	}).addr())
	client := dialClient(t, s)
	batch := sendBatch(t, client, 4, "6")
	<-arrived
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		s.Drain()
	}()
	eventually(t, "the drain", s.httpServer.Draining)
	close(release)
	reader := bufio.NewReader(client)
	for i, id := range batch {
		if r, body := readAnswer(t, reader); r.StatusCode != http.StatusOK || body != id {
			t.Errorf("answer %d: found %v %q, want 200 %s", i+1, r, body, id)
		}
	}
	awaitClosed(t, drained)
}

// Guards against answers that are held back until the last request of a batch is executed: the
// second request is answered only after the client has read the first answer.
func TestAnswersOfABatchAreNotHeldBack(t *testing.T) {
	t.Parallel()
	firstRead := make(chan bool)
	s := startSidecar(t, startUpstream(t, func(c net.Conn, r *http.Request, nth int64) bool {
		if nth > 1 {
			<-firstRead
		}
		return echoRequestID(c, r, 0)
	}).addr())
	client := dialClient(t, s)
	batch := sendBatch(t, client, 2, "6")
	reader := bufio.NewReader(client)
	if _, body := readAnswer(t, reader); body != batch[0] {
		t.Errorf("found %q, want the first request's answer", body)
	}
	close(firstRead)
	if _, body := readAnswer(t, reader); body != batch[1] {
		t.Errorf("found %q, want the second request's answer", body)
	}
}

// Guards against deadlines that begin when a request's turn comes: the requests of a batch arrive
// together, and the upstream answers none of them.
func TestDeadlinesOfABatchCountFromItsArrival(t *testing.T) {
	t.Parallel()
	const deadline, grace = 400 * time.Millisecond, 500 * time.Millisecond
	end := make(chan bool)
	t.Cleanup(func() { close(end) })
	s := startSidecar(t, startUpstream(t, func(net.Conn, *http.Request, int64) bool {
		<-end
		return false
	}).addr())
	client := dialClient(t, s)
	sentAt := time.Now()
	batch := sendBatch(t, client, 4, "0.4")
	reader := bufio.NewReader(client)
	for i := range batch {
		readAnswer(t, reader)
		if after := time.Since(sentAt); after > deadline+grace {
			t.Errorf("answer %d came %v after its request, want at most %v", i+1, after, deadline+grace)
		}
	}
}

// Guards against an ID that is added behind the checks of the head: in a trailer.
func TestTrailersAreNotForwarded(t *testing.T) {
	t.Parallel()
	heads := make(chan http.Header, 1)
	s := startSidecar(t, startUpstream(t, func(c net.Conn, r *http.Request, _ int64) bool {
		heads <- r.Header
		return echoRequestID(c, r, 0)
	}).addr())
	id := newID()
	r, body := exchange(t, s, "POST /act HTTP/1.1\r\nHost: a\r\nX-Request-Id: "+id+"\r\nX-Deadline: 6\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-Request-Id: other\r\nX-More: 1\r\n\r\n")
	if r == nil || r.StatusCode != http.StatusOK || body != id {
		t.Fatalf("found %v %q, want 200 %s", r, body, id)
	}
	head := <-heads
	if got := head.Values("X-Request-Id"); len(got) != 1 || got[0] != id {
		t.Errorf("the upstream got the IDs %v, want %s alone", got, id)
	}
	if got := head.Get("X-More"); got != "" {
		t.Errorf("the upstream got X-More: %s from the trailer", got)
	}
}
