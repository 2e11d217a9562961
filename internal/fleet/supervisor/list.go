package supervisor

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"otterspring/internal/bootclock"
	"otterspring/internal/faultinjection"
	"otterspring/internal/fleet/coordination/client"
	"otterspring/internal/fleet/endpointlist"
	"otterspring/internal/logging"
)

// The supervisor's part in relaying discovery's list. The owner of a zone's duty
// watches discovery and sends updates and heartbeats to the supervisors of the zone;
// each supervisor serves its host's sidecars from its cache, at a local endpoint
// that answers as discovery would. Package list holds the decisions.

const (
	// listWatchTimeout is how long a watch waits for a change. It is short: a watch
	// whose connection has died is noticed at its end, what it missed counts as
	// delivered 6 s later, and few hosts watch.
	listWatchTimeout = 2 * time.Second
	// listFirstWatchTimeout is that of the first watch, which only has to confirm the
	// cached version: until then a host has nothing recent to serve.
	listFirstWatchTimeout = time.Millisecond
	listAnswerTimeout     = time.Second // beyond the watch's own
	listSnapshotTimeout   = 4 * time.Second
	maxListBytes          = 1 << 20

	listRetryBase     = 100 * time.Millisecond
	maxListRetryShift = 4

	listHeartbeatInterval = 500 * time.Millisecond
	maxListPushes         = 32 // in flight at a time
	listPollInterval      = 20 * time.Millisecond
	listHostsInterval     = time.Second

	// listOwnerFailureLimit is for how long an owner's calls to discovery may fail until
	// it gives the duty up, and listOwnerBackoff for how long it leaves it to others.
	listOwnerFailureLimit = 3 * time.Second
	listOwnerBackoff      = 10 * time.Second

	proxyWatchLimit     = 10 * time.Second // of a sidecar's watch
	proxyFreshnessCheck = 200 * time.Millisecond
	maxProxyConnections = 2 * MostInstances
)

// listSourceHeader names, in the local endpoint's answers, the discovery that
// assigned the list's versions.
const listSourceHeader = "X-List-Source"

// listPath is where discovery and the local endpoint serve the list.
const listPath = "/discovery/hosts"

// listPush is an update or a heartbeat as an owner sends it.
type listPush struct {
	Source string          `json:"source"`
	From   int64           `json:"from"`
	Text   json.RawMessage `json:"text"`
	Fresh  bool            `json:"fresh"` // the owner's own cache is recent
}

// listProxy is a host's cache of discovery's list, its watch and its local endpoint.
type listProxy struct {
	supervisor *Supervisor
	duty       string
	settings   ListFile

	owning atomic.Bool

	mu           sync.Mutex
	cache        *endpointlist.Cache
	watcher      *endpointlist.Watcher
	changed      chan struct{} // closed and replaced with each newer version
	failingSince time.Duration // calls to discovery; 0 if the last one succeeded
	backoffUntil time.Duration // until when the duty is left to others
}

// startListProxy starts a host's part in the relaying, where its file asks for it.
func (s *Supervisor) startListProxy(ctx context.Context) error {
	f := s.file.List
	if f.Discovery == "" {
		return nil
	}
	ln, err := net.Listen("tcp", f.Listen)
	if err != nil {
		return fmt.Errorf("list.listen: %w", err)
	}
	settings := endpointlist.Settings{HeartbeatTimeout: f.HeartbeatTimeout, Jitter: f.Jitter, StalenessLimit: f.StalenessLimit}
	p := &listProxy{
		supervisor: s,
		duty:       listDuty(s.file.Council.Zone),
		settings:   f,
		cache:      endpointlist.NewCache(f.Source),
		watcher:    endpointlist.NewWatcher(settings, s.file.Council.Host, bootclock.Now()),
		changed:    make(chan struct{}),
	}
	s.listProxy = p
	server := &http.Server{Handler: p, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 4 << 10}
	s.wg.Go(func() { server.Serve(client.LimitListener(ln, maxProxyConnections)) })
	s.wg.Go(func() { <-ctx.Done(); server.Close() })
	s.wg.Go(func() { p.watchDiscovery(ctx) })
	return nil
}

