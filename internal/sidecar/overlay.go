package sidecar

import (
	"fmt"
	"slices"
	"time"

	"otterspring/balance"
	"otterspring/internal/fleet/configuration"
)

// This file lays the settings of services, as the relays hand them on, over those of
// the sidecar's own file. It decides only: live.go puts the outcome in force.

// resource is one version of a service's settings, read.
type resource struct {
	version  configuration.Version
	settings configuration.Settings
	err      error // why the settings can't be used by any sidecar; nil for none
}

// serviceState is what a sidecar holds of one service.
type serviceState struct {
	service string
	newest  *resource // nil where nothing is held: the file's settings hold
	inForce *resource // the last good one; nil where nothing of the service is in force
}

// overlay is the outcome of laying the settings of services over the file's.
type overlay struct {
	settings balance.Settings
	inForce  []*resource // by service; nil for none
	rejected []configuration.Rejection
}

// layOver lays the newest settings of each service over those of the file. What can't
// be used is rejected, with the reason, and the last good settings of that service
// stay in force. Where two services set the same thing, the one in force keeps it, and
// among new ones the first in the order of services gets it.
func layOver(file balance.Settings, services []serviceState) overlay {
	reasons := make([]error, len(services)) // for which the newest is not used
	for i, state := range services {
		if state.newest != nil && state.newest != state.inForce {
			reasons[i] = checkAlone(file, state.service, state.newest)
		}
	}
	// Each round that does not end the loop rejects one more. Where all are rejected
	// what is left are the last good ones, which went together before.
	for {
		layers := newLayers(file)
		inForce, conflicting, reason := layers.layAll(services, reasons)
		if reason == nil {
			return overlay{settings: layers.settings, inForce: inForce, rejected: rejections(services, reasons)}
		}
		reasons[conflicting] = reason
	}
}

// checkAlone tells why a service's settings can't be used, whatever others say.
func checkAlone(file balance.Settings, service string, newest *resource) error {
	if newest.err != nil {
		return newest.err
	}
	layers := newLayers(file)
	if err := layers.lay(service, newest); err != nil {
		return err
	}
	_, err := balance.New(layers.settings, 0)
	return err
}

// chosen is what is used of a service: the newest, or the last good where that is
// rejected.
func chosen(state serviceState, reason error) *resource {
	if reason != nil {
		return state.inForce
	}
	return state.newest
}

// layers are settings with the services that have set parts of them.
type layers struct {
	settings  balance.Settings
	tenantsBy string            // the service that set the tenants
	classBy   map[string]string // by the name of a class: the service that set it
}

func newLayers(file balance.Settings) *layers {
	file.Classes = slices.Clone(file.Classes)
	return &layers{settings: file, classBy: map[string]string{}}
}

// layAll lays what is used of each service, those in force first, and returns it. A
// service that is in conflict with those before it ends that, with the reason.
func (l *layers) layAll(services []serviceState, reasons []error) (laid []*resource, conflicting int, reason error) {
	laid = make([]*resource, len(services))
	for _, ofThoseInForce := range []bool{true, false} {
		for i, state := range services {
			used := chosen(state, reasons[i])
			if used == nil || (used == state.inForce) != ofThoseInForce {
				continue
			}
			if err := l.lay(state.service, used); err == nil {
				laid[i] = used
			} else if reasons[i] == nil {
				return nil, i, err
			}
		}
	}
	return laid, 0, nil
}

// lay takes a service's settings whole, or none of them.
func (l *layers) lay(service string, used *resource) error {
	settings := &used.settings
	if err := l.check(service, settings); err != nil {
		return err
	}
	if settings.Tenants != nil {
		l.tenantsBy = service
		l.settings.Tenants = make([]balance.Tenant, 0, len(settings.Tenants))
		for _, tenant := range settings.Tenants {
			l.settings.Tenants = append(l.settings.Tenants, balance.Tenant{Name: tenant.Name, Quota: tenant.Quota})
		}
	}
	for i := range settings.Classes {
		change := &settings.Classes[i]
		l.classBy[change.Name] = service
		apply(&l.settings.Classes[l.class(change.Name)], change)
	}
	return nil
}

// validate tells whether a service may set what it does.
func (l *layers) check(service string, settings *configuration.Settings) error {
	if settings.Tenants != nil && l.tenantsBy != "" {
		return fmt.Errorf("tenants: found them set by %s too, wanted one service that sets them", l.tenantsBy)
	}
	for i, class := range settings.Classes {
		if l.class(class.Name) < 0 {
			return fmt.Errorf("classes[%d].name: found %q, wanted a class that this sidecar has", i, class.Name)
		}
		if by, set := l.classBy[class.Name]; set {
			return fmt.Errorf("classes[%d].name: found %q set by %s too, wanted one service that sets it", i, class.Name, by)
		}
		if err := l.checkUse(&settings.Classes[i]); err != nil {
			return fmt.Errorf("classes[%d]: %w", i, err)
		}
	}
	return nil
}

// checkUse tells whether a class can be served as it will be: where answers after the
// aim are worth nothing, one within less than the least time between two calls never
// comes, and every request would be refused.
func (l *layers) checkUse(change *configuration.Class) error {
	class := l.settings.Classes[l.class(change.Name)]
	apply(&class, change)
	if class.LateWorth <= 0 && class.Aim <= l.settings.Round {
		return fmt.Errorf("found an aim of %v and nothing for late answers, wanted more than %v", class.Aim, l.settings.Round)
	}
	return nil
}

// class returns the place of a class, -1 for none.
func (l *layers) class(name string) int {
	return slices.IndexFunc(l.settings.Classes, func(c balance.Class) bool { return c.Name == name })
}

// apply changes of a class what the change names.
func apply(class *balance.Class, change *configuration.Class) {
	if change.LatencyObjectiveMicroseconds != nil {
		class.Aim = time.Duration(*change.LatencyObjectiveMicroseconds) * time.Microsecond
	}
	if change.PriorityWeight != nil {
		class.Worth = *change.PriorityWeight
	}
	if change.LatePriorityWeight != nil {
		class.LateWorth = *change.LatePriorityWeight
	}
}

// rejections are of the services whose newest settings are not used.
func rejections(services []serviceState, reasons []error) []configuration.Rejection {
	var all []configuration.Rejection
	for i, state := range services {
		if reasons[i] != nil {
			all = append(all, configuration.Rejection{Service: state.service, Version: state.newest.version, Reason: reasons[i].Error()})
		}
	}
	return all
}
