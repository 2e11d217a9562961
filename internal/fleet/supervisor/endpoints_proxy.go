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
	proxyWatchLimit     = 10 * time.Second       // maximum duration of a sidecar's watch
	proxyFreshnessCheck = 200 * time.Millisecond // interval between checks during a sidecar's watch
)

// cacheView is the state of the cache for one request of a sidecar.
type cacheView struct {
	initialized bool
	fresh       bool
	version     int64
	update      endpointlist.Update // update to be sent; its Source is empty if there is none yet
	changed     chan struct{}       // closed when the cache gets a newer version
}

// view returns the state of the cache and the update for a sidecar at the version since. If
// there are no changes after that version, there is an update only if the watch has ended,
// and this update has no entries. If the cache is not fresh, there is no update.
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

// ServeHTTP answers this host's sidecars as discovery would. If the cache is not fresh it
// responds with status 503 without delay, and the sidecars call discovery instead.
func (p *endpointProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != endpointListPath {
		http.NotFound(w, r)
		return
	}
	query := r.URL.Query()
	// An invalid parameter counts as 0. Discovery treats invalid parameters in the same way.
	since, _ := strconv.ParseInt(query.Get("since"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("timeout_ms"))
	timeout := time.After(min(proxyWatchLimit, max(0, time.Duration(wait)*time.Millisecond)))
	for ended := since <= 0; ; {
		view := p.view(since, ended)
		switch {
		case !view.initialized && !ended:
			// This host has just started and will soon receive the list. The request waits.
		case !view.fresh || view.version == 0:
			http.Error(w, "no recent heartbeat from the lease holder and no recent response from discovery", http.StatusServiceUnavailable)
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
