package scale

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"otterspring/internal/fleet/configuration"
	"otterspring/internal/fleet/coordination/client"
)

const (
	// changeWithin bounds how long a change is repeated whose outcome is not known.
	changeWithin = 30 * time.Second
	repeatAfter  = 50 * time.Millisecond
	creators     = 8 // services that are created at a time
	maxChanges   = 1024
	maxFailures  = 20 // of which the words are kept

	// One change of so many names the version that its service has, one an older
	// version, which must be refused, and one is sent again once it was accepted.
	compareEvery = 4
	olderEvery   = 25
	againEvery   = 20
)

// load makes changes of configuration through the council, each until its outcome is
// known, and holds what the council has at the end against what it accepted.
type load struct {
	client   *client.Client
	services []string
	size     int // of settings, in bytes
	watch    *watchdog

	mu        sync.Mutex
	rng       *rand.Rand
	edition   uint64
	busy      []bool // services with a change under way
	newest    []configuration.Version
	settings  [][]byte // of the newest
	accepted  []Change
	conflicts int // changes for an older version that were refused
	// olderAccepted are changes for an older version that were not refused.
	olderAccepted int
	acceptMax     time.Duration
	failures      []error
}

func newLoad(o *Options, t *Topology, addresses []string, watch *watchdog) *load {
	n := len(t.Services)
	return &load{
		client: client.NewClient(Region, addresses), services: t.Services, size: o.SettingsBytes, watch: watch,
		rng: rand.New(rand.NewPCG(o.Seed, 0x6c6f6164)), busy: make([]bool, n), newest: make([]configuration.Version, n), settings: make([][]byte, n),
	}
}

func (l *load) close() { l.client.Close() }

// create creates all services.
func (l *load) create(ctx context.Context) error {
	if err := l.createFirst(ctx); err != nil {
		return err
	}
	numbers := make(chan int)
	var wg sync.WaitGroup
	for range creators {
		wg.Go(func() {
			for service := range numbers {
				l.submit(ctx, service, l.creation(service), false)
			}
		})
	}
	for service := 1; service < len(l.services); service++ {
		numbers <- service
	}
	close(numbers)
	wg.Wait()
	return firstError(append(l.failed(), ctx.Err())...)
}

// createFirst creates the first service. A new council refuses changes until it
// knows that all of its members can apply them.
func (l *load) createFirst(ctx context.Context) error {
	change := l.creation(0)
	last := ""
	for began := Now(); Now() < began+startWithin && ctx.Err() == nil; {
		answer, err := l.ask(ctx, change)
		if err == nil && answer.Rejection == "" && answer.Resource != nil {
			l.answered(0, change, answer, false, Now())
			return nil
		}
		if err == nil {
			last = answer.Rejection
		}
		time.Sleep(repeatAfter)
	}
	return firstError(ctx.Err(), fmt.Errorf("%s: found no change accepted within %v (%s), wanted one", change.Service, startWithin, last))
}

// creation makes the change that creates a service.
func (l *load) creation(service int) *configuration.Change {
	change := l.draw(service)
	change.IfVersion = new(configuration.Version)
	return change
}

// ask asks for a change once.
func (l *load) ask(ctx context.Context, change *configuration.Change) (*client.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, changeWithin)
	defer cancel()
	return l.client.Do(ctx, client.Request{Kind: client.ChangeConfiguration, Change: change})
}

// firstError is the first of several that is one.
func firstError(all ...error) error {
	for _, err := range all {
		if err != nil {
			return err
		}
	}
	return nil
}

// run makes changes at a pace until an end, and waits until the outcome of all is
// known.
func (l *load) run(ctx context.Context, begin time.Duration, length time.Duration, perSecond float64) {
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan bool, maxChanges)
	for n := 0; n < int(perSecond*length.Seconds()); n++ {
		due := begin + time.Duration(float64(n)/perSecond*float64(time.Second))
		if !sleepUntil(ctx, due) {
			return
		}
		l.watch.late(Now() - due)
		service, found := l.free()
		if !found {
			l.fail(fmt.Errorf("change %d: found all %d services with a change under way, wanted one that is free", n, len(l.services)))
			return
		}
		slots <- true
		wg.Go(func() {
			defer func() { <-slots }()
			l.change(ctx, service)
		})
	}
}

