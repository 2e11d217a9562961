package scale

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// injector injects the faults of a run. Each fault has its own goroutine.
type injector struct {
	control    *control
	simulators *simulators

	mu     sync.Mutex
	errors []error
}

// run injects each fault at its time and returns when all faults are over.
func (i *injector) run(ctx context.Context, start time.Duration, faults []Fault) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := range faults {
		fault := &faults[n]
		if !sleepUntil(ctx, start+fault.At) {
			return
		}
		wg.Go(func() { i.inject(ctx, fault) })
	}
}

func (i *injector) inject(ctx context.Context, fault *Fault) {
	var err error
	switch fault.Kind {
	case RelayKill, RelayTerminate:
		err = i.restartRelay(ctx, fault)
	case RelaySuspend:
		err = i.suspendRelay(ctx, fault)
	case RelayDisconnect:
		err = i.disconnectRelay(ctx, fault)
	case LeaderKill:
		err = i.killLeader(ctx, fault)
	case RackRestart, ZoneRestart, RoutineRestart:
		err = i.simulators.restart(fault.Subscribers, restartSpread)
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

// restartRelay ends a relay with SIGKILL or SIGTERM and starts it again. The outage lasts until
// the relay is ready.
func (i *injector) restartRelay(ctx context.Context, fault *Fault) error {
	zr := i.control.zoneRelays[fault.Relay]
	zr.mu.Lock()
	defer zr.mu.Unlock()
	since := Now()
	defer func() { i.control.recordOutage(fault.Relay, since) }()
	if fault.Kind == RelayKill {
		zr.process.Kill()
	} else if err := zr.process.terminate(stopTimeout); err != nil {
		return err
	}
	if !sleepUntil(ctx, since+fault.Duration) {
		return ctx.Err()
	}
	if err := i.control.startRelay(zr); err != nil {
		return err
	}
	return i.control.awaitRelay(ctx, zr, startTimeout)
}

// suspendRelay suspends a relay with SIGSTOP and resumes it with SIGCONT.
func (i *injector) suspendRelay(ctx context.Context, fault *Fault) error {
	zr := i.control.zoneRelays[fault.Relay]
	zr.mu.Lock()
	defer zr.mu.Unlock()
	since := Now()
	defer func() { i.control.recordOutage(fault.Relay, since) }()
	if err := zr.process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	sleepUntil(ctx, since+fault.Duration)
	return zr.process.Signal(syscall.SIGCONT)
}

// disconnectRelay blocks the links of a relay to all members for the duration of the fault.
func (i *injector) disconnectRelay(ctx context.Context, fault *Fault) error {
	zr := i.control.zoneRelays[fault.Relay]
	zr.mu.Lock()
	defer zr.mu.Unlock()
	since := Now()
	defer func() { i.control.recordOutage(fault.Relay, since) }()
	for _, link := range zr.links {
		if err := link.SetBlocked(true, true); err != nil {
			return err
		}
	}
	sleepUntil(ctx, since+fault.Duration)
	for _, link := range zr.links {
		if err := link.SetBlocked(false, false); err != nil {
			return err
		}
	}
	return nil
}

// killLeader kills the cluster's leader with SIGKILL and starts its process again.
func (i *injector) killLeader(ctx context.Context, fault *Fault) error {
	leader, err := i.control.awaitLeader(ctx)
	if err != nil {
		return err
	}
	leader.mu.Lock()
	defer leader.mu.Unlock()
	since := Now()
	leader.process.Kill()
	if !sleepUntil(ctx, since+fault.Duration) {
		return ctx.Err()
	}
	return i.control.startMember(leader)
}

// sleepUntil waits until Now reaches due. It returns false if ctx ends first.
func sleepUntil(ctx context.Context, due time.Duration) bool {
	timer := time.NewTimer(due - Now())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
