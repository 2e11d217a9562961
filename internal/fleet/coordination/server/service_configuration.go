package server

import (
	"fmt"

	"otterspring/internal/fleet/configuration"
	"otterspring/internal/fleet/coordination"
	"otterspring/internal/fleet/coordination/client"
)

// followers wakes the polls that follow the configuration. It belongs to Run's
// goroutine.
type followers struct {
	news    chan struct{} // closed at a newer version, and when the leader is lost
	version configuration.Version
	led     bool
}

// observe takes what the member knows now.
func (f *followers) observe(version configuration.Version, led bool) {
	lost := f.led && !led
	f.led = led
	if version <= f.version && !lost {
		return
	}
	f.version = max(f.version, version)
	close(f.news)
	f.news = make(chan struct{})
}

// configure has a change agreed on. One that is refused for what the configuration
// holds now is not proposed: the refusal is given when a majority has confirmed that
// this member leads. Run's goroutine.
func (n *Server) configure(q client.Request, a *client.Response, got chan *client.Response) {
	if !n.member.IsLeader() {
		n.no(a, coordination.NotLeaderError{Leader: n.member.Leader()})
		got <- a
		return
	}
	if q.Change == nil {
		a.Rejection = "change: found none, wanted one"
		got <- a
		return
	}
	command, err := coordination.NewConfigurationChange(*q.Change)
	if err != nil {
		a.Rejection = err.Error()
		got <- a
		return
	}
	end := func(r coordination.Result, err error) {
		a.Rejection, a.Conflict = r.Rejection, r.Conflict
		if err == nil && r.Rejection == "" {
			a.Resource = &configuration.Resource{Service: q.Change.Service, Version: r.Version, Settings: q.Change.Settings}
		}
		n.no(a, err)
		got <- a
	}
	if n.member.State().DryRunConfigurationChange(command).Rejection == "" {
		n.member.Propose(command, end)
		return
	}
	n.member.Read(func(err error) {
		if err != nil {
			end(coordination.Result{}, err)
			return
		}
		if result := n.member.State().DryRunConfigurationChange(command); result.Rejection != "" {
			end(result, nil)
			return
		}
		n.member.Propose(command, end)
	})
}

// followed answers what of the configuration is newer than what the asker holds. Any
// member does so that knows a leader: that is asked up to where this member has to
// have applied what was agreed on, so that the answer lacks nothing that is older
// than the question. Run's goroutine.
func (n *Server) followed(q client.Request, a *client.Response, got chan *client.Response) {
	n.member.FollowerRead(func(err error) {
		if n.no(a, err); err == nil {
			update := n.member.State().ConfigurationStore().UpdateSince(q.Version)
			a.Update = &update
		}
		got <- a
	})
}

// resource answers with the settings of a service, or with the versions of all.
func resource(service string, store *configuration.Store, a *client.Response) {
	if service == "" {
		a.Services = make(map[string]configuration.Version, len(store.Resources))
		for name, held := range store.Resources {
			a.Services[name] = held.Version
		}
		return
	}
	held := store.Resources[service]
	if held == nil {
		a.Rejection = fmt.Sprintf("service %s: found no such service", service)
		return
	}
	copied := *held
	a.Resource = &copied
}
