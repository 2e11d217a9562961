package supervisor

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"otterspring/internal/bootclock"
	"otterspring/internal/faultinjection"
	"otterspring/internal/fleet/coordination/client"
	"otterspring/internal/fleet/endpointlist"
)

// Relaying of discovery's endpoint list. The holder of a zone's lease watches discovery
// and sends updates and heartbeats to the supervisors of the zone, each of which serves
// the sidecars of its host from its cache. Package endpointlist makes the decisions.

const (
	// watchTimeout is how long a watch of discovery waits for a change. It is short because
	// a dead connection is detected only at the end of the watch. The updates missed until
	// then are late, and each update must be delivered within 6 s. The load on discovery
	// stays low, since few hosts watch it.
	watchTimeout = 2 * time.Second
	// leaderWatchTimeout is the watch timeout of the lease holder. The heartbeats of the lease
	// holder carry the age of discovery's last confirmation. A host that no longer receives
	// heartbeats waits for its heartbeat timeout and jitter. Discovery must then be able to
	// confirm the list to this host before the age exceeds the staleness limit.
	leaderWatchTimeout = 500 * time.Millisecond
	// firstWatchTimeout is the watch timeout of the first watch. The first watch has to confirm
	// the cached version without delay, since the host can't serve its cache until then.
	firstWatchTimeout = time.Millisecond
	// responseTimeout is how long the response to a watch may take in addition to the watch
	// timeout.
	responseTimeout = time.Second
	snapshotTimeout = 4 * time.Second
	maxListBytes    = 1 << 20

	watchRetryBase     = 100 * time.Millisecond
	maxWatchRetryShift = 4

	endpointPollInterval = 20 * time.Millisecond // time between two checks for due work

	maxIdleDiscoveryConnection = 30 * time.Second
	maxProxyConnections        = 2 * MaxInstances
	proxyHeaderTimeout         = 5 * time.Second
)

var (
	errListNotExpected  = errors.New("endpoint list not accepted: it is missing, or this host does not relay the list of that lease")
	errVersionDecreased = errors.New("the version of discovery's endpoint list decreased")
	errListResponse     = errors.New("unexpected response from discovery")
)

var discoveryClient = http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: maxIdleDiscoveryConnection}}

// endpointProxy is a host's cache of the endpoint list and its watch of discovery. As an
// http.Handler it is the local proxy of discovery for the host's sidecars.
type endpointProxy struct {
	supervisor *Supervisor
	lease      string
	settings   EndpointListSettings

	leading atomic.Bool // whether a goroutine is acquiring or holds the lease

	mu      sync.Mutex // guards the fields below
	cache   *endpointlist.Cache
	watcher *endpointlist.Watcher
	changed chan struct{} // closed and replaced when the cache gets a newer version
	// failingSince is the time since which all requests to discovery have failed. It is 0 if
	// the latest request has not failed.
	failingSince time.Duration
	backoffUntil time.Duration // time until which this host does not request the lease
}

// startEndpointProxy starts the local proxy and the watch of discovery. Both run until ctx
// ends. It does nothing if the fleet file does not configure them.
func (s *Supervisor) startEndpointProxy(ctx context.Context) error {
	settings := s.file.EndpointList
	if settings.Discovery == "" {
		return nil
	}
	listener, err := net.Listen("tcp", settings.Listen)
	if err != nil {
		return fmt.Errorf("list.listen: %w", err)
	}
	limits := endpointlist.Settings{
		HeartbeatTimeout: settings.HeartbeatTimeout, Jitter: settings.Jitter, StalenessLimit: settings.StalenessLimit,
	}
	proxy := &endpointProxy{
		supervisor: s,
		lease:      endpointListLease(s.file.Coordination.Zone),
		settings:   settings,
		cache:      endpointlist.NewCache(settings.Source),
		watcher:    endpointlist.NewWatcher(limits, s.file.Coordination.Host, bootclock.Now()),
		changed:    make(chan struct{}),
	}
	s.endpoints = proxy
	server := &http.Server{
		Handler:           proxy,
		ReadHeaderTimeout: proxyHeaderTimeout,
		IdleTimeout:       maxIdleConnectionTime,
		MaxHeaderBytes:    maxRequestHeaderBytes,
	}
	s.serve(ctx, server, client.LimitListener(listener, maxProxyConnections))
	s.goroutines.Go(func() { proxy.watchDiscovery(ctx) })
	return nil
}

