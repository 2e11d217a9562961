package supervisor

import (
	"cmp"
	"context"
	"errors"
	"os"
	"slices"
)

// candidate is a running process of a configured instance that may be adopted.
type candidate struct {
	instance int
	process  *process
	healthy  bool
}

// adoptAll adopts the processes that the previous supervisor left running: the processes in
// the state file, and the processes labeled with this fleet's directory. A labeled process
// may be missing from the state file if the supervisor was killed between the start of the
// process and the write, or if the disk was full.
func (s *Supervisor) adoptAll(ctx context.Context) {
	instances := map[string]int{}
	for i, spec := range s.specs {
		instances[spec.Name] = i
	}
	var candidates []candidate
	for _, saved := range s.adoptableProcesses() {
		i, known := instances[saved.Name]
		if known && saved.Operation != "" && saved.Program == s.program {
			s.operations[i] = saved.Operation
		}
		proc := adopt(saved.PID, saved.StartTime)
		if proc == nil {
			continue
		}
		// The state file takes precedence over the environment. The process may have been
		// reloaded for another operation since its start, and its environment does not show
		// the reload.
		proc.operation = cmp.Or(saved.Operation, environment(proc.pid)[operationVariable])
		proc.program = cmp.Or(saved.Program, s.program)
		if !known || s.specs[i].Listen != saved.Listen {
			s.events.Info("running process is not in the fleet file; not managed", "instance", saved.Name, "pid", saved.PID, "address", saved.Listen)
			s.closePidfd(proc)
			continue
		}
		candidates = append(candidates, candidate{i, proc, s.healthCheckAnsweredBy(ctx, saved.Listen, proc.pid)})
	}
	// Healthy processes are adopted first. An instance whose handover was interrupted has two
	// processes: the healthy process, and a process that is draining.
	for _, healthy := range []bool{true, false} {
		for _, c := range candidates {
			if c.healthy == healthy {
				s.adoptOne(ctx, c)
			}
		}
	}
	s.saveState()
}

// adoptableProcesses returns the entries of the state file and the labeled processes that
// are missing from the state file.
func (s *Supervisor) adoptableProcesses() []savedProcess {
	list, err := s.loadState()
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		s.events.Info("state file not readable; adopting labeled processes only", "error", err)
	}
	for _, labeled := range labeledProcesses(s.file.Directory) {
		if !slices.ContainsFunc(list, func(saved savedProcess) bool {
			return saved.PID == labeled.PID && saved.StartTime == labeled.StartTime
		}) {
			s.events.Info("running process is not in the state file", "instance", labeled.Name, "pid", labeled.PID)
			list = append(list, labeled)
		}
	}
	return list
}

// healthCheckAnsweredBy reports whether the health check at an address is answered by the
// process with the given PID.
func (s *Supervisor) healthCheckAnsweredBy(ctx context.Context, address string, pid int) bool {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	return checkHealth(ctx, address).pid == pid
}

// adoptOne adopts one process. A process that is not healthy is adopted as terminating. Its
// instance is started again only after the process has ended, so that no two processes use
// the same address.
func (s *Supervisor) adoptOne(ctx context.Context, found candidate) {
	i, proc, name := found.instance, found.process, s.specs[found.instance].Name
	_, count := s.lifecycle.Phase(i)
	switch {
	case count > 0:
		s.events.Info("second process of an instance, as after a handover; left to drain", "instance", name, "pid", proc.pid)
		s.closePidfd(proc)
		return
	case found.healthy:
		proc.id = s.lifecycle.Adopt(i)
		s.operations[i] = proc.operation
		s.events.Info("process adopted", "instance", name, "pid", proc.pid)
	default:
		proc.id = s.lifecycle.AdoptTerminating(s.now(), i)
		s.events.Info("running process is not healthy; waiting for its end", "instance", name, "pid", proc.pid)
	}
	s.processes[i][proc.id] = proc
	s.goroutines.Go(func() {
		proc.waitForExit()
		s.reportExit(ctx, i, proc, exitResult{status: "unknown, since the process is not a child"})
	})
}
