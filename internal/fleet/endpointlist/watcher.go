package endpointlist

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// failureLimit is how long a lease holder's requests to discovery may fail before it
	// releases the lease.
	failureLimit = 3 * time.Second
	// releaseMargin is how long before its list becomes stale a lease holder without answers
	// from discovery releases the lease. The margin gives the next holder time to have
	// discovery confirm the list before the sidecars of all hosts fall back to calling
	// discovery.
	releaseMargin = 700 * time.Millisecond
)

// Settings limits how long a host relies on the last data that it received.
type Settings struct {
	// HeartbeatTimeout is the time after the lease holder's last heartbeat at which a host
	// starts to watch discovery itself. Each host adds a share of Jitter, derived from the
	// host's name, so that the hosts do not all start at the same time.
	HeartbeatTimeout, Jitter time.Duration
	// StalenessLimit is how long the cache may be served after discovery last confirmed the
	// list. The confirmation was sent to this host or to the host that relayed the list.
	StalenessLimit time.Duration
}

// Watcher decides whether a host watches discovery itself and whether its cache is
// fresh enough to be served.
type Watcher struct {
	settings Settings
	jitter   time.Duration // this host's share of Settings.Jitter
	// heartbeatAt is when the heartbeat timeout last started: at the lease holder's last
	// heartbeat, when this host released the lease, or when the watcher was created.
	heartbeatAt time.Duration
	// confirmedAt is when discovery last confirmed the list. The confirmation was sent to
	// this host or to a lease holder whose heartbeat carried the age of the confirmation.
	confirmedAt time.Duration
	initialized bool // a heartbeat or an answer from discovery has arrived
	fallback    bool // the lease holder's heartbeats have timed out
	leader      bool // this host holds the lease
}

// NewWatcher returns the watcher of a host that has received no data yet.
func NewWatcher(settings Settings, host string, now time.Duration) *Watcher {
	w := &Watcher{settings: settings, heartbeatAt: now, confirmedAt: now - settings.StalenessLimit}
	if settings.Jitter > 0 {
		w.jitter = time.Duration(xxhash.Sum64String(host) % uint64(settings.Jitter))
	}
	return w
}

// Heartbeat records a heartbeat sent by the lease holder. The caller has checked that the
// fence accepts the heartbeat and that the sender's list is fresh. The parameter age is
// the time since discovery confirmed the list to the sender. Without the age, the
// staleness limit would start anew at each host that relays the list.
func (w *Watcher) Heartbeat(now, age time.Duration) {
	w.heartbeatAt, w.fallback, w.initialized = now, false, true
	if !w.leader { // a lease holder's own heartbeats do not confirm its list
		w.confirmedAt = max(w.confirmedAt, now-age)
	}
}

// DiscoveryAnswered records an answer from discovery, which confirms the list.
func (w *Watcher) DiscoveryAnswered(now time.Duration) { w.confirmedAt, w.initialized = now, true }

// SetLeader records whether this host holds the lease. A host that releases the lease
// waits a full heartbeat timeout for the next holder.
func (w *Watcher) SetLeader(leader bool, now time.Duration) {
	if w.leader && !leader {
		w.heartbeatAt = now
	}
	w.leader = leader
}

// Leader reports whether this host holds the lease.
func (w *Watcher) Leader() bool { return w.leader }

// Initialized reports whether a heartbeat or an answer from discovery has arrived.
func (w *Watcher) Initialized() bool { return w.initialized }

// ShouldWatch reports whether this host should watch discovery. The host should do so if
// it holds the lease or if the lease holder's heartbeats have timed out. It should also do
// so if it has just started and its cache is empty, since each of its sidecars would
// otherwise call discovery.
func (w *Watcher) ShouldWatch(now time.Duration) bool {
	if now > w.heartbeatAt+w.settings.HeartbeatTimeout+w.jitter {
		w.fallback = true
	}
	return w.leader || w.fallback || !w.initialized
}

// Fallback reports whether this host watches discovery without the lease because
// heartbeats have timed out.
func (w *Watcher) Fallback() bool { return w.fallback && !w.leader }

// Fresh reports whether the cache may be served.
func (w *Watcher) Fresh(now time.Duration) bool {
	return w.initialized && w.Age(now) <= w.settings.StalenessLimit
}

// Age returns the time since discovery last confirmed the list.
func (w *Watcher) Age(now time.Duration) time.Duration { return now - w.confirmedAt }

// ShouldReleaseLease reports whether this host, as the lease holder, should release the
// lease. Its requests to discovery have been failing since failingSince.
func (w *Watcher) ShouldReleaseLease(now, failingSince time.Duration) bool {
	return now > failingSince+failureLimit || w.Age(now) > w.settings.StalenessLimit-releaseMargin
}
