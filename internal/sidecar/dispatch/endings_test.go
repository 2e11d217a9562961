package dispatch

import (
	"fmt"
	"testing"
	"time"

	"otterspring/balance"
)

// lingeringUpstream keeps the goroutine of each attempt until release is closed.
type lingeringUpstream struct {
	noopUpstream
	started chan *Attempt
	release chan struct{}
}

func (u *lingeringUpstream) Run(attempt *Attempt) {
	u.started <- attempt
	<-u.release
}

// noDeadlines is a client connection without a socket.
type noDeadlines struct{}

func (noDeadlines) SetDeadline(time.Time) error     { return nil }
func (noDeadlines) SetReadDeadline(time.Time) error { return nil }

// Guards against goroutines without bound: one client that sent requests at full speed left
// thousands of goroutines of attempts that had ended.
func TestEndedAttemptsAreAwaited(t *testing.T) {
	upstream := &lingeringUpstream{started: make(chan *Attempt, 1), release: make(chan struct{})}
	dispatcher, err := New(Settings{
		Balance:      balance.Settings{MaxAttempts: 1, InitialCapacity: 1, Classes: []balance.Class{{Name: "read", Deadline: time.Minute, LatencyObjective: time.Minute, Idempotency: balance.Idempotent}}},
		OpenUpstream: func(string, int64) Upstream { return upstream },
	}, func() {})
	if err != nil {
		t.Fatal(err)
	}
	list := EndpointList{Version: 1, Snapshot: true, Endpoints: []Endpoint{{Server: balance.Server{ID: "s1"}, Address: "127.0.0.1:1"}}}
	dispatcher.UpdateEndpoints(balance.ListFull, list, 0)
	request := &Request{ID: "r1", Conn: noDeadlines{}, Done: make(chan struct{})}
	if !dispatcher.Submit(request, balance.Request{ID: "r1", Class: "read", Deadline: time.Minute}) {
		t.Fatal("the request was not accepted")
	}
	<-upstream.started
	dispatcher.AwaitEndings(request) // returns: the attempt has not ended
	dispatcher.ClientDisconnected(request)
	awaited := make(chan struct{})
	go func() {
		dispatcher.AwaitEndings(request)
		close(awaited)
	}()
	select {
	case <-awaited:
		t.Fatal("the goroutine of the ended attempt was not waited for")
	case <-time.After(50 * time.Millisecond):
	}
	close(upstream.release)
	select {
	case <-awaited:
	case <-time.After(10 * time.Second):
		t.Fatal("AwaitEndings did not return after the goroutine of the attempt")
	}
	dispatcher.AwaitEndings(request)
}

// committingUpstream sends the last byte of each attempt whose ID is sent, and nothing of others.
type committingUpstream struct {
	noopUpstream
	sent string
}

func (u *committingUpstream) Run(attempt *Attempt) {
	if _, ok := attempt.Attach(noDeadlines{}); ok && attempt.Request.ID == u.sent {
		attempt.Commit()
	}
	attempt.Finish(balance.Error, nil)
}

// Guards against an ID that runs twice: it comes again after its client has left, behind more IDs
// of requests that were never sent than the dispatcher remembers.
func TestUnsentRequestsDisplaceNoID(t *testing.T) {
	upstream := &committingUpstream{sent: "sent"}
	dispatcher, err := New(Settings{
		Balance:      balance.Settings{MaxAttempts: 1, InitialCapacity: 1, Classes: []balance.Class{{Name: "read", Deadline: time.Minute, LatencyObjective: time.Minute, Idempotency: balance.Idempotent}}},
		OpenUpstream: func(string, int64) Upstream { return upstream },
	}, func() {})
	if err != nil {
		t.Fatal(err)
	}
	list := EndpointList{Version: 1, Snapshot: true, Endpoints: []Endpoint{{Server: balance.Server{ID: "s1"}, Address: "127.0.0.1:1"}}}
	dispatcher.UpdateEndpoints(balance.ListFull, list, 0)
	submit := func(id string) bool {
		request := &Request{ID: id, Conn: noDeadlines{}, Done: make(chan struct{})}
		if !dispatcher.Submit(request, balance.Request{ID: id, Class: "read", Deadline: time.Minute}) {
			return false
		}
		if id == upstream.sent {
			<-request.Done
		} else {
			dispatcher.ClientDisconnected(request)
		}
		dispatcher.AwaitEndings(request)
		return true
	}
	if !submit(upstream.sent) {
		t.Fatal("the request was not accepted")
	}
	for i := range maxRecentIDs + 1 {
		submit(fmt.Sprint("left ", i))
	}
	if submit(upstream.sent) {
		t.Error("a request with the ID of one that was sent was accepted")
	}
	if !submit("left 0") {
		t.Error("a request with the ID of one that was never sent was rejected")
	}
}
