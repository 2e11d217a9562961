package relay

import (
	"sync"
	"time"

	"otterspring/internal/fleet/configuration"
)

// feed is what a relay has of its council: the newest resources, and when it last
// heard that there are no newer ones.
type feed struct {
	mu    sync.RWMutex
	cache configuration.Cache
	news  chan struct{} // closed and made anew with each newer version
	heard time.Duration // when the newest call was sent that was answered
	known bool          // whether one ever was
}

func newFeed() *feed { return &feed{news: make(chan struct{})} }

// take takes the answer to a call that was sent at a time. It wakes who waits for a
// newer version.
func (f *feed) take(sent time.Duration, update configuration.Update) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.cache.Version()
	if _, err := f.cache.Take(update); err != nil {
		return err
	}
	first := !f.known
	f.heard, f.known = max(f.heard, sent), true
	if first || f.cache.Version() != before {
		close(f.news)
		f.news = make(chan struct{})
	}
	return nil
}

// version is the newest that is held, and whether a council was ever heard.
func (f *feed) version() (configuration.Version, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.cache.Version(), f.known
}

// age is how long ago the newest call was sent that was answered; 0 where none ever
// was.
func (f *feed) age(now time.Duration) time.Duration {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if !f.known {
		return 0
	}
	return max(0, now-f.heard)
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

// look tells how a poll stands, with the update that would answer it and what is
// closed once there is a newer version.
func (f *feed) look(p *configuration.Poll) (standing, configuration.Update, <-chan struct{}) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	held := f.cache.Version()
	switch {
	case !f.known:
		return notReady, configuration.Update{}, f.news
	case p.Version > held:
		return behind, configuration.Update{}, f.news
	}
	update := f.cache.Since(p.Version, p.Services)
	switch {
	case held == 0:
		return current, update, f.news // a council without any service
	case update.Snapshot():
		return lacksSnapshot, update, f.news
	case len(update.Resources) > 0:
		return lacksDelta, update, f.news
	}
	return current, update, f.news
}
