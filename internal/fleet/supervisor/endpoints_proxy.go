package supervisor

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"otterspring/internal/bootclock"
	"otterspring/internal/fleet/endpointlist"
)

const (
	proxyWatchLimit     = 10 * time.Second // of a sidecar's watch
	proxyFreshnessCheck = 200 * time.Millisecond
)

// cacheView is what the cache has for one request of a sidecar.
type cacheView struct {
	initialized bool
	fresh       bool
	version     int64
	update      endpointlist.Update // without a source if there is nothing to send yet
	changed     chan struct{}       // closed with the next version
}

// view returns what the cache has beyond a version; an update without changes where
// the watch has ended at that version.
func (p *endpointProxy) view(since int64, ended bool) cacheView {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := cacheView{
		initialized: p.watcher.Initialized(),
		fresh:       p.watcher.Fresh(bootclock.Now()),
		version:     p.cache.Version,
		changed:     p.changed,
	}
	if v.fresh && (v.version > since || ended && v.version == since) {
		v.update = p.cache.Since(max(0, since))
	}
	return v
}

// ServeHTTP answers this host's sidecars as discovery would. Where the cache is not
// fresh it responds with status 503 at once, and they turn to discovery.
func (p *endpointProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != endpointListPath {
		http.NotFound(w, r)
		return
	}
	query := r.URL.Query()
	// As for discovery, a parameter that is no number counts as 0.
	since, _ := strconv.ParseInt(query.Get("since"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("timeout_ms"))
	timeout := time.After(min(proxyWatchLimit, max(0, time.Duration(wait)*time.Millisecond)))
	for ended := since <= 0; ; {
		view := p.view(since, ended)
		switch {
		case !view.initialized && !ended:
			// This host has just started, and is about to receive the list: wait for it.
		case !view.fresh || view.version == 0:
			http.Error(w, "no recent heartbeat of the lease holder and no recent response of discovery", http.StatusServiceUnavailable)
			return
		case view.update.Source != "":
			p.writeUpdate(w, &view.update)
			return
		case ended:
			http.Error(w, fmt.Sprintf("found version %d cached, expected %d", view.version, since), http.StatusServiceUnavailable)
			return
		}
		select {
		case <-view.changed:
		case <-timeout:
			ended = true
		case <-time.After(proxyFreshnessCheck):
		case <-r.Context().Done():
			return
		}
	}
}

func (p *endpointProxy) writeUpdate(w http.ResponseWriter, update *endpointlist.Update) {
	text := update.Encode()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.Header().Set(endpointListSourceHeader, update.Source)
	if _, err := w.Write(text); err != nil {
		p.supervisor.log.Debug("endpoint list not sent to a sidecar", "error", err)
	}
}
