// Package sidecar assembles a sidecar on real sockets: the HTTP and CoAP servers that
// accept requests from the application, a dispatcher around package balance, pools that
// send attempts to upstreams, the watcher of the endpoint list and the client of the
// service configuration. It starts them, reloads them and shuts them down gracefully.
// Decisions about requests are made by the dispatcher.
package sidecar

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"log/slog"
	"math"
	"net"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"otterspring/balance"
	"otterspring/internal/sidecar/coapserver"
	"otterspring/internal/sidecar/coapupstream"
	"otterspring/internal/sidecar/configclient"
	"otterspring/internal/sidecar/discovery"
	"otterspring/internal/sidecar/dispatch"
	"otterspring/internal/sidecar/httpserver"
	"otterspring/internal/sidecar/httpupstream"
	"otterspring/internal/sidecar/operatorconfig"
)

// Sidecar is a running sidecar. Start launches its goroutines: the HTTP and CoAP servers,
// the watcher of the endpoint list, the client of the service configuration, and two
// goroutines that close idle connections. All of them end after Drain, or after
// DrainForSuccessor has returned true.
//
// Reload, Drain and DrainForSuccessor must be called from a single goroutine; all other
// methods are safe for concurrent use.
type Sidecar struct {
	dispatcher   *dispatch.Dispatcher
	httpPool     *httpupstream.Pool
	httpServer   *httpserver.Server
	coapServer   *coapserver.Server // nil if CoAP is not served
	coapPool     *coapupstream.Pool // nil without CoAP upstreams
	watcher      *discovery.Watcher
	configClient *configclient.Client // nil without a service configuration
	config       Config               // configuration as loaded at the start; Reload changes only Discovery
	cancel       context.CancelFunc   // stops all goroutines except the servers

	configuredDrainTimeout atomic.Int64 // in nanoseconds; 0 selects the default

	reloadsSucceeded, reloadsFailed atomic.Int64
}

// Options are optional parameters of a start. The zero value is a start from the
// configuration file alone.
type Options struct {
	// Listener is the listening socket of the predecessor. If it is nil, a new socket is
	// opened. Connections that are already in the socket's accept queue are served.
	Listener *net.TCPListener
	// EndpointList is the predecessor's endpoint list in discovery's format. It replaces
	// the list in the configuration file, which is older.
	EndpointList []byte
	// CoAP is the CoAP section of the operator file. It is nil if there is none.
	CoAP *operatorconfig.CoAP
	// CoAPSocket is the predecessor's CoAP socket. If it is nil, a new socket is opened.
	CoAPSocket *net.UDPConn
	// ListProxy is the address of a local proxy that relays the endpoint list of the
	// discovery service named ListSource. ListProxy is empty if there is no proxy. After
	// the proxy has failed for FailoverDelay, the sidecar watches discovery directly.
	ListProxy, ListSource string
	FailoverDelay         time.Duration
	// Configuration is the section of the operator file on the service configuration. It is
	// nil if there is none. The sidecar starts with the settings of its own configuration
	// file, not with the settings that the predecessor received from a relay.
	Configuration *operatorconfig.Configuration
	// Paused delays accepting connections until Resume is called.
	Paused bool
}

// Start starts a sidecar that serves until Drain is called.
func Start(config Config) (*Sidecar, error) { return StartWith(config, Options{}) }

// StartWith starts a sidecar with options. On an error no goroutine is left running, but
// sockets may remain open: the process is expected to exit.
func StartWith(config Config, options Options) (*Sidecar, error) {
	if options.EndpointList != nil {
		list, err := discovery.Parse(options.EndpointList, coapupstream.Scheme)
		if err != nil {
			return nil, fmt.Errorf("endpoint list of the predecessor: %w", err)
		}
		config.KnownEndpoints = list
	}
	setRuntimeLimits(&config)
	ctx, cancel := context.WithCancel(context.Background())
	s := &Sidecar{config: config, cancel: cancel}
	if err := s.open(&options); err != nil {
		cancel()
		return nil, err
	}
	s.run(ctx, &options)
	return s, nil
}

// setRuntimeLimits sets GOMAXPROCS and the memory limit of the whole process.
func setRuntimeLimits(config *Config) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(config.Cores))))
	// The limit leaves memory for stacks and for what the kernel accounts to the process.
	// GOGC stays at its default of 100, so that the heap does not grow up to the limit.
	debug.SetMemoryLimit(int64(config.MemoryBytes) * 6 / 10)
	debug.SetGCPercent(100)
}

