package supervisor

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"

	"otterspring/internal/fleet/lifecycle"
)

// UnknownInstanceError means that the fleet has no instance with the given name.
type UnknownInstanceError struct {
	Name string
}

// Error implements error.
func (e *UnknownInstanceError) Error() string { return "unknown instance " + strconv.Quote(e.Name) }

// Errors for which a rolling update is not begun.
var (
	errNoProgram       = errors.New("found no executable file")
	errInstanceCount   = errors.New("the number of instances changes only with a restart of the supervisor")
	errInstanceAddress = errors.New("names and addresses of instances change only with a restart of the supervisor")
)

// release is the program and the configurations that a rolling update rolls out.
type release struct {
	program string
	specs   []Spec

	// operation is the fleet-wide operation for which a leader restarts or reloads one
	// instance; empty for a rolling update of this host alone.
	operation string
	instance  int // index of the instance that operation restarts or reloads
}

// programAndSpec returns the program and the spec for a start or reload.
func (s *Supervisor) programAndSpec(action lifecycle.Action) (string, Spec) {
	if action.FromRelease && s.pendingRelease != nil {
		return s.pendingRelease.program, s.pendingRelease.specs[action.Instance]
	}
	return s.program, s.specs[action.Instance]
}

// rollingUpdate is a request for a rolling restart or reload of this host.
type rollingUpdate struct {
	reload bool
	// program is the program that a restart starts. If program is empty, the choice depends on
	// the fleet file. If the reread fleet file names a different program than before, the
	// restart starts this program. Otherwise the restart starts the present program.
	program   string
	instances []string // names of the instances; empty for all instances
}

// startRollingUpdate begins a rolling restart or reload. It rereads the fleet file and its
// templates.
func (s *Supervisor) startRollingUpdate(now time.Duration, change rollingUpdate) ([]lifecycle.Action, error) {
	next, err := s.loadRelease(change.program)
	if err != nil {
		return nil, err
	}
	instances, err := s.instancesByName(change.instances)
	if err != nil {
		return nil, err
	}
	begin := s.lifecycle.RollingRestart
	if change.reload {
		begin = s.lifecycle.RollingReload
	}
	actions, err := begin(now, instances, true)
	if err == nil {
		s.pendingRelease = next
	}
	return actions, err
}

// loadRelease rereads the fleet file. The instances in the file must have the names and
// addresses of the running instances.
func (s *Supervisor) loadRelease(program string) (*release, error) {
	file, err := LoadFile(s.file.Path)
	if err != nil {
		return nil, err
	}
	next := &release{program: s.program}
	if file.Program != s.file.Program {
		next.program = file.Program
	}
	if program != "" {
		next.program = program
		if !isExecutable(program) {
			return nil, fmt.Errorf("program %q: %w", program, errNoProgram)
		}
	}
	if next.specs, err = file.Specs(); err != nil {
		return nil, err
	}
	if len(next.specs) != len(s.specs) {
		return nil, fmt.Errorf("%s: found %d instances, expected the %d that run: %w", file.Path, len(next.specs), len(s.specs), errInstanceCount)
	}
	for i, found := range next.specs {
		expected := s.specs[i]
		if found.Name != expected.Name || found.Listen != expected.Listen {
			return nil, fmt.Errorf("%s: found %s on %s, expected %s on %s: %w", file.Path, found.Name, found.Listen, expected.Name, expected.Listen, errInstanceAddress)
		}
	}
	return next, nil
}

// isExecutable reports whether a path is that of an executable file.
func isExecutable(path string) bool {
	info, err := os.Stat(path)
	return err == nil && !info.IsDir() && info.Mode()&0o111 != 0
}

// instancesByName returns the indexes of the instances with the given names, or an
// UnknownInstanceError.
func (s *Supervisor) instancesByName(names []string) ([]int, error) {
	var instances []int
	for _, name := range names {
		i, err := s.instanceByName(name)
		if err != nil {
			return nil, err
		}
		instances = append(instances, i)
	}
	return instances, nil
}

func (s *Supervisor) instanceByName(name string) (int, error) {
	for i, spec := range s.specs {
		if spec.Name == name {
			return i, nil
		}
	}
	return 0, &UnknownInstanceError{Name: name}
}

// commitRelease makes all later starts use the pending release, which has been rolled out.
func (s *Supervisor) commitRelease() {
	if s.pendingRelease == nil {
		return
	}
	s.program, s.specs = s.pendingRelease.program, s.pendingRelease.specs
	if s.pendingRelease.operation != "" {
		s.recordCompletedOperation()
	}
	s.pendingRelease = nil
}

// recordCompletedOperation records that the pending release's operation has succeeded on
// its instance.
func (s *Supervisor) recordCompletedOperation() {
	i, operation := s.pendingRelease.instance, s.pendingRelease.operation
	s.operations[i] = operation
	for _, p := range s.processes[i] {
		p.operation = operation // a reloaded process was started for an earlier operation
	}
	delete(s.failedOperations, i)
	s.saveState()
}

// recordFailedOperation records that the pending release's operation has failed on its
// instance. It does so only if the rolling update has ended without a commit.
func (s *Supervisor) recordFailedOperation() {
	if s.pendingRelease == nil || s.pendingRelease.operation == "" || s.lifecycle.UpdateInProgress() {
		return
	}
	s.failedOperations[s.pendingRelease.instance] = s.pendingRelease.operation
	s.pendingRelease = nil
}