// listDuty is the name of a zone's duty at the council.
func listDuty(zone string) string { return "list:" + zone }

// watchDiscovery watches discovery whenever the watcher says so, until ctx ends.
func (p *listProxy) watchDiscovery(ctx context.Context) {
	failures, timeout := 0, listFirstWatchTimeout
	for ctx.Err() == nil {
		p.mu.Lock()
		watches, since, fallback := p.watcher.ShouldWatch(bootclock.Now()), p.cache.Version, p.watcher.Fallback()
		p.mu.Unlock()
		if !watches {
			failures, timeout = 0, listFirstWatchTimeout
			pause(ctx, listPollInterval)
			continue
		}
		if fallback {
			p.supervisor.log.Info("list: no heartbeat of an owner, watching discovery from this host", logging.Cause("list fallback"))
		}
		err := p.fetch(ctx, since, timeout)
		p.recordAnswer(err)
		if err == nil {
			failures, timeout = 0, listWatchTimeout
			continue
		}
		p.supervisor.log.Warn(fmt.Sprintf("list: discovery at %s: %v", p.settings.Discovery, err), logging.Cause("discovery"))
		failures = min(failures+1, maxListRetryShift)
		mean := listRetryBase << failures
		pause(ctx, mean/2+time.Duration(rand.Int64N(int64(mean))))
	}
}

// recordAnswer notes whether a call to discovery succeeded.
func (p *listProxy) recordAnswer(err error) {
	now := bootclock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err == nil:
		p.watcher.Answered(now)
		p.failingSince = 0
	case p.failingSince == 0:
		p.failingSince = now
	}
}

var listClient = http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 30 * time.Second}}

// fetch makes one call to discovery and applies the answer: a watch for changes
// since a version, or a request for a snapshot where that is 0.
func (p *listProxy) fetch(ctx context.Context, since int64, watchTimeout time.Duration) error {
	url, timeout := "http://"+p.settings.Discovery+listPath, listSnapshotTimeout
	if since > 0 {
		url += fmt.Sprintf("?since=%d&timeout_ms=%d", since, watchTimeout.Milliseconds())
		timeout = watchTimeout + listAnswerTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := faultinjection.BeforeSend(ctx, p.settings.Discovery); err != nil {
		return err
	}
	text, err := get(ctx, url)
	if err != nil {
		return err
	}
	u, err := endpointlist.Decode(text, p.settings.Source, since)
	if err != nil {
		return err
	}
	if u.Version < since {
		return fmt.Errorf("found version %d after version %d: it counts from the start again, and this is not relayed", u.Version, since)
	}
	return p.apply(u, "discovery")
}

// get returns the body of an answer of discovery, which is bounded.
func get(ctx context.Context, url string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := listClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes+1))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK || len(text) > maxListBytes {
		return nil, fmt.Errorf("found status %d and %d bytes, wanted 200 and %d at most", response.StatusCode, len(text), maxListBytes)
	}
	return text, nil
}

// apply takes an update and wakes the watches that wait for a newer version.
func (p *listProxy) apply(u endpointlist.Update, sender string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	newer, err := p.cache.Apply(u)
	if newer {
		close(p.changed)
		p.changed = make(chan struct{})
		p.supervisor.log.Debug(fmt.Sprintf("list: version %d of %s", p.cache.Version, sender), logging.Cause("list"))
	}
	return err
}