// free draws a service without a change under way and takes it.
func (l *load) free() (service int, found bool) {
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

// change makes one change of a service that was taken, and gives it back.
func (l *load) change(ctx context.Context, service int) {
	change := l.draw(service)
	l.mu.Lock()
	version := l.newest[service]
	older := version > 1 && l.rng.IntN(olderEvery) == 0
	switch {
	case older:
		version--
		change.IfVersion = &version
	case l.rng.IntN(compareEvery) == 0:
		change.IfVersion = &version
	}
	again := l.rng.IntN(againEvery) == 0
	l.mu.Unlock()
	l.submit(ctx, service, change, older)
	if again && !older {
		l.submit(ctx, service, change, false)
	}
	l.mu.Lock()
	l.busy[service] = false
	l.mu.Unlock()
}

// draw makes a change with settings of its own.
func (l *load) draw(service int) *configuration.Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.edition++
	return &configuration.Change{ID: fmt.Sprintf("change-%08d", l.edition), Service: l.services[service], Settings: SettingsText(service, l.edition, l.size)}
}

// submit asks for a change until its outcome is known. older says that it was made
// for an older version, and must be refused.
func (l *load) submit(ctx context.Context, service int, change *configuration.Change, older bool) {
	began := Now()
	var last error
	for Now() < began+changeWithin && ctx.Err() == nil {
		answer, err := l.ask(ctx, change)
		if err == nil {
			l.answered(service, change, answer, older, began)
			return
		}
		last = err
		time.Sleep(repeatAfter)
	}
	l.fail(fmt.Errorf("%s of %s: found no outcome within %v (%v), wanted one", change.ID, change.Service, changeWithin, last))
}

// answered takes the council's answer to a change.
func (l *load) answered(service int, change *configuration.Change, answer *client.Response, older bool, began time.Duration) {
	now := Now()
	refused := answer.Rejection != "" || answer.Resource == nil
	switch {
	case refused && older && answer.Conflict:
		l.mu.Lock()
		l.conflicts++
		l.mu.Unlock()
		return
	case refused:
		l.fail(fmt.Errorf("%s of %s: found it refused (%s), wanted it accepted", change.ID, change.Service, answer.Rejection))
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if older {
		l.olderAccepted++
	}
	l.acceptMax = max(l.acceptMax, now-began)
	version := answer.Resource.Version
	if version == l.newest[service] && bytes.Equal(l.settings[service], change.Settings) {
		return // the repeat of one that was accepted
	}
	l.accepted = append(l.accepted, Change{Service: service, Version: version, Accepted: now})
	if version > l.newest[service] {
		l.newest[service], l.settings[service] = version, change.Settings
	}
}

func (l *load) fail(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.failures) < maxFailures {
		l.failures = append(l.failures, err)
	}
}

func (l *load) failed() []error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]error(nil), l.failures...)
}

// newestVersions are those that were accepted, by service.
func (l *load) newestVersions() []configuration.Version {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]configuration.Version(nil), l.newest...)
}

// changes are those that were accepted, in the order of their answers.
func (l *load) changes() []Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Change(nil), l.accepted...)
}

func (l *load) acceptedSoFar() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.accepted)
}

// held reads what the council holds, as a majority knows it.
func (l *load) held(ctx context.Context) ([]configuration.Resource, error) {
	all := make([]configuration.Resource, len(l.services))
	for i, service := range l.services {
		asking, cancel := context.WithTimeout(ctx, changeWithin)
		answer, err := l.client.Do(asking, client.Request{Kind: client.ReadConfiguration, Service: service})
		cancel()
		if err != nil {
			return nil, fmt.Errorf("reading %s: %w", service, err)
		}
		if answer.Resource != nil {
			all[i] = *answer.Resource
		}
	}
	return all, nil
}

// compare holds what the council has against what it accepted: how many accepted
// changes are missing, and how many versions were given out beyond one a change.
func (l *load) compare(held []configuration.Resource) (lost, twice int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return compareHeld(held, l.accepted, l.settings)
}

// compareHeld is compare's computation; settings are the newest accepted of each
// service.
func compareHeld(held []configuration.Resource, accepted []Change, settings [][]byte) (lost, twice int) {
	first, last := configuration.Version(0), configuration.Version(0)
	newest := make([]configuration.Version, len(held))
	given := map[configuration.Version]bool{}
	for _, change := range accepted {
		if change.Version > held[change.Service].Version || given[change.Version] {
			lost++
		}
		given[change.Version] = true
		newest[change.Service] = max(newest[change.Service], change.Version)
		if first == 0 || change.Version < first {
			first = change.Version
		}
		last = max(last, change.Version)
	}
	for service := range held {
		last = max(last, held[service].Version)
		if held[service].Version == newest[service] && !bytes.Equal(held[service].Settings, settings[service]) {
			lost++
		}
	}
	if first == 0 {
		return lost, twice
	}
	return lost, max(0, int(last-first)+1-len(given))
}
