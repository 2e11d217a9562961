package supervisor

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"otterspring/internal/faultinjection"
	"otterspring/internal/fleet/coordination"
	"otterspring/internal/fleet/lifecycle"
	"otterspring/internal/fleet/rollout"
)

// Execution of leaders' commands on this host. Each command is checked against the fence
// and begun in one step of the event loop. A leader that receives a response therefore
// sees the effects of every command that an earlier leader has begun on this host.

const maxCommandBytes = 2 << 20

var (
	errInstanceNotUp  = errors.New("the instance is not up")
	errUnknownCommand = errors.New("unknown command")
)

// commandHandler serves the commands of leaders over HTTP.
type commandHandler struct {
	supervisor *Supervisor
	done       <-chan struct{} // closed when the event loop has ended
}

// ServeHTTP implements http.Handler.
func (h *commandHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || r.URL.Path != hostCommandPath {
		http.NotFound(w, r)
		return
	}
	var command hostCommand
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCommandBytes)).Decode(&command); err != nil {
		http.Error(w, "malformed command: "+err.Error(), http.StatusBadRequest)
		return
	}
	supervisor := h.supervisor
	result := make(chan hostResponse, 1)
	supervisor.enqueue(r.Context(), func(now time.Duration) []lifecycle.Action {
		response, actions := supervisor.runHostCommand(now, command)
		result <- response
		return actions
	})
	select {
	case response := <-result:
		if err := json.NewEncoder(w).Encode(response); err != nil {
			supervisor.log.Debug("response to a leader not sent", "holder", command.Holder, "error", err)
		}
	case <-r.Context().Done():
	case <-h.done:
	}
}

// runHostCommand checks a command against the fence and executes it.
func (s *Supervisor) runHostCommand(now time.Duration, command hostCommand) (hostResponse, []lifecycle.Action) {
	before := s.fence.Newest(command.Lease)
	if err := s.fence.Check(command.Lease, coordination.Holder{Name: command.Holder, Token: command.Token}); err != nil {
		s.events.Info("command rejected by the fence", "command", command.Kind, "token", command.Token, "holder", command.Holder, "error", err)
		return s.rejection(err), nil
	}
	s.logLeaseHolderChange(command.Lease, before)
	switch command.Kind {
	case commandStatus:
		return s.hostResponse(), nil
	case commandList:
		version, err := s.receiveEndpointList(command)
		if err != nil {
			return s.reject(command, err), nil
		}
		return hostResponse{ListVersion: version, StaleCommands: s.fence.Rejected}, nil
	case commandRestart, commandReload:
		actions, err := s.runInstanceCommand(now, command)
		if err != nil {
			return s.reject(command, err), nil
		}
		return s.hostResponse(), actions
	}
	return s.reject(command, fmt.Errorf("%w %q, expected look, restart, reload or list", errUnknownCommand, command.Kind)), nil
}

// hostResponse returns the response to a command that was accepted.
func (s *Supervisor) hostResponse() hostResponse {
	return hostResponse{Host: s.hostStatus(), StaleCommands: s.fence.Rejected}
}

// rejection returns the response to a command that was not executed.
func (s *Supervisor) rejection(err error) hostResponse {
	return hostResponse{Rejected: err.Error(), StaleCommands: s.fence.Rejected}
}

// reject logs why a command that has passed the fence was not executed, and returns the
// response to it.
func (s *Supervisor) reject(command hostCommand, err error) hostResponse {
	s.events.Info("command rejected", "command", command.Kind, "token", command.Token, "holder", command.Holder, "error", err)
	return s.rejection(err)
}

// runInstanceCommand begins a restart or reload of one instance for an operation. It is
// idempotent, since a leader repeats a command whose response was lost. A command that has
// completed or is in progress is accepted and not begun again.
func (s *Supervisor) runInstanceCommand(now time.Duration, command hostCommand) ([]lifecycle.Action, error) {
	i, err := s.instanceByName(command.Instance)
	if err != nil {
		return nil, err
	}
	if s.operations[i] == command.Operation || s.inProgress(i, command.Operation) {
		return nil, nil
	}
	if !s.isUp(i) {
		phase, _ := s.lifecycle.Phase(i)
		return nil, fmt.Errorf("%s: %w: found it %v", command.Instance, errInstanceNotUp, phase)
	}
	change := rollingUpdate{reload: command.Kind == commandReload, instances: []string{command.Instance}}
	if !change.reload {
		change.program = command.Program
	}
	actions, err := s.startRollingUpdate(now, change)
	if err != nil {
		return nil, err
	}
	s.pendingRelease.operation, s.pendingRelease.instance = command.Operation, i
	s.events.Info("command accepted", "command", command.Kind, "instance", command.Instance, "operation", command.Operation,
		"holder", command.Holder, "token", command.Token)
	faultinjection.At("fleet-takes-order")
	return actions, nil
}

// inProgress reports whether an instance is being restarted or reloaded for an operation.
func (s *Supervisor) inProgress(i int, operation string) bool {
	return s.pendingRelease != nil && s.pendingRelease.operation == operation && s.pendingRelease.instance == i && s.lifecycle.UpdateInProgress()
}

// logLeaseHolderChange logs the newest holder of a lease if it is newer than the holder
// before. The fence has learnt of the newest holder from the cluster or from a command. The
// fence now rejects commands sent by earlier holders.
func (s *Supervisor) logLeaseHolderChange(lease string, before coordination.Holder) {
	if lease != RolloutLease && (s.endpoints == nil || lease != s.endpoints.lease) {
		return // this host receives no commands under this lease
	}
	if newest := s.fence.Newest(lease); newest.Token > before.Token && newest.Name != "" {
		s.events.Info("lease holder changed", "lease", lease, "holder", newest.Name, "token", newest.Token)
	}
}

// hostStatus returns the status of this host for the leader of a rollout.
func (s *Supervisor) hostStatus() rollout.HostStatus {
	status := rollout.HostStatus{Name: s.file.Coordination.Host, Zone: s.file.Coordination.Zone, Program: s.program}
	if s.lifecycle.UpdateInProgress() {
		status.LocalUpdate = s.lifecycle.UpdateStatus()
	}
	for i, spec := range s.specs {
		status.Instances = append(status.Instances, rollout.InstanceStatus{
			Name: spec.Name, Ready: s.isUp(i), RolloutID: s.operations[i], FailedRolloutID: s.failedOperations[i],
		})
	}
	return status
}
