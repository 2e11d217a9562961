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

// settingsApplier applies the service configuration to a running sidecar. Only the
// goroutine of the configuration client uses it.
type settingsApplier struct {
	base        balance.Settings // settings of the sidecar's own configuration file
	services    []serviceState   // states of the services, in the order of the subscription
	reconfigure func([]balance.Class, []balance.Tenant) error
}

// newConfigClient returns a client that subscribes to the services named in the operator
// file and applies their configuration by calling reconfigure.
func newConfigClient(config *Config, section *operatorconfig.Configuration, reconfigure func([]balance.Class, []balance.Tenant) error) *configclient.Client {
	applier := &settingsApplier{base: config.Settings, reconfigure: reconfigure}
	for _, service := range section.Services {
		applier.services = append(applier.services, serviceState{service: service})
	}
	name := section.SubscriberName
	if name == "" {
		name = config.Name
	}
	settings := configclient.Settings{
		Region: section.Region, Subscriber: name, Relays: section.Relays, Services: section.Services,
		Seed: config.Seed ^ hashName(name),
	}
	return configclient.New(settings, applier.apply)
}

// hashName returns a hash of a subscriber name. The hash is combined with the configured
// seed so that sidecars whose files contain the same seed still draw different random
// numbers.
func hashName(name string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(name))
	return hash.Sum64()
}

// apply applies changes and returns all resources that are currently rejected, including
// those that earlier calls rejected.
func (a *settingsApplier) apply(changes configuration.Changes, version configuration.Version) []configuration.Rejection {
	for _, changed := range changes.Updated {
		if state := a.find(changed.Service); state != nil {
			state.newest = parseResource(changed)
		}
	}
	for _, removed := range changes.Removed {
		if state := a.find(removed); state != nil {
			state.newest, state.inForce = nil, nil
		}
	}
	result := overlaySettings(a.base, a.services)
	if err := a.reconfigure(result.settings.Classes, result.settings.Tenants); err != nil {
		slog.Error("service configuration can't be applied; previous settings stay in force", "version", version, "error", err)
		return a.rejectNew(err)
	}
	for i := range a.services {
		a.services[i].inForce = result.inForce[i]
	}
	slog.Info("service configuration applied", "version", version, "changed", len(changes.Updated), "removed", len(changes.Removed), "rejected", len(result.rejected))
	a.logRejections(changes, result.rejected)
	return result.rejected
}

// find returns the state of a service, or nil if the sidecar does not subscribe to the
// service.
func (a *settingsApplier) find(service string) *serviceState {
	i := slices.IndexFunc(a.services, func(state serviceState) bool { return state.service == service })
	if i < 0 {
		return nil
	}
	return &a.services[i]
}

// parseResource parses a service's settings. A member of the coordination cluster has
// already validated them with the same parser.
func parseResource(r configuration.Resource) *resource {
	settings, err := configuration.ParseSettings(r.Settings)
	return &resource{version: r.Version, settings: settings, err: err}
}

// rejectNew returns a rejection with the given reason for each newest resource that is not
// in force yet.
func (a *settingsApplier) rejectNew(reason error) []configuration.Rejection {
	reasons := make([]error, len(a.services))
	for i, state := range a.services {
		if state.newest != nil && state.newest != state.inForce {
			reasons[i] = reason
		}
	}
	return rejections(a.services, reasons)
}

// logRejections logs each rejected resource that was updated by the changes.
func (a *settingsApplier) logRejections(changes configuration.Changes, rejected []configuration.Rejection) {
	for _, r := range rejected {
		isNew := func(changed configuration.Resource) bool { return changed.Service == r.Service }
		if slices.ContainsFunc(changes.Updated, isNew) {
			slog.Warn("service configuration rejected; last good settings stay in force", "service", r.Service, "version", r.Version, "reason", r.Reason)
		}
	}
}

// configurationStatus returns the values of the X-Configuration and X-Configuration-Age
// headers of /up. version is the version that was applied. age is its age in seconds, and
// is empty until a relay has answered.
func (s *Sidecar) configurationStatus() (version, age string) {
	status := s.configClient.Status()
	if status.Known {
		age = strconv.FormatFloat(status.Age.Round(time.Millisecond).Seconds(), 'f', 3, 64)
	}
	return status.Version.String(), age
}
