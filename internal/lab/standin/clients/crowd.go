package clients

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// reconnectPause is the pause after a connection ended or was refused.
const reconnectPause = 200 * time.Millisecond

// IdleClients are clients that hold connections without completing a request. Every third
// client has sent the first half of a request.
type IdleClients struct {
	Addr  string
	Count int
}

// Run holds Count connections until ctx ends and reopens those that are closed.
func (c *IdleClients) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range c.Count {
		wg.Go(func() {
			for ctx.Err() == nil {
				c.hold(ctx, i%3 == 0)
				select {
				case <-ctx.Done():
				case <-time.After(reconnectPause):
				}
			}
		})
	}
	wg.Wait()
}

// hold opens one connection and holds it until either side closes it.
func (c *IdleClients) hold(ctx context.Context, half bool) {
	conn, err := net.DialTimeout("tcp", c.Addr, time.Second)
	if err != nil {
		return // the sidecar is restarting or out of file descriptors
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	defer conn.Close()
	if half {
		// A write error also ends the read below.
		_, _ = io.WriteString(conn, validHead+"X-Request-Id: crowd")
	}
	_, _ = io.Copy(io.Discard, conn)
}