// receive takes a push of an owner that the fence has accepted, and returns the
// version that is cached now. It runs on Run's goroutine.
func (p *listProxy) receive(e effect) (int64, error) {
	if p == nil || e.List == nil || e.Duty != p.duty {
		return 0, errors.New("found a list, wanted none here")
	}
	u, err := endpointlist.Decode(e.List.Text, e.List.Source, e.List.From)
	if err != nil {
		return 0, err
	}
	p.mu.Lock()
	before := p.cache.Version
	p.mu.Unlock()
	if err = p.apply(u, e.Owner); err != nil && !errors.Is(err, endpointlist.ErrGap) {
		return 0, err // of another discovery: this host's heartbeat timeout runs on
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if e.List.Fresh && err == nil {
		p.watcher.Heartbeat(bootclock.Now())
	}
	if p.cache.Version != before {
		p.supervisor.say("applied list version %d of %s, epoch %v", p.cache.Version, e.Owner, e.Epoch)
		faultinjection.At("list-taken")
	}
	return p.cache.Version, nil
}

// tryToOwn asks for the duty, which nobody owns, and carries it out if it is given.
func (p *listProxy) tryToOwn(ctx context.Context, me string) {
	p.mu.Lock()
	backsOff := bootclock.Now() < p.backoffUntil
	p.mu.Unlock()
	if backsOff || !p.owning.CompareAndSwap(false, true) {
		return
	}
	p.supervisor.wg.Go(func() {
		defer p.owning.Store(false)
		if r := p.supervisor.reign(ctx, p.duty, me); r != nil {
			r.during(ctx, func(ctx context.Context) string { return p.publish(ctx, r) })
		}
	})
}

// acknowledgement is a host's answer to a push.
type acknowledgement struct {
	host    string
	version int64
}

// publish sends updates and heartbeats to the zone's hosts until the tenure ends or
// the duty is given up. It returns why.
func (p *listProxy) publish(ctx context.Context, r *reign) string {
	p.setOwner(true)
	defer p.setOwner(false)
	var addresses sync.Map // string by host
	hosts := make(chan []string, 1)
	var wg sync.WaitGroup
	defer wg.Wait()
	// It may end before the tenure does: the goroutine that asks for the hosts ends with it.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wg.Go(func() { p.watchHosts(ctx, &addresses, hosts) })
	publisher := endpointlist.NewPublisher(listHeartbeatInterval, maxListPushes)
	acknowledgements := make(chan acknowledgement, maxListPushes)
	for {
		p.mu.Lock()
		changed, version := p.changed, p.cache.Version
		p.mu.Unlock()
		switch {
		case ctx.Err() != nil || !r.held():
			return "the tenure is over"
		case p.backOff():
			return "discovery does not answer here"
		}
		if version > 0 {
			for host, since := range publisher.Due(bootclock.Now(), version) {
				address, _ := addresses.Load(host)
				wg.Go(func() { acknowledgements <- acknowledgement{host, p.push(r, address.(string), since)} })
			}
		}
		select {
		case a := <-acknowledgements:
			publisher.Acknowledged(a.host, a.version, bootclock.Now())
		case names := <-hosts:
			publisher.SetHosts(names)
		case <-changed:
		case <-time.After(listPollInterval):
		case <-ctx.Done():
		}
	}
}

// backOff reports whether calls to discovery have failed for so long that the duty
// is better left to others, and leaves it to them for a while.
func (p *listProxy) backOff() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := bootclock.Now()
	if p.failingSince == 0 || now <= p.failingSince+listOwnerFailureLimit {
		return false
	}
	p.backoffUntil = now + listOwnerBackoff
	return true
}

// push sends a host what it lacks. It returns the version that the host has then, -1
// where that is not known.
func (p *listProxy) push(r *reign, address string, since int64) int64 {
	p.mu.Lock()
	// A host may have a newer version than this owner: it is sent a heartbeat only.
	u := p.cache.Since(min(since, p.cache.Version))
	message := &listPush{Source: u.Source, From: u.From, Text: u.Encode(), Fresh: p.watcher.Fresh(bootclock.Now())}
	p.mu.Unlock()
	faultinjection.At("list-tells") // a stop here outlasts any lease: fence and version are there for it
	t, err := r.effect(address, effect{Do: "list", List: message})
	switch {
	case err != nil:
		p.supervisor.log.Debug(fmt.Sprintf("list: %s: %v", address, err), logging.Cause("list"+address))
		return -1
	case t.Refused != "":
		p.supervisor.log.Warn(fmt.Sprintf("list: %s: refused: %s", address, t.Refused), logging.Cause("refused"+address))
		return -1
	}
	return t.Index
}

