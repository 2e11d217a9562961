package supervisor

import (
	"encoding/json"
	"path/filepath"

	"otterspring/internal/disk"
)

func (s *Supervisor) statePath() string { return filepath.Join(s.file.Directory, "state.json") }

// loadState reads the state file of the previous supervisor.
func (s *Supervisor) loadState() ([]savedProcess, error) {
	text, err := disk.Read(s.statePath())
	if err != nil {
		return nil, err
	}
	var list []savedProcess
	if err := json.Unmarshal(text, &list); err != nil {
		return nil, err
	}
	return list, nil
}

// saveState writes the state file for the next supervisor. The file contains the running
// processes. For an instance without a running process, it contains the last operation that
// was applied to the instance, if there was one. A failure is only logged, since the next
// supervisor also finds the processes by their environment.
func (s *Supervisor) saveState() {
	list := []savedProcess{}
	for i, processes := range s.processes {
		spec := s.specs[i]
		for _, p := range processes {
			list = append(list, savedProcess{
				Name: spec.Name, Listen: spec.Listen, PID: p.pid, StartTime: p.startTime, Operation: p.operation, Program: p.program,
			})
		}
		if len(processes) == 0 && s.operations[i] != "" {
			list = append(list, savedProcess{Name: spec.Name, Listen: spec.Listen, Operation: s.operations[i], Program: s.program})
		}
	}
	text, err := json.Marshal(list)
	if err == nil {
		err = disk.Replace(s.statePath(), text, false)
	}
	if err != nil {
		s.events.Info("state not saved", "error", err)
	}
}
