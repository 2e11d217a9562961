package scale

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"otterspring/internal/fleet/configuration"
	"otterspring/internal/fleet/coordination/client"
)

const (
	// changeTimeout limits the retries of a change whose outcome is unknown.
	changeTimeout   = 30 * time.Second
	retryDelay      = 50 * time.Millisecond
	creationWorkers = 8    // services created concurrently
	maxChanges      = 1024 // maximum number of changes in flight
	maxFailures     = 20   // maximum number of recorded failures

	// On average, one in conditionalEvery changes has the current version as its IfVersion. One in
	// outdatedEvery changes has an older version as its IfVersion. The cluster must reject such a
	// change. One in duplicateEvery changes is sent again after its acceptance.
	conditionalEvery = 4
	outdatedEvery    = 25
	duplicateEvery   = 20
)

// errNoAttempt is the reason for the unknown outcome of a change that was never sent.
var errNoAttempt = errors.New("no attempt")

// loadGenerator changes the configuration through the cluster and retries each change until its
// outcome is known. At the end it compares the cluster's resources with the accepted changes. It
// is safe for concurrent use.
type loadGenerator struct {
	client   *client.Client
	services []string
	size     int // size of the settings of a service, in bytes
	watchdog *watchdog

	mu        sync.Mutex
	rng       *rand.Rand
	sequence  uint64
	busy      []bool // services with a change in flight
	newest    []configuration.Version
	settings  [][]byte // settings of the newest version of each service
	accepted  []Change
	conflicts int // rejected changes with an outdated IfVersion
	// outdatedAccepted is the number of accepted changes with an outdated IfVersion.
	outdatedAccepted int
	acceptMax        time.Duration
	failures         []error
}

func newLoadGenerator(o *Options, t *Topology, addresses []string, monitor *watchdog) *loadGenerator {
	n := len(t.Services)
	return &loadGenerator{
		client: client.NewClient(Region, addresses), services: t.Services, size: o.SettingsBytes, watchdog: monitor,
		rng: rand.New(rand.NewPCG(o.Seed, 0x6c6f6164)), busy: make([]bool, n), newest: make([]configuration.Version, n), settings: make([][]byte, n),
	}
}

func (l *loadGenerator) close() { l.client.Close() }

// create creates all services.
func (l *loadGenerator) create(ctx context.Context) error {
	if err := l.createFirst(ctx); err != nil {
		return err
	}
	numbers := make(chan int)
	var wg sync.WaitGroup
	for range creationWorkers {
		wg.Go(func() {
			for service := range numbers {
				l.submit(ctx, service, l.newCreation(service), false)
			}
		})
	}
	for service := 1; service < len(l.services); service++ {
		numbers <- service
	}
	close(numbers)
	wg.Wait()
	return firstError(append(l.allFailures(), ctx.Err())...)
}

// createFirst creates the first service. It retries, because a new cluster rejects changes until it
// knows that all of its members support them.
func (l *loadGenerator) createFirst(ctx context.Context) error {
	change := l.newCreation(0)
	rejection := ""
	for started := Now(); Now() < started+startTimeout && ctx.Err() == nil; {
		response, err := l.send(ctx, change)
		if err == nil && response.Rejection == "" && response.Resource != nil {
			l.handleResponse(0, change, response, false, Now())
			return nil
		}
		if err == nil {
			rejection = response.Rejection
		}
		time.Sleep(retryDelay)
	}
	return firstError(ctx.Err(), fmt.Errorf("%s: found no change accepted within %v (%s), wanted one", change.Service, startTimeout, rejection))
}

// newCreation returns the change that creates a service.
func (l *loadGenerator) newCreation(service int) *configuration.Change {
	change := l.newChange(service)
	change.IfVersion = new(configuration.Version)
	return change
}

// send sends a change once.
func (l *loadGenerator) send(ctx context.Context, change *configuration.Change) (*client.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	return l.client.Do(ctx, client.Request{Kind: client.ChangeConfiguration, Change: change})
}

// firstError returns the first error that is not nil.
func firstError(all ...error) error {
	for _, err := range all {
		if err != nil {
			return err
		}
	}
	return nil
}

// run sends changes at a constant rate for a duration and waits until all outcomes are known.
func (l *loadGenerator) run(ctx context.Context, start time.Duration, length time.Duration, perSecond float64) {
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan bool, maxChanges)
	for n := 0; n < int(perSecond*length.Seconds()); n++ {
		due := start + time.Duration(float64(n)/perSecond*float64(time.Second))
		if !sleepUntil(ctx, due) {
			return
		}
		l.watchdog.recordDelay(Now() - due)
		service, found := l.acquireService()
		if !found {
			l.recordFailure(fmt.Errorf("change %d: found a change in flight for all %d services, wanted a free one", n, len(l.services)))
			return
		}
		slots <- true
		wg.Go(func() {
			defer func() { <-slots }()
			l.changeService(ctx, service)
		})
	}
}

// acquireService marks a random service without a change in flight as busy and returns it.
func (l *loadGenerator) acquireService() (service int, found bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := l.rng.IntN(len(l.busy))
	for i := range l.busy {
		if service = (first + i) % len(l.busy); !l.busy[service] {
			l.busy[service] = true
			return service, true
		}
	}
	return 0, false
}

