package sidecar

import (
	"hash/fnv"
	"log/slog"
	"slices"
	"strconv"
	"time"

	"otterspring/balance"
	"otterspring/internal/fleet/configuration"
	"otterspring/internal/sidecar/operatorconfig"
	"otterspring/internal/subscription"
)

// liveSettings puts the settings of services in force in a running sidecar. It belongs
// to the goroutine of the control client.
type liveSettings struct {
	file     balance.Settings
	services []serviceState // in the order of the subscription
	change   func([]balance.Class, []balance.Tenant) error
}

// newControl returns the client that follows the services of the operator's file and
// has change put in force what they say.
func newControl(cfg *Config, section *operatorconfig.Configuration, change func([]balance.Class, []balance.Tenant) error) *subscription.Client {
	live := &liveSettings{file: cfg.Settings, change: change}
	for _, service := range section.Services {
		live.services = append(live.services, serviceState{service: service})
	}
	name := section.SubscriberName
	if name == "" {
		name = cfg.Name
	}
	settings := subscription.Settings{
		Region: section.Region, Subscriber: name, Relays: section.Relays, Services: section.Services,
		Seed: cfg.Seed ^ seedOf(name),
	}
	return subscription.New(settings, live.take)
}

// seedOf sets sidecars apart that were given the same seed.
func seedOf(name string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(name))
	return hash.Sum64()
}

// take puts changes in force, and returns all resources that can't be used.
func (l *liveSettings) take(taken configuration.Changes, version configuration.Version) []configuration.Rejection {
	for _, changed := range taken.Updated {
		if state := l.find(changed.Service); state != nil {
			state.newest = readResource(changed)
		}
	}
	for _, removed := range taken.Removed {
		if state := l.find(removed); state != nil {
			state.newest, state.inForce = nil, nil
		}
	}
	result := layOver(l.file, l.services)
	if err := l.change(result.settings.Classes, result.settings.Tenants); err != nil {
		slog.Error("configuration: the settings before stay in force", "version", version, "why", err)
		return l.rejectNew(err)
	}
	for i := range l.services {
		l.services[i].inForce = result.inForce[i]
	}
	slog.Info("configuration: in force", "version", version, "changed", len(taken.Updated), "removed", len(taken.Removed), "rejected", len(result.rejected))
	l.logRejections(taken, result.rejected)
	return result.rejected
}

// find returns the state of a service; nil for one that was not subscribed to.
func (l *liveSettings) find(service string) *serviceState {
	i := slices.IndexFunc(l.services, func(s serviceState) bool { return s.service == service })
	if i < 0 {
		return nil
	}
	return &l.services[i]
}

// readResource reads a service's settings as a council's member did before.
func readResource(r configuration.Resource) *resource {
	settings, err := configuration.ParseSettings(r.Settings)
	return &resource{version: r.Version, settings: settings, err: err}
}

// rejectNew rejects all that is not in force, for one reason.
func (l *liveSettings) rejectNew(why error) []configuration.Rejection {
	reasons := make([]error, len(l.services))
	for i, state := range l.services {
		if state.newest != nil && state.newest != state.inForce {
			reasons[i] = why
		}
	}
	return rejections(l.services, reasons)
}

// logRejections logs the rejected ones among those that have just come.
func (l *liveSettings) logRejections(taken configuration.Changes, rejected []configuration.Rejection) {
	for _, r := range rejected {
		isNew := func(changed configuration.Resource) bool { return changed.Service == r.Service }
		if slices.ContainsFunc(taken.Updated, isNew) {
			slog.Warn("configuration: rejected, the last good settings stay", "service", r.Service, "version", r.Version, "why", r.Reason)
		}
	}
}

// configured is what /up says of the configuration: the version that was taken, and
// its age in seconds; empty where no relay has answered yet.
func (s *Sidecar) configured() (version, age string) {
	status := s.control.Status()
	if status.Known {
		age = strconv.FormatFloat(status.Age.Round(time.Millisecond).Seconds(), 'f', 3, 64)
	}
	return status.Version.String(), age
}
