package server

import (
	"fmt"

	"otterspring/internal/fleet/configuration"
	"otterspring/internal/fleet/coordination"
)

// configurationWatch wakes the long polls for configuration. It belongs to the
// goroutine of Server.Run.
type configurationWatch struct {
	changed   chan struct{} // closed at a newer version, and when the leader is lost
	version   configuration.Version
	hasLeader bool
}

// observe records what the member knows now, and wakes the polls if it has changed.
func (w *configurationWatch) observe(version configuration.Version, hasLeader bool) {
	leaderLost := w.hasLeader && !hasLeader
	w.hasLeader = hasLeader
	if version <= w.version && !leaderLost {
		return
	}
	w.version = max(w.version, version)
	close(w.changed)
	w.changed = make(chan struct{})
}

// changeConfiguration proposes a change. One that the current configuration rejects is
// not proposed: the rejection is returned when a majority has confirmed that this
// member is the leader.
func (s *Server) changeConfiguration(pending *pendingCall) {
	if !s.member.IsLeader() {
		s.replyError(pending, coordination.NotLeaderError{Leader: s.member.Leader()})
		return
	}
	change := pending.request.Change
	if change == nil {
		pending.reject("change: found none, wanted one")
		return
	}
	command, err := coordination.NewConfigurationChange(*change)
	if err != nil {
		pending.reject(err.Error())
		return
	}
	complete := func(result coordination.Result, err error) {
		pending.response.Rejection, pending.response.Conflict = result.Rejection, result.Conflict
		if err == nil && result.Rejection == "" {
			pending.response.Resource = &configuration.Resource{Service: change.Service, Version: result.Version, Settings: change.Settings}
		}
		s.replyError(pending, err)
	}
	if s.member.State().DryRunConfigurationChange(command).Rejection == "" {
		s.member.Propose(command, complete)
		return
	}
	s.member.Read(func(err error) {
		if err != nil {
			complete(coordination.Result{}, err)
			return
		}
		if result := s.member.State().DryRunConfigurationChange(command); result.Rejection != "" {
			complete(result, nil)
			return
		}
		s.member.Propose(command, complete)
	})
}

// watchConfiguration returns the configuration that is newer than the client's. The
// leader is asked for the index that this member has to have applied, so that the
// update lacks nothing that was committed before the request.
func (s *Server) watchConfiguration(pending *pendingCall) {
	s.member.FollowerRead(func(err error) {
		if err == nil {
			update := s.member.State().ConfigurationStore().UpdateSince(pending.request.Version)
			pending.response.Update = &update
		}
		s.replyError(pending, err)
	})
}

// readConfiguration returns the settings of a service, or the versions of all.
func (s *Server) readConfiguration(pending *pendingCall) {
	s.read(pending, func(state *coordination.State) {
		store, service := state.ConfigurationStore(), pending.request.Service
		if service == "" {
			pending.response.Services = make(map[string]configuration.Version, len(store.Resources))
			for name, resource := range store.Resources {
				pending.response.Services[name] = resource.Version
			}
			return
		}
		resource := store.Resources[service]
		if resource == nil {
			pending.response.Rejection = fmt.Sprintf("service %s: found no such service", service)
			return
		}
		copied := *resource
		pending.response.Resource = &copied
	})
}
