package discovery

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"otterspring/balance"
	"otterspring/internal/sidecar/backoff"
)

// The supervisor of a host may relay the endpoint list to its sidecars through a local
// proxy that implements discovery's interface (docs/operate/list.md). A sidecar watches the
// proxy while the proxy responds. If the proxy fails, the sidecar fails over to discovery
// after a delay. The delay differs between sidecars, so that the sidecars of one host do
// not all call discovery at once.

const (
	// proxyWatchTimeout is short because a suspended supervisor is detected only when a
	// watch times out. The short watches load only this host.
	proxyWatchTimeout    = 2 * time.Second
	proxyResponseTimeout = time.Second // time for the response, in addition to the timeout of the watch
	proxyRetryInterval   = 250 * time.Millisecond
	// proxyProbeInterval is the interval at which a sidecar that has failed over checks the
	// proxy.
	proxyProbeInterval = 4 * proxyRetryInterval
)

var (
	// errSourceMismatch is returned if the proxy relays the list of a discovery service
	// other than the configured one.
	errSourceMismatch = errors.New("proxy relays the list of an unexpected discovery service")
	// errOlderProxyList is returned if the version of a snapshot or delta from the proxy is
	// lower than that of the list in use. This can happen after the proxy was suspended.
	errOlderProxyList = errors.New("proxy relays an older version of the list")
)

// UseProxy makes the watcher watch a local proxy that relays the list of the discovery
// service named source. The watcher watches discovery itself only after the proxy has
// failed for failoverDelay. An empty address means that there is no proxy. Once the address
// of discovery has changed, the proxy is no longer used, because its list is not known to
// come from the new discovery service. UseProxy must be called before Run.
func (w *Watcher) UseProxy(address, source string, failoverDelay time.Duration) {
	w.proxyAddress, w.source, w.failoverDelay = address, source, failoverDelay
}

// watchProxy watches the proxy until ctx is done. It watches discovery while the proxy
// fails, and after discovery has moved.
func (w *Watcher) watchProxy(ctx context.Context) {
	var failingSince time.Time // start of the current failure; zero if there is none
	for ctx.Err() == nil {
		succeeded, moved, err := w.watchProxyUntilError(ctx)
		w.closeConnection()
		switch {
		case ctx.Err() != nil:
			return
		case moved:
			slog.Warn("discovery has moved; local proxy is not used any more", "proxy", w.proxyAddress)
			w.watchDiscovery(ctx, backoff.MaxAttempts)
			return
		case succeeded || failingSince.IsZero():
			failingSince = time.Now()
			slog.Info("local proxy fails", "proxy", w.proxyAddress, "error", err)
		}
		if time.Since(failingSince) < w.failoverDelay {
			sleep(ctx, proxyRetryInterval)
			continue
		}
		slog.Warn("local proxy does not answer; failing over to discovery", "proxy", w.proxyAddress, "duration", time.Since(failingSince).Round(time.Millisecond))
		w.watchDiscoveryUntilProxyRecovers(ctx)
		if w.addressChanges() > 0 {
			w.watchDiscovery(ctx, 1)
			return
		}
		failingSince = time.Time{}
	}
}

// watchDiscoveryUntilProxyRecovers watches discovery until the proxy has a usable list or
// discovery has moved.
func (w *Watcher) watchDiscoveryUntilProxyRecovers(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	probeDone := make(chan struct{})
	go func() {
		defer close(probeDone)
		defer cancel()
		for ctx.Err() == nil {
			sleep(ctx, proxyProbeInterval)
			if w.addressChanges() > 0 || w.probeProxy(ctx) {
				return
			}
		}
	}()
	w.watchDiscovery(ctx, 1)
	<-probeDone
	w.closeConnection()
}

// probeProxy requests the list from the proxy once. It reports whether the list comes from
// the discovery service named w.source and whether its version is at least that of the list
// in use.
func (w *Watcher) probeProxy(ctx context.Context) bool {
	probe := &Watcher{schemes: w.schemes, version: noVersion}
	defer probe.closeConnection()
	call, err := probe.startCall(ctx, w.proxyAddress, proxyWatchTimeout, proxyResponseTimeout)
	if err != nil {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case result := <-call.result:
		version, _ := w.dispatcher.EndpointVersion()
		return result.err == nil && result.source == w.source && result.list.Version >= version
	}
}

// watchProxyUntilError passes each list from the proxy to the dispatcher until a call fails
// or discovery moves. It reports whether any call succeeded and whether discovery has
// moved.
func (w *Watcher) watchProxyUntilError(ctx context.Context) (succeeded, moved bool, err error) {
	w.expectedSource = w.source
	defer func() { w.expectedSource = "" }()
	for {
		started := time.Now()
		callContext, cancel := context.WithCancel(ctx)
		_, generation := w.currentAddress(cancel)
		if generation > 0 {
			cancel()
			return succeeded, true, nil
		}
		list, source, err := w.fetch(callContext, w.proxyAddress, proxyWatchTimeout, proxyResponseTimeout)
		moved := callContext.Err() != nil
		cancel()
		if err == nil && source != w.source {
			err = fmt.Errorf("%w: found %q, wanted %q", errSourceMismatch, source, w.source)
		}
		if err == nil && list.Version < w.version {
			err = fmt.Errorf("%w: version %d after version %d", errOlderProxyList, list.Version, w.version)
		}
		if err != nil {
			return succeeded, moved, err
		}
		kind := balance.ListDelta
		if list.Snapshot {
			kind = balance.ListFull
		}
		succeeded = true
		w.version = list.Version
		w.dispatcher.UpdateEndpoints(kind, list, 0)
		if moved {
			return succeeded, true, nil
		}
		if len(list.Endpoints) == 0 && time.Since(started) < minWatchInterval {
			sleep(ctx, minWatchInterval)
		}
	}
}
