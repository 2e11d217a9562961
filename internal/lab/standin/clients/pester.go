package clients

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// requestPause is the pause between two requests on a connection.
const requestPause = 40 * time.Millisecond

// RequestUntilClosed repeatedly sends requests of the first class on the given number of
// connections, for as long as the sidecar keeps the connections open. Until newUntil has
// passed, closed connections are replaced, as clients do at a planned restart. It returns when
// no connection is left or ctx has ended.
func (c *Clients) RequestUntilClosed(ctx context.Context, connections int, newUntil time.Duration) {
	started := time.Now()
	class := &c.cfg.Classes[0]
	for round := 0; ctx.Err() == nil; round++ {
		open := connections
		if time.Since(started) >= newUntil {
			open = c.idleConnections()
		}
		if open == 0 {
			return
		}
		var wg sync.WaitGroup
		for i := range open {
			wg.Go(func() {
				op := fmt.Sprintf("%s-%d-p%d-%d", c.cfg.Instance, c.serial, round, i)
				c.attempt(Arrival{}, class, op, 0, class.Deadline, c.cfg.ReadPastDeadline)
			})
		}
		wg.Wait()
		select {
		case <-ctx.Done():
		case <-time.After(requestPause):
		}
	}
	c.closeIdle()
}

// idleConnections returns the number of open connections without a request.
func (c *Clients) idleConnections() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idle)
}

// closeIdle closes the connections without a request.
func (c *Clients) closeIdle() {
	c.mu.Lock()
	idle := c.idle
	c.idle = nil
	c.mu.Unlock()
	for _, cc := range idle {
		c.close(cc)
	}
}
