package server

import (
	"fmt"

	"otterspring/internal/fleet/configuration"
	"otterspring/internal/fleet/coordination"
)

// configurationWatch wakes the long polls for configuration. It is owned by the
// Server.Run goroutine.
type configurationWatch struct {
	changed   chan struct{} // closed when a newer version is applied or the member no longer knows a leader
	version   configuration.Version
	hasLeader bool
}

// observe records the applied configuration version and whether this member knows a leader.
// It wakes the long polls if the version is newer or if the member no longer knows a leader.
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

// changeConfiguration proposes a configuration change. If a dry run rejects the change, a
// majority first has to confirm that this member is the leader. If a second dry run rejects
// the change too, the rejection is returned and nothing is proposed.
func (s *Server) changeConfiguration(pending *pendingCall) {
	if !s.member.IsLeader() {
		s.replyError(pending, coordination.NotLeaderError{Leader: s.member.Leader()})
		return
	}
	change := pending.request.Change
	if change == nil {
		pending.reject("change: found none, wanted a configuration change")
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

// watchConfiguration returns the settings that are newer than the client's version. The
// follower read waits until this member has applied all entries up to the leader's commit
// index, so that the update includes all changes committed before the request.
func (s *Server) watchConfiguration(pending *pendingCall) {
	s.member.FollowerRead(func(err error) {
		if err == nil {
			update := s.member.State().ConfigurationStore().UpdateSince(pending.request.Version)
			pending.response.Update = &update
		}
		s.replyError(pending, err)
	})
}

// readConfiguration returns the settings of a service, or the versions of all services if
// the request names none.
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
