package sidecar

import (
	"fmt"
	"slices"
	"time"

	"otterspring/balance"
	"otterspring/internal/fleet/configuration"
)

// This file merges the configuration of services, as relays distribute it, with the
// sidecar's own file. It only decides; liveconfig.go applies the result.

// resource is one version of a service's settings, parsed.
type resource struct {
	version  configuration.Version
	settings configuration.Settings
	err      error // why the settings can't be used by any sidecar; nil for none
}

// serviceState is what a sidecar knows of one service.
type serviceState struct {
	service string
	newest  *resource // nil for none: the file's settings are in force
	inForce *resource // the last good one, nil for none
}

// overlay is the result of merging the settings of services with the file's.
type overlay struct {
	settings balance.Settings
	inForce  []*resource // by service; nil for none
	rejected []configuration.Rejection
}

// overlaySettings applies the newest settings of each service to those of the file. What
// can't be used is rejected, with the reason, and the last good settings of that service
// stay in force. Where two services set the same key, the one in force has precedence,
// and among new ones the first in the order of services.
func overlaySettings(file balance.Settings, services []serviceState) overlay {
	reasons := make([]error, len(services)) // for which the newest is not used
	for i, state := range services {
		if state.newest != nil && state.newest != state.inForce {
			reasons[i] = checkSeparately(file, state.service, state.newest)
		}
	}
	// Each round that does not end the loop rejects one more resource. Where all are
	// rejected the last good ones are left, which were compatible before.
	for {
		layers := newLayers(file)
		inForce, conflicting, reason := layers.applyAll(services, reasons)
		if reason == nil {
			return overlay{settings: layers.settings, inForce: inForce, rejected: rejections(services, reasons)}
		}
		reasons[conflicting] = reason
	}
}

// checkSeparately returns why a service's settings can't be used, whatever the other
// services set.
func checkSeparately(file balance.Settings, service string, newest *resource) error {
	if newest.err != nil {
		return newest.err
	}
	layers := newLayers(file)
	if err := layers.apply(service, newest); err != nil {
		return err
	}
	_, err := balance.New(layers.settings, 0)
	return err
}

// effective is the resource that is used of a service: the newest, or the last good one if
// that is rejected.
func effective(state serviceState, rejection error) *resource {
	if rejection != nil {
		return state.inForce
	}
	return state.newest
}

// layers are settings with the services that have set parts of them.
type layers struct {
	settings     balance.Settings
	tenantsOwner string            // the service that has set the tenants, empty for none
	classOwner   map[string]string // by the name of a class: the service that has set it
}

func newLayers(file balance.Settings) *layers {
	file.Classes = slices.Clone(file.Classes)
	return &layers{settings: file, classOwner: map[string]string{}}
}

// applyAll applies the effective resource of each service, those in force first, and
// returns them. It ends at a service that conflicts with those before it, with the reason.
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

// apply applies a service's settings completely, or returns an error.
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

// check returns why another service's settings can't be applied after those before.
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

// checkFeasible returns why a class could not be served with a change: where an answer
// after the latency objective has no priority weight, an objective within the least time
// between two calls is never met, and every request would be rejected.
func (l *layers) checkFeasible(change *configuration.Class) error {
	class := l.settings.Classes[l.classIndex(change.Name)]
	applyClass(&class, change)
	if class.LatePriorityWeight <= 0 && class.LatencyObjective <= l.settings.CallInterval {
		return fmt.Errorf("found an aim of %v and nothing for late answers, wanted more than %v", class.LatencyObjective, l.settings.CallInterval)
	}
	return nil
}

// classIndex returns the place of a class, -1 for none.
func (l *layers) classIndex(name string) int {
	return slices.IndexFunc(l.settings.Classes, func(class balance.Class) bool { return class.Name == name })
}

// applyClass sets the fields of a class that a change names.
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

// rejections returns the services whose newest settings are not used.
func rejections(services []serviceState, reasons []error) []configuration.Rejection {
	var rejected []configuration.Rejection
	for i, state := range services {
		if reasons[i] != nil {
			rejected = append(rejected, configuration.Rejection{Service: state.service, Version: state.newest.version, Reason: reasons[i].Error()})
		}
	}
	return rejected
}
