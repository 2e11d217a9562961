package supervisor

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"otterspring/internal/bootclock"
	"otterspring/internal/faultinjection"
	"otterspring/internal/fleet/coordination/client"
	"otterspring/internal/fleet/endpointlist"
)

const (
	listHeartbeatInterval = 500 * time.Millisecond
	maxListPushes         = 32 // maximum number of pushes in flight
	hostRefreshInterval   = time.Second

	// leadershipBackoff is how long a host waits before it requests the lease again. The wait
	// begins when the host releases the lease because its requests to discovery failed.
	leadershipBackoff = 10 * time.Second
)

// tryLead starts a goroutine that requests the vacant lease. If the goroutine acquires the
// lease, it relays the list. tryLead does nothing during the backoff or if such a goroutine
// already exists.
func (p *endpointProxy) tryLead(ctx context.Context, holder string) {
	p.mu.Lock()
	backingOff := bootclock.Now() < p.backoffUntil
	p.mu.Unlock()
	if backingOff || !p.leading.CompareAndSwap(false, true) {
		return
	}
	s := p.supervisor
	s.goroutines.Go(func() {
		defer p.leading.Store(false)
		s.runWithLease(ctx, p.lease, holder, func(ctx context.Context, l *leadership) stopReason {
			leader := newEndpointLeader(p, l)
			return leader.run(ctx)
		})
	})
}

// beginBackoffIfFailing begins the backoff if requests to discovery have failed for so
// long that another host should hold the lease. It reports whether it has begun the
// backoff.
func (p *endpointProxy) beginBackoffIfFailing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := bootclock.Now()
	if p.failingSince == 0 || !p.watcher.ShouldReleaseLease(now, p.failingSince) {
		return false
	}
	p.backoffUntil = now + leadershipBackoff
	return true
}

func (p *endpointProxy) setLeader(leader bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watcher.SetLeader(leader, bootclock.Now())
}

// acknowledgement is a host's response to a push.
type acknowledgement struct {
	host    string
	version int64 // version that the host has, or endpointlist.UnknownVersion if the push failed or was rejected
}

// endpointLeader sends updates and heartbeats to the zone's hosts during one leadership.
// The goroutine of run owns the publisher and the addresses. The goroutines that run starts
// communicate with run through the channels and end before run returns.
type endpointLeader struct {
	*leadership
	proxy            *endpointProxy
	publisher        *endpointlist.Publisher
	addresses        map[string]string      // addresses by host, including former hosts
	hosts            chan map[string]string // passes the addresses of the zone's hosts to run
	acknowledgements chan acknowledgement   // capacity for all pushes in flight
}

func newEndpointLeader(p *endpointProxy, l *leadership) *endpointLeader {
	return &endpointLeader{
		leadership:       l,
		proxy:            p,
		publisher:        endpointlist.NewPublisher(listHeartbeatInterval, maxListPushes),
		addresses:        map[string]string{},
		hosts:            make(chan map[string]string, 1),
		acknowledgements: make(chan acknowledgement, maxListPushes),
	}
}

// run relays the list until the leadership ends or discovery does not respond to this
// host.
func (l *endpointLeader) run(ctx context.Context) stopReason {
	l.proxy.setLeader(true)
	defer l.proxy.setLeader(false)
	var goroutines sync.WaitGroup
	defer goroutines.Wait()
	// If discovery does not respond, run returns before the leadership ends. watchHosts must
	// then end too, so it gets a context that is cancelled when run returns.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	goroutines.Go(func() { l.watchHosts(ctx) })
	for {
		l.proxy.mu.Lock()
		changed, version := l.proxy.changed, l.proxy.cache.Version
		l.proxy.mu.Unlock()
		switch {
		case ctx.Err() != nil || !l.valid():
			return reasonLeaseExpired
		case l.proxy.beginBackoffIfFailing():
			return reasonDiscoveryFailed
		}
		l.pushToDueHosts(ctx, &goroutines, version)
		select {
		case a := <-l.acknowledgements:
			l.publisher.Acknowledged(a.host, a.version, bootclock.Now())
		case addresses := <-l.hosts:
			maps.Copy(l.addresses, addresses)
			l.publisher.SetHosts(slices.Collect(maps.Keys(addresses)))
		case <-changed:
		case <-time.After(endpointPollInterval):
		case <-ctx.Done():
		}
	}
}

// pushToDueHosts starts pushes to the hosts that are due an update or a heartbeat. Without
// a cached list it does nothing.
func (l *endpointLeader) pushToDueHosts(ctx context.Context, goroutines *sync.WaitGroup, version int64) {
	if version == 0 {
		return
	}
	for host, since := range l.publisher.Due(bootclock.Now(), version) {
		address := l.addresses[host]
		goroutines.Go(func() { l.acknowledgements <- acknowledgement{host, l.push(ctx, address, since)} })
	}
}

// push sends a host the changes after the version since. It returns the version that the
// host has afterwards, or endpointlist.UnknownVersion.
func (l *endpointLeader) push(ctx context.Context, address string, since int64) int64 {
	message := l.proxy.buildPush(since)
	// If this process is suspended here for longer than its lease, it sends a stale command.
	// The host detects the stale command by the fencing token and the version.
	faultinjection.At("list-tells")
	response, err := l.send(ctx, address, hostCommand{Kind: commandList, List: message})
	log := l.supervisor.log
	switch {
	case err != nil:
		log.Debug("endpoint list not sent", "address", address, "error", err)
		return endpointlist.UnknownVersion
	case response.Rejected != "":
		log.Warn("endpoint list rejected by its host", "address", address, "error", response.Rejected)
		return endpointlist.UnknownVersion
	}
	return response.ListVersion
}

// buildPush returns a push with the changes between a host's version, since, and the version
// in the cache of this supervisor. For a host with a newer version the push has no changes
// and is only a heartbeat.
func (p *endpointProxy) buildPush(since int64) *listPush {
	p.mu.Lock()
	defer p.mu.Unlock()
	update := p.cache.Since(min(since, p.cache.Version))
	now := bootclock.Now()
	return &listPush{
		Source:      update.Source,
		From:        update.From,
		Text:        update.Encode(),
		LeaderFresh: p.watcher.Fresh(now),
		AgeMillis:   p.watcher.Age(now).Milliseconds(),
	}
}

// watchHosts polls the coordination cluster for the zone's hosts until ctx ends.
func (l *endpointLeader) watchHosts(ctx context.Context) {
	for ; ctx.Err() == nil; sleep(ctx, hostRefreshInterval) {
		response, err := l.supervisor.request(ctx, client.Request{Kind: client.ReadState}, requestTimeout)
		if err != nil || response.State == nil {
			continue
		}
		addresses := map[string]string{}
		for host, record := range l.supervisor.decodeHostRecords(response.State.HostStatus) {
			if endpointListLease(record.Zone) == l.lease && record.Address != "" {
				addresses[host] = record.Address
			}
		}
		select {
		case l.hosts <- addresses:
		case <-ctx.Done():
		}
	}
}