// changeService sends a change of a busy service, possibly repeats it after its acceptance, and
// then marks the service as free.
func (l *loadGenerator) changeService(ctx context.Context, service int) {
	change := l.newChange(service)
	l.mu.Lock()
	version := l.newest[service]
	outdated := version > 1 && l.rng.IntN(outdatedEvery) == 0
	switch {
	case outdated:
		version--
		change.IfVersion = &version
	case l.rng.IntN(conditionalEvery) == 0:
		change.IfVersion = &version
	}
	duplicate := l.rng.IntN(duplicateEvery) == 0
	l.mu.Unlock()
	l.submit(ctx, service, change, outdated)
	if duplicate && !outdated {
		l.submit(ctx, service, change, false)
	}
	l.mu.Lock()
	l.busy[service] = false
	l.mu.Unlock()
}

// newChange returns an unconditional change with unique settings.
func (l *loadGenerator) newChange(service int) *configuration.Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	return &configuration.Change{ID: fmt.Sprintf("change-%08d", l.sequence), Service: l.services[service], Settings: SettingsText(service, l.sequence, l.size)}
}

// submit retries a change until its outcome is known. outdated means that the IfVersion of the
// change is an older version. The cluster must reject such a change.
func (l *loadGenerator) submit(ctx context.Context, service int, change *configuration.Change, outdated bool) {
	started := Now()
	attemptErr := errNoAttempt
	for Now() < started+changeTimeout && ctx.Err() == nil {
		response, err := l.send(ctx, change)
		if err == nil {
			l.handleResponse(service, change, response, outdated, started)
			return
		}
		attemptErr = err
		time.Sleep(retryDelay)
	}
	l.recordFailure(fmt.Errorf("%s of %s: found no outcome within %v (%w), wanted one", change.ID, change.Service, changeTimeout, attemptErr))
}

// handleResponse processes the cluster's response to a change.
func (l *loadGenerator) handleResponse(service int, change *configuration.Change, response *client.Response, outdated bool, started time.Duration) {
	now := Now()
	rejected := response.Rejection != "" || response.Resource == nil
	switch {
	case rejected && outdated && response.Conflict:
		l.mu.Lock()
		l.conflicts++
		l.mu.Unlock()
		return
	case rejected:
		l.recordFailure(fmt.Errorf("%s of %s: found it rejected (%s), wanted it accepted", change.ID, change.Service, response.Rejection))
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if outdated {
		l.outdatedAccepted++
	}
	l.acceptMax = max(l.acceptMax, now-started)
	version := response.Resource.Version
	if version == l.newest[service] && bytes.Equal(l.settings[service], change.Settings) {
		return // a duplicate of an accepted change
	}
	l.accepted = append(l.accepted, Change{Service: service, Version: version, Accepted: now})
	if version > l.newest[service] {
		l.newest[service], l.settings[service] = version, change.Settings
	}
}

func (l *loadGenerator) recordFailure(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.failures) < maxFailures {
		l.failures = append(l.failures, err)
	}
}

func (l *loadGenerator) allFailures() []error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]error(nil), l.failures...)
}

// newestVersions returns the newest accepted version of each service.
func (l *loadGenerator) newestVersions() []configuration.Version {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]configuration.Version(nil), l.newest...)
}

// changes returns the accepted changes, in the order of their responses.
func (l *loadGenerator) changes() []Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Change(nil), l.accepted...)
}

func (l *loadGenerator) acceptedCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.accepted)
}

// readResources reads the resources of all services with linearizable reads.
func (l *loadGenerator) readResources(ctx context.Context) ([]configuration.Resource, error) {
	all := make([]configuration.Resource, len(l.services))
	for i, service := range l.services {
		attempt, cancel := context.WithTimeout(ctx, changeTimeout)
		response, err := l.client.Do(attempt, client.Request{Kind: client.ReadConfiguration, Service: service})
		cancel()
		if err != nil {
			return nil, fmt.Errorf("reading %s: %w", service, err)
		}
		if response.Resource != nil {
			all[i] = *response.Resource
		}
	}
	return all, nil
}

// compare compares the cluster's resources with the accepted changes. It returns how many
// accepted changes are missing, and how many assigned versions belong to no accepted change. The
// cluster assigns such a version if it applies a change twice.
func (l *loadGenerator) compare(resources []configuration.Resource) (lost, duplicate int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return compareResources(resources, l.accepted, l.settings)
}

// compareResources does the work of compare without the lock. settings has the newest accepted
// settings of each service.
func compareResources(resources []configuration.Resource, accepted []Change, settings [][]byte) (lost, duplicate int) {
	lowest, highest := configuration.Version(0), configuration.Version(0)
	newest := make([]configuration.Version, len(resources))
	assigned := map[configuration.Version]bool{}
	for _, change := range accepted {
		if change.Version > resources[change.Service].Version || assigned[change.Version] {
			lost++
		}
		assigned[change.Version] = true
		newest[change.Service] = max(newest[change.Service], change.Version)
		if lowest == 0 || change.Version < lowest {
			lowest = change.Version
		}
		highest = max(highest, change.Version)
	}
	for service := range resources {
		highest = max(highest, resources[service].Version)
		if resources[service].Version == newest[service] && !bytes.Equal(resources[service].Settings, settings[service]) {
			lost++
		}
	}
	if lowest == 0 {
		return lost, duplicate
	}
	return lost, max(0, int(highest-lowest)+1-len(assigned))
}
