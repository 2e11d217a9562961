package discovery

import (
	"log/slog"
	"time"

	"otterspring/internal/sidecar/dispatch"
)

// Discovery counts a change as reported once the response has been written, even if the
// configured address of discovery has changed since. A call that is in flight when the
// address changes is therefore not cancelled but detached. The response of a detached call
// is read and applied concurrently with the calls to the new address. The calls to the new
// address do not wait for this response.

const (
	// detachedCallTimeout limits a detached call. A discovery server that is no longer in
	// use closes its connections after 1.5 s.
	detachedCallTimeout = 2 * time.Second
	// maxDetachedCalls limits the number of concurrent detached calls, and with it the
	// file descriptors and goroutines in use.
	maxDetachedCalls = 16
)

// detachCall leaves the current connection to the call in flight and starts a goroutine
// that applies the response. The goroutine ends after detachTimeout or with Run. If
// maxDetachedCalls calls are already detached, the call is cancelled instead.
func (w *Watcher) detachCall(c *call) {
	w.conn, w.parser = nil, nil // now owned by the call
	c.conn.capDeadline(time.Now().Add(w.detachTimeout))
	select {
	case w.detachedCalls <- struct{}{}:
	default:
		slog.Warn("too many calls to previous addresses of discovery are in flight; cancelling one", "calls", maxDetachedCalls)
		c.conn.Close()
		return
	}
	var previous []dispatch.Endpoint
	if c.version > noVersion {
		previous = w.dispatcher.Endpoints().Endpoints
	}
	generation, source := w.watchedGeneration, w.expectedSource
	w.detachedGroup.Go(func() {
		defer func() { <-w.detachedCalls }()
		defer c.conn.Close()
		select {
		case <-w.done:
		case result := <-c.result:
			if result.isUsable(c.version, source) {
				w.dispatcher.UpdateEndpointsLate(result.list, generation, previous)
			}
		}
	})
}

// isUsable reports whether the result of a detached call can be applied. The list has to
// come from the expected source, if one is expected. A delta must not be older than the
// version since which the call requested changes.
func (r *callResult) isUsable(version int64, source string) bool {
	return r.err == nil && (source == "" || r.source == source) && (r.list.Snapshot || r.list.Version >= version)
}
