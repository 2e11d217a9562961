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
