// Package relay implements the relay, which serves the configuration of a region's
// coordination cluster to the sidecars of one zone. A relay watches the configuration of
// the cluster, caches it in memory and serves it to subscribers by long polls. It writes
// no files. Package configuration implements the protocol without I/O; this package adds
// the sockets, the clock and the goroutines.
//
// Relay runs the HTTP server, feed holds the cached configuration and the waiting polls,
// and clusterWatcher keeps the feed up to date.
package relay

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"otterspring/internal/fleet/configuration"
)

// Limits of the HTTP server.
const (
	readTimeout    = configuration.MaxPollWait + 5*time.Second // for a whole poll, including its wait
	headerTimeout  = 5 * time.Second
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 4 << 10
	// closeTimeout limits how long responses in flight may take after the drain.
	closeTimeout = 500 * time.Millisecond
	// drainCheckInterval is how often a drain checks whether connections are still open.
	drainCheckInterval = 20 * time.Millisecond
)

// Relay serves the configuration of one cluster to the subscribers of one zone. Run starts
// one goroutine for the HTTP server and one for the cluster watcher. The HTTP server starts
// one goroutine per connection.
type Relay struct {
	config   *Config
	log      *slog.Logger
	listener *limitedListener
	feed     *feed
	draining chan struct{} // closed when the drain starts
	counters counters

	mu        sync.Mutex // guards the following; acquired before the locks of feed and counters
	registry  *configuration.Registry
	admission *snapshotAdmission
}

// Open returns a relay that listens on its address. The caller must call Run exactly once.
func Open(config *Config, log *slog.Logger) (*Relay, error) {
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, fmt.Errorf("%s: listen: %w", config.Path, err)
	}
	return &Relay{
		config:    config,
		log:       log,
		listener:  &limitedListener{Listener: listener, limit: int64(config.MaxConnections), log: log},
		feed:      newFeed(),
		draining:  make(chan struct{}),
		registry:  configuration.NewRegistry(),
		admission: newSnapshotAdmission(config.MaxSnapshotsInFlight),
	}, nil
}

// Address returns the address on which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Run serves until ctx is canceled, then drains the subscribers and returns nil. It returns
// a *WrongClusterError if the first cluster that responds is not the configured one.
func (r *Relay) Run(ctx context.Context) error {
	server := &http.Server{
		Handler:           r.handler(),
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		WriteTimeout:      readTimeout + r.config.WriteTimeout,
		ErrorLog:          slog.NewLogLogger(r.log.Handler(), slog.LevelDebug),
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	defer server.Close()
	// The watch continues during the drain, which still serves polls.
	drainCtx := context.WithoutCancel(ctx)
	watchCtx, stopWatch := context.WithCancel(drainCtx)
	defer stopWatch()
	watchErr := make(chan error, 1)
	wg.Go(func() { watchErr <- newClusterWatcher(r.config, r.feed, r.log).run(watchCtx) })
	wg.Go(func() {
		if err := server.Serve(r.listener); !errors.Is(err, http.ErrServerClosed) {
			r.log.Error("relay accepts no more connections", "address", r.Address(), "error", err)
		}
	})
	r.log.Info("relay listening", "relay", r.config.Name, "zone", r.config.Zone, "address", r.Address(), "cluster", r.config.Region)
	select {
	case err := <-watchErr:
		return err
	case <-ctx.Done():
	}
	r.drain(drainCtx, server)
	return nil
}

// drain makes the subscribers move to other relays: waiting polls get CodeDraining at
// random times within DrainTime, and each connection is closed after its response.
func (r *Relay) drain(ctx context.Context, server *http.Server) {
	r.log.Info("relay draining", "connections", r.listener.open.Load(), "duration", r.config.DrainTime)
	close(r.draining)
	deadline := time.NewTimer(r.config.DrainTime)
	defer deadline.Stop()
	check := time.NewTicker(drainCheckInterval)
	defer check.Stop()
	for expired := false; !expired && r.listener.open.Load() > 0; {
		select {
		case <-deadline.C:
			expired = true
		case <-check.C:
		}
	}
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		r.log.Debug("closing connections with responses in flight", "connections", r.listener.open.Load(), "error", err)
	}
}