// watchHosts asks the council which hosts the zone has, until ctx ends.
func (p *listProxy) watchHosts(ctx context.Context, addresses *sync.Map, hosts chan<- []string) {
	for ; ctx.Err() == nil; pause(ctx, listHostsInterval) {
		a, err := p.supervisor.asks(ctx, client.Request{Kind: client.ReadState}, effectFor)
		if err != nil || a.State == nil {
			continue
		}
		var names []string
		for name, text := range a.State.HostStatus {
			var f fact
			if json.Unmarshal(text, &f) == nil && listDuty(f.Zone) == p.duty && f.Address != "" {
				names = append(names, name)
				addresses.Store(name, f.Address)
			}
		}
		select {
		case hosts <- names:
		case <-ctx.Done():
		}
	}
}

func (p *listProxy) setOwner(owner bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watcher.SetLeader(owner, bootclock.Now())
}

// cached is what the proxy has for one request of a sidecar.
type cached struct {
	initialized bool
	fresh       bool
	version     int64
	update      endpointlist.Update // without a source if there is nothing to send yet
	changed     chan struct{}       // closed with the next version
}

// lookUp returns what the cache has beyond a version; an update without changes
// where the watch has ended at that version.
func (p *listProxy) lookUp(since int64, ended bool) cached {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := cached{initialized: p.watcher.Initialized(), fresh: p.watcher.Fresh(bootclock.Now()), version: p.cache.Version, changed: p.changed}
	if c.fresh && (c.version > since || ended && c.version == since) {
		c.update = p.cache.Since(max(0, since))
	}
	return c
}

// ServeHTTP answers this host's sidecars as discovery would. Where the cache is too
// old it says so at once, and they turn to discovery.
func (p *listProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != listPath {
		http.NotFound(w, r)
		return
	}
	since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	timeout := time.After(min(proxyWatchLimit, max(0, time.Duration(wait)*time.Millisecond)))
	for ended := since <= 0; ; {
		c := p.lookUp(since, ended)
		switch {
		case !c.initialized && !ended:
			// This host has just started, and is about to receive the list: that is worth the wait.
		case !c.fresh || c.version == 0:
			http.Error(w, "found no recent heartbeat of the owner and no recent answer of discovery", http.StatusServiceUnavailable)
			return
		case c.update.Source != "":
			writeUpdate(w, &c.update)
			return
		case ended:
			http.Error(w, fmt.Sprintf("found version %d cached, wanted %d", c.version, since), http.StatusServiceUnavailable)
			return
		}
		select {
		case <-c.changed:
		case <-timeout:
			ended = true
		case <-time.After(proxyFreshnessCheck):
		case <-r.Context().Done():
			return
		}
	}
}

func writeUpdate(w http.ResponseWriter, u *endpointlist.Update) {
	text := u.Encode()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.Header().Set(listSourceHeader, u.Source)
	w.Write(text)
}

// ListFile is the [list] table of a fleet file.
type ListFile struct {
	// Discovery is watched for the whole zone; Listen is the local endpoint for this
	// host's sidecars. Empty: off.
	Discovery string `toml:"discovery"`
	Listen    string `toml:"listen"`
	// Source names the discovery that assigns the versions, the same for all hosts and
	// sidecars: versions of two can't be compared.
	Source string `toml:"source"`
	// HeartbeatTimeout is how long after the owner's last heartbeat this host watches
	// discovery itself, plus its own part of Jitter; StalenessLimit is how long after
	// the last heartbeat or answer its cache is still served.
	HeartbeatTimeout time.Duration `toml:"silent" min:"1s" max:"1m"`
	Jitter           time.Duration `toml:"spread" min:"0s" max:"5m"`
	StalenessLimit   time.Duration `toml:"stale" min:"2s" max:"5m"`
}
