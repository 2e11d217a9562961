package supervisor

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"syscall"
	"time"

	"otterspring/internal/disk"
	"otterspring/internal/faultinjection"
	"otterspring/internal/fleet/lifecycle"
)

// fleetEventName replaces an instance's name in events that concern the whole fleet.
const fleetEventName = "fleet"

// execute executes actions of the lifecycle and the further actions that result from them.
func (s *Supervisor) execute(ctx context.Context, actions []lifecycle.Action) {
	for len(actions) > 0 {
		action := actions[0]
		actions = actions[1:]
		switch action.Kind {
		case lifecycle.StartProcess:
			actions = append(actions, s.start(ctx, action)...)
		case lifecycle.TerminateProcess:
			s.signal(action, syscall.SIGTERM)
		case lifecycle.KillProcess:
			s.signal(action, syscall.SIGKILL)
		case lifecycle.ReloadProcess:
			s.reload(ctx, action)
		case lifecycle.CommitRelease:
			s.commitRelease()
		case lifecycle.EmitEvent:
			name := fleetEventName
			if action.Instance != lifecycle.WholeFleet {
				name = s.specs[action.Instance].Name
			}
			s.logDecision(ctx, name, action.Event)
		}
		s.readClock()
	}
}

func (s *Supervisor) logPath(i int) string {
	return filepath.Join(s.file.Directory, s.specs[i].Name+".log")
}

func (s *Supervisor) configPath(i int) string {
	return filepath.Join(s.file.Directory, s.specs[i].Name+".json")
}

// start starts a process and its monitoring. If the start fails, it reports an exit to the
// lifecycle and returns the resulting actions.
func (s *Supervisor) start(ctx context.Context, action lifecycle.Action) []lifecycle.Action {
	if err := s.startProcess(ctx, action); err != nil {
		s.events.Info("start failed", "instance", s.specs[action.Instance].Name, "error", err)
		return s.lifecycle.ProcessExited(s.now(), action.Instance, action.Process, false)
	}
	return nil
}

func (s *Supervisor) startProcess(ctx context.Context, action lifecycle.Action) error {
	i := action.Instance
	program, spec := s.programAndSpec(action)
	operation := s.operations[i]
	if action.FromRelease && s.pendingRelease != nil && s.pendingRelease.operation != "" {
		operation = s.pendingRelease.operation
	}
	env := []string{"RELAY_NAME=" + spec.Name, "RELAY_LISTEN=" + spec.Listen, fleetVariable + "=" + s.file.Directory}
	env = append(env, operationVariable+"="+operation)
	if spec.Config != "" {
		if err := disk.Replace(s.configPath(i), []byte(spec.Config), false); err != nil {
			return err
		}
		env = append(env, "RELAY_CONFIG="+s.configPath(i))
	}
	// An address in use by a process outside this fleet is reported before anything is started.
	if err := s.checkAddressFree(i, spec.Listen); err != nil {
		return err
	}
	faultinjection.At("fleet-starts")
	if err := rotateLog(s.logPath(i)); err != nil {
		s.log.Warn("log not rotated", "instance", spec.Name, "error", err)
	}
	cmd, p, err := spawn(program, spec.Args, env, s.logPath(i))
	if err != nil {
		return err
	}
	p.id, p.operation, p.program = action.Process, operation, program
	s.processes[i][p.id] = p
	faultinjection.At("fleet-started")
	s.saveState()
	faultinjection.At("fleet-saved")
	s.watch(ctx, i, p, spec.Listen, cmd.Wait)
	return nil
}

// checkAddressFree returns an error if an instance has no process and its address can't
// be bound.
func (s *Supervisor) checkAddressFree(i int, address string) error {
	if len(s.processes[i]) > 0 {
		return nil // the old process of a handover is listening
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("address %s is in use by a process outside this fleet, or can't be bound: %w", address, err)
	}
	return listener.Close()
}

// watch starts two goroutines that report to the event loop. One reports that the process
// is ready, the other that the process has ended. Both goroutines end with the process.
func (s *Supervisor) watch(ctx context.Context, i int, proc *process, address string, wait func() error) {
	alive, cancel := context.WithCancel(ctx)
	s.goroutines.Go(func() {
		if waitUntilHealthy(alive, address, func(status healthStatus) bool { return status.pid == proc.pid }) {
			faultinjection.At("fleet-saw-it-ready")
			s.enqueue(alive, func(now time.Duration) []lifecycle.Action { return s.lifecycle.ProcessReady(now, i, proc.id) })
		}
	})
	s.goroutines.Go(func() {
		err := wait()
		cancel()
		if err != nil {
			s.reportExit(ctx, i, proc, exitResult{status: err.Error()})
			return
		}
		s.reportExit(ctx, i, proc, exitResult{clean: true})
	})
}

