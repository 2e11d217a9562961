package relay

import (
	"slices"
	"sync"
	"time"

	"otterspring/internal/fleet/configuration"
)

// feed is the configuration that a relay has received from the cluster, with the time up
// to which it is complete, and the polls that wait for a newer version. It may be used
// by several goroutines.
type feed struct {
	mu          sync.RWMutex
	cache       configuration.Cache
	lastContact contact

	waitersMu sync.Mutex // locked after mu
	waiters   map[*waiter]struct{}
}

// contact is the last contact with the cluster: when the newest call that got a response
// was sent. It goes with the version that was cached then, since a response must not
// give an old version the age of a newer one.
type contact struct {
	at    time.Duration // by bootclock
	known bool          // whether there was any
}

// age returns the time since the contact; 0 if there was none.
func (c contact) age(now time.Duration) time.Duration {
	if !c.known {
		return 0
	}
	return max(0, now-c.at)
}

// waiter is a poll that waits for a newer version. Its handler owns and removes it.
type waiter struct {
	poll   *configuration.Poll
	behind bool          // woken by any newer version
	wakeup chan struct{} // of capacity 1
}

func newFeed() *feed { return &feed{waiters: map[*waiter]struct{}{}} }

// apply applies the response to a call that was sent at a time. It wakes the polls for
// which there is an update. Its error is the one of configuration.Cache.Apply.
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

// wake wakes the polls that subscribe to a changed resource, or all of them.
func (f *feed) wake(changed []configuration.Resource, all bool) {
	f.waitersMu.Lock()
	defer f.waitersMu.Unlock()
	for w := range f.waiters {
		if !all && !w.behind && !subscribes(w.poll.Services, changed) {
			continue
		}
		select {
		case w.wakeup <- struct{}{}:
		default: // woken already, and not running yet
		}
	}
}

// subscribes reports whether a subscription has one of the resources.
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

// removeWaiter removes a poll that does not wait any more.
func (f *feed) removeWaiter(w *waiter) {
	f.waitersMu.Lock()
	defer f.waitersMu.Unlock()
	delete(f.waiters, w)
}

// addWaiter adds a poll that is woken for an update. The caller has locked mu, so that no
// version comes between its view and this.
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

// pollState is what the feed has for a poll.
type pollState int

const (
	feedNotReady  pollState = iota // there was no contact with the cluster yet
	feedBehind                     // the subscriber has a newer version
	upToDate                       // the subscriber has the newest version of its services
	needsDelta                     // some of its services have changed
	needsSnapshot                  // it has no version that a delta could start from
)

// feedView is a feed's state as seen by a poll.
type feedView struct {
	state   pollState
	update  configuration.Update // for the poll, if the state is one of the last three
	contact contact              // that goes with the update's version
}

// view returns the state for a poll. A poll that needs no update becomes a waiter.
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
