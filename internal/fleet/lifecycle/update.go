package lifecycle

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"
)

// Errors of the methods that control rolling updates.
var (
	ErrStopping         = errors.New("the fleet is stopping")
	ErrUpdateInProgress = errors.New("another rolling update is in progress")
	ErrNoUpdate         = errors.New("no rolling update is in progress")
	ErrNotPaused        = errors.New("no rolling update is paused")
)

// rollingUpdate is a rolling restart or reload.
type rollingUpdate struct {
	reload              bool
	hasRelease          bool         // the update brings a release and is rolled back on failures
	pending             []int        // instances whose update has not begun, in update order
	active              map[int]bool // instances whose update has begun but not finished
	updated             []int        // instances that succeeded since the update or its rollback began
	succeeded           int
	failed              int
	consecutiveFailures int
	pausedAfter         int // number of consecutive failures that paused the update; 0 while it is not paused
	rollingBack         bool
}

func (u *rollingUpdate) paused() bool { return u.pausedAfter > 0 }

// UpdateInProgress reports whether a rolling update is running, that is, not paused.
func (c *Controller) UpdateInProgress() bool { return c.update != nil && !c.update.paused() }

// RollingRestart begins a rolling restart of the given instances, or of all instances if
// the slice is empty. The parameter hasRelease states that the restart brings a release,
// which is rolled back on failures. The restart replaces a paused update. The errors are
// ErrStopping and ErrUpdateInProgress.
func (c *Controller) RollingRestart(now time.Duration, instances []int, hasRelease bool) ([]Action, error) {
	return c.startUpdate(now, instances, &rollingUpdate{hasRelease: hasRelease})
}

// RollingReload begins a rolling reload. Parameters and errors are those of
// RollingRestart.
func (c *Controller) RollingReload(now time.Duration, instances []int, hasRelease bool) ([]Action, error) {
	return c.startUpdate(now, instances, &rollingUpdate{reload: true, hasRelease: hasRelease})
}

func (c *Controller) startUpdate(now time.Duration, instances []int, update *rollingUpdate) ([]Action, error) {
	if c.stopping {
		return nil, ErrStopping
	}
	if c.UpdateInProgress() {
		return nil, fmt.Errorf("%w: %s", ErrUpdateInProgress, c.UpdateStatus())
	}
	update.pending, update.active = slices.Clone(instances), map[int]bool{}
	if len(instances) == 0 {
		for i := range c.instances {
			update.pending = append(update.pending, i)
		}
	}
	c.rng.Shuffle(len(update.pending), func(a, b int) {
		update.pending[a], update.pending[b] = update.pending[b], update.pending[a]
	})
	c.update = update
	for _, i := range update.pending {
		c.instances[i].fromRelease = false
	}
	c.advanceUpdate(now)
	return c.takeActions(), nil
}

// advanceUpdate begins to update further instances, at most MaxConcurrent at the same
// time. It finishes the rolling update after the last instance.
func (c *Controller) advanceUpdate(now time.Duration) {
	if !c.UpdateInProgress() || c.stopping {
		return
	}
	update := c.update
	for len(update.pending) > 0 && len(update.active) < c.config.MaxConcurrent {
		next := slices.IndexFunc(update.pending, func(i int) bool { return c.instances[i].updatable() })
		if next < 0 || !update.reload && c.started && now < c.lastStart+c.config.StartInterval {
			return
		}
		i := update.pending[next]
		update.pending = slices.Delete(update.pending, next, next+1)
		update.active[i] = true
		c.updateInstance(now, i)
	}
	if len(update.pending) == 0 && len(update.active) == 0 {
		c.finishUpdate()
	}
}

// updateInstance restarts or reloads one instance.
func (c *Controller) updateInstance(now time.Duration, i int) {
	in, update := &c.instances[i], c.update
	in.fromRelease = update.hasRelease && !update.rollingBack
	switch {
	case in.phase != Ready:
		in.resetCrashes(now)
		c.startDue(now)
	case update.reload:
		in.phase = Reloading
		process := in.newest()
		process.setDeadline(now, c.config.ReadyTimeout, notReloaded)
		c.addAction(Action{Kind: ReloadProcess, Instance: i, Process: process.id, FromRelease: in.fromRelease})
	case c.config.Handover:
		c.start(i, now, Handover)
	default:
		in.restartOnExit = true
		c.terminate(i, now)
	}
}

// finishInstanceUpdate records the result for an instance that is active in the rolling
// update. It ignores other instances. PauseAfterFailures consecutive failures pause an
// update without a release and roll back an update with a release. Failures during a
// rollback do not pause the rollback.
func (c *Controller) finishInstanceUpdate(i int, succeeded bool) {
	update := c.update
	if update == nil || !update.active[i] {
		return
	}
	delete(update.active, i)
	if succeeded {
		update.succeeded++
		update.consecutiveFailures = 0
		update.updated = append(update.updated, i)
		return
	}
	update.failed++
	update.consecutiveFailures++
	c.instances[i].fromRelease = false
	if update.rollingBack || update.consecutiveFailures < c.config.PauseAfterFailures {
		return
	}
	failures := slog.Int("consecutive_failures", update.consecutiveFailures)
	if !update.hasRelease {
		update.pausedAfter = update.consecutiveFailures
		c.emit(i, "rolling update paused", failures)
		return
	}
	c.emit(i, "rolling update failed; rolling back", failures)
	update.rollingBack, update.pending, update.updated = true, update.updated, nil
}

// finishUpdate ends the rolling update, and commits its release if no instance failed.
func (c *Controller) finishUpdate() {
	update := c.update
	c.update = nil
	if !update.rollingBack && update.hasRelease && update.failed == 0 {
		c.addAction(Action{Kind: CommitRelease})
	}
	for i := range c.instances {
		c.instances[i].fromRelease = false
	}
	c.addAction(Action{Kind: EmitEvent, Instance: WholeFleet, Event: Event{
		Message:      "rolling update finished",
		Attrs:        []slog.Attr{slog.Int("succeeded", update.succeeded), slog.Int("failed", update.failed), slog.Bool("rolled_back", update.rollingBack)},
		textOverride: update.summary(),
	}})
}

// Resume continues a paused rolling update. It returns ErrNotPaused if no update is
// paused.
func (c *Controller) Resume(now time.Duration) ([]Action, error) {
	if c.update == nil || !c.update.paused() {
		return nil, ErrNotPaused
	}
	c.update.pausedAfter, c.update.consecutiveFailures = 0, 0
	c.advanceUpdate(now)
	return c.takeActions(), nil
}

// Cancel cancels the rolling update. The restarts and reloads that have begun still
// finish. It returns ErrNoUpdate if there is no rolling update.
func (c *Controller) Cancel() ([]Action, error) {
	if c.update == nil {
		return nil, ErrNoUpdate
	}
	c.emit(WholeFleet, "rolling update cancelled", slog.String("progress", c.UpdateStatus()))
	c.update = nil
	return c.takeActions(), nil
}
