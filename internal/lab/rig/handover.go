package rig

import (
	"context"
	"fmt"
	"strings"
)

// HandOver starts a new process that takes over the listener. It waits until the old processes have ended and the
// new process is ready.
func (in *Instance) HandOver(ctx context.Context) error {
	oldProcesses := in.runningProcesses()
	for _, oldProcess := range oldProcesses {
		oldProcess.exitExpected.Store(true)
	}
	if err := in.writeConfig(); err != nil {
		return err
	}
	successor, err := in.spawnDefault()
	if err != nil {
		return err
	}
	for _, oldProcess := range oldProcesses {
		if err := in.awaitPredecessor(ctx, oldProcess, successor); err != nil {
			return err
		}
	}
	err = in.awaitReady(ctx, successor)
	if err != nil && successor.handedOver() {
		return nil // its own successor was ready, or it would not have ended
	}
	return err
}

// awaitPredecessor waits until the old process of a handover has ended. The successor may hand over in its turn and
// end before that.
func (in *Instance) awaitPredecessor(ctx context.Context, oldProcess, successor *Process) error {
	successorDone := successor.done
	for {
		select {
		case <-oldProcess.done:
			if oldProcess.err != nil {
				return fmt.Errorf("instance %s: the old process ended with %v: %s: %w", in.Name, oldProcess.err, strings.TrimSpace(oldProcess.tail.String()), ErrCrashed)
			}
			return nil
		case <-successorDone:
			if !successor.handedOver() {
				return fmt.Errorf("instance %s: the new process ended: %v: %s", in.Name, successor.err, strings.TrimSpace(successor.tail.String()))
			}
			successorDone = nil
		case <-ctx.Done():
			return fmt.Errorf("instance %s: the old process did not end: %w", in.Name, ctx.Err())
		}
	}
}

// handedOver reports whether the process has ended as the old process of a handover.
func (p *Process) handedOver() bool {
	select {
	case <-p.done:
		return p.err == nil && p.exitExpected.Load()
	default:
		return false
	}
}
