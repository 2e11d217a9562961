package discovery

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"otterspring/balance"
	"otterspring/internal/pace"
)

// A host's supervisor may relay discovery's list to its sidecars, at a local proxy
// that answers as discovery does (docs/operate/list.md). A sidecar watches the proxy
// while it answers and fails over to discovery when it does not, after a delay of
// its own, so that a host's sidecars do not all arrive at once.

const (
	// proxyWatchTimeout is short: a watch costs nobody but the host, and a supervisor
	// that is suspended is noticed at the end of it.
	proxyWatchTimeout  = 2 * time.Second
	proxyAnswerTimeout = time.Second // beyond the watch's own
	proxyRetryInterval = 250 * time.Millisecond
	// proxyProbeInterval is how often a sidecar that has failed over tries the proxy.
	proxyProbeInterval = 4 * proxyRetryInterval
	// sourceHeader names the discovery that assigned the versions of a proxy's list.
	sourceHeader = "X-List-Source"
)

// UseProxy has the list watched at a local proxy that relays the one of source, and
// at discovery itself only once the proxy has failed for failoverDelay. It is called
// before Run. Once discovery has moved the proxy is not used any more: what it relays
// is not known to be of the new one.
func (d *Follower) UseProxy(addr, source string, failoverDelay time.Duration) {
	d.proxy, d.source, d.failoverDelay = addr, source, failoverDelay
}

// followProxy follows the proxy, and discovery while the proxy fails, until ctx ends.
func (d *Follower) followProxy(ctx context.Context) {
	var failingSince time.Time // zero if the last watch was answered
	for ctx.Err() == nil {
		answered, moved, err := d.watchProxy(ctx)
		d.hangUp()
		switch {
		case ctx.Err() != nil:
			return
		case moved:
			slog.Warn("list: discovery has moved: it is watched from now on, and the local proxy is not", "proxy", d.proxy)
			d.far(ctx, pace.Tries)
			return
		case answered || failingSince.IsZero():
			failingSince = time.Now()
			slog.Info("list: the local proxy fails", "proxy", d.proxy, "why", err)
		}
		if time.Since(failingSince) < d.failoverDelay {
			pause(ctx, proxyRetryInterval)
			continue
		}
		slog.Warn("list: failing over to discovery, for the local proxy does not answer", "proxy", d.proxy, "for", time.Since(failingSince).Round(time.Millisecond))
		d.followUntilProxyAnswers(ctx)
		if _, moves := d.where(); moves > 0 {
			d.far(ctx, 1)
			return
		}
		failingSince = time.Time{}
	}
}

// followUntilProxyAnswers follows discovery until the proxy has a usable list again.
func (d *Follower) followUntilProxyAnswers(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer cancel()
		for ctx.Err() == nil {
			pause(ctx, proxyProbeInterval)
			if _, moves := d.where(); moves > 0 || d.probe(ctx) {
				return
			}
		}
	}()
	d.far(ctx, 1)
	<-ended
	d.hangUp()
}

// probe reports whether the proxy has a list of the configured discovery that is no
// older than the one in use.
func (d *Follower) probe(ctx context.Context) bool {
	p := &Follower{schemes: d.schemes, index: none}
	defer p.hangUp()
	l, source, err := p.call(ctx, d.proxy, proxyWatchTimeout, proxyAnswerTimeout)
	index, _ := d.eng.EndpointVersion()
	return err == nil && source == d.source && l.Version >= index
}

// where returns discovery's address, and how often it has moved.
func (d *Follower) where() (addr string, moves int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addr, d.moves
}

// watchProxy hands the dispatcher each list of the proxy until that fails or discovery
// moves. It reports whether the proxy had answered before.
func (d *Follower) watchProxy(ctx context.Context) (answered, moved bool, err error) {
	for {
		began := time.Now()
		_, moves, until, done := d.turn(ctx)
		if moves > 0 {
			done()
			return answered, true, nil
		}
		l, source, err := d.call(until, d.proxy, proxyWatchTimeout, proxyAnswerTimeout)
		if err == nil {
			err = until.Err()
		}
		moved := until.Err() != nil
		done()
		if moved {
			return answered, true, err
		}
		if err == nil && source != d.source {
			err = fmt.Errorf("found a list of %q, wanted %q's", source, d.source)
		}
		if err == nil && l.Version < d.index {
			// A proxy with an older list, snapshot or delta, was suspended.
			err = fmt.Errorf("found version %d after version %d", l.Version, d.index)
		}
		if err != nil {
			return answered, false, err
		}
		kind := balance.ListChange
		if l.Snapshot {
			kind = balance.ListFull
		}
		answered = true
		d.index = l.Version
		d.eng.UpdateEndpoints(kind, l, 0)
		if len(l.Endpoints) == 0 && time.Since(began) < rest {
			pause(ctx, rest)
		}
	}
}