// open creates the components of the sidecar and opens its sockets.
func (s *Sidecar) open(options *Options) error {
	config := &s.config
	s.httpPool = httpupstream.New(config.Connections, upstreamSockets(config.Sockets))
	openUpstream, schemes, err := s.upstreamOpener(options.CoAP)
	if err != nil {
		return err
	}
	s.watcher = discovery.New(config.Discovery, !config.Settings.Subscribe, config.KnownEndpoints.Version, schemes...)
	s.watcher.UseProxy(options.ListProxy, options.ListSource, options.FailoverDelay)
	s.dispatcher, err = dispatch.New(dispatch.Settings{
		Balance: config.Settings, Seed: config.Seed, DialTimeout: config.Connections.DialTimeout, OpenUpstream: openUpstream,
	}, s.watcher.RequestList)
	if err != nil {
		return err
	}
	listener := options.Listener
	if listener == nil {
		if listener, err = listenTCP(config.Listen); err != nil {
			return err
		}
	}
	served, rejected := clientSockets(config.Sockets)
	settings := httpserver.Settings{
		MaxServed: served, MaxRejected: rejected, MaxIdle: config.Sockets / 6, BodyBudgetBytes: config.MemoryBytes / 8, ReloadCounts: s.reloadCounts, ListVersion: s.listVersion,
	}
	if options.Configuration != nil {
		s.configClient = newConfigClient(config, options.Configuration, s.dispatcher.Reconfigure)
		settings.ConfigurationStatus = s.configurationStatus
	}
	s.httpServer = httpserver.New(listener, s.dispatcher, settings)
	return s.openCoAP(options)
}

// run starts the goroutines of the sidecar.
func (s *Sidecar) run(ctx context.Context, options *Options) {
	if s.coapServer != nil {
		go s.coapServer.Serve()
	}
	s.dispatcher.UpdateEndpoints(balance.ListCached, s.config.KnownEndpoints, 0)
	if options.Paused {
		s.httpServer.Pause()
	}
	if options.EndpointList != nil {
		// The predecessor was watching the list. Changes that are reported to the
		// predecessor from now on must reach this process too. Without this call the
		// balancer would request the list only seconds later.
		s.watcher.RequestList()
		// The predecessor may know of drains that discovery does not report yet.
		s.dispatcher.UpdateDrains(s.config.KnownEndpoints.Endpoints)
	}
	go s.watcher.Run(ctx, s.dispatcher)
	if s.configClient != nil {
		go s.configClient.Run(ctx)
	}
	go s.httpPool.Sweep(ctx.Done())
	go s.httpServer.Sweep(ctx.Done())
	go s.watchMemory(ctx.Done())
	go func() {
		if err := s.httpServer.Serve(); err != nil {
			slog.Error("HTTP server ended", "error", err)
		}
	}()
}

// Reload applies a reloaded configuration. Only the address of discovery changes
// immediately; other changed keys take effect at the next start and are logged. Reload
// must not be called concurrently.
func (s *Sidecar) Reload(config Config) {
	s.watcher.SetAddress(config.Discovery)
	slog.Info("configuration reloaded", "discovery", config.Discovery)
	if keys := s.config.changedKeys(&config); len(keys) > 0 {
		slog.Warn("configuration changed; keys take effect at the next start", "keys", strings.Join(keys, ", "))
	}
	s.config.Discovery = config.Discovery
}

// CountReload counts a reload for the X-Reloads header of /up.
func (s *Sidecar) CountReload(succeeded bool) {
	if succeeded {
		s.reloadsSucceeded.Add(1)
	} else {
		s.reloadsFailed.Add(1)
	}
}

// reloadCounts returns the value of the X-Reloads header of /up: the numbers of successful
// and of failed reloads.
func (s *Sidecar) reloadCounts() string {
	return fmt.Sprintf("%d/%d", s.reloadsSucceeded.Load(), s.reloadsFailed.Load())
}

// listVersion returns the value of the X-List header of /up: the version of the endpoint
// list.
func (s *Sidecar) listVersion() string {
	version, _ := s.dispatcher.EndpointVersion()
	return strconv.FormatInt(version, 10)
}

// Address returns the address and port on which HTTP clients are served.
func (s *Sidecar) Address() string { return s.httpServer.Addr().String() }

// Responsive reports whether the dispatcher's lock can be acquired within the timeout.
// If it can't, requests are no longer being decided on.
func (s *Sidecar) Responsive(timeout time.Duration) bool {
	acquired := make(chan struct{})
	go func() {
		s.dispatcher.Barrier()
		close(acquired)
	}()
	select {
	case <-acquired:
		return true
	case <-time.After(timeout):
		return false
	}
}

// FailoverDelay derives a delay in [0, jitter) from a sidecar's name. The delay is the same
// in each process of the sidecar. Names that are numbered consecutively get evenly
// distributed delays.
func FailoverDelay(name string, jitter time.Duration) time.Duration {
	if jitter <= 0 {
		return 0
	}
	sum := sha256.Sum256([]byte(name))
	return time.Duration(binary.BigEndian.Uint64(sum[:8]) % uint64(jitter))
}
