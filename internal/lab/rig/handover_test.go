package rig

import (
	"context"
	"errors"
	"testing"
)

// endedProcess returns a process that has ended with err.
func endedProcess(err error, exitExpected bool) *Process {
	p := &Process{tail: &outputTail{}, done: make(chan struct{}), err: err}
	p.exitExpected.Store(exitExpected)
	close(p.done)
	return p
}

// Guards against a successor that has handed over in its turn and is taken for one that failed: both
// processes have ended when the rig looks. The choice among both is random, so it is made often.
func TestSuccessorThatHandedOverHasNotFailed(t *testing.T) {
	in := &Instance{Name: "n1"}
	for range 100 {
		if err := in.awaitPredecessor(t.Context(), endedProcess(nil, true), endedProcess(nil, true)); err != nil {
			t.Fatalf("found %v for a successor that has handed over, wanted no error", err)
		}
	}
	running := &Process{tail: &outputTail{}, done: make(chan struct{})}
	for name, successor := range map[string]*Process{"it failed": endedProcess(errors.New("exit status 1"), true), "nobody expected its end": endedProcess(nil, false)} {
		if err := in.awaitPredecessor(t.Context(), running, successor); err == nil {
			t.Errorf("%s: found no error, wanted one", name)
		}
	}
	if err := in.awaitPredecessor(t.Context(), endedProcess(errors.New("signal: killed"), true), running); !errors.Is(err, ErrCrashed) {
		t.Errorf("the old process failed: found %v, wanted %v", err, ErrCrashed)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := in.awaitPredecessor(ctx, running, running); !errors.Is(err, context.Canceled) {
		t.Errorf("both run: found %v, wanted the context's end", err)
	}
}