// exitResult describes how a process ended.
type exitResult struct {
	clean  bool   // whether the exit code was 0
	status string // text that describes the exit code or signal; empty if clean
}

// reportExit reports the end of a process to the event loop. It is called by the
// goroutine that has waited for the process.
func (s *Supervisor) reportExit(ctx context.Context, i int, proc *process, result exitResult) {
	s.enqueue(ctx, func(now time.Duration) []lifecycle.Action {
		s.closePidfd(proc)
		delete(s.processes[i], proc.id)
		faultinjection.At("fleet-saw-the-end")
		s.saveState()
		if !result.clean {
			attributes := []any{"instance", s.specs[i].Name, "pid", proc.pid, "status", result.status}
			if line := s.lastOutput(i, proc); line != "" {
				attributes = append(attributes, "last_output", line)
			}
			s.events.Info("process ended", attributes...)
		}
		return s.lifecycle.ProcessExited(now, i, proc.id, result.clean)
	})
}

// lastOutput returns the last line that a process wrote to its log. It returns an empty
// string if the process wrote nothing or the log is not readable.
func (s *Supervisor) lastOutput(i int, p *process) string {
	line, err := lastLine(s.logPath(i), p.logOffset)
	if err != nil {
		s.log.Debug("log not readable", "instance", s.specs[i].Name, "error", err)
	}
	return line
}

func (s *Supervisor) closePidfd(p *process) {
	if err := p.close(); err != nil {
		s.log.Warn("pidfd not closed", "pid", p.pid, "error", err)
	}
}

// reload writes an instance's configuration. It then starts a goroutine that makes the
// process load the configuration and waits for the outcome. The wait ends after the ready
// timeout that also applies to a start.
func (s *Supervisor) reload(ctx context.Context, action lifecycle.Action) {
	_, spec := s.programAndSpec(action)
	proc := s.processes[action.Instance][action.Process]
	if proc == nil {
		return
	}
	if spec.Config != "" {
		if err := disk.Replace(s.configPath(action.Instance), []byte(spec.Config), false); err != nil {
			s.events.Info("configuration not written for a reload", "instance", spec.Name, "error", err)
		}
	}
	s.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, s.file.Start.ReadyTimeout)
		defer cancel()
		s.awaitReload(ctx, action, spec, proc)
	})
}

// awaitReload sends SIGHUP to a process and reports the outcome of the reload. If ctx ends
// before the outcome is known, awaitReload reports nothing, since the lifecycle has set its
// own deadline for the reload.
func (s *Supervisor) awaitReload(ctx context.Context, action lifecycle.Action, spec Spec, proc *process) {
	before := checkHealth(ctx, spec.Listen)
	if err := proc.signal(syscall.SIGHUP); err != nil {
		s.log.Warn("signal not sent", "instance", spec.Name, "pid", proc.pid, "signal", syscall.SIGHUP, "error", err)
	}
	var after healthStatus
	reloaded := func(status healthStatus) bool {
		after = status
		return status.pid == proc.pid && status.reloads() > before.reloads()
	}
	if !waitUntilHealthy(ctx, spec.Listen, reloaded) {
		return
	}
	s.enqueue(ctx, func(now time.Duration) []lifecycle.Action {
		if after.reloadsFailed > before.reloadsFailed {
			return s.lifecycle.ReloadFailed(now, action.Instance, action.Process)
		}
		return s.lifecycle.ProcessReady(now, action.Instance, action.Process)
	})
}

// signal sends a signal to the process that an action names, unless the process has ended.
func (s *Supervisor) signal(action lifecycle.Action, signal syscall.Signal) {
	p := s.processes[action.Instance][action.Process]
	if p == nil {
		return
	}
	faultinjection.At("fleet-ends")
	defer faultinjection.At("fleet-ended")
	if err := p.signal(signal); err != nil {
		s.events.Info("signal not sent", "instance", s.specs[action.Instance].Name, "pid", p.pid, "signal", signal, "error", err)
	}
}
