package sidecar

import (
	"hash/fnv"
	"log/slog"
	"slices"
	"strconv"
	"time"

	"otterspring/balance"
	"otterspring/internal/fleet/configuration"
	"otterspring/internal/sidecar/configclient"
	"otterspring/internal/sidecar/operatorconfig"
)

// liveSettings applies the configuration of services to a running sidecar. It is used by
// the configuration client's goroutine only.
type liveSettings struct {
	file        balance.Settings // of the sidecar's own configuration file
	services    []serviceState   // in the order of the subscription
	reconfigure func([]balance.Class, []balance.Tenant) error
}

// newConfigClient returns the client that subscribes to the services of the operator's
// file and applies their configuration with reconfigure.
func newConfigClient(config *Config, section *operatorconfig.Configuration, reconfigure func([]balance.Class, []balance.Tenant) error) *configclient.Client {
	live := &liveSettings{file: config.Settings, reconfigure: reconfigure}
	for _, service := range section.Services {
		live.services = append(live.services, serviceState{service: service})
	}
	name := section.SubscriberName
	if name == "" {
		name = config.Name
	}
	settings := configclient.Settings{
		Region: section.Region, Subscriber: name, Relays: section.Relays, Services: section.Services,
		Seed: config.Seed ^ seedOf(name),
	}
	return configclient.New(settings, live.apply)
}

// seedOf returns a seed that differs between sidecars with the same one in their files.
func seedOf(name string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(name))
	return hash.Sum64()
}

// apply applies changes and returns all resources that can't be used.
func (l *liveSettings) apply(changes configuration.Changes, version configuration.Version) []configuration.Rejection {
	for _, changed := range changes.Updated {
		if state := l.find(changed.Service); state != nil {
			state.newest = readResource(changed)
		}
	}
	for _, removed := range changes.Removed {
		if state := l.find(removed); state != nil {
			state.newest, state.inForce = nil, nil
		}
	}
	result := overlaySettings(l.file, l.services)
	if err := l.reconfigure(result.settings.Classes, result.settings.Tenants); err != nil {
		slog.Error("service configuration can't be applied; previous settings stay in force", "version", version, "error", err)
		return l.rejectNew(err)
	}
	for i := range l.services {
		l.services[i].inForce = result.inForce[i]
	}
	slog.Info("service configuration applied", "version", version, "changed", len(changes.Updated), "removed", len(changes.Removed), "rejected", len(result.rejected))
	l.logRejections(changes, result.rejected)
	return result.rejected
}

// find returns the state of a service, nil for one without a subscription.
func (l *liveSettings) find(service string) *serviceState {
	i := slices.IndexFunc(l.services, func(state serviceState) bool { return state.service == service })
	if i < 0 {
		return nil
	}
	return &l.services[i]
}

// readResource parses a service's settings, as a member of the coordination cluster has
// done before.
func readResource(r configuration.Resource) *resource {
	settings, err := configuration.ParseSettings(r.Settings)
	return &resource{version: r.Version, settings: settings, err: err}
}

// rejectNew rejects all resources that are not in force, with one reason.
func (l *liveSettings) rejectNew(reason error) []configuration.Rejection {
	reasons := make([]error, len(l.services))
	for i, state := range l.services {
		if state.newest != nil && state.newest != state.inForce {
			reasons[i] = reason
		}
	}
	return rejections(l.services, reasons)
}

// logRejections logs the rejected resources among those that were just received.
func (l *liveSettings) logRejections(changes configuration.Changes, rejected []configuration.Rejection) {
	for _, r := range rejected {
		isNew := func(changed configuration.Resource) bool { return changed.Service == r.Service }
		if slices.ContainsFunc(changes.Updated, isNew) {
			slog.Warn("service configuration rejected; last good settings stay in force", "service", r.Service, "version", r.Version, "reason", r.Reason)
		}
	}
}

// configurationStatus is the value of X-Configuration and X-Configuration-Age at /up: the
// version that was applied, and its age in seconds, empty until a relay has answered.
func (s *Sidecar) configurationStatus() (version, age string) {
	status := s.configClient.Status()
	if status.Known {
		age = strconv.FormatFloat(status.Age.Round(time.Millisecond).Seconds(), 'f', 3, 64)
	}
	return status.Version.String(), age
}
