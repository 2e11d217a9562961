package scale

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// injector carries out the faults of a run, each in a goroutine of its own.
type injector struct {
	control *control
	hollows *hollows

	mu     sync.Mutex
	errors []error
}

// run carries out faults at their moments and returns when all of them are over.
func (i *injector) run(ctx context.Context, begin time.Duration, faults []Fault) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := range faults {
		fault := &faults[n]
		if !sleepUntil(ctx, begin+fault.At) {
			return
		}
		wg.Go(func() { i.strike(ctx, fault) })
	}
}

func (i *injector) strike(ctx context.Context, fault *Fault) {
	var err error
	switch fault.Kind {
	case RelayKill, RelayTerm:
		err = i.replaceRelay(ctx, fault)
	case RelayStop:
		err = i.stopRelay(ctx, fault)
	case RelayCut:
		err = i.cutRelay(ctx, fault)
	case LeaderKill:
		err = i.killLeader(ctx, fault)
	case RackRestart, ZoneRestart, DayRestart:
		err = i.hollows.restart(fault.Subscribers, restartWithin)
	}
	if err == nil || ctx.Err() != nil {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.errors = append(i.errors, fmt.Errorf("fault %s: %w", fault, err))
}

func (i *injector) failures() []error {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]error(nil), i.errors...)
}

// replaceRelay ends a relay, by SIGKILL or SIGTERM, and starts it again. It is at
// fault until it answers again.
func (i *injector) replaceRelay(ctx context.Context, fault *Fault) error {
	one := i.control.zones[fault.Relay]
	one.mu.Lock()
	defer one.mu.Unlock()
	since := Now()
	defer func() { i.control.atFault(fault.Relay, since) }()
	if fault.Kind == RelayKill {
		one.process.Kill()
	} else if err := one.process.terminate(endWithin); err != nil {
		return err
	}
	if !sleepUntil(ctx, since+fault.For) {
		return ctx.Err()
	}
	if err := i.control.startRelay(one); err != nil {
		return err
	}
	return i.control.awaitRelay(ctx, one, startWithin)
}

// stopRelay stops a relay and wakes it.
func (i *injector) stopRelay(ctx context.Context, fault *Fault) error {
	one := i.control.zones[fault.Relay]
	one.mu.Lock()
	defer one.mu.Unlock()
	since := Now()
	defer func() { i.control.atFault(fault.Relay, since) }()
	if err := one.process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	defer one.process.Signal(syscall.SIGCONT)
	sleepUntil(ctx, since+fault.For)
	return nil
}

// cutRelay cuts a relay off from all members of the council.
func (i *injector) cutRelay(ctx context.Context, fault *Fault) error {
	one := i.control.zones[fault.Relay]
	one.mu.Lock()
	defer one.mu.Unlock()
	since := Now()
	defer func() { i.control.atFault(fault.Relay, since) }()
	for _, link := range one.links {
		if err := link.Cut(true, true); err != nil {
			return err
		}
	}
	sleepUntil(ctx, since+fault.For)
	for _, link := range one.links {
		if err := link.Cut(false, false); err != nil {
			return err
		}
	}
	return nil
}

// killLeader kills the member that leads, and starts it again.
func (i *injector) killLeader(ctx context.Context, fault *Fault) error {
	leader, err := i.control.awaitLeader(ctx)
	if err != nil {
		return err
	}
	leader.mu.Lock()
	defer leader.mu.Unlock()
	since := Now()
	leader.process.Kill()
	if !sleepUntil(ctx, since+fault.For) {
		return ctx.Err()
	}
	return i.control.startMember(leader)
}

// sleepUntil waits for a moment by CLOCK_MONOTONIC; false if ctx ended first.
func sleepUntil(ctx context.Context, moment time.Duration) bool {
	timer := time.NewTimer(moment - Now())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
