package relay

import (
	"slices"
	"sync"
	"time"

	"otterspring/internal/fleet/configuration"
)

// feed is what a relay has of its council: the newest resources, and when it last
// heard that there are no newer ones.
type feed struct {
	mu    sync.RWMutex
	cache configuration.Cache
	heard hearing

	waitersMu sync.Mutex // taken after mu
	waiters   map[*waiter]struct{}
}

// hearing is when a council was last heard: the newest call that was answered was
// sent at that time. It is kept with what was held then, since an old version must not
// be told with the age of a newer one.
type hearing struct {
	at    time.Duration
	known bool // whether one ever was
}

// measuredAge is how long ago a council was heard; 0 where none ever was.
func (h hearing) age(now time.Duration) time.Duration {
	if !h.known {
		return 0
	}
	return max(0, now-h.at)
}

// waiter is a poll that waits for news. Its handler is its owner, and takes it out.
type waiter struct {
	poll   *configuration.Poll
	behind bool          // any newer version is news
	news   chan struct{} // takes one
}

func newFeed() *feed { return &feed{waiters: map[*waiter]struct{}{}} }

// take takes the answer to a call that was sent at a time. It wakes the polls for
// which there is news.
func (f *feed) take(sent time.Duration, update configuration.Update) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.cache.Version()
	taken, err := f.cache.Apply(update)
	if err != nil {
		return err
	}
	f.heard = hearing{at: max(f.heard.at, sent), known: true}
	if f.cache.Version() != before {
		f.wake(taken.Updated, update.IsSnapshot())
	}
	return nil
}

// wake wakes the polls that subscribe to something that has changed, or all of them.
func (f *feed) wake(changed []configuration.Resource, all bool) {
	f.waitersMu.Lock()
	defer f.waitersMu.Unlock()
	for w := range f.waiters {
		if !all && !w.behind && !subscribes(w.poll.Services, changed) {
			continue
		}
		select {
		case w.news <- struct{}{}:
		default: // it has been woken, and not looked yet
		}
	}
}

// subscribes tells whether a subscription has one of the resources.
func subscribes(subscription configuration.Subscription, resources []configuration.Resource) bool {
	if subscription == nil {
		return true
	}
	for _, resource := range resources {
		if slices.Contains(subscription, resource.Service) {
			return true
		}
	}
	return false
}

// forget takes a poll out that does not wait any more.
func (f *feed) forget(w *waiter) {
	f.waitersMu.Lock()
	defer f.waitersMu.Unlock()
	delete(f.waiters, w)
}

// enter has a poll woken when there is news. The caller holds mu, so that no news
// comes between its look and this.
func (f *feed) enter(w *waiter, behind bool) {
	f.waitersMu.Lock()
	defer f.waitersMu.Unlock()
	w.behind = behind
	f.waiters[w] = struct{}{}
}

// state is the newest version that is held, and when the council was heard that
// has no newer one.
func (f *feed) state() (configuration.Version, hearing) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.cache.Version(), f.heard
}

// standing is how a poll stands to what the feed holds.
type standing int

const (
	notReady      standing = iota // nothing is held yet
	behind                        // the subscriber holds a newer version
	current                       // there is nothing that the subscriber lacks
	lacksDelta                    // some of its resources have changed
	lacksSnapshot                 // it holds nothing that a delta could begin at
)

// view is what the feed has for a poll.
type view struct {
	stands standing
	update configuration.Update // that answers the poll, if it may be answered
	heard  hearing              // of what is held
}

// look tells how a poll stands. One that lacks nothing is entered among those that
// wait.
func (f *feed) look(w *waiter) view {
	f.mu.RLock()
	defer f.mu.RUnlock()
	held := f.cache.Version()
	switch {
	case !f.heard.known:
		return view{stands: notReady}
	case w.poll.Version > held:
		f.enter(w, true)
		return view{stands: behind, heard: f.heard}
	}
	seen := view{stands: current, update: f.cache.UpdateSince(w.poll.Version, w.poll.Services), heard: f.heard}
	switch {
	case held != 0 && seen.update.IsSnapshot():
		seen.stands = lacksSnapshot
	case len(seen.update.Resources) > 0:
		seen.stands = lacksDelta
	default:
		f.enter(w, false)
	}
	return seen
}
