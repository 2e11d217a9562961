// Package relay is a process between the council of a region and the sidecars of a
// zone: it follows the council's configuration and serves it to subscribers by long
// polls. It keeps no file. What a poll is answered with, package configuration
// decides; this package has the sockets, the clock and the signals.
package relay

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"otterspring/internal/fleet/configuration"
	"otterspring/internal/logs"
)

// Bounds of the server's connections.
const (
	readTimeout    = configuration.MaxWait + 5*time.Second // of a whole poll, until its answer is begun
	headerTimeout  = 5 * time.Second
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 4 << 10
	// closeTimeout is for how long answers may be under way once the drain is over.
	closeTimeout = 500 * time.Millisecond
	// drainedCheck is how often a drain looks whether a connection is left.
	drainedCheck = 20 * time.Millisecond
)

// Relay is a relay's process.
type Relay struct {
	file     *File
	log      *slog.Logger
	listener *limitedListener
	feed     *feed
	draining chan struct{} // closed when the drain begins
	counts   counts

	mu        sync.Mutex
	registry  *configuration.Registry
	admission *admission
}

// Open prepares a relay and listens at its address.
func Open(file *File, log *slog.Logger) (*Relay, error) {
	listener, err := net.Listen("tcp", file.Listen)
	if err != nil {
		return nil, fmt.Errorf("%s: listen: %w, wanted an address that is free", file.Path, err)
	}
	return &Relay{
		file: file, log: log,
		listener:  &limitedListener{Listener: listener, limit: int64(file.Connections)},
		feed:      newFeed(),
		draining:  make(chan struct{}),
		registry:  configuration.NewRegistry(),
		admission: newAdmission(file.SnapshotsAtOnce),
	}, nil
}

// Address is where the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Run serves until ctx ends, and then hands the subscribers on. It returns an error
// where the relay is configured for another council than the one that answers.
func (r *Relay) Run(ctx context.Context) error {
	server := &http.Server{
		Handler: r.handler(), MaxHeaderBytes: maxHeaderBytes,
		ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		WriteTimeout: readTimeout + r.file.WriteTimeout,
		ErrorLog:     slog.NewLogLogger(r.log.Handler(), slog.LevelDebug),
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	defer server.Close()
	// The council is followed through the drain, since polls are answered in it.
	following, stop := context.WithCancel(context.Background())
	defer stop()
	failed := make(chan error, 1)
	wg.Go(func() { failed <- newFollower(r.file, r.feed, r.log).run(following) })
	wg.Go(func() { server.Serve(r.listener) })
	r.log.Info(fmt.Sprintf("relay %s of zone %s listens on %s, follows council %s", r.file.Name, r.file.Zone, r.Address(), r.file.Region))
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	r.drain(server)
	return nil
}

// drain hands the subscribers on: polls that wait are answered, each at a moment of
// its own, and connections end with their answers.
func (r *Relay) drain(server *http.Server) {
	r.log.Info(fmt.Sprintf("drains %d connections within %v", r.listener.open.Load(), r.file.Drain), logs.Cause("drain"))
	close(r.draining)
	end := time.NewTimer(r.file.Drain)
	defer end.Stop()
	look := time.NewTicker(drainedCheck)
	defer look.Stop()
	for over := false; !over && r.listener.open.Load() > 0; {
		select {
		case <-end.C:
			over = true
		case <-look.C:
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	server.Shutdown(ctx)
}