// watchDiscovery watches discovery while the watcher requires it, until ctx ends.
func (p *endpointProxy) watchDiscovery(ctx context.Context) {
	log := p.supervisor.log
	failures, timeout := 0, firstWatchTimeout
	for ctx.Err() == nil {
		p.mu.Lock()
		watch, since, fallback := p.watcher.ShouldWatch(bootclock.Now()), p.cache.Version, p.watcher.Fallback()
		if leader := p.watcher.Leader(); leader && timeout == watchTimeout {
			timeout = leaderWatchTimeout
		}
		p.mu.Unlock()
		if !watch {
			failures, timeout = 0, firstWatchTimeout
			sleep(ctx, endpointPollInterval)
			continue
		}
		if fallback {
			log.Info("heartbeats of the lease holder timed out; watching discovery from this host", "lease", p.lease)
		}
		err := p.fetch(ctx, since, timeout)
		p.recordResponse(err)
		if err == nil {
			failures, timeout = 0, watchTimeout
			continue
		}
		log.Warn("watch of discovery failed", "address", p.settings.Discovery, "error", err)
		failures = min(failures+1, maxWatchRetryShift)
		mean := watchRetryBase << failures
		sleep(ctx, mean/2+time.Duration(rand.Int64N(int64(mean))))
	}
}

// recordResponse records whether a request to discovery succeeded.
func (p *endpointProxy) recordResponse(err error) {
	now := bootclock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err == nil:
		p.watcher.DiscoveryAnswered(now)
		p.failingSince = 0
	case p.failingSince == 0:
		p.failingSince = now
	}
}

// fetch sends one request to discovery and applies the response. If since is 0, it requests
// a snapshot. Otherwise it watches for changes after the version since, and discovery may
// delay its response by wait.
func (p *endpointProxy) fetch(ctx context.Context, since int64, wait time.Duration) error {
	url, timeout := "http://"+p.settings.Discovery+endpointListPath, snapshotTimeout
	if since > 0 {
		url += fmt.Sprintf("?since=%d&timeout_ms=%d", since, wait.Milliseconds())
		timeout = wait + responseTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := faultinjection.BeforeSend(ctx, p.settings.Discovery); err != nil {
		return err
	}
	text, err := fetchBody(ctx, url)
	if err != nil {
		return err
	}
	update, err := endpointlist.Decode(text, p.settings.Source, since)
	if err != nil {
		return err
	}
	if update.Version < since {
		return fmt.Errorf("%w: found version %d, expected %d or later", errVersionDecreased, update.Version, since)
	}
	return p.apply(update, "discovery")
}

// fetchBody sends a GET request to discovery and returns the body of the response. A body
// of more than maxListBytes is an error.
func fetchBody(ctx context.Context, url string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := discoveryClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes+1))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK || len(text) > maxListBytes {
		return nil, fmt.Errorf("%w: found status %d and %d bytes, expected status 200 and %d bytes at most", errListResponse, response.StatusCode, len(text), maxListBytes)
	}
	return text, nil
}

// apply applies an update to the cache and wakes the requests that wait for a newer
// version.
func (p *endpointProxy) apply(update endpointlist.Update, sender string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	newer, err := p.cache.Apply(update)
	if newer {
		close(p.changed)
		p.changed = make(chan struct{})
		p.supervisor.log.Debug("endpoint list updated", "lease", p.lease, "version", p.cache.Version, "sender", sender)
	}
	return err
}

// receiveEndpointList applies the update in a command from the lease holder and returns the
// version cached afterwards. The fence has already accepted the command. The event loop
// calls receiveEndpointList.
func (s *Supervisor) receiveEndpointList(command hostCommand) (int64, error) {
	proxy, push := s.endpoints, command.List
	if proxy == nil || push == nil || command.Lease != proxy.lease {
		return 0, errListNotExpected
	}
	update, err := endpointlist.Decode(push.Text, push.Source, push.From)
	if err != nil {
		return 0, err
	}
	version, changed, err := proxy.receive(update, command)
	if err != nil {
		return 0, err // no heartbeat is recorded, for instance if the list is from another source
	}
	if changed {
		s.events.Info("endpoint list applied", "version", version, "holder", command.Holder, "token", command.Token)
		faultinjection.At("list-taken")
	}
	return version, nil
}

// receive applies an update from the lease holder. It returns the cached version and
// whether this version has changed. The update also counts as a heartbeat if it causes no
// error and the lease holder's own cache is fresh. An update that starts after the cached
// version is not applied, but receive returns no error for it: the lease holder detects the
// gap from the version in the response.
func (p *endpointProxy) receive(update endpointlist.Update, command hostCommand) (version int64, changed bool, err error) {
	p.mu.Lock()
	before := p.cache.Version
	p.mu.Unlock()
	err = p.apply(update, command.Holder)
	if err != nil && !errors.Is(err, endpointlist.ErrGap) {
		return 0, false, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if command.List.LeaderFresh && err == nil {
		p.watcher.Heartbeat(bootclock.Now(), command.List.age())
	}
	return p.cache.Version, p.cache.Version != before, nil
}
