package subscription

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"otterspring/internal/fleet/configuration"
)

// maxClientBytes is what a client may hold while its poll waits: experiments run
// thousands in a process. 16.6 KB were measured, 20.7 KB with the race detector; the
// settings and their map are 8 KB of that, the stack 5.4 KB, the read buffer 2 KB.
const maxClientBytes = 24 << 10

// oneAnswerConn answers its first request and then keeps silent until it is closed.
type oneAnswerConn struct {
	net.Conn // nil: only what follows is called
	answer   io.Reader
	waits    chan<- struct{} // told once when the second poll waits
	once     sync.Once
	closed   chan struct{}
}

func (c *oneAnswerConn) Read(p []byte) (int, error) {
	if n, err := c.answer.Read(p); err == nil {
		return n, nil
	}
	c.waits <- struct{}{}
	<-c.closed
	return 0, io.EOF
}

func (c *oneAnswerConn) Write(p []byte) (int, error)     { return len(p), nil }
func (c *oneAnswerConn) SetDeadline(time.Time) error     { return nil }
func (c *oneAnswerConn) SetReadDeadline(time.Time) error { return nil }
func (c *oneAnswerConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// snapshot is an answer with settings of 200 bytes for each service.
func snapshot(t *testing.T, services configuration.Subscription) []byte {
	update := configuration.Update{Version: configuration.NewVersion(1, 1)}
	for _, service := range services {
		update.Resources = append(update.Resources, configuration.Resource{Service: service, Version: update.Version, Settings: bytes.Repeat([]byte("1"), 200)})
	}
	body, err := json.Marshal(configuration.PollResponse{Region: region, Update: &update})
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func inUse() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

func TestWaitingClientsHoldLittle(t *testing.T) {
	const clients = 500
	var services configuration.Subscription
	for i := range 20 {
		services = append(services, fmt.Sprintf("service-%d", i))
	}
	answer := snapshot(t, services)
	ctx, cancel := context.WithCancel(context.Background())
	waits := make(chan struct{}, clients)
	settings := Settings{Region: region, Relays: []string{"127.0.0.1:1", "127.0.0.1:2"}, Services: services}
	settings.Dial = func(context.Context, string) (net.Conn, error) {
		return &oneAnswerConn{answer: bytes.NewReader(answer), waits: waits, closed: make(chan struct{})}, nil
	}
	long := times(2)
	long.ResponseTimeout = 10 * hang
	before := inUse()
	var running sync.WaitGroup
	for i := range clients {
		settings.Subscriber, settings.Seed = fmt.Sprintf("n%d", i), uint64(i)
		client := newClient(settings, long, func(configuration.Changes, configuration.Version) []configuration.Rejection { return nil })
		running.Go(func() { client.Run(ctx) })
	}
	for range clients {
		select {
		case <-waits:
		case <-time.After(hang):
			t.Fatal("found clients that don't wait, wanted all to")
		}
	}
	each := (inUse() - before) / clients
	t.Logf("%d bytes a client, of which %d are the settings that it holds", each, 200*len(services))
	if each > maxClientBytes {
		t.Errorf("found %d bytes a client, wanted %d at most", each, maxClientBytes)
	}
	cancel()
	running.Wait()
}
