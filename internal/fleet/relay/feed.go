package relay

import (
	"slices"
	"sync"
	"time"

	"otterspring/internal/fleet/configuration"
)

// feed holds the configuration that a relay has received from the cluster, the time of the
// last contact with the cluster, and the polls that wait for a newer version. It is safe for
// concurrent use.
type feed struct {
	mu          sync.RWMutex
	cache       configuration.Cache
	lastContact contact

	waitersMu sync.Mutex // acquired after mu
	waiters   map[*waiter]struct{}
}

// contact is the last contact with the cluster. Its time is that at which the relay sent its
// latest call that got an update. The contact must be read together with the cached version,
// since a response must not report an old version with the age of a newer version.
type contact struct {
	at    time.Duration // on the bootclock
	known bool          // whether there was a contact at all
}

// age returns the time since the contact, or 0 if there was none.
func (c contact) age(now time.Duration) time.Duration {
	if !c.known {
		return 0
	}
	return max(0, now-c.at)
}

// waiter is a poll that waits for a newer version. The handler of the poll owns the waiter and
// removes it from the feed.
type waiter struct {
	poll   *configuration.Poll
	behind bool          // whether the relay is behind the subscriber; any newer version then wakes the poll
	wakeup chan struct{} // wakes the poll; has capacity 1
}

func newFeed() *feed { return &feed{waiters: map[*waiter]struct{}{}} }

// apply applies an update from the cluster and wakes the polls that the update concerns. sent
// is the time at which the relay sent the call that returned the update. apply returns the
// error from configuration.Cache.Apply.
func (f *feed) apply(sent time.Duration, update configuration.Update) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.cache.Version()
	changes, err := f.cache.Apply(update)
	if err != nil {
		return err
	}
	f.lastContact = contact{at: max(f.lastContact.at, sent), known: true}
	if f.cache.Version() != before {
		f.wake(changes.Updated, update.IsSnapshot())
	}
	return nil
}

// wake wakes the polls that subscribe to a changed resource. It also wakes the polls whose
// subscriber had a newer version than the relay. If all is set, it wakes all polls.
func (f *feed) wake(changed []configuration.Resource, all bool) {
	f.waitersMu.Lock()
	defer f.waitersMu.Unlock()
	for w := range f.waiters {
		if !all && !w.behind && !subscribes(w.poll.Services, changed) {
			continue
		}
		select {
		case w.wakeup <- struct{}{}:
		default: // a wakeup is already pending
		}
	}
}

// subscribes reports whether a subscription includes one of the resources.
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

// removeWaiter removes a poll that no longer waits.
func (f *feed) removeWaiter(w *waiter) {
	f.waitersMu.Lock()
	defer f.waitersMu.Unlock()
	delete(f.waiters, w)
}

// addWaiter adds a poll that waits for an update. The caller must hold mu from reading the
// cache until addWaiter returns, so that no version is applied in between.
func (f *feed) addWaiter(w *waiter, behind bool) {
	f.waitersMu.Lock()
	defer f.waitersMu.Unlock()
	w.behind = behind
	f.waiters[w] = struct{}{}
}

// state returns the cached version and the last contact.
func (f *feed) state() (configuration.Version, contact) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.cache.Version(), f.lastContact
}

// pollState is the state of the feed relative to the version of a poll.
type pollState int

const (
	feedNotReady  pollState = iota // the cluster has not been contacted yet
	feedBehind                     // the subscriber has a newer version than the feed
	upToDate                       // the subscriber has the newest version of its services
	needsDelta                     // services of the subscriber have changed
	needsSnapshot                  // the subscriber has no version that a delta could start from
)

// feedView is the state of the feed and the update for one poll, read at the same moment.
type feedView struct {
	state   pollState
	update  configuration.Update // set for upToDate, needsDelta and needsSnapshot
	contact contact              // last contact at the moment at which update was read
}

// view returns the state and the update for a poll. If the poll has to wait for a newer
// version, view registers it as a waiter.
func (f *feed) view(w *waiter) feedView {
	f.mu.RLock()
	defer f.mu.RUnlock()
	cached := f.cache.Version()
	switch {
	case !f.lastContact.known:
		return feedView{state: feedNotReady}
	case w.poll.Version > cached:
		f.addWaiter(w, true)
		return feedView{state: feedBehind, contact: f.lastContact}
	}
	view := feedView{state: upToDate, update: f.cache.UpdateSince(w.poll.Version, w.poll.Services), contact: f.lastContact}
	switch {
	case cached != 0 && view.update.IsSnapshot():
		view.state = needsSnapshot
	case len(view.update.Resources) > 0:
		view.state = needsDelta
	default:
		f.addWaiter(w, false)
	}
	return view
}
