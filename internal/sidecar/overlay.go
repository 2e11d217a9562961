package sidecar

import (
	"fmt"
	"slices"
	"time"

	"otterspring/balance"
	"otterspring/internal/fleet/configuration"
)

// This file merges the service configuration that relays distribute with the settings of
// the sidecar's own configuration file. It has no side effects; liveconfig.go applies the
// result.

// resource is a parsed version of a service's settings.
type resource struct {
	version  configuration.Version
	settings configuration.Settings
	err      error // reason why no sidecar can use the settings; nil if they are valid
}

// serviceState holds the newest settings that a sidecar has received for a service, and the
// settings that it applied last.
type serviceState struct {
	service string
	newest  *resource // newest settings; nil if the service has none and the base settings apply
	inForce *resource // settings that were applied last; nil if there are none
}

// overlay is the result of merging the settings of all services into the base settings.
type overlay struct {
	settings balance.Settings
	inForce  []*resource // resource in force for each service, in the order of the services; nil if there is none
	rejected []configuration.Rejection
}

// overlaySettings merges the newest settings of each service into the base settings, which
// come from the configuration file. Settings that can't be used are rejected with a reason,
// and the last good settings of that service stay in force. If two services set the same
// key, settings that are already in force take precedence over new settings. Among new
// settings, those of the service that comes first in services take precedence.
func overlaySettings(base balance.Settings, services []serviceState) overlay {
	reasons := make([]error, len(services)) // why the newest settings of each service are rejected; nil if they are not
	for i, state := range services {
		if state.newest != nil && state.newest != state.inForce {
			reasons[i] = checkSeparately(base, state.service, state.newest)
		}
	}
	// Each iteration that does not return rejects one more resource. The loop terminates:
	// if all new resources are rejected, only the last good resources are left, and these
	// are compatible with each other.
	for {
		layers := newLayers(base)
		inForce, conflicting, reason := layers.applyAll(services, reasons)
		if reason == nil {
			return overlay{settings: layers.settings, inForce: inForce, rejected: rejections(services, reasons)}
		}
		reasons[conflicting] = reason
	}
}

// checkSeparately returns an error if a service's settings can't be used, regardless of the
// settings of other services.
func checkSeparately(base balance.Settings, service string, newest *resource) error {
	if newest.err != nil {
		return newest.err
	}
	layers := newLayers(base)
	if err := layers.apply(service, newest); err != nil {
		return err
	}
	_, err := balance.New(layers.settings, 0)
	return err
}

// effective returns the resource to use for a service: the newest, or the last good one if
// the newest is rejected.
func effective(state serviceState, rejection error) *resource {
	if rejection != nil {
		return state.inForce
	}
	return state.newest
}

// layers are settings together with the services that have set parts of them.
type layers struct {
	settings     balance.Settings
	tenantsOwner string            // name of the service that set the tenants; empty if no service did
	classOwner   map[string]string // name of the service that set each class, by class name
}

func newLayers(base balance.Settings) *layers {
	base.Classes = slices.Clone(base.Classes)
	return &layers{settings: base, classOwner: map[string]string{}}
}

// applyAll applies the effective resource of each service and returns the applied
// resources. Resources that are already in force are applied first. If a resource that is
// not rejected yet can't be applied after those before it, applyAll stops and returns the
// index of the resource's service and the reason.
func (l *layers) applyAll(services []serviceState, reasons []error) (applied []*resource, conflicting int, reason error) {
	applied = make([]*resource, len(services))
	for _, inForce := range []bool{true, false} {
		for i, state := range services {
			used := effective(state, reasons[i])
			if used == nil || (used == state.inForce) != inForce {
				continue
			}
			if err := l.apply(state.service, used); err == nil {
				applied[i] = used
			} else if reasons[i] == nil {
				return nil, i, err
			}
		}
	}
	return applied, 0, nil
}

// apply applies all settings of a service. If one of them can't be applied, apply changes
// nothing and returns an error.
func (l *layers) apply(service string, used *resource) error {
	settings := &used.settings
	if err := l.check(settings); err != nil {
		return err
	}
	if settings.Tenants != nil {
		l.tenantsOwner = service
		l.settings.Tenants = make([]balance.Tenant, 0, len(settings.Tenants))
		for _, tenant := range settings.Tenants {
			l.settings.Tenants = append(l.settings.Tenants, balance.Tenant{Name: tenant.Name, Quota: tenant.Quota})
		}
	}
	for i := range settings.Classes {
		change := &settings.Classes[i]
		l.classOwner[change.Name] = service
		applyClass(&l.settings.Classes[l.classIndex(change.Name)], change)
	}
	return nil
}

// check returns an error if settings can't be applied or conflict with settings that were
// applied before.
func (l *layers) check(settings *configuration.Settings) error {
	if settings.Tenants != nil && l.tenantsOwner != "" {
		return fmt.Errorf("tenants: found them set by %s too, wanted one service that sets them", l.tenantsOwner)
	}
	for i, class := range settings.Classes {
		if l.classIndex(class.Name) < 0 {
			return fmt.Errorf("classes[%d].name: found %q, wanted a class that this sidecar has", i, class.Name)
		}
		if owner, set := l.classOwner[class.Name]; set {
			return fmt.Errorf("classes[%d].name: found %q set by %s too, wanted one service that sets it", i, class.Name, owner)
		}
		if err := l.checkFeasible(&settings.Classes[i]); err != nil {
			return fmt.Errorf("classes[%d]: %w", i, err)
		}
	}
	return nil
}

// checkFeasible returns an error if a change would make the sidecar reject every request of
// a class. The sidecar does so if late answers have no priority weight and the latency
// objective is at most the minimum time between two calls, since that objective can never
// be met.
func (l *layers) checkFeasible(change *configuration.Class) error {
	class := l.settings.Classes[l.classIndex(change.Name)]
	applyClass(&class, change)
	if class.LatePriorityWeight <= 0 && class.LatencyObjective <= l.settings.CallInterval {
		return fmt.Errorf("found an aim of %v and nothing for late answers, wanted more than %v", class.LatencyObjective, l.settings.CallInterval)
	}
	return nil
}

// classIndex returns the index of a class, or -1 if no class has that name.
func (l *layers) classIndex(name string) int {
	return slices.IndexFunc(l.settings.Classes, func(class balance.Class) bool { return class.Name == name })
}

// applyClass sets those fields of a class that are present in a change.
func applyClass(class *balance.Class, change *configuration.Class) {
	if change.LatencyObjectiveMicroseconds != nil {
		class.LatencyObjective = time.Duration(*change.LatencyObjectiveMicroseconds) * time.Microsecond
	}
	if change.PriorityWeight != nil {
		class.PriorityWeight = *change.PriorityWeight
	}
	if change.LatePriorityWeight != nil {
		class.LatePriorityWeight = *change.LatePriorityWeight
	}
}

// rejections returns a rejection for each service whose entry in reasons is not nil.
func rejections(services []serviceState, reasons []error) []configuration.Rejection {
	var rejected []configuration.Rejection
	for i, state := range services {
		if reasons[i] != nil {
			rejected = append(rejected, configuration.Rejection{Service: state.service, Version: state.newest.version, Reason: reasons[i].Error()})
		}
	}
	return rejected
}
